//! The handle by which everything else talks to the agent's control thread.

use async_channel::Sender;
use serde_json::Value;
use tarragonhill_core::{
    Attempt,
    agent::{Input, Link},
    message::{Event, Load},
};

/// Events that may wait for a slow link. The channel itself has no bound, since a bounded one
/// takes the memory for all of them at once, for each link.
pub(crate) const LINK_BACKLOG: usize = 65_536;

/// What the thread is asked.
pub(crate) enum Command {
    Input(Input),
    Opened(Link, Sender<Event>),
    Loads(Sender<Vec<Load>>),
    Idle(Sender<bool>),
    Dump(Sender<Value>),
    Stop,
}

/// Talks to the control thread.
#[derive(Clone)]
pub(crate) struct Control(Sender<Command>);

impl Control {
    /// A handle on the thread that reads the other end.
    pub(crate) fn new(commands: Sender<Command>) -> Self {
        Self(commands)
    }

    /// Hands an input to the decisions.
    pub(crate) fn input(&self, input: Input) {
        let _ = self.0.try_send(Command::Input(input));
    }

    /// Announces a link, and where its events go.
    pub(crate) fn opened(&self, link: Link, events: Sender<Event>) {
        let _ = self.0.try_send(Command::Opened(link, events));
    }

    /// Load of all endpoints, fresh; none once the thread has ended.
    pub(crate) async fn loads(&self) -> Option<Vec<Load>> {
        self.ask(Command::Loads).await
    }

    /// Whether nothing runs or waits.
    pub(crate) async fn is_idle(&self) -> bool {
        self.ask(Command::Idle).await.unwrap_or(true)
    }

    /// The state, for people.
    pub(crate) async fn dump(&self) -> Value {
        self.ask(Command::Dump).await.unwrap_or_default()
    }

    /// Ends the thread.
    pub(crate) fn stop(&self) {
        let _ = self.0.try_send(Command::Stop);
    }

    async fn ask<T>(&self, command: impl FnOnce(Sender<T>) -> Command) -> Option<T> {
        let (sender, receiver) = async_channel::bounded(1);
        self.0.try_send(command(sender)).ok()?;
        receiver.recv().await.ok()
    }
}

/// Names work towards an engine.
pub(crate) fn work_id(attempt: Attempt) -> String {
    attempt.to_string()
}
