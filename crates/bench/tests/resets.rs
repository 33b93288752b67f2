//! Tests of endpoints' connections that are reset in any phase of a response.

use std::sync::Arc;

use async_std::task;
use tarragonhill_bench::platform::{
    caller::{self, Response, completion_request, plain_request},
    endpoint::{EVENT_COUNT, Endpoint, Fault, Role},
    site::{KEY, Shape, Site},
};
use tarragonhill_h1::{Error, head::Request};

/// Bytes of the response before the reset: before the head, within it, at its end, within and between events
/// or in the body.
const PHASES: [usize; 14] = [0, 1, 30, 90, 140, 170, 180, 190, 200, 215, 240, 290, 333, 400];
/// Statuses that promise that the request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

async fn start_site() -> Site {
    Site::start(Shape::default()).await.expect("the site starts")
}

/// Sends a request while every endpoint of a role resets its responses after `bytes`.
async fn request(site: &Site, role: Role, bytes: usize, head: Request) -> Result<Response, Error> {
    for endpoint in site.endpoints(role) {
        endpoint.set_fault(Fault::ResetAt(bytes));
    }
    caller::request(site.address(), head, b"prompt").await
}

fn executed(endpoints: &[Arc<Endpoint>]) -> usize {
    endpoints.iter().map(|endpoint| endpoint.executed().len()).sum()
}

/// Asserts that a response that is not whole does not look whole, and that none says "not run".
fn assert_truthful(response: &Result<Response, Error>, whole: &str, bytes: usize) {
    let Ok(response) = response else { return };
    assert!(!NOT_RUN.contains(&response.head.status), "status {} after {bytes} bytes", response.head.status);
    if response.is_complete && response.head.status == 200 {
        assert_eq!(response.text(), whole, "after {bytes} bytes");
    }
}

fn whole_stream() -> String {
    (1..=EVENT_COUNT).map(|id| format!("id: {id}\ndata: token-{id}\n\n")).collect()
}

#[test]
fn a_reset_stream_is_never_whole_nor_run_twice() {
    for bytes in PHASES {
        task::block_on(async {
            let site = start_site().await;
            let head = completion_request("/stream/x", KEY, "r1", 5_000);
            let response = request(&site, Role::Decode, bytes, head).await;
            assert_truthful(&response, &whole_stream(), bytes);
            assert_eq!(executed(&site.endpoints(Role::Decode)), 1, "after {bytes} bytes");
        });
    }
}

#[test]
fn a_reset_resumable_stream_repeats_no_event() {
    for bytes in PHASES {
        task::block_on(async {
            let site = start_site().await;
            let head = completion_request("/resumable/x", KEY, "r1", 5_000);
            let response = request(&site, Role::Decode, bytes, head).await;
            if let Ok(response) = &response {
                let ids = response.event_ids();
                assert_eq!(ids, (1..=ids.len() as u32).collect::<Vec<_>>(), "after {bytes} bytes");
            }
            assert_truthful(&response, &whole_stream(), bytes);
            assert!(executed(&site.endpoints(Role::Decode)) <= 2, "after {bytes} bytes");
        });
    }
}

#[test]
fn a_reset_non_idempotent_request_runs_once_and_is_reported_truthfully() {
    for bytes in PHASES {
        task::block_on(async {
            let site = start_site().await;
            let head = plain_request("POST", "/submit/x?y=1", KEY, "r1");
            let response = request(&site, Role::Plain, bytes, head).await;
            assert_truthful(&response, "POST /submit/x?y=1 prompt", bytes);
            assert_eq!(executed(&site.endpoints(Role::Plain)), 1, "after {bytes} bytes");
        });
    }
}

#[test]
fn a_lookup_whose_response_is_reset_is_retried_at_another_endpoint() {
    for bytes in PHASES {
        task::block_on(async {
            let site = start_site().await;
            site.endpoints(Role::Plain)[0].set_fault(Fault::ResetAt(bytes));
            for number in 0..3 {
                let target = format!("/lookup/{number}");
                let head = plain_request("GET", &target, KEY, &format!("r{number}"));
                let response = caller::request(site.address(), head, b"").await.expect("a response");
                let expected = (200, format!("GET {target} "));
                assert_eq!((response.head.status, response.text()), expected, "after {bytes} bytes");
            }
        });
    }
}
