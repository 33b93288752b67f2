//! Settings in force in this process, kept up to date with the table.

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
    refresh_requests: (Sender<()>, Receiver<()>),
}

#[derive(Debug, Default)]
struct Inner {
    snapshot: Arc<Snapshot>,
    freshness: Freshness,
    /// Table version up to which rows have been read.
    read_version: u64,
}

impl Current {
    pub(crate) fn new(clock: Clock) -> Self {
        Self { clock, inner: Mutex::default(), refresh_requests: async_channel::bounded(1) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the settings in force.
    pub(crate) fn get(&self) -> Arc<Snapshot> {
        self.lock().snapshot.clone()
    }

    /// Calls `access` with the freshness of the settings, under the lock.
    pub(crate) fn freshness<T>(&self, access: impl FnOnce(&mut Freshness) -> T) -> T {
        access(&mut self.lock().freshness)
    }

    /// Returns a heartbeat with the version and the age of the settings in force.
    pub(crate) fn heartbeat(&self) -> Heartbeat {
        let inner = self.lock();
        let age = inner.freshness.age(self.clock.now());
        Heartbeat { version: inner.snapshot.version, age, ..Heartbeat::default() }
    }

    /// Records a peer's heartbeat, and requests a refresh if the peer has newer settings.
    pub(crate) fn record_heartbeat(&self, peer: &Arc<str>, heartbeat: &Heartbeat) {
        let now = self.clock.now();
        self.freshness(|freshness| freshness.record_heartbeat(now, peer, heartbeat));
        if heartbeat.version > self.get().version {
            self.request_refresh();
        }
    }

    /// Makes [`Self::follow`] read the table without waiting for the next poll.
    pub(crate) fn request_refresh(&self) {
        let _ = self.refresh_requests.0.try_send(());
    }

    /// Polls the table forever and calls `on_change` with each new snapshot, including those that other
    /// calls of [`Self::refresh`] have read.
    ///
    /// With `max_unpolled_age`, polls are skipped while heartbeats confirm that the settings are at most
    /// that old. This limits the load of many agents on the table.
    pub(crate) async fn follow(
        &self,
        table: &dyn Table,
        poll: Duration,
        max_unpolled_age: Option<Duration>,
        on_change: impl Fn(Arc<Snapshot>),
    ) {
        let mut last_version = 0;
        let mut refresh_requested = true;
        loop {
            let age = self.freshness(|freshness| freshness.age(self.clock.now()));
            let is_confirmed = max_unpolled_age.is_some_and(|max_age| age <= max_age);
            if (refresh_requested || !is_confirmed)
                && let Err(error) = self.refresh(table).await
            {
                spdlog::debug!("cannot read settings from the table: {error}");
            }
            let snapshot = self.get();
            if snapshot.version > last_version {
                last_version = snapshot.version;
                on_change(snapshot);
            }
            refresh_requested =
                async_std::future::timeout(poll, self.refresh_requests.1.recv()).await.is_ok();
        }
    }

    /// Reads the rows that have changed and applies them.
    pub(crate) async fn refresh(&self, table: &dyn Table) -> Result<(), TableError> {
        let started_at = self.clock.now();
        let after = self.lock().read_version;
        let rows = table.list(settings::PREFIX, after).await?;
        self.apply(started_at, rows);
        Ok(())
    }

    fn apply(&self, started_at: Time, rows: Rows) {
        let parsed: Vec<Row> = rows.rows.iter().filter_map(parse_row).collect();
        let version = parsed.iter().find_map(|row| match row {
            Row::Version(version) => Some(*version),
            Row::Customer(..) | Row::Key(..) | Row::Endpoint(..) => None,
        });
        let mut inner = self.lock();
        // A concurrent call may have applied a newer listing already.
        if rows.version < inner.read_version {
            return;
        }
        inner.read_version = rows.version;
        let next = version.and_then(|version| inner.snapshot.apply(version, &parsed)).map(Arc::new);
        if let Some(next) = &next {
            inner.snapshot = next.clone();
        }
        let version = inner.snapshot.version;
        inner.freshness.record_read(started_at, version);
    }
}

fn parse_row(row: &tarragonhill_table::Row) -> Option<Row> {
    match Row::parse(&row.key, row.value.as_ref()) {
        Ok(row) => Some(row),
        Err(error) => {
            spdlog::error!("ignoring invalid settings row: {error}");
            None
        }
    }
}
