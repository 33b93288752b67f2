//! Decisions on the record that is found under an idempotency key.

use tarragonhill_core::{
    Code, Request,
    idempotency::{self, Action, Record, State, WriteOutcome},
};

fn record(token: u128, state: State) -> Record {
    Record { digest: "d".into(), token: Request(token), state }
}

/// Guards against a token stored as a JSON number, which cannot hold 128 bits.
#[test]
fn record_round_trips_through_json() {
    let record = record(u128::MAX, State::Answered { status: 200, body: "{}".into() });
    let value = serde_json::to_value(&record).expect("record serializes");
    assert_eq!(serde_json::from_value::<Record>(value).expect("record deserializes"), record);
}

#[test]
fn started_record_is_dispatched_only_by_the_request_that_wrote_it() {
    let started = record(1, State::Started);
    assert_eq!(idempotency::decide(&started, "d", Request(1)), Action::Dispatch);
    let Action::Refuse(refusal) = idempotency::decide(&started, "d", Request(2)) else {
        panic!("dispatched twice")
    };
    assert_eq!((refusal.code, refusal.not_run), (Code::InProgress, false));
}

#[test]
fn answered_call_is_replayed_and_call_with_unknown_outcome_is_not_sent_again() {
    let answered = record(1, State::Answered { status: 201, body: "ok".into() });
    assert_eq!(
        idempotency::decide(&answered, "d", Request(2)),
        Action::Replay { status: 201, body: "ok".into() }
    );
    let Action::Refuse(refusal) = idempotency::decide(&record(1, State::Unknown), "d", Request(1)) else {
        panic!("sent again")
    };
    assert_eq!((refusal.code, refusal.not_run), (Code::OutcomeUnknown, false));
}

#[test]
fn key_reused_for_another_call_is_refused_as_not_run() {
    let Action::Refuse(refusal) = idempotency::decide(&record(1, State::Started), "other", Request(1)) else {
        panic!("accepted")
    };
    assert_eq!((refusal.code, refusal.not_run), (Code::KeyReused, true));
}

/// Guards against reporting "not run" while a lost write may still be applied.
#[test]
fn lost_write_is_resolved_by_comparing_tokens() {
    assert_eq!(
        idempotency::resolve_write(Some(&record(1, State::Started)), Request(1)),
        WriteOutcome::Applied
    );
    assert_eq!(
        idempotency::resolve_write(Some(&record(2, State::Started)), Request(1)),
        WriteOutcome::Conflict
    );
    assert_eq!(idempotency::resolve_write(None, Request(1)), WriteOutcome::Missing);
}
