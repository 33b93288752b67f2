//! How a change of the configuration reaches the entries.

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

/// Routes of a configuration that takes far longer than a call's wait to arrive at [`SLOW_LINK`].
const MANY: usize = 1_000;
/// Routes of a configuration of several megabytes.
const VERY_MANY: usize = 20_000;
/// Customers that the design is for.
const CUSTOMERS: usize = 21_000;
/// Longest wait for a digest; they come several times a second.
const DIGEST_LIMIT: Duration = Duration::from_secs(10);
/// Entries whose rows need two pages.
const ENTRIES: u64 = 700;
/// An address at which nobody listens.
const NOBODY: &str = "127.255.0.1:9";
/// What the links of slow entries carry, bytes a second.
const SLOW_LINK: u64 = 75_000;

async fn one_gateway() -> Site {
    let shape = Shape { gateways: 1, prefill: 1, decode: 1, plain: 1 };
    Site::start(shape).await.expect("the site starts")
}

async fn status(site: &Site, path: &str) -> u16 {
    let answer = caller::request(site.address(), plain_request("GET", path, KEY, "r1"), b"").await;
    answer.expect("an answer").head.status
}

/// Two gateways; the store of the second goes its own way from now on.
async fn partitioned() -> (Site, Store) {
    let mut site = one_gateway().await;
    wait_until("the entry is listed", async || site.store.has("entries", "entry-1")).await;
    let fork = site.store.fork().await.expect("a store");
    site.add_gateway_with_store(fork.address(), Clock::runtime()).await.expect("a gateway");
    site.wait_until_synced().await;
    (site, fork)
}

#[test]
fn a_configuration_larger_than_a_slow_link_carries_in_one_call_comes_into_force() {
    task::block_on(async {
        let site = one_gateway().await;
        site.store.set_rate(Some(SLOW_LINK));
        site.configure(&with_routes(2, MANY));
        site.wait_for_version(2).await;
        assert_eq!(status(&site, "/added-999/x").await, 200);
    });
}

#[test]
fn an_answer_that_stalls_midway_is_given_up_and_asked_for_again() {
    task::block_on(async {
        let site = one_gateway().await;
        site.store.set_fault(Fault::Stalled);
        site.configure(&with_routes(2, MANY));
        let calls = site.store.calls();
        wait_until("the configuration is asked for again", async || site.store.calls() > calls + 3).await;
        site.store.set_fault(Fault::None);
        site.wait_for_version(2).await;
    });
}

#[test]
fn a_configuration_of_several_megabytes_comes_into_force() {
    task::block_on(async {
        let site = one_gateway().await;
        site.configure(&with_routes(2, VERY_MANY));
        site.wait_for_version(2).await;
    });
}

#[test]
fn entries_beyond_the_first_page_of_their_table_are_known() {
    task::block_on(async {
        let mut site = Site::empty().await.expect("the site starts");
        site.configure(&with_routes(1, 0));
        for number in 0..ENTRIES {
            site.store.put("entries", &format!("other-{number:04}"), &json!({"address": NOBODY}));
        }
        site.add_gateway().await.expect("a gateway");
        wait_until("all entries are known", async || {
            site.state(0).await["sharers"].as_u64() == Some(ENTRIES + 1)
        })
        .await;
    });
}

#[test]
fn an_entry_that_the_store_does_not_reach_gets_a_new_configuration_from_another() {
    task::block_on(async {
        let (site, cut) = partitioned().await;
        cut.set_fault(Fault::Silent);
        site.configure(&with_routes(2, MANY));
        wait_until("the version is in force at both", async || {
            site.state(1).await["version"].as_u64() == Some(2)
        })
        .await;
    });
}

#[test]
fn an_entry_that_the_store_does_not_reach_hears_of_a_leaving_endpoint() {
    task::block_on(async {
        let (mut site, cut) = partitioned().await;
        cut.set_fault(Fault::Silent);
        let endpoint = site.endpoints(Role::Plain).remove(0);
        site.register(&endpoint, "draining");
        wait_until("both know that it leaves", async || {
            let state = site.state(1).await;
            let endpoints = state["endpoints"].as_array().cloned().unwrap_or_default();
            endpoints.iter().any(|known| known["id"] == **endpoint.id() && known["leaving"] == true)
        })
        .await;
    });
}

#[test]
fn a_route_that_a_newer_configuration_may_have_is_not_refused_for_good() {
    task::block_on(async {
        let site = one_gateway().await;
        assert_eq!(status(&site, "/added-1/x").await, 404);
        // An entry that has read a newer configuration and cannot be asked for it.
        let newer = proto::Digest {
            name: "other".into(),
            incarnation: 1,
            serial: 1,
            configuration: u64::MAX,
            ..proto::Digest::default()
        };
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        socket.send_to(&newer.encode_to_vec(), site.gateways[0].peer()).await.expect("sent");
        wait_until("a newer one is known", async || site.state(0).await["behind"] == true).await;
        let head = plain_request("GET", "/added-1/x", KEY, "r2");
        let answer = caller::request(site.address(), head, b"").await.expect("an answer");
        assert_eq!(answer.head.status, 503);
        assert!(answer.header("Retry-After").is_some());
        assert_eq!(status(&site, "/lookup/x").await, 200);
    });
}

#[test]
fn entries_of_a_site_with_many_customers_hear_what_each_spends() {
    task::block_on(async {
        let mut site = Site::empty().await.expect("the site starts");
        let other = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        let address = other.local_addr().expect("an address");
        site.store.put("entries", "other", &json!({"address": address.to_string()}));
        site.configure(&with_customers(1, CUSTOMERS));
        site.add_endpoint(Role::Plain).await.expect("an endpoint");
        site.add_gateway().await.expect("a gateway");
        site.wait_for_version(1).await;
        let answer =
            caller::request(site.address(), plain_request("GET", "/lookup/x", SMALL_KEY, "r1"), b"").await;
        assert_eq!(answer.expect("an answer").head.status, 200);
        let mut bytes = vec![0; 65_536];
        loop {
            let heard = timeout(DIGEST_LIMIT, other.recv_from(&mut bytes)).await.expect("digests come");
            let (length, _) = heard.expect("a datagram");
            let digest = proto::Digest::decode(&bytes[..length]).expect("a digest");
            if digest.spending.iter().any(|told| told.customer == "small" && told.spent == 200) {
                return;
            }
        }
    });
}
