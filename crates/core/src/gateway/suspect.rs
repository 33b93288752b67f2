//! Requests that crash the endpoints they run on.
//!
//! Every request that breaks off at an endpoint which then turns out to have crashed is a suspect.
//! One that did so twice is refused for a while, at every entry: a caller that sends it again comes
//! by another one. Entries add up what the others count.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::digest::Digest;
use crate::clock::Time;

/// Crashes after which a request is refused. A third would still be allowed; two crashes in a row
/// under one request are no chance.
const CRASHES: u32 = 2;
/// How long a suspect is remembered after its last crash.
const MEMORY: Duration = Duration::from_secs(120);
/// A request that broke off this long before its endpoint was seen to have crashed is blamed.
const BLAME: Duration = Duration::from_secs(5);
/// Most suspects remembered and most told; the oldest go first.
const MOST: usize = 200;

#[derive(Clone, Copy, Debug)]
struct Record {
    crashes: u32,
    last: Time,
}

/// The suspects.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    own: BTreeMap<u64, Record>,
    others: BTreeMap<Arc<str>, BTreeMap<u64, u32>>,
    /// Requests that broke off of late, by endpoint.
    broken: BTreeMap<Arc<str>, Vec<(Time, u64)>>,
}

impl Suspects {
    /// A request broke off at an endpoint, without an answer or in the middle of one.
    pub fn record_broken(&mut self, now: Time, endpoint: &Arc<str>, fingerprint: u64) {
        let broken = self.broken.entry(endpoint.clone()).or_default();
        broken.retain(|(at, _)| now.since(*at) < BLAME);
        broken.push((now, fingerprint));
    }

    /// An endpoint has crashed: it cannot be reached, is gone, or has started anew.
    pub fn record_crash(&mut self, now: Time, endpoint: &str) {
        self.own.retain(|_, record| now.since(record.last) < MEMORY);
        for (at, fingerprint) in self.broken.remove(endpoint).unwrap_or_default() {
            if now.since(at) >= BLAME || self.own.len() >= MOST {
                continue;
            }
            let record = self.own.entry(fingerprint).or_insert(Record { crashes: 0, last: now });
            record.crashes += 1;
            record.last = now;
        }
    }

    /// Whether a request is refused for what it did.
    pub fn is_refused(&self, now: Time, fingerprint: u64) -> bool {
        let own = self.own.get(&fingerprint).filter(|record| now.since(record.last) < MEMORY);
        let others = self.others.values().filter_map(|told| told.get(&fingerprint));
        own.map_or(0, |record| record.crashes) + others.sum::<u32>() >= CRASHES
    }

    /// What this entry tells the others.
    pub fn report(&self, now: Time) -> BTreeMap<u64, u32> {
        let fresh = self.own.iter().filter(|(_, record)| now.since(record.last) < MEMORY);
        fresh.map(|(fingerprint, record)| (*fingerprint, record.crashes)).collect()
    }

    /// Takes what another entry tells.
    pub fn apply_digest(&mut self, digest: &Digest) {
        self.others.insert(digest.name.clone(), digest.suspects.clone());
    }

    /// Forgets what a gone entry told.
    pub fn remove_peer(&mut self, peer: &str) {
        self.others.remove(peer);
    }
}
