//! Fleet-wide rate limits under lost, repeated and delayed messages, pauses and changes of the home.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use quickcheck::{Arbitrary, Gen, QuickCheck};
use tarragonhill_core::{
    Request, Time,
    quota::{Admission, Grant, Lender, Limiter, LoanRequest, Waiter},
    settings::Customer,
};

const RATE: u64 = 1_000;
const BURST: u64 = 3_000;
const ENTRIES: usize = 3;

fn customer() -> Customer {
    Customer { rate: RATE, burst: BURST, weight: 1 }
}

/// One step of a random schedule.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Advances the time by milliseconds.
    Advance(u16),
    /// A caller's request, with its cost in tokens, reaches an entry.
    Arrive(u8, u16),
    /// An entry sends a loan request to the home if one is due.
    Request(u8),
    /// The loan request reaches the home; may be repeated.
    Deliver(u8),
    /// The reply reaches the entry; may be repeated.
    Reply(u8),
    /// The loan request and the reply of an entry are lost.
    Lose(u8),
    /// An entry returns tokens that a request was charged but did not use.
    Refund(u8, u16),
    /// The home crashes; another takes over with an empty bucket once all loans have expired.
    TakeOver,
    /// The home hands its bucket over to another.
    HandOver,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let entry = u8::arbitrary(g) % ENTRIES as u8;
        let tokens = u16::arbitrary(g) % 1_500 + 1;
        match u8::arbitrary(g) % 24 {
            0..=4 => Self::Advance(u16::arbitrary(g) % 700),
            5..=9 => Self::Arrive(entry, tokens),
            10..=13 => Self::Request(entry),
            14..=17 => Self::Deliver(entry),
            18..=20 => Self::Reply(entry),
            21 => Self::Lose(entry),
            22 => Self::Refund(entry, tokens),
            _ if bool::arbitrary(g) => Self::HandOver,
            _ => Self::TakeOver,
        }
    }
}

struct Entry {
    name: Arc<str>,
    limiter: Limiter,
    request: Option<LoanRequest>,
    reply: Option<(u64, Grant)>,
}

struct Cluster {
    now: Time,
    home: Lender,
    entries: Vec<Entry>,
    costs: BTreeMap<Request, u64>,
    /// Tokens spent, with the time.
    spent: Vec<(Time, u64)>,
    refunded: u64,
}

impl Cluster {
    fn new() -> Self {
        let new_entry = |number: usize| Entry {
            name: format!("entry-{number}").into(),
            limiter: Limiter::new(Time::ZERO),
            request: None,
            reply: None,
        };
        Self {
            now: Time::ZERO,
            home: Lender::full(&customer(), Time::ZERO),
            entries: (0..ENTRIES).map(new_entry).collect(),
            costs: BTreeMap::new(),
            spent: Vec::new(),
            refunded: 0,
        }
    }

    fn record(&mut self, admissions: impl IntoIterator<Item = Admission>) {
        for admission in admissions {
            if let Admission::Admitted(request) = admission {
                self.spent.push((self.now, self.costs[&request]));
            }
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Advance(millis) => self.now = self.now.plus(Duration::from_millis(millis.into())),
            Step::Arrive(entry, tokens) => {
                let request = Request(self.costs.len() as u128);
                self.costs.insert(request, tokens.into());
                let deadline = self.now.plus(Duration::from_millis(300));
                let waiter = Waiter { request, cost: tokens.into(), deadline };
                let admission = self.entries[usize::from(entry)].limiter.admit(self.now, waiter);
                self.record(admission);
            }
            Step::Request(entry) => {
                let entry = &mut self.entries[usize::from(entry)];
                if let Some(request) = entry.limiter.request_tokens(self.now) {
                    entry.request = Some(request);
                }
            }
            Step::Deliver(entry) => {
                let entry = &mut self.entries[usize::from(entry)];
                if let Some(request) = entry.request {
                    entry.reply = Some((request.serial, self.home.lend(self.now, &entry.name, request)));
                }
            }
            Step::Reply(entry) => {
                let entry = &mut self.entries[usize::from(entry)];
                let Some((serial, grant)) = entry.reply else { return };
                let admissions = entry.limiter.receive_grant(self.now, serial, grant);
                self.record(admissions);
            }
            Step::Lose(entry) => {
                let entry = &mut self.entries[usize::from(entry)];
                (entry.request, entry.reply) = (None, None);
            }
            Step::Refund(entry, tokens) => {
                // Only spent tokens can be returned.
                let spent: u64 = self.spent.iter().map(|(_, tokens)| tokens).sum();
                let tokens = u64::from(tokens).min(spent - self.refunded);
                self.refunded += tokens;
                self.entries[usize::from(entry)].limiter.refund(self.now, tokens);
            }
            Step::TakeOver => {
                // The next home starts after the lease and all loans have expired.
                self.now = self.now.plus(Duration::from_secs(5));
                self.home = Lender::with_level(&customer(), 0, 0, self.now);
            }
            Step::HandOver => {
                let (level, lent) = (self.home.level(self.now), self.home.outstanding());
                self.home = Lender::with_level(&customer(), level, lent, self.now);
            }
        }
    }

    /// Returns the largest number of tokens by which any window exceeds rate and burst. Refunded
    /// tokens do not count, as they were never used.
    fn excess(&self) -> i128 {
        let mut worst = i128::MIN;
        for (first, (begin, _)) in self.spent.iter().enumerate() {
            let mut sum = 0_i128;
            for (end, tokens) in &self.spent[first..] {
                sum += i128::from(*tokens);
                let inflow = end.since(*begin).as_micros() as i128 * i128::from(RATE) / 1_000_000 + 1;
                worst = worst.max(sum - inflow - i128::from(BURST) - i128::from(self.refunded));
            }
        }
        worst
    }
}

fn stays_within_limits(steps: Vec<Step>) -> bool {
    let mut cluster = Cluster::new();
    for step in steps {
        cluster.step(step);
        if cluster.home.level(cluster.now) + cluster.home.outstanding() > BURST {
            return false;
        }
    }
    cluster.excess() <= 0
}

/// Guards against a customer exceeding its limits when messages are lost, repeated or delayed, and
/// the home crashes or hands over, in any order.
#[test]
fn no_window_exceeds_rate_and_burst() {
    let generator = Gen::from_size_and_seed(400, 11);
    QuickCheck::new().rng(generator).tests(400).quickcheck(stays_within_limits as fn(Vec<Step>) -> bool);
}

fn request_tokens(limiter: &mut Limiter, now: Time) -> LoanRequest {
    limiter.request_tokens(now).expect("a loan request is due")
}

fn at(ms: u64) -> Time {
    Time::ZERO.plus(Duration::from_millis(ms))
}

fn waiter(request: u128, cost: u64, now: Time) -> Waiter {
    Waiter { request: Request(request), cost, deadline: now.plus(Duration::from_millis(300)) }
}

/// Guards against an entry that resumes after a pause and spends tokens that the home has lent again.
#[test]
fn paused_borrower_does_not_spend_an_expired_loan() {
    let (mut home, mut limiter) = (Lender::full(&customer(), Time::ZERO), Limiter::new(Time::ZERO));
    assert_eq!(limiter.admit(Time::ZERO, waiter(1, 500, Time::ZERO)), None);
    let request = LoanRequest { tokens: 2_000, minimum: 1_000, ..request_tokens(&mut limiter, Time::ZERO) };
    let grant = home.lend(Time::ZERO, &"a".into(), request);
    assert_eq!(limiter.receive_grant(Time::ZERO, request.serial, grant), [Admission::Admitted(Request(1))]);
    assert!(limiter.available(Time::ZERO) >= 500);
    let later = Time::ZERO.plus(Duration::from_secs(10));
    assert_eq!(limiter.admit(later, waiter(2, 500, later)), None);
}

/// Guards against tokens being counted twice when a reply is lost or late and the request is repeated.
#[test]
fn repeated_request_gets_the_same_grant_and_late_reply_is_dropped() {
    let (mut home, mut limiter) = (Lender::full(&customer(), Time::ZERO), Limiter::new(Time::ZERO));
    limiter.admit(Time::ZERO, waiter(1, 500, Time::ZERO));
    let first = request_tokens(&mut limiter, Time::ZERO);
    let lost_reply = home.lend(Time::ZERO, &"a".into(), first);
    assert_eq!(home.lend(Time::ZERO, &"a".into(), first), lost_reply);
    let later = Time::ZERO.plus(Duration::from_millis(310));
    let second = request_tokens(&mut limiter, later);
    let grant = home.lend(later, &"a".into(), second);
    assert_eq!(limiter.receive_grant(later, first.serial, lost_reply), []);
    assert_eq!(limiter.receive_grant(later, second.serial, grant).len(), 1);
    assert!(home.level(later) + home.outstanding() <= BURST);
}

/// Guards against a static split of the rate, which would refuse a customer that uses a single entry.
#[test]
fn one_entry_may_spend_the_whole_rate() {
    let (mut home, mut limiter) = (Lender::full(&customer(), Time::ZERO), Limiter::new(Time::ZERO));
    let (mut admitted, mut refused) = (0, 0);
    let mut now = Time::ZERO;
    // 95 tokens every 100 ms are 95% of the rate.
    for request in 0..200 {
        let mut admissions: Vec<Admission> =
            limiter.admit(now, waiter(request, 95, now)).into_iter().collect();
        while let Some(request) = limiter.request_tokens(now) {
            let grant = home.lend(now, &"a".into(), request);
            admissions.extend(limiter.receive_grant(now, request.serial, grant));
        }
        admissions.extend(limiter.expire_waiters(now));
        for admission in admissions {
            match admission {
                Admission::Admitted(_) => admitted += 1,
                Admission::OverRate(..) | Admission::HomeUnreachable(_) => refused += 1,
            }
        }
        now = now.plus(Duration::from_millis(100));
    }
    assert_eq!((admitted, refused), (200, 0));
}

/// Guards against holding a request until its deadline although the grant shows that it cannot be
/// admitted by then.
#[test]
fn request_that_would_miss_its_deadline_is_refused_at_once() {
    let mut home = Lender::with_level(&customer(), 0, 0, Time::ZERO);
    let mut limiter = Limiter::new(Time::ZERO);
    limiter.admit(Time::ZERO, waiter(1, 1_000, Time::ZERO));
    let request = request_tokens(&mut limiter, Time::ZERO);
    let grant = home.lend(Time::ZERO, &"a".into(), request);
    let admissions = limiter.receive_grant(Time::ZERO, request.serial, grant);
    assert_eq!(admissions, [Admission::OverRate(Request(1), Duration::from_secs(1))]);
}

/// Guards against reporting the home as unreachable while it is asked again shortly before a deadline.
#[test]
fn request_that_expires_during_a_repeated_loan_request_is_over_its_rate() {
    let mut home = Lender::with_level(&customer(), 0, 0, Time::ZERO);
    let mut limiter = Limiter::new(Time::ZERO);
    limiter.admit(Time::ZERO, waiter(1, 299, Time::ZERO));
    let request = request_tokens(&mut limiter, Time::ZERO);
    let grant = home.lend(Time::ZERO, &"a".into(), request);
    assert_eq!(limiter.receive_grant(Time::ZERO, request.serial, grant), []);
    request_tokens(&mut limiter, at(299));
    let admissions = limiter.expire_waiters(at(300));
    assert!(matches!(admissions[..], [Admission::OverRate(Request(1), _)]), "{admissions:?}");
}

/// Guards against reporting a customer as over its rate although its home has not replied.
#[test]
fn request_without_a_reply_of_the_home_is_not_reported_as_over_its_rate() {
    let mut limiter = Limiter::new(Time::ZERO);
    limiter.admit(Time::ZERO, waiter(1, 100, Time::ZERO));
    request_tokens(&mut limiter, Time::ZERO);
    limiter.admit(at(100), waiter(2, 100, at(100)));
    assert_eq!(limiter.expire_waiters(at(300)), [Admission::HomeUnreachable(Request(1))]);
    // Replaces the unanswered loan request.
    request_tokens(&mut limiter, at(300));
    assert_eq!(limiter.expire_waiters(at(400)), [Admission::HomeUnreachable(Request(2))]);
}
