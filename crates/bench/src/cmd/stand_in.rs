//! `stand-in`: one simulated server as a process of its own, which can be paused and killed by signals.
//!
//! The server prints JSON lines: its address when it listens, then each request that it got. An endpoint reads
//! [`Order`]s as JSON lines from its standard input.

use std::{
    collections::VecDeque,
    io::{self, BufRead as _, Write as _},
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use async_std::task;
use bpaf::Bpaf;
use serde::{Deserialize, Serialize};
use strum::EnumString;

use crate::{
    platform::{
        endpoint::{Endpoint, Fault, KvHandles, ReceivedRequest, Role},
        store::{self, Contents, Store},
    },
    sim::lock,
};

/// Memory of an engine, in tokens.
const KV_CACHE_TOKENS: u64 = 1_000_000;
/// Interval at which the store copies its contents, and how long it keeps the copies.
const COPY_INTERVAL: Duration = Duration::from_millis(250);
const MAX_COPY_AGE: Duration = Duration::from_secs(15);
/// Interval at which received requests are printed.
const PRINT_INTERVAL: Duration = Duration::from_millis(20);

/// Kind of a simulated server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Server {
    /// The platform's store.
    Store,
    /// An engine for prefill.
    Prefill,
    /// An engine for decode.
    Decode,
    /// A plain service.
    Plain,
}

/// Options of `stand-in`.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// Id of an endpoint
    #[bpaf(long, argument("ID"), fallback("endpoint".into()))]
    id: String,
    /// Software version that the events of an engine name
    #[bpaf(long, argument("VERSION"), fallback(String::new()))]
    software_version: String,
    /// Start of the process that an endpoint reports [default: the number at the end of its id]
    #[bpaf(long, argument("N"))]
    born: Option<u64>,
    /// Answer without a length and without chunks
    unframed: bool,
    /// Part of prompts under which an engine crashes; may be repeated
    #[bpaf(long, argument("ID"))]
    crashing_part: Vec<String>,
    /// Refuse orders to change the stage
    fixed_stage: bool,
    /// Listen address
    #[bpaf(long, argument("IP:PORT"))]
    listen: SocketAddr,
    /// Kind of the server: store, prefill, decode or plain
    #[bpaf(positional("KIND"))]
    server: Server,
}

/// Change of an endpoint's behaviour.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Further requests take this long.
    ServiceTime {
        /// Milliseconds.
        ms: u64,
    },
    /// The next `count` requests are rejected as not executed.
    Reject {
        /// Number of requests.
        count: u32,
    },
    /// The next `count` requests get status 500.
    Fail {
        /// Number of requests.
        count: u32,
    },
    /// The connections of the next `count` requests are reset after the request has run.
    Reset {
        /// Number of requests.
        count: u32,
    },
    /// The next `count` requests run and get no response.
    Hang {
        /// Number of requests.
        count: u32,
    },
    /// The next `count` responses end inside an event, without a stated end.
    Cut {
        /// Number of requests.
        count: u32,
    },
    /// The next `count` responses end inside an event as if they were complete.
    End {
        /// Number of requests.
        count: u32,
    },
}

/// Change of the store's behaviour.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreOrder {
    /// Connections are reset.
    Away,
    /// The store comes back from a copy.
    Return {
        /// Age of the copy, milliseconds.
        age_ms: u64,
    },
}

/// A request that an endpoint got.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Arrival {
    /// Id of the request.
    pub request: String,
    /// Whether it asked for a prefill only.
    pub is_prefill: bool,
    /// Whether the endpoint executed it.
    pub was_executed: bool,
    /// When the endpoint read it, in microseconds since the Unix epoch.
    pub at_us: u64,
}

impl Arrival {
    fn new(received: &ReceivedRequest) -> Self {
        let fields = &received.head.fields;
        let at = SystemTime::now() - received.received_at.elapsed();
        Self {
            request: fields.get("Tarragonhill-Request-Id").unwrap_or_default().into(),
            is_prefill: fields.get("Tarragonhill-Serving-Stage").is_some(),
            was_executed: received.was_executed,
            at_us: unix_micros(at),
        }
    }

    /// Returns when the endpoint read the request, on the clock of this process.
    pub fn at(&self) -> Instant {
        let age = unix_micros(SystemTime::now()).saturating_sub(self.at_us);
        Instant::now() - Duration::from_micros(age)
    }
}

fn unix_micros(at: SystemTime) -> u64 {
    let since = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// Runs the server until its standard input ends.
pub async fn execute(options: Options) -> io::Result<bool> {
    let role = match options.server {
        Server::Store => return run_store(options.listen).await,
        Server::Prefill => Role::Prefill,
        Server::Decode => Role::Decode,
        Server::Plain => Role::Plain,
    };
    let handles = KvHandles::Unknown;
    let endpoint = Endpoint::start(&options.id, role, options.listen, KV_CACHE_TOKENS, handles).await?;
    let endpoint = Arc::new(endpoint);
    endpoint.set_version(&options.software_version);
    endpoint.set_relative_faults();
    endpoint.set_unframed(options.unframed);
    if options.unframed {
        endpoint.set_eager();
    }
    if options.fixed_stage {
        endpoint.fix_role();
    }
    let crashing_parts: Vec<&str> = options.crashing_part.iter().map(String::as_str).collect();
    endpoint.set_crashing_parts(&crashing_parts);
    if let Some(born) = options.born {
        endpoint.set_born(born);
    }
    println!("{}", endpoint.address());
    let target = endpoint.clone();
    let orders = thread::spawn(move || follow_orders(&target));
    let mut printed = 0;
    let mut has_crashed = false;
    while !orders.is_finished() && !has_crashed {
        task::sleep(PRINT_INTERVAL).await;
        has_crashed = endpoint.crashed_at().is_some();
        let received = endpoint.received();
        let mut output = io::stdout().lock();
        for request in &received[printed..] {
            writeln!(output, "{}", serde_json::to_string(&Arrival::new(request))?)?;
        }
        output.flush()?;
        printed = received.len();
    }
    Ok(true)
}

async fn run_store(listen: SocketAddr) -> io::Result<bool> {
    let store = Arc::new(Store::start(listen).await?);
    println!("{}", store.address());
    let copies: Arc<Mutex<VecDeque<(Instant, Contents)>>> = Arc::default();
    let (source, kept) = (store.clone(), copies.clone());
    task::spawn(async move {
        loop {
            {
                let mut kept = lock(&kept);
                kept.push_back((Instant::now(), source.contents()));
                kept.retain(|(at, _)| at.elapsed() < MAX_COPY_AGE);
            }
            task::sleep(COPY_INTERVAL).await;
        }
    });
    task::spawn_blocking(move || {
        for line in io::stdin().lines().map_while(Result::ok) {
            match serde_json::from_str(&line) {
                Ok(StoreOrder::Away) => store.set_fault(store::Fault::Reset),
                Ok(StoreOrder::Return { age_ms }) => return_from_copy(&store, &mut lock(&copies), age_ms),
                Err(error) => eprintln!("invalid order {line:?}: {error}"),
            }
        }
    })
    .await;
    Ok(true)
}

/// Makes the store come back from the newest copy that is at least as old as given, or from the oldest one.
fn return_from_copy(store: &Store, copies: &mut VecDeque<(Instant, Contents)>, age_ms: u64) {
    let is_old_enough = |at: &Instant| at.elapsed() >= Duration::from_millis(age_ms);
    let newer = copies.iter().rev().take_while(|(at, _)| !is_old_enough(at)).count();
    let index = copies.len().saturating_sub(newer + 1);
    if let Some((_, copy)) = copies.get(index) {
        store.restore(copy);
        // What was copied since is of a history that is gone.
        copies.truncate(index + 1);
    }
    store.set_fault(store::Fault::None);
}

/// Carries out orders until the standard input ends.
fn follow_orders(endpoint: &Endpoint) {
    for line in io::stdin().lock().lines().map_while(Result::ok) {
        match serde_json::from_str(&line) {
            Ok(Order::ServiceTime { ms }) => endpoint.set_service_time(Duration::from_millis(ms)),
            Ok(Order::Reject { count }) => endpoint.fail_next(Fault::Refuse, count),
            Ok(Order::Fail { count }) => endpoint.fail_next(Fault::Error, count),
            Ok(Order::Reset { count }) => endpoint.fail_next(Fault::ResetAfterRun, count),
            Ok(Order::Hang { count }) => endpoint.fail_next(Fault::Hang, count),
            Ok(Order::Cut { count }) => endpoint.fail_next(Fault::CutInEvent, count),
            Ok(Order::End { count }) => endpoint.fail_next(Fault::EndInEvent, count),
            Err(error) => eprintln!("invalid order {line:?}: {error}"),
        }
    }
}
