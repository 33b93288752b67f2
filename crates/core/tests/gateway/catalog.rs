//! Tests of routes and API keys.

use std::time::Duration;

use tarragonhill_core::gateway::catalog::{Catalog, Kind, Limits, LookupError, Target};

use crate::{customer, route};

fn catalog() -> Catalog {
    let mut catalog = Catalog::new(3, Limits::default());
    catalog.add_route(route("/a/", Kind::Idempotent));
    catalog.add_route(route("/a/b/", Kind::Streaming));
    let mut open = route("/open/", Kind::Idempotent);
    open.is_anonymous = true;
    catalog.add_route(open);
    catalog.add_customer(customer("faculty", 10, 10), ["key-1".into(), "key-2".into()]);
    catalog
}

#[test]
fn the_longest_prefix_wins_and_the_host_ignores_case() {
    let catalog = catalog();
    let found = catalog.route("A.Example:8080", "/a/b/c").expect("a route");
    assert_eq!(&*found.prefix, "/a/b/");
    assert_eq!(&*catalog.route("a.example", "/a/bc").expect("a route").prefix, "/a/");
    assert_eq!(catalog.route("a.example", "/b/"), Err(LookupError::Route));
    assert_eq!(catalog.route("b.example", "/a/"), Err(LookupError::Route));
}

#[test]
fn a_key_identifies_its_customer_and_an_anonymous_route_needs_none() {
    let catalog = catalog();
    let closed = catalog.route("a.example", "/a/").expect("a route").clone();
    let open = catalog.route("a.example", "/open/").expect("a route").clone();
    let customer = catalog.authenticate(&closed, Some("key-2")).expect("known").expect("a customer");
    assert_eq!(&*customer.name, "faculty");
    assert_eq!(catalog.authenticate(&closed, Some("key-3")), Err(LookupError::Key));
    assert_eq!(catalog.authenticate(&closed, None), Err(LookupError::Key));
    assert_eq!(catalog.authenticate(&open, None), Ok(None));
}

#[test]
fn a_route_splits_traffic_by_weight() {
    let mut split = route("/a/", Kind::Idempotent);
    split.targets =
        vec![Target { service: "one".into(), weight: 90 }, Target { service: "two".into(), weight: 10 }];
    let to_two = (0..1_000).filter(|random| &**split.pick_service(*random) == "two").count();
    assert_eq!(to_two, 100);
}

#[test]
fn only_idempotent_and_resumable_routes_are_repeatable() {
    assert!(route("/a/", Kind::Idempotent).is_repeatable());
    assert!(!route("/a/", Kind::NonIdempotent).is_repeatable());
    assert!(!route("/a/", Kind::Streaming).is_repeatable());
    let mut resumable = route("/a/", Kind::Streaming);
    resumable.is_resumable = true;
    assert!(resumable.is_repeatable());
    assert_eq!(resumable.target_gap, Duration::from_millis(300));
}
