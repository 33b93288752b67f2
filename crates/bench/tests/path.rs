//! The whole path over real connections: entries, agents and stand-ins in one process.

use std::time::Duration;

use async_std::{future, task};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use quickcheck::{Arbitrary as _, Gen};
use serde_json::json;
use tarragonhill_bench::{
    caller::{Caller, Completion, Outcome, Refusal},
    fleet::{Fleet, MODEL, SERVICE, Shape, Tenant, key_of},
    sim::{DECODE_POISON, POISON, prefill},
};
use tarragonhill_core::{
    plan::Intent,
    settings::{Role, WithdrawalPolicy},
};
use tarragonhill_operator::{Client, OperatorError};

/// Longest wait for what must come about; nothing is asserted about how long it takes.
const PATIENCE: Duration = Duration::from_secs(30);

fn shape() -> Shape {
    Shape {
        prefill_profile: prefill::Profile { tokens_per_s: 1_000_000, ..prefill::Profile::default() },
        tenants: vec![
            Tenant::new("faculty", 500_000, 1_000_000),
            Tenant::new("grants", 1_000, 1_000),
            Tenant::new("poor", 1, 1),
        ],
        ..Shape::small()
    }
}

fn completion(prompt: &str, max_tokens: u32, stream: bool) -> Completion {
    Completion { model: MODEL.into(), prompt: prompt.into(), max_tokens, stream }
}

fn caller(fleet: &Fleet, entry: usize, tenant: &str) -> Caller {
    Caller::new(fleet.entry(entry).address(), key_of(tenant))
}

async fn eventually<F: Future<Output = bool>>(holds: impl Fn() -> F) -> bool {
    let look = async {
        while !holds().await {
            task::sleep(Duration::from_millis(20)).await;
        }
    };
    future::timeout(PATIENCE, look).await.is_ok()
}

fn run<F: Future>(test: impl FnOnce(Fleet) -> F) -> F::Output {
    task::block_on(async { test(Fleet::start(shape()).await.expect("the fleet starts")).await })
}

fn refusal(outcome: &Outcome) -> (&str, bool) {
    match outcome {
        Outcome::Refused(Refusal { code, not_run, .. }) => (code, *not_run),
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn answers_are_whole_streamed_or_not_through_every_entry() {
    run(|fleet| async move {
        for (entry, stream) in [(0, true), (1, false), (2, true)] {
            let wanted = completion(&format!("question {entry}"), 20, stream);
            let timed = caller(&fleet, entry, "faculty").complete(&wanted).await;
            assert!(timed.is_correct(&wanted), "{:?}", timed.outcome);
        }
        fleet.stop().await;
    });
}

/// A caller leaves in the middle of its stream. Unless that reaches the engine, its memory stays
/// held until the answer nobody reads is done.
#[test]
fn memory_falls_free_when_the_caller_leaves() {
    run(|fleet| async move {
        let wanted = completion("never read to its end", 5_000, true);
        caller(&fleet, 0, "faculty").disconnect_after(&wanted, 2).await.expect("the stream begins");
        let free = || async { fleet.decode.iter().all(|engine| engine.memory().0 == 0) };
        assert!(eventually(free).await);
        fleet.stop().await;
    });
}

/// Bad input gets a clear 4xx that says "not run", and no engine sees it.
#[test]
fn bad_input_is_refused_and_reaches_no_engine() {
    run(|fleet| async move {
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
            let answer = raw(address, request.as_bytes()).await;
            let start: String = request.chars().take(90).collect();
            assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{start:?}: {answer}");
            assert!(answer.contains(code) && answer.contains(r#""not_run":true"#), "{start:?}: {answer}");
        }
        assert!(fleet.prefill.iter().all(|engine| engine.starts.all().is_empty()));
        fleet.stop().await;
    });
}

/// Sends bytes and reads what comes back at once.
async fn raw(address: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = async_std::net::TcpStream::connect(address).await.expect("connects");
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let mut part = [0; 4_096];
    while !String::from_utf8_lossy(&answer).contains('}') {
        match future::timeout(PATIENCE, stream.read(&mut part)).await {
            Ok(Ok(count)) if count > 0 => answer.extend_from_slice(&part[..count]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Whatever bytes a caller sends as a body, it gets a refusal and the entry lives.
#[test]
fn any_body_is_refused_or_answered() {
    run(|fleet| async move {
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

/// A tenant far over its burst is refused with the time to come back, and nothing of it runs.
#[test]
fn over_rate_is_refused_as_not_run() {
    run(|fleet| async move {
        let mut refused = 0;
        for number in 0..6 {
            let wanted = completion(&format!("{number}{}", "x".repeat(3_000)), 4, false);
            let timed = caller(&fleet, number % 3, "grants").complete(&wanted).await;
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

/// A caller leaves each answer in its middle. Charged for nothing, its customer could have any
/// number of prefills run beyond its rate.
#[test]
fn leaving_early_is_not_free() {
    run(|fleet| async move {
        let caller = caller(&fleet, 0, "grants");
        let wanted = completion(&"x".repeat(3_200), 100, true);
        caller.disconnect_after(&wanted, 1).await.expect("the stream begins");
        let free = || async { fleet.decode.iter().all(|engine| engine.memory().0 == 0) };
        assert!(eventually(free).await);
        let again = caller.complete(&completion(&"y".repeat(3_600), 90, false)).await;
        assert_eq!(refusal(&again.outcome), ("over_rate", true));
        fleet.stop().await;
    });
}

/// The plain service's answer is lost after the call took effect. The caller tries again under the
/// same key, through another entry: the call must not be sent a second time.
#[test]
fn call_with_a_lost_answer_is_never_sent_again() {
    run(|fleet| async move {
        fleet.plain.iter().for_each(|service| service.faults.set_loss_rate(1_000));
        let path = format!("/v1/services/{SERVICE}/submissions");
        let file = |entry| {
            let caller = caller(&fleet, entry, "faculty");
            let path = path.clone();
            async move { caller.call("POST", &path, &json!({"page": 1}), Some("s-1")).await.expect("an answer") }
        };
        let (status, body) = file(0).await;
        assert_eq!((status, body["error"]["code"].as_str()), (502, Some("outcome_unknown")));
        fleet.plain.iter().for_each(|service| service.faults.set_loss_rate(0));
        let (status, body) = file(1).await;
        assert_eq!((status, body["error"]["code"].as_str()), (502, Some("outcome_unknown")));
        let executed: u32 = fleet.plain.iter().flat_map(|s| s.executions().into_values()).sum();
        assert_eq!(executed, 1);
        fleet.stop().await;
    });
}

/// A call is given up before it is sent, and the write that says so looks lost and lands late. In
/// between the call was made under the same key. The late write must not undo the record of that,
/// or the next caller makes it again.
#[test]
fn late_write_does_not_undo_a_record() {
    run(|fleet| async move {
        let late = Duration::from_secs(2);
        let caller = caller(&fleet, 0, "poor");
        // Spends what the customer has, so that the call is given up for lack of tokens.
        let lookup = format!("/v1/services/{SERVICE}/records/1");
        caller.call("GET", &lookup, &json!(null), None).await.expect("an answer");
        fleet.table.delay_write("once/", 1, late);
        let path = format!("/v1/services/{SERVICE}/submissions");
        let body = json!({});
        let file = || caller.call("POST", &path, &body, Some("s-3"));
        let mut given_up = 0;
        while file().await.expect("an answer").0 != 200 {
            given_up += 1;
            task::sleep(Duration::from_millis(100)).await;
        }
        assert!(given_up > 0, "the call was never given up");
        task::sleep(late).await;
        assert_eq!(file().await.expect("an answer").0, 200);
        let executed: u32 = fleet.plain.iter().flat_map(|s| s.executions().into_values()).sum();
        assert_eq!(executed, 1);
        fleet.stop().await;
    });
}

/// The table is down before the call. Sent without a record, it might be repeated; it is refused.
#[test]
fn call_without_a_record_is_not_sent() {
    run(|fleet| async move {
        fleet.table.faults.set_down(true);
        let path = format!("/v1/services/{SERVICE}/submissions");
        let caller = caller(&fleet, 0, "faculty");
        let (status, body) = caller.call("POST", &path, &json!({}), Some("s-2")).await.expect("an answer");
        assert_eq!(
            (status, &body["error"]["code"], &body["error"]["not_run"]),
            (503, &json!("record_unavailable"), &json!(true))
        );
        assert!(fleet.plain.iter().all(|service| service.executions().is_empty()));
        fleet.table.faults.set_down(false);
        let (status, _) = caller.call("POST", &path, &json!({}), Some("s-2")).await.expect("an answer");
        assert_eq!(status, 200);
        fleet.stop().await;
    });
}

#[test]
fn key_used_with_another_body_is_refused_and_belongs_to_its_customer() {
    run(|fleet| async move {
        let path = format!("/v1/services/{SERVICE}/submissions");
        let faculty = caller(&fleet, 0, "faculty");
        let one = faculty.call("POST", &path, &json!({"page": 1}), Some("k")).await.expect("an answer");
        let other = faculty.call("POST", &path, &json!({"page": 2}), Some("k")).await.expect("an answer");
        let foreign = caller(&fleet, 0, "grants").call("POST", &path, &json!({"page": 2}), Some("k")).await;
        assert_eq!((one.0, other.0, foreign.expect("an answer").0), (200, 422, 200));
        fleet.stop().await;
    });
}

/// A request crashes each engine it runs on and is sent again and again. After two crashes it is
/// refused, and others are served.
#[test]
fn crashing_request_is_quarantined_and_others_are_served() {
    run(|fleet| async move {
        let poison = completion(POISON, 4, false);
        let caller = caller(&fleet, 0, "faculty");
        caller.complete(&poison).await;
        let again = caller.complete(&poison).await;
        assert_eq!(refusal(&again.outcome), ("quarantined", true));
        let crashes: usize = fleet.prefill.iter().map(|engine| engine.starts.all().len()).sum();
        assert_eq!(crashes, 2);
        let innocent = completion("innocent", 4, false);
        assert!(caller.complete(&innocent).await.is_correct(&innocent));
        fleet.stop().await;
    });
}

/// A request crashes decode engines with everything that runs beside it. Its neighbours come out
/// served, and it is refused at every entry after two crashes.
#[test]
fn innocent_neighbours_of_a_crash_are_served() {
    run(|fleet| async move {
        let neighbours: Vec<_> = (0..12)
            .map(|number| {
                let wanted = completion(&format!("neighbour {number}"), 60, true);
                let caller = caller(&fleet, number % 3, "faculty");
                task::spawn(async move {
                    let timed = caller.complete(&wanted).await;
                    assert!(timed.is_correct(&wanted), "{:?}", timed.outcome);
                })
            })
            .collect();
        let busy = || async { fleet.decode.iter().all(|engine| engine.memory().1 > 0) };
        assert!(eventually(busy).await);
        let poison = completion(DECODE_POISON, 8, false);
        caller(&fleet, 0, "faculty").complete(&poison).await;
        for entry in 0..3 {
            let refused = || async {
                let timed = caller(&fleet, entry, "faculty").complete(&poison).await;
                matches!(timed.outcome, Outcome::Refused(refused) if refused.code == "quarantined")
            };
            assert!(eventually(refused).await);
        }
        for neighbour in neighbours {
            neighbour.await;
        }
        fleet.stop().await;
    });
}

/// A decode engine dies in the middle of an answer. The rest comes from another engine, and the
/// caller sees one whole answer without a repeated token.
#[test]
fn broken_decode_resumes_elsewhere() {
    run(|fleet| async move {
        let wanted = completion("resumed", 200, true);
        let caller = caller(&fleet, 0, "faculty");
        let asked = wanted.clone();
        let answer = task::spawn(async move { caller.complete(&asked).await });
        let running = || async { fleet.decode.iter().any(|engine| engine.memory().1 > 0) };
        assert!(eventually(running).await);
        let engine = fleet.decode.iter().find(|engine| engine.memory().1 > 0).expect("it runs");
        engine.faults.set_down(true);
        let timed = answer.await;
        assert!(timed.is_correct(&wanted), "{:?}", timed.outcome);
        fleet.stop().await;
    });
}

/// An entry is shut down while it streams an answer. The answer comes whole; new callers are told
/// to go elsewhere.
#[test]
fn graceful_shutdown_cuts_no_request() {
    run(|mut fleet| async move {
        let wanted = completion("still running", 60, true);
        let caller = caller(&fleet, 1, "faculty");
        let asked = wanted.clone();
        let answer = task::spawn(async move { caller.complete(&asked).await });
        let running = || async { fleet.decode.iter().any(|engine| engine.memory().1 > 0) };
        assert!(eventually(running).await);
        let entry = fleet.entries[1].take().expect("not killed");
        entry.shutdown().await;
        assert!(answer.await.is_correct(&wanted));
        fleet.stop().await;
    });
}

/// Two operators confirm at once. One wins; the other is told clearly and changes nothing.
#[test]
fn of_two_racing_operators_one_wins() {
    run(|fleet| async move {
        let put = |burst| Intent::PutCustomer { name: "grants".into(), rate: 1_000, burst, weight: 1 };
        let clients = [0, 1].map(|entry| Client::new(fleet.entry(entry).admin(), None));
        let first = clients[0].plan(&put(5_000)).await.expect("a plan");
        let second = clients[1].plan(&put(6_000)).await.expect("a plan");
        assert_eq!(clients[0].confirm(&first).await, Ok(2));
        let lost = clients[1].confirm(&second).await;
        assert!(matches!(lost, Err(OperatorError::Refused { code, .. }) if code == "moved"));
        let settings = clients[0].settings().await.expect("settings");
        assert_eq!(settings["customers"]["grants"]["burst"], 5_000);
        assert_eq!(clients[1].resolve(&first.plan.id).await.expect("known")["outcome"], "confirmed");
        assert_eq!(clients[1].resolve(&second.plan.id).await.expect("known")["outcome"], "not_confirmed");
        assert!(clients[1].confirm(&second).await.is_err(), "resolved as not confirmed, it stays so");
        fleet.stop().await;
    });
}

/// A key is withdrawn while the table's answers are lost. It stops working on every entry.
#[test]
fn withdrawn_key_stops_everywhere_though_the_answer_is_lost() {
    run(|fleet| async move {
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
            assert!(eventually(refused).await);
        }
        fleet.stop().await;
    });
}

/// A key is withdrawn while its prefill runs. The agent stops it, and the caller was told "not run"
/// though the engine had worked on it: found by `check`, seed 12, as not-run-true broken.
#[test]
fn request_cut_in_its_prefill_is_not_called_not_run() {
    let slow = prefill::Profile { tokens_per_s: 50, ..prefill::Profile::default() };
    task::block_on(async {
        let fleet = Fleet::start(Shape { prefill_profile: slow, ..shape() }).await.expect("the fleet starts");
        let wanted = completion(&"x".repeat(2_000), 4, false);
        let caller = caller(&fleet, 0, "grants");
        let answer = task::spawn(async move { caller.complete(&wanted).await });
        let running = || async { fleet.prefill.iter().any(|engine| !engine.starts.all().is_empty()) };
        assert!(eventually(running).await);
        let client = Client::new(fleet.entry(0).admin(), None);
        let intent = Intent::WithdrawKey { id: "grants-1".into(), running: WithdrawalPolicy::Cut };
        let planned = client.plan(&intent).await.expect("a plan");
        client.confirm(&planned).await.expect("confirmed");
        assert_eq!(refusal(&answer.await.outcome), ("bad_key", false));
        fleet.stop().await;
    });
}

/// A host is drained. New requests go elsewhere on every entry.
#[test]
fn drained_endpoint_gets_no_new_work() {
    run(|fleet| async move {
        let client = Client::new(fleet.entry(0).admin(), None);
        let planned =
            client.plan(&Intent::DrainHost { host: "host-prefill-0".into() }).await.expect("a plan");
        client.confirm(&planned).await.expect("confirmed");
        let everywhere = || async {
            let known = client.resolve(&planned.plan.id).await;
            known.is_ok_and(|known| known["not_in_force_at"] == json!([]))
        };
        assert!(eventually(everywhere).await);
        let before = fleet.prefill[0].starts.all().len();
        for number in 0..9 {
            let wanted = completion(&format!("after the drain {number}"), 2, false);
            let timed = caller(&fleet, number % 3, "faculty").complete(&wanted).await;
            assert!(timed.is_correct(&wanted), "{:?}", timed.outcome);
        }
        assert_eq!(fleet.prefill[0].starts.all().len(), before);
        assert!(fleet.agents.contains_key(&format!("{}-0", Role::Prefill)));
        fleet.stop().await;
    });
}
