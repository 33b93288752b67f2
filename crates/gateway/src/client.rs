//! Open connections of callers: who gets a place, and which one is closed in favour of another.

use std::{
    collections::BTreeMap,
    future::Future,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_channel::{Receiver, Sender};
use tarragonhill_core::{
    Clock,
    gateway::{
        connections::{Capacity, Connections, Id, Opened, Phase, Reason},
        held::Exceeded,
    },
};

use crate::held::Guard;

/// How long a request waits for the room that others leave to it, and how often it looks for it.
const ROOM_TIMEOUT: Duration = Duration::from_millis(250);
const ROOM_INTERVAL: Duration = Duration::from_millis(5);

/// Open connections at one address. [`Connections`] decides; this tells the connections' tasks.
#[derive(Debug)]
pub(crate) struct Clients {
    clock: Clock,
    state: Mutex<State>,
    evictions: BTreeMap<&'static str, AtomicU64>,
    refusals: AtomicU64,
}

#[derive(Debug)]
struct State {
    connections: Connections,
    /// Dropping a sender tells its connection to give way.
    senders: BTreeMap<Id, Sender<()>>,
    /// Whether a connection was evicted since less than half of the places were taken; logged once.
    is_full: bool,
}

impl Clients {
    /// Creates the state for an address with this capacity.
    pub(crate) fn new(clock: Clock, capacity: Capacity) -> Arc<Self> {
        let state =
            State { connections: Connections::new(capacity), senders: BTreeMap::new(), is_full: false };
        let reasons = [Reason::Connections, Reason::Memory, Reason::SentAhead];
        let evictions = reasons.map(|reason| (<&str>::from(reason), AtomicU64::new(0))).into();
        Arc::new(Self { clock, state: Mutex::new(state), evictions, refusals: AtomicU64::new(0) })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a connection. `None` if there are too many, none of which gives way to it.
    pub(crate) fn open(self: &Arc<Self>) -> Option<Client> {
        let mut state = self.state();
        let Some(Opened { id, victim }) = state.connections.open(self.clock.now()) else {
            self.refusals.fetch_add(1, Ordering::Relaxed);
            return None;
        };
        self.evict(&mut state, victim, Reason::Connections);
        let (sender, evicted) = async_channel::bounded(1);
        state.senders.insert(id, sender);
        drop(state);
        Some(Client { clients: self.clone(), id, evicted })
    }

    fn evict(&self, state: &mut State, victim: Option<Id>, reason: Reason) {
        let Some(victim) = victim else { return };
        state.senders.remove(&victim);
        let name: &'static str = reason.into();
        if let Some(count) = self.evictions.get(name) {
            count.fetch_add(1, Ordering::Relaxed);
        }
        if !std::mem::replace(&mut state.is_full, true) {
            let (open, most) = (state.connections.len(), state.connections.capacity().connections);
            spdlog::warn!("closing connections in favour of others", kv: { reason = name, open, most });
        }
    }

    /// Returns the number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.state().connections.len()
    }

    /// Returns how many connections have given way, by reason.
    pub(crate) fn evictions(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.evictions.iter().map(|(reason, count)| (*reason, count.load(Ordering::Relaxed)))
    }

    /// Returns how many connections were closed at once because none gave way to them.
    pub(crate) fn refusals(&self) -> u64 {
        self.refusals.load(Ordering::Relaxed)
    }
}

/// One open connection. Dropping it gives up its place.
#[derive(Debug)]
pub(crate) struct Client {
    clients: Arc<Clients>,
    id: Id,
    evicted: Receiver<()>,
}

impl Client {
    /// Completes once the connection has to give way.
    pub(crate) fn evicted(&self) -> impl Future<Output = ()> + use<> {
        let evicted = self.evicted.clone();
        async move {
            let _ = evicted.recv().await;
        }
    }

    pub(crate) fn enter(&self, phase: Phase) {
        let now = self.clients.clock.now();
        self.clients.state().connections.enter(now, self.id, phase);
    }

    /// Returns whether a request is being read. Nothing of it has run.
    pub(crate) fn is_receiving(&self) -> bool {
        self.clients.state().connections.is_receiving(self.id)
    }

    /// Begins to serve a request. Returns false if too many are being served.
    pub(crate) fn begin_serving(&self) -> bool {
        let now = self.clients.clock.now();
        let mut state = self.clients.state();
        let may_serve = state.connections.may_serve();
        if may_serve {
            state.connections.enter(now, self.id, Phase::Serving);
        } else {
            // For the request's next attempt, or for another one.
            let victim = state.connections.victim_for_request(now);
            self.clients.evict(&mut state, victim, Reason::Connections);
        }
        may_serve
    }

    pub(crate) fn receive(&self, bytes: usize) {
        self.clients.state().connections.receive(self.id, bytes as u64);
    }

    pub(crate) fn record_served(&self) {
        self.clients.state().connections.record_served(self.id);
    }

    /// Records whether the caller accepts the response that is being written.
    pub(crate) fn set_stalled(&self, is_stalled: bool) {
        let now = self.clients.clock.now();
        self.clients.state().connections.set_stalled(now, self.id, is_stalled);
    }

    /// Records that the caller sends more than is read ahead.
    pub(crate) fn record_ahead(&self) {
        let now = self.clients.clock.now();
        let mut state = self.clients.state();
        let victim = state.connections.record_ahead(now, self.id);
        self.clients.evict(&mut state, victim, Reason::SentAhead);
    }

    /// Holds `bytes` in total for the request that is being read. If these are too many, requests that come slowly or are larger
    /// give way.
    pub(crate) async fn hold(&self, guard: &mut Guard, bytes: usize) -> Result<(), Exceeded> {
        if guard.bytes() == bytes as u64 {
            return Ok(());
        }
        let held = match guard.set(bytes) {
            Ok(()) => Ok(()),
            Err(exceeded) => self.wait_for_room(guard, bytes, exceeded).await,
        };
        if held.is_ok() {
            self.clients.state().connections.set_held(self.id, guard.bytes());
        }
        held
    }

    async fn wait_for_room(
        &self,
        guard: &mut Guard,
        bytes: usize,
        exceeded: Exceeded,
    ) -> Result<(), Exceeded> {
        let clock = &self.clients.clock;
        let ends = clock.now().plus(ROOM_TIMEOUT);
        while clock.now() < ends {
            {
                let mut state = self.clients.state();
                let is_expected = state.connections.is_room_expected();
                if !is_expected {
                    let victim = state.connections.victim_for_room(clock.now(), self.id, bytes as u64);
                    if victim.is_none() {
                        return Err(exceeded);
                    }
                    self.clients.evict(&mut state, victim, Reason::Memory);
                }
            }
            clock.sleep(ROOM_INTERVAL).await;
            if guard.set(bytes).is_ok() {
                return Ok(());
            }
        }
        Err(exceeded)
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let mut state = self.clients.state();
        state.connections.close(self.id);
        state.senders.remove(&self.id);
        if state.connections.len() * 2 < state.connections.capacity().connections {
            state.is_full = false;
        }
    }
}
