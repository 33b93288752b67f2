//! Lease on the right to change the stages of endpoints.
//!
//! Endpoints accept orders from any replica, so only one replica at a time may send them. The lease
//! is a row of the store, written conditionally before each order; the position of that write gives the
//! order's fencing token. The holder may act for [`LEASE_DURATION`] after a write. Another replica
//! waits for a further [`HANDOVER_DELAY`]. Expiry is judged by the store's clock, so replicas'
//! clocks are never compared with each other.

use std::{sync::Arc, time::Duration};

/// How long the holder may act after a write, counted from before it read the lease.
pub const LEASE_DURATION: Duration = Duration::from_secs(2);
/// Further time before another replica may take the lease. Must exceed three seconds: orders of two
/// holders within that time count as a conflict.
pub const HANDOVER_DELAY: Duration = Duration::from_secs(4);

/// The lease's row in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Replica that wrote the row.
    pub holder: Arc<str>,
    /// Time of the store's clock when the holder read the lease before the write, in milliseconds.
    pub asked_ms: u64,
    /// Version of the row.
    pub version: u64,
    /// Era in which the holder read the lease before the write; `None` if the row does not tell.
    pub era: Option<u64>,
}

/// The lease as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The row; `None` before the first write.
    pub claim: Option<Claim>,
    /// The store's clock, in milliseconds.
    pub now_ms: u64,
    /// Era of the store.
    pub era: u64,
}

/// Returns the row version that a write must be conditional on, or `None` while another replica
/// holds the lease. The caller has known the store's era for `era_age`.
pub fn claimable_version(status: &Status, replica: &str, era_age: Duration) -> Option<u64> {
    let version = status.claim.as_ref().map_or(0, |claim| claim.version);
    let is_current = |claim: &&Claim| claim.era.is_none_or(|era| era == status.era);
    let Some(claim) = status.claim.as_ref().filter(is_current) else {
        // The store may have come back from a copy that lacks the newest holder.
        return (era_age >= LEASE_DURATION + HANDOVER_DELAY).then_some(version);
    };
    let expires_ms = claim.asked_ms + (LEASE_DURATION + HANDOVER_DELAY).as_millis() as u64;
    (&*claim.holder == replica || status.now_ms >= expires_ms).then_some(version)
}
