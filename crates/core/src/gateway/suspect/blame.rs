//! Which suspects explain the crashes.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    Suspect,
    evidence::{Crash, Evidence, Record, Run, Stamp},
};
use crate::clock::micros;

/// Weight of crashes, not explained by others, for which a suspect is held off: two under runs that had just started, or
/// three.
const GUILT_WEIGHT: u32 = 6;
/// Number of waves of crashes for which a suspect is held off that was completed before. Popular parts are interrupted by
/// each wave of unrelated crashes.
const WAVE_LIMIT: usize = 3;
/// Crashes that follow each other within this time are one wave.
const WAVE_GAP: Duration = Duration::from_millis(500);

/// Returns the suspects that are held off. Those in the most crashes come first; the crashes that they explain do not
/// count against others, which only ran or waited beside them.
pub(super) fn held(records: &BTreeMap<Suspect, Record>) -> BTreeSet<Suspect> {
    let mut by_count: BTreeMap<usize, Vec<(Suspect, &Record)>> = BTreeMap::new();
    for (suspect, record) in records {
        by_count.entry(record.crashes.len()).or_default().push((*suspect, record));
    }
    let (mut held, mut explained) = (BTreeSet::new(), BTreeSet::new());
    for (_, group) in by_count.into_iter().rev() {
        let guilty: Vec<(Suspect, &Record)> =
            group.into_iter().filter(|(_, record)| is_guilty(record, &explained)).collect();
        explained.extend(guilty.iter().flat_map(|(_, record)| record.crashes.keys().copied()));
        held.extend(guilty.iter().map(|(suspect, _)| *suspect));
    }
    held
}

fn is_guilty(record: &Record, explained: &BTreeSet<Crash>) -> bool {
    let unexplained = record.crashes.iter().filter(|(crash, _)| !explained.contains(crash));
    let unexplained: Vec<Evidence> = unexplained.map(|(_, evidence)| *evidence).collect();
    match record.completed() {
        None => unexplained.iter().map(|evidence| weight(evidence.run)).sum::<u32>() >= GUILT_WEIGHT,
        Some(_) => {
            let mut times: Vec<Stamp> = unexplained.iter().map(|evidence| evidence.at).collect();
            times.sort_unstable();
            waves(&times) >= WAVE_LIMIT
        }
    }
}

/// Returns how much a crash under a run counts. A crash that its request causes comes soon after the run starts, but the
/// endpoint may have sent events by then.
fn weight(run: Run) -> u32 {
    match run {
        Run::Starting => 3,
        Run::Generating => 2,
    }
}

/// Returns the number of waves in ordered times.
fn waves(times: &[Stamp]) -> usize {
    let gap = i64::try_from(micros(WAVE_GAP)).unwrap_or(i64::MAX);
    let breaks = times.windows(2).filter(|pair| pair[1].saturating_sub(pair[0]) >= gap).count();
    breaks + usize::from(!times.is_empty())
}
