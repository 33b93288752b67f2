//! Handle for sending commands to the agent's control thread.

use async_channel::Sender;
use serde_json::Value;
use tarragonhill_core::{
    Attempt,
    agent::{Input, Link},
    message::{Event, Load},
};

/// Maximum number of queued events of a link. The channel is unbounded, because a bounded one allocates
/// its whole capacity in advance.
pub(crate) const MAX_QUEUED_EVENTS: usize = 65_536;

/// A command to the control thread.
pub(crate) enum Command {
    Input(Input),
    LinkOpened(Link, Sender<Event>),
    Loads(Sender<Vec<Load>>),
    IsIdle(Sender<bool>),
    Dump(Sender<Value>),
    Stop,
}

/// Handle to the control thread.
#[derive(Clone)]
pub(crate) struct Control(Sender<Command>);

impl Control {
    /// Creates a handle to the thread that receives from `commands`.
    pub(crate) fn new(commands: Sender<Command>) -> Self {
        Self(commands)
    }

    /// Sends an input for [`tarragonhill_core::agent::State::step`].
    pub(crate) fn input(&self, input: Input) {
        let _ = self.0.try_send(Command::Input(input));
    }

    /// Registers a new link and the channel for its events.
    pub(crate) fn open_link(&self, link: Link, events: Sender<Event>) {
        let _ = self.0.try_send(Command::LinkOpened(link, events));
    }

    /// Returns the current load of all endpoints, or `None` if the control thread has ended.
    pub(crate) async fn loads(&self) -> Option<Vec<Load>> {
        self.request(Command::Loads).await
    }

    /// Returns whether no work is running or queued.
    pub(crate) async fn is_idle(&self) -> bool {
        self.request(Command::IsIdle).await.unwrap_or(true)
    }

    /// Returns the state as JSON for operators.
    pub(crate) async fn dump(&self) -> Value {
        self.request(Command::Dump).await.unwrap_or_default()
    }

    /// Stops the control thread.
    pub(crate) fn stop(&self) {
        let _ = self.0.try_send(Command::Stop);
    }

    async fn request<T>(&self, command: impl FnOnce(Sender<T>) -> Command) -> Option<T> {
        let (sender, receiver) = async_channel::bounded(1);
        self.0.try_send(command(sender)).ok()?;
        receiver.recv().await.ok()
    }
}

/// Returns the identifier of an attempt's work in requests to an engine.
pub(crate) fn work_id(attempt: Attempt) -> String {
    attempt.to_string()
}
