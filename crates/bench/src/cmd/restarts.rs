//! `restarts`: restarts gateways under load and checks what callers and endpoints saw.

use bpaf::Bpaf;
use strum::IntoEnumIterator as _;

use crate::platform::{
    restarts::{History, Promise, run_all},
    site::SiteError,
};

/// Options of `restarts`.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// First seed
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// Number of seeds
    #[bpaf(long, argument("N"), fallback(50), display_fallback)]
    seeds: u64,
    /// Number of concurrent runs
    #[bpaf(long, argument("N"), fallback(4), display_fallback)]
    at_once: usize,
}

/// Runs all seeds and prints a line for each, and its violations. Returns true if there are none.
pub fn execute(options: Options) -> Result<bool, SiteError> {
    let seeds: Vec<u64> = (options.seed..options.seed.saturating_add(options.seeds)).collect();
    let mut failed_seeds = 0;
    for batch in seeds.chunks(options.at_once.max(1)) {
        for history in run_all(batch)? {
            failed_seeds += usize::from(!print_history(&history));
        }
    }
    println!("{} seeds, {failed_seeds} with violations", seeds.len());
    Ok(failed_seeds == 0)
}

/// Returns whether all promises were kept.
fn print_history(history: &History) -> bool {
    let violations: Vec<_> = Promise::iter().flat_map(|promise| history.violations(promise)).collect();
    println!("seed {}: {} violations, {:?}", history.seed, violations.len(), history.totals());
    violations.iter().for_each(|violation| println!("  {violation}"));
    violations.is_empty()
}
