//! Exchange of digests with peers over UDP.
//!
//! A digest contains running totals, so a lost datagram needs no retransmission.

use std::{io, net::SocketAddr, sync::Arc};

use async_channel::Receiver;
use async_std::net::UdpSocket;
use prost::Message as _;
use tarragonhill_core::gateway::digest::Digest;
use tarragonhill_wire::proto;

use crate::control::{Control, worker::Outgoing};

/// Maximum UDP payload over IPv4.
const MAX_DATAGRAM_BYTES: usize = 65_507;

/// Opens the socket for digests.
pub(crate) async fn bind(address: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    Ok(Arc::new(UdpSocket::bind(address).await?))
}

/// Sends the control thread's digests until the channel closes.
pub(crate) async fn send(socket: Arc<UdpSocket>, outgoing: Receiver<Outgoing>) {
    let mut was_too_large = false;
    while let Ok((digest, members)) = outgoing.recv().await {
        let bytes = proto::Digest::from(&digest).encode_to_vec();
        let is_too_large = bytes.len() > MAX_DATAGRAM_BYTES;
        if is_too_large && !was_too_large {
            // Peers no longer learn of this replica's share of customers' rates and endpoints' load.
            spdlog::error!("digest exceeds the maximum datagram size", kv: { bytes = bytes.len(), most = MAX_DATAGRAM_BYTES });
        }
        was_too_large = is_too_large;
        for member in members {
            if let Err(error) = socket.send_to(&bytes, member.address).await {
                spdlog::debug!("sending a digest failed", kv: { peer = &*member.name, reason = error.to_string().as_str() });
            }
        }
    }
}

/// Passes received digests to the control thread.
pub(crate) async fn receive(socket: Arc<UdpSocket>, control: Control) {
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut bytes).await {
            Ok(received) => received,
            Err(error) => {
                // The error may concern a datagram sent earlier, to a closed port; later ones can still arrive.
                spdlog::debug!("receiving a digest failed", kv: { reason = error.to_string().as_str() });
                continue;
            }
        };
        match decode(&bytes[..length]) {
            Some(digest) => control.receive_digest(digest, from),
            None => spdlog::warn!("invalid digest received", kv: { from = from.to_string().as_str() }),
        }
    }
}

fn decode(bytes: &[u8]) -> Option<Digest> {
    let digest = proto::Digest::decode(bytes).ok()?;
    Digest::try_from(digest).ok()
}
