//! Time per token, estimated robustly against queueing behind other replicas' requests.

use std::time::Duration;

use super::Trend;
use crate::clock::Time;

/// Number of samples kept. Low enough to follow a change of speed within a few requests.
const WINDOW: usize = 8;
/// Number of samples needed for a rate.
const MIN_SAMPLES: usize = 3;
/// Quantile of the samples that gives the rate. Queueing behind other replicas' prompts only adds
/// time, so the rate is at the lower end; the minimum itself may come from a prefix cache hit.
const QUANTILE: f64 = 0.25;

/// Window of the newest samples, in seconds per token.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    samples: [f64; WINDOW],
    /// Number of samples ever added.
    count: usize,
    /// Whether the newest request timed out.
    timed_out: bool,
    at: Time,
}

impl Rate {
    /// Adds a sample. Zero tokens or times are ignored.
    pub fn add(&mut self, now: Time, tokens: u64, time: Duration) {
        if tokens == 0 || time.is_zero() {
            return;
        }
        self.samples[self.count % WINDOW] = time.as_secs_f64() / tokens as f64;
        self.count += 1;
        self.timed_out = false;
        self.at = now;
    }

    /// Adds a lower bound from a request that timed out. Counts as a sample only if it exceeds the
    /// current rate.
    pub fn add_at_least(&mut self, now: Time, tokens: u64, time: Duration) {
        if self.trend().is_none_or(|trend| trend.at(tokens) < time) {
            self.add(now, tokens, time);
        }
        self.timed_out = true;
    }

    /// Returns whether the newest request got a response.
    pub fn is_responsive(&self) -> bool {
        !self.timed_out
    }

    /// Returns a trend proportional to the size, or `None` with too few samples.
    pub fn trend(&self) -> Option<Trend> {
        let known = self.count.min(WINDOW);
        if known < MIN_SAMPLES {
            return None;
        }
        let mut sorted = self.samples[..known].to_vec();
        sorted.sort_by(f64::total_cmp);
        Some(Trend { base: 0.0, slope: sorted[((known - 1) as f64 * QUANTILE) as usize] })
    }

    /// Returns the time of the newest sample.
    pub fn at(&self) -> Time {
        self.at
    }
}
