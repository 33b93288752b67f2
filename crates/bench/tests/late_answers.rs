//! Tests of endpoints that send answers a second time when the next request on the connection arrives, over real connections.

use std::{collections::BTreeMap, time::Duration};

use async_std::task;
use tarragonhill_bench::platform::{
    caller::{self, completion_request, plain_request},
    endpoint::{EVENT_COUNT, Fault, Role},
    site::{KEY, Shape, Site},
};
use tarragonhill_h1::head::Request;

const PROMPT_TOKENS: u64 = 1_000;
/// Requests that a test sends, and the interval between them.
const REQUESTS: usize = 200;
const INTERVAL: Duration = Duration::from_millis(10);
/// Requests after which endpoints refuse some.
const REFUSAL_INTERVAL: usize = 10;

/// What became of the requests.
#[derive(Debug, Default, PartialEq, Eq)]
struct Outcome {
    ran_twice: usize,
    /// Answered as not run.
    ran_although_refused: usize,
    whole: usize,
    /// Answered as not run, and did not run.
    refused: usize,
}

/// Sends requests that may run once to endpoints that send their answers twice, and refuse some requests.
async fn play(role: Role, has_unnamed_refusals: bool, head: fn(&str) -> Request) -> Outcome {
    let shape = Shape { gateways: 1, prefill: 2, decode: 3, plain: 3 };
    let site = Site::start(shape).await.expect("the site starts");
    site.all_endpoints().for_each(|endpoint| endpoint.set_doubling(has_unnamed_refusals));
    let mut responses = Vec::new();
    for number in 0..REQUESTS {
        if number % REFUSAL_INTERVAL == 0 {
            site.endpoints(role).iter().for_each(|endpoint| endpoint.fail_next(Fault::Refuse, 1));
        }
        let (address, id) = (site.address(), format!("r{number}"));
        let request = head(&id);
        responses.push((id, task::spawn(async move { caller::request(address, request, b"prompt").await })));
        task::sleep(INTERVAL).await;
    }
    let mut outcome = Outcome::default();
    let mut statuses = BTreeMap::new();
    for (id, response) in responses {
        let response = response.await.expect("a response");
        outcome.whole += usize::from(
            response.head.status == 200
                && (role == Role::Plain || response.event_ids().len() == EVENT_COUNT as usize),
        );
        statuses.insert(id, response.head.status);
    }
    let executed = site.endpoints(role).into_iter().flat_map(|endpoint| endpoint.executed());
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for request in executed {
        *runs
            .entry(request.head.fields.get("Tarragonhill-Request-Id").unwrap_or("-").to_owned())
            .or_default() += 1;
    }
    outcome.ran_twice = runs.values().filter(|count| **count > 1).count();
    for (id, _) in statuses.iter().filter(|(_, status)| **status == 503) {
        match runs.contains_key(id) {
            true => outcome.ran_although_refused += 1,
            false => outcome.refused += 1,
        }
    }
    println!("{role} {has_unnamed_refusals}: {outcome:?}");
    outcome
}

fn assert_sound(outcome: &Outcome) {
    assert_eq!((outcome.ran_twice, outcome.ran_although_refused), (0, 0), "{outcome:?}");
    assert_eq!(outcome.whole + outcome.refused, REQUESTS, "{outcome:?}");
}

/// Guards against a late refusal of a reservation that is taken for the answer to a stream, which then runs twice or is refused
/// although it runs.
#[test]
fn a_stream_is_not_refused_by_a_late_answer_to_another_call() {
    let stream = |id: &str| completion_request("/stream/x", KEY, id, PROMPT_TOKENS);
    for has_unnamed_refusals in [false, true] {
        assert_sound(&task::block_on(play(Role::Decode, has_unnamed_refusals, stream)));
    }
}

/// The same for calls that may run once.
#[test]
fn a_submission_is_not_refused_by_a_late_answer_to_another_call() {
    let submission = |id: &str| plain_request("POST", "/submit/x", KEY, id);
    for has_unnamed_refusals in [false, true] {
        assert_sound(&task::block_on(play(Role::Plain, has_unnamed_refusals, submission)));
    }
}
