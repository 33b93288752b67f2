//! Prometheus metrics of the gateway.

use prometheus::{
    GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    core::Collector,
};

/// Upper bounds of the latency buckets, seconds.
const LATENCY_BUCKETS: [f64; 12] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 0.9, 1.5, 3.0, 6.0, 14.0];

/// Metrics of the gateway.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Responses to callers, by kind of route and status.
    pub requests: IntCounterVec,
    /// Refusals by the gateway, by code.
    pub refusals: IntCounterVec,
    /// Requests sent to endpoints, by outcome.
    pub sends: IntCounterVec,
    /// Messages that count as retries, by service; recorded when their request ends.
    pub retries: IntCounterVec,
    /// Retries asked of the retry budget, by service and result.
    pub retry_charges: IntCounterVec,
    /// Seconds from receiving a request to the head of its response, by kind of route.
    pub first_byte: HistogramVec,
    /// Seconds that streams waited for placement.
    pub placement_waits: Histogram,
    /// Longest time between two events of each stream, seconds.
    pub longest_gaps: Histogram,
    /// Times that a part of the store became unreadable, by part.
    pub store_losses: IntCounterVec,
    /// Rows of the store that could not be decoded, by kind.
    pub invalid_rows: IntCounterVec,
    /// 1 for each evacuated availability zone.
    pub evacuated: GaugeVec,
    /// Number of cold endpoints.
    pub cold_endpoints: IntGauge,
    /// Number of endpoints that have ended.
    pub out_endpoints: IntGauge,
    /// Number of endpoints that have just started or recovered and do not take their full share.
    pub paced_endpoints: IntGauge,
    /// Number of endpoints that name a limit.
    pub limited_endpoints: IntGauge,
    /// How often requests left memory to others, by whom they left it to.
    pub yields: IntCounterVec,
    /// 1 for each response field of endpoints that the gateway does not know.
    pub unknown_fields: GaugeVec,
    /// Bytes held for callers and endpoints.
    pub held_bytes: IntGauge,
    /// Requests refused because too many bytes were held.
    pub held_refusals: IntCounter,
    /// Open connections, by address.
    pub connections: GaugeVec,
    /// Connections closed in favour of others, by address and reason.
    pub evictions: IntCounterVec,
    /// Connections closed at once because no other one gave way to them, by address.
    pub connection_refusals: IntCounterVec,
    /// Version of the active configuration; 0 before the first.
    pub version: IntGauge,
    /// Forecast durations of the parts of a completion, seconds, by service and part.
    pub forecasts: GaugeVec,
    /// Event intervals of the fastest, middle and slowest endpoint as multiples of the typical one, by service and rank.
    pub speeds: GaugeVec,
}

impl Metrics {
    /// Creates the metrics and registers them. Metrics that cannot be registered are logged.
    pub fn new(registry: &Registry) -> Self {
        let metrics = Self {
            requests: counter("gateway_requests_total", "Answers to callers", &["kind", "status"]),
            refusals: counter("gateway_refusals_total", "Refusals by the gateway", &["code"]),
            sends: counter("gateway_sends_total", "Requests sent to endpoints", &["outcome"]),
            retries: counter(
                "gateway_retries_total",
                "Messages to endpoints that count as retries",
                &["service"],
            ),
            retry_charges: counter(
                "gateway_retry_charges_total",
                "Retries asked of the retry budget",
                &["service", "result"],
            ),
            first_byte: histogram("gateway_first_byte_seconds", "Time to the head of an answer", &["kind"]),
            placement_waits: unlabeled_histogram(
                "gateway_wait_seconds",
                "Time that streams waited for a place",
            ),
            longest_gaps: unlabeled_histogram(
                "gateway_longest_gap_seconds",
                "Longest pause between a stream's events",
            ),
            store_losses: counter("gateway_store_losses_total", "Losses of the store", &["what"]),
            invalid_rows: counter("gateway_invalid_rows_total", "Invalid rows of the store", &["what"]),
            evacuated: gauges("gateway_evacuated", "Evacuated availability zones", &["zone"]),
            cold_endpoints: gauge("gateway_cold_endpoints", "Endpoints that are cold"),
            out_endpoints: gauge("gateway_out_endpoints", "Endpoints that have ended"),
            paced_endpoints: gauge("gateway_paced_endpoints", "Endpoints below their full share"),
            limited_endpoints: gauge("gateway_limited_endpoints", "Endpoints that name a limit"),
            yields: counter("gateway_yields_total", "Times that requests left memory to others", &["to"]),
            unknown_fields: gauges(
                "gateway_unknown_response_fields",
                "Response fields of endpoints that the gateway does not know",
                &["field"],
            ),
            held_bytes: gauge("gateway_held_bytes", "Bytes held for callers and endpoints"),
            held_refusals: unlabeled_counter(
                "gateway_held_refusals_total",
                "Requests refused because too many bytes were held",
            ),
            connections: gauges("gateway_connections", "Open connections", &["address"]),
            evictions: counter(
                "gateway_evictions_total",
                "Connections closed in favour of others",
                &["address", "reason"],
            ),
            connection_refusals: counter(
                "gateway_connection_refusals_total",
                "Connections closed because there were too many",
                &["address"],
            ),
            version: gauge("gateway_configuration_version", "Version of the configuration in force"),
            forecasts: gauges("gateway_forecast_seconds", "Forecast times", &["service", "part"]),
            speeds: gauges(
                "gateway_relative_intervals",
                "Event intervals of endpoints as multiples of the typical one",
                &["service", "rank"],
            ),
        };
        let collectors: [Box<dyn Collector>; 25] = [
            Box::new(metrics.requests.clone()),
            Box::new(metrics.refusals.clone()),
            Box::new(metrics.sends.clone()),
            Box::new(metrics.retries.clone()),
            Box::new(metrics.retry_charges.clone()),
            Box::new(metrics.first_byte.clone()),
            Box::new(metrics.placement_waits.clone()),
            Box::new(metrics.longest_gaps.clone()),
            Box::new(metrics.store_losses.clone()),
            Box::new(metrics.invalid_rows.clone()),
            Box::new(metrics.evacuated.clone()),
            Box::new(metrics.cold_endpoints.clone()),
            Box::new(metrics.out_endpoints.clone()),
            Box::new(metrics.paced_endpoints.clone()),
            Box::new(metrics.limited_endpoints.clone()),
            Box::new(metrics.yields.clone()),
            Box::new(metrics.unknown_fields.clone()),
            Box::new(metrics.held_bytes.clone()),
            Box::new(metrics.held_refusals.clone()),
            Box::new(metrics.connections.clone()),
            Box::new(metrics.evictions.clone()),
            Box::new(metrics.connection_refusals.clone()),
            Box::new(metrics.version.clone()),
            Box::new(metrics.forecasts.clone()),
            Box::new(metrics.speeds.clone()),
        ];
        for collector in collectors {
            if let Err(error) = registry.register(collector) {
                spdlog::error!("registering a metric failed: {error}");
            }
        }
        metrics
    }
}

fn counter(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect("name and labels are valid constants")
}

fn unlabeled_counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect("the name is a valid constant")
}

fn histogram(name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
    HistogramVec::new(options, labels).expect("name and labels are valid constants")
}

fn unlabeled_histogram(name: &str, help: &str) -> Histogram {
    let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
    Histogram::with_opts(options).expect("the name is a valid constant")
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("the name is a valid constant")
}

fn gauges(name: &str, help: &str, labels: &[&str]) -> GaugeVec {
    GaugeVec::new(Opts::new(name, help), labels).expect("name and labels are valid constants")
}
