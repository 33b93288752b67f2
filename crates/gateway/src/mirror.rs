//! Sharing of the store's endpoint table within an availability zone.
//!
//! In a large fleet, only the first relay of a zone follows the table in the store; the other relay follows
//! the first, and the other replicas follow a relay. A replica whose relay does not answer reads the store itself.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use prost::Message as _;
use tarragonhill_core::{
    Clock, Time,
    gateway::{
        mirror::{Batch, Table},
        position::Position,
        relay::Role,
    },
};
use tarragonhill_wire::proto::{self, entry_client::EntryClient};
use tonic::transport::{Channel, Endpoint};

use crate::{
    control::Control,
    transfer::{STEP_TIMEOUT, collect},
};

/// How long a relay waits for a change before it answers. Bounds how late the loss of a relay is noticed.
const LONG_POLL: Duration = Duration::from_millis(700);
/// Longest wait that a relay grants.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// How long a relay that failed is not asked again.
const RELAY_BACKOFF: Duration = Duration::from_secs(2);

/// This replica's copy of the endpoint table, and its access to the copies of relays.
#[derive(Clone)]
pub struct Mirror(Arc<Shared>);

struct Shared {
    clock: Clock,
    control: Control,
    table: Mutex<Copy>,
    relay: Mutex<Relay>,
}

struct Copy {
    table: Table,
    /// Dropped and replaced at every change, which wakes up those who wait for it.
    changing: Sender<()>,
    changed: Receiver<()>,
}

#[derive(Default)]
struct Relay {
    connection: Option<(SocketAddr, Channel)>,
    failed: Option<Time>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Mirror {
    pub(crate) fn new(clock: Clock, control: Control) -> Self {
        let (changing, changed) = async_channel::bounded(1);
        let table = Mutex::new(Copy { table: Table::default(), changing, changed });
        Self(Arc::new(Shared { clock, control, table, relay: Mutex::default() }))
    }

    /// Applies rows that were read from the store.
    pub fn apply(&self, batch: &Batch) {
        self.update(|table| table.apply(batch));
    }

    /// Records that the store cannot be read.
    pub fn mark_unavailable(&self) {
        self.update(Table::mark_unavailable);
    }

    fn update(&self, change: impl FnOnce(&mut Table)) {
        let mut copy = lock(&self.0.table);
        change(&mut copy.table);
        (copy.changing, copy.changed) = async_channel::bounded(1);
    }

    /// Returns whether the store that was copied names its era.
    pub(crate) fn names_era(&self) -> bool {
        lock(&self.0.table).table.era() > 0
    }

    /// Returns rows for a reader, as soon as there are any newer than `after` or the wait is over. `None` if
    /// the copy must not be used.
    pub(crate) async fn serve(&self, after: Option<Position>, wait: Duration) -> Option<Batch> {
        let deadline = self.0.clock.now().plus(wait.min(MAX_WAIT));
        loop {
            let changed = {
                let copy = lock(&self.0.table);
                let is_behind = after.is_some_and(|after| copy.table.is_behind_era_of(after));
                if !copy.table.is_available() || is_behind {
                    return None;
                }
                let left = deadline.since(self.0.clock.now());
                if left.is_zero() || after.is_none_or(|after| copy.table.has_changes(after)) {
                    return Some(copy.table.read(after));
                }
                copy.changed.clone()
            };
            // No message is ever sent; the channel closes at the next change.
            let _ = timeout(deadline.since(self.0.clock.now()), changed.recv()).await;
        }
    }

    /// Returns where this replica reads the endpoint table.
    pub async fn role(&self) -> Role {
        self.0.control.role().await
    }

    /// Reads from the relay that this replica follows. `None` if it follows none, or the relay did not answer;
    /// then the store is to be read.
    pub async fn follow(&self, after: Option<Position>) -> Option<Batch> {
        let Role::Follower(relay) = self.role().await else { return None };
        let now = self.0.clock.now();
        if lock(&self.0.relay).failed.is_some_and(|at| now.since(at) < RELAY_BACKOFF) {
            return None;
        }
        match self.read(relay.address, after).await {
            Ok(batch) => Some(batch),
            Err(reason) => {
                spdlog::info!("relay did not answer; reading the store", kv: { peer = &*relay.name, reason = reason.as_str() });
                *lock(&self.0.relay) = Relay { connection: None, failed: Some(self.0.clock.now()) };
                None
            }
        }
    }

    async fn read(&self, address: SocketAddr, after: Option<Position>) -> Result<Batch, String> {
        let mut client = EntryClient::new(self.connect(address).await?);
        let position = proto::Position {
            has_table: after.is_some(),
            after: after.unwrap_or_default().version(),
            wait_ms: LONG_POLL.as_millis() as u64,
            era: Some(after.unwrap_or_default().era()),
        };
        let response = timeout(LONG_POLL + STEP_TIMEOUT, client.follow(position)).await;
        let response = response.map_err(|_| "request timed out")?.map_err(|status| status.to_string())?;
        let bytes = collect(response.into_inner()).await?;
        let batch = proto::Batch::decode(bytes.as_slice()).map_err(|error| error.to_string())?;
        let batch = Batch::try_from(batch).map_err(|error| error.to_string())?;
        let is_older_era = after.is_some_and(|after| after.is_later_era_than(batch.position));
        let continues = after.is_some_and(|after| batch.position.continues(after));
        if is_older_era || !(batch.is_complete || continues) {
            return Err("the relay is in another era of the store".into());
        }
        Ok(batch)
    }

    /// Returns the open connection to the relay, or opens one.
    async fn connect(&self, address: SocketAddr) -> Result<Channel, String> {
        if let Some((_, channel)) = lock(&self.0.relay).connection.as_ref().filter(|(to, _)| *to == address) {
            return Ok(channel.clone());
        }
        let endpoint =
            Endpoint::from_shared(format!("http://{address}")).map_err(|error| error.to_string())?;
        let connected = timeout(STEP_TIMEOUT, endpoint.connect()).await;
        let channel = connected.map_err(|_| "connecting timed out")?.map_err(|error| error.to_string())?;
        lock(&self.0.relay).connection = Some((address, channel.clone()));
        Ok(channel)
    }
}
