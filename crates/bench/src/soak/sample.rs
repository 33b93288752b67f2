//! Callers that send requests with parts of prompts that crash engines, and sound ones beside them.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::{future::timeout, task};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tarragonhill_h1::head::Request;

use super::{
    CONTACT,
    crash::{DEADLINE, Sample, request},
    run::{Run, Service},
};
use crate::{platform::caller::Caller, sim::lock};

/// Mean time between two requests.
const SOUND_INTERVAL_MS: f64 = 50.0;
const CRASHING_INTERVAL_MS: f64 = 300.0;
/// Share of requests that go to one gateway during a skew.
const SKEWED_SHARE: f64 = 0.85;

impl Run {
    /// Sends sound requests from now on, and after the warm-up also requests with parts that crash engines, until the run is over.
    pub(super) async fn send_parts(self: Arc<Self>, seed: u64, parts: usize, warm_up: Duration) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_add(3));
        let (began, mut requests) = (Instant::now(), Vec::new());
        let crashing_share = SOUND_INTERVAL_MS / (SOUND_INTERVAL_MS + CRASHING_INTERVAL_MS);
        while !self.is_over() {
            let interval = SOUND_INTERVAL_MS * (1.0 - crashing_share);
            task::sleep(Duration::from_secs_f64(interval * rng.random_range(0.0..2.0) / 1_000.0)).await;
            let is_crashing = began.elapsed() > warm_up && rng.random_bool(crashing_share);
            let part = is_crashing.then(|| rng.random_range(0..parts));
            let number = requests.len();
            let skewed_to = self.skewed_to();
            let any = rng.random_range(0..self.gateways.len());
            let is_skewed = skewed_to.is_some() && rng.random_bool(SKEWED_SHARE);
            let gateway = skewed_to.filter(|_| is_skewed).unwrap_or(any);
            let (id, head, body) = request(&mut rng, number, part);
            requests.push(task::spawn(self.clone().sample(gateway, id, head, body, part, is_skewed)));
        }
        for request in requests {
            request.await;
        }
    }

    async fn sample(
        self: Arc<Self>,
        gateway: usize,
        id: String,
        head: Request,
        body: String,
        part: Option<usize>,
        is_skewed: bool,
    ) {
        let sent_at = Instant::now();
        let settled = || self.is_settled(gateway, CONTACT);
        let was_settled = settled();
        let call = async {
            let mut caller = Caller::open(self.gateways[gateway].address).await.ok()?;
            self.record_request(Service::Models);
            caller.request(head, body.as_bytes()).await.ok()
        };
        let response = timeout(DEADLINE, call).await.ok().flatten();
        let has_begun = response.is_some_and(|response| !response.event_ids().is_empty());
        let is_settled = was_settled && settled();
        lock(&self.samples).insert(id, Sample { part, sent_at, has_begun, is_settled, is_skewed });
    }
}
