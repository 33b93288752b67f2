//! Tests of a store that comes back from a copy: what was written since is gone, and versions are given out again.

use std::{sync::Arc, time::Duration};

use async_std::task;
use serde_json::{Value, json};
use tarragonhill_bench::platform::{
    caller::{self, plain_request, request_with_parts},
    endpoint::{Endpoint, Role},
    site::{DEFAULT_ZONE, KEY, SMALL_KEY, Shape, Site, configuration, wait_until},
    store::{Contents, Fault},
};
use tarragonhill_core::Clock;

const OTHER_ZONE: &str = "zone-b";
/// Table that only these tests write.
const UNRELATED_TABLE: &str = "unrelated";
/// Writes that make one history longer than the other.
const MANY_WRITES: usize = 200;
/// Requests through each replica that show where it sends.
const REQUEST_COUNT: usize = 8;
/// Enough replicas for relays.
const LARGE_FLEET: usize = 12;
/// Longer than feeds wait for a change.
const OUTAGE: Duration = Duration::from_secs(4);
/// Part of prompts that crashes engines.
const CRASHING_PART: &str = "bad1";
/// Interval at which engines that crashed are replaced.
const CRASH_STEP: Duration = Duration::from_millis(20);
/// Steps after each request that crashes an engine.
const CRASH_STEPS: u32 = 50;

async fn start_site(gateways: usize) -> Site {
    Site::start(Shape { gateways, prefill: 1, decode: 1, plain: 2 }).await.expect("the site starts")
}

/// Returns the configuration without the small customer's key.
fn without_small_key(version: u64) -> Value {
    let mut configuration = configuration(version);
    configuration["tenants"][1]["api_keys"] = json!(["another-key"]);
    configuration
}

async fn status(site: &Site, gateway: usize, key: &str) -> u16 {
    let head = plain_request("GET", "/lookup/x", key, "r1");
    let response = caller::request(site.gateways[gateway].address(), head, b"").await;
    response.expect("a response").head.status
}

/// Waits until a replica has a configuration, and knows of no newer one: until then, it asks callers with unknown keys to come back.
async fn wait_for_version_at(site: &Site, gateway: usize, version: u64) {
    wait_until("the configuration is in force at the replica", async || {
        let state = site.state(gateway).await;
        state["version"].as_u64() == Some(version) && state["behind"] == false
    })
    .await;
}

async fn wait_for_version(site: &Site, version: u64) {
    for gateway in 0..site.gateways.len() {
        wait_for_version_at(site, gateway, version).await;
    }
}

/// Writes a configuration without the small customer's key, and waits until all replicas refuse the key.
async fn withdraw_key(site: &Site, version: u64) {
    site.configure(&without_small_key(version));
    wait_for_version(site, version).await;
    for gateway in 0..site.gateways.len() {
        assert_eq!(status(site, gateway, SMALL_KEY).await, 401, "replica {gateway}");
        assert_eq!(status(site, gateway, KEY).await, 200, "replica {gateway}");
    }
}

/// Writes configurations up to `newest`, each of which replicas must have read.
async fn configure_up_to(site: &Site, newest: u64) {
    for version in 2..=newest {
        site.configure(&configuration(version));
        wait_for_version(site, version).await;
    }
}

/// Makes the store come back from a copy after connections to it were reset.
async fn lose_and_restore(site: &Site, copy: &Contents) {
    site.store.set_fault(Fault::Reset);
    task::sleep(Duration::from_millis(100)).await;
    site.store.restore(copy);
    site.store.set_fault(Fault::None);
}

fn write_unrelated_rows(site: &Site, count: usize) {
    for number in 0..count {
        site.store.put(UNRELATED_TABLE, &format!("row-{}", number % 7), &json!({}));
    }
}

/// Sends lookups through a replica, and returns how many of them an endpoint got.
async fn lookups_at(site: &Site, gateway: usize, endpoint: &Endpoint) -> usize {
    let before = endpoint.received().len();
    for _ in 0..REQUEST_COUNT {
        assert_eq!(status(site, gateway, KEY).await, 200);
    }
    endpoint.received().len() - before
}

fn knows(state: &Value, endpoint: &Endpoint) -> bool {
    let known = state["endpoints"].as_array();
    known.is_some_and(|known| known.iter().any(|row| row["id"] == **endpoint.id()))
}

async fn wait_until_forgotten(site: &Site, endpoint: &Endpoint) {
    for gateway in 0..site.gateways.len() {
        wait_until("the replica has forgotten the endpoint", async || {
            let state = site.state(gateway).await;
            !state["endpoints"].is_null() && !knows(&state, endpoint)
        })
        .await;
    }
}

/// Guards against changes that are ignored until the new history is as long as the old one.
#[test]
fn a_key_withdrawn_in_a_shorter_history_is_refused() {
    task::block_on(async {
        let mut site = start_site(4).await;
        let copy = site.store.contents();
        write_unrelated_rows(&site, MANY_WRITES);
        configure_up_to(&site, 6).await;
        lose_and_restore(&site, &copy).await;
        site.write_again();
        withdraw_key(&site, 7).await;
    });
}

/// Guards against a feed that goes on in a history that it has not read, and gets no 410.
#[test]
fn a_key_withdrawn_in_a_history_that_outgrew_the_old_one_unread_is_refused() {
    task::block_on(async {
        let mut site = start_site(2).await;
        let copy = site.store.contents();
        configure_up_to(&site, 3).await;
        site.store.set_fault(Fault::Reset);
        task::sleep(Duration::from_millis(100)).await;
        site.store.restore(&copy);
        site.write_again();
        site.configure(&without_small_key(4));
        write_unrelated_rows(&site, MANY_WRITES);
        site.store.set_fault(Fault::None);
        wait_for_version(&site, 4).await;
        assert_eq!(status(&site, 0, SMALL_KEY).await, 401);
    });
}

/// Guards against a long poll that was sent in the old era and is answered in the new one.
#[test]
fn a_feed_that_waits_across_the_return_reads_all_again() {
    task::block_on(async {
        let mut site = start_site(2).await;
        let copy = site.store.contents();
        configure_up_to(&site, 3).await;
        site.store.restore(&copy);
        site.write_again();
        site.configure(&without_small_key(4));
        write_unrelated_rows(&site, MANY_WRITES);
        wait_for_version(&site, 4).await;
        assert_eq!(status(&site, 1, SMALL_KEY).await, 401);
    });
}

/// Guards against a withdrawn key that works again until the operator has written the configuration again.
#[test]
fn the_older_configuration_of_the_copy_does_not_come_into_force() {
    task::block_on(async {
        let mut site = start_site(2).await;
        let copy = site.store.contents();
        write_unrelated_rows(&site, MANY_WRITES);
        withdraw_key(&site, 2).await;
        lose_and_restore(&site, &copy).await;
        let calls = site.store.calls();
        wait_until("the copy has been read", async || site.store.calls() > calls + 12).await;
        for gateway in 0..2 {
            assert_eq!(status(&site, gateway, SMALL_KEY).await, 401);
        }
        site.write_again();
        withdraw_key(&site, 3).await;
    });
}

/// Guards against a process that starts on the copy and serves keys that its peers refuse.
#[test]
fn a_replica_that_starts_on_the_copy_gets_the_newest_configuration_from_a_peer() {
    task::block_on(async {
        let mut site = start_site(2).await;
        let copy = site.store.contents();
        write_unrelated_rows(&site, MANY_WRITES);
        withdraw_key(&site, 2).await;
        lose_and_restore(&site, &copy).await;
        site.add_gateway().await.expect("a gateway");
        wait_for_version_at(&site, 2, 2).await;
        assert_eq!(status(&site, 2, SMALL_KEY).await, 401);
        site.write_again();
        withdraw_key(&site, 3).await;
    });
}

/// Guards against a replica that learns of a return only from its peers and keeps its higher versions.
#[test]
fn a_replica_cut_off_from_the_store_follows_its_peers_into_the_new_era() {
    task::block_on(async {
        let mut site = start_site(1).await;
        let link = site.store.fork().await.expect("a store");
        site.add_gateway_with_store(link.address(), Clock::runtime()).await.expect("a gateway");
        site.wait_until_synced().await;
        let copy = site.store.contents();
        write_unrelated_rows(&site, MANY_WRITES);
        configure_up_to(&site, 6).await;
        link.set_fault(Fault::Silent);
        lose_and_restore(&site, &copy).await;
        site.write_again();
        withdraw_key(&site, 7).await;
        site.evacuate(OTHER_ZONE);
        site.wait_for_evacuations(1, &[OTHER_ZONE]).await;
        let added = site.add_endpoint(Role::Plain).await.expect("an endpoint");
        wait_until("the replica knows the endpoint", async || knows(&site.state(1).await, &added)).await;
    });
}

/// Guards against a replica in the old era whose higher versions overrule the new ones.
#[test]
fn a_replica_that_stays_in_the_old_era_does_not_hold_up_the_others() {
    task::block_on(async {
        let mut site = start_site(2).await;
        let copy = site.store.contents();
        write_unrelated_rows(&site, MANY_WRITES);
        configure_up_to(&site, 6).await;
        site.evacuate(OTHER_ZONE);
        let old = site.store.fork().await.expect("a store");
        site.add_gateway_with_store(old.address(), Clock::runtime()).await.expect("a gateway");
        site.wait_for_evacuations(2, &[OTHER_ZONE]).await;
        lose_and_restore(&site, &copy).await;
        site.write_again();
        site.lift_evacuation(OTHER_ZONE);
        site.evacuate(DEFAULT_ZONE);
        for gateway in 0..3 {
            site.wait_for_evacuations(gateway, &[DEFAULT_ZONE]).await;
        }
        site.lift_evacuation(DEFAULT_ZONE);
        site.wait_for_evacuations(2, &[]).await;
        withdraw_key(&site, 7).await;
        // A process that starts hears both.
        site.add_gateway().await.expect("a gateway");
        wait_for_version_at(&site, 3, 7).await;
        assert_eq!(status(&site, 3, SMALL_KEY).await, 401);
    });
}

/// Guards against a second return that is taken for the first.
#[test]
fn two_returns_in_a_row_are_both_followed() {
    task::block_on(async {
        let mut site = start_site(3).await;
        let copy = site.store.contents();
        write_unrelated_rows(&site, MANY_WRITES);
        configure_up_to(&site, 6).await;
        lose_and_restore(&site, &copy).await;
        site.write_again();
        site.store.restore(&copy);
        site.write_again();
        withdraw_key(&site, 7).await;
        site.configure(&configuration(8));
        wait_for_version(&site, 8).await;
    });
}

/// Guards against processes that inherit the old era from nobody but their own past.
#[test]
fn a_fleet_that_starts_anew_after_a_return_follows_the_new_history() {
    task::block_on(async {
        let mut site = start_site(3).await;
        let copy = site.store.contents();
        write_unrelated_rows(&site, MANY_WRITES);
        configure_up_to(&site, 5).await;
        lose_and_restore(&site, &copy).await;
        for gateway in 0..3 {
            site.restart(gateway).await.expect("a restart");
        }
        site.write_again();
        withdraw_key(&site, 6).await;
    });
}

/// Guards against a relay and its followers that keep to the old era.
#[test]
fn replicas_that_follow_a_relay_follow_it_into_the_new_era() {
    task::block_on(async {
        let mut site = start_site(LARGE_FLEET).await;
        let followers = async || {
            let mut count = 0;
            for gateway in 0..LARGE_FLEET {
                count += usize::from(!site.state(gateway).await["follows"].is_null());
            }
            count
        };
        wait_until("replicas follow a relay", async || followers().await == LARGE_FLEET - 1).await;
        task::sleep(OUTAGE).await;
        let copy = site.store.contents();
        let lost = site.add_endpoint(Role::Plain).await.expect("an endpoint");
        write_unrelated_rows(&site, MANY_WRITES);
        site.wait_until_synced().await;
        site.unregister(&lost);
        wait_until_forgotten(&site, &lost).await;
        site.store.restore(&copy);
        site.write_again();
        let added = site.add_endpoint(Role::Plain).await.expect("an endpoint");
        for gateway in 0..LARGE_FLEET {
            wait_until("the replica knows the endpoint", async || knows(&site.state(gateway).await, &added))
                .await;
        }
        withdraw_key(&site, 2).await;
    });
}

/// Guards against an evacuation of the new era that is taken for an old one.
#[test]
fn a_zone_evacuated_after_a_return_gets_no_requests() {
    task::block_on(async {
        let mut site = start_site(2).await;
        let elsewhere = site.add_endpoint_in(Role::Plain, OTHER_ZONE).await.expect("an endpoint");
        site.wait_until_synced().await;
        let copy = site.store.contents();
        write_unrelated_rows(&site, MANY_WRITES);
        configure_up_to(&site, 6).await;
        site.evacuate("zone-c");
        site.wait_for_evacuations(1, &["zone-c"]).await;
        site.lift_evacuation("zone-c");
        site.wait_for_evacuations(1, &[]).await;
        lose_and_restore(&site, &copy).await;
        site.write_again();
        site.evacuate(OTHER_ZONE);
        for gateway in 0..2 {
            site.wait_for_evacuations(gateway, &[OTHER_ZONE]).await;
            assert_eq!(lookups_at(&site, gateway, &elsewhere).await, 0);
        }
        site.lift_evacuation(OTHER_ZONE);
        site.wait_for_evacuations(0, &[]).await;
    });
}

/// Guards against an evacuation that ends because the store has lost it.
#[test]
fn an_evacuation_that_the_copy_lacks_stays_in_force_until_it_is_written_again() {
    task::block_on(async {
        let mut site = start_site(2).await;
        let elsewhere = site.add_endpoint_in(Role::Plain, OTHER_ZONE).await.expect("an endpoint");
        site.wait_until_synced().await;
        let copy = site.store.contents();
        write_unrelated_rows(&site, MANY_WRITES);
        site.evacuate(OTHER_ZONE);
        for gateway in 0..2 {
            site.wait_for_evacuations(gateway, &[OTHER_ZONE]).await;
        }
        lose_and_restore(&site, &copy).await;
        let calls = site.store.calls();
        wait_until("the copy has been read", async || site.store.calls() > calls + 12).await;
        // A process that starts on the copy learns of the evacuation from its peers.
        site.add_gateway().await.expect("a gateway");
        for gateway in 0..3 {
            site.wait_for_evacuations(gateway, &[OTHER_ZONE]).await;
            assert_eq!(lookups_at(&site, gateway, &elsewhere).await, 0);
        }
        site.write_again();
        site.lift_evacuation(OTHER_ZONE);
        for gateway in 0..3 {
            site.wait_for_evacuations(gateway, &[]).await;
        }
    });
}

/// Guards against a zone that stays evacuated after the operator has given up the evacuation with the copy.
#[test]
fn an_evacuation_that_is_not_written_again_ends() {
    task::block_on(async {
        let site = start_site(2).await;
        let copy = site.store.contents();
        write_unrelated_rows(&site, MANY_WRITES);
        site.evacuate(OTHER_ZONE);
        site.wait_for_evacuations(0, &[OTHER_ZONE]).await;
        site.wait_for_evacuations(1, &[OTHER_ZONE]).await;
        lose_and_restore(&site, &copy).await;
        for gateway in 0..2 {
            site.wait_for_evacuations(gateway, &[]).await;
        }
    });
}

/// Guards against rows of the copy that bring back endpoints that have left.
#[test]
fn an_endpoint_that_had_left_is_not_used_again() {
    task::block_on(async {
        let mut site = start_site(2).await;
        let left = site.add_endpoint(Role::Plain).await.expect("an endpoint");
        site.wait_until_synced().await;
        let copy = site.store.contents();
        write_unrelated_rows(&site, MANY_WRITES);
        site.unregister(&left);
        wait_until_forgotten(&site, &left).await;
        lose_and_restore(&site, &copy).await;
        site.write_again();
        let calls = site.store.calls();
        wait_until("the copy has been read", async || site.store.calls() > calls + 12).await;
        for gateway in 0..2 {
            assert_eq!(lookups_at(&site, gateway, &left).await, 0, "replica {gateway}");
        }
        site.register(&left, "ready");
        for gateway in 0..2 {
            wait_until("the endpoint is used again", async || knows(&site.state(gateway).await, &left)).await;
        }
    });
}

/// Guards against a process that starts on the copy and uses endpoints that its peers know to have left.
#[test]
fn a_replica_that_starts_on_the_copy_avoids_endpoints_that_had_left() {
    task::block_on(async {
        let mut site = start_site(2).await;
        let left = site.add_endpoint(Role::Plain).await.expect("an endpoint");
        site.wait_until_synced().await;
        let copy = site.store.contents();
        write_unrelated_rows(&site, MANY_WRITES);
        site.unregister(&left);
        wait_until_forgotten(&site, &left).await;
        lose_and_restore(&site, &copy).await;
        site.add_gateway().await.expect("a gateway");
        wait_until("the started replica has forgotten the endpoint", async || {
            let state = site.state(2).await;
            state["endpoints"].as_array().is_some_and(|known| !known.is_empty()) && !knows(&state, &left)
        })
        .await;
        assert_eq!(lookups_at(&site, 2, &left).await, 0);
    });
}

/// Guards against endpoints that are dropped because the copy is from before their registration.
#[test]
fn endpoints_that_the_copy_lacks_are_kept_until_they_write_again() {
    task::block_on(async {
        let mut site = start_site(2).await;
        let copy = site.store.contents();
        write_unrelated_rows(&site, MANY_WRITES);
        let replaced: Vec<Arc<Endpoint>> = site.endpoints(Role::Plain);
        let added = site.add_endpoint(Role::Plain).await.expect("an endpoint");
        site.wait_until_synced().await;
        for endpoint in replaced {
            site.unregister(&endpoint);
            wait_until_forgotten(&site, &endpoint).await;
        }
        lose_and_restore(&site, &copy).await;
        let calls = site.store.calls();
        wait_until("the copy has been read", async || site.store.calls() > calls + 8).await;
        for gateway in 0..2 {
            assert_eq!(lookups_at(&site, gateway, &added).await, REQUEST_COUNT, "replica {gateway}");
        }
        site.write_again();
        task::sleep(OUTAGE).await;
        for gateway in 0..2 {
            assert_eq!(lookups_at(&site, gateway, &added).await, REQUEST_COUNT, "replica {gateway}");
        }
    });
}

/// Guards against endpoints that stay in use because the new era removed their rows at lower versions.
#[test]
fn an_endpoint_that_leaves_after_a_return_is_forgotten() {
    task::block_on(async {
        let mut site = start_site(2).await;
        let leaving = site.add_endpoint(Role::Plain).await.expect("an endpoint");
        site.wait_until_synced().await;
        let copy = site.store.contents();
        write_unrelated_rows(&site, MANY_WRITES);
        configure_up_to(&site, 6).await;
        lose_and_restore(&site, &copy).await;
        site.write_again();
        site.unregister(&leaving);
        wait_until_forgotten(&site, &leaving).await;
    });
}

/// Guards against processes that start after a return and take the fleet for smaller than it is.
#[test]
fn replicas_register_again() {
    task::block_on(async {
        let mut site = Site::empty().await.expect("the site starts");
        site.configure(&configuration(1));
        site.add_endpoint(Role::Plain).await.expect("an endpoint");
        let copy = site.store.contents();
        write_unrelated_rows(&site, MANY_WRITES);
        for _ in 0..3 {
            site.add_gateway().await.expect("a gateway");
        }
        site.wait_until_synced().await;
        lose_and_restore(&site, &copy).await;
        site.write_again();
        for number in 1..=3 {
            wait_until("the replica is registered", async || {
                site.store.has("entries", &format!("entry-{number}"))
            })
            .await;
        }
    });
}

/// Guards against a fleet that starts anew after a return and lets a request crash further engines.
#[test]
fn what_is_known_of_crashes_is_written_again() {
    task::block_on(async {
        let mut site =
            Site::start(Shape { gateways: 2, prefill: 1, decode: 4, plain: 1 }).await.expect("a site");
        let copy = site.store.contents();
        write_unrelated_rows(&site, MANY_WRITES);
        for number in 0..3 {
            for engine in site.endpoints(Role::Decode) {
                engine.set_crashing_parts(&[CRASHING_PART]);
            }
            let own = format!("u{number}");
            let head = request_with_parts("/stream/x", KEY, &own, &["f1", CRASHING_PART, &own]);
            let address = site.address();
            drop(task::spawn(async move { caller::request(address, head, own.as_bytes()).await }));
            for _ in 0..CRASH_STEPS {
                task::sleep(CRASH_STEP).await;
                site.replace_crashed(CRASH_STEP).await.expect("endpoints start");
            }
        }
        let is_saved =
            |site: &Site| site.store.has("suspects", "entry-1") || site.store.has("suspects", "entry-2");
        wait_until("the evidence is in the store", async || is_saved(&site)).await;
        lose_and_restore(&site, &copy).await;
        assert!(!is_saved(&site));
        site.write_operator_rows_again();
        wait_until("the evidence is in the store again", async || is_saved(&site)).await;
    });
}

/// Guards against a store of an earlier version, or something in between, that does not pass the header on.
#[test]
fn a_store_that_names_no_era_is_followed_as_before() {
    task::block_on(async {
        let site = start_site(2).await;
        site.store.set_names_era(false);
        configure_up_to(&site, 3).await;
        site.store.set_fault(Fault::Reset);
        task::sleep(OUTAGE).await;
        site.store.discard_history();
        site.store.set_fault(Fault::None);
        withdraw_key(&site, 4).await;
        site.store.set_names_era(true);
        site.configure(&configuration(5));
        wait_for_version(&site, 5).await;
    });
}
