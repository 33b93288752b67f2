//! Knowledge of the store, handed from entry to entry.
//!
//! An entry that the store does not reach would refuse every caller if it has just started, and serve them
//! by replaced routes and withdrawn keys if it has not. The other entries have what it lacks; digests tell
//! it who they are and how new their copies are, and it asks them.

use std::{pin::Pin, sync::Arc, time::Duration};

use async_std::{
    future::timeout,
    task::{self, JoinHandle},
};
use futures_lite::stream::{self, Stream};
use prost::Message as _;
use rand::seq::IndexedRandom as _;
use tarragonhill_core::gateway::{digest::Member, knowledge::Knowledge};
use tarragonhill_wire::proto::{self, entry_client::EntryClient, entry_server};
use tonic::{
    Request, Response, Status,
    transport::{Endpoint, Server, server::TcpIncoming},
};

use crate::{context::Context, control::Control, edge::Update};

/// Longest wait for an entry's answer to begin, and for each further chunk of it: it has it in memory.
/// The whole has no deadline, since its size is the operator's to choose.
const LIMIT: Duration = Duration::from_millis(800);
/// Bytes in a chunk of an answer: some hundredths of a second on a slow link.
const CHUNK: usize = 32 << 10;
/// Largest answer that is read, bytes.
const LARGEST: usize = 32 << 20;
/// Pause before all entries are asked again: digests come ten times a second and name new ones.
const PAUSE: Duration = Duration::from_millis(150);
/// How often an entry that has read the store checks whether it lacks what others have.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
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

type Chunks = Pin<Box<dyn Stream<Item = Result<proto::Chunk, Status>> + Send>>;

#[tonic::async_trait]
impl entry_server::Entry for Service {
    type TellStream = Chunks;

    async fn tell(&self, question: Request<proto::Question>) -> Result<Response<Chunks>, Status> {
        let knowledge = self.0.knowledge().await;
        let mut knowledge = knowledge.ok_or_else(|| Status::unavailable("nothing has been read yet"))?;
        if knowledge.versions.configuration <= question.into_inner().configuration {
            knowledge.configuration = Arc::default();
        }
        let bytes = proto::Knowledge::from(&knowledge).encode_to_vec();
        let chunks: Vec<proto::Chunk> =
            bytes.chunks(CHUNK).map(|data| proto::Chunk { data: data.to_vec() }).collect();
        Ok(Response::new(Box::pin(stream::iter(chunks.into_iter().map(Ok)))))
    }
}

/// Asks the other entries until this one is informed, if the store does not answer at once; then for
/// what they have read and the store has not given to this one.
pub(crate) async fn learn(context: Arc<Context>) {
    context.control.informed(&context.clock).await;
    loop {
        if context.control.is_informed() {
            let ahead = context.control.ahead().await;
            let member = ahead.choose(&mut rand::rng()).cloned();
            if let Some(member) = member {
                fetch(&context, &member).await;
            }
            context.clock.sleep(CHECK_INTERVAL).await;
        } else {
            ask_around(&context).await;
            context.clock.sleep(PAUSE).await;
        }
    }
}

async fn ask_around(context: &Context) {
    let mut told = 0;
    for member in context.control.members().await {
        told += usize::from(fetch(context, &member).await);
        if told >= MOST_TOLD {
            return;
        }
    }
}

/// Fetches what another entry has; false if it does not answer.
async fn fetch(context: &Context, member: &Member) -> bool {
    let question = proto::Question { configuration: context.control.versions().await.configuration };
    match ask(member, question).await {
        Ok(knowledge) => {
            take(context, member, knowledge);
            true
        }
        Err(reason) => {
            spdlog::debug!("not told", kv: { peer = &*member.name, reason = reason.as_str() });
            false
        }
    }
}

async fn ask(member: &Member, question: proto::Question) -> Result<Knowledge, String> {
    let endpoint = Endpoint::from_shared(format!("http://{}", member.address));
    let endpoint = endpoint.map_err(|error| error.to_string())?;
    let channel = in_time(endpoint.connect()).await?.map_err(|error| error.to_string())?;
    let mut client = EntryClient::new(channel);
    let told = in_time(client.tell(question)).await?;
    let mut chunks = told.map_err(|status| status.to_string())?.into_inner();
    let mut bytes = Vec::new();
    while let Some(chunk) = in_time(chunks.message()).await?.map_err(|status| status.to_string())? {
        if bytes.len() + chunk.data.len() > LARGEST {
            return Err("answer too large".into());
        }
        bytes.extend_from_slice(&chunk.data);
    }
    let knowledge = proto::Knowledge::decode(bytes.as_slice()).map_err(|error| error.to_string())?;
    Knowledge::try_from(knowledge).map_err(|error| error.to_string())
}

async fn in_time<T>(step: impl Future<Output = T>) -> Result<T, String> {
    timeout(LIMIT, step).await.map_err(|_| "no answer in time".to_string())
}

fn take(context: &Context, member: &Member, knowledge: Knowledge) {
    let Knowledge { versions, configuration, listing } = knowledge;
    let order = versions.configuration;
    spdlog::info!("told by another entry", kv: {
        peer = &*member.name, order, configuration = configuration.len(), endpoints = listing.rows.len()
    });
    if !configuration.is_empty() {
        match context.dialect.decode_catalog(&configuration) {
            Ok(catalog) => {
                let catalog = Arc::new(catalog);
                context.control.update(Update::Catalog { order, catalog, source: configuration });
            }
            Err(reason) => {
                spdlog::warn!("configuration ignored", kv: { peer = &*member.name, reason = reason.as_str() });
                return;
            }
        }
    }
    context.control.update(Update::PeerListing { listing, newest: versions.endpoints });
}
