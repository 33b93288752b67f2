//! Tests of explanations of where a request would go.

use std::{sync::Arc, time::Duration};

use tarragonhill_core::{
    Time,
    gateway::{
        budget::Rule,
        catalog::{Catalog, Kind, Limits, Service},
        cold::Tolerance,
        completion::Completion,
        directory::Stage,
        evacuation::{Batch, Change},
        forecast::Size,
        placement::candidate::Exclusion,
        queue::Verdict,
        state::{
            Admission, Identity, Listing, State,
            explain::{Address, Explanation, Outcome, Query, Unknown},
        },
    },
};

use crate::{at, customer, endpoint, engine, position, route, row};

const RATE: u64 = 1_000;

/// Returns a state with two routes: to a split service, and to a plain one.
fn state() -> State<u32> {
    let identity = Identity {
        name: "own".into(),
        zone: "zone-a".into(),
        incarnation: 1,
        address: "127.0.0.1:7".parse().expect("an address"),
        millicores: 1_000,
    };
    let retries = Rule { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };
    let mut state = State::new(identity, retries, Tolerance::default(), at(0));
    let mut catalog = Catalog::new(1, Limits::default());
    catalog.add_route(route("/a/", Kind::Streaming));
    catalog.add_service(Service { name: "drafting".into(), engine: Some(engine()), warmup: None });
    catalog.add_customer(customer("faculty", RATE, 10 * RATE), ["key".into()]);
    state.apply_catalog(at(0), position(10), Arc::new(catalog));
    let mut draining = endpoint("d-2", Stage::Decode);
    draining.is_draining = true;
    let mut remote = endpoint("d-3", Stage::Decode);
    remote.zone = "zone-b".into();
    let endpoints = [endpoint("p-1", Stage::Prefill), endpoint("d-1", Stage::Decode), draining, remote];
    let rows = endpoints.into_iter().enumerate().map(|(index, endpoint)| row(index as u64 + 1, endpoint));
    let rows = rows.collect();
    state.apply_listing(at(0), Listing { position: position(8), is_complete: true, rows });
    state
}

fn query(prompt: u64) -> Query {
    let address = Address::Path { host: route("/a/", Kind::Streaming).host.clone(), path: "/a/x".into() };
    Query { address, customer: Some("faculty".into()), prompt, output: 100, priority: None }
}

fn exclusions(explanation: &Explanation) -> Vec<(&str, Option<Exclusion>)> {
    let endpoints = explanation.targets[0].endpoints.iter();
    endpoints.map(|candidate| (&*candidate.endpoint, candidate.excluded)).collect()
}

fn completion(now: Time, memory: u64) -> Completion {
    Completion {
        service: "drafting".into(),
        customer: "faculty".into(),
        size: Size { prompt: memory, expected_output: 100, max_output: 100 },
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

/// Guards against explanations that differ from the placement that follows, or that change it.
#[test]
fn a_request_goes_where_it_was_explained_to_go_however_often_that_was_asked() {
    let (mut asked, mut other) = (state(), state());
    let mut places = Vec::new();
    for round in 0..40 {
        let now = at(round * 10);
        let explained =
            (0..3).map(|_| asked.explain(now, &query(2_000)).expect("explained").targets[0].outcome.clone());
        let explained: Vec<Outcome> = explained.collect();
        let place = |state: &mut State<u32>| {
            state.enqueue(now, completion(now, 2_000), 1);
            match state.dispatch(now).into_iter().next() {
                Some((_, Verdict::Placed(pair))) => Some((
                    pair.decode.endpoint.id.clone(),
                    pair.prefill.map(|prefill| prefill.endpoint.id.clone()),
                )),
                _ => None,
            }
        };
        let placed = place(&mut asked);
        assert_eq!(placed, place(&mut other), "round {round}");
        let expected = explained[0].clone();
        assert!(explained.iter().all(|outcome| *outcome == expected));
        match (placed, expected) {
            (Some((endpoint, prefill)), explained) => {
                assert_eq!(explained, Outcome::Placed { endpoint, prefill }, "round {round}");
                places.push(round);
            }
            (None, Outcome::Queued { .. }) => {}
            (None, explained) => panic!("round {round}: {explained:?}"),
        }
    }
    assert!(!places.is_empty() && places.len() < 40, "some are placed and some wait: {places:?}");
}

/// Guards against reasons that hide the first one.
#[test]
fn each_endpoint_has_the_first_reason_that_excludes_it() {
    let mut state = state();
    let explanation = state.explain(at(0), &query(100)).expect("explained");
    let draining = ("d-2", Some(Exclusion::Draining));
    assert_eq!(exclusions(&explanation), [("d-1", None), draining, ("d-3", None), ("p-1", None)]);
    let huge = state.explain(at(0), &query(2 * engine().memory)).expect("explained");
    let too_little = Some(Exclusion::TooLittleMemory);
    assert_eq!(exclusions(&huge), [("d-1", too_little), draining, ("d-3", too_little), ("p-1", None)]);
    state.record_backoff(at(0), &"p-1".into(), at(5_000));
    state.record_backoff(at(0), &"d-2".into(), at(5_000));
    let explanation = state.explain(at(10), &query(100)).expect("explained");
    assert_eq!(exclusions(&explanation)[3], ("p-1", Some(Exclusion::BackingOff)));
    assert_eq!(exclusions(&explanation)[1], draining);
    let evacuation = Change { zone: "zone-b".into(), position: position(20), is_evacuated: true };
    state.apply_evacuations(at(20), Batch::Changes(vec![evacuation]));
    let explanation = state.explain(at(20), &query(100)).expect("explained");
    assert_eq!(exclusions(&explanation)[2], ("d-3", Some(Exclusion::Evacuated)));
}

/// Guards against explanations that spend tokens, and against charges that differ from those at admission.
#[test]
fn the_tokens_left_are_told_and_not_spent() {
    let mut state = state();
    state.record_registered(None);
    let left = |state: &State<u32>| state.explain(at(0), &query(900)).expect("explained");
    let before = left(&state);
    assert_eq!(left(&state), before);
    let charge = before.charge;
    let mut admitted = 0;
    let customer = state.catalog().and_then(|catalog| catalog.customer("faculty").cloned());
    let admission =
        Admission { customer, tokens: charge, service: "drafting".into(), suspects: Arc::default() };
    while left(&state).over_rate.is_none() && admitted < 1_000 {
        let tokens = left(&state).tokens_left.expect("a limit");
        state.admit(at(0), &admission).expect("admitted");
        assert_eq!(left(&state).tokens_left, Some(tokens - charge as i64));
        admitted += 1;
    }
    let explained = left(&state).over_rate.expect("over its rate");
    assert!(admitted > 0);
    let refusal = state.admit(at(0), &admission).expect_err("refused");
    let delay = refusal.retry_after.map(|delay| delay.as_millis() as u64);
    assert!(matches!(explained, Outcome::Refused { retry_after_ms, .. } if retry_after_ms == delay));
}

/// Bad input is told, not answered.
#[test]
fn unknown_routes_and_customers_are_named() {
    let state = state();
    let by = |address| state.explain(at(0), &Query { address, ..query(1) }).map(|_| ());
    assert_eq!(by(Address::Route("none".into())), Err(Unknown::Route("none".into())));
    let path = Address::Path { host: "nowhere".into(), path: "/a/x".into() };
    assert!(matches!(by(path), Err(Unknown::Route(_))));
    let customer = Query { customer: Some("nobody".into()), ..query(1) };
    assert_eq!(state.explain(at(0), &customer).map(|_| ()), Err(Unknown::Customer("nobody".into())));
}
