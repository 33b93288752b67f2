//! Tests of a load balancer that hands most new connections to one gateway, over real connections.

use std::time::{Duration, Instant};

use async_std::task;
use tarragonhill_bench::platform::{
    caller::{self, plain_request},
    endpoint::{Endpoint, LIMIT_WINDOW, Role},
    site::{COLD_REQUESTS_PER_S, KEY, Shape, Site, wait_until, with_cold_limit},
};

const GATEWAYS: usize = 6;
const ENDPOINTS: usize = 6;
/// Interval between two requests.
const INTERVAL: Duration = Duration::from_millis(10);
/// Time in which requests are spread over all gateways, after they have learned of limits.
const SPREAD: Duration = Duration::from_secs(4);
/// Time from which on a gateway that gets most connections must serve them.
const CONTACT: Duration = Duration::from_secs(3);
/// Time after that in which requests count.
const COUNTED: Duration = Duration::from_secs(6);
/// Least share of requests served then, of the share before.
const LEAST_SHARE: f64 = 0.75;

async fn start_site() -> Site {
    let shape = Shape { gateways: GATEWAYS, prefill: 1, decode: 1, plain: ENDPOINTS };
    let site = Site::start(shape).await.expect("the site starts");
    let registered =
        async || (1..=GATEWAYS).all(|number| site.store.has("entries", &format!("entry-{number}")));
    wait_until("the replicas are registered", registered).await;
    // After this time, each replica knows all others.
    task::sleep(Duration::from_millis(3_500)).await;
    site
}

/// Sends calls for `lasts`, and returns the share of those after `from` that were served. Of `skew` in ten requests, all go to
/// the first gateway; the others go to all in turn.
async fn send(site: &Site, lasts: Duration, from: Duration, skew: usize) -> f64 {
    let (began, mut calls) = (Instant::now(), Vec::new());
    while began.elapsed() < lasts {
        let number = calls.len();
        let gateway = if number % 10 < skew { 0 } else { number % GATEWAYS };
        let address = site.gateways[gateway].address();
        let head = plain_request("POST", &format!("/submit/{number}"), KEY, &format!("r-{skew}-{number}"));
        let is_counted = began.elapsed() >= from;
        let call = task::spawn(async move {
            caller::request(address, head, b"").await.is_ok_and(|response| response.head.status == 200)
        });
        calls.push((is_counted, call));
        task::sleep(INTERVAL).await;
    }
    let (mut sent, mut served) = (0, 0);
    for (_, call) in calls.into_iter().filter(|(is_counted, _)| *is_counted) {
        sent += 1;
        served += usize::from(call.await);
    }
    f64::from(served as u32) / f64::from(sent)
}

async fn assert_served(site: &Site) {
    let before = send(site, CONTACT + SPREAD, CONTACT, 0).await;
    let after = send(site, CONTACT + COUNTED, CONTACT, 9).await;
    println!("{before:.2} served before, {after:.2} after");
    assert!(after >= LEAST_SHARE * before, "{before:.2} served before, {after:.2} after");
    let again = send(site, CONTACT + SPREAD, CONTACT, 0).await;
    println!("{again:.2} served in the end");
    assert!(again >= LEAST_SHARE * before, "{before:.2} served before, {again:.2} in the end");
}

fn plain(site: &Site) -> Vec<std::sync::Arc<Endpoint>> {
    site.endpoints(Role::Plain)
}

/// Guards against a gateway that cannot use the turns of those without callers.
#[test]
fn a_gateway_that_gets_most_connections_uses_the_limits_of_all_endpoints() {
    task::block_on(async {
        const LIMIT: f64 = 10.0;
        let site = start_site().await;
        plain(&site).iter().for_each(|endpoint| endpoint.set_limit(Some(LIMIT)));
        assert_served(&site).await;
        for endpoint in plain(&site) {
            let busiest = endpoint.busiest_limited_window(CONTACT);
            let most = 1.5 * LIMIT * LIMIT_WINDOW.as_secs_f64() + 5.0;
            assert!(busiest as f64 <= most, "{}: {busiest} requests in {LIMIT_WINDOW:?}", endpoint.id());
        }
    });
}

/// The same for cold endpoints.
#[test]
fn a_gateway_that_gets_most_connections_uses_all_cold_endpoints() {
    task::block_on(async {
        let site = start_site().await;
        site.configure(&with_cold_limit(2));
        site.wait_for_version(2).await;
        plain(&site).iter().for_each(|endpoint| endpoint.set_cold(Duration::from_secs(60)));
        assert_served(&site).await;
        for endpoint in plain(&site) {
            let busiest = endpoint.busiest_cold_second();
            let most = 1.5 * COLD_REQUESTS_PER_S + 5.0;
            assert!(busiest as f64 <= most, "{}: {busiest} requests in a second", endpoint.id());
        }
    });
}
