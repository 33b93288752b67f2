//! Intervals at which replicas send digests, by the size of the fleet.

use std::time::Duration;

/// Digest interval of a small fleet. Peers learn of a replica's load with this delay.
const MIN_DIGEST_INTERVAL: Duration = Duration::from_millis(100);
/// Digest interval per replica in a large fleet; bounds the digests that each replica receives.
const DIGEST_INTERVAL_PER_REPLICA: Duration = Duration::from_micros(1_470);
/// Number of times that a relay passes digests on, and that a replica may send urgent digests, in one
/// digest interval.
const FORWARDS_PER_INTERVAL: u32 = 2;
/// Minimum interval of urgent digests.
const MIN_URGENT_INTERVAL: Duration = Duration::from_millis(25);

/// Returns the digest interval of a fleet.
pub fn digest_interval(replicas: u32) -> Duration {
    (DIGEST_INTERVAL_PER_REPLICA * replicas).max(MIN_DIGEST_INTERVAL)
}

/// Returns the minimum interval of digests that report urgent changes.
pub fn urgent_interval(replicas: u32) -> Duration {
    (DIGEST_INTERVAL_PER_REPLICA * replicas / FORWARDS_PER_INTERVAL).max(MIN_URGENT_INTERVAL)
}

/// Returns the interval at which relays pass digests on.
pub fn forward_interval(replicas: u32, is_urgent: bool) -> Duration {
    if is_urgent { MIN_URGENT_INTERVAL } else { digest_interval(replicas) / FORWARDS_PER_INTERVAL }
}
