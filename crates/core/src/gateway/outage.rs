//! Endpoints that have ended, as noticed by any replica.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// What a replica knows of an endpoint that refused its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Start of the process that ended, by its row, in Unix milliseconds.
    pub started_ms: u64,
    /// Time since the replica noticed the end or, if the endpoint is back, since it last answered.
    pub age: Duration,
    /// Whether the endpoint has answered since.
    pub is_over: bool,
}

/// Outages known to one replica, by endpoint.
pub type Report = BTreeMap<Arc<str>, Notice>;
