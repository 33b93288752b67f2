//! The entry role: faces callers and operators, and homes customers.

mod caller;
mod context;
mod control;
mod exchange;
mod homes;
mod links;
mod metrics;
mod once;
mod operators;
mod owner;
mod peers;
mod request;
mod stages;

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_std::task::{self, JoinHandle};
use tarragonhill_core::{Clock, settings::Snapshot};
use tarragonhill_http::server::{Closer, Server};
use tarragonhill_table::HttpTable;

use crate::{
    StartError,
    agent::bind,
    config::EntrySettings,
    entry::{context::Context, links::Links, metrics::Metrics, owner::Setup, peers::Peers},
    settings::Current,
};

/// How often a shutdown looks whether everything has ended.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// A running entry.
pub struct Entry {
    address: SocketAddr,
    admin: SocketAddr,
    context: Arc<Context>,
    drain: Duration,
    tasks: Vec<JoinHandle<()>>,
    callers: Closer,
    accept: JoinHandle<()>,
}

impl Entry {
    /// Starts an entry.
    pub async fn start(settings: EntrySettings, clock: Clock) -> Result<Self, StartError> {
        let common = settings.common.clone();
        let callers = Server::bind(&common.listen.to_string(), settings.limits).await;
        let callers = callers.map_err(|error| StartError::Listen {
            setting: "listen",
            address: common.listen.to_string(),
            error,
        })?;
        let admin_server = bind("admin", common.admin).await?;
        let (address, admin) = (callers.address(), admin_server.address());
        let closer = callers.closer();
        let (incoming, peer) = crate::agent::listen("peer", settings.peer)?;

        let metrics = Metrics::new();
        let current = Arc::new(Current::new(clock.clone()));
        let peers = Peers::default();
        let identity = control::Identity::new(common.name.clone(), peer, common.zone.clone());
        let (look, looks) = async_channel::bounded(1);
        let setup = Setup {
            identity,
            policy: settings.policy,
            clock: clock.clone(),
            current: current.clone(),
            peers: peers.clone(),
            look,
        };
        let control = owner::start(setup).map_err(StartError::Thread)?;
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
            leaving: Default::default(),
            entries: Default::default(),
        });

        let mut tasks = vec![
            task::spawn(follow(context.clone(), common.poll)),
            task::spawn(homes::keep(context.clone(), settings.hosts, looks)),
            task::spawn(exchange::heartbeat(context.clone())),
            exchange::serve(incoming, context.clone()),
        ];
        let operators = context.clone();
        tasks.push(task::spawn(
            admin_server.serve(move |inbound| operators::answer(operators.clone(), inbound)),
        ));
        let served = context.clone();
        let accept = task::spawn(callers.serve(move |inbound| caller::answer(served.clone(), inbound)));
        spdlog::info!("entry started", kv: { name = &*context.name, listen = address.to_string().as_str() });
        Ok(Self { address, admin, context, drain: common.drain, tasks, callers: closer, accept })
    }

    /// Where callers reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where operators reach it.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Takes no new requests, lets running ones end, hands its customers over, then stops.
    pub async fn shutdown(self) {
        let context = &self.context;
        context.leaving.store(true, Ordering::Relaxed);
        let began = context.clock.now();
        let left = || context.clock.now().since(began) < self.drain;
        // Still accepting: whoever comes now is told to go elsewhere, instead of a broken connection.
        while left() && context.running.load(Ordering::Relaxed) > 0 {
            context.clock.sleep(DRAIN_POLL).await;
        }
        self.callers.close().await;
        self.accept.cancel().await;
        context.control.leave();
        while left() && !context.control.has_left().await {
            context.clock.sleep(DRAIN_POLL).await;
        }
        stop(&self.context, self.tasks).await;
    }

    /// Stops at once, as a crash would.
    pub async fn kill(self) {
        self.accept.cancel().await;
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

async fn follow(context: Arc<Context>, poll: Duration) {
    let current = context.current.clone();
    let adopted = |snapshot: Arc<Snapshot>| {
        context.links.want(&snapshot);
        context.control.settings(snapshot);
    };
    current.follow(&*context.table, poll, None, adopted).await;
}
