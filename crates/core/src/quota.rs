//! Rate and burst of a customer over the whole fleet.
//!
//! Each customer has one home among the entries. The home's [`Lender`] keeps the token bucket and
//! lends slices with a term; each entry's [`Limiter`] spends only from the slice in hand. At every
//! moment `level + lent <= burst`, so no window of length `t` sees more than
//! `rate * t + burst` tokens spent, whatever is lost, repeated, delayed or paused.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::{clock::Time, id::Request, settings::Customer};

const MICRO: u64 = 1_000_000;

/// How long a slice may be spent, counted by the borrower from when it asked.
pub const LOAN_TERM: Duration = Duration::from_secs(4);
/// How much longer than the term the lender counts a slice as lent. The lender starts counting
/// when it grants, which is never before the borrower asked, so any margin above zero covers
/// rounding.
const LENDER_MARGIN: Duration = Duration::from_millis(50);
/// Stands among the borrowers for the slices of the last home; no entry has an empty name.
const LAST_HOME: &str = "";
/// A borrower asks for as much as it spent in this span.
const LOOKAHEAD: Duration = Duration::from_millis(200);
/// A borrower whose question got no answer asks again after this long.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);
/// A borrower that was lent nothing waits at least this long before it asks again.
const ASK_PAUSE: Duration = Duration::from_millis(20);
/// A grant beyond what is needed at once is at most this part of what the bucket holds.
const RESERVE: u64 = 8;
/// Spending is measured over spans of this length.
const MEASURED: Duration = Duration::from_millis(500);
/// A borrower whose home cannot be reached waits this long before it asks again.
const SILENT_PAUSE: Duration = Duration::from_millis(50);
/// Unspent tokens are given back when the slice has this long to live and nothing was spent.
const GIVE_BACK: Duration = Duration::from_millis(1_500);

/// A token bucket; integer microtokens, so that nothing is lost to rounding.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// Tokens a second, which is microtokens a microsecond.
    rate: u64,
    /// Microtokens; `level <= cap` always.
    cap: u64,
    /// Microtokens.
    level: u64,
    at: Time,
}

impl Bucket {
    /// A bucket holding `burst` tokens at `now`.
    pub fn full(rate: u64, burst: u64, now: Time) -> Self {
        let cap = burst.saturating_mul(MICRO);
        Self { rate, cap, level: cap, at: now }
    }

    /// A bucket holding nothing at `now`.
    pub fn empty(rate: u64, burst: u64, now: Time) -> Self {
        Self { level: 0, ..Self::full(rate, burst, now) }
    }

    /// Adds what has flowed in since the last call, up to the cap less `lent` tokens.
    fn refill(&mut self, now: Time, lent: u64) {
        let inflow = crate::clock::micros(now.since(self.at)).saturating_mul(self.rate);
        let room = self.cap.saturating_sub(lent.saturating_mul(MICRO));
        self.level = self.level.saturating_add(inflow).min(room.max(self.level));
        self.level = self.level.min(self.cap);
        self.at = self.at.max(now);
    }

    /// Takes `tokens` if they are there.
    pub fn take(&mut self, now: Time, tokens: u64) -> Option<u64> {
        self.refill(now, 0);
        let wanted = tokens.saturating_mul(MICRO);
        self.level = self.level.checked_sub(wanted)?;
        Some(tokens)
    }

    /// Whole tokens there at `now`.
    pub fn level(&mut self, now: Time) -> u64 {
        self.refill(now, 0);
        self.level / MICRO
    }

    /// How long until `tokens` are there; `None` if they never will be.
    fn wait(&self, tokens: u64) -> Option<Duration> {
        let wanted = tokens.saturating_mul(MICRO);
        if wanted > self.cap || self.rate == 0 {
            return None;
        }
        Some(Duration::from_micros(wanted.saturating_sub(self.level).div_ceil(self.rate)))
    }
}

/// The share of a customer's rate that a lender may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share(f64);

impl Share {
    /// All of it.
    pub const WHOLE: Self = Self(1.0);

    /// A share; clamped to between nothing and all.
    pub fn new(part: f64) -> Self {
        Self(part.clamp(0.0, 1.0))
    }

    /// Half of this share.
    pub fn half(self) -> Self {
        Self(self.0 / 2.0)
    }

    /// As a number between 0 and 1.
    pub fn as_f64(self) -> f64 {
        self.0
    }

    fn of(self, tokens: u64) -> u64 {
        // A share of a token count is below 2^53 for any rate in use, so the float is exact enough;
        // it is rounded down, never up.
        (tokens as f64 * self.0) as u64
    }
}

/// A borrower's question to the home.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoanRequest {
    /// Tokens wanted.
    pub tokens: u64,
    /// Fewer than these are of no use.
    pub minimum: u64,
    /// Tokens the borrower still has from earlier slices; those before are spent or lost.
    pub unspent: u64,
    /// Tokens given back: unspent ones, and what requests were charged but did not use.
    pub refund: u64,
    /// Counts the borrower's questions; a repeat gets the same grant, not another one.
    pub serial: u64,
}

/// The home's reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Grant {
    /// Tokens lent.
    pub tokens: u64,
    /// How long they may be spent, counted from the question.
    pub term: Duration,
    /// When asking again makes sense, if nothing was lent; zero if something was.
    pub retry_after: Duration,
}

#[derive(Clone, Debug)]
struct Loan {
    serial: u64,
    grant: Grant,
    /// Tokens that may still be spent from this loan.
    tokens: u64,
    until: Time,
}

/// The home's side of one customer.
#[derive(Clone, Debug)]
pub struct Lender {
    bucket: Bucket,
    /// By borrower. The sum of their tokens and the bucket's level never exceeds the burst.
    loans: BTreeMap<Arc<str>, Loan>,
    share: Share,
    rate: u64,
    burst: u64,
}

impl Lender {
    /// A lender that starts with a full bucket; only for a customer nobody has lent for before.
    pub fn full(customer: &Customer, now: Time) -> Self {
        Self::with(Bucket::full(customer.rate, customer.burst, now), customer)
    }

    /// A lender that starts at `opens` with `level` tokens handed over by the last home, which has
    /// `lent` more that may still be spent for one term.
    pub fn with_level(customer: &Customer, level: u64, lent: u64, opens: Time) -> Self {
        let mut bucket = Bucket::empty(customer.rate, customer.burst, opens);
        bucket.level = level.saturating_mul(MICRO).min(bucket.cap);
        let mut lender = Self::with(bucket, customer);
        if lent > 0 {
            let until = opens.plus(LOAN_TERM).plus(LENDER_MARGIN);
            let last = Loan { serial: 0, grant: Grant::default(), tokens: lent, until };
            lender.loans.insert(LAST_HOME.into(), last);
        }
        lender
    }

    fn with(bucket: Bucket, customer: &Customer) -> Self {
        Self {
            bucket,
            loans: BTreeMap::new(),
            share: Share::WHOLE,
            rate: customer.rate,
            burst: customer.burst,
        }
    }

    /// Puts a new rate, burst or share in force; the level only ever shrinks by this.
    pub fn adjust(&mut self, customer: &Customer, share: Share, now: Time) {
        if (self.rate, self.burst) == (customer.rate, customer.burst) && self.share == share {
            return;
        }
        self.bucket.refill(now, self.outstanding());
        (self.rate, self.burst, self.share) = (customer.rate, customer.burst, share);
        self.bucket.rate = share.of(customer.rate);
        self.bucket.cap = share.of(customer.burst).saturating_mul(MICRO);
        self.bucket.level = self.bucket.level.min(self.bucket.cap);
    }

    /// Tokens lent and not known to be spent or given back.
    pub fn outstanding(&self) -> u64 {
        self.loans.values().map(|lent| lent.tokens).sum()
    }

    /// Whole tokens in the bucket.
    pub fn level(&mut self, now: Time) -> u64 {
        self.settle(now);
        self.bucket.level / MICRO
    }

    /// Forgets loans whose term is over. Their tokens count as spent: the bucket is never
    /// refilled by guess.
    fn settle(&mut self, now: Time) {
        self.loans.retain(|_, lent| lent.until > now);
        let outstanding = self.outstanding();
        self.bucket.refill(now, outstanding);
    }

    /// Answers a borrower.
    pub fn lend(&mut self, now: Time, borrower: &Arc<str>, loan: LoanRequest) -> Grant {
        self.settle(now);
        if let Some(last) = self.loans.get(borrower) {
            if loan.serial == last.serial {
                return last.grant;
            }
            // An older question overtaken on the way: the borrower no longer waits for its answer.
            if loan.serial < last.serial {
                return Grant::default();
            }
        }
        let before = self.loans.get(borrower).map_or(0, |lent| lent.tokens);
        let kept = loan.unspent.min(before);
        self.loans.remove(borrower);
        self.refund(loan.refund, kept);
        let grant = self.grant(loan);
        let lent = Loan {
            serial: loan.serial,
            grant,
            tokens: kept + grant.tokens,
            until: now.plus(LOAN_TERM).plus(LENDER_MARGIN),
        };
        self.loans.insert(borrower.clone(), lent);
        grant
    }

    fn refund(&mut self, tokens: u64, kept: u64) {
        let lent = self.outstanding().saturating_add(kept).saturating_mul(MICRO);
        let room = self.bucket.cap.saturating_sub(lent).saturating_sub(self.bucket.level);
        self.bucket.level += tokens.saturating_mul(MICRO).min(room);
    }

    fn grant(&mut self, loan: LoanRequest) -> Grant {
        let available = self.bucket.level / MICRO;
        if loan.minimum > available {
            // What can never be saved up for (above the burst) is told to come back after a term.
            let retry_after = self.bucket.wait(loan.minimum).unwrap_or(LOAN_TERM);
            return Grant { tokens: 0, term: LOAN_TERM, retry_after };
        }
        // What is asked for ahead of need comes from plenty only: near the end of the bucket,
        // tokens in one entry's hand would be missing at another.
        let tokens = loan.tokens.min((available / RESERVE).max(loan.minimum));
        self.bucket.level -= tokens * MICRO;
        Grant { tokens, term: LOAN_TERM, retry_after: Duration::ZERO }
    }
}

/// A request that waits for tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// The request.
    pub request: Request,
    /// Tokens it costs.
    pub cost: u64,
    /// It is refused if it still waits then.
    pub deadline: Time,
}

/// What became of a request that asked for tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Paid; it may run.
    Admitted(Request),
    /// Not within the rate; come back after the span.
    OverRate(Request, Duration),
    /// The home could not be reached in time.
    HomeUnreachable(Request),
}

/// An entry's side of one customer: the slice in hand and the requests that wait for more.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    /// Tokens that may be spent before `until`.
    hand: u64,
    until: Time,
    /// Charged but unused tokens to give back with the next question.
    refund: u64,
    waiters: VecDeque<Waiter>,
    serial: u64,
    /// When the question now open was asked; its serial is `serial`.
    asked: Option<Time>,
    /// Not before then does another question make sense.
    ask_after: Time,
    /// Why the last question failed, if it did.
    silent: bool,
    /// Tokens spent since `spent_since`, to size the next slice.
    spent: u64,
    spent_since: Time,
    /// Tokens a second seen lately.
    pace: u64,
}

impl Limiter {
    /// An empty limiter. Its serials start at `now`, so that a limiter that was dropped and made again
    /// never repeats one.
    pub fn new(now: Time) -> Self {
        Self { serial: now.as_micros(), ..Self::default() }
    }

    /// Admits a request if the slice in hand pays for it, else lets it wait.
    pub fn admit(&mut self, now: Time, waiter: Waiter) -> Option<Admission> {
        self.expire(now);
        if self.waiters.is_empty() && self.spend(waiter.cost) {
            return Some(Admission::Admitted(waiter.request));
        }
        self.waiters.push_back(waiter);
        None
    }

    fn spend(&mut self, cost: u64) -> bool {
        let Some(rest) = self.hand.checked_sub(cost) else { return false };
        self.hand = rest;
        self.spent += cost;
        true
    }

    /// A paused process may wake after the term: a slice is checked again before every spend.
    fn expire(&mut self, now: Time) {
        if now >= self.until {
            self.hand = 0;
        }
    }

    /// Takes back what a finished request was charged but did not use.
    pub fn refund(&mut self, now: Time, tokens: u64) {
        self.expire(now);
        self.refund = self.refund.saturating_add(tokens);
    }

    /// Withdraws a waiting request whose caller has left.
    pub fn cancel(&mut self, request: Request) {
        self.waiters.retain(|waiter| waiter.request != request);
    }

    /// The question to ask the home now, if one makes sense.
    pub fn request_tokens(&mut self, now: Time) -> Option<LoanRequest> {
        self.expire(now);
        self.measure(now);
        if self.asked.is_some_and(|asked| now.since(asked) < ASK_TIMEOUT) || now < self.ask_after {
            return None;
        }
        let ahead = self.pace.saturating_mul(crate::clock::micros(LOOKAHEAD)) / MICRO;
        let waiting: u64 = self.waiters.iter().map(|waiter| waiter.cost).sum();
        let low = self.hand < ahead / 2;
        let stale = self.until.since(now) < GIVE_BACK && self.hand > 0;
        if self.waiters.is_empty() && !low && !stale && self.refund == 0 {
            return None;
        }
        // A hand too small for the next request is worth more at the home, where it adds up with
        // those of other entries, than kept here while the request is refused.
        let given_back = if low && waiting == 0 { 0 } else { std::mem::take(&mut self.hand) };
        let idle = waiting == 0 && !low;
        self.serial += 1;
        self.asked = Some(now);
        Some(LoanRequest {
            tokens: if idle { 0 } else { (waiting + ahead).saturating_sub(self.hand) },
            minimum: self.waiters.front().map_or(0, |waiter| waiter.cost),
            unspent: self.hand,
            refund: std::mem::take(&mut self.refund) + given_back,
            serial: self.serial,
        })
    }

    fn measure(&mut self, now: Time) {
        let span = now.since(self.spent_since);
        if span < MEASURED {
            return;
        }
        let pace = self.spent.saturating_mul(MICRO) / crate::clock::micros(span).max(1);
        self.pace = (self.pace + pace) / 2;
        (self.spent, self.spent_since) = (0, now);
    }

    /// Takes the home's reply to question `serial`; a late reply to an older one is dropped, its
    /// tokens are lost.
    pub fn receive_grant(&mut self, now: Time, serial: u64, grant: Grant) -> Vec<Admission> {
        let Some(asked) = self.asked.filter(|_| serial == self.serial) else { return Vec::new() };
        self.asked = None;
        self.silent = false;
        self.expire(now);
        let until = asked.plus(grant.term);
        if now < until {
            self.hand += grant.tokens;
            self.until = until;
        }
        if grant.tokens == 0 {
            self.ask_after = now.plus(grant.retry_after.max(ASK_PAUSE));
        }
        let mut admissions = self.serve();
        admissions.extend(self.refuse(now, grant.retry_after));
        admissions
    }

    fn serve(&mut self) -> Vec<Admission> {
        let mut admissions = Vec::new();
        while let Some(front) = self.waiters.front() {
            let cost = front.cost;
            if !self.spend(cost) {
                break;
            }
            admissions.extend(self.waiters.pop_front().map(|waiter| Admission::Admitted(waiter.request)));
        }
        admissions
    }

    /// Refuses at once those that the next tokens would reach too late: a caller that will be
    /// refused hears it now, with the time to come back.
    fn refuse(&mut self, now: Time, retry_after: Duration) -> Vec<Admission> {
        let next = now.plus(retry_after);
        let (late, rest): (VecDeque<_>, _) =
            self.waiters.drain(..).partition(|waiter| waiter.deadline < next);
        self.waiters = rest;
        late.into_iter().map(|waiter| Admission::OverRate(waiter.request, retry_after)).collect()
    }

    /// Notes that the home could not be reached.
    pub fn record_failure(&mut self, now: Time, serial: u64) {
        if serial == self.serial {
            self.asked = None;
            self.silent = true;
            self.ask_after = now.plus(SILENT_PAUSE);
        }
    }

    /// Refuses those that waited too long.
    pub fn expire_waiters(&mut self, now: Time) -> Vec<Admission> {
        let silent = self.silent || self.asked.is_some();
        let (late, rest): (VecDeque<_>, _) =
            self.waiters.drain(..).partition(|waiter| waiter.deadline <= now);
        self.waiters = rest;
        let retry_after = self.ask_after.since(now).max(ASK_TIMEOUT);
        let admission = |waiter: Waiter| match silent {
            true => Admission::HomeUnreachable(waiter.request),
            false => Admission::OverRate(waiter.request, retry_after),
        };
        late.into_iter().map(admission).collect()
    }

    /// Whether nothing is in hand, asked or waiting, so that the limiter may be dropped.
    pub fn is_idle(&self, now: Time) -> bool {
        let empty = self.hand == 0 || now >= self.until;
        empty && self.waiters.is_empty() && self.refund == 0 && self.asked.is_none()
    }

    /// Tokens in hand at `now`.
    pub fn available(&self, now: Time) -> u64 {
        if now < self.until { self.hand } else { 0 }
    }

    /// When the limiter wants attention again, if nothing else happens before.
    pub fn next_wakeup(&self) -> Option<Time> {
        let overdue = self.waiters.iter().map(|waiter| waiter.deadline).min();
        let ask = match (self.asked, self.waiters.is_empty() && self.refund == 0) {
            (Some(asked), _) => Some(asked.plus(ASK_TIMEOUT)),
            (None, false) => Some(self.ask_after),
            (None, true) => None,
        };
        let stale = Time::from_micros(self.until.as_micros().saturating_sub(crate::clock::micros(GIVE_BACK)));
        let give_back = (self.hand > 0).then_some(stale);
        [overdue, ask, give_back].into_iter().flatten().min()
    }
}
