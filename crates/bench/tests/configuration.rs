//! Tests of how configuration changes and other shared state reach the gateway replicas.

use std::time::Duration;

use async_std::{future::timeout, net::UdpSocket, task};
use prost::Message as _;
use serde_json::json;
use tarragonhill_bench::platform::{
    caller::{self, plain_request},
    endpoint::Role,
    site::{KEY, SMALL_KEY, Shape, Site, wait_until, with_customers, with_routes},
    store::{Fault, Store},
};
use tarragonhill_core::Clock;
use tarragonhill_wire::proto;

/// Routes of a configuration whose transfer at [`SLOW_LINK_BYTES_PER_S`] exceeds the timeout of a call.
const LARGE_ROUTE_COUNT: usize = 1_000;
/// Routes of a configuration of several megabytes.
const HUGE_ROUTE_COUNT: usize = 20_000;
/// Number of customers that the gateway is designed for.
const CUSTOMER_COUNT: usize = 21_000;
/// Timeout for receiving a digest.
const DIGEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of replicas whose rows fill more than one page of the table.
const REPLICA_COUNT: u64 = 700;
/// An address without a listener.
const UNUSED_ADDRESS: &str = "127.255.0.1:9";
/// Throughput of a slow link to the store.
const SLOW_LINK_BYTES_PER_S: u64 = 75_000;

async fn start_small_site() -> Site {
    let shape = Shape { gateways: 1, prefill: 1, decode: 1, plain: 1 };
    Site::start(shape).await.expect("the site starts")
}

async fn status_of(site: &Site, path: &str) -> u16 {
    let response = caller::request(site.address(), plain_request("GET", path, KEY, "r1"), b"").await;
    response.expect("a response").head.status
}

/// Starts two replicas. The second one reads a separate copy of the store, which is returned too.
async fn start_partitioned_site() -> (Site, Store) {
    let mut site = start_small_site().await;
    wait_until("the first replica is registered", async || site.store.has("entries", "entry-1")).await;
    let copy = site.store.fork().await.expect("a store");
    site.add_gateway_with_store(copy.address(), Clock::runtime()).await.expect("a gateway");
    site.wait_until_synced().await;
    (site, copy)
}

#[test]
fn a_configuration_whose_transfer_exceeds_the_timeout_of_a_call_is_applied() {
    task::block_on(async {
        let site = start_small_site().await;
        site.store.set_rate(Some(SLOW_LINK_BYTES_PER_S));
        site.configure(&with_routes(2, LARGE_ROUTE_COUNT));
        site.wait_for_version(2).await;
        assert_eq!(status_of(&site, "/added-999/x").await, 200);
    });
}

#[test]
fn a_stalled_store_response_is_abandoned_and_requested_again() {
    task::block_on(async {
        let site = start_small_site().await;
        site.store.set_fault(Fault::Stalled);
        site.configure(&with_routes(2, LARGE_ROUTE_COUNT));
        let calls = site.store.calls();
        wait_until("the configuration is requested again", async || site.store.calls() > calls + 3).await;
        site.store.set_fault(Fault::None);
        site.wait_for_version(2).await;
    });
}

#[test]
fn a_configuration_of_several_megabytes_is_applied() {
    task::block_on(async {
        let site = start_small_site().await;
        site.configure(&with_routes(2, HUGE_ROUTE_COUNT));
        site.wait_for_version(2).await;
    });
}

#[test]
fn replicas_beyond_the_first_page_of_the_table_are_known() {
    task::block_on(async {
        let mut site = Site::empty().await.expect("the site starts");
        site.configure(&with_routes(1, 0));
        for number in 0..REPLICA_COUNT {
            site.store.put("entries", &format!("other-{number:04}"), &json!({"address": UNUSED_ADDRESS}));
        }
        site.add_gateway().await.expect("a gateway");
        wait_until("all replicas are known", async || {
            site.state(0).await["sharers"].as_u64() == Some(REPLICA_COUNT + 1)
        })
        .await;
    });
}

#[test]
fn a_replica_that_cannot_reach_the_store_gets_a_new_configuration_from_a_peer() {
    task::block_on(async {
        let (site, copy) = start_partitioned_site().await;
        copy.set_fault(Fault::Silent);
        site.configure(&with_routes(2, LARGE_ROUTE_COUNT));
        wait_until("the second replica applies the version", async || {
            site.state(1).await["version"].as_u64() == Some(2)
        })
        .await;
    });
}

#[test]
fn a_replica_that_cannot_reach_the_store_learns_of_a_draining_endpoint() {
    task::block_on(async {
        let (mut site, copy) = start_partitioned_site().await;
        copy.set_fault(Fault::Silent);
        let endpoint = site.endpoints(Role::Plain).remove(0);
        site.register(&endpoint, "draining");
        wait_until("the second replica knows that the endpoint is draining", async || {
            let state = site.state(1).await;
            let endpoints = state["endpoints"].as_array().cloned().unwrap_or_default();
            endpoints.iter().any(|row| row["id"] == **endpoint.id() && row["leaving"] == true)
        })
        .await;
    });
}

#[test]
fn an_unknown_route_can_be_retried_while_a_newer_configuration_exists() {
    task::block_on(async {
        let site = start_small_site().await;
        assert_eq!(status_of(&site, "/added-1/x").await, 404);
        // A peer that has a newer configuration and does not respond to requests for it.
        let newer = proto::Digest {
            name: "other".into(),
            incarnation: 1,
            serial: 1,
            configuration: u64::MAX,
            configuration_number: u64::MAX,
            ..proto::Digest::default()
        };
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        let bundle = proto::Bundle {
            sender: "other".into(),
            digests: vec![newer.encode_to_vec()],
            ..proto::Bundle::default()
        };
        socket.send_to(&bundle.encode_to_vec(), site.gateways[0].peer()).await.expect("sent");
        wait_until("the replica knows of a newer version", async || site.state(0).await["behind"] == true)
            .await;
        let head = plain_request("GET", "/added-1/x", KEY, "r2");
        let response = caller::request(site.address(), head, b"").await.expect("a response");
        assert_eq!(response.head.status, 503);
        assert!(response.header("Retry-After").is_some());
        assert_eq!(status_of(&site, "/lookup/x").await, 200);
    });
}

#[test]
fn digests_report_spending_at_a_site_with_many_customers() {
    task::block_on(async {
        let mut site = Site::empty().await.expect("the site starts");
        let peer_socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        let address = peer_socket.local_addr().expect("an address");
        site.store.put("entries", "other", &json!({"address": address.to_string()}));
        site.configure(&with_customers(1, CUSTOMER_COUNT));
        site.add_endpoint(Role::Plain).await.expect("an endpoint");
        site.add_gateway().await.expect("a gateway");
        site.wait_for_version(1).await;
        let response =
            caller::request(site.address(), plain_request("GET", "/lookup/x", SMALL_KEY, "r1"), b"").await;
        assert_eq!(response.expect("a response").head.status, 200);
        let mut bytes = vec![0; 65_536];
        loop {
            let received =
                timeout(DIGEST_TIMEOUT, peer_socket.recv_from(&mut bytes)).await.expect("a digest in time");
            let (length, _) = received.expect("a datagram");
            let bundle = proto::Bundle::decode(&bytes[..length]).expect("a bundle");
            let digest = proto::Digest::decode(bundle.digests[0].as_slice()).expect("a digest");
            if digest.spending.iter().any(|spending| spending.customer == "small" && spending.spent == 200) {
                return;
            }
        }
    });
}
