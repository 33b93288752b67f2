//! Which endpoints are being checked for a crash.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// The checks that are running, at most one for each endpoint: a crash interrupts many requests at once.
#[derive(Debug, Default)]
pub(crate) struct Checks(Mutex<BTreeMap<Arc<str>, bool>>);

impl Checks {
    /// Returns whether a check of an endpoint has to start. If one is running already, that one is repeated when it ends, since
    /// it may have seen the endpoint before.
    pub(crate) fn begin(&self, endpoint: &Arc<str>) -> bool {
        match self.lock().entry(endpoint.clone()) {
            Entry::Vacant(entry) => {
                entry.insert(false);
                true
            }
            Entry::Occupied(mut entry) => {
                entry.insert(true);
                false
            }
        }
    }

    /// Records the end of a check. Returns false if it has to be repeated.
    pub(crate) fn end(&self, endpoint: &Arc<str>) -> bool {
        let mut running = self.lock();
        let is_repeated = running.get_mut(endpoint).is_some_and(std::mem::take);
        if !is_repeated {
            running.remove(endpoint);
        }
        !is_repeated
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, bool>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
