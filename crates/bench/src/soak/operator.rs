//! An operator that withdraws keys again and again, the store that comes back from a copy, and callers that use the keys.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use async_std::{future::timeout, task};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::{
    CONTACT,
    configuration::{LIMITED_KEY, Probe, key_of, with_key},
    run::{Run, Service, soak_configuration},
};
use crate::{
    cmd::stand_in::StoreOrder,
    platform::caller::{self, plain_request},
    sim::lock,
};

/// Bounds of the time between two configurations.
const CHANGE_INTERVAL_MS: std::ops::Range<u64> = 300..12_000;
/// Bounds of the step from one version to the next.
const VERSION_STEP: std::ops::Range<u64> = 1..4;
/// Mean time between two requests with the key of a version.
const PROBE_INTERVAL_MS: f64 = 25.0;
/// Number of versions back whose keys are used.
const RECENT_VERSIONS: usize = 4;
/// Mean time between two requests of the limited customer; several times as many as its limit allows.
const LIMITED_INTERVAL_MS: f64 = 30.0;
const DEADLINE: Duration = Duration::from_secs(1);
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Bounds of the age of the copy from which the store comes back.
const COPY_AGE_MS: std::ops::Range<u64> = 1_000..12_000;
/// Longest time for which the store is away before it comes back.
const MAX_AWAY: Duration = Duration::from_secs(4);
/// Time after which the operator writes its rows again.
const OPERATOR_DELAY_MS: std::ops::Range<u64> = 0..500;
/// Time after which an endpoint writes its row again.
const ENDPOINT_DELAY_MS: std::ops::Range<u64> = 0..2_000;
/// Bounds of the time between two returns of a series.
const SERIES_DELAY_MS: std::ops::Range<u64> = 200..3_000;
const SERIES_RETURNS: usize = 3;

fn random_ms(rng: &mut ChaCha8Rng, bounds: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(bounds))
}

impl Run {
    /// Writes configurations until the run is over.
    pub(super) async fn change_configuration(self: Arc<Self>, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_add(4));
        while !self.is_over() {
            task::sleep(random_ms(&mut rng, CHANGE_INTERVAL_MS)).await;
            let step = rng.random_range(VERSION_STEP);
            let mut version = self.newest_version.lock().await;
            *version += step;
            if self.write_configuration(*version).await {
                lock(&self.changes).acknowledged.insert(*version, Instant::now());
            }
        }
    }

    /// Writes a configuration until it is acknowledged; returns false if the run is over before.
    async fn write_configuration(&self, version: u64) -> bool {
        let configuration = with_key(soak_configuration(), version);
        while !self.put("op", "config", Some(&configuration)).await {
            if self.is_over() {
                return false;
            }
            task::sleep(RETRY_DELAY).await;
        }
        true
    }

    /// Takes the store away and brings it back from a copy, several times if it is a series.
    pub(super) async fn return_store(self: &Arc<Self>, seed: usize, lasts: Duration, is_series: bool) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed as u64);
        for _ in 0..if is_series { SERIES_RETURNS } else { 1 } {
            self.disturb();
            self.order_store(&StoreOrder::Away);
            task::sleep(lasts.min(MAX_AWAY)).await;
            let age_ms = rng.random_range(COPY_AGE_MS);
            self.order_store(&StoreOrder::Return { age_ms });
            lock(&self.changes).returns += 1;
            self.disturb();
            task::sleep(random_ms(&mut rng, OPERATOR_DELAY_MS)).await;
            let version = *self.newest_version.lock().await;
            if version > 0 {
                self.write_configuration(version).await;
            }
            for number in 0..self.endpoints.len() {
                let (run, delay) = (self.clone(), random_ms(&mut rng, ENDPOINT_DELAY_MS));
                task::spawn(async move {
                    task::sleep(delay).await;
                    run.register_if_up(number).await;
                });
            }
            self.disturb();
            task::sleep(random_ms(&mut rng, SERIES_DELAY_MS)).await;
        }
    }

    async fn register_if_up(&self, number: usize) {
        let endpoint = &self.endpoints[number];
        while endpoint.is_up.load(Ordering::Relaxed) && !self.is_over() && !self.register(endpoint).await {
            task::sleep(RETRY_DELAY).await;
        }
    }

    /// Uses the keys of recent versions at all gateways until the run is over.
    pub(super) async fn probe_keys(self: Arc<Self>, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_add(5));
        let mut probes = Vec::new();
        while !self.is_over() {
            let wait = PROBE_INTERVAL_MS * rng.random_range(0.0..2.0);
            task::sleep(Duration::from_secs_f64(wait / 1_000.0)).await;
            let recent: Vec<u64> = {
                let changes = lock(&self.changes);
                changes.acknowledged.keys().rev().take(RECENT_VERSIONS).copied().collect()
            };
            if recent.is_empty() {
                continue;
            }
            let version = recent[rng.random_range(0..recent.len())];
            let gateway = rng.random_range(0..self.gateways.len());
            probes.push(task::spawn(self.clone().probe(version, gateway, probes.len())));
        }
        for probe in probes {
            probe.await;
        }
        lock(&self.changes).probes.sort_by_key(|probe| probe.sent_at);
    }

    async fn probe(self: Arc<Self>, version: u64, gateway: usize, number: usize) {
        let (sent_at, before) = (Instant::now(), self.gateways[gateway].disturbed_at());
        let (was_settled, was_up) =
            (self.is_settled(gateway, CONTACT), self.gateways[gateway].is_settled(CONTACT));
        let status = self.look_up(gateway, &key_of(version), &format!("k{number}")).await;
        let probe = Probe {
            version,
            gateway,
            sent_at,
            disturbed: (before, self.gateways[gateway].disturbed_at()),
            is_settled: was_settled && self.is_settled(gateway, CONTACT),
            is_gateway_settled: was_up && self.gateways[gateway].is_settled(CONTACT),
            status,
        };
        lock(&self.changes).probes.push(probe);
    }

    /// Sends several times as many requests of the limited customer as its limit allows, until the run is over.
    pub(super) async fn exceed_limit(self: Arc<Self>, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_add(6));
        let mut number = 0;
        while !self.is_over() {
            let wait = LIMITED_INTERVAL_MS * rng.random_range(0.0..2.0);
            task::sleep(Duration::from_secs_f64(wait / 1_000.0)).await;
            let gateway = rng.random_range(0..self.gateways.len());
            number += 1;
            let (run, id) = (self.clone(), format!("l{number}"));
            lock(&self.changes).limited_sent.insert(id.clone(), Instant::now());
            task::spawn(async move { run.look_up(gateway, LIMITED_KEY, &id).await });
        }
    }

    /// Sends a lookup over a new connection, and returns the status of the response.
    async fn look_up(&self, gateway: usize, key: &str, id: &str) -> Option<u16> {
        let mut head = plain_request("GET", &format!("/lookup/{id}"), key, id);
        head.fields.set("Tarragonhill-Deadline-Ms", DEADLINE.as_millis().to_string());
        self.record_request(Service::Filing);
        let call = caller::request(self.gateways[gateway].address, head, b"");
        timeout(DEADLINE, call).await.ok()?.ok().map(|response| response.head.status)
    }
}
