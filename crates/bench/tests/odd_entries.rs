//! Tests of rows that other writers put into the store's tables, over real connections.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use async_std::task;
use serde_json::{Value, json};
use tarragonhill_bench::platform::{
    caller::{self, completion_request, plain_request},
    endpoint::{Endpoint, KvHandles, Role},
    site::{KEY, KV_CACHE_TOKENS, Shape, Site, configuration, wait_until},
    store::{MAX_NAME_BYTES, PAGE_ROWS},
};

/// Tables that gateways read.
const TABLES: [&str; 5] = ["op", "servers", "entries", "suspects", "claims"];
/// Names that are odd in a request target, in a field or in JSON.
const ODD_NAMES: [&str; 14] = [
    "a&from=z",
    "a+b",
    "a#b",
    "a%b",
    "a%00",
    "a%26b",
    "a b",
    " ",
    "a=b",
    "a?b/c",
    "a\"\\b",
    "a\r\nHost: b\r\n\r\n",
    "a\0\u{7f}b",
    "\u{e9}\u{1f600}",
];
/// Beginning of the last key of a page.
const KEY_PREFIX: &str = "!~";
/// Names that no field can carry as they are.
const UNSENDABLE_NAMES: [&str; 6] =
    ["a\r\nX-Injected: 1", "a\nX-Injected: 1", "a\0b", "a\u{7f}", " a", "a\t"];
const LOOKUPS: usize = 12;

/// Returns the odd names and one as long as a key may be.
fn odd_names() -> impl Iterator<Item = String> {
    let longest = "n".repeat(MAX_NAME_BYTES - KEY_PREFIX.len());
    ODD_NAMES.into_iter().map(str::to_owned).chain([longest])
}

/// Writes a full page of rows of another writer before all others. Returns the key of the last one, which ends with this name.
fn fill_page(site: &Site, table: &str, name: &str) -> String {
    let value = json!({"note": "of another writer"});
    for number in 0..PAGE_ROWS - 1 {
        site.store.put(table, &format!("!{number:04}"), &value);
    }
    let key = format!("{KEY_PREFIX}{name}");
    site.store.put(table, &key, &value);
    key
}

async fn lookup_status(site: &Site, gateway: usize, id: &str) -> u16 {
    let head = plain_request("GET", "/lookup/x", KEY, id);
    let response = caller::request(site.gateways[gateway].address(), head, b"").await;
    response.expect("a response").head.status
}

/// Kills all gateways, then starts them again.
async fn restart_all(site: &mut Site) {
    let count = site.gateways.len();
    for gateway in std::mem::take(&mut site.gateways) {
        gateway.kill().await;
    }
    for _ in 0..count {
        site.add_gateway().await.expect("a gateway starts");
    }
    for gateway in 0..count {
        wait_until("the gateway knows the endpoints of the site", async || {
            let state = site.state(gateway).await;
            let known = state["endpoints"].as_array().map_or(&[][..], Vec::as_slice);
            let is_known = |endpoint: &Arc<Endpoint>| known.iter().any(|row| row["id"] == **endpoint.id());
            state["registered"] == true && site.all_endpoints().all(is_known)
        })
        .await;
    }
}

/// Guards against lists of which only the first pages are read.
#[test]
fn gateways_read_lists_of_which_each_page_holds_few_large_rows() {
    task::block_on(async {
        let mut site = Site::empty().await.expect("the site starts");
        let padding = "x".repeat(40_000);
        for number in 0..100 {
            site.store.put("servers", &format!("!{number:02}"), &json!({"note": padding}));
        }
        site.configure(&configuration(1));
        site.add_endpoint(Role::Plain).await.expect("an endpoint");
        site.add_gateway().await.expect("a gateway starts");
        site.wait_until_synced().await;
        assert_eq!(lookup_status(&site, 0, "r1").await, 200);
    });
}

/// Guards against lists that are never read to their end because a name is taken for a part of the query.
#[test]
fn gateways_that_restart_read_lists_in_which_a_page_ends_with_an_odd_name() {
    for table in TABLES {
        task::block_on(async {
            let shape = Shape { gateways: 2, prefill: 0, decode: 0, plain: 2 };
            let mut site = Site::start(shape).await.expect("the site starts");
            for name in odd_names() {
                let key = fill_page(&site, table, &name);
                restart_all(&mut site).await;
                for number in 0..LOOKUPS {
                    let id = format!("r{number}");
                    assert_eq!(lookup_status(&site, number % 2, &id).await, 200, "{table} {name:?}");
                }
                site.store.remove(table, &key);
            }
        });
    }
}

/// Starts an endpoint that is not part of the site, and returns it with a row for it.
async fn start_outside(site: &Site, name: &str, role: Role) -> (Endpoint, Value) {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let started = Endpoint::start(name, role, any_port, KV_CACHE_TOKENS, KvHandles::default()).await;
    let endpoint = started.expect("an endpoint");
    let mut row = site.registration(&site.endpoints(role)[0]);
    row["address"] = endpoint.address().to_string().into();
    row["born"] = 0.into();
    (endpoint, row)
}

async fn stream_status(site: &Site, id: &str) -> u16 {
    let head = completion_request("/stream/x", KEY, id, 1_000);
    caller::request(site.address(), head, b"prompt").await.expect("a response").head.status
}

/// Guards against requests to an endpoint whose name ends the field in which it is sent.
#[test]
fn an_entry_whose_name_cannot_be_sent_names_no_endpoint() {
    task::block_on(async {
        let shape = Shape { gateways: 1, prefill: 0, decode: 1, plain: 1 };
        let mut site = Site::start(shape).await.expect("the site starts");
        for name in UNSENDABLE_NAMES {
            for role in [Role::Plain, Role::Decode] {
                let (odd, row) = start_outside(&site, name, role).await;
                site.store.put("servers", name, &row);
                restart_all(&mut site).await;
                for number in 0..LOOKUPS {
                    assert_eq!(lookup_status(&site, 0, &format!("r{number}")).await, 200, "{name:?}");
                    assert_eq!(stream_status(&site, &format!("s{number}")).await, 200, "{name:?}");
                }
                assert!(odd.received_calls().is_empty(), "{name:?}: {:?}", odd.received_calls());
                site.store.remove("servers", name);
            }
        }
    });
}

/// Guards against endpoints that are left out because of an odd name.
#[test]
fn an_endpoint_whose_name_is_odd_but_can_be_sent_serves() {
    task::block_on(async {
        let shape = Shape { gateways: 1, prefill: 0, decode: 1, plain: 1 };
        let site = Site::start(shape).await.expect("the site starts");
        for name in ["a&b=c", "a+b c", "a%2Fb#", "a/b?c", "\u{e9}\"\\"] {
            let (odd, row) = start_outside(&site, name, Role::Plain).await;
            site.store.put("servers", name, &row);
            wait_until("the endpoint serves", async || {
                assert_eq!(lookup_status(&site, 0, "r1").await, 200, "{name:?}");
                !odd.executed().is_empty()
            })
            .await;
            site.store.remove("servers", name);
        }
    });
}

/// Guards against requests to what an entry with a missing or odd value names, and against entries that hide others.
#[test]
fn an_entry_with_an_odd_value_names_no_endpoint() {
    let odd_fields: [(&str, Value); 16] = [
        ("service", Value::Null),
        ("service", 7.into()),
        ("service", "of no route".into()),
        ("address", "localhost:80".into()),
        ("address", "0.0.0.0:80".into()),
        ("address", "127.0.0.1:0".into()),
        ("address", "127.0.0.1:70000".into()),
        ("zone", json!(["zone-a"])),
        ("version", 1.into()),
        ("slots", (-1).into()),
        ("state", "gone".into()),
        ("state", Value::Null),
        ("cold_remaining_ms", "0".into()),
        ("seq", 1.5.into()),
        ("born", 1.5.into()),
        ("stage", "draft".into()),
    ];
    task::block_on(async {
        let mut site = Site::start(Shape { gateways: 2, prefill: 0, decode: 1, plain: 1 })
            .await
            .expect("the site starts");
        let (odd, row) = start_outside(&site, "odd", Role::Plain).await;
        for (number, (field, value)) in odd_fields.into_iter().enumerate() {
            let mut changed = row.clone();
            changed[field] = value;
            site.store.put("servers", &format!("odd-{number}"), &changed);
        }
        for table in TABLES {
            site.store.put_invalid(table, "odd-bytes");
            for (number, value) in
                [json!(null), json!([]), json!("text"), json!({"address": 1})].iter().enumerate()
            {
                site.store.put(table, &format!("odd-value-{number}"), value);
            }
        }
        restart_all(&mut site).await;
        for number in 0..LOOKUPS {
            assert_eq!(lookup_status(&site, number % 2, &format!("r{number}")).await, 200);
            assert_eq!(stream_status(&site, &format!("s{number}")).await, 200);
        }
        assert!(odd.received_calls().is_empty(), "{:?}", odd.received_calls());
    });
}
