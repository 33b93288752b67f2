//! What a replica has read from the store, for a peer that cannot reach it.

use std::sync::Arc;

use super::{staleness::Versions, state::Listing};

/// A copy of the store's contents. Versions are assigned by the store, so copies from different
/// replicas can be compared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Versions of the contents.
    pub versions: Versions,
    /// The configuration, encoded as in the store.
    pub configuration: Arc<[u8]>,
    /// The endpoint list.
    pub listing: Listing,
}
