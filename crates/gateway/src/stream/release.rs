//! What endpoints keep for a request: reserved memory, and results of prefills.

use std::sync::Arc;

use tarragonhill_core::gateway::directory::Endpoint;

use crate::context::Context;

/// Something kept at an endpoint for a request, given back when dropped.
pub(super) struct Release {
    pub(super) context: Arc<Context>,
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) kept: Kept,
}

pub(super) enum Kept {
    Hold(Arc<str>),
    Result(Arc<str>),
    /// It was used, or is no longer there.
    Nothing,
}

impl Release {
    pub(super) fn name(&self) -> Option<&str> {
        match &self.kept {
            Kept::Hold(name) | Kept::Result(name) => Some(name),
            Kept::Nothing => None,
        }
    }

    pub(super) fn used(&mut self) {
        self.kept = Kept::Nothing;
    }
}

impl Drop for Release {
    fn drop(&mut self) {
        let message = match &self.kept {
            Kept::Hold(hold) => self.context.dialect.release_reservation(&self.endpoint, hold),
            Kept::Result(result) => self.context.dialect.release_prefill(&self.endpoint, result),
            Kept::Nothing => return,
        };
        self.context.send_beside(self.endpoint.clone(), message);
    }
}
