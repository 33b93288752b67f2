//! Decisions of the gateway, without a network.

mod allowance;
mod budget;
mod catalog;
mod digest;
mod directory;
mod forecast;
mod health;
mod line;
mod placement;
mod pools;
mod state;
mod suspect;

use std::{sync::Arc, time::Duration};

use tarragonhill_core::{
    Time,
    gateway::{
        catalog::{Customer, Engine, Kind, Route, Target},
        directory::{Endpoint, Row, Stage},
    },
};

/// A moment some milliseconds after the clock's origin.
fn at(millis: u64) -> Time {
    Time::ZERO.plus(Duration::from_millis(millis))
}

fn endpoint(id: &str, stage: Stage) -> Endpoint {
    Endpoint {
        id: id.into(),
        born: 1,
        service: "drafting".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "zone-a".into(),
        stage,
        slots: 48,
        leaving: false,
    }
}

fn row(version: u64, endpoint: Endpoint) -> Row {
    Row { id: endpoint.id.clone(), version, sequence: version, endpoint: Some(Arc::new(endpoint)) }
}

fn gone(version: u64, id: &str) -> Row {
    Row { id: id.into(), version, sequence: 0, endpoint: None }
}

fn engine() -> Engine {
    Engine { slots: 48, memory: 60_000, longest_hold: Duration::from_secs(2) }
}

fn customer(name: &str, rate: u64, burst: u64) -> Customer {
    Customer { name: name.into(), priority: None, rate, burst, flat: 200, by_tokens: true }
}

fn route(prefix: &str, kind: Kind) -> Route {
    Route {
        name: "r".into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        kind,
        timeout: Duration::from_secs(14),
        aim: Duration::from_millis(900),
        gap: Duration::from_millis(300),
        silence: Duration::from_millis(3_600),
        priority: 1,
        targets: vec![Target { service: "drafting".into(), weight: 1 }],
        attempts: 1,
        anonymous: false,
        resumable: false,
    }
}
