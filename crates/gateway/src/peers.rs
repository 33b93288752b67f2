//! Digests to and from the other entries, as datagrams.
//!
//! A digest holds totals, so a lost datagram needs no repeat; and unlike a connection, a socket for
//! datagrams cannot go silent for good.

use std::{io, net::SocketAddr, sync::Arc};

use async_channel::Receiver;
use async_std::net::UdpSocket;
use prost::Message as _;
use tarragonhill_core::gateway::digest::Digest;
use tarragonhill_wire::proto;

use crate::control::{Control, worker::Outgoing};

/// Largest datagram, bytes: what UDP carries.
const LARGEST: usize = 65_507;

/// Opens the socket for digests.
pub(crate) async fn bind(address: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    Ok(Arc::new(UdpSocket::bind(address).await?))
}

/// Sends what the control thread gives, for ever.
pub(crate) async fn send(socket: Arc<UdpSocket>, outgoing: Receiver<Outgoing>) {
    let mut was_too_large = false;
    while let Ok((digest, members)) = outgoing.recv().await {
        let bytes = proto::Digest::from(&digest).encode_to_vec();
        let is_too_large = bytes.len() > LARGEST;
        if is_too_large && !was_too_large {
            // Nobody hears this entry, which shares rates and endpoints with all.
            spdlog::error!("digest too large to be sent", kv: { bytes = bytes.len(), most = LARGEST });
        }
        was_too_large = is_too_large;
        for member in members {
            if let Err(error) = socket.send_to(&bytes, member.address).await {
                spdlog::debug!("digest not sent", kv: { peer = &*member.name, reason = error.to_string().as_str() });
            }
        }
    }
}

/// Gives the control thread what the others send, for ever.
pub(crate) async fn receive(socket: Arc<UdpSocket>, control: Control) {
    let mut bytes = vec![0; LARGEST];
    loop {
        let (length, from) = match socket.recv_from(&mut bytes).await {
            Ok(received) => received,
            Err(error) => {
                // A port that nobody listens on shows here; the next datagram may be fine.
                spdlog::debug!("digest not received", kv: { reason = error.to_string().as_str() });
                continue;
            }
        };
        match decode(&bytes[..length]) {
            Some(digest) => control.digest(digest, from),
            None => spdlog::warn!("digest unreadable", kv: { from = from.to_string().as_str() }),
        }
    }
}

fn decode(bytes: &[u8]) -> Option<Digest> {
    let digest = proto::Digest::decode(bytes).ok()?;
    Digest::try_from(digest).ok()
}
