//! Decode speeds of endpoints, as observed by all replicas.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Speed of an endpoint by the observations of one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// Time between two events of a run.
    pub event_interval: Duration,
    /// Number of observations, with older ones counting less.
    pub weight: u32,
}

/// Samples of one replica, by endpoint.
pub type Report = BTreeMap<Arc<str>, Sample>;
