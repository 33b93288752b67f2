//! The address for readiness, metrics and state, which anyone may call: bounded like callers' connections.

use std::{future::Future, sync::Arc, time::Duration};

use async_std::{
    future::timeout,
    net::{TcpListener, TcpStream},
    task,
};
use tarragonhill_core::gateway::{catalog::Limits, connections::Phase as ConnectionPhase, held::Purpose};
use tarragonhill_h1::{
    body::Framing,
    head::{Request, Response},
};

use crate::{
    caller::ResponseWriter,
    client::{Client, Clients},
    context::Context,
    frontend::{accept_one, run_until},
    reader::{Reader, Unread},
    shutdown::Phase,
};

/// Time in which a client has to take a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a client is asked to wait when a page cannot be made for it at the moment, in seconds.
const RETRY_AFTER_S: &str = "1";

/// A page, without framing fields.
#[derive(Clone, Debug)]
pub struct Page {
    /// Status of the response.
    pub status: u16,
    /// Media type of the body.
    pub content_type: &'static str,
    /// The body.
    pub body: Vec<u8>,
}

/// How much making a page costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cost {
    /// Next to nothing: made for everyone at once.
    Small,
    /// Much of the routing state is read: made for one client after the other.
    Large,
}

/// Makes the pages of the address.
pub trait Pages: Send + Sync + 'static {
    /// Returns what the page for a request costs.
    fn cost(&self, request: &Request) -> Cost;

    /// Makes the page for a request.
    fn page(&self, request: Request) -> impl Future<Output = Page> + Send;
}

/// Serves pages until this is cancelled.
pub(crate) async fn serve<P: Pages>(
    context: Arc<Context>,
    listener: TcpListener,
    clients: Arc<Clients>,
    pages: P,
) {
    let pages = Arc::new(pages);
    let (turn, turns) = async_channel::bounded(1);
    // The turn to make a large page is passed on by whoever has it.
    let _ = turn.try_send(());
    let turns = Turns { turn, turns };
    loop {
        let (stream, client) = accept_one(&context.clock, &listener, &clients).await;
        let (context, pages, turns) = (context.clone(), pages.clone(), turns.clone());
        task::spawn(async move {
            let evicted = client.evicted();
            let served = Box::pin(serve_connection(&context, stream, client, &*pages, &turns));
            let served = run_until(served, context.phases.reached(Phase::Ended));
            run_until(served, evicted).await;
        });
    }
}

/// The turn to make a large page.
#[derive(Clone)]
struct Turns {
    turn: async_channel::Sender<()>,
    turns: async_channel::Receiver<()>,
}

/// Passes the turn on when it is dropped.
struct Turn<'a>(&'a Turns);

impl Turns {
    async fn wait(&self) -> Turn<'_> {
        let _ = self.turns.recv().await;
        Turn(self)
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        let _ = self.0.turn.try_send(());
    }
}

async fn serve_connection<P: Pages>(
    context: &Context,
    stream: TcpStream,
    client: Arc<Client>,
    pages: &P,
    turns: &Turns,
) {
    let mut reader = Reader::new(context, stream, client.clone());
    loop {
        let limits = context.control.catalog().map_or_else(Limits::default, |catalog| catalog.limits());
        if !reader.wait_for_bytes(limits, true).await {
            return;
        }
        let head = match read_request(&mut reader, limits).await {
            Ok(head) => head,
            Err(Unread::Rejected(status)) => return reader.reject(status).await,
            Err(Unread::Refused(..)) => return reader.reject(503).await,
            Err(Unread::Disconnected) => return,
        };
        let stream = reader.stream().clone();
        let mut writer =
            ResponseWriter::new(stream, &head, context.phases.clone(), &context.held, client.clone());
        let responding = Box::pin(respond(context, &client, head, pages, turns, &mut writer));
        if run_until(responding, reader.wait_for_close()).await.is_none() {
            return;
        }
        if writer.status == 200 {
            client.record_served();
        }
        reader.end_request();
        if !writer.keeps_alive() {
            return reader.linger().await;
        }
    }
}

/// Reads a request, and discards its body.
async fn read_request(reader: &mut Reader<'_>, limits: Limits) -> Result<Request, Unread> {
    let head = reader.read_head(limits).await?;
    let framing = head.framing().map_err(|_| Unread::Rejected(400))?;
    reader.discard_body(framing, limits).await?;
    Ok(head)
}

async fn respond<P: Pages>(
    context: &Context,
    client: &Client,
    head: Request,
    pages: &P,
    turns: &Turns,
    writer: &mut ResponseWriter,
) {
    // Kept until the client has taken the page, so that clients that read slowly hold only one.
    let _turn = match pages.cost(&head) {
        Cost::Small => None,
        Cost::Large => {
            // Who waits gives way to others.
            client.enter(ConnectionPhase::Idle);
            Some(turns.wait().await)
        }
    };
    client.enter(ConnectionPhase::Serving);
    let mut page = pages.page(head).await;
    // Operators need these pages most while callers hold much.
    let mut guard = context.held.guard(Purpose::Response);
    let mut response = Response::new(page.status);
    if guard.set(page.body.len()).is_err() {
        page.body = Vec::new();
        response = Response::new(503);
        response.fields.push("Retry-After", RETRY_AFTER_S);
    }
    response.fields.push("Content-Type", page.content_type);
    let framing = Framing::Length(page.body.len() as u64);
    let writing = writer.write_whole(response, &page.body, framing);
    if !matches!(timeout(WRITE_TIMEOUT, writing).await, Ok(Ok(()))) {
        spdlog::debug!("a page was not taken in time");
    }
}
