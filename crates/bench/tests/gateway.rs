//! The whole path of a gateway, through the platform's protocols, against stand-ins that fail.

use std::collections::BTreeSet;

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

/// A prompt's size, tokens.
const PROMPT: u64 = 5_000;

fn run<T>(test: impl Future<Output = T>) -> T {
    task::block_on(test)
}

async fn site() -> Site {
    Site::start(Shape::default()).await.expect("the site starts")
}

/// A site with one endpoint of each kind.
async fn small() -> Site {
    let shape = Shape { gateways: 1, prefill: 1, decode: 1, plain: 1 };
    Site::start(shape).await.expect("the site starts")
}

async fn request(site: &Site, head: Request, body: &[u8]) -> Response {
    caller::request(site.address(), head, body).await.expect("an answer")
}

fn stream(id: &str) -> Request {
    completion_request("/stream/x", KEY, id, PROMPT)
}

fn resumable(id: &str) -> Request {
    completion_request("/resumable/x", KEY, id, PROMPT)
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
fn a_stream_is_read_at_one_endpoint_and_made_at_another() {
    run(async {
        let site = site().await;
        let answer = request(&site, stream("r1"), b"prompt").await;
        assert_eq!((answer.head.status, answer.is_complete), (200, true));
        assert_eq!(answer.event_ids(), all_event_ids());
        assert!(
            answer.header("Tarragonhill-Server-Signature").is_some_and(|stamp| stamp.starts_with("decode"))
        );
        assert_eq!(executed(&site.endpoints(Role::Prefill)), 1);
        assert_eq!(executed(&site.endpoints(Role::Decode)), 1);
        let decodes = site.endpoints(Role::Decode);
        assert!(decodes.iter().all(|endpoint| endpoint.reservations() == 0 && endpoint.released() == 0));
    });
}

/// What a caller may not say for itself reaches no endpoint, and what it says of its request does.
#[test]
fn an_endpoint_sees_the_callers_request_and_the_gateways_word() {
    run(async {
        let site = small().await;
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
        let answer = request(&site, head, b"the body").await;
        assert_eq!(answer.text(), "POST /submit/x?y=1 the body");
        let arrival = site.endpoints(Role::Plain)[0].executed().remove(0);
        let fields = &arrival.head.fields;
        assert_eq!(fields.get("Tarragonhill-Tenant"), Some("faculty"));
        assert_eq!(fields.count("Tarragonhill-Tenant"), 1);
        assert_eq!(fields.get("Tarragonhill-Expected-Instance"), Some("plain-5"));
        assert_eq!(fields.get("Tarragonhill-Request-Id"), Some("r1"));
        assert_eq!(fields.get("X-Kept"), Some("for the endpoint"));
        let left: u64 =
            fields.get("Tarragonhill-Deadline-Ms").and_then(|left| left.parse().ok()).expect("a number");
        assert!(left <= 5_000);
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
fn a_body_in_chunks_arrives_as_it_was() {
    run(async {
        let site = small().await;
        let mut connection = Caller::open(site.address()).await.expect("a connection");
        let mut head = submit("r1");
        head.fields.push("Transfer-Encoding", "chunked");
        let mut bytes = head.encode();
        bytes.extend_from_slice(b"4;ext=1\r\nthe \r\n4\r\nbody\r\n0\r\nTrailer: x\r\n\r\n");
        connection.write(&bytes).await.expect("written");
        let answer = connection.read_response().await.expect("an answer");
        assert_eq!(answer.text(), "POST /submit/x?y=1 the body");
        // The connection goes on behind it.
        let answer = connection.request(lookup("r2"), b"").await.expect("an answer");
        assert_eq!(answer.text(), "GET /lookup/x ");
    });
}

#[test]
fn who_is_not_known_is_told_so() {
    run(async {
        let site = small().await;
        assert_eq!(request(&site, plain_request("GET", "/nowhere/x", KEY, "r1"), b"").await.head.status, 404);
        assert_eq!(
            request(&site, plain_request("GET", "/lookup/x", "key-nobody", "r2"), b"").await.head.status,
            401
        );
        assert!(site.endpoints(Role::Plain)[0].received().is_empty());
    });
}

/// A process that has just started knows no configuration. Told 404 or 401, callers would take
/// their requests and keys for wrong and not come back.
#[test]
fn before_the_first_configuration_callers_are_told_to_come_back() {
    run(async {
        let mut site = Site::empty().await.expect("a store");
        site.add_gateway().await.expect("a gateway");
        let answer = request(&site, lookup("r1"), b"").await;
        assert_eq!(answer.head.status, 503);
        // Told half a second, callers come back into the same outage and have no further repeat.
        let wait = answer.header("Retry-After").and_then(|wait| wait.parse::<f64>().ok());
        assert!(wait.is_some_and(|wait| wait >= 2.0), "{wait:?}");
    });
}

/// All entries have lost power, and callers come back in the moment in which the first process
/// listens again and has not read the configuration yet. A refusal would cost them their only repeat,
/// for an answer of the store that is some milliseconds away.
#[test]
fn a_caller_that_comes_before_the_first_configuration_is_served() {
    run(async {
        let mut site = Site::empty().await.expect("a store");
        site.add_endpoint(Role::Plain).await.expect("an endpoint");
        site.add_gateway_with_clock(Clock::Manual(Manual::default())).await.expect("a gateway");
        let asking = task::spawn(caller::request(site.address(), lookup("r1"), b""));
        site.configure(&configuration(1));
        assert_eq!(asking.await.expect("an answer").head.status, 200);
    });
}

/// One of two entries is killed while the store is away, and starts again at its address. It has no
/// configuration, and would refuse every caller until the store is back; the other entry still knows all.
#[test]
fn an_entry_that_starts_while_the_store_is_away_is_told_by_another() {
    run(async {
        let mut site = Site::start(Shape { gateways: 2, ..Shape::default() }).await.expect("the site starts");
        site.store.set_fault(store::Fault::Busy);
        site.restart(0).await.expect("a gateway");
        wait_until("it knows the configuration", async || site.state(0).await["version"].as_u64() == Some(1))
            .await;
        assert_eq!(request(&site, lookup("r1"), b"").await.head.status, 200);
        assert_eq!(request(&site, stream("r2"), b"prompt").await.event_ids(), all_event_ids());
        // The store's own word goes on from there.
        site.store.set_fault(store::Fault::None);
        site.configure(&configuration(2));
        site.wait_for_version(2).await;
    });
}

/// A request hides a second one in its body, by naming two framings. A reader that takes the other
/// framing would run the hidden request under the first one's name.
#[test]
fn a_smuggled_request_reaches_no_endpoint() {
    run(async {
        let site = small().await;
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
            assert_eq!(connection.read_response().await.expect("an answer").head.status, 400, "{fields}");
            assert!(connection.read_response().await.is_err(), "{fields}");
        }
        assert!(site.endpoints(Role::Plain)[0].received().is_empty());
    });
}

#[test]
fn what_is_too_large_is_told_and_reaches_no_endpoint() {
    run(async {
        let site = small().await;
        assert_eq!(request(&site, submit("r1"), &[b'x'; 65_537]).await.head.status, 413);
        let mut head = lookup("r2");
        head.fields.push("X-Long", "x".repeat(17_000));
        assert_eq!(request(&site, head, b"").await.head.status, 431);
        assert!(site.endpoints(Role::Plain)[0].received().is_empty());
    });
}

/// An editor closes the page in the middle of a summary. The engine would go on making tokens for
/// nobody, and keep the memory.
#[test]
fn a_caller_that_leaves_ends_its_run() {
    run(async {
        let site = small().await;
        let mut connection = Caller::open(site.address()).await.expect("a connection");
        connection.send(stream("r1"), b"prompt").await.expect("sent");
        let (head, _) = connection.read_first_part().await.expect("the first event");
        assert_eq!(head.status, 200);
        drop(connection);
        let engine = &site.endpoints(Role::Decode)[0];
        wait_until("the stream ended", async || engine.active_streams() == 0 && engine.abandoned() == 1)
            .await;
        wait_until("the gateway knows", async || {
            let state = site.state(0).await;
            state["endpoints"].as_array().is_some_and(|all| all.iter().all(|one| one["running"] == 0))
        })
        .await;
    });
}

/// A caller leaves while its prompt is read: the memory reserved for its run is given back.
#[test]
fn a_caller_that_leaves_early_frees_what_was_reserved() {
    run(async {
        let site = small().await;
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

/// An engine crashes in the middle of a stream that may run once only. The caller must see that the
/// answer is not whole, and nobody may run it again.
#[test]
fn a_stream_that_may_run_once_ends_visibly_cut() {
    run(async {
        let site = site().await;
        for engine in site.endpoints(Role::Decode) {
            engine.set_fault(Fault::Cut);
        }
        let answer = request(&site, stream("r1"), b"prompt").await;
        assert_eq!((answer.head.status, answer.is_complete), (200, false));
        assert_eq!(executed(&site.endpoints(Role::Decode)), 1);
    });
}

/// An engine crashes inside an event of a stream that may be resumed: the caller gets every event
/// once, in order, under the first engine's signature, and no part of the torn one.
#[test]
fn a_resumable_stream_goes_on_elsewhere() {
    for fault in [Fault::Cut, Fault::CutInEvent] {
        run(async {
            let site = site().await;
            for engine in site.endpoints(Role::Decode) {
                engine.fail_next(fault, 1);
            }
            let answer = request(&site, resumable("r1"), b"prompt").await;
            // Both engines fail their first run, so the second run is cut as well; its events up to
            // there follow those of the first without a gap.
            let ids = answer.event_ids();
            assert_eq!(ids, (1..=ids.len() as u32).collect::<Vec<_>>(), "{fault}");
            assert_eq!(executed(&site.endpoints(Role::Decode)), 2, "{fault}");

            let answer = request(&site, resumable("r2"), b"prompt").await;
            assert_eq!((answer.is_complete, answer.event_ids()), (true, all_event_ids()), "{fault}");
        });
    }
}

/// Something between the hosts has lost track of a connection: the stream falls silent, and nobody
/// is told. The gateway would take the run's memory as taken until the caller's deadline, and refuse
/// others for want of it.
#[test]
fn a_stream_that_falls_silent_gives_its_memory_back() {
    run(async {
        let site = small().await;
        site.endpoints(Role::Decode)[0].fail_next(Fault::Silent, 1);
        let mut head = stream("r1");
        head.fields.set("Tarragonhill-Deadline-Ms", "60000");
        let asking = task::spawn(caller::request(site.address(), head, b"prompt"));
        let memory = async || {
            let state = site.state(0).await;
            let endpoints = state["endpoints"].as_array().cloned().unwrap_or_default();
            endpoints.iter().filter_map(|one| one["memory"].as_u64()).sum::<u64>()
        };
        wait_until("memory is taken", async || memory().await > 0).await;
        wait_until("the memory is free", async || memory().await == 0).await;
        let answer = asking.await.expect("an answer");
        assert_eq!((answer.head.status, answer.is_complete), (200, false));
    });
}

#[test]
fn one_failure_of_a_resumable_stream_is_not_seen() {
    run(async {
        let site = site().await;
        site.endpoints(Role::Decode)[0].set_fault(Fault::CutInEvent);
        for id in ["r1", "r2", "r3", "r4"] {
            let answer = request(&site, resumable(id), b"prompt").await;
            assert_eq!((answer.head.status, answer.is_complete), (200, true), "{id}");
            assert_eq!(answer.event_ids(), all_event_ids(), "{id}");
        }
    });
}

/// A submission runs, and its answer is lost. Told "not run", the caller would file it twice.
#[test]
fn a_submission_whose_answer_is_lost_is_not_run_again_nor_denied() {
    for fault in [Fault::ResetAfterRun, Fault::Cut, Fault::Unsigned, Fault::Busy] {
        run(async {
            let site = site().await;
            for endpoint in site.endpoints(Role::Plain) {
                endpoint.set_fault(fault);
            }
            let answer = request(&site, submit("r1"), b"case").await;
            assert_eq!(answer.head.status, 502, "{fault}");
            assert_eq!(answer.header("Tarragonhill-Server-Signature"), None, "{fault}");
            let arrivals: usize =
                site.endpoints(Role::Plain).iter().map(|endpoint| endpoint.received().len()).sum();
            assert_eq!(arrivals, 1, "{fault}");
        });
    }
}

#[test]
fn a_submission_that_an_endpoint_turned_away_runs_at_another() {
    run(async {
        let site = site().await;
        let plains = site.endpoints(Role::Plain);
        plains[0].set_fault(Fault::Refuse);
        for id in ["r1", "r2", "r3"] {
            assert_eq!(request(&site, submit(id), b"case").await.head.status, 200);
        }
        assert_eq!((plains[0].executed().len(), plains[1].executed().len()), (0, 3));
    });
}

#[test]
fn a_submission_that_everybody_turns_away_is_refused_as_not_run() {
    run(async {
        let site = site().await;
        for endpoint in site.endpoints(Role::Plain) {
            endpoint.set_fault(Fault::Refuse);
        }
        let answer = request(&site, submit("r1"), b"case").await;
        assert_eq!(answer.head.status, 503);
        assert!(answer.header("Retry-After").is_some());
        assert_eq!(executed(&site.endpoints(Role::Plain)), 0);
    });
}

#[test]
fn an_endpoints_own_failure_is_passed_on_as_it_is() {
    run(async {
        let site = small().await;
        site.endpoints(Role::Plain)[0].set_fault(Fault::Error);
        let answer = request(&site, submit("r1"), b"case").await;
        assert_eq!((answer.head.status, answer.text().as_str()), (500, "failed"));
        assert!(answer.header("Tarragonhill-Server-Signature").is_some());
    });
}

/// Endpoints fail in all ways there are, and a lookup may be asked again: callers get the right
/// answer from the other endpoint.
#[test]
fn a_lookup_gets_its_own_answer_whatever_one_endpoint_does() {
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
            let site = site().await;
            site.endpoints(Role::Plain)[0].set_fault(fault);
            let mut connection = Caller::open(site.address()).await.expect("a connection");
            for number in 0..6 {
                let target = format!("/lookup/{number}");
                let head = plain_request("GET", &target, KEY, &format!("r{number}"));
                let answer = connection.request(head, b"").await.expect("an answer");
                assert_eq!((answer.head.status, answer.text()), (200, format!("GET {target} ")), "{fault}");
            }
        });
    }
}

#[test]
fn an_endpoint_that_is_gone_costs_no_request() {
    run(async {
        let site = site().await;
        site.endpoints(Role::Plain)[0].kill().await;
        site.endpoints(Role::Decode)[0].kill().await;
        site.endpoints(Role::Prefill)[0].kill().await;
        for id in ["r1", "r2", "r3", "r4"] {
            assert_eq!(request(&site, submit(id), b"case").await.head.status, 200);
            assert_eq!(request(&site, stream(id), b"prompt").await.event_ids(), all_event_ids());
        }
    });
}

/// Prefill endpoints fail one after the other: as long as one that makes tokens is left, it reads the
/// prompts itself.
#[test]
fn without_prefill_endpoints_runs_read_their_own_prompts() {
    run(async {
        let site = site().await;
        for endpoint in site.endpoints(Role::Prefill) {
            endpoint.kill().await;
        }
        let answer = request(&site, stream("r1"), b"prompt").await;
        assert_eq!((answer.head.status, answer.event_ids()), (200, all_event_ids()));
    });
}

#[test]
fn an_endpoint_at_anothers_address_is_not_given_its_work() {
    run(async {
        let mut site = small().await;
        let old = site.endpoints(Role::Decode)[0].clone();
        let address = old.address();
        old.kill().await;
        let new = site.add_endpoint_at(Role::Decode, address).await.expect("an endpoint");
        wait_until("the newcomer is known", async || {
            let state = site.state(0).await;
            let endpoints = state["endpoints"].as_array().cloned().unwrap_or_default();
            let names: Vec<_> = endpoints.iter().filter_map(|one| one["id"].as_str()).collect();
            names.contains(&&**new.id()) && !names.contains(&&**old.id())
        })
        .await;
        assert_eq!(request(&site, stream("r1"), b"prompt").await.event_ids(), all_event_ids());
        assert_eq!(new.executed().len(), 1);
    });
}

/// A process that is no endpoint at all listens at an endpoint's old address, and answers everything
/// with 404. Passed on, callers would take their own requests for wrong.
#[test]
fn a_strangers_answer_reaches_no_caller() {
    run(async {
        let site = site().await;
        let stranger = json!({
            "service": "filing", "address": site.store.address().to_string(), "zone": "zone-a", "version": "v1",
            "slots": 48, "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": 99,
        });
        site.store.put("servers", "stranger", &stranger);
        wait_until("the stranger is known", async || {
            site.state(0).await["endpoints"].as_array().is_some_and(|all| all.len() == 7)
        })
        .await;
        for number in 0..6 {
            let answer = request(&site, lookup(&format!("r{number}")), b"").await;
            assert_eq!((answer.head.status, answer.text().as_str()), (200, "GET /lookup/x "));
            let answer = request(&site, submit(&format!("s{number}")), b"").await;
            assert!([200, 502].contains(&answer.head.status), "{}", answer.head.status);
        }
    });
}

#[test]
fn a_leaving_endpoint_gets_nothing_new() {
    run(async {
        let mut site = site().await;
        let leaving = site.endpoints(Role::Plain)[0].clone();
        site.register(&leaving, "draining");
        wait_until("the gateway knows", async || {
            let state = site.state(0).await;
            let endpoints = state["endpoints"].as_array().cloned().unwrap_or_default();
            endpoints.iter().any(|one| one["leaving"] == true)
        })
        .await;
        let before = leaving.received().len();
        for id in ["r1", "r2", "r3"] {
            assert_eq!(request(&site, submit(id), b"case").await.head.status, 200);
        }
        assert_eq!(leaving.received().len(), before);
    });
}

#[test]
fn rows_that_nobody_can_read_change_nothing() {
    run(async {
        let site = small().await;
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
fn a_new_configuration_is_in_force_for_kept_connections() {
    run(async {
        let site = small().await;
        let mut connection = Caller::open(site.address()).await.expect("a connection");
        assert_eq!(connection.request(lookup("r1"), b"").await.expect("an answer").head.status, 200);
        let mut next = configuration(2);
        next["tenants"][0]["api_keys"] = json!(["key-other"]);
        site.configure(&next);
        site.wait_for_version(2).await;
        assert_eq!(connection.request(lookup("r2"), b"").await.expect("an answer").head.status, 401);
    });
}

/// The store goes away for a while, in each of its ways. Requests never wait for it.
#[test]
fn the_store_may_be_away() {
    for fault in [store::Fault::Busy, store::Fault::Reset, store::Fault::Silent] {
        run(async {
            let site = small().await;
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
fn a_store_that_forgot_its_history_is_read_anew() {
    run(async {
        let mut site = small().await;
        site.store.discard_history();
        site.add_endpoint(Role::Plain).await.expect("an endpoint");
        site.configure(&configuration(3));
        site.wait_for_version(3).await;
        site.wait_until_synced().await;
    });
}

#[test]
fn a_customer_over_its_rate_is_told_when_to_come_back() {
    run(async {
        let site = small().await;
        let small = |id: &str| plain_request("POST", "/submit/x", SMALL_KEY, id);
        let mut refused = None;
        for number in 0..30 {
            let answer = request(&site, small(&format!("r{number}")), b"case").await;
            if answer.head.status == 429 {
                refused = Some(answer);
                break;
            }
            assert_eq!(answer.head.status, 200);
        }
        let refused = refused.expect("30 requests of 200 tokens are more than a burst of 4,000");
        let wait: f64 = refused.header("Retry-After").and_then(|wait| wait.parse().ok()).expect("a number");
        assert!(wait > 0.0 && wait <= 6.0, "{wait}");
        assert_eq!(request(&site, submit("other"), b"case").await.head.status, 200);
    });
}

/// A customer spends its burst at one entry and comes to the next.
#[test]
fn what_is_spent_at_one_entry_is_spent_at_all() {
    run(async {
        let site = Site::start(Shape { gateways: 2, ..Shape::default() }).await.expect("the site starts");
        let small = |id: String| plain_request("POST", "/submit/x", SMALL_KEY, &id);
        let first = site.gateways[0].address();
        let mut served = 0;
        while caller::request(first, small(format!("a{served}")), b"").await.expect("an answer").head.status
            == 200
        {
            served += 1;
        }
        wait_until("the other entry knows", async || {
            site.state(1).await["left"]["small"].as_i64().is_some_and(|left| left < 200)
        })
        .await;
        let second = site.gateways[1].address();
        assert_eq!(
            caller::request(second, small("b".into()), b"").await.expect("an answer").head.status,
            429
        );
    });
}

/// An operator restarts an entry while a stream runs and a caller keeps its connection: the stream
/// ends whole, and what comes meanwhile is served and told that the connection ends.
#[test]
fn a_graceful_shutdown_cuts_nothing() {
    run(async {
        let mut site = small().await;
        let address = site.address();
        let mut kept = Caller::open(address).await.expect("a connection");
        assert_eq!(kept.request(lookup("r1"), b"").await.expect("an answer").head.status, 200);
        let streaming = task::spawn(caller::request(address, stream("r2"), b"prompt"));
        let engine = site.endpoints(Role::Decode)[0].clone();
        wait_until("the stream runs", async || engine.active_streams() == 1).await;
        let gateway = site.gateways.remove(0);
        let admin = gateway.admin();
        let stopping = task::spawn(gateway.shutdown());
        wait_until_not_ready(admin).await;
        let answer = kept.request(lookup("r3"), b"").await.expect("an answer");
        assert_eq!((answer.head.status, answer.header("Connection")), (200, Some("close")));
        assert!(kept.read_response().await.is_err());
        let answer = streaming.await.expect("an answer");
        assert_eq!((answer.is_complete, answer.event_ids()), (true, all_event_ids()));
        stopping.await;
        assert!(caller::request(address, lookup("r4"), b"").await.is_err());
    });
}

#[test]
fn requests_wait_for_memory_and_all_are_served() {
    run(async {
        let site = small().await;
        let address = site.address();
        let callers: Vec<_> = (0..12)
            .map(|number| task::spawn(caller::request(address, stream(&format!("r{number}")), b"prompt")))
            .collect();
        for caller in callers {
            let answer = caller.await.expect("an answer");
            assert_eq!((answer.is_complete, answer.event_ids()), (true, all_event_ids()));
        }
        assert_eq!(site.endpoints(Role::Decode)[0].reservations(), 0);
    });
}

/// Five engines of seven read prompts, and requests wait for memory at the other two. The gateway
/// moves engines over, each once, under a fencing token that grows.
#[test]
fn engines_move_to_the_pool_that_lacks_them() {
    run(async {
        let shape = Shape { gateways: 1, prefill: 5, decode: 2, plain: 0 };
        let mut site = Site::start(shape).await.expect("the site starts");
        let engines = site.endpoints(Role::Prefill);
        let ordered = || engines.iter().filter(|engine| !engine.orders().is_empty()).count();
        let mut asked = 0;
        wait_until("two engines are moved", async || {
            asked += 1;
            let answer = request(&site, stream(&format!("r{asked}")), b"prompt").await;
            assert_eq!((answer.is_complete, answer.event_ids()), (true, all_event_ids()));
            ordered() >= 2
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
        let site = small().await;
        assert_eq!(request(&site, submit("r1"), b"case").await.head.status, 200);
        assert_eq!(request(&site, plain_request("GET", "/nowhere/x", KEY, "r2"), b"").await.head.status, 404);
        let head = plain_request("GET", "/metrics", KEY, "q");
        let text = caller::request(site.gateways[0].admin(), head, b"").await.expect("an answer").text();
        for line in [
            "gateway_requests_total{kind=\"non_idempotent\",status=\"200\"} 1",
            "gateway_refusals_total{code=\"not_found\"} 1",
            "gateway_sends_total{outcome=\"answered\"} 1",
            "log_lines_dropped 0",
        ] {
            assert!(text.lines().any(|one| one == line), "{line} is not in\n{text}");
        }
    });
}

/// Whoever is on call looks metrics up in the guide; one that is missing there, or gone from the code,
/// costs the time that they do not have.
#[test]
fn the_guide_names_every_metric() {
    run(async {
        let site = small().await;
        assert_eq!(request(&site, submit("r1"), b"case").await.head.status, 200);
        assert_eq!(request(&site, stream("r2"), b"prompt").await.event_ids(), all_event_ids());
        assert_eq!(request(&site, plain_request("GET", "/nowhere/x", KEY, "r3"), b"").await.head.status, 404);
        site.store.set_fault(store::Fault::Busy);
        site.configure(&configuration(2));
        let metrics = async || {
            let head = plain_request("GET", "/metrics", KEY, "q");
            caller::request(site.gateways[0].admin(), head, b"").await.expect("an answer").text()
        };
        wait_until("the store is lost", async || metrics().await.contains("gateway_store_losses_total{"))
            .await;
        let text = metrics().await;
        let served: BTreeSet<&str> =
            text.lines().filter_map(|line| line.strip_prefix("# TYPE ")?.split(' ').next()).collect();
        let guide = include_str!("../../../docs/OPERATIONS.md");
        let rows = guide.lines().filter_map(|line| line.strip_prefix("| `"));
        let named: BTreeSet<&str> = rows
            .filter(|row| row.starts_with("gateway_") || row.starts_with("log_"))
            .filter_map(|row| row.split(['`', '{']).next())
            .collect();
        assert_eq!(served, named);
    });
}

/// An engine is in the middle of a change of its stage, and the entries that knew it have lost power.
/// It grants reservations and turns every run away, after the prompt has been read for it.
#[test]
fn an_engine_that_reserves_and_turns_away_is_left_alone() {
    run(async {
        let site = site().await;
        let engines = site.endpoints(Role::Decode);
        engines[0].set_fault(Fault::Refuse);
        for number in 0..10 {
            let answer = request(&site, stream(&format!("r{number}")), b"prompt").await;
            assert_eq!((answer.is_complete, answer.event_ids()), (true, all_event_ids()));
        }
        assert!(engines[0].received().len() <= 4, "{}", engines[0].received().len());
        assert_eq!(engines[1].executed().len(), 10);
    });
}

/// A reader has been ordered to make tokens, and the entries that knew it are killed. It turns every
/// prompt away, faster than the other reader reads, so each stream is sent there first, until the
/// budget for further sends is used up and streams are refused.
#[test]
fn a_reader_that_turns_prompts_away_costs_no_stream() {
    run(async {
        let site = site().await;
        site.endpoints(Role::Prefill)[0].set_fault(Fault::Refuse);
        for number in 0..12 {
            let answer = request(&site, stream(&format!("r{number}")), b"prompt").await;
            assert_eq!((answer.is_complete, answer.event_ids()), (true, all_event_ids()));
        }
    });
}

/// A lookup's endpoint runs it and loses the answer, and there is nobody else to ask. That nobody could
/// be asked once more says nothing of the first, so the caller must not be told that nobody ran it.
#[test]
fn a_lookup_that_may_have_run_is_never_called_not_run() {
    run(async {
        let site = small().await;
        site.endpoints(Role::Plain)[0].set_fault(Fault::ResetAfterRun);
        assert_eq!(request(&site, lookup("r1"), b"").await.head.status, 502);
    });
}

/// A lookup is with two endpoints at once when the first says that it did not run it. The second may
/// have run it still; when it never answers, the caller must not be told that nobody did.
#[test]
fn a_refusal_by_one_endpoint_says_nothing_of_the_other() {
    for order in [[Fault::RefuseLate, Fault::Hang], [Fault::Hang, Fault::RefuseLate]] {
        run(async {
            let site = site().await;
            for (endpoint, fault) in site.endpoints(Role::Plain).iter().zip(order) {
                endpoint.set_fault(fault);
            }
            let mut head = lookup("r1");
            head.fields.set("Tarragonhill-Deadline-Ms", "1500");
            assert_eq!(request(&site, head, b"").await.head.status, 504, "{order:?}");
        });
    }
}
