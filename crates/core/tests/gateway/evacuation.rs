//! Tests of the evacuation of availability zones.

use std::{collections::BTreeSet, sync::Arc};

use quickcheck::{Gen, QuickCheck};
use tarragonhill_core::gateway::evacuation::{Batch, Change, Evacuations, Report};

use crate::{at, position};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

fn change(version: u64, zone: &str, is_evacuated: bool) -> Change {
    Change { zone: zone.into(), position: position(version), is_evacuated }
}

/// Returns evacuations as of a version.
fn holding(version: u64, zones: &[&str]) -> Evacuations {
    let mut evacuations = Evacuations::default();
    let zones = zones.iter().map(|zone| Arc::from(*zone));
    evacuations.apply(at(0), Batch::Complete(Report::new(position(version), zones)));
    evacuations
}

fn zones(evacuations: &Evacuations) -> Vec<&str> {
    evacuations.zones().map(|zone| &**zone).collect()
}

/// Guards against an evacuation that ends when a replica that reads late reports what it knows.
#[test]
fn older_evacuations_of_a_peer_or_of_the_store_are_ignored() {
    let mut evacuations = holding(10, &[]);
    evacuations.apply(at(0), Batch::Changes(vec![change(12, "zone-a", true)]));
    evacuations.merge(at(0), &Report::new(position(11), []));
    evacuations.apply(at(0), Batch::Complete(Report::new(position(11), [])));
    evacuations.apply(at(0), Batch::Changes(vec![change(11, "zone-a", false)]));
    assert_eq!((zones(&evacuations), evacuations.position()), (vec!["zone-a"], position(12)));
}

/// Guards against a second evacuation that replaces the first.
#[test]
fn the_evacuation_of_a_second_zone_keeps_the_first() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(at(0), Batch::Complete(Report::new(position(5), ["zone-a".into()])));
    evacuations.apply(at(0), Batch::Changes(vec![change(6, "zone-b", true), change(7, "zone-a", false)]));
    assert_eq!(zones(&evacuations), ["zone-b"]);
}

/// Guards against an evacuation whose end was lost with the history of the store.
#[test]
fn a_complete_read_lifts_evacuations_that_it_lacks() {
    let mut evacuations = holding(5, &["zone-a", "zone-b"]);
    evacuations.apply(at(0), Batch::Complete(Report::new(position(9), ["zone-b".into()])));
    assert_eq!(zones(&evacuations), ["zone-b"]);
}

/// A replica that reads the store now and then, and hears its peers.
#[derive(Clone, Default)]
struct Replica {
    evacuations: Evacuations,
    /// Number of changes that its feed has returned.
    read: usize,
}

/// Guards against replicas whose evacuations depend on the order of their reads and of their peers' digests.
#[test]
fn replicas_agree_with_the_store_whatever_the_order_in_which_they_learn() {
    fn agree(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut changes: Vec<Change> = Vec::new();
        let mut replicas = vec![Replica::default(); 4];
        let truth = |changes: &[Change]| {
            let mut zones: BTreeSet<Arc<str>> = BTreeSet::new();
            for change in changes {
                if change.is_evacuated {
                    zones.insert(change.zone.clone());
                } else {
                    zones.remove(&change.zone);
                }
            }
            Report::new(position(changes.len() as u64), zones)
        };
        let mut holds = true;
        for (kind, first, second) in steps {
            let (one, other) = (first as usize % replicas.len(), second as usize % replicas.len());
            match kind % 4 {
                0 => {
                    let version = changes.len() as u64 + 1;
                    changes.push(change(version, ZONES[first as usize % ZONES.len()], second % 2 == 0));
                }
                1 => {
                    let read = replicas[one].read;
                    let batch = Batch::Changes(changes[read..].to_vec());
                    replicas[one].read = changes.len();
                    replicas[one].evacuations.apply(at(0), batch);
                }
                2 => {
                    replicas[one].read = changes.len();
                    replicas[one].evacuations.apply(at(0), Batch::Complete(truth(&changes)));
                }
                _ => {
                    let reported = replicas[other].evacuations.report(at(0));
                    replicas[one].evacuations.merge(at(0), &reported);
                }
            }
            // What a replica holds is what the store held at that version.
            holds &= replicas.iter().all(|replica| {
                replica.evacuations.report(at(0))
                    == truth(&changes[..replica.evacuations.position().version() as usize])
            });
        }
        holds
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 4))
        .tests(2_000)
        .quickcheck(agree as fn(Vec<(u8, u8, u8)>) -> bool);
}
