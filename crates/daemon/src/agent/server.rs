//! gRPC server for links, the streams from entries to the agent.

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

/// Minimum interval between heartbeats on a link; used until the entry requests another.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Heartbeats that may be missed before a link is closed.
const MAX_MISSED_HEARTBEATS: u32 = 2;
/// Extra time before a silent link is closed, to allow for scheduling delays.
const SILENCE_MARGIN: Duration = Duration::from_secs(1);

/// Starts the link server; returns its address and task.
pub(crate) fn serve(
    address: SocketAddr,
    control: Control,
    current: Arc<Current>,
) -> Result<(SocketAddr, JoinHandle<()>), StartError> {
    let (incoming, address) = listen("listen", address)?;
    let service =
        agent_server::AgentServer::new(LinkService { control, current, next_link: AtomicU64::new(1) });
    let task = task::spawn(async move {
        if let Err(error) = Server::builder().add_service(service).serve_with_incoming(incoming).await {
            spdlog::error!("link server failed: {error}");
        }
    });
    Ok((address, task))
}

/// Listens on `address` for a tonic server, with `TCP_NODELAY` on every accepted socket.
pub(crate) fn listen(
    setting: &'static str,
    address: SocketAddr,
) -> Result<(TcpIncoming, SocketAddr), StartError> {
    let failed = |error| StartError::Listen { setting, address: address.to_string(), error };
    tarragonhill_wire::listen(address).map_err(failed)
}

struct LinkService {
    control: Control,
    current: Arc<Current>,
    next_link: AtomicU64,
}

type Events = Pin<Box<dyn Stream<Item = Result<proto::Event, Status>> + Send>>;

#[tonic::async_trait]
impl agent_server::Agent for LinkService {
    type LinkStream = Events;

    async fn link(&self, request: Request<Streaming<proto::Order>>) -> Result<Response<Events>, Status> {
        let link = self.next_link.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = async_channel::unbounded();
        self.control.open_link(link, sender.clone());
        let (control, current) = (self.control.clone(), self.current.clone());
        let orders = request.into_inner();
        task::spawn(async move {
            let interval = Interval::default();
            let heartbeats = send_heartbeats(&control, &current, &sender, &interval);
            let receive = receive_orders(&control, &current, link, orders, &interval);
            receive.or(heartbeats).await;
            control.input(Input::LinkLost(link));
            current.freshness(|freshness| freshness.remove_peer(&link_name(link)));
            sender.close();
        });
        Ok(Response::new(Box::pin(receiver.map(|event: Event| Ok(event.into())))))
    }
}

/// Heartbeat interval of a link, as its entry requested it. Entries with many links request a longer one.
#[derive(Default)]
struct Interval(AtomicU64);

impl Interval {
    fn set(&self, interval: Duration) {
        self.0.store(micros(interval), Ordering::Relaxed);
    }

    fn get(&self) -> Duration {
        Duration::from_micros(self.0.load(Ordering::Relaxed)).max(MIN_HEARTBEAT_INTERVAL)
    }
}

/// Receives orders until the link ends or its heartbeats stop. The timeout detects connections that stay
/// open but no longer deliver data.
async fn receive_orders(
    control: &Control,
    current: &Current,
    link: Link,
    mut orders: Streaming<proto::Order>,
    interval: &Interval,
) {
    loop {
        let limit = interval.get() * MAX_MISSED_HEARTBEATS + SILENCE_MARGIN;
        let Ok(Some(Ok(order))) = async_std::future::timeout(limit, orders.next()).await else { return };
        match Order::try_from(order) {
            Ok(Order::Heartbeat(heartbeat)) => {
                interval.set(heartbeat.interval);
                current.record_heartbeat(&link_name(link), &heartbeat);
            }
            Ok(order) => control.input(Input::Order(link, order)),
            Err(error) => spdlog::warn!("ignoring invalid order: {error}"),
        }
    }
}

/// Returns the peer name under which a link's heartbeats are recorded.
fn link_name(link: Link) -> Arc<str> {
    format!("link {link}").into()
}

async fn send_heartbeats(
    control: &Control,
    current: &Current,
    events: &async_channel::Sender<Event>,
    interval: &Interval,
) {
    loop {
        let mut heartbeat = current.heartbeat();
        // Without the control thread the agent does not work, so the link must end.
        let Some(loads) = control.loads().await else { return };
        heartbeat.loads = loads;
        if events.send(Event::Heartbeat(heartbeat)).await.is_err() {
            return;
        }
        task::sleep(interval.get()).await;
    }
}
