//! Decode speeds of endpoints, as observed by all replicas.
//!
//! A replica of a large fleet sees each endpoint too rarely to know its speed. Replicas therefore share
//! what they have observed since they last did, and each adds up what it hears with what it sees. A lost
//! digest costs the observations in it.

use std::{cmp::Reverse, collections::BTreeMap, sync::Arc, time::Duration};

use crate::clock::Time;

/// Time in which observations lose most of their weight. An endpoint that was slow is tried again after
/// some multiples of it, and one that turns slow is noticed within it.
const TIME_CONSTANT: Duration = Duration::from_secs(4);
/// Time constant of the level by which endpoints are compared. Much longer than a disturbance, which
/// must not make a service count as uneven.
const LEVEL_TIME_CONSTANT: Duration = Duration::from_secs(20);
/// Number of observations that the typical speed counts as for each endpoint.
const PRIOR_WEIGHT: f64 = 4.0;
/// Largest number of observations that an estimate or sample counts as. Observations of several seconds
/// at many replicas would otherwise outweigh a change.
const MAX_WEIGHT: f64 = 30.0;
/// The same for the level.
const MAX_LEVEL_WEIGHT: f64 = 300.0;
/// Number of observations with which an endpoint's level is compared; those of one run within less
/// may all fall into a disturbance.
const MIN_LEVEL_WEIGHT: f64 = 10.0;
/// Longest plausible time between two events; longer ones are ignored.
const MAX_INTERVAL: Duration = Duration::from_secs(10);
/// Largest factor between an observation and the typical interval; larger ones are clamped.
const MAX_OUTLIER_FACTOR: f64 = 8.0;
/// Number of endpoints with a level that are needed to compare them.
const MIN_COMPARED_ENDPOINTS: usize = 5;
/// One in this many endpoints is left out at either end of the comparison.
const TRIMMED_FRACTION: usize = 5;
/// Ratio between the intervals of slow and fast endpoints from which a service counts as uneven.
const UNEVEN_RATIO: f64 = 1.5;
/// Ratio below which it counts as even again.
const EVEN_RATIO: f64 = 1.35;
/// Age at which observations that were not reported are dropped.
const REPORT_TTL: Duration = Duration::from_secs(3);
/// Largest number of endpoints in a report. A replica has fewer runs a second, except in a small fleet,
/// where it has observations of its own.
const MAX_REPORTED: usize = 32;

/// Speed of an endpoint by the observations of one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// Time between two events of a run.
    pub event_interval: Duration,
    /// Number of observations since the previous sample.
    pub weight: u32,
}

/// Samples of one replica, by endpoint.
pub type Report = BTreeMap<Arc<str>, Sample>;

/// Lowest, median and highest relative interval of a service's endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Of the fastest endpoint.
    pub min: f64,
    /// Of the endpoint in the middle.
    pub median: f64,
    /// Of the slowest endpoint.
    pub max: f64,
}

/// Mean that follows changes with a time constant.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    secs: f64,
    weight: f64,
    at: Time,
}

impl Mean {
    fn weight(&self, now: Time, time_constant: Duration) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.weight * (-age / time_constant.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Time, secs: f64, weight: f64, time_constant: Duration, max_weight: f64) {
        let earlier = self.weight(now, time_constant).min(max_weight - weight);
        self.weight = earlier + weight;
        self.secs += (secs - self.secs) * weight / self.weight;
        self.at = now;
    }
}

/// What is known of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    /// Interval by recent observations.
    recent: Mean,
    /// Interval over a longer time.
    level: Mean,
    /// Own observations that were not reported yet: their sum in seconds, their number, and when the
    /// newest was made.
    unreported: (f64, u32, Time),
}

/// Speeds of a service's endpoints.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    endpoints: BTreeMap<Arc<str>, Estimate>,
    /// Median of the recent intervals in seconds, as of the last [`Speeds::recompute`]; `None` without
    /// any.
    typical: Option<f64>,
    is_uneven: bool,
}

impl Speeds {
    /// Records an observation of this replica.
    pub fn record(&mut self, now: Time, endpoint: &Arc<str>, event_interval: Duration) {
        let Some(secs) = self.add(now, endpoint, Sample { event_interval, weight: 1 }) else { return };
        let Some(estimate) = self.endpoints.get_mut(endpoint) else { return };
        let (sum, count, at) = &mut estimate.unreported;
        if now.since(*at) >= REPORT_TTL {
            (*sum, *count) = (0.0, 0);
        }
        *sum += secs;
        *count += 1;
        *at = now;
    }

    /// Adds a sample; returns the interval as which it counts, or `None` if it is ignored. A weight of zero,
    /// no time or an implausibly long one say nothing.
    pub fn add(&mut self, now: Time, endpoint: &Arc<str>, sample: Sample) -> Option<f64> {
        let Sample { event_interval, weight } = sample;
        if weight == 0 || event_interval.is_zero() || event_interval > MAX_INTERVAL {
            return None;
        }
        let secs = event_interval.as_secs_f64();
        let secs = self
            .typical
            .map_or(secs, |typical| secs.clamp(typical / MAX_OUTLIER_FACTOR, typical * MAX_OUTLIER_FACTOR));
        let weight = f64::from(weight).min(MAX_WEIGHT);
        let Estimate { recent, level, .. } = self.endpoints.entry(endpoint.clone()).or_default();
        recent.add(now, secs, weight, TIME_CONSTANT, MAX_WEIGHT);
        level.add(now, secs, weight, LEVEL_TIME_CONSTANT, MAX_LEVEL_WEIGHT);
        Some(secs)
    }

    /// Adds what this replica has observed since the last report, the newest first. Clears it, so that no
    /// observation counts twice at a peer.
    fn take_unreported(&mut self, now: Time) -> Vec<(Time, Arc<str>, Sample)> {
        let fresh = self.endpoints.iter_mut().filter_map(|(endpoint, estimate)| {
            let (sum, count, at) = std::mem::take(&mut estimate.unreported);
            let event_interval = Duration::try_from_secs_f64(sum / f64::from(count)).ok()?;
            let is_fresh = now.since(at) < REPORT_TTL;
            is_fresh.then(|| (at, endpoint.clone(), Sample { event_interval, weight: count }))
        });
        fresh.collect()
    }

    /// Recomputes the typical interval and whether the service is uneven.
    pub fn recompute(&mut self) {
        self.typical = median(self.endpoints.values().map(|estimate| estimate.recent.secs));
        let limit = if self.is_uneven { EVEN_RATIO } else { UNEVEN_RATIO };
        self.is_uneven = self.ratio().is_some_and(|ratio| ratio >= limit);
    }

    /// Returns whether the endpoints differ much in speed.
    pub fn is_uneven(&self) -> bool {
        self.is_uneven
    }

    /// Returns the ratio between the intervals of slow and fast endpoints, without the fastest and slowest
    /// ones; `None` with too few observations.
    pub fn ratio(&self) -> Option<f64> {
        let levels = self.endpoints.values().map(|estimate| estimate.level);
        let known = levels.filter(|level| level.weight >= MIN_LEVEL_WEIGHT);
        let mut levels: Vec<f64> = known.map(|level| level.secs).collect();
        if levels.len() < MIN_COMPARED_ENDPOINTS {
            return None;
        }
        levels.sort_by(f64::total_cmp);
        let rank = levels.len() / TRIMMED_FRACTION;
        Some(levels[levels.len() - 1 - rank] / levels[rank])
    }

    /// Returns an endpoint's event interval as a multiple of the typical one. Without recent observations, an
    /// endpoint counts as typical.
    pub fn relative_interval(&self, now: Time, endpoint: &str) -> f64 {
        let (Some(typical), Some(estimate)) = (self.typical, self.endpoints.get(endpoint)) else {
            return 1.0;
        };
        let weight = estimate.recent.weight(now, TIME_CONSTANT);
        (estimate.recent.secs / typical * weight + PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT)
    }

    /// Returns the typical event interval; `None` without observations.
    pub fn typical(&self) -> Option<Duration> {
        self.typical.map(Duration::from_secs_f64)
    }

    /// Summarizes the relative intervals; `None` without observations.
    pub fn summary(&self, now: Time) -> Option<Summary> {
        let intervals = || self.endpoints.keys().map(|endpoint| self.relative_interval(now, endpoint));
        let median = median(intervals())?;
        let min = intervals().fold(median, f64::min);
        Some(Summary { min, median, max: intervals().fold(median, f64::max) })
    }

    /// Removes what is known of an endpoint.
    pub fn remove(&mut self, endpoint: &str) {
        self.endpoints.remove(endpoint);
    }
}

/// Returns the report on all services, bounded in size; the newest observations come first.
pub fn take_report<'a>(now: Time, services: impl Iterator<Item = &'a mut Speeds>) -> Report {
    let mut fresh: Vec<_> = services.flat_map(|speeds| speeds.take_unreported(now)).collect();
    fresh.sort_by_key(|(at, ..)| Reverse(*at));
    fresh.into_iter().take(MAX_REPORTED).map(|(_, endpoint, sample)| (endpoint, sample)).collect()
}

fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    let last = values.len().checked_sub(1)?;
    Some(values[last / 2])
}
