//! Copy of the store's contents, for a peer that cannot reach the store.

use std::sync::Arc;

use super::{evacuation, staleness::Versions, state::Listing};

/// Store contents that a replica has read. The store assigns the positions, so snapshots of
/// different replicas can be compared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Versions of the contents.
    pub versions: Versions,
    /// The configuration, encoded as in the store.
    pub configuration: Arc<[u8]>,
    /// The evacuated zones.
    pub evacuations: evacuation::Report,
    /// The endpoint list.
    pub listing: Listing,
}
