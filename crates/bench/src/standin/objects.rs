//! The object store: whole objects by name. The router keeps nothing there yet; reports of runs
//! can be put into it.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use tarragonhill_http::server::{Inbound, Outbound};

use super::{Listening, Switches, lock};

type Stored = BTreeMap<String, Vec<u8>>;

/// The store.
#[derive(Debug)]
pub struct Objects {
    /// Failure switches.
    pub switches: Arc<Switches>,
    listening: Listening,
}

impl Objects {
    /// Starts an empty store.
    pub async fn start() -> std::io::Result<Self> {
        let switches = Arc::new(Switches::default());
        let stored: Arc<Mutex<Stored>> = Arc::default();
        let listening = Listening::start(switches.clone(), move |inbound| {
            let stored = stored.clone();
            async move { answer(&mut lock(&stored), inbound) }
        })
        .await?;
        Ok(Self { switches, listening })
    }

    /// Where it listens.
    pub fn address(&self) -> std::net::SocketAddr {
        self.listening.address
    }
}

fn answer(stored: &mut Stored, inbound: Inbound) -> Outbound {
    match (inbound.method.as_str(), inbound.body) {
        ("PUT", Ok(bytes)) => {
            stored.insert(inbound.path, bytes);
            Outbound::text(200, "stored")
        }
        ("DELETE", _) => {
            stored.remove(&inbound.path);
            Outbound::text(200, "deleted")
        }
        ("GET", _) => match stored.get(&inbound.path) {
            Some(bytes) => Outbound::bytes(200, "application/octet-stream", bytes.clone()),
            None => Outbound::text(404, "no such object"),
        },
        _ => Outbound::text(400, "GET, PUT or DELETE"),
    }
}
