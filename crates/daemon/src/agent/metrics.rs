//! Metrics of an agent.

use std::sync::Arc;

use prometheus::{IntCounterVec, IntGaugeVec, Opts, Registry};
use tarragonhill_core::{
    agent::Action,
    message::{Event, Load},
};

/// Metrics of one agent.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    events: IntCounterVec,
    refused: IntCounterVec,
    free: IntGaugeVec,
    queued: IntGaugeVec,
    running: IntGaugeVec,
}

impl Metrics {
    pub(crate) fn new() -> Arc<Self> {
        let metrics = Self {
            registry: Registry::new(),
            events: counters("tarragonhill_agent_events_total", "Events sent to entries.", "event"),
            refused: counters("tarragonhill_agent_refused_total", "Orders refused, by code.", "code"),
            free: gauges("tarragonhill_agent_free_pieces", "Memory pieces free."),
            queued: gauges("tarragonhill_agent_queued_tokens", "Tokens queued or running."),
            running: gauges("tarragonhill_agent_running", "Requests running."),
        };
        for collector in [&metrics.events, &metrics.refused] {
            let _ = metrics.registry.register(Box::new(collector.clone()));
        }
        for collector in [&metrics.free, &metrics.queued, &metrics.running] {
            let _ = metrics.registry.register(Box::new(collector.clone()));
        }
        Arc::new(metrics)
    }

    pub(crate) fn registry(&self) -> &Registry {
        &self.registry
    }

    pub(crate) fn count_event(&self, action: &Action) {
        let Action::Send(_, event) = action else { return };
        let name = match event {
            Event::Held { .. } => "held",
            Event::Refused { code, .. } => {
                self.refused.with_label_values(&[<&str>::from(code)]).inc();
                "refused"
            }
            Event::Prefilled { .. } => "prefilled",
            Event::Ended { .. } => "ended",
            Event::Failed { .. } => "broken",
            Event::Answered { .. } => "answered",
            Event::Tokens { .. } | Event::Heartbeat(_) => return,
        };
        self.events.with_label_values(&[name]).inc();
    }

    pub(crate) fn set_loads(&self, loads: &[Load]) {
        for load in loads {
            let label = [&*load.endpoint];
            self.free.with_label_values(&label).set(load.free_pieces.into());
            self.queued.with_label_values(&label).set(i64::try_from(load.queued_tokens).unwrap_or(i64::MAX));
            self.running.with_label_values(&label).set(load.running.into());
        }
    }
}

/// Creates counters with one label. `name` must be a valid metric name.
#[allow(clippy::expect_used, reason = "constant names are valid")]
pub(crate) fn counters(name: &str, help: &str, label: &str) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), &[label]).expect("valid metric name")
}

#[allow(clippy::expect_used, reason = "constant names are valid")]
fn gauges(name: &str, help: &str) -> IntGaugeVec {
    IntGaugeVec::new(Opts::new(name, help), &["endpoint"]).expect("valid metric name")
}
