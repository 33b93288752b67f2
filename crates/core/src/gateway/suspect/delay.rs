//! How long a suspect that is held off waits for its next trial.

use std::time::Duration;

/// Number of crashes from which on trials become rare.
const RARE_FROM_CRASHES: usize = 5;
/// Delay of a trial after each one that ended in a crash, with fewer crashes.
const EARLY_DELAY: Duration = Duration::from_secs(2);
/// Delay after the first trial that ended in a crash, with that many crashes; grows with each further one.
const RARE_DELAY: Duration = Duration::from_secs(30);
const RARE_DELAY_GROWTH: u32 = 4;
const MAX_DELAY: Duration = Duration::from_secs(1_800);

/// Returns the delay from the last crash of a suspect to its next trial.
pub(super) fn before_trial(crashes: usize, failed_trials: usize) -> Duration {
    let failed = u32::try_from(failed_trials).unwrap_or(u32::MAX);
    match failed {
        0 => Duration::ZERO,
        _ if crashes < RARE_FROM_CRASHES => EARLY_DELAY * failed,
        _ => RARE_DELAY.saturating_mul(RARE_DELAY_GROWTH.saturating_pow(failed - 1)).min(MAX_DELAY),
    }
}
