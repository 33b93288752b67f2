//! `demo`: a site at work, in under half a minute.

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
    fleet::{Fleet, FleetError, MODEL, SERVICE, Shape, Tenant, key_of},
};

/// Longest wait for something that must come about.
const PATIENCE: Duration = Duration::from_secs(10);
/// Longest text shown of an answer.
const SHOWN: usize = 48;

/// What the demo counts.
#[derive(Debug, Default)]
struct Tally {
    requests: u32,
    answered: u32,
    refused: u32,
    wrong: u32,
    rows: BTreeMap<&'static str, (u32, u32)>,
}

impl Tally {
    fn note(&mut self, step: &'static str, right: bool, answered: bool) {
        self.requests += 1;
        self.answered += u32::from(answered);
        self.refused += u32::from(!answered);
        self.wrong += u32::from(!right);
        let row = self.rows.entry(step).or_default();
        row.0 += u32::from(right);
        row.1 += 1;
    }

    fn print(&self) {
        println!("\n{:<44} {:>6} {:>6}", "step", "right", "of");
        for (step, (right, of)) in &self.rows {
            println!("{step:<44} {right:>6} {of:>6}");
        }
    }
}

/// Runs the demo; true if every outcome was right.
pub async fn execute() -> Result<bool, FleetError> {
    let began = Instant::now();
    let mut shape = Shape::small();
    shape.tenants.push(Tenant::new("members", 2_000, 3_000));
    println!("starting 3 entries, 7 agents and stand-ins ...");
    let fleet = Fleet::start(shape).await?;
    println!("ready after {} ms", began.elapsed().as_millis());
    let mut tally = Tally::default();
    mixed(&fleet, &mut tally).await;
    long_stream(&fleet, &mut tally).await;
    cancelled(&fleet, &mut tally).await;
    filing(&fleet, &mut tally).await;
    over_rate(&fleet, &mut tally).await;
    withdrawn(&fleet, &mut tally).await;
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

fn show(label: &str, timed: &TimedOutcome) {
    let text = match &timed.outcome {
        Outcome::Answered { text } => {
            let start: String = text.chars().take(SHOWN).collect();
            format!("{} tokens: {start}...", text.split_whitespace().count())
        }
        other => format!("{other:?}"),
    };
    println!("  {label}: {text}");
}

/// Several customers at once, over all entries, streamed and whole.
async fn mixed(fleet: &Fleet, tally: &mut Tally) {
    println!("24 requests of two customers over all entries:");
    let mut tasks = Vec::new();
    for number in 0..24_usize {
        let tenant = ["faculty", "grants"][number % 2];
        let caller = Caller::new(fleet.entry(number % fleet.entries.len()).address(), key_of(tenant));
        let prompt = format!("evidence summary {number} for {tenant}: {}", "text ".repeat(200 + number * 40));
        let wanted = completion(prompt, 40, number % 3 != 0);
        tasks.push(task::spawn(async move {
            let timed = caller.complete(&wanted).await;
            (tenant, timed.is_correct(&wanted), timed)
        }));
    }
    for (number, task) in tasks.into_iter().enumerate() {
        let (tenant, right, timed) = task.await;
        if number % 6 == 0 || !right {
            show(tenant, &timed);
        }
        tally.note(
            "mixed completions answered whole",
            right,
            matches!(timed.outcome, Outcome::Answered { .. }),
        );
    }
}

async fn long_stream(fleet: &Fleet, tally: &mut Tally) {
    println!("one streamed answer of several hundred tokens:");
    let caller = Caller::new(fleet.entry(0).address(), key_of("faculty"));
    // The answer's length follows from the prompt; this one has over 300 tokens.
    let wanted = completion(format!("a long evidence summary: {}", "source ".repeat(300)), 400, true);
    let timed = caller.complete(&wanted).await;
    show("faculty", &timed);
    let long = timed.gaps.len() >= 200;
    tally.note("stream of several hundred tokens", timed.is_correct(&wanted) && long, true);
}

/// A caller leaves in the middle of its answer; the engine's memory must fall free.
async fn cancelled(fleet: &Fleet, tally: &mut Tally) {
    println!("one caller leaves after 5 tokens:");
    let caller = Caller::new(fleet.entry(1).address(), key_of("faculty"));
    let wanted = completion(format!("never read to its end: {}", "page ".repeat(400)), 400, true);
    let left = caller.disconnect_after(&wanted, 5).await.is_ok();
    let held = used_pieces(fleet);
    drop(caller);
    let free = eventually(|| used_pieces(fleet) == 0).await;
    println!("  decode memory: {held} pieces before, {} after", used_pieces(fleet));
    tally.note("memory free after a caller left", left && held > 0 && free, false);
}

fn used_pieces(fleet: &Fleet) -> u32 {
    fleet.decode.iter().map(|engine| engine.memory().0).sum()
}

async fn eventually(holds: impl Fn() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < PATIENCE {
        if holds() {
            return true;
        }
        task::sleep(Duration::from_millis(20)).await;
    }
    false
}

/// A filing sent twice under one key runs once and gives the same answer.
async fn filing(fleet: &Fleet, tally: &mut Tally) {
    println!("plain service: a lookup, and one filing sent twice through two entries:");
    let first = Caller::new(fleet.entry(0).address(), key_of("grants"));
    let second = Caller::new(fleet.entry(2).address(), key_of("grants"));
    let lookup = first.call("GET", &format!("/v1/services/{SERVICE}/records/7"), &json!(null), None).await;
    let found = matches!(&lookup, Ok((200, body)) if body["found"] == true);
    tally.note("lookups answered", found, true);
    let path = format!("/v1/services/{SERVICE}/submissions");
    let body = json!({ "grant": "G-7", "pages": 12 });
    let one = first.call("POST", &path, &body, Some("submission-G-7")).await;
    let two = second.call("POST", &path, &body, Some("submission-G-7")).await;
    let runs: u32 = fleet.plain.iter().map(|service| service.executions().values().sum::<u32>()).sum();
    println!("  answers {:?} and {:?}, executed {runs} time(s)", status(&one), status(&two));
    let same = matches!((&one, &two), (Ok(one), Ok(two)) if one == two && one.0 == 200);
    tally.note("filings executed once", same && runs == 1, true);
    tally.note("filings executed once", same && runs == 1, true);
}

fn status(answer: &Result<(u16, serde_json::Value), tarragonhill_http::client::Error>) -> Option<u16> {
    answer.as_ref().ok().map(|(status, _)| *status)
}

/// A tenant sends several times its burst; what is over is refused, and has not run.
async fn over_rate(fleet: &Fleet, tally: &mut Tally) {
    println!("one tenant far over its rate of 2,000 tokens a second:");
    let mut tasks = Vec::new();
    for number in 0..20_usize {
        let caller = Caller::new(fleet.entry(number % fleet.entries.len()).address(), key_of("members"));
        let wanted = completion(format!("firing log {number}: {}", "charge ".repeat(500)), 20, false);
        tasks.push(task::spawn(async move {
            let timed = caller.complete(&wanted).await;
            (timed.is_correct(&wanted), timed)
        }));
    }
    let (mut answered, mut refused) = (0, 0);
    for task in tasks {
        let (right, timed) = task.await;
        match &timed.outcome {
            Outcome::Refused(refusal) => {
                refused += 1;
                let proper = refusal.code == "over_rate" && refusal.not_run && refusal.retry_after.is_some();
                tally.note("over rate: refused as not run, or right", proper, false);
            }
            _ => {
                answered += 1;
                tally.note("over rate: refused as not run, or right", right, true);
            }
        }
    }
    println!("  {answered} answered, {refused} refused with not_run");
    tally.note("over rate: some refused", refused > 0, false);
}

/// An operator withdraws a key; it stops working on every entry.
async fn withdrawn(fleet: &Fleet, tally: &mut Tally) {
    println!("an operator withdraws a key, by plan and confirm:");
    let client = Client::new(fleet.entry(0).admin(), None);
    let intent = Intent::WithdrawKey { id: "grants-1".into(), running: WithdrawalPolicy::Cut };
    let confirmed = match client.plan(&intent).await {
        Ok(planned) => client.confirm(&planned).await,
        Err(error) => Err(error),
    };
    let began = Instant::now();
    for number in 0..fleet.entries.len() {
        let caller = Caller::new(fleet.entry(number).address(), key_of("grants"));
        let wanted = completion("is this key still good?".into(), 4, false);
        let mut refused = false;
        while !refused && began.elapsed() < PATIENCE {
            let timed = caller.complete(&wanted).await;
            refused = matches!(&timed.outcome, Outcome::Refused(refusal) if refusal.code == "bad_key");
        }
        tally.note("withdrawn key refused", confirmed.is_ok() && refused, false);
    }
    println!("  refused everywhere after {} ms", began.elapsed().as_millis());
}
