//! Shard ownership under crashes, pauses, table outages and handovers, in a simulated cluster of
//! entries that share one table.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tarragonhill_core::{
    Time,
    home::{Home, LEASE, MEMBER_PREFIX, SHARD_PREFIX, SHARDS, Write},
    quota::{LOAN_TERM, LoanRequest},
    settings::{Customer, Row, Snapshot},
};

const RATE: u64 = 1_000;
const BURST: u64 = 4_000;
const CUSTOMER: &str = "faculty";

/// In-memory table with compare-and-set writes.
#[derive(Default)]
struct Table {
    rows: BTreeMap<String, (u64, serde_json::Value)>,
    version: u64,
}

impl Table {
    fn commit(&mut self, write: Write) -> bool {
        let current = self.rows.get(&write.key).map_or(0, |(version, _)| *version);
        if current != write.expected {
            return false;
        }
        self.version += 1;
        self.rows.insert(write.key, (self.version, write.value));
        true
    }

    fn read(&self, now: Time, home: &mut Home) {
        for (key, (version, value)) in &self.rows {
            if let Some(name) = key.strip_prefix(MEMBER_PREFIX) {
                home.observe_member(
                    now,
                    name,
                    *version,
                    serde_json::from_value(value.clone()).expect("member"),
                );
            } else if let Some(shard) = key.strip_prefix(SHARD_PREFIX) {
                let row = serde_json::from_value(value.clone()).expect("shard");
                home.observe_shard(now, shard.parse().expect("number"), *version, row);
            }
        }
    }
}

struct Cluster {
    now: Time,
    table: Table,
    settings: Snapshot,
    entries: BTreeMap<&'static str, Home>,
    serial: u64,
}

impl Cluster {
    fn new(names: &[&'static str]) -> Self {
        let customer = Customer { rate: RATE, burst: BURST, weight: 1 };
        let rows = [Row::Customer(CUSTOMER.into(), Some(customer))];
        let settings = Snapshot::default().apply(1, &rows).expect("newer");
        let mut cluster =
            Self { now: Time::ZERO, table: Table::default(), settings, entries: BTreeMap::new(), serial: 0 };
        names.iter().for_each(|name| cluster.start(name, 1));
        (0..4).for_each(|_| cluster.run_round());
        cluster
    }

    fn start(&mut self, name: &'static str, incarnation: u64) {
        let home = Home::new(name.into(), incarnation, "127.0.0.1:1".into(), format!("zone-{name}").into());
        self.entries.insert(name, home);
    }

    /// Advances one second; each of `names` then reads the table, renews its lease and writes.
    fn run_round_on(&mut self, names: &[&'static str]) {
        self.advance(Duration::from_secs(1));
        for name in names {
            let home = self.entries.get_mut(name).expect("known");
            self.table.read(self.now, home);
            let began = self.now;
            if self.table.commit(home.prepare_renewal()) {
                home.extend_lease(began);
            }
            self.table.read(self.now, home);
            for write in home.plan_writes(self.now, &self.settings) {
                self.table.commit(write);
            }
            self.table.read(self.now, home);
        }
    }

    fn run_round(&mut self) {
        let names: Vec<&'static str> = self.entries.keys().copied().collect();
        self.run_round_on(&names);
    }

    fn advance(&mut self, span: Duration) {
        self.now = self.now.plus(span);
    }

    fn owner(&self, observer: &str) -> Arc<str> {
        self.entries[observer].owner(CUSTOMER).expect("owned")
    }

    /// Requests tokens from `name` as a new borrower; `None` if it is not the home.
    fn borrow(&mut self, name: &str, tokens: u64) -> Option<u64> {
        self.serial += 1;
        let request = LoanRequest { tokens, minimum: 1, unspent: 0, refund: 0, serial: self.serial };
        let home = self.entries.get_mut(name)?;
        let borrower = format!("borrower-{}", self.serial).into();
        home.lend(self.now, &self.settings, &CUSTOMER.into(), &borrower, request)
            .ok()
            .map(|grant| grant.tokens)
    }

    /// Borrows from `name` until it lends nothing more, and returns the sum.
    fn borrow_all(&mut self, name: &str) -> u64 {
        let mut sum = 0;
        while let Some(tokens) = self.borrow(name, BURST).filter(|tokens| *tokens > 0) {
            sum += tokens;
        }
        sum
    }

    fn others(&self, name: &str) -> Vec<&'static str> {
        self.entries.keys().copied().filter(|other| *other != name).collect()
    }
}

#[test]
fn every_shard_gets_exactly_one_home() {
    let cluster = Cluster::new(&["a", "b", "c"]);
    let owned_shards: usize = cluster.entries.values().map(Home::owned_shard_count).sum();
    assert_eq!(owned_shards, SHARDS as usize);
    assert!(cluster.entries.values().all(|home| home.owned_shard_count() > 0), "every entry owns shards");
}

#[test]
fn handover_preserves_the_bucket_level() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    let owner = cluster.owner("a");
    let spent = cluster.borrow_all(&owner);
    assert_eq!(spent, BURST);
    cluster.entries.get_mut(&*owner).expect("known").leave();
    (0..3).for_each(|_| cluster.run_round());
    let next = cluster.owner(&owner);
    assert_ne!(next, owner);
    assert!(cluster.entries[&*owner].is_empty(), "all shards are handed over");
    let level = cluster.borrow_all(&next);
    assert!(level <= 3 * RATE, "{level} tokens, more than the inflow of three seconds");
}

/// Guards against lending tokens twice after a crash: the crashed home's loans may still be spent.
#[test]
fn takeover_waits_for_lease_and_loans_to_expire() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    let owner = cluster.owner("a");
    cluster.borrow_all(&owner);
    let others = cluster.others(&owner);
    let mut waited = Duration::ZERO;
    while cluster.owner(others[0]) == owner {
        cluster.run_round_on(&others);
        waited += Duration::from_secs(1);
        assert!(waited < Duration::from_secs(30), "no entry takes over");
    }
    assert!(waited >= LEASE, "taken over before the lease expired");
    let next = cluster.owner(others[0]);
    assert_eq!(cluster.borrow(&next, 1), Some(0));
    cluster.advance(LOAN_TERM);
    (0..2).for_each(|_| cluster.run_round_on(&others));
    let lent = cluster.borrow_all(&next);
    assert!((1..=2 * RATE).contains(&lent), "{lent} tokens at half the rate");
}

/// Guards against a home that resumes after a pause longer than its lease and keeps lending its full
/// share before it has read of the takeover.
#[test]
fn paused_home_and_its_successor_together_lend_at_most_the_rate() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    let owner = cluster.owner("a");
    cluster.borrow_all(&owner);
    let others = cluster.others(&owner);
    (0..14).for_each(|_| cluster.run_round_on(&others));
    let next = cluster.owner(others[0]);
    assert_ne!(next, owner);
    cluster.borrow_all(&owner);
    cluster.borrow_all(&next);
    let mut sum = 0;
    for _ in 0..10 {
        cluster.run_round_on(&others);
        sum += cluster.borrow_all(&owner) + cluster.borrow_all(&next);
    }
    assert!(sum <= 10 * RATE, "{sum} tokens in ten seconds");
    assert!(sum >= 5 * RATE, "the new home lends at least half: {sum}");
}

#[test]
fn resumed_home_stops_lending_after_a_takeover() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    let owner = cluster.owner("a");
    let others = cluster.others(&owner);
    (0..14).for_each(|_| cluster.run_round_on(&others));
    let home = cluster.entries.get_mut(&*owner).expect("known");
    cluster.table.read(cluster.now, home);
    assert_eq!(cluster.borrow(&owner, 1), None);
}

/// The home lends its full share while its successor renews the lease.
#[test]
fn successor_renews_the_owner_during_a_table_outage() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    let owner = cluster.owner("a");
    let successor = cluster.entries["a"].successor_of(CUSTOMER).expect("owned");
    cluster.borrow_all(&owner);
    for _ in 0..30 {
        cluster.advance(Duration::from_secs(1));
        let now = cluster.now;
        let granted = cluster.entries.get_mut(&*successor).expect("known").grant_renewal(now, &owner, 1);
        assert!(granted);
        cluster.entries.get_mut(&*owner).expect("known").extend_lease(now);
    }
    assert_eq!(cluster.borrow_all(&owner), BURST);
}

/// A granted renewal counts although the lease row of the owner in the table expires.
#[test]
fn successor_does_not_take_over_after_granting_a_renewal() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    let owner = cluster.owner("a");
    let others = cluster.others(&owner);
    for _ in 0..15 {
        let now = cluster.now;
        for name in &others {
            cluster.entries.get_mut(name).expect("known").grant_renewal(now, &owner, 1);
        }
        cluster.run_round_on(&others);
    }
    assert_eq!(cluster.owner(others[0]), owner);
}

/// Guards against overspending by a home that cannot reach the table or its successor, and so cannot
/// know of a takeover.
#[test]
fn home_without_a_lease_lends_half() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    let owner = cluster.owner("a");
    cluster.borrow_all(&owner);
    cluster.advance(LEASE);
    cluster.borrow_all(&owner);
    cluster.advance(Duration::from_secs(2));
    assert_eq!(cluster.borrow_all(&owner), RATE);
}

/// Guards against refilled buckets when a process restarts under the same name without its state.
#[test]
fn restarted_home_does_not_start_with_full_buckets() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    let owner = cluster.owner("a");
    cluster.borrow_all(&owner);
    let name = ["a", "b", "c"].into_iter().find(|name| **name == *owner).expect("known");
    cluster.start(name, 2);
    (0..12).for_each(|_| cluster.run_round());
    let next = cluster.owner("a");
    let lent = cluster.borrow_all(&next);
    assert!(lent <= BURST, "{lent}");
    let inflow = 12 * RATE;
    assert!(lent < inflow, "{lent} tokens lent without waiting for loans to expire");
}

/// Guards against a shutdown that never ends because no other entry can receive the shards.
#[test]
fn last_entry_to_leave_hands_over_to_the_next_to_join() {
    let mut cluster = Cluster::new(&["a"]);
    cluster.borrow_all("a");
    cluster.entries.get_mut("a").expect("known").leave();
    (0..2).for_each(|_| cluster.run_round());
    assert!(cluster.entries["a"].is_empty());
    cluster.entries.remove("a");
    cluster.start("b", 1);
    (0..3).for_each(|_| cluster.run_round());
    assert_eq!(&*cluster.owner("b"), "b");
    assert!(cluster.borrow_all("b") <= 6 * RATE);
}

/// The new entry has another name, so nothing shows that the crashed entry has terminated.
#[test]
fn next_entry_to_join_takes_over_from_a_crashed_lone_entry() {
    let mut cluster = Cluster::new(&["a"]);
    cluster.entries.remove("a");
    cluster.start("b", 1);
    (0..16).for_each(|_| cluster.run_round());
    assert_eq!(&*cluster.owner("b"), "b");
    assert!(
        (1..=BURST / 2).contains(&cluster.borrow_all("b")),
        "half the burst until the old entry is known to have terminated"
    );
}
