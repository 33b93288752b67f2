//! Resources at endpoints: memory reservations and prefill results.

use std::sync::Arc;

use tarragonhill_core::gateway::directory::Endpoint;

use crate::context::Context;

/// Guard for a resource that an endpoint keeps for a request. Dropping it releases the resource.
pub(super) struct Guard {
    pub(super) context: Arc<Context>,
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) kind: Kind,
}

pub(super) enum Kind {
    /// Memory reservation.
    Memory(Arc<str>),
    /// KV cache of a prefilled prompt.
    Prefill(Arc<str>),
    /// The resource was used or no longer exists.
    Consumed,
}

impl Guard {
    /// Returns the name of the resource at its endpoint.
    pub(super) fn name(&self) -> Option<&str> {
        match &self.kind {
            Kind::Memory(name) | Kind::Prefill(name) => Some(name),
            Kind::Consumed => None,
        }
    }

    /// Marks the resource as used, so that it is not released.
    pub(super) fn mark_consumed(&mut self) {
        self.kind = Kind::Consumed;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let message = match &self.kind {
            Kind::Memory(name) => self.context.dialect.release_reservation(&self.endpoint, name),
            Kind::Prefill(name) => self.context.dialect.release_prefill(&self.endpoint, name),
            Kind::Consumed => return,
        };
        self.context.send_detached(self.endpoint.clone(), message);
    }
}
