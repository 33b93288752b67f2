//! A straight line through observations, of which the newest count most.

use std::time::Duration;

use crate::clock::Time;

/// Part of its weight that an observation keeps with each one that follows: the last ten decide, so
/// that a change of speed is followed within some requests.
const DECAY: f64 = 0.9;
/// Weight of observations from which a line says something.
const MIN_WEIGHT: f64 = 2.5;
/// One observation moves the line as if it were delta by this factor at most: one request that was held
/// up, or a sick endpoint's, must not undo what all others showed.
const MAX_OUTLIER_FACTOR: f64 = 4.0;
/// Sizes that differ by less than this part of their mean hardly tell how the time grows with them.
const SLOPE_REGULARIZATION: f64 = 0.5;
/// Longest time that is believed, seconds.
const MAX_SECS: f64 = 60.0;

/// A time that grows with a size.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Trend {
    /// Seconds at size zero.
    pub base: f64,
    /// Seconds more for each token.
    pub slope: f64,
}

impl Trend {
    /// The time at a size in tokens.
    pub fn at(&self, size: u64) -> Duration {
        Duration::from_secs_f64(self.seconds(size as f64))
    }

    fn seconds(&self, size: f64) -> f64 {
        let seconds = self.base + self.slope * size;
        if seconds.is_finite() { seconds.clamp(0.0, MAX_SECS) } else { 0.0 }
    }
}

/// Observations of one time, fading.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fit {
    weight: f64,
    /// Mean size, tokens.
    size: f64,
    /// Mean time, seconds.
    time: f64,
    /// Weighted sum of squares of the sizes' distances from their mean.
    spread: f64,
    /// Weighted sum of products of both distances.
    product: f64,
    /// When the newest was made.
    at: Time,
}

impl Fit {
    /// Takes an observation; one that makes no sense is left out.
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
        self.spread = self.spread * DECAY + delta * (size - self.size);
        self.product = self.product * DECAY + delta * (seconds - self.time);
        self.at = now;
    }

    /// The line, as level as the observations allow; none while too little was estimates.
    pub fn trend(&self) -> Option<Trend> {
        if self.weight < MIN_WEIGHT {
            return None;
        }
        let regularization = self.weight * (self.size * SLOPE_REGULARIZATION).powi(2).max(1.0);
        let slope = (self.product / (self.spread + regularization)).max(0.0);
        // A line that crosses zero at some size would give no time at all below it.
        let slope = slope.min(self.time / self.size.max(1.0));
        Some(Trend { base: self.time - slope * self.size, slope })
    }

    /// Mean size of what was estimates, tokens.
    pub fn size(&self) -> u64 {
        self.size as u64
    }

    /// When the newest observation was made.
    pub fn at(&self) -> Time {
        self.at
    }
}

/// The line in the middle of several, at their common size: what most endpoints show, whatever a few sick
/// ones do.
pub fn median(known: impl Iterator<Item = (Trend, u64)>) -> Option<(Trend, u64)> {
    let (mut trends, mut sizes): (Vec<Trend>, Vec<u64>) = known.unzip();
    let last = trends.len().checked_sub(1)?;
    sizes.sort_unstable();
    let size = sizes[last / 2];
    trends.sort_by_key(|trend| trend.at(size));
    Some((trends[last / 2], size))
}
