//! How long each token takes, where what was seen may hold waiting that nobody told of.

use std::time::Duration;

use super::Trend;
use crate::clock::Time;

/// Observations that are kept: few enough that a change of speed is followed within some requests.
const WINDOW: usize = 8;
/// Observations from which a rate says something.
const MIN_SAMPLES: usize = 3;
/// Part of the observations that are faster than what is taken for the rate. Waiting behind prompts of
/// other entries only adds, so what an endpoint needs by itself lies at the lower edge; the fastest alone
/// may be one that found its prompt read already.
const QUANTILE: f64 = 0.25;

/// Seconds for each token, of the newest observations.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    samples: [f64; WINDOW],
    /// How many were ever taken.
    count: usize,
    /// Whether the newest was not waited for to its end.
    timed_out: bool,
    at: Time,
}

impl Rate {
    /// Takes an observation; one that makes no sense is left out.
    pub fn add(&mut self, now: Time, tokens: u64, time: Duration) {
        if tokens == 0 || time.is_zero() {
            return;
        }
        self.samples[self.count % WINDOW] = time.as_secs_f64() / tokens as f64;
        self.count += 1;
        self.timed_out = false;
        self.at = now;
    }

    /// Takes that something took at least this long, and was not waited for any longer.
    pub fn add_at_least(&mut self, now: Time, tokens: u64, time: Duration) {
        if self.trend().is_none_or(|trend| trend.at(tokens) < time) {
            self.add(now, tokens, time);
        }
        self.timed_out = true;
    }

    /// Whether the endpoint answered last time.
    pub fn is_responsive(&self) -> bool {
        !self.timed_out
    }

    /// The time in proportion to tokens; none while too little was estimates.
    pub fn trend(&self) -> Option<Trend> {
        let known = self.count.min(WINDOW);
        if known < MIN_SAMPLES {
            return None;
        }
        let mut sorted = self.samples[..known].to_vec();
        sorted.sort_by(f64::total_cmp);
        Some(Trend { base: 0.0, slope: sorted[((known - 1) as f64 * QUANTILE) as usize] })
    }

    /// When the newest observation was made.
    pub fn at(&self) -> Time {
        self.at
    }
}
