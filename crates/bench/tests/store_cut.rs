//! Tests of what gateways do with what they read from the store after they could not reach it, over real connections.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use serde_json::{Value, json};
use tarragonhill_bench::platform::{
    caller::{self, plain_request},
    endpoint::{Endpoint, Role},
    site::{KEY, Shape, Site, configuration, wait_until},
    store::{Fault, Link},
};
use tarragonhill_core::Clock;

/// Time after the end of a cut in which a gateway must act on what it missed.
const CONTACT: Duration = Duration::from_secs(3);
/// Zone of no endpoint that these tests need.
const OTHER_ZONE: &str = "zone-b";
/// Table in which endpoints register.
const ENDPOINTS_TABLE: &str = "servers";
/// How long gateways are cut off.
const CUT: Duration = Duration::from_millis(3_800);
/// Time from the end of one gateway's cut to that of the next one, so that calls to the store fail at different moments.
const HEAL_INTERVAL: Duration = Duration::from_millis(300);
/// Time from the end of a gateway's cut to the removal of an endpoint.
const REMOVAL_DELAY: Duration = Duration::from_millis(700);
/// Requests that show where a gateway sends.
const REQUESTS: usize = 30;
/// Time in which endpoints that run write their rows after the store has come back.
const REWRITE_DELAY: Duration = Duration::from_millis(1_500);

/// Starts a site with `linked` gateways that each reach the store by a link, after `direct` others.
async fn start_site(direct: usize, linked: usize) -> (Site, Vec<Link>) {
    let shape = Shape { gateways: direct, prefill: 1, decode: 1, plain: 3 + linked };
    let mut site = Site::start(shape).await.expect("the site starts");
    let mut links = Vec::new();
    for _ in 0..linked {
        let link = site.store.link().await.expect("a link");
        site.add_gateway_with_store(link.address(), Clock::runtime()).await.expect("a gateway");
        links.push(link);
    }
    site.wait_until_synced().await;
    (site, links)
}

/// Sends submissions through a gateway, and returns how many of them an endpoint got.
async fn submissions_at(site: &Site, gateway: usize, endpoint: &Endpoint, name: &str) -> usize {
    let prefix = format!("{name}-{gateway}-");
    for number in 0..REQUESTS {
        let head = plain_request("POST", "/submit/x", KEY, &format!("{prefix}{number}"));
        drop(caller::request(site.gateways[gateway].address(), head, b"x").await);
    }
    let ids = endpoint.received();
    let ids = ids.iter().filter_map(|request| request.head.fields.get("Tarragonhill-Request-Id"));
    ids.filter(|id| id.starts_with(&prefix)).count()
}

fn knows(state: &Value, endpoint: &Endpoint) -> bool {
    let known = state["endpoints"].as_array();
    known.is_some_and(|known| known.iter().any(|row| row["id"] == **endpoint.id()))
}

/// Cuts gateways off from the store, removes an endpoint after the end of each one's cut and checks that the gateway does not use it
/// once it has been in touch for long enough.
async fn assert_removed_endpoints_are_unused(direct: usize) {
    let (mut site, links) = start_site(direct, 4).await;
    let endpoints: Vec<Arc<Endpoint>> = site.endpoints(Role::Plain).into_iter().take(links.len()).collect();
    links.iter().for_each(|link| link.set_cut(true));
    task::sleep(CUT).await;
    let (mut late, began) = (Vec::new(), Instant::now());
    let until = async |at: Duration| task::sleep(at.saturating_sub(began.elapsed())).await;
    let mut steps: Vec<(Duration, usize, Step)> = Vec::new();
    for number in 0..links.len() {
        let healed = HEAL_INTERVAL * number as u32;
        steps.push((healed, number, Step::Heal));
        steps.push((healed + REMOVAL_DELAY, number, Step::Remove));
        steps.push((healed + CONTACT, number, Step::Request));
    }
    steps.sort_by_key(|(at, ..)| *at);
    for (at, number, step) in steps {
        until(at).await;
        match step {
            Step::Heal => links[number].set_cut(false),
            Step::Remove => site.unregister(&endpoints[number]),
            Step::Request => {
                late.push(submissions_at(&site, direct + number, &endpoints[number], "after").await)
            }
        }
    }
    assert_eq!(late, [0; 4]);
}

enum Step {
    Heal,
    Remove,
    Request,
}

/// Guards against a gateway that takes its own cut from the store for an outage, and uses endpoints that have left.
#[test]
fn a_gateway_that_was_cut_off_alone_does_not_use_endpoints_that_have_left() {
    task::block_on(assert_removed_endpoints_are_unused(1));
}

/// The same if no other gateway reached the store.
#[test]
fn gateways_that_were_all_cut_off_do_not_use_endpoints_that_have_left() {
    task::block_on(assert_removed_endpoints_are_unused(0));
}

/// Guards against endpoints that are dropped while they write the rows that lapsed when the store was away for all.
#[test]
fn endpoints_whose_rows_lapsed_while_the_store_was_away_for_all_stay_in_use() {
    task::block_on(async {
        let (mut site, _) = start_site(2, 0).await;
        let endpoints = site.endpoints(Role::Plain);
        site.store.set_fault(Fault::Silent);
        task::sleep(CUT).await;
        endpoints.iter().for_each(|endpoint| site.unregister(endpoint));
        site.store.set_fault(Fault::None);
        task::sleep(REWRITE_DELAY).await;
        for gateway in 0..2 {
            let state = site.state(gateway).await;
            assert!(endpoints.iter().all(|endpoint| knows(&state, endpoint)), "{state}");
        }
        endpoints.iter().for_each(|endpoint| site.register(endpoint, "ready"));
        task::sleep(CONTACT).await;
        for gateway in 0..2 {
            let state = site.state(gateway).await;
            assert!(endpoints.iter().all(|endpoint| knows(&state, endpoint)), "{state}");
        }
    });
}

/// Guards against gateways that keep an older configuration, evacuation or endpoint list after a cut.
#[test]
fn gateways_that_were_cut_off_have_the_newest_lists_in_time() {
    task::block_on(async {
        let (mut site, links) = start_site(0, 3).await;
        links.iter().for_each(|link| link.set_cut(true));
        task::sleep(CUT).await;
        links.iter().for_each(|link| link.set_cut(false));
        site.configure(&configuration(7));
        site.evacuate(OTHER_ZONE);
        let added = site.add_endpoint(Role::Plain).await.expect("an endpoint");
        task::sleep(CONTACT).await;
        for gateway in 0..links.len() {
            let state = site.state(gateway).await;
            assert_eq!(state["version"], 7, "{state}");
            assert_eq!(state["evacuated"], json!([OTHER_ZONE]), "{state}");
            assert!(knows(&state, &added), "{state}");
        }
    });
}

/// Guards against a gateway that keeps endpoints that have left because the store refused one call too many.
#[test]
fn a_call_beyond_the_rate_of_the_store_is_no_outage() {
    task::block_on(async {
        let (mut site, _) = start_site(1, 0).await;
        let endpoint = site.endpoints(Role::Plain)[0].clone();
        site.store.throttle_next(ENDPOINTS_TABLE);
        wait_until("a call is refused", async || !site.store.is_throttling()).await;
        site.unregister(&endpoint);
        let added = site.add_endpoint(Role::Plain).await.expect("an endpoint");
        wait_until("the gateway has read the list", async || knows(&site.state(0).await, &added)).await;
        assert!(!knows(&site.state(0).await, &endpoint));
    });
}
