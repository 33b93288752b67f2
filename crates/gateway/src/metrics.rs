//! Counters and latency histograms of the gateway.

use prometheus::{
    GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry,
    core::Collector,
};

/// Bounds of latency buckets, seconds: from a plain call within a host to the longest deadline.
const LATENCY: [f64; 12] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 0.9, 1.5, 3.0, 6.0, 14.0];

/// The metrics of one gateway.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Answers to callers by kind of route and status.
    pub requests: IntCounterVec,
    /// Refusals of the gateway's own by code.
    pub refusals: IntCounterVec,
    /// Requests sent to endpoints by outcome.
    pub sends: IntCounterVec,
    /// Seconds from a request's arrival to the head of its answer, by kind of route.
    pub first: HistogramVec,
    /// Seconds that streams waited for a place.
    pub waits: Histogram,
    /// Seconds of each stream's longest pause between two events.
    pub gaps: Histogram,
    /// Times that a part of the store's state could not be read any more.
    pub store_losses: IntCounterVec,
    /// Version of the configuration in force; 0 before the first.
    pub version: IntGauge,
    /// Seconds that parts of a completion are forecast to take, by service and part.
    pub forecasts: GaugeVec,
}

impl Metrics {
    /// Metrics in a registry.
    pub fn new(registry: &Registry) -> Self {
        let metrics = Self {
            requests: counter("gateway_requests_total", "Answers to callers", &["kind", "status"]),
            refusals: counter("gateway_refusals_total", "Refusals by the gateway", &["code"]),
            sends: counter("gateway_sends_total", "Requests sent to endpoints", &["outcome"]),
            first: histogram("gateway_first_byte_seconds", "Time to the head of an answer", &["kind"]),
            waits: plain_histogram("gateway_wait_seconds", "Time that streams waited for a place"),
            gaps: plain_histogram("gateway_longest_gap_seconds", "Longest pause between a stream's events"),
            store_losses: counter("gateway_store_losses_total", "Losses of the store", &["what"]),
            version: gauge("gateway_configuration_version", "Version of the configuration in force"),
            forecasts: gauges("gateway_forecast_seconds", "Forecast times", &["service", "part"]),
        };
        let collectors: [Box<dyn Collector>; 9] = [
            Box::new(metrics.requests.clone()),
            Box::new(metrics.refusals.clone()),
            Box::new(metrics.sends.clone()),
            Box::new(metrics.first.clone()),
            Box::new(metrics.waits.clone()),
            Box::new(metrics.gaps.clone()),
            Box::new(metrics.store_losses.clone()),
            Box::new(metrics.version.clone()),
            Box::new(metrics.forecasts.clone()),
        ];
        for collector in collectors {
            if let Err(error) = registry.register(collector) {
                spdlog::error!("metric not registered: {error}");
            }
        }
        metrics
    }
}

fn counter(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect("name and labels are constant and valid")
}

fn histogram(name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(LATENCY.to_vec());
    HistogramVec::new(options, labels).expect("name and labels are constant and valid")
}

fn plain_histogram(name: &str, help: &str) -> Histogram {
    let options = HistogramOpts::new(name, help).buckets(LATENCY.to_vec());
    Histogram::with_opts(options).expect("the name is constant and valid")
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("the name is constant and valid")
}

fn gauges(name: &str, help: &str, labels: &[&str]) -> GaugeVec {
    GaugeVec::new(Opts::new(name, help), labels).expect("name and labels are constant and valid")
}
