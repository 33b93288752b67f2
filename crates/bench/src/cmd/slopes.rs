//! `slopes`: measures how the cost of each role grows with the fleet size.
//!
//! The cost of the core logic is measured without I/O and with a simulated clock, the cost of
//! communication on running daemons without load. Each output line is a data point; the last line of
//! each series holds the fitted slope and intercept.

use std::{
    collections::BTreeSet,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use async_std::task;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tarragonhill_core::{
    Attempt, Request, Time,
    agent::{Input, State},
    home::{self, Home, InitialBuckets},
    message::{Load, Order, Work},
    placement::{Need, Policy, Search, View},
    quota::{Limiter, LoanRequest, Waiter},
    settings::{Customer as CustomerSettings, Endpoint, Key, Role, Row, Snapshot, WithdrawalPolicy, digest},
};

use crate::{
    caller::{Caller, Completion},
    fleet::{Customer, Fleet, FleetError, MODEL, Shape, key_of},
    usage::{cpu_time, loopback_traffic, resident_bytes},
};

/// Numbers of customers.
const CUSTOMERS: [usize; 3] = [1_000, 7_000, 21_000];
/// Numbers of endpoints.
const ENDPOINTS: [usize; 3] = [60, 200, 610];
/// Numbers of agents linked to one entry.
const AGENTS: [usize; 3] = [10, 40, 120];
/// Numbers of entries.
const ENTRIES: [usize; 4] = [2, 4, 8, 16];
/// Numbers of concurrent streams.
const STREAMS: [usize; 3] = [50, 150, 450];
/// Duration of a measurement on running daemons.
const MEASURING_TIME: Duration = Duration::from_secs(6);
/// Delay before a measurement on running daemons.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Settings changes per day in a fleet of the largest supported size.
const CHANGES_PER_DAY: f64 = 2_200.0;
const SECS_PER_DAY: f64 = 86_400.0;

/// Data point: the cost at size `n`.
#[derive(Clone, Copy, Debug, Default)]
struct Point {
    n: usize,
    cpu_us_per_s: f64,
    bytes: f64,
    msgs_per_s: f64,
    net_bytes_per_s: f64,
}

/// Data points of one role in one state, with `x` as the name of the size.
struct Series {
    role: &'static str,
    state: &'static str,
    x: &'static str,
    points: Vec<Point>,
}

impl Series {
    fn new(role: &'static str, state: &'static str, x: &'static str) -> Self {
        Self { role, state, x, points: Vec::new() }
    }

    fn add(&mut self, point: Point) {
        let Point { n, cpu_us_per_s, bytes, msgs_per_s, net_bytes_per_s } = point;
        println!(
            "{}",
            json!({
                "role": self.role, "state": self.state, "x": self.x, "n": n,
                "cpu_us_per_s": round(cpu_us_per_s), "bytes": bytes.round(),
                "msgs_per_s": round(msgs_per_s), "net_bytes_per_s": net_bytes_per_s.round(),
            })
        );
        self.points.push(point);
    }

    fn fit(&self) {
        let line = |value: fn(&Point) -> f64| {
            let (slope, intercept) = fit(&self.points, value);
            json!({ "each": round(slope), "fixed": round(intercept) })
        };
        println!(
            "{}",
            json!({
                "role": self.role, "state": self.state, "x": self.x, "fit": {
                    "cpu_us_per_s": line(|p| p.cpu_us_per_s), "bytes": line(|p| p.bytes),
                    "msgs_per_s": line(|p| p.msgs_per_s), "net_bytes_per_s": line(|p| p.net_bytes_per_s),
                }
            })
        );
    }
}

fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

/// Returns slope and intercept of the least-squares line.
fn fit(points: &[Point], value: impl Fn(&Point) -> f64) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.n as f64).sum::<f64>() / count;
    let mean_y = points.iter().map(&value).sum::<f64>() / count;
    let covariance: f64 =
        points.iter().map(|point| (point.n as f64 - mean_x) * (value(point) - mean_y)).sum();
    let variance: f64 = points.iter().map(|point| (point.n as f64 - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (slope, mean_y - slope * mean_x)
}

/// Runs all measurements and prints their results.
pub async fn execute() -> Result<bool, FleetError> {
    measure_settings();
    measure_homes();
    measure_limiters();
    measure_placement();
    measure_agent_queue();
    measure_links().await?;
    measure_entries().await?;
    measure_streams().await?;
    Ok(true)
}

fn numbered(kind: &str, number: usize) -> Arc<str> {
    format!("{kind}-{number}").into()
}

fn customer_limits() -> CustomerSettings {
    CustomerSettings { rate: 10_000, burst: 20_000, weight: 1 }
}

/// Returns settings with `customers` customers, one key for each, and 610 endpoints.
fn snapshot(customers: usize) -> Snapshot {
    let mut rows = Vec::new();
    for number in 0..customers {
        let customer = numbered("customer", number);
        rows.push(Row::Customer(customer.clone(), Some(customer_limits())));
        let key = Key {
            id: numbered("key", number),
            customer: customer.clone(),
            withdrawn: false,
            running: WithdrawalPolicy::Cut,
        };
        rows.push(Row::Key(digest(&customer).into(), Some(key)));
    }
    rows.extend((0..610).map(|number| Row::Endpoint(numbered("endpoint", number), Some(endpoint(number)))));
    Snapshot::default().apply(1, &rows).unwrap_or_default()
}

fn endpoint(number: usize) -> Endpoint {
    Endpoint {
        role: if number.is_multiple_of(2) { Role::Prefill } else { Role::Decode },
        serves: numbered("model", number % 39),
        host: numbered("host", number),
        zone: numbered("zone", number % 6),
        address: "10.0.0.1:9000".into(),
        agent: format!("10.0.{}.{}:9100", number / 250, number % 250).into(),
        pieces: 400,
        context: 100_000,
        checks_fencing: true,
        leaving: false,
        generation: 1,
    }
}

/// Measures the settings of a daemon: memory, and processor time for the changes of a day.
fn measure_settings() {
    let mut series = Series::new("entry and agent", "settings, 2,200 changes a day", "customers");
    for n in CUSTOMERS {
        let before = resident_bytes();
        let snapshot = snapshot(n);
        let bytes = resident_bytes().saturating_sub(before) as f64;
        let row = [Row::Customer(numbered("customer", 5), Some(customer_limits()))];
        let (rounds, began) = (20, Instant::now());
        for version in 0..rounds {
            std::hint::black_box(snapshot.apply(2 + version, &row));
        }
        let each_us = began.elapsed().as_secs_f64() * 1e6 / rounds as f64;
        series.add(Point {
            n,
            cpu_us_per_s: each_us * CHANGES_PER_DAY / SECS_PER_DAY,
            bytes,
            ..Point::default()
        });
        println!(
            "{}",
            json!({ "note": "one change of settings", "customers": n, "cpu_us": each_us.round() })
        );
    }
    series.fit();
}

/// Returns a home that owns all shards, as in a fleet with one entry.
fn single_home() -> Home {
    let owner: Arc<str> = "entry-0".into();
    let mut home = Home::new(owner.clone(), 1, "127.0.0.1:1".into(), "zone-0".into());
    for shard in 0..home::SHARDS {
        let row = home::Shard {
            owner: owner.clone(),
            incarnation: 1,
            epoch: 1,
            successor: "".into(),
            share: 1.0,
            parted: Default::default(),
            start: InitialBuckets::Full,
        };
        home.observe_shard(Time::ZERO, shard, 1, row);
    }
    home
}

/// Measures a home that lends to all customers, each of which borrows twice per second.
fn measure_homes() {
    let mut series = Series::new("home", "loans, two a second for each customer", "active customers");
    for n in CUSTOMERS {
        let settings = snapshot(n);
        let before = resident_bytes();
        let mut home = single_home();
        let borrower: Arc<str> = "entry-1#1".into();
        let names: Vec<Arc<str>> = (0..n).map(|number| numbered("customer", number)).collect();
        let began = Instant::now();
        for round in 1..=2 {
            let now = Time::ZERO.plus(Duration::from_millis(500 * round));
            for customer in &names {
                let loan = LoanRequest { tokens: 1_000, minimum: 0, unspent: 0, refund: 0, serial: round };
                let _ = std::hint::black_box(home.lend(now, &settings, customer, &borrower, loan));
            }
        }
        let cpu_us_per_s = began.elapsed().as_secs_f64() * 1e6;
        let bytes = resident_bytes().saturating_sub(before) as f64;
        series.add(Point { n, cpu_us_per_s, bytes, msgs_per_s: 2.0 * n as f64, ..Point::default() });
    }
    series.fit();
}

/// Measures the rate limiters of an entry, with one request per second for each active customer.
fn measure_limiters() {
    let mut series =
        Series::new("entry", "purses, one request a second for each customer", "active customers");
    for n in CUSTOMERS {
        let before = resident_bytes();
        let mut limiters: Vec<Limiter> = (0..n).map(|_| Limiter::new(Time::ZERO)).collect();
        let began = Instant::now();
        let now = Time::ZERO.plus(Duration::from_secs(1));
        let mut loan_requests = 0_usize;
        for (number, limiter) in limiters.iter_mut().enumerate() {
            let deadline = now.plus(Duration::from_millis(300));
            limiter.admit(now, Waiter { request: Request(number as u128), cost: 500, deadline });
            if let Some(loan) = limiter.request_tokens(now) {
                loan_requests += 1;
                let grant = tarragonhill_core::quota::Grant {
                    tokens: loan.tokens,
                    term: Duration::from_secs(4),
                    ..Default::default()
                };
                std::hint::black_box(limiter.receive_grant(now, loan.serial, grant));
            }
            std::hint::black_box(limiter.next_wakeup());
        }
        let cpu_us_per_s = began.elapsed().as_secs_f64() * 1e6;
        let bytes = resident_bytes().saturating_sub(before) as f64;
        series.add(Point { n, cpu_us_per_s, bytes, msgs_per_s: loan_requests as f64, ..Point::default() });
    }
    series.fit();
}

/// Measures the placement at an entry, with 250 requests per second and two placements per request. All
/// endpoints serve the same model.
fn measure_placement() {
    const PLACEMENTS: usize = 500;
    let mut series = Series::new("entry", "placement, 250 requests a second", "endpoints of one model");
    for n in ENDPOINTS {
        let before = resident_bytes();
        let endpoints: Vec<(Arc<str>, Arc<Endpoint>)> =
            (0..n).map(|number| (numbered("endpoint", number), Arc::new(endpoint(number)))).collect();
        let mut view = View::default();
        for (name, _) in &endpoints {
            view.record_load(Time::ZERO, endpoint_load(name));
        }
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let began = Instant::now();
        for number in 0..PLACEMENTS {
            let attempt = Attempt { request: Request(number as u128), number: 1 };
            let (now, tried) = (Time::ZERO.plus(Duration::from_millis(20)), BTreeSet::new());
            let search = Search {
                policy: Policy::Current,
                zone: "zone-0",
                candidates: &endpoints,
                need: Need::Decode(3),
                attempt,
                tried: &tried,
            };
            let placed = view.place(now, &mut rng, &search);
            if let Some(endpoint) = placed {
                view.remove_sent(&endpoint, attempt);
            }
        }
        let cpu_us_per_s = began.elapsed().as_secs_f64() * 1e6;
        let bytes = resident_bytes().saturating_sub(before) as f64;
        series.add(Point { n, cpu_us_per_s, bytes, msgs_per_s: PLACEMENTS as f64, ..Point::default() });
    }
    series.fit();
}

fn endpoint_load(endpoint: &Arc<str>) -> Load {
    Load {
        endpoint: endpoint.clone(),
        free_pieces: 100,
        capacity_pieces: 400,
        queued_tokens: 10_000,
        running: 20,
        leaving: false,
    }
}

/// Measures the queue of an agent: each order for its prefill engine comes from another customer.
fn measure_agent_queue() {
    const QUEUED: [usize; 3] = [10, 40, 160];
    let mut series = Series::new("agent", "prefill queue, 25 orders a second", "queued orders");
    for n in QUEUED {
        let mut state = State::new(["endpoint-0".into()].into());
        state.step(Time::ZERO, Input::Settings(Arc::new(snapshot(10))));
        let mut order = |number: usize| {
            let work = Work {
                attempt: Attempt { request: Request(number as u128), number: 1 },
                endpoint: "endpoint-0".into(),
                customer: numbered("customer", number),
                key: numbered("key", number),
                prompt_tokens: 4_000,
                max_tokens: 200,
                slack: Duration::from_secs(3_600),
                timeout: Duration::from_secs(3_600),
                suspect: false,
            };
            let order = Order::Prefill { work, prompt: "".into(), delay: Duration::ZERO };
            state.step(Time::ZERO, Input::Order(1, order)).len()
        };
        (0..n).for_each(|number| {
            order(number);
        });
        let began = Instant::now();
        (0..25).for_each(|number| {
            std::hint::black_box(order(n + number));
        });
        series.add(Point { n, cpu_us_per_s: began.elapsed().as_secs_f64() * 1e6, ..Point::default() });
    }
    series.fit();
}

/// Measures a running fleet without load. Returns the costs and the table's reads and writes per
/// second.
async fn measure_idle_fleet(shape: Shape) -> Result<(Point, f64, f64), FleetError> {
    let before = resident_bytes();
    let fleet = Fleet::start(shape).await?;
    task::sleep(SETTLE_TIME).await;
    let (cpu, (bytes, packets)) = (cpu_time(), loopback_traffic());
    let (reads, writes) = fleet.table.request_counts();
    task::sleep(MEASURING_TIME).await;
    let seconds = MEASURING_TIME.as_secs_f64();
    let (end_bytes, end_packets) = loopback_traffic();
    let (end_reads, end_writes) = fleet.table.request_counts();
    let point = Point {
        n: 0,
        cpu_us_per_s: cpu_time().saturating_sub(cpu).as_secs_f64() * 1e6 / seconds,
        bytes: resident_bytes().saturating_sub(before) as f64,
        msgs_per_s: (end_packets - packets) as f64 / seconds,
        net_bytes_per_s: (end_bytes - bytes) as f64 / seconds,
    };
    fleet.stop().await;
    let rate = |end: u64, start: u64| (end - start) as f64 / seconds;
    Ok((point, rate(end_reads, reads), rate(end_writes, writes)))
}

fn idle_shape(entries: usize, agents: usize) -> Shape {
    Shape { entries, prefill: 0, decode: 0, plain: agents, ..Shape::small() }
}

/// Measures idle links of one entry to its agents. The whole process is counted, so the cost of a link
/// includes both ends, the simulated table and packet headers.
async fn measure_links() -> Result<(), FleetError> {
    let mut series = Series::new("entry with agents", "links at rest, both ends", "agents");
    for n in AGENTS {
        let (point, reads, writes) = measure_idle_fleet(idle_shape(1, n)).await?;
        series.add(Point { n, ..point });
        println!(
            "{}",
            json!({ "note": "table", "agents": n, "reads_per_s": round(reads), "writes_per_s": round(writes) })
        );
    }
    series.fit();
    Ok(())
}

/// Measures streams through one entry. The whole process is counted: callers, simulated servers, the
/// entry and both ends of the link.
async fn measure_streams() -> Result<(), FleetError> {
    let mut series = Series::new("entry, agent, caller and stand-ins", "streams", "streamed answers");
    for n in STREAMS {
        let mut shape = idle_shape(1, 0);
        (shape.prefill, shape.decode) = (1, 1);
        shape.customers = vec![Customer::new("reader", 10_000_000, 10_000_000)];
        (shape.decode_profile.pieces, shape.decode_profile.step_per_request) = (1_000, Duration::ZERO);
        let fleet = Fleet::start(shape).await?;
        let streams: Vec<_> =
            (0..n).map(|number| task::spawn(read_stream(fleet.entry(0).address(), number))).collect();
        task::sleep(SETTLE_TIME).await;
        let generated_tokens = || fleet.decode[0].counts.tokens.load(Ordering::Relaxed);
        let (cpu, (bytes, packets), start_tokens) = (cpu_time(), loopback_traffic(), generated_tokens());
        task::sleep(MEASURING_TIME).await;
        let seconds = MEASURING_TIME.as_secs_f64();
        let (end_bytes, end_packets) = loopback_traffic();
        let cpu_used_us = cpu_time().saturating_sub(cpu).as_secs_f64() * 1e6;
        let token_count = generated_tokens() - start_tokens;
        series.add(Point {
            n,
            cpu_us_per_s: cpu_used_us / seconds,
            bytes: 0.0,
            msgs_per_s: (end_packets - packets) as f64 / seconds,
            net_bytes_per_s: (end_bytes - bytes) as f64 / seconds,
        });
        let each = round(cpu_used_us / token_count.max(1) as f64);
        let per_s = round(token_count as f64 / seconds);
        println!("{}", json!({ "note": "tokens", "streams": n, "tokens_per_s": per_s, "cpu_us_each": each }));
        for stream in streams {
            stream.cancel().await;
        }
        fleet.stop().await;
    }
    series.fit();
    Ok(())
}

async fn read_stream(entry: std::net::SocketAddr, number: usize) {
    let prompt = format!("stream {number}");
    let completion = Completion { model: MODEL.to_owned(), prompt, max_tokens: 1_000, stream: true };
    Caller::new(entry, key_of("reader")).complete(&completion).await;
}

/// Measures idle entries, linked to 4 agents.
async fn measure_entries() -> Result<(), FleetError> {
    let mut series = Series::new("entries", "leases, homes and heartbeats at rest, all entries", "entries");
    for n in ENTRIES {
        let (point, reads, writes) = measure_idle_fleet(idle_shape(n, 4)).await?;
        series.add(Point { n, ..point });
        println!(
            "{}",
            json!({ "note": "table", "entries": n, "reads_per_s": round(reads), "writes_per_s": round(writes) })
        );
    }
    series.fit();
    Ok(())
}
