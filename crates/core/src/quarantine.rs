//! Quarantine of requests that crash the endpoints they run on.
//!
//! Every request that runs on an endpoint when it crashes becomes a suspect. A request fingerprint
//! (customer and body) involved in [`CRASH_LIMIT`] crashes is refused for [`QUARANTINE`]. Entries
//! report crashes to each other, so a retry through another entry does not reset the count.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use xxhash_rust::xxh3::Xxh3;

use crate::clock::Time;

/// Crashes after which a fingerprint is quarantined.
pub const CRASH_LIMIT: u32 = 2;
/// How long crashes are remembered, and so how long a quarantine lasts after the last crash.
pub const QUARANTINE: Duration = Duration::from_secs(600);
/// Maximum number of fingerprints; the one with the oldest crash is evicted first.
const MAX_RECORDS: usize = 10_000;

/// Returns the digest of a request's customer and body.
pub fn fingerprint(customer: &str, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(customer.as_bytes());
    hash.update(&[0]);
    hash.update(body);
    hash.digest()
}

#[derive(Clone, Copy, Debug)]
struct Record {
    crashes: u32,
    last_crash: Time,
}

/// Crash counts by customer and fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    records: BTreeMap<(Arc<str>, u64), Record>,
}

/// Crash history of a fingerprint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashStatus {
    /// Crashes while a request with this fingerprint was running.
    pub crashes: u32,
    /// Remaining quarantine; zero if the request may run.
    pub quarantined: Duration,
}

impl CrashStatus {
    /// Returns whether the request is a crash suspect. An endpoint runs one suspect at a time.
    pub fn is_suspect(self) -> bool {
        self.crashes > 0
    }
}

impl Tracker {
    /// Counts a crash and returns the updated status.
    pub fn record_crash(&mut self, now: Time, customer: &Arc<str>, fingerprint: u64) -> CrashStatus {
        self.evict_old(now);
        let record = self
            .records
            .entry((customer.clone(), fingerprint))
            .or_insert(Record { crashes: 0, last_crash: now });
        record.crashes += 1;
        record.last_crash = now;
        self.status(now, customer, fingerprint)
    }

    /// Returns the crash status of a fingerprint.
    pub fn status(&self, now: Time, customer: &Arc<str>, fingerprint: u64) -> CrashStatus {
        let Some(record) = self.records.get(&(customer.clone(), fingerprint)) else {
            return CrashStatus::default();
        };
        let left = QUARANTINE.saturating_sub(now.since(record.last_crash));
        if left.is_zero() {
            return CrashStatus::default();
        }
        let quarantined = if record.crashes >= CRASH_LIMIT { left } else { Duration::ZERO };
        CrashStatus { crashes: record.crashes, quarantined }
    }

    /// Removes the record of a suspect that completed without a crash.
    pub fn clear(&mut self, customer: &Arc<str>, fingerprint: u64) {
        self.records.remove(&(customer.clone(), fingerprint));
    }

    fn evict_old(&mut self, now: Time) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        self.records.retain(|_, record| now.since(record.last_crash) < QUARANTINE);
        if self.records.len() >= MAX_RECORDS {
            let oldest =
                self.records.iter().min_by_key(|(_, record)| record.last_crash).map(|(key, _)| key.clone());
            oldest.map(|key| self.records.remove(&key));
        }
    }

    /// Returns the number of recorded fingerprints.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no fingerprint is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
