//! The agent's side of links: a tonic server on async-std tasks.

use std::{
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_std::task::{self, JoinHandle};
use futures_lite::{FutureExt as _, Stream, StreamExt as _};
use tarragonhill_core::{
    agent::{Input, Link},
    clock::micros,
    message::{Event, Order},
};
use tarragonhill_wire::proto::{self, agent_server};
use tonic::{
    Request, Response, Status, Streaming,
    transport::{Server, server::TcpIncoming},
};

use crate::{StartError, agent::handle::Control, settings::Current};

/// How often heartbeats with fresh load go out on a link whose entry has not asked for a pace.
const BEAT: Duration = Duration::from_millis(250);
/// Beats that may be missing before a link is taken for dead.
const MISSED: u32 = 2;
/// Added to the silence allowed, for scheduling.
const SILENCE_GRACE: Duration = Duration::from_secs(1);

/// Listens for entries.
pub(crate) fn serve(
    address: SocketAddr,
    control: Control,
    current: Arc<Current>,
) -> Result<(SocketAddr, JoinHandle<()>), StartError> {
    let (incoming, address) = listen("listen", address)?;
    let service = agent_server::AgentServer::new(Links { control, current, next: AtomicU64::new(1) });
    let task = task::spawn(async move {
        if let Err(error) = Server::builder().add_service(service).serve_with_incoming(incoming).await {
            spdlog::error!("link server ended: {error}");
        }
    });
    Ok((address, task))
}

/// Listens on `address` for tonic, with no-delay on every accepted socket.
pub(crate) fn listen(
    setting: &'static str,
    address: SocketAddr,
) -> Result<(TcpIncoming, SocketAddr), StartError> {
    let failed = |error| StartError::Listen { setting, address: address.to_string(), error };
    tarragonhill_wire::listen(address).map_err(failed)
}

struct Links {
    control: Control,
    current: Arc<Current>,
    next: AtomicU64,
}

type Events = Pin<Box<dyn Stream<Item = Result<proto::Event, Status>> + Send>>;

#[tonic::async_trait]
impl agent_server::Agent for Links {
    type LinkStream = Events;

    async fn link(&self, request: Request<Streaming<proto::Order>>) -> Result<Response<Events>, Status> {
        let link = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = async_channel::unbounded();
        self.control.opened(link, sender.clone());
        let (control, current) = (self.control.clone(), self.current.clone());
        let orders = request.into_inner();
        task::spawn(async move {
            let pace = Pace::default();
            let heartbeats = heartbeat(&control, &current, &sender, &pace);
            let reads = read(&control, &current, link, orders, &pace);
            reads.or(heartbeats).await;
            control.input(Input::LinkLost(link));
            current.freshness(|freshness| freshness.remove_peer(&link_name(link)));
            sender.close();
        });
        Ok(Response::new(Box::pin(receiver.map(|event: Event| Ok(event.into())))))
    }
}

/// How often a link's entry wants to be beaten to; with many links it wants fewer beats on each.
#[derive(Default)]
struct Pace(AtomicU64);

impl Pace {
    fn set(&self, every: Duration) {
        self.0.store(micros(every), Ordering::Relaxed);
    }

    fn every(&self) -> Duration {
        Duration::from_micros(self.0.load(Ordering::Relaxed)).max(BEAT)
    }
}

/// Reads orders until the link ends or falls silent. An open connection can go silent for good
/// while new ones work; nothing but the missing heartbeats shows it.
async fn read(
    control: &Control,
    current: &Current,
    link: Link,
    mut orders: Streaming<proto::Order>,
    pace: &Pace,
) {
    loop {
        let silence = pace.every() * MISSED + SILENCE_GRACE;
        let Ok(Some(Ok(order))) = async_std::future::timeout(silence, orders.next()).await else { return };
        match Order::try_from(order) {
            Ok(Order::Heartbeat(heartbeat)) => {
                pace.set(heartbeat.interval);
                current.record_heartbeat(&link_name(link), &heartbeat);
            }
            Ok(order) => control.input(Input::Order(link, order)),
            Err(error) => spdlog::warn!("order ignored: {error}"),
        }
    }
}

/// Name under which an entry's heartbeats count.
fn link_name(link: Link) -> Arc<str> {
    format!("link {link}").into()
}

async fn heartbeat(control: &Control, current: &Current, events: &async_channel::Sender<Event>, pace: &Pace) {
    loop {
        let mut heartbeat = current.heartbeat();
        // Without its control thread the agent is dead, and must look so.
        let Some(loads) = control.loads().await else { return };
        heartbeat.loads = loads;
        if events.send(Event::Heartbeat(heartbeat)).await.is_err() {
            return;
        }
        task::sleep(pace.every()).await;
    }
}
