//! Tests of digests that are truncated, damaged, oversized, repeated or from an unknown version.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use prost::Message as _;
use quickcheck::{Gen, QuickCheck, TestResult};
use tarragonhill_core::{
    Time,
    gateway::{
        budget::Rule,
        catalog::{Catalog, Customer, Engine, Limits, Service},
        cold::Tolerance,
        completion::Completion,
        contact,
        digest::{Digest, Member, Share, StageChange},
        directory::{Departure, Endpoint, Row, Stage},
        evacuation::{self, Former},
        fairness::Holding,
        forecast::{Forecast, Size, Trend},
        growth::Growth,
        limit,
        loan::Loan,
        order::{Urgency, Waiting},
        origin,
        outage::Notice,
        pace::Finding,
        pools::Demand,
        position::{Edition, Position},
        relay::{Bundle, Parcel},
        speed::Sample,
        staleness::Versions,
        state::{Identity, Listing, State},
        suspect::{self, Crash, Run, Sighting, Suspect},
        throttle::Cause,
    },
};
use tarragonhill_wire::{digest::EncodedDigest, proto};

fn versions() -> Versions {
    let configuration = Edition { version: 53, position: Position::new(2, 11) };
    Versions { configuration, endpoints: Position::new(2, 9) }
}

fn evacuations() -> evacuation::Report {
    let former = Former { position: Position::new(1, 40), zones: ["zone-c".into()].into() };
    let era_age = Duration::from_secs(4);
    let report = evacuation::Report::new(Position::new(2, 12), ["zone-b".into()]);
    evacuation::Report { former, era_age, ..report }
}

fn at(millis: u64) -> Time {
    Time::ZERO.plus(Duration::from_millis(millis))
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7))
}

fn member(name: &str) -> Member {
    Member { name: name.into(), address: address(), zone: "zone-a".into(), millicores: 90 }
}

fn digest(name: &str, serial: u64) -> Digest {
    let share = Share { running: 2, memory: 16_000, growth: Growth([16_000; 8]), ..Share::default() };
    let trend = Some(Trend { base: 0.01, slope: 1e-5 });
    Digest {
        contact: Some(contact::Report {
            since: Duration::from_secs(90),
            last_read: Duration::from_millis(1_250),
        }),
        evacuations: evacuations(),
        name: name.into(),
        incarnation: 9,
        serial,
        is_urgent: true,
        members: vec![member(name), member("other")],
        spent: [("faculty".into(), 15_000)].into(),
        left: [("faculty".into(), 300)].into(),
        refused: [("faculty".into(), 4_000)].into(),
        shares: [("d-1".into(), share)].into(),
        failure_permille: [("d-1".into(), 40)].into(),
        changing: [("d-9".into(), StageChange { stage: Stage::Prefill, remaining: Duration::from_secs(1) })]
            .into(),
        unmet: [("drafting".into(), 30)].into(),
        loans: vec![Loan {
            borrower: "other".into(),
            endpoint: "d-1".into(),
            cause: Cause::Cold,
            interval: Duration::from_millis(250),
        }],
        suspects: vec![suspect::Report {
            suspect: Suspect(7),
            crashes: [
                (Crash(3), Sighting { age: Duration::from_millis(40), run: Run::Generating, is_trial: true }),
                (Crash(4), Sighting { age: Duration::ZERO, run: Run::Starting, is_trial: false }),
            ]
            .into(),
            completed: Some(Duration::from_millis(900)),
            is_wanted: true,
            is_trying: false,
        }],
        limits: [
            ("d-1".into(), limit::Report { limit: Some(1.6), age: Duration::from_millis(300) }),
            ("d-2".into(), limit::Report { limit: None, age: Duration::ZERO }),
        ]
        .into(),
        versions: versions(),
        departures: vec![Departure { id: "d-7".into(), started_ms: 5, sequence: 8 }],
        waiting: [(
            "drafting".into(),
            [(
                Urgency { is_late: true, priority: 2 },
                Waiting { count: 3, memory: 16_000, due_in: Duration::ZERO },
            )]
            .into(),
        )]
        .into(),
        holdings: [("drafting".into(), [("faculty".into(), Holding { held: 11_000, wanted: 5_000 })].into())]
            .into(),
        outages: [("d-3".into(), Notice { started_ms: 6, age: Duration::from_millis(40), is_over: true })]
            .into(),
        paces: [("d-4".into(), Finding { started_ms: 7, limit: 9_000, age: Duration::from_millis(10) })]
            .into(),
        speeds: [("d-1".into(), Sample { event_interval: Duration::from_millis(45), weight: 6 })].into(),
        demands: [(
            "drafting".into(),
            Demand { requests: 20.0, prompt: 1e5, endpoints: 2.5, endpoint_tokens: 900.0 },
        )]
        .into(),
        observed: Duration::from_secs(14),
        mixed: [("drafting".into(), Duration::from_millis(250))].into(),
        forecasts: [("drafting".into(), Forecast { prefill: trend, ..Forecast::default() })].into(),
    }
}

fn encode(digest: &Digest) -> Vec<u8> {
    proto::Digest::from(digest).encode_to_vec()
}

/// Returns a replica with a customer, a decode endpoint and a prefill endpoint.
fn state() -> State<()> {
    let identity = Identity {
        name: "own".into(),
        zone: "zone-a".into(),
        incarnation: 1,
        address: address(),
        millicores: 90,
    };
    let retries = Rule { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };
    let mut catalog = Catalog::new(1, Limits::default());
    let engine = Engine { slots: 48, memory: 45_000, max_reservation: Duration::from_secs(2) };
    catalog.add_service(Service { name: "drafting".into(), engine: Some(engine), warmup: None });
    let customer = Customer {
        name: "faculty".into(),
        priority: None,
        rate: 47_000,
        burst: 47_000,
        plain_tokens: 200,
        counts_tokens: true,
    };
    catalog.add_customer(customer, ["key".into()]);
    let endpoint = |id: &str, stage| Endpoint {
        id: id.into(),
        started_ms: 1,
        service: "drafting".into(),
        software_version: "v1".into(),
        address: address(),
        zone: "zone-a".into(),
        stage,
        slots: 48,
        is_draining: false,
    };
    let rows = [endpoint("d-1", Stage::Decode), endpoint("p-1", Stage::Prefill)].map(|endpoint| Row {
        id: endpoint.id.clone(),
        position: Position::new(2, 1),
        sequence: 1,
        cold: Duration::ZERO,
        endpoint: Some(Arc::new(endpoint)),
    });
    let mut state = State::new(identity, retries, Tolerance::default(), at(0));
    state.apply_catalog(at(0), Position::new(2, 1), Arc::new(catalog));
    state.apply_listing(
        at(0),
        Listing { position: Position::new(2, 1), is_complete: true, rows: rows.into() },
    );
    state
}

/// Applies a digest and makes every decision that depends on it.
fn exercise(state: &mut State<()>, parcel: Parcel) {
    let bundle = Bundle { sender: parcel.digest.name.clone(), from: address(), parcels: vec![parcel] };
    state.apply_bundle(at(10), &bundle);
    state.enqueue(
        at(10),
        Completion {
            service: "drafting".into(),
            customer: "faculty".into(),
            size: Size { prompt: 5_000, expected_output: 500, max_output: 1_000 },
            waiting_since: at(10),
            events: 0,
            deadline: at(5_000),
            ttft_target: Duration::from_millis(900),
            target_gap: Duration::from_millis(300),
            stall_timeout: Duration::from_millis(3_600),
            priority: 1,
            avoid: Vec::new(),
            software_version: None,
            suspects: Arc::default(),
        },
        (),
    );
    state.dispatch(at(20));
    state.tokens_left(at(20));
    state.tick(at(110));
    state.next_order(at(110));
    state.next_digest(at(120));
    state.take_forwards();
}

#[test]
fn digests_with_all_fields_round_trip() {
    let digest = digest("a", 1);
    let encoded = encode(&digest);
    let parcel = Parcel::try_from(EncodedDigest(encoded.clone())).expect("a digest");
    assert_eq!(parcel, Parcel { digest, encoded: encoded.into() });
}

/// Guards against a replica that stops because a peer sends nonsense.
#[test]
fn damaged_digests_neither_stop_a_replica_nor_hide_valid_ones() {
    fn property(cut: usize, damage: Vec<(usize, u8)>) -> TestResult {
        let mut encoded = encode(&digest("a", 1));
        for (position, value) in damage {
            let position = position % encoded.len();
            encoded[position] = value;
        }
        if cut.is_multiple_of(3) {
            encoded.truncate(cut % encoded.len());
        }
        let mut state = state();
        if let Ok(parcel) = Parcel::try_from(EncodedDigest(encoded)) {
            exercise(&mut state, parcel);
        }
        let valid = Parcel::try_from(EncodedDigest(encode(&digest("b", 1)))).expect("a digest");
        exercise(&mut state, valid);
        TestResult::from_bool(state.members().iter().any(|member| &*member.name == "b"))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, 5))
        .tests(3_000)
        .quickcheck(property as fn(usize, Vec<(usize, u8)>) -> TestResult);
}

/// Guards against sums that overflow.
#[test]
fn digests_with_the_largest_numbers_are_survived() {
    let mut message = proto::Digest::from(&digest("a", u64::MAX));
    for share in &mut message.shares {
        (share.running, share.memory, share.reading, share.failing) =
            (u32::MAX, u64::MAX, u64::MAX, u32::MAX);
        share.growth = vec![u32::MAX; 8];
    }
    for spending in &mut message.spending {
        (spending.spent, spending.left, spending.refused) = (u64::MAX, i64::MIN, u64::MAX);
    }
    for changing in &mut message.changing {
        changing.left_us = u64::MAX;
    }
    for loan in &mut message.loans {
        (loan.borrower, loan.interval_us) = ("own".into(), u64::MAX);
    }
    for suspect in &mut message.suspects {
        suspect.completed_us = Some(u64::MAX);
        suspect.crashes = (0..9)
            .map(|id| proto::Crash {
                id,
                age_us: if id < 5 { u64::MAX } else { 0 },
                trial: true,
                generating: id > 2,
            })
            .collect();
    }
    for forecast in &mut message.forecasts {
        forecast.memory = u64::MAX;
        forecast.reading = Some(proto::Trend { base: f64::MAX, slope: f64::MAX });
        forecast.answers =
            Some(proto::Answers { event_tokens: f64::MAX, spread: f64::MAX, events: f64::MAX, weight: 1.0 });
    }
    let mut state = state();
    for name in ["a", "b", "c"] {
        message.name = name.into();
        let parcel = Parcel::try_from(EncodedDigest(message.encode_to_vec())).expect("a digest");
        exercise(&mut state, parcel);
    }
}

/// Guards against counting twice what arrives twice, late, or from a replica that is gone.
#[test]
fn repeated_and_late_digests_change_nothing() {
    let mut state = state();
    let parcel = |serial| Parcel::try_from(EncodedDigest(encode(&digest("a", serial)))).expect("a digest");
    let apply = |state: &mut State<()>, now, serial| {
        let bundle = Bundle { sender: "a".into(), from: address(), parcels: vec![parcel(serial)] };
        state.apply_bundle(at(now), &bundle);
        state.loads().get("d-1").map(|load| load.total(at(now)).running)
    };
    assert_eq!(apply(&mut state, 10, 5), Some(2));
    assert_eq!(apply(&mut state, 20, 5), Some(2));
    assert_eq!(apply(&mut state, 30, 4), Some(2));
    // The replica is gone, and a relay passes on an old digest of it.
    state.tick(at(13_000));
    assert_eq!(state.loads().get("d-1").map(|load| load.total(at(13_000)).running), Some(0));
}

/// Guards against an encoding without bundles that is taken for one.
#[test]
fn a_datagram_of_an_older_version_is_rejected() {
    assert!(proto::Bundle::decode(encode(&digest("a", 1)).as_slice()).is_err());
}

#[test]
fn messages_about_streams_survive_a_round_trip() {
    let message = origin::Message {
        origins: vec![origin::Origin {
            stream: origin::Stream(u64::MAX),
            software_version: "v1.2".into(),
            left: Duration::from_millis(13_500),
        }],
        sought: vec![origin::Stream(7)],
        unknown: vec![origin::Stream(0)],
    };
    let encoded = proto::Bundle { sender: "a".into(), ..proto::Bundle::from(&message) }.encode_to_vec();
    let decoded = proto::Bundle::decode(encoded.as_slice()).expect("a bundle");
    assert_eq!(origin::Message::from(&decoded), message);
    assert!(origin::Message::from(&proto::Bundle::default()).is_empty());
}
