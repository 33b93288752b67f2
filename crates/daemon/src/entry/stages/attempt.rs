//! One attempt of a request: sends its orders, receives its events and cleans up after it.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use async_channel::Receiver;
use tarragonhill_core::{
    Attempt, Code, Refusal,
    message::{Event, FailureCause, Order},
};

use crate::entry::context::Context;

/// Reason why an attempt did not complete.
#[derive(Clone, Debug)]
pub(crate) enum Failure {
    /// The request is refused and must not be retried.
    Refused(Refusal),
    /// An endpoint refused the work as overloaded and did not start it.
    Overloaded {
        /// The endpoint.
        endpoint: Arc<str>,
        /// Suggested delay before a retry; zero if unknown.
        retry_after: Duration,
    },
    /// The work failed or its result is unknown.
    Interrupted {
        /// Endpoint that ran the work.
        endpoint: Arc<str>,
        /// Cause of the failure.
        cause: FailureCause,
    },
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// An attempt in progress. Dropping it cancels all work that may still run, so that a caller that
/// disconnects does not keep memory of an engine.
pub(super) struct Dispatch<'a> {
    context: &'a Context,
    attempt: Attempt,
    events: Receiver<Event>,
    /// Agents that may still run work of the attempt.
    agents: BTreeSet<Arc<str>>,
    /// Endpoints to which the control thread has recorded work of the attempt.
    endpoints: Vec<Arc<str>>,
}

impl<'a> Dispatch<'a> {
    pub(super) fn new(context: &'a Context, attempt: Attempt) -> Self {
        let events = context.links.add_route(attempt);
        Self { context, attempt, events, agents: BTreeSet::new(), endpoints: Vec::new() }
    }

    pub(super) fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Sends an order to the agent of `endpoint`.
    pub(super) fn send(
        &mut self,
        agent: &Arc<str>,
        endpoint: &Arc<str>,
        order: Order,
    ) -> Result<(), Failure> {
        self.endpoints.push(endpoint.clone());
        self.agents.insert(agent.clone());
        let sent = self.context.links.send(agent, self.attempt, order);
        sent.map_err(|_| Failure::Interrupted { endpoint: endpoint.clone(), cause: FailureCause::LinkLost })
    }

    /// Returns the next event of the attempt. A failure, a refusal or a wait longer than `limit` is
    /// attributed to `endpoint`.
    pub(super) async fn next_event(&self, endpoint: &Arc<str>, limit: Duration) -> Result<Event, Failure> {
        let interrupted = |cause| Failure::Interrupted { endpoint: endpoint.clone(), cause };
        let event = async_std::future::timeout(limit, self.events.recv()).await;
        match event {
            Err(_) => Err(interrupted(FailureCause::Stalled)),
            Ok(Err(_)) => Err(interrupted(FailureCause::LinkLost)),
            Ok(Ok(Event::Failed { cause, .. })) => Err(interrupted(cause)),
            Ok(Ok(Event::Refused { code, not_run, retry_after, .. })) => {
                Err(refusal_failure(endpoint, code, not_run, retry_after))
            }
            Ok(Ok(event)) => Ok(event),
        }
    }

    /// Marks the attempt as ended, so that a drop sends no cancellation.
    pub(super) fn mark_ended(&mut self) {
        self.agents.clear();
    }
}

fn refusal_failure(endpoint: &Arc<str>, code: Code, not_run: bool, retry_after: Duration) -> Failure {
    match code {
        Code::Overloaded | Code::NoEndpoint if not_run => {
            Failure::Overloaded { endpoint: endpoint.clone(), retry_after }
        }
        Code::BadKey => {
            Failure::Refused(Refusal { not_run, ..Refusal::may_have_run(code, "the key was withdrawn") })
        }
        _ => Failure::Refused(Refusal {
            not_run,
            ..Refusal::may_have_run(code, "an agent refused the request")
        }),
    }
}

impl Drop for Dispatch<'_> {
    fn drop(&mut self) {
        self.context.links.remove_route(self.attempt);
        for agent in &self.agents {
            let _ = self.context.links.send(agent, self.attempt, Order::Cancel(self.attempt));
        }
        for endpoint in &self.endpoints {
            self.context.control.remove_sent(endpoint, self.attempt);
        }
    }
}
