//! Requests that crash the endpoints they run on.
//!
//! Every request running when an endpoint crashes is a suspect. A fingerprint (customer and body)
//! seen at [`CRASH_LIMIT`] crashes is refused for [`QUARANTINE`]. The count lives at the customer's
//! home, so sending the request again through another entry does not reset it.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use xxhash_rust::xxh3::Xxh3;

use crate::clock::Time;

/// Crashes after which a fingerprint is refused.
pub const CRASH_LIMIT: u32 = 2;
/// How long it stays refused, and how long a single crash is remembered.
pub const QUARANTINE: Duration = Duration::from_secs(600);
/// Most fingerprints remembered; the oldest go first.
const MOST: usize = 10_000;

/// Digest of a request's customer and body.
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
    last: Time,
}

/// Crash counts by customer and fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    records: BTreeMap<(Arc<str>, u64), Record>,
}

/// What is known of a fingerprint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashStatus {
    /// Crashes seen.
    pub crashes: u32,
    /// How long it is refused from now; zero if it may run.
    pub quarantined: Duration,
}

impl CrashStatus {
    /// A suspect runs alone: other requests on the same endpoint would crash with it.
    pub fn is_suspect(self) -> bool {
        self.crashes > 0
    }
}

impl Tracker {
    /// Counts a crash.
    pub fn record_crash(&mut self, now: Time, customer: &Arc<str>, fingerprint: u64) -> CrashStatus {
        self.forget_old(now);
        let record =
            self.records.entry((customer.clone(), fingerprint)).or_insert(Record { crashes: 0, last: now });
        record.crashes += 1;
        record.last = now;
        self.status(now, customer, fingerprint)
    }

    /// What is known of the fingerprint.
    pub fn status(&self, now: Time, customer: &Arc<str>, fingerprint: u64) -> CrashStatus {
        let Some(record) = self.records.get(&(customer.clone(), fingerprint)) else {
            return CrashStatus::default();
        };
        let left = QUARANTINE.saturating_sub(now.since(record.last));
        if left.is_zero() {
            return CrashStatus::default();
        }
        let quarantined = if record.crashes >= CRASH_LIMIT { left } else { Duration::ZERO };
        CrashStatus { crashes: record.crashes, quarantined }
    }

    /// A suspect that ran to its end is cleared.
    pub fn clear(&mut self, customer: &Arc<str>, fingerprint: u64) {
        self.records.remove(&(customer.clone(), fingerprint));
    }

    fn forget_old(&mut self, now: Time) {
        if self.records.len() < MOST {
            return;
        }
        self.records.retain(|_, record| now.since(record.last) < QUARANTINE);
        if self.records.len() >= MOST {
            let oldest =
                self.records.iter().min_by_key(|(_, record)| record.last).map(|(key, _)| key.clone());
            oldest.map(|key| self.records.remove(&key));
        }
    }

    /// Fingerprints remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none are remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
