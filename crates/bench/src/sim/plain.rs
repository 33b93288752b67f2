//! A simulated plain service with lookups (GET) and non-idempotent calls (other methods).

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_std::task;
use serde_json::json;
use tarragonhill_http::server::{Inbound, Outbound};

use super::{Faults, Listener, lock};

/// One execution of a non-idempotent call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Idempotency key sent by the caller.
    pub idempotency_key: String,
    /// Customer named by the router.
    pub customer: String,
    /// Request id assigned by the router.
    pub request: String,
    /// Whether the request had an `Authorization` header.
    pub has_authorization: bool,
}

/// A running plain service. It executes every call that it receives; preventing repeated execution is up
/// to the router.
#[derive(Debug)]
pub struct Service {
    /// Injected faults.
    pub faults: Arc<Faults>,
    listener: Listener,
    executions: Arc<Mutex<Vec<Execution>>>,
}

impl Service {
    /// Starts a service that responds to each call after `latency`.
    pub async fn start(latency: Duration) -> std::io::Result<Self> {
        let faults = Arc::new(Faults::default());
        let executions: Arc<Mutex<Vec<Execution>>> = Arc::default();
        let shared = (executions.clone(), faults.clone());
        let listener = Listener::start(faults.clone(), move |inbound| {
            let (executions, faults) = shared.clone();
            async move {
                if !latency.is_zero() {
                    task::sleep(latency).await;
                }
                let response = handle(&executions, &inbound);
                if faults.has_defect() {
                    handle(&executions, &inbound);
                }
                match inbound.method != "GET" && faults.should_lose_response() {
                    true => super::prefill::crash_response(),
                    false => response,
                }
            }
        })
        .await?;
        Ok(Self { faults, listener, executions })
    }

    /// Returns the local address.
    pub fn address(&self) -> std::net::SocketAddr {
        self.listener.address
    }

    /// Returns how often each call was executed, by idempotency key.
    pub fn execution_counts(&self) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        for execution in lock(&self.executions).iter() {
            *counts.entry(execution.idempotency_key.clone()).or_insert(0) += 1;
        }
        counts
    }

    /// Returns all executions, in order.
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.executions).clone()
    }
}

fn handle(executions: &Mutex<Vec<Execution>>, inbound: &Inbound) -> Outbound {
    if inbound.method == "GET" {
        return Outbound::json(200, &json!({ "path": inbound.path, "found": true }));
    }
    let header = |name| inbound.header(name).unwrap_or_default().to_owned();
    let mut executions = lock(executions);
    executions.push(Execution {
        idempotency_key: header("idempotency-key"),
        customer: header("x-customer"),
        request: header("x-request-id"),
        has_authorization: inbound.header("authorization").is_some(),
    });
    Outbound::json(200, &json!({ "filed": inbound.path, "number": executions.len() }))
}
