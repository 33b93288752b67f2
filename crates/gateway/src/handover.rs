//! Knowledge of the store, handed from entry to entry.
//!
//! An entry that starts while the store is away, or turns its host away, has no configuration and would
//! refuse every caller until the store is back. The other entries still have what they read; digests tell
//! it who they are, and it asks them.

use std::{sync::Arc, time::Duration};

use async_std::{
    future::timeout,
    task::{self, JoinHandle},
};
use tarragonhill_core::gateway::{digest::Member, knowledge::Knowledge};
use tarragonhill_wire::proto::{self, entry_client::EntryClient, entry_server};
use tonic::{
    Request, Response, Status,
    transport::{Endpoint, Server, server::TcpIncoming},
};

use crate::{context::Context, control::Control, edge::Update};

/// Longest wait for an entry's answer; it has it in memory.
const LIMIT: Duration = Duration::from_millis(400);
/// Pause before all entries are asked again: digests come ten times a second and name new ones.
const PAUSE: Duration = Duration::from_millis(150);
/// Entries that are listened to: one may itself have been cut off from the store for long, and the newest
/// of what they tell is taken.
const MOST_TOLD: usize = 3;

/// Serves other entries.
pub(crate) fn serve(incoming: TcpIncoming, control: Control) -> JoinHandle<()> {
    let service = entry_server::EntryServer::new(Service(control));
    task::spawn(async move {
        if let Err(error) = Server::builder().add_service(service).serve_with_incoming(incoming).await {
            spdlog::error!("handover ended", kv: { reason = error.to_string().as_str() });
        }
    })
}

struct Service(Control);

#[tonic::async_trait]
impl entry_server::Entry for Service {
    async fn tell(&self, _: Request<proto::Question>) -> Result<Response<proto::Knowledge>, Status> {
        let knowledge = self.0.knowledge().await;
        let knowledge = knowledge.ok_or_else(|| Status::unavailable("nothing has been read yet"))?;
        Ok(Response::new(proto::Knowledge::from(&knowledge)))
    }
}

/// Asks the other entries until this one is informed, if the store does not answer at once.
pub(crate) async fn learn(context: Arc<Context>) {
    context.control.informed(&context.clock).await;
    while !context.control.is_informed() {
        ask_around(&context).await;
        context.clock.sleep(PAUSE).await;
    }
}

async fn ask_around(context: &Context) {
    let mut told = 0;
    for member in context.control.members().await {
        match ask(&member).await {
            Ok(knowledge) => {
                take(context, &member, knowledge);
                told += 1;
            }
            Err(reason) => {
                spdlog::debug!("not told", kv: { peer = &*member.name, reason = reason.as_str() });
            }
        }
        if told >= MOST_TOLD {
            return;
        }
    }
}

async fn ask(member: &Member) -> Result<Knowledge, String> {
    let endpoint = Endpoint::from_shared(format!("http://{}", member.address));
    let endpoint = endpoint.map_err(|error| error.to_string())?;
    let told = async {
        let channel = endpoint.connect().await.map_err(|error| error.to_string())?;
        let told = EntryClient::new(channel).tell(proto::Question {}).await;
        told.map_err(|status| status.to_string())
    };
    let told = timeout(LIMIT, told).await.map_err(|_| "no answer in time".to_string())??;
    Knowledge::try_from(told.into_inner()).map_err(|error| error.to_string())
}

fn take(context: &Context, member: &Member, knowledge: Knowledge) {
    let Knowledge { order, configuration, listing } = knowledge;
    match context.dialect.catalog(&configuration) {
        Ok(catalog) => {
            spdlog::info!("told by another entry", kv: {
                peer = &*member.name, order, version = catalog.version(), endpoints = listing.rows.len()
            });
            let update = Update::Catalog { order, catalog: Arc::new(catalog), source: configuration };
            context.control.update(update);
            context.control.update(Update::ToldListing(listing));
        }
        Err(reason) => {
            spdlog::warn!("configuration ignored", kv: { peer = &*member.name, reason = reason.as_str() });
        }
    }
}
