//! An HTTP server whose handlers write responses themselves, so that they can send invalid ones.

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

use crate::sim::lock;

/// Maximum size of a request head, and of a request body.
const MAX_BYTES: usize = 8 << 20;
/// A connection whose sent bytes stay unacknowledged for this long counts as dead.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Response to what is not a valid request; the connection closes after it.
const BAD_REQUEST: &[u8] = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// What to do with a connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Read the next request.
    Keep,
    /// Close the connection.
    Close,
    /// Reset the connection.
    Reset,
    /// End the process: listen no more, and close the connection or reset it.
    Exit { is_reset: bool },
}

/// A running server, which is stopped when dropped.
pub(crate) struct Server {
    address: SocketAddr,
    tasks: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl Server {
    /// Starts a server. Port 0 selects an unused port.
    pub(crate) async fn start<F, Fut>(address: SocketAddr, handler: F) -> io::Result<Self>
    where
        F: Fn(Request, Bytes, Connection) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = (Connection, Action)> + Send + 'static,
    {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(256)?;
        socket.set_nonblocking(true)?;
        let listener = Arc::new(TcpListener::from(std::net::TcpListener::from(socket)));
        let address = listener.local_addr()?;
        let tasks: Arc<Mutex<Vec<JoinHandle<()>>>> = Arc::default();
        let connections = tasks.clone();
        let accept_task = task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let task = task::spawn(serve_connection(stream, listener.clone(), handler.clone()));
                lock(&connections).push(task);
            }
        });
        lock(&tasks).push(accept_task);
        Ok(Self { address, tasks })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops at once and closes all connections, as a crash does.
    pub(crate) async fn kill(&self) {
        let tasks = std::mem::take(&mut *lock(&self.tasks));
        for task in tasks {
            task.cancel().await;
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        // Dropping a handle only detaches its task.
        for task in std::mem::take(&mut *lock(&self.tasks)) {
            task::spawn(task.cancel());
        }
    }
}

async fn serve_connection<F, Fut>(stream: TcpStream, listener: Arc<TcpListener>, handler: F)
where
    F: Fn(Request, Bytes, Connection) -> Fut,
    Fut: Future<Output = (Connection, Action)>,
{
    let mut connection = Connection::new(stream, TCP_USER_TIMEOUT);
    while let Ok(head) = connection.read_request(MAX_BYTES).await {
        if !is_target(&head.target) {
            let _ = connection.write(BAD_REQUEST).await;
            return;
        }
        let Ok(framing) = head.framing() else { return };
        let Ok(body) = connection.read_body(&mut Decoder::new(framing), MAX_BYTES).await else { return };
        let action;
        (connection, action) = handler(head, body, connection).await;
        match action {
            Action::Keep => {}
            Action::Close => return,
            Action::Reset => return reset_on_close(&connection),
            Action::Exit { is_reset } => {
                let _ = socket2::SockRef::from(&*listener).shutdown(std::net::Shutdown::Both);
                if is_reset {
                    reset_on_close(&connection);
                }
                return;
            }
        }
    }
}

/// Returns whether a request target has the form of a path and a query (RFC 3986).
fn is_target(target: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@/?".contains(&byte);
    let mut rest = target.as_bytes();
    loop {
        rest = match rest {
            [] => return target.starts_with('/'),
            [b'%', high, low, rest @ ..] if high.is_ascii_hexdigit() && low.is_ascii_hexdigit() => rest,
            [byte, rest @ ..] if is_plain(*byte) => rest,
            _ => return false,
        };
    }
}

/// Makes the operating system reset the connection when it is closed.
pub(crate) fn reset_on_close(connection: &Connection) {
    let _ = socket2::SockRef::from(connection.stream()).set_linger(Some(Duration::ZERO));
}
