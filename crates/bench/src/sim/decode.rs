//! A simulated decode engine: imports KV cache into limited memory and streams tokens.

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

use super::{CRASHING_CONTENT, Faults, Listener, StartLog, lock, output_length, output_token, parse_body};

/// Timeout for fetching KV cache from a prefill engine.
const IMPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Memory and speed of a decode engine.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// Memory, in pieces.
    pub pieces: u32,
    /// Time between tokens if one request runs.
    pub step: Duration,
    /// Addition to `step` for each further request.
    pub step_per_request: Duration,
}

impl Default for Profile {
    fn default() -> Self {
        Self { pieces: 44, step: Duration::from_millis(24), step_per_request: Duration::from_millis(1) }
    }
}

#[derive(Debug, Default)]
struct State {
    /// Pieces held by each work id, and whether the work was cancelled.
    memory: BTreeMap<String, (u32, bool)>,
    used: u32,
    /// Number of crashes; work that started before a crash fails.
    crash_count: u64,
}

impl State {
    fn allocate(&mut self, id: &str, needed: u32, capacity: u32) -> bool {
        if self.used + needed > capacity || self.memory.contains_key(id) {
            return false;
        }
        self.memory.insert(id.to_owned(), (needed, false));
        self.used += needed;
        true
    }

    fn free(&mut self, id: &str) {
        if let Some((needed, _)) = self.memory.remove(id) {
            self.used -= needed;
        }
    }
}

/// Counters of one engine.
#[derive(Debug, Default)]
pub struct Counts {
    /// Prompt tokens imported.
    pub imported: AtomicU64,
    /// Tokens generated.
    pub tokens: AtomicU64,
    /// Requests refused for lack of memory.
    pub full: AtomicU64,
    /// Imports that failed, for example because the prefill result was evicted.
    pub evicted: AtomicU64,
}

/// A running decode engine.
#[derive(Debug)]
pub struct Engine {
    /// Injected faults.
    pub faults: Arc<Faults>,
    /// Counters.
    pub counts: Arc<Counts>,
    /// Start times of decodes.
    pub starts: Arc<StartLog>,
    listener: Listener,
    state: Arc<Mutex<State>>,
}

impl Engine {
    /// Starts an idle engine.
    pub async fn start(profile: Profile) -> std::io::Result<Self> {
        let faults = Arc::new(Faults::default());
        let counts: Arc<Counts> = Arc::default();
        let state: Arc<Mutex<State>> = Arc::default();
        let pool: Arc<Pool> = Arc::default();
        let starts: Arc<StartLog> = Arc::default();
        let shared = (state.clone(), counts.clone(), starts.clone(), faults.clone(), pool);
        let listener = Listener::start(faults.clone(), move |inbound| {
            let (state, counts, starts, faults, pool) = shared.clone();
            async move { handle(Context { state, counts, starts, faults, pool, profile }, inbound) }
        })
        .await?;
        Ok(Self { faults, counts, starts, listener, state })
    }

    /// Returns the local address.
    pub fn address(&self) -> std::net::SocketAddr {
        self.listener.address
    }

    /// Returns the pieces in use and the number of requests that hold them.
    pub fn memory(&self) -> (u32, usize) {
        let state = lock(&self.state);
        (state.used, state.memory.len())
    }
}

#[derive(Clone)]
struct Context {
    state: Arc<Mutex<State>>,
    counts: Arc<Counts>,
    starts: Arc<StartLog>,
    faults: Arc<Faults>,
    pool: Arc<Pool>,
    profile: Profile,
}

fn handle(context: Context, inbound: Inbound) -> Outbound {
    match (inbound.method.as_str(), inbound.path.as_str()) {
        ("POST", "/decode") => match parse_body(&inbound) {
            Ok(work) => decode(context, work),
            Err(response) => response,
        },
        ("POST", "/serve") => Outbound::text(200, "serving"),
        ("DELETE", path) => {
            let id = path.strip_prefix("/work/").unwrap_or_default();
            let mut state = lock(&context.state);
            if let Some((_, is_cancelled)) = state.memory.get_mut(id) {
                *is_cancelled = true;
            }
            if !context.faults.has_defect() {
                state.free(id);
            }
            Outbound::text(200, "cancelled")
        }
        _ => Outbound::text(404, "no such path"),
    }
}

fn decode(context: Context, work: Decode) -> Outbound {
    let (response, sender) = Outbound::stream(200, "application/x-ndjson");
    task::spawn(async move {
        let needed = pieces(work.prompt_tokens + work.max_tokens);
        if !lock(&context.state).allocate(&work.id, needed, context.profile.pieces) {
            context.counts.full.fetch_add(1, Ordering::Relaxed);
            let _ = send(&sender, &Line::Full).await;
            return;
        }
        context.starts.record(&work.id);
        run(&context, &work, &sender).await;
        if !context.faults.has_defect() {
            lock(&context.state).free(&work.id);
        }
    });
    response
}

async fn run(context: &Context, work: &Decode, sender: &Sender) {
    let Some(mut export) = import(context, work).await else {
        context.counts.evicted.fetch_add(1, Ordering::Relaxed);
        let _ = send(sender, &Line::Evicted).await;
        return;
    };
    context.counts.imported.fetch_add(export.prompt_tokens.into(), Ordering::Relaxed);
    if export.content == CRASHING_CONTENT {
        lock(&context.state).crash_count += 1;
    }
    if context.faults.has_wrong_output() {
        export.content = !export.content;
    }
    if !send(sender, &Line::Imported).await {
        return;
    }
    let total = output_length(export.content, work.max_tokens);
    let mut next_token_at = Instant::now();
    let crash_count = lock(&context.state).crash_count;
    for index in work.from_index..total {
        next_token_at += step_time(context);
        task::sleep(next_token_at.saturating_duration_since(Instant::now())).await;
        let is_crashed = lock(&context.state).crash_count != crash_count;
        if is_crashed || context.faults.is_down() || export.content == CRASHING_CONTENT {
            let _ = sender.send(Err(std::io::Error::other("engine crashed"))).await;
            return;
        }
        let line = Line::Token { index, text: output_token(export.content, index).into() };
        let is_cancelled = !lock(&context.state).memory.contains_key(&work.id);
        if is_cancelled || !send(sender, &line).await {
            return;
        }
        context.counts.tokens.fetch_add(1, Ordering::Relaxed);
    }
    // Memory is freed before the end is sent, so that a request that follows it finds the memory free.
    lock(&context.state).free(&work.id);
    let _ = send(sender, &Line::End { total }).await;
}

fn step_time(context: &Context) -> Duration {
    let other_requests = lock(&context.state).memory.len().saturating_sub(1);
    context.profile.step
        + context.profile.step_per_request * u32::try_from(other_requests).unwrap_or(u32::MAX)
}

async fn import(context: &Context, work: &Decode) -> Option<Export> {
    let address = work.source.parse().ok()?;
    let request = Request::get(format!("/export/{}", work.kv));
    let response = context.pool.send(address, request, IMPORT_TIMEOUT).await.ok()?;
    if response.status() != 200 {
        let _ = response.bytes().await;
        return None;
    }
    response.json().await.ok()
}

async fn send(sender: &Sender, line: &Line) -> bool {
    let mut text = serde_json::to_vec(line).unwrap_or_default();
    text.push(b'\n');
    sender.send(Ok(text)).await.is_ok()
}
