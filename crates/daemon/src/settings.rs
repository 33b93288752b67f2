//! Keeps the process's settings in step with the table.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_channel::{Receiver, Sender};
use tarragonhill_core::{
    Clock, Time,
    freshness::Freshness,
    message::Heartbeat,
    settings::{self, Row, Snapshot},
};
use tarragonhill_table::{Rows, Table, TableError};

/// The settings in force in this process.
#[derive(Debug)]
pub(crate) struct Current {
    clock: Clock,
    inner: Mutex<Inner>,
    changed: (Sender<()>, Receiver<()>),
}

#[derive(Debug, Default)]
struct Inner {
    snapshot: Arc<Snapshot>,
    freshness: Freshness,
    /// Table version up to which rows have been read.
    read: u64,
}

impl Current {
    pub(crate) fn new(clock: Clock) -> Self {
        Self { clock, inner: Mutex::default(), changed: async_channel::bounded(1) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The settings in force now.
    pub(crate) fn get(&self) -> Arc<Snapshot> {
        self.lock().snapshot.clone()
    }

    /// Runs `look` on what is known of the settings' age.
    pub(crate) fn freshness<T>(&self, look: impl FnOnce(&mut Freshness) -> T) -> T {
        look(&mut self.lock().freshness)
    }

    /// A heartbeat that says which version is in force and how old that is.
    pub(crate) fn heartbeat(&self) -> Heartbeat {
        let inner = self.lock();
        let age = inner.freshness.age(self.clock.now());
        Heartbeat { version: inner.snapshot.version, age, ..Heartbeat::default() }
    }

    /// Takes a peer's heartbeat, and asks the table if the peer has newer settings.
    pub(crate) fn record_heartbeat(&self, peer: &Arc<str>, heartbeat: &Heartbeat) {
        let now = self.clock.now();
        self.freshness(|freshness| freshness.record_heartbeat(now, peer, heartbeat));
        if heartbeat.version > self.get().version {
            self.request_refresh();
        }
    }

    /// Asks for a read of the table soon, because someone has seen a newer version.
    pub(crate) fn request_refresh(&self) {
        let _ = self.changed.0.try_send(());
    }

    /// Polls the table for ever and calls `adopted` with each new snapshot, whoever read it.
    ///
    /// With `trust`, polls are left out while heartbeats vouch that the settings in force are no
    /// older: hundreds of agents then read the table only when there is something to read.
    pub(crate) async fn follow(
        &self,
        table: &dyn Table,
        poll: Duration,
        trust: Option<Duration>,
        adopted: impl Fn(Arc<Snapshot>),
    ) {
        let mut seen = 0;
        let mut nudged = true;
        loop {
            let age = self.freshness(|freshness| freshness.age(self.clock.now()));
            let vouched = trust.is_some_and(|trust| age <= trust);
            if (nudged || !vouched)
                && let Err(error) = self.refresh(table).await
            {
                spdlog::debug!("settings not read: {error}");
            }
            let snapshot = self.get();
            if snapshot.version > seen {
                seen = snapshot.version;
                adopted(snapshot);
            }
            nudged = async_std::future::timeout(poll, self.changed.1.recv()).await.is_ok();
        }
    }

    /// Reads what has changed and puts it in force.
    pub(crate) async fn refresh(&self, table: &dyn Table) -> Result<(), TableError> {
        let began = self.clock.now();
        let after = self.lock().read;
        let rows = table.list(settings::PREFIX, after).await?;
        self.adopt(began, rows);
        Ok(())
    }

    fn adopt(&self, began: Time, rows: Rows) {
        let parsed: Vec<Row> = rows.rows.iter().filter_map(parse).collect();
        let version = parsed.iter().find_map(|row| match row {
            Row::Version(version) => Some(*version),
            Row::Customer(..) | Row::Key(..) | Row::Endpoint(..) => None,
        });
        let mut inner = self.lock();
        // A listing that was overtaken by another must not count: its rows are older.
        if rows.version < inner.read {
            return;
        }
        inner.read = rows.version;
        let next = version.and_then(|version| inner.snapshot.apply(version, &parsed)).map(Arc::new);
        if let Some(next) = &next {
            inner.snapshot = next.clone();
        }
        let version = inner.snapshot.version;
        inner.freshness.record_read(began, version);
    }
}

fn parse(row: &tarragonhill_table::Row) -> Option<Row> {
    match Row::parse(&row.key, row.value.as_ref()) {
        Ok(row) => Some(row),
        Err(error) => {
            spdlog::error!("settings row ignored: {error}");
            None
        }
    }
}
