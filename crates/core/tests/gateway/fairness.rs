//! Tests of customers' shares in scarce memory.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use quickcheck::{Gen, QuickCheck};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tarragonhill_core::{
    Time,
    gateway::{
        catalog::{Catalog, Kind, Limits, Route, Service},
        completion::Completion,
        digest::{Digest, Member, Share},
        directory::Stage,
        fairness::{Change, Claim, Fairness, Holding, Holdings, Owner, Waiter, Weights, divide},
        forecast::Size,
        health::Outcome,
        load::{Lease, Loads},
        mechanism::{Mechanism, Mechanisms},
        order::{Urgency, Waiting},
        queue::Verdict,
        state::{Listing, State},
    },
};

use crate::{
    at, customer, endpoint, engine,
    fleet::{Fleet, Plan, Trouble},
    position, route, row,
};

fn owner(customer: &str) -> Owner {
    Owner { service: "drafting".into(), customer: customer.into() }
}

/// Returns a configuration with customers of these rates.
fn catalog(rates: &[(&str, u64)], priorities: &[u8]) -> Arc<Catalog> {
    let mut catalog = Catalog::new(1, Limits::default());
    for (index, priority) in priorities.iter().enumerate() {
        let prefix = format!("/{index}/");
        catalog.add_route(Route { priority: *priority, ..route(&prefix, Kind::Streaming) });
    }
    catalog.add_service(Service { name: "drafting".into(), engine: Some(engine()), warmup: None });
    for (name, rate) in rates {
        catalog.add_customer(customer(name, *rate, *rate), [format!("key-{name}").into()]);
    }
    Arc::new(catalog)
}

#[test]
fn memory_is_divided_max_min_by_weight() {
    /// Memory, demands with weights, and shares.
    type Case<'a> = (u64, &'a [(u64, f64)], &'a [u64]);
    let cases: [Case<'_>; 7] = [
        (90, &[(100, 1.0), (100, 1.0), (100, 1.0)], &[30, 30, 30]),
        (90, &[(10, 1.0), (100, 1.0), (100, 1.0)], &[10, 40, 40]),
        (90, &[(100, 2.0), (100, 1.0)], &[60, 30]),
        (90, &[(20, 8.0), (100, 1.0), (50, 1.0)], &[20, 35, 35]),
        (90, &[(20, 1.0), (30, 1.0)], &[20, 30]),
        (90, &[(100, 0.0), (50, 1.0), (100, f64::NAN)], &[20, 50, 20]),
        (90, &[], &[]),
    ];
    for (memory, claims, expected) in cases {
        let claims: Vec<Claim> =
            claims.iter().map(|(demand, weight)| Claim { demand: *demand, weight: *weight }).collect();
        assert_eq!(divide(memory, &claims), expected, "{memory} among {claims:?}");
    }
}

/// Guards against configurations with customers without a rate, and customers that are not configured.
#[test]
fn customers_without_a_rate_weigh_as_much_as_the_mean() {
    let some = catalog(&[("large", 300), ("small", 100), ("none", 0)], &[1]);
    let weights = Weights::of(&some);
    assert_eq!(["large", "small", "none", ""].map(|name| weights.get(name)), [300.0, 100.0, 200.0, 200.0]);
    let none = catalog(&[("one", 0), ("other", 0)], &[1]);
    assert!(Weights::of(&none).get("one") == Weights::of(&none).get(""));
}

/// Guards against sums that drift when runs end, are released twice, or their endpoints restart or are removed.
#[test]
fn the_sums_by_customer_are_those_of_the_runs() {
    fn sums_match(actions: Vec<(u8, u8, u16)>) -> bool {
        let mut loads = Loads::default();
        let mut leases: Vec<(Lease, Owner)> = Vec::new();
        for (at_ms, (kind, number, memory)) in (0..).zip(actions) {
            let pick = usize::from(number) % leases.len().max(1);
            match kind % 4 {
                0 | 1 => {
                    let share = Share { running: 1, memory: memory.into(), ..Share::default() };
                    let owner = owner(["", "small", "large"][usize::from(number % 3)]);
                    let endpoint = format!("d-{}", number % 5).into();
                    leases.push((
                        loads.acquire_run(at(at_ms), &endpoint, share, None, Some(owner.clone())),
                        owner,
                    ));
                }
                2 if !leases.is_empty() => {
                    let (lease, _) = leases.remove(pick);
                    let outcome = if memory % 2 == 0 { Outcome::Abandoned } else { Outcome::Unreachable };
                    loads.release(at(at_ms), &lease, outcome);
                    loads.remove_if_idle(&lease.endpoint);
                }
                _ => leases.iter().for_each(|(lease, _)| loads.record_tokens(lease, 7)),
            }
        }
        let mut expected = Holdings::default();
        leases.iter().for_each(|(lease, owner)| expected.add(owner, lease.share.memory));
        *loads.holdings() == expected
    }
    let random = Gen::from_size_and_seed(60, 58);
    QuickCheck::new().rng(random).tests(300).quickcheck(sums_match as fn(Vec<(u8, u8, u16)>) -> bool);
}

/// Returns a digest with what customers hold and want, and the urgency of what waits.
fn news(holdings: &[(&str, u64, u64)], waiting: &[(u8, u64)]) -> Digest {
    let holdings = holdings.iter().map(|(name, held, wanted)| {
        let holding = Holding { held: *held, wanted: *wanted };
        ((*name).into(), holding)
    });
    let urgency = |priority| Urgency { is_late: false, priority };
    let waiting = waiting.iter().map(|(priority, memory)| {
        (urgency(*priority), Waiting { count: 1, memory: *memory, due_in: Duration::ZERO })
    });
    let mut digest = Digest { name: "other".into(), ..Digest::default() };
    digest.holdings.insert("drafting".into(), holdings.collect());
    if waiting.len() > 0 {
        digest.waiting.insert("drafting".into(), waiting.collect());
    }
    digest
}

/// Returns a replica whose customer "large" holds 50,000 tokens, after news of a peer at 0 ms.
fn informed(digest: &Digest) -> (Fairness, Holdings) {
    let mut held = Holdings::default();
    held.add(&owner("large"), 50_000);
    let mut fairness = Fairness::default();
    fairness.apply_digest(at(0), digest);
    fairness.update(at(0), &"drafting".into(), &held, &catalog(&[("large", 100), ("small", 100)], &[1]));
    (fairness, held)
}

/// Guards against memory left free for a replica that is cut off, and for requests that come after one's own.
#[test]
fn only_fresh_news_of_requests_at_least_as_urgent_claims_memory() {
    let urgency = |priority| Urgency { is_late: false, priority };
    let cases: [(Digest, u64, u8, u64); 7] = [
        (news(&[("small", 0, 6_000)], &[]), 100, 1, 6_000),
        (news(&[("small", 0, 6_000)], &[]), 1_000, 1, 0),
        (news(&[("large", 9_000, 6_000), ("small", 0, 9_000)], &[]), 100, 1, 9_000),
        (news(&[("small", 9_000, 0)], &[]), 100, 1, 0),
        (news(&[("small", 0, 6_000)], &[(2, 6_000)]), 100, 1, 0),
        (news(&[("small", 0, 6_000)], &[(0, 2_000), (2, 4_000)]), 100, 1, 2_000),
        (news(&[("small", 0, u64::MAX), ("", u64::MAX, u64::MAX)], &[]), 100, 1, u64::MAX),
    ];
    for (digest, now_ms, priority, expected) in cases {
        let (fairness, _) = informed(&digest);
        let claimed = fairness.claimed_elsewhere(at(now_ms), "drafting", urgency(priority));
        assert_eq!(claimed, expected, "{digest:?} at {now_ms} ms");
    }
}

#[test]
fn changes_are_told_once() {
    let (mut fairness, held) = informed(&news(&[("small", 0, 6_000)], &[]));
    let over = Change { owner: owner("large"), is_over: true, held: 50_000, share: 44_000 };
    assert_eq!(fairness.take_changes(), std::slice::from_ref(&over));
    let catalog = catalog(&[("large", 100), ("small", 100)], &[1]);
    fairness.update(at(100), &"drafting".into(), &held, &catalog);
    fairness.expire(at(4_900));
    assert_eq!(fairness.take_changes(), []);
    fairness.expire(at(5_200));
    assert_eq!(fairness.take_changes(), [Change { is_over: false, ..over }]);
}

#[test]
fn reports_are_bounded_and_end_with_the_shortage() {
    let mut held = Holdings::default();
    (1..200).for_each(|number| held.add(&owner(&format!("c-{number}")), number));
    let mut fairness = Fairness::default();
    assert!(fairness.report(at(0), &held).is_empty());
    fairness.set_waiting(at(0), [Waiter { owner: owner("late"), memory: 5, is_late: true }]);
    let report = fairness.report(at(100), &held);
    let least = report["drafting"].values().map(|holding| holding.held).min();
    assert_eq!((report["drafting"].len(), least), (64, Some(136)));
    fairness.set_waiting(at(200), []);
    assert!(fairness.report(at(2_100), &held).is_empty());
}

/// Returns a replica at which one run of 6,000 tokens fits and whose customer "large" holds all other memory.
fn crowded() -> State<u32> {
    let mut state = Fleet::new(Plan::calm(1), DIGEST_MS, prepare).into_states().remove(0);
    state.tick(at(0));
    for (tag, tokens) in (0..).zip([58_000, 58_000, 58_000, 50_000]) {
        state.enqueue(at(0), completion(at(0), "large", tokens), tag);
    }
    assert_eq!(state.dispatch(at(0)).len(), 4);
    state
}

#[test]
fn free_memory_is_left_to_others_only_while_they_may_take_it() {
    /// What is held and wanted, what waits by priority, the time of the decision, and whether a run is placed.
    type Case<'a> = (&'a [(&'a str, u64, u64)], &'a [(u8, u64)], u64, bool);
    let cases: [Case<'_>; 6] = [
        (&[("a", 0, 6_000)], &[], 100, false),
        (&[("a", 0, 6_000)], &[(1, 6_000)], 100, false),
        (&[("a", 0, 6_000)], &[(2, 6_000)], 100, true),
        (&[("a", 0, 3_000)], &[], 100, true),
        (&[("large", 0, 6_000)], &[], 100, true),
        (&[("a", 0, 6_000)], &[], 800, true),
    ];
    for (holdings, waiting, now_ms, is_placed) in cases {
        let mut state = crowded();
        state.apply_digest(
            at(50),
            &Digest { serial: 1, ..news(holdings, waiting) },
            "127.0.0.1:8".parse().expect("an address"),
        );
        state.enqueue(at(50), completion(at(0), "large", 6_000), 9);
        assert_eq!(
            state.dispatch(at(now_ms)).len() == 1,
            is_placed,
            "{holdings:?} {waiting:?} at {now_ms} ms"
        );
    }
}

/// Guards against memory that stays idle in a fleet whose digests pass through relays.
#[test]
fn free_memory_is_left_to_others_only_where_replicas_hear_each_other_directly() {
    for (peers, is_placed) in [(1, false), (7, false), (8, true)] {
        let mut state = crowded();
        let address = "127.0.0.1:8".parse().expect("an address");
        for index in 1..peers {
            let name = format!("peer-{index}").into();
            state.add_member(at(40), Member { name, address, zone: "zone-a".into(), millicores: 90 });
        }
        state.apply_digest(at(50), &Digest { serial: 1, ..news(&[("a", 0, 6_000)], &[]) }, address);
        state.enqueue(at(50), completion(at(0), "large", 6_000), 9);
        assert_eq!(state.dispatch(at(100)).len() == 1, is_placed, "{peers} peers");
    }
}

/// Time of a step of the model; digests are exchanged in every fourth.
const STEP_MS: u64 = 25;
const DIGEST_MS: u64 = 4 * STEP_MS;
const ENDPOINTS: usize = 4;
const RUN_MS: u64 = 3_000;

/// Customer with its rate and requests a second.
type Demand = (&'static str, u64, f64);

/// "surging" asks for six times its usual.
const DEMANDS: [Demand; 8] = [
    ("surging", 2_000, 12.0),
    ("a", 1_000, 1.0),
    ("b", 1_000, 1.0),
    ("c", 1_000, 1.0),
    ("d", 1_000, 1.0),
    ("e", 1_000, 1.0),
    ("", 0, 1.0),
    ("long", 1_000, 0.4),
];

const WEIGHTED: [Demand; 2] = [("heavy", 3_000, 12.0), ("light", 1_000, 12.0)];

/// Gives a replica its configuration and endpoints.
type Prepare = fn(&mut State<u32>, Time);

fn prepare(state: &mut State<u32>, now: Time) {
    prepare_for(state, now, &[0, 1]);
}

/// Prepares a replica for a service whose requests all have the same priority.
fn prepare_plain(state: &mut State<u32>, now: Time) {
    prepare_for(state, now, &[1]);
}

fn prepare_for(state: &mut State<u32>, now: Time, priorities: &[u8]) {
    let known = DEMANDS.iter().chain(&WEIGHTED).filter(|(name, ..)| !name.is_empty());
    let configured: Vec<(&str, u64)> = known.map(|(name, rate, _)| (*name, *rate)).collect();
    state.apply_catalog(now, position(10), catalog(&configured, priorities));
    let decode = |index| row(index as u64 + 1, endpoint(&format!("d-{index}"), Stage::Decode));
    let rows = (0..ENDPOINTS).map(decode).collect();
    state.apply_listing(now, Listing { position: position(9), is_complete: true, rows });
}

fn prepare_without(state: &mut State<u32>, now: Time) {
    prepare(state, now);
    state.set_mechanisms(Mechanisms::without([Mechanism::Fairness]));
}

/// Prepares a replica that uses no mechanism, although the service calls for some.
fn prepare_without_any(state: &mut State<u32>, now: Time) {
    prepare(state, now);
    state.set_mechanisms(Mechanisms::without(Mechanism::all()));
}

/// Prepares a replica that uses no mechanism but fair shares.
fn prepare_alone(state: &mut State<u32>, now: Time) {
    prepare(state, now);
    let others = Mechanism::all().filter(|mechanism| *mechanism != Mechanism::Fairness);
    state.set_mechanisms(Mechanisms::without(others));
}

/// What became of a customer's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Served {
    asked: u32,
    /// Placed in time for their target.
    on_time: u32,
    placed: u32,
}

impl Served {
    fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.on_time += other.on_time;
        self.placed += other.placed;
    }

    fn on_time_share(self) -> f64 {
        f64::from(self.on_time) / f64::from(self.asked)
    }

    fn placed_share(self) -> f64 {
        f64::from(self.placed) / f64::from(self.asked)
    }
}

#[derive(Debug, Default, PartialEq)]
struct Outcomes {
    /// Time, number of the request and endpoint.
    placements: Vec<(u64, u32, Arc<str>)>,
    by_replica: BTreeMap<usize, u32>,
    served: BTreeMap<&'static str, Served>,
    yields: u64,
    /// Mean memory in use, as a part of all.
    used: f64,
}

impl Outcomes {
    /// Returns the sum over all customers but "surging".
    fn others(&self) -> Served {
        let others = self.served.iter().filter(|(name, _)| **name != "surging");
        others.fold(Served::default(), |mut sum, (_, one)| {
            sum.add(*one);
            sum
        })
    }
}

fn completion(now: Time, customer: &str, tokens: u64) -> Completion {
    Completion {
        service: "drafting".into(),
        customer: customer.into(),
        size: Size { prompt: tokens, expected_output: 0, max_output: 0 },
        waiting_since: now,
        events: 0,
        deadline: now.plus(Duration::from_secs(14)),
        ttft_target: Duration::from_millis(900),
        target_gap: Duration::from_millis(300),
        stall_timeout: Duration::from_millis(3_600),
        priority: 1,
        avoid: Vec::new(),
        software_version: None,
        suspects: Arc::default(),
    }
}

/// Plays a day on which requests arrive at random replicas, Endpoints refuse runs that don't fit, which are
/// queued again.
fn play(plan: Plan, seed: u64, demands: &[Demand], prepare: Prepare) -> Outcomes {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let replicas = plan.replicas;
    let mut fleet = Fleet::new(plan, DIGEST_MS, prepare);
    let mut requests: Vec<(usize, Completion)> = Vec::new();
    let mut used: BTreeMap<Arc<str>, u64> = BTreeMap::new();
    let mut runs: Vec<(u64, usize, Lease)> = Vec::new();
    let mut outcomes = Outcomes::default();
    let steps = 30_000 / STEP_MS;
    for now_ms in (0..30_000).step_by(STEP_MS as usize) {
        let now = at(now_ms);
        if now_ms.is_multiple_of(DIGEST_MS) {
            fleet.step(now_ms);
        }
        let mut states: Vec<_> = fleet.alive().map(|(_, replica)| &mut replica.state).collect();
        for (_, replica, lease) in runs.extract_if(.., |(end_ms, ..)| *end_ms <= now_ms) {
            *used.entry(lease.endpoint.clone()).or_default() -= lease.share.memory;
            states[replica].record_end(now, &lease, Outcome::Abandoned);
        }
        for (index, (name, _, per_second)) in demands.iter().enumerate() {
            if random.random::<f64>() < per_second * STEP_MS as f64 / 1_000.0 {
                let tokens = if *name == "long" { 12_000 } else { random.random_range(4_000..8_000) };
                let completion = completion(now, name, tokens);
                let replica = random.random_range(0..replicas);
                states[replica].enqueue(now, completion.clone(), requests.len() as u32);
                requests.push((index, completion));
                outcomes.served.entry(name).or_default().asked += 1;
            }
        }
        for turn in 0..replicas {
            let replica = (turn + (now_ms / STEP_MS) as usize) % replicas;
            let state = &mut states[replica];
            for (entry, verdict) in state.dispatch(now) {
                let Verdict::Placed(pair) = verdict else { continue };
                let lease = pair.decode.lease;
                let used = used.entry(lease.endpoint.clone()).or_default();
                let (index, completion) = &requests[entry.tag as usize];
                if *used + lease.share.memory > engine().memory {
                    state.record_end(now, &lease, Outcome::Full);
                    state.enqueue(now, completion.clone(), entry.tag);
                    continue;
                }
                *used += lease.share.memory;
                outcomes.placements.push((now_ms, entry.tag, lease.endpoint.clone()));
                *outcomes.by_replica.entry(replica).or_default() += 1;
                runs.push((now_ms + RUN_MS, replica, lease));
                let served = outcomes.served.entry(demands[*index].0).or_default();
                served.placed += 1;
                served.on_time += u32::from(!entry.is_late(now));
            }
        }
        let all = engine().memory * ENDPOINTS as u64;
        outcomes.used += used.values().sum::<u64>() as f64 / all as f64 / steps as f64;
    }
    outcomes.yields = fleet.alive().map(|(_, replica)| replica.state.fairness().yields()).sum();
    outcomes
}

const SEEDS: [u64; 3] = [1, 2, 3];

/// Plays a day for each seed, and returns the sums.
fn play_all(plan: &Plan, demands: &[Demand], prepare: Prepare) -> Outcomes {
    let mut sum = Outcomes::default();
    for seed in SEEDS {
        let outcomes = play(plan.clone(), seed, demands, prepare);
        for (name, served) in outcomes.served {
            sum.served.entry(name).or_default().add(served);
        }
        for (replica, placed) in outcomes.by_replica {
            *sum.by_replica.entry(replica).or_default() += placed;
        }
        sum.placements.extend(outcomes.placements);
        sum.yields += outcomes.yields;
        sum.used += outcomes.used / SEEDS.len() as f64;
    }
    sum
}

/// Guards against customers that are made late or starve when another one asks for six times its usual, also while replicas
/// are cut off from the others, which neither take all nor starve.
#[test]
fn a_surging_customer_does_not_make_others_late() {
    let cut = Trouble::Cut { from_ms: 8_000, until_ms: 22_000 };
    let partitioned = Plan { troubles: vec![(0, cut), (3, cut)], ..Plan::calm(6) };
    for (plan, least_gain) in [(Plan::calm(1), 0.2), (Plan::calm(6), 0.12), (partitioned, 0.08)] {
        let with = play_all(&plan, &DEMANDS, prepare);
        let without = play_all(&plan, &DEMANDS, prepare_without);
        let gain = with.others().on_time_share() - without.others().on_time_share();
        assert!(gain > least_gain, "{gain:.3} with {plan:?}");
        assert!(with.used > without.used - 0.02, "{:.3} {:.3}", with.used, without.used);
        let all = with.served.values().fold(Served::default(), |mut sum, one| {
            sum.add(*one);
            sum
        });
        for (name, served) in &with.served {
            let share = served.placed_share() / all.placed_share();
            assert!(share > 0.5, "{name:?} is served {share:.2} as often as all");
        }
        let mean = all.placed / plan.replicas as u32;
        assert!(with.by_replica.values().all(|placed| placed * 2 > mean), "{:?}", with.by_replica);
        assert_eq!(without.yields, 0);
    }
}

#[test]
fn customers_get_memory_by_weight() {
    let ratio = |prepare| {
        let served = play_all(&Plan::calm(6), &WEIGHTED, prepare).served;
        f64::from(served["heavy"].placed) / f64::from(served["light"].placed)
    };
    let (with, without) = (ratio(prepare), ratio(prepare_without));
    assert!((1.7..3.4).contains(&with) && (0.8..1.2).contains(&without), "{with:.2}, without {without:.2}");
}

#[test]
fn decisions_are_equal_where_nobody_waits_or_nothing_calls_for_shares() {
    let calm = Plan::calm(4);
    let few = DEMANDS.map(|(name, rate, per_second)| (name, rate, per_second * 0.3));
    let idle = play(calm.clone(), 1, &few, prepare);
    assert_eq!(idle, play(calm.clone(), 1, &few, prepare_without));
    let off = play(calm.clone(), 1, &DEMANDS, prepare_without_any);
    assert_eq!(off, play(calm.clone(), 1, &DEMANDS, prepare_plain));
    assert_ne!(off, play(calm, 1, &DEMANDS, prepare_alone));
}
