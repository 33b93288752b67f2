//! An endpoint that answers with bytes of the test's choice, also before it has read a request whole.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use async_std::{
    net::TcpListener,
    task::{self, JoinHandle},
};
use tarragonhill_h1::{Connection, body::Decoder, head::Request};

use super::server::reset_on_close;
use crate::sim::lock;

const MAX_HEAD_BYTES: usize = 1 << 20;
/// Receive buffer of a connection, bytes. Small, so that a long request is still being written when it is answered.
const RECEIVE_BUFFER: usize = 4 << 10;
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);

/// A part of an answer. After the last one, the next request is read.
#[derive(Clone, Debug)]
pub enum Step {
    /// Sends bytes. `{id}` stands for the id of the request.
    Send(Vec<u8>),
    /// Reads the body of the request.
    ReadBody,
    /// Waits.
    Wait(Duration),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}

impl Step {
    /// Returns the step that sends these bytes.
    pub fn send(bytes: impl AsRef<[u8]>) -> Self {
        Self::Send(bytes.as_ref().to_vec())
    }
}

/// A running endpoint, which is stopped when dropped.
pub struct Endpoint {
    address: SocketAddr,
    heads: Arc<Mutex<Vec<Request>>>,
    accepting: Option<JoinHandle<()>>,
}

impl Endpoint {
    /// Starts an endpoint that answers by these steps.
    pub async fn start(
        answer: impl Fn(&Request) -> Vec<Step> + Clone + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        socket.listen(256)?;
        socket.set_nonblocking(true)?;
        let listener = TcpListener::from(std::net::TcpListener::from(socket));
        let address = listener.local_addr()?;
        let heads: Arc<Mutex<Vec<Request>>> = Arc::default();
        let received = heads.clone();
        let accepting = task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let connection = Connection::new(stream, TCP_USER_TIMEOUT);
                task::spawn(serve(connection, answer.clone(), received.clone()));
            }
        });
        Ok(Self { address, heads, accepting: Some(accepting) })
    }

    /// Returns the local address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the heads of the requests that were received.
    pub fn heads(&self) -> Vec<Request> {
        lock(&self.heads).clone()
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        if let Some(accepting) = self.accepting.take() {
            task::spawn(accepting.cancel());
        }
    }
}

async fn serve(
    mut connection: Connection,
    answer: impl Fn(&Request) -> Vec<Step>,
    heads: Arc<Mutex<Vec<Request>>>,
) {
    while let Ok(head) = connection.read_request(MAX_HEAD_BYTES).await {
        lock(&heads).push(head.clone());
        for step in answer(&head) {
            let sent = match step {
                Step::Send(bytes) => connection.write(&with_id(&bytes, &head)).await.is_ok(),
                Step::ReadBody => read_body(&mut connection, &head).await,
                Step::Wait(span) => {
                    task::sleep(span).await;
                    true
                }
                Step::Close => return,
                Step::Reset => return reset_on_close(&connection),
            };
            if !sent {
                return;
            }
        }
    }
}

/// Reads a body and returns whether it was whole.
async fn read_body(connection: &mut Connection, head: &Request) -> bool {
    let Ok(framing) = head.framing() else { return false };
    connection.skip_body(&mut Decoder::new(framing), usize::MAX).await.is_ok()
}

/// Puts the id of a request in the places of `{id}`.
fn with_id(bytes: &[u8], head: &Request) -> Vec<u8> {
    const PLACE: &[u8] = b"{id}";
    let id = head.fields.get("Tarragonhill-Request-Id").unwrap_or_default();
    let (mut rest, mut replaced) = (bytes, Vec::with_capacity(bytes.len()));
    while let Some(at) = rest.windows(PLACE.len()).position(|window| window == PLACE) {
        replaced.extend_from_slice(&rest[..at]);
        replaced.extend_from_slice(id.as_bytes());
        rest = &rest[at + PLACE.len()..];
    }
    replaced.extend_from_slice(rest);
    replaced
}
