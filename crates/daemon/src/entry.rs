//! The entry process.
//!
//! An entry serves callers over HTTP, routes their requests to agents, and answers operators on a
//! separate admin address. Together the entries enforce the rate limits of customers: each customer
//! has one entry as its home.

mod caller;
mod context;
mod control;
mod controller;
mod exchange;
mod homes;
mod links;
mod metrics;
mod once;
mod operators;
mod peers;
mod request;
mod stages;

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_std::task::{self, JoinHandle};
use futures_lite::FutureExt as _;
use tarragonhill_core::{Clock, settings::Snapshot};
use tarragonhill_http::server::{Closer, Server};
use tarragonhill_table::HttpTable;

use crate::{
    StartError,
    agent::bind,
    config::EntrySettings,
    entry::{context::Context, controller::Setup, links::Links, metrics::Metrics, peers::Peers},
    settings::Current,
};

/// Interval at which a shutdown checks for remaining work.
const DRAIN_POLL: Duration = Duration::from_millis(10);
/// Part of the drain time that is reserved for the handover of the shards.
const HANDOVER_TIME: Duration = Duration::from_secs(10);

/// A running entry.
pub struct Entry {
    address: SocketAddr,
    admin: SocketAddr,
    context: Arc<Context>,
    drain: Duration,
    tasks: Vec<JoinHandle<()>>,
    caller_closer: Closer,
    accept_task: JoinHandle<()>,
}

impl Entry {
    /// Binds all addresses and starts the control thread and the tasks of an entry.
    pub async fn start(settings: EntrySettings, clock: Clock) -> Result<Self, StartError> {
        let common = settings.common.clone();
        let caller_server = Server::bind(&common.listen.to_string(), settings.limits).await;
        let caller_server = caller_server.map_err(|error| StartError::Listen {
            setting: "listen",
            address: common.listen.to_string(),
            error,
        })?;
        let admin_server = bind("admin", common.admin).await?;
        let (address, admin) = (caller_server.address(), admin_server.address());
        let closer = caller_server.closer();
        let (incoming, peer) = crate::agent::listen("peer", settings.peer)?;

        let metrics = Metrics::new();
        let current = Arc::new(Current::new(clock.clone()));
        let peers = Peers::default();
        let identity = control::Identity::new(common.name.clone(), peer, common.zone.clone());
        let (home_refresh, home_refreshes) = async_channel::bounded(1);
        let setup = Setup {
            identity,
            policy: settings.policy,
            clock: clock.clone(),
            current: current.clone(),
            peers: peers.clone(),
            home_refresh,
        };
        let control = controller::start(setup).map_err(StartError::Thread)?;
        let links = Links::new(common.name.clone(), control.clone(), current.clone());
        let context = Arc::new(Context {
            name: common.name,
            first_token: settings.first_token,
            first_token_timeout: settings.first_token_timeout,
            rate_wait: settings.rate_wait,
            policy: settings.policy,
            operator_token: settings.operator_token,
            clock: clock.clone(),
            current,
            control,
            links,
            peers,
            table: Arc::new(HttpTable::new(common.table)),
            metrics,
            running: Default::default(),
            is_shutting_down: Default::default(),
            entries: Default::default(),
        });

        let mut tasks = vec![
            task::spawn(follow_settings(context.clone(), common.poll)),
            task::spawn(homes::maintain(context.clone(), settings.hosts, home_refreshes)),
            task::spawn(exchange::send_heartbeats(context.clone())),
            exchange::serve(incoming, context.clone()),
        ];
        let admin_context = context.clone();
        tasks.push(task::spawn(
            admin_server.serve(move |inbound| operators::handle(admin_context.clone(), inbound)),
        ));
        let request_context = context.clone();
        let accept_task =
            task::spawn(caller_server.serve(move |inbound| caller::handle(request_context.clone(), inbound)));
        spdlog::info!("entry started", kv: { name = &*context.name, listen = address.to_string().as_str() });
        Ok(Self { address, admin, context, drain: common.drain, tasks, caller_closer: closer, accept_task })
    }

    /// Returns the address that serves callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that serves operators.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Shuts down gracefully: refuses new requests, lets running ones end, and hands over the shards
    /// that this entry owns. Gives up on what remains after the drain time.
    pub async fn shutdown(self) {
        let context = &self.context;
        context.is_shutting_down.store(true, Ordering::Relaxed);
        let began = context.clock.now();
        let time_left = || self.drain.saturating_sub(context.clock.now().since(began));
        // Connections are still accepted, so that new requests get a refusal instead of an I/O error.
        while time_left() > HANDOVER_TIME && context.running.load(Ordering::Relaxed) > 0 {
            context.clock.sleep(DRAIN_POLL).await;
        }
        // Requests that are still running borrow from the new owners.
        context.control.leave();
        let finished = async {
            self.caller_closer.close().await;
            while !context.control.has_left().await {
                context.clock.sleep(DRAIN_POLL).await;
            }
        };
        finished.or(context.clock.sleep(time_left())).await;
        self.accept_task.cancel().await;
        stop(&self.context, self.tasks).await;
    }

    /// Stops immediately without a drain, like a crash.
    pub async fn kill(self) {
        self.accept_task.cancel().await;
        stop(&self.context, self.tasks).await;
    }
}

async fn stop(context: &Arc<Context>, tasks: Vec<JoinHandle<()>>) {
    context.control.stop();
    context.links.close();
    for task in tasks {
        task.cancel().await;
    }
}

async fn follow_settings(context: Arc<Context>, poll: Duration) {
    let current = context.current.clone();
    let on_change = |snapshot: Arc<Snapshot>| {
        context.links.set_agents(&snapshot);
        context.control.update_settings(snapshot);
    };
    current.follow(&*context.table, poll, None, on_change).await;
}
