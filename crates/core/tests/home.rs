//! Homes through deaths, pauses, outages and handovers: a small world of entries before one table.

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

/// The table as the entries see it.
#[derive(Default)]
struct Table {
    rows: BTreeMap<String, (u64, serde_json::Value)>,
    version: u64,
}

impl Table {
    fn commit(&mut self, write: Write) -> bool {
        let stands = self.rows.get(&write.key).map_or(0, |(version, _)| *version);
        if stands != write.expected {
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

struct World {
    now: Time,
    table: Table,
    settings: Snapshot,
    entries: BTreeMap<&'static str, Home>,
    serial: u64,
}

impl World {
    fn new(names: &[&'static str]) -> Self {
        let customer = Customer { rate: RATE, burst: BURST, weight: 1 };
        let rows = [Row::Customer(CUSTOMER.into(), Some(customer))];
        let settings = Snapshot::default().apply(1, &rows).expect("newer");
        let mut world =
            Self { now: Time::ZERO, table: Table::default(), settings, entries: BTreeMap::new(), serial: 0 };
        names.iter().for_each(|name| world.start(name, 1));
        (0..4).for_each(|_| world.round());
        world
    }

    fn start(&mut self, name: &'static str, incarnation: u64) {
        let home = Home::new(name.into(), incarnation, "127.0.0.1:1".into(), format!("zone-{name}").into());
        self.entries.insert(name, home);
    }

    /// Every entry that reaches the table reads, renews, writes and reads again.
    fn round_of(&mut self, names: &[&'static str]) {
        self.pass(Duration::from_secs(1));
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

    fn round(&mut self) {
        let names: Vec<&'static str> = self.entries.keys().copied().collect();
        self.round_of(&names);
    }

    fn pass(&mut self, span: Duration) {
        self.now = self.now.plus(span);
    }

    fn owner(&self, asked: &str) -> Arc<str> {
        self.entries[asked].owner(CUSTOMER).expect("owned")
    }

    /// What `name` lends for the asking; none if it is not the home.
    fn lend(&mut self, name: &str, tokens: u64) -> Option<u64> {
        self.serial += 1;
        let loan = LoanRequest { tokens, minimum: 1, unspent: 0, refund: 0, serial: self.serial };
        let home = self.entries.get_mut(name)?;
        let borrower = format!("borrower-{}", self.serial).into();
        home.lend(self.now, &self.settings, &CUSTOMER.into(), &borrower, loan).ok().map(|grant| grant.tokens)
    }

    /// Takes all that `name` lends now.
    fn drain(&mut self, name: &str) -> u64 {
        let mut sum = 0;
        while let Some(tokens) = self.lend(name, BURST).filter(|tokens| *tokens > 0) {
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
    let world = World::new(&["a", "b", "c"]);
    let owned_shards: usize = world.entries.values().map(Home::owned_shard_count).sum();
    assert_eq!(owned_shards, SHARDS as usize);
    assert!(world.entries.values().all(|home| home.owned_shard_count() > 0), "all of them take part");
}

#[test]
fn handover_carries_the_level() {
    let mut world = World::new(&["a", "b", "c"]);
    let owner = world.owner("a");
    let spent = world.drain(&owner);
    assert_eq!(spent, BURST);
    world.entries.get_mut(&*owner).expect("known").leave();
    (0..3).for_each(|_| world.round());
    let next = world.owner(&owner);
    assert_ne!(next, owner);
    assert!(world.entries[&*owner].is_empty(), "everything is handed over");
    let level = world.drain(&next);
    assert!(level <= 3 * RATE, "{level} tokens are more than three seconds bring");
}

/// The home dies with all its tokens lent. Its successor must not lend before the lease and the
/// slices have run out, or the customer is served twice.
#[test]
fn unclean_takeover_waits_out_lease_and_slices() {
    let mut world = World::new(&["a", "b", "c"]);
    let owner = world.owner("a");
    world.drain(&owner);
    let others = world.others(&owner);
    let mut waited = Duration::ZERO;
    while world.owner(others[0]) == owner {
        world.round_of(&others);
        waited += Duration::from_secs(1);
        assert!(waited < Duration::from_secs(30), "nobody takes over");
    }
    assert!(waited >= LEASE, "taken over while the lease stood");
    let next = world.owner(others[0]);
    assert_eq!(world.lend(&next, 1), Some(0));
    world.pass(LOAN_TERM);
    (0..2).for_each(|_| world.round_of(&others));
    let lent = world.drain(&next);
    assert!((1..=2 * RATE).contains(&lent), "{lent} tokens at half the share");
}

/// The home is paused beyond its lease and another takes over. Waking up, it must not go on
/// lending as before: its own clock tells it that the lease is over, before any message does.
#[test]
fn paused_home_and_its_successor_lend_no_more_than_the_rate_together() {
    let mut world = World::new(&["a", "b", "c"]);
    let owner = world.owner("a");
    world.drain(&owner);
    let others = world.others(&owner);
    (0..14).for_each(|_| world.round_of(&others));
    let next = world.owner(others[0]);
    assert_ne!(next, owner);
    world.drain(&owner);
    world.drain(&next);
    let mut sum = 0;
    for _ in 0..10 {
        world.round_of(&others);
        sum += world.drain(&owner) + world.drain(&next);
    }
    assert!(sum <= 10 * RATE, "{sum} tokens in ten seconds");
    assert!(sum >= 5 * RATE, "the new home lends at least half: {sum}");
}

/// The paused home reads the table again: it learns that it is no longer the home.
#[test]
fn woken_home_gives_way_to_its_successor() {
    let mut world = World::new(&["a", "b", "c"]);
    let owner = world.owner("a");
    let others = world.others(&owner);
    (0..14).for_each(|_| world.round_of(&others));
    let home = world.entries.get_mut(&*owner).expect("known");
    world.table.read(world.now, home);
    assert_eq!(world.lend(&owner, 1), None);
}

/// The table is down for long. The owner is renewed by its successor's word and lends in full.
#[test]
fn successors_word_renews_the_owner_through_an_outage() {
    let mut world = World::new(&["a", "b", "c"]);
    let owner = world.owner("a");
    let successor = world.entries["a"].successor_of(CUSTOMER).expect("owned");
    world.drain(&owner);
    for _ in 0..30 {
        world.pass(Duration::from_secs(1));
        let now = world.now;
        let granted = world.entries.get_mut(&*successor).expect("known").grant_renewal(now, &owner, 1);
        assert!(granted);
        world.entries.get_mut(&*owner).expect("known").extend_lease(now);
    }
    assert_eq!(world.drain(&owner), BURST);
}

/// Having promised not to take over, the successor must not, though the lease row stands still.
#[test]
fn successor_keeps_its_promise() {
    let mut world = World::new(&["a", "b", "c"]);
    let owner = world.owner("a");
    let others = world.others(&owner);
    for _ in 0..15 {
        let now = world.now;
        for name in &others {
            world.entries.get_mut(name).expect("known").grant_renewal(now, &owner, 1);
        }
        world.round_of(&others);
    }
    assert_eq!(world.owner(others[0]), owner);
}

/// Cut off from the table and from its successor, a home cannot know whether it was followed. It
/// may lend only half.
#[test]
fn unrenewed_home_lends_half() {
    let mut world = World::new(&["a", "b", "c"]);
    let owner = world.owner("a");
    world.drain(&owner);
    world.pass(LEASE);
    world.drain(&owner);
    world.pass(Duration::from_secs(2));
    assert_eq!(world.drain(&owner), RATE);
}

/// An entry host is replaced: the same name, a new process, empty memory. Its old homes must not
/// start full again.
#[test]
fn restarted_home_does_not_start_full() {
    let mut world = World::new(&["a", "b", "c"]);
    let owner = world.owner("a");
    world.drain(&owner);
    let name = ["a", "b", "c"].into_iter().find(|name| **name == *owner).expect("known");
    world.start(name, 2);
    (0..12).for_each(|_| world.round());
    let next = world.owner("a");
    let lent = world.drain(&next);
    assert!(lent <= BURST, "{lent}");
    let since = 12 * RATE;
    assert!(lent < since, "{lent} tokens: the wait for slices was not kept");
}

/// The only entry is shut down and another comes in its place. Unless it hands over to whoever
/// comes, its shutdown never ends, and the next one waits for a word that nobody gives.
#[test]
fn last_entry_to_leave_hands_over_to_the_next_that_comes() {
    let mut world = World::new(&["a"]);
    world.drain("a");
    world.entries.get_mut("a").expect("known").leave();
    (0..2).for_each(|_| world.round());
    assert!(world.entries["a"].is_empty());
    world.entries.remove("a");
    world.start("b", 1);
    (0..3).for_each(|_| world.round());
    assert_eq!(&*world.owner("b"), "b");
    assert!(world.drain("b") <= 6 * RATE);
}

/// The only entry host dies for good and another one comes under a new name.
#[test]
fn dead_lone_entry_is_followed_by_the_next_that_comes() {
    let mut world = World::new(&["a"]);
    world.entries.remove("a");
    world.start("b", 1);
    (0..16).for_each(|_| world.round());
    assert_eq!(&*world.owner("b"), "b");
    assert!((1..=BURST / 2).contains(&world.drain("b")), "half, until the old one is known to be gone");
}
