//! Tests of answers that come while the request is still being written, over real connections.

use std::time::Duration;

use async_std::task;
use serde_json::json;
use tarragonhill_bench::platform::{
    caller::{self, Response, completion_request, plain_request},
    raw::{Endpoint, Step},
    site::{KEY, Shape, Site, configuration, wait_until},
};
use tarragonhill_h1::head::Request;

/// Longer than the operating systems of both sides keep.
const UPLOAD_BYTES: usize = 4 << 20;
const MAX_BODY_BYTES: usize = 8 << 20;
/// Tries a case, as the reset may be noticed by a write or by a read.
const TRIES: usize = 3;
const HEAD: &str =
    "HTTP/1.1 200 OK\r\nTarragonhill-Request-Id: {id}\r\nTarragonhill-Server-Signature: raw.1\r\n";
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// Starts a site with one gateway and one endpoint, which serves plain requests and streams and answers by these steps.
async fn start_site(steps: Vec<Step>) -> (Site, Endpoint) {
    let site = Site::start(Shape { gateways: 1, prefill: 0, decode: 0, plain: 0 }).await;
    let site = site.expect("the site starts");
    let mut configuration = configuration(2);
    configuration["limits"]["max_body_bytes"] = MAX_BODY_BYTES.into();
    site.configure(&configuration);
    let endpoint = Endpoint::start(move |_| steps.clone()).await.expect("an endpoint");
    for service in ["models", "filing"] {
        let row = json!({
            "service": service, "address": endpoint.address().to_string(), "zone": "zone-a", "version": "v1",
            "slots": 48, "state": "ready", "cold_remaining_ms": 0, "seq": 1,
        });
        site.store.put("servers", service, &row);
    }
    site.wait_for_version(2).await;
    wait_until("the endpoint is known", async || {
        site.state(0).await["endpoints"].as_array().is_some_and(|known| known.len() == 2)
    })
    .await;
    (site, endpoint)
}

/// Requests of each kind.
fn heads(id: usize) -> [Request; 4] {
    let id = |kind: &str| format!("{kind}-{id}");
    [
        plain_request("POST", "/lookup/x", KEY, &id("lookup")),
        plain_request("POST", "/submit/x", KEY, &id("submit")),
        completion_request("/stream/x", KEY, &id("stream"), 100),
        completion_request("/resumable/x", KEY, &id("resumable"), 100),
    ]
}

async fn upload(site: &Site, head: Request) -> Response {
    let body = vec![b'u'; UPLOAD_BYTES];
    let mut caller = caller::Caller::open(site.address()).await.expect("a connection");
    caller.send(head, &body).await.expect("sent");
    caller.read_response().await.expect("a response")
}

/// Guards against a part of an answer without a length that is passed on as the whole, because the reset that broke it off was
/// noticed by the write of the request.
#[test]
fn an_answer_without_a_length_that_is_reset_during_the_upload_does_not_look_complete() {
    let (at_once, soon) = (Duration::ZERO, Duration::from_millis(20));
    for (wait, end) in
        [(at_once, Step::Reset), (soon, Step::Reset), (at_once, Step::Close), (soon, Step::Close)]
    {
        task::block_on(async {
            let head = format!("{HEAD}Content-Type: text/event-stream\r\n\r\n");
            let steps = vec![Step::send(head + EVENTS), Step::Wait(wait), end.clone()];
            let (site, endpoint) = start_site(steps).await;
            for number in 0..TRIES {
                for head in heads(number) {
                    let target = head.target.clone();
                    let response = upload(&site, head).await;
                    let is_success = response.head.status == 200 && response.is_complete;
                    assert!(!is_success, "{target} {wait:?} {end:?}: {}", response.text());
                }
            }
            assert!(!endpoint.heads().is_empty());
        });
    }
}

/// Guards against whole answers that fail because their endpoint closed the connection before it had read the request.
#[test]
fn an_answer_with_a_stated_end_that_comes_during_the_upload_is_passed_on() {
    task::block_on(async {
        let bodies = [
            format!("{HEAD}Content-Length: {}\r\n\r\n{EVENTS}", EVENTS.len()),
            format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{EVENTS}\r\n0\r\n\r\n", EVENTS.len()),
        ];
        for body in bodies {
            let (site, _endpoint) = start_site(vec![Step::send(body), Step::Reset]).await;
            for head in heads(0) {
                let target = head.target.clone();
                let response = upload(&site, head).await;
                assert_eq!((response.head.status, response.is_complete), (200, true), "{target}");
                assert_eq!(response.text(), EVENTS, "{target}");
            }
        }
    });
}

/// Guards against a second request on a connection on which the rest of the first one is due.
#[test]
fn a_connection_on_which_an_upload_was_not_written_whole_carries_no_other_request() {
    task::block_on(async {
        let answer = format!("{HEAD}Content-Length: {}\r\n\r\n{EVENTS}", EVENTS.len());
        let steps = vec![Step::send(answer), Step::Wait(Duration::from_millis(50)), Step::ReadBody];
        let (site, endpoint) = start_site(steps).await;
        for number in 0..3 {
            for head in heads(number) {
                let target = head.target.clone();
                let response = upload(&site, head).await;
                assert_eq!((response.head.status, response.text().as_str()), (200, EVENTS), "{target}");
                let next = plain_request("GET", "/lookup/next", KEY, &format!("next-{number}"));
                let response = caller::request(site.address(), next, b"").await.expect("a response");
                assert_eq!((response.head.status, response.text().as_str()), (200, EVENTS), "{target}");
            }
        }
        assert_eq!(endpoint.heads().len(), 24);
    });
}
