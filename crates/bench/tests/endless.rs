//! Tests of endpoints that send bytes without an end in place of a response, over real connections.

use std::{
    sync::{Arc, OnceLock},
    thread,
    time::Duration,
};

use async_std::task;
use serde_json::json;
use strum::IntoEnumIterator as _;
use tarragonhill_bench::platform::{
    caller::{self, Response, completion_request, plain_request},
    endpoint::{EVENT_COUNT, Endless, EndlessFault, Endpoint, Pace, Role},
    raw::{self, Step},
    site::{KEY, Shape, Site, wait_until},
};
use tarragonhill_h1::head::Request;

const PROMPT_TOKENS: u64 = 1_000;
/// Memory of the gateway, a quarter of which may be held.
const MEMORY: u64 = 32 << 20;

/// Starts a site with one gateway and two endpoints of each role.
async fn start_site() -> Site {
    let shape = Shape { gateways: 0, prefill: 2, decode: 2, plain: 2 };
    let mut site = Site::start(shape).await.expect("the site starts");
    site.set_memory(MEMORY);
    site.add_gateway().await.expect("the gateway starts");
    site.wait_until_synced().await;
    site
}

fn forms() -> impl Iterator<Item = (Endless, Pace)> {
    Endless::iter().flat_map(|endless| Pace::iter().map(move |pace| (endless, pace)))
}

async fn request(site: &Site, head: Request) -> Response {
    caller::request(site.address(), head, b"").await.expect("a response")
}

/// Waits until the gateway has closed the connections on which bytes came without an end, and holds nothing.
async fn wait_until_closed(site: &Site, endpoint: &Endpoint) {
    let endless = || endpoint.received().iter().filter(|request| request.was_executed).count();
    wait_until("the connections are closed", async || endpoint.closed_endless() as usize >= endless()).await;
    wait_until("nothing is held", async || site.state(0).await["held_bytes"] == 0).await;
}

/// Sends a request of which the first endpoint of a role that gets a call with this path answers without an end. Returns that
/// endpoint and the response.
async fn meet(
    site: &Site,
    role: Role,
    path: &'static str,
    (endless, pace): (Endless, Pace),
    head: Request,
) -> (Arc<Endpoint>, Response) {
    let first = Arc::new(OnceLock::new());
    let fault = EndlessFault { path, endless, pace, endpoint: first.clone() };
    site.endpoints(role).iter().for_each(|endpoint| endpoint.set_endless(fault.clone()));
    let response = request(site, head).await;
    let first = first.get().expect("an endpoint got a call");
    let endpoint = site.all_endpoints().find(|endpoint| endpoint.id() == first).expect("the endpoint");
    (endpoint.clone(), response)
}

fn lookup(id: &str) -> Request {
    plain_request("GET", "/lookup/x", KEY, id)
}

fn submission(id: &str) -> Request {
    plain_request("POST", "/submit/x", KEY, id)
}

fn stream(id: &str) -> Request {
    completion_request("/stream/x", KEY, id, PROMPT_TOKENS)
}

fn resumable(id: &str) -> Request {
    completion_request("/resumable/x", KEY, id, PROMPT_TOKENS)
}

/// Runs a test for each form, beside each other.
fn for_each_form(forms: impl Iterator<Item = (Endless, Pace)>, test: impl AsyncFn((Endless, Pace)) + Sync) {
    thread::scope(|scope| {
        for form in forms {
            let test = &test;
            scope.spawn(move || task::block_on(test(form)));
        }
    });
}

/// Guards against a lookup that waits for an endless response until its deadline although another endpoint answers.
#[test]
fn a_lookup_that_meets_an_endless_response_is_answered_by_another_endpoint() {
    for_each_form(forms(), async |form| {
        let site = start_site().await;
        let (endpoint, response) = meet(&site, Role::Plain, "/lookup/", form, lookup("first")).await;
        assert_eq!(response.head.status, 200, "{form:?}");
        wait_until_closed(&site, &endpoint).await;
    });
}

/// Guards against memory that an endless response takes, and against a promise that the request has not run.
#[test]
fn a_submission_that_meets_an_endless_response_fails_without_a_promise() {
    let forms =
        [Endless::Bytes, Endless::Head, Endless::Body, Endless::Chunks].map(|form| (form, Pace::Fast));
    for_each_form(forms.into_iter(), async |form| {
        let site = start_site().await;
        let (endpoint, response) = meet(&site, Role::Plain, "/submit/", form, submission("first")).await;
        assert_eq!(response.head.status, 502, "{form:?}");
        wait_until_closed(&site, &endpoint).await;
    });
}

/// Guards against a stream that waits for events among endless bytes that contain none.
#[test]
fn a_stream_that_meets_an_endless_response_goes_on_at_another_endpoint() {
    for_each_form(forms(), async |form| {
        let site = start_site().await;
        let (endpoint, response) = meet(&site, Role::Decode, "/resumable/", form, resumable("first")).await;
        assert_eq!(response.event_ids(), (1..=EVENT_COUNT).collect::<Vec<_>>(), "{form:?}");
        wait_until_closed(&site, &endpoint).await;
    });
}

/// Guards against streams that are never placed because a reservation, a prefill or a report is answered without an end.
#[test]
fn a_stream_whose_preparation_meets_an_endless_response_is_served_at_another_endpoint() {
    let calls = [(Role::Decode, "/v1/hold-take"), (Role::Decode, "/v1/report"), (Role::Prefill, "/stream/")];
    for (role, path) in calls {
        for_each_form(forms(), async |form| {
            let site = start_site().await;
            let (endpoint, response) = meet(&site, role, path, form, stream("first")).await;
            assert_eq!(response.event_ids().len(), EVENT_COUNT as usize, "{path} {form:?}");
            wait_until("a connection is closed", async || endpoint.closed_endless() > 0).await;
        });
    }
}

/// Guards against orders that never end, which would hold up all later ones, and against streams that wait for them.
#[test]
fn an_order_that_meets_an_endless_response_ends() {
    for path in ["/v1/order", "/v1/report"] {
        for_each_form(forms(), async |form| {
            let shape = Shape { gateways: 1, prefill: 5, decode: 2, plain: 0 };
            let site = Site::start(shape).await.expect("the site starts");
            let (endless, pace) = form;
            let first = Arc::new(OnceLock::new());
            let fault = EndlessFault { path, endless, pace, endpoint: first.clone() };
            let engines = site.endpoints(Role::Prefill);
            engines.iter().for_each(|engine| engine.set_endless(fault.clone()));
            let mut count = 0;
            wait_until("a connection is closed", async || {
                count += 1;
                let response = request(&site, stream(&format!("r{count}"))).await;
                assert_eq!(response.event_ids().len(), EVENT_COUNT as usize, "{path} {form:?}");
                engines.iter().any(|engine| engine.closed_endless() > 0)
            })
            .await;
            wait_until("nothing is held", async || site.state(0).await["held_bytes"] == 0).await;
        });
    }
}

/// Guards against releases of which each keeps a connection for good.
#[test]
fn a_release_that_meets_an_endless_response_is_over_in_its_time() {
    for_each_form(forms(), async |form| {
        let site = start_site().await;
        for prefill in site.endpoints(Role::Prefill) {
            prefill.kill().await;
        }
        let (endpoint, _) = meet(&site, Role::Decode, "/v1/hold-drop/", form, stream("first")).await;
        wait_until_closed(&site, &endpoint).await;
    });
}

/// Guards against heads without an end that together take the memory of the host, since only bodies were counted.
#[test]
fn heads_of_responses_that_have_not_ended_count_as_held() {
    const CALLERS: u64 = 64;
    const PART: u64 = 40_000;
    task::block_on(async {
        let mut site =
            Site::start(Shape { gateways: 0, prefill: 0, decode: 0, plain: 0 }).await.expect("a site");
        site.set_memory(MEMORY);
        site.add_gateway().await.expect("the gateway starts");
        let part = [b"HTTP/1.1 200 OK\r\n", &b"X-Padding: 12345\r\n".repeat(PART as usize / 18)[..]].concat();
        let answer = move |_: &Request| vec![Step::send(&part), Step::Wait(Duration::from_secs(30))];
        let endless = raw::Endpoint::start(answer).await.expect("an endpoint");
        let row = json!({
            "service": "filing", "address": endless.address().to_string(), "zone": "zone-a", "version": "v1",
            "slots": 48, "state": "ready", "cold_remaining_ms": 0, "seq": 1,
        });
        site.store.put("servers", "endless", &row);
        wait_until("the endpoint is known", async || {
            site.state(0).await["endpoints"].as_array().is_some_and(|known| known.len() == 1)
        })
        .await;
        let address = site.address();
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| task::spawn(caller::request(address, submission(&format!("r{number}")), b"")))
            .collect();
        wait_until("the heads are held", async || {
            site.state(0).await["held_bytes"].as_u64() >= Some(CALLERS * PART / 2)
        })
        .await;
        for caller in callers {
            assert_eq!(caller.await.expect("a response").head.status, 502);
        }
        wait_until("nothing is held", async || site.state(0).await["held_bytes"] == 0).await;
    });
}
