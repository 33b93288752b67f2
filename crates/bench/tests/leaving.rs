//! Tests of what endpoints say about themselves in responses: that they are leaving, and for how long they
//! want no requests.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use async_channel::{Receiver, Sender};
use async_std::{
    net::{TcpListener, TcpStream},
    task,
};
use serde_json::json;
use socket2::{Domain, Socket, Type};
use tarragonhill_bench::platform::{
    caller::{self, Response, completion_request, plain_request},
    endpoint::{EVENT_COUNT, Endpoint, Fault, Role},
    site::{KEY, Shape, Site, configuration, wait_until},
    store,
};
use tarragonhill_core::{Clock, clock::Manual};
use tarragonhill_h1::{Connection, head::Request};

const PROMPT_TOKENS: u64 = 5_000;
/// Longer than a test takes, unless it advances the clock.
const LONG_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Too few for the gateway to move an engine to another stage.
const STREAM_COUNT: u32 = 8;
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Long enough for the fault of the decode engine to change meanwhile.
const PREFILL_TIME: Duration = Duration::from_millis(300);
const PLAIN_COUNT: u32 = 20;

fn run<T>(test: impl Future<Output = T>) -> T {
    task::block_on(test)
}

async fn start_site() -> Site {
    Site::start(Shape::default()).await.expect("the site starts")
}

async fn request(site: &Site, head: Request) -> Response {
    caller::request(site.address(), head, b"").await.expect("a response")
}

fn submit(id: &str) -> Request {
    plain_request("POST", "/submit/x", KEY, id)
}

fn lookup(id: &str) -> Request {
    plain_request("GET", "/lookup/x", KEY, id)
}

async fn assert_stream_is_served(site: &Site, id: &str) {
    let response = request(site, completion_request("/stream/x", KEY, id, PROMPT_TOKENS)).await;
    assert_eq!((response.head.status, response.is_complete), (200, true), "{id}");
    assert_eq!(response.event_ids(), (1..=EVENT_COUNT).collect::<Vec<_>>(), "{id}");
}

/// Serves streams until one of them reaches `endpoint`.
async fn stream_until_called(site: &Site, endpoint: &Endpoint) {
    let (before, mut count) = (endpoint.received_calls().len(), 0);
    wait_until("the endpoint is called", async || {
        count += 1;
        assert_stream_is_served(site, &format!("until-{count}")).await;
        endpoint.received_calls().len() > before
    })
    .await;
}

/// Returns the endpoint that executed the first request; the gateway prefers it while its load is low.
fn only_executor(site: &Site, role: Role) -> Arc<Endpoint> {
    let mut executors = site.endpoints(role);
    executors.retain(|endpoint| !endpoint.executed().is_empty());
    assert_eq!(executors.len(), 1);
    executors.remove(0)
}

/// Returns the number of calls other than releases, which may follow the last request.
fn work_calls(endpoint: &Endpoint) -> usize {
    endpoint.received_calls().iter().filter(|call| call.method != "DELETE").count()
}

/// A site whose plain service has an endpoint that has said that it is leaving, and one where a request hangs.
struct LeavingSite {
    site: Site,
    leaving: Arc<Endpoint>,
}

impl LeavingSite {
    async fn start() -> Self {
        let site = start_site().await;
        let endpoints = site.endpoints(Role::Plain);
        endpoints.iter().for_each(|endpoint| endpoint.set_leaving(true));
        assert_eq!(request(&site, submit("first")).await.head.status, 200);
        let leaving = only_executor(&site, Role::Plain);
        let other = endpoints.into_iter().find(|endpoint| endpoint.id() != leaving.id());
        let other = other.expect("a second endpoint");
        other.set_leaving(false);
        // A request without a response makes an endpoint the last choice of the gateway.
        other.fail_next(Fault::Hang, 1);
        let mut hanging = submit("hanging");
        hanging.fields.set("Tarragonhill-Deadline-Ms", "60000");
        task::spawn(caller::request(site.address(), hanging, b""));
        wait_until("a request hangs", async || !other.received().is_empty()).await;
        Self { site, leaving }
    }

    /// Asserts that requests are served and that none of them reaches the leaving endpoint.
    async fn assert_unused(&self, head: fn(&str) -> Request) {
        let before = self.leaving.received_calls().len();
        for number in 0..PLAIN_COUNT {
            let response = request(&self.site, head(&format!("r{number}"))).await;
            assert_eq!(response.head.status, 200);
        }
        assert_eq!(self.leaving.received_calls().len(), before);
    }
}

async fn assert_leaving_endpoint_is_unused(head: fn(&str) -> Request) {
    let leaving_site = LeavingSite::start().await;
    leaving_site.site.store.set_fault(store::Fault::Silent);
    leaving_site.assert_unused(head).await;
}

#[test]
fn a_leaving_endpoint_gets_no_non_idempotent_requests_while_the_store_is_unreachable() {
    run(assert_leaving_endpoint_is_unused(submit));
}

#[test]
fn a_leaving_endpoint_gets_no_lookups_while_the_store_is_unreachable() {
    run(assert_leaving_endpoint_is_unused(lookup));
}

async fn assert_leaving_engine_is_unused(role: Role) {
    let site = start_site().await;
    site.store.set_fault(store::Fault::Silent);
    assert_stream_is_served(&site, "first").await;
    let engine = only_executor(&site, role);
    engine.set_leaving(true);
    stream_until_called(&site, &engine).await;
    let before = work_calls(&engine);
    for number in 0..STREAM_COUNT {
        assert_stream_is_served(&site, &format!("r{number}")).await;
    }
    assert_eq!(work_calls(&engine), before);
}

#[test]
fn a_leaving_decode_engine_gets_no_runs_or_reservations_while_the_store_is_unreachable() {
    run(assert_leaving_engine_is_unused(Role::Decode));
}

#[test]
fn a_leaving_prefill_engine_gets_no_prompts_while_the_store_is_unreachable() {
    run(assert_leaving_engine_is_unused(Role::Prefill));
}

/// Until the store accepts its report, the row of a leaving endpoint stays `ready`.
#[test]
fn a_ready_row_does_not_bring_a_leaving_endpoint_back_but_a_new_incarnation_does() {
    run(async {
        let mut leaving_site = LeavingSite::start().await;
        let leaving = leaving_site.leaving.clone();
        leaving_site.site.register(&leaving, "ready");
        // Rows are read in the order in which they are written.
        leaving_site.site.add_endpoint(Role::Decode).await.expect("an endpoint");
        leaving_site.site.wait_until_synced().await;
        leaving_site.assert_unused(submit).await;

        leaving.set_leaving(false);
        leaving_site.site.register_incarnation(&leaving, "ready", 1_000);
        let (before, mut count) = (leaving.executed().len(), 0);
        wait_until("the new incarnation is used", async || {
            count += 1;
            assert_eq!(request(&leaving_site.site, lookup(&format!("n{count}"))).await.head.status, 200);
            leaving.executed().len() > before
        })
        .await;
    });
}

/// Callers take the status as a guarantee that the request has not run.
#[test]
fn requests_are_refused_with_a_retry_delay_when_all_endpoints_are_leaving() {
    run(async {
        let site = start_site().await;
        let endpoints = site.endpoints(Role::Plain);
        endpoints.iter().for_each(|endpoint| endpoint.set_leaving(true));
        for id in ["first", "second"] {
            assert_eq!(request(&site, submit(id)).await.head.status, 200);
        }
        let calls = || endpoints.iter().map(|endpoint| endpoint.received_calls().len()).collect::<Vec<_>>();
        let before = calls();
        assert_eq!(before, [1, 1]);
        for head in [submit("r1"), lookup("r2"), submit("r3"), lookup("r4")] {
            let response = request(&site, head).await;
            assert_eq!(response.head.status, 503);
            assert!(response.header("Retry-After").is_some());
        }
        assert_eq!(calls(), before);
    });
}

async fn assert_refusing_endpoint_is_unused(head: fn(&str) -> Request) {
    let mut site = Site::start(Shape { gateways: 0, ..Shape::default() }).await.expect("the site starts");
    let clock = Manual::default();
    site.add_gateway_with_clock(Clock::Manual(clock.clone())).await.expect("a gateway");
    site.wait_until_synced().await;
    let serve = async |id: &str| assert_eq!(request(&site, head(id)).await.head.status, 200, "{id}");
    assert_eq!(request(&site, submit("first")).await.head.status, 200);
    let endpoint = only_executor(&site, Role::Plain);
    endpoint.set_fault(Fault::RefuseFor(LONG_RETRY_AFTER));
    let mut count = 0;
    wait_until("the endpoint refuses", async || {
        count += 1;
        serve(&format!("until-{count}")).await;
        endpoint.received_calls().len() > 1
    })
    .await;
    for number in 0..PLAIN_COUNT {
        clock.advance(LONG_RETRY_AFTER / (PLAIN_COUNT + 1));
        serve(&format!("r{number}")).await;
    }
    assert_eq!(endpoint.received_calls().len(), 2);

    endpoint.set_fault(Fault::None);
    wait_until("the endpoint is used again", async || {
        count += 1;
        clock.advance(LONG_RETRY_AFTER);
        serve(&format!("again-{count}")).await;
        endpoint.executed().len() > 1
    })
    .await;
}

#[test]
fn an_endpoint_that_refuses_with_a_retry_delay_gets_no_non_idempotent_requests_before_its_end() {
    run(assert_refusing_endpoint_is_unused(submit));
}

#[test]
fn an_endpoint_that_refuses_with_a_retry_delay_gets_no_lookups_before_its_end() {
    run(assert_refusing_endpoint_is_unused(lookup));
}

async fn assert_refusing_engine_is_unused(site: &Site, role: Role) {
    assert_stream_is_served(site, "first").await;
    let engine = only_executor(site, role);
    let before = engine.received_calls().len();
    engine.set_fault(Fault::RefuseFor(LONG_RETRY_AFTER));
    stream_until_called(site, &engine).await;
    for number in 0..STREAM_COUNT {
        assert_stream_is_served(site, &format!("r{number}")).await;
    }
    assert_eq!(engine.received_calls().len(), before + 1);
}

#[test]
fn a_decode_engine_that_refuses_a_reservation_with_a_retry_delay_gets_no_calls_before_its_end() {
    run(async {
        let site = start_site().await;
        assert_refusing_engine_is_unused(&site, Role::Decode).await;
    });
}

#[test]
fn a_decode_engine_that_refuses_a_run_with_a_retry_delay_gets_no_calls_before_its_end() {
    run(async {
        let site = start_site().await;
        let mut without_reservations = configuration(2);
        without_reservations["services"][0]["engine"]["hold_ms"] = 0.0.into();
        site.configure(&without_reservations);
        site.wait_for_version(2).await;
        assert_refusing_engine_is_unused(&site, Role::Decode).await;
    });
}

/// The release of its reservation would be a call that the engine does not want.
#[test]
fn a_decode_engine_that_refuses_a_run_with_a_retry_delay_gets_no_release_of_the_reservation() {
    run(async {
        let site = start_site().await;
        for engine in site.endpoints(Role::Prefill) {
            engine.set_service_time(PREFILL_TIME);
        }
        let head = completion_request("/stream/x", KEY, "r1", PROMPT_TOKENS);
        let response = task::spawn(caller::request(site.address(), head, b""));
        let engines = site.endpoints(Role::Decode);
        let reserved = || engines.iter().find(|engine| engine.reservations() == 1);
        wait_until("memory is reserved", async || reserved().is_some()).await;
        let engine = reserved().expect("an engine with a reservation");
        engine.set_fault(Fault::RefuseFor(LONG_RETRY_AFTER));
        let response = response.await.expect("a response");
        assert_eq!((response.head.status, response.is_complete), (200, true));
        let calls = engine.received_calls();
        let calls: Vec<&str> = calls.iter().map(|call| call.path()).collect();
        assert_eq!(calls, ["/v1/hold-take", "/v1/report", "/stream/x"]);
    });
}

#[test]
fn a_prefill_engine_that_refuses_with_a_retry_delay_gets_no_calls_before_its_end() {
    run(async {
        let site = start_site().await;
        assert_refusing_engine_is_unused(&site, Role::Prefill).await;
    });
}

#[test]
fn requests_are_refused_with_the_retry_delay_of_the_endpoints_when_all_refuse_with_one() {
    run(async {
        let site = start_site().await;
        let endpoints = site.endpoints(Role::Plain);
        for endpoint in &endpoints {
            endpoint.set_fault(Fault::RefuseFor(Duration::from_secs(20)));
        }
        assert_eq!(request(&site, submit("first")).await.head.status, 503);
        let calls = || endpoints.iter().map(|endpoint| endpoint.received_calls().len()).collect::<Vec<_>>();
        assert_eq!(calls(), [1, 1]);
        for head in [submit("r1"), lookup("r2"), submit("r3"), lookup("r4")] {
            let response = request(&site, head).await;
            let retry_after = response.header("Retry-After").and_then(|value| value.parse::<f64>().ok());
            let is_delayed = retry_after.is_some_and(|delay| delay > 1.0);
            assert_eq!((response.head.status, is_delayed, calls()), (503, true, vec![1, 1]));
        }
    });
}

/// Requests that were placed before the pause are sent only when their connections open.
#[test]
fn requests_whose_connections_open_during_a_pause_are_not_sent() {
    run(async {
        let site = Site::start(Shape { plain: 0, ..Shape::default() }).await.expect("the site starts");
        let endpoint = BusyEndpoint::start(site.store.address().ip()).await;
        let row = json!({
            "service": "filing", "address": endpoint.address.to_string(), "zone": "zone-a", "version": "v1",
            "slots": 48, "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": 99,
        });
        site.store.put("servers", "busy", &row);
        let running = async || {
            let state = site.state(0).await;
            let endpoints = state["endpoints"].as_array().cloned().unwrap_or_default();
            endpoints.iter().find(|row| row["id"] == "busy").and_then(|row| row["running"].as_u64())
        };
        wait_until("the endpoint is known", async || running().await.is_some()).await;
        let address = site.address();
        let send = |id: &'static str| task::spawn(caller::request(address, submit(id), b""));
        let first = send("r1");
        wait_until("the first request has arrived", async || endpoint.arrivals() == 1).await;
        // Fills the accept queue, so that further connections do not open.
        let filler = TcpStream::connect(endpoint.address).await.expect("a connection");
        let others = [send("r2"), send("r3"), send("r4")];
        wait_until("all requests are placed", async || running().await == Some(4)).await;
        endpoint.refuse.send(()).await.expect("the endpoint runs");
        for caller in [first].into_iter().chain(others) {
            assert_eq!(caller.await.expect("a response").head.status, 503);
        }
        assert_eq!(endpoint.arrivals(), 1);
        drop(filler);
    });
}

/// An endpoint that accepts one connection, and the others only after it has refused its first request.
struct BusyEndpoint {
    address: SocketAddr,
    /// Makes the endpoint refuse its first request and ask for a pause.
    refuse: Sender<()>,
    arrivals: Arc<AtomicU32>,
}

impl BusyEndpoint {
    async fn start(ip: IpAddr) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::new(ip, 0).into()).expect("an address");
        socket.listen(0).expect("a listener");
        socket.set_nonblocking(true).expect("a nonblocking socket");
        let listener = TcpListener::from(std::net::TcpListener::from(socket));
        let address = listener.local_addr().expect("an address");
        let arrivals: Arc<AtomicU32> = Arc::default();
        let (refuse, refusing) = async_channel::bounded(1);
        let counted = arrivals.clone();
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let served = refuse_after(stream, refusing.clone(), counted.clone());
                if counted.load(Ordering::Relaxed) == 0 {
                    served.await;
                } else {
                    task::spawn(served);
                }
            }
        });
        Self { address, refuse, arrivals }
    }

    fn arrivals(&self) -> u32 {
        self.arrivals.load(Ordering::Relaxed)
    }
}

/// Reads a request, and refuses it after a message.
async fn refuse_after(stream: TcpStream, refusing: Receiver<()>, arrivals: Arc<AtomicU32>) {
    let mut connection = Connection::new(stream, LONG_RETRY_AFTER);
    let Ok(head) = connection.read_request(MAX_HEAD_BYTES).await else { return };
    arrivals.fetch_add(1, Ordering::Relaxed);
    // Fails once the test is over.
    let _ = refusing.recv().await;
    let id = head.fields.get("Tarragonhill-Request-Id").unwrap_or_default();
    let response = format!(
        "HTTP/1.1 503 Busy\r\nTarragonhill-Request-Id: {id}\r\nTarragonhill-Not-Executed: 1\r\n\
         Retry-After: 60\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    );
    // Fails only if the gateway has disconnected.
    let _ = connection.write(response.as_bytes()).await;
}

/// The gateway would spend its retry budget on an endpoint that it does not ask, beside a healthy one.
#[test]
fn requests_are_served_elsewhere_when_the_row_of_a_pausing_endpoint_returns() {
    run(async {
        let mut site = Site::start(Shape { gateways: 0, ..Shape::default() }).await.expect("the site starts");
        site.add_gateway_with_clock(Clock::Manual(Manual::default())).await.expect("a gateway");
        site.wait_until_synced().await;
        assert_eq!(request(&site, submit("first")).await.head.status, 200);
        let endpoint = only_executor(&site, Role::Plain);
        endpoint.set_fault(Fault::RefuseFor(LONG_RETRY_AFTER));
        let mut count = 0;
        wait_until("the endpoint refuses", async || {
            count += 1;
            assert_eq!(request(&site, submit(&format!("until-{count}"))).await.head.status, 200);
            endpoint.received_calls().len() > 1
        })
        .await;
        let known = async |site: &Site| site.state(0).await["endpoints"].as_array().map_or(0, Vec::len);
        let all = known(&site).await;
        site.store.put_invalid("servers", endpoint.id());
        wait_until("the row is gone", async || known(&site).await == all - 1).await;
        site.register(&endpoint, "ready");
        wait_until("the row is back", async || known(&site).await == all).await;
        for number in 0..200 {
            assert_eq!(request(&site, submit(&format!("r{number}"))).await.head.status, 200);
        }
        assert_eq!(endpoint.received_calls().len(), 2);
    });
}
