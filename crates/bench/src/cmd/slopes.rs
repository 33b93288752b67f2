//! `slopes`: how the cost of each role grows with the size of the fleet.
//!
//! State that only decisions hold is measured on the decisions alone, with time moved by hand; what
//! processes say to one another is measured on running daemons at rest. Each line of output is one
//! point; the last line of a series is the line fitted through its points.

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
    settings::{Customer, Endpoint, Key, Role, Row, Snapshot, WithdrawalPolicy, digest},
};

use crate::{
    caller::{Caller, Completion},
    fleet::{Fleet, FleetError, MODEL, Shape, Tenant, key_of},
    usage::{cpu_time, loopback, resident},
};

/// Numbers of customers measured.
const CUSTOMERS: [usize; 3] = [1_000, 7_000, 21_000];
/// Numbers of endpoints measured.
const ENDPOINTS: [usize; 3] = [60, 200, 610];
/// Numbers of agents before one entry.
const AGENTS: [usize; 3] = [10, 40, 120];
/// Numbers of entries.
const ENTRIES: [usize; 4] = [2, 4, 8, 16];
/// Numbers of answers streamed at once.
const STREAMS: [usize; 3] = [50, 150, 450];
/// How long running daemons are watched.
const WATCH: Duration = Duration::from_secs(6);
/// Time for daemons to come to rest.
const SETTLE: Duration = Duration::from_secs(3);
/// Changes of settings a day at the size designed for.
const CHANGES_A_DAY: f64 = 2_200.0;
/// Seconds in a day.
const DAY: f64 = 86_400.0;

/// One measured point.
#[derive(Clone, Copy, Debug, Default)]
struct Point {
    n: usize,
    cpu_us_per_s: f64,
    bytes: f64,
    msgs_per_s: f64,
    net_bytes_per_s: f64,
}

/// A series of points.
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
            let (slope, at_zero) = fit(&self.points, value);
            json!({ "each": round(slope), "fixed": round(at_zero) })
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

/// Least squares: slope and value at zero.
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

/// Runs all measurements.
pub async fn execute() -> Result<bool, FleetError> {
    settings();
    homes();
    limiters();
    placement();
    agent_queue();
    links().await?;
    entries().await?;
    tokens().await?;
    Ok(true)
}

fn name(kind: &str, number: usize) -> Arc<str> {
    format!("{kind}-{number}").into()
}

fn terms() -> Customer {
    Customer { rate: 10_000, burst: 20_000, weight: 1 }
}

/// Settings of `customers` customers with a key each, and 610 endpoints.
fn snapshot(customers: usize) -> Snapshot {
    let mut rows = Vec::new();
    for number in 0..customers {
        let customer = name("customer", number);
        rows.push(Row::Customer(customer.clone(), Some(terms())));
        let key = Key {
            id: name("key", number),
            customer: customer.clone(),
            withdrawn: false,
            running: WithdrawalPolicy::Cut,
        };
        rows.push(Row::Key(digest(&customer).into(), Some(key)));
    }
    rows.extend((0..610).map(|number| Row::Endpoint(name("endpoint", number), Some(endpoint(number)))));
    Snapshot::default().apply(1, &rows).unwrap_or_default()
}

fn endpoint(number: usize) -> Endpoint {
    Endpoint {
        role: if number.is_multiple_of(2) { Role::Prefill } else { Role::Decode },
        serves: name("model", number % 39),
        host: name("host", number),
        zone: name("zone", number % 6),
        address: "10.0.0.1:9000".into(),
        agent: format!("10.0.{}.{}:9100", number / 250, number % 250).into(),
        pieces: 400,
        context: 100_000,
        checks_fencing: true,
        leaving: false,
        generation: 1,
    }
}

/// Settings in each daemon: memory, and processor time of 2,200 changes a day.
fn settings() {
    let mut series = Series::new("entry and agent", "settings, 2,200 changes a day", "customers");
    for n in CUSTOMERS {
        let before = resident();
        let snapshot = snapshot(n);
        let bytes = resident().saturating_sub(before) as f64;
        let row = [Row::Customer(name("customer", 5), Some(terms()))];
        let (rounds, began) = (20, Instant::now());
        for version in 0..rounds {
            std::hint::black_box(snapshot.apply(2 + version, &row));
        }
        let each_us = began.elapsed().as_secs_f64() * 1e6 / rounds as f64;
        series.add(Point { n, cpu_us_per_s: each_us * CHANGES_A_DAY / DAY, bytes, ..Point::default() });
        println!(
            "{}",
            json!({ "note": "one change of settings", "customers": n, "cpu_us": each_us.round() })
        );
    }
    series.fit();
}

/// A home for all shards, as if this entry were the only one.
fn lone_home() -> Home {
    let me: Arc<str> = "entry-0".into();
    let mut home = Home::new(me.clone(), 1, "127.0.0.1:1".into(), "zone-0".into());
    for shard in 0..home::SHARDS {
        let row = home::Shard {
            owner: me.clone(),
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

/// The home of all customers, each of which borrows twice a second.
fn homes() {
    let mut series = Series::new("home", "loans, two a second for each customer", "active customers");
    for n in CUSTOMERS {
        let settings = snapshot(n);
        let before = resident();
        let mut home = lone_home();
        let borrower: Arc<str> = "entry-1#1".into();
        let names: Vec<Arc<str>> = (0..n).map(|number| name("customer", number)).collect();
        let began = Instant::now();
        for round in 1..=2 {
            let now = Time::ZERO.plus(Duration::from_millis(500 * round));
            for customer in &names {
                let loan = LoanRequest { tokens: 1_000, minimum: 0, unspent: 0, refund: 0, serial: round };
                let _ = std::hint::black_box(home.lend(now, &settings, customer, &borrower, loan));
            }
        }
        let cpu_us_per_s = began.elapsed().as_secs_f64() * 1e6;
        let bytes = resident().saturating_sub(before) as f64;
        series.add(Point { n, cpu_us_per_s, bytes, msgs_per_s: 2.0 * n as f64, ..Point::default() });
    }
    series.fit();
}

/// An entry's limiters, one request a second for each active customer.
fn limiters() {
    let mut series =
        Series::new("entry", "purses, one request a second for each customer", "active customers");
    for n in CUSTOMERS {
        let before = resident();
        let mut limiters: Vec<Limiter> = (0..n).map(|_| Limiter::new(Time::ZERO)).collect();
        let began = Instant::now();
        let now = Time::ZERO.plus(Duration::from_secs(1));
        let mut asked = 0_usize;
        for (number, limiter) in limiters.iter_mut().enumerate() {
            let deadline = now.plus(Duration::from_millis(300));
            limiter.admit(now, Waiter { request: Request(number as u128), cost: 500, deadline });
            if let Some(loan) = limiter.request_tokens(now) {
                asked += 1;
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
        let bytes = resident().saturating_sub(before) as f64;
        series.add(Point { n, cpu_us_per_s, bytes, msgs_per_s: asked as f64, ..Point::default() });
    }
    series.fit();
}

/// An entry's choice of an endpoint, 250 requests a second with two choices each, all endpoints
/// serving one model.
fn placement() {
    const CHOICES: usize = 500;
    let mut series = Series::new("entry", "placement, 250 requests a second", "endpoints of one model");
    for n in ENDPOINTS {
        let before = resident();
        let endpoints: Vec<(Arc<str>, Arc<Endpoint>)> =
            (0..n).map(|number| (name("endpoint", number), Arc::new(endpoint(number)))).collect();
        let mut view = View::default();
        for (name, _) in &endpoints {
            view.record_load(Time::ZERO, load(name));
        }
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let began = Instant::now();
        for number in 0..CHOICES {
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
            let chosen = view.place(now, &mut rng, &search);
            if let Some(chosen) = chosen {
                view.remove_sent(&chosen, attempt);
            }
        }
        let cpu_us_per_s = began.elapsed().as_secs_f64() * 1e6;
        let bytes = resident().saturating_sub(before) as f64;
        series.add(Point { n, cpu_us_per_s, bytes, msgs_per_s: CHOICES as f64, ..Point::default() });
    }
    series.fit();
}

fn load(endpoint: &Arc<str>) -> Load {
    Load {
        endpoint: endpoint.clone(),
        free_pieces: 100,
        capacity_pieces: 400,
        queued_tokens: 10_000,
        running: 20,
        leaving: false,
    }
}

/// An agent's queue: orders for one prefill engine of as many customers.
fn agent_queue() {
    const QUEUED: [usize; 3] = [10, 40, 160];
    let mut series = Series::new("agent", "prefill queue, 25 orders a second", "queued orders");
    for n in QUEUED {
        let mut state = State::new(["endpoint-0".into()].into());
        state.step(Time::ZERO, Input::Settings(Arc::new(snapshot(10))));
        let mut order = |number: usize| {
            let work = Work {
                attempt: Attempt { request: Request(number as u128), number: 1 },
                endpoint: "endpoint-0".into(),
                customer: name("customer", number),
                key: name("key", number),
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

/// Watches a running fleet at rest.
async fn watch(shape: Shape) -> Result<(Point, f64, f64), FleetError> {
    let before = resident();
    let fleet = Fleet::start(shape).await?;
    task::sleep(SETTLE).await;
    let (cpu, (bytes, packets)) = (cpu_time(), loopback());
    let (reads, writes) = fleet.table.request_counts();
    task::sleep(WATCH).await;
    let seconds = WATCH.as_secs_f64();
    let (more_bytes, more_packets) = loopback();
    let (more_reads, more_writes) = fleet.table.request_counts();
    let point = Point {
        n: 0,
        cpu_us_per_s: cpu_time().saturating_sub(cpu).as_secs_f64() * 1e6 / seconds,
        bytes: resident().saturating_sub(before) as f64,
        msgs_per_s: (more_packets - packets) as f64 / seconds,
        net_bytes_per_s: (more_bytes - bytes) as f64 / seconds,
    };
    fleet.stop().await;
    let rate = |more: u64, first: u64| (more - first) as f64 / seconds;
    Ok((point, rate(more_reads, reads), rate(more_writes, writes)))
}

fn at_rest(entries: usize, agents: usize) -> Shape {
    Shape { entries, prefill: 0, decode: 0, plain: agents, ..Shape::small() }
}

/// Links at rest: one entry before more and more agents. Everything in the process is counted, so
/// each link is charged with both of its ends, the stand-in's table and the loopback's headers.
async fn links() -> Result<(), FleetError> {
    let mut series = Series::new("entry with agents", "links at rest, both ends", "agents");
    for n in AGENTS {
        let (point, reads, writes) = watch(at_rest(1, n)).await?;
        series.add(Point { n, ..point });
        println!(
            "{}",
            json!({ "note": "table", "agents": n, "reads_per_s": round(reads), "writes_per_s": round(writes) })
        );
    }
    series.fit();
    Ok(())
}

/// Answers being streamed, about 40 tokens a second each, by one entry. Caller, stand-ins, both ends
/// of the link and the entry are counted together.
async fn tokens() -> Result<(), FleetError> {
    let mut series = Series::new("entry, agent, caller and stand-ins", "streams", "streamed answers");
    for n in STREAMS {
        let mut shape = at_rest(1, 0);
        (shape.prefill, shape.decode) = (1, 1);
        shape.tenants = vec![Tenant::new("reader", 10_000_000, 10_000_000)];
        (shape.decode_profile.pieces, shape.decode_profile.step_per_request) = (1_000, Duration::ZERO);
        let fleet = Fleet::start(shape).await?;
        let readers: Vec<_> =
            (0..n).map(|number| task::spawn(read(fleet.entry(0).address(), number))).collect();
        task::sleep(SETTLE).await;
        let generated = || fleet.decode[0].counts.tokens.load(Ordering::Relaxed);
        let (cpu, (bytes, packets), first) = (cpu_time(), loopback(), generated());
        task::sleep(WATCH).await;
        let seconds = WATCH.as_secs_f64();
        let (more_bytes, more_packets) = loopback();
        let used = cpu_time().saturating_sub(cpu).as_secs_f64() * 1e6;
        let made = generated() - first;
        series.add(Point {
            n,
            cpu_us_per_s: used / seconds,
            bytes: 0.0,
            msgs_per_s: (more_packets - packets) as f64 / seconds,
            net_bytes_per_s: (more_bytes - bytes) as f64 / seconds,
        });
        let each = round(used / made.max(1) as f64);
        let per_s = round(made as f64 / seconds);
        println!("{}", json!({ "note": "tokens", "streams": n, "tokens_per_s": per_s, "cpu_us_each": each }));
        for reader in readers {
            reader.cancel().await;
        }
        fleet.stop().await;
    }
    series.fit();
    Ok(())
}

async fn read(entry: std::net::SocketAddr, number: usize) {
    let prompt = format!("stream {number}");
    let completion = Completion { model: MODEL.to_owned(), prompt, max_tokens: 1_000, stream: true };
    Caller::new(entry, key_of("reader")).complete(&completion).await;
}

/// Entries at rest, with 4 agents.
async fn entries() -> Result<(), FleetError> {
    let mut series = Series::new("entries", "leases, homes and heartbeats at rest, all entries", "entries");
    for n in ENTRIES {
        let (point, reads, writes) = watch(at_rest(n, 4)).await?;
        series.add(Point { n, ..point });
        println!(
            "{}",
            json!({ "note": "table", "entries": n, "reads_per_s": round(reads), "writes_per_s": round(writes) })
        );
    }
    series.fit();
    Ok(())
}
