//! A simulated object store: objects by name. The router does not use it.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use tarragonhill_http::server::{Inbound, Outbound};

use super::{Faults, Listener, lock};

type Contents = BTreeMap<String, Vec<u8>>;

/// A running object store.
#[derive(Debug)]
pub struct Objects {
    /// Injected faults.
    pub faults: Arc<Faults>,
    listener: Listener,
}

impl Objects {
    /// Starts an empty store.
    pub async fn start() -> std::io::Result<Self> {
        let faults = Arc::new(Faults::default());
        let objects: Arc<Mutex<Contents>> = Arc::default();
        let listener = Listener::start(faults.clone(), move |inbound| {
            let objects = objects.clone();
            async move { handle(&mut lock(&objects), inbound) }
        })
        .await?;
        Ok(Self { faults, listener })
    }

    /// Returns the local address.
    pub fn address(&self) -> std::net::SocketAddr {
        self.listener.address
    }
}

fn handle(objects: &mut Contents, inbound: Inbound) -> Outbound {
    match (inbound.method.as_str(), inbound.body) {
        ("PUT", Ok(bytes)) => {
            objects.insert(inbound.path, bytes);
            Outbound::text(200, "stored")
        }
        ("DELETE", _) => {
            objects.remove(&inbound.path);
            Outbound::text(200, "deleted")
        }
        ("GET", _) => match objects.get(&inbound.path) {
            Some(bytes) => Outbound::bytes(200, "application/octet-stream", bytes.clone()),
            None => Outbound::text(404, "no such object"),
        },
        _ => Outbound::text(400, "GET, PUT or DELETE"),
    }
}
