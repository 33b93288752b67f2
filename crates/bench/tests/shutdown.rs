//! Tests of the end of a gateway's shutdown over real connections, on a manual clock.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::{
    future::timeout,
    task::{self, JoinHandle},
};
use tarragonhill_bench::platform::{
    caller::{self, Caller, completion_request, plain_request},
    endpoint::{EVENT_COUNT, Endpoint, Fault, Role},
    site::{KEY, Shape, Site, state, wait_until, wait_until_not_ready},
};
use tarragonhill_core::{Clock, clock::Manual};
use tarragonhill_h1::head::Request;

/// Step by which the clock advances until a shutdown is over.
const STEP: Duration = Duration::from_millis(20);
/// Less than the grace period of the site by more than the gateway reserves for its exit, but too short for a
/// request to start.
const NEAR_THE_END: Duration = Duration::from_millis(7_000);
/// Just before the process ends, when requests in flight fail.
const REQUESTS_FAIL: Duration = Duration::from_millis(7_600);
/// Before the end of the drain delay.
const IN_DRAIN_DELAY: Duration = Duration::from_millis(1_000);
/// After the drain delay, and long before the end of the grace period.
const AFTER_DRAIN_DELAY: Duration = Duration::from_millis(3_500);
/// After the drain delay, and early enough for a short stream to end before the gateway does.
const STREAM_ADMITTED: Duration = Duration::from_millis(4_500);
/// Time of a stream that is in progress while the clock advances.
const STREAM_TIME: Duration = Duration::from_millis(400);
/// Metric that shows that the first stream's response has begun.
const FIRST_BYTE_SENT: &str = "gateway_first_byte_seconds_count{kind=\"streaming\"} 1";
/// How long a caller is connected before it sends its request.
const REQUEST_DELAY: Duration = Duration::from_millis(50);
/// Callers whose requests are in flight at the end.
const CALLERS: usize = 300;
/// Time limit for a response that the gateway should send at once.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// A site with one gateway and one endpoint of each role.
struct Fixture {
    site: Site,
    clock: Manual,
    /// Address of the gateway for callers.
    address: SocketAddr,
}

impl Fixture {
    async fn start() -> Self {
        let shape = Shape { gateways: 0, prefill: 1, decode: 1, plain: 1 };
        let mut site = Site::start(shape).await.expect("the site starts");
        let clock = Manual::default();
        site.add_gateway_with_clock(Clock::Manual(clock.clone())).await.expect("a gateway");
        site.wait_until_synced().await;
        let address = site.address();
        Self { site, clock, address }
    }

    /// Starts a site where the plain endpoint holds back the response to a request. Also returns the endpoint
    /// and the caller.
    async fn start_with_request() -> (Self, Arc<Endpoint>, Caller) {
        let fixture = Self::start().await;
        let endpoint = fixture.endpoint(Role::Plain);
        endpoint.set_paused(true);
        let mut caller = Caller::open(fixture.address).await.expect("a connection");
        caller.send(submit("r1"), b"").await.expect("sent");
        wait_until_received(&endpoint).await;
        (fixture, endpoint, caller)
    }

    fn endpoint(&self, role: Role) -> Arc<Endpoint> {
        self.site.endpoints(role)[0].clone()
    }

    /// Begins the shutdown and advances the clock by `span`.
    async fn begin_shutdown(&mut self, span: Duration) -> JoinHandle<()> {
        let gateway = self.site.gateways.remove(0);
        let admin = gateway.admin();
        let stopping = task::spawn(gateway.shutdown());
        wait_until_not_ready(admin).await;
        self.clock.advance(span);
        stopping
    }

    /// Advances the clock until the gateway has stopped.
    async fn finish(&self, stopping: JoinHandle<()>) {
        let mut stopping = stopping;
        wait_until("the gateway has stopped", async || {
            self.clock.advance(STEP);
            futures_lite::future::poll_once(&mut stopping).await.is_some()
        })
        .await;
    }
}

fn run<T>(test: impl Future<Output = T>) -> T {
    task::block_on(test)
}

fn with_long_deadline(mut head: Request) -> Request {
    head.fields.set("Tarragonhill-Deadline-Ms", "60000");
    head
}

fn submit(id: &str) -> Request {
    with_long_deadline(plain_request("POST", "/submit/x", KEY, id))
}

fn lookup(id: &str) -> Request {
    with_long_deadline(plain_request("GET", "/lookup/x", KEY, id))
}

fn short_stream(id: &str) -> Request {
    let mut head = with_long_deadline(completion_request("/stream/x", KEY, id, 5_000));
    head.fields.set("Tarragonhill-Token-Counts", "5000,20");
    head
}

/// Waits until the first stream's response has begun.
async fn wait_until_response_begins(admin: SocketAddr) {
    wait_until("the response has begun", async || {
        let metrics = caller::request(admin, plain_request("GET", "/metrics", KEY, "q"), b"").await;
        metrics.is_ok_and(|metrics| metrics.text().contains(FIRST_BYTE_SENT))
    })
    .await;
}

async fn wait_until_received(endpoint: &Endpoint) {
    wait_until("the endpoint has received the request", async || !endpoint.received().is_empty()).await;
}

/// The caller of a request that was cut could not tell whether it had run.
#[test]
fn a_request_in_flight_when_the_gateway_ends_gets_a_response() {
    for head in [submit("r1"), lookup("r1")] {
        run(async {
            let mut fixture = Fixture::start().await;
            let endpoint = fixture.endpoint(Role::Plain);
            endpoint.set_fault(Fault::Hang);
            let mut caller = Caller::open(fixture.address).await.expect("a connection");
            caller.send(head, b"").await.expect("sent");
            wait_until_received(&endpoint).await;
            let stopping = fixture.begin_shutdown(AFTER_DRAIN_DELAY).await;
            fixture.finish(stopping).await;
            let response = caller.read_response().await.expect("a response");
            assert_eq!((response.head.status, response.is_complete), (502, true));
            assert_eq!(response.header("Connection"), Some("close"));
        });
    }
}

/// The caller can retry at once at another replica; here the request would fail.
#[test]
fn a_request_that_would_outlive_the_gateway_reaches_no_endpoint() {
    for head in [submit("r2"), lookup("r2")] {
        run(async {
            let (mut fixture, endpoint, mut running) = Fixture::start_with_request().await;
            let stopping = fixture.begin_shutdown(NEAR_THE_END).await;
            let response = caller::request(fixture.address, head, b"").await.expect("a response");
            assert_eq!(response.head.status, 503);
            assert!(response.header("Retry-After").is_some());
            assert_eq!(response.header("Connection"), Some("close"));
            assert_eq!(endpoint.received().len(), 1);
            endpoint.set_paused(false);
            assert_eq!(running.read_response().await.expect("a response").head.status, 200);
            fixture.finish(stopping).await;
        });
    }
}

/// The stream would be cut midway, and its prefill wasted.
#[test]
fn a_queued_stream_that_would_outlive_the_gateway_is_refused() {
    run(async {
        let (mut fixture, _, _running) = Fixture::start_with_request().await;
        let engine = fixture.endpoint(Role::Decode);
        engine.fill_memory();
        let admin = fixture.site.gateways[0].admin();
        let stopping = fixture.begin_shutdown(STREAM_ADMITTED).await;
        let mut caller = Caller::open(fixture.address).await.expect("a connection");
        caller.send(short_stream("r2"), b"prompt").await.expect("sent");
        wait_until("the stream is queued", async || state(admin).await["waiting"] == 1).await;
        fixture.clock.advance(NEAR_THE_END - STREAM_ADMITTED);
        let response = timeout(RESPONSE_TIMEOUT, caller.read_response()).await.expect("a response in time");
        let response = response.expect("a response");
        assert_eq!((response.head.status, response.is_complete), (503, true));
        assert!(response.header("Retry-After").is_some());
        assert!(engine.received().is_empty());
        fixture.finish(stopping).await;
    });
}

/// The responses of requests in flight fail shortly before the process ends, but one that has begun may still end.
#[test]
fn a_stream_that_ends_just_before_the_gateway_is_not_cut() {
    run(async {
        let mut fixture = Fixture::start().await;
        let engine = fixture.endpoint(Role::Decode);
        engine.set_service_time(STREAM_TIME);
        let address = fixture.address;
        let response = task::spawn(caller::request(address, short_stream("r1"), b"prompt"));
        wait_until_response_begins(fixture.site.gateways[0].admin()).await;
        let stopping = fixture.begin_shutdown(REQUESTS_FAIL).await;
        let response = response.await.expect("a response");
        assert_eq!((response.head.status, response.is_complete), (200, true));
        assert_eq!(response.event_ids(), (1..=EVENT_COUNT).collect::<Vec<_>>());
        assert_eq!(engine.abandoned(), 0);
        fixture.finish(stopping).await;
    });
}

/// Guards against a resumption that is refused because a new stream would not end before the gateway.
#[test]
fn a_long_stream_resumes_during_a_shutdown() {
    run(async {
        let mut fixture = Fixture::start().await;
        fixture.site.add_endpoint(Role::Decode).await.expect("an endpoint");
        fixture.site.wait_until_synced().await;
        let engines = fixture.site.endpoints(Role::Decode);
        for engine in &engines {
            engine.set_paused(true);
            engine.fail_next(Fault::CutInEvent, 1);
        }
        let mut head = with_long_deadline(completion_request("/resumable/x", KEY, "r1", 5_000));
        head.fields.set("Tarragonhill-Token-Counts", "5000,4000");
        head.fields.set("Tarragonhill-Length-Hint", "4000");
        let response = task::spawn(caller::request(fixture.address, head, b"prompt"));
        wait_until_response_begins(fixture.site.gateways[0].admin()).await;
        let stopping = fixture.begin_shutdown(IN_DRAIN_DELAY).await;
        for engine in engines {
            if engine.active_streams() == 0 {
                engine.set_fault(Fault::None);
            }
            engine.set_paused(false);
        }
        let response = response.await.expect("a response");
        assert_eq!((response.is_complete, response.event_ids()), (true, (1..=EVENT_COUNT).collect()));
        fixture.finish(stopping).await;
    });
}

/// The caller would send its next request on a connection that is about to close.
#[test]
fn a_response_during_shutdown_to_an_earlier_request_announces_the_close() {
    run(async {
        let (mut fixture, endpoint, mut caller) = Fixture::start_with_request().await;
        let stopping = fixture.begin_shutdown(Duration::ZERO).await;
        endpoint.set_paused(false);
        let response = caller.read_response().await.expect("a response");
        assert_eq!((response.head.status, response.header("Connection")), (200, Some("close")));
        fixture.finish(stopping).await;
    });
}

/// While most replicas of a zone shut down, the load balancer routes new connections to all of them.
#[test]
fn a_new_connection_after_the_drain_delay_is_not_closed_before_its_request_arrives() {
    run(async {
        let (mut fixture, endpoint, _running) = Fixture::start_with_request().await;
        let stopping = fixture.begin_shutdown(AFTER_DRAIN_DELAY).await;
        let mut caller = Caller::open(fixture.address).await.expect("a connection");
        task::sleep(REQUEST_DELAY).await;
        endpoint.set_paused(false);
        let response = caller.request(submit("r2"), b"").await.expect("a response");
        assert_eq!((response.head.status, response.header("Connection")), (200, Some("close")));
        fixture.finish(stopping).await;
    });
}

/// Guards against requests that were passed on and get no response because too many wait for one when the gateway ends.
#[test]
fn all_requests_in_flight_when_the_gateway_ends_get_a_response() {
    run(async {
        let mut fixture = Fixture::start().await;
        let endpoint = fixture.endpoint(Role::Plain);
        endpoint.set_fault(Fault::Hang);
        let mut callers = Vec::new();
        for number in 0..CALLERS {
            let mut caller = Caller::open(fixture.address).await.expect("a connection");
            caller.send(submit(&format!("r{number}")), b"").await.expect("sent");
            callers.push(caller);
        }
        wait_until("the requests are passed on", async || endpoint.received().len() == CALLERS).await;
        let stopping = fixture.begin_shutdown(AFTER_DRAIN_DELAY).await;
        fixture.finish(stopping).await;
        for mut caller in callers {
            let response = caller.read_response().await.expect("a response");
            assert_eq!((response.head.status, response.is_complete), (502, true));
        }
    });
}

/// Guards against requests on kept connections that are passed on when there is no time left for them.
#[test]
fn a_request_on_a_kept_connection_late_in_the_grace_period_reaches_no_endpoint() {
    for head in [submit("r2"), lookup("r2"), short_stream("r2")] {
        run(async {
            let (mut fixture, endpoint, mut running) = Fixture::start_with_request().await;
            let mut late = Caller::open(fixture.address).await.expect("a connection");
            let warm = late.request(short_stream("warm"), b"prompt").await.expect("a response");
            assert_eq!(warm.head.status, 200);
            let engine = fixture.endpoint(Role::Decode);
            let streams = engine.received().len();
            let stopping = fixture.begin_shutdown(NEAR_THE_END).await;
            late.send(head.clone(), b"prompt").await.expect("sent");
            if let Ok(response) = late.read_response().await {
                assert_eq!((response.head.status, response.is_complete), (503, true), "{}", head.target);
            }
            assert_eq!((endpoint.received().len(), engine.received().len()), (1, streams), "{}", head.target);
            endpoint.set_paused(false);
            assert_eq!(running.read_response().await.expect("a response").head.status, 200);
            fixture.finish(stopping).await;
        });
    }
}
