//! Listener in front of a gateway that closes its connections when the process ends.
//!
//! A gateway that has stopped leaves its tasks to the runtime of a test, where a real process takes its
//! connections with it.

use std::net::{Shutdown, SocketAddr};

use async_channel::{Receiver, Sender};
use async_std::{
    io,
    net::{TcpListener, TcpStream},
    task::{self, JoinHandle},
};
use futures_lite::future;

/// A listener that forwards connections to one gateway.
pub(crate) struct Relay {
    address: SocketAddr,
    accept_task: JoinHandle<()>,
    /// Dropped to close all connections.
    _running: Sender<()>,
}

impl Relay {
    /// Starts a relay at an unused port of the gateway's address.
    pub(crate) async fn start(gateway: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((gateway.ip(), 0)).await?;
        let address = listener.local_addr()?;
        let (running, ended) = async_channel::bounded(1);
        let accept_task = task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn(forward(stream, gateway, ended.clone()));
            }
        });
        Ok(Self { address, accept_task, _running: running })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses new connections and closes all others. What the gateway has already sent is still delivered.
    pub(crate) async fn end(self) {
        self.accept_task.cancel().await;
    }
}

async fn forward(caller: TcpStream, gateway: SocketAddr, ended: Receiver<()>) -> io::Result<()> {
    let gateway = TcpStream::connect(gateway).await?;
    caller.set_nodelay(true)?;
    gateway.set_nodelay(true)?;
    let requests = async {
        let copied = async {
            let _ = io::copy(&mut &caller, &mut &gateway).await;
        };
        let closed = async {
            // No message is ever sent; this waits for the channel to close.
            let _ = ended.recv().await;
        };
        future::or(closed, copied).await;
        let _ = gateway.shutdown(Shutdown::Write);
    };
    let responses = async {
        let _ = io::copy(&mut &gateway, &mut &caller).await;
        let _ = caller.shutdown(Shutdown::Write);
    };
    future::zip(requests, responses).await;
    Ok(())
}
