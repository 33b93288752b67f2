//! Phases of a shutdown, on which tasks wait.

use std::{collections::BTreeMap, sync::Arc};

use async_channel::{Receiver, Sender};
use strum::{EnumIter, IntoEnumIterator as _};

/// A phase of a shutdown. Each one begins after those before it and lasts until the process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, EnumIter)]
pub(crate) enum Phase {
    /// The gateway is not ready. The load balancer may still route callers here.
    Draining,
    /// Idle connections are closed.
    Closing,
    /// No connections are accepted, and requests in flight fail.
    Expired,
    /// All connections are closed.
    Ended,
}

/// Starts the phases.
#[derive(Debug)]
pub(crate) struct Driver(BTreeMap<Phase, Sender<()>>);

impl Driver {
    /// Starts a phase.
    pub(crate) fn enter(&mut self, phase: Phase) {
        self.0.remove(&phase);
    }
}

/// Tells which phases have begun. No message is ever sent: the channel of a phase is closed when it begins, or
/// when the driver is dropped.
#[derive(Clone, Debug)]
pub(crate) struct Monitor(Arc<BTreeMap<Phase, Receiver<()>>>);

impl Monitor {
    /// Returns whether a phase has begun.
    pub(crate) fn has_reached(&self, phase: Phase) -> bool {
        self.0.get(&phase).is_some_and(Receiver::is_closed)
    }

    /// Completes once a phase has begun.
    pub(crate) async fn reached(&self, phase: Phase) {
        if let Some(channel) = self.0.get(&phase) {
            let _ = channel.recv().await;
        }
    }
}

/// Creates a driver and its monitor.
pub(crate) fn phases() -> (Driver, Monitor) {
    let (mut senders, mut receivers) = (BTreeMap::new(), BTreeMap::new());
    for phase in Phase::iter() {
        let (sender, receiver) = async_channel::bounded(1);
        senders.insert(phase, sender);
        receivers.insert(phase, receiver);
    }
    (Driver(senders), Monitor(Arc::new(receivers)))
}
