//! Which entry may order endpoints about.
//!
//! Endpoints do not check who orders them, so two entries must not take turns. The right to order
//! is a row of the store that is written under a condition just before each order; the version that
//! the write got is the order's fencing token, and grows with every order of anybody. Whoever wrote
//! it may use it for [`LEASE_DURATION`]; anybody else waits [`LEASE_DURATION`] and [`HANDOVER_DELAY`] behind the moment that the row
//! names, by the store's clock. Nobody's own clock is compared with another's, and a holder that was
//! suspended has to write again before its next order.

use std::{sync::Arc, time::Duration};

/// How long a written claim may be used, counted by its holder from before it asked the store.
pub const LEASE_DURATION: Duration = Duration::from_secs(2);
/// Silence between the last order of one holder and the first of the next. Endpoints' owners judge
/// turns within three seconds as two holders at once.
pub const HANDOVER_DELAY: Duration = Duration::from_secs(4);

/// The row, as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The entry that wrote it.
    pub holder: Arc<str>,
    /// The store's clock when the holder asked, before it wrote; milliseconds.
    pub asked_ms: u64,
    /// The row's version; the fencing token of orders under this claim.
    pub version: u64,
}

/// What the store says of the claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The row; none if nobody has ever claimed.
    pub claim: Option<Claim>,
    /// The store's clock, milliseconds.
    pub now_ms: u64,
}

/// Whether an entry may write the claim now; gives the version that the row must still have.
pub fn claimable_version(snapshot: &Snapshot, own: &str) -> Option<u64> {
    let Some(claim) = &snapshot.claim else { return Some(0) };
    let lapsed = claim.asked_ms + (LEASE_DURATION + HANDOVER_DELAY).as_millis() as u64;
    (&*claim.holder == own || snapshot.now_ms >= lapsed).then_some(claim.version)
}
