//! `overhead`: the time that entry and agent add to a small request, and what they cost.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use bpaf::Bpaf;
use hdrhistogram::Histogram;
use serde_json::json;
use tarragonhill_http::client::{Pool, Request};

use crate::{
    fleet::{Fleet, FleetError, SERVICE, Shape, Tenant, key_of},
    score::new_histogram,
    usage::cpu_time,
};

/// Longest wait for one answer.
const PATIENCE: Duration = Duration::from_secs(10);
/// Requests sent before anything is counted.
const WARM_UP: usize = 500;

/// Options of `overhead`.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// Requests measured, each way
    #[bpaf(long, argument("N"), fallback(20_000), display_fallback)]
    pub requests: usize,
    /// Callers at once
    #[bpaf(long, argument("N"), fallback(32), display_fallback)]
    pub callers: usize,
}

/// One side of the comparison.
struct Side {
    latency: Histogram<u64>,
    cpu: Duration,
    wall: Duration,
}

/// Measures the same small call directly and through the router.
pub async fn execute(options: Options) -> Result<bool, FleetError> {
    let mut shape = Shape::small();
    (shape.entries, shape.prefill, shape.decode, shape.plain) = (1, 1, 1, 1);
    shape.tenants = vec![Tenant::new("caller", 10_000_000, 10_000_000)];
    shape.plain_latency = Duration::ZERO;
    let fleet = Fleet::start(shape).await?;
    let direct_to = fleet.plain[0].address();
    let routed_to = fleet.entry(0).address();
    let direct = move || (direct_to, Request::get("/records/7"));
    let routed = move || {
        let call = Request::get(format!("/v1/services/{SERVICE}/records/7"));
        (routed_to, call.header("authorization", format!("Bearer {}", key_of("caller"))))
    };
    run(WARM_UP, options.callers, direct).await;
    run(WARM_UP, options.callers, routed).await;
    let base = run(options.requests, options.callers, direct).await;
    let through = run(options.requests, options.callers, routed).await;
    fleet.stop().await;
    report(&options, &base, &through);
    Ok(true)
}

async fn run<F>(requests: usize, callers: usize, make: F) -> Side
where
    F: Fn() -> (SocketAddr, Request) + Send + Sync + Copy + 'static,
{
    let pool = Arc::new(Pool::default());
    let (began, cpu) = (Instant::now(), cpu_time());
    let each = requests / callers.max(1);
    let tasks: Vec<_> = (0..callers)
        .map(|_| {
            let pool = pool.clone();
            task::spawn(async move { one_caller(&pool, each, make).await })
        })
        .collect();
    let mut latency = new_histogram();
    for task in tasks {
        let _ = latency.add(task.await);
    }
    Side { latency, cpu: cpu_time().saturating_sub(cpu), wall: began.elapsed() }
}

async fn one_caller(
    pool: &Pool,
    requests: usize,
    make: impl Fn() -> (SocketAddr, Request),
) -> Histogram<u64> {
    let mut latency = new_histogram();
    for _ in 0..requests {
        let (address, call) = make();
        let began = Instant::now();
        let Ok(answer) = pool.send(address, call, PATIENCE).await else { continue };
        if answer.status() == 200 && answer.bytes().await.is_ok() {
            let micros = u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX);
            latency.saturating_record(micros);
        }
    }
    latency
}

fn report(options: &Options, base: &Side, through: &Side) {
    let side = |name: &str, side: &Side| {
        let per_request = side.cpu.as_micros() / (side.latency.len().max(1) as u128);
        println!(
            "{name:<8} {} answers, p50 {} us, p99 {} us, {:.0} a second, {per_request} us of processor time each",
            side.latency.len(),
            side.latency.value_at_quantile(0.5),
            side.latency.value_at_quantile(0.99),
            side.latency.len() as f64 / side.wall.as_secs_f64(),
        );
    };
    side("direct", base);
    side("routed", through);
    let added = |quantile| {
        through.latency.value_at_quantile(quantile) as i64 - base.latency.value_at_quantile(quantile) as i64
    };
    // Caller and stand-in cost the same both ways, so the difference is entry and agent.
    let cpu = through.cpu.saturating_sub(base.cpu).as_secs_f64() / through.latency.len().max(1) as f64;
    let missing = options.requests as u64 - through.latency.len().min(options.requests as u64);
    println!(
        "{}",
        json!({
            "p50_added_us": added(0.5),
            "p99_added_us": added(0.99),
            "rps_per_core": (1.0 / cpu.max(1e-9)).round(),
            "callers": options.callers,
            "not_answered": missing,
        })
    );
}
