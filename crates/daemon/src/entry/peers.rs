//! Asks other entries: for loans, heartbeats, crash counts and renewals.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use async_std::task;
use tarragonhill_core::message::{PeerReply, PeerRequest};
use tarragonhill_wire::proto::{self, peer_client::PeerClient};
use tonic::transport::{Channel, Endpoint};

use crate::entry::control::Control;

/// Longest wait for a peer's answer. Shorter than a borrower's own patience.
const TIMEOUT: Duration = Duration::from_millis(250);
/// Clients of all peers. Clones share them.
#[derive(Clone, Default)]
pub(crate) struct Peers(Arc<Mutex<BTreeMap<Arc<str>, PeerClient<Channel>>>>);

impl Peers {
    fn client(&self, address: &Arc<str>) -> Option<PeerClient<Channel>> {
        let mut clients = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(address) {
            return Some(client.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        let channel = endpoint.connect_timeout(TIMEOUT).tcp_nodelay(true).connect_lazy();
        let client = PeerClient::new(channel);
        clients.insert(address.clone(), client.clone());
        Some(client)
    }

    /// Asks the peer at `address`; `None` if it does not answer in time. A client that timed out
    /// is dropped, since its connection may have gone silent for good.
    pub(crate) async fn ask(
        &self,
        address: &Arc<str>,
        from: &Arc<str>,
        ask: PeerRequest,
    ) -> Option<PeerReply> {
        let mut client = self.client(address)?;
        let request = proto::PeerRequest { entry: from.to_string(), body: Some(ask.into()) };
        let reply = async_std::future::timeout(TIMEOUT, client.exchange(request)).await;
        let Ok(Ok(reply)) = reply else {
            self.0.lock().unwrap_or_else(PoisonError::into_inner).remove(address);
            return None;
        };
        PeerReply::try_from(reply.into_inner()).ok()
    }

    /// Asks a home for tokens and hands the reply to the control thread.
    pub(crate) fn borrow(
        &self,
        control: Control,
        address: Arc<str>,
        from: Arc<str>,
        serial: u64,
        ask: PeerRequest,
    ) {
        let peers = self.clone();
        task::spawn(async move {
            let PeerRequest::Borrow { customer, .. } = &ask else { return };
            let customer = customer.clone();
            let grant = match peers.ask(&address, &from, ask).await {
                Some(PeerReply::Lent(grant)) => Some(grant),
                _ => None,
            };
            control.lent(&customer, serial, grant);
        });
    }
}
