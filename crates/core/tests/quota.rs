//! Rate and burst over all entries together, whatever is lost, repeated, delayed or paused.

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

fn terms() -> Customer {
    Customer { rate: RATE, burst: BURST, weight: 1 }
}

/// What happens next.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Time passes, milliseconds.
    Pass(u16),
    /// A request of so many tokens reaches an entry.
    Arrive(u8, u16),
    /// An entry asks the home if it wants to.
    Ask(u8),
    /// The question reaches the home (and may do so again).
    Deliver(u8),
    /// The reply reaches the entry (and may do so again).
    Reply(u8),
    /// Question and reply of an entry are lost.
    Lose(u8),
    /// An entry gives back tokens of a request that used fewer.
    Refund(u8, u16),
    /// The home dies; another takes over empty once all slices have run out.
    TakeOver,
    /// The home hands over to another.
    HandOver,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let entry = u8::arbitrary(g) % ENTRIES as u8;
        let tokens = u16::arbitrary(g) % 1_500 + 1;
        match u8::arbitrary(g) % 24 {
            0..=4 => Self::Pass(u16::arbitrary(g) % 700),
            5..=9 => Self::Arrive(entry, tokens),
            10..=13 => Self::Ask(entry),
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
    question: Option<LoanRequest>,
    reply: Option<(u64, Grant)>,
}

struct World {
    now: Time,
    home: Lender,
    entries: Vec<Entry>,
    costs: BTreeMap<Request, u64>,
    /// Tokens spent, with when.
    spent: Vec<(Time, u64)>,
    refunded: u64,
}

impl World {
    fn new() -> Self {
        let entry = |number: usize| Entry {
            name: format!("entry-{number}").into(),
            limiter: Limiter::new(Time::ZERO),
            question: None,
            reply: None,
        };
        Self {
            now: Time::ZERO,
            home: Lender::full(&terms(), Time::ZERO),
            entries: (0..ENTRIES).map(entry).collect(),
            costs: BTreeMap::new(),
            spent: Vec::new(),
            refunded: 0,
        }
    }

    fn note(&mut self, admissions: impl IntoIterator<Item = Admission>) {
        for admission in admissions {
            if let Admission::Admitted(request) = admission {
                self.spent.push((self.now, self.costs[&request]));
            }
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Pass(millis) => self.now = self.now.plus(Duration::from_millis(millis.into())),
            Step::Arrive(entry, tokens) => {
                let request = Request(self.costs.len() as u128);
                self.costs.insert(request, tokens.into());
                let deadline = self.now.plus(Duration::from_millis(300));
                let waiter = Waiter { request, cost: tokens.into(), deadline };
                let admission = self.entries[usize::from(entry)].limiter.admit(self.now, waiter);
                self.note(admission);
            }
            Step::Ask(entry) => {
                let entry = &mut self.entries[usize::from(entry)];
                if let Some(loan) = entry.limiter.request_tokens(self.now) {
                    entry.question = Some(loan);
                }
            }
            Step::Deliver(entry) => {
                let entry = &mut self.entries[usize::from(entry)];
                if let Some(loan) = entry.question {
                    entry.reply = Some((loan.serial, self.home.lend(self.now, &entry.name, loan)));
                }
            }
            Step::Reply(entry) => {
                let entry = &mut self.entries[usize::from(entry)];
                let Some((serial, grant)) = entry.reply else { return };
                let admissions = entry.limiter.receive_grant(self.now, serial, grant);
                self.note(admissions);
            }
            Step::Lose(entry) => {
                let entry = &mut self.entries[usize::from(entry)];
                (entry.question, entry.reply) = (None, None);
            }
            Step::Refund(entry, tokens) => {
                // Only what was spent can come back.
                let spent: u64 = self.spent.iter().map(|(_, tokens)| tokens).sum();
                let tokens = u64::from(tokens).min(spent - self.refunded);
                self.refunded += tokens;
                self.entries[usize::from(entry)].limiter.refund(self.now, tokens);
            }
            Step::TakeOver => {
                // The lease and the term are waited out before the next home opens.
                self.now = self.now.plus(Duration::from_secs(5));
                self.home = Lender::with_level(&terms(), 0, 0, self.now);
            }
            Step::HandOver => {
                let (level, lent) = (self.home.level(self.now), self.home.outstanding());
                self.home = Lender::with_level(&terms(), level, lent, self.now);
            }
        }
    }

    /// The most tokens by which any window exceeds rate and burst. Refunds are allowed on top:
    /// they were charged but never used.
    fn excess(&self) -> i128 {
        let mut worst = i128::MIN;
        for (first, (begin, _)) in self.spent.iter().enumerate() {
            let mut sum = 0_i128;
            for (end, tokens) in &self.spent[first..] {
                sum += i128::from(*tokens);
                let flow = end.since(*begin).as_micros() as i128 * i128::from(RATE) / 1_000_000 + 1;
                worst = worst.max(sum - flow - i128::from(BURST) - i128::from(self.refunded));
            }
        }
        worst
    }
}

fn never_over(steps: Vec<Step>) -> bool {
    let mut world = World::new();
    for step in steps {
        world.step(step);
        if world.home.level(world.now) + world.home.outstanding() > BURST {
            return false;
        }
    }
    world.excess() <= 0
}

/// A customer gets more than its rate and burst. Slices, replies and homes are lost, repeated,
/// delayed and handed over in any order; each entry spends by what it last heard.
#[test]
fn no_window_sees_more_than_rate_and_burst() {
    let generator = Gen::from_size_and_seed(400, 11);
    QuickCheck::new().rng(generator).tests(400).quickcheck(never_over as fn(Vec<Step>) -> bool);
}

fn asked(limiter: &mut Limiter, now: Time) -> LoanRequest {
    limiter.request_tokens(now).expect("the limiter wants tokens")
}

fn waiter(request: u128, cost: u64, now: Time) -> Waiter {
    Waiter { request: Request(request), cost, deadline: now.plus(Duration::from_millis(300)) }
}

/// An entry is paused after it was lent tokens and wakes up when their term is over. It spends
/// them, while the home has long lent them again, so the customer is served twice its share.
#[test]
fn paused_borrower_does_not_spend_an_expired_slice() {
    let (mut home, mut limiter) = (Lender::full(&terms(), Time::ZERO), Limiter::new(Time::ZERO));
    assert_eq!(limiter.admit(Time::ZERO, waiter(1, 500, Time::ZERO)), None);
    let loan = LoanRequest { tokens: 2_000, minimum: 1_000, ..asked(&mut limiter, Time::ZERO) };
    let grant = home.lend(Time::ZERO, &"a".into(), loan);
    assert_eq!(limiter.receive_grant(Time::ZERO, loan.serial, grant), [Admission::Admitted(Request(1))]);
    assert!(limiter.available(Time::ZERO) >= 500);
    let later = Time::ZERO.plus(Duration::from_secs(10));
    assert_eq!(limiter.admit(later, waiter(2, 500, later)), None);
}

/// The reply to a question is lost and the entry asks again. If the home lent anew without
/// forgetting the first slice's tokens, or the entry took both replies, tokens would be made up.
#[test]
fn repeated_question_gets_the_same_grant_and_late_reply_none() {
    let (mut home, mut limiter) = (Lender::full(&terms(), Time::ZERO), Limiter::new(Time::ZERO));
    limiter.admit(Time::ZERO, waiter(1, 500, Time::ZERO));
    let first = asked(&mut limiter, Time::ZERO);
    let lost = home.lend(Time::ZERO, &"a".into(), first);
    assert_eq!(home.lend(Time::ZERO, &"a".into(), first), lost);
    let later = Time::ZERO.plus(Duration::from_millis(310));
    let second = asked(&mut limiter, later);
    let grant = home.lend(later, &"a".into(), second);
    assert_eq!(limiter.receive_grant(later, first.serial, lost), []);
    assert_eq!(limiter.receive_grant(later, second.serial, grant).len(), 1);
    assert!(home.level(later) + home.outstanding() <= BURST);
}

/// One customer's callers all come through one entry. With the rate split evenly, two thirds of
/// what it is entitled to would be refused; borrowing, one entry may spend all of it.
#[test]
fn one_entry_may_spend_the_whole_rate() {
    let (mut home, mut limiter) = (Lender::full(&terms(), Time::ZERO), Limiter::new(Time::ZERO));
    let (mut served, mut refused) = (0, 0);
    let mut now = Time::ZERO;
    // 95 tokens each 100 ms are 95% of the rate.
    for request in 0..200 {
        let mut admissions: Vec<Admission> =
            limiter.admit(now, waiter(request, 95, now)).into_iter().collect();
        while let Some(loan) = limiter.request_tokens(now) {
            let grant = home.lend(now, &"a".into(), loan);
            admissions.extend(limiter.receive_grant(now, loan.serial, grant));
        }
        admissions.extend(limiter.expire_waiters(now));
        for admission in admissions {
            match admission {
                Admission::Admitted(_) => served += 1,
                Admission::OverRate(..) | Admission::HomeUnreachable(_) => refused += 1,
            }
        }
        now = now.plus(Duration::from_millis(100));
    }
    assert_eq!((served, refused), (200, 0));
}

/// A request that cannot get tokens in time is refused at once, with the time to come back, and
/// not held until its wait is over.
#[test]
fn hopeless_request_is_refused_at_once() {
    let mut home = Lender::with_level(&terms(), 0, 0, Time::ZERO);
    let mut limiter = Limiter::new(Time::ZERO);
    limiter.admit(Time::ZERO, waiter(1, 1_000, Time::ZERO));
    let loan = asked(&mut limiter, Time::ZERO);
    let grant = home.lend(Time::ZERO, &"a".into(), loan);
    let admissions = limiter.receive_grant(Time::ZERO, loan.serial, grant);
    assert_eq!(admissions, [Admission::OverRate(Request(1), Duration::from_secs(1))]);
}
