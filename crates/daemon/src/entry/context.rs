//! State shared by all tasks of an entry.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_std::task;
use tarragonhill_core::{
    Clock, Code, Refusal, Request, message::PeerRequest, placement::Policy, quarantine::CrashStatus,
};
use tarragonhill_table::Table;

use crate::{
    entry::{control::Control, links::Links, metrics::Metrics, peers::Peers},
    settings::Current,
};

/// Retry delay sent to callers while the entry cannot serve requests.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Shared state of one entry.
pub(crate) struct Context {
    pub(crate) name: Arc<str>,
    pub(crate) first_token: Duration,
    pub(crate) first_token_timeout: Duration,
    pub(crate) rate_wait: Duration,
    pub(crate) policy: Policy,
    pub(crate) operator_token: Option<Arc<str>>,
    pub(crate) clock: Clock,
    pub(crate) current: Arc<Current>,
    pub(crate) control: Control,
    pub(crate) links: Links,
    pub(crate) peers: Peers,
    pub(crate) table: Arc<dyn Table>,
    pub(crate) metrics: Arc<Metrics>,
    /// Number of requests being served.
    pub(crate) running: AtomicUsize,
    pub(crate) is_shutting_down: AtomicBool,
    /// Names of the other live entries, each of which may accept changes of settings.
    pub(crate) entries: Mutex<Arc<BTreeSet<Arc<str>>>>,
}

impl Context {
    /// Refuses while the entry is shutting down or its settings may be stale. Evaluated on every call,
    /// so that a process that was paused does not continue with stale settings.
    pub(crate) fn check_serving(&self) -> Result<(), Refusal> {
        if self.is_shutting_down.load(Ordering::Relaxed) {
            return Err(Refusal::not_run(Code::ShuttingDown, "this entry is shutting down")
                .with_retry_after(UNAVAILABLE_RETRY_AFTER));
        }
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let now = self.clock.now();
        if self.current.freshness(|freshness| freshness.may_serve(now, &entries)) {
            return Ok(());
        }
        let message = "this entry cannot tell whether its settings are the newest";
        Err(Refusal::not_run(Code::SettingsUnconfirmed, message).with_retry_after(UNAVAILABLE_RETRY_AFTER))
    }

    /// Records that a request crashed an endpoint, here and on all other entries, so that the count
    /// applies whichever entry the caller uses next. Returns the status on this entry.
    pub(crate) async fn report_crash(self: &Arc<Self>, customer: &Arc<str>, fingerprint: u64) -> CrashStatus {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone();
        for address in self.control.addresses((*entries).clone()).await.into_values() {
            let context = self.clone();
            let request = PeerRequest::CrashStatus { customer: customer.clone(), fingerprint, crashed: true };
            task::spawn(async move { context.peers.exchange(&address, &context.name, request).await });
        }
        self.control.crash_status(customer, fingerprint, true).await
    }

    pub(crate) fn set_entries(&self, entries: BTreeSet<Arc<str>>) {
        *self.entries.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(entries);
    }

    /// Counts a request as running until the returned guard is dropped.
    pub(crate) fn track_running(self: &Arc<Self>) -> RunningGuard {
        self.running.fetch_add(1, Ordering::Relaxed);
        RunningGuard(self.clone())
    }
}

/// Decrements the number of running requests when dropped.
pub(crate) struct RunningGuard(Arc<Context>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns a random request identifier.
pub(crate) fn new_request_id() -> Request {
    Request(rand::random())
}
