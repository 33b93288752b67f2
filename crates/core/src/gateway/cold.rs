//! Endpoints that have started lately and take only few requests.

use std::time::Duration;

use super::throttle::{GROUPS, INTERVAL_MARGIN, Share};

/// Period in which requests to a cold endpoint are counted.
const PERIOD: Duration = Duration::from_secs(1);
/// Largest number of owners of a cold endpoint. More would need longer intervals.
const MAX_OWNERS: usize = 4;

/// Requests that cold endpoints tolerate beyond their declared rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Factor on the declared rate.
    pub factor: f64,
    /// Requests a second in addition.
    pub slack: f64,
}

impl Default for Tolerance {
    fn default() -> Self {
        Self { factor: 1.0, slack: 0.0 }
    }
}

/// What the operator declares about the cold endpoints of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// How long an endpoint is cold after its start.
    pub duration: Duration,
    /// Requests a second that a cold endpoint takes.
    pub rate: f64,
}

/// Computes how the owners of a cold endpoint share its declared rate; `None` if nothing may be sent.
pub fn share(rate: f64, tolerance: Tolerance) -> Option<Share> {
    let most = rate.max(0.0) * tolerance.factor.max(0.0) + tolerance.slack.max(0.0);
    // A rate of zero takes nothing, whatever is tolerated.
    let per_group = (most / GROUPS).floor();
    if rate.is_nan() || rate <= 0.0 || !per_group.is_finite() || per_group < 1.0 {
        return None;
    }
    // Fewer owners with two requests each in a period serve a burst sooner than more owners with one.
    let owners = ((per_group / 2.0) as usize).clamp(1, MAX_OWNERS);
    let requests = (per_group / owners as f64).floor();
    Some(Share { owners, interval: PERIOD.div_f64(requests) + INTERVAL_MARGIN })
}
