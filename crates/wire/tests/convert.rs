//! Round trips of all messages through protobuf, and rejection of invalid ones.

use std::{sync::Arc, time::Duration};

use tarragonhill_core::{
    Attempt, Code, Request,
    gateway::{
        digest::{Digest, Share},
        directory::{Endpoint, Row, Stage},
        evacuation::{self, Former},
        forecast::{Forecast, OutputLength, Trend},
        growth::Growth,
        limit,
        loan::Loan,
        position::{Edition, Position},
        snapshot::Snapshot,
        staleness::Versions,
        state::Listing,
        suspect::{self, Crash, Run, Sighting, Suspect},
        throttle::Cause,
    },
    message::{Event, FailureCause, Heartbeat, Load, Order, PeerReply, PeerRequest, Work},
    quarantine::CrashStatus,
    quota::{Grant, LoanRequest},
};
use tarragonhill_wire::{DecodeError, proto};

const SPAN: Duration = Duration::from_micros(1_234_567);

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

fn attempt() -> Attempt {
    Attempt { request: Request(u128::MAX - 5), number: 3 }
}

fn name(text: &str) -> Arc<str> {
    text.into()
}

fn work() -> Work {
    Work {
        attempt: attempt(),
        endpoint: name("decode"),
        customer: name("faculty"),
        key: name("key"),
        prompt_tokens: 7,
        max_tokens: 8,
        slack: SPAN,
        timeout: SPAN * 2,
        suspect: true,
    }
}

fn heartbeat() -> Heartbeat {
    let load = Load {
        endpoint: name("decode"),
        free_pieces: 1,
        capacity_pieces: 2,
        queued_tokens: 3,
        running: 4,
        leaving: true,
    };
    Heartbeat { version: 9, age: SPAN, interval: SPAN, loads: vec![load] }
}

#[test]
fn orders_round_trip() {
    for order in [
        Order::Hello { entry: name("entry") },
        Order::Hold { work: work(), ahead: true },
        Order::Prefill { work: work(), prompt: name("prompt"), delay: SPAN },
        Order::Decode { work: work(), source: name("a"), kv: name("b"), from_index: 5, held: true },
        Order::Call {
            work: work(),
            method: name("POST"),
            path: name("/p"),
            body: vec![0, 255],
            idempotency_key: name("k"),
        },
        Order::Cancel(attempt()),
        Order::Heartbeat(heartbeat()),
    ] {
        assert_eq!(Order::try_from(proto::Order::from(order.clone())), Ok(order));
    }
}

#[test]
fn events_round_trip() {
    let attempt = attempt();
    for event in [
        Event::Held { attempt, ready_in: SPAN },
        Event::Refused { attempt, code: Code::Overloaded, not_run: true, retry_after: SPAN },
        Event::Prefilled { attempt, source: name("a"), kv: name("b"), ttl: SPAN },
        Event::Tokens { attempt, first_index: 4, texts: vec![name("x"), name("y")] },
        Event::Ended { attempt, total: 6 },
        Event::Failed { attempt, cause: FailureCause::Evicted },
        Event::Answered { attempt, status: 204, body: vec![1] },
        Event::Heartbeat(heartbeat()),
    ] {
        assert_eq!(Event::try_from(proto::Event::from(event.clone())), Ok(event));
    }
}

#[test]
fn peer_requests_and_replies_round_trip() {
    let loan = LoanRequest { tokens: 1, minimum: 2, unspent: 3, refund: 4, serial: 5 };
    for request in [
        PeerRequest::Borrow { customer: name("faculty"), loan },
        PeerRequest::Heartbeat(heartbeat()),
        PeerRequest::CrashStatus { customer: name("faculty"), fingerprint: u64::MAX, crashed: true },
        PeerRequest::Renew { incarnation: 8 },
        PeerRequest::RefreshShards,
    ] {
        assert_eq!(PeerRequest::try_from(proto::peer_request::Body::from(request.clone())), Ok(request));
    }
    for reply in [
        PeerReply::Lent(Grant { tokens: 1, term: SPAN, retry_after: SPAN }),
        PeerReply::Heartbeat(heartbeat()),
        PeerReply::CrashStatus(CrashStatus { crashes: 2, quarantined: SPAN }),
        PeerReply::Renewed { granted: true },
        PeerReply::Acknowledged,
        PeerReply::NotHome { owner: name("entry"), epoch: 3 },
    ] {
        assert_eq!(PeerReply::try_from(proto::PeerReply::from(reply.clone())), Ok(reply));
    }
}

#[test]
fn decode_error_names_the_missing_or_invalid_field() {
    assert_eq!(Order::try_from(proto::Order { body: None }), Err(DecodeError::Missing("order")));
    let hold =
        proto::Order { body: Some(proto::order::Body::Hold(proto::Hold { work: None, ahead: false })) };
    assert_eq!(Order::try_from(hold), Err(DecodeError::Missing("work")));
    let broken = proto::Broken { attempt: Some(attempt().into()), code: "unknown".into() };
    let event = proto::Event { body: Some(proto::event::Body::Broken(broken)) };
    assert_eq!(Event::try_from(event), Err(DecodeError::Invalid("breakage", "unknown".into())));
}

fn listed(id: &str) -> Row {
    let endpoint = Endpoint {
        id: name(id),
        started_ms: 1_700_000_000_123,
        service: name("models"),
        software_version: "v1".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: name("zone-a"),
        stage: Stage::Prefill,
        slots: 48,
        is_draining: true,
    };
    Row {
        id: name(id),
        position: Position::new(2, 7),
        sequence: 9,
        cold: Duration::from_millis(1_500),
        endpoint: Some(Arc::new(endpoint)),
    }
}

#[test]
fn store_snapshot_round_trips() {
    let listing = Listing {
        position: Position::new(2, 12),
        is_complete: true,
        rows: vec![listed("i-1"), listed("i-2")],
    };
    let snapshot = Snapshot {
        evacuations: evacuations(),
        versions: versions(),
        configuration: b"{\xff}".to_vec().into(),
        listing,
    };
    let decoded = Snapshot::try_from(proto::Knowledge::from(&snapshot)).expect("a valid snapshot");
    assert_eq!(decoded, snapshot);
    let mut invalid = proto::Knowledge::from(&snapshot);
    invalid.endpoints[1].stage = "unknown".into();
    assert_eq!(Snapshot::try_from(invalid), Err(DecodeError::Invalid("stage", "unknown".into())));
}

fn digest() -> Digest {
    let trend = |slope| Some(Trend { base: 0.012, slope });
    let growth = Growth([16_000, 16_500, 17_000, 18_000, 14_000, 6_000, 100, 0]);
    let output_length = Some(OutputLength { event_tokens: 72.0, spread: 0.48, events: 70.5, weight: 44.0 });
    let forecast = Forecast {
        prefill: trend(18e-6),
        first_event: trend(0.0),
        local_prefill: None,
        event_interval: trend(1e-9),
        memory: 61_000,
        output_length,
    };
    Digest {
        name: name("gateway-1"),
        incarnation: u64::MAX,
        serial: 20,
        spent: [(name("faculty"), 15_000)].into(),
        left: [(name("faculty"), -300)].into(),
        shares: [(name("d-1"), Share { running: 2, memory: 16_000, growth, ..Share::default() })].into(),
        failure_permille: [(name("d-2"), 400)].into(),
        limits: [("d-1".into(), limit::Report { limit: Some(2.9), age: Duration::from_millis(40) })].into(),
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
        versions: versions(),
        forecasts: [(name("models"), forecast)].into(),
        ..Digest::default()
    }
}

#[test]
fn digests_round_trip() {
    let digest = digest();
    assert_eq!(Digest::try_from(proto::Digest::from(&digest)), Ok(digest));
}

/// Comparisons with NaN are always false, so a NaN from a faulty peer would prevent placements.
#[test]
fn non_finite_forecasts_are_decoded_as_zero() {
    let mut invalid = proto::Digest::from(&digest());
    invalid.forecasts[0].reading = Some(proto::Trend { base: f64::NAN, slope: f64::NEG_INFINITY });
    let digest = Digest::try_from(invalid).expect("a valid digest");
    assert_eq!(digest.forecasts["models"].prefill, Some(Trend { base: 0.0, slope: 0.0 }));
}
