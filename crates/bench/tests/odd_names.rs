//! Tests of names that endpoints give to reservations, prefill results and events, over real connections.

use std::sync::Arc;

use async_std::task;
use tarragonhill_bench::platform::{
    caller::{self, Response, completion_request},
    endpoint::{EVENT_COUNT, Endpoint, Fault, Role},
    site::{KEY, Shape, Site, wait_until},
};

const PROMPT_TOKENS: u64 = 5_000;

async fn start_site(prefix: &str) -> Site {
    let shape = Shape { gateways: 1, prefill: 2, decode: 2, plain: 0 };
    let site = Site::start(shape).await.expect("the site starts");
    // One endpoint of each role.
    for role in [Role::Prefill, Role::Decode] {
        site.endpoints(role)[0].set_name_prefix(prefix);
    }
    site
}

async fn request(site: &Site, id: &str) -> Response {
    let head = completion_request("/resumable/x", KEY, id, PROMPT_TOKENS);
    caller::request(site.address(), head, b"prompt").await.expect("a response")
}

/// Guards against a name that ends the field or the request line in which it is sent.
#[test]
fn a_resource_whose_name_cannot_be_sent_is_not_used() {
    task::block_on(async {
        for prefix in ["a\r\nX-Injected: 1\r\nx", "a\nX-Injected: 1\nx", "\0", " ", "\u{7f}"] {
            let site = start_site(prefix).await;
            for number in 0..6 {
                let response = request(&site, &format!("r{number}")).await;
                assert_eq!(response.event_ids(), (1..=EVENT_COUNT).collect::<Vec<_>>(), "{prefix:?}");
            }
            for endpoint in site.all_endpoints() {
                for call in endpoint.received_calls() {
                    assert_eq!(call.fields.count("x-injected"), 0, "{prefix:?}: {call:?}");
                    for name in ["Tarragonhill-Kv-Hold", "Tarragonhill-Kv-Source"] {
                        let value = call.fields.get(name).unwrap_or_default();
                        assert!(!value.starts_with('a') && !value.ends_with(char::is_whitespace), "{call:?}");
                    }
                }
            }
        }
    });
}

/// Guards against resources that are not used or stay reserved because of their names.
#[test]
fn a_resource_whose_name_is_odd_but_can_be_sent_is_used_and_released() {
    task::block_on(async {
        for prefix in ["a/b?c#", "a%2Fb%", "a b&+", "\u{e9}\"\\"] {
            let site = start_site(prefix).await;
            site.endpoints(Role::Prefill)[1].set_name_prefix(prefix);
            site.endpoints(Role::Decode)[1].set_name_prefix(prefix);
            for number in 0..6 {
                let response = request(&site, &format!("r{number}")).await;
                assert_eq!(response.event_ids(), (1..=EVENT_COUNT).collect::<Vec<_>>(), "{prefix:?}");
            }
            // Those of streams whose prompt cannot be prefilled have to be released.
            for prefill in site.endpoints(Role::Prefill) {
                prefill.kill().await;
            }
            request(&site, "last").await;
            wait_until("nothing is reserved", async || {
                site.endpoints(Role::Decode).iter().all(|engine| engine.reservations() == 0)
            })
            .await;
            let released = site.endpoints(Role::Decode).iter().map(|engine| engine.released()).sum::<u64>();
            assert!(released > 0, "{prefix:?}");
        }
    });
}

/// Returns the decode endpoint that gets a stream of an idle site.
async fn first_engine(site: &Site) -> Arc<Endpoint> {
    request(site, "probe").await;
    let engines = site.endpoints(Role::Decode);
    engines.into_iter().find(|engine| !engine.executed().is_empty()).expect("the stream was executed")
}

/// Guards against events that come twice because the id of the last one was not read.
#[test]
fn a_stream_with_bytes_that_are_no_text_goes_on_after_its_last_event() {
    task::block_on(async {
        let site = start_site("").await;
        let engine = first_engine(&site).await;
        engine.set_binary();
        engine.fail_next(Fault::Cut, 1);
        let response = request(&site, "r1").await;
        assert_eq!(engine.executed().len(), 2);
        assert_eq!(response.event_ids(), (1..=EVENT_COUNT).collect::<Vec<_>>());
    });
}

/// Guards against a resume that begins after an earlier event, because the id of the last one cannot be sent.
#[test]
fn an_event_whose_id_cannot_be_sent_is_replaced_by_that_of_another_endpoint() {
    task::block_on(async {
        for odd in ["1\0", "1\u{7f}2", "\u{1}", ""] {
            let site = start_site("").await;
            let engine = first_engine(&site).await;
            engine.set_odd_event_id(odd);
            engine.fail_next(Fault::Cut, 1);
            let response = request(&site, "r1").await;
            assert_eq!(engine.executed().len(), 2, "{odd:?}");
            assert_eq!(response.event_ids(), (1..=EVENT_COUNT).collect::<Vec<_>>(), "{odd:?}");
        }
    });
}
