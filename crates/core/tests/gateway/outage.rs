//! Tests of what replicas do about endpoints that have ended.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use tarragonhill_core::gateway::{
    catalog::{Catalog, Kind, Limits, Route, Service},
    cold::Tolerance,
    completion::Completion,
    digest::Member,
    directory::{Endpoint, Stage},
    forecast::Size,
    health::Outcome,
    load::Lease,
    mechanism::{Mechanism, Mechanisms},
    outage::{Access, Event, Notice, Outages, Reason, Sign},
    queue::Verdict,
    state::{Identity, Listing, State},
};

use crate::{at, endpoint, engine, fleet::RETRIES, position, route, row};

const MEMORY: u64 = 5_000;

/// Returns an endpoint with an address of its own.
pub fn listed(id: &str, stage: Stage) -> Endpoint {
    let port = id.bytes().fold(0, |port: u16, byte| port.wrapping_mul(31).wrapping_add(byte.into()));
    Endpoint { address: ([127, 0, 0, 1], port).into(), ..endpoint(id, stage) }
}

/// Returns the replicas of a fleet that know each other, with `decodes` decode endpoints.
pub fn fleet(replicas: usize, decodes: u64, mechanisms: &Mechanisms) -> Vec<State<u32>> {
    let mut catalog = Catalog::new(1, Limits::default());
    catalog.add_route(route("/a/", Kind::Streaming));
    catalog.add_route(Route { name: "s".into(), priority: 5, ..route("/b/", Kind::Streaming) });
    catalog.add_service(Service { name: "drafting".into(), engine: Some(engine()), warmup: None });
    let catalog = Arc::new(catalog);
    let new = |index: usize| {
        let identity = Identity {
            name: format!("r-{index}").into(),
            zone: "zone-a".into(),
            incarnation: 1,
            address: ([127, 0, 0, 1], 7_000 + index as u16).into(),
            millicores: 1_000,
        };
        let state = State::new(identity, RETRIES, Tolerance::default(), at(0));
        let mut state = state.with_mechanisms(mechanisms.clone());
        state.apply_catalog(at(0), position(10), catalog.clone());
        let prefills = (1..=4).map(|index| (index, format!("p-{index}"), Stage::Prefill));
        let decodes = (1..=decodes).map(|index| (10 + index, format!("d-{index}"), Stage::Decode));
        let rows = prefills.chain(decodes).map(|(version, id, stage)| row(version, listed(&id, stage)));
        let rows = rows.collect();
        state.apply_listing(at(0), Listing { position: position(100), is_complete: true, rows });
        state.tick(at(0));
        state
    };
    let mut fleet: Vec<State<u32>> = (0..replicas).map(new).collect();
    exchange(&mut fleet, 0);
    fleet
}

/// Has all replicas exchange their digests.
pub fn exchange(fleet: &mut [State<u32>], now: u64) {
    for sender in 0..fleet.len() {
        let (digest, _) = fleet[sender].next_digest(at(now));
        let from = ([127, 0, 0, 1], 7_000 + sender as u16).into();
        for (index, replica) in fleet.iter_mut().enumerate() {
            if index != sender {
                replica.apply_digest(at(now), &digest, from);
            }
        }
    }
    fleet.iter_mut().for_each(|replica| drop(replica.tick(at(now))));
}

pub fn completion(now: u64, avoid: &[Arc<str>]) -> Completion {
    Completion {
        service: "drafting".into(),
        customer: "faculty".into(),
        size: Size { prompt: MEMORY, expected_output: 0, max_output: 0 },
        waiting_since: at(now),
        events: 0,
        deadline: at(now + 14_000),
        ttft_target: Duration::from_millis(900),
        target_gap: Duration::from_millis(300),
        stall_timeout: Duration::from_millis(3_600),
        priority: 1,
        avoid: avoid.to_vec(),
        software_version: None,
        suspects: Arc::default(),
    }
}

/// Places a run; returns its lease, or `None` if it stays queued, from where it is removed.
pub fn place(state: &mut State<u32>, now: u64, avoid: &[Arc<str>]) -> Option<Lease> {
    state.enqueue(at(now), completion(now, avoid), 1);
    let placed = state.dispatch(at(now)).pop();
    state.retain_queued(|_| false);
    let Verdict::Placed(pair) = placed?.1 else { return None };
    if let Some(prefill) = pair.prefill {
        state.record_end(at(now), &prefill.lease, Outcome::Abandoned);
    }
    Some(pair.decode.lease)
}

/// Makes a replica notice the end of an endpoint by a request of its own.
fn notice(state: &mut State<u32>, now: u64, id: &str) {
    let others: Vec<Arc<str>> = state.directory().all().map(|endpoint| endpoint.id.clone()).collect();
    let others: Vec<Arc<str>> = others.into_iter().filter(|other| &**other != id).collect();
    let lease = place(state, now, &others).expect("a placement");
    state.record_end(at(now), &lease, Outcome::Unreachable);
}

fn out(fleet: &[State<u32>], id: &str) -> usize {
    fleet.iter().filter(|replica| replica.outages().is_out(id)).count()
}

/// Guards against a crash of many endpoints that each replica finds out alone, with all its requests.
#[test]
fn a_crash_is_noticed_once_for_all() {
    let has_ended =
        |now: u64, lease: &Lease| now >= 2_000 && ["d-1", "d-2", "d-3", "d-4"].contains(&&*lease.endpoint);
    let attempts = |mechanisms: &Mechanisms, every: usize| {
        let mut fleet = fleet(8, 16, mechanisms);
        let (mut failed, mut most, mut running) = (0, 0, VecDeque::new());
        for (step, now) in (1_000..4_000).step_by(12).enumerate() {
            while let Some((_, index, lease)) = running.pop_front_if(|(until, _, _)| *until <= now) {
                let outcome = if has_ended(now, &lease) { Outcome::Failed } else { Outcome::Abandoned };
                let replica: &mut State<u32> = &mut fleet[index];
                replica.record_end(at(now), &lease, outcome);
            }
            let index = step % fleet.len();
            let mut avoid: Vec<Arc<str>> = Vec::new();
            while let Some(lease) = place(&mut fleet[index], now, &avoid) {
                if !has_ended(now, &lease) {
                    fleet[index].record_first_event(at(now), &lease);
                    running.push_back((now + 1_600, index, lease));
                    break;
                }
                avoid.push(lease.endpoint.clone());
                fleet[index].record_end(at(now), &lease, Outcome::Unreachable);
            }
            failed += avoid.len();
            most = most.max(avoid.len());
            if step % every == 0 {
                exchange(&mut fleet, now);
            }
        }
        (failed, most)
    };
    let without = |every| attempts(&Mechanisms::without([Mechanism::Outages]), every).0;
    // Digests each 24 ms, 96 ms and 2 s.
    for (every, factor) in [(2, 2.0), (8, 2.0), (166, 1.5)] {
        let (with, most) = attempts(&Mechanisms::default(), every);
        let before = without(every);
        assert!(with as f64 * factor < before as f64, "{with} failed attempts, {before} without notices");
        assert!(most <= 2, "a request tried {most} endpoints that had ended");
    }
}

/// Guards against an endpoint that stays out although it is back, whatever shows it.
#[test]
fn an_endpoint_returns_with_any_sign_of_life() {
    for sign in [Sign::Written, Sign::Replaced, Sign::Answered, Sign::Lapsed] {
        let mut fleet = fleet(3, 2, &Mechanisms::default());
        notice(&mut fleet[0], 1_000, "d-1");
        assert!(fleet[0].next_digest(at(1_000)).0.is_urgent);
        exchange(&mut fleet, 1_010);
        assert_eq!(out(&fleet, "d-1"), 3);
        let write = |started_ms, version| {
            let mut row = row(version, listed("d-1", Stage::Decode));
            row.endpoint = row.endpoint.map(|one| Arc::new(Endpoint { started_ms, ..(*one).clone() }));
            Listing { position: position(version), is_complete: false, rows: vec![row] }
        };
        match sign {
            // A write that was made before the end may arrive after it.
            Sign::Written => {
                for (now, expected) in [(1_200, 3), (2_500, 0)] {
                    for replica in &mut fleet {
                        replica.apply_listing(at(now), write(1, now));
                    }
                    assert_eq!(out(&fleet, "d-1"), expected, "at {now}");
                }
            }
            Sign::Replaced => {
                fleet.iter_mut().for_each(|replica| drop(replica.apply_listing(at(1_100), write(2, 200))));
            }
            Sign::Answered => {
                let first = (1_300..2_000).step_by(100).find_map(|now| {
                    fleet.iter_mut().find_map(|replica| {
                        Some((now, place(replica, now, &["d-2".into()])?, replica as *const _ as usize))
                    })
                });
                let (now, lease, _) = first.expect("a try");
                let tries = fleet.iter_mut().filter_map(|replica| place(replica, now, &["d-2".into()]));
                assert_eq!(tries.count(), 0, "one try at a time");
                fleet.iter_mut().for_each(|replica| replica.record_first_event(at(now), &lease));
                exchange(&mut fleet, now + 10);
            }
            _ => {
                for now in (1_100..8_000).step_by(100) {
                    exchange(&mut fleet, now);
                }
            }
        }
        assert_eq!(out(&fleet, "d-1"), 0, "{sign}");
    }
}

/// Guards against a cut link of one replica that takes an endpoint from all.
#[test]
fn an_endpoint_that_answers_others_stays_in_use() {
    let mut fleet = fleet(3, 2, &Mechanisms::default());
    let lease = place(&mut fleet[1], 900, &["d-2".into()]).expect("a placement");
    for now in (1_000..4_000).step_by(100) {
        if now % 1_000 == 0 {
            notice(&mut fleet[0], now, "d-1");
        }
        fleet[1].record_first_event(at(now + 1), &lease);
        exchange(&mut fleet, now + 20);
        assert!(!fleet[1].outages().is_out("d-1"));
        exchange(&mut fleet, now + 40);
        assert_eq!(out(&fleet, "d-1"), 0);
    }
    let events = fleet[2].take_outage_events();
    let outs = events.iter().filter(|event| matches!(event, Event::Out { .. })).count();
    assert!(outs <= 1, "the notice of a cut replica counted {outs} times");
    assert!(place(&mut fleet[2], 4_100, &["d-2".into()]).is_some());
}

/// Guards against replicas that are cut off and leave an endpoint idle, or all try it at once.
#[test]
fn others_try_late_and_spread() {
    let mut outages = Outages::default();
    outages.record_failure(at(0), &"own".into(), &endpoint("d-1", Stage::Decode), 1, Reason::Unreachable);
    let tries = |outages: &mut Outages, live: &[Member], preference| {
        outages.update(at(0), "own", live, |_| true);
        let due = (0..6_000).step_by(50);
        due.into_iter().find(|now| outages.access(at(*now), "d-1", preference) == Access::Try)
    };
    assert_eq!(tries(&mut outages, &[], 0.5), Some(250));
    let member = |index| Member {
        name: format!("r-{index}").into(),
        address: ([127, 0, 0, 1], 7).into(),
        zone: "zone-a".into(),
        millicores: 0,
    };
    let live: Vec<Member> = (0..64).map(member).collect();
    assert_eq!(tries(&mut outages, &live, 1.0), Some(3_000));
    assert_eq!(tries(&mut outages, &live, 0.0), Some(4_000));
}

/// Guards against a peer that is cut off from all endpoints and takes them from a replica that has sent nothing lately.
#[test]
fn hearsay_alone_does_not_empty_a_pool() {
    let mut fleet = fleet(2, 2, &Mechanisms::default());
    notice(&mut fleet[0], 1_000, "d-1");
    notice(&mut fleet[0], 1_000, "d-2");
    exchange(&mut fleet, 1_010);
    assert_eq!(out(&fleet[1..], "d-1") + out(&fleet[1..], "d-2"), 2);
    assert!(place(&mut fleet[1], 1_020, &[]).is_some());
    assert!(place(&mut fleet[0], 1_020, &[]).is_none());
}

/// Guards against notices in services that do not call for them: a state that ignores them decides like before.
#[test]
fn without_the_mechanism_notices_change_nothing() {
    let mechanisms = Mechanisms::without([Mechanism::Outages]);
    let mut fleet = fleet(2, 2, &mechanisms);
    notice(&mut fleet[0], 1_000, "d-1");
    let (mut digest, _) = fleet[0].next_digest(at(1_000));
    assert!(digest.outages.is_empty() && !digest.is_urgent);
    let notice = Notice { started_ms: 1, age: Duration::ZERO, is_over: false };
    digest.outages.insert("d-1".into(), notice);
    fleet[1].apply_digest(at(1_010), &digest, ([127, 0, 0, 1], 7_000).into());
    assert_eq!(out(&fleet, "d-1"), 0);
    assert!(place(&mut fleet[1], 1_020, &["d-2".into()]).is_some());
}

/// Guards against a request that tries each of many endpoints that have ended at the same time.
#[test]
fn a_request_that_met_two_ended_endpoints_waits_for_notices() {
    let mut fleet = fleet(1, 8, &Mechanisms::default());
    let (mut avoid, mut placed) = (Vec::new(), Vec::new());
    for now in (1_000..1_250).step_by(10) {
        if let Some(lease) = place(&mut fleet[0], now, &avoid) {
            avoid.push(lease.endpoint.clone());
            placed.push(now);
            fleet[0].record_end(at(now), &lease, Outcome::Unreachable);
        }
    }
    assert_eq!(placed, [1_000, 1_010, 1_110, 1_210]);
}
