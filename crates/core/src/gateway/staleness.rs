//! Detects that this replica's copy of the store is older than those of its peers.

use std::time::Duration;

use super::position::{Edition, Position};
use crate::clock::Time;

/// Time after which a version that a peer has, but this replica lacks, is overdue. Large rows take
/// longer to arrive on slow links.
const OVERDUE_AFTER: Duration = Duration::from_millis(1_000);

/// Versions of a copy of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    /// The configuration.
    pub configuration: Edition,
    /// Position of the newest endpoint row.
    pub endpoints: Position,
}

impl Versions {
    /// Returns whether any part of this copy is newer than in `other`.
    pub fn is_ahead_of(self, other: Self) -> bool {
        self.configuration > other.configuration || self.endpoints > other.endpoints
    }
}

/// Versions of one part of the copy.
#[derive(Clone, Copy, Debug, Default)]
struct Part<T> {
    /// The newest that this replica has read completely.
    own: T,
    /// The newest that a peer has.
    newest_peer: T,
    /// When this replica fell behind; set exactly while `own` is smaller than `newest_peer`.
    behind_since: Option<Time>,
}

impl<T: Copy + Ord> Part<T> {
    fn record_peer(&mut self, now: Time, known: T) {
        self.newest_peer = self.newest_peer.max(known);
        if self.own < self.newest_peer {
            self.behind_since.get_or_insert(now);
        }
    }

    fn record_own(&mut self, now: Time, version: T) {
        if version > self.own {
            self.own = version;
            self.behind_since = (self.own < self.newest_peer).then_some(now);
        }
    }

    fn is_overdue(&self, now: Time) -> bool {
        self.behind_since.is_some_and(|since| now.since(since) >= OVERDUE_AFTER)
    }
}

/// Versions that this replica has read, and versions that its peers have.
#[derive(Clone, Copy, Debug, Default)]
pub struct Staleness {
    configuration: Part<Edition>,
    endpoints: Part<Position>,
}

impl Staleness {
    /// Records the versions that a peer has.
    pub fn record_peer(&mut self, now: Time, versions: Versions) {
        self.configuration.record_peer(now, versions.configuration);
        self.endpoints.record_peer(now, versions.endpoints);
    }

    /// Records that this replica has read a configuration.
    pub fn record_configuration(&mut self, now: Time, edition: Edition) {
        self.configuration.record_own(now, edition);
    }

    /// Records that this replica has read all endpoint rows up to a position.
    pub fn record_endpoints(&mut self, now: Time, position: Position) {
        self.endpoints.record_own(now, position);
    }

    /// Returns the versions that this replica has.
    pub fn own(&self) -> Versions {
        Versions { configuration: self.configuration.own, endpoints: self.endpoints.own }
    }

    /// Returns whether this replica has been behind its peers for too long.
    pub fn is_overdue(&self, now: Time) -> bool {
        self.configuration.is_overdue(now) || self.endpoints.is_overdue(now)
    }
}
