//! Expected KV cache use of an endpoint's runs over time.
//!
//! A run's memory grows with its output until it ends. All runs of an endpoint decode in lockstep,
//! so time is counted in decoded tokens, independent of the engine's speed.

use std::ops::{Add, AddAssign};

use super::forecast::Size;

/// Numbers of further decoded tokens at which memory use is computed.
pub const HORIZONS: [u64; 8] = [0, 256, 512, 1_024, 2_048, 4_096, 8_192, 16_384];

/// Product of steepness and spread with which a logistic curve approximates a normal distribution.
const STEEPNESS: f64 = 1.7;
/// Number of standard deviations of memory use that are reserved per run in addition to the mean.
/// Avoids preemptions when a burst of runs reaches an endpoint together. One for each of nine runs
/// makes three of their sum, which is rarely exceeded.
const DEVIATIONS_RESERVED: f64 = 1.0;
/// Lower bound of the spread, which keeps the steepness finite.
const MIN_SPREAD: f64 = 0.05;

/// Memory to reserve at each of [`HORIZONS`], in tokens: the expected use, with a margin where it
/// is uncertain whether the run has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Growth(pub [u32; HORIZONS.len()]);

impl Growth {
    /// Returns a constant memory use.
    pub fn flat(memory: u64) -> Self {
        Self([to_tokens(memory as f64); HORIZONS.len()])
    }

    /// Returns the memory of a run that has generated `generated` tokens. `spread` is the standard
    /// deviation of the logarithm of its actual over its estimated output length.
    pub fn for_run(size: Size, generated: u64, spread: f64) -> Self {
        let current = survival(size, generated as f64, spread).max(f64::MIN_POSITIVE);
        Self(HORIZONS.map(|horizon| {
            let tokens = (generated + horizon) as f64;
            let running = (survival(size, tokens, spread) / current).min(1.0);
            let deviation = (running * (1.0 - running)).sqrt();
            to_tokens((size.prompt as f64 + tokens) * (running + DEVIATIONS_RESERVED * deviation).min(1.0))
        }))
    }

    /// Returns the largest memory use over all horizons.
    pub fn peak(&self) -> u64 {
        u64::from(self.0.iter().copied().max().unwrap_or_default())
    }
}

/// Returns the probability that an output is longer than `tokens`.
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
    // The cast saturates.
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
