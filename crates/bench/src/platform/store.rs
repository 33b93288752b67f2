//! A simulated store of the platform, with rows, change feeds and fault injection.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, LazyLock, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::task;
use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Value, json};
use strum::Display;
use tarragonhill_h1::{
    Connection,
    head::{Request, Response},
};

use super::server::{Action, Server};
use crate::sim::lock;

/// Maximum rows per page of a table.
pub const PAGE_ROWS: usize = 500;
/// Maximum bytes per page of a table. A page holds at least one row.
const PAGE_BYTES: usize = 1 << 20;
/// Maximum length of the names of tables and parts and of keys, in bytes.
pub const MAX_NAME_BYTES: usize = 200;
/// Interval at which a waiting feed checks for changes.
const FEED_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Chunks per second in which a rate-limited response is written.
const CHUNKS_PER_S: u64 = 20;
/// Era of a store that has never come back from a copy.
const FIRST_ERA: u64 = 1;

/// A fault of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Responds with status 503 and does not execute the call.
    Busy,
    /// Resets connections.
    Reset,
    /// Accepts calls and never responds.
    Silent,
    /// Stops in the middle of a response.
    Stalled,
}

#[derive(Clone, Debug)]
struct Row {
    value: String,
    version: u64,
    is_removed: bool,
}

/// What a store holds.
#[derive(Clone, Debug, Default)]
pub struct Contents {
    version: u64,
    /// Rows by table and key; removed rows stay as tombstones.
    rows: BTreeMap<(String, String), Row>,
    /// Changes before this version are no longer available.
    oldest_version: u64,
}

#[derive(Debug)]
struct State {
    contents: Contents,
    era: u64,
    /// Whether responses name the era.
    names_era: bool,
    fault: Fault,
    /// Table whose next feed call is refused as one too many.
    throttled: Option<String>,
    /// Rate at which responses are written, in bytes per second; `None` is unlimited.
    rate: Option<u64>,
    calls: u64,
    /// Feed calls by table.
    feed_calls: BTreeMap<String, u64>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            contents: Contents::default(),
            era: FIRST_ERA,
            names_era: true,
            fault: Fault::None,
            throttled: None,
            rate: None,
            calls: 0,
            feed_calls: BTreeMap::new(),
        }
    }
}

impl Contents {
    fn write(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let row =
            Row { is_removed: value.is_none(), value: value.unwrap_or_default(), version: self.version };
        self.rows.insert((table.into(), key.into()), row);
    }

    fn select(&self, table: &str, keep: impl Fn(&str, &Row) -> bool) -> Vec<Value> {
        let rows = self.rows.iter().filter(|((row_table, key), row)| row_table == table && keep(key, row));
        let mut rows: Vec<_> = rows.collect();
        rows.sort_by_key(|(_, row)| row.version);
        rows.into_iter().map(|((table, key), row)| encode(table, key, row)).collect()
    }

    fn rows_response(&self, rows: Vec<Value>) -> Value {
        json!({"rows": rows, "truncated": false, "row_version": self.version, "now_ms": now_ms()})
    }
}

/// Returns the store's clock, which never jumps.
fn now_ms() -> u64 {
    static STARTED: LazyLock<Instant> = LazyLock::new(Instant::now);
    u64::try_from(STARTED.elapsed().as_millis()).unwrap_or(u64::MAX)
}

fn encode(table: &str, key: &str, row: &Row) -> Value {
    let mut encoded = json!({"table": table, "part": "", "key": key, "row_version": row.version});
    if row.is_removed {
        encoded["removed"] = true.into();
    } else {
        encoded["value"] = row.value.as_str().into();
    }
    encoded
}

/// A running store.
pub struct Store {
    server: Server,
    state: Arc<Mutex<State>>,
}

impl Store {
    /// Starts an empty store. Port 0 selects an unused port.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let state: Arc<Mutex<State>> = Arc::default();
        let server = serve(address, state.clone(), Arc::default()).await?;
        Ok(Self { server, state })
    }

    /// Starts another way to this store, which can be cut.
    pub async fn link(&self) -> io::Result<Link> {
        let is_cut = Arc::new(AtomicBool::new(false));
        let address = SocketAddr::from((self.address().ip(), 0));
        let server = serve(address, self.state.clone(), is_cut.clone()).await?;
        Ok(Link { server, is_cut })
    }

    /// Returns the local address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Starts another store with a copy of the rows. Later changes are not shared.
    pub async fn fork(&self) -> io::Result<Self> {
        let fork = Self::start(SocketAddr::from((self.address().ip(), 0))).await?;
        {
            let (own, mut other) = (lock(&self.state), lock(&fork.state));
            other.contents = Contents { oldest_version: 0, ..own.contents.clone() };
            other.era = own.era;
        }
        Ok(fork)
    }

    /// Returns a copy of the contents.
    pub fn contents(&self) -> Contents {
        lock(&self.state).contents.clone()
    }

    /// Comes back from a copy: what was written since is gone, and a new era begins.
    pub fn restore(&self, copy: &Contents) {
        let mut state = lock(&self.state);
        state.contents = copy.clone();
        state.era += 1;
    }

    /// Sets whether responses name the era.
    pub fn set_names_era(&self, names_era: bool) {
        lock(&self.state).names_era = names_era;
    }

    /// Returns the version of the newest transaction.
    pub fn version(&self) -> u64 {
        lock(&self.state).contents.version
    }

    /// Writes a row.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        lock(&self.state).contents.write(table, key, Some(STANDARD.encode(value.to_string())));
    }

    /// Writes a row whose value is not valid JSON.
    pub fn put_invalid(&self, table: &str, key: &str) {
        lock(&self.state).contents.write(table, key, Some(STANDARD.encode([0xff, 0, 0x7b])));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        lock(&self.state).contents.write(table, key, None);
    }

    /// Sets the fault of all further calls.
    pub fn set_fault(&self, fault: Fault) {
        lock(&self.state).fault = fault;
    }

    /// Refuses the next feed call for a table with status 429.
    pub fn throttle_next(&self, table: &str) {
        lock(&self.state).throttled = Some(table.to_owned());
    }

    /// Returns whether a feed call is still to be refused.
    pub fn is_throttling(&self) -> bool {
        lock(&self.state).throttled.is_some()
    }

    /// Limits the rate at which responses are written, in bytes per second; `None` removes the limit.
    pub fn set_rate(&self, rate: Option<u64>) {
        lock(&self.state).rate = rate;
    }

    /// Discards the change history. Feeds that continue from an older version get status 410.
    pub fn discard_history(&self) {
        let contents = &mut lock(&self.state).contents;
        contents.version += 1;
        contents.oldest_version = contents.version;
    }

    /// Returns whether a row exists.
    pub fn has(&self, table: &str, key: &str) -> bool {
        let contents = &lock(&self.state).contents;
        contents.rows.get(&(table.into(), key.into())).is_some_and(|row| !row.is_removed)
    }

    /// Returns the number of calls received.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }

    /// Returns the number of feed calls received for a table.
    pub fn feed_calls(&self, table: &str) -> u64 {
        lock(&self.state).feed_calls.get(table).copied().unwrap_or(0)
    }
}

/// A way to a store. While it is cut, calls get no answer, then or later.
pub struct Link {
    server: Server,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    /// Returns the local address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Cuts the link, or heals it for new calls.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }
}

async fn serve(address: SocketAddr, state: Arc<Mutex<State>>, is_cut: Arc<AtomicBool>) -> io::Result<Server> {
    let handler = move |head, body: Bytes, connection| {
        let (state, is_cut) = (state.clone(), is_cut.clone());
        async move { handle(state, head, body.to_vec(), is_cut, connection).await }
    };
    Server::start(address, handler).await
}

async fn handle(
    state: Arc<Mutex<State>>,
    head: Request,
    body: Vec<u8>,
    is_cut: Arc<AtomicBool>,
    mut connection: Connection,
) -> (Connection, Action) {
    if is_cut.load(Ordering::Relaxed) {
        wait_for_close(&mut connection).await;
        return (connection, Action::Close);
    }
    lock(&state).calls += 1;
    let fault = lock(&state).fault;
    match fault {
        Fault::None | Fault::Stalled => {}
        Fault::Busy => return reply(&state, connection, 503, &json!({})).await,
        Fault::Reset => return (connection, Action::Reset),
        Fault::Silent => {
            wait_for_close(&mut connection).await;
            return (connection, Action::Close);
        }
    }
    let query: BTreeMap<String, String> =
        form_urlencoded::parse(head.query().as_bytes()).into_owned().collect();
    let text = |name: &str| query.get(name).map_or("", String::as_str);
    let table = text("table");
    if head.path() == "/v1/rows-feed" {
        if lock(&state).throttled.take_if(|throttled| throttled == table).is_some() {
            return reply(&state, connection, 429, &json!({})).await;
        }
        *lock(&state).feed_calls.entry(table.to_owned()).or_default() += 1;
    }
    let names = ["table", "part", "from", "target"];
    if names.into_iter().any(|name| text(name).len() > MAX_NAME_BYTES) {
        return reply(&state, connection, 400, &json!({})).await;
    }
    let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
    let (status, value) = match head.path() {
        "/v1/rows-get" => (200, get(&lock(&state).contents, table, text("from"))),
        "/v1/rows-feed" => {
            feed(&state, table, number("after"), Duration::from_millis(number("wait_ms"))).await
        }
        "/v1/rows-tx" => transact(&mut lock(&state).contents, &body),
        _ => (404, json!({})),
    };
    if lock(&state).fault == Fault::Reset {
        return (connection, Action::Reset);
    }
    // The answer to a call that was waiting is lost too.
    if is_cut.load(Ordering::Relaxed) {
        wait_for_close(&mut connection).await;
        return (connection, Action::Close);
    }
    reply(&state, connection, status, &value).await
}

fn get(contents: &Contents, table: &str, from: &str) -> Value {
    let rows = contents
        .rows
        .iter()
        .filter(|((row_table, key), row)| row_table == table && !row.is_removed && key.as_str() >= from);
    let (mut page, mut bytes, mut truncated) = (Vec::new(), 0, false);
    for ((table, key), row) in rows {
        bytes += key.len() + row.value.len();
        truncated = page.len() == PAGE_ROWS || (bytes > PAGE_BYTES && !page.is_empty());
        if truncated {
            break;
        }
        page.push(encode(table, key, row));
    }
    let mut response = contents.rows_response(page);
    response["truncated"] = truncated.into();
    response
}

async fn feed(state: &Mutex<State>, table: &str, after: u64, wait: Duration) -> (u16, Value) {
    let started_at = Instant::now();
    loop {
        {
            let State { contents, fault, .. } = &*lock(state);
            if after < contents.oldest_version || after > contents.version {
                return (410, json!({}));
            }
            let rows = contents.select(table, |_, row| row.version > after);
            let is_failing = !matches!(fault, Fault::None | Fault::Stalled);
            if !rows.is_empty() || started_at.elapsed() >= wait || is_failing {
                return (200, contents.rows_response(rows));
            }
        }
        task::sleep(FEED_POLL_INTERVAL).await;
    }
}

#[derive(Deserialize)]
struct Transaction {
    #[serde(default)]
    puts: Vec<Put>,
    #[serde(default)]
    remove: Vec<RowKey>,
    #[serde(default)]
    expected_revision: Vec<Expected>,
}

#[derive(Deserialize)]
struct RowKey {
    table: String,
    key: String,
}

#[derive(Deserialize)]
struct Expected {
    table: String,
    key: String,
    row_version: u64,
}

#[derive(Deserialize)]
struct Put {
    table: String,
    key: String,
    value: String,
}

fn transact(contents: &mut Contents, body: &[u8]) -> (u16, Value) {
    let Ok(transaction) = serde_json::from_slice::<Transaction>(body) else { return (400, json!({})) };
    let is_met = |expected: &Expected| {
        let row =
            contents.rows.get(&(expected.table.clone(), expected.key.clone())).filter(|row| !row.is_removed);
        row.map_or(0, |row| row.version) == expected.row_version
    };
    if !transaction.expected_revision.iter().all(is_met) {
        return (412, json!({"rows": []}));
    }
    for put in transaction.puts {
        contents.write(&put.table, &put.key, Some(put.value));
    }
    for row in transaction.remove {
        contents.write(&row.table, &row.key, None);
    }
    (200, json!({"row_version": contents.version, "now_ms": now_ms()}))
}

async fn reply(
    state: &Mutex<State>,
    mut connection: Connection,
    status: u16,
    value: &Value,
) -> (Connection, Action) {
    let body = value.to_string();
    let mut head = Response::new(status);
    head.fields.push("Content-Type", "application/json");
    head.fields.push("Content-Length", body.len().to_string());
    let State { rate, fault, era, names_era, .. } = *lock(state);
    if names_era {
        head.fields.push("Store-Era", era.to_string());
    }
    let mut bytes = head.encode();
    bytes.extend_from_slice(body.as_bytes());
    if fault == Fault::Stalled {
        // Fails only if the peer has closed the connection.
        let _ = connection.write(&bytes[..bytes.len() / 2]).await;
        wait_for_close(&mut connection).await;
        return (connection, Action::Close);
    }
    let written = match rate {
        None => connection.write(&bytes).await,
        Some(rate) => write_at_rate(&mut connection, &bytes, rate).await,
    };
    (connection, if written.is_ok() { Action::Keep } else { Action::Close })
}

/// Waits until the peer closes the connection.
async fn wait_for_close(connection: &mut Connection) {
    while matches!(connection.fill().await, Ok(read) if read > 0) {}
}

async fn write_at_rate(connection: &mut Connection, bytes: &[u8], rate: u64) -> io::Result<()> {
    let size = usize::try_from(rate / CHUNKS_PER_S).unwrap_or(usize::MAX).max(1);
    for chunk in bytes.chunks(size) {
        connection.write(chunk).await?;
        task::sleep(Duration::from_secs(1) / CHUNKS_PER_S as u32).await;
    }
    Ok(())
}
