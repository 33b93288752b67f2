//! Tests of endpoints that name a limit on the requests that they take from all replicas together.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use tarragonhill_bench::platform::{
    caller::{self, Response, completion_request, plain_request},
    endpoint::{Endpoint, Fault, LIMIT_WINDOW, Role},
    site::{KEY, Shape, Site, wait_until},
};
use tarragonhill_h1::head::Request;

const PROMPT_TOKENS: u64 = 100;
/// Requests a second that endpoints name.
const LIMIT: f64 = 1.6;
/// Time until all replicas must keep to a limit.
const NOTICE: Duration = Duration::from_secs(3);
/// How long callers send requests; several windows after the notice.
const LOAD: Duration = Duration::from_secs(11);

/// Returns the most requests that a limited endpoint may get in [`LIMIT_WINDOW`].
fn most(limit: f64) -> usize {
    (1.5 * limit * LIMIT_WINDOW.as_secs_f64() + 5.0) as usize
}

async fn start_site(gateways: usize, plain: usize) -> Site {
    let site = Site::start(Shape { gateways, prefill: 2, decode: 2, plain }).await.expect("the site starts");
    let registered = async || {
        (1..=site.gateways.len()).all(|number| site.store.has("entries", &format!("entry-{number}")))
    };
    wait_until("the replicas are registered", registered).await;
    // After this time, each replica knows all others.
    task::sleep(Duration::from_millis(3_500)).await;
    site
}

/// Sends requests through all replicas for [`LOAD`], one every `interval`, and returns the responses.
async fn send_load(site: &Site, interval: Duration, head: fn(&str) -> Request) -> Vec<Response> {
    let began = Instant::now();
    let mut exchanges = Vec::new();
    while began.elapsed() < LOAD {
        let number = exchanges.len();
        let address = site.gateways[number % site.gateways.len()].address();
        let head = head(&format!("r{number}"));
        exchanges.push(task::spawn(async move { caller::request(address, head, b"").await }));
        task::sleep(interval).await;
    }
    let mut responses = Vec::new();
    for exchange in exchanges {
        responses.extend(exchange.await);
    }
    responses
}

fn lookup(id: &str) -> Request {
    plain_request("GET", "/lookup/x", KEY, id)
}

fn stream(id: &str) -> Request {
    completion_request("/stream/x", KEY, id, PROMPT_TOKENS)
}

fn resumable(id: &str) -> Request {
    completion_request("/resumable/x", KEY, id, PROMPT_TOKENS)
}

fn served(responses: &[Response]) -> usize {
    responses.iter().filter(|response| response.head.status == 200 && response.is_complete).count()
}

fn limit_first(site: &Site, role: Role) -> Arc<Endpoint> {
    let endpoint = site.endpoints(role).remove(0);
    endpoint.set_limit(Some(LIMIT));
    endpoint
}

fn assert_within_limit(endpoint: &Endpoint) {
    let busiest = endpoint.busiest_limited_window(NOTICE);
    assert!(busiest <= most(LIMIT), "{}: {busiest} requests in {LIMIT_WINDOW:?}", endpoint.id());
}

/// Guards against an endpoint that gets its limit from each replica.
#[test]
fn an_endpoint_that_names_a_limit_gets_no_more_from_all_replicas_together() {
    task::block_on(async {
        let site = start_site(4, 3).await;
        let limited = limit_first(&site, Role::Plain);
        let responses = send_load(&site, Duration::from_millis(30), lookup).await;
        assert_within_limit(&limited);
        assert_eq!(served(&responses), responses.len());
        assert!(limited.busiest_limited_window(NOTICE) > 0, "the endpoint is not used at all");
    });
}

/// Guards against prefills and decodes that pass a limit over.
#[test]
fn engines_that_name_a_limit_get_no_more_prefills_and_decodes() {
    task::block_on(async {
        let site = start_site(4, 1).await;
        let limited = [limit_first(&site, Role::Prefill), limit_first(&site, Role::Decode)];
        let responses = send_load(&site, Duration::from_millis(60), stream).await;
        limited.iter().for_each(|endpoint| assert_within_limit(endpoint));
        assert_eq!(served(&responses), responses.len());
    });
}

/// Guards against resumptions that pass a limit over.
#[test]
fn streams_are_resumed_at_a_limited_engine_only_within_its_limit() {
    task::block_on(async {
        let site = start_site(2, 1).await;
        let limited = limit_first(&site, Role::Decode);
        site.endpoints(Role::Decode)[1].set_fault(Fault::Cut);
        send_load(&site, Duration::from_millis(150), resumable).await;
        assert_within_limit(&limited);
    });
}

/// Guards against hedges that pass a limit over.
#[test]
fn hedges_are_sent_to_a_limited_endpoint_only_within_its_limit() {
    task::block_on(async {
        let site = start_site(2, 2).await;
        let limited = limit_first(&site, Role::Plain);
        site.endpoints(Role::Plain)[1].set_service_time(Duration::from_millis(700));
        send_load(&site, Duration::from_millis(100), lookup).await;
        assert_within_limit(&limited);
    });
}

/// Guards against requests that wait for a limited endpoint until their deadline, or are refused as if they had run.
#[test]
fn requests_beyond_the_limits_of_all_endpoints_are_refused_at_once_as_not_run() {
    task::block_on(async {
        let site = start_site(2, 2).await;
        let limited = site.endpoints(Role::Plain);
        limited.iter().for_each(|endpoint| endpoint.set_limit(Some(LIMIT)));
        let began = Instant::now();
        let responses = send_load(&site, Duration::from_millis(50), lookup).await;
        assert!(began.elapsed() < LOAD + Duration::from_secs(1), "requests waited");
        limited.iter().for_each(|endpoint| assert_within_limit(endpoint));
        let refused: Vec<&Response> =
            responses.iter().filter(|response| response.head.status == 503).collect();
        assert!(refused.len() > responses.len() / 2, "{} of {}", refused.len(), responses.len());
        for response in refused {
            let retry_after = response.header("retry-after").and_then(|value| value.parse::<f64>().ok());
            assert!(retry_after.is_some_and(|seconds| seconds > 0.0), "{:?}", response.head);
        }
        let executed = limited.iter().map(|endpoint| endpoint.executed().len()).sum::<usize>();
        assert_eq!(executed, served(&responses));
    });
}

/// Guards against streams that wait for limited engines until their deadline.
#[test]
fn streams_beyond_the_limits_of_all_engines_are_refused_before_their_deadline() {
    task::block_on(async {
        let site = start_site(2, 1).await;
        let limited = site.endpoints(Role::Decode);
        limited.iter().for_each(|endpoint| endpoint.set_limit(Some(LIMIT)));
        let responses = send_load(&site, Duration::from_millis(50), stream).await;
        limited.iter().for_each(|endpoint| assert_within_limit(endpoint));
        assert!(served(&responses) > 0);
        assert!(responses.iter().all(|response| matches!(response.head.status, 200 | 503)));
    });
}

/// Guards against a limit that is known only from responses to successful requests.
#[test]
fn a_limit_is_learned_from_refusals_and_reservations() {
    task::block_on(async {
        let site = start_site(2, 2).await;
        let limited = [limit_first(&site, Role::Plain), limit_first(&site, Role::Decode)];
        limited.iter().for_each(|endpoint| endpoint.set_fault(Fault::Refuse));
        send_load(&site, Duration::from_millis(50), lookup).await;
        assert_within_limit(&limited[0]);
        for (endpoint, number) in limited.iter().zip(0..) {
            // The reservation of one stream is enough.
            let address = site.gateways[number % 2].address();
            let _ = caller::request(address, stream("last"), b"").await;
            wait_until("all replicas know the limit", async || {
                let mut is_known = true;
                for gateway in 0..site.gateways.len() {
                    let state = site.state(gateway).await;
                    let endpoints = state["endpoints"].as_array().cloned().unwrap_or_default();
                    is_known &= endpoints
                        .iter()
                        .any(|row| row["id"] == **endpoint.id() && row["limit"].as_f64() == Some(LIMIT));
                }
                is_known
            })
            .await;
        }
    });
}

/// Guards against an endpoint that stays limited although it has recovered.
#[test]
fn an_endpoint_that_no_longer_names_a_limit_is_used_fully_again() {
    task::block_on(async {
        let site = start_site(2, 2).await;
        let limited = limit_first(&site, Role::Plain);
        send_load(&site, Duration::from_millis(50), lookup).await;
        limited.set_limit(None);
        // So that placement prefers the endpoint, and only its limit can hold requests back.
        site.endpoints(Role::Plain)[1].set_service_time(Duration::from_millis(400));
        let before = limited.received().len();
        send_load(&site, Duration::from_millis(50), lookup).await;
        let after = limited.received().len() - before;
        assert!(after > 2 * most(LIMIT), "{after} requests");
    });
}

/// Guards against an informational response that ends a limit, as it does not name it.
#[test]
fn a_limit_outlasts_informational_responses() {
    task::block_on(async {
        let site = start_site(4, 2).await;
        let limited = limit_first(&site, Role::Plain);
        limited.set_fault(Fault::Informational);
        limited.set_service_time(Duration::from_millis(200));
        site.endpoints(Role::Plain)[1].set_service_time(Duration::from_millis(400));
        send_load(&site, Duration::from_millis(15), lookup).await;
        assert_within_limit(&limited);
    });
}
