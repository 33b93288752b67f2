//! A TCP proxy on loopback that holds bytes back or resets connections.

use std::{
    collections::BTreeMap,
    io,
    net::{Shutdown, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use async_std::{
    net::{TcpListener, TcpStream},
    task::{self, JoinHandle},
};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, future};

use crate::sim::lock;

const BUFFER_SIZE: usize = 16 << 10;
/// Interval at which a connection that is held back checks whether it may go on.
const HOLD_INTERVAL: Duration = Duration::from_millis(10);

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// State shared by the connections of a proxy.
#[derive(Default)]
struct Shared {
    is_held: AtomicBool,
    /// Both ends of each connection, by the order of their acceptance.
    connections: Mutex<BTreeMap<u64, [TcpStream; 2]>>,
}

/// A running proxy, which is stopped when dropped.
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    accept: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Starts a proxy that listens at `listen` and connects to `target`.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let state = shared.clone();
        let accept = task::spawn(async move {
            for number in 0.. {
                match listener.accept().await {
                    Ok((stream, _)) => drop(task::spawn(relay(state.clone(), number, stream, target))),
                    // File descriptors may have run out for a moment.
                    Err(_) => task::sleep(ACCEPT_RETRY_DELAY).await,
                }
            }
        });
        Ok(Self { address, shared, accept: Some(accept) })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Holds back all bytes, or lets them go on.
    pub fn set_held(&self, is_held: bool) {
        self.shared.is_held.store(is_held, Ordering::Relaxed);
    }

    /// Resets all connections.
    pub fn reset(&self) {
        let connections = std::mem::take(&mut *lock(&self.shared.connections));
        for stream in connections.into_values().flatten() {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if let Some(accept) = self.accept.take() {
            task::spawn(accept.cancel());
        }
    }
}

async fn relay(shared: Arc<Shared>, number: u64, caller: TcpStream, target: SocketAddr) {
    let Ok(server) = TcpStream::connect(target).await else { return };
    for stream in [&caller, &server] {
        let _ = stream.set_nodelay(true);
    }
    lock(&shared.connections).insert(number, [caller.clone(), server.clone()]);
    let requests = copy(&shared, caller.clone(), server.clone());
    let responses = copy(&shared, server, caller);
    future::zip(requests, responses).await;
    lock(&shared.connections).remove(&number);
}

/// Copies bytes until the end of `from`, and then closes `to` for writing.
async fn copy(shared: &Shared, mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = vec![0; BUFFER_SIZE];
    while let Ok(length) = from.read(&mut buffer).await {
        while shared.is_held.load(Ordering::Relaxed) {
            task::sleep(HOLD_INTERVAL).await;
        }
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
