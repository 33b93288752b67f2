//! Fleet-wide rate limiting of customers by rate and burst.
//!
//! Each customer has one home among the entries. The home's [`Lender`] keeps the token bucket and
//! lends tokens for a limited term; the [`Limiter`] of each entry spends only borrowed tokens. As
//! `level + outstanding <= burst` always holds, at most `rate * t + burst` tokens are spent in any
//! window of length `t`, even if messages are lost, repeated or delayed, or processes are paused.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::{clock::Time, id::Request, settings::Customer};

/// Microtokens per token, and microseconds per second.
const MICROS: u64 = 1_000_000;

/// How long lent tokens may be spent, counted by the borrower from when it sent the request.
pub const LOAN_TERM: Duration = Duration::from_secs(4);
/// Extra time after the term for which the lender keeps a loan. It covers rounding only: the lender
/// counts from the grant, which is never earlier than the borrower's request.
const LENDER_MARGIN: Duration = Duration::from_millis(50);
/// Borrower name for tokens lent by the previous home; no entry has an empty name.
const PREVIOUS_HOME: &str = "";
/// A borrower requests as many spare tokens as it spends in this time.
const LOOKAHEAD: Duration = Duration::from_millis(200);
/// Time after which a new request replaces an unanswered one.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Minimum delay before the next request if nothing was lent.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Grants above the requested minimum are limited to the bucket level divided by this.
const PREFETCH_DIVISOR: u64 = 8;
/// Window over which the spend rate is computed.
const SPEND_WINDOW: Duration = Duration::from_millis(500);
/// Delay before the next request after a failed one.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Unspent tokens are returned to the home this long before they expire.
const RETURN_BEFORE_EXPIRY: Duration = Duration::from_millis(1_500);

/// A token bucket, counted in integer microtokens to avoid rounding losses.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// Tokens per second, equal to microtokens per microsecond.
    rate: u64,
    /// Microtokens; `level <= capacity` always holds.
    capacity: u64,
    /// Microtokens.
    level: u64,
    updated_at: Time,
}

impl Bucket {
    /// Creates a bucket with `burst` tokens at `now`.
    pub fn full(rate: u64, burst: u64, now: Time) -> Self {
        let capacity = burst.saturating_mul(MICROS);
        Self { rate, capacity, level: capacity, updated_at: now }
    }

    /// Creates a bucket without tokens at `now`.
    pub fn empty(rate: u64, burst: u64, now: Time) -> Self {
        Self { level: 0, ..Self::full(rate, burst, now) }
    }

    /// Adds the inflow since the last call, up to the capacity minus `lent` tokens.
    fn refill(&mut self, now: Time, lent: u64) {
        let inflow = crate::clock::micros(now.since(self.updated_at)).saturating_mul(self.rate);
        let room = self.capacity.saturating_sub(lent.saturating_mul(MICROS));
        self.level = self.level.saturating_add(inflow).min(room.max(self.level));
        self.level = self.level.min(self.capacity);
        self.updated_at = self.updated_at.max(now);
    }

    /// Takes `tokens` if the bucket holds that many.
    pub fn take(&mut self, now: Time, tokens: u64) -> Option<u64> {
        self.refill(now, 0);
        let wanted = tokens.saturating_mul(MICROS);
        self.level = self.level.checked_sub(wanted)?;
        Some(tokens)
    }

    /// Returns the whole tokens in the bucket at `now`.
    pub fn level(&mut self, now: Time) -> u64 {
        self.refill(now, 0);
        self.level / MICROS
    }

    /// Returns the time until the bucket holds `tokens`, or `None` if it never will.
    fn time_until(&self, tokens: u64) -> Option<Duration> {
        let wanted = tokens.saturating_mul(MICROS);
        if wanted > self.capacity || self.rate == 0 {
            return None;
        }
        Some(Duration::from_micros(wanted.saturating_sub(self.level).div_ceil(self.rate)))
    }
}

/// Fraction of a customer's rate and burst that a lender may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share(f64);

impl Share {
    /// The full rate and burst.
    pub const WHOLE: Self = Self(1.0);

    /// Creates a share, clamped to between 0 and 1.
    pub fn new(part: f64) -> Self {
        Self(part.clamp(0.0, 1.0))
    }

    /// Returns half of this share.
    pub fn half(self) -> Self {
        Self(self.0 / 2.0)
    }

    /// Returns the share as a number between 0 and 1.
    pub fn as_f64(self) -> f64 {
        self.0
    }

    fn apply(self, tokens: u64) -> u64 {
        // Token counts are below 2^53, so the conversion is exact; the product is rounded down.
        (tokens as f64 * self.0) as u64
    }
}

/// Request for tokens from a borrower to the home.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoanRequest {
    /// Tokens wanted.
    pub tokens: u64,
    /// Smallest grant that is useful to the borrower.
    pub minimum: u64,
    /// Tokens that the borrower still holds; the rest of its loan is spent or lost.
    pub unspent: u64,
    /// Tokens returned: unspent ones, and those charged to requests that did not use them.
    pub refund: u64,
    /// Sequence number of the borrower. A repeated request gets the same grant again.
    pub serial: u64,
}

/// Reply of the home to a [`LoanRequest`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Grant {
    /// Tokens lent.
    pub tokens: u64,
    /// How long they may be spent, counted from when the request was sent.
    pub term: Duration,
    /// Time until the minimum will be available if nothing was lent; zero otherwise.
    pub retry_after: Duration,
}

#[derive(Clone, Debug)]
struct Loan {
    serial: u64,
    grant: Grant,
    /// Tokens that the borrower may still spend.
    tokens: u64,
    expires_at: Time,
}

/// Token bucket of one customer at its home, with all outstanding loans.
#[derive(Clone, Debug)]
pub struct Lender {
    bucket: Bucket,
    /// Loans by borrower. Their sum plus the bucket level never exceeds the burst.
    loans: BTreeMap<Arc<str>, Loan>,
    share: Share,
    rate: u64,
    burst: u64,
}

impl Lender {
    /// Creates a lender with a full bucket, for a customer that has had no lender before.
    pub fn full(customer: &Customer, now: Time) -> Self {
        Self::new(Bucket::full(customer.rate, customer.burst, now), customer)
    }

    /// Creates a lender that starts at `lend_from` with `level` tokens. The previous home has lent
    /// `lent` more, which may be spent for one more term.
    pub fn with_level(customer: &Customer, level: u64, lent: u64, lend_from: Time) -> Self {
        let mut bucket = Bucket::empty(customer.rate, customer.burst, lend_from);
        bucket.level = level.saturating_mul(MICROS).min(bucket.capacity);
        let mut lender = Self::new(bucket, customer);
        if lent > 0 {
            let expires_at = lend_from.plus(LOAN_TERM).plus(LENDER_MARGIN);
            let previous = Loan { serial: 0, grant: Grant::default(), tokens: lent, expires_at };
            lender.loans.insert(PREVIOUS_HOME.into(), previous);
        }
        lender
    }

    fn new(bucket: Bucket, customer: &Customer) -> Self {
        Self {
            bucket,
            loans: BTreeMap::new(),
            share: Share::WHOLE,
            rate: customer.rate,
            burst: customer.burst,
        }
    }

    /// Applies a new rate, burst or share. This never raises the level.
    pub fn adjust(&mut self, customer: &Customer, share: Share, now: Time) {
        if (self.rate, self.burst) == (customer.rate, customer.burst) && self.share == share {
            return;
        }
        self.bucket.refill(now, self.outstanding());
        (self.rate, self.burst, self.share) = (customer.rate, customer.burst, share);
        self.bucket.rate = share.apply(customer.rate);
        self.bucket.capacity = share.apply(customer.burst).saturating_mul(MICROS);
        self.bucket.level = self.bucket.level.min(self.bucket.capacity);
    }

    /// Returns the tokens on loan that are not known to be spent or returned.
    pub fn outstanding(&self) -> u64 {
        self.loans.values().map(|loan| loan.tokens).sum()
    }

    /// Returns the whole tokens in the bucket.
    pub fn level(&mut self, now: Time) -> u64 {
        self.expire_loans(now);
        self.bucket.level / MICROS
    }

    /// Removes expired loans and refills the bucket. Tokens of expired loans count as spent.
    fn expire_loans(&mut self, now: Time) {
        self.loans.retain(|_, loan| loan.expires_at > now);
        let outstanding = self.outstanding();
        self.bucket.refill(now, outstanding);
    }

    /// Answers a loan request.
    pub fn lend(&mut self, now: Time, borrower: &Arc<str>, request: LoanRequest) -> Grant {
        self.expire_loans(now);
        if let Some(loan) = self.loans.get(borrower) {
            if request.serial == loan.serial {
                return loan.grant;
            }
            // A reordered older request: the borrower ignores replies to it.
            if request.serial < loan.serial {
                return Grant::default();
            }
        }
        let on_loan = self.loans.get(borrower).map_or(0, |loan| loan.tokens);
        let kept = request.unspent.min(on_loan);
        self.loans.remove(borrower);
        self.refund(request.refund, kept);
        let grant = self.grant(request);
        let loan = Loan {
            serial: request.serial,
            grant,
            tokens: kept + grant.tokens,
            expires_at: now.plus(LOAN_TERM).plus(LENDER_MARGIN),
        };
        self.loans.insert(borrower.clone(), loan);
        grant
    }

    fn refund(&mut self, tokens: u64, kept: u64) {
        let on_loan = self.outstanding().saturating_add(kept).saturating_mul(MICROS);
        let room = self.bucket.capacity.saturating_sub(on_loan).saturating_sub(self.bucket.level);
        self.bucket.level += tokens.saturating_mul(MICROS).min(room);
    }

    fn grant(&mut self, request: LoanRequest) -> Grant {
        let available = self.bucket.level / MICROS;
        if request.minimum > available {
            // A minimum above the burst never becomes available; the borrower retries after a term.
            let retry_after = self.bucket.time_until(request.minimum).unwrap_or(LOAN_TERM);
            return Grant { tokens: 0, term: LOAN_TERM, retry_after };
        }
        // Limits prefetching when the bucket is low, as other entries may need the tokens at once.
        let tokens = request.tokens.min((available / PREFETCH_DIVISOR).max(request.minimum));
        self.bucket.level -= tokens * MICROS;
        Grant { tokens, term: LOAN_TERM, retry_after: Duration::ZERO }
    }
}

/// A request waiting for tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// The request.
    pub request: Request,
    /// Tokens that the request costs.
    pub cost: u64,
    /// Time at which the request is refused if it has not been admitted.
    pub deadline: Time,
}

/// A waiter in a limiter's queue.
#[derive(Clone, Debug)]
struct Queued {
    waiter: Waiter,
    since: Time,
}

/// Result of the admission of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The tokens are spent and the request may run.
    Admitted(Request),
    /// The customer is over its rate; the caller may retry after the duration.
    OverRate(Request, Duration),
    /// The home could not be reached before the deadline.
    HomeUnreachable(Request),
}

/// An entry's recent contact with the home of a customer, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Time since the pending request was sent; `None` if there is none.
    pub unanswered: Option<Duration>,
    /// Time since the home's last reply; `None` if there was none.
    pub since_reply: Option<Duration>,
    /// Whether the last request failed.
    pub has_failed: bool,
}

/// Rate limiter of one customer at one entry: the borrowed tokens and the requests waiting for more.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    /// Tokens that may be spent before `expires_at`.
    tokens: u64,
    expires_at: Time,
    /// Charged but unused tokens, to be returned with the next request to the home.
    refund: u64,
    waiters: VecDeque<Queued>,
    serial: u64,
    /// When the pending request `serial` was sent; `None` if there is none.
    sent_at: Option<Time>,
    /// Earliest time of the next request.
    retry_at: Time,
    /// Whether the last request to the home failed.
    home_unreachable: bool,
    /// When the home last replied.
    replied_at: Option<Time>,
    /// Tokens spent since `window_start`.
    spent: u64,
    window_start: Time,
    /// Moving average of tokens spent per second.
    spend_rate: u64,
}

impl Limiter {
    /// Creates a limiter without tokens. Serials start at `now`, so that a limiter that is dropped and
    /// created again never reuses one.
    pub fn new(now: Time) -> Self {
        Self { serial: now.as_micros(), ..Self::default() }
    }

    /// Admits a request at once if enough tokens are available; otherwise it waits.
    pub fn admit(&mut self, now: Time, waiter: Waiter) -> Option<Admission> {
        self.expire_tokens(now);
        if self.waiters.is_empty() && self.try_spend(waiter.cost) {
            return Some(Admission::Admitted(waiter.request));
        }
        self.waiters.push_back(Queued { waiter, since: now });
        None
    }

    fn try_spend(&mut self, cost: u64) -> bool {
        let Some(rest) = self.tokens.checked_sub(cost) else { return false };
        self.tokens = rest;
        self.spent += cost;
        true
    }

    /// Drops expired tokens. Called before every spend, as the process may have been paused.
    fn expire_tokens(&mut self, now: Time) {
        if now >= self.expires_at {
            self.tokens = 0;
        }
    }

    /// Records tokens that a finished request was charged but did not use.
    pub fn refund(&mut self, now: Time, tokens: u64) {
        self.expire_tokens(now);
        self.refund = self.refund.saturating_add(tokens);
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn cancel(&mut self, request: Request) {
        self.waiters.retain(|queued| queued.waiter.request != request);
    }

    /// Returns the request to send to the home now, if one is due.
    pub fn request_tokens(&mut self, now: Time) -> Option<LoanRequest> {
        self.expire_tokens(now);
        self.update_spend_rate(now);
        if self.sent_at.is_some_and(|sent_at| now.since(sent_at) < REQUEST_TIMEOUT) || now < self.retry_at {
            return None;
        }
        // A request that is still pending here has timed out.
        self.home_unreachable |= self.sent_at.is_some();
        let prefetch = self.spend_rate.saturating_mul(crate::clock::micros(LOOKAHEAD)) / MICROS;
        let queued: u64 = self.waiters.iter().map(|queued| queued.waiter.cost).sum();
        let runs_low = self.tokens < prefetch / 2;
        let expires_soon = self.expires_at.since(now) < RETURN_BEFORE_EXPIRY && self.tokens > 0;
        if self.waiters.is_empty() && !runs_low && !expires_soon && self.refund == 0 {
            return None;
        }
        // Tokens that do not cover the next waiter are returned, so that the home can combine them
        // with tokens from other entries.
        let returned = if runs_low && queued == 0 { 0 } else { std::mem::take(&mut self.tokens) };
        let is_idle = queued == 0 && !runs_low;
        self.serial += 1;
        self.sent_at = Some(now);
        Some(LoanRequest {
            tokens: if is_idle { 0 } else { (queued + prefetch).saturating_sub(self.tokens) },
            minimum: self.waiters.front().map_or(0, |queued| queued.waiter.cost),
            unspent: self.tokens,
            refund: std::mem::take(&mut self.refund) + returned,
            serial: self.serial,
        })
    }

    fn update_spend_rate(&mut self, now: Time) {
        let span = now.since(self.window_start);
        if span < SPEND_WINDOW {
            return;
        }
        let spend_rate = self.spent.saturating_mul(MICROS) / crate::clock::micros(span).max(1);
        self.spend_rate = (self.spend_rate + spend_rate) / 2;
        (self.spent, self.window_start) = (0, now);
    }

    /// Handles the home's reply to request `serial`, and admits or refuses waiters. A late reply to
    /// an older request is dropped, and its tokens are lost.
    pub fn receive_grant(&mut self, now: Time, serial: u64, grant: Grant) -> Vec<Admission> {
        let Some(sent_at) = self.sent_at.filter(|_| serial == self.serial) else { return Vec::new() };
        self.sent_at = None;
        self.home_unreachable = false;
        self.replied_at = Some(now);
        self.expire_tokens(now);
        let expires_at = sent_at.plus(grant.term);
        if now < expires_at {
            self.tokens += grant.tokens;
            self.expires_at = expires_at;
        }
        if grant.tokens == 0 {
            self.retry_at = now.plus(grant.retry_after.max(MIN_RETRY_DELAY));
        }
        let mut admissions = self.admit_waiters();
        admissions.extend(self.refuse_late_waiters(now, grant.retry_after));
        admissions
    }

    fn admit_waiters(&mut self) -> Vec<Admission> {
        let mut admissions = Vec::new();
        while let Some(front) = self.waiters.front() {
            let cost = front.waiter.cost;
            if !self.try_spend(cost) {
                break;
            }
            admissions
                .extend(self.waiters.pop_front().map(|queued| Admission::Admitted(queued.waiter.request)));
        }
        admissions
    }

    /// Refuses waiters whose deadline is before the next tokens arrive. They would be refused in
    /// any case, and learn early when to retry.
    fn refuse_late_waiters(&mut self, now: Time, retry_after: Duration) -> Vec<Admission> {
        let next = now.plus(retry_after);
        let (late, rest): (VecDeque<_>, _) =
            self.waiters.drain(..).partition(|queued| queued.waiter.deadline < next);
        self.waiters = rest;
        late.into_iter().map(|queued| Admission::OverRate(queued.waiter.request, retry_after)).collect()
    }

    /// Records that request `serial` got no grant, as the home was unreachable or has changed.
    pub fn record_failure(&mut self, now: Time, serial: u64) {
        if serial == self.serial {
            self.sent_at = None;
            self.home_unreachable = true;
            self.retry_at = now.plus(UNREACHABLE_RETRY_DELAY);
        }
    }

    /// Refuses waiters whose deadline has passed.
    pub fn expire_waiters(&mut self, now: Time) -> Vec<Admission> {
        let (late, rest): (VecDeque<_>, _) =
            self.waiters.drain(..).partition(|queued| queued.waiter.deadline <= now);
        self.waiters = rest;
        let retry_after = self.retry_at.since(now).max(REQUEST_TIMEOUT);
        let admission = |queued: Queued| match self.is_home_unreachable(queued.since) {
            true => Admission::HomeUnreachable(queued.waiter.request),
            false => Admission::OverRate(queued.waiter.request, retry_after),
        };
        late.into_iter().map(admission).collect()
    }

    /// Returns whether the home has not been reached by a waiter that is queued since then. A request that was
    /// sent later follows a reply without enough tokens, and may still be answered.
    fn is_home_unreachable(&self, queued_since: Time) -> bool {
        self.home_unreachable || self.sent_at.is_some_and(|sent_at| sent_at <= queued_since)
    }

    /// Returns the contact with the home.
    pub fn contact(&self, now: Time) -> Contact {
        Contact {
            unanswered: self.sent_at.map(|sent_at| now.since(sent_at)),
            since_reply: self.replied_at.map(|replied_at| now.since(replied_at)),
            has_failed: self.home_unreachable,
        }
    }

    /// Returns whether the limiter has no tokens, waiters or pending requests and may be dropped.
    pub fn is_idle(&self, now: Time) -> bool {
        let empty = self.tokens == 0 || now >= self.expires_at;
        empty && self.waiters.is_empty() && self.refund == 0 && self.sent_at.is_none()
    }

    /// Returns the tokens that may be spent at `now`.
    pub fn available(&self, now: Time) -> u64 {
        if now < self.expires_at { self.tokens } else { 0 }
    }

    /// Returns when the limiter next needs to send a request, refuse a waiter or return tokens.
    pub fn next_wakeup(&self) -> Option<Time> {
        let next_deadline = self.waiters.iter().map(|queued| queued.waiter.deadline).min();
        let next_request = match (self.sent_at, self.waiters.is_empty() && self.refund == 0) {
            (Some(sent_at), _) => Some(sent_at.plus(REQUEST_TIMEOUT)),
            (None, false) => Some(self.retry_at),
            (None, true) => None,
        };
        let return_at = Time::from_micros(
            self.expires_at.as_micros().saturating_sub(crate::clock::micros(RETURN_BEFORE_EXPIRY)),
        );
        let next_return = (self.tokens > 0).then_some(return_at);
        [next_deadline, next_request, next_return].into_iter().flatten().min()
    }
}
