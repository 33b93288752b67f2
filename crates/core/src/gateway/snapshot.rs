//! What an entry has read from the store, for another one that cannot.

use std::sync::Arc;

use super::{staleness::Versions, state::Listing};

/// A copy of the store's state. Its versions are the store's own, so whoever takes it over goes on
/// from there, and takes nothing older for newer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// How new it is.
    pub versions: Versions,
    /// The configuration as the store holds it.
    pub configuration: Arc<[u8]>,
    /// The endpoints.
    pub listing: Listing,
}
