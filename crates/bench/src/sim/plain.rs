//! A plain service: lookups, and calls that may not be repeated.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_std::task;
use serde_json::json;
use tarragonhill_http::server::{Inbound, Outbound};

use super::{Faults, Listener, lock};

/// What one execution was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// The caller's idempotency key.
    pub idempotency_key: String,
    /// The customer on whose behalf it ran.
    pub customer: String,
    /// The router's identifier of the request.
    pub request: String,
    /// Whether a caller's key came with it.
    pub has_authorization: bool,
}

/// The service. It executes every call it gets, as often as it gets it: keeping calls from being
/// repeated is the router's work.
#[derive(Debug)]
pub struct Service {
    /// Injected faults.
    pub faults: Arc<Faults>,
    listener: Listener,
    executed: Arc<Mutex<Vec<Execution>>>,
}

impl Service {
    /// Starts a service that takes `latency` for each call.
    pub async fn start(latency: Duration) -> std::io::Result<Self> {
        let faults = Arc::new(Faults::default());
        let executed: Arc<Mutex<Vec<Execution>>> = Arc::default();
        let shared = (executed.clone(), faults.clone());
        let listener = Listener::start(faults.clone(), move |inbound| {
            let (executed, faults) = shared.clone();
            async move {
                if !latency.is_zero() {
                    task::sleep(latency).await;
                }
                let outbound = answer(&executed, &inbound);
                if faults.has_defect() {
                    answer(&executed, &inbound);
                }
                match inbound.method != "GET" && faults.should_lose_response() {
                    true => super::prefill::crash_response(),
                    false => outbound,
                }
            }
        })
        .await?;
        Ok(Self { faults, listener, executed })
    }

    /// Where it listens.
    pub fn address(&self) -> std::net::SocketAddr {
        self.listener.address
    }

    /// Calls executed that may not be repeated, with how often.
    pub fn executions(&self) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        for execution in lock(&self.executed).iter() {
            *counts.entry(execution.idempotency_key.clone()).or_insert(0) += 1;
        }
        counts
    }

    /// All executions, in order.
    pub fn log(&self) -> Vec<Execution> {
        lock(&self.executed).clone()
    }
}

fn answer(executed: &Mutex<Vec<Execution>>, inbound: &Inbound) -> Outbound {
    if inbound.method == "GET" {
        return Outbound::json(200, &json!({ "path": inbound.path, "found": true }));
    }
    let header = |name| inbound.header(name).unwrap_or_default().to_owned();
    let mut executed = lock(executed);
    executed.push(Execution {
        idempotency_key: header("idempotency-key"),
        customer: header("x-customer"),
        request: header("x-request-id"),
        has_authorization: inbound.header("authorization").is_some(),
    });
    Outbound::json(200, &json!({ "filed": inbound.path, "number": executed.len() }))
}
