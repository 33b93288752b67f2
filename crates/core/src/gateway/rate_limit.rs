//! Token-bucket rate limits for customers, enforced over all replicas together.
//!
//! Every replica keeps each customer's whole token bucket. It subtracts its own spending and the
//! spending that peers report in digests. A peer that sends no digests is charged its even share of
//! the rate, so that partitioned replicas, which charge each other, stay within the rate together.
//! The charge is corrected when the peer's next digest arrives.
//!
//! A customer above its rate keeps its bucket low. So that this does not exclude its large requests,
//! a refused request raises the level that much smaller requests need for a while, except those so
//! small that they hardly matter. The others are then admitted in proportion to their numbers.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
    sync::Arc,
    time::Duration,
};

use super::{
    catalog::Customer,
    digest::{Digest, Peers},
    interval::digest_interval,
};
use crate::clock::{Time, decay_factor, micros};

const MICROTOKENS_PER_TOKEN: i64 = 1_000_000;

/// Time without a digest after which a peer is charged its share of the rate, in digest intervals;
/// tolerates a few lost digests and the loss of a relay.
const SILENCE_TIMEOUT_INTERVALS: u32 = 10;
/// Divisor of the burst that gives the level of a new process once it has registered, until a peer reports the
/// actual level: the process may replace one that had already spent the bucket.
const INITIAL_LEVEL_DIVISOR: i64 = 4;
/// Shortest time between the starts of two processes of a replica that both begin with a part of the burst.
const MIN_GRANT_INTERVAL: Duration = Duration::from_secs(10);
/// Period after start in which the level may still be taken over from a peer.
const LEARNING_PERIOD: Duration = Duration::from_secs(3);
/// Largest size of the totals in one digest, so that the digest fits into a datagram.
const MAX_TOTALS_BYTES: usize = 24 << 10;
/// Number of digests in which new spending is reported, since a datagram may be lost.
const REPORTS_PER_SPENDING: u8 = 2;
/// Number of consecutive digests that together report all customers, if they fit.
const DIGESTS_PER_ROTATION: usize = 7;
/// Smallest number of customers without new spending in a digest.
const MIN_ROTATION: usize = 3;
/// Encoded size of one customer's totals, without its name.
const TOTALS_OVERHEAD_BYTES: usize = 24;
/// Longest retry delay; with a longer one, many callers give up.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(6);
/// Shortest retry delay for callers over their rate; with a shorter one, they retry in step.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Divisor of the burst that gives the largest request that counts as small.
const SMALL_REQUEST_DIVISOR: i64 = 50;
/// Divisor of the burst that gives the level below which tokens are scarce.
const LOW_LEVEL_DIVISOR: i64 = 2;
/// Half-life of the recorded demand of small requests.
const SMALL_DEMAND_HALF_LIFE: Duration = Duration::from_secs(2);
/// How long a refused request raises the level that others need; longer than most callers wait
/// before they retry.
const REFUSED_TTL: Duration = Duration::from_secs(4);
/// How long the refusals that a peer reports count after its digest.
const PEER_REFUSED_TTL: Duration = Duration::from_millis(1_500);
/// Requests smaller than this part of a refused one need the level that it needs. Among requests of
/// similar size, none is excluded for long, and raising the level would only leave tokens unused.
const YIELD_DIVISOR: i64 = 4;
/// Divisor of the burst that gives the highest level required because of refused requests.
const MAX_REFUSED_DIVISOR: i64 = 2;
/// Divisor of the burst that gives the largest reserve for small requests.
const MAX_RESERVE_DIVISOR: i64 = 4;

/// What one peer has spent of one customer's tokens.
#[derive(Clone, Copy, Debug, Default)]
struct PeerUsage {
    incarnation: u64,
    /// Tokens spent by this incarnation, by its newest digest.
    spent: u64,
    /// Microtokens charged to the peer for its silence since that digest.
    charged: i64,
}

/// The largest request that was refused lately.
#[derive(Clone, Copy, Debug, Default)]
struct Refused {
    /// Its size in microtokens.
    size: i64,
    expires: Time,
}

impl Refused {
    fn add(&mut self, now: Time, size: i64, ttl: Duration) {
        if size >= self.size(now) {
            *self = Self { size, expires: now.plus(ttl) };
        }
    }

    fn size(&self, now: Time) -> i64 {
        if self.expires > now { self.size } else { 0 }
    }
}

#[derive(Clone, Debug)]
struct Account {
    /// Tokens per second; equally, microtokens per microsecond.
    rate: i64,
    /// Current level in microtokens; negative after concurrent spending by several replicas.
    level: i64,
    /// Capacity, in microtokens.
    burst: i64,
    refilled_at: Time,
    /// Microtokens for which refused callers will retry; decreases as the bucket is refilled.
    deferred: i64,
    /// Tokens spent here since the process started.
    spent: u64,
    /// Value of `spent` in the last digest.
    reported: u64,
    /// Decaying sum of the microtokens that small requests asked for here.
    small_demand: i64,
    /// The largest request refused here.
    refused: Refused,
    /// The largest request refused by peers, as they report.
    peer_refused: Refused,
    peers: BTreeMap<Arc<str>, PeerUsage>,
    /// Whether the level was taken over from a peer.
    is_initialized: bool,
}

impl Account {
    fn new(customer: &Customer, now: Time) -> Self {
        Self {
            rate: signed(customer.rate),
            level: 0,
            burst: signed(customer.burst) * MICROTOKENS_PER_TOKEN,
            refilled_at: now,
            deferred: 0,
            spent: 0,
            reported: 0,
            small_demand: 0,
            refused: Refused::default(),
            peer_refused: Refused::default(),
            peers: BTreeMap::new(),
            is_initialized: false,
        }
    }

    fn refill(&mut self, now: Time) {
        let passed = now.since(self.refilled_at);
        self.small_demand = (self.small_demand as f64 * decay_factor(passed, SMALL_DEMAND_HALF_LIFE)) as i64;
        let inflow = signed(micros(passed)) * self.rate;
        self.level = (self.level + inflow).min(self.burst);
        self.deferred = (self.deferred - inflow).max(0);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Returns whether spending should be reported immediately: replicas that do not know each
    /// other's spending could overdraw a low bucket together.
    fn is_digest_urgent(&self) -> bool {
        let unreported = signed(self.spent.saturating_sub(self.reported)) * MICROTOKENS_PER_TOKEN;
        self.level < self.burst / LOW_LEVEL_DIVISOR && unreported > self.burst / SMALL_REQUEST_DIVISOR
    }

    fn adjust(&mut self, customer: &Customer) {
        self.rate = signed(customer.rate);
        self.burst = signed(customer.burst) * MICROTOKENS_PER_TOKEN;
        self.level = self.level.min(self.burst);
    }

    /// Returns the level, in microtokens, at which a request of `needed` microtokens is admitted.
    /// Large requests must leave a reserve, so that a customer above its rate still has its small
    /// requests admitted.
    fn required(&mut self, needed: i64) -> i64 {
        if needed <= self.burst / SMALL_REQUEST_DIVISOR {
            self.small_demand += needed;
            return needed;
        }
        let reserve = self.small_demand.min(self.burst / MAX_RESERVE_DIVISOR);
        let refused = self.refused.size(self.refilled_at).max(self.peer_refused.size(self.refilled_at));
        let yielded = if needed < refused / YIELD_DIVISOR { refused } else { 0 };
        let yielded = yielded.min(self.burst / MAX_REFUSED_DIVISOR);
        (needed.max(yielded) + reserve).min(self.burst)
    }

    /// Returns the retry delay for a request of `needed` microtokens. Each delay adds to those
    /// given to earlier callers, so that callers do not retry at the same moment.
    fn schedule_retry(&mut self, needed: i64) -> Duration {
        let missing = (needed - self.level).max(self.deferred + needed - self.level.max(0));
        let max_deferred = signed(micros(MAX_RETRY_AFTER)) * self.rate;
        self.deferred = missing.min(max_deferred);
        let delay = u64::try_from(missing.min(max_deferred) / self.rate.max(1)).unwrap_or_default();
        Duration::from_micros(delay).max(MIN_RETRY_AFTER)
    }

    /// Subtracts what a peer has spent since its previous total, and gives back the charge for its
    /// silence. The first total of a peer only sets the baseline.
    fn apply_total(&mut self, peer: &Arc<str>, incarnation: u64, spent: u64) {
        let usage = self.peers.entry(peer.clone()).or_insert(PeerUsage { incarnation, spent, charged: 0 });
        let previous = if usage.incarnation == incarnation { usage.spent } else { 0 };
        let newly_spent = signed(spent.saturating_sub(previous)) * MICROTOKENS_PER_TOKEN;
        let credited = std::mem::replace(usage, PeerUsage { incarnation, spent, charged: 0 }).charged;
        self.level = (self.level - newly_spent + credited).clamp(-self.burst, self.burst);
    }

    /// Takes over the level of a peer. Subtracts all spending of this replica, which the peer may
    /// not have received yet.
    fn initialize(&mut self, left: i64) {
        let level = left
            .saturating_mul(MICROTOKENS_PER_TOKEN)
            .saturating_sub(signed(self.spent) * MICROTOKENS_PER_TOKEN);
        self.level = level.clamp(-self.burst, self.burst);
        self.is_initialized = true;
    }

    /// Adds the part of the burst with which a process begins, unless the level is known from a peer.
    fn grant_initial_level(&mut self) {
        if !self.is_initialized {
            self.level = (self.level + self.burst / INITIAL_LEVEL_DIVISOR).min(self.burst);
        }
    }

    fn charge_silent_peer(&mut self, peer: &Arc<str>, passed: Duration, replicas: u32) {
        let share = signed(micros(passed)) * self.rate / i64::from(replicas.max(1));
        self.peers.entry(peer.clone()).or_default().charged += share;
        self.level = (self.level - share).max(-self.burst);
    }
}

/// Totals of customers at one replica, for a digest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Tokens spent since the replica started.
    pub spent: BTreeMap<Arc<str>, u64>,
    /// Tokens left to the same customers, rounded towards zero.
    pub left: BTreeMap<Arc<str>, i64>,
    /// Size in tokens of the largest request that the replica refused lately, for those of the
    /// customers that had any refused.
    pub refused: BTreeMap<Arc<str>, u64>,
}

/// Token buckets of all customers that have a rate.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    accounts: BTreeMap<Arc<str>, Account>,
    /// Customers with recent spending or refusals, and the number of digests that still have to report
    /// these.
    unreported: BTreeMap<Arc<str>, u8>,
    /// Last customer that the rotation by name has included in a digest; the next digest continues
    /// after it.
    cursor: Arc<str>,
    started: Time,
    /// Whether this process begins with a part of each burst; `None` until it has registered.
    has_grant: Option<bool>,
    charged_at: Time,
}

impl RateLimiter {
    /// Creates a limiter without customers.
    pub fn new(now: Time) -> Self {
        Self {
            accounts: BTreeMap::new(),
            unreported: BTreeMap::new(),
            cursor: Arc::default(),
            started: now,
            has_grant: None,
            charged_at: now,
        }
    }

    /// Records that this process has registered. `since_previous` is the time since an earlier process of this replica
    /// started; `None` if there was none. If all replicas were restarted lately, none has a record of
    /// what the customers spent, so a process begins with empty buckets.
    pub fn record_registered(&mut self, since_previous: Option<Duration>) {
        let has_grant = since_previous.is_none_or(|since| since >= MIN_GRANT_INTERVAL);
        let is_first = self.has_grant.replace(has_grant).is_none();
        if has_grant && is_first {
            self.accounts.values_mut().for_each(Account::grant_initial_level);
        }
    }

    /// Applies the customers of a new configuration; known customers keep their levels.
    pub fn update_customers<'a>(&mut self, now: Time, customers: impl Iterator<Item = &'a Arc<Customer>>) {
        let mut previous = std::mem::take(&mut self.accounts);
        for customer in customers.filter(|customer| customer.rate > 0) {
            let account = previous.remove(&customer.name);
            let mut account = account.unwrap_or_else(|| {
                let mut account = Account::new(customer, now);
                if self.has_grant == Some(true) {
                    account.grant_initial_level();
                }
                account
            });
            account.refill(now);
            account.adjust(customer);
            self.accounts.insert(customer.name.clone(), account);
        }
    }

    /// Spends `tokens` of a customer, or returns the retry delay.
    pub fn spend(&mut self, now: Time, customer: &str, tokens: u64) -> Result<(), Duration> {
        let Some(account) = self.accounts.get_mut(customer) else { return Ok(()) };
        account.refill(now);
        // A request larger than the burst is admitted when the bucket is full, and leaves a debt.
        let needed = (signed(tokens) * MICROTOKENS_PER_TOKEN).min(account.burst.max(1));
        let required = account.required(needed);
        if account.level < required {
            account.refused.add(now, needed, REFUSED_TTL);
            self.unreported.insert(customer.into(), REPORTS_PER_SPENDING);
            return Err(account.schedule_retry(required));
        }
        account.level -= signed(tokens) * MICROTOKENS_PER_TOKEN;
        account.spent += tokens;
        match self.unreported.get_mut(customer) {
            Some(reports) => *reports = REPORTS_PER_SPENDING,
            None => drop(self.unreported.insert(customer.into(), REPORTS_PER_SPENDING)),
        }
        Ok(())
    }

    /// Gives back the tokens of a request that did not run.
    pub fn refund(&mut self, customer: &str, tokens: u64) {
        let Some(account) = self.accounts.get_mut(customer) else { return };
        account.spent = account.spent.saturating_sub(tokens);
        account.level = (account.level + signed(tokens) * MICROTOKENS_PER_TOKEN).min(account.burst);
    }

    /// Applies the spending that a peer reports.
    pub fn apply_digest(&mut self, now: Time, digest: &Digest) {
        let is_learning = now.since(self.started) < LEARNING_PERIOD;
        for (name, spent) in &digest.spent {
            let Some(account) = self.accounts.get_mut(name) else { continue };
            account.refill(now);
            account.apply_total(&digest.name, digest.incarnation, *spent);
            if let Some(left) = digest.left.get(name).filter(|_| is_learning && !account.is_initialized) {
                account.initialize(*left);
            }
            if let Some(refused) = digest.refused.get(name) {
                let refused = signed(*refused) * MICROTOKENS_PER_TOKEN;
                account.peer_refused.add(now, refused, PEER_REFUSED_TTL);
            }
        }
    }

    /// Charges peers that are silent; must be called several times a second.
    pub fn charge_silent_peers(&mut self, now: Time, peers: &Peers) {
        let passed = now.since(self.charged_at);
        self.charged_at = now;
        let timeout = digest_interval(peers.count()) * SILENCE_TIMEOUT_INTERVALS;
        let silent = peers.silence(now).filter(|(_, silence)| *silence >= timeout);
        for (peer, _) in silent {
            for account in self.accounts.values_mut() {
                account.refill(now);
                account.charge_silent_peer(peer, passed, peers.count());
            }
        }
    }

    /// Removes a peer; what was charged for it stays subtracted.
    pub fn remove_peer(&mut self, peer: &str) {
        for account in self.accounts.values_mut() {
            account.peers.remove(peer);
        }
    }

    /// Returns whether spending should be reported before the next digest is due. Called at every
    /// step of the control thread, so it checks only customers with unreported spending.
    pub fn is_digest_urgent(&self) -> bool {
        self.unreported.keys().filter_map(|name| self.accounts.get(name)).any(Account::is_digest_urgent)
    }

    /// Returns totals for the next digest, for as many customers as fit: first those with
    /// unreported spending, then the others by name, continuing after the previous digest.
    pub fn take_totals(&mut self, now: Time) -> Totals {
        let names = self.next_customers();
        let mut totals = Totals::default();
        for name in names {
            self.count_report(&name);
            let Some(account) = self.accounts.get_mut(&name) else { continue };
            account.refill(now);
            account.reported = account.spent;
            totals.left.insert(name.clone(), account.level / MICROTOKENS_PER_TOKEN);
            if let Ok(refused @ 1..) = u64::try_from(account.refused.size(now) / MICROTOKENS_PER_TOKEN) {
                totals.refused.insert(name.clone(), refused);
            }
            totals.spent.insert(name, account.spent);
        }
        totals
    }

    fn count_report(&mut self, customer: &str) {
        let Some(reports) = self.unreported.get_mut(customer) else { return };
        *reports -= 1;
        if *reports == 0 {
            self.unreported.remove(customer);
        }
    }

    fn next_customers(&mut self) -> BTreeSet<Arc<str>> {
        let rotation_length = MIN_ROTATION.max(self.accounts.len().div_ceil(DIGESTS_PER_ROTATION));
        let cursor = self.cursor.clone();
        let after_cursor = self.accounts.range::<str, _>((Bound::Excluded(&*cursor), Bound::Unbounded));
        let up_to_cursor = self.accounts.range::<str, _>((Bound::Unbounded, Bound::Included(&*cursor)));
        let rotation = after_cursor.chain(up_to_cursor).map(|(name, _)| (name, true)).take(rotation_length);
        let unreported = self.unreported.keys().map(|name| (name, false));
        let (mut names, mut remaining_bytes) = (BTreeSet::new(), MAX_TOTALS_BYTES);
        let mut last = cursor.clone();
        for (name, is_rotation) in unreported.chain(rotation) {
            if names.contains(name) {
                continue;
            }
            let Some(left) = remaining_bytes.checked_sub(name.len() + TOTALS_OVERHEAD_BYTES) else { break };
            remaining_bytes = left;
            names.insert(name.clone());
            if is_rotation {
                last = name.clone();
            }
        }
        self.cursor = last;
        names
    }

    /// Returns the tokens left to a customer as of its last update; zero if it has no rate.
    pub fn tokens_left_for(&self, customer: &str) -> i64 {
        self.accounts.get(customer).map_or(0, |account| account.level / MICROTOKENS_PER_TOKEN)
    }

    /// Returns the tokens left to a customer, and with which delay a request for `tokens` would be refused, if it would be,
    /// without spending anything; `None` if the customer has no limit.
    pub fn peek(&self, now: Time, customer: &str, tokens: u64) -> Option<(i64, Option<Duration>)> {
        let mut account = self.accounts.get(customer)?.clone();
        account.refill(now);
        let needed = (signed(tokens) * MICROTOKENS_PER_TOKEN).min(account.burst.max(1));
        let required = account.required(needed);
        let left = account.level / MICROTOKENS_PER_TOKEN;
        let delay = (account.level < required).then(|| account.schedule_retry(required));
        Some((left, delay))
    }

    /// Returns the tokens left by customer, as this replica knows them.
    pub fn tokens_left(&mut self, now: Time) -> BTreeMap<Arc<str>, i64> {
        let mut left = BTreeMap::new();
        for (name, account) in &mut self.accounts {
            account.refill(now);
            left.insert(name.clone(), account.level / MICROTOKENS_PER_TOKEN);
        }
        left
    }
}

fn signed(value: u64) -> i64 {
    // Keeps microtokens within an `i64`. Actual rates and counts are far below 2^40.
    i64::try_from(value).unwrap_or(i64::MAX).min(1 << 40)
}
