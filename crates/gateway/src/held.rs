//! Bytes held for callers and endpoints, counted by guards.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tarragonhill_core::gateway::held::{Exceeded, Ledger, Purpose};

/// Bytes that the gateway holds, with their bound.
#[derive(Debug, Default)]
pub(crate) struct Held(Mutex<Ledger>);

impl Held {
    /// Creates the count for a host with `memory` bytes; without a bound if that is not known.
    pub(crate) fn new(memory: Option<u64>) -> Arc<Self> {
        Arc::new(Self(Mutex::new(Ledger::new(memory))))
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of bytes held.
    pub(crate) fn bytes(&self) -> u64 {
        self.ledger().held()
    }

    /// Returns a guard that holds nothing yet.
    pub(crate) fn guard(self: &Arc<Self>, purpose: Purpose) -> Guard {
        Guard { held: self.clone(), purpose, bytes: 0 }
    }
}

/// Bytes held for one purpose. Dropping it releases them.
#[derive(Debug)]
pub(crate) struct Guard {
    held: Arc<Held>,
    purpose: Purpose,
    bytes: u64,
}

impl Guard {
    /// Returns how many bytes are held.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Sets how many bytes are held. If these are too many, nothing changes.
    pub(crate) fn set(&mut self, bytes: usize) -> Result<(), Exceeded> {
        let bytes = bytes as u64;
        if bytes > self.bytes {
            let added = bytes - self.bytes;
            let mut ledger = self.held.ledger();
            let held = ledger.hold(self.purpose, self.bytes, added);
            if held == Err(Exceeded { is_first: true }) {
                spdlog::warn!("bound on held bytes reached", kv: {
                    held = ledger.held(), bound = ledger.bound().unwrap_or(0), added
                });
            }
            held?;
        } else if bytes < self.bytes {
            self.held.ledger().release(self.bytes - bytes);
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.held.ledger().release(self.bytes);
        }
    }
}
