//! The transactional table service.

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

/// Limits of the service, a second.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Writes.
    pub writes: u64,
    /// Reads.
    pub reads: u64,
}

impl Default for Rates {
    fn default() -> Self {
        Self { writes: 400, reads: 2_000 }
    }
}

#[derive(Debug, Default)]
struct Stored {
    rows: BTreeMap<String, (u64, Option<Value>)>,
    by_version: BTreeMap<u64, Vec<String>>,
    version: u64,
}

impl Stored {
    fn commit(&mut self, transaction: &Transaction) -> Result<u64, String> {
        for write in &transaction.writes {
            let stands = self
                .rows
                .get(&write.key)
                .filter(|(_, value)| value.is_some())
                .map_or(0, |(version, _)| *version);
            if write.expected.is_some_and(|expected| expected != stands) {
                return Err(write.key.clone());
            }
        }
        self.version += 1;
        for write in &transaction.writes {
            let old = self.rows.insert(write.key.clone(), (self.version, write.value.clone()));
            if let Some((version, _)) = old {
                self.forget(version, &write.key);
            }
            self.by_version.entry(self.version).or_default().push(write.key.clone());
        }
        Ok(self.version)
    }

    fn forget(&mut self, version: u64, key: &str) {
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
    began: Instant,
    writes: Bucket,
    reads: Bucket,
}

/// The service.
#[derive(Debug)]
pub struct Table {
    /// Injected faults.
    pub faults: Arc<Faults>,
    listener: Listener,
    stored: Arc<Mutex<Stored>>,
    reads: Arc<AtomicU64>,
    writes: Arc<AtomicU64>,
    late: Arc<Mutex<Option<Late>>>,
}

/// A write that is to be answered with an error at once and to land later.
#[derive(Clone, Debug)]
struct Late {
    prefix: String,
    /// Writes under the prefix that pass before it.
    skip: u32,
    after: Duration,
}

impl Late {
    /// Whether this is the one.
    fn takes(late: &mut Option<Self>, transaction: &Transaction) -> Option<Duration> {
        let next = late.as_mut()?;
        if !transaction.writes.iter().any(|write| write.key.starts_with(&next.prefix)) {
            return None;
        }
        if next.skip > 0 {
            next.skip -= 1;
            return None;
        }
        late.take().map(|late| late.after)
    }
}

impl Table {
    /// Starts an empty table.
    pub async fn start(rates: Rates) -> std::io::Result<Self> {
        let faults = Arc::new(Faults::default());
        let stored: Arc<Mutex<Stored>> = Arc::default();
        let (reads, writes): (Arc<AtomicU64>, Arc<AtomicU64>) = Default::default();
        let limiter = Arc::new(Mutex::new(Limiter {
            began: Instant::now(),
            writes: Bucket::full(rates.writes, rates.writes, Time::ZERO),
            reads: Bucket::full(rates.reads, rates.reads, Time::ZERO),
        }));
        let late: Arc<Mutex<Option<Late>>> = Arc::default();
        let shared = (stored.clone(), limiter, faults.clone(), reads.clone(), writes.clone(), late.clone());
        let listener = Listener::start(faults.clone(), move |inbound| {
            let (stored, limiter, faults, reads, writes, late) = shared.clone();
            async move {
                let is_write = inbound.method == "POST";
                if !allowed(&limiter, is_write) {
                    return Outbound::text(429, "rate limited");
                }
                if is_write { &writes } else { &reads }.fetch_add(1, Ordering::Relaxed);
                if is_write && delayed(&stored, &late, &inbound) {
                    return Outbound::text(500, "lost");
                }
                let outbound = answer(&stored, &inbound);
                if is_write && faults.should_lose_response() {
                    // The write took effect and its answer is lost.
                    async_std::task::sleep(Duration::from_secs(3)).await;
                    return Outbound::text(500, "lost");
                }
                outbound
            }
        })
        .await?;
        Ok(Self { faults, listener, stored, reads, writes, late })
    }

    /// Where it listens.
    pub fn address(&self) -> std::net::SocketAddr {
        self.listener.address
    }

    /// Writes rows as if an operator had, past limits and faults.
    pub fn put(&self, rows: impl IntoIterator<Item = (String, Value)>) {
        let writes = rows.into_iter().map(|(key, value)| tarragonhill_table::Write {
            key,
            expected: None,
            value: Some(value),
        });
        let _ = lock(&self.stored).commit(&Transaction { writes: writes.collect() });
    }

    /// A row's value.
    pub fn get(&self, key: &str) -> Option<Value> {
        lock(&self.stored).row(key)?.value
    }

    /// Keys that start with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        lock(&self.stored).rows.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Makes one write under `prefix`, the one after `skip` others, look lost and land after a while.
    pub fn delay_write(&self, prefix: &str, skip: u32, after: Duration) {
        *lock(&self.late) = Some(Late { prefix: prefix.to_owned(), skip, after });
    }

    /// Reads and writes served so far.
    pub fn request_counts(&self) -> (u64, u64) {
        (self.reads.load(Ordering::Relaxed), self.writes.load(Ordering::Relaxed))
    }
}

/// Takes a write that is to land later; true if this was one.
fn delayed(stored: &Arc<Mutex<Stored>>, late: &Mutex<Option<Late>>, inbound: &Inbound) -> bool {
    let Ok(transaction) = parse_body::<Transaction>(inbound) else { return false };
    let Some(after) = Late::takes(&mut lock(late), &transaction) else { return false };
    let stored = stored.clone();
    async_std::task::spawn(async move {
        async_std::task::sleep(after).await;
        let _ = lock(&stored).commit(&transaction);
    });
    true
}

fn allowed(limiter: &Mutex<Limiter>, is_write: bool) -> bool {
    let mut limiter = lock(limiter);
    let now = Time::ZERO.plus(limiter.began.elapsed());
    let bucket = if is_write { &mut limiter.writes } else { &mut limiter.reads };
    bucket.take(now, 1).is_some()
}

fn answer(stored: &Mutex<Stored>, inbound: &Inbound) -> Outbound {
    if inbound.method == "POST" && inbound.path == "/commit" {
        let transaction: Transaction = match parse_body(inbound) {
            Ok(transaction) => transaction,
            Err(outbound) => return outbound,
        };
        return match lock(stored).commit(&transaction) {
            Ok(version) => Outbound::json(200, &json!({ "version": version })),
            Err(key) => Outbound::json(409, &json!({ "key": key })),
        };
    }
    if inbound.path == "/list" {
        let query = parse_query(inbound);
        let after = query.get("after").and_then(|after| after.parse().ok()).unwrap_or(0);
        let prefix = query.get("prefix").copied().unwrap_or_default();
        return Outbound::json(200, &lock(stored).list(prefix, after));
    }
    let key = inbound.path.strip_prefix("/rows/").unwrap_or_default();
    match lock(stored).row(key).filter(|row| row.value.is_some()) {
        Some(row) => Outbound::json(200, &row),
        None => Outbound::text(404, "no such row"),
    }
}
