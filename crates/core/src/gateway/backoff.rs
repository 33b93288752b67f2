//! Backoffs: times during which endpoints have asked this replica for no requests.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::clock::Time;

/// Ends of backoffs, by endpoint id.
///
/// A backoff also covers a restart under the same id: until the new row has been read, responses of
/// the new incarnation are attributed to the old one.
#[derive(Clone, Debug, Default)]
pub struct Backoffs(BTreeMap<Arc<str>, Time>);

impl Backoffs {
    /// Records a backoff. One that ends later stays in force.
    pub fn record(&mut self, now: Time, endpoint: &Arc<str>, until: Time) {
        self.0.retain(|_, end| *end > now);
        let end = self.0.entry(endpoint.clone()).or_insert(until);
        *end = until.max(*end);
    }

    /// Returns the remaining backoff of an endpoint; zero if there is none.
    pub fn remaining(&self, now: Time, endpoint: &str) -> Duration {
        self.0.get(endpoint).map_or(Duration::ZERO, |end| end.since(now))
    }

    /// Returns whether no backoff is recorded. Expired ones may still be recorded.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
