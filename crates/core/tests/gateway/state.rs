//! Tests of the gateway state as a whole.

use std::{sync::Arc, time::Duration};

use tarragonhill_core::{
    gateway::{
        budget::Rule,
        catalog::{Catalog, Kind, Limits, Service},
        cold::Tolerance,
        completion::Completion,
        digest::Digest,
        directory::{Endpoint, Row, Stage},
        evacuation::{Batch, Change, Report},
        forecast::{Observation, Size},
        health::Outcome,
        load::Lease,
        placement::Filter,
        queue::{Entry, Verdict},
        state::{Admission, Identity, Listing, State},
        suspect::{Run, Suspect},
    },
    refusal::Code,
};

use crate::{SMALL, Speed, at, customer, endpoint, engine, position, removed_row, route, row};

fn state() -> State<u32> {
    let identity = Identity {
        name: "own".into(),
        zone: "zone-a".into(),
        incarnation: 1,
        address: "127.0.0.1:7".parse().expect("an address"),
        millicores: 1_000,
    };
    let retries = Rule { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };
    State::new(identity, retries, Tolerance::default(), at(0))
}

fn catalog(version: u64, rate: u64) -> Arc<Catalog> {
    let mut catalog = Catalog::new(version, Limits::default());
    catalog.add_route(route("/a/", Kind::Streaming));
    catalog.add_service(Service { name: "drafting".into(), engine: Some(engine()), warmup: None });
    catalog.add_customer(customer("faculty", rate, rate), ["key".into()]);
    Arc::new(catalog)
}

/// Returns a state with a configuration, a prefill endpoint and a decode endpoint.
fn ready_state() -> State<u32> {
    let mut state = state();
    state.apply_catalog(at(0), position(10), catalog(1, 0));
    let rows = vec![row(1, endpoint("p-1", Stage::Prefill)), row(2, endpoint("d-1", Stage::Decode))];
    state.apply_listing(at(0), Listing { position: position(2), is_complete: true, rows });
    state
}

/// A completion whose run uses `memory` tokens of KV cache.
fn completion(memory: u64) -> Completion {
    Completion {
        service: "drafting".into(),
        customer: "faculty".into(),
        size: Size { prompt: memory, expected_output: 0, max_output: 0 },
        waiting_since: at(0),
        events: 0,
        deadline: at(14_000),
        ttft_target: Duration::from_millis(900),
        target_gap: Duration::from_millis(300),
        stall_timeout: Duration::from_millis(3_600),
        priority: 1,
        avoid: Vec::new(),
        software_version: None,
        suspects: Arc::default(),
    }
}

/// Guards against a stale read of the store that restores a replaced configuration.
#[test]
fn an_older_configuration_is_rejected() {
    let mut state = state();
    assert!(state.apply_catalog(at(0), position(10), catalog(5, 0)));
    assert!(!state.apply_catalog(at(1), position(8), catalog(4, 0)));
    assert!(!state.apply_catalog(at(1), position(10), catalog(5, 0)));
    assert_eq!(state.catalog().map(|catalog| catalog.version()), Some(5));
    assert!(state.apply_catalog(at(2), position(11), catalog(6, 0)));
}

/// Guards against deadlines that count from the reception of the request although the caller has events.
#[test]
fn a_stream_older_than_its_stall_timeout_is_placed_when_it_resumes() {
    let mut state = ready_state();
    let resumed = Completion { waiting_since: at(6_000), ..completion(5_000) };
    state.enqueue(at(7_500), resumed, 1);
    let placed = state.dispatch(at(7_500));
    assert!(matches!(&placed[..], [(Entry { tag: 1, .. }, Verdict::Placed(_))]));
}

#[test]
fn a_run_waits_until_another_releases_its_memory() {
    let mut state = ready_state();
    state.enqueue(at(0), completion(40_000), 1);
    state.enqueue(at(0), completion(40_000), 2);
    let mut first = state.dispatch(at(10));
    assert_eq!(first.len(), 1);
    let Some((Entry { tag: 1, .. }, Verdict::Placed(pair))) = first.pop() else {
        panic!("the first request is not placed")
    };
    assert!(state.dispatch(at(20)).is_empty());
    let prefill = pair.prefill.expect("a prefill endpoint");
    state.record_end(at(30), &prefill.lease, Outcome::Abandoned);
    assert!(state.dispatch(at(35)).is_empty());
    state.record_end(at(36), &pair.decode.lease, Outcome::Abandoned);
    assert!(matches!(&state.dispatch(at(40))[..], [(Entry { tag: 2, .. }, Verdict::Placed(_))]));
}

/// Guards against requests that stay queued for busy prefill endpoints while a decode endpoint is
/// idle.
#[test]
fn a_decode_endpoint_prefills_one_prompt_while_prefill_endpoints_are_busy() {
    let mut state = ready_state();
    for tag in 0..8 {
        state.enqueue(at(0), completion(4_000), tag);
    }
    let placed = state.dispatch(at(10));
    let pairs = placed.iter().filter_map(|(_, verdict)| match verdict {
        Verdict::Placed(pair) => Some(pair),
        Verdict::Expired => None,
    });
    let pairs: Vec<_> = pairs.collect();
    let local: Vec<_> = pairs.iter().filter(|pair| pair.prefill.is_none()).collect();
    // The prefill endpoint takes six prompts, the decode endpoint one; the last request stays queued.
    assert_eq!((pairs.len(), local.len()), (7, 1));
    let mut lease = local[0].decode.lease.clone();
    state.record_first_event(at(200), &lease);
    lease.clear_prefill();
    assert_eq!(state.dispatch(at(350)).len(), 1);
    state.record_end(at(3_000), &lease, Outcome::Abandoned);
    assert_eq!(state.loads().get("d-1").map(|load| load.local.prefill_tokens), Some(4_000));
}

/// Guards against a long prefill on a decode endpoint that stalls its other runs.
#[test]
fn a_long_prompt_waits_for_a_prefill_endpoint() {
    let mut state = ready_state();
    observe_requests(&mut state, 0, SMALL);
    for tag in 0..4 {
        state.enqueue(at(0), completion(11_000), tag);
    }
    assert_eq!(state.dispatch(at(10)).len(), 3);
}

#[test]
fn a_request_over_the_rate_is_refused_with_a_retry_delay() {
    let mut state = state();
    state.apply_catalog(at(0), position(10), catalog(1, 1_000));
    let faculty = Arc::new(customer("faculty", 1_000, 1_000));
    let admission = Admission {
        customer: Some(faculty),
        tokens: 1_000,
        service: "drafting".into(),
        suspects: Arc::default(),
    };
    assert!(state.admit(at(5_000), &admission).is_ok());
    let refusal = state.admit(at(5_500), &admission).expect_err("refused");
    assert_eq!((refusal.code, refusal.not_run), (Code::OverRate, true));
    assert_eq!(refusal.retry_after, Some(Duration::from_millis(500)));
    state.refund(&admission);
    assert!(state.admit(at(5_500), &admission).is_ok());
}

#[test]
fn reservations_are_shared_through_digests() {
    let mut state = ready_state();
    state.enqueue(at(0), completion(40_000), 1);
    assert_eq!(state.dispatch(at(10)).len(), 1);
    let (digest, _) = state.next_digest(at(20));
    assert_eq!(digest.shares.get("d-1").map(|share| share.memory), Some(40_000));

    let mut other = ready_state();
    let from = "127.0.0.1:8".parse().expect("an address");
    other.apply_digest(at(30), &Digest { name: "first".into(), ..digest }, from);
    other.enqueue(at(0), completion(40_000), 2);
    assert!(other.dispatch(at(40)).is_empty());
}

#[test]
fn removal_after_an_interrupted_request_counts_as_a_crash() {
    let mut state = ready_state();
    let suspects: Arc<[Suspect]> = [Suspect(77)].into();
    for (now, id) in [(0, "d-1"), (1_000, "p-1")] {
        state.record_interrupted(at(now), &endpoint(id, Stage::Decode), &suspects, Run::Starting, false);
        let listing = Listing {
            position: position(10 + now),
            is_complete: false,
            rows: vec![removed_row(10 + now, id)],
        };
        state.apply_listing(at(now + 500), listing);
    }
    let admission = Admission { customer: None, tokens: 1, service: "drafting".into(), suspects };
    let refusal = state.admit(at(2_000), &admission).expect_err("refused");
    assert_eq!(refusal.code, Code::Quarantined);
}

/// Guards against requests that were admitted before a part of their prompts was held off, and wait for memory.
#[test]
fn a_queued_request_is_refused_once_a_part_of_its_prompt_is_held_off() {
    let mut state = ready_state();
    let suspects: Arc<[Suspect]> = [Suspect(1), Suspect(77)].into();
    state.enqueue(at(0), completion(40_000), 1);
    assert_eq!(state.dispatch(at(0)).len(), 1);
    for (tag, suspects) in [(2, suspects.clone()), (3, [Suspect(2)].into())] {
        state.enqueue(at(0), Completion { suspects, ..completion(40_000) }, tag);
    }
    assert!(state.dispatch(at(10)).is_empty());
    for (now, id) in [(100, "d-2"), (800, "d-3")] {
        state.record_interrupted(
            at(now),
            &endpoint(id, Stage::Decode),
            &[Suspect(77)].into(),
            Run::Starting,
            false,
        );
        state.record_crash(at(now + 10), id);
    }
    let refused = state.dispatch(at(900));
    assert!(
        matches!(&refused[..], [(entry @ Entry { tag: 2, .. }, Verdict::Expired)] if state.is_held_off(entry))
    );
}

/// Guards against forecasts that let requests expire although the endpoints are idle.
#[test]
fn idle_endpoints_get_requests_at_any_engine_speed() {
    let speeds = [
        SMALL,
        Speed { prompt_us: 2, first_ms: 15, token_us: 500, event_tokens: 1 },
        Speed { prompt_us: 18, first_ms: 30, token_us: 640, event_tokens: 72 },
        Speed { prompt_us: 180, first_ms: 400, token_us: 20_000, event_tokens: 4 },
    ];
    for speed in speeds {
        let mut state = ready_state();
        let output = 10_000_000 / speed.token_us;
        let size = Size { prompt: 5_000, expected_output: output, max_output: output * 2 };
        for now in [0, 1_000] {
            let completion =
                Completion { size, waiting_since: at(now), deadline: at(now + 14_000), ..completion(0) };
            state.enqueue(at(now), completion, 1);
            let placed = state.dispatch(at(now));
            let [(_, Verdict::Placed(pair))] = &placed[..] else { panic!("refused: {speed:?}") };
            state.record_end(at(now), &pair.decode.lease, Outcome::Abandoned);
            let prefill = pair.prefill.as_ref().expect("a prefill endpoint");
            state.record_end(at(now), &prefill.lease, Outcome::Abandoned);
            observe_requests(&mut state, now, speed);
        }
    }
}

/// Records the observations of 20 requests at the endpoints of a replica.
fn observe_requests(state: &mut State<u32>, now: u64, speed: Speed) {
    let (prefill, decode) = (endpoint("p-1", Stage::Prefill), endpoint("d-1", Stage::Decode));
    let interval = Duration::from_micros(speed.token_us * speed.event_tokens);
    for _ in 0..20 {
        let took = Duration::from_micros(5_000 * speed.prompt_us);
        state.record_observation(at(now), &prefill, Observation::Prefill { tokens: 5_000, took });
        let took = Duration::from_millis(speed.first_ms);
        state.record_observation(at(now), &decode, Observation::FirstEvent { prompt: 5_000, took });
        state.record_observation(at(now), &decode, Observation::Events { events: 10, span: interval * 10 });
        state.record_observation(
            at(now),
            &decode,
            Observation::Completed { expected: 100 * speed.event_tokens, events: 100 },
        );
    }
    state.tick(at(now));
}

/// Guards against placing a request that cannot finish in time and only occupies memory.
#[test]
fn a_request_that_cannot_finish_in_time_expires_at_once() {
    let mut state = ready_state();
    observe_requests(&mut state, 0, SMALL);
    let size = Size { prompt: 5_000, expected_output: 12_000, max_output: 12_000 };
    state.enqueue(at(10), Completion { size, ..completion(0) }, 1);
    assert!(matches!(&state.dispatch(at(10))[..], [(_, Verdict::Expired)]));
    assert!(state.memory_retry_after(at(0), "drafting") > Duration::from_millis(1_000));
}

/// Guards against a resumption that is refused because the whole output would not end before the deadline.
#[test]
fn a_stream_resumes_if_the_rest_of_its_output_ends_in_time() {
    for (events, is_placed) in [(0, false), (100, true)] {
        let mut state = ready_state();
        observe_requests(&mut state, 0, SMALL);
        let size = Size { prompt: 5_000, expected_output: 1_500, max_output: 2_000 };
        let resumed = Completion { size, waiting_since: at(10_000), events, ..completion(0) };
        state.enqueue(at(10_000), resumed, 1);
        let dispatched = state.dispatch(at(10_000));
        let [(_, verdict)] = &dispatched[..] else { panic!("queued after {events} events") };
        assert_eq!(matches!(verdict, Verdict::Placed(_)), is_placed, "{events} events");
    }
}

/// Guards against a new replica that has no forecasts until it has served requests itself.
#[test]
fn a_new_replica_receives_forecasts_from_its_peers() {
    let mut first = ready_state();
    observe_requests(&mut first, 0, SMALL);
    let digest =
        (0..10).map(|tick| first.next_digest(at(tick * 100)).0).find(|digest| !digest.forecasts.is_empty());
    let digest = Digest { name: "first".into(), ..digest.expect("every tenth digest has forecasts") };
    let mut other = ready_state();
    other.apply_digest(at(1_000), &digest, "127.0.0.1:8".parse().expect("an address"));
    assert_eq!(other.forecast("drafting"), first.forecast("drafting"));
}

/// Guards against a memory leak: a late observation must not recreate the record of a removed
/// endpoint.
#[test]
fn observations_of_a_removed_endpoint_are_ignored() {
    let mut state = ready_state();
    observe_requests(&mut state, 0, SMALL);
    let before = state.forecast("drafting");
    let listing = Listing { position: position(10), is_complete: false, rows: vec![removed_row(10, "d-1")] };
    state.apply_listing(at(1_000), listing);
    observe_requests(&mut state, 1_000, Speed { token_us: 40_000, ..SMALL });
    state.tick(at(1_100));
    let after = state.forecast("drafting");
    assert_eq!(after.event_interval, None, "{before:?}");
}

/// Guards against an endpoint that drains unnoticed and is tried again and again, since it seems to be idle.
#[test]
fn an_idle_endpoint_that_refuses_reservations_is_tried_less_and_less() {
    let mut state = ready_state();
    let rows = vec![row(3, endpoint("d-2", Stage::Decode))];
    state.apply_listing(at(0), Listing { position: position(3), is_complete: false, rows });
    // The other endpoint has less free memory.
    state.enqueue(at(0), completion(20_000), 0);
    let busy = place(&mut state, 0).expect("a placement");
    let (mut tries, mut served) = (0, 0);
    for number in 1..=100 {
        let now = u64::from(number) * 20;
        state.enqueue(at(now), Completion { waiting_since: at(now), ..completion(5_000) }, number);
        while let Some(lease) = place(&mut state, now) {
            if lease.endpoint == busy.endpoint {
                served += 1;
                state.record_end(at(now), &lease, Outcome::Responded(Duration::from_millis(1)));
                break;
            }
            tries += 1;
            state.record_end(at(now), &lease, Outcome::Full);
            state.enqueue(at(now), Completion { waiting_since: at(now), ..completion(5_000) }, number);
        }
    }
    assert_eq!(served, 100);
    assert!(tries <= 7, "{tries} tries in 2 s");
}

/// Guards against a full endpoint that gets no run for long after its memory has become free.
#[test]
fn a_full_endpoint_is_tried_again_soon() {
    let mut state = ready_state();
    state.enqueue(at(0), completion(50_000), 0);
    let first = place(&mut state, 0).expect("a placement");
    for number in 1..=5 {
        let now = u64::from(number) * 200;
        state.enqueue(at(now), Completion { waiting_since: at(now), ..completion(5_000) }, number);
        let lease = place(&mut state, now).expect("a placement");
        state.record_end(at(now), &lease, Outcome::Full);
    }
    state.record_end(at(1_050), &first, Outcome::Responded(Duration::from_millis(1)));
    state.enqueue(at(1_101), Completion { waiting_since: at(1_101), ..completion(5_000) }, 6);
    assert!(place(&mut state, 1_101).is_some());
}

/// Dispatches the only queued completion, and returns its lease at the decode endpoint.
fn place(state: &mut State<u32>, now: u64) -> Option<Lease> {
    let mut dispatched = state.dispatch(at(now));
    match dispatched.pop() {
        Some((_, Verdict::Placed(pair))) => {
            if let Some(prefill) = pair.prefill {
                state.record_end(at(now), &prefill.lease, Outcome::Abandoned);
            }
            Some(pair.decode.lease)
        }
        _ => None,
    }
}

/// The endpoint wants no requests, and the caller would wait in vain.
#[test]
fn a_request_that_no_endpoint_wants_before_it_expires_is_refused_at_once() {
    let mut state = ready_state();
    state.enqueue(at(10), completion(58_000), 1);
    assert!(matches!(&state.dispatch(at(10))[..], [(_, Verdict::Placed(_))]));
    state.enqueue(at(10), completion(5_000), 2);
    assert!(state.dispatch(at(10)).is_empty());
    state.record_backoff(at(10), &"d-1".into(), at(60_010));
    state.enqueue(at(10), completion(5_000), 3);
    assert!(matches!(&state.dispatch(at(10))[..], [(_, Verdict::Expired), (_, Verdict::Expired)]));
    assert_eq!(state.memory_retry_after(at(10), "drafting"), Duration::from_secs(60));
    // Callers that return in step would be refused again.
    assert_eq!(state.memory_retry_after(at(60_008), "drafting"), Duration::from_millis(300));
}

#[test]
fn a_request_waits_until_an_endpoint_wants_requests_again() {
    let mut state = ready_state();
    state.record_backoff(at(10), &"d-1".into(), at(1_010));
    // A shorter pause does not end a longer one.
    state.record_backoff(at(11), &"d-1".into(), at(500));
    state.enqueue(at(10), completion(5_000), 1);
    assert!(state.dispatch(at(1_009)).is_empty());
    assert!(matches!(&state.dispatch(at(1_010))[..], [(_, Verdict::Placed(_))]));
}

/// A response of the new incarnation may have asked for the pause before its row was read.
#[test]
fn a_backoff_outlasts_a_restart_and_a_removed_row() {
    let mut state = ready_state();
    state.record_backoff(at(10), &"d-1".into(), at(1_010));
    let apply = |state: &mut State<u32>, row: Row| {
        let listing = Listing { position: row.position, is_complete: false, rows: vec![row] };
        state.apply_listing(at(20), listing);
    };
    apply(&mut state, row(3, Endpoint { started_ms: 2, ..endpoint("d-1", Stage::Decode) }));
    apply(&mut state, removed_row(4, "d-1"));
    apply(&mut state, row(5, Endpoint { started_ms: 2, ..endpoint("d-1", Stage::Decode) }));
    state.enqueue(at(30), completion(5_000), 1);
    assert!(state.dispatch(at(1_009)).is_empty());
    assert!(matches!(&state.dispatch(at(1_010))[..], [(_, Verdict::Placed(_))]));
}

/// Returns a state with endpoints of both stages in two zones.
fn two_zone_state() -> State<u32> {
    let mut state = ready_state();
    let in_zone_b = |id, stage| Endpoint { zone: "zone-b".into(), ..endpoint(id, stage) };
    let rows = vec![row(3, in_zone_b("p-2", Stage::Prefill)), row(4, in_zone_b("d-2", Stage::Decode))];
    state.apply_listing(at(0), Listing { position: position(4), is_complete: false, rows });
    state
}

fn evacuate(state: &mut State<u32>, version: u64, zone: &str, is_evacuated: bool) {
    state.apply_evacuations(
        at(0),
        Batch::Changes(vec![Change { zone: zone.into(), position: position(version), is_evacuated }]),
    );
}

/// Returns the zones of the endpoints that `count` completions get.
fn zones_used(state: &mut State<u32>, now: u64, count: u32) -> Vec<Arc<str>> {
    let mut zones = Vec::new();
    for number in 0..count {
        state.enqueue(at(now), Completion { waiting_since: at(now), ..completion(3_000) }, number);
    }
    for (_, verdict) in state.dispatch(at(now)) {
        if let Verdict::Placed(pair) = verdict {
            zones.extend(pair.prefill.map(|prefill| prefill.endpoint.zone.clone()));
            zones.push(pair.decode.endpoint.zone.clone());
        }
    }
    zones
}

/// Guards against prompts or runs that are placed in a zone that the operator has evacuated.
#[test]
fn an_evacuated_zone_gets_neither_prompts_nor_runs() {
    let mut state = two_zone_state();
    evacuate(&mut state, 20, "zone-a", true);
    let zones = zones_used(&mut state, 10, 5);
    assert!(zones.len() == 10 && zones.iter().all(|zone| &**zone == "zone-b"), "{zones:?}");
    evacuate(&mut state, 21, "zone-a", false);
    assert!(zones_used(&mut state, 20, 5).iter().any(|zone| &**zone == "zone-a"));
}

/// Guards against a replica that keeps using an evacuated zone until it reads the store itself.
#[test]
fn an_evacuation_is_learned_from_a_digest() {
    let (mut reader, mut other) = (two_zone_state(), two_zone_state());
    evacuate(&mut reader, 20, "zone-a", true);
    let (digest, _) = reader.next_digest(at(10));
    other.apply_digest(at(10), &Digest { name: "peer".into(), ..digest }, ([127, 0, 0, 1], 8).into());
    assert!(zones_used(&mut other, 10, 5).iter().all(|zone| &**zone == "zone-b"));
}

/// Guards against requests that wait for their deadline although their service has no endpoint outside the evacuated
/// zones.
#[test]
fn requests_to_an_evacuated_service_are_refused_at_once() {
    let mut state = two_zone_state();
    state.enqueue(at(10), completion(59_000), 1);
    state.enqueue(at(10), completion(59_000), 2);
    state.enqueue(at(10), completion(59_000), 3);
    assert_eq!(state.dispatch(at(10)).len(), 2);
    state.apply_evacuations(
        at(0),
        Batch::Complete(Report::new(position(20), ["zone-a".into(), "zone-b".into()])),
    );
    assert!(matches!(state.dispatch(at(20)).as_slice(), [(_, Verdict::Expired)]));
    assert!(state.is_evacuated(at(20), "drafting"));
    assert_eq!(
        state
            .place_whole(at(20), "drafting", Filter::default())
            .map(|_| ())
            .map_err(|refusal| (refusal.code, refusal.not_run)),
        Err((Code::NoEndpoint, true))
    );
}

/// Guards against streams that wait for a limited endpoint until their deadline, and against refusing an urgent one in
/// favor of others that wait already.
#[test]
fn queued_requests_beyond_the_turns_of_limited_endpoints_expire_at_once() {
    let mut state = ready_state();
    state.mark_members_read(at(0));
    state.record_limit(at(1_000), &"d-1".into(), Some(0.5));
    // Two owners share 0.35 requests a second: a turn now and one in 5.7 s.
    for (tag, priority) in [(1, 5), (2, 5), (3, 5), (4, 0)] {
        let completion = Completion { priority, stall_timeout: Duration::from_secs(14), ..completion(100) };
        state.enqueue(at(1_000), completion, tag);
    }
    let verdicts = state.dispatch(at(1_000));
    let placed: Vec<u32> = verdicts
        .iter()
        .filter(|(_, verdict)| matches!(verdict, Verdict::Placed(_)))
        .map(|(entry, _)| entry.tag)
        .collect();
    let expired = verdicts
        .iter()
        .filter(|(_, verdict)| matches!(verdict, Verdict::Expired))
        .map(|(entry, _)| entry.tag);
    assert_eq!(placed, [4]);
    assert_eq!(expired.collect::<Vec<u32>>(), [3]);
    assert_eq!(state.queue_length(), 2);
}
