//! Age of a process's settings, and when they are too stale to serve requests.
//!
//! Guards against an isolated entry that keeps accepting a withdrawn key. Only entries can change
//! settings. During a table outage an entry may therefore keep serving as long as it receives
//! heartbeats from all other entries; otherwise it stops once its settings are too old.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::{clock::Time, message::Heartbeat};

/// Maximum age of the settings, unless recent heartbeats from all entries were received.
pub const MAX_AGE: Duration = Duration::from_secs(8);

/// Maximum time to keep serving after a peer has reported a newer version. The table is read
/// at once then, and its reply takes milliseconds.
const MAX_BEHIND: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
struct PeerVersion {
    received_at: Time,
    version: u64,
}

/// Freshness of a process's settings.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    version: u64,
    /// Last time at which `version` is known to have been the newest in the table.
    confirmed_at: Option<Time>,
    peers: BTreeMap<Arc<str>, PeerVersion>,
    /// Since when a peer is known to have a newer version.
    behind_since: Option<Time>,
}

impl Freshness {
    /// Records a table read that began at `began` and found `version`.
    pub fn record_read(&mut self, began: Time, version: u64) {
        self.update_version(version);
        if version == self.version {
            self.confirmed_at = self.confirmed_at.max(Some(began));
        }
    }

    fn update_version(&mut self, version: u64) {
        if version > self.version {
            self.version = version;
            self.confirmed_at = None;
            self.behind_since = self.behind_since.filter(|_| self.newest_peer_version() > version);
        }
    }

    /// Records a heartbeat. If the peer has the same version, its confirmation applies here as well.
    pub fn record_heartbeat(&mut self, now: Time, peer: &Arc<str>, heartbeat: &Heartbeat) {
        self.peers.insert(peer.clone(), PeerVersion { received_at: now, version: heartbeat.version });
        if heartbeat.version > self.version {
            self.behind_since = self.behind_since.or(Some(now));
        }
        if heartbeat.version == self.version && heartbeat.age <= MAX_AGE {
            let at = Time::from_micros(now.as_micros().saturating_sub(crate::clock::micros(heartbeat.age)));
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Returns the time since the current version was last known to be the newest; `Duration::MAX`
    /// if it was never confirmed.
    pub fn age(&self, now: Time) -> Duration {
        self.confirmed_at.map_or(Duration::MAX, |at| now.since(at))
    }

    /// Returns the newest version that any peer has reported.
    pub fn newest_peer_version(&self) -> u64 {
        self.peers.values().map(|peer| peer.version).max().unwrap_or(0)
    }

    /// Returns whether an entry may serve requests, given all other known entries.
    pub fn may_serve(&self, now: Time, entries: &BTreeSet<Arc<str>>) -> bool {
        let is_too_far_behind = self.behind_since.is_some_and(|since| now.since(since) > MAX_BEHIND);
        if self.version == 0 || is_too_far_behind {
            return false;
        }
        if self.age(now) <= MAX_AGE {
            return true;
        }
        entries
            .iter()
            .all(|entry| self.peers.get(entry).is_some_and(|peer| now.since(peer.received_at) <= MAX_AGE))
    }

    /// Returns the peers whose last reported version is older than `version`.
    pub fn peers_behind(&self, version: u64) -> Vec<Arc<str>> {
        self.peers.iter().filter(|(_, peer)| peer.version < version).map(|(name, _)| name.clone()).collect()
    }

    /// Removes a peer that has left.
    pub fn remove_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }
}
