//! Tests of rate limits enforced over several replicas.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use quickcheck::{Gen, QuickCheck, TestResult};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tarragonhill_core::gateway::{
    catalog::Customer,
    digest::{Digest, Member, Peers},
    rate_limit::{RateLimiter, Totals},
};

use crate::{at, customer};

const RATE: u64 = 1_000;
const BURST: u64 = 4_000;

fn rate_limiter(customer: &Arc<Customer>) -> RateLimiter {
    let mut rate_limiter = RateLimiter::new(at(0));
    rate_limiter.record_registered(None);
    rate_limiter.update_customers(at(0), std::iter::once(customer));
    rate_limiter
}

fn digest(name: &str, serial: u64, rate_limiter: &mut RateLimiter, now: u64) -> Digest {
    let Totals { spent, left, refused } = rate_limiter.take_totals(at(now));
    Digest { name: name.into(), incarnation: 1, serial, spent, left, refused, ..Digest::default() }
}

#[test]
fn a_customer_without_a_rate_is_not_limited() {
    let free = Arc::new(customer("free", 0, 0));
    assert_eq!(rate_limiter(&free).spend(at(1), "free", 1 << 30), Ok(()));
}

#[test]
fn the_retry_delay_is_the_time_until_the_tokens_are_refilled() {
    let faculty = Arc::new(customer("faculty", RATE, BURST));
    let mut rate_limiter = rate_limiter(&faculty);
    assert_eq!(rate_limiter.spend(at(10_000), "faculty", BURST), Ok(()));
    assert_eq!(rate_limiter.spend(at(10_000), "faculty", 2_000), Err(Duration::from_secs(2)));
    assert_eq!(rate_limiter.spend(at(12_000), "faculty", 2_000), Ok(()));
}

#[test]
fn a_request_larger_than_the_burst_needs_a_full_bucket_and_leaves_a_debt() {
    let faculty = Arc::new(customer("faculty", RATE, BURST));
    let mut rate_limiter = rate_limiter(&faculty);
    assert_eq!(rate_limiter.spend(at(10_000), "faculty", 2 * BURST), Ok(()));
    assert!(rate_limiter.spend(at(13_000), "faculty", 1).is_err());
    assert_eq!(rate_limiter.spend(at(14_001), "faculty", 1), Ok(()));
}

#[test]
fn spending_of_a_peer_is_subtracted() {
    let faculty = Arc::new(customer("faculty", RATE, BURST));
    let (mut one, mut two) = (rate_limiter(&faculty), rate_limiter(&faculty));
    one.apply_digest(at(10_000), &digest("two", 1, &mut two, 10_000));
    assert_eq!(two.spend(at(10_000), "faculty", 3_000), Ok(()));
    one.apply_digest(at(10_000), &digest("two", 2, &mut two, 10_000));
    assert!(one.spend(at(10_000), "faculty", 1_001).is_err());
    assert_eq!(one.spend(at(10_000), "faculty", 1_000), Ok(()));
}

/// Guards against granting a customer a full burst whenever a replica restarts.
#[test]
fn a_new_process_takes_over_the_level_of_a_peer() {
    let faculty = Arc::new(customer("faculty", RATE, BURST));
    let mut old = rate_limiter(&faculty);
    assert_eq!(old.spend(at(10_000), "faculty", BURST), Ok(()));
    let mut new = RateLimiter::new(at(10_000));
    new.record_registered(None);
    new.update_customers(at(10_000), std::iter::once(&faculty));
    new.apply_digest(at(10_100), &digest("old", 1, &mut old, 10_000));
    assert!(new.spend(at(10_100), "faculty", 200).is_err());
}

/// Guards against partitioned replicas that each grant the full rate.
#[test]
fn partitioned_replicas_stay_within_the_rate_together() {
    let faculty = Arc::new(customer("faculty", RATE, BURST));
    let names = ["e-1", "e-2", "e-3", "e-4"];
    let mut replicas: Vec<(RateLimiter, Peers)> = names
        .iter()
        .map(|name| {
            let mut peers = Peers::new((*name).into());
            for other in names.iter().filter(|other| *other != name) {
                let address = "127.0.0.1:1".parse().expect("an address");
                peers.add(
                    at(0),
                    Member { name: (*other).into(), address, zone: "zone-a".into(), millicores: 0 },
                );
            }
            (rate_limiter(&faculty), peers)
        })
        .collect();
    let mut spent = 0;
    for now in (0..8_000).step_by(100) {
        for (rate_limiter, peers) in &mut replicas {
            rate_limiter.charge_silent_peers(at(now), peers);
            while rate_limiter.spend(at(now), "faculty", 50).is_ok() {
                spent += 50;
            }
        }
    }
    // Each replica grants its initial level, and the full rate until its peers count as silent.
    let limit = 4 * (BURST / 4 + RATE) + 8 * RATE;
    assert!(spent <= limit, "{spent} of {limit}");
}

/// The limit must hold for any interleaving of requests and digests.
#[test]
fn total_spending_stays_within_rate_and_burst() {
    fn property(steps: Vec<(u8, u8)>) -> TestResult {
        let faculty = Arc::new(customer("faculty", RATE, BURST));
        let mut replicas = [rate_limiter(&faculty), rate_limiter(&faculty), rate_limiter(&faculty)];
        let mut serials: BTreeMap<usize, u64> = BTreeMap::new();
        let mut spent = 0;
        let mut now = 0;
        for (sender, action) in steps {
            let sender = usize::from(sender) % replicas.len();
            now += 20;
            if action % 4 != 0 {
                spent += replicas[sender].spend(at(now), "faculty", 20).map_or(0, |()| 20);
                continue;
            }
            let serial = serials.entry(sender).or_default();
            *serial += 1;
            let digest = digest(["a", "b", "c"][sender], *serial, &mut replicas[sender], now);
            for (index, replica) in replicas.iter_mut().enumerate().filter(|(index, _)| *index != sender) {
                replica.apply_digest(at(now), &digest);
                let _ = index;
            }
        }
        // Allows for three initial levels, and for spending that no digest has reported yet.
        let limit = BURST + now * RATE / 1_000 + 3 * BURST / 4;
        TestResult::from_bool(spent <= limit)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 7))
        .tests(200)
        .quickcheck(property as fn(Vec<(u8, u8)>) -> TestResult);
}

/// Guards against equal retry delays, with which all but one of the callers would be refused again.
#[test]
fn refused_callers_get_successive_retry_delays() {
    let faculty = Arc::new(customer("faculty", RATE, BURST));
    let mut rate_limiter = rate_limiter(&faculty);
    assert_eq!(rate_limiter.spend(at(10_000), "faculty", BURST), Ok(()));
    let delays: Vec<u64> = (0..4)
        .map(|_| {
            rate_limiter.spend(at(10_000), "faculty", 1_000).expect_err("over the rate").as_millis() as u64
        })
        .collect();
    assert_eq!(delays, [1_000, 2_000, 3_000, 4_000]);
    for delay in delays {
        assert_eq!(rate_limiter.spend(at(10_000 + delay), "faculty", 1_000), Ok(()));
    }
}

/// Guards against a replica that overwrites its own spending with the higher level of a peer.
#[test]
fn a_new_replica_keeps_its_spending_when_it_takes_over_a_level() {
    let faculty = Arc::new(customer("faculty", RATE, BURST));
    let (mut one, mut two) = (rate_limiter(&faculty), rate_limiter(&faculty));
    assert_eq!(one.spend(at(0), "faculty", BURST / 4), Ok(()));
    let from_two = digest("two", 1, &mut two, 10);
    one.apply_digest(at(10), &from_two);
    let from_one = digest("one", 1, &mut one, 20);
    two.apply_digest(at(20), &from_one);
    assert!(one.spend(at(30), "faculty", 200).is_err());
    assert!(two.spend(at(30), "faculty", 200).is_err());
}

/// Guards against small requests that are refused because large ones keep the bucket empty.
#[test]
fn small_requests_are_admitted_while_large_ones_use_up_the_rate() {
    let faculty = Arc::new(customer("faculty", 47_000, 47_000));
    let mut rate_limiter = rate_limiter(&faculty);
    let (mut large, mut small, mut refused) = (0, 0, 0);
    for now in (5_000..15_000).step_by(20) {
        if rate_limiter.spend(at(now), "faculty", 5_600).is_ok() {
            large += 1;
        }
        if now % 60 == 0 {
            match rate_limiter.spend(at(now), "faculty", 200) {
                Ok(()) => small += 1,
                Err(_) => refused += 1,
            }
        }
    }
    assert!(refused <= 2, "{refused} of {} refused", small + refused);
    // The rate is still fully used.
    let used = large * 5_600 + small * 200;
    assert!((450_000..=517_000).contains(&used), "{used}");
}

/// Guards against replicas that overdraw a low bucket together between two digests.
#[test]
fn spending_from_a_low_bucket_makes_the_digest_urgent() {
    let mut rate_limiter = RateLimiter::new(at(0));
    rate_limiter.record_registered(None);
    rate_limiter.update_customers(at(0), [Arc::new(customer("faculty", 10_000, 10_000))].iter());
    assert!(rate_limiter.spend(at(10_000), "faculty", 4_000).is_ok());
    assert!(!rate_limiter.is_digest_urgent(), "the level is not low");
    assert!(rate_limiter.spend(at(10_000), "faculty", 3_000).is_ok());
    assert!(rate_limiter.is_digest_urgent());
    rate_limiter.take_totals(at(10_000));
    assert!(!rate_limiter.is_digest_urgent());
    // Small spending must not trigger extra digests.
    assert!(rate_limiter.spend(at(10_000), "faculty", 100).is_ok());
    assert!(!rate_limiter.is_digest_urgent());
}

#[test]
fn totals_of_many_customers_fit_datagrams_and_rotate() {
    let customers: Vec<_> =
        (0..21_000).map(|number| Arc::new(customer(&format!("customer-{number:05}"), RATE, BURST))).collect();
    let mut rate_limiter = RateLimiter::new(at(0));
    rate_limiter.record_registered(None);
    rate_limiter.update_customers(at(0), customers.iter());
    let mut reported = BTreeSet::new();
    for round in 0..60 {
        let spender = &customers[round * 349].name;
        rate_limiter.spend(at(10_000), spender, 7).expect("within the burst");
        let totals = rate_limiter.take_totals(at(10_000));
        let bytes: usize = totals.spent.keys().map(|name| name.len() + 20).sum();
        assert!(bytes < 30_000, "{bytes} bytes");
        assert!(totals.spent.contains_key(spender), "unreported spending comes first");
        reported.extend(totals.spent.into_keys());
    }
    assert_eq!(reported.len(), customers.len());
}

#[test]
fn a_customer_missing_from_a_digest_keeps_its_spending() {
    let faculty = Arc::new(customer("faculty", RATE, BURST));
    let (mut one, mut two) = (rate_limiter(&faculty), rate_limiter(&faculty));
    two.apply_digest(at(0), &digest("one", 1, &mut one, 0));
    one.spend(at(10_000), "faculty", 3_000).expect("within the burst");
    two.apply_digest(at(10_000), &digest("one", 2, &mut one, 10_000));
    let left = two.tokens_left(at(10_000))["faculty"];
    for serial in 3..6 {
        two.apply_digest(
            at(10_000),
            &Digest { spent: BTreeMap::new(), ..digest("one", serial, &mut one, 10_000) },
        );
    }
    two.apply_digest(at(10_000), &digest("one", 6, &mut one, 10_000));
    assert_eq!(two.tokens_left(at(10_000))["faculty"], left);
}

/// Guards against large requests that are refused as long as small ones keep the bucket low.
#[test]
fn large_requests_of_a_customer_above_its_rate_are_served_like_others() {
    const SMALLER: u64 = 5_000;
    const LARGER: u64 = 40_000;
    let (rate, burst) = (34_000, 120_000);
    let faculty = Arc::new(customer("faculty", rate, burst));
    let mut replicas: Vec<RateLimiter> = (0..4).map(|_| rate_limiter(&faculty)).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    // Requests to come: time, size and whether they were refused before.
    let mut arrivals: BTreeMap<(u64, u32), (u64, bool)> = BTreeMap::new();
    for number in 0..360 {
        let size = if number % 10 == 0 { LARGER } else { SMALLER };
        arrivals.insert((10_000 + u64::from(number) * 80, number), (size, false));
    }
    let (mut served, mut offered, mut spent) =
        (BTreeMap::from([(SMALLER, 0), (LARGER, 0)]), BTreeMap::new(), 0);
    let mut next_digest = 10_000;
    let mut serial = 0;
    while let Some(((now, number), (size, is_retry))) = arrivals.pop_first() {
        while next_digest <= now {
            serial += 1;
            let names = ["a", "b", "c", "d"];
            let digests: Vec<Digest> = names
                .iter()
                .zip(&mut replicas)
                .map(|(name, replica)| digest(name, serial, replica, next_digest))
                .collect();
            for (index, replica) in replicas.iter_mut().enumerate() {
                let others = digests.iter().enumerate().filter(|(other, _)| *other != index);
                others.for_each(|(_, digest)| replica.apply_digest(at(next_digest), digest));
            }
            next_digest += 100;
        }
        if !is_retry {
            *offered.entry(size).or_insert(0) += 1;
        }
        match replicas[rng.random_range(0..4)].spend(at(now), "faculty", size) {
            Ok(()) => {
                *served.entry(size).or_insert(0) += 1;
                spent += size;
            }
            Err(delay) if !is_retry => {
                let back = now + delay.as_millis() as u64;
                arrivals.insert((back, number), (size, true));
            }
            Err(_) => {}
        }
    }
    let share = |size: u64| f64::from(served[&size]) / f64::from(offered[&size]);
    let all = f64::from(served.values().sum::<i32>()) / f64::from(offered.values().sum::<i32>());
    assert!(share(LARGER) >= all / 2.0, "{} of the large ones, {all} of all", share(LARGER));
    assert!(share(SMALLER) >= all / 2.0, "{} of the small ones, {all} of all", share(SMALLER));
    let seconds = 36;
    assert!(spent <= burst + rate * seconds, "{spent}");
    assert!(spent >= rate * 28 * 9 / 10, "{spent}");
}
