//! Evacuations of availability zones. Endpoints of an evacuated zone get nothing more until the operator lifts
//! the evacuation; what already runs there runs to its end.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::position::Position;
use crate::clock::Time;

/// How long evacuations outlast the return of the store from a copy that lacks them. By then, the operator has written again those
/// that are still meant.
const FORMER_GRACE: Duration = Duration::from_secs(10);

/// The evacuation of a zone, or its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Availability zone; it need not have any endpoints.
    pub zone: Arc<str>,
    /// Where the operator wrote it.
    pub position: Position,
    /// Whether the zone is evacuated from then on.
    pub is_evacuated: bool,
}

/// Evacuations read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Batch {
    /// All evacuations as of a position of the store.
    Complete(Evacuations),
    /// Changes that follow on what was read before, in order.
    Changes(Vec<Change>),
}

/// Evacuations that were in force when the store came back from a copy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Former {
    /// Position of the earlier era up to which all changes are included.
    pub position: Position,
    /// The zones, without those whose evacuation the operator has changed since.
    pub zones: BTreeSet<Arc<str>>,
}

/// The evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Position of the store up to which all changes are included. Of two replicas' evacuations, those with the
    /// newer position are right.
    position: Position,
    /// Zones that are evacuated by what the store holds.
    zones: BTreeSet<Arc<str>>,
    former: Former,
    /// When the former evacuations end; `None` in what a peer reports.
    former_until: Option<Time>,
}

impl Evacuations {
    /// Creates the evacuations as of a position of the store.
    pub fn new(position: Position, zones: impl IntoIterator<Item = Arc<str>>) -> Self {
        Self { position, zones: zones.into_iter().collect(), ..Self::default() }
    }

    /// Adds evacuations of an earlier era.
    pub fn with_former(self, former: Former) -> Self {
        Self { former, ..self }
    }

    /// Returns the position up to which changes are included.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the evacuated zones.
    pub fn zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.zones.union(&self.former.zones)
    }

    /// Returns the zones that are evacuated by what the store holds.
    pub fn stored_zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.zones.iter()
    }

    /// Returns the evacuations of an earlier era.
    pub fn former(&self) -> &Former {
        &self.former
    }

    /// Returns whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty() && self.former.zones.is_empty()
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone) || self.former.zones.contains(zone)
    }

    /// Applies what was read from the store. Whatever is older than these evacuations is ignored, since a peer may
    /// have reported later changes.
    pub fn apply(&mut self, now: Time, batch: Batch) {
        match batch {
            Batch::Complete(complete) => self.merge(now, &complete),
            Batch::Changes(changes) => changes.into_iter().for_each(|change| self.apply_change(change)),
        }
    }

    fn apply_change(&mut self, Change { zone, position, is_evacuated }: Change) {
        if position <= self.position {
            return;
        }
        self.position = position;
        self.former.zones.remove(&zone);
        if is_evacuated {
            self.zones.insert(zone);
        } else {
            self.zones.remove(&zone);
        }
    }

    /// Takes over the evacuations of a peer, or all that the store holds, if they are newer.
    pub fn merge(&mut self, now: Time, other: &Self) {
        if self.position.is_later_era_than(other.position) {
            let zones = other.zones().cloned().collect();
            return self.keep(now, &Former { position: other.position, zones });
        }
        if other.position.is_later_era_than(self.position) {
            let zones = self.zones().cloned().collect();
            self.keep(now, &Former { position: self.position, zones });
        }
        if other.position >= self.position {
            self.position = other.position;
            self.zones.clone_from(&other.zones);
            if other.former.position == self.former.position {
                // The other replica may have read what the operator has changed since.
                self.former.zones.retain(|zone| other.former.zones.contains(zone));
            }
            self.keep(now, &other.former);
        }
    }

    /// Keeps evacuations of an earlier era in force for a while, unless newer ones of it are known.
    fn keep(&mut self, now: Time, former: &Former) {
        if former.position > self.former.position {
            self.former.clone_from(former);
            self.former_until = Some(now.plus(FORMER_GRACE));
        }
    }

    /// Ends evacuations of an earlier era that the operator has not written again.
    pub fn expire(&mut self, now: Time) {
        if self.former_until.is_some_and(|until| until <= now) {
            self.former_until = None;
            self.former.zones.clear();
        }
    }
}
