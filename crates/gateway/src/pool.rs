//! Connections to endpoints that are kept between requests.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tarragonhill_core::{Clock, Time, gateway::directory::Endpoint};
use tarragonhill_h1::Connection;

/// Idle connections kept to one endpoint: above what runs there at once in an ordinary burst.
const MOST_IDLE: usize = 16;
/// A connection is kept this long if the endpoint does not say how long it keeps it.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// A connection is given up this long before the endpoint closes it: a request that crosses the
/// close is lost, and one that may not be repeated is then lost for good.
const MARGIN: Duration = Duration::from_millis(700);

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Time,
}

/// The kept connections of all endpoints.
#[derive(Debug)]
pub(crate) struct Pool {
    clock: Clock,
    /// By the endpoint's name; newest last.
    idle: Mutex<BTreeMap<Arc<str>, Vec<Idle>>>,
}

impl Pool {
    pub(crate) fn new(clock: Clock) -> Self {
        Self { clock, idle: Mutex::default() }
    }

    /// A kept connection on which nothing has happened since.
    pub(crate) async fn take(&self, endpoint: &Endpoint) -> Option<Connection> {
        loop {
            let idle = {
                let mut all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
                all.get_mut(&endpoint.id)?.pop()?
            };
            // What came in between belongs to no request of ours: a second answer, or the close.
            if idle.until > self.clock.now() && idle.connection.is_idle().await {
                return Some(idle.connection);
            }
        }
    }

    /// Keeps a connection whose last answer is whole.
    pub(crate) fn keep(&self, endpoint: &Endpoint, connection: Connection, keep_alive: Option<Duration>) {
        let span = keep_alive.unwrap_or(DEFAULT_IDLE).saturating_sub(MARGIN);
        if span.is_zero() || connection.buffered() > 0 {
            return;
        }
        let now = self.clock.now();
        let mut all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        all.retain(|_, kept| {
            kept.retain(|idle| idle.until > now);
            !kept.is_empty()
        });
        let kept = all.entry(endpoint.id.clone()).or_default();
        if kept.len() < MOST_IDLE {
            kept.push(Idle { connection, until: now.plus(span) });
        }
    }
}
