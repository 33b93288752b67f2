//! A simulated transactional table service.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tarragonhill_core::{Time, quota::Bucket};
use tarragonhill_http::server::{Inbound, Outbound};
use tarragonhill_table::{Row, Rows, Transaction};

use super::{Faults, Listener, lock, parse_body, parse_query};

/// Rate limits of the service, per second.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Maximum transactions.
    pub writes: u64,
    /// Maximum reads.
    pub reads: u64,
}

impl Default for Rates {
    fn default() -> Self {
        Self { writes: 400, reads: 2_000 }
    }
}

#[derive(Debug, Default)]
struct Contents {
    /// Version and value by key; deleted rows have no value.
    rows: BTreeMap<String, (u64, Option<Value>)>,
    /// Keys by the version of their last write.
    by_version: BTreeMap<u64, Vec<String>>,
    version: u64,
}

impl Contents {
    /// Applies a transaction and returns its version, or the key of the first failed precondition.
    fn commit(&mut self, transaction: &Transaction) -> Result<u64, String> {
        for write in &transaction.writes {
            let current = self
                .rows
                .get(&write.key)
                .filter(|(_, value)| value.is_some())
                .map_or(0, |(version, _)| *version);
            if write.expected.is_some_and(|expected| expected != current) {
                return Err(write.key.clone());
            }
        }
        self.version += 1;
        for write in &transaction.writes {
            let old = self.rows.insert(write.key.clone(), (self.version, write.value.clone()));
            if let Some((version, _)) = old {
                self.unindex(version, &write.key);
            }
            self.by_version.entry(self.version).or_default().push(write.key.clone());
        }
        Ok(self.version)
    }

    fn unindex(&mut self, version: u64, key: &str) {
        if let Some(keys) = self.by_version.get_mut(&version) {
            keys.retain(|other| other != key);
        }
    }

    fn row(&self, key: &str) -> Option<Row> {
        let (version, value) = self.rows.get(key)?;
        Some(Row { key: key.to_owned(), version: *version, value: value.clone() })
    }

    fn list(&self, prefix: &str, after: u64) -> Rows {
        let changed = self.by_version.range(after + 1..).flat_map(|(_, keys)| keys);
        let rows = changed.filter(|key| key.starts_with(prefix)).filter_map(|key| self.row(key)).collect();
        Rows { rows, version: self.version }
    }
}

#[derive(Debug)]
struct Limiter {
    started_at: Instant,
    writes: Bucket,
    reads: Bucket,
}

/// A running table service.
#[derive(Debug)]
pub struct Table {
    /// Injected faults.
    pub faults: Arc<Faults>,
    listener: Listener,
    contents: Arc<Mutex<Contents>>,
    reads: Arc<AtomicU64>,
    writes: Arc<AtomicU64>,
    delayed_write: Arc<Mutex<Option<DelayedWrite>>>,
}

/// A write that fails at once for the caller and is applied later.
#[derive(Clone, Debug)]
struct DelayedWrite {
    prefix: String,
    /// Number of writes under the prefix to let through first.
    skip: u32,
    delay: Duration,
}

impl DelayedWrite {
    /// Returns the delay if the transaction is the write to delay, and clears it.
    fn take_delay(delayed_write: &mut Option<Self>, transaction: &Transaction) -> Option<Duration> {
        let next = delayed_write.as_mut()?;
        if !transaction.writes.iter().any(|write| write.key.starts_with(&next.prefix)) {
            return None;
        }
        if next.skip > 0 {
            next.skip -= 1;
            return None;
        }
        delayed_write.take().map(|delayed_write| delayed_write.delay)
    }
}

impl Table {
    /// Starts an empty table.
    pub async fn start(rates: Rates) -> std::io::Result<Self> {
        let faults = Arc::new(Faults::default());
        let contents: Arc<Mutex<Contents>> = Arc::default();
        let (reads, writes): (Arc<AtomicU64>, Arc<AtomicU64>) = Default::default();
        let limiter = Arc::new(Mutex::new(Limiter {
            started_at: Instant::now(),
            writes: Bucket::full(rates.writes, rates.writes, Time::ZERO),
            reads: Bucket::full(rates.reads, rates.reads, Time::ZERO),
        }));
        let delayed_write: Arc<Mutex<Option<DelayedWrite>>> = Arc::default();
        let shared =
            (contents.clone(), limiter, faults.clone(), reads.clone(), writes.clone(), delayed_write.clone());
        let listener = Listener::start(faults.clone(), move |inbound| {
            let (contents, limiter, faults, reads, writes, delayed_write) = shared.clone();
            async move {
                let is_write = inbound.method == "POST";
                if !is_within_limits(&limiter, is_write) {
                    return Outbound::text(429, "rate limited");
                }
                if is_write { &writes } else { &reads }.fetch_add(1, Ordering::Relaxed);
                if is_write && delay_if_selected(&contents, &delayed_write, &inbound) {
                    return Outbound::text(500, "lost");
                }
                let response = handle(&contents, &inbound);
                if is_write && faults.should_lose_response() {
                    // The write was applied and its response is lost.
                    async_std::task::sleep(Duration::from_secs(3)).await;
                    return Outbound::text(500, "lost");
                }
                response
            }
        })
        .await?;
        Ok(Self { faults, listener, contents, reads, writes, delayed_write })
    }

    /// Returns the local address.
    pub fn address(&self) -> std::net::SocketAddr {
        self.listener.address
    }

    /// Writes rows directly, without rate limits or faults.
    pub fn put(&self, rows: impl IntoIterator<Item = (String, Value)>) {
        let writes = rows.into_iter().map(|(key, value)| tarragonhill_table::Write {
            key,
            expected: None,
            value: Some(value),
        });
        let _ = lock(&self.contents).commit(&Transaction { writes: writes.collect() });
    }

    /// Returns the value of a row.
    pub fn get(&self, key: &str) -> Option<Value> {
        lock(&self.contents).row(key)?.value
    }

    /// Returns the keys that start with `prefix`, including those of deleted rows.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        lock(&self.contents).rows.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Delays one write under `prefix`, after `skip` others: the caller gets an error at once, and the
    /// write is applied after `delay`.
    pub fn delay_write(&self, prefix: &str, skip: u32, delay: Duration) {
        *lock(&self.delayed_write) = Some(DelayedWrite { prefix: prefix.to_owned(), skip, delay });
    }

    /// Returns the numbers of reads and writes served so far.
    pub fn request_counts(&self) -> (u64, u64) {
        (self.reads.load(Ordering::Relaxed), self.writes.load(Ordering::Relaxed))
    }
}

/// Applies the request later if it is the write to delay; returns whether it is.
fn delay_if_selected(
    contents: &Arc<Mutex<Contents>>,
    delayed_write: &Mutex<Option<DelayedWrite>>,
    inbound: &Inbound,
) -> bool {
    let Ok(transaction) = parse_body::<Transaction>(inbound) else { return false };
    let Some(delay) = DelayedWrite::take_delay(&mut lock(delayed_write), &transaction) else { return false };
    let contents = contents.clone();
    async_std::task::spawn(async move {
        async_std::task::sleep(delay).await;
        let _ = lock(&contents).commit(&transaction);
    });
    true
}

fn is_within_limits(limiter: &Mutex<Limiter>, is_write: bool) -> bool {
    let mut limiter = lock(limiter);
    let now = Time::ZERO.plus(limiter.started_at.elapsed());
    let bucket = if is_write { &mut limiter.writes } else { &mut limiter.reads };
    bucket.take(now, 1).is_some()
}

fn handle(contents: &Mutex<Contents>, inbound: &Inbound) -> Outbound {
    if inbound.method == "POST" && inbound.path == "/commit" {
        let transaction: Transaction = match parse_body(inbound) {
            Ok(transaction) => transaction,
            Err(response) => return response,
        };
        return match lock(contents).commit(&transaction) {
            Ok(version) => Outbound::json(200, &json!({ "version": version })),
            Err(key) => Outbound::json(409, &json!({ "key": key })),
        };
    }
    if inbound.path == "/list" {
        let query = parse_query(inbound);
        let after = query.get("after").and_then(|after| after.parse().ok()).unwrap_or(0);
        let prefix = query.get("prefix").copied().unwrap_or_default();
        return Outbound::json(200, &lock(contents).list(prefix, after));
    }
    let key = inbound.path.strip_prefix("/rows/").unwrap_or_default();
    match lock(contents).row(key).filter(|row| row.value.is_some()) {
        Some(row) => Outbound::json(200, &row),
        None => Outbound::text(404, "no such row"),
    }
}
