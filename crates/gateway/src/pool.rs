//! Pool of idle connections to endpoints.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tarragonhill_core::{Clock, Time, gateway::directory::Endpoint};

use crate::exchange::{Line, Unnamed};

/// Maximum idle connections per endpoint; above the number of concurrent requests in an ordinary burst.
const MAX_IDLE: usize = 16;
/// Keep-alive time of endpoints that do not send a `Keep-Alive` timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// A connection is dropped this long before the endpoint would close it. A request sent while the endpoint
/// closes the connection is lost, and not every request may be retried.
const CLOSE_MARGIN: Duration = Duration::from_millis(700);

#[derive(Debug)]
struct Idle {
    line: Line,
    /// When the connection is no longer used.
    until: Time,
}

/// Idle connections of all endpoints.
#[derive(Debug)]
pub(crate) struct Pool {
    clock: Clock,
    /// By endpoint id; the most recently used is last.
    idle: Mutex<BTreeMap<Arc<str>, Vec<Idle>>>,
}

impl Pool {
    pub(crate) fn new(clock: Clock) -> Self {
        Self { clock, idle: Mutex::default() }
    }

    /// Takes an idle connection that is still open, has no unread bytes and has carried no other unnamed responses than these.
    pub(crate) async fn take(&self, endpoint: &Endpoint, max_unnamed: Unnamed) -> Option<Line> {
        loop {
            let idle = {
                let mut all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
                let kept = all.get_mut(&endpoint.id)?;
                // Connections that all requests can use are taken last.
                let usable = kept.iter().enumerate().filter(|(_, idle)| idle.line.unnamed <= max_unnamed);
                let (best, _) =
                    usable.max_by_key(|(at, idle)| (idle.line.unnamed == Unnamed::Refusal, *at))?;
                kept.remove(best)
            };
            // Unread bytes would be read as part of the next response.
            if idle.until > self.clock.now() && idle.line.connection.is_idle().await {
                return Some(idle.line);
            }
        }
    }

    /// Returns a connection whose last response has been read completely.
    pub(crate) fn put(&self, endpoint: &Endpoint, line: Line, keep_alive: Option<Duration>) {
        let span = keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE).saturating_sub(CLOSE_MARGIN);
        if span.is_zero() || line.connection.buffered() > 0 {
            return;
        }
        let now = self.clock.now();
        let mut all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        all.retain(|_, kept| {
            kept.retain(|idle| idle.until > now);
            !kept.is_empty()
        });
        let kept = all.entry(endpoint.id.clone()).or_default();
        if kept.len() < MAX_IDLE {
            kept.push(Idle { line, until: now.plus(span) });
        }
    }
}
