//! Shares of customers in scarce memory.

use std::{collections::BTreeMap, sync::Arc};

/// Memory of one customer at the endpoints of one service, by one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holding {
    /// Memory reserved for its runs, in tokens.
    pub held: u64,
    /// Memory that its queued requests need, in tokens.
    pub wanted: u64,
}

/// Holdings at one replica, by service and customer.
pub type Report = BTreeMap<Arc<str>, BTreeMap<Arc<str>, Holding>>;
