//! How answers compare to what callers expected of them.

/// Part of its weight that an answer keeps with each one that follows: the last fifty decide.
const KEPT: f64 = 0.98;
/// Answers from which the comparison says something.
const ENOUGH: f64 = 2.5;
/// Spread that is assumed before answers were seen, of the logarithm: one answer in six is longer
/// than 1.6 times its estimate.
const START_SPREAD: f64 = 0.5;
/// Answers that the assumed spread counts for.
const START_WEIGHT: f64 = 5.0;

/// Tokens expected for each event that came, as a distribution of their logarithm. Estimates are
/// right in the middle, so the middle tells how many tokens an event carries.
#[derive(Clone, Copy, Debug, Default)]
pub struct Answers {
    weight: f64,
    mean: f64,
    /// Weighted sum of squares of the distances from the mean.
    squares: f64,
    /// Mean number of events of an answer.
    events: f64,
}

/// What is known of answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    /// Tokens that an event carries.
    pub event_tokens: f64,
    /// Spread of the logarithm of an answer's length against its estimate.
    pub spread: f64,
    /// Events of an answer, on average.
    pub events: f64,
    /// Answers that this rests on; the oldest count less.
    pub weight: f64,
}

impl Answers {
    /// Takes an answer that ended well.
    pub fn note(&mut self, expected: u64, events: u64) {
        if expected == 0 || events == 0 {
            return;
        }
        let value = (expected as f64 / events as f64).ln();
        self.weight = self.weight * KEPT + 1.0;
        let off = value - self.mean;
        self.mean += off / self.weight;
        self.squares = self.squares * KEPT + off * (value - self.mean);
        self.events += (events as f64 - self.events) / self.weight;
    }

    /// What the answers show; none while too few were seen.
    pub fn answer(&self) -> Option<Answer> {
        if self.weight < ENOUGH {
            return None;
        }
        let assumed = START_SPREAD.powi(2) * START_WEIGHT;
        let variance = (self.squares + assumed) / (self.weight + START_WEIGHT);
        Some(Answer {
            event_tokens: self.mean.exp(),
            spread: variance.sqrt(),
            events: self.events,
            weight: self.weight,
        })
    }
}

/// What several entries saw, each as much as it rests on; none if nobody saw any.
pub fn together<'a>(seen: impl Iterator<Item = &'a Answer>) -> Option<Answer> {
    let seen: Vec<&Answer> = seen.filter(|answer| answer.weight > 0.0).collect();
    let weight: f64 = seen.iter().map(|answer| answer.weight).sum();
    let mean = |of: fn(&Answer) -> f64| {
        let sum: f64 = seen.iter().map(|answer| of(answer) * answer.weight).sum();
        sum / weight
    };
    (weight > 0.0).then(|| Answer {
        event_tokens: mean(|answer| answer.event_tokens.max(f64::MIN_POSITIVE).ln()).exp(),
        spread: mean(|answer| answer.spread),
        events: mean(|answer| answer.events),
        weight,
    })
}

impl Default for Answer {
    fn default() -> Self {
        Self { event_tokens: 10.0, spread: START_SPREAD, events: 50.0, weight: 0.0 }
    }
}
