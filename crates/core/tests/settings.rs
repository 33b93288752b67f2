//! Settings snapshots, rows, and plans.

use quickcheck::{Gen, QuickCheck};
use tarragonhill_core::{
    plan::{Intent, Plan, PlanError},
    settings::{Customer, Endpoint, Role, Row, Snapshot, WithdrawalPolicy, digest},
};

fn snapshot() -> Snapshot {
    let rows = [
        Row::Customer("faculty".into(), Some(Customer { rate: 10, burst: 20, weight: 1 })),
        Row::Endpoint("decode".into(), Some(endpoint())),
    ];
    Snapshot::default().apply(7, &rows).expect("newer")
}

fn endpoint() -> Endpoint {
    Endpoint {
        role: Role::Decode,
        serves: "drafting".into(),
        host: "host-1".into(),
        zone: "zone".into(),
        address: "127.0.0.1:1".into(),
        agent: "127.0.0.1:2".into(),
        pieces: 4,
        context: 1_000,
        checks_fencing: false,
        leaving: false,
        generation: 3,
    }
}

fn plan(intent: Intent) -> Result<Plan, PlanError> {
    Plan::build("id".into(), &snapshot(), intent, |_| 0)
}

fn put_customer(burst: u64) -> Intent {
    Intent::PutCustomer { name: "faculty".into(), rate: 10, burst, weight: 1 }
}

/// Guards against a late table read that restores a withdrawn key.
#[test]
fn snapshot_version_never_decreases() {
    assert!(snapshot().apply(6, &[]).is_none());
    assert!(snapshot().apply(7, &[]).is_some());
}

#[test]
fn key_is_accepted_until_it_is_withdrawn() {
    let given = plan(Intent::GiveKey {
        id: "k1".into(),
        digest: digest("secret").into(),
        customer: "faculty".into(),
    });
    let given = given.expect("a plan");
    let rows = given.confirm(&snapshot(), &given.digest()).expect("confirmed");
    let with_key = snapshot().apply(8, &rows).expect("newer");
    assert_eq!(with_key.authenticate("secret").map(|key| key.customer.clone()), Some("faculty".into()));
    assert!(with_key.authenticate("other").is_none());
    let withdraw = Intent::WithdrawKey { id: "k1".into(), running: WithdrawalPolicy::Cut };
    let withdrawn = Plan::build("id".into(), &with_key, withdraw, |_| 0).expect("a plan");
    let rows = withdrawn.confirm(&with_key, &withdrawn.digest()).expect("confirmed");
    let without = with_key.apply(9, &rows).expect("newer");
    assert!(without.authenticate("secret").is_none());
    assert!(without.is_withdrawn("k1"));
}

/// Guards against two operators overwriting each other's changes.
#[test]
fn confirming_fails_if_the_version_has_changed() {
    let planned = plan(put_customer(99)).expect("a plan");
    let changed = snapshot().apply(8, &[]).expect("newer");
    let refused = planned.confirm(&changed, &planned.digest());
    assert_eq!(refused, Err(PlanError::VersionConflict { planned: 7, current: 8 }));
}

/// Guards against a plan that is edited between planning and confirmation.
#[test]
fn edited_plan_is_not_confirmed() {
    let planned = plan(put_customer(99)).expect("a plan");
    let digest = planned.digest();
    let mut edited = planned.clone();
    edited.intent = put_customer(1_000_000);
    assert_eq!(edited.confirm(&snapshot(), &digest), Err(PlanError::DigestMismatch));
    assert_eq!(edited.confirm(&snapshot(), &edited.digest()), Err(PlanError::DigestMismatch));
}

#[test]
fn plan_reports_its_impact() {
    let drained = plan(Intent::DrainHost { host: "host-1".into() }).expect("a plan");
    assert_eq!(drained.touches.endpoints, ["decode".into()]);
    assert_eq!(drained.touches.warnings.len(), 1, "no other endpoint serves its model");
}

#[test]
fn invalid_intents_are_refused_with_the_reason() {
    let refused = |intent| plan(intent).expect_err("refused").to_string();
    assert!(refused(put_customer(0)).contains("burst"));
    assert!(refused(Intent::DrainHost { host: "nowhere".into() }).contains("nowhere"));
    assert!(refused(Intent::RemoveEndpoint { name: "decode".into() }).contains("drain"));
    let bad = Endpoint { address: "not-an-address".into(), ..endpoint() };
    assert!(refused(Intent::PutEndpoint { name: "e".into(), endpoint: bad }).contains("not-an-address"));
    assert_eq!(plan(put_customer(20)), Err(PlanError::Unchanged));
}

#[test]
fn change_of_model_gets_the_next_fencing_number() {
    let order = Intent::Serve { endpoint: "decode".into(), role: Role::Decode, serves: "other".into() };
    let planned = plan(order).expect("a plan");
    let generation = planned.changes[0].after.as_ref().expect("a value")["generation"].clone();
    assert_eq!(generation, 8);
}

#[test]
fn unknown_fields_of_rows_and_intents_are_reported() {
    let row = serde_json::json!({ "rate": 1, "burst": 1, "brust": 2 });
    let error = Row::parse("settings/customer/a", Some(&row)).expect_err("refused").to_string();
    assert!(error.contains("brust"), "{error}");
    let intent = r#"{"intent":"drain_host","host":"a","hots":"b"}"#;
    let error = serde_json::from_str::<Intent>(intent).expect_err("refused").to_string();
    assert!(error.contains("hots"), "{error}");
}

/// Guards against a panic on malformed rows, as other programs write to the table as well.
fn parses_without_panic(key: String, text: String) -> bool {
    let value = serde_json::from_str(&text).ok().or(Some(serde_json::Value::String(text)));
    for kind in ["customer", "key", "endpoint", "version", "other"] {
        let _ = Row::parse(&format!("settings/{kind}/{key}"), value.as_ref());
        let _ = Row::parse(&format!("settings/{kind}"), value.as_ref());
    }
    Row::parse(&key, value.as_ref()).is_err() || key.starts_with("settings/")
}

#[test]
fn any_row_is_parsed_or_refused() {
    let generator = Gen::from_size_and_seed(80, 3);
    QuickCheck::new()
        .rng(generator)
        .tests(2_000)
        .quickcheck(parses_without_panic as fn(String, String) -> bool);
}
