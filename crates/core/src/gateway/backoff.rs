//! Endpoints that want no requests from this replica for a time.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::clock::Time;

/// Ends of the times for which endpoints want no requests.
///
/// An endpoint that restarts under its name is left alone as well: its responses cannot be told from
/// those of the incarnation before until its row has been read.
#[derive(Clone, Debug, Default)]
pub struct Backoffs(BTreeMap<Arc<str>, Time>);

impl Backoffs {
    /// Records that an endpoint wants no requests until a time. A later end stays in force.
    pub fn record(&mut self, now: Time, endpoint: &Arc<str>, until: Time) {
        self.0.retain(|_, end| *end > now);
        let end = self.0.entry(endpoint.clone()).or_insert(until);
        *end = until.max(*end);
    }

    /// Returns how long an endpoint still wants no requests.
    pub fn left(&self, now: Time, endpoint: &str) -> Duration {
        self.0.get(endpoint).map_or(Duration::ZERO, |end| end.since(now))
    }

    /// Returns whether no backoff is recorded; those that are over may still be.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
