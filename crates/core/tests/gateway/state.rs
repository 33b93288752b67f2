//! The entry's decisions together.

use std::{sync::Arc, time::Duration};

use tarragonhill_core::{
    gateway::{
        budget::Rule,
        catalog::{Catalog, Kind, Limits, Service},
        completion::Completion,
        digest::Digest,
        directory::Stage,
        forecast::{Observation, Size},
        health::Outcome,
        queue::{Entry, Verdict},
        state::{Admission, Identity, Listing, State},
    },
    refusal::Code,
};

use crate::{SMALL, Speed, at, customer, endpoint, engine, gone, route, row};

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

/// A completion whose run takes `memory` tokens.
fn completion(memory: u64) -> Completion {
    Completion {
        service: "drafting".into(),
        size: Size { prompt: memory, expected_output: 0, max_output: 0 },
        received: at(0),
        deadline: at(14_000),
        ttft_target: Duration::from_millis(900),
        gap: Duration::from_millis(300),
        silence: Duration::from_millis(3_600),
        priority: 1,
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
    state.line_up(at(0), completion(40_000), 1);
    state.line_up(at(0), completion(40_000), 2);
    let mut first = state.pump(at(10));
    assert_eq!(first.len(), 1);
    let Some((Entry { tag: 1, .. }, Verdict::Placed(place))) = first.pop() else {
        panic!("the first is placed")
    };
    assert!(state.pump(at(20)).is_empty());
    let reader = place.reader.expect("a prefill endpoint is there");
    state.ended(at(30), &reader.lease, Outcome::Abandoned);
    assert!(state.pump(at(35)).is_empty());
    state.ended(at(36), &place.run.lease, Outcome::Abandoned);
    assert!(matches!(&state.pump(at(40))[..], [(Entry { tag: 2, .. }, Verdict::Placed(_))]));
}

/// A burst keeps the only reader busy for half a second, and callers wait for it and come out late,
/// while decode endpoints have places free that could read a prompt between the tokens of their runs.
#[test]
fn a_decode_endpoint_reads_one_prompt_itself_while_the_readers_are_busy() {
    let mut state = serving();
    for tag in 0..8 {
        state.line_up(at(0), completion(4_000), tag);
    }
    let placed = state.pump(at(10));
    let pairs = placed.iter().filter_map(|(_, verdict)| match verdict {
        Verdict::Placed(pair) => Some(pair),
        Verdict::Expired => None,
    });
    let pairs: Vec<_> = pairs.collect();
    let own: Vec<_> = pairs.iter().filter(|pair| pair.reader.is_none()).collect();
    // The reader takes six, the decode endpoint reads one, the last waits for either.
    assert_eq!((pairs.len(), own.len()), (7, 1));
    let mut lease = own[0].run.lease.clone();
    state.answered(at(200), &lease);
    lease.clear_prefill();
    assert_eq!(state.pump(at(350)).len(), 1);
    state.ended(at(3_000), &lease, Outcome::Abandoned);
    assert_eq!(state.loads().get("d-1").map(|load| load.local.reading), Some(4_000));
}

/// A long prompt that a decode endpoint read itself would hold up its ten other runs for longer than
/// their callers' longest pause.
#[test]
fn a_long_prompt_waits_for_a_reader() {
    let mut state = serving();
    show(&mut state, 0, SMALL);
    for tag in 0..4 {
        state.line_up(at(0), completion(11_000), tag);
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
    state.line_up(at(0), completion(40_000), 1);
    assert_eq!(state.pump(at(10)).len(), 1);
    let (digest, _) = state.digest(at(20));
    assert_eq!(digest.shares.get("d-1").map(|share| share.memory), Some(40_000));

    let mut other = serving();
    let from = "127.0.0.1:8".parse().expect("an address");
    other.heard(at(30), &Digest { name: "first".into(), ..digest }, from);
    other.line_up(at(0), completion(40_000), 2);
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

/// A further customer's engines make a token in an eighth of the time, and their answers are as long as their
/// prompts. Forecasts of an engine that is known already lay past every deadline: idle endpoints turned four
/// callers in five away.
#[test]
fn idle_endpoints_refuse_nobody_whatever_the_engine() {
    let speeds = [
        SMALL,
        Speed { prompt_us: 2, first_ms: 15, token_us: 500, event_tokens: 1 },
        Speed { prompt_us: 18, first_ms: 30, token_us: 640, event_tokens: 72 },
        Speed { prompt_us: 180, first_ms: 400, token_us: 20_000, event_tokens: 4 },
    ];
    for speed in speeds {
        let mut state = serving();
        let answer = 10_000_000 / speed.token_us;
        let size = Size { prompt: 5_000, expected_output: answer, max_output: answer * 2 };
        for now in [0, 1_000] {
            let completion =
                Completion { size, received: at(now), deadline: at(now + 14_000), ..completion(0) };
            state.line_up(at(now), completion, 1);
            let placed = state.pump(at(now));
            let [(_, Verdict::Placed(pair))] = &placed[..] else { panic!("refused: {speed:?}") };
            state.ended(at(now), &pair.run.lease, Outcome::Abandoned);
            let reader = pair.reader.as_ref().expect("a reader");
            state.ended(at(now), &reader.lease, Outcome::Abandoned);
            show(&mut state, now, speed);
        }
    }
}

/// Has an entry see some requests at its endpoints.
fn show(state: &mut State<u32>, now: u64, speed: Speed) {
    let (reader, run) = (endpoint("p-1", Stage::Prefill), endpoint("d-1", Stage::Decode));
    let gap = Duration::from_micros(speed.token_us * speed.event_tokens);
    for _ in 0..20 {
        let took = Duration::from_micros(5_000 * speed.prompt_us);
        state.observed(at(now), &reader, Observation::Prefill { tokens: 5_000, took });
        let took = Duration::from_millis(speed.first_ms);
        state.observed(at(now), &run, Observation::FirstEvent { prompt: 5_000, took });
        state.observed(at(now), &run, Observation::Events { events: 10, span: gap * 10 });
        state.observed(
            at(now),
            &run,
            Observation::Completed { expected: 100 * speed.event_tokens, events: 100 },
        );
    }
    state.settle(at(now));
}

/// An answer is expected to take a minute at an engine that was seen, and its caller waits for fourteen
/// seconds. Placed, it would keep memory and be cut; told at once, the caller can ask for less.
#[test]
fn what_cannot_end_in_time_is_refused_at_once() {
    let mut state = serving();
    show(&mut state, 0, SMALL);
    let size = Size { prompt: 5_000, expected_output: 12_000, max_output: 12_000 };
    state.line_up(at(10), Completion { size, ..completion(0) }, 1);
    assert!(matches!(&state.pump(at(10))[..], [(_, Verdict::Expired)]));
    assert!(state.memory_free_after("drafting") > Duration::from_millis(1_000));
}

/// An entry that has just started has seen no request; what the others have seen comes with their digests.
#[test]
fn an_entry_that_starts_is_told_how_long_things_take() {
    let mut first = serving();
    show(&mut first, 0, SMALL);
    let told = (0..10).map(|turn| first.digest(at(turn * 100)).0).find(|digest| !digest.forecasts.is_empty());
    let told = Digest { name: "first".into(), ..told.expect("one digest in ten tells") };
    let mut other = serving();
    other.heard(at(1_000), &told, "127.0.0.1:8".parse().expect("an address"));
    assert_eq!(other.forecast("drafting"), first.forecast("drafting"));
}

/// A run ends a moment after its endpoint was dropped from the list. What it shows then would bring the
/// endpoint's record back, and nobody would ever drop it again: with endpoints that come and go all day, a
/// process grows until it is killed.
#[test]
fn what_runs_show_of_an_endpoint_that_is_gone_is_not_kept() {
    let mut state = serving();
    show(&mut state, 0, SMALL);
    let before = state.forecast("drafting");
    let listing = Listing { version: 10, whole: false, rows: vec![gone(10, "d-1")] };
    state.list(at(1_000), listing);
    show(&mut state, 1_000, Speed { token_us: 40_000, ..SMALL });
    state.settle(at(1_100));
    let after = state.forecast("drafting");
    assert_eq!(after.event_interval, None, "{before:?}");
}
