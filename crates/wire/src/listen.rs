//! Listening sockets of tonic servers.

use std::{io, net::SocketAddr};

use tonic::transport::server::TcpIncoming;

/// Binds a listener for a tonic server, with `TCP_NODELAY` on accepted sockets, and returns it with
/// the bound address.
pub fn listen(address: SocketAddr) -> io::Result<(TcpIncoming, SocketAddr)> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let bound = listener.local_addr()?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    Ok((TcpIncoming::from(listener).with_nodelay(Some(true)), bound))
}
