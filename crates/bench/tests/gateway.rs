//! Tests of the gateway over real connections, against a simulated platform with injected faults.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use async_std::task;
use serde_json::json;
use tarragonhill_bench::platform::{
    caller::{self, Caller, Response, completion_request, plain_request},
    endpoint::{EVENT_COUNT, Endpoint, Fault, Role},
    site::{KEY, SMALL_KEY, Shape, Site, configuration, wait_until, wait_until_not_ready},
    store,
};
use tarragonhill_core::{Clock, clock::Manual};
use tarragonhill_h1::head::Request;

const PROMPT_TOKENS: u64 = 5_000;

fn run<T>(test: impl Future<Output = T>) -> T {
    task::block_on(test)
}

async fn start_site() -> Site {
    Site::start(Shape::default()).await.expect("the site starts")
}

/// Starts a site with one endpoint of each role.
async fn start_small_site() -> Site {
    let shape = Shape { gateways: 1, prefill: 1, decode: 1, plain: 1 };
    Site::start(shape).await.expect("the site starts")
}

/// Starts a site without gateways, for a test that adds one with its own clock.
async fn start_site_without_gateways() -> Site {
    Site::start(Shape { gateways: 0, ..Shape::default() }).await.expect("the site starts")
}

async fn request(site: &Site, head: Request, body: &[u8]) -> Response {
    caller::request(site.address(), head, body).await.expect("a response")
}

fn stream(id: &str) -> Request {
    completion_request("/stream/x", KEY, id, PROMPT_TOKENS)
}

fn resumable(id: &str) -> Request {
    completion_request("/resumable/x", KEY, id, PROMPT_TOKENS)
}

fn submit(id: &str) -> Request {
    plain_request("POST", "/submit/x?y=1", KEY, id)
}

fn lookup(id: &str) -> Request {
    plain_request("GET", "/lookup/x", KEY, id)
}

fn all_event_ids() -> Vec<u32> {
    (1..=EVENT_COUNT).collect()
}

fn executed(endpoints: &[std::sync::Arc<Endpoint>]) -> usize {
    endpoints.iter().map(|endpoint| endpoint.executed().len()).sum()
}

#[test]
fn prefill_and_decode_of_a_stream_run_at_different_endpoints() {
    run(async {
        let site = start_site().await;
        let response = request(&site, stream("r1"), b"prompt").await;
        assert_eq!((response.head.status, response.is_complete), (200, true));
        assert_eq!(response.event_ids(), all_event_ids());
        assert!(
            response
                .header("Tarragonhill-Server-Signature")
                .is_some_and(|signature| signature.starts_with("decode"))
        );
        assert_eq!(executed(&site.endpoints(Role::Prefill)), 1);
        assert_eq!(executed(&site.endpoints(Role::Decode)), 1);
        let decodes = site.endpoints(Role::Decode);
        assert!(decodes.iter().all(|endpoint| endpoint.reservations() == 0 && endpoint.released() == 0));
    });
}

/// Headers that only the gateway may set, and hop-by-hop headers, must not reach an endpoint.
#[test]
fn headers_reserved_for_the_gateway_are_replaced_and_others_forwarded() {
    run(async {
        let site = start_small_site().await;
        let mut head = submit("r1");
        for (name, value) in [
            ("Tarragonhill-Tenant", "someone-else"),
            ("Tarragonhill-Kv-Hold", "stolen"),
            ("Tarragonhill-Pin-Ms", "4000"),
            ("Tarragonhill-Kv-Backup", "127.0.0.1:1"),
            ("Tarragonhill-Kv-Source", "127.0.0.1:1/stolen"),
            ("Tarragonhill-Request-Priority", "0"),
            ("Connection", "X-Private"),
            ("X-Private", "for this hop"),
            ("X-Kept", "for the endpoint"),
        ] {
            head.fields.push(name, value);
        }
        let response = request(&site, head, b"the body").await;
        assert_eq!(response.text(), "POST /submit/x?y=1 the body");
        let received = site.endpoints(Role::Plain)[0].executed().remove(0);
        let fields = &received.head.fields;
        assert_eq!(fields.get("Tarragonhill-Tenant"), Some("faculty"));
        assert_eq!(fields.count("Tarragonhill-Tenant"), 1);
        assert_eq!(fields.get("Tarragonhill-Expected-Instance"), Some("plain-5"));
        assert_eq!(fields.get("Tarragonhill-Request-Id"), Some("r1"));
        assert_eq!(fields.get("X-Kept"), Some("for the endpoint"));
        let remaining_ms: u64 =
            fields.get("Tarragonhill-Deadline-Ms").and_then(|value| value.parse().ok()).expect("a number");
        assert!(remaining_ms <= 5_000);
        for dropped in [
            "Authorization",
            "Tarragonhill-Kv-Hold",
            "Tarragonhill-Pin-Ms",
            "Tarragonhill-Kv-Backup",
            "Tarragonhill-Kv-Source",
            "X-Private",
        ] {
            assert_eq!(fields.count(dropped), 0, "{dropped}");
        }
    });
}

#[test]
fn a_chunked_body_is_forwarded_unchanged() {
    run(async {
        let site = start_small_site().await;
        let mut connection = Caller::open(site.address()).await.expect("a connection");
        let mut head = submit("r1");
        head.fields.push("Transfer-Encoding", "chunked");
        let mut bytes = head.encode();
        bytes.extend_from_slice(b"4;ext=1\r\nthe \r\n4\r\nbody\r\n0\r\nTrailer: x\r\n\r\n");
        connection.write(&bytes).await.expect("written");
        let response = connection.read_response().await.expect("a response");
        assert_eq!(response.text(), "POST /submit/x?y=1 the body");
        // The connection can be used for the next request.
        let response = connection.request(lookup("r2"), b"").await.expect("a response");
        assert_eq!(response.text(), "GET /lookup/x ");
    });
}

#[test]
fn unknown_routes_and_keys_are_rejected() {
    run(async {
        let site = start_small_site().await;
        assert_eq!(request(&site, plain_request("GET", "/nowhere/x", KEY, "r1"), b"").await.head.status, 404);
        assert_eq!(
            request(&site, plain_request("GET", "/lookup/x", "key-nobody", "r2"), b"").await.head.status,
            401
        );
        assert!(site.endpoints(Role::Plain)[0].received().is_empty());
    });
}

/// Without a configuration every route and key is unknown. With status 404 or 401, callers would not retry.
#[test]
fn requests_before_the_first_configuration_are_refused_with_a_retry_delay() {
    run(async {
        let mut site = Site::empty().await.expect("a store");
        site.add_gateway().await.expect("a gateway");
        let response = request(&site, lookup("r1"), b"").await;
        assert_eq!(response.head.status, 503);
        // After a shorter delay, callers would use up their only retry during the same outage.
        let retry_after = response.header("Retry-After").and_then(|value| value.parse::<f64>().ok());
        assert!(retry_after.is_some_and(|delay| delay >= 2.0), "{retry_after:?}");
    });
}

/// A request that arrives just after a restart waits briefly for the configuration. A refusal would use
/// up the caller's only retry.
#[test]
fn a_request_shortly_before_the_first_configuration_is_served() {
    run(async {
        let mut site = Site::empty().await.expect("a store");
        site.add_endpoint(Role::Plain).await.expect("an endpoint");
        site.add_gateway_with_clock(Clock::Manual(Manual::default())).await.expect("a gateway");
        let request_task = task::spawn(caller::request(site.address(), lookup("r1"), b""));
        site.configure(&configuration(1));
        assert_eq!(request_task.await.expect("a response").head.status, 200);
    });
}

/// Without a snapshot, the restarted replica would refuse every request until the store recovers.
#[test]
fn a_replica_that_starts_during_a_store_outage_gets_a_snapshot_from_a_peer() {
    run(async {
        let mut site = Site::start(Shape { gateways: 2, ..Shape::default() }).await.expect("the site starts");
        site.store.set_fault(store::Fault::Busy);
        site.restart(0).await.expect("a gateway");
        wait_until("the configuration is known", async || site.state(0).await["version"].as_u64() == Some(1))
            .await;
        assert_eq!(request(&site, lookup("r1"), b"").await.head.status, 200);
        assert_eq!(request(&site, stream("r2"), b"prompt").await.event_ids(), all_event_ids());
        // Later versions are read from the store again.
        site.store.set_fault(store::Fault::None);
        site.configure(&configuration(2));
        site.wait_for_version(2).await;
    });
}

/// A request with ambiguous framing hides a second request in its body.
#[test]
fn a_smuggled_request_reaches_no_endpoint() {
    run(async {
        let site = start_small_site().await;
        for fields in [
            "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
            "Content-Length: 4\r\nContent-Length: 5\r\n",
            "Transfer-Encoding: chunked, identity\r\n",
            "Content-Length: +4\r\n",
            "Host: b.example\r\nContent-Length: 0\r\n",
        ] {
            let mut connection = Caller::open(site.address()).await.expect("a connection");
            let head = format!(
                "POST /submit/x HTTP/1.1\r\nHost: a.example\r\nTarragonhill-Request-Id: r1\r\n\
                 Authorization: Bearer {KEY}\r\n{fields}\r\n0\r\n\r\nPOST /submit/hidden HTTP/1.1\r\n\r\n"
            );
            connection.write(head.as_bytes()).await.expect("written");
            assert_eq!(connection.read_response().await.expect("a response").head.status, 400, "{fields}");
            assert!(connection.read_response().await.is_err(), "{fields}");
        }
        assert!(site.endpoints(Role::Plain)[0].received().is_empty());
    });
}

#[test]
fn oversized_requests_are_rejected_and_reach_no_endpoint() {
    run(async {
        let site = start_small_site().await;
        assert_eq!(request(&site, submit("r1"), &[b'x'; 65_537]).await.head.status, 413);
        let mut head = lookup("r2");
        head.fields.push("X-Long", "x".repeat(17_000));
        assert_eq!(request(&site, head, b"").await.head.status, 431);
        assert!(site.endpoints(Role::Plain)[0].received().is_empty());
    });
}

/// Otherwise the engine would keep generating tokens and holding memory for a caller that has disconnected.
#[test]
fn a_caller_disconnect_ends_its_stream() {
    run(async {
        let site = start_small_site().await;
        let mut connection = Caller::open(site.address()).await.expect("a connection");
        connection.send(stream("r1"), b"prompt").await.expect("sent");
        let (head, _) = connection.read_first_part().await.expect("the first event");
        assert_eq!(head.status, 200);
        drop(connection);
        let engine = &site.endpoints(Role::Decode)[0];
        wait_until("the stream ended", async || engine.active_streams() == 0 && engine.abandoned() == 1)
            .await;
        wait_until("the gateway has released the load", async || {
            let state = site.state(0).await;
            state["endpoints"].as_array().is_some_and(|all| all.iter().all(|row| row["running"] == 0))
        })
        .await;
    });
}

#[test]
fn a_caller_disconnect_during_prefill_releases_the_reservation() {
    run(async {
        let site = start_small_site().await;
        site.endpoints(Role::Prefill)[0].set_fault(Fault::Hang);
        let mut connection = Caller::open(site.address()).await.expect("a connection");
        connection.send(stream("r1"), b"prompt").await.expect("sent");
        let engine = &site.endpoints(Role::Decode)[0];
        wait_until("memory is reserved", async || engine.reservations() == 1).await;
        drop(connection);
        wait_until("memory is freed", async || engine.reservations() == 0 && engine.released() == 1).await;
        assert!(engine.received().is_empty());
    });
}

/// The caller must be able to detect that the response is incomplete.
#[test]
fn a_failed_stream_that_may_run_once_is_cut_and_not_retried() {
    run(async {
        let site = start_site().await;
        for engine in site.endpoints(Role::Decode) {
            engine.set_fault(Fault::Cut);
        }
        let response = request(&site, stream("r1"), b"prompt").await;
        assert_eq!((response.head.status, response.is_complete), (200, false));
        assert_eq!(executed(&site.endpoints(Role::Decode)), 1);
    });
}

/// The caller must get every event once and in order, and no part of an event that was cut.
#[test]
fn a_resumable_stream_continues_at_another_endpoint() {
    for fault in [Fault::Cut, Fault::CutInEvent] {
        run(async {
            let site = start_site().await;
            for engine in site.endpoints(Role::Decode) {
                engine.fail_next(fault, 1);
            }
            let response = request(&site, resumable("r1"), b"prompt").await;
            // Both engines fail their first stream, so the resumed stream is cut as well. Its events follow
            // those of the first stream without a gap.
            let ids = response.event_ids();
            assert_eq!(ids, (1..=ids.len() as u32).collect::<Vec<_>>(), "{fault}");
            assert_eq!(executed(&site.endpoints(Role::Decode)), 2, "{fault}");

            let response = request(&site, resumable("r2"), b"prompt").await;
            assert_eq!((response.is_complete, response.event_ids()), (true, all_event_ids()), "{fault}");
        });
    }
}

/// Guards against a resumption that is refused because the request was received too long ago.
#[test]
fn a_stream_resumes_although_it_is_older_than_its_stall_timeout() {
    run(async {
        let mut site = start_site_without_gateways().await;
        let clock = Manual::default();
        site.add_gateway_with_clock(Clock::Manual(clock.clone())).await.expect("a gateway");
        site.wait_until_synced().await;
        let (prefill, decode) = (site.endpoints(Role::Prefill), site.endpoints(Role::Decode));
        prefill.iter().for_each(|engine| engine.set_paused(true));
        let mut head = resumable("r1");
        head.fields.set("Tarragonhill-Deadline-Ms", "60000");
        let request_task = task::spawn(caller::request(site.address(), head, b"prompt"));
        wait_until("the prompt is being prefilled", async || executed(&prefill) > 0).await;
        for engine in decode.iter().filter(|engine| engine.reservations() > 0) {
            engine.fail_next(Fault::Silent, 1);
        }
        // Longer than the caller waits for an event.
        clock.advance(Duration::from_secs(5));
        prefill.iter().for_each(|engine| engine.set_paused(false));
        let response = request_task.await.expect("a response");
        assert_eq!((response.is_complete, response.event_ids()), (true, all_event_ids()));
        assert_eq!(executed(&decode), 2);
    });
}

/// Guards against a paused stream that is given up although no other endpoint can resume it.
#[test]
fn a_paused_stream_continues_while_no_other_endpoint_is_available() {
    run(async {
        let site = start_small_site().await;
        let engine = &site.endpoints(Role::Decode)[0];
        engine.set_paused(true);
        let request_task = task::spawn(caller::request(site.address(), resumable("r1"), b"prompt"));
        wait_until("another endpoint is sought", async || site.state(0).await["waiting"] == 1).await;
        engine.set_paused(false);
        let response = request_task.await.expect("a response");
        assert_eq!((response.is_complete, response.event_ids()), (true, all_event_ids()));
        assert_eq!((executed(&site.endpoints(Role::Decode)), engine.abandoned()), (1, 0));
    });
}

/// A connection can be lost without a reset. The memory of its stream must not stay reserved until the
/// caller's deadline.
#[test]
fn a_stalled_stream_releases_its_memory() {
    run(async {
        let site = start_small_site().await;
        site.endpoints(Role::Decode)[0].fail_next(Fault::Silent, 1);
        let mut head = stream("r1");
        head.fields.set("Tarragonhill-Deadline-Ms", "60000");
        let request_task = task::spawn(caller::request(site.address(), head, b"prompt"));
        let memory = async || {
            let state = site.state(0).await;
            let endpoints = state["endpoints"].as_array().cloned().unwrap_or_default();
            endpoints.iter().filter_map(|row| row["memory"].as_u64()).sum::<u64>()
        };
        wait_until("memory is reserved", async || memory().await > 0).await;
        wait_until("the memory is released", async || memory().await == 0).await;
        let response = request_task.await.expect("a response");
        assert_eq!((response.head.status, response.is_complete), (200, false));
    });
}

#[test]
fn a_single_failure_of_a_resumable_stream_is_hidden_from_the_caller() {
    run(async {
        let site = start_site().await;
        site.endpoints(Role::Decode)[0].set_fault(Fault::CutInEvent);
        for id in ["r1", "r2", "r3", "r4"] {
            let response = request(&site, resumable(id), b"prompt").await;
            assert_eq!((response.head.status, response.is_complete), (200, true), "{id}");
            assert_eq!(response.event_ids(), all_event_ids(), "{id}");
        }
    });
}

/// The request may have been executed. If it were reported as not run, the caller would submit it twice.
#[test]
fn a_non_idempotent_request_with_a_lost_response_is_neither_retried_nor_reported_as_not_run() {
    for fault in [Fault::ResetAfterRun, Fault::Cut, Fault::Unsigned, Fault::Busy] {
        run(async {
            let site = start_site().await;
            for endpoint in site.endpoints(Role::Plain) {
                endpoint.set_fault(fault);
            }
            let response = request(&site, submit("r1"), b"case").await;
            assert_eq!(response.head.status, 502, "{fault}");
            assert_eq!(response.header("Tarragonhill-Server-Signature"), None, "{fault}");
            let received_count: usize =
                site.endpoints(Role::Plain).iter().map(|endpoint| endpoint.received().len()).sum();
            assert_eq!(received_count, 1, "{fault}");
        });
    }
}

#[test]
fn a_non_idempotent_request_refused_by_one_endpoint_runs_at_another() {
    run(async {
        let site = start_site().await;
        let endpoints = site.endpoints(Role::Plain);
        endpoints[0].set_fault(Fault::Refuse);
        for id in ["r1", "r2", "r3"] {
            assert_eq!(request(&site, submit(id), b"case").await.head.status, 200);
        }
        assert_eq!((endpoints[0].executed().len(), endpoints[1].executed().len()), (0, 3));
    });
}

#[test]
fn a_non_idempotent_request_refused_by_all_endpoints_is_refused_with_a_retry_delay() {
    run(async {
        let site = start_site().await;
        for endpoint in site.endpoints(Role::Plain) {
            endpoint.set_fault(Fault::Refuse);
        }
        let response = request(&site, submit("r1"), b"case").await;
        assert_eq!(response.head.status, 503);
        assert!(response.header("Retry-After").is_some());
        assert_eq!(executed(&site.endpoints(Role::Plain)), 0);
    });
}

#[test]
fn a_signed_error_response_is_forwarded_unchanged() {
    run(async {
        let site = start_small_site().await;
        site.endpoints(Role::Plain)[0].set_fault(Fault::Error);
        let response = request(&site, submit("r1"), b"case").await;
        assert_eq!((response.head.status, response.text().as_str()), (500, "failed"));
        assert!(response.header("Tarragonhill-Server-Signature").is_some());
    });
}

/// Lookups may be retried at the other endpoint. A response must never be assigned to a different request.
#[test]
fn lookups_get_the_right_response_for_any_fault_of_one_endpoint() {
    for fault in [
        Fault::Refuse,
        Fault::Busy,
        Fault::Error,
        Fault::ResetAfterRun,
        Fault::Hang,
        Fault::Cut,
        Fault::Extra,
        Fault::Unframed,
        Fault::Unsigned,
        Fault::Replaced,
    ] {
        run(async {
            let site = start_site().await;
            site.endpoints(Role::Plain)[0].set_fault(fault);
            let mut connection = Caller::open(site.address()).await.expect("a connection");
            for number in 0..6 {
                let target = format!("/lookup/{number}");
                let head = plain_request("GET", &target, KEY, &format!("r{number}"));
                let response = connection.request(head, b"").await.expect("a response");
                assert_eq!(
                    (response.head.status, response.text()),
                    (200, format!("GET {target} ")),
                    "{fault}"
                );
                if !response.head.keeps_alive() {
                    assert_eq!(fault, Fault::Unframed, "only an answer without a length ends its connection");
                    connection = Caller::open(site.address()).await.expect("a connection");
                }
            }
        });
    }
}

#[test]
fn no_request_fails_when_endpoints_are_killed() {
    run(async {
        let site = start_site().await;
        site.endpoints(Role::Plain)[0].kill().await;
        site.endpoints(Role::Decode)[0].kill().await;
        site.endpoints(Role::Prefill)[0].kill().await;
        for id in ["r1", "r2", "r3", "r4"] {
            assert_eq!(request(&site, submit(id), b"case").await.head.status, 200);
            assert_eq!(request(&site, stream(id), b"prompt").await.event_ids(), all_event_ids());
        }
    });
}

#[test]
fn without_prefill_endpoints_decode_endpoints_run_the_prefill() {
    run(async {
        let site = start_site().await;
        for endpoint in site.endpoints(Role::Prefill) {
            endpoint.kill().await;
        }
        let response = request(&site, stream("r1"), b"prompt").await;
        assert_eq!((response.head.status, response.event_ids()), (200, all_event_ids()));
    });
}

#[test]
fn a_new_endpoint_replaces_a_killed_one_at_the_same_address() {
    run(async {
        let mut site = start_small_site().await;
        let old = site.endpoints(Role::Decode)[0].clone();
        let address = old.address();
        old.kill().await;
        let new = site.add_endpoint_at(Role::Decode, address).await.expect("an endpoint");
        wait_until("only the new endpoint is known", async || {
            let state = site.state(0).await;
            let endpoints = state["endpoints"].as_array().cloned().unwrap_or_default();
            let names: Vec<_> = endpoints.iter().filter_map(|row| row["id"].as_str()).collect();
            names.contains(&&**new.id()) && !names.contains(&&**old.id())
        })
        .await;
        assert_eq!(request(&site, stream("r1"), b"prompt").await.event_ids(), all_event_ids());
        assert_eq!(new.executed().len(), 1);
    });
}

/// The process at a registered address is not an endpoint and responds to every request with status 404.
/// If that were forwarded, callers would treat valid requests as wrong.
#[test]
fn responses_of_an_unrelated_process_are_not_forwarded() {
    run(async {
        let site = start_site().await;
        let unrelated = json!({
            "service": "filing", "address": site.store.address().to_string(), "zone": "zone-a", "version": "v1",
            "slots": 48, "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": 99,
        });
        site.store.put("servers", "stranger", &unrelated);
        wait_until("the unrelated process is known", async || {
            site.state(0).await["endpoints"].as_array().is_some_and(|all| all.len() == 7)
        })
        .await;
        for number in 0..6 {
            let response = request(&site, lookup(&format!("r{number}")), b"").await;
            assert_eq!((response.head.status, response.text().as_str()), (200, "GET /lookup/x "));
            let response = request(&site, submit(&format!("s{number}")), b"").await;
            assert!([200, 502].contains(&response.head.status), "{}", response.head.status);
        }
    });
}

#[test]
fn a_draining_endpoint_gets_no_new_requests() {
    run(async {
        let mut site = start_site().await;
        let draining = site.endpoints(Role::Plain)[0].clone();
        site.register(&draining, "draining");
        wait_until("the gateway knows that the endpoint is draining", async || {
            let state = site.state(0).await;
            let endpoints = state["endpoints"].as_array().cloned().unwrap_or_default();
            endpoints.iter().any(|row| row["leaving"] == true)
        })
        .await;
        let before = draining.received().len();
        for id in ["r1", "r2", "r3"] {
            assert_eq!(request(&site, submit(id), b"case").await.head.status, 200);
        }
        assert_eq!(draining.received().len(), before);
    });
}

#[test]
fn invalid_rows_are_ignored() {
    run(async {
        let site = start_small_site().await;
        site.store.put_invalid("servers", "broken-1");
        site.store.put("servers", "broken-2", &json!({"service": "filing", "address": 7, "state": "ready"}));
        site.store.put("servers", "broken-3", &json!({"service": "filing", "state": "asleep"}));
        site.store.put_invalid("op", "config");
        site.configure(&configuration(7));
        site.wait_for_version(7).await;
        assert_eq!(request(&site, submit("r1"), b"case").await.head.status, 200);
        assert_eq!(site.state(0).await["endpoints"].as_array().map(Vec::len), Some(3));
    });
}

#[test]
fn a_new_configuration_applies_to_open_connections() {
    run(async {
        let site = start_small_site().await;
        let mut connection = Caller::open(site.address()).await.expect("a connection");
        assert_eq!(connection.request(lookup("r1"), b"").await.expect("a response").head.status, 200);
        let mut next = configuration(2);
        next["tenants"][0]["api_keys"] = json!(["key-other"]);
        site.configure(&next);
        site.wait_for_version(2).await;
        assert_eq!(connection.request(lookup("r2"), b"").await.expect("a response").head.status, 401);
    });
}

#[test]
fn requests_are_served_during_a_store_outage() {
    for fault in [store::Fault::Busy, store::Fault::Reset, store::Fault::Silent] {
        run(async {
            let site = start_small_site().await;
            site.store.set_fault(fault);
            for id in ["r1", "r2", "r3"] {
                assert_eq!(request(&site, submit(id), b"case").await.head.status, 200, "{fault}");
                assert_eq!(
                    request(&site, stream(id), b"prompt").await.event_ids(),
                    all_event_ids(),
                    "{fault}"
                );
            }
            site.store.set_fault(store::Fault::None);
            site.configure(&configuration(9));
            site.wait_for_version(9).await;
        });
    }
}

#[test]
fn a_store_that_discarded_its_history_is_read_again_in_full() {
    run(async {
        let mut site = start_small_site().await;
        site.store.discard_history();
        site.add_endpoint(Role::Plain).await.expect("an endpoint");
        site.configure(&configuration(3));
        site.wait_for_version(3).await;
        site.wait_until_synced().await;
    });
}

#[test]
fn a_customer_over_its_rate_limit_gets_a_retry_delay() {
    run(async {
        let site = start_small_site().await;
        let small = |id: &str| plain_request("POST", "/submit/x", SMALL_KEY, id);
        let mut refused = None;
        for number in 0..30 {
            let response = request(&site, small(&format!("r{number}")), b"case").await;
            if response.head.status == 429 {
                refused = Some(response);
                break;
            }
            assert_eq!(response.head.status, 200);
        }
        let refused = refused.expect("30 requests of 200 tokens are more than a burst of 4,000");
        let retry_after: f64 =
            refused.header("Retry-After").and_then(|value| value.parse().ok()).expect("a number");
        assert!(retry_after > 0.0 && retry_after <= 6.0, "{retry_after}");
        assert_eq!(request(&site, submit("other"), b"case").await.head.status, 200);
    });
}

/// Limit of the small customer in tokens per second, its burst, and what one request without a size costs.
const SMALL_RATE: f64 = 100.0;
const SMALL_BURST: f64 = 4_000.0;
const SMALL_REQUEST: u64 = 200;

/// Otherwise a customer would get its burst again at each replica.
#[test]
fn tokens_spent_at_one_replica_count_at_every_replica() {
    run(async {
        let site = Site::start(Shape { gateways: 2, ..Shape::default() }).await.expect("the site starts");
        let small = |id: String| plain_request("POST", "/submit/x", SMALL_KEY, &id);
        let first = site.gateways[0].address();
        let began = Instant::now();
        // What is left if no request is forgotten.
        let left = |served: u64| {
            let refilled = SMALL_RATE * began.elapsed().as_secs_f64();
            SMALL_BURST + refilled - (served * SMALL_REQUEST) as f64
        };
        let mut served = 0;
        while caller::request(first, small(format!("a{served}")), b"").await.expect("a response").head.status
            == 200
        {
            served += 1;
        }
        wait_until("the other replica knows of the spent tokens", async || {
            let known = site.state(1).await["left"]["small"].as_f64();
            known.is_some_and(|known| known <= left(served))
        })
        .await;
        let second = site.gateways[1].address();
        let refused = loop {
            let request = small(format!("b{served}"));
            let status = caller::request(second, request, b"").await.expect("a response").head.status;
            if status != 200 {
                break status;
            }
            served += 1;
            assert!(left(served) >= 0.0, "{served} requests served");
        };
        assert_eq!(refused, 429);
    });
}

/// A stream in flight completes, and requests on open connections are served with `Connection: close`.
#[test]
fn a_graceful_shutdown_completes_requests_in_flight() {
    run(async {
        let mut site = start_small_site().await;
        let address = site.address();
        let mut keep_alive = Caller::open(address).await.expect("a connection");
        assert_eq!(keep_alive.request(lookup("r1"), b"").await.expect("a response").head.status, 200);
        let streaming = task::spawn(caller::request(address, stream("r2"), b"prompt"));
        let engine = site.endpoints(Role::Decode)[0].clone();
        wait_until("the stream has started", async || engine.active_streams() == 1).await;
        let gateway = site.gateways.remove(0);
        let admin = gateway.admin();
        let stopping = task::spawn(gateway.shutdown());
        wait_until_not_ready(admin).await;
        let response = keep_alive.request(lookup("r3"), b"").await.expect("a response");
        assert_eq!((response.head.status, response.header("Connection")), (200, Some("close")));
        assert!(keep_alive.read_response().await.is_err());
        let response = streaming.await.expect("a response");
        assert_eq!((response.is_complete, response.event_ids()), (true, all_event_ids()));
        stopping.await;
        assert!(caller::request(address, lookup("r4"), b"").await.is_err());
    });
}

#[test]
fn requests_are_queued_until_memory_is_free_and_all_are_served() {
    run(async {
        let site = start_small_site().await;
        let address = site.address();
        let callers: Vec<_> = (0..12)
            .map(|number| task::spawn(caller::request(address, stream(&format!("r{number}")), b"prompt")))
            .collect();
        for caller in callers {
            let response = caller.await.expect("a response");
            assert_eq!((response.is_complete, response.event_ids()), (true, all_event_ids()));
        }
        assert_eq!(site.endpoints(Role::Decode)[0].reservations(), 0);
    });
}

/// Each order must name its replica and carry a larger fencing token than the previous order.
#[test]
fn prefill_engines_are_moved_to_a_decode_pool_that_lacks_memory() {
    run(async {
        let shape = Shape { gateways: 1, prefill: 5, decode: 2, plain: 0 };
        let mut site = Site::start(shape).await.expect("the site starts");
        let engines = site.endpoints(Role::Prefill);
        let moved_count = || engines.iter().filter(|engine| !engine.orders().is_empty()).count();
        let mut request_count = 0;
        wait_until("two engines are moved", async || {
            request_count += 1;
            let response = request(&site, stream(&format!("r{request_count}")), b"prompt").await;
            assert_eq!((response.is_complete, response.event_ids()), (true, all_event_ids()));
            moved_count() >= 2
        })
        .await;
        let mut orders: Vec<(String, u64)> = engines.iter().flat_map(|engine| engine.orders()).collect();
        orders.sort_by_key(|(_, token)| *token);
        assert!(orders.iter().all(|(holder, _)| holder == "entry-1"), "{orders:?}");
        assert!(orders.windows(2).all(|pair| pair[0].1 < pair[1].1), "{orders:?}");
        for engine in engines.iter().filter(|engine| !engine.orders().is_empty()) {
            site.register(engine, "ready");
        }
        assert_eq!(request(&site, stream("last"), b"prompt").await.event_ids(), all_event_ids());
    });
}

#[test]
fn the_admin_address_serves_metrics() {
    run(async {
        let site = start_small_site().await;
        assert_eq!(request(&site, submit("r1"), b"case").await.head.status, 200);
        assert_eq!(request(&site, plain_request("GET", "/nowhere/x", KEY, "r2"), b"").await.head.status, 404);
        let expected = [
            "gateway_requests_total{kind=\"non_idempotent\",status=\"200\"} 1",
            "gateway_refusals_total{code=\"not_found\"} 1",
            "gateway_sends_total{outcome=\"answered\"} 1",
            "log_lines_dropped 0",
        ];
        let read = async || {
            let head = plain_request("GET", "/metrics", KEY, "q");
            caller::request(site.gateways[0].admin(), head, b"").await.expect("a response").text()
        };
        // A request is counted after its response.
        wait_until("all requests are counted", async || {
            let text = read().await;
            expected.iter().all(|line| text.lines().any(|exported| exported == *line))
        })
        .await;
        let text = read().await;
        for line in expected {
            assert!(text.lines().any(|exported| exported == line), "{line} is not in\n{text}");
        }
    });
}

#[test]
fn the_operations_guide_lists_exactly_the_existing_metrics() {
    run(async {
        let site = start_small_site().await;
        assert_eq!(request(&site, submit("r1"), b"case").await.head.status, 200);
        assert_eq!(request(&site, stream("r2"), b"prompt").await.event_ids(), all_event_ids());
        assert_eq!(request(&site, plain_request("GET", "/nowhere/x", KEY, "r3"), b"").await.head.status, 404);
        let plain = site.endpoints(Role::Plain).remove(0);
        plain.set_extra_field("Server-Mood");
        plain.fail_next(Fault::Refuse, 1);
        request(&site, submit("r4"), b"case").await;
        site.store.set_fault(store::Fault::Busy);
        site.configure(&configuration(2));
        let metrics = async || {
            let head = plain_request("GET", "/metrics", KEY, "q");
            caller::request(site.gateways[0].admin(), head, b"").await.expect("a response").text()
        };
        wait_until("a loss is counted", async || metrics().await.contains("gateway_store_losses_total{"))
            .await;
        site.store.set_fault(store::Fault::None);
        site.store.put_invalid("op", "evacuate/no-such-zone");
        wait_until("an evacuation is in force", async || metrics().await.contains("gateway_evacuated{"))
            .await;
        let text = metrics().await;
        let served: BTreeSet<&str> =
            text.lines().filter_map(|line| line.strip_prefix("# TYPE ")?.split(' ').next()).collect();
        let guide = include_str!("../../../docs/OPERATIONS.md");
        let rows = guide.lines().filter_map(|line| line.strip_prefix("| `"));
        let listed: BTreeSet<&str> = rows
            .filter(|row| row.starts_with("gateway_") || row.starts_with("log_"))
            .filter_map(|row| row.split(['`', '{']).next())
            .collect();
        assert_eq!(served, listed);
    });
}

/// An engine that is changing its stage may behave this way, and each refusal wastes a prefill.
#[test]
fn an_engine_that_grants_reservations_but_refuses_requests_is_ejected() {
    run(async {
        let site = start_site().await;
        let engines = site.endpoints(Role::Decode);
        engines[0].set_fault(Fault::Refuse);
        for number in 0..10 {
            let response = request(&site, stream(&format!("r{number}")), b"prompt").await;
            assert_eq!((response.is_complete, response.event_ids()), (true, all_event_ids()));
        }
        assert!(engines[0].received().len() <= 4, "{}", engines[0].received().len());
        assert_eq!(engines[1].executed().len(), 10);
    });
}

/// The engine refuses faster than another one prefills. If requests were routed to the faster engine, the
/// refusals would exhaust the retry budget.
#[test]
fn streams_are_served_while_a_prefill_engine_refuses_all_requests() {
    run(async {
        let site = start_site().await;
        site.endpoints(Role::Prefill)[0].set_fault(Fault::Refuse);
        for number in 0..12 {
            let response = request(&site, stream(&format!("r{number}")), b"prompt").await;
            assert_eq!((response.is_complete, response.event_ids()), (true, all_event_ids()));
        }
    });
}

/// Guards against decode engines that are ejected for results that a prefill engine has lost, and streams that fail for it.
#[test]
fn a_prefill_engine_that_loses_its_results_is_avoided() {
    run(async {
        let site = start_site().await;
        let engines = site.endpoints(Role::Prefill);
        engines[0].set_fault(Fault::LoseResult);
        for number in 0..12 {
            let response = request(&site, stream(&format!("r{number}")), b"prompt").await;
            assert_eq!((response.is_complete, response.event_ids()), (true, all_event_ids()));
        }
        assert!(engines[0].received().len() <= 4, "{}", engines[0].received().len());
    });
}

/// The endpoint loses its response, and there is no other endpoint for a retry. The request may have been
/// executed all the same.
#[test]
fn a_lookup_that_may_have_run_is_not_reported_as_not_run() {
    run(async {
        let site = start_small_site().await;
        site.endpoints(Role::Plain)[0].set_fault(Fault::ResetAfterRun);
        assert_eq!(request(&site, lookup("r1"), b"").await.head.status, 502);
    });
}

/// The other endpoint, which never responds, may have executed the hedged request.
#[test]
fn a_lookup_refused_by_one_of_two_endpoints_is_not_reported_as_not_run() {
    for order in [[Fault::RefuseLate, Fault::Hang], [Fault::Hang, Fault::RefuseLate]] {
        run(async {
            let site = start_site().await;
            for (endpoint, fault) in site.endpoints(Role::Plain).iter().zip(order) {
                endpoint.set_fault(fault);
            }
            let mut head = lookup("r1");
            head.fields.set("Tarragonhill-Deadline-Ms", "1500");
            assert_eq!(request(&site, head, b"").await.head.status, 504, "{order:?}");
        });
    }
}
