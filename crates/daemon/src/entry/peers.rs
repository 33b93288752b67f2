//! Client of the other entries' peer service.

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

/// Timeout of a request. Shorter than the time after which a borrower repeats a loan request.
const TIMEOUT: Duration = Duration::from_millis(250);

/// Clients of all peers, by address. Clones share them.
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

    /// Sends a request to the peer at `address`. Returns `None` if it fails or times out; the client
    /// is then dropped, because its connection may be dead.
    pub(crate) async fn exchange(
        &self,
        address: &Arc<str>,
        from: &Arc<str>,
        request: PeerRequest,
    ) -> Option<PeerReply> {
        let mut client = self.client(address)?;
        let request = proto::PeerRequest { entry: from.to_string(), body: Some(request.into()) };
        let reply = async_std::future::timeout(TIMEOUT, client.exchange(request)).await;
        let Ok(Ok(reply)) = reply else {
            self.0.lock().unwrap_or_else(PoisonError::into_inner).remove(address);
            return None;
        };
        PeerReply::try_from(reply.into_inner()).ok()
    }

    /// Sends a loan request to a home in the background and passes the reply to the control thread.
    pub(crate) fn borrow(
        &self,
        control: Control,
        address: Arc<str>,
        from: Arc<str>,
        serial: u64,
        request: PeerRequest,
    ) {
        let peers = self.clone();
        task::spawn(async move {
            let PeerRequest::Borrow { customer, .. } = &request else { return };
            let customer = customer.clone();
            let grant = match peers.exchange(&address, &from, request).await {
                Some(PeerReply::Lent(grant)) => Some(grant),
                _ => None,
            };
            control.receive_loan(&customer, serial, grant);
        });
    }
}
