//! Whether this entry's copy of the store is behind what the other entries have read.

use std::time::Duration;

use crate::clock::Time;

/// How long an entry waits for the store to give it what another one has read already. The store gives a
/// change to all entries at about the same moment; a row of a megabyte takes this long on a slow link.
const PATIENCE: Duration = Duration::from_millis(1_000);

/// How new a copy of the store is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    /// Order of the configuration; zero without one.
    pub configuration: u64,
    /// The newest row of an endpoint; zero without one.
    pub endpoints: u64,
}

impl Versions {
    /// Whether this copy has anything that another one lacks.
    pub fn is_ahead_of(self, other: Self) -> bool {
        self.configuration > other.configuration || self.endpoints > other.endpoints
    }
}

/// One part of the copy.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    /// The newest version that this entry has, or has been told all of.
    own: u64,
    /// The newest version that another entry has.
    newest: u64,
    /// Since when this entry has lacked it; set exactly while `own` is smaller than `newest`.
    since: Option<Time>,
}

impl Part {
    fn heard(&mut self, now: Time, version: u64) {
        self.newest = self.newest.max(version);
        if self.own < self.newest {
            self.since.get_or_insert(now);
        }
    }

    fn read(&mut self, now: Time, version: u64) {
        if version > self.own {
            self.own = version;
            self.since = (self.own < self.newest).then_some(now);
        }
    }

    fn is_overdue(&self, now: Time) -> bool {
        self.since.is_some_and(|since| now.since(since) >= PATIENCE)
    }
}

/// What this entry has read, beside what others have.
#[derive(Clone, Copy, Debug, Default)]
pub struct Staleness {
    configuration: Part,
    endpoints: Part,
}

impl Staleness {
    /// Takes what another entry says that it has read.
    pub fn record_peer(&mut self, now: Time, versions: Versions) {
        self.configuration.heard(now, versions.configuration);
        self.endpoints.heard(now, versions.endpoints);
    }

    /// This entry has read a configuration.
    pub fn record_configuration(&mut self, now: Time, order: u64) {
        self.configuration.read(now, order);
    }

    /// This entry has read the rows of endpoints up to a version.
    pub fn record_endpoints(&mut self, now: Time, version: u64) {
        self.endpoints.read(now, version);
    }

    /// What this entry has.
    pub fn own(&self) -> Versions {
        Versions { configuration: self.configuration.own, endpoints: self.endpoints.own }
    }

    /// Whether the store should have given by now what others have read.
    pub fn is_overdue(&self, now: Time) -> bool {
        self.configuration.is_overdue(now) || self.endpoints.is_overdue(now)
    }
}
