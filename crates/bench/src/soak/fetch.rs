//! Callers that take up broken streams at other gateways.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::{future::timeout, task};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::{
    order::Stream,
    run::{Run, Service},
};
use crate::{platform::caller::Caller, sim::lock};

/// Longest time that a caller waits for a whole stream.
const DEADLINE: Duration = Duration::from_secs(8);
/// Most attempts of a caller for a stream.
const MAX_ATTEMPTS: u32 = 5;
/// Number of engines of a version that must serve for resumes at it to count.
const MIN_SERVING: usize = 2;
/// Delay before a further attempt, if the gateway names none.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time that a gateway must have been up for its refusals to count.
const SETTLING_TIME: Duration = Duration::from_secs(3);

impl Run {
    /// Asks for a stream, and takes it up at other gateways if it breaks.
    pub(super) async fn fetch_stream(self: Arc<Self>, number: usize, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ number as u64);
        let (mut stream, began) = (Stream::default(), Instant::now());
        let mut gateway = rng.random_range(0..self.gateways.len());
        for attempt in 1..=MAX_ATTEMPTS {
            let Some(left) = DEADLINE.checked_sub(began.elapsed()) else { break };
            let retry_delay = self.attempt(&mut stream, gateway, &format!("o{number}-{attempt}"), left).await;
            if stream.is_complete {
                break;
            }
            task::sleep(retry_delay.min(left / 3)).await;
            gateway = (gateway + rng.random_range(1..self.gateways.len().max(2))) % self.gateways.len();
        }
        lock(&self.streams).push(stream);
    }

    /// Sends one attempt for a stream, and returns the delay before the next one.
    async fn attempt(&self, stream: &mut Stream, gateway: usize, id: &str, left: Duration) -> Duration {
        let version = stream.events.first().map(|event| event.version.clone());
        let counts = || {
            let is_served = version.as_deref().is_none_or(|version| self.serving(version) >= MIN_SERVING);
            is_served && self.gateways[gateway].is_settled(SETTLING_TIME)
        };
        let is_counted = counts();
        let (head, known) = (stream.request(id, left), stream.events.len());
        // Streams with the same prompt would be taken for one that crashes endpoints.
        let prompt = id.split('-').next().unwrap_or_default().to_owned();
        let mut received = None;
        let call = async {
            let mut caller = Caller::open(self.gateways[gateway].address).await.ok()?;
            self.record_request(Service::Models);
            caller.send(head, prompt.as_bytes()).await.ok()?;
            caller.read_response_into(&mut received).await.ok()
        };
        let _ = timeout(left, call).await;
        let status = received.as_ref().map(|response| response.head.status);
        if let Some(response) = received.as_ref().filter(|response| response.head.status == 200) {
            stream.add(id, response);
        }
        let events = stream.events.len() - known;
        stream.log.push(format!("{id} at {gateway}: status {status:?}, {events} events"));
        // The gateway or an engine may have been killed meanwhile.
        if is_counted && counts() {
            let has_served = u32::from(events > 0 || stream.is_complete);
            let (attempts, served) = if version.is_some() {
                (&mut stream.resumes, &mut stream.went_on)
            } else {
                (&mut stream.beginnings, &mut stream.began)
            };
            (*attempts, *served) = (*attempts + 1, *served + has_served);
        }
        let retry_after = received.as_ref().and_then(|response| response.header("Retry-After")?.parse().ok());
        retry_after.map_or(RETRY_DELAY, Duration::from_secs_f64)
    }
}
