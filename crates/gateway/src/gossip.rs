//! Exchange of digests with peers over UDP.
//!
//! A digest contains running totals, so a lost datagram needs no retransmission. Unlike a connection, a UDP
//! socket cannot stall for good.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use async_channel::Receiver;
use async_std::net::UdpSocket;
use prost::Message as _;
use tarragonhill_core::{
    Clock, Time,
    gateway::{
        digest::{Digest, Member},
        origin::Message,
        relay::{Bundle, Delivery, Parcel},
    },
};
use tarragonhill_wire::{digest::EncodedDigest, proto};

use crate::control::{Control, worker::Outgoing};

/// Maximum UDP payload over IPv4.
const MAX_DATAGRAM_BYTES: usize = 65_507;
/// Size up to which digests are bundled in a datagram. The loss of one then concerns only some of the
/// replicas.
const BUNDLE_BYTES: usize = 8 << 10;
/// Largest size of a datagram's fields other than the digests' bytes.
const BUNDLE_OVERHEAD_BYTES: usize = 128;
/// Largest number of streams in a datagram, so that it is not fragmented.
const MAX_MESSAGE_STREAMS: usize = 40;
/// Minimum interval of log lines about invalid datagrams.
const INVALID_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Opens the socket for digests.
pub(crate) async fn bind(address: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    Ok(Arc::new(UdpSocket::bind(address).await?))
}

/// Sends the control thread's digests until the channel closes.
pub(crate) async fn send(socket: Arc<UdpSocket>, own: Arc<str>, outgoing: Receiver<Outgoing>) {
    let mut sender = Sender { socket, own, was_too_large: false };
    while let Ok(outgoing) = outgoing.recv().await {
        match outgoing {
            Outgoing::Digest(digest, recipients) => sender.send_digest(&digest, &recipients).await,
            Outgoing::Forwards(deliveries) => {
                for delivery in deliveries {
                    sender.forward(delivery).await;
                }
            }
        }
    }
}

struct Sender {
    socket: Arc<UdpSocket>,
    /// Name of this replica.
    own: Arc<str>,
    /// Whether the last digest was too large, which is logged once.
    was_too_large: bool,
}

impl Sender {
    async fn send_digest(&mut self, digest: &Digest, recipients: &[Member]) {
        let bytes = proto::Digest::from(digest).encode_to_vec();
        let most = MAX_DATAGRAM_BYTES - BUNDLE_OVERHEAD_BYTES;
        let is_too_large = bytes.len() > most;
        if is_too_large && !self.was_too_large {
            // Peers no longer learn of this replica's share of customers' rates and endpoints' load.
            spdlog::error!("digest exceeds the maximum datagram size", kv: { bytes = bytes.len(), most });
        }
        self.was_too_large = is_too_large;
        self.send_bundle(vec![bytes], recipients).await;
    }

    async fn forward(&self, delivery: Delivery) {
        let (mut digests, mut size) = (Vec::new(), 0);
        for encoded in delivery.encoded {
            if size + encoded.len() > BUNDLE_BYTES && !digests.is_empty() {
                self.send_bundle(std::mem::take(&mut digests), &delivery.recipients).await;
                size = 0;
            }
            size += encoded.len();
            digests.push(encoded.to_vec());
        }
        if !digests.is_empty() {
            self.send_bundle(digests, &delivery.recipients).await;
        }
    }

    async fn send_bundle(&self, digests: Vec<Vec<u8>>, recipients: &[Member]) {
        let bundle = proto::Bundle { sender: self.own.to_string(), digests, ..proto::Bundle::default() };
        let bytes = bundle.encode_to_vec();
        for member in recipients {
            if let Err(error) = self.socket.send_to(&bytes, member.address).await {
                spdlog::debug!("sending a digest failed", kv: { peer = &*member.name, reason = error.to_string().as_str() });
            }
        }
    }
}

/// Sends messages about streams until the channel closes.
pub(crate) async fn send_messages(
    socket: Arc<UdpSocket>,
    own: Arc<str>,
    messages: Receiver<(Member, Message)>,
) {
    while let Ok((member, message)) = messages.recv().await {
        for part in message.split(MAX_MESSAGE_STREAMS) {
            let bundle = proto::Bundle { sender: own.to_string(), ..proto::Bundle::from(&part) };
            // A lost message is repeated, or the stream is found at another replica.
            let _ = socket.send_to(&bundle.encode_to_vec(), member.address).await;
        }
    }
}

/// Passes received digests and messages to the control thread.
pub(crate) async fn receive(socket: Arc<UdpSocket>, clock: Clock, control: Control) {
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    let mut rejections = Rejections::default();
    loop {
        let (length, from) = match socket.recv_from(&mut bytes).await {
            Ok(received) => received,
            Err(error) => {
                // The error may concern a datagram sent earlier, to a closed port; later ones can still arrive.
                spdlog::debug!("receiving a digest failed", kv: { reason = error.to_string().as_str() });
                continue;
            }
        };
        match proto::Bundle::decode(&bytes[..length]) {
            Ok(bundle) => {
                let message = Message::from(&bundle);
                if !message.is_empty() {
                    let sender = Member {
                        name: bundle.sender.as_str().into(),
                        address: from,
                        zone: Arc::default(),
                        millicores: 0,
                    };
                    control.receive_message(sender, message);
                }
                let count = bundle.digests.len();
                let digests = bundle.digests.into_iter().map(EncodedDigest);
                let parcels: Vec<Parcel> =
                    digests.filter_map(|digest| Parcel::try_from(digest).ok()).collect();
                rejections.record(clock.now(), from, count - parcels.len());
                if !parcels.is_empty() {
                    control.receive_bundle(Bundle { sender: bundle.sender.into(), from, parcels });
                }
            }
            Err(_) => rejections.record(clock.now(), from, 1),
        }
    }
}

/// Invalid digests and datagrams since the last log line about them.
#[derive(Default)]
struct Rejections {
    count: usize,
    last_log: Option<Time>,
}

impl Rejections {
    /// Counts invalid messages, and logs them unless a line was written recently.
    fn record(&mut self, now: Time, from: SocketAddr, count: usize) {
        self.count += count;
        if self.count == 0 || self.last_log.is_some_and(|at| now.since(at) < INVALID_LOG_INTERVAL) {
            return;
        }
        self.last_log = Some(now);
        let count = std::mem::take(&mut self.count);
        spdlog::warn!("invalid digest received", kv: { from = from.to_string().as_str(), count });
    }
}
