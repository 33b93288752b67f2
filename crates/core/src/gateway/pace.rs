//! Pace at which endpoints that have just started or recovered get work.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// What a replica found out about an endpoint's pace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Finding {
    /// Start of the endpoint's process, by its row, in Unix milliseconds.
    pub started_ms: u64,
    /// Memory that all replicas together may use there, in tokens.
    pub limit: u64,
    /// Time since the finding.
    pub age: Duration,
}

/// Findings of one replica, by endpoint.
pub type Report = BTreeMap<Arc<str>, Finding>;
