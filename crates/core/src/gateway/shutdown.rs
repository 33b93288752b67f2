//! Admission of requests while a gateway shuts down.
//!
//! A request that is still in flight at the end of a shutdown fails, although another replica could
//! have served it. Requests are therefore admitted only if they are expected to end in time.

use std::time::Duration;

use super::{
    completion::target_or_default,
    forecast::{Forecast, Size},
};
use crate::clock::Time;

/// Time within which a whole response is expected, in latency targets, while the load balancer may
/// still route callers here.
const EXPECTED_TARGETS: u32 = 1;
/// The same once the load balancer routes callers elsewhere, so that a refused caller finds another
/// replica.
const STRICT_EXPECTED_TARGETS: u32 = 4;
/// Factor on the forecast time of a stream once the load balancer routes callers elsewhere. The
/// forecast is a median, and endpoints differ in speed.
const STRICT_TIME_FACTOR: u32 = 2;

/// Schedule of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// Until this time, the load balancer may still route callers here.
    pub drain_delay_ends: Time,
    /// When requests that are still in flight fail.
    pub deadline: Time,
}

impl Shutdown {
    /// Returns whether a request whose response is read whole is expected to end in time. It ends
    /// by its own deadline in any case.
    pub fn admits_unary(&self, now: Time, target: Duration, deadline: Time) -> bool {
        let targets = if self.is_in_rotation(now) { EXPECTED_TARGETS } else { STRICT_EXPECTED_TARGETS };
        let expected = (target_or_default(target) * targets).min(deadline.since(now));
        now < self.deadline && now.plus(expected) <= self.deadline
    }

    /// Returns whether a stream that is placed now is expected to end in time.
    pub fn admits_stream(&self, now: Time, forecast: &Forecast, size: Size, ttft_target: Duration) -> bool {
        let left = self.deadline.since(now);
        if self.is_in_rotation(now) {
            return forecast.finishes_within(left, size, true);
        }
        // A forecast without observations is too short.
        let first_event = forecast.prefill_time(size.prompt) + forecast.first_event_time(size.prompt);
        let missing = target_or_default(ttft_target).saturating_sub(first_event);
        let allowed = (left / STRICT_TIME_FACTOR).saturating_sub(missing);
        forecast.finishes_within(allowed, size, false)
    }

    /// Returns whether a stream whose prompt has been prefilled is expected to end in time.
    pub fn admits_decode(&self, now: Time, forecast: &Forecast, size: Size) -> bool {
        let decode = Size { prompt: 0, ..size };
        forecast.finishes_within(self.deadline.since(now), decode, self.is_in_rotation(now))
    }

    fn is_in_rotation(&self, now: Time) -> bool {
        now < self.drain_delay_ends
    }
}
