//! A prefill engine: turns prompts into KV cache, keeps results under a second, and exports them
//! over a link of limited rate.

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

/// What a prefill engine can do.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// Prompt tokens a second.
    pub tokens_per_s: u64,
    /// How long a result is kept.
    pub result_ttl: Duration,
    /// Tokens of KV cache that the link carries a second.
    pub link_tokens_per_s: u64,
    /// Part of the work saved when a prompt's beginning is cached, in percent.
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

/// Bytes of a prompt's beginning that are cached as a whole.
const PREFIX: usize = 2_048;
/// Beginnings cached at most.
const PREFIXES: usize = 64;

#[derive(Debug)]
struct Cached {
    content: u64,
    prompt_tokens: u32,
    until: Instant,
}

#[derive(Debug)]
struct State {
    busy_until: Instant,
    link_until: Instant,
    results: BTreeMap<Arc<str>, Cached>,
    prefixes: VecDeque<u64>,
    next: u64,
    fence: u64,
}

/// Counts of one engine.
#[derive(Debug, Default)]
pub struct Counts {
    /// Prompt tokens prefilled.
    pub prefilled: AtomicU64,
    /// Prompt tokens whose result was exported.
    pub exported: AtomicU64,
    /// Orders to serve something else that were carried out.
    pub role_changes: AtomicU64,
}

/// The engine.
#[derive(Debug)]
pub struct Engine {
    /// Injected faults.
    pub faults: Arc<Faults>,
    /// What it did.
    pub counts: Arc<Counts>,
    /// When it began which prefill.
    pub starts: Arc<StartLog>,
    listener: Listener,
}

impl Engine {
    /// Starts an idle engine that checks fencing numbers.
    pub async fn start(profile: Profile) -> std::io::Result<Self> {
        let faults = Arc::new(Faults::default());
        let counts: Arc<Counts> = Arc::default();
        let state = Arc::new(Mutex::new(State {
            busy_until: Instant::now(),
            link_until: Instant::now(),
            results: BTreeMap::new(),
            prefixes: VecDeque::new(),
            next: 0,
            fence: 0,
        }));
        let starts: Arc<StartLog> = Arc::default();
        let shared = (state, counts.clone(), starts.clone());
        let listener = Listener::start(faults.clone(), move |inbound| {
            let (state, counts, starts) = shared.clone();
            async move { answer(&state, &counts, &starts, profile, inbound).await }
        })
        .await?;
        Ok(Self { faults, counts, starts, listener })
    }

    /// Where it listens.
    pub fn address(&self) -> std::net::SocketAddr {
        self.listener.address
    }
}

async fn answer(
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
        // A prefill that has begun runs to its end; cancelling it only drops the result.
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
        Err(outbound) => return outbound,
    };
    starts.note(&work.id);
    let content = content(&work.prompt);
    let done = reserve(&mut lock(state), profile, &work);
    task::sleep(done.saturating_duration_since(Instant::now())).await;
    if work.prompt.contains(POISON) {
        return crash_response();
    }
    counts.prefilled.fetch_add(work.prompt_tokens.into(), Ordering::Relaxed);
    let mut state = lock(state);
    let now = Instant::now();
    state.results.retain(|_, result| result.until > now);
    let kv: Arc<str> = format!("kv{}-{}", state.next, work.id).into();
    state.next += 1;
    let result = Cached { content, prompt_tokens: work.prompt_tokens, until: now + profile.result_ttl };
    state.results.insert(kv.clone(), result);
    let lives_ms = u64::try_from(profile.result_ttl.as_millis()).unwrap_or(u64::MAX);
    Outbound::json(200, &Prefilled { kv, lives_ms })
}

/// Takes the engine's time for the work; returns when it is done.
fn reserve(state: &mut State, profile: Profile, work: &Prefill) -> Instant {
    let beginning = &work.prompt.as_bytes()[..work.prompt.len().min(PREFIX)];
    let prefix = tarragonhill_core::quarantine::fingerprint("", beginning);
    let cached = state.prefixes.contains(&prefix);
    if !cached {
        state.prefixes.push_back(prefix);
        if state.prefixes.len() > PREFIXES {
            state.prefixes.pop_front();
        }
    }
    let percent = if cached { 100 - profile.prefix_saving_percent } else { 100 };
    let micros = u64::from(work.prompt_tokens) * 1_000_000 / profile.tokens_per_s * percent / 100;
    let begin = state.busy_until.max(Instant::now());
    state.busy_until = begin + Duration::from_micros(micros);
    state.busy_until
}

/// What a caller of a crashed process sees: the connection breaks without an answer.
pub(crate) fn crash_response() -> Outbound {
    let (outbound, sender) = Outbound::stream(200, "application/json");
    let _ = sender.try_send(Err(std::io::Error::other("engine crashed")));
    outbound
}

async fn export(state: &Mutex<State>, counts: &Counts, profile: Profile, kv: &str) -> Outbound {
    let (export, done) = {
        let mut state = lock(state);
        let now = Instant::now();
        let Some(result) = state.results.get(kv).filter(|result| result.until > now) else {
            return Outbound::text(404, "evicted");
        };
        let export = Export { content: result.content, prompt_tokens: result.prompt_tokens };
        let micros = u64::from(export.prompt_tokens) * 1_000_000 / profile.link_tokens_per_s;
        state.link_until = state.link_until.max(now) + Duration::from_micros(micros);
        (export, state.link_until)
    };
    task::sleep(done.saturating_duration_since(Instant::now())).await;
    counts.exported.fetch_add(export.prompt_tokens.into(), Ordering::Relaxed);
    Outbound::json(200, &export)
}

fn serve(state: &Mutex<State>, counts: &Counts, inbound: &Inbound) -> Outbound {
    let order: Serve = match parse_body(inbound) {
        Ok(order) => order,
        Err(outbound) => return outbound,
    };
    let mut state = lock(state);
    if order.fence < state.fence {
        return Outbound::text(409, "old fencing number");
    }
    state.fence = order.fence;
    counts.role_changes.fetch_add(1, Ordering::Relaxed);
    Outbound::text(200, "serving")
}
