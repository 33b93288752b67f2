//! Runs one scenario on a fleet and records its history.

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
    history::{Call, Change, Confirmation, History, Payload, Shutdown},
    invariant::Invariant,
    scenario::{CUSTOMERS, ENTRIES, Fault, Scenario, Step},
};
use crate::{
    caller::{Caller, Completion, Outcome, Refusal},
    fleet::{Customer, Fleet, FleetError, MODEL, SERVICE, Shape, fetch_dump, key_of},
    sim::{POISON, decode, lock, prefill},
};

/// Duration of temporary faults.
const FAULT_DURATION: Duration = Duration::from_millis(1_200);
/// Interval between samples of the settings versions.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum wait for the decode engines to free their memory at the end of a run.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(12);
/// Rate (tokens per second) and burst (tokens) of each customer.
const CUSTOMER_LIMITS: (u64, u64) = (4_000, 6_000);

/// History of the run in progress.
struct Recorder {
    began: Instant,
    history: Mutex<History>,
    /// Invariant whose defect is injected.
    defect: Option<Invariant>,
}

impl Recorder {
    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    fn update(&self, write: impl FnOnce(&mut History)) {
        write(&mut lock(&self.history));
    }
}

/// Runs `scenario`, with the defect that violates `defect` if one is given, and returns its history.
pub async fn run(scenario: &Scenario, defect: Option<Invariant>) -> Result<History, FleetError> {
    let mut fleet = Fleet::start(fleet_shape()).await?;
    inject_defect(&mut fleet, defect);
    let recorder = Arc::new(Recorder { began: Instant::now(), history: Mutex::default(), defect });
    let sampler = task::spawn(sample_versions(recorder.clone(), admin_addresses(&fleet)));
    let mut calls = Vec::new();
    for (number, step) in scenario.0.iter().enumerate() {
        let call = execute_step(&mut fleet, &recorder, number, step).await?;
        calls.extend(call);
    }
    if let Some(invariant) = defect {
        calls.extend(trigger_defect(&mut fleet, &recorder, invariant).await?);
    }
    for call in calls {
        call.await;
    }
    clear_faults(&fleet);
    wait_for_free_memory(&fleet).await;
    task::sleep(SAMPLE_INTERVAL * 2).await;
    sampler.cancel().await;
    let mut history = std::mem::take(&mut *lock(&recorder.history));
    collect(&fleet, &recorder, &mut history);
    fleet.stop().await;
    Ok(history)
}

fn fleet_shape() -> Shape {
    let customers =
        CUSTOMERS.iter().map(|name| Customer::new(name, CUSTOMER_LIMITS.0, CUSTOMER_LIMITS.1)).collect();
    Shape {
        entries: ENTRIES,
        prefill: 2,
        decode: 2,
        plain: 1,
        customers,
        prefill_profile: prefill::Profile { tokens_per_s: 400_000, ..prefill::Profile::default() },
        decode_profile: decode::Profile {
            pieces: 24,
            step: Duration::from_millis(4),
            step_per_request: Duration::from_micros(200),
        },
        ..Shape::small()
    }
}

type AdminAddresses = Arc<Mutex<Vec<(String, std::net::SocketAddr)>>>;

fn admin_addresses(fleet: &Fleet) -> AdminAddresses {
    let entries = fleet.entries.iter().flatten().enumerate();
    Arc::new(Mutex::new(entries.map(|(number, entry)| (format!("entry-{number}"), entry.admin())).collect()))
}

async fn sample_versions(recorder: Arc<Recorder>, admin_addresses: AdminAddresses) {
    loop {
        let known = lock(&admin_addresses).clone();
        for (name, admin) in known {
            let Some(dump) = fetch_dump(admin).await else { continue };
            let (Some(version), Some(process)) =
                (dump["settings_version"].as_u64(), dump["incarnation"].as_str())
            else {
                continue;
            };
            let at = recorder.now();
            recorder.update(|history| {
                history.versions.entry(format!("{name} {process}")).or_default().push((at, version));
            });
        }
        task::sleep(SAMPLE_INTERVAL).await;
    }
}

async fn execute_step(
    fleet: &mut Fleet,
    recorder: &Arc<Recorder>,
    number: usize,
    step: &Step,
) -> Result<Option<JoinHandle<()>>, FleetError> {
    match step {
        Step::Complete { customer, entry, tokens, stream } => {
            let prompt =
                format!("{} asks question {number}: {}", CUSTOMERS[*customer], "word ".repeat(number * 20));
            let completion = Completion { model: MODEL.into(), prompt, max_tokens: *tokens, stream: *stream };
            return Ok(complete(fleet, recorder, *customer, *entry, completion));
        }
        Step::Poison { entry } => {
            let prompt = format!("question {number} {POISON}");
            let completion = Completion { model: MODEL.into(), prompt, max_tokens: 8, stream: false };
            return Ok(complete(fleet, recorder, 0, *entry, completion));
        }
        Step::Disconnect { customer, entry } => return Ok(disconnect(fleet, *customer, *entry, number)),
        Step::Submit { customer, entry, key } => return Ok(submit(fleet, recorder, *customer, *entry, *key)),
        Step::Withdraw => withdraw_key(fleet, recorder).await,
        Step::Race => change_concurrently(fleet, recorder, number).await,
        Step::Drain => drain_host(fleet, recorder).await,
        Step::Inject(fault) => inject_fault(fleet, recorder, *fault).await?,
        Step::Pause(millis) => task::sleep(Duration::from_millis(*millis)).await,
    }
    Ok(None)
}

fn complete(
    fleet: &Fleet,
    recorder: &Arc<Recorder>,
    customer: usize,
    entry: usize,
    completion: Completion,
) -> Option<JoinHandle<()>> {
    let caller = Caller::new(fleet.entries[entry].as_ref()?.address(), key_of(CUSTOMERS[customer]));
    let recorder = recorder.clone();
    Some(task::spawn(async move {
        let began = recorder.now();
        let timed = caller.complete(&completion).await;
        let request = request_of(&timed.outcome);
        record(&recorder, customer, entry, Payload::Completion(completion), began, timed.outcome, request);
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
    customer: usize,
    entry: usize,
    payload: Payload,
    began: Duration,
    outcome: Outcome,
    request: Option<String>,
) {
    let mut answers = vec![outcome];
    if recorder.defect == Some(Invariant::OneAnswer) {
        answers.push(answers[0].clone());
    }
    let ended = recorder.now();
    let call = Call { customer: CUSTOMERS[customer].into(), entry, payload, began, ended, answers, request };
    recorder.update(|history| history.calls.push(call));
}

fn disconnect(fleet: &Fleet, customer: usize, entry: usize, number: usize) -> Option<JoinHandle<()>> {
    let caller = Caller::new(fleet.entries[entry].as_ref()?.address(), key_of(CUSTOMERS[customer]));
    let prompt = format!("{} leaves early, {number}", CUSTOMERS[customer]);
    let completion = Completion { model: MODEL.into(), prompt, max_tokens: 400, stream: true };
    Some(task::spawn(async move {
        let _ = caller.disconnect_after(&completion, 3).await;
    }))
}

fn submit(
    fleet: &Fleet,
    recorder: &Arc<Recorder>,
    customer: usize,
    entry: usize,
    key: usize,
) -> Option<JoinHandle<()>> {
    let caller = Caller::new(fleet.entries[entry].as_ref()?.address(), key_of(CUSTOMERS[customer]));
    let recorder = recorder.clone();
    let key = format!("{}/{key}", CUSTOMERS[customer]);
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
        let payload = Payload::Submission { key, body: body.to_string() };
        record(&recorder, customer, entry, payload, began, outcome, request);
    }))
}

async fn confirm_change(fleet: &Fleet, recorder: &Recorder, intent: Intent, change: Change) {
    let Some(entry) = fleet.entries.iter().flatten().next() else { return };
    let client = Client::new(entry.admin(), None);
    let Ok(planned) = client.plan(&intent).await else { return };
    if let Ok(version) = client.confirm(&planned).await {
        let at = recorder.now();
        recorder.update(|history| history.confirmations.push(Confirmation { change, at, version }));
    }
}

async fn withdraw_key(fleet: &Fleet, recorder: &Recorder) {
    let customer = CUSTOMERS[CUSTOMERS.len() - 1];
    let intent = Intent::WithdrawKey { id: format!("{customer}-1").into(), running: WithdrawalPolicy::Cut };
    confirm_change(fleet, recorder, intent, Change::Withdrawn(customer.into())).await;
}

async fn drain_host(fleet: &Fleet, recorder: &Recorder) {
    let intent = Intent::DrainHost { host: "host-decode-0".into() };
    confirm_change(fleet, recorder, intent, Change::Drained("decode-0".into())).await;
}

/// Plans and confirms a change through each entry concurrently. Of the changes planned on the same settings
/// version, at most one may be confirmed.
async fn change_concurrently(fleet: &Fleet, recorder: &Arc<Recorder>, number: usize) {
    let mut tasks = Vec::new();
    for (index, entry) in fleet.entries.iter().flatten().enumerate() {
        let client = Client::new(entry.admin(), None);
        let burst = CUSTOMER_LIMITS.1 - 1 - (number * ENTRIES + index) as u64;
        let intent =
            Intent::PutCustomer { name: CUSTOMERS[1].into(), rate: CUSTOMER_LIMITS.0, burst, weight: 1 };
        let recorder = recorder.clone();
        tasks.push(task::spawn(async move {
            let Ok(planned) = client.plan(&intent).await else { return };
            if let Ok(version) = client.confirm(&planned).await {
                let at = recorder.now();
                let change = Change::Burst(burst);
                recorder.update(|history| history.confirmations.push(Confirmation { change, at, version }));
            }
        }));
    }
    for task in tasks {
        task.await;
    }
}

async fn inject_fault(fleet: &mut Fleet, recorder: &Recorder, fault: Fault) -> Result<(), FleetError> {
    recorder.update(|history| *history.faults.entry(fault).or_insert(0) += 1);
    match fault {
        Fault::EntryRestarted => {
            if let Some(entry) = fleet.entries[0].take() {
                entry.kill().await;
            }
            fleet.entries[0] = Some(fleet.start_entry(0).await?);
        }
        Fault::EntryShutdown => {
            let began = recorder.now();
            recorder.update(|history| history.shutdowns.push(Shutdown { entry: 1, began }));
            if let Some(entry) = fleet.entries[1].take() {
                match recorder.defect {
                    Some(Invariant::ShutdownCutsNothing) => entry.kill().await,
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
        Fault::DecodeCrash => set_briefly(&fleet.decode[0].faults, |faults, on| faults.set_down(on)),
        Fault::PrefillCrash => set_briefly(&fleet.prefill[0].faults, |faults, on| faults.set_down(on)),
        Fault::DecodeSilent => set_briefly(&fleet.decode[0].faults, |faults, on| faults.set_unresponsive(on)),
        Fault::TransferStalled => set_briefly(&fleet.prefill[0].faults, |faults, on| {
            faults.set_delay(if on { Duration::from_millis(900) } else { Duration::ZERO });
        }),
        Fault::TableDown => set_briefly(&fleet.table.faults, |faults, on| faults.set_down(on)),
        Fault::TableSlow => set_briefly(&fleet.table.faults, |faults, on| {
            faults.set_delay(if on { Duration::from_millis(400) } else { Duration::ZERO });
        }),
        Fault::TableLosesAnswers => {
            set_briefly(&fleet.table.faults, |faults, on| faults.set_loss_rate(if on { 500 } else { 0 }));
        }
        Fault::ServiceLosesAnswers => {
            set_briefly(&fleet.plain[0].faults, |faults, on| faults.set_loss_rate(if on { 500 } else { 0 }));
        }
    }
    Ok(())
}

fn set_briefly(faults: &Arc<crate::sim::Faults>, set: fn(&crate::sim::Faults, bool)) {
    let faults = faults.clone();
    set(&faults, true);
    task::spawn(async move {
        task::sleep(FAULT_DURATION).await;
        set(&faults, false);
    });
}

fn clear_faults(fleet: &Fleet) {
    let engines = fleet.prefill.iter().map(|engine| &engine.faults);
    let all = engines.chain(fleet.decode.iter().map(|engine| &engine.faults)).chain([&fleet.table.faults]);
    for faults in all {
        faults.set_down(false);
        faults.set_unresponsive(false);
        faults.set_delay(Duration::ZERO);
    }
}

/// Waits up to [`SETTLE_TIMEOUT`] until the decode engines have freed their memory.
async fn wait_for_free_memory(fleet: &Fleet) {
    let began = Instant::now();
    while began.elapsed() < SETTLE_TIMEOUT && fleet.decode.iter().any(|engine| engine.memory().0 > 0) {
        task::sleep(Duration::from_millis(50)).await;
    }
}

fn collect(fleet: &Fleet, recorder: &Recorder, history: &mut History) {
    history.ended = recorder.now();
    history.pieces_in_use = fleet.decode.iter().map(|engine| engine.memory().0).sum();
    for customer in CUSTOMERS {
        history.limits.insert(customer.into(), CUSTOMER_LIMITS);
    }
    for service in &fleet.plain {
        for execution in service.executions() {
            history.is_key_exposed |= execution.has_authorization;
            history.executed.insert(execution.request);
            history.submissions.entry(execution.idempotency_key).or_default().push(execution.customer);
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

/// Injects a defect that the router cannot detect, so that only the checker can.
fn inject_defect(fleet: &mut Fleet, defect: Option<Invariant>) {
    match defect {
        Some(Invariant::MemoryFreed) => fleet.decode.iter().for_each(|engine| engine.faults.set_defect(true)),
        Some(Invariant::WholeAnswer) => {
            fleet.decode.iter().for_each(|engine| engine.faults.set_wrong_output(true))
        }
        Some(Invariant::AtMostOnce) => fleet.plain.iter().for_each(|service| service.faults.set_defect(true)),
        Some(Invariant::KeyHonoured) => {
            let key = format!("settings/key/{}", tarragonhill_core::settings::digest(&key_of(CUSTOMERS[0])));
            let value = json!({ "id": "crossed", "customer": CUSTOMERS[1] });
            fleet.table.put([(key, value), ("settings/version".into(), json!(2))]);
        }
        Some(Invariant::WithinRate) => {
            let value = json!({ "rate": CUSTOMER_LIMITS.0 * 50, "burst": CUSTOMER_LIMITS.1 * 50 });
            fleet.table.put([
                (format!("settings/customer/{}", CUSTOMERS[0]), value),
                ("settings/version".into(), json!(2)),
            ]);
        }
        _ => {}
    }
}

/// Sends requests or records events that make the injected defect visible in the history, whatever the
/// scenario.
async fn trigger_defect(
    fleet: &mut Fleet,
    recorder: &Arc<Recorder>,
    invariant: Invariant,
) -> Result<Vec<JoinHandle<()>>, FleetError> {
    // Faults of the scenario must not hide the defect.
    clear_faults(fleet);
    task::sleep(FAULT_DURATION * 2).await;
    let mut calls = Vec::new();
    let completion = |words: usize, tokens: u32| Completion {
        model: MODEL.into(),
        prompt: format!("provoked: {}", "word ".repeat(words)),
        max_tokens: tokens,
        stream: true,
    };
    match invariant {
        Invariant::MemoryFreed => calls.extend(disconnect(fleet, 0, 1, 1_000)),
        Invariant::OneAnswer | Invariant::WholeAnswer => {
            calls.extend(complete(fleet, recorder, 0, 1, completion(1, 8)))
        }
        Invariant::KeyHonoured | Invariant::AtMostOnce => {
            // Some may be refused if the scenario has used up the customer's rate tokens.
            for key in 0..8 {
                calls.extend(submit(fleet, recorder, 0, 1, 9 + key));
                task::sleep(FAULT_DURATION / 2).await;
            }
        }
        Invariant::WithinRate => {
            for number in 0..8 {
                calls.extend(complete(fleet, recorder, 0, 1, completion(2_000 + number, 4)));
            }
        }
        Invariant::NotRunTrue => record_false_refusal(recorder),
        Invariant::LeavingLeftAlone => {
            let (change, at) = (Change::Drained("prefill-0".into()), Duration::ZERO);
            recorder.update(|history| history.confirmations.push(Confirmation { change, at, version: 0 }));
            task::sleep(Duration::from_secs(8)).await;
            for number in 0..12 {
                calls.extend(complete(fleet, recorder, 1, 1, completion(number, 2)));
            }
        }
        Invariant::ShutdownCutsNothing => {
            calls.extend(complete(fleet, recorder, 0, 1, completion(1, 400)));
            task::sleep(Duration::from_millis(300)).await;
            inject_fault(fleet, recorder, Fault::EntryShutdown).await?;
        }
        Invariant::SettingsStand => recorder.update(|history| {
            let at = recorder.began.elapsed();
            history.versions.insert("injected".into(), vec![(at, 7), (at, 6)]);
        }),
    }
    Ok(calls)
}

/// Records a refusal with `not_run` for a request that was executed.
fn record_false_refusal(recorder: &Recorder) {
    let refused = Refusal {
        status: 503,
        code: "overloaded".into(),
        not_run: true,
        retry_after: None,
        request: "injected".into(),
    };
    let completion =
        Completion { model: MODEL.into(), prompt: "injected".into(), max_tokens: 1, stream: false };
    let now = recorder.now();
    record(
        recorder,
        0,
        0,
        Payload::Completion(completion),
        now,
        Outcome::Refused(refused),
        Some("injected".into()),
    );
    recorder.update(|history| {
        history.executed.insert("injected".into());
    });
}
