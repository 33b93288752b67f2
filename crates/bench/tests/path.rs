//! Tests of complete fleets: entries, agents and simulated servers in one process, over loopback TCP.

use std::time::Duration;

use async_std::{future, task};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use quickcheck::{Arbitrary as _, Gen};
use serde_json::json;
use tarragonhill_bench::{
    caller::{Caller, Completion, Outcome, Refusal},
    fleet::{Customer, Fleet, MODEL, SERVICE, Shape, key_of},
    sim::{DECODE_POISON, POISON, prefill},
};
use tarragonhill_core::{
    home::SHARD_PREFIX,
    plan::Intent,
    settings::{Role, WithdrawalPolicy},
};
use tarragonhill_operator::{Client, OperatorError};

/// Maximum wait for an expected condition. The tests assert nothing about latency.
const TIMEOUT: Duration = Duration::from_secs(30);

fn shape() -> Shape {
    Shape {
        prefill_profile: prefill::Profile { tokens_per_s: 1_000_000, ..prefill::Profile::default() },
        customers: vec![
            Customer::new("faculty", 500_000, 1_000_000),
            Customer::new("grants", 1_000, 1_000),
            Customer::new("poor", 1, 1),
        ],
        ..Shape::small()
    }
}

fn completion(prompt: &str, max_tokens: u32, stream: bool) -> Completion {
    Completion { model: MODEL.into(), prompt: prompt.into(), max_tokens, stream }
}

fn caller(fleet: &Fleet, entry: usize, customer: &str) -> Caller {
    Caller::new(fleet.entry(entry).address(), key_of(customer))
}

async fn wait_until<F: Future<Output = bool>>(condition: impl Fn() -> F) -> bool {
    let poll = async {
        while !condition().await {
            task::sleep(Duration::from_millis(20)).await;
        }
    };
    future::timeout(TIMEOUT, poll).await.is_ok()
}

fn with_fleet<F: Future>(test: impl FnOnce(Fleet) -> F) -> F::Output {
    task::block_on(async { test(Fleet::start(shape()).await.expect("the fleet starts")).await })
}

fn refusal(outcome: &Outcome) -> (&str, bool) {
    match outcome {
        Outcome::Refused(Refusal { code, not_run, .. }) => (code, *not_run),
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn every_entry_returns_complete_answers() {
    with_fleet(|fleet| async move {
        for (entry, stream) in [(0, true), (1, false), (2, true)] {
            let request = completion(&format!("question {entry}"), 20, stream);
            let timed = caller(&fleet, entry, "faculty").complete(&request).await;
            assert!(timed.is_correct(&request), "{:?}", timed.outcome);
        }
        fleet.stop().await;
    });
}

/// The disconnect must reach the engine, or the memory stays in use until the answer is complete.
#[test]
fn decode_memory_is_freed_when_the_caller_disconnects() {
    with_fleet(|fleet| async move {
        let request = completion("never read to its end", 5_000, true);
        caller(&fleet, 0, "faculty").disconnect_after(&request, 2).await.expect("the stream begins");
        let free = || async { fleet.decode.iter().all(|engine| engine.memory().0 == 0) };
        assert!(wait_until(free).await);
        fleet.stop().await;
    });
}

/// Invalid requests get a 4xx response with `not_run`.
#[test]
fn invalid_request_is_refused_and_reaches_no_engine() {
    with_fleet(|fleet| async move {
        let address = fleet.entry(0).address();
        let head = |key: &str, length: usize| {
            format!(
                "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\ncontent-length: {length}\r\n\r\n"
            )
        };
        let key = key_of("faculty");
        let body = |body: &str| format!("{}{body}", head(&key, body.len()));
        for (request, status, code) in [
            (body("{"), 400, "bad_request"),
            (body(r#"{"model":"drafting","prompt":"x","colour":1}"#), 400, "colour"),
            (body(r#"{"model":"drafting","prompt":""}"#), 400, "prompt is empty"),
            (body(r#"{"model":"drafting","prompt":"x","max_tokens":0}"#), 400, "max_tokens"),
            (body(r#"{"model":"unheard-of","prompt":"x"}"#), 404, "unknown_model"),
            (body(r#"{"model":"drafting","prompt":"x","max_tokens":999999}"#), 400, "prompt_too_long"),
            (head("wrong", 0), 401, "bad_key"),
            (head(&key, 50_000_000), 413, "body_too_large"),
            ("POST /v1/completions HTTP/1.1\r\nhost: x\r\n\r\n".into(), 401, "bad_key"),
            (
                format!("GET /nowhere HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\r\n"),
                404,
                "not_found",
            ),
            ("no http at all\r\n\r\n".into(), 400, "bad_request"),
            (
                format!("GET / HTTP/1.1\r\nhost: x\r\nlong: {}\r\n\r\n", "x".repeat(20_000)),
                400,
                "bad_request",
            ),
        ] {
            let answer = send_raw(address, request.as_bytes()).await;
            let start: String = request.chars().take(90).collect();
            assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{start:?}: {answer}");
            assert!(answer.contains(code) && answer.contains(r#""not_run":true"#), "{start:?}: {answer}");
        }
        assert!(fleet.prefill.iter().all(|engine| engine.starts.all().is_empty()));
        fleet.stop().await;
    });
}

/// Sends raw bytes and reads the response up to the end of its JSON body.
async fn send_raw(address: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = async_std::net::TcpStream::connect(address).await.expect("connects");
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let mut part = [0; 4_096];
    while !String::from_utf8_lossy(&answer).contains('}') {
        match future::timeout(TIMEOUT, stream.read(&mut part)).await {
            Ok(Ok(count)) if count > 0 => answer.extend_from_slice(&part[..count]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// No body may crash the entry.
#[test]
fn arbitrary_text_as_body_is_refused() {
    with_fleet(|fleet| async move {
        let caller = caller(&fleet, 0, "faculty");
        let mut generator = Gen::from_size_and_seed(60, 7);
        for _ in 0..100 {
            let text = String::arbitrary(&mut generator);
            let (status, _) =
                caller.call("POST", "/v1/completions", &json!(text), None).await.expect("an answer");
            assert_eq!(status, 400);
        }
        fleet.stop().await;
    });
}

/// Requests beyond a customer's burst are refused with `retry_after`.
#[test]
fn request_over_the_rate_is_refused_as_not_run() {
    with_fleet(|fleet| async move {
        let mut refused = 0;
        for number in 0..6 {
            let request = completion(&format!("{number}{}", "x".repeat(3_000)), 4, false);
            let timed = caller(&fleet, number % 3, "grants").complete(&request).await;
            if let Outcome::Refused(refusal) = &timed.outcome {
                assert_eq!((refusal.code.as_str(), refusal.not_run), ("over_rate", true));
                assert!(refusal.retry_after.is_some());
                refused += 1;
            }
        }
        assert!(refused >= 2, "{refused}");
        fleet.stop().await;
    });
}

/// Without the charge, a customer could exceed its rate by disconnecting before the end of answers.
#[test]
fn request_is_charged_when_the_caller_disconnects() {
    with_fleet(|fleet| async move {
        let caller = caller(&fleet, 0, "grants");
        let request = completion(&"x".repeat(3_200), 100, true);
        caller.disconnect_after(&request, 1).await.expect("the stream begins");
        let free = || async { fleet.decode.iter().all(|engine| engine.memory().0 == 0) };
        assert!(wait_until(free).await);
        let again = caller.complete(&completion(&"y".repeat(3_600), 90, false)).await;
        assert_eq!(refusal(&again.outcome), ("over_rate", true));
        fleet.stop().await;
    });
}

/// The service's response is lost after the call was executed. A retry with the same idempotency key
/// through another entry must not execute the call again.
#[test]
fn call_with_a_lost_response_is_not_repeated() {
    with_fleet(|fleet| async move {
        fleet.plain.iter().for_each(|service| service.faults.set_loss_rate(1_000));
        let path = format!("/v1/services/{SERVICE}/submissions");
        let submit = |entry| {
            let caller = caller(&fleet, entry, "faculty");
            let path = path.clone();
            async move { caller.call("POST", &path, &json!({"page": 1}), Some("s-1")).await.expect("an answer") }
        };
        let (status, body) = submit(0).await;
        assert_eq!((status, body["error"]["code"].as_str()), (502, Some("outcome_unknown")));
        fleet.plain.iter().for_each(|service| service.faults.set_loss_rate(0));
        let (status, body) = submit(1).await;
        assert_eq!((status, body["error"]["code"].as_str()), (502, Some("outcome_unknown")));
        let executed: u32 = fleet.plain.iter().flat_map(|s| s.execution_counts().into_values()).sum();
        assert_eq!(executed, 1);
        fleet.stop().await;
    });
}

/// The write that records a refused call is delayed until a retry with the same key has been executed.
/// If it overwrote the outcome of the retry, the next retry would execute the call again.
#[test]
fn delayed_write_does_not_overwrite_an_outcome() {
    with_fleet(|fleet| async move {
        let delay = Duration::from_secs(2);
        let caller = caller(&fleet, 0, "poor");
        // Uses up the customer's tokens, so that the call is refused for exceeding the rate.
        let lookup = format!("/v1/services/{SERVICE}/records/1");
        caller.call("GET", &lookup, &json!(null), None).await.expect("an answer");
        fleet.table.delay_write("once/", 1, delay);
        let path = format!("/v1/services/{SERVICE}/submissions");
        let body = json!({});
        let submit = || caller.call("POST", &path, &body, Some("s-3"));
        let mut refused_count = 0;
        while submit().await.expect("an answer").0 != 200 {
            refused_count += 1;
            task::sleep(Duration::from_millis(100)).await;
        }
        assert!(refused_count > 0, "the call was never refused");
        task::sleep(delay).await;
        assert_eq!(submit().await.expect("an answer").0, 200);
        let executed: u32 = fleet.plain.iter().flat_map(|s| s.execution_counts().into_values()).sum();
        assert_eq!(executed, 1);
        fleet.stop().await;
    });
}

/// The table is down. A call sent without a record could be executed twice, so it must be refused.
#[test]
fn call_is_refused_while_its_outcome_cannot_be_recorded() {
    with_fleet(|fleet| async move {
        fleet.table.faults.set_down(true);
        let path = format!("/v1/services/{SERVICE}/submissions");
        let caller = caller(&fleet, 0, "faculty");
        let (status, body) = caller.call("POST", &path, &json!({}), Some("s-2")).await.expect("an answer");
        assert_eq!(
            (status, &body["error"]["code"], &body["error"]["not_run"]),
            (503, &json!("record_unavailable"), &json!(true))
        );
        assert!(fleet.plain.iter().all(|service| service.execution_counts().is_empty()));
        fleet.table.faults.set_down(false);
        let (status, _) = caller.call("POST", &path, &json!({}), Some("s-2")).await.expect("an answer");
        assert_eq!(status, 200);
        fleet.stop().await;
    });
}

#[test]
fn idempotency_key_is_bound_to_its_body_and_customer() {
    with_fleet(|fleet| async move {
        let path = format!("/v1/services/{SERVICE}/submissions");
        let faculty = caller(&fleet, 0, "faculty");
        let one = faculty.call("POST", &path, &json!({"page": 1}), Some("k")).await.expect("an answer");
        let other = faculty.call("POST", &path, &json!({"page": 2}), Some("k")).await.expect("an answer");
        let foreign = caller(&fleet, 0, "grants").call("POST", &path, &json!({"page": 2}), Some("k")).await;
        assert_eq!((one.0, other.0, foreign.expect("an answer").0), (200, 422, 200));
        fleet.stop().await;
    });
}

/// A request that crashed two engines is refused, and other requests are served.
#[test]
fn crashing_request_is_quarantined_and_others_are_served() {
    with_fleet(|fleet| async move {
        let poison = completion(POISON, 4, false);
        let caller = caller(&fleet, 0, "faculty");
        caller.complete(&poison).await;
        let again = caller.complete(&poison).await;
        assert_eq!(refusal(&again.outcome), ("quarantined", true));
        let crashes: usize = fleet.prefill.iter().map(|engine| engine.starts.all().len()).sum();
        assert_eq!(crashes, 2);
        let harmless = completion("innocent", 4, false);
        assert!(caller.complete(&harmless).await.is_correct(&harmless));
        fleet.stop().await;
    });
}

/// A request crashes decode engines while they serve other requests. Those must be answered, and every
/// entry must refuse the crashing request after two crashes.
#[test]
fn other_requests_on_a_crashed_engine_are_served() {
    with_fleet(|fleet| async move {
        let others: Vec<_> = (0..12)
            .map(|number| {
                let request = completion(&format!("neighbour {number}"), 60, true);
                let caller = caller(&fleet, number % 3, "faculty");
                task::spawn(async move {
                    let timed = caller.complete(&request).await;
                    assert!(timed.is_correct(&request), "{:?}", timed.outcome);
                })
            })
            .collect();
        let busy = || async { fleet.decode.iter().all(|engine| engine.memory().1 > 0) };
        assert!(wait_until(busy).await);
        let poison = completion(DECODE_POISON, 8, false);
        caller(&fleet, 0, "faculty").complete(&poison).await;
        for entry in 0..3 {
            let refused = || async {
                let timed = caller(&fleet, entry, "faculty").complete(&poison).await;
                matches!(timed.outcome, Outcome::Refused(refused) if refused.code == "quarantined")
            };
            assert!(wait_until(refused).await);
        }
        for other in others {
            other.await;
        }
        fleet.stop().await;
    });
}

/// The decode engine fails in the middle of an answer. The caller must receive the complete answer
/// without repeated tokens.
#[test]
fn stream_resumes_on_another_decode_engine() {
    with_fleet(|fleet| async move {
        let request = completion("resumed", 200, true);
        let caller = caller(&fleet, 0, "faculty");
        let sent = request.clone();
        let answer = task::spawn(async move { caller.complete(&sent).await });
        let running = || async { fleet.decode.iter().any(|engine| engine.memory().1 > 0) };
        assert!(wait_until(running).await);
        let engine = fleet.decode.iter().find(|engine| engine.memory().1 > 0).expect("it runs");
        engine.faults.set_down(true);
        let timed = answer.await;
        assert!(timed.is_correct(&request), "{:?}", timed.outcome);
        fleet.stop().await;
    });
}

/// An entry that shuts down must complete the streams in progress.
#[test]
fn graceful_shutdown_completes_streams() {
    with_fleet(|mut fleet| async move {
        let request = completion("still running", 60, true);
        let caller = caller(&fleet, 1, "faculty");
        let sent = request.clone();
        let answer = task::spawn(async move { caller.complete(&sent).await });
        let running = || async { fleet.decode.iter().any(|engine| engine.memory().1 > 0) };
        assert!(wait_until(running).await);
        let entry = fleet.entries[1].take().expect("not killed");
        entry.shutdown().await;
        assert!(answer.await.is_correct(&request));
        fleet.stop().await;
    });
}

/// Guards against a shutdown that waits for a stream until the process is killed, without a handover.
#[test]
fn a_stream_that_outlasts_the_drain_time_prevents_neither_handover_nor_shutdown() {
    task::block_on(async {
        let drain = Duration::from_secs(8);
        let mut fleet = Fleet::start(Shape { drain, ..shape() }).await.expect("the fleet starts");
        let request = completion("longer than the drain time", 5_000, true);
        let caller = caller(&fleet, 1, "faculty");
        let answer = task::spawn(async move { caller.complete(&request).await });
        let running = || async { fleet.decode.iter().any(|engine| engine.memory().1 > 0) };
        assert!(wait_until(running).await);
        let entry = fleet.entries[1].take().expect("not killed");
        future::timeout(TIMEOUT, entry.shutdown()).await.expect("the shutdown ends");
        let shards = fleet.table.keys(SHARD_PREFIX);
        let owner = |key: &String| fleet.table.get(key).expect("a shard")["owner"].clone();
        assert!(!shards.is_empty() && shards.iter().all(|key| owner(key) != "entry-1"));
        let cut = future::timeout(TIMEOUT, answer).await.expect("the connection is closed");
        assert!(matches!(cut.outcome, Outcome::Broken { .. }), "{:?}", cut.outcome);
        fleet.stop().await;
    });
}

/// Guards against a handover that cuts requests which would end within the drain time.
#[test]
fn a_stream_that_runs_during_the_handover_is_completed() {
    task::block_on(async {
        let drain = Duration::from_secs(8);
        let mut fleet = Fleet::start(Shape { drain, ..shape() }).await.expect("the fleet starts");
        let request = completion("still running", 60, true);
        let caller = caller(&fleet, 1, "faculty");
        let sent = request.clone();
        let answer = task::spawn(async move { caller.complete(&sent).await });
        let running = || async { fleet.decode.iter().any(|engine| engine.memory().1 > 0) };
        assert!(wait_until(running).await);
        let entry = fleet.entries[1].take().expect("not killed");
        entry.shutdown().await;
        assert!(answer.await.is_correct(&request));
        fleet.stop().await;
    });
}

/// Of two changes planned on the same version, the second is refused and has no effect.
#[test]
fn only_one_of_two_concurrent_changes_is_confirmed() {
    with_fleet(|fleet| async move {
        let put = |burst| Intent::PutCustomer { name: "grants".into(), rate: 1_000, burst, weight: 1 };
        let clients = [0, 1].map(|entry| Client::new(fleet.entry(entry).admin(), None));
        let first = clients[0].plan(&put(5_000)).await.expect("a plan");
        let second = clients[1].plan(&put(6_000)).await.expect("a plan");
        assert_eq!(clients[0].confirm(&first).await, Ok(2));
        let refused = clients[1].confirm(&second).await;
        assert!(matches!(refused, Err(OperatorError::Refused { code, .. }) if code == "moved"));
        let settings = clients[0].settings().await.expect("settings");
        assert_eq!(settings["customers"]["grants"]["burst"], 5_000);
        assert_eq!(clients[1].resolve(&first.plan.id).await.expect("known")["outcome"], "confirmed");
        assert_eq!(clients[1].resolve(&second.plan.id).await.expect("known")["outcome"], "not_confirmed");
        assert!(
            clients[1].confirm(&second).await.is_err(),
            "a plan resolved as not confirmed cannot be confirmed"
        );
        fleet.stop().await;
    });
}

/// The table's responses are lost while a key is withdrawn. Every entry must refuse the key.
#[test]
fn withdrawn_key_is_refused_although_the_confirmation_is_lost() {
    with_fleet(|fleet| async move {
        let client = Client::new(fleet.entry(0).admin(), None);
        let intent = Intent::WithdrawKey { id: "grants-1".into(), running: WithdrawalPolicy::Cut };
        let planned = client.plan(&intent).await.expect("a plan");
        fleet.table.faults.set_loss_rate(1_000);
        let _ = client.confirm(&planned).await;
        fleet.table.faults.set_loss_rate(0);
        assert_eq!(client.resolve(&planned.plan.id).await.expect("known")["outcome"], "confirmed");
        for entry in 0..3 {
            let caller = caller(&fleet, entry, "grants");
            let path = format!("/v1/services/{SERVICE}/records/1");
            let refused =
                || async { caller.call("GET", &path, &json!(null), None).await.is_ok_and(|a| a.0 == 401) };
            assert!(wait_until(refused).await);
        }
        fleet.stop().await;
    });
}

/// The key is withdrawn during the prefill. The refusal must not claim `not_run`, as the engine has
/// started work.
#[test]
fn request_cancelled_during_prefill_is_not_reported_as_not_run() {
    let slow = prefill::Profile { tokens_per_s: 50, ..prefill::Profile::default() };
    task::block_on(async {
        let fleet = Fleet::start(Shape { prefill_profile: slow, ..shape() }).await.expect("the fleet starts");
        let request = completion(&"x".repeat(2_000), 4, false);
        let caller = caller(&fleet, 0, "grants");
        let answer = task::spawn(async move { caller.complete(&request).await });
        let running = || async { fleet.prefill.iter().any(|engine| !engine.starts.all().is_empty()) };
        assert!(wait_until(running).await);
        let client = Client::new(fleet.entry(0).admin(), None);
        let intent = Intent::WithdrawKey { id: "grants-1".into(), running: WithdrawalPolicy::Cut };
        let planned = client.plan(&intent).await.expect("a plan");
        client.confirm(&planned).await.expect("confirmed");
        assert_eq!(refusal(&answer.await.outcome), ("bad_key", false));
        fleet.stop().await;
    });
}

/// After a host is drained, every entry sends new requests to other endpoints.
#[test]
fn drained_endpoint_gets_no_new_work() {
    with_fleet(|fleet| async move {
        let client = Client::new(fleet.entry(0).admin(), None);
        let planned =
            client.plan(&Intent::DrainHost { host: "host-prefill-0".into() }).await.expect("a plan");
        client.confirm(&planned).await.expect("confirmed");
        let is_in_force_everywhere = || async {
            let known = client.resolve(&planned.plan.id).await;
            known.is_ok_and(|known| known["not_in_force_at"] == json!([]))
        };
        assert!(wait_until(is_in_force_everywhere).await);
        let before = fleet.prefill[0].starts.all().len();
        for number in 0..9 {
            let request = completion(&format!("after the drain {number}"), 2, false);
            let timed = caller(&fleet, number % 3, "faculty").complete(&request).await;
            assert!(timed.is_correct(&request), "{:?}", timed.outcome);
        }
        assert_eq!(fleet.prefill[0].starts.all().len(), before);
        assert!(fleet.agents.contains_key(&format!("{}-0", Role::Prefill)));
        fleet.stop().await;
    });
}
