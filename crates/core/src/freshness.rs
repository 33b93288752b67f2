//! How old a process's settings may be, and when it must stop serving by them.
//!
//! Guards against an entry that is cut off and goes on honouring a withdrawn key. Settings are
//! accepted by entries only. So an entry may serve on while the table is down for everyone it
//! hears of, provided it hears of every other entry; what it cannot bound, it does not serve.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::{clock::Time, message::Heartbeat};

/// Settings confirmed longer ago than this are not served by, unless all peers vouch.
pub const MAX_AGE: Duration = Duration::from_secs(8);

/// Knowing that others have a newer version, a process serves by its own no longer than this: the
/// table is asked at once, and an answer takes milliseconds.
const BEHIND: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
struct Heard {
    at: Time,
    version: u64,
}

/// What a process knows of its settings' age.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    version: u64,
    /// When the table is known to have had `version` as its newest.
    confirmed: Option<Time>,
    peers: BTreeMap<Arc<str>, Heard>,
    /// Since when a newer version is known to be in force elsewhere.
    behind: Option<Time>,
}

impl Freshness {
    /// Notes a read of the table begun at `began` that found `version`.
    pub fn confirmed(&mut self, began: Time, version: u64) {
        self.adopt(version);
        if version == self.version {
            self.confirmed = self.confirmed.max(Some(began));
        }
    }

    /// Notes that `version` is in force here.
    fn adopt(&mut self, version: u64) {
        if version > self.version {
            self.version = version;
            self.confirmed = None;
            self.behind = self.behind.filter(|_| self.newest_heard() > version);
        }
    }

    /// Takes a heartbeat. A peer's confirmation counts for us if its version is ours: the table
    /// had no newer one then.
    pub fn heard(&mut self, now: Time, peer: &Arc<str>, beat: &Heartbeat) {
        self.peers.insert(peer.clone(), Heard { at: now, version: beat.version });
        if beat.version > self.version {
            self.behind = self.behind.or(Some(now));
        }
        if beat.version == self.version && beat.age <= MAX_AGE {
            let at = Time::from_micros(now.as_micros().saturating_sub(crate::clock::micros(beat.age)));
            self.confirmed = self.confirmed.max(Some(at));
        }
    }

    /// How long ago the version in force was known to be the newest.
    pub fn age(&self, now: Time) -> Duration {
        self.confirmed.map_or(Duration::MAX, |at| now.since(at))
    }

    /// The newest version that any peer has in force.
    pub fn newest_heard(&self) -> u64 {
        self.peers.values().map(|heard| heard.version).max().unwrap_or(0)
    }

    /// Whether an entry may serve by its settings, given the other entries known.
    pub fn may_serve(&self, now: Time, entries: &BTreeSet<Arc<str>>) -> bool {
        let behind = self.behind.is_some_and(|since| now.since(since) > BEHIND);
        if self.version == 0 || behind {
            return false;
        }
        if self.age(now) <= MAX_AGE {
            return true;
        }
        entries.iter().all(|entry| self.peers.get(entry).is_some_and(|heard| now.since(heard.at) <= MAX_AGE))
    }

    /// Peers not known to have `version` in force.
    pub fn without(&self, version: u64) -> Vec<Arc<str>> {
        self.peers.iter().filter(|(_, heard)| heard.version < version).map(|(name, _)| name.clone()).collect()
    }

    /// Forgets a peer that is no longer there.
    pub fn forget(&mut self, peer: &str) {
        self.peers.remove(peer);
    }
}
