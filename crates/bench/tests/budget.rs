//! Tests of the retry budget, by what endpoints get.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use async_std::task;
use futures_lite::future;
use tarragonhill_bench::platform::{
    caller::{self, completion_request, plain_request},
    endpoint::{Endpoint, Fault, ReceivedRequest, Role},
    retries::{arrivals, first_excess},
    site::{KEY, Shape, Site, wait_until},
};
use tarragonhill_core::gateway::budget::Rule;

const PROMPT_TOKENS: u64 = 100;
const RULE: Rule = Rule { ratio: 0.2, slack: 20.0, window: Duration::from_secs(4) };
const NO_RETRIES: Rule = Rule { ratio: 0.0, slack: 0.0, window: Duration::from_secs(4) };

async fn start_site(gateways: usize, retries: Rule) -> Site {
    let mut site =
        Site::start(Shape { gateways: 0, prefill: 2, decode: 2, plain: 1 }).await.expect("the site starts");
    site.set_retries(retries);
    for _ in 0..gateways {
        site.add_gateway().await.expect("the gateway starts");
    }
    site.wait_until_synced().await;
    site
}

/// Sends `count` streams, spread over the gateways and over time, and returns when they were sent.
async fn send_streams(site: &Site, count: usize, interval: Duration) -> Vec<Instant> {
    let mut sent = Vec::new();
    let mut responses = Vec::new();
    for number in 0..count {
        let address = site.gateways[number % site.gateways.len()].address();
        let head = completion_request("/stream/x", KEY, &format!("s{number}"), PROMPT_TOKENS);
        sent.push(Instant::now());
        responses.push(task::spawn(async move { caller::request(address, head, b"").await }));
        task::sleep(interval).await;
    }
    for response in responses {
        let _ = response.await;
    }
    sent
}

fn received(site: &Site) -> Vec<ReceivedRequest> {
    let engines = [Role::Prefill, Role::Decode].into_iter().flat_map(|role| site.endpoints(role));
    engines.flat_map(|engine| engine.received()).collect()
}

/// Guards against retries that prefill the prompt again and are charged as one message.
#[test]
fn streams_whose_prefill_results_are_lost_stay_within_the_retry_budget() {
    task::block_on(async {
        let site = start_site(2, RULE).await;
        site.endpoints(Role::Prefill).iter().for_each(|engine| engine.set_fault(Fault::LoseResult));
        // The budget of a gateway that has just started is small.
        task::sleep(RULE.window * 2).await;
        let sent = send_streams(&site, 60, Duration::from_millis(30)).await;
        let received = received(&site);
        assert!(!arrivals(&received).is_empty(), "no retries");
        assert_eq!(first_excess(&received, &sent, RULE), None);
    });
}

/// Guards against a prompt that is prefilled again without a charge because its decode endpoint asks for a pause.
#[test]
fn a_decode_that_is_blocked_after_its_prefill_is_retried_only_within_the_retry_budget() {
    task::block_on(async {
        let site = start_site(1, NO_RETRIES).await;
        let prefill = site.endpoints(Role::Prefill);
        prefill.iter().for_each(|engine| engine.set_paused(true));
        let pausing: Arc<Endpoint> = site.endpoints(Role::Decode).remove(0);
        let prefilled = || prefill.iter().map(|engine| engine.received().len()).sum::<usize>();
        let streams = send_streams(&site, 12, Duration::ZERO);
        let pause = async {
            wait_until("the prompts are being prefilled", async || prefilled() >= 8).await;
            pausing.set_fault(Fault::RefuseFor(Duration::from_secs(5)));
            // Its reservation tells the gateway of the pause.
            let head = completion_request("/stream/x", KEY, "last", PROMPT_TOKENS);
            let address = site.address();
            let last = task::spawn(async move { caller::request(address, head, b"").await });
            task::sleep(Duration::from_millis(300)).await;
            prefill.iter().for_each(|engine| engine.set_paused(false));
            let _ = last.await;
        };
        future::zip(streams, pause).await;
        assert_eq!(arrivals(&received(&site)).len(), 0);
    });
}

/// Guards against a hedge that reports that a lookup has not run, although the answer of the first endpoint was lost.
#[test]
fn a_refused_hedge_does_not_hide_a_run_whose_answer_was_lost() {
    const ENDPOINTS: usize = 5;
    const LOST_AFTER: Duration = Duration::from_millis(700);
    /// `max_attempts` of the route.
    const MAX_RUNS: usize = 2;
    let play = async |refusing: usize| {
        let shape = Shape { gateways: 1, prefill: 1, decode: 1, plain: ENDPOINTS };
        let site = Site::start(shape).await.expect("the site starts");
        let endpoints = site.endpoints(Role::Plain);
        for (number, endpoint) in endpoints.iter().enumerate() {
            let is_refusing = number == refusing;
            endpoint.set_fault(if is_refusing { Fault::Refuse } else { Fault::ResetAfterRun });
            endpoint.set_service_time(if is_refusing { Duration::ZERO } else { LOST_AFTER });
        }
        let head = plain_request("GET", "/lookup/x", KEY, "r1");
        let _ = caller::request(site.address(), head, b"").await;
        let runs: usize = endpoints.iter().map(|endpoint| endpoint.executed().len()).sum();
        println!("endpoint {refusing} refuses: {runs} runs");
        assert!(runs <= MAX_RUNS, "{runs} runs");
    };
    thread::scope(|scope| {
        for refusing in 0..ENDPOINTS {
            let play = &play;
            scope.spawn(move || task::block_on(play(refusing)));
        }
    });
}
