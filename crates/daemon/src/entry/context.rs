//! What all tasks of an entry share.

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

/// What a refused caller is told to wait while the entry catches up with the settings.
const CATCH_UP: Duration = Duration::from_secs(1);

/// The shared parts of one entry.
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
    /// Requests being served.
    pub(crate) running: AtomicUsize,
    /// Set once a graceful shutdown has begun.
    pub(crate) leaving: AtomicBool,
    /// The other entries that may accept changes of settings.
    pub(crate) entries: Mutex<Arc<BTreeSet<Arc<str>>>>,
}

impl Context {
    /// Refuses while the entry is leaving or cannot bound the age of its settings. Computed at each
    /// check, so that a process that was paused notices when it wakes up.
    pub(crate) fn check_serving(&self) -> Result<(), Refusal> {
        if self.leaving.load(Ordering::Relaxed) {
            return Err(Refusal::not_run(Code::ShuttingDown, "this entry is shutting down")
                .with_retry_after(CATCH_UP));
        }
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let now = self.clock.now();
        if self.current.freshness(|freshness| freshness.may_serve(now, &entries)) {
            return Ok(());
        }
        let message = "this entry cannot tell whether its settings are the newest";
        Err(Refusal::not_run(Code::SettingsUnconfirmed, message).with_retry_after(CATCH_UP))
    }

    /// Counts a crash here and tells all other entries, so that sending the request again through
    /// another one does not start the count anew. Crashes are rare, so telling all costs little.
    pub(crate) async fn report_crash(self: &Arc<Self>, customer: &Arc<str>, fingerprint: u64) -> CrashStatus {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone();
        for address in self.control.addresses((*entries).clone()).await.into_values() {
            let context = self.clone();
            let ask = PeerRequest::CrashStatus { customer: customer.clone(), fingerprint, crashed: true };
            task::spawn(async move { context.peers.ask(&address, &context.name, ask).await });
        }
        self.control.crash_status(customer, fingerprint, true).await
    }

    /// Sets the other entries known.
    pub(crate) fn set_entries(&self, entries: BTreeSet<Arc<str>>) {
        *self.entries.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(entries);
    }

    /// Counts a request as running until the guard is dropped.
    pub(crate) fn enter(self: &Arc<Self>) -> Inside {
        self.running.fetch_add(1, Ordering::Relaxed);
        Inside(self.clone())
    }
}

/// One running request.
pub(crate) struct Inside(Arc<Context>);

impl Drop for Inside {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A new request identifier.
pub(crate) fn new_request() -> Request {
    Request(rand::random())
}
