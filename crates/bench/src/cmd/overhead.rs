//! `overhead`: measures the latency and processor time that entry and agent add to a small request.

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
    fleet::{Customer, Fleet, FleetError, SERVICE, Shape, key_of},
    score::new_histogram,
    usage::cpu_time,
};

/// Maximum wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Requests sent before the measurement starts.
const WARM_UP_REQUESTS: usize = 500;

/// Options of `overhead`.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// Number of requests, direct and routed
    #[bpaf(long, argument("N"), fallback(20_000), display_fallback)]
    pub requests: usize,
    /// Number of concurrent callers
    #[bpaf(long, argument("N"), fallback(32), display_fallback)]
    pub callers: usize,
}

/// Latencies (microseconds) and resource usage of the requests on one path.
struct Measurement {
    latency: Histogram<u64>,
    cpu: Duration,
    wall: Duration,
}

/// Sends the same small request directly and through the router, and prints the difference.
pub async fn execute(options: Options) -> Result<bool, FleetError> {
    let mut shape = Shape::small();
    (shape.entries, shape.prefill, shape.decode, shape.plain) = (1, 1, 1, 1);
    shape.customers = vec![Customer::new("caller", 10_000_000, 10_000_000)];
    shape.plain_latency = Duration::ZERO;
    let fleet = Fleet::start(shape).await?;
    let direct_to = fleet.plain[0].address();
    let routed_to = fleet.entry(0).address();
    let direct = move || (direct_to, Request::get("/records/7"));
    let routed = move || {
        let request = Request::get(format!("/v1/services/{SERVICE}/records/7"));
        (routed_to, request.header("authorization", format!("Bearer {}", key_of("caller"))))
    };
    send_requests(WARM_UP_REQUESTS, options.callers, direct).await;
    send_requests(WARM_UP_REQUESTS, options.callers, routed).await;
    let direct_result = send_requests(options.requests, options.callers, direct).await;
    let routed_result = send_requests(options.requests, options.callers, routed).await;
    fleet.stop().await;
    print_report(&options, &direct_result, &routed_result);
    Ok(true)
}

async fn send_requests<F>(requests: usize, callers: usize, make_request: F) -> Measurement
where
    F: Fn() -> (SocketAddr, Request) + Send + Sync + Copy + 'static,
{
    let pool = Arc::new(Pool::default());
    let (began, cpu) = (Instant::now(), cpu_time());
    let requests_per_caller = requests / callers.max(1);
    let tasks: Vec<_> = (0..callers)
        .map(|_| {
            let pool = pool.clone();
            task::spawn(async move { send_sequentially(&pool, requests_per_caller, make_request).await })
        })
        .collect();
    let mut latency = new_histogram();
    for task in tasks {
        let _ = latency.add(task.await);
    }
    Measurement { latency, cpu: cpu_time().saturating_sub(cpu), wall: began.elapsed() }
}

async fn send_sequentially(
    pool: &Pool,
    requests: usize,
    make_request: impl Fn() -> (SocketAddr, Request),
) -> Histogram<u64> {
    let mut latency = new_histogram();
    for _ in 0..requests {
        let (address, request) = make_request();
        let began = Instant::now();
        let Ok(response) = pool.send(address, request, TIMEOUT).await else { continue };
        if response.status() == 200 && response.bytes().await.is_ok() {
            let micros = u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX);
            latency.saturating_record(micros);
        }
    }
    latency
}

fn print_report(options: &Options, direct_result: &Measurement, routed_result: &Measurement) {
    let print_result = |name: &str, result: &Measurement| {
        let per_request = result.cpu.as_micros() / (result.latency.len().max(1) as u128);
        println!(
            "{name:<8} {} answers, p50 {} us, p99 {} us, {:.0} a second, {per_request} us of processor time each",
            result.latency.len(),
            result.latency.value_at_quantile(0.5),
            result.latency.value_at_quantile(0.99),
            result.latency.len() as f64 / result.wall.as_secs_f64(),
        );
    };
    print_result("direct", direct_result);
    print_result("routed", routed_result);
    let added = |quantile| {
        routed_result.latency.value_at_quantile(quantile) as i64
            - direct_result.latency.value_at_quantile(quantile) as i64
    };
    // Callers and simulated servers cost the same on both paths, so the difference is entry and agent.
    let cpu = routed_result.cpu.saturating_sub(direct_result.cpu).as_secs_f64()
        / routed_result.latency.len().max(1) as f64;
    let unanswered = options.requests as u64 - routed_result.latency.len().min(options.requests as u64);
    println!(
        "{}",
        json!({
            "p50_added_us": added(0.5),
            "p99_added_us": added(0.99),
            "rps_per_core": (1.0 / cpu.max(1e-9)).round(),
            "callers": options.callers,
            "not_answered": unanswered,
        })
    );
}
