//! A simulated prefill engine: computes KV cache for prompts, keeps it for a short time, and exports it
//! over a link of limited bandwidth.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::task;
use tarragonhill_engine::protocol::{Export, Prefill, Prefilled, Serve};
use tarragonhill_http::server::{Inbound, Outbound};

use super::{Faults, Listener, POISON, StartLog, content, lock, parse_body};

/// Speed and cache parameters of a prefill engine.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// Prefill throughput, in prompt tokens per second.
    pub tokens_per_s: u64,
    /// Time after which a result is evicted.
    pub result_ttl: Duration,
    /// Export throughput, in tokens of KV cache per second.
    pub link_tokens_per_s: u64,
    /// Percentage of the work that a prefix cache hit saves.
    pub prefix_saving_percent: u64,
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            tokens_per_s: 40_000,
            result_ttl: Duration::from_millis(800),
            link_tokens_per_s: 150_000,
            prefix_saving_percent: 30,
        }
    }
}

/// Length of the prompt prefix that the prefix cache stores.
const PREFIX_BYTES: usize = 2_048;
const MAX_CACHED_PREFIXES: usize = 64;

#[derive(Debug)]
struct PrefillResult {
    content: u64,
    prompt_tokens: u32,
    expires_at: Instant,
}

#[derive(Debug)]
struct State {
    busy_until: Instant,
    link_busy_until: Instant,
    results: BTreeMap<Arc<str>, PrefillResult>,
    prefixes: VecDeque<u64>,
    next_id: u64,
    /// Highest fencing token accepted.
    fence: u64,
}

/// Counters of one engine.
#[derive(Debug, Default)]
pub struct Counts {
    /// Prompt tokens prefilled.
    pub prefilled: AtomicU64,
    /// Prompt tokens whose KV cache was exported.
    pub exported: AtomicU64,
    /// Accepted orders to change the role or the model.
    pub role_changes: AtomicU64,
}

/// A running prefill engine.
#[derive(Debug)]
pub struct Engine {
    /// Injected faults.
    pub faults: Arc<Faults>,
    /// Counters.
    pub counts: Arc<Counts>,
    /// Start times of prefills.
    pub starts: Arc<StartLog>,
    listener: Listener,
}

impl Engine {
    /// Starts an idle engine.
    pub async fn start(profile: Profile) -> std::io::Result<Self> {
        let faults = Arc::new(Faults::default());
        let counts: Arc<Counts> = Arc::default();
        let state = Arc::new(Mutex::new(State {
            busy_until: Instant::now(),
            link_busy_until: Instant::now(),
            results: BTreeMap::new(),
            prefixes: VecDeque::new(),
            next_id: 0,
            fence: 0,
        }));
        let starts: Arc<StartLog> = Arc::default();
        let shared = (state, counts.clone(), starts.clone());
        let listener = Listener::start(faults.clone(), move |inbound| {
            let (state, counts, starts) = shared.clone();
            async move { handle(&state, &counts, &starts, profile, inbound).await }
        })
        .await?;
        Ok(Self { faults, counts, starts, listener })
    }

    /// Returns the local address.
    pub fn address(&self) -> std::net::SocketAddr {
        self.listener.address
    }
}

async fn handle(
    state: &Mutex<State>,
    counts: &Counts,
    starts: &StartLog,
    profile: Profile,
    inbound: Inbound,
) -> Outbound {
    match (inbound.method.as_str(), inbound.path.as_str()) {
        ("POST", "/prefill") => prefill(state, counts, starts, profile, &inbound).await,
        ("POST", "/serve") => serve(state, counts, &inbound),
        ("GET", path) => match path.strip_prefix("/export/") {
            Some(kv) => export(state, counts, profile, kv).await,
            None => Outbound::text(404, "no such path"),
        },
        // A prefill in progress cannot be stopped; cancelling is acknowledged without effect.
        ("DELETE", _) => Outbound::text(200, "cancelled"),
        _ => Outbound::text(404, "no such path"),
    }
}

async fn prefill(
    state: &Mutex<State>,
    counts: &Counts,
    starts: &StartLog,
    profile: Profile,
    inbound: &Inbound,
) -> Outbound {
    let work: Prefill = match parse_body(inbound) {
        Ok(work) => work,
        Err(response) => return response,
    };
    starts.record(&work.id);
    let content = content(&work.prompt);
    let finished_at = schedule(&mut lock(state), profile, &work);
    task::sleep(finished_at.saturating_duration_since(Instant::now())).await;
    if work.prompt.contains(POISON) {
        return crash_response();
    }
    counts.prefilled.fetch_add(work.prompt_tokens.into(), Ordering::Relaxed);
    let mut state = lock(state);
    let now = Instant::now();
    state.results.retain(|_, result| result.expires_at > now);
    let kv: Arc<str> = format!("kv{}-{}", state.next_id, work.id).into();
    state.next_id += 1;
    let result =
        PrefillResult { content, prompt_tokens: work.prompt_tokens, expires_at: now + profile.result_ttl };
    state.results.insert(kv.clone(), result);
    let lives_ms = u64::try_from(profile.result_ttl.as_millis()).unwrap_or(u64::MAX);
    Outbound::json(200, &Prefilled { kv, lives_ms })
}

/// Queues the work; returns when it will be finished.
fn schedule(state: &mut State, profile: Profile, work: &Prefill) -> Instant {
    let prefix_bytes = &work.prompt.as_bytes()[..work.prompt.len().min(PREFIX_BYTES)];
    let prefix = tarragonhill_core::quarantine::fingerprint("", prefix_bytes);
    let is_cached = state.prefixes.contains(&prefix);
    if !is_cached {
        state.prefixes.push_back(prefix);
        if state.prefixes.len() > MAX_CACHED_PREFIXES {
            state.prefixes.pop_front();
        }
    }
    let percent = if is_cached { 100 - profile.prefix_saving_percent } else { 100 };
    let micros = u64::from(work.prompt_tokens) * 1_000_000 / profile.tokens_per_s * percent / 100;
    let started_at = state.busy_until.max(Instant::now());
    state.busy_until = started_at + Duration::from_micros(micros);
    state.busy_until
}

/// Returns a response that breaks the connection, as a crash of the process does.
pub(crate) fn crash_response() -> Outbound {
    let (response, sender) = Outbound::stream(200, "application/json");
    let _ = sender.try_send(Err(std::io::Error::other("engine crashed")));
    response
}

async fn export(state: &Mutex<State>, counts: &Counts, profile: Profile, kv: &str) -> Outbound {
    let (export, finished_at) = {
        let mut state = lock(state);
        let now = Instant::now();
        let Some(result) = state.results.get(kv).filter(|result| result.expires_at > now) else {
            return Outbound::text(404, "evicted");
        };
        let export = Export { content: result.content, prompt_tokens: result.prompt_tokens };
        let micros = u64::from(export.prompt_tokens) * 1_000_000 / profile.link_tokens_per_s;
        state.link_busy_until = state.link_busy_until.max(now) + Duration::from_micros(micros);
        (export, state.link_busy_until)
    };
    task::sleep(finished_at.saturating_duration_since(Instant::now())).await;
    counts.exported.fetch_add(export.prompt_tokens.into(), Ordering::Relaxed);
    Outbound::json(200, &export)
}

fn serve(state: &Mutex<State>, counts: &Counts, inbound: &Inbound) -> Outbound {
    let order: Serve = match parse_body(inbound) {
        Ok(order) => order,
        Err(response) => return response,
    };
    let mut state = lock(state);
    if order.fence < state.fence {
        return Outbound::text(409, "old fencing number");
    }
    state.fence = order.fence;
    counts.role_changes.fetch_add(1, Ordering::Relaxed);
    Outbound::text(200, "serving")
}
