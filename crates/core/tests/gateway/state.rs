//! The entry's decisions together.

use std::{sync::Arc, time::Duration};

use tarragonhill_core::{
    gateway::{
        budget::Rule,
        catalog::{Catalog, Kind, Limits, Service},
        digest::Digest,
        directory::Stage,
        health::Outcome,
        line::{Verdict, Waiting},
        state::{Admission, Identity, Listing, State},
    },
    refusal::Code,
};

use crate::{at, customer, endpoint, engine, gone, route, row};

fn state() -> State<u32> {
    let identity = Identity {
        name: "own".into(),
        zone: "zone-a".into(),
        incarnation: 1,
        address: "127.0.0.1:7".parse().expect("an address"),
    };
    let retries = Rule { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };
    State::new(identity, retries, at(0))
}

fn catalog(version: u64, rate: u64) -> Arc<Catalog> {
    let mut catalog = Catalog::new(version, Limits::default());
    catalog.add_route(route("/a/", Kind::Streaming));
    catalog.add_service(Service { name: "drafting".into(), engine: Some(engine()) });
    catalog.add_customer(customer("faculty", rate, rate), ["key".into()]);
    Arc::new(catalog)
}

fn serving() -> State<u32> {
    let mut state = state();
    state.adopt(at(0), 10, catalog(1, 0));
    let rows = vec![row(1, endpoint("p-1", Stage::Prefill)), row(2, endpoint("d-1", Stage::Decode))];
    state.list(at(0), Listing { version: 2, whole: true, rows });
    state
}

fn waiting(tag: u32, memory: u64) -> Waiting<u32> {
    Waiting {
        tag,
        service: "drafting".into(),
        prompt: memory,
        expected: 0,
        memory,
        on_time: at(600),
        last_start: at(3_000),
        priority: 1,
        gap: Duration::from_millis(300),
        avoid: Vec::new(),
    }
}

/// The store answers a read with an older state, and the process would go back to a configuration
/// that the operator has replaced: withdrawn keys would work again.
#[test]
fn a_configuration_never_goes_back() {
    let mut state = state();
    assert!(state.adopt(at(0), 10, catalog(5, 0)));
    assert!(!state.adopt(at(1), 8, catalog(4, 0)));
    assert!(!state.adopt(at(1), 10, catalog(5, 0)));
    assert_eq!(state.catalog().map(|catalog| catalog.version()), Some(5));
    assert!(state.adopt(at(2), 11, catalog(6, 0)));
}

#[test]
fn a_run_waits_for_memory_and_gets_it_when_another_ends() {
    let mut state = serving();
    state.line_up(at(0), waiting(1, 40_000));
    state.line_up(at(0), waiting(2, 40_000));
    let mut first = state.pump(at(10));
    assert_eq!(first.len(), 1);
    let Some((Waiting { tag: 1, .. }, Verdict::Placed(place))) = first.pop() else {
        panic!("the first is placed")
    };
    assert!(state.pump(at(20)).is_empty());
    let reader = place.reader.expect("a prefill endpoint is there");
    state.ended(at(30), &reader.lease, Outcome::Abandoned);
    assert!(state.pump(at(35)).is_empty());
    state.ended(at(36), &place.run.lease, Outcome::Abandoned);
    assert!(matches!(&state.pump(at(40))[..], [(Waiting { tag: 2, .. }, Verdict::Placed(_))]));
}

/// A burst keeps the only reader busy for half a second, and callers wait for it and come out late,
/// while decode endpoints have places free that could read a prompt between the tokens of their runs.
#[test]
fn a_decode_endpoint_reads_one_prompt_itself_while_the_readers_are_busy() {
    let mut state = serving();
    for tag in 0..8 {
        state.line_up(at(0), waiting(tag, 4_000));
    }
    let placed = state.pump(at(10));
    let pairs = placed.iter().filter_map(|(_, verdict)| match verdict {
        Verdict::Placed(pair) => Some(pair),
        Verdict::Hopeless => None,
    });
    let pairs: Vec<_> = pairs.collect();
    let own: Vec<_> = pairs.iter().filter(|pair| pair.reader.is_none()).collect();
    // The reader takes six, the decode endpoint reads one, the last waits for either.
    assert_eq!((pairs.len(), own.len()), (7, 1));
    let mut lease = own[0].run.lease.clone();
    state.answered(at(200), &lease);
    lease.read();
    assert_eq!(state.pump(at(350)).len(), 1);
    state.ended(at(3_000), &lease, Outcome::Abandoned);
    assert_eq!(state.loads().get("d-1").map(|load| load.own.reading), Some(4_000));
}

/// A long prompt that a decode endpoint read itself would hold up its ten other runs for longer than
/// their callers' longest pause.
#[test]
fn a_long_prompt_waits_for_a_reader() {
    let mut state = serving();
    for tag in 0..4 {
        state.line_up(at(0), waiting(tag, 11_000));
    }
    assert_eq!(state.pump(at(10)).len(), 3);
}

#[test]
fn a_request_over_its_rate_is_refused_with_the_time_to_come_back() {
    let mut state = state();
    state.adopt(at(0), 10, catalog(1, 1_000));
    let faculty = Arc::new(customer("faculty", 1_000, 1_000));
    let admission =
        Admission { customer: Some(faculty), tokens: 1_000, service: "drafting".into(), fingerprint: 1 };
    assert!(state.admit(at(5_000), &admission).is_ok());
    let refusal = state.admit(at(5_500), &admission).expect_err("refused");
    assert_eq!((refusal.code, refusal.not_run), (Code::OverRate, true));
    assert_eq!(refusal.retry_after, Some(Duration::from_millis(500)));
    state.give_back(&admission);
    assert!(state.admit(at(5_500), &admission).is_ok());
}

#[test]
fn an_entry_tells_what_it_has_taken_and_hears_what_others_have() {
    let mut state = serving();
    state.line_up(at(0), waiting(1, 40_000));
    assert_eq!(state.pump(at(10)).len(), 1);
    let (digest, _) = state.digest(at(20));
    assert_eq!(digest.shares.get("d-1").map(|share| share.memory), Some(40_000));

    let mut other = serving();
    let from = "127.0.0.1:8".parse().expect("an address");
    other.heard(at(30), &Digest { name: "first".into(), ..digest }, from);
    other.line_up(at(0), waiting(2, 40_000));
    assert!(other.pump(at(40)).is_empty());
}

/// Crash suspects come from what happened to the endpoint, however the entry learns of it.
#[test]
fn an_endpoint_that_goes_right_after_breaking_off_has_crashed() {
    let mut state = serving();
    for (now, id) in [(0, "d-1"), (1_000, "p-1")] {
        state.broke(at(now), &id.into(), 77);
        let listing = Listing { version: 10 + now, whole: false, rows: vec![gone(10 + now, id)] };
        state.list(at(now + 500), listing);
    }
    let admission = Admission { customer: None, tokens: 1, service: "drafting".into(), fingerprint: 77 };
    let refusal = state.admit(at(2_000), &admission).expect_err("refused");
    assert_eq!(refusal.code, Code::Quarantined);
}
