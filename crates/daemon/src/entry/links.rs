//! Links to agents: one bidirectional stream per agent, reopened after each failure.

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

/// Minimum and maximum interval between heartbeats on a link.
const HEARTBEAT_INTERVAL_RANGE: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(4));
/// Heartbeat interval added per link, so that the total heartbeat rate is independent of their
/// number.
const HEARTBEAT_INTERVAL_PER_LINK: Duration = Duration::from_millis(24);
/// Heartbeats that may be missed before a link counts as down.
const MAX_MISSED_HEARTBEATS: u32 = 2;
/// Extra time before a silent link counts as down, to allow for scheduling delays.
const SILENCE_MARGIN: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a lost link is reopened.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Queued orders per link. Checked on sending, because a bounded channel would allocate memory for
/// all of them in advance.
const MAX_QUEUED_ORDERS: usize = 16_384;
/// Queued events per attempt; reached only if the caller reads slowly.
const MAX_QUEUED_EVENTS: usize = 16_384;

/// Error of an order that was not sent because the agent's link is down or its queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Unreachable;

impl fmt::Display for Unreachable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no link to the agent")
    }
}

/// All links of one entry; a handle whose clones share them.
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
    /// Links by agent address.
    links: BTreeMap<Arc<str>, Link>,
    /// Event queues of the running attempts.
    routes: BTreeMap<Attempt, Route>,
}

struct Link {
    task: JoinHandle<()>,
    /// `None` while the link is down.
    orders: Option<Sender<Order>>,
}

struct Route {
    events: Sender<Event>,
    /// Agents that have received orders of the attempt.
    agents: Vec<Arc<str>>,
}

impl Links {
    pub(crate) fn new(name: Arc<str>, control: Control, current: Arc<Current>) -> Self {
        Self(Arc::new(Shared { name, control, current, state: Mutex::default() }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens links to all agents of the settings' endpoints, and closes all others.
    pub(crate) fn set_agents(&self, settings: &Snapshot) {
        let mut agents: BTreeMap<Arc<str>, ()> = BTreeMap::new();
        agents.extend(settings.endpoints.values().map(|endpoint| (endpoint.agent.clone(), ())));
        let mut state = self.state();
        state.links.retain(|agent, _| agents.contains_key(agent));
        for agent in agents.into_keys() {
            let open = || Link { task: task::spawn(self.clone().maintain(agent.clone())), orders: None };
            state.links.entry(agent.clone()).or_insert_with(open);
        }
    }

    /// Closes all links.
    pub(crate) fn close(&self) {
        let links = std::mem::take(&mut self.state().links);
        for (_, link) in links {
            task::spawn(link.task.cancel());
        }
    }

    /// Registers an attempt and returns the receiver of its events.
    pub(crate) fn add_route(&self, attempt: Attempt) -> Receiver<Event> {
        let (events, receiver) = async_channel::unbounded();
        self.state().routes.insert(attempt, Route { events, agents: Vec::new() });
        receiver
    }

    /// Unregisters an attempt; events that still arrive for it are ignored.
    pub(crate) fn remove_route(&self, attempt: Attempt) {
        self.state().routes.remove(&attempt);
    }

    /// Queues an order of an attempt for an agent.
    pub(crate) fn send(&self, agent: &Arc<str>, attempt: Attempt, order: Order) -> Result<(), Unreachable> {
        let mut state = self.state();
        let orders = state.links.get(agent).and_then(|link| link.orders.clone()).ok_or(Unreachable)?;
        if let Some(route) = state.routes.get_mut(&attempt).filter(|route| !route.agents.contains(agent)) {
            route.agents.push(agent.clone());
        }
        if orders.len() >= MAX_QUEUED_ORDERS {
            return Err(Unreachable);
        }
        orders.try_send(order).map_err(|_| Unreachable)
    }

    /// Returns the number of links, and how many of them are up.
    pub(crate) fn count(&self) -> (usize, usize) {
        let state = self.state();
        (state.links.len(), state.links.values().filter(|link| link.orders.is_some()).count())
    }

    async fn maintain(self, agent: Arc<str>) {
        loop {
            if let Err(error) = self.run(&agent).await {
                spdlog::debug!("link to agent failed: {error}", kv: { agent = &*agent });
            }
            self.mark_down(&agent);
            task::sleep(RECONNECT_DELAY).await;
        }
    }

    async fn run(&self, agent: &Arc<str>) -> Result<(), tonic::Status> {
        let endpoint = Endpoint::from_shared(format!("http://{agent}")).map_err(unavailable)?;
        let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true);
        let channel = endpoint.connect().await.map_err(unavailable)?;
        let (orders, receiver) = async_channel::unbounded();
        orders.try_send(Order::Hello { entry: self.0.name.clone() }).map_err(unavailable)?;
        let outbound = receiver.map(proto::Order::from);
        let events = AgentClient::new(channel).link(outbound).await?.into_inner();
        self.mark_up(agent, orders.clone());
        let heartbeats = async {
            self.send_heartbeats(&orders).await;
            Ok(())
        };
        self.read(agent, events).or(heartbeats).await
    }

    /// Reads events until the stream ends or no event arrives within the timeout. Agents send
    /// heartbeats, so a working link is never silent for that long.
    async fn read(
        &self,
        agent: &Arc<str>,
        mut events: tonic::Streaming<proto::Event>,
    ) -> Result<(), tonic::Status> {
        // Updated per heartbeat only, because it locks the state that all links share.
        let mut silence_timeout = self.silence_timeout();
        loop {
            let next = async_std::future::timeout(silence_timeout, events.next()).await;
            let Some(event) = next.map_err(unavailable)? else { return Ok(()) };
            match Event::try_from(event?) {
                Ok(Event::Heartbeat(heartbeat)) => {
                    self.record_heartbeat(agent, heartbeat);
                    silence_timeout = self.silence_timeout();
                }
                Ok(event) => self.deliver(event),
                Err(error) => spdlog::warn!("ignoring invalid event: {error}", kv: { agent = &**agent }),
            }
        }
    }

    fn record_heartbeat(&self, agent: &Arc<str>, heartbeat: Heartbeat) {
        self.0.current.record_heartbeat(&format!("agent {agent}").into(), &heartbeat);
        self.0.control.record_loads(heartbeat.loads);
    }

    /// Passes an event to its attempt. A full queue is closed, which fails the attempt: waiting would
    /// block all other attempts on the link.
    fn deliver(&self, event: Event) {
        let Some(attempt) = event.attempt() else { return };
        let state = self.state();
        let Some(route) = state.routes.get(&attempt) else { return };
        if route.events.len() >= MAX_QUEUED_EVENTS || route.events.try_send(event).is_err() {
            route.events.close();
        }
    }

    async fn send_heartbeats(&self, orders: &Sender<Order>) {
        loop {
            let interval = self.heartbeat_interval();
            let heartbeat = Heartbeat { interval, ..self.0.current.heartbeat() };
            if orders.send(Order::Heartbeat(heartbeat)).await.is_err() {
                return;
            }
            task::sleep(interval).await;
        }
    }

    /// Returns the time without events after which a link counts as down.
    fn silence_timeout(&self) -> Duration {
        self.heartbeat_interval() * MAX_MISSED_HEARTBEATS + SILENCE_MARGIN
    }

    /// Returns the interval between heartbeats on each link.
    fn heartbeat_interval(&self) -> Duration {
        let links = u32::try_from(self.state().links.len()).unwrap_or(u32::MAX);
        HEARTBEAT_INTERVAL_PER_LINK
            .saturating_mul(links)
            .clamp(HEARTBEAT_INTERVAL_RANGE.0, HEARTBEAT_INTERVAL_RANGE.1)
    }

    fn mark_up(&self, agent: &Arc<str>, orders: Sender<Order>) {
        if let Some(link) = self.state().links.get_mut(agent) {
            link.orders = Some(orders);
        }
        self.0.control.set_link_up(self.endpoints_of(agent), true);
    }

    /// Marks the link as down and fails every attempt that has sent orders over it.
    fn mark_down(&self, agent: &Arc<str>) {
        let mut state = self.state();
        if let Some(link) = state.links.get_mut(agent) {
            link.orders = None;
        }
        let affected: Vec<_> =
            state.routes.iter().filter(|(_, route)| route.agents.contains(agent)).collect();
        for (attempt, route) in affected {
            let _ = route.events.try_send(Event::Failed { attempt: *attempt, cause: FailureCause::LinkLost });
        }
        drop(state);
        self.0.control.set_link_up(self.endpoints_of(agent), false);
    }

    fn endpoints_of(&self, agent: &Arc<str>) -> Vec<Arc<str>> {
        let settings = self.0.current.get();
        settings
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.agent == *agent)
            .map(|(name, _)| name.clone())
            .collect()
    }
}

fn unavailable(error: impl fmt::Display) -> tonic::Status {
    tonic::Status::unavailable(error.to_string())
}
