//! Answers other entries, and exchanges heartbeats with them.

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

/// Fewest and most time between heartbeats to each other entry.
const BEAT: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(4));
/// Time that each entry adds to the interval, so that what beats cost stays the same.
const BEAT_PER_ENTRY: Duration = Duration::from_millis(120);

/// Serves peers.
pub(crate) fn serve(incoming: TcpIncoming, context: Arc<Context>) -> JoinHandle<()> {
    let service = peer_server::PeerServer::new(Service(context));
    task::spawn(async move {
        if let Err(error) = Server::builder().add_service(service).serve_with_incoming(incoming).await {
            spdlog::error!("peer server ended: {error}");
        }
    })
}

struct Service(Arc<Context>);

#[tonic::async_trait]
impl peer_server::Peer for Service {
    async fn exchange(
        &self,
        request: Request<proto::PeerRequest>,
    ) -> Result<Response<proto::PeerReply>, Status> {
        let request = request.into_inner();
        let body = request.body.ok_or_else(|| Status::invalid_argument("empty request"))?;
        let ask = PeerRequest::try_from(body).map_err(|error| Status::invalid_argument(error.to_string()))?;
        let answer = self.0.control.answer(request.entry.into(), ask).await;
        let answer = answer.ok_or_else(|| Status::unavailable("stopping"))?;
        Ok(Response::new(answer.into()))
    }
}

/// Beats to all other entries for ever.
pub(crate) async fn heartbeat(context: Arc<Context>) {
    loop {
        let entries = context.entries.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let count = u32::try_from(entries.len()).unwrap_or(u32::MAX);
        context.clock.sleep(BEAT_PER_ENTRY.saturating_mul(count).clamp(BEAT.0, BEAT.1)).await;
        // An exchange tells both sides, so one of each pair begins it.
        let later = entries.range::<str, _>((Bound::Excluded(&*context.name), Bound::Unbounded));
        let addresses = context.control.addresses(later.cloned().collect()).await;
        for (name, address) in addresses {
            let context = context.clone();
            task::spawn(async move {
                let ask = PeerRequest::Heartbeat(context.current.heartbeat());
                if let Some(PeerReply::Heartbeat(heartbeat)) =
                    context.peers.ask(&address, &context.name, ask).await
                {
                    context.current.record_heartbeat(&name, &heartbeat);
                }
            });
        }
    }
}
