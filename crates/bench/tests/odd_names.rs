//! Tests of names that endpoints give to reservations, prefill results and events, over real connections.

use async_std::task;
use tarragonhill_bench::platform::{
    caller::{self, Response, completion_request},
    endpoint::{EVENT_COUNT, Role},
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
