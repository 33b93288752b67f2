//! Where tonic servers listen.

use std::{io, net::SocketAddr};

use tonic::transport::server::TcpIncoming;

/// Listens on `address` for tonic, with no-delay on every accepted socket; gives the address bound.
pub fn listen(address: SocketAddr) -> io::Result<(TcpIncoming, SocketAddr)> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let bound = listener.local_addr()?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    Ok((TcpIncoming::from(listener).with_nodelay(Some(true)), bound))
}
