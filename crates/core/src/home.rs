//! Shard ownership: which entry is the home of a customer and keeps its token bucket.
//!
//! Customers are hashed into [`SHARDS`] shards. The table holds one row per shard (owner, epoch,
//! successor) and one lease row per entry. An owner whose lease is renewed, by the table or by its
//! successors, lends its full share; without a lease it lends half of it. A takeover without a
//! handover waits until the lease and all loans have expired, starts with empty buckets, and gets
//! half the share until the previous owner is known to have terminated. The shares of all entries
//! that lend for a shard therefore never add up to more than one.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use serde_json::json;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::{
    clock::Time,
    quota::{Grant, LOAN_TERM, Lender, LoanRequest, Share},
    settings::Snapshot,
};

/// Number of shards. Must not change: shard numbers are part of the stored row keys.
pub const SHARDS: u32 = 64;
/// Key prefix of shard rows.
pub const SHARD_PREFIX: &str = "home/shard/";
/// Key prefix of lease rows.
pub const MEMBER_PREFIX: &str = "home/member/";
/// Lease duration, counted by the holder from the start of the renewal.
pub const LEASE: Duration = Duration::from_secs(6);
/// Extra time that other entries wait after the lease, to cover clock drift. They count from when
/// they read the renewed row, which is always after the holder began to renew.
const LEASE_MARGIN: Duration = Duration::from_millis(500);
/// Time after which an offer that has not shown up in the table is withdrawn.
const OFFER_TIMEOUT: Duration = Duration::from_secs(3);

/// Returns the shard of a customer.
pub fn shard(customer: &str) -> u32 {
    u32::try_from(xxh3_64(customer.as_bytes()) % u64::from(SHARDS)).unwrap_or(0)
}

/// Lease row of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Random number that distinguishes a restarted entry from the previous process.
    pub incarnation: u64,
    /// Address of the peer service, `ip:port`.
    pub address: Arc<str>,
    /// Availability zone of the entry.
    pub zone: Arc<str>,
    /// Number of renewals, so that each renewal changes the row.
    pub beat: u64,
    /// Whether the entry has shut down and handed over all its shards.
    pub left: bool,
}

/// Row of a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    /// Name of the owner, or of the entry that the shard is offered to.
    pub owner: Arc<str>,
    /// Incarnation of the owner; zero while the shard is offered.
    pub incarnation: u64,
    /// Increases with every change of owner.
    pub epoch: u64,
    /// Entry that may take over without a handover; empty if there is none.
    pub successor: Arc<str>,
    /// Fraction of the customers' rates that the owner may lend.
    pub share: f64,
    /// Incarnations of previous owners that may still be running, by name. The share is restored to
    /// one when there are none.
    pub parted: BTreeMap<Arc<str>, u64>,
    /// Bucket levels that the owner starts with.
    pub start: InitialBuckets,
}

/// Bucket levels at the start of an ownership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InitialBuckets {
    /// Full buckets: the shard has had no owner before.
    Full,
    /// Empty buckets: the levels of the previous owner are unknown.
    Empty,
    /// Levels handed over by the previous owner. Customers that are not listed start full.
    Handed(BTreeMap<Arc<str>, BucketState>),
}

/// State of one customer's token bucket at a handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketState {
    /// Tokens in the bucket.
    pub level: u64,
    /// Tokens on loan, which borrowers may still spend for one loan term.
    pub lent: u64,
}

/// A row read from the table, with its version.
#[derive(Clone, Debug)]
struct Versioned<T> {
    row: T,
    version: u64,
    /// When this version was first read here.
    observed_at: Time,
}

/// A compare-and-set for the caller to execute. The next read of the row shows whether it was
/// applied, so a lost reply needs no special handling.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Table key.
    pub key: String,
    /// Required current version of the row; zero if the row must not exist.
    pub expected: u64,
    /// New value.
    pub value: serde_json::Value,
}

/// Rejection of a loan request by an entry that is not the customer's home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotHome {
    /// Owner as far as known; empty if there is none.
    pub owner: Arc<str>,
    /// Epoch of that owner.
    pub epoch: u64,
}

/// A shard owned by this process.
#[derive(Clone, Debug)]
struct OwnedShard {
    epoch: u64,
    share: Share,
    /// Initial levels for customers that have no lender yet.
    start: InitialBuckets,
    /// Nothing is lent before this time, as loans of the previous owner may still be spent.
    lend_from: Time,
    lenders: BTreeMap<Arc<str>, Lender>,
    /// When the shard was offered to another entry. Nothing is lent while the offer is pending.
    offered_at: Option<Time>,
}

/// Ownership state of one entry: all shards and members as read, and the shards that it owns.
#[derive(Clone, Debug)]
pub struct Home {
    name: Arc<str>,
    incarnation: u64,
    address: Arc<str>,
    zone: Arc<str>,
    renewals: u64,
    lease_expires_at: Time,
    leaving: bool,
    members: BTreeMap<Arc<str>, Versioned<Member>>,
    shards: BTreeMap<u32, Versioned<Shard>>,
    owned_shards: BTreeMap<u32, OwnedShard>,
    /// Expiry of the renewals granted as successor, by member; no takeover before then.
    granted_renewals: BTreeMap<Arc<str>, Time>,
    /// Hosts that the platform lists as removed.
    removed: BTreeSet<Arc<str>>,
}

impl Home {
    /// Creates the state of an entry that has read no rows yet.
    pub fn new(name: Arc<str>, incarnation: u64, address: Arc<str>, zone: Arc<str>) -> Self {
        Self {
            name,
            incarnation,
            address,
            zone,
            renewals: 0,
            lease_expires_at: Time::ZERO,
            leaving: false,
            members: BTreeMap::new(),
            shards: BTreeMap::new(),
            owned_shards: BTreeMap::new(),
            granted_renewals: BTreeMap::new(),
            removed: BTreeSet::new(),
        }
    }

    /// Returns the write that renews this entry's lease. If it succeeds, pass the time at which it
    /// began to [`Home::extend_lease`].
    pub fn prepare_renewal(&mut self) -> Write {
        self.renewals += 1;
        let row = Member {
            incarnation: self.incarnation,
            address: self.address.clone(),
            zone: self.zone.clone(),
            beat: self.renewals,
            left: self.leaving && self.owned_shards.is_empty(),
        };
        let expected = self.members.get(&self.name).map_or(0, |member| member.version);
        write(format!("{MEMBER_PREFIX}{}", self.name), expected, &row)
    }

    /// Extends the lease after a renewal, by the table or by all successors, that began at `began`.
    pub fn extend_lease(&mut self, began: Time) {
        self.lease_expires_at = self.lease_expires_at.max(began.plus(LEASE));
    }

    /// Returns whether this entry's lease is valid.
    pub fn has_lease(&self, now: Time) -> bool {
        now < self.lease_expires_at
    }

    /// Returns the successors of the owned shards. All of them must grant a renewal to extend the
    /// lease while the table is unreachable.
    pub fn successors(&self) -> BTreeSet<Arc<str>> {
        let rows = self.owned_shards.keys().filter_map(|shard| self.shards.get(shard));
        rows.map(|shard| shard.row.successor.clone())
            .filter(|name| !name.is_empty() && *name != self.name)
            .collect()
    }

    /// Grants a member one more lease, unless one of its shards has been taken over. This entry takes
    /// nothing over from the member until the grant expires.
    pub fn grant_renewal(&mut self, now: Time, member: &Arc<str>, incarnation: u64) -> bool {
        let was_replaced =
            self.shards.values().any(|shard| shard.row.parted.get(member) == Some(&incarnation));
        if was_replaced {
            return false;
        }
        self.granted_renewals.insert(member.clone(), now.plus(LEASE).plus(LEASE_MARGIN));
        true
    }

    /// Sets the hosts that the platform lists as removed.
    pub fn set_removed_hosts(&mut self, hosts: BTreeSet<Arc<str>>) {
        self.removed = hosts;
    }

    /// Records a lease row read from the table.
    pub fn observe_member(&mut self, now: Time, name: &str, version: u64, row: Member) {
        let is_newer = self.members.get(name).is_none_or(|known| known.version < version);
        if is_newer {
            self.members.insert(name.into(), Versioned { row, version, observed_at: now });
        }
    }

    /// Records a shard row read from the table, and starts or ends ownership accordingly.
    pub fn observe_shard(&mut self, now: Time, shard: u32, version: u64, row: Shard) {
        let is_newer = self.shards.get(&shard).is_none_or(|known| known.version < version);
        if !is_newer {
            return;
        }
        let is_owner = row.owner == self.name && row.incarnation == self.incarnation;
        match self.owned_shards.get_mut(&shard) {
            Some(owned) if is_owner && owned.epoch == row.epoch => {
                owned.share = Share::new(row.share);
                owned.offered_at = None;
            }
            _ if is_owner => {
                self.owned_shards.insert(shard, OwnedShard::new(now, &row));
            }
            _ => {
                self.owned_shards.remove(&shard);
            }
        }
        self.shards.insert(shard, Versioned { row, version, observed_at: now });
    }

    /// Starts to hand over all owned shards.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns the entry that the write offers a shard to, if it is an offer.
    pub fn offer_recipient(write: &Write) -> Option<Arc<str>> {
        let row: Shard = serde_json::from_value(write.value.clone()).ok()?;
        (row.incarnation == 0).then_some(row.owner)
    }

    /// Returns whether this entry owns no shards.
    pub fn is_empty(&self) -> bool {
        self.owned_shards.is_empty()
    }

    /// Returns the number of owned shards.
    pub fn owned_shard_count(&self) -> usize {
        self.owned_shards.len()
    }

    /// Returns the address of a member's peer service.
    pub fn address(&self, name: &str) -> Option<Arc<str>> {
        self.members.get(name).map(|member| member.row.address.clone())
    }

    /// Returns the names of all members with an unexpired lease, including this entry.
    pub fn live_members(&self, now: Time) -> BTreeSet<Arc<str>> {
        let live =
            self.members.iter().filter(|(_, member)| self.is_live(now, member)).map(|(name, _)| name.clone());
        live.collect()
    }

    fn is_live(&self, now: Time, member: &Versioned<Member>) -> bool {
        !member.row.left && now.since(member.observed_at) < LEASE + LEASE_MARGIN
    }

    /// Returns the owner of a customer's shard.
    pub fn owner(&self, customer: &str) -> Option<Arc<str>> {
        Some(self.shards.get(&shard(customer))?.row.owner.clone())
    }

    /// Returns the successor for a customer's shard.
    pub fn successor_of(&self, customer: &str) -> Option<Arc<str>> {
        Some(self.shards.get(&shard(customer))?.row.successor.clone())
    }

    /// Answers a loan request, or rejects it if this entry is not the customer's home.
    pub fn lend(
        &mut self,
        now: Time,
        settings: &Snapshot,
        customer: &Arc<str>,
        borrower: &Arc<str>,
        request: LoanRequest,
    ) -> Result<Grant, NotHome> {
        let shard = shard(customer);
        let has_lease = self.has_lease(now);
        let known = self.shards.get(&shard);
        let not_home = || NotHome {
            owner: known.map_or_else(|| "".into(), |shard| shard.row.owner.clone()),
            epoch: known.map_or(0, |shard| shard.row.epoch),
        };
        let Some(owned) = self.owned_shards.get_mut(&shard) else { return Err(not_home()) };
        let Some(terms) = settings.customers.get(customer) else { return Err(not_home()) };
        if owned.offered_at.is_some() {
            return Err(not_home());
        }
        if now < owned.lend_from {
            return Ok(Grant { tokens: 0, term: LOAN_TERM, retry_after: owned.lend_from.since(now) });
        }
        // Without a lease the successor may have taken over, and lends the other half.
        let share = if has_lease { owned.share } else { owned.share.half() };
        let (start, lend_from) = (&owned.start, owned.lend_from);
        let lender = owned
            .lenders
            .entry(customer.clone())
            .or_insert_with(|| start.create_lender(customer, terms, lend_from, now));
        lender.adjust(terms, share, now);
        Ok(lender.lend(now, borrower, request))
    }

    /// Returns the writes that claim, maintain or hand over shards. Empty without a lease.
    pub fn plan_writes(&mut self, now: Time, settings: &Snapshot) -> Vec<Write> {
        if !self.has_lease(now) {
            return Vec::new();
        }
        let live = self.live_members(now);
        (0..SHARDS).filter_map(|shard| self.plan_write(now, settings, shard, &live)).collect()
    }

    fn plan_write(
        &mut self,
        now: Time,
        settings: &Snapshot,
        shard: u32,
        live: &BTreeSet<Arc<str>>,
    ) -> Option<Write> {
        let is_candidate = |name: &&Arc<str>| !(self.leaving && **name == self.name);
        let ranked = rank(shard, live.iter().filter(is_candidate));
        let preferred_owner = ranked.first().cloned();
        let Some(known) = self.shards.get(&shard).cloned() else {
            let is_first = preferred_owner.as_ref() == Some(&self.name);
            return is_first.then(|| self.claim(shard, 0, None, InitialBuckets::Full, &ranked));
        };
        let row = &known.row;
        if row.incarnation == 0 {
            return self.accept_offer(shard, &known, live, preferred_owner.as_ref(), &ranked);
        }
        if self.owned_shards.contains_key(&shard) {
            return self.maintain(now, settings, shard, &known, preferred_owner.as_ref(), &ranked);
        }
        self.take_over(now, shard, &known, live, &ranked)
    }

    /// Claims a shard that is offered to this entry, or to an entry that is no longer live.
    fn accept_offer(
        &self,
        shard: u32,
        known: &Versioned<Shard>,
        live: &BTreeSet<Arc<str>>,
        preferred_owner: Option<&Arc<str>>,
        ranked: &[Arc<str>],
    ) -> Option<Write> {
        let row = &known.row;
        let is_orphaned = !live.contains(&row.owner) && preferred_owner == Some(&self.name);
        if self.leaving || !(row.owner == self.name || is_orphaned) {
            return None;
        }
        Some(self.claim(shard, known.version, Some(row), row.start.clone(), ranked))
    }

    /// Maintains an owned shard: offers it to its preferred owner, replaces the successor, restores the
    /// share or withdraws a lost offer.
    fn maintain(
        &mut self,
        now: Time,
        settings: &Snapshot,
        shard: u32,
        known: &Versioned<Shard>,
        preferred_owner: Option<&Arc<str>>,
        ranked: &[Arc<str>],
    ) -> Option<Write> {
        // With no other live entry, the shard is offered to the empty name: any entry may claim it.
        let no_recipient: Arc<str> = "".into();
        let recipient = match preferred_owner {
            Some(preferred_owner) => (*preferred_owner != self.name).then_some(preferred_owner),
            None => self.leaving.then_some(&no_recipient),
        };
        let parted: BTreeMap<_, _> = known
            .row
            .parted
            .iter()
            .filter(|(name, incarnation)| !self.is_terminated(name, **incarnation))
            .map(|(name, incarnation)| (name.clone(), *incarnation))
            .collect();
        let successor = self.choose_successor(ranked);
        let owned = self.owned_shards.get_mut(&shard)?;
        if owned.offered_at.is_some_and(|offered_at| now.since(offered_at) < OFFER_TIMEOUT) {
            return None;
        }
        if let Some(recipient) = recipient.filter(|_| owned.offered_at.is_none()) {
            owned.offered_at = Some(now);
            let start = InitialBuckets::Handed(owned.export_buckets(now, settings, shard));
            let owner = recipient.clone();
            let row = Shard { owner, incarnation: 0, epoch: known.row.epoch + 1, start, ..known.row.clone() };
            return Some(write(shard_key(shard), known.version, &row));
        }
        let restores_share = parted.is_empty() && known.row.share < 1.0;
        let withdraws_offer = owned.offered_at.is_some();
        let changes_successor = successor != known.row.successor;
        if !(restores_share || withdraws_offer || changes_successor) {
            return None;
        }
        let share = if parted.is_empty() { 1.0 } else { known.row.share };
        let row = Shard { successor, share, parted, start: InitialBuckets::Empty, ..known.row.clone() };
        Some(write(shard_key(shard), known.version, &row))
    }

    /// Takes over from an owner whose lease has expired or whose process has terminated.
    fn take_over(
        &self,
        now: Time,
        shard: u32,
        known: &Versioned<Shard>,
        live: &BTreeSet<Arc<str>>,
        ranked: &[Arc<str>],
    ) -> Option<Write> {
        let row = &known.row;
        let terminated = self.is_terminated(&row.owner, row.incarnation);
        let lease_expired = !live.contains(&row.owner);
        let renewal_granted = self.granted_renewals.get(&row.owner).is_some_and(|expiry| now < *expiry);
        let is_first = ranked.first() == Some(&self.name);
        let is_successor = match live.contains(&row.successor) {
            true => row.successor == self.name,
            // Without a successor, only the table can renew the owner's lease, so an owner whose lease
            // has expired lends only half of its share.
            false if row.successor.is_empty() => is_first,
            // Both leases have expired in the table, but the two may still renew each other behind a
            // network partition. A third entry takes over only if both hosts are listed as removed.
            false => is_first && self.removed.contains(&row.successor) && self.removed.contains(&row.owner),
        };
        let restarted = terminated && !lease_expired && is_first;
        let takes_over = restarted
            || (lease_expired && is_successor)
            || (terminated && is_first && !live.contains(&row.successor));
        if self.leaving || renewal_granted || !takes_over {
            return None;
        }
        let mut parted = row.parted.clone();
        if !terminated {
            parted.insert(row.owner.clone(), row.incarnation);
        }
        let share = if parted.is_empty() { 1.0 } else { row.share / 2.0 };
        let next = Shard { share, parted, ..row.clone() };
        Some(self.claim(shard, known.version, Some(&next), InitialBuckets::Empty, ranked))
    }

    /// Returns whether the process is known to have terminated: it was restarted or shut down, or the
    /// platform lists its host as removed.
    fn is_terminated(&self, name: &Arc<str>, incarnation: u64) -> bool {
        let replaced = self
            .members
            .get(name)
            .is_some_and(|member| member.row.incarnation != incarnation || member.row.left);
        replaced || self.removed.contains(name)
    }

    fn claim(
        &self,
        shard: u32,
        expected: u64,
        previous: Option<&Shard>,
        start: InitialBuckets,
        ranked: &[Arc<str>],
    ) -> Write {
        let row = Shard {
            owner: self.name.clone(),
            incarnation: self.incarnation,
            epoch: previous.map_or(1, |previous| previous.epoch + 1),
            successor: self.choose_successor(ranked),
            share: previous.map_or(1.0, |previous| previous.share),
            parted: previous.map(|previous| previous.parted.clone()).unwrap_or_default(),
            start,
        };
        write(shard_key(shard), expected, &row)
    }

    /// Chooses the highest-ranked other entry, preferably in another availability zone, so that the
    /// loss of a zone does not affect both owner and successor.
    fn choose_successor(&self, ranked: &[Arc<str>]) -> Arc<str> {
        let others = || ranked.iter().filter(|name| **name != self.name);
        let in_other_zone =
            others().find(|name| self.members.get(*name).is_some_and(|member| member.row.zone != self.zone));
        in_other_zone.or_else(|| others().next()).cloned().unwrap_or_else(|| "".into())
    }
}

impl OwnedShard {
    fn new(now: Time, row: &Shard) -> Self {
        let lend_from = match row.start {
            InitialBuckets::Empty => now.plus(LOAN_TERM + LEASE_MARGIN),
            InitialBuckets::Full | InitialBuckets::Handed(_) => now,
        };
        Self {
            epoch: row.epoch,
            share: Share::new(row.share),
            start: row.start.clone(),
            lend_from,
            lenders: BTreeMap::new(),
            offered_at: None,
        }
    }

    fn export_buckets(
        &mut self,
        now: Time,
        settings: &Snapshot,
        shard_number: u32,
    ) -> BTreeMap<Arc<str>, BucketState> {
        let (start, lend_from) = (&self.start, self.lend_from);
        let customers = settings.customers.iter().filter(|(name, _)| shard(name) == shard_number);
        customers
            .map(|(name, terms)| {
                let create = || start.create_lender(name, terms, lend_from, now);
                let lender = self.lenders.entry(name.clone()).or_insert_with(create);
                let state = BucketState { level: lender.level(now), lent: lender.outstanding() };
                (name.clone(), state)
            })
            .collect()
    }
}

impl InitialBuckets {
    fn create_lender(
        &self,
        name: &Arc<str>,
        terms: &crate::settings::Customer,
        lend_from: Time,
        now: Time,
    ) -> Lender {
        match self {
            Self::Full => Lender::full(terms, now),
            Self::Empty => Lender::with_level(terms, 0, 0, lend_from),
            Self::Handed(levels) => match levels.get(name) {
                Some(handed) => Lender::with_level(terms, handed.level, handed.lent, lend_from),
                None => Lender::full(terms, now),
            },
        }
    }
}

/// Orders members by preference for a shard, by rendezvous hashing.
fn rank<'a>(shard: u32, members: impl Iterator<Item = &'a Arc<str>>) -> Vec<Arc<str>> {
    let mut ranked: Vec<(u64, Arc<str>)> = members.map(|name| (weight(shard, name), name.clone())).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, name)| name).collect()
}

fn weight(shard: u32, name: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(&shard.to_le_bytes());
    hash.update(name.as_bytes());
    hash.digest()
}

fn shard_key(shard: u32) -> String {
    format!("{SHARD_PREFIX}{shard}")
}

fn write<T: Serialize>(key: String, expected: u64, row: &T) -> Write {
    Write { key, expected, value: json!(row) }
}
