//! Calls that may not be repeated: what a record found under a key means.

use tarragonhill_core::{
    Code, Request,
    idempotency::{self, Action, Record, State, WriteOutcome},
};

fn record(token: u128, state: State) -> Record {
    Record { digest: "d".into(), token: Request(token), state }
}

/// A filing was executed twice though both carried one idempotency key. The record's token did not
/// fit a JSON number, the error was swallowed, and an empty row was written that the second
/// request took for no record.
#[test]
fn record_survives_the_trip_through_json() {
    let record = record(u128::MAX, State::Answered { status: 200, body: "{}".into() });
    let value = serde_json::to_value(&record).expect("a record fits JSON");
    assert_eq!(serde_json::from_value::<Record>(value).expect("and comes back"), record);
}

#[test]
fn own_started_record_is_dispatched_and_foreign_one_is_not() {
    let started = record(1, State::Started);
    assert_eq!(idempotency::decide(&started, "d", Request(1)), Action::Dispatch);
    let Action::Refuse(refusal) = idempotency::decide(&started, "d", Request(2)) else {
        panic!("dispatched twice")
    };
    assert_eq!((refusal.code, refusal.not_run), (Code::InProgress, false));
}

#[test]
fn answered_record_is_replayed_and_unknown_one_is_never_sent_again() {
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
fn same_key_with_another_body_is_refused_as_not_run() {
    let Action::Refuse(refusal) = idempotency::decide(&record(1, State::Started), "other", Request(1)) else {
        panic!("accepted")
    };
    assert_eq!((refusal.code, refusal.not_run), (Code::KeyReused, true));
}

/// The table's answer to the record's write was lost. Reading back finds our own token, another's
/// record, or nothing; the last may still land and needs a tombstone before "not run" is true.
#[test]
fn lost_write_is_settled_by_comparing_tokens() {
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
