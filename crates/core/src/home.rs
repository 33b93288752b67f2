//! Which entry is the home of which customers, and how that changes hands.
//!
//! Customers fall into [`SHARDS`] shards. The owner of a shard, its epoch and its successor stand
//! in a row of the platform's table; so does one lease row for each entry. A home lends in full
//! while its lease is renewed by the table or, the table being out of reach, by the successor.
//! Un-renewed it falls to half its share. Whoever takes over without a clean handover waits out
//! the lease and the slices, starts empty, and has half the share until the old owner is known to
//! be gone. The shares of all that lend for a shard therefore never add up to more than one.

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

/// Number of shards; fixed, since rows of the table are named by it.
pub const SHARDS: u32 = 64;
/// Prefix of the rows of shards.
pub const SHARD_PREFIX: &str = "home/shard/";
/// Prefix of the lease rows of entries.
pub const MEMBER_PREFIX: &str = "home/member/";
/// How long a renewal lasts, counted by the holder from when it began to renew.
pub const LEASE: Duration = Duration::from_secs(6);
/// How much longer others wait, counted from when they last saw the lease row change. They see a
/// change only after the holder began it, so their count ends later by itself; the margin covers
/// drift of clocks.
const LEASE_MARGIN: Duration = Duration::from_millis(500);
/// An offer whose write was lost is withdrawn after this long.
const OFFER_TIMEOUT: Duration = Duration::from_secs(3);

/// Shard of a customer.
pub fn shard(customer: &str) -> u32 {
    u32::try_from(xxh3_64(customer.as_bytes()) % u64::from(SHARDS)).unwrap_or(0)
}

/// Lease row of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Random for each process, so that a restarted entry is told from its predecessor.
    pub incarnation: u64,
    /// Where its peers reach it, `ip:port`.
    pub address: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Counts renewals.
    pub beat: u64,
    /// Set on a graceful shutdown.
    pub left: bool,
}

/// Row of a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    /// Name of the owner, or of the entry it is offered to.
    pub owner: Arc<str>,
    /// The owner's incarnation; zero while offered.
    pub incarnation: u64,
    /// Goes up with every change of owner.
    pub epoch: u64,
    /// The only entry that may follow the owner without a clean handover.
    pub successor: Arc<str>,
    /// Part of the rate that this owner may lend.
    pub share: f64,
    /// Owners not yet known to be gone; the share is whole only without any.
    pub parted: BTreeMap<Arc<str>, u64>,
    /// What the owner starts with.
    pub start: InitialBuckets,
}

/// What a home starts with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InitialBuckets {
    /// Full buckets: nobody has lent before.
    Full,
    /// Empty buckets: the last owner's level is not known.
    Empty,
    /// What the last owner handed over; customers not named are new and start full.
    Handed(BTreeMap<Arc<str>, BucketState>),
}

/// One customer's state at a handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketState {
    /// Tokens in the bucket.
    pub level: u64,
    /// Tokens lent that may still be spent for one term.
    pub lent: u64,
}

/// A row as read, with the version to compare against.
#[derive(Clone, Debug)]
struct Versioned<T> {
    row: T,
    version: u64,
    /// When this version was first seen here.
    since: Time,
}

/// A compare-and-set that the edge carries out. Its outcome is learnt by reading the row again, so
/// a lost answer needs no handling of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Table key.
    pub key: String,
    /// Version that must stand there; zero for none.
    pub expected: u64,
    /// The new value.
    pub value: serde_json::Value,
}

/// Who is the home, for an entry that asked the wrong one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotHome {
    /// The owner as far as known, empty if there is none.
    pub owner: Arc<str>,
    /// Epoch of that ownership.
    pub epoch: u64,
}

/// A shard this process lends for.
#[derive(Clone, Debug)]
struct OwnedShard {
    epoch: u64,
    share: Share,
    /// What customers without a lender start with.
    start: InitialBuckets,
    /// Nothing is lent before then: the last owner's slices may still be spent.
    opens: Time,
    lenders: BTreeMap<Arc<str>, Lender>,
    /// Set while a handover is being written; nothing is lent meanwhile.
    offered: Option<Time>,
}

/// One entry's view of all homes, and its owned shards.
#[derive(Clone, Debug)]
pub struct Home {
    me: Arc<str>,
    incarnation: u64,
    address: Arc<str>,
    zone: Arc<str>,
    beat: u64,
    /// End of the own lease.
    lease: Time,
    leaving: bool,
    members: BTreeMap<Arc<str>, Versioned<Member>>,
    shards: BTreeMap<u32, Versioned<Shard>>,
    owned_shards: BTreeMap<u32, OwnedShard>,
    /// Renewals granted to members as their successor: no takeover before then.
    promised: BTreeMap<Arc<str>, Time>,
    /// Hosts that the platform says are gone.
    gone: BTreeSet<Arc<str>>,
}

impl Home {
    /// An entry that has read nothing yet.
    pub fn new(me: Arc<str>, incarnation: u64, address: Arc<str>, zone: Arc<str>) -> Self {
        Self {
            me,
            incarnation,
            address,
            zone,
            beat: 0,
            lease: Time::ZERO,
            leaving: false,
            members: BTreeMap::new(),
            shards: BTreeMap::new(),
            owned_shards: BTreeMap::new(),
            promised: BTreeMap::new(),
            gone: BTreeSet::new(),
        }
    }

    /// The write that renews the own lease. Pass the time before the write to [`Home::extend_lease`].
    pub fn prepare_renewal(&mut self) -> Write {
        self.beat += 1;
        let row = Member {
            incarnation: self.incarnation,
            address: self.address.clone(),
            zone: self.zone.clone(),
            beat: self.beat,
            left: self.leaving && self.owned_shards.is_empty(),
        };
        let expected = self.members.get(&self.me).map_or(0, |member| member.version);
        write(format!("{MEMBER_PREFIX}{}", self.me), expected, &row)
    }

    /// Notes that the lease was renewed by a write, or by the successor's word, begun at `began`.
    pub fn extend_lease(&mut self, began: Time) {
        self.lease = self.lease.max(began.plus(LEASE));
    }

    /// Whether the own lease stands.
    pub fn has_lease(&self, now: Time) -> bool {
        now < self.lease
    }

    /// Successors whose word renews the lease while the table is out of reach; all of them must
    /// give it.
    pub fn successors(&self) -> BTreeSet<Arc<str>> {
        let mine = self.owned_shards.keys().filter_map(|shard| self.shards.get(shard));
        mine.map(|shard| shard.row.successor.clone())
            .filter(|name| !name.is_empty() && *name != self.me)
            .collect()
    }

    /// Answers a member that asks its successor for renewal.
    pub fn grant_renewal(&mut self, now: Time, member: &Arc<str>, incarnation: u64) -> bool {
        let taken = self.shards.values().any(|shard| shard.row.parted.get(member) == Some(&incarnation));
        if taken {
            return false;
        }
        self.promised.insert(member.clone(), now.plus(LEASE).plus(LEASE_MARGIN));
        true
    }

    /// Takes the platform's word on hosts that are gone.
    pub fn set_removed_hosts(&mut self, hosts: BTreeSet<Arc<str>>) {
        self.gone = hosts;
    }

    /// Takes a lease row read from the table.
    pub fn observe_member(&mut self, now: Time, name: &str, version: u64, row: Member) {
        let newer = self.members.get(name).is_none_or(|seen| seen.version < version);
        if newer {
            self.members.insert(name.into(), Versioned { row, version, since: now });
        }
    }

    /// Takes a shard row read from the table, and begins or ends ownership by it.
    pub fn observe_shard(&mut self, now: Time, shard: u32, version: u64, row: Shard) {
        let newer = self.shards.get(&shard).is_none_or(|seen| seen.version < version);
        if !newer {
            return;
        }
        let own = row.owner == self.me && row.incarnation == self.incarnation;
        match self.owned_shards.get_mut(&shard) {
            Some(owned) if own && owned.epoch == row.epoch => {
                owned.share = Share::new(row.share);
                owned.offered = None;
            }
            _ if own => {
                self.owned_shards.insert(shard, OwnedShard::begin(now, &row));
            }
            _ => {
                self.owned_shards.remove(&shard);
            }
        }
        self.shards.insert(shard, Versioned { row, version, since: now });
    }

    /// Starts to hand everything over.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// The entry a write offers a shard to, if it does.
    pub fn offer_recipient(write: &Write) -> Option<Arc<str>> {
        let row: Shard = serde_json::from_value(write.value.clone()).ok()?;
        (row.incarnation == 0).then_some(row.owner)
    }

    /// Whether nothing is left to hand over.
    pub fn is_empty(&self) -> bool {
        self.owned_shards.is_empty()
    }

    /// Shards this process lends for.
    pub fn owned_shard_count(&self) -> usize {
        self.owned_shards.len()
    }

    /// Address of a member's peer service.
    pub fn address(&self, name: &str) -> Option<Arc<str>> {
        self.members.get(name).map(|member| member.row.address.clone())
    }

    /// Names of the members whose lease is not seen to have lapsed, this one included.
    pub fn live_members(&self, now: Time) -> BTreeSet<Arc<str>> {
        let live =
            self.members.iter().filter(|(_, member)| self.is_live(now, member)).map(|(name, _)| name.clone());
        live.collect()
    }

    fn is_live(&self, now: Time, member: &Versioned<Member>) -> bool {
        !member.row.left && now.since(member.since) < LEASE + LEASE_MARGIN
    }

    /// The owner of a customer's shard.
    pub fn owner(&self, customer: &str) -> Option<Arc<str>> {
        Some(self.shards.get(&shard(customer))?.row.owner.clone())
    }

    /// The entry that may follow the owner of a customer's shard.
    pub fn successor_of(&self, customer: &str) -> Option<Arc<str>> {
        Some(self.shards.get(&shard(customer))?.row.successor.clone())
    }

    /// Lends to a borrower, if this is the customer's home.
    pub fn lend(
        &mut self,
        now: Time,
        settings: &Snapshot,
        customer: &Arc<str>,
        borrower: &Arc<str>,
        loan: LoanRequest,
    ) -> Result<Grant, NotHome> {
        let shard = shard(customer);
        let renewed = self.has_lease(now);
        let known = self.shards.get(&shard);
        let not_home = || NotHome {
            owner: known.map_or_else(|| "".into(), |shard| shard.row.owner.clone()),
            epoch: known.map_or(0, |shard| shard.row.epoch),
        };
        let Some(owned) = self.owned_shards.get_mut(&shard) else { return Err(not_home()) };
        let Some(terms) = settings.customers.get(customer) else { return Err(not_home()) };
        if owned.offered.is_some() {
            return Err(not_home());
        }
        if now < owned.opens {
            return Ok(Grant { tokens: 0, term: LOAN_TERM, retry_after: owned.opens.since(now) });
        }
        // Guards against a second home: this process may be cut off from both the table and the
        // successor, which then lends the other half.
        let share = if renewed { owned.share } else { owned.share.half() };
        let (start, opens) = (&owned.start, owned.opens);
        let lender = owned
            .lenders
            .entry(customer.clone())
            .or_insert_with(|| start.lender(customer, terms, opens, now));
        lender.adjust(terms, share, now);
        Ok(lender.lend(now, borrower, loan))
    }

    /// The writes that bring ownership closer to what it should be. Needs a standing lease.
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
        let stays = |name: &&Arc<str>| !(self.leaving && **name == self.me);
        let ranked = rank(shard, live.iter().filter(stays));
        let wanted = ranked.first().cloned();
        let Some(known) = self.shards.get(&shard).cloned() else {
            let first = wanted.as_ref() == Some(&self.me);
            return first.then(|| self.claim(shard, 0, None, InitialBuckets::Full, &ranked));
        };
        let row = &known.row;
        if row.incarnation == 0 {
            return self.accept(shard, &known, live, wanted.as_ref(), &ranked);
        }
        if self.owned_shards.contains_key(&shard) {
            return self.tend(now, settings, shard, &known, wanted.as_ref(), &ranked);
        }
        self.succeed(now, shard, &known, live, &ranked)
    }

    /// Takes a shard that was offered, to us or to someone who has left since.
    fn accept(
        &self,
        shard: u32,
        known: &Versioned<Shard>,
        live: &BTreeSet<Arc<str>>,
        wanted: Option<&Arc<str>>,
        ranked: &[Arc<str>],
    ) -> Option<Write> {
        let row = &known.row;
        let stranded = !live.contains(&row.owner) && wanted == Some(&self.me);
        if self.leaving || !(row.owner == self.me || stranded) {
            return None;
        }
        Some(self.claim(shard, known.version, Some(row), row.start.clone(), ranked))
    }

    /// Keeps an own shard: hands it over, names a live successor, or makes the share whole.
    fn tend(
        &mut self,
        now: Time,
        settings: &Snapshot,
        shard: u32,
        known: &Versioned<Shard>,
        wanted: Option<&Arc<str>>,
        ranked: &[Arc<str>],
    ) -> Option<Write> {
        // The last entry to leave offers to nobody in particular: whoever comes first may take it.
        let nobody: Arc<str> = "".into();
        let taker = match wanted {
            Some(wanted) => (*wanted != self.me).then_some(wanted),
            None => self.leaving.then_some(&nobody),
        };
        let parted: BTreeMap<_, _> = known
            .row
            .parted
            .iter()
            .filter(|(name, incarnation)| !self.is_gone(name, **incarnation))
            .map(|(name, incarnation)| (name.clone(), *incarnation))
            .collect();
        let successor = self.successor(ranked);
        let owned = self.owned_shards.get_mut(&shard)?;
        if owned.offered.is_some_and(|since| now.since(since) < OFFER_TIMEOUT) {
            return None;
        }
        if let Some(taker) = taker.filter(|_| owned.offered.is_none()) {
            owned.offered = Some(now);
            let start = InitialBuckets::Handed(owned.hand_over(now, settings, shard));
            let owner = taker.clone();
            let row = Shard { owner, incarnation: 0, epoch: known.row.epoch + 1, start, ..known.row.clone() };
            return Some(write(shard_key(shard), known.version, &row));
        }
        let whole = parted.is_empty() && known.row.share < 1.0;
        let reassert = owned.offered.is_some();
        let renamed = successor != known.row.successor;
        if !(whole || reassert || renamed) {
            return None;
        }
        let share = if parted.is_empty() { 1.0 } else { known.row.share };
        let row = Shard { successor, share, parted, start: InitialBuckets::Empty, ..known.row.clone() };
        Some(write(shard_key(shard), known.version, &row))
    }

    /// Takes over from an owner whose lease has lapsed, or that has been restarted.
    fn succeed(
        &self,
        now: Time,
        shard: u32,
        known: &Versioned<Shard>,
        live: &BTreeSet<Arc<str>>,
        ranked: &[Arc<str>],
    ) -> Option<Write> {
        let row = &known.row;
        let gone = self.is_gone(&row.owner, row.incarnation);
        let lapsed = !live.contains(&row.owner);
        let promised = self.promised.get(&row.owner).is_some_and(|until| now < *until);
        let first = ranked.first() == Some(&self.me);
        let heir = match live.contains(&row.successor) {
            true => row.successor == self.me,
            // It was alone, so nobody has renewed it: cut off, it lends half.
            false if row.successor.is_empty() => first,
            // Owner and successor are both silent. They may be cut off together and renew one
            // another, so a third entry follows only once the platform says that both are gone.
            false => first && self.gone.contains(&row.successor) && self.gone.contains(&row.owner),
        };
        let restarted = gone && !lapsed && first;
        let takes = restarted || (lapsed && heir) || (gone && first && !live.contains(&row.successor));
        if self.leaving || promised || !takes {
            return None;
        }
        let mut parted = row.parted.clone();
        if !gone {
            parted.insert(row.owner.clone(), row.incarnation);
        }
        let share = if parted.is_empty() { 1.0 } else { row.share / 2.0 };
        let next = Shard { share, parted, ..row.clone() };
        Some(self.claim(shard, known.version, Some(&next), InitialBuckets::Empty, ranked))
    }

    /// Whether the process `incarnation` of `name` is known to run no more: it was replaced, has
    /// left, or the platform lists its host as gone.
    fn is_gone(&self, name: &Arc<str>, incarnation: u64) -> bool {
        let replaced = self
            .members
            .get(name)
            .is_some_and(|member| member.row.incarnation != incarnation || member.row.left);
        replaced || self.gone.contains(name)
    }

    fn claim(
        &self,
        shard: u32,
        expected: u64,
        last: Option<&Shard>,
        start: InitialBuckets,
        ranked: &[Arc<str>],
    ) -> Write {
        let row = Shard {
            owner: self.me.clone(),
            incarnation: self.incarnation,
            epoch: last.map_or(1, |last| last.epoch + 1),
            successor: self.successor(ranked),
            share: last.map_or(1.0, |last| last.share),
            parted: last.map(|last| last.parted.clone()).unwrap_or_default(),
            start,
        };
        write(shard_key(shard), expected, &row)
    }

    /// The best live entry to follow us: in another availability zone if there is one, so that the
    /// loss of a zone never takes owner and successor together.
    fn successor(&self, ranked: &[Arc<str>]) -> Arc<str> {
        let others = || ranked.iter().filter(|name| **name != self.me);
        let elsewhere =
            others().find(|name| self.members.get(*name).is_some_and(|member| member.row.zone != self.zone));
        elsewhere.or_else(|| others().next()).cloned().unwrap_or_else(|| "".into())
    }
}

impl OwnedShard {
    fn begin(now: Time, row: &Shard) -> Self {
        let opens = match row.start {
            InitialBuckets::Empty => now.plus(LOAN_TERM + LEASE_MARGIN),
            InitialBuckets::Full | InitialBuckets::Handed(_) => now,
        };
        Self {
            epoch: row.epoch,
            share: Share::new(row.share),
            start: row.start.clone(),
            opens,
            lenders: BTreeMap::new(),
            offered: None,
        }
    }

    fn hand_over(
        &mut self,
        now: Time,
        settings: &Snapshot,
        shard_number: u32,
    ) -> BTreeMap<Arc<str>, BucketState> {
        let (start, opens) = (&self.start, self.opens);
        let mine = settings.customers.iter().filter(|(name, _)| shard(name) == shard_number);
        mine.map(|(name, terms)| {
            let fresh = || start.lender(name, terms, opens, now);
            let lender = self.lenders.entry(name.clone()).or_insert_with(fresh);
            let handed = BucketState { level: lender.level(now), lent: lender.outstanding() };
            (name.clone(), handed)
        })
        .collect()
    }
}

impl InitialBuckets {
    fn lender(&self, name: &Arc<str>, terms: &crate::settings::Customer, opens: Time, now: Time) -> Lender {
        match self {
            Self::Full => Lender::full(terms, now),
            Self::Empty => Lender::with_level(terms, 0, 0, opens),
            Self::Handed(levels) => match levels.get(name) {
                Some(handed) => Lender::with_level(terms, handed.level, handed.lent, opens),
                None => Lender::full(terms, now),
            },
        }
    }
}

/// Members in order of preference for a shard (highest random weight first).
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
