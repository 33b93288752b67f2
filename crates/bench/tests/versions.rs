//! Tests of streams while endpoints of several software versions serve, over real connections.

use std::sync::Arc;

use async_std::task;
use tarragonhill_bench::platform::{
    caller::{self, Caller, Response, completion_request, resume},
    endpoint::{EVENT_COUNT, Endpoint, Fault, Role},
    site::{KEY, RESTARTED, Shape, Site, wait_until},
};
use tarragonhill_core::Clock;
use tarragonhill_h1::head::Request;

const PROMPT_TOKENS: u64 = 5_000;
/// Event after which callers of these tests resume.
const LAST_EVENT: u32 = EVENT_COUNT / 2 - 1;

fn resumable(id: &str) -> Request {
    completion_request("/resumable/x", KEY, id, PROMPT_TOKENS)
}

async fn start_site(gateways: usize, versions: &[&'static str]) -> Site {
    let shape = Shape { gateways, prefill: 0, decode: 0, plain: 0 };
    let mut site = Site::start(shape).await.expect("the site starts");
    add_decodes(&mut site, versions).await;
    site
}

async fn add_decodes(site: &mut Site, versions: &[&'static str]) -> Vec<Arc<Endpoint>> {
    let mut added = Vec::new();
    for version in versions {
        added.push(site.add_endpoint_of(Role::Decode, version).await.expect("an endpoint"));
    }
    site.wait_until_synced().await;
    added
}

fn decodes(site: &Site) -> Vec<Arc<Endpoint>> {
    site.endpoints(Role::Decode)
}

/// Returns the versions at which a request was executed.
fn versions_of(site: &Site, id: &str) -> Vec<&'static str> {
    let mut versions = Vec::new();
    for endpoint in decodes(site) {
        let executed = endpoint.executed();
        let requests =
            executed.iter().filter(|request| request.head.fields.get("Tarragonhill-Request-Id") == Some(id));
        versions.extend(requests.map(|_| site.version(&endpoint)));
    }
    versions
}

/// Begins a stream at a gateway and returns its caller once the stream is held in its middle.
async fn begin(site: &Site, gateway: usize, id: &str) -> Caller {
    let held = || decodes(site).iter().map(|endpoint| endpoint.held_streams()).sum::<u32>();
    let before = held();
    decodes(site).iter().for_each(|endpoint| endpoint.set_paused(true));
    let mut caller = Caller::open(site.gateways[gateway].address()).await.expect("a connection");
    caller.send(resumable(id), b"prompt").await.expect("sent");
    wait_until("the stream is in its middle", async || held() > before).await;
    caller
}

/// Resumes a stream at a gateway.
async fn resume_at(site: &Site, gateway: usize, id: &str, resumes: &str) -> Response {
    decodes(site).iter().for_each(|endpoint| endpoint.set_paused(false));
    let head = resume(resumable(id), resumes, LAST_EVENT);
    caller::request(site.gateways[gateway].address(), head, b"prompt").await.expect("a response")
}

fn remaining_ids() -> Vec<u32> {
    (LAST_EVENT + 1..=EVENT_COUNT).collect()
}

/// Guards against resumes within an answer that are placed like new streams.
#[test]
fn a_stream_that_breaks_goes_on_at_its_version() {
    task::block_on(async {
        let mut site = start_site(1, &["v1"]).await;
        let first = decodes(&site).remove(0);
        for (round, id) in ["r1", "r2", "r3"].into_iter().enumerate() {
            first.fail_next(Fault::Cut, 1);
            let mut caller = begin(&site, 0, id).await;
            if round == 0 {
                add_decodes(&mut site, &["v2", "v2", "v2", "v1"]).await;
                decodes(&site).iter().for_each(|endpoint| endpoint.set_paused(true));
            }
            decodes(&site).iter().for_each(|endpoint| endpoint.set_paused(false));
            let response = caller.read_response().await.expect("a response");
            let versions = versions_of(&site, id);
            assert!(versions.iter().all(|version| *version == versions[0]), "{id}: {versions:?}");
            assert!(response.is_complete, "{id}: {}", response.text());
        }
    });
}

/// Guards against another version where no endpoint of the own one is left.
#[test]
fn a_stream_that_breaks_is_cut_if_no_other_endpoint_has_its_version() {
    task::block_on(async {
        let mut site = start_site(1, &["v1"]).await;
        decodes(&site)[0].fail_next(Fault::Cut, 1);
        let mut caller = begin(&site, 0, "r1").await;
        add_decodes(&mut site, &["v2", "v2"]).await;
        decodes(&site).iter().for_each(|endpoint| endpoint.set_paused(false));
        let response = caller.read_response().await.expect("a response");
        assert_eq!((response.event_ids().len() as u32, response.is_complete), (LAST_EVENT, false));
        assert_eq!(versions_of(&site, "r1"), ["v1"]);
    });
}

/// Guards against stalled streams that go on at another version.
#[test]
fn a_stream_that_stalls_goes_on_at_its_version() {
    task::block_on(async {
        let mut site = start_site(1, &["v1"]).await;
        let mut caller = begin(&site, 0, "r1").await;
        add_decodes(&mut site, &["v2", "v2", "v2", "v1"]).await;
        let response = caller.read_response().await.expect("a response");
        assert_eq!(response.event_ids().len() as u32, EVENT_COUNT);
        assert_eq!(versions_of(&site, "r1"), ["v1", "v1"]);
    });
}

/// Guards against callers' resumes that are placed like new streams, at the same gateway and at another one.
#[test]
fn a_caller_resumes_at_the_version_that_began_its_stream_at_any_gateway() {
    task::block_on(async {
        let site = start_site(3, &["v1", "v2", "v2", "v1"]).await;
        for number in 0..6 {
            let (id, resumed) = (format!("begin-{number}"), format!("resume-{number}"));
            drop(begin(&site, 0, &id).await);
            let response = resume_at(&site, number % 3, &resumed, &id).await;
            assert_eq!((response.head.status, response.event_ids()), (200, remaining_ids()), "{number}");
            assert_eq!(versions_of(&site, &resumed), versions_of(&site, &id), "{number}");
        }
    });
}

/// Guards against versions that are lost with the gateway that served the stream.
#[test]
fn a_caller_resumes_at_the_version_that_began_its_stream_after_its_gateway_was_killed() {
    task::block_on(async {
        for round in 0..3 {
            let mut site = start_site(3, &["v1", "v2", "v2", "v1"]).await;
            let caller = begin(&site, 0, "begin").await;
            site.gateways.remove(0).kill().await;
            drop(caller);
            let response = resume_at(&site, 0, "resume", "begin").await;
            assert_eq!((response.head.status, response.event_ids()), (200, remaining_ids()), "{round}");
            assert_eq!(versions_of(&site, "resume"), versions_of(&site, "begin"), "{round}");
        }
    });
}

/// Guards against second resumes at another version, because they name the first attempt.
#[test]
fn a_caller_resumes_more_than_once_at_the_version_that_began_its_stream() {
    task::block_on(async {
        let site = start_site(2, &["v1", "v2", "v2", "v1"]).await;
        drop(begin(&site, 0, "begin").await);
        for (number, id) in ["second", "third", "fourth"].into_iter().enumerate() {
            let response = resume_at(&site, number % 2, id, "begin").await;
            assert_eq!(response.head.status, 200, "{id}");
            assert_eq!(versions_of(&site, id), versions_of(&site, "begin"), "{id}");
        }
    });
}

/// Guards against a guess where no gateway knows the version.
#[test]
fn a_resume_of_an_unknown_stream_is_refused_as_not_run() {
    task::block_on(async {
        let site = start_site(2, &["v1", "v2"]).await;
        for (id, head) in [
            ("named", resume(resumable("named"), "unknown", LAST_EVENT)),
            ("unnamed", {
                let mut head = resumable("unnamed");
                head.fields.push("Last-Event-Id", "3");
                head
            }),
        ] {
            let response = caller::request(site.address(), head, b"prompt").await.expect("a response");
            assert_eq!(response.head.status, 503, "{id}");
            assert!(response.header("Retry-After").is_some(), "{id}");
            assert!(versions_of(&site, id).is_empty(), "{id}");
        }
    });
}

/// Guards against a guess of a gateway that reaches neither its peers nor their store.
#[test]
fn a_gateway_that_is_cut_off_refuses_resumes_that_it_does_not_know() {
    task::block_on(async {
        let mut site = start_site(1, &["v1", "v2"]).await;
        let fork = site.store.fork().await.expect("a store");
        // The store of the other gateway has no row of the first one, so that neither finds the other.
        fork.remove("entries", "entry-1");
        site.add_gateway_with_store(fork.address(), Clock::runtime()).await.expect("a gateway");
        wait_until("the gateway has read its store", async || {
            site.state(1).await["endpoints"].as_array().is_some_and(|endpoints| endpoints.len() == 2)
        })
        .await;
        drop(begin(&site, 0, "begin").await);
        let response = resume_at(&site, 1, "elsewhere", "begin").await;
        assert_eq!((response.head.status, versions_of(&site, "elsewhere").len()), (503, 0));
        let response = resume_at(&site, 0, "here", "begin").await;
        assert_eq!(response.head.status, 200);
        assert_eq!(versions_of(&site, "here"), versions_of(&site, "begin"));
    });
}

/// Guards against resumes that wait in the queue for a version that no endpoint has any more.
#[test]
fn a_resume_is_refused_at_once_if_no_endpoint_of_its_version_serves() {
    task::block_on(async {
        let mut site = start_site(2, &["v1"]).await;
        drop(begin(&site, 0, "begin").await);
        let first = decodes(&site).remove(0);
        add_decodes(&mut site, &["v2"]).await;
        site.register(&first, "draining");
        wait_until("the endpoint is known to leave", async || {
            let state = site.state(1).await;
            state["endpoints"]
                .as_array()
                .is_some_and(|all| all.iter().any(|endpoint| endpoint["leaving"] == true))
        })
        .await;
        let response = resume_at(&site, 1, "resume", "begin").await;
        assert_eq!((response.head.status, versions_of(&site, "resume").len()), (503, 0));
    });
}

/// Guards against resumes of one version that hold up everything behind them.
#[test]
fn a_resume_that_waits_for_its_version_does_not_block_new_streams() {
    task::block_on(async {
        let mut site = start_site(1, &["v1"]).await;
        let caller = begin(&site, 0, "begin").await;
        let first = decodes(&site).remove(0);
        drop(caller);
        first.set_paused(false);
        first.fill_memory();
        add_decodes(&mut site, &["v2"]).await;
        let address = site.address();
        let waiting = task::spawn(async move {
            caller::request(address, resume(resumable("resume"), "begin", LAST_EVENT), b"prompt").await
        });
        for id in ["new-1", "new-2"] {
            let response =
                caller::request(site.address(), resumable(id), b"prompt").await.expect("a response");
            assert!(response.is_complete, "{id}");
        }
        waiting.cancel().await;
    });
}

/// Guards against prefill results of one version at a decode endpoint of another one.
#[test]
fn a_prompt_is_prefilled_at_the_version_that_decodes_it() {
    task::block_on(async {
        let mut site = start_site(1, &["v1", "v2"]).await;
        for version in ["v1", "v2"] {
            site.add_endpoint_of(Role::Prefill, version).await.expect("an endpoint");
        }
        site.wait_until_synced().await;
        for number in 0..8 {
            let id = format!("r{number}");
            let response =
                caller::request(site.address(), resumable(&id), b"prompt").await.expect("a response");
            assert!(response.is_complete);
            let prefills = site.endpoints(Role::Prefill);
            let reader = prefills.iter().find(|endpoint| {
                let executed = endpoint.executed();
                executed.iter().any(|request| request.head.fields.get("Tarragonhill-Request-Id") == Some(&id))
            });
            let reader = reader.map(|endpoint| site.version(endpoint));
            assert_eq!(reader.into_iter().collect::<Vec<_>>(), versions_of(&site, &id), "{id}");
        }
    });
}

/// Guards against streams that are taken for those of the version in a row that is older than the process.
#[test]
fn no_stream_begins_or_goes_on_at_a_process_that_is_newer_than_its_row() {
    task::block_on(async {
        for others in [vec!["v1", "v2"], vec!["v1"]] {
            let mut site = start_site(2, &["v1"]).await;
            add_decodes(&mut site, &others).await;
            let stale = decodes(&site).remove(0);
            // Each gateway has connections to all endpoints.
            for number in 0..12 {
                let address = site.gateways[number % 2].address();
                let head = resumable(&format!("warm-{number}"));
                caller::request(address, head, b"prompt").await.expect("a response");
            }
            drop(begin(&site, 0, "begin").await);
            let began_at_v2 = versions_of(&site, "begin") == ["v2"];
            let newer = site.restart_endpoint(&stale, "v2").await.expect("a process");
            for number in 0..4 {
                let address = site.gateways[number % 2].address();
                let head = resumable(&format!("new-{number}"));
                let response = caller::request(address, head, b"prompt").await.expect("a response");
                assert_eq!(response.head.status, 200, "{number}");
                let response = resume_at(&site, number % 2, &format!("resume-{number}"), "begin").await;
                assert!(began_at_v2 || response.head.status == 200, "{number}");
            }
            assert!(
                newer.executed().is_empty(),
                "a process that is not listed got a stream beside {others:?}"
            );
            // Once its row has been read, it serves.
            site.register_incarnation(&newer, "ready", RESTARTED);
            decodes(&site).iter().for_each(|endpoint| endpoint.set_paused(false));
            wait_until("the new process serves", async || {
                for number in 0..4 {
                    let head = resumable(&format!("later-{number}"));
                    let _ = caller::request(site.address(), head, b"prompt").await;
                }
                !newer.executed().is_empty()
            })
            .await;
        }
    });
}

/// Guards against streams that go on at another version after all gateways were killed, when the endpoints of their version
/// have just left.
#[test]
fn a_stream_that_no_gateway_knows_any_more_does_not_go_on_at_another_version() {
    task::block_on(async {
        for (names_stream, stays) in [(false, false), (true, false), (false, true), (true, true)] {
            let mut site = start_site(2, &["v1"]).await;
            let caller = begin(&site, 0, "begin").await;
            let old = decodes(&site).remove(0);
            add_decodes(&mut site, &["v2", "v2"]).await;
            for _ in 0..2 {
                site.gateways.remove(0).kill().await;
            }
            drop(caller);
            if !stays {
                site.unregister(&old);
            }
            let listed = if stays { 3 } else { 2 };
            for _ in 0..2 {
                site.add_gateway().await.expect("a gateway");
            }
            for gateway in 0..2 {
                wait_until("the endpoints are known", async || {
                    let state = site.state(gateway).await;
                    state["endpoints"].as_array().is_some_and(|known| known.len() == listed)
                })
                .await;
            }
            decodes(&site).iter().for_each(|endpoint| endpoint.set_paused(false));
            for gateway in 0..2 {
                let id = format!("resume-{gateway}");
                let mut head = resumable(&id);
                head.fields.push("Last-Event-Id", LAST_EVENT.to_string());
                if names_stream {
                    head.fields.push("Resumes", "begin");
                }
                let address = site.gateways[gateway].address();
                let response = caller::request(address, head, b"prompt").await.expect("a response");
                let versions = versions_of(&site, &id);
                assert!(versions.iter().all(|version| *version == "v1"), "{versions:?}");
                assert!(response.head.status == 503 || versions == ["v1"], "{}", response.head.status);
                // New streams begin.
                let head = resumable(&format!("new-{gateway}"));
                let response = caller::request(address, head, b"prompt").await.expect("a response");
                assert_eq!(response.head.status, 200);
            }
        }
    });
}
