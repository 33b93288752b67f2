//! Endpoints that have ended, as noticed by any replica.
//!
//! An endpoint that refuses connections gets no requests until it gives a sign of life: a new write of its row, an
//! answer, or a newer process. Replicas tell each other what they noticed, so that one refused connection is
//! enough, and one replica tries the endpoint for all.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use strum::{Display, IntoStaticStr};
use xxhash_rust::xxh3::Xxh3;

use super::{digest::Member, directory::Endpoint};
use crate::clock::Time;

/// Time from a notice to the first try of the replica that tries for all; doubles with each failure.
const MIN_TRY_DELAY: Duration = Duration::from_millis(250);
/// Longest time between two tries.
const MAX_TRY_DOUBLINGS: u32 = 3;
/// Time from the newest notice until the other replicas try too. Longer than the longest time between two tries, and
/// they learn of those late.
const OTHERS_TRY_DELAY: Duration = Duration::from_secs(3);
/// Range over which the tries of the others are spread.
const OTHERS_TRY_SPREAD: Duration = Duration::from_secs(1);
/// Time after which a try without a result no longer prevents others.
const TRY_TIMEOUT: Duration = Duration::from_secs(1);
/// Age at which a notice expires unless a replica sends a newer one.
const LAPSE_AFTER: Duration = Duration::from_secs(6);
/// How long the end of an outage is reported, and how long a replica whose notice was refuted makes no other.
const REPORT_END_FOR: Duration = Duration::from_secs(3);
/// Time after a notice in which rows may arrive that the endpoint wrote before it ended.
const WRITE_DELAY: Duration = Duration::from_millis(700);
/// Notices that differ by less are about the same failure: transit times vary.
const SAME_NOTICE_WITHIN: Duration = Duration::from_millis(200);
/// Endpoints that have ended which a request may meet before it waits for the notices of others.
const MAX_MET: usize = 2;
/// How long it waits: after a crash of many endpoints, the others find out about the rest meanwhile.
const SETTLING_TIME: Duration = Duration::from_millis(100);
/// Largest number of notices in a digest; the newest come first.
const MAX_REPORTED: usize = 32;
/// Largest number of events that wait to be logged.
const MAX_EVENTS: usize = 128;

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

/// How the end of an endpoint was noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// It refused a connection, or another process listens at its address.
    Unreachable,
    /// It crashed under a request.
    Crashed,
    /// A peer noticed it.
    Peer,
}

/// Why an outage is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Sign {
    /// The endpoint answered this replica.
    Answered,
    /// It answered a peer.
    Peer,
    /// It wrote its row again.
    Written,
    /// Another process is listed, or none.
    Replaced,
    /// Nobody repeated the notice.
    Lapsed,
}

/// A change to be logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An endpoint gets no more requests.
    Out {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// How this replica knows.
        reason: Reason,
        /// Replica that noticed it.
        noticed_by: Arc<str>,
        /// Age of the notice.
        age: Duration,
    },
    /// An endpoint gets requests again.
    Back {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// Why.
        sign: Sign,
        /// How long it got none.
        after: Duration,
    },
}

/// Whether requests may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// It is not known to have ended.
    Open,
    /// One request may be sent as a try.
    Try,
    /// No request may be sent; `is_hearsay` if only peers noticed the end.
    Closed {
        /// Whether this replica noticed nothing itself.
        is_hearsay: bool,
    },
}

#[derive(Clone, Debug)]
struct Outage {
    /// Start of the process that ended.
    started_ms: u64,
    since: Time,
    /// Time of the newest notice or, if the outage is over, of the answer.
    at: Time,
    /// Whether this replica noticed the end, or had the answer.
    is_own: bool,
    is_over: bool,
    /// Whether a peer had an answer after this replica's notice.
    is_refuted: bool,
    /// Notices after the first.
    failures: u32,
    /// Number of the endpoint's newest write that it may have made before it ended.
    sequence: u64,
    /// Whether this replica tries for all.
    is_first: bool,
    trying_since: Option<Time>,
}

impl Outage {
    /// Returns when this replica may try the endpoint next; `preference` is from 0 to 1.
    fn next_try(&self, preference: f64) -> Time {
        let delay = if self.is_first {
            MIN_TRY_DELAY * 2_u32.pow(self.failures.min(MAX_TRY_DOUBLINGS))
        } else {
            OTHERS_TRY_DELAY + OTHERS_TRY_SPREAD.mul_f64(1.0 - preference)
        };
        self.at.plus(delay)
    }
}

/// Outages that this replica knows of.
#[derive(Clone, Debug, Default)]
pub struct Outages {
    known: BTreeMap<Arc<str>, Outage>,
    /// When endpoints last answered this replica.
    answers: BTreeMap<Arc<str>, Time>,
    is_urgent: bool,
    events: VecDeque<Event>,
    /// Ends of endpoints, and returns with the length of the outage.
    turns: Vec<(Arc<str>, Option<Duration>)>,
}

impl Outages {
    /// Returns whether no outage is known, not even one that is over.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns whether an endpoint is out.
    pub fn is_out(&self, endpoint: &str) -> bool {
        self.known.get(endpoint).is_some_and(|outage| !outage.is_over)
    }

    /// Returns whether a request that has met these endpoints has to wait, because several of them have just ended.
    pub fn is_settling(&self, now: Time, met: &[Arc<str>]) -> bool {
        let out = met.iter().filter_map(|endpoint| self.known.get(endpoint).filter(|outage| !outage.is_over));
        let ends: Vec<Time> = out.map(|outage| outage.since).collect();
        ends.len() >= MAX_MET && ends.iter().any(|since| now.since(*since) < SETTLING_TIME)
    }

    /// Returns the endpoints that are out.
    pub fn out(&self) -> impl Iterator<Item = &Arc<str>> {
        self.known.iter().filter(|(_, outage)| !outage.is_over).map(|(endpoint, _)| endpoint)
    }

    /// Returns whether this replica may send requests to an endpoint; `preference` spreads the tries of replicas.
    pub fn access(&self, now: Time, endpoint: &str, preference: f64) -> Access {
        let Some(outage) = self.known.get(endpoint).filter(|outage| !outage.is_over) else {
            return Access::Open;
        };
        let is_trying = outage.trying_since.is_some_and(|since| now.since(since) < TRY_TIMEOUT);
        if !is_trying && now >= outage.next_try(preference) {
            Access::Try
        } else {
            Access::Closed { is_hearsay: !outage.is_own }
        }
    }

    /// Records that a request is sent to an endpoint, which is a try if the endpoint is out.
    pub fn record_sent(&mut self, now: Time, endpoint: &str) {
        if let Some(outage) = self.known.get_mut(endpoint) {
            outage.trying_since = Some(now);
        }
    }

    /// Records that this replica noticed the end of an endpoint. `sequence` is the number of its newest known write.
    pub fn record_failure(
        &mut self,
        now: Time,
        own: &Arc<str>,
        endpoint: &Endpoint,
        sequence: u64,
        reason: Reason,
    ) {
        // Others reach the endpoint, so the fault is probably in the network between.
        let is_refuted = |outage: &Outage| outage.is_over && outage.is_refuted;
        let known = self.known.get(&endpoint.id).filter(|outage| outage.started_ms == endpoint.started_ms);
        if known.is_some_and(is_refuted) {
            return;
        }
        self.notice(now, own, endpoint, (now, sequence), reason);
    }

    /// Records a notice made at a time, with the number of the endpoint's newest known write.
    fn notice(
        &mut self,
        now: Time,
        noticed_by: &Arc<str>,
        endpoint: &Endpoint,
        (at, sequence): (Time, u64),
        reason: Reason,
    ) {
        let is_own = reason != Reason::Peer;
        let known = self.known.get_mut(&endpoint.id);
        let ongoing = known.filter(|outage| !outage.is_over && outage.started_ms == endpoint.started_ms);
        if let Some(outage) = ongoing {
            outage.is_own |= is_own;
            if is_own {
                outage.trying_since = None;
            }
            if at > outage.at.plus(SAME_NOTICE_WITHIN) {
                outage.failures += 1;
                (outage.at, outage.sequence) = (at, sequence);
            }
            return;
        }
        let outage = Outage {
            started_ms: endpoint.started_ms,
            since: now,
            at,
            is_own,
            is_over: false,
            is_refuted: false,
            failures: 0,
            sequence,
            is_first: false,
            trying_since: None,
        };
        self.is_urgent |= is_own;
        self.known.insert(endpoint.id.clone(), outage);
        self.turns.push((endpoint.id.clone(), None));
        self.log(Event::Out {
            endpoint: endpoint.id.clone(),
            reason,
            noticed_by: noticed_by.clone(),
            age: now.since(at),
        });
    }

    /// Records that an endpoint answered this replica.
    pub fn record_answer(&mut self, now: Time, endpoint: &Arc<str>) {
        self.answers.insert(endpoint.clone(), now);
        self.end(now, endpoint, now, Sign::Answered);
    }

    /// Applies the notice of a peer about a listed endpoint.
    pub fn apply(&mut self, now: Time, peer: &Arc<str>, endpoint: &Endpoint, sequence: u64, notice: Notice) {
        let at = now.minus(notice.age);
        if notice.started_ms != endpoint.started_ms || notice.age >= LAPSE_AFTER {
            return;
        }
        let known = self.known.get(&endpoint.id).filter(|known| known.started_ms == notice.started_ms);
        if notice.is_over {
            if known.is_some_and(|known| !known.is_over && at > known.at) {
                self.end(now, &endpoint.id, at, Sign::Peer);
            }
            return;
        }
        if let Some(answered) = self.answers.get(&endpoint.id).copied().filter(|answered| *answered > at) {
            self.refute(endpoint, answered);
        } else if known.is_none_or(|known| !known.is_over || at > known.at) {
            self.notice(now, peer, endpoint, (at, sequence), Reason::Peer);
        }
    }

    /// Reports to peers that an endpoint answered after their notice.
    fn refute(&mut self, endpoint: &Endpoint, answered: Time) {
        let entry = self.known.entry(endpoint.id.clone());
        let outage = entry.or_insert_with(|| {
            self.is_urgent = true;
            Outage {
                started_ms: endpoint.started_ms,
                since: answered,
                at: answered,
                is_own: true,
                is_over: true,
                is_refuted: false,
                failures: 0,
                sequence: 0,
                is_first: false,
                trying_since: None,
            }
        });
        if outage.is_over {
            (outage.at, outage.is_own) = (answered, true);
        }
    }

    fn end(&mut self, now: Time, endpoint: &Arc<str>, at: Time, sign: Sign) {
        let Some(outage) = self.known.get_mut(endpoint).filter(|outage| !outage.is_over) else { return };
        let after = now.since(outage.since);
        self.is_urgent |= sign == Sign::Answered;
        outage.is_refuted = sign == Sign::Peer && outage.is_own;
        (outage.is_over, outage.is_own, outage.at) = (true, sign == Sign::Answered, at);
        if !matches!(sign, Sign::Replaced) {
            self.turns.push((endpoint.clone(), Some(after)));
        }
        self.log(Event::Back { endpoint: endpoint.clone(), sign, after });
    }

    /// Ends the outages of endpoints that have written their rows or were replaced. `last_write` returns the start of an
    /// endpoint's process and the number of its newest write; `None` if it is not listed.
    pub fn review(&mut self, now: Time, last_write: impl Fn(&str) -> Option<(u64, u64)>) {
        let mut ended = Vec::new();
        for (endpoint, outage) in self.known.iter_mut().filter(|(_, outage)| !outage.is_over) {
            match last_write(endpoint) {
                Some((started_ms, sequence)) if started_ms == outage.started_ms => {
                    if now.since(outage.at) < WRITE_DELAY {
                        outage.sequence = outage.sequence.max(sequence);
                    } else if sequence > outage.sequence {
                        ended.push((endpoint.clone(), Sign::Written));
                    }
                }
                _ => ended.push((endpoint.clone(), Sign::Replaced)),
            }
        }
        for (endpoint, sign) in ended {
            self.end(now, &endpoint, now, sign);
        }
    }

    /// Removes what is out of date and what is known of endpoints that are not listed, and recomputes for which endpoints
    /// this replica tries first; `live` are the other live replicas.
    pub fn update(&mut self, now: Time, own: &str, live: &[Member], is_listed: impl Fn(&str) -> bool) {
        let is_lapsed = |outage: &Outage| !outage.is_over && now.since(outage.at) >= LAPSE_AFTER;
        let lapsed = self.known.iter().filter(|(_, outage)| is_lapsed(outage));
        let lapsed: Vec<Arc<str>> = lapsed.map(|(endpoint, _)| endpoint.clone()).collect();
        for endpoint in lapsed {
            self.end(now, &endpoint, now, Sign::Lapsed);
        }
        self.known.retain(|_, outage| !outage.is_over || now.since(outage.at) < REPORT_END_FOR);
        self.answers.retain(|endpoint, at| now.since(*at) < LAPSE_AFTER && is_listed(endpoint));
        for (endpoint, outage) in &mut self.known {
            let weight = weight(own, endpoint);
            outage.is_first = live.iter().all(|replica| self::weight(&replica.name, endpoint) < weight);
        }
    }

    /// Returns whether peers should learn of a change soon.
    pub fn is_urgent(&self) -> bool {
        self.is_urgent
    }

    /// Returns what this replica itself noticed, for the next digest.
    pub fn report(&mut self, now: Time) -> Report {
        self.is_urgent = false;
        let mut own: Vec<_> = self.known.iter().filter(|(_, outage)| outage.is_own).collect();
        own.sort_by_key(|(_, outage)| std::cmp::Reverse(outage.at));
        own.truncate(MAX_REPORTED);
        let notice = |outage: &Outage| Notice {
            started_ms: outage.started_ms,
            age: now.since(outage.at),
            is_over: outage.is_over,
        };
        own.into_iter().map(|(endpoint, outage)| (endpoint.clone(), notice(outage))).collect()
    }

    /// Returns whether an endpoint is out, or was until a moment ago.
    pub fn is_known(&self, endpoint: &str) -> bool {
        self.known.contains_key(endpoint)
    }

    /// Returns the endpoints that have ended or, with the length of the outage, returned since the last call.
    pub fn take_turns(&mut self) -> Vec<(Arc<str>, Option<Duration>)> {
        std::mem::take(&mut self.turns)
    }

    /// Returns the changes since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.events.drain(..).collect()
    }

    fn log(&mut self, event: Event) {
        if self.events.len() < MAX_EVENTS {
            self.events.push_back(event);
        }
    }
}

/// Returns the weight of a replica in the choice of the one that tries an endpoint first.
fn weight(replica: &str, endpoint: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(endpoint.as_bytes());
    hash.update(&[0]);
    hash.update(replica.as_bytes());
    hash.digest()
}
