//! Output lengths in relation to the callers' estimates.

/// Factor on the weight of earlier outputs with each new one; about the last fifty count.
const DECAY: f64 = 0.98;
/// Total weight of observations needed for an estimate.
const MIN_WEIGHT: f64 = 2.5;
/// Prior standard deviation of the logarithm: one output in six is longer than 1.6 times its
/// estimate.
const PRIOR_SPREAD: f64 = 0.5;
/// Number of observations that the prior counts as.
const PRIOR_WEIGHT: f64 = 5.0;

/// Running log-normal statistics of estimated tokens per observed event. Assumes that the median of
/// callers' estimates is accurate, so that the mean of the logarithm gives the tokens per event.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutputLengths {
    weight: f64,
    mean: f64,
    /// Weighted sum of squared distances from the mean.
    squares: f64,
    /// Mean number of events per output.
    events: f64,
}

/// Estimated distribution of output lengths.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutputLength {
    /// Tokens per event.
    pub event_tokens: f64,
    /// Standard deviation of the logarithm of an output's actual over its estimated length.
    pub spread: f64,
    /// Mean number of events per output.
    pub events: f64,
    /// Number of observations behind the estimate, with older ones counting less.
    pub weight: f64,
}

impl OutputLengths {
    /// Adds a completed output.
    pub fn add(&mut self, expected: u64, events: u64) {
        if expected == 0 || events == 0 {
            return;
        }
        let value = (expected as f64 / events as f64).ln();
        self.weight = self.weight * DECAY + 1.0;
        let delta = value - self.mean;
        self.mean += delta / self.weight;
        self.squares = self.squares * DECAY + delta * (value - self.mean);
        self.events += (events as f64 - self.events) / self.weight;
    }

    /// Returns the estimate, or `None` with too few observations.
    pub fn estimate(&self) -> Option<OutputLength> {
        if self.weight < MIN_WEIGHT {
            return None;
        }
        let prior = PRIOR_SPREAD.powi(2) * PRIOR_WEIGHT;
        let variance = (self.squares + prior) / (self.weight + PRIOR_WEIGHT);
        Some(OutputLength {
            event_tokens: self.mean.exp(),
            spread: variance.sqrt(),
            events: self.events,
            weight: self.weight,
        })
    }
}

/// Returns the mean of several replicas' estimates, weighted by their observations; `None` if there
/// are no observations.
pub fn weighted_mean<'a>(estimates: impl Iterator<Item = &'a OutputLength>) -> Option<OutputLength> {
    let estimates: Vec<&OutputLength> = estimates.filter(|estimate| estimate.weight > 0.0).collect();
    let weight: f64 = estimates.iter().map(|estimate| estimate.weight).sum();
    let mean = |of: fn(&OutputLength) -> f64| {
        let sum: f64 = estimates.iter().map(|estimate| of(estimate) * estimate.weight).sum();
        sum / weight
    };
    (weight > 0.0).then(|| OutputLength {
        event_tokens: mean(|estimate| estimate.event_tokens.max(f64::MIN_POSITIVE).ln()).exp(),
        spread: mean(|estimate| estimate.spread),
        events: mean(|estimate| estimate.events),
        weight,
    })
}

impl Default for OutputLength {
    fn default() -> Self {
        Self { event_tokens: 10.0, spread: PRIOR_SPREAD, events: 50.0, weight: 0.0 }
    }
}
