//! What each customer may still spend, over all entries together.
//!
//! Every entry keeps the customer's whole token bucket and takes from it what it spends itself and
//! what the others say they spent. While another entry is silent, it is charged with its even
//! share of the rate; so does that entry with this one, so that two that cannot hear each other
//! spend no more than the rate together. What was charged that way is settled when it is heard.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
    sync::Arc,
    time::Duration,
};

use super::{
    catalog::Customer,
    digest::{Digest, Peers},
};
use crate::clock::{Time, decay_factor, micros};

const MICRO: i64 = 1_000_000;

/// Silence after which an entry is charged with its share. Digests come several times a second;
/// some lost ones are no silence.
const SILENCE: Duration = Duration::from_millis(1_000);
/// A process that starts may spend this part of a burst before it has heard how much is left: it
/// may follow one that was killed after it spent all.
const UNHEARD: i64 = 4;
/// How long a new process waits to hear what is left before it takes its own view for good.
const LEARNING: Duration = Duration::from_secs(3);
/// Bytes of customers and their totals in one digest: with the rest of it, less than a datagram carries.
const TOTALS_BYTES: usize = 24 << 10;
/// Bytes of a customer's totals beside its name.
const CUSTOMER_BYTES: usize = 24;
/// Longest wait told: callers that wait longer have often left.
const LONGEST_WAIT: Duration = Duration::from_secs(6);
/// Shortest wait told to a caller that is over its rate: below it, callers come back in step.
const SHORTEST_WAIT: Duration = Duration::from_millis(200);

/// A request counts as small up to this part of a burst: plain calls are far below it, the shortest
/// summaries above.
const SMALL: i64 = 50;
/// A customer's tokens are scarce with less than this part of its burst left.
const SCARCE: i64 = 2;
/// What small requests asked for counts half after this long.
const SMALL_HALF_LIFE: Duration = Duration::from_secs(2);
/// Most that is kept back for small requests, part of a burst.
const MOST_KEPT: i64 = 4;

/// What this entry believes of one other entry and one customer.
#[derive(Clone, Copy, Debug, Default)]
struct Other {
    incarnation: u64,
    /// Tokens spent there, by its newest digest.
    spent: u64,
    /// Microtokens charged for its silence since that digest.
    charged: i64,
}

#[derive(Clone, Debug)]
struct Account {
    rate: i64,
    /// Microtokens; may be below zero when others spent at the same moment.
    level: i64,
    /// Microtokens.
    burst: i64,
    at: Time,
    /// Microtokens that refused callers were told to come back for, and that have not flowed in
    /// since.
    promised: i64,
    /// Tokens spent here since the process started.
    spent: u64,
    /// The same as of the last digest.
    told: u64,
    /// Microtokens that small requests asked for here of late, fading.
    small: i64,
    others: BTreeMap<Arc<str>, Other>,
    /// Whether the level was taken from another entry; until then it is a guess.
    is_initialized: bool,
}

impl Account {
    fn new(customer: &Customer, now: Time) -> Self {
        let burst = signed(customer.burst) * MICRO;
        Self {
            rate: signed(customer.rate),
            level: burst / UNHEARD,
            burst,
            at: now,
            promised: 0,
            spent: 0,
            told: 0,
            small: 0,
            others: BTreeMap::new(),
            is_initialized: false,
        }
    }

    fn refill(&mut self, now: Time) {
        let passed = now.since(self.at);
        self.small = (self.small as f64 * decay_factor(passed, SMALL_HALF_LIFE)) as i64;
        let inflow = signed(micros(passed)) * self.rate;
        self.level = (self.level + inflow).min(self.burst);
        self.promised = (self.promised - inflow).max(0);
        self.at = self.at.max(now);
    }

    /// Whether the others should hear at once what was spent here: there is little left, and several entries
    /// that do not know of each other would spend it together.
    fn is_urgent(&self) -> bool {
        let untold = signed(self.spent.saturating_sub(self.told)) * MICRO;
        self.level < self.burst / SCARCE && untold > self.burst / SMALL
    }

    fn adjust(&mut self, customer: &Customer) {
        self.rate = signed(customer.rate);
        self.burst = signed(customer.burst) * MICRO;
        self.level = self.level.min(self.burst);
    }

    /// What must be there for a request of `needed` microtokens. A customer that sends summaries far
    /// above its rate keeps its bucket empty, and its lookups, which hardly count, would be refused
    /// as often as the summaries; so large requests leave what small ones ask for.
    fn required(&mut self, needed: i64) -> i64 {
        if needed <= self.burst / SMALL {
            self.small += needed;
            return needed;
        }
        let kept = self.small.min(self.burst / MOST_KEPT);
        (needed + kept).min(self.burst)
    }

    /// When a caller should come back that needs `needed` microtokens: behind those that were sent
    /// back before it. Totals the same moment, they would meet there, and all but one would be refused
    /// once more.
    fn send_back(&mut self, needed: i64) -> Duration {
        let missing = (needed - self.level).max(self.promised + needed - self.level.max(0));
        let longest = signed(micros(LONGEST_WAIT)) * self.rate;
        self.promised = missing.min(longest);
        let wait = u64::try_from(missing.min(longest) / self.rate.max(1)).unwrap_or_default();
        Duration::from_micros(wait).max(SHORTEST_WAIT)
    }

    /// What a peer says it has spent, against what it said before and was charged since.
    fn heard(&mut self, peer: &Arc<str>, incarnation: u64, spent: u64) {
        let other = self.others.entry(peer.clone()).or_insert(Other { incarnation, spent, charged: 0 });
        let before = if other.incarnation == incarnation { other.spent } else { 0 };
        let fresh = signed(spent.saturating_sub(before)) * MICRO;
        let settled = std::mem::replace(other, Other { incarnation, spent, charged: 0 }).charged;
        self.level = (self.level - fresh + settled).clamp(-self.burst, self.burst);
    }

    /// A new process takes the level from one that has been there longer, less what it has spent
    /// itself: the other may not have heard of it.
    fn learn(&mut self, left: i64) {
        let level = left.saturating_mul(MICRO).saturating_sub(signed(self.spent) * MICRO);
        self.level = level.clamp(-self.burst, self.burst);
        self.is_initialized = true;
    }

    fn charge_silence(&mut self, peer: &Arc<str>, passed: Duration, sharers: u32) {
        let share = signed(micros(passed)) * self.rate / i64::from(sharers.max(1));
        self.others.entry(peer.clone()).or_default().charged += share;
        self.level = (self.level - share).max(-self.burst);
    }
}

/// Totals of customers at one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Tokens spent since its start.
    pub spent: BTreeMap<Arc<str>, u64>,
    /// Whole tokens left; of the same customers.
    pub left: BTreeMap<Arc<str>, i64>,
}

/// The accounts of all customers that have a rate.
#[derive(Clone, Debug)]
pub struct Allowance {
    accounts: BTreeMap<Arc<str>, Account>,
    /// Customers of whom something was spent here since the last digest.
    untold: BTreeSet<Arc<str>>,
    /// The last customer in the order of names whose totals were taken; the next digest goes on behind it.
    cursor: Arc<str>,
    started: Time,
    charged_at: Time,
}

impl Allowance {
    /// No customers yet.
    pub fn new(now: Time) -> Self {
        Self {
            accounts: BTreeMap::new(),
            untold: BTreeSet::new(),
            cursor: Arc::default(),
            started: now,
            charged_at: now,
        }
    }

    /// Puts the customers of a new configuration in force. What they have spent stays spent.
    pub fn adjust<'a>(&mut self, now: Time, customers: impl Iterator<Item = &'a Arc<Customer>>) {
        let mut before = std::mem::take(&mut self.accounts);
        for customer in customers.filter(|customer| customer.rate > 0) {
            let account = before.remove(&customer.name);
            let mut account = account.unwrap_or_else(|| Account::new(customer, now));
            account.refill(now);
            account.adjust(customer);
            self.accounts.insert(customer.name.clone(), account);
        }
    }

    /// Spends `tokens` of a customer, or tells when they may be there.
    pub fn spend(&mut self, now: Time, customer: &str, tokens: u64) -> Result<(), Duration> {
        let Some(account) = self.accounts.get_mut(customer) else { return Ok(()) };
        account.refill(now);
        // A request larger than the whole burst could never be paid at once: it may run when the
        // bucket is full, and leaves a debt.
        let needed = (signed(tokens) * MICRO).min(account.burst.max(1));
        let needed = account.required(needed);
        if account.level < needed {
            return Err(account.send_back(needed));
        }
        account.level -= signed(tokens) * MICRO;
        account.spent += tokens;
        if !self.untold.contains(customer) {
            self.untold.insert(customer.into());
        }
        Ok(())
    }

    /// Gives back what was spent on a request that nobody ran.
    pub fn give_back(&mut self, customer: &str, tokens: u64) {
        let Some(account) = self.accounts.get_mut(customer) else { return };
        account.spent = account.spent.saturating_sub(tokens);
        account.level = (account.level + signed(tokens) * MICRO).min(account.burst);
    }

    /// Takes what another entry has spent.
    pub fn heard(&mut self, now: Time, digest: &Digest) {
        let is_learning = now.since(self.started) < LEARNING;
        for (name, spent) in &digest.spent {
            let Some(account) = self.accounts.get_mut(name) else { continue };
            account.refill(now);
            account.heard(&digest.name, digest.incarnation, *spent);
            if let Some(left) = digest.left.get(name).filter(|_| is_learning && !account.is_initialized) {
                account.learn(*left);
            }
        }
    }

    /// Charges the entries that are silent; call it several times a second.
    pub fn settle(&mut self, now: Time, peers: &Peers) {
        let passed = now.since(self.charged_at);
        self.charged_at = now;
        let silent = peers.silence(now).filter(|(_, silence)| *silence >= SILENCE);
        for (peer, _) in silent {
            for account in self.accounts.values_mut() {
                account.refill(now);
                account.charge_silence(peer, passed, peers.count());
            }
        }
    }

    /// Forgets an entry that is gone: what it was charged with stays charged.
    pub fn forget(&mut self, peer: &str) {
        for account in self.accounts.values_mut() {
            account.others.remove(peer);
        }
    }

    /// Whether the others should hear at once what was spent here. Asked at each step of the control thread, so
    /// it looks only at those of whom something was spent.
    pub fn is_urgent(&self) -> bool {
        self.untold.iter().filter_map(|name| self.accounts.get(name)).any(Account::is_urgent)
    }

    /// Totals for the next digest, of as many customers as fit: first those of whom something was spent since the
    /// digest that had them last, then the others in the order of their names, from where the last digest ended.
    pub fn take_totals(&mut self, now: Time) -> Totals {
        let names = self.next_customers();
        let mut totals = Totals::default();
        for name in names {
            self.untold.remove(&name);
            let Some(account) = self.accounts.get_mut(&name) else { continue };
            account.refill(now);
            account.told = account.spent;
            totals.left.insert(name.clone(), account.level / MICRO);
            totals.spent.insert(name, account.spent);
        }
        totals
    }

    fn next_customers(&mut self) -> BTreeSet<Arc<str>> {
        let cursor = self.cursor.clone();
        let behind = self.accounts.range::<str, _>((Bound::Excluded(&*cursor), Bound::Unbounded));
        let before = self.accounts.range::<str, _>((Bound::Unbounded, Bound::Included(&*cursor)));
        let in_order = behind.chain(before).map(|(name, _)| (name, true));
        let urgent = self.untold.iter().map(|name| (name, false));
        let (mut names, mut room) = (BTreeSet::new(), TOTALS_BYTES);
        let mut last = cursor.clone();
        for (name, is_in_order) in urgent.chain(in_order) {
            if names.contains(name) {
                continue;
            }
            let Some(left) = room.checked_sub(name.len() + CUSTOMER_BYTES) else { break };
            room = left;
            names.insert(name.clone());
            if is_in_order {
                last = name.clone();
            }
        }
        self.cursor = last;
        names
    }

    /// Tokens left to a customer as of its last request; none if it has no rate.
    pub fn left_to(&self, customer: &str) -> i64 {
        self.accounts.get(customer).map_or(0, |account| account.level / MICRO)
    }

    /// Tokens left, by customer, as this entry sees it.
    pub fn left(&mut self, now: Time) -> BTreeMap<Arc<str>, i64> {
        let mut left = BTreeMap::new();
        for (name, account) in &mut self.accounts {
            account.refill(now);
            left.insert(name.clone(), account.level / MICRO);
        }
        left
    }
}

fn signed(value: u64) -> i64 {
    // Rates and counts stay far below 2^40, so that microtokens fit.
    i64::try_from(value).unwrap_or(i64::MAX).min(1 << 40)
}
