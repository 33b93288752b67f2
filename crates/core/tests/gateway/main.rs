//! Tests of the gateway's decisions, without a network.

mod budget;
mod catalog;
mod cold;
mod connections;
mod contact;
mod digest;
mod directory;
mod evacuation;
mod explain;
mod fairness;
mod fleet;
mod fleet_budget;
mod fleet_limit;
mod fleet_rate;
mod fleet_store;
mod forecast;
mod growth;
mod health;
mod held;
mod history;
mod mirror;
mod order;
mod origin;
mod outage;
mod pace;
mod placement;
mod pools;
mod profile;
mod queue;
mod rate_limit;
mod shutdown;
mod speed;
mod staleness;
mod state;
mod suspect;

use std::{sync::Arc, time::Duration};

use tarragonhill_core::{
    Time,
    gateway::{
        catalog::{Customer, Engine, Kind, Route, Target},
        directory::{Endpoint, Row, Stage},
        forecast::{Forecasts, Observation},
        position::Position,
    },
};

/// Returns the time `millis` milliseconds after the clock's origin.
fn at(millis: u64) -> Time {
    Time::ZERO.plus(Duration::from_millis(millis))
}

fn endpoint(id: &str, stage: Stage) -> Endpoint {
    Endpoint {
        id: id.into(),
        started_ms: 1,
        service: "drafting".into(),
        software_version: "v1".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "zone-a".into(),
        stage,
        slots: 48,
        is_draining: false,
    }
}

/// Returns a position in a store that names no era.
fn position(version: u64) -> Position {
    Position::new(0, version)
}

fn row(version: u64, endpoint: Endpoint) -> Row {
    Row {
        id: endpoint.id.clone(),
        position: position(version),
        sequence: version,
        cold: Duration::ZERO,
        endpoint: Some(Arc::new(endpoint)),
    }
}

fn removed_row(version: u64, id: &str) -> Row {
    Row { id: id.into(), position: position(version), sequence: 0, cold: Duration::ZERO, endpoint: None }
}

fn engine() -> Engine {
    Engine { slots: 48, memory: 60_000, max_reservation: Duration::from_secs(2) }
}

fn customer(name: &str, rate: u64, burst: u64) -> Customer {
    Customer { name: name.into(), priority: None, rate, burst, plain_tokens: 200, counts_tokens: true }
}

fn route(prefix: &str, kind: Kind) -> Route {
    Route {
        name: "r".into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        kind,
        timeout: Duration::from_secs(14),
        target_latency: Duration::from_millis(900),
        target_gap: Duration::from_millis(300),
        stall_timeout: Duration::from_millis(3_600),
        priority: 1,
        targets: vec![Target { service: "drafting".into(), weight: 1 }],
        max_attempts: 1,
        is_anonymous: false,
        is_resumable: false,
    }
}

/// Speed of a simulated engine.
#[derive(Clone, Copy, Debug)]
struct Speed {
    /// Prefill time per token, in microseconds.
    prompt_us: u64,
    /// Time to the first event, in milliseconds.
    first_ms: u64,
    /// Decode time per token, in microseconds.
    token_us: u64,
    /// Tokens per event.
    event_tokens: u64,
}

const SMALL: Speed = Speed { prompt_us: 18, first_ms: 150, token_us: 5_000, event_tokens: 11 };

/// Records the observations of 20 requests at an endpoint with an engine of this speed. Callers'
/// estimates are alternately too high and too low.
fn train(forecasts: &mut Forecasts, now: Time, endpoint: &str, speed: Speed) {
    let (service, endpoint): (Arc<str>, Arc<str>) = ("drafting".into(), endpoint.into());
    for round in 0..20_u64 {
        let prompt = 3_000 + round % 4 * 1_000;
        let prefill = Duration::from_micros(prompt * speed.prompt_us);
        let first_event = Duration::from_millis(speed.first_ms);
        let interval = Duration::from_micros(speed.token_us * speed.event_tokens);
        let error = if round % 2 == 0 { 0.5_f64.exp() } else { (-0.5_f64).exp() };
        let expected = (100.0 * speed.event_tokens as f64 * error) as u64;
        for observation in [
            Observation::Prefill { tokens: prompt, took: prefill },
            Observation::FirstEvent { prompt, took: first_event },
            Observation::LocalPrefill { prompt, took: first_event + prefill * 2 },
            Observation::Events { events: 5, span: interval * 5 },
            Observation::Completed { expected, events: 100 },
        ] {
            forecasts.record(now, &service, &endpoint, 20_000, observation);
            forecasts.recompute();
        }
    }
}

/// Returns forecasts trained with requests to one endpoint.
fn trained(speed: Speed) -> Forecasts {
    let mut forecasts = Forecasts::default();
    train(&mut forecasts, at(0), "e-1", speed);
    forecasts
}
