//! Stand-ins of engines and platform services, with switches for every failure of theirs.

pub mod decode;
pub mod hosts;
pub mod objects;
pub mod plain;
pub mod prefill;
pub mod table;

use std::{
    collections::BTreeMap,
    future::Future,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::task::{self, JoinHandle};
use tarragonhill_http::server::{Inbound, Limits, Outbound, Server};

/// Digest that stands for the KV cache of a prompt.
pub fn content(prompt: &str) -> u64 {
    if prompt.contains(DECODE_POISON) {
        return CRASHING;
    }
    tarragonhill_core::quarantine::fingerprint("", prompt.as_bytes())
}

/// Token `index` of the answer to a prompt: callers can tell a foreign or crossed answer by it.
pub fn token(content: u64, index: u32) -> String {
    let mixed =
        (content ^ u64::from(index).wrapping_mul(0x9E37_79B9_7F4A_7C15)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
    format!("t{:04x} ", mixed >> 48)
}

/// Length of the answer to a prompt: between half of the most tokens and all of them.
pub fn length(content: u64, max_tokens: u32) -> u32 {
    let percent = 50 + content % 51;
    u32::try_from(u64::from(max_tokens) * percent / 100).unwrap_or(max_tokens).max(1)
}

/// The whole answer to a prompt.
pub fn answer(prompt: &str, max_tokens: u32) -> String {
    let content = content(prompt);
    (0..length(content, max_tokens)).map(|index| token(content, index)).collect()
}

/// A prompt with this word in it crashes every engine that runs it.
pub const POISON: &str = "<poison>";

/// A prompt with this word in it crashes every decode engine that runs it, with all its neighbours.
pub const DECODE_POISON: &str = "<decode-poison>";

/// The content of a cache that crashes decode engines.
pub(crate) const CRASHING: u64 = u64::MAX;

/// Locks a mutex whose holder may have panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Failure switches that all stand-ins have.
#[derive(Debug, Default)]
pub struct Switches {
    /// Refuses everything.
    down: AtomicBool,
    /// Takes connections and never answers.
    silent: AtomicBool,
    /// Added to every answer, microseconds.
    slow_us: AtomicU64,
    /// Of 1,000 answers, how many are lost after they took effect.
    lose: AtomicU64,
    lost: AtomicU64,
    defect: AtomicBool,
    crossed: AtomicBool,
}

impl Switches {
    /// Turns an outage on or off.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
    }

    /// Whether there is an outage.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed)
    }

    /// Turns silence on or off.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::Relaxed);
    }

    /// Slows every answer down.
    pub fn set_slow(&self, span: Duration) {
        self.slow_us.store(u64::try_from(span.as_micros()).unwrap_or(u64::MAX), Ordering::Relaxed);
    }

    /// Loses a part of the answers, out of 1,000.
    pub fn set_lose(&self, per_mille: u64) {
        self.lose.store(per_mille, Ordering::Relaxed);
    }

    /// Plants the stand-in's own defect: an engine keeps memory that it was told to free, a service
    /// executes each call twice.
    pub fn set_defect(&self, on: bool) {
        self.defect.store(on, Ordering::Relaxed);
    }

    pub(crate) fn has_defect(&self) -> bool {
        self.defect.load(Ordering::Relaxed)
    }

    /// Makes an engine answer with the tokens of another prompt.
    pub fn set_crossed(&self, on: bool) {
        self.crossed.store(on, Ordering::Relaxed);
    }

    pub(crate) fn is_crossed(&self) -> bool {
        self.crossed.load(Ordering::Relaxed)
    }

    /// Whether the answer to the request just carried out gets lost. Spread evenly, not at random,
    /// so that runs repeat.
    pub fn loses(&self) -> bool {
        let lose = self.lose.load(Ordering::Relaxed);
        if lose == 0 {
            return false;
        }
        self.lost.fetch_add(lose, Ordering::Relaxed) % 1_000 + lose >= 1_000
    }

    async fn pass(&self) -> Result<(), Outbound> {
        let slow = self.slow_us.load(Ordering::Relaxed);
        if slow > 0 {
            task::sleep(Duration::from_micros(slow)).await;
        }
        if self.silent.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        match self.is_down() {
            true => Err(Outbound::text(503, "down")),
            false => Ok(()),
        }
    }
}

/// When an engine began which work.
#[derive(Debug, Default)]
pub struct Starts(Mutex<Vec<(Instant, String)>>);

impl Starts {
    pub(crate) fn note(&self, work: &str) {
        lock(&self.0).push((Instant::now(), work.to_owned()));
    }

    /// All of them, in order.
    pub fn all(&self) -> Vec<(Instant, String)> {
        lock(&self.0).clone()
    }
}

/// A stand-in's listener and task.
#[derive(Debug)]
pub struct Listening {
    /// Where it listens.
    pub address: SocketAddr,
    task: Option<JoinHandle<()>>,
}

impl Listening {
    /// Serves `handler` on a port the system chooses, behind the switches.
    pub(crate) async fn start<F, Fut>(switches: Arc<Switches>, handler: F) -> std::io::Result<Self>
    where
        F: Fn(Inbound) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Outbound> + Send + 'static,
    {
        let limits =
            Limits { head_timeout: Duration::from_secs(600), max_body_bytes: 64 << 20, ..Limits::default() };
        let server = Server::bind("127.0.0.1:0", limits).await?;
        let address = server.address();
        let handler = Arc::new(handler);
        let task = task::spawn(server.serve(move |inbound| {
            let (switches, handler) = (switches.clone(), handler.clone());
            async move {
                match switches.pass().await {
                    Ok(()) => handler(inbound).await,
                    Err(outbound) => outbound,
                }
            }
        }));
        Ok(Self { address, task: Some(task) })
    }
}

impl Drop for Listening {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            task::spawn(task.cancel());
        }
    }
}

/// A parsed query.
pub(crate) fn query(inbound: &Inbound) -> BTreeMap<&str, &str> {
    inbound.query.split('&').filter_map(|part| part.split_once('=')).collect()
}

/// Reads a JSON body.
pub(crate) fn body<T: serde::de::DeserializeOwned>(inbound: &Inbound) -> Result<T, Outbound> {
    let bytes = inbound.body.as_deref().unwrap_or_default();
    serde_json::from_slice(bytes).map_err(|error| Outbound::text(400, error.to_string()))
}
