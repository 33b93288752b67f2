//! Tests of the endpoint table that the replicas of a zone share.

use std::time::Duration;

use async_std::task;
use tarragonhill_bench::platform::{
    caller::{self, plain_request},
    endpoint::Role,
    site::{KEY, Shape, Site, wait_until},
};

/// Enough replicas for relays.
const REPLICA_COUNT: usize = 12;
const ENDPOINTS: &str = "servers";

/// Starts a site whose replicas but one follow a relay.
async fn start_large_site() -> Site {
    let shape = Shape { gateways: REPLICA_COUNT, prefill: 1, decode: 1, plain: 1 };
    let site = Site::start(shape).await.expect("the site starts");
    wait_until("one replica reads the store and the others follow it", async || {
        let mut followers = 0;
        for gateway in 0..REPLICA_COUNT {
            followers += usize::from(!site.state(gateway).await["follows"].is_null());
        }
        followers == REPLICA_COUNT - 1
    })
    .await;
    // Feed calls that began before the replicas knew of their relays end within the store's long poll.
    task::sleep(Duration::from_secs(3)).await;
    site
}

/// Returns the index of a relay.
async fn find_relay(site: &Site) -> usize {
    for gateway in 0..site.gateways.len() {
        if site.state(gateway).await["is_relay"] == true {
            return gateway;
        }
    }
    panic!("no replica is a relay");
}

async fn wait_until_all_know_endpoints(site: &Site) {
    let count = site.endpoints(Role::Plain).len() + site.endpoints(Role::Decode).len() + 1;
    for gateway in 0..site.gateways.len() {
        wait_until("the replica knows all endpoints", async || {
            site.state(gateway).await["endpoints"].as_array().map_or(0, Vec::len) == count
        })
        .await;
    }
}

/// Guards against calls to the store that grow with the number of replicas.
#[test]
fn only_relays_read_changes_of_endpoints_from_the_store() {
    task::block_on(async {
        let mut site = start_large_site().await;
        let before = site.store.feed_calls(ENDPOINTS);
        let changes = 8;
        for _ in 0..changes {
            site.add_endpoint(Role::Plain).await.expect("an endpoint");
            wait_until_all_know_endpoints(&site).await;
        }
        let calls = site.store.feed_calls(ENDPOINTS) - before;
        assert!(calls < changes * REPLICA_COUNT as u64 / 2, "{calls} calls for {changes} changes");
        let response =
            caller::request(site.address(), plain_request("GET", "/lookup/x", KEY, "r1"), b"").await;
        assert_eq!(response.expect("a response").head.status, 200);
    });
}

/// Guards against replicas that learn of no further changes after the loss of their relay.
#[test]
fn changes_of_endpoints_are_known_after_relays_are_killed() {
    task::block_on(async {
        let mut site = start_large_site().await;
        for _ in 0..3 {
            let relay = find_relay(&site).await;
            site.gateways.remove(relay).kill().await;
            site.add_endpoint(Role::Plain).await.expect("an endpoint");
            wait_until_all_know_endpoints(&site).await;
        }
    });
}

/// Guards against replicas that keep endpoints whose removal only their relay has read.
#[test]
fn removed_endpoints_are_forgotten_everywhere() {
    task::block_on(async {
        let mut site = start_large_site().await;
        let added = site.add_endpoint(Role::Plain).await.expect("an endpoint");
        wait_until_all_know_endpoints(&site).await;
        site.store.remove(ENDPOINTS, added.id());
        for gateway in 0..REPLICA_COUNT {
            wait_until("the replica has forgotten the endpoint", async || {
                let state = site.state(gateway).await;
                let mut known = state["endpoints"].as_array().expect("endpoints").iter();
                !known.any(|endpoint| endpoint["id"] == **added.id())
            })
            .await;
        }
    });
}
