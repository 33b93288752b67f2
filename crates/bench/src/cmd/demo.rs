//! `demo`: sends example requests to a complete fleet and checks the outcomes.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use async_std::task;
use serde_json::json;
use tarragonhill_core::{plan::Intent, settings::WithdrawalPolicy};
use tarragonhill_operator::Client;

use crate::{
    caller::{Caller, Completion, Outcome, TimedOutcome},
    fleet::{Customer, Fleet, FleetError, MODEL, SERVICE, Shape, key_of},
};

/// Maximum wait for an expected condition.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum length of printed answer text.
const MAX_SHOWN_CHARS: usize = 48;

/// Outcome counts: all requests, and by step the number of correct outcomes and the total.
#[derive(Debug, Default)]
struct Tally {
    requests: u32,
    answered: u32,
    refused: u32,
    wrong: u32,
    steps: BTreeMap<&'static str, (u32, u32)>,
}

impl Tally {
    fn record(&mut self, step: &'static str, is_correct: bool, answered: bool) {
        self.requests += 1;
        self.answered += u32::from(answered);
        self.refused += u32::from(!answered);
        self.wrong += u32::from(!is_correct);
        let counts = self.steps.entry(step).or_default();
        counts.0 += u32::from(is_correct);
        counts.1 += 1;
    }

    fn print(&self) {
        println!("\n{:<44} {:>6} {:>6}", "step", "passed", "of");
        for (step, (passed, of)) in &self.steps {
            println!("{step:<44} {passed:>6} {of:>6}");
        }
    }
}

/// Runs the demo. Returns true if every outcome was as expected.
pub async fn execute() -> Result<bool, FleetError> {
    let began = Instant::now();
    let mut shape = Shape::small();
    shape.customers.push(Customer::new("members", 2_000, 3_000));
    println!("starting 3 entries, 7 agents and simulated servers ...");
    let fleet = Fleet::start(shape).await?;
    println!("ready after {} ms", began.elapsed().as_millis());
    let mut tally = Tally::default();
    send_mixed_requests(&fleet, &mut tally).await;
    read_long_stream(&fleet, &mut tally).await;
    cancel_stream(&fleet, &mut tally).await;
    repeat_submission(&fleet, &mut tally).await;
    exceed_rate(&fleet, &mut tally).await;
    withdraw_key(&fleet, &mut tally).await;
    fleet.stop().await;
    tally.print();
    println!("took {} ms", began.elapsed().as_millis());
    let Tally { requests, answered, refused, wrong, .. } = tally;
    println!("{}", json!({ "requests": requests, "answered": answered, "refused": refused, "wrong": wrong }));
    Ok(wrong == 0)
}

fn completion(prompt: String, max_tokens: u32, stream: bool) -> Completion {
    Completion { model: MODEL.to_owned(), prompt, max_tokens, stream }
}

fn print_outcome(label: &str, timed: &TimedOutcome) {
    let text = match &timed.outcome {
        Outcome::Answered { text } => {
            let start: String = text.chars().take(MAX_SHOWN_CHARS).collect();
            format!("{} tokens: {start}...", text.split_whitespace().count())
        }
        other => format!("{other:?}"),
    };
    println!("  {label}: {text}");
}

/// Sends concurrent requests of two customers through all entries, streamed and not streamed.
async fn send_mixed_requests(fleet: &Fleet, tally: &mut Tally) {
    println!("24 requests of two customers through all entries:");
    let mut tasks = Vec::new();
    for number in 0..24_usize {
        let customer = ["faculty", "grants"][number % 2];
        let caller = Caller::new(fleet.entry(number % fleet.entries.len()).address(), key_of(customer));
        let prompt =
            format!("evidence summary {number} for {customer}: {}", "text ".repeat(200 + number * 40));
        let request = completion(prompt, 40, number % 3 != 0);
        tasks.push(task::spawn(async move {
            let timed = caller.complete(&request).await;
            (customer, timed.is_correct(&request), timed)
        }));
    }
    for (number, task) in tasks.into_iter().enumerate() {
        let (customer, is_correct, timed) = task.await;
        if number % 6 == 0 || !is_correct {
            print_outcome(customer, &timed);
        }
        tally.record(
            "mixed requests answered correctly",
            is_correct,
            matches!(timed.outcome, Outcome::Answered { .. }),
        );
    }
}

async fn read_long_stream(fleet: &Fleet, tally: &mut Tally) {
    println!("one streamed answer of several hundred tokens:");
    let caller = Caller::new(fleet.entry(0).address(), key_of("faculty"));
    // Simulated engines derive the answer's length from the prompt; this prompt gives over 300 tokens.
    let request = completion(format!("a long evidence summary: {}", "source ".repeat(300)), 400, true);
    let timed = caller.complete(&request).await;
    print_outcome("faculty", &timed);
    let is_long = timed.gaps.len() >= 200;
    tally.record("stream of several hundred tokens", timed.is_correct(&request) && is_long, true);
}

/// Disconnects in the middle of an answer and waits until the engine frees its memory.
async fn cancel_stream(fleet: &Fleet, tally: &mut Tally) {
    println!("one caller disconnects after 5 tokens:");
    let caller = Caller::new(fleet.entry(1).address(), key_of("faculty"));
    let request = completion(format!("never read to its end: {}", "page ".repeat(400)), 400, true);
    let has_disconnected = caller.disconnect_after(&request, 5).await.is_ok();
    let pieces_before = used_pieces(fleet);
    drop(caller);
    let is_freed = wait_until(|| used_pieces(fleet) == 0).await;
    println!("  decode memory: {pieces_before} pieces before, {} after", used_pieces(fleet));
    tally.record("memory freed after a disconnect", has_disconnected && pieces_before > 0 && is_freed, false);
}

fn used_pieces(fleet: &Fleet) -> u32 {
    fleet.decode.iter().map(|engine| engine.memory().0).sum()
}

async fn wait_until(condition: impl Fn() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < TIMEOUT {
        if condition() {
            return true;
        }
        task::sleep(Duration::from_millis(20)).await;
    }
    false
}

/// Sends a submission twice with the same idempotency key. It must be executed once and both answers
/// must be equal.
async fn repeat_submission(fleet: &Fleet, tally: &mut Tally) {
    println!("plain service: a lookup, and one submission sent twice through two entries:");
    let first = Caller::new(fleet.entry(0).address(), key_of("grants"));
    let second = Caller::new(fleet.entry(2).address(), key_of("grants"));
    let lookup = first.call("GET", &format!("/v1/services/{SERVICE}/records/7"), &json!(null), None).await;
    let found = matches!(&lookup, Ok((200, body)) if body["found"] == true);
    tally.record("lookups answered", found, true);
    let path = format!("/v1/services/{SERVICE}/submissions");
    let body = json!({ "grant": "G-7", "pages": 12 });
    let one = first.call("POST", &path, &body, Some("submission-G-7")).await;
    let two = second.call("POST", &path, &body, Some("submission-G-7")).await;
    let runs: u32 = fleet.plain.iter().map(|service| service.execution_counts().values().sum::<u32>()).sum();
    println!("  answers {:?} and {:?}, executed {runs} time(s)", status_of(&one), status_of(&two));
    let is_same = matches!((&one, &two), (Ok(one), Ok(two)) if one == two && one.0 == 200);
    tally.record("submissions executed once", is_same && runs == 1, true);
    tally.record("submissions executed once", is_same && runs == 1, true);
}

fn status_of(answer: &Result<(u16, serde_json::Value), tarragonhill_http::client::Error>) -> Option<u16> {
    answer.as_ref().ok().map(|(status, _)| *status)
}

/// Sends several times a customer's burst. Requests over the limit must be refused as not run.
async fn exceed_rate(fleet: &Fleet, tally: &mut Tally) {
    println!("one customer far over its rate of 2,000 tokens per second:");
    let mut tasks = Vec::new();
    for number in 0..20_usize {
        let caller = Caller::new(fleet.entry(number % fleet.entries.len()).address(), key_of("members"));
        let request = completion(format!("firing log {number}: {}", "charge ".repeat(500)), 20, false);
        tasks.push(task::spawn(async move {
            let timed = caller.complete(&request).await;
            (timed.is_correct(&request), timed)
        }));
    }
    let (mut answered, mut refused) = (0, 0);
    for task in tasks {
        let (is_correct, timed) = task.await;
        match &timed.outcome {
            Outcome::Refused(refusal) => {
                refused += 1;
                let is_expected =
                    refusal.code == "over_rate" && refusal.not_run && refusal.retry_after.is_some();
                tally.record("over rate: refused as not run, or correct", is_expected, false);
            }
            _ => {
                answered += 1;
                tally.record("over rate: refused as not run, or correct", is_correct, true);
            }
        }
    }
    println!("  {answered} answered, {refused} refused with not_run");
    tally.record("over rate: some refused", refused > 0, false);
}

/// Withdraws a key as an operator. Every entry must refuse it.
async fn withdraw_key(fleet: &Fleet, tally: &mut Tally) {
    println!("an operator withdraws a key by plan and confirm:");
    let client = Client::new(fleet.entry(0).admin(), None);
    let intent = Intent::WithdrawKey { id: "grants-1".into(), running: WithdrawalPolicy::Cut };
    let confirmation = match client.plan(&intent).await {
        Ok(planned) => client.confirm(&planned).await,
        Err(error) => Err(error),
    };
    let began = Instant::now();
    for number in 0..fleet.entries.len() {
        let caller = Caller::new(fleet.entry(number).address(), key_of("grants"));
        let request = completion("is this key still good?".into(), 4, false);
        let mut refused = false;
        while !refused && began.elapsed() < TIMEOUT {
            let timed = caller.complete(&request).await;
            refused = matches!(&timed.outcome, Outcome::Refused(refusal) if refusal.code == "bad_key");
        }
        tally.record("withdrawn key refused", confirmation.is_ok() && refused, false);
    }
    println!("  refused by every entry after {} ms", began.elapsed().as_millis());
}
