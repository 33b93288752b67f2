//! Simulated engines and services, with fault injection. They speak the protocols of `docs/protocol-*.md`.
//!
//! The output of a simulated engine is a function of the prompt, so that callers can detect a wrong or
//! misrouted response.

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

/// Returns the digest that represents the KV cache of a prompt.
pub fn content(prompt: &str) -> u64 {
    if prompt.contains(DECODE_POISON) {
        return CRASHING_CONTENT;
    }
    tarragonhill_core::quarantine::fingerprint("", prompt.as_bytes())
}

/// Returns token `index` of the output for a prompt with this KV cache content.
pub fn output_token(content: u64, index: u32) -> String {
    let mixed =
        (content ^ u64::from(index).wrapping_mul(0x9E37_79B9_7F4A_7C15)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
    format!("t{:04x} ", mixed >> 48)
}

/// Returns the length of an output, in tokens: between 50 and 100 percent of `max_tokens`, at least 1.
pub fn output_length(content: u64, max_tokens: u32) -> u32 {
    let percent = 50 + content % 51;
    u32::try_from(u64::from(max_tokens) * percent / 100).unwrap_or(max_tokens).max(1)
}

/// Returns the complete output for a prompt.
pub fn output_text(prompt: &str, max_tokens: u32) -> String {
    let content = content(prompt);
    (0..output_length(content, max_tokens)).map(|index| output_token(content, index)).collect()
}

/// Prefill engines crash on prompts that contain this word.
pub const POISON: &str = "<poison>";

/// Decode engines crash on prompts that contain this word; all requests in flight there fail.
pub const DECODE_POISON: &str = "<decode-poison>";

/// KV cache content on which decode engines crash.
pub(crate) const CRASHING_CONTENT: u64 = u64::MAX;

/// Locks a mutex and ignores poisoning.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Faults that can be injected into every simulated engine and service.
#[derive(Debug, Default)]
pub struct Faults {
    down: AtomicBool,
    unresponsive: AtomicBool,
    delay_us: AtomicU64,
    /// Responses to lose after the request took effect, per thousand.
    loss_rate: AtomicU64,
    /// Sum of the loss rate over all responses.
    loss_total: AtomicU64,
    defect: AtomicBool,
    wrong_output: AtomicBool,
}

impl Faults {
    /// Sets whether every request is answered with status 503.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
    }

    /// Returns whether every request is answered with status 503.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed)
    }

    /// Sets whether requests are accepted and never answered.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.unresponsive.store(unresponsive, Ordering::Relaxed);
    }

    /// Delays every response by `delay`.
    pub fn set_delay(&self, delay: Duration) {
        self.delay_us.store(u64::try_from(delay.as_micros()).unwrap_or(u64::MAX), Ordering::Relaxed);
    }

    /// Sets how many of 1,000 responses are lost after their request took effect.
    pub fn set_loss_rate(&self, per_mille: u64) {
        self.loss_rate.store(per_mille, Ordering::Relaxed);
    }

    /// Sets whether a decode engine keeps memory that it was asked to free, and a plain service executes
    /// each call twice.
    pub fn set_defect(&self, on: bool) {
        self.defect.store(on, Ordering::Relaxed);
    }

    pub(crate) fn has_defect(&self) -> bool {
        self.defect.load(Ordering::Relaxed)
    }

    /// Sets whether a decode engine generates the output of another prompt.
    pub fn set_wrong_output(&self, on: bool) {
        self.wrong_output.store(on, Ordering::Relaxed);
    }

    pub(crate) fn has_wrong_output(&self) -> bool {
        self.wrong_output.load(Ordering::Relaxed)
    }

    /// Returns whether to lose the response to the current request. Losses are evenly spaced, so that
    /// runs are reproducible.
    pub fn should_lose_response(&self) -> bool {
        let loss_rate = self.loss_rate.load(Ordering::Relaxed);
        if loss_rate == 0 {
            return false;
        }
        self.loss_total.fetch_add(loss_rate, Ordering::Relaxed) % 1_000 + loss_rate >= 1_000
    }

    async fn apply(&self) -> Result<(), Outbound> {
        let delay = self.delay_us.load(Ordering::Relaxed);
        if delay > 0 {
            task::sleep(Duration::from_micros(delay)).await;
        }
        if self.unresponsive.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        match self.is_down() {
            true => Err(Outbound::text(503, "down")),
            false => Ok(()),
        }
    }
}

/// Start times of the work of an engine, with work ids.
#[derive(Debug, Default)]
pub struct StartLog(Mutex<Vec<(Instant, String)>>);

impl StartLog {
    pub(crate) fn record(&self, work_id: &str) {
        lock(&self.0).push((Instant::now(), work_id.to_owned()));
    }

    /// Returns all records, in the order of their start.
    pub fn all(&self) -> Vec<(Instant, String)> {
        lock(&self.0).clone()
    }
}

/// A listening socket and its server task, which is cancelled on drop.
#[derive(Debug)]
pub struct Listener {
    /// Local address.
    pub address: SocketAddr,
    task: Option<JoinHandle<()>>,
}

impl Listener {
    /// Starts a server on an unused loopback port. Faults are applied before `handler` is called.
    pub(crate) async fn start<F, Fut>(faults: Arc<Faults>, handler: F) -> std::io::Result<Self>
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
            let (faults, handler) = (faults.clone(), handler.clone());
            async move {
                match faults.apply().await {
                    Ok(()) => handler(inbound).await,
                    Err(response) => response,
                }
            }
        }));
        Ok(Self { address, task: Some(task) })
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            task::spawn(task.cancel());
        }
    }
}

/// Parses the query of a request.
pub(crate) fn parse_query(inbound: &Inbound) -> BTreeMap<&str, &str> {
    inbound.query.split('&').filter_map(|part| part.split_once('=')).collect()
}

/// Parses a JSON body; fails with a response of status 400.
pub(crate) fn parse_body<T: serde::de::DeserializeOwned>(inbound: &Inbound) -> Result<T, Outbound> {
    let bytes = inbound.body.as_deref().unwrap_or_default();
    serde_json::from_slice(bytes).map_err(|error| Outbound::text(400, error.to_string()))
}
