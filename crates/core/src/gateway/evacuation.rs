//! Evacuations of availability zones. Endpoints of an evacuated zone get nothing more until the operator lifts
//! the evacuation; what already runs there runs to its end.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::position::Position;
use crate::clock::Time;

/// Least time for which evacuations outlast the return of the store from a copy that lacks them. By then, the operator has written
/// again those that are still meant.
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
    Complete(Report),
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

/// Evacuations as the store or a peer reports them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Position of the store up to which all changes are included.
    pub position: Position,
    /// Zones that are evacuated by what the store held there.
    pub zones: BTreeSet<Arc<str>>,
    /// Evacuations of an earlier era that may still have to be written again.
    pub former: Former,
    /// How long the era has been known; zero in what the store reports.
    pub era_age: Duration,
}

impl Report {
    /// Creates a report of what the store held at a position.
    pub fn new(position: Position, zones: impl IntoIterator<Item = Arc<str>>) -> Self {
        Self { position, zones: zones.into_iter().collect(), ..Self::default() }
    }
}

/// The evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Position of the store up to which all changes are included. Of two replicas' evacuations, those with the
    /// newer position are right.
    position: Position,
    /// Zones that are evacuated by what the store holds.
    zones: BTreeSet<Arc<str>>,
    /// Kept until the store, or a peer that has done so, is read when the era has been known for [`FORMER_GRACE`].
    former: Former,
    /// When the era of the position was first read, here or at a peer; `None` before the first one.
    era_since: Option<Time>,
}

impl Evacuations {
    /// Returns the position up to which changes are included.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the evacuated zones.
    pub fn zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.zones.union(&self.former.zones)
    }

    /// Returns whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty() && self.former.zones.is_empty()
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone) || self.former.zones.contains(zone)
    }

    /// Returns what peers have to know.
    pub fn report(&self, now: Time) -> Report {
        let Self { position, zones, former, era_since } = self.clone();
        Report {
            position,
            zones,
            former,
            era_age: era_since.map_or(Duration::ZERO, |since| now.since(since)),
        }
    }

    /// Applies what was read from the store. Whatever is older than these evacuations is ignored, since a peer may
    /// have reported later changes.
    pub fn apply(&mut self, now: Time, batch: Batch) {
        match batch {
            Batch::Complete(complete) => self.merge(now, &complete),
            Batch::Changes(changes) => changes.into_iter().for_each(|change| self.apply_change(change)),
        }
        self.expire(now);
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

    /// Takes over the evacuations that a peer or the store reports if they are newer.
    pub fn merge(&mut self, now: Time, other: &Report) {
        if self.position.is_later_era_than(other.position) {
            let zones = other.zones.union(&other.former.zones).cloned().collect();
            self.keep(now, &Former { position: other.position, zones });
        } else if other.position >= self.position {
            self.enter_era_of(now, other);
            self.position = other.position;
            self.zones.clone_from(&other.zones);
            if other.former.position == self.former.position {
                // The other replica may have read what the operator has changed since.
                self.former.zones.retain(|zone| other.former.zones.contains(zone));
            }
            self.keep(now, &other.former);
        }
    }

    /// Learns how long an era has been known. If it is a later one, what was in force before stays so for a while.
    fn enter_era_of(&mut self, now: Time, other: &Report) {
        let since = now.minus(other.era_age);
        if self.era_since.is_none() || !other.position.continues(self.position) {
            if other.position.is_later_era_than(self.position) {
                let zones = self.zones().cloned().collect();
                self.former = Former { position: self.position, zones };
            }
            self.era_since = Some(since);
        }
        self.era_since = self.era_since.map(|known| known.min(since));
    }

    /// Keeps evacuations of an earlier era in force, unless newer ones of it are known. What is told once the era is old comes from
    /// a replica that was out of touch.
    fn keep(&mut self, now: Time, former: &Former) {
        if former.position <= self.former.position {
            return;
        }
        self.former.clone_from(former);
        self.expire(now);
    }

    /// Ends evacuations of an earlier era once the operator has had the time to write them again.
    fn expire(&mut self, now: Time) {
        if self.era_since.is_some_and(|since| now.since(since) >= FORMER_GRACE) {
            self.former.zones.clear();
        }
    }
}
