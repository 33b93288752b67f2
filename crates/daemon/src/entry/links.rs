//! The entry's side of links: one stream to each agent, kept open and watched.

use std::{
    collections::BTreeMap,
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_channel::{Receiver, Sender};
use async_std::task::{self, JoinHandle};
use futures_lite::{FutureExt as _, StreamExt as _};
use tarragonhill_core::{
    Attempt,
    message::{Event, FailureCause, Heartbeat, Order},
    settings::Snapshot,
};
use tarragonhill_wire::proto::{self, agent_client::AgentClient};
use tonic::transport::Endpoint;

use crate::{entry::control::Control, settings::Current};

/// Fewest and most time between heartbeats on a link.
const BEAT: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(4));
/// Time that each link adds to the heartbeat interval of all: what beats cost an entry stays the
/// same however many agents there are.
const BEAT_PER_LINK: Duration = Duration::from_millis(24);
/// Beats that may be missing before a link is taken for dead.
const MISSED: u32 = 2;
/// Added to the silence allowed, for scheduling.
const SILENCE_GRACE: Duration = Duration::from_secs(1);
/// Longest time to open a link.
const CONNECT: Duration = Duration::from_secs(1);
/// Pause before a lost link is opened again.
const REOPEN: Duration = Duration::from_millis(200);
/// Orders that may wait for a slow link. The channel itself has no bound, since a bounded one takes
/// the memory for all of them at once, for each link.
const BACKLOG: usize = 16_384;
/// Events that may wait for one attempt whose caller reads slowly.
const INBOX: usize = 16_384;

/// An order could not be handed to an agent; it was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Unreachable;

impl fmt::Display for Unreachable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no link to the agent")
    }
}

/// All links of one entry. Clones share them.
#[derive(Clone)]
pub(crate) struct Links(Arc<Shared>);

struct Shared {
    name: Arc<str>,
    control: Control,
    current: Arc<Current>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// By agent address.
    links: BTreeMap<Arc<str>, Link>,
    /// Where the events of an attempt go.
    routes: BTreeMap<Attempt, Route>,
}

struct Link {
    task: JoinHandle<()>,
    /// Present while the link is up.
    orders: Option<Sender<Order>>,
}

struct Route {
    inbox: Sender<Event>,
    /// Agents that were sent orders of the attempt.
    agents: Vec<Arc<str>>,
}

impl Links {
    pub(crate) fn new(name: Arc<str>, control: Control, current: Arc<Current>) -> Self {
        Self(Arc::new(Shared { name, control, current, state: Mutex::default() }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens links to all agents that the settings name, and closes the others.
    pub(crate) fn want(&self, settings: &Snapshot) {
        let mut wanted: BTreeMap<Arc<str>, ()> = BTreeMap::new();
        wanted.extend(settings.endpoints.values().map(|endpoint| (endpoint.agent.clone(), ())));
        let mut state = self.state();
        state.links.retain(|agent, _| wanted.contains_key(agent));
        for agent in wanted.into_keys() {
            let open = || Link { task: task::spawn(self.clone().keep(agent.clone())), orders: None };
            state.links.entry(agent.clone()).or_insert_with(open);
        }
    }

    /// Ends all links.
    pub(crate) fn close(&self) {
        let links = std::mem::take(&mut self.state().links);
        for (_, link) in links {
            task::spawn(link.task.cancel());
        }
    }

    /// Makes an inbox for an attempt's events.
    pub(crate) fn route(&self, attempt: Attempt) -> Receiver<Event> {
        let (inbox, receiver) = async_channel::unbounded();
        self.state().routes.insert(attempt, Route { inbox, agents: Vec::new() });
        receiver
    }

    /// Drops the inbox: whatever still arrives for the attempt is late and goes nowhere.
    pub(crate) fn unroute(&self, attempt: Attempt) {
        self.state().routes.remove(&attempt);
    }

    /// Sends an order of an attempt.
    pub(crate) fn send(&self, agent: &Arc<str>, attempt: Attempt, order: Order) -> Result<(), Unreachable> {
        let mut state = self.state();
        let orders = state.links.get(agent).and_then(|link| link.orders.clone()).ok_or(Unreachable)?;
        if let Some(route) = state.routes.get_mut(&attempt).filter(|route| !route.agents.contains(agent)) {
            route.agents.push(agent.clone());
        }
        if orders.len() >= BACKLOG {
            return Err(Unreachable);
        }
        orders.try_send(order).map_err(|_| Unreachable)
    }

    /// How many links there are, and how many of them are up.
    pub(crate) fn count(&self) -> (usize, usize) {
        let state = self.state();
        (state.links.len(), state.links.values().filter(|link| link.orders.is_some()).count())
    }

    async fn keep(self, agent: Arc<str>) {
        loop {
            if let Err(error) = self.run(&agent).await {
                spdlog::debug!("link down: {error}", kv: { agent = &*agent });
            }
            self.down(&agent);
            task::sleep(REOPEN).await;
        }
    }

    async fn run(&self, agent: &Arc<str>) -> Result<(), tonic::Status> {
        let endpoint = Endpoint::from_shared(format!("http://{agent}")).map_err(invalid)?;
        let endpoint = endpoint.connect_timeout(CONNECT).tcp_nodelay(true);
        let channel = endpoint.connect().await.map_err(invalid)?;
        let (orders, receiver) = async_channel::unbounded();
        orders.try_send(Order::Hello { entry: self.0.name.clone() }).map_err(invalid)?;
        let outbound = receiver.map(proto::Order::from);
        let events = AgentClient::new(channel).link(outbound).await?.into_inner();
        self.up(agent, orders.clone());
        let heartbeats = async {
            self.heartbeat(&orders).await;
            Ok(())
        };
        self.read(agent, events).or(heartbeats).await
    }

    /// Reads events until the link ends or falls silent for good, which only the missing
    /// heartbeats show.
    async fn read(
        &self,
        agent: &Arc<str>,
        mut events: tonic::Streaming<proto::Event>,
    ) -> Result<(), tonic::Status> {
        // Worked out anew with each heartbeat, not with each token: it asks for the lock that all share.
        let mut silence = self.silence();
        loop {
            let next = async_std::future::timeout(silence, events.next()).await;
            let Some(event) = next.map_err(invalid)? else { return Ok(()) };
            match Event::try_from(event?) {
                Ok(Event::Heartbeat(heartbeat)) => {
                    self.heard(agent, heartbeat);
                    silence = self.silence();
                }
                Ok(event) => self.deliver(event),
                Err(error) => spdlog::warn!("event ignored: {error}", kv: { agent = &**agent }),
            }
        }
    }

    fn heard(&self, agent: &Arc<str>, heartbeat: Heartbeat) {
        self.0.current.record_heartbeat(&format!("agent {agent}").into(), &heartbeat);
        self.0.control.loads(heartbeat.loads);
    }

    /// One slow caller must not hold up the link that all share: an inbox that is full is closed,
    /// which ends that attempt.
    fn deliver(&self, event: Event) {
        let Some(attempt) = event.attempt() else { return };
        let state = self.state();
        let Some(route) = state.routes.get(&attempt) else { return };
        if route.inbox.len() >= INBOX || route.inbox.try_send(event).is_err() {
            route.inbox.close();
        }
    }

    async fn heartbeat(&self, orders: &Sender<Order>) {
        loop {
            let interval = self.every();
            let heartbeat = Heartbeat { interval, ..self.0.current.heartbeat() };
            if orders.send(Order::Heartbeat(heartbeat)).await.is_err() {
                return;
            }
            task::sleep(interval).await;
        }
    }

    /// Longest time without any event before a link is taken for dead.
    fn silence(&self) -> Duration {
        self.every() * MISSED + SILENCE_GRACE
    }

    /// Time between heartbeats on each link.
    fn every(&self) -> Duration {
        let links = u32::try_from(self.state().links.len()).unwrap_or(u32::MAX);
        BEAT_PER_LINK.saturating_mul(links).clamp(BEAT.0, BEAT.1)
    }

    fn up(&self, agent: &Arc<str>, orders: Sender<Order>) {
        if let Some(link) = self.state().links.get_mut(agent) {
            link.orders = Some(orders);
        }
        self.0.control.link(self.fronted(agent), true);
    }

    /// Tells every attempt that has work behind the link that its work is lost.
    fn down(&self, agent: &Arc<str>) {
        let mut state = self.state();
        if let Some(link) = state.links.get_mut(agent) {
            link.orders = None;
        }
        let lost: Vec<_> = state.routes.iter().filter(|(_, route)| route.agents.contains(agent)).collect();
        for (attempt, route) in lost {
            let _ = route.inbox.try_send(Event::Failed { attempt: *attempt, cause: FailureCause::LinkLost });
        }
        drop(state);
        self.0.control.link(self.fronted(agent), false);
    }

    fn fronted(&self, agent: &Arc<str>) -> Vec<Arc<str>> {
        let settings = self.0.current.get();
        settings
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.agent == *agent)
            .map(|(name, _)| name.clone())
            .collect()
    }
}

fn invalid(error: impl fmt::Display) -> tonic::Status {
    tonic::Status::unavailable(error.to_string())
}
