//! A decode engine: imports KV cache into limited memory and streams tokens from it.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::task;
use tarragonhill_core::settings::pieces;
use tarragonhill_engine::protocol::{Decode, Export, Line};
use tarragonhill_http::{
    Sender,
    client::{Pool, Request},
    server::{Inbound, Outbound},
};

use super::{CRASHING, Listening, Starts, Switches, body, length, lock, token};

/// Longest wait for an export.
const IMPORT: Duration = Duration::from_secs(5);

/// What a decode engine can do.
#[derive(Clone, Copy, Debug)]
pub struct Power {
    /// Memory, pieces.
    pub pieces: u32,
    /// Time between tokens of a lone request.
    pub step: Duration,
    /// Added to the step for each other request.
    pub step_each: Duration,
}

impl Default for Power {
    fn default() -> Self {
        Self { pieces: 44, step: Duration::from_millis(24), step_each: Duration::from_millis(1) }
    }
}

#[derive(Debug, Default)]
struct State {
    /// Pieces by work, with whether it was cancelled.
    memory: BTreeMap<String, (u32, bool)>,
    used: u32,
    /// Goes up with every crash of the process; work of an earlier one is gone.
    process: u64,
}

impl State {
    fn take(&mut self, id: &str, need: u32, capacity: u32) -> bool {
        if self.used + need > capacity || self.memory.contains_key(id) {
            return false;
        }
        self.memory.insert(id.to_owned(), (need, false));
        self.used += need;
        true
    }

    fn free(&mut self, id: &str) {
        if let Some((need, _)) = self.memory.remove(id) {
            self.used -= need;
        }
    }
}

/// Counts of one engine.
#[derive(Debug, Default)]
pub struct Counts {
    /// Prompt tokens imported.
    pub imported: AtomicU64,
    /// Tokens generated.
    pub tokens: AtomicU64,
    /// Imports that found no memory.
    pub full: AtomicU64,
    /// Imports whose result was gone.
    pub evicted: AtomicU64,
}

/// The engine.
#[derive(Debug)]
pub struct Engine {
    /// Failure switches.
    pub switches: Arc<Switches>,
    /// What it did.
    pub counts: Arc<Counts>,
    /// When it began which decode.
    pub starts: Arc<Starts>,
    listening: Listening,
    state: Arc<Mutex<State>>,
}

impl Engine {
    /// Starts an idle engine.
    pub async fn start(power: Power) -> std::io::Result<Self> {
        let switches = Arc::new(Switches::default());
        let counts: Arc<Counts> = Arc::default();
        let state: Arc<Mutex<State>> = Arc::default();
        let pool: Arc<Pool> = Arc::default();
        let starts: Arc<Starts> = Arc::default();
        let shared = (state.clone(), counts.clone(), starts.clone(), switches.clone(), pool);
        let listening = Listening::start(switches.clone(), move |inbound| {
            let (state, counts, starts, switches, pool) = shared.clone();
            async move { answer(Running { state, counts, starts, switches, pool, power }, inbound) }
        })
        .await?;
        Ok(Self { switches, counts, starts, listening, state })
    }

    /// Where it listens.
    pub fn address(&self) -> std::net::SocketAddr {
        self.listening.address
    }

    /// Pieces in use, and requests that use them.
    pub fn memory(&self) -> (u32, usize) {
        let state = lock(&self.state);
        (state.used, state.memory.len())
    }
}

#[derive(Clone)]
struct Running {
    state: Arc<Mutex<State>>,
    counts: Arc<Counts>,
    starts: Arc<Starts>,
    switches: Arc<Switches>,
    pool: Arc<Pool>,
    power: Power,
}

fn answer(running: Running, inbound: Inbound) -> Outbound {
    match (inbound.method.as_str(), inbound.path.as_str()) {
        ("POST", "/decode") => match body(&inbound) {
            Ok(work) => decode(running, work),
            Err(outbound) => outbound,
        },
        ("POST", "/serve") => Outbound::text(200, "serving"),
        ("DELETE", path) => {
            let id = path.strip_prefix("/work/").unwrap_or_default();
            let mut state = lock(&running.state);
            if let Some((_, cancelled)) = state.memory.get_mut(id) {
                *cancelled = true;
            }
            if !running.switches.has_defect() {
                state.free(id);
            }
            Outbound::text(200, "cancelled")
        }
        _ => Outbound::text(404, "no such path"),
    }
}

fn decode(running: Running, work: Decode) -> Outbound {
    let (outbound, sender) = Outbound::stream(200, "application/x-ndjson");
    task::spawn(async move {
        let need = pieces(work.prompt_tokens + work.max_tokens);
        if !lock(&running.state).take(&work.id, need, running.power.pieces) {
            running.counts.full.fetch_add(1, Ordering::Relaxed);
            let _ = send(&sender, &Line::Full).await;
            return;
        }
        running.starts.note(&work.id);
        run(&running, &work, &sender).await;
        if !running.switches.has_defect() {
            lock(&running.state).free(&work.id);
        }
    });
    outbound
}

async fn run(running: &Running, work: &Decode, sender: &Sender) {
    let Some(mut export) = import(running, work).await else {
        running.counts.evicted.fetch_add(1, Ordering::Relaxed);
        let _ = send(sender, &Line::Evicted).await;
        return;
    };
    running.counts.imported.fetch_add(export.prompt_tokens.into(), Ordering::Relaxed);
    if export.content == CRASHING {
        lock(&running.state).process += 1;
    }
    if running.switches.is_crossed() {
        export.content = !export.content;
    }
    if !send(sender, &Line::Imported).await {
        return;
    }
    let total = length(export.content, work.max_tokens);
    let mut due = Instant::now();
    let process = lock(&running.state).process;
    for index in work.from_index..total {
        due += step(running);
        task::sleep(due.saturating_duration_since(Instant::now())).await;
        let crashed = lock(&running.state).process != process;
        if crashed || running.switches.is_down() || export.content == CRASHING {
            let _ = sender.send(Err(std::io::Error::other("engine crashed"))).await;
            return;
        }
        let line = Line::Token { index, text: token(export.content, index).into() };
        let cancelled = !lock(&running.state).memory.contains_key(&work.id);
        if cancelled || !send(sender, &line).await {
            return;
        }
        running.counts.tokens.fetch_add(1, Ordering::Relaxed);
    }
    // Memory is free before the caller hears of the end, so that the next import finds it.
    lock(&running.state).free(&work.id);
    let _ = send(sender, &Line::End { total }).await;
}

fn step(running: &Running) -> Duration {
    let others = lock(&running.state).memory.len().saturating_sub(1);
    running.power.step + running.power.step_each * u32::try_from(others).unwrap_or(u32::MAX)
}

async fn import(running: &Running, work: &Decode) -> Option<Export> {
    let address = work.source.parse().ok()?;
    let call = Request::get(format!("/export/{}", work.kv));
    let answer = running.pool.send(address, call, IMPORT).await.ok()?;
    if answer.status() != 200 {
        let _ = answer.bytes().await;
        return None;
    }
    answer.json().await.ok()
}

async fn send(sender: &Sender, line: &Line) -> bool {
    let mut text = serde_json::to_vec(line).unwrap_or_default();
    text.push(b'\n');
    sender.send(Ok(text)).await.is_ok()
}
