//! A small server that leaves every byte of the answers to its handler.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_std::{
    net::{TcpListener, TcpStream},
    task::{self, JoinHandle},
};
use bytes::Bytes;
use tarragonhill_h1::{Connection, body::Decoder, head::Request};

use crate::standin::lock;

/// Largest head and body, bytes.
const LARGEST: usize = 8 << 20;
/// Bytes may stay unacknowledged this long.
const USER_TIMEOUT: Duration = Duration::from_secs(10);

/// What becomes of a connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Then {
    /// It takes the next request.
    Keep,
    /// It is closed.
    Close,
    /// It is reset.
    Reset,
}

/// A running server; killed when dropped.
pub(crate) struct Server {
    address: SocketAddr,
    tasks: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl Server {
    /// Serves on an address, port 0 for any, with a handler for each request.
    pub(crate) async fn start<F, Fut>(address: SocketAddr, handler: F) -> io::Result<Self>
    where
        F: Fn(Request, Bytes, Connection) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = (Connection, Then)> + Send + 'static,
    {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(256)?;
        socket.set_nonblocking(true)?;
        let listener = TcpListener::from(std::net::TcpListener::from(socket));
        let address = listener.local_addr()?;
        let tasks: Arc<Mutex<Vec<JoinHandle<()>>>> = Arc::default();
        let connections = tasks.clone();
        let accepting = task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let task = task::spawn(converse(stream, handler.clone()));
                lock(&connections).push(task);
            }
        });
        lock(&tasks).push(accepting);
        Ok(Self { address, tasks })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends at once, with all connections, as a crash would.
    pub(crate) async fn kill(&self) {
        let tasks = std::mem::take(&mut *lock(&self.tasks));
        for task in tasks {
            task.cancel().await;
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        // A dropped handle detaches its task; cancelling needs the runtime.
        for task in std::mem::take(&mut *lock(&self.tasks)) {
            task::spawn(task.cancel());
        }
    }
}

async fn converse<F, Fut>(stream: TcpStream, handler: F)
where
    F: Fn(Request, Bytes, Connection) -> Fut,
    Fut: Future<Output = (Connection, Then)>,
{
    let mut connection = Connection::new(stream, USER_TIMEOUT);
    while let Ok(head) = connection.read_request(LARGEST).await {
        let Ok(framing) = head.framing() else { return };
        let Ok(body) = connection.read_body(&mut Decoder::new(framing), LARGEST).await else { return };
        let then;
        (connection, then) = handler(head, body, connection).await;
        match then {
            Then::Keep => {}
            Then::Close => return,
            Then::Reset => return reset(&connection),
        }
    }
}

/// Makes the system reset the connection when it is dropped.
fn reset(connection: &Connection) {
    let _ = socket2::SockRef::from(connection.stream()).set_linger(Some(Duration::ZERO));
}
