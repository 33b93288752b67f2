//! Turns at throttled endpoints that replicas lend to each other.
//!
//! The owners of a throttled endpoint share what it takes, but callers may come to other replicas: a load balancer may hand
//! most connections to one. A replica with turns to spare lends them to those that lack some. A loan holds for a short term, after
//! which the lender uses its turns again, so that the limit holds also if the two lose each other.

use std::{cmp::Reverse, collections::BTreeMap, sync::Arc, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use super::throttle::Cause;
use crate::clock::Time;

/// How long a borrower uses a loan from when it learned of it.
const BORROW_TERM: Duration = Duration::from_secs(1);
/// How long a lender does not use what it has lent, from when it last said so. Longer than [`BORROW_TERM`], as digests may be late.
const LEND_TERM: Duration = Duration::from_millis(2_500);
/// Time for which a lender has not used turns before it lends them, besides the interval between two.
const IDLE_TIME: Duration = Duration::from_secs(1);
/// Age at which what a peer lacks no longer counts.
const PEER_TTL: Duration = Duration::from_secs(2);
/// Period in which turns are counted.
const PERIOD: Duration = Duration::from_secs(1);
/// Turns a second that a lender keeps besides those for its own requests.
const KEPT_TURNS_PER_S: f64 = 0.3;
/// A borrower lacks this many times as many turns as the lender.
const LEAST_EXCESS: u32 = 2;

/// Turns at an endpoint, and the replica that may use them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loan {
    /// Name of the borrower.
    pub borrower: Arc<str>,
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Why the endpoint is throttled.
    pub cause: Cause,
    /// Interval between two of the turns.
    pub interval: Duration,
}

/// Turns that a replica owns.
#[derive(Clone, Debug)]
pub struct Turns {
    /// Service of the endpoint.
    pub service: Arc<str>,
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Why the endpoint is throttled.
    pub cause: Cause,
    /// Interval between two of them.
    pub interval: Duration,
}

/// Number of events in the last periods.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    since: Time,
    current: u32,
    previous: u32,
}

impl Count {
    fn add(&mut self, now: Time, count: u32) {
        let passed = now.since(self.since);
        if passed >= PERIOD {
            let previous = if passed >= PERIOD * 2 { 0 } else { self.current };
            *self = Self { since: now, current: 0, previous };
        }
        self.current = self.current.saturating_add(count);
    }

    /// Returns the most events in a period.
    fn get(mut self, now: Time) -> u32 {
        self.add(now, 0);
        self.current.max(self.previous)
    }
}

/// Turns that this replica does not use.
#[derive(Clone, Debug)]
struct Given {
    since: Time,
    /// The newest loan, and when it was last offered.
    loan: Option<(Loan, Time)>,
}

impl Given {
    /// Returns whether the loan may still be in use.
    fn is_outstanding(&self, now: Time) -> bool {
        self.loan.as_ref().is_some_and(|(_, at)| now.since(*at) < LEND_TERM)
    }
}

type Key = (Cause, Arc<str>);
/// Requests that found no turn, by service.
type Unmet = BTreeMap<Arc<str>, u32>;

/// Loans of a replica and what they follow from.
#[derive(Clone, Debug, Default)]
pub struct Loans {
    given: BTreeMap<Key, Given>,
    /// Loans of peers, with their ends and intervals, by lender.
    taken: BTreeMap<Key, BTreeMap<Arc<str>, (Time, Duration)>>,
    /// Turns that requests of a service have used here.
    used: BTreeMap<Arc<str>, Count>,
    /// Requests of a service that found no turn here.
    unmet: BTreeMap<Arc<str>, Count>,
    /// The same at peers, as they last reported.
    peers: BTreeMap<Arc<str>, (Time, Unmet)>,
}

impl Loans {
    /// Records that a request has used a turn.
    pub fn record_used(&mut self, now: Time, service: &Arc<str>) {
        self.used.entry(service.clone()).or_default().add(now, 1);
    }

    /// Records requests that found no turn.
    pub fn record_unmet(&mut self, now: Time, service: &str, count: u32) {
        self.unmet.entry(service.into()).or_default().add(now, count);
    }

    /// Returns the requests of each service that lately found no turn, for a digest.
    pub fn unmet(&self, now: Time) -> Unmet {
        let counts = self.unmet.iter().map(|(service, count)| (service.clone(), count.get(now)));
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Returns the loans that hold, for a digest.
    pub fn offers(&self, now: Time) -> Vec<Loan> {
        let offered = self.given.values().filter_map(|given| given.loan.as_ref());
        offered.filter(|(_, at)| *at == now).map(|(loan, _)| loan.clone()).collect()
    }

    /// Applies what a peer lacks and lends.
    pub fn apply(&mut self, now: Time, own: &str, peer: &Arc<str>, unmet: &Unmet, loans: &[Loan]) {
        self.peers.insert(peer.clone(), (now, unmet.clone()));
        for loan in loans.iter().filter(|loan| *loan.borrower == *own && !loan.interval.is_zero()) {
            let lenders = self.taken.entry((loan.cause, loan.endpoint.clone())).or_default();
            lenders.insert(peer.clone(), (now.plus(BORROW_TERM), loan.interval));
        }
    }

    /// Forgets a peer.
    pub fn remove_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    /// Returns whether there are loans, or peers that lack turns.
    pub fn is_needed(&self, now: Time) -> bool {
        let is_lacking = |(at, unmet): &(Time, Unmet)| now.since(*at) < PEER_TTL && !unmet.is_empty();
        !self.given.is_empty() || !self.taken.is_empty() || self.peers.values().any(is_lacking)
    }

    /// Decides which of this replica's turns are lent.
    pub fn update(&mut self, now: Time, owned: Vec<Turns>) {
        self.taken.retain(|_, lenders| {
            lenders.retain(|_, (until, _)| *until > now);
            !lenders.is_empty()
        });
        let mut by_service: BTreeMap<Arc<str>, Vec<Turns>> = BTreeMap::new();
        for turns in owned {
            by_service.entry(turns.service.clone()).or_default().push(turns);
        }
        let mut spare = BTreeMap::new();
        for (service, mut turns) in by_service {
            let borrowers = self.borrowers(now, &service);
            if borrowers.is_empty() {
                continue;
            }
            // Not the same order at all endpoints of a service, so that the borrowers get a part of each.
            turns.sort_by_key(|turns| xxh3_64(turns.endpoint.as_bytes()));
            let used = self.used.get(&service).map_or(0, |count| count.get(now));
            let needed = f64::from(used + self.own_unmet(now, &service)) + KEPT_TURNS_PER_S;
            let mut kept: BTreeMap<Cause, f64> = BTreeMap::new();
            for (number, turns) in turns.into_iter().enumerate() {
                let (kept, rate) = (kept.entry(turns.cause).or_default(), 1.0 / turns.interval.as_secs_f64());
                if *kept + rate / 2.0 < needed {
                    *kept += rate;
                } else {
                    let borrower = borrowers[number % borrowers.len()].clone();
                    spare.insert((turns.cause, turns.endpoint.clone()), (borrower, turns.interval));
                }
            }
        }
        self.given.retain(|key, given| spare.contains_key(key) || given.is_outstanding(now));
        for (key, (borrower, interval)) in spare {
            let given = self.given.entry(key.clone()).or_insert(Given { since: now, loan: None });
            // Another borrower has to wait for the end of the last loan.
            let is_other = given.loan.as_ref().is_some_and(|(loan, _)| loan.borrower != borrower);
            if now.since(given.since) >= IDLE_TIME.max(interval) && !(is_other && given.is_outstanding(now)) {
                let (cause, endpoint) = key;
                given.loan = Some((Loan { borrower, endpoint, cause, interval }, now));
            }
        }
    }

    fn own_unmet(&self, now: Time, service: &str) -> u32 {
        self.unmet.get(service).map_or(0, |count| count.get(now))
    }

    /// Returns the peers that lack many more turns for a service than this replica, those that lack the most first.
    fn borrowers(&self, now: Time, service: &str) -> Vec<Arc<str>> {
        let own = self.own_unmet(now, service);
        let fresh = self.peers.iter().filter(|(_, (at, _))| now.since(*at) < PEER_TTL);
        let lacking =
            fresh.filter_map(|(peer, (_, unmet))| Some((Reverse(*unmet.get(service)?), peer.clone())));
        let mut lacking: Vec<(Reverse<u32>, Arc<str>)> =
            lacking.filter(|(unmet, _)| unmet.0 > own * LEAST_EXCESS).collect();
        lacking.sort();
        lacking.into_iter().map(|(_, peer)| peer).collect()
    }

    /// Returns the interval at which this replica may send to an endpoint, with its loans. `own` is the interval without;
    /// `None` if it owns no turns.
    pub fn interval(
        &self,
        now: Time,
        cause: Cause,
        endpoint: &Arc<str>,
        own: Option<Duration>,
    ) -> Option<Duration> {
        if own.is_some_and(|own| own.is_zero()) {
            return own;
        }
        let key = (cause, endpoint.clone());
        let own = own.filter(|_| !self.given.contains_key(&key));
        let lenders = self.taken.get(&key).into_iter().flat_map(BTreeMap::values);
        let borrowed = lenders.filter(|(until, _)| *until > now).map(|(_, interval)| *interval);
        let rate: f64 = own.into_iter().chain(borrowed).map(|interval| 1.0 / interval.as_secs_f64()).sum();
        (rate > 0.0).then(|| Duration::from_secs_f64(1.0 / rate))
    }
}
