//! Order in which the requests of all replicas get memory that becomes free.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Urgency of a waiting request; the least comes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Whether the request can no longer meet its time-to-first-token target.
    pub is_late: bool,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
}

/// Requests of one service and urgency that wait for memory at one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waiting {
    /// Number of requests.
    pub count: u32,
    /// Memory that they need together, in tokens.
    pub memory: u64,
    /// Time left until the first of them has to start; zero if it is late.
    pub due_in: Duration,
}

/// What waits at one replica, by service.
pub type Report = BTreeMap<Arc<str>, BTreeMap<Urgency, Waiting>>;
