//! One attempt: the orders sent for it, the events that come back, and cleaning up after it.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use async_channel::Receiver;
use tarragonhill_core::{
    Attempt, Code, Refusal,
    message::{Event, FailureCause, Order},
};

use crate::entry::context::Context;

/// Why an attempt did not end with a whole answer.
#[derive(Clone, Debug)]
pub(crate) enum Failure {
    /// The request is refused for good.
    Refused(Refusal),
    /// An endpoint has no room; nothing has run there.
    Full {
        /// The endpoint.
        endpoint: Arc<str>,
        /// When asking again makes sense.
        retry_after: Duration,
    },
    /// Work that had started broke off.
    Broken {
        /// Where.
        endpoint: Arc<str>,
        /// How.
        cause: FailureCause,
    },
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// One attempt under way. Dropping it, for whatever reason, gives up what still runs: a caller that
/// left never keeps an engine's memory.
pub(super) struct Dispatch<'a> {
    context: &'a Context,
    attempt: Attempt,
    inbox: Receiver<Event>,
    /// Agents that may still run something of the attempt.
    agents: BTreeSet<Arc<str>>,
    /// Endpoints counted as busy with the attempt.
    endpoints: Vec<Arc<str>>,
}

impl<'a> Dispatch<'a> {
    pub(super) fn new(context: &'a Context, attempt: Attempt) -> Self {
        let inbox = context.links.route(attempt);
        Self { context, attempt, inbox, agents: BTreeSet::new(), endpoints: Vec::new() }
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
        sent.map_err(|_| Failure::Broken { endpoint: endpoint.clone(), cause: FailureCause::LinkLost })
    }

    /// The next event of the attempt, `limit` at most. `endpoint` is blamed for whatever goes
    /// wrong meanwhile.
    pub(super) async fn next(&self, endpoint: &Arc<str>, limit: Duration) -> Result<Event, Failure> {
        let broken = |cause| Failure::Broken { endpoint: endpoint.clone(), cause };
        let next = async_std::future::timeout(limit, self.inbox.recv()).await;
        match next {
            Err(_) => Err(broken(FailureCause::Stalled)),
            Ok(Err(_)) => Err(broken(FailureCause::LinkLost)),
            Ok(Ok(Event::Failed { cause, .. })) => Err(broken(cause)),
            Ok(Ok(Event::Refused { code, not_run, retry_after, .. })) => {
                Err(refused(endpoint, code, not_run, retry_after))
            }
            Ok(Ok(event)) => Ok(event),
        }
    }

    /// Notes that nothing of the attempt runs any more.
    pub(super) fn ended(&mut self) {
        self.agents.clear();
    }
}

fn refused(endpoint: &Arc<str>, code: Code, not_run: bool, retry_after: Duration) -> Failure {
    match code {
        Code::Overloaded | Code::NoEndpoint if not_run => {
            Failure::Full { endpoint: endpoint.clone(), retry_after }
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
        self.context.links.unroute(self.attempt);
        for agent in &self.agents {
            let _ = self.context.links.send(agent, self.attempt, Order::Cancel(self.attempt));
        }
        for endpoint in &self.endpoints {
            self.context.control.done(endpoint, self.attempt);
        }
    }
}
