//! Memory of an endpoint's runs over time, as their answers grow and end.
//!
//! Where answers are as long as prompts, what a run takes doubles until its end, and when it ends is known
//! only as well as its caller's estimate. All runs of an endpoint make tokens in the same steps, so time is
//! counted in tokens ahead, whatever the engine's speed.

use std::ops::{Add, AddAssign};

use super::forecast::Size;

/// Tokens ahead at which memory is looked at: from now to the end of long answers.
pub const HORIZONS: [u64; 8] = [0, 256, 512, 1_024, 2_048, 4_096, 8_192, 16_384];

/// Steepness of a logistic curve over the logarithm that has the spread of a normal one, times the spread.
const STEEPNESS: f64 = 1.7;
/// Standard deviations of a run's being still there that are kept free besides. One for each of nine runs is
/// three of all together, which holds nearly always; without, an endpoint whose answers are as long as
/// prompts is overfilled in bursts, and a run is preempted, pauses and is read again.
const DEVIATIONS_RESERVED: f64 = 1.0;
/// Spreads below this would make every answer end at its estimate to the token.
const MIN_SPREAD: f64 = 0.05;

/// Memory that is to be kept for runs at each of [`HORIZONS`], tokens: what they are expected to take, and some
/// more where it is open whether they still run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Growth(pub [u32; HORIZONS.len()]);

impl Growth {
    /// Memory that neither grows nor becomes free.
    pub fn flat(memory: u64) -> Self {
        Self([to_tokens(memory as f64); HORIZONS.len()])
    }

    /// The memory of a run that has made `made` tokens of its answer, whose length may be off from its
    /// estimate by `spread`, of the logarithm.
    pub fn for_run(size: Size, generated: u64, spread: f64) -> Self {
        let now = survival(size, generated as f64, spread).max(f64::MIN_POSITIVE);
        Self(HORIZONS.map(|ahead| {
            let tokens = (generated + ahead) as f64;
            let running = (survival(size, tokens, spread) / now).min(1.0);
            let deviation = (running * (1.0 - running)).sqrt();
            to_tokens((size.prompt as f64 + tokens) * (running + DEVIATIONS_RESERVED * deviation).min(1.0))
        }))
    }

    /// The most that is taken at any time.
    pub fn peak(&self) -> u64 {
        u64::from(self.0.iter().copied().max().unwrap_or_default())
    }
}

/// Part of the answers of a size that are longer than a number of tokens.
fn survival(size: Size, tokens: f64, spread: f64) -> f64 {
    if tokens <= 0.0 {
        return 1.0;
    }
    if tokens >= size.max_output as f64 {
        return 0.0;
    }
    let steepness = STEEPNESS / spread.max(MIN_SPREAD);
    1.0 / (1.0 + (tokens / size.expected_output.max(1) as f64).powf(steepness))
}

fn to_tokens(tokens: f64) -> u32 {
    // A cast of a float stops at the type's bounds.
    tokens as u32
}

impl Add for Growth {
    type Output = Self;

    fn add(mut self, other: Self) -> Self {
        self += other;
        self
    }
}

impl AddAssign for Growth {
    fn add_assign(&mut self, other: Self) {
        for (sum, part) in self.0.iter_mut().zip(other.0) {
            *sum = sum.saturating_add(part);
        }
    }
}
