//! Tests of rows that other writers put into the store's tables, over real connections.

use async_std::task;
use serde_json::json;
use tarragonhill_bench::platform::{
    caller::{self, plain_request},
    endpoint::Role,
    site::{KEY, Shape, Site, configuration},
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
    site.wait_until_synced().await;
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
