//! Placement of requests, and the queue.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{Assignment, Dispatched, Pair, State};
use crate::{
    clock::Time,
    gateway::{
        catalog::Engine,
        completion::{Completion, Prompt, target_or_default},
        digest::Share,
        directory::{Endpoint, Stage},
        fairness::Owner,
        forecast::Forecast,
        growth::Growth,
        load::Estimate,
        mechanism::Mechanism,
        placement::{Claim, Filter, Partition, Placement, Prefill, Run, View, headroom},
        queue::{Entry, Queue},
    },
    refusal::{Code, Refusal},
};

/// Retry delay for callers when an endpoint is expected to return soon.
pub const ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Shortest retry delay for callers while all endpoints are backing off.
const MIN_BACKOFF_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Bounds of the retry delay for callers that found no free memory. A shorter delay would find the
/// same runs in memory; with a longer one, many callers give up.
pub(super) const MIN_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(300);
const MAX_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(3_000);

impl<T> State<T> {
    /// Returns whether a service has endpoints, but all of them in evacuated zones.
    pub fn is_evacuated(&self, now: Time, service: &str) -> bool {
        self.view(now).is_evacuated(service)
    }

    /// Returns whether a service currently has separate prefill or decode endpoints.
    pub fn is_split(&self, now: Time, service: &str) -> bool {
        let view = self.view(now);
        view.has_stage(service, Stage::Decode) || view.has_stage(service, Stage::Prefill)
    }

    /// Assigns an endpoint to a whole request.
    pub fn place_whole(
        &mut self,
        now: Time,
        service: &str,
        filter: Filter<'_>,
    ) -> Result<Assignment, Refusal> {
        let found = self.view(now).pick_whole(service, filter);
        let share = Share { running: 1, ..Share::default() };
        let Some(endpoint) = found else {
            let refusal = self.no_whole_endpoint(now, service);
            if self.view(now).shortest_throttle_wait(service, Stage::Whole).is_some() {
                self.loans.record_unmet(now, service, 1);
            }
            return Err(refusal);
        };
        Ok(self.assign(now, endpoint, share, None))
    }

    /// Returns the refusal of a whole request for which there is no endpoint at the moment.
    pub(super) fn no_whole_endpoint(&self, now: Time, service: &str) -> Refusal {
        let view = self.view(now);
        let throttle_wait = view.shortest_throttle_wait(service, Stage::Whole);
        let backoff = view.shortest_backoff(service, Stage::Whole).or(throttle_wait);
        no_endpoint(backoff.map_or(ENDPOINT_RETRY_AFTER, |backoff| backoff.max(MIN_BACKOFF_RETRY_AFTER)))
    }

    /// Assigns another prefill endpoint to a prompt; `None` if none is available.
    pub fn place_prefill(&mut self, now: Time, prompt: &Prompt) -> Option<Assignment> {
        let Prompt { service, tokens, ttft_target, zone, avoid, software_version } = prompt;
        let ttft_target = target_or_default(*ttft_target);
        let filter = Filter { avoid, software_version: Some(software_version) };
        let Prefill::Endpoint(endpoint) =
            self.view(now).pick_prefill(service, *tokens, ttft_target, zone, filter)
        else {
            return None;
        };
        Some(self.assign_prefill(now, endpoint, *tokens, ttft_target))
    }

    /// Queues a completion; [`Self::dispatch`] returns it once it is placed or has expired.
    pub fn enqueue(&mut self, now: Time, completion: Completion, tag: T) {
        let forecast = self.start_forecast(now, &completion.service);
        let engine = self.engine(&completion.service);
        if let Some(engine) = &engine {
            self.pools.record_request(now, &completion.service, engine, completion.size);
        }
        self.mixes.entry(completion.service.clone()).or_default().record(now, completion.priority);
        let mut entry = completion.into_entry(&forecast, tag);
        // A request that needs more than an endpoint's memory reserves all of it and runs alone.
        entry.memory = entry.memory.min(engine.map_or(u64::MAX, |engine| engine.memory));
        self.queue.push(entry);
    }

    /// Returns the retry delay for callers that found no free memory for a service.
    pub fn memory_retry_after(&self, now: Time, service: &str) -> Duration {
        if let Some(backoff) = self.view(now).shortest_backoff(service, Stage::Decode) {
            return backoff.max(MIN_BACKOFF_RETRY_AFTER);
        }
        let half = self.forecasts.service(service).half_decode_time();
        half.map_or(ENDPOINT_RETRY_AFTER, |half| half.clamp(MIN_MEMORY_RETRY_AFTER, MAX_MEMORY_RETRY_AFTER))
    }

    /// Removes requests from the queue that can be placed now or have expired, and returns them.
    pub fn dispatch(&mut self, now: Time) -> Vec<Dispatched<T>> {
        if self.catalog.is_none() {
            return Vec::new();
        }
        let mut queue = std::mem::take(&mut self.queue);
        queue.expire(|entry| self.lacks_version(now, entry) || self.is_held_off(entry));
        if !self.directory.evacuations().is_empty() {
            let view = self.view(now);
            queue.expire(|entry| view.is_evacuated(&entry.service));
        }
        if !self.loads.backoffs.is_empty() {
            let view = self.view(now);
            queue.expire(|entry| {
                let backoff = view.shortest_backoff(&entry.service, Stage::Decode);
                backoff.is_some_and(|backoff| now.plus(backoff) > entry.hard_deadline)
            });
        }
        if !self.gate.is_empty() {
            self.expire_without_turn(now, &mut queue);
        }
        self.expire_out_of_reach(now, &mut queue);
        self.mark_over_share(now, &mut queue);
        let placed = queue.dispatch(now, |entry| self.place(now, entry));
        self.queue = queue;
        self.record_waiting(now);
        self.record_unmet(now);
        placed
    }

    /// Returns whether a request needs a software version that no endpoint of its service has.
    pub fn lacks_version(&self, now: Time, entry: &Entry<T>) -> bool {
        let version = entry.software_version.as_deref();
        version.is_some_and(|version| !self.view(now).serves_version(&entry.service, Stage::Decode, version))
    }

    /// Records the queued requests that wait for a turn at throttled endpoints.
    fn record_unmet(&mut self, now: Time) {
        if self.gate.is_empty() || self.queue.is_empty() {
            return;
        }
        let view = self.view(now);
        let is_throttled = |service: &str| {
            let stages = [Stage::Decode, Stage::Prefill].into_iter();
            stages.filter_map(|stage| view.shortest_throttle_wait(service, stage)).next().is_some()
        };
        let waiting: Vec<Arc<str>> =
            self.queue.services().into_iter().filter(|service| is_throttled(service)).collect();
        for service in waiting {
            self.loans.record_unmet(now, &service, 1);
        }
    }

    /// Expires requests that cannot get a turn before their deadline, because all endpoints of their service are
    /// throttled and others come first.
    fn expire_without_turn(&mut self, now: Time, queue: &mut Queue<T>) {
        let view = self.view(now);
        let mut unmet: BTreeMap<Arc<str>, u32> = BTreeMap::new();
        let mut taken: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        queue.sort(now);
        queue.expire(|entry| {
            let Some(turns) = view.turns_before(&entry.service, Stage::Decode, entry.hard_deadline) else {
                return false;
            };
            let taken = taken.entry(entry.service.clone()).or_default();
            let has_turn = *taken < turns;
            *taken += u64::from(has_turn);
            *unmet.entry(entry.service.clone()).or_default() += u32::from(!has_turn);
            !has_turn
        });
        for (service, count) in unmet.into_iter().filter(|(_, count)| *count > 0) {
            self.loans.record_unmet(now, &service, count);
        }
    }

    /// Assigns endpoints to a completion; `None` if it has to stay queued.
    fn place(&mut self, now: Time, entry: &Entry<T>) -> Option<Pair> {
        let Entry { service, size, memory, ttft_target, .. } = entry;
        let engine = self.engine(service)?;
        let spread = self.forecasts.service(service).output_length_or_default().spread;
        let run = self.run(now, &engine, entry);
        if self.yields_to_others(now, entry, &engine, &run) {
            return None;
        }
        let Some(Placement { endpoint, prefill }) = self.view(now).pick_pair(service, &engine, &run) else {
            self.yields.end(service);
            return None;
        };
        if self.must_yield(now, entry, &engine, &run, &endpoint) {
            return None;
        }
        let prefill_tokens = if prefill.is_some() { 0 } else { size.prompt };
        let share = Share { running: 1, memory: *memory, prefill_tokens, ..Share::default() };
        let owner = Owner { service: service.clone(), customer: entry.customer.clone() };
        let estimate = Estimate { size: *size, spread };
        let decode = self.assign(now, endpoint, share, Some((estimate, owner)));
        let prefill = prefill.map(|prefill| self.assign_prefill(now, prefill, size.prompt, *ttft_target));
        Some(Pair { decode, prefill })
    }

    /// Returns the run that a queued request needs.
    pub(super) fn run<'e, U>(&self, now: Time, engine: &Engine, entry: &'e Entry<U>) -> Run<'e> {
        let Entry { service, size, target_gap, ttft_target, deadline, .. } = entry;
        let spread = self.forecasts.service(service).output_length_or_default().spread;
        let claim = Claim { output: size.expected_output, deadline: *deadline };
        Run {
            prompt: size.prompt,
            growth: Growth::for_run(*size, 0, spread),
            headroom: headroom(engine, entry.is_late(now)),
            target_gap: *target_gap,
            ttft_target: *ttft_target,
            claim: self.uses(service, Mechanism::Speed).then_some(claim),
            filter: Filter { avoid: &entry.avoid, software_version: entry.software_version.as_deref() },
        }
    }

    /// Returns the forecast by which the start deadlines of a service's requests are computed: that of the fastest endpoints,
    /// if they differ much.
    pub(super) fn start_forecast(&self, now: Time, service: &str) -> Forecast {
        let forecast = self.forecasts.service(service);
        if self.uses(service, Mechanism::Speed) {
            forecast.slowed(self.forecasts.fastest(now, service))
        } else {
            forecast
        }
    }

    /// Summarizes the queue and the decode pool of a service on one line, for logs of refusals.
    pub fn describe(&self, now: Time, service: &str) -> String {
        let queued = self.queue.len();
        format!("{queued} requests queued; {}", self.view(now).describe(service, Stage::Decode))
    }

    /// Removes queued requests whose callers have disconnected.
    pub fn retain_queued(&mut self, keep: impl Fn(&T) -> bool) {
        self.queue.retain(keep);
    }

    /// Returns the number of queued requests.
    pub fn queue_length(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn view(&self, now: Time) -> View<'_> {
        View {
            now,
            directory: &self.directory,
            gate: &self.gate,
            loads: &self.loads,
            pools: &self.pools,
            forecasts: &self.forecasts,
            zone: &self.identity.zone,
            replica: &self.identity.name,
            partition: self.partition(),
        }
    }

    fn partition(&self) -> Partition {
        Partition { index: self.peers.position(), count: self.peers.count() }
    }

    fn assign(
        &mut self,
        now: Time,
        endpoint: Arc<Endpoint>,
        share: Share,
        run: Option<(Estimate, Owner)>,
    ) -> Assignment {
        // The endpoint is open by now, as a placement requires.
        if self.gate.is_throttled(now, &endpoint.id) {
            self.loans.record_used(now, &endpoint.service);
        }
        let _ = self.gate.take(now, &endpoint.id, Duration::ZERO);
        self.loads.outages.record_sent(now, &endpoint.id);
        let (output, owner) = run.unzip();
        let lease = self.loads.acquire_run(now, &endpoint.id, share, output, owner);
        Assignment { endpoint, lease, prefill_tokens: 0, prefill_timeout: Duration::ZERO }
    }

    fn assign_prefill(
        &mut self,
        now: Time,
        endpoint: Arc<Endpoint>,
        prompt: u64,
        ttft_target: Duration,
    ) -> Assignment {
        let queued = self.loads.get(&endpoint.id).map_or(0, |load| load.total(now).prefill_tokens);
        let (service, id) = (&endpoint.service, &endpoint.id);
        let forecast = if self.uses(service, Mechanism::Speed) {
            self.forecasts.longest_prefill(now, service, id)
        } else {
            self.forecasts.endpoint(now, service, id)
        };
        let prefill_tokens = queued + prompt;
        let prefill_timeout = forecast.prefill_timeout(prefill_tokens, ttft_target);
        let share = Share { prefill_tokens: prompt, ..Share::default() };
        Assignment { prefill_tokens, prefill_timeout, ..self.assign(now, endpoint, share, None) }
    }
}

/// Returns the refusal of a request for which there is no endpoint at the moment.
pub fn no_endpoint(retry_after: Duration) -> Refusal {
    Refusal::not_run(Code::NoEndpoint, "no endpoint is available").with_retry_after(retry_after)
}
