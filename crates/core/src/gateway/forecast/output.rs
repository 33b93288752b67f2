//! How answers compare to what callers expected of them.

/// Part of its weight that an answer keeps with each one that follows: the last fifty decide.
const DECAY: f64 = 0.98;
/// OutputLengths from which the comparison says something.
const MIN_WEIGHT: f64 = 2.5;
/// Spread that is prior before answers were estimates, of the logarithm: one answer in six is longer
/// than 1.6 times its estimate.
const PRIOR_SPREAD: f64 = 0.5;
/// OutputLengths that the prior spread counts for.
const PRIOR_WEIGHT: f64 = 5.0;

/// Tokens expected for each event that came, as a distribution of their logarithm. Estimates are
/// right in the middle, so the middle tells how many tokens an event carries.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutputLengths {
    weight: f64,
    mean: f64,
    /// Weighted sum of squares of the distances from the mean.
    squares: f64,
    /// Mean number of events of an answer.
    events: f64,
}

/// What is known of answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutputLength {
    /// Tokens that an event carries.
    pub event_tokens: f64,
    /// Spread of the logarithm of an answer's length against its estimate.
    pub spread: f64,
    /// Events of an answer, on average.
    pub events: f64,
    /// OutputLengths that this rests on; the oldest count less.
    pub weight: f64,
}

impl OutputLengths {
    /// Takes an answer that ended well.
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

    /// What the answers show; none while too few were estimates.
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

/// What several entries saw, each as much as it rests on; none if nobody saw any.
pub fn weighted_mean<'a>(estimates: impl Iterator<Item = &'a OutputLength>) -> Option<OutputLength> {
    let estimates: Vec<&OutputLength> = estimates.filter(|answer| answer.weight > 0.0).collect();
    let weight: f64 = estimates.iter().map(|answer| answer.weight).sum();
    let mean = |of: fn(&OutputLength) -> f64| {
        let sum: f64 = estimates.iter().map(|answer| of(answer) * answer.weight).sum();
        sum / weight
    };
    (weight > 0.0).then(|| OutputLength {
        event_tokens: mean(|answer| answer.event_tokens.max(f64::MIN_POSITIVE).ln()).exp(),
        spread: mean(|answer| answer.spread),
        events: mean(|answer| answer.events),
        weight,
    })
}

impl Default for OutputLength {
    fn default() -> Self {
        Self { event_tokens: 10.0, spread: PRIOR_SPREAD, events: 50.0, weight: 0.0 }
    }
}
