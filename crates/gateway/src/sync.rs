//! Exchange of store snapshots between replicas.
//!
//! A replica that cannot reach the store has no configuration after startup, or an outdated one. It then
//! fetches a snapshot from a peer. Digests carry the peers' addresses and the versions of their copies.

use std::{sync::Arc, time::Duration};

use async_std::task::{self, JoinHandle};
use prost::Message as _;
use rand::seq::IndexedRandom as _;
use tarragonhill_core::gateway::{
    digest::Member,
    position::{Edition, Position},
    snapshot::Snapshot,
};
use tarragonhill_wire::proto::{self, entry_client::EntryClient, entry_server};
use tonic::{
    Request, Response, Status,
    transport::{Endpoint, Server, server::TcpIncoming},
};

use crate::{
    context::Context,
    control::Control,
    edge::Update,
    mirror::Mirror,
    transfer::{Chunks, chunked, collect, with_timeout},
};

/// Delay before peers are asked again during startup.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Interval at which an initialized replica checks whether a peer has newer data.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Number of snapshots fetched at startup. A single peer may itself have an outdated copy.
const MAX_SNAPSHOTS: usize = 3;

/// Serves snapshots, and this replica's copy of the endpoint table, to peers.
pub(crate) fn serve(incoming: TcpIncoming, control: Control, mirror: Mirror) -> JoinHandle<()> {
    let service = entry_server::EntryServer::new(Service { control, mirror });
    task::spawn(async move {
        if let Err(error) = Server::builder().add_service(service).serve_with_incoming(incoming).await {
            spdlog::error!("snapshot server failed", kv: { reason = error.to_string().as_str() });
        }
    })
}

struct Service {
    control: Control,
    mirror: Mirror,
}

#[tonic::async_trait]
impl entry_server::Entry for Service {
    type TellStream = Chunks;
    type FollowStream = Chunks;

    async fn tell(&self, question: Request<proto::Question>) -> Result<Response<Chunks>, Status> {
        let snapshot = self.control.snapshot().await;
        let mut snapshot = snapshot.ok_or_else(|| Status::unavailable("nothing has been read yet"))?;
        // The peer already has this configuration, so it is left out.
        if snapshot.versions.configuration <= Edition::from(question.into_inner()) {
            snapshot.configuration = Arc::default();
        }
        Ok(chunked(&proto::Knowledge::from(&snapshot).encode_to_vec()))
    }

    async fn follow(&self, position: Request<proto::Position>) -> Result<Response<Chunks>, Status> {
        let proto::Position { has_table, after, wait_ms, era } = position.into_inner();
        // A reader that knows nothing of eras would mistake one history for the other.
        let is_understood = era.is_some() || !self.mirror.names_era();
        let after = has_table.then(|| Position::new(era.unwrap_or(0), after));
        let batch = match is_understood {
            true => self.mirror.serve(after, Duration::from_millis(wait_ms)).await,
            false => None,
        };
        let batch = batch.ok_or_else(|| Status::unavailable("the store cannot be read"))?;
        Ok(chunked(&proto::Batch::from(&batch).encode_to_vec()))
    }
}

/// Fetches snapshots from peers until this replica is initialized, unless the store responds soon after
/// startup. Afterwards, fetches a snapshot whenever a peer has data that the store should have delivered.
pub(crate) async fn run(context: Arc<Context>) {
    context.control.wait_initialized(&context.clock).await;
    loop {
        if context.control.is_initialized() {
            let newer = context.control.newer_peers().await;
            let member = newer.choose(&mut rand::rng()).cloned();
            if let Some(member) = member {
                fetch(&context, &member).await;
            }
            context.clock.sleep(CHECK_INTERVAL).await;
        } else {
            fetch_from_peers(&context).await;
            context.clock.sleep(RETRY_DELAY).await;
        }
    }
}

async fn fetch_from_peers(context: &Context) {
    let mut fetched = 0;
    for member in context.control.members().await {
        fetched += usize::from(fetch(context, &member).await);
        if fetched >= MAX_SNAPSHOTS {
            return;
        }
    }
}

/// Fetches and applies a peer's snapshot. Returns whether the peer sent one.
async fn fetch(context: &Context, member: &Member) -> bool {
    let question = proto::Question::from(context.control.versions().await.configuration);
    match request_snapshot(member, question).await {
        Ok(snapshot) => {
            apply(context, member, snapshot);
            true
        }
        Err(reason) => {
            spdlog::debug!("fetching a snapshot failed", kv: { peer = &*member.name, reason = reason.as_str() });
            false
        }
    }
}

async fn request_snapshot(member: &Member, question: proto::Question) -> Result<Snapshot, String> {
    let endpoint = Endpoint::from_shared(format!("http://{}", member.address));
    let endpoint = endpoint.map_err(|error| error.to_string())?;
    let channel = with_timeout(endpoint.connect()).await?.map_err(|error| error.to_string())?;
    let mut client = EntryClient::new(channel);
    let response = with_timeout(client.tell(question)).await?;
    let bytes = collect(response.map_err(|status| status.to_string())?.into_inner()).await?;
    let snapshot = proto::Knowledge::decode(bytes.as_slice()).map_err(|error| error.to_string())?;
    Snapshot::try_from(snapshot).map_err(|error| error.to_string())
}

fn apply(context: &Context, member: &Member, snapshot: Snapshot) {
    let Snapshot { versions, configuration, evacuations, listing } = snapshot;
    let Edition { version, position } = versions.configuration;
    spdlog::info!("snapshot fetched from a peer", kv: {
        peer = &*member.name, version, era = position.era(), order = position.version(), configuration = configuration.len(), endpoints = listing.rows.len()
    });
    context.control.update(Update::PeerEvacuations(evacuations));
    if !configuration.is_empty() {
        match context.dialect.decode_catalog(&configuration) {
            Ok(catalog) => {
                let catalog = Arc::new(catalog);
                context.control.update(Update::Catalog { position, catalog, source: configuration });
            }
            Err(reason) => {
                spdlog::warn!("invalid configuration ignored", kv: { peer = &*member.name, reason = reason.as_str() });
                return;
            }
        }
    }
    context.control.update(Update::PeerListing { listing, newest: versions.endpoints });
}
