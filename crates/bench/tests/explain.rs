//! Tests of explanations of where a request would go, over real connections.

use std::slice;

use async_std::task;
use tarragonhill_bench::platform::{
    caller::{self, completion_request, plain_request},
    endpoint::Role,
    site::{KEY, Shape, Site, wait_until},
};
use tarragonhill_core::gateway::{
    placement::candidate::Exclusion,
    state::explain::{Explanation, Outcome},
};
use tarragonhill_operator::{Client, OperatorError};

async fn explain(site: &Site, parameters: &[(&str, &str)]) -> Result<Explanation, OperatorError> {
    let client = Client::new(site.gateways[0].admin(), None);
    client.explain(parameters.iter().map(|(name, value)| (*name, (*value).to_owned()))).await
}

/// Guards against explanations that send something, and against others than the placements that follow.
#[test]
fn a_request_goes_where_the_gateway_said_and_nothing_is_sent_for_the_answer() {
    task::block_on(async {
        let mut site = Site::start(Shape::default()).await.expect("the site starts");
        let left_out = site.endpoints(Role::Decode)[0].clone();
        site.register(&left_out, "draining");
        let stream = [("route", "stream"), ("customer", "faculty"), ("prompt", "1000"), ("output", "220")];
        wait_until("the endpoint is left out", async || {
            let explanation = explain(&site, &stream).await.expect("an explanation");
            let mut endpoints = explanation.targets[0].endpoints.iter();
            endpoints.any(|endpoint| endpoint.excluded == Some(Exclusion::Draining))
        })
        .await;
        let explanation = explain(&site, &stream).await.expect("an explanation");
        assert_eq!((explanation.charge, explanation.over_rate.is_none()), (1_220, true));
        let Outcome::Placed { endpoint, .. } = &explanation.targets[0].outcome else {
            panic!("not placed: {explanation:?}");
        };
        assert!(site.all_endpoints().all(|endpoint| endpoint.received_calls().is_empty()));
        let head = completion_request("/stream/x", KEY, "r1", 1_000);
        assert_eq!(
            caller::request(site.address(), head, b"prompt").await.expect("a response").head.status,
            200
        );
        let executed = |role| {
            let endpoints = site.endpoints(role).into_iter();
            let used = endpoints.filter(|endpoint| !endpoint.executed().is_empty());
            used.map(|endpoint| endpoint.id().clone()).collect::<Vec<_>>()
        };
        assert_eq!(executed(Role::Decode), slice::from_ref(endpoint));
        let plain = [("host", "a.example"), ("path", "/submit/a b?c=1&d")];
        let explanation = explain(&site, &plain).await.expect("an explanation");
        let Outcome::Placed { endpoint, prefill: None } = &explanation.targets[0].outcome else {
            panic!("not placed: {explanation:?}");
        };
        let head = plain_request("POST", "/submit/x", KEY, "r2");
        assert_eq!(caller::request(site.address(), head, b"").await.expect("a response").head.status, 200);
        assert_eq!(executed(Role::Plain), slice::from_ref(endpoint));
    });
}

/// Guards against bad input that passes as something else.
#[test]
fn bad_input_is_refused_with_what_is_wrong() {
    task::block_on(async {
        let site = Site::start(Shape::default()).await.expect("the site starts");
        let route = ("route", "stream");
        for (parameters, expected, named) in [
            (&[][..], "bad_request", "route"),
            (&[route, ("path", "/x")], "bad_request", "route"),
            (&[("host", "a.example"), ("path", "x")], "bad_request", "path"),
            (&[route, ("prompt", "-1")], "bad_request", "prompt"),
            (&[route, ("output", "1e3")], "bad_request", "output"),
            (&[route, ("priority", "10")], "bad_request", "priority"),
            (&[route, ("colour", "red")], "bad_request", "colour"),
            (&[("route", "none")], "not_found", "none"),
            (&[route, ("customer", "nobody")], "not_found", "nobody"),
        ] {
            let Err(OperatorError::Refused { code, message }) = explain(&site, parameters).await else {
                panic!("not refused: {parameters:?}");
            };
            assert_eq!(code, expected, "{message}");
            assert!(message.contains(named), "{message}");
        }
    });
}
