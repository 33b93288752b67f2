//! Tests of endpoints that have started lately and take only few requests.

use std::{sync::Arc, time::Duration};

use async_std::task;
use futures_lite::future;
use tarragonhill_bench::platform::{
    caller::{self, completion_request, plain_request},
    endpoint::{Endpoint, Role},
    site::{DEFAULT_ZONE, KEY, Shape, Site, wait_until, with_cold_limit},
};

/// Requests in one second at which an endpoint of the site may crash.
const LIMIT: usize = 17;
const PROMPT_TOKENS: u64 = 1_000;
const COLD: Duration = Duration::from_secs(3);
const CALLERS: u32 = 12;
const REQUESTS_PER_CALLER: u32 = 6;

async fn start_site(gateways: usize) -> Site {
    let site =
        Site::start(Shape { gateways, prefill: 2, decode: 2, plain: 2 }).await.expect("the site starts");
    site.configure(&with_cold_limit(2));
    for gateway in 0..gateways {
        wait_until("the limit is in force", async || site.state(gateway).await["version"] == 2).await;
    }
    site
}

/// Waits until each replica has settled in the store's list of replicas.
async fn wait_until_settled(site: &Site) {
    let registered = async || {
        (1..=site.gateways.len()).all(|number| site.store.has("entries", &format!("entry-{number}")))
    };
    wait_until("the replicas are registered", registered).await;
    task::sleep(Duration::from_millis(3_500)).await;
}

async fn wait_until_known_as_cold(site: &Site, endpoint: &Endpoint) {
    for gateway in 0..site.gateways.len() {
        wait_until("the endpoint is known to be cold", async || {
            let state = site.state(gateway).await;
            let endpoints = state["endpoints"].as_array().cloned().unwrap_or_default();
            endpoints.iter().any(|row| row["id"] == **endpoint.id() && row["cold_ms"].as_u64().is_some())
        })
        .await;
    }
}

/// Sends many requests at once through all replicas, and returns how many of them were served.
async fn send_burst(site: &Site, head: fn(&str) -> tarragonhill_h1::head::Request) -> u32 {
    let callers = (0..CALLERS).map(|number| {
        let address = site.gateways[number as usize % site.gateways.len()].address();
        task::spawn(async move {
            let mut served = 0;
            for round in 0..REQUESTS_PER_CALLER {
                let response = caller::request(address, head(&format!("r{number}-{round}")), b"").await;
                served += u32::from(
                    response.is_ok_and(|response| response.head.status == 200 && response.is_complete),
                );
            }
            served
        })
    });
    let callers: Vec<_> = callers.collect();
    let mut served = 0;
    for caller in callers {
        served += caller.await;
    }
    served
}

fn stream(id: &str) -> tarragonhill_h1::head::Request {
    completion_request("/stream/x", KEY, id, PROMPT_TOKENS)
}

fn lookup(id: &str) -> tarragonhill_h1::head::Request {
    plain_request("GET", "/lookup/x", KEY, id)
}

fn cool(site: &mut Site, role: Role) -> Arc<Endpoint> {
    let endpoint = site.endpoints(role).remove(0);
    endpoint.set_cold(COLD);
    site.register(&endpoint, "ready");
    endpoint
}

/// Guards against a cold endpoint that crashes because each replica takes it for idle, and against requests that fail
/// although warm endpoints are free.
#[test]
fn a_burst_is_served_and_a_cold_endpoint_gets_few_requests_of_it() {
    task::block_on(async {
        let mut site = start_site(3).await;
        wait_until_settled(&site).await;
        let cold: Vec<Arc<Endpoint>> = [Role::Prefill, Role::Decode, Role::Plain]
            .into_iter()
            .map(|role| cool(&mut site, role))
            .collect();
        for endpoint in &cold {
            wait_until_known_as_cold(&site, endpoint).await;
        }
        let (streams, lookups) = future::zip(send_burst(&site, stream), send_burst(&site, lookup)).await;
        assert_eq!((streams, lookups), (CALLERS * REQUESTS_PER_CALLER, CALLERS * REQUESTS_PER_CALLER));
        for endpoint in cold {
            assert!(endpoint.busiest_cold_second() <= LIMIT, "{}", endpoint.id());
        }
    });
}

/// Guards against an endpoint that has become cold again and whose row still says otherwise.
#[test]
fn a_response_tells_that_its_endpoint_is_cold() {
    task::block_on(async {
        let site = start_site(1).await;
        let endpoint = site.endpoints(Role::Plain).remove(0);
        endpoint.set_cold(Duration::from_secs(20));
        let head = |number: u32| lookup(&format!("r{number}"));
        for number in 0..20 {
            let response = caller::request(site.address(), head(number), b"").await.expect("a response");
            assert_eq!(response.head.status, 200);
        }
        wait_until_known_as_cold(&site, &endpoint).await;
    });
}

/// Guards against the first second of a zone that returns from an evacuation cold, and whose rows say so only later.
#[test]
fn the_endpoints_of_a_zone_count_as_cold_when_its_evacuation_ends() {
    task::block_on(async {
        let site = start_site(1).await;
        site.evacuate(DEFAULT_ZONE);
        site.wait_for_evacuations(0, &[DEFAULT_ZONE]).await;
        site.lift_evacuation(DEFAULT_ZONE);
        site.wait_for_evacuations(0, &[]).await;
        for endpoint in site.endpoints(Role::Decode) {
            wait_until_known_as_cold(&site, &endpoint).await;
        }
    });
}

/// Guards against requests that wait for nothing while all endpoints are cold and belong to other replicas.
#[test]
fn requests_are_refused_as_not_run_while_no_cold_endpoint_may_be_used() {
    task::block_on(async {
        let mut site = start_site(1).await;
        let endpoints = [cool(&mut site, Role::Plain), site.endpoints(Role::Plain).remove(1)];
        endpoints[1].set_cold(COLD);
        site.register(&endpoints[1], "ready");
        for endpoint in &endpoints {
            wait_until_known_as_cold(&site, endpoint).await;
        }
        // The replica has registered only just now, so it does not know yet who else there is.
        let response = caller::request(site.address(), lookup("r1"), b"").await.expect("a response");
        let retry_after = response.header("retry-after").and_then(|value| value.parse::<f64>().ok());
        assert_eq!(response.head.status, 503);
        assert!(retry_after.is_some_and(|seconds| seconds > 0.0 && seconds <= COLD.as_secs_f64()));
    });
}
