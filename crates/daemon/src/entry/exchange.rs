//! Peer service: answers other entries and exchanges heartbeats with them.

use std::{
    ops::Bound,
    sync::{Arc, PoisonError},
    time::Duration,
};

use async_std::task::{self, JoinHandle};
use tarragonhill_core::message::{PeerReply, PeerRequest};
use tarragonhill_wire::proto::{self, peer_server};
use tonic::{
    Request, Response, Status,
    transport::{Server, server::TcpIncoming},
};

use crate::entry::context::Context;

/// Minimum and maximum interval between heartbeats to each other entry.
const HEARTBEAT_INTERVAL_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(4));
/// Interval added per entry, so that the total heartbeat rate is independent of their number.
const HEARTBEAT_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(120);

/// Serves requests of other entries.
pub(crate) fn serve(incoming: TcpIncoming, context: Arc<Context>) -> JoinHandle<()> {
    let service = peer_server::PeerServer::new(PeerService(context));
    task::spawn(async move {
        if let Err(error) = Server::builder().add_service(service).serve_with_incoming(incoming).await {
            spdlog::error!("peer server failed: {error}");
        }
    })
}

struct PeerService(Arc<Context>);

#[tonic::async_trait]
impl peer_server::Peer for PeerService {
    async fn exchange(
        &self,
        request: Request<proto::PeerRequest>,
    ) -> Result<Response<proto::PeerReply>, Status> {
        let request = request.into_inner();
        let body = request.body.ok_or_else(|| Status::invalid_argument("empty request"))?;
        let peer_request =
            PeerRequest::try_from(body).map_err(|error| Status::invalid_argument(error.to_string()))?;
        let reply = self.0.control.answer_peer(request.entry.into(), peer_request).await;
        let reply = reply.ok_or_else(|| Status::unavailable("stopping"))?;
        Ok(Response::new(reply.into()))
    }
}

/// Exchanges heartbeats with all other entries until cancelled.
pub(crate) async fn send_heartbeats(context: Arc<Context>) {
    loop {
        let entries = context.entries.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let count = u32::try_from(entries.len()).unwrap_or(u32::MAX);
        context
            .clock
            .sleep(
                HEARTBEAT_INTERVAL_PER_ENTRY
                    .saturating_mul(count)
                    .clamp(HEARTBEAT_INTERVAL_RANGE.0, HEARTBEAT_INTERVAL_RANGE.1),
            )
            .await;
        // An exchange carries both heartbeats, so only the entry with the lower name starts it.
        let later_entries = entries.range::<str, _>((Bound::Excluded(&*context.name), Bound::Unbounded));
        let addresses = context.control.addresses(later_entries.cloned().collect()).await;
        for (name, address) in addresses {
            let context = context.clone();
            task::spawn(async move {
                let peer_request = PeerRequest::Heartbeat(context.current.heartbeat());
                if let Some(PeerReply::Heartbeat(heartbeat)) =
                    context.peers.exchange(&address, &context.name, peer_request).await
                {
                    context.current.record_heartbeat(&name, &heartbeat);
                }
            });
        }
    }
}
