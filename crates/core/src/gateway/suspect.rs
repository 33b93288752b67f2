//! Quarantine of requests that crash endpoints.
//!
//! A request that was interrupted on an endpoint shortly before the endpoint crashed is a suspect.
//! After repeated crashes it is refused for a while. Replicas exchange crash counts in digests and
//! add them up, since a caller may retry through another replica.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::digest::Digest;
use crate::clock::Time;

/// Number of crashes after which a request is refused. Two crashes in a row under one request are
/// hardly a coincidence.
const CRASH_LIMIT: u32 = 2;
/// Time after the last crash until a suspect is forgotten.
const SUSPECT_TTL: Duration = Duration::from_secs(120);
/// Longest time from the interruption of a request to the detection of a crash that counts against
/// it.
const CRASH_WINDOW: Duration = Duration::from_secs(5);
/// Maximum number of suspects that a replica tracks; further ones are ignored.
const MAX_SUSPECTS: usize = 200;

#[derive(Clone, Copy, Debug)]
struct Record {
    crashes: u32,
    last_crash: Time,
}

/// Requests suspected of crashing endpoints, by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    own: BTreeMap<u64, Record>,
    peers: BTreeMap<Arc<str>, BTreeMap<u64, u32>>,
    /// Requests that were interrupted recently, by endpoint.
    interrupted: BTreeMap<Arc<str>, Vec<(Time, u64)>>,
}

impl Suspects {
    /// Records that a request was interrupted on an endpoint.
    pub fn record_interrupted(&mut self, now: Time, endpoint: &Arc<str>, fingerprint: u64) {
        let interrupted = self.interrupted.entry(endpoint.clone()).or_default();
        interrupted.retain(|(at, _)| now.since(*at) < CRASH_WINDOW);
        interrupted.push((now, fingerprint));
    }

    /// Records that an endpoint has crashed: it is unreachable, removed or restarted.
    pub fn record_crash(&mut self, now: Time, endpoint: &str) {
        self.own.retain(|_, record| now.since(record.last_crash) < SUSPECT_TTL);
        for (at, fingerprint) in self.interrupted.remove(endpoint).unwrap_or_default() {
            if now.since(at) >= CRASH_WINDOW || self.own.len() >= MAX_SUSPECTS {
                continue;
            }
            let record = self.own.entry(fingerprint).or_insert(Record { crashes: 0, last_crash: now });
            record.crashes += 1;
            record.last_crash = now;
        }
    }

    /// Returns whether a request is quarantined.
    pub fn is_refused(&self, now: Time, fingerprint: u64) -> bool {
        let own = self.own.get(&fingerprint).filter(|record| now.since(record.last_crash) < SUSPECT_TTL);
        let peers = self.peers.values().filter_map(|reported| reported.get(&fingerprint));
        own.map_or(0, |record| record.crashes) + peers.sum::<u32>() >= CRASH_LIMIT
    }

    /// Returns this replica's crash counts, for its digest.
    pub fn report(&self, now: Time) -> BTreeMap<u64, u32> {
        let recent = self.own.iter().filter(|(_, record)| now.since(record.last_crash) < SUSPECT_TTL);
        recent.map(|(fingerprint, record)| (*fingerprint, record.crashes)).collect()
    }

    /// Applies the crash counts of a peer.
    pub fn apply_digest(&mut self, digest: &Digest) {
        self.peers.insert(digest.name.clone(), digest.suspects.clone());
    }

    /// Removes the crash counts of a peer.
    pub fn remove_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }
}
