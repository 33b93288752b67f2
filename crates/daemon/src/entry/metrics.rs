//! Prometheus metrics of an entry.

use std::{sync::Arc, time::Duration};

use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Registry};
use tarragonhill_core::Code;

use crate::agent::counters;

/// Bucket bounds of the latency histograms.
const LATENCY_BUCKETS_SECS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.054, 0.1, 0.2, 0.4, 0.9, 1.5, 3.0, 10.0, 30.0];

/// All metrics of one entry.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Completely answered requests, by kind.
    pub(crate) answered: IntCounterVec,
    refused: IntCounterVec,
    /// Attempts after the first of a request.
    pub(crate) retries: IntCounter,
    pub(crate) tokens: IntCounter,
    first_token: Histogram,
    token_gap: Histogram,
    /// Requests being served.
    pub(crate) running: IntGauge,
}

impl Metrics {
    #[allow(clippy::expect_used, reason = "constant names are valid")]
    pub(crate) fn new() -> Arc<Self> {
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_SECS.to_vec());
            Histogram::with_opts(options).expect("valid metric name")
        };
        let metrics = Self {
            registry: Registry::new(),
            answered: counters("tarragonhill_answered_total", "Requests answered whole.", "kind"),
            refused: counters("tarragonhill_refused_total", "Requests refused, by code.", "code"),
            retries: IntCounter::new("tarragonhill_retries_total", "Attempts after the first.")
                .expect("valid"),
            tokens: IntCounter::new("tarragonhill_tokens_total", "Tokens sent to callers.").expect("valid"),
            first_token: histogram("tarragonhill_first_token_seconds", "Time to the first token."),
            token_gap: histogram("tarragonhill_token_gap_seconds", "Time between tokens."),
            running: IntGauge::new("tarragonhill_running", "Requests being served.").expect("valid"),
        };
        metrics.register();
        Arc::new(metrics)
    }

    fn register(&self) {
        let collectors: [Box<dyn prometheus::core::Collector>; 7] = [
            Box::new(self.answered.clone()),
            Box::new(self.refused.clone()),
            Box::new(self.retries.clone()),
            Box::new(self.tokens.clone()),
            Box::new(self.first_token.clone()),
            Box::new(self.token_gap.clone()),
            Box::new(self.running.clone()),
        ];
        for collector in collectors {
            let _ = self.registry.register(collector);
        }
    }

    pub(crate) fn registry(&self) -> &Registry {
        &self.registry
    }

    pub(crate) fn count_refusal(&self, code: Code) {
        self.refused.with_label_values(&[<&str>::from(code)]).inc();
    }

    pub(crate) fn observe_first_token(&self, took: Duration) {
        self.first_token.observe(took.as_secs_f64());
    }

    pub(crate) fn observe_token_gap(&self, took: Duration) {
        self.token_gap.observe(took.as_secs_f64());
    }
}
