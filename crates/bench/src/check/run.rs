//! Carries one scenario out and records its history.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use async_std::task::{self, JoinHandle};
use serde_json::json;
use tarragonhill_core::{
    plan::Intent,
    settings::{Role, WithdrawalPolicy},
};
use tarragonhill_operator::Client;

use super::{
    history::{Call, Change, Confirmed, History, Sent, Shutdown},
    promise::Promise,
    scenario::{ENTRIES, Fault, Scenario, Step, TENANTS},
};
use crate::{
    caller::{Caller, Completion, Outcome, Refusal},
    fleet::{Fleet, FleetError, MODEL, SERVICE, Shape, Tenant, dump, key_of},
    sim::{POISON, decode, lock, prefill},
};

/// How long a fault lasts, if it ends by itself.
const FAULT: Duration = Duration::from_millis(1_200);
/// How often settings versions are sampled.
const SAMPLE: Duration = Duration::from_millis(200);
/// Longest wait for requests to end, and for memory to fall free afterwards.
const SETTLE: Duration = Duration::from_secs(12);
/// Rate and burst of each customer.
const LIMITS: (u64, u64) = (4_000, 6_000);

/// What is recorded while a run goes on.
struct Recorder {
    began: Instant,
    history: Mutex<History>,
    broken: Option<Promise>,
}

impl Recorder {
    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    fn note(&self, write: impl FnOnce(&mut History)) {
        write(&mut lock(&self.history));
    }
}

/// Runs a scenario with the defect `broken` planted, if any.
pub async fn run(scenario: &Scenario, broken: Option<Promise>) -> Result<History, FleetError> {
    let mut fleet = Fleet::start(shape()).await?;
    plant(&mut fleet, broken);
    let recorder = Arc::new(Recorder { began: Instant::now(), history: Mutex::default(), broken });
    let sampler = task::spawn(sample(recorder.clone(), admins(&fleet)));
    let mut calls = Vec::new();
    for (number, step) in scenario.0.iter().enumerate() {
        let call = carry_out(&mut fleet, &recorder, number, step).await?;
        calls.extend(call);
    }
    if let Some(promise) = broken {
        calls.extend(provoke(&mut fleet, &recorder, promise).await?);
    }
    for call in calls {
        call.await;
    }
    heal(&fleet);
    settle(&fleet).await;
    task::sleep(SAMPLE * 2).await;
    sampler.cancel().await;
    let mut history = std::mem::take(&mut *lock(&recorder.history));
    collect(&fleet, &recorder, &mut history);
    fleet.stop().await;
    Ok(history)
}

fn shape() -> Shape {
    let tenants = TENANTS.iter().map(|name| Tenant::new(name, LIMITS.0, LIMITS.1)).collect();
    Shape {
        entries: ENTRIES,
        prefill: 2,
        decode: 2,
        plain: 1,
        tenants,
        prefill_profile: prefill::Profile { tokens_per_s: 400_000, ..prefill::Profile::default() },
        decode_profile: decode::Profile {
            pieces: 24,
            step: Duration::from_millis(4),
            step_per_request: Duration::from_micros(200),
        },
        ..Shape::small()
    }
}

type Admins = Arc<Mutex<Vec<(String, std::net::SocketAddr)>>>;

fn admins(fleet: &Fleet) -> Admins {
    let admins = fleet.entries.iter().flatten().enumerate();
    Arc::new(Mutex::new(admins.map(|(number, entry)| (format!("entry-{number}"), entry.admin())).collect()))
}

async fn sample(recorder: Arc<Recorder>, admins: Admins) {
    loop {
        let known = lock(&admins).clone();
        for (name, admin) in known {
            let Some(dump) = dump(admin).await else { continue };
            let (Some(version), Some(process)) =
                (dump["settings_version"].as_u64(), dump["incarnation"].as_str())
            else {
                continue;
            };
            let at = recorder.now();
            recorder.note(|history| {
                history.versions.entry(format!("{name} {process}")).or_default().push((at, version));
            });
        }
        task::sleep(SAMPLE).await;
    }
}

async fn carry_out(
    fleet: &mut Fleet,
    recorder: &Arc<Recorder>,
    number: usize,
    step: &Step,
) -> Result<Option<JoinHandle<()>>, FleetError> {
    match step {
        Step::Complete { tenant, entry, tokens, stream } => {
            let prompt =
                format!("{} asks question {number}: {}", TENANTS[*tenant], "word ".repeat(number * 20));
            let completion = Completion { model: MODEL.into(), prompt, max_tokens: *tokens, stream: *stream };
            return Ok(complete(fleet, recorder, *tenant, *entry, completion));
        }
        Step::Poison { entry } => {
            let prompt = format!("question {number} {POISON}");
            let completion = Completion { model: MODEL.into(), prompt, max_tokens: 8, stream: false };
            return Ok(complete(fleet, recorder, 0, *entry, completion));
        }
        Step::Leave { tenant, entry } => return Ok(leave(fleet, *tenant, *entry, number)),
        Step::File { tenant, entry, key } => return Ok(file(fleet, recorder, *tenant, *entry, *key)),
        Step::Withdraw => withdraw(fleet, recorder).await,
        Step::Race => race(fleet, recorder, number).await,
        Step::Drain => drain(fleet, recorder).await,
        Step::Fail(fault) => fail(fleet, recorder, *fault).await?,
        Step::Pause(millis) => task::sleep(Duration::from_millis(*millis)).await,
    }
    Ok(None)
}

fn complete(
    fleet: &Fleet,
    recorder: &Arc<Recorder>,
    tenant: usize,
    entry: usize,
    completion: Completion,
) -> Option<JoinHandle<()>> {
    let caller = Caller::new(fleet.entries[entry].as_ref()?.address(), key_of(TENANTS[tenant]));
    let recorder = recorder.clone();
    Some(task::spawn(async move {
        let began = recorder.now();
        let timed = caller.complete(&completion).await;
        let request = request_of(&timed.outcome);
        record(&recorder, tenant, entry, Sent::Completion(completion), began, timed.outcome, request);
    }))
}

fn request_of(outcome: &Outcome) -> Option<String> {
    match outcome {
        Outcome::Refused(refused) => Some(refused.request.clone()),
        _ => None,
    }
}

fn record(
    recorder: &Recorder,
    tenant: usize,
    entry: usize,
    sent: Sent,
    began: Duration,
    outcome: Outcome,
    request: Option<String>,
) {
    let mut answers = vec![outcome];
    if recorder.broken == Some(Promise::OneAnswer) {
        answers.push(answers[0].clone());
    }
    let ended = recorder.now();
    let call = Call { tenant: TENANTS[tenant].into(), entry, sent, began, ended, answers, request };
    recorder.note(|history| history.calls.push(call));
}

fn leave(fleet: &Fleet, tenant: usize, entry: usize, number: usize) -> Option<JoinHandle<()>> {
    let caller = Caller::new(fleet.entries[entry].as_ref()?.address(), key_of(TENANTS[tenant]));
    let prompt = format!("{} leaves early, {number}", TENANTS[tenant]);
    let completion = Completion { model: MODEL.into(), prompt, max_tokens: 400, stream: true };
    Some(task::spawn(async move {
        let _ = caller.disconnect_after(&completion, 3).await;
    }))
}

fn file(
    fleet: &Fleet,
    recorder: &Arc<Recorder>,
    tenant: usize,
    entry: usize,
    key: usize,
) -> Option<JoinHandle<()>> {
    let caller = Caller::new(fleet.entries[entry].as_ref()?.address(), key_of(TENANTS[tenant]));
    let recorder = recorder.clone();
    let key = format!("{}/{key}", TENANTS[tenant]);
    Some(task::spawn(async move {
        let began = recorder.now();
        let body = json!({ "filing": key });
        let path = format!("/v1/services/{SERVICE}/filings");
        let answer = caller.call("POST", &path, &body, Some(&key)).await;
        let outcome = match answer {
            Ok((200, body)) => Outcome::Answered { text: body.to_string() },
            Ok((status, body)) => Outcome::Refused(Refusal::parse(status, &body, None)),
            Err(error) => Outcome::from(error),
        };
        let request = request_of(&outcome);
        let sent = Sent::Filing { key, body: body.to_string() };
        record(&recorder, tenant, entry, sent, began, outcome, request);
    }))
}

async fn change(fleet: &Fleet, recorder: &Recorder, intent: Intent, change: Change) {
    let Some(entry) = fleet.entries.iter().flatten().next() else { return };
    let client = Client::new(entry.admin(), None);
    let Ok(planned) = client.plan(&intent).await else { return };
    if let Ok(version) = client.confirm(&planned).await {
        let at = recorder.now();
        recorder.note(|history| history.confirmed.push(Confirmed { change, at, version }));
    }
}

async fn withdraw(fleet: &Fleet, recorder: &Recorder) {
    let tenant = TENANTS[TENANTS.len() - 1];
    let intent = Intent::WithdrawKey { id: format!("{tenant}-1").into(), running: WithdrawalPolicy::Cut };
    change(fleet, recorder, intent, Change::Withdrawn(tenant.into())).await;
}

async fn drain(fleet: &Fleet, recorder: &Recorder) {
    let intent = Intent::DrainHost { host: "host-decode-0".into() };
    change(fleet, recorder, intent, Change::Drained("decode-0".into())).await;
}

/// Two operators plan on one version and confirm at once; at most one may win.
async fn race(fleet: &Fleet, recorder: &Arc<Recorder>, number: usize) {
    let mut tasks = Vec::new();
    for (at, entry) in fleet.entries.iter().flatten().enumerate() {
        let client = Client::new(entry.admin(), None);
        let burst = LIMITS.1 - 1 - (number * ENTRIES + at) as u64;
        let intent = Intent::PutCustomer { name: TENANTS[1].into(), rate: LIMITS.0, burst, weight: 1 };
        let recorder = recorder.clone();
        tasks.push(task::spawn(async move {
            let Ok(planned) = client.plan(&intent).await else { return };
            if let Ok(version) = client.confirm(&planned).await {
                let at = recorder.now();
                let change = Change::Burst(burst);
                recorder.note(|history| history.confirmed.push(Confirmed { change, at, version }));
            }
        }));
    }
    for task in tasks {
        task.await;
    }
}

async fn fail(fleet: &mut Fleet, recorder: &Recorder, fault: Fault) -> Result<(), FleetError> {
    recorder.note(|history| *history.faults.entry(fault).or_insert(0) += 1);
    match fault {
        Fault::EntryRestarted => {
            if let Some(entry) = fleet.entries[0].take() {
                entry.kill().await;
            }
            fleet.entries[0] = Some(fleet.start_entry(0).await?);
        }
        Fault::EntryShutdown => {
            let began = recorder.now();
            recorder.note(|history| history.shutdowns.push(Shutdown { entry: 1, began }));
            if let Some(entry) = fleet.entries[1].take() {
                match recorder.broken {
                    Some(Promise::ShutdownCutsNothing) => entry.kill().await,
                    _ => entry.shutdown().await,
                }
            }
            fleet.entries[1] = Some(fleet.start_entry(1).await?);
        }
        Fault::AgentKilled => {
            if let Some(agent) = fleet.agents.remove("decode-1") {
                agent.kill().await;
            }
        }
        Fault::DecodeCrash => for_a_while(&fleet.decode[0].faults, |faults, on| faults.set_down(on)),
        Fault::PrefillCrash => for_a_while(&fleet.prefill[0].faults, |faults, on| faults.set_down(on)),
        Fault::DecodeSilent => for_a_while(&fleet.decode[0].faults, |faults, on| faults.set_unresponsive(on)),
        Fault::TransferStalled => for_a_while(&fleet.prefill[0].faults, |faults, on| {
            faults.set_delay(if on { Duration::from_millis(900) } else { Duration::ZERO });
        }),
        Fault::TableDown => for_a_while(&fleet.table.faults, |faults, on| faults.set_down(on)),
        Fault::TableSlow => for_a_while(&fleet.table.faults, |faults, on| {
            faults.set_delay(if on { Duration::from_millis(400) } else { Duration::ZERO });
        }),
        Fault::TableLosesAnswers => {
            for_a_while(&fleet.table.faults, |faults, on| faults.set_loss_rate(if on { 500 } else { 0 }));
        }
        Fault::ServiceLosesAnswers => {
            for_a_while(&fleet.plain[0].faults, |faults, on| faults.set_loss_rate(if on { 500 } else { 0 }));
        }
    }
    Ok(())
}

fn for_a_while(faults: &Arc<crate::sim::Faults>, set: fn(&crate::sim::Faults, bool)) {
    let faults = faults.clone();
    set(&faults, true);
    task::spawn(async move {
        task::sleep(FAULT).await;
        set(&faults, false);
    });
}

fn heal(fleet: &Fleet) {
    let engines = fleet.prefill.iter().map(|engine| &engine.faults);
    let all = engines.chain(fleet.decode.iter().map(|engine| &engine.faults)).chain([&fleet.table.faults]);
    for faults in all {
        faults.set_down(false);
        faults.set_unresponsive(false);
        faults.set_delay(Duration::ZERO);
    }
}

/// Waits until the engines' memory is free, or until it has had time enough.
async fn settle(fleet: &Fleet) {
    let began = Instant::now();
    while began.elapsed() < SETTLE && fleet.decode.iter().any(|engine| engine.memory().0 > 0) {
        task::sleep(Duration::from_millis(50)).await;
    }
}

fn collect(fleet: &Fleet, recorder: &Recorder, history: &mut History) {
    history.ended = recorder.now();
    history.pieces_left = fleet.decode.iter().map(|engine| engine.memory().0).sum();
    for tenant in TENANTS {
        history.limits.insert(tenant.into(), LIMITS);
    }
    for service in &fleet.plain {
        for execution in service.log() {
            history.key_seen |= execution.has_authorization;
            history.executed.insert(execution.request);
            history.filings.entry(execution.idempotency_key).or_default().push(execution.customer);
        }
    }
    let engines = fleet.prefill.iter().map(|engine| (Role::Prefill, &engine.starts));
    for (number, (role, starts)) in engines.enumerate() {
        collect_starts(recorder, history, &format!("{role}-{number}"), starts);
    }
    for (number, engine) in fleet.decode.iter().enumerate() {
        collect_starts(recorder, history, &format!("{}-{number}", Role::Decode), &engine.starts);
    }
}

fn collect_starts(recorder: &Recorder, history: &mut History, name: &str, starts: &crate::sim::StartLog) {
    for (at, work) in starts.all() {
        let request = work.split('-').next().unwrap_or_default().to_owned();
        history.executed.insert(request);
        let at = at.saturating_duration_since(recorder.began);
        history.starts.entry(name.to_owned()).or_default().push(at);
    }
}

/// Plants a defect where the promise's own guard cannot see it.
fn plant(fleet: &mut Fleet, broken: Option<Promise>) {
    match broken {
        Some(Promise::MemoryFreed) => fleet.decode.iter().for_each(|engine| engine.faults.set_defect(true)),
        Some(Promise::WholeAnswer) => {
            fleet.decode.iter().for_each(|engine| engine.faults.set_wrong_output(true))
        }
        Some(Promise::AtMostOnce) => fleet.plain.iter().for_each(|service| service.faults.set_defect(true)),
        Some(Promise::KeyHonoured) => {
            let key = format!("settings/key/{}", tarragonhill_core::settings::digest(&key_of(TENANTS[0])));
            let value = json!({ "id": "crossed", "customer": TENANTS[1] });
            fleet.table.put([(key, value), ("settings/version".into(), json!(2))]);
        }
        Some(Promise::WithinRate) => {
            let value = json!({ "rate": LIMITS.0 * 50, "burst": LIMITS.1 * 50 });
            fleet.table.put([
                (format!("settings/customer/{}", TENANTS[0]), value),
                ("settings/version".into(), json!(2)),
            ]);
        }
        _ => {}
    }
}

/// Makes sure that the planted defect gets its occasion, whatever the scenario holds.
async fn provoke(
    fleet: &mut Fleet,
    recorder: &Arc<Recorder>,
    promise: Promise,
) -> Result<Vec<JoinHandle<()>>, FleetError> {
    // Whatever the scenario has broken must not hide the defect.
    heal(fleet);
    task::sleep(FAULT * 2).await;
    let mut calls = Vec::new();
    let completion = |words: usize, tokens: u32| Completion {
        model: MODEL.into(),
        prompt: format!("provoked: {}", "word ".repeat(words)),
        max_tokens: tokens,
        stream: true,
    };
    match promise {
        Promise::MemoryFreed => calls.extend(leave(fleet, 0, 1, 1_000)),
        Promise::OneAnswer | Promise::WholeAnswer => {
            calls.extend(complete(fleet, recorder, 0, 1, completion(1, 8)))
        }
        Promise::KeyHonoured | Promise::AtMostOnce => {
            // Several, since the scenario may have spent what the customer has.
            for key in 0..8 {
                calls.extend(file(fleet, recorder, 0, 1, 9 + key));
                task::sleep(FAULT / 2).await;
            }
        }
        Promise::WithinRate => {
            for number in 0..8 {
                calls.extend(complete(fleet, recorder, 0, 1, completion(2_000 + number, 4)));
            }
        }
        Promise::NotRunTrue => lie(recorder),
        Promise::LeavingLeftAlone => {
            let (change, at) = (Change::Drained("prefill-0".into()), Duration::ZERO);
            recorder.note(|history| history.confirmed.push(Confirmed { change, at, version: 0 }));
            task::sleep(Duration::from_secs(8)).await;
            for number in 0..12 {
                calls.extend(complete(fleet, recorder, 1, 1, completion(number, 2)));
            }
        }
        Promise::ShutdownCutsNothing => {
            calls.extend(complete(fleet, recorder, 0, 1, completion(1, 400)));
            task::sleep(Duration::from_millis(300)).await;
            fail(fleet, recorder, Fault::EntryShutdown).await?;
        }
        Promise::SettingsStand => recorder.note(|history| {
            let at = recorder.began.elapsed();
            history.versions.insert("planted".into(), vec![(at, 7), (at, 6)]);
        }),
    }
    Ok(calls)
}

/// Records a refusal that claims "not run" for a request that an engine ran.
fn lie(recorder: &Recorder) {
    let refused = Refusal {
        status: 503,
        code: "overloaded".into(),
        not_run: true,
        retry_after: None,
        request: "planted".into(),
    };
    let completion =
        Completion { model: MODEL.into(), prompt: "planted".into(), max_tokens: 1, stream: false };
    let now = recorder.now();
    record(
        recorder,
        0,
        0,
        Sent::Completion(completion),
        now,
        Outcome::Refused(refused),
        Some("planted".into()),
    );
    recorder.note(|history| {
        history.executed.insert("planted".into());
    });
}
