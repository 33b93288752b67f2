//! Tests of zones that the operator evacuates while requests are on their way, the store fails or replicas restart.

use std::{sync::Arc, time::Duration};

use async_std::task;
use tarragonhill_bench::platform::{
    caller::{self, Response, completion_request, plain_request},
    endpoint::{EVENT_COUNT, Endpoint, Role},
    site::{DEFAULT_ZONE, KEY, Shape, Site, wait_until},
    store,
};
use tarragonhill_core::Clock;
use tarragonhill_h1::head::Request;

const OTHER_ZONE: &str = "zone-b";
const PROMPT_TOKENS: u64 = 3_000;
const REQUEST_COUNT: u32 = 12;
/// Longer than the feeds wait for a change.
const STORE_OUTAGE: Duration = Duration::from_secs(4);

/// Starts a site with endpoints of each role in two zones.
async fn start_site(gateways: usize) -> Site {
    let mut site =
        Site::start(Shape { gateways, prefill: 1, decode: 1, plain: 1 }).await.expect("the site starts");
    for role in [Role::Prefill, Role::Decode, Role::Plain] {
        site.add_endpoint_in(role, OTHER_ZONE).await.expect("an endpoint");
    }
    site.wait_until_synced().await;
    site
}

/// Returns the endpoints that were started in one of the two zones.
fn endpoints_in(site: &Site, zone: &str) -> Vec<Arc<Endpoint>> {
    let index = usize::from(zone == OTHER_ZONE);
    let roles = [Role::Prefill, Role::Decode, Role::Plain];
    roles.iter().map(|role| site.endpoints(*role)[index].clone()).collect()
}

/// Number of calls other than releases.
fn work_calls(endpoints: &[Arc<Endpoint>]) -> usize {
    let calls = endpoints.iter().flat_map(|endpoint| endpoint.received_calls());
    calls.filter(|call| call.method != "DELETE").count()
}

async fn request(site: &Site, gateway: usize, head: Request) -> Response {
    caller::request(site.gateways[gateway].address(), head, b"").await.expect("a response")
}

async fn assert_stream_is_served(site: &Site, gateway: usize, id: &str) {
    let response = request(site, gateway, completion_request("/stream/x", KEY, id, PROMPT_TOKENS)).await;
    assert_eq!((response.head.status, response.is_complete), (200, true), "{id}");
    assert_eq!(response.event_ids(), (1..=EVENT_COUNT).collect::<Vec<_>>(), "{id}");
}

/// Sends requests of all kinds through a replica and asserts that they are served outside of `zone`.
async fn assert_served_outside(site: &Site, gateway: usize, zone: &str, label: &str) {
    let evacuated = endpoints_in(site, zone);
    let before = work_calls(&evacuated);
    for number in 0..REQUEST_COUNT {
        assert_stream_is_served(site, gateway, &format!("{label}-{number}")).await;
        let submit = plain_request("POST", "/submit/x", KEY, &format!("{label}-submit-{number}"));
        assert_eq!(request(site, gateway, submit).await.head.status, 200);
        let lookup = plain_request("GET", "/lookup/x", KEY, &format!("{label}-lookup-{number}"));
        assert_eq!(request(site, gateway, lookup).await.head.status, 200);
    }
    assert_eq!(work_calls(&evacuated), before, "{label}");
}

#[test]
fn an_evacuated_zone_gets_no_requests_of_any_kind() {
    task::block_on(async {
        let site = start_site(1).await;
        site.evacuate(DEFAULT_ZONE);
        site.wait_for_evacuations(0, &[DEFAULT_ZONE]).await;
        assert_served_outside(&site, 0, DEFAULT_ZONE, "first").await;
        site.evacuate(OTHER_ZONE);
        site.lift_evacuation(DEFAULT_ZONE);
        site.wait_for_evacuations(0, &[OTHER_ZONE]).await;
        assert_served_outside(&site, 0, OTHER_ZONE, "second").await;
    });
}

/// Guards against a decode that is sent to a zone that was evacuated while the prompt was prefilled.
#[test]
fn a_decode_that_was_placed_before_the_evacuation_is_placed_again() {
    task::block_on(async {
        let mut site =
            Site::start(Shape { gateways: 1, prefill: 1, decode: 1, plain: 1 }).await.expect("a site");
        let (prefill, decode) =
            (site.endpoints(Role::Prefill).remove(0), site.endpoints(Role::Decode).remove(0));
        prefill.set_paused(true);
        let address = site.address();
        let stream = task::spawn(caller::request(
            address,
            completion_request("/stream/x", KEY, "r1", PROMPT_TOKENS),
            b"",
        ));
        wait_until("the prompt is prefilled", async || !prefill.received().is_empty()).await;
        site.evacuate(DEFAULT_ZONE);
        site.wait_for_evacuations(0, &[DEFAULT_ZONE]).await;
        for role in [Role::Prefill, Role::Decode] {
            site.add_endpoint_in(role, OTHER_ZONE).await.expect("an endpoint");
        }
        site.wait_until_synced().await;
        prefill.set_paused(false);
        let response = stream.await.expect("a response");
        assert_eq!((response.head.status, response.is_complete), (200, true));
        assert!(decode.received().is_empty());
    });
}

/// Guards against a stream that is cut because its zone is evacuated.
#[test]
fn a_stream_that_runs_in_an_evacuated_zone_ends_whole() {
    task::block_on(async {
        let site = Site::start(Shape { gateways: 1, prefill: 1, decode: 1, plain: 1 }).await.expect("a site");
        let decode = site.endpoints(Role::Decode).remove(0);
        decode.set_paused(true);
        let head = completion_request("/stream/x", KEY, "r1", PROMPT_TOKENS);
        let stream = task::spawn(caller::request(site.address(), head, b""));
        wait_until("the stream runs", async || decode.active_streams() == 1).await;
        site.evacuate(DEFAULT_ZONE);
        site.wait_for_evacuations(0, &[DEFAULT_ZONE]).await;
        decode.set_paused(false);
        let response = stream.await.expect("a response");
        assert_eq!(response.event_ids(), (1..=EVENT_COUNT).collect::<Vec<_>>());
    });
}

/// Guards against requests that wait although no endpoint may get them.
#[test]
fn requests_are_refused_as_not_run_while_all_zones_are_evacuated() {
    task::block_on(async {
        let site = start_site(1).await;
        site.evacuate(DEFAULT_ZONE);
        site.evacuate(OTHER_ZONE);
        site.wait_for_evacuations(0, &[DEFAULT_ZONE, OTHER_ZONE]).await;
        for head in [
            completion_request("/stream/x", KEY, "r1", PROMPT_TOKENS),
            plain_request("POST", "/submit/x", KEY, "r2"),
            plain_request("GET", "/lookup/x", KEY, "r3"),
        ] {
            let response = request(&site, 0, head).await;
            assert_eq!(response.head.status, 503);
            assert!(response.header("retry-after").is_some());
        }
    });
}

/// Guards against a replica that the store turns away and that uses an evacuated zone for as long.
#[test]
fn an_evacuation_reaches_a_replica_that_the_store_turns_away() {
    task::block_on(async {
        let mut site = start_site(1).await;
        let copy = site.store.fork().await.expect("a store");
        site.add_gateway_with_store(copy.address(), Clock::runtime()).await.expect("a gateway");
        site.wait_until_synced().await;
        copy.set_fault(store::Fault::Busy);
        // The copy has counted the registration of the second replica; one store would have counted both.
        site.store.put("entries", "entry-2", &serde_json::json!({}));
        site.evacuate(DEFAULT_ZONE);
        site.wait_for_evacuations(1, &[DEFAULT_ZONE]).await;
        assert_served_outside(&site, 1, DEFAULT_ZONE, "told").await;
    });
}

/// Guards against an evacuation that is forgotten with the store, or in a restart while the store is down.
#[test]
fn an_evacuation_outlasts_an_outage_of_the_store_and_a_restart_in_it() {
    task::block_on(async {
        let mut site = start_site(2).await;
        site.evacuate(DEFAULT_ZONE);
        site.wait_for_evacuations(0, &[DEFAULT_ZONE]).await;
        site.wait_for_evacuations(1, &[DEFAULT_ZONE]).await;
        site.store.set_fault(store::Fault::Silent);
        task::sleep(STORE_OUTAGE).await;
        assert_served_outside(&site, 0, DEFAULT_ZONE, "outage").await;
        site.restart(1).await.expect("a restart");
        wait_until("the replica knows the site", async || !site.state(1).await["version"].is_null()).await;
        assert_served_outside(&site, 1, DEFAULT_ZONE, "restarted").await;
    });
}

/// Guards against an evacuation that stays in force because its end was lost with the history of the store.
#[test]
fn an_evacuation_that_ended_while_the_store_was_unreachable_is_lifted() {
    task::block_on(async {
        let site = start_site(1).await;
        site.evacuate(DEFAULT_ZONE);
        site.wait_for_evacuations(0, &[DEFAULT_ZONE]).await;
        site.store.set_fault(store::Fault::Reset);
        task::sleep(STORE_OUTAGE).await;
        site.evacuate(OTHER_ZONE);
        site.lift_evacuation(DEFAULT_ZONE);
        site.store.discard_history();
        site.store.set_fault(store::Fault::None);
        site.wait_for_evacuations(0, &[OTHER_ZONE]).await;
        assert_served_outside(&site, 0, OTHER_ZONE, "after").await;
    });
}

/// Guards against a replica that serves its first requests before it has read the evacuations.
#[test]
fn a_started_replica_never_uses_an_evacuated_zone() {
    task::block_on(async {
        let mut site = start_site(1).await;
        site.evacuate(DEFAULT_ZONE);
        site.wait_for_evacuations(0, &[DEFAULT_ZONE]).await;
        let before = work_calls(&endpoints_in(&site, DEFAULT_ZONE));
        site.restart(0).await.expect("a restart");
        assert_served_outside(&site, 0, DEFAULT_ZONE, "restarted").await;
        assert_eq!(work_calls(&endpoints_in(&site, DEFAULT_ZONE)), before);
    });
}

/// Guards against a row that an operator's tool wrote badly and that evacuates nothing.
#[test]
fn an_unreadable_evacuation_is_in_force_and_one_of_an_unknown_zone_does_no_harm() {
    task::block_on(async {
        let site = start_site(1).await;
        site.store.put_invalid("op", &format!("evacuate/{DEFAULT_ZONE}"));
        site.evacuate("no-such-zone");
        site.store.put_invalid("op", "evacuate/");
        site.wait_for_evacuations(0, &["no-such-zone", DEFAULT_ZONE]).await;
        assert_served_outside(&site, 0, DEFAULT_ZONE, "unreadable").await;
    });
}
