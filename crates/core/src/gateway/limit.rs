//! Endpoints in need, which name a limit on the requests that they take from all replicas together.
//!
//! An endpoint names its limit in each response for as long as it needs one. Replicas report to each other what they
//! saw in responses, and the newest observation holds. The owners of the endpoint share the limit; if nothing has been
//! seen of it for a while, for example because its owners are gone, the next replicas in order take their place.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::throttle::{GROUPS, INTERVAL_MARGIN, MAX_DURATION, Roster, Share, Throttle};
use crate::clock::Time;

/// Period in which requests to a limited endpoint are counted.
const PERIOD: Duration = Duration::from_secs(4);
/// Factor on the limit up to which an endpoint bears requests.
const TOLERATED_FACTOR: f64 = 1.5;
/// Requests in a period that it bears in addition.
const TOLERATED_SLACK: f64 = 5.0;
/// Fraction of the limit that its owners use. Leaves room for owners of another group of replicas.
const USED_FRACTION: f64 = 0.7;
/// Smallest limit that is believed, in requests a second. With less, the end of the limit would hardly be noticed.
const MIN_LIMIT: f64 = 0.1;
/// Shortest time without an observation after which other replicas take the place of the owners.
const MIN_TAKEOVER_DELAY: Duration = Duration::from_secs(3);
/// The same time in intervals between the requests of an owner.
const TAKEOVER_INTERVALS: u32 = 2;
/// How long the end of a limit is reported to peers. Several digests carry it, as each may be lost. A limit is reported
/// until something newer is known, so that new processes learn of it.
const END_REPORT_TTL: Duration = Duration::from_secs(2);

/// What a response of an endpoint showed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// Requests a second that the endpoint takes; `None` if it named no limit.
    pub limit: Option<f64>,
    /// When the response was read.
    pub at: Time,
}

/// An observation as reported to a peer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Requests a second that the endpoint takes; `None` if it named no limit.
    pub limit: Option<f64>,
    /// Time since the response was read.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    observation: Observation,
    /// Whether this replica read the response itself.
    is_own: bool,
}

/// The newest observations of endpoints that name a limit or have lately named one.
#[derive(Clone, Debug, Default)]
pub struct Limits(BTreeMap<Arc<str>, Known>);

impl Limits {
    /// Records an observation of this replica or, unless `is_own`, of a peer. Older ones than the last are ignored.
    pub fn record(&mut self, endpoint: &Arc<str>, observation: Observation, is_own: bool) {
        let limit = observation.limit.filter(|limit| limit.is_finite()).map(|limit| limit.max(MIN_LIMIT));
        let known = self.0.get(endpoint).map(|known| known.observation);
        // An endpoint without a limit is not worth remembering, unless it had one.
        let is_news = known.map_or(limit.is_some(), |known| known.at < observation.at);
        if is_news {
            let observation = Observation { limit, ..observation };
            self.0.insert(endpoint.clone(), Known { observation, is_own });
        }
    }

    /// Removes endpoints of which nothing has been seen for long.
    pub fn expire(&mut self, now: Time) {
        self.0.retain(|_, known| now.since(known.observation.at) < MAX_DURATION);
    }

    /// Forgets an endpoint that has restarted or was removed.
    pub fn remove(&mut self, endpoint: &str) {
        self.0.remove(endpoint);
    }

    /// Returns the limit of an endpoint in requests a second, if it names one.
    pub fn get(&self, endpoint: &str) -> Option<f64> {
        self.0.get(endpoint)?.observation.limit
    }

    /// Returns the latest observations of this replica, for its digest.
    pub fn report(&self, now: Time) -> BTreeMap<Arc<str>, Report> {
        let own = self.0.iter().filter(|(_, known)| known.is_own);
        let reports = own.map(|(endpoint, Known { observation, .. })| {
            (endpoint.clone(), Report { limit: observation.limit, age: now.since(observation.at) })
        });
        reports.filter(|(_, report)| report.limit.is_some() || report.age < END_REPORT_TTL).collect()
    }

    /// Returns the throttles of the endpoints that name a limit, for one replica.
    pub fn throttles(&self, now: Time, roster: &Roster) -> BTreeMap<Arc<str>, Throttle> {
        let named = self.0.iter().filter_map(|(endpoint, known)| {
            let Observation { limit, at } = known.observation;
            Some((endpoint, limit?, at))
        });
        let throttles = named.map(|(endpoint, limit, at)| {
            let Share { owners, interval } = share(limit);
            let delay = MIN_TAKEOVER_DELAY.max(interval * TAKEOVER_INTERVALS);
            let round = now.since(at).div_duration_f64(delay) as usize;
            let is_owner = roster.is_owner_in_round(endpoint, owners, round);
            let until = at.plus(MAX_DURATION);
            (endpoint.clone(), Throttle::new(until, is_owner.then_some(interval)))
        });
        throttles.collect()
    }
}

/// Computes how the owners of an endpoint share its limit. The owners of all groups together stay within what the
/// endpoint bears in any period.
fn share(limit: f64) -> Share {
    let period = PERIOD.as_secs_f64();
    let most_per_group = (TOLERATED_FACTOR * limit * period + TOLERATED_SLACK) / GROUPS;
    // An owner may send one request more in a period than its rate says.
    let owners = (most_per_group - USED_FRACTION * limit * period).max(1.0) as usize;
    let interval = Duration::try_from_secs_f64(owners as f64 / (USED_FRACTION * limit));
    Share { owners, interval: interval.unwrap_or(MAX_DURATION) + INTERVAL_MARGIN }
}
