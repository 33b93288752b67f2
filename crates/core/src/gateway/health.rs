//! Health of an endpoint, judged by the outcomes of this replica's own requests.
//!
//! What an endpoint reports about itself arrives late and may be wrong, so it is not used here. An
//! unreachable endpoint is ejected for a while. An endpoint that fails more often than the others
//! gets a request only if no other can take it.

use std::{collections::BTreeMap, time::Duration};

use crate::clock::{Time, decay_factor};

/// Ejection time after the first failure to connect; doubles with each consecutive failure. Short,
/// since the shortest outages last a few seconds and the next attempt should come soon.
const MIN_EJECTION: Duration = Duration::from_millis(250);
/// Longest ejection time; bounds how late a recovered endpoint is used again.
const MAX_EJECTION: Duration = Duration::from_secs(2);
/// Ejection time of an endpoint whose address now belongs to another one. Longer than its row in
/// the store takes to lapse: about 4 s, after three missed heartbeats.
const REPLACED_EJECTION: Duration = Duration::from_secs(5);
/// Weight of one outcome in the failure ratio; about the last five count.
const OUTCOME_WEIGHT: f64 = 0.2;
/// Half-life of the failure ratio. Without decay, an endpoint that gets no requests would never be
/// tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Weight of one response in the mean response time.
const RESPONSE_TIME_WEIGHT: f64 = 0.2;

/// How a request at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response began after this time. Rejections caused by the request itself count as
    /// responses.
    Responded(Duration),
    /// The endpoint sent no response, or one that reports a failure of its own.
    Failed,
    /// No connection could be made; nothing was sent.
    Unreachable,
    /// The endpoint did not answer a message that needs no work, or not as expected.
    Unresponsive,
    /// Another endpoint now listens at the address.
    Replaced,
    /// The endpoint refused a whole request without running it.
    Refused,
    /// The endpoint rejected a run for which it had reserved memory.
    ReservationRejected,
    /// The endpoint had no memory for the request and did not run it.
    Full,
    /// This replica cancelled the request; shows at most that the endpoint is slow.
    Abandoned,
}

/// Health of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Failure ratio as of `updated`, from 0 to 1.
    failure_ratio: f64,
    updated: Time,
    consecutive_unreachable: u32,
    consecutive_rejections: u32,
    ejected_until: Time,
    /// Moving average; zero before the first response.
    response_time: Duration,
    /// Start times of requests without a response, by number.
    in_flight: BTreeMap<u64, Time>,
    last_number: u64,
}

impl Health {
    /// Records that a request was sent, and returns its number.
    pub fn record_start(&mut self, now: Time) -> u64 {
        self.last_number += 1;
        self.in_flight.insert(self.last_number, now);
        self.last_number
    }

    /// Records how a request ended.
    pub fn record_end(&mut self, now: Time, number: u64, outcome: Outcome) {
        let started = self.in_flight.remove(&number);
        match outcome {
            Outcome::Responded(time) => {
                self.consecutive_unreachable = 0;
                self.consecutive_rejections = 0;
                self.ejected_until = Time::ZERO;
                self.record_result(now, 0.0);
                self.response_time = moving_average(self.response_time, time);
            }
            Outcome::Failed | Outcome::Refused => self.record_result(now, 1.0),
            Outcome::Unreachable | Outcome::Unresponsive => {
                self.record_result(now, 1.0);
                self.ejected_until = now.plus(ejection_time(self.consecutive_unreachable));
                self.consecutive_unreachable += 1;
            }
            // An endpoint about to change its stage grants reservations but rejects all runs. A
            // single rejection may be caused by the prefill endpoint, so it does not eject.
            Outcome::ReservationRejected => {
                if self.consecutive_rejections > 0 {
                    self.ejected_until = now.plus(ejection_time(self.consecutive_rejections - 1));
                }
                self.consecutive_rejections += 1;
            }
            Outcome::Replaced => self.ejected_until = now.plus(REPLACED_EJECTION),
            Outcome::Full => self.consecutive_unreachable = 0,
            Outcome::Abandoned => {
                // The response would have taken at least this long.
                let waited = started.map_or(Duration::ZERO, |started| now.since(started));
                if waited > self.response_time {
                    self.response_time = moving_average(self.response_time, waited);
                }
            }
        }
    }

    fn record_result(&mut self, now: Time, failed: f64) {
        self.failure_ratio = self.failure_ratio(now) * (1.0 - OUTCOME_WEIGHT) + failed * OUTCOME_WEIGHT;
        self.updated = now;
    }

    /// Returns the moving average of failures, from 0 to 1; decays with time.
    pub fn failure_ratio(&self, now: Time) -> f64 {
        self.failure_ratio * decay_factor(now.since(self.updated), FAILURE_HALF_LIFE)
    }

    /// Returns whether the endpoint must get no requests for now.
    pub fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until > now
    }

    /// Returns the mean time until a response begins, or the longest current wait if that is more:
    /// an endpoint that hangs completes no request that would raise the mean.
    pub fn response_time(&self, now: Time) -> Duration {
        self.response_time.max(self.longest_wait(now))
    }

    /// Returns how long the oldest request without a response has been in flight.
    pub fn longest_wait(&self, now: Time) -> Duration {
        self.in_flight.first_key_value().map_or(Duration::ZERO, |(_, started)| now.since(*started))
    }
}

/// Returns the ejection time after `failures` earlier consecutive failures.
fn ejection_time(failures: u32) -> Duration {
    MIN_EJECTION.saturating_mul(1 << failures.min(8)).min(MAX_EJECTION)
}

fn moving_average(previous: Duration, time: Duration) -> Duration {
    if previous.is_zero() {
        return time;
    }
    previous.mul_f64(1.0 - RESPONSE_TIME_WEIGHT) + time.mul_f64(RESPONSE_TIME_WEIGHT)
}
