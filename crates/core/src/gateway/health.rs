//! How an endpoint has done of late, as the entry's own requests saw it.
//!
//! What an endpoint says of itself comes late and may be wrong, so what happened to requests
//! decides: one that cannot be reached is left alone for a while, and one that fails more often
//! than its neighbours gets work only when they cannot take it.

use std::{collections::BTreeMap, time::Duration};

use crate::clock::{Time, decay_factor};

/// First pause after an endpoint could not be reached; doubles with each failure in a row. The
/// shortest outages seen last some seconds, so a second failure should come soon.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause: an endpoint that is back should be found within seconds.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Pause after another endpoint was found at the address: an entry lapses after three missed
/// heartbeats, within about 4 s.
const REPLACED_PAUSE: Duration = Duration::from_secs(5);
/// Weight of one outcome in the failure ratio: five outcomes decide.
const WEIGHT: f64 = 0.2;
/// The failure ratio halves in this time without outcomes, so that trial requests come back.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Weight of one answer's time.
const TIME_WEIGHT: f64 = 0.2;

/// How a request at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered, whatever the answer says of the request itself; how long that took.
    Answered(Duration),
    /// The answer is a failure of the endpoint, or there is none.
    Failed,
    /// No connection could be made: nothing was sent.
    Unreachable,
    /// Another endpoint has its address.
    Replaced,
    /// The endpoint turned a whole request away unrun.
    Refused,
    /// The endpoint turned a run away whose memory it had reserved.
    TurnedAway,
    /// The endpoint had no memory for a run; the request did not run.
    Full,
    /// The entry gave the request up itself; tells at most that the endpoint is slow.
    Abandoned,
}

/// The record of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Failed part of the newest outcomes, 0 to 1, as of `at`.
    failing: f64,
    at: Time,
    /// Failures to reach it in a row.
    unreachable: u32,
    /// Runs turned away in a row.
    turned_away: u32,
    /// It is left alone until then.
    shunned: Time,
    /// Mean time of its answers; zero before the first.
    answer_time: Duration,
    /// When requests that are still unanswered were sent, by their number.
    open: BTreeMap<u64, Time>,
    next: u64,
}

impl Health {
    /// A request was sent; gives its number.
    pub fn sent(&mut self, now: Time) -> u64 {
        self.next += 1;
        self.open.insert(self.next, now);
        self.next
    }

    /// How the request of a number ended.
    pub fn ended(&mut self, now: Time, number: u64, outcome: Outcome) {
        let sent = self.open.remove(&number);
        match outcome {
            Outcome::Answered(time) => {
                self.unreachable = 0;
                self.turned_away = 0;
                self.shunned = Time::ZERO;
                self.count(now, 0.0);
                self.answer_time = mean(self.answer_time, time);
            }
            Outcome::Failed | Outcome::Refused => self.count(now, 1.0),
            Outcome::Unreachable => {
                self.count(now, 1.0);
                self.shunned = now.plus(pause(self.unreachable));
                self.unreachable += 1;
            }
            // The first may be the fault of whoever read its prompt. An endpoint that is about to
            // change its stage grants reservations and turns all runs away, for some seconds.
            Outcome::TurnedAway => {
                if self.turned_away > 0 {
                    self.shunned = now.plus(pause(self.turned_away - 1));
                }
                self.turned_away += 1;
            }
            Outcome::Replaced => self.shunned = now.plus(REPLACED_PAUSE),
            Outcome::Full => self.unreachable = 0,
            Outcome::Abandoned => {
                // It would have taken at least as long as it was waited for.
                let waited = sent.map_or(Duration::ZERO, |sent| now.since(sent));
                if waited > self.answer_time {
                    self.answer_time = mean(self.answer_time, waited);
                }
            }
        }
    }

    fn count(&mut self, now: Time, failed: f64) {
        self.failing = self.failing(now) * (1.0 - WEIGHT) + failed * WEIGHT;
        self.at = now;
    }

    /// Failed part of the newest outcomes; fades without outcomes.
    pub fn failing(&self, now: Time) -> f64 {
        self.failing * decay_factor(now.since(self.at), HALF_LIFE)
    }

    /// Whether it is to be left alone for now.
    pub fn is_shunned(&self, now: Time) -> bool {
        self.shunned > now
    }

    /// How long an answer takes: the mean, or the longest wait under way if that is more. An
    /// endpoint that hangs answers nothing, so only the wait shows it.
    pub fn answer_time(&self, now: Time) -> Duration {
        self.answer_time.max(self.longest_wait(now))
    }

    /// For how long the oldest request has waited for its answer to begin.
    pub fn longest_wait(&self, now: Time) -> Duration {
        self.open.first_key_value().map_or(Duration::ZERO, |(_, sent)| now.since(*sent))
    }
}

/// How long an endpoint is left alone after `before` failures of the same kind in a row.
fn pause(before: u32) -> Duration {
    FIRST_PAUSE.saturating_mul(1 << before.min(8)).min(LONGEST_PAUSE)
}

fn mean(before: Duration, time: Duration) -> Duration {
    if before.is_zero() {
        return time;
    }
    before.mul_f64(1.0 - TIME_WEIGHT) + time.mul_f64(TIME_WEIGHT)
}
