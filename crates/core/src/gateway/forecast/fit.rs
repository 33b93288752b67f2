//! Exponentially weighted linear regression of a time on a size.

use std::time::Duration;

use crate::clock::Time;

/// Factor on the weight of earlier observations with each new one. Low enough to follow a change of
/// speed within a few requests.
const DECAY: f64 = 0.9;
/// Total weight of observations needed for a trend.
const MIN_WEIGHT: f64 = 2.5;
/// Largest factor by which an observation may deviate from the trend; larger ones are clamped, so
/// that a single delayed request has little effect.
const MAX_OUTLIER_FACTOR: f64 = 4.0;
/// Relative variation of the observed sizes below which the slope is pulled towards zero.
const SLOPE_REGULARIZATION: f64 = 0.5;
/// Longest plausible time; longer observations are ignored.
const MAX_SECS: f64 = 60.0;

/// A time as a linear function of a size in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Trend {
    /// Seconds at size zero.
    pub base: f64,
    /// Seconds per token.
    pub slope: f64,
}

impl Trend {
    /// Returns the time at a size in tokens.
    pub fn at(&self, size: u64) -> Duration {
        Duration::from_secs_f64(self.seconds(size as f64))
    }

    /// Returns the trend of an endpoint that takes this many times as long.
    pub fn slowed(self, factor: f64) -> Self {
        Self { base: self.base * factor, slope: self.slope * factor }
    }

    fn seconds(&self, size: f64) -> f64 {
        let seconds = self.base + self.slope * size;
        if seconds.is_finite() { seconds.clamp(0.0, MAX_SECS) } else { 0.0 }
    }
}

/// Running sums of the regression.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fit {
    weight: f64,
    /// Mean size, in tokens.
    size: f64,
    /// Mean time, in seconds.
    time: f64,
    /// Weighted sum of squared deviations of the size.
    squares: f64,
    /// Weighted sum of products of the deviations of size and time.
    products: f64,
    /// Time of the newest observation.
    at: Time,
}

impl Fit {
    /// Adds an observation. Implausible times are ignored.
    pub fn add(&mut self, now: Time, size: u64, time: Duration) {
        let (size, seconds) = (size as f64, time.as_secs_f64());
        if seconds <= 0.0 || seconds > MAX_SECS {
            return;
        }
        let seconds = match self.trend() {
            Some(trend) => {
                let expected = trend.seconds(size);
                seconds.clamp(
                    expected / MAX_OUTLIER_FACTOR,
                    expected.max(f64::MIN_POSITIVE) * MAX_OUTLIER_FACTOR,
                )
            }
            None => seconds,
        };
        self.weight = self.weight * DECAY + 1.0;
        let delta = size - self.size;
        self.size += delta / self.weight;
        self.time += (seconds - self.time) / self.weight;
        self.squares = self.squares * DECAY + delta * (size - self.size);
        self.products = self.products * DECAY + delta * (seconds - self.time);
        self.at = now;
    }

    /// Returns the regularized trend, or `None` with too few observations.
    pub fn trend(&self) -> Option<Trend> {
        if self.weight < MIN_WEIGHT {
            return None;
        }
        let regularization = self.weight * (self.size * SLOPE_REGULARIZATION).powi(2).max(1.0);
        let slope = (self.products / (self.squares + regularization)).max(0.0);
        // Keeps the base from becoming negative, which would give a time of zero for small sizes.
        let slope = slope.min(self.time / self.size.max(1.0));
        Some(Trend { base: self.time - slope * self.size, slope })
    }

    /// Returns the mean observed size, in tokens.
    pub fn size(&self) -> u64 {
        self.size as u64
    }

    /// Returns the time of the newest observation.
    pub fn at(&self) -> Time {
        self.at
    }
}

/// Returns the median of trends at their median size, and that size. A few slow endpoints don't
/// affect it.
pub fn median(known: impl Iterator<Item = (Trend, u64)>) -> Option<(Trend, u64)> {
    let (mut trends, mut sizes): (Vec<Trend>, Vec<u64>) = known.unzip();
    let last = trends.len().checked_sub(1)?;
    sizes.sort_unstable();
    let size = sizes[last / 2];
    trends.sort_by_key(|trend| trend.at(size));
    Some((trends[last / 2], size))
}
