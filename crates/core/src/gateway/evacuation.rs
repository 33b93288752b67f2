//! Evacuations of availability zones. Endpoints of an evacuated zone get nothing more until the operator lifts
//! the evacuation; what already runs there runs to its end.

use std::{collections::BTreeSet, sync::Arc};

/// The evacuation of a zone, or its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Availability zone; it need not have any endpoints.
    pub zone: Arc<str>,
    /// Version of the store at which the operator wrote it.
    pub version: u64,
    /// Whether the zone is evacuated from then on.
    pub is_evacuated: bool,
}

/// Evacuations read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Batch {
    /// All evacuations as of a version of the store.
    Complete(Evacuations),
    /// Changes that follow on what was read before, in order.
    Changes(Vec<Change>),
}

/// The evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Version of the store up to which all changes are included. Of two replicas' evacuations, those with the
    /// higher version are right.
    version: u64,
    zones: BTreeSet<Arc<str>>,
}

impl Evacuations {
    /// Creates the evacuations as of a version of the store.
    pub fn new(version: u64, zones: impl IntoIterator<Item = Arc<str>>) -> Self {
        Self { version, zones: zones.into_iter().collect() }
    }

    /// Returns the version up to which changes are included; zero if nothing has been read.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the evacuated zones.
    pub fn zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.zones.iter()
    }

    /// Returns whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// Applies what was read from the store. Whatever is older than these evacuations is ignored, since a peer may
    /// have reported later changes.
    pub fn apply(&mut self, batch: Batch) {
        match batch {
            Batch::Complete(complete) => self.merge(&complete),
            Batch::Changes(changes) => changes.into_iter().for_each(|change| self.apply_change(change)),
        }
    }

    fn apply_change(&mut self, Change { zone, version, is_evacuated }: Change) {
        if version <= self.version {
            return;
        }
        self.version = version;
        if is_evacuated {
            self.zones.insert(zone);
        } else {
            self.zones.remove(&zone);
        }
    }

    /// Takes over the evacuations of a peer if they are newer.
    pub fn merge(&mut self, other: &Self) {
        if other.version > self.version {
            self.clone_from(other);
        }
    }
}
