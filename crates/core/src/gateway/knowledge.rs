//! What an entry has read from the store, for another one that cannot.

use std::sync::Arc;

use super::state::Listing;

/// A copy of the store's state. Its versions are the store's own, so whoever takes it over goes on
/// from there, and takes nothing older for newer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Knowledge {
    /// Orders configurations.
    pub order: u64,
    /// The configuration as the store holds it.
    pub configuration: Arc<[u8]>,
    /// The endpoints.
    pub listing: Listing,
}
