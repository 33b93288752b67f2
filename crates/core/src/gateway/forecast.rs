//! Forecasts of prefill time, decode time and output length.
//!
//! Engines differ by orders of magnitude and slow down under load, so forecasts are fitted to the
//! requests that this replica observed at each endpoint, not to a specification. The forecast of a
//! service is the median over its endpoints. Without observations, default values apply, but no
//! request is refused because of a default.

mod fit;
mod output;
mod rate;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

pub use self::{fit::Trend, output::OutputLength};
use self::{
    fit::{Fit, median},
    output::{OutputLengths, weighted_mean},
    rate::Rate,
};
use super::speed::{self, Sample, Speeds};
use crate::clock::Time;

/// Factor on the forecast prefill time after which a prefill times out. Reports of other replicas'
/// prompts arrive late, and endpoint speeds vary.
const PREFILL_TIMEOUT_FACTOR: u32 = 2;
/// Time added to the prefill timeout, as a fraction of the time-to-first-token target. Short enough
/// that a second endpoint can still meet the target. An endpoint that hangs shows no other sign.
const PREFILL_TIMEOUT_SLACK: f64 = 0.45;

/// Factor by which a prefill takes longer at a decode endpoint than at a prefill endpoint, used
/// until one is observed. By the platform's protocol, a decode endpoint prefills at half the speed.
const LOCAL_PREFILL_SLOWDOWN: f64 = 2.0;

const DEFAULT_PREFILL_SECS_PER_TOKEN: f64 = 20e-6;
const DEFAULT_FIRST_EVENT_SECS: f64 = 0.05;
const DEFAULT_EVENT_INTERVAL_SECS: f64 = 0.05;

/// Upper bound of forecast decode times, so that they fit into a [`Duration`].
const MAX_DECODE_SECS: f64 = 1e8;

/// Prompt size at which endpoints' prefill rates are compared. Prefill times are proportional to
/// the size, so any value gives the same median.
const REFERENCE_PROMPT_TOKENS: u64 = 1_000;

/// Largest factor by which an observed time is corrected for the load under which it was observed.
const MAX_LOAD_CORRECTION: f64 = 2.0;

/// Age at which an endpoint's own observations are ignored and the service forecast is used
/// instead. Otherwise, an endpoint that was slow would get no requests again.
const ENDPOINT_DATA_TTL: Duration = Duration::from_secs(10);

/// Safety margin on the output length during shutdown, in standard deviations of its logarithm,
/// while the load balancer may still route callers here. In a rolling restart, the next replica may
/// be shutting down too, so a wide margin would leave callers without an alternative. Nine outputs
/// in ten are shorter.
const LENGTH_SIGMAS: f64 = 1.3;
/// The same once the load balancer routes new callers elsewhere. A refused caller then retries at
/// another replica, while a stream that cannot be resumed is lost when the process exits. Three
/// outputs in a thousand are longer.
const STRICT_LENGTH_SIGMAS: f64 = 2.75;

/// Returns the mean KV cache use of a request over its lifetime, in tokens: the output grows from
/// zero to its expected length. Runs are at different points of their outputs, so reserving the
/// largest output for each would leave a part of a full endpoint's memory unused.
pub fn mean_memory(prompt: u64, expected_output: u64) -> u64 {
    prompt + expected_output / 2
}

/// Size of a completion request, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// Length of the prompt.
    pub prompt: u64,
    /// Output length estimated by the caller, at most `max_output`.
    pub expected_output: u64,
    /// Largest output that the request allows.
    pub max_output: u64,
}

impl Size {
    /// Returns the size of the rest of a stream after `events` events. Their tokens are part of its prompt.
    pub fn after_events(self, events: u64, forecast: &Forecast) -> Self {
        let tokens = (events as f64 * forecast.output_length_or_default().event_tokens) as u64;
        Self {
            prompt: self.prompt + tokens.min(self.max_output),
            expected_output: self.expected_output.saturating_sub(tokens),
            max_output: self.max_output.saturating_sub(tokens),
        }
    }
}

/// Observation of a request at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A prefill endpoint finished a prompt.
    Prefill {
        /// Tokens of the prompt and of those queued before it.
        tokens: u64,
        /// Time from sending the prompt to the response.
        took: Duration,
    },
    /// A prefill endpoint did not finish a prompt within its timeout.
    PrefillTimeout {
        /// Tokens of the prompt and of those queued before it.
        tokens: u64,
        /// Time from sending the prompt to the timeout.
        waited: Duration,
    },
    /// The first event of a run whose prompt was processed by a prefill endpoint.
    FirstEvent {
        /// Length of the prompt, in tokens.
        prompt: u64,
        /// Time from sending the run to its first event.
        took: Duration,
    },
    /// The first event of a run whose prompt the decode endpoint processed itself.
    LocalPrefill {
        /// Length of the prompt, in tokens.
        prompt: u64,
        /// Time from sending the run to its first event.
        took: Duration,
    },
    /// Events of a run after the first.
    Events {
        /// Number of events.
        events: u64,
        /// Time in which they arrived.
        span: Duration,
    },
    /// A run completed normally.
    Completed {
        /// Output length estimated by the caller, in tokens.
        expected: u64,
        /// Number of events of the output.
        events: u64,
    },
}

/// Forecast for one endpoint or for a service. A field is `None` without enough observations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// Prefill time by prompt tokens, at a prefill endpoint.
    pub prefill: Option<Trend>,
    /// Time from sending a run to its first event, by prompt tokens.
    pub first_event: Option<Trend>,
    /// Prefill time by prompt tokens, at a decode endpoint.
    pub local_prefill: Option<Trend>,
    /// Time between two events of a run, by KV cache tokens in use.
    pub event_interval: Option<Trend>,
    /// Typical number of KV cache tokens in use when `event_interval` was observed.
    pub memory: u64,
    /// Distribution of output lengths.
    pub output_length: Option<OutputLength>,
}

impl Forecast {
    /// Returns the time a prefill endpoint needs for this many prompt tokens.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        self.prefill.unwrap_or(Trend { base: 0.0, slope: DEFAULT_PREFILL_SECS_PER_TOKEN }).at(tokens)
    }

    /// Returns the timeout after which a prompt is sent to another endpoint. `tokens` includes the
    /// prompts queued before it.
    pub fn prefill_timeout(&self, tokens: u64, ttft_target: Duration) -> Duration {
        let limit =
            self.prefill_time(tokens) * PREFILL_TIMEOUT_FACTOR + ttft_target.mul_f64(PREFILL_TIMEOUT_SLACK);
        if self.prefill.is_some() { limit } else { limit.max(ttft_target) }
    }

    /// Returns the time a decode endpoint needs to process a prompt itself; its runs stall
    /// meanwhile.
    pub fn local_prefill_time(&self, tokens: u64) -> Duration {
        match self.local_prefill {
            Some(trend) => trend.at(tokens),
            None => self.prefill_time(tokens).mul_f64(LOCAL_PREFILL_SLOWDOWN),
        }
    }

    /// Returns the time from sending a run to its first event.
    pub fn first_event_time(&self, prompt: u64) -> Duration {
        self.first_event.unwrap_or(Trend { base: DEFAULT_FIRST_EVENT_SECS, slope: 0.0 }).at(prompt)
    }

    /// Returns the time between two events at the typical memory use.
    pub fn typical_event_interval(&self) -> Duration {
        self.event_interval_at(self.memory)
    }

    /// Returns the time between two events with `memory` KV cache tokens in use.
    pub fn event_interval_at(&self, memory: u64) -> Duration {
        self.event_interval.unwrap_or(Trend { base: DEFAULT_EVENT_INTERVAL_SECS, slope: 0.0 }).at(memory)
    }

    /// Returns the distribution of output lengths, or a default without observations.
    pub fn output_length_or_default(&self) -> OutputLength {
        self.output_length.unwrap_or_default()
    }

    /// Returns the time to decode this many tokens after the first event, at the typical memory
    /// use.
    pub fn decode_time(&self, tokens: u64) -> Duration {
        self.decode_time_at(tokens, self.memory)
    }

    /// Returns the time to decode this many tokens with `memory` KV cache tokens in use.
    pub fn decode_time_at(&self, tokens: u64, memory: u64) -> Duration {
        let interval = self.event_interval_at(memory).as_secs_f64();
        let events = tokens as f64 / self.output_length_or_default().event_tokens.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64((interval * events).min(MAX_DECODE_SECS))
    }

    /// Returns the forecast of an endpoint whose event interval is this multiple of the forecast one.
    pub fn slowed(self, relative_interval: f64) -> Self {
        let event_interval = self.event_interval.map(|trend| trend.slowed(relative_interval));
        Self { event_interval, ..self }
    }

    /// Returns whether enough runs were observed to forecast decode times.
    pub fn has_decode_data(&self) -> bool {
        self.event_interval.is_some() && self.output_length.is_some()
    }

    /// Returns the time from placement to the end of a request, counting only parts that have been
    /// observed, so that no request is refused because of a default. Zero without decode data.
    pub fn known_total_time(&self, size: Size) -> Duration {
        if !self.has_decode_data() {
            return Duration::ZERO;
        }
        self.known_first_event_time(size.prompt) + self.decode_time(size.expected_output)
    }

    /// Returns the time from placement to the first event, counting only parts that have been
    /// observed.
    pub fn known_first_event_time(&self, prompt: u64) -> Duration {
        let prefill = self.prefill.map_or(Duration::ZERO, |trend| trend.at(prompt));
        let first_event = self.first_event.map_or(Duration::ZERO, |trend| trend.at(prompt));
        prefill + first_event
    }

    /// Returns half the decode time of a typical run, about when half of the memory in use becomes
    /// free. `None` without decode data.
    pub fn half_decode_time(&self) -> Option<Duration> {
        self.has_decode_data()
            .then(|| self.typical_event_interval().mul_f64(self.output_length_or_default().events / 2.0))
    }

    /// Returns whether a stream that starts now is expected to finish within `left`, the time until
    /// the process exits. `is_in_rotation` tells whether the load balancer may still route callers
    /// here.
    pub fn finishes_within(&self, left: Duration, size: Size, is_in_rotation: bool) -> bool {
        let sigmas = if is_in_rotation { LENGTH_SIGMAS } else { STRICT_LENGTH_SIGMAS };
        let factor = (self.output_length_or_default().spread * sigmas).exp();
        let output = ((size.expected_output as f64 * factor) as u64).min(size.max_output);
        self.first_event_time(size.prompt) + self.prefill_time(size.prompt) + self.decode_time(output) < left
    }
}

/// Observed times of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct Speed {
    prefill: Rate,
    first_event: Fit,
    local_prefill: Rate,
    event_interval: Fit,
}

#[derive(Clone, Debug, Default)]
struct Service {
    endpoints: BTreeMap<Arc<str>, Speed>,
    /// Speeds of the endpoints, as observed by all replicas.
    speeds: Speeds,
    output_lengths: OutputLengths,
    /// Median over the endpoints, as of the last [`Forecasts::recompute`].
    typical: Forecast,
    /// Latest forecast reported by a peer, used where this replica has no observations.
    peer: Forecast,
    /// Output lengths reported by peers, by peer; averaged, since a single replica gets few
    /// requests.
    peer_output_lengths: BTreeMap<Arc<str>, OutputLength>,
}

impl Service {
    fn speed(&mut self, endpoint: &Arc<str>) -> &mut Speed {
        self.endpoints.entry(endpoint.clone()).or_default()
    }

    /// Returns an event interval observed with `memory` KV cache tokens in use, as it would be at the typical use.
    fn at_typical_load(&self, memory: u64, interval: Duration) -> Duration {
        let typical = self.typical.typical_event_interval().as_secs_f64();
        let ratio = typical / self.typical.event_interval_at(memory).as_secs_f64().max(f64::MIN_POSITIVE);
        interval.mul_f64(ratio.clamp(1.0 / MAX_LOAD_CORRECTION, MAX_LOAD_CORRECTION))
    }

    fn recompute(&mut self) {
        self.speeds.recompute();
        // Leaves unresponsive endpoints out of the median unless all are unresponsive.
        let rate = |of: fn(&Speed) -> &Rate| {
            let rates = || self.endpoints.values().map(of);
            let known = |rate: &Rate| Some((rate.trend()?, REFERENCE_PROMPT_TOKENS));
            let responsive = median(rates().filter(|rate| rate.is_responsive()).filter_map(known));
            responsive.or_else(|| median(rates().filter_map(known))).map(|(trend, _)| trend)
        };
        let fit = |of: fn(&Speed) -> &Fit| {
            let fits = self.endpoints.values().map(of);
            median(fits.filter_map(|fit| Some((fit.trend()?, fit.size()))))
        };
        let (prefill, local_prefill) = (rate(|speed| &speed.prefill), rate(|speed| &speed.local_prefill));
        let first_event = fit(|speed| &speed.first_event).map(|(trend, _)| trend);
        let event_interval = fit(|speed| &speed.event_interval);
        self.typical = Forecast {
            prefill: prefill.or(self.peer.prefill),
            first_event: first_event.or(self.peer.first_event),
            local_prefill: local_prefill.or(self.peer.local_prefill),
            event_interval: event_interval.map(|(trend, _)| trend).or(self.peer.event_interval),
            memory: event_interval.map_or(self.peer.memory, |(_, memory)| memory),
            output_length: weighted_mean(
                self.output_lengths.estimate().iter().chain(self.peer_output_lengths.values()),
            ),
        };
    }
}

/// Forecasts of all services.
#[derive(Clone, Debug, Default)]
pub struct Forecasts(BTreeMap<Arc<str>, Service>);

impl Forecasts {
    /// Records an observation made at an endpoint with `memory` KV cache tokens in use.
    pub fn record(
        &mut self,
        now: Time,
        service: &Arc<str>,
        id: &Arc<str>,
        memory: u64,
        observation: Observation,
    ) {
        let service = self.0.entry(service.clone()).or_default();
        match observation {
            Observation::Prefill { tokens, took } => service.speed(id).prefill.add(now, tokens, took),
            Observation::PrefillTimeout { tokens, waited } => {
                service.speed(id).prefill.add_at_least(now, tokens, waited)
            }
            Observation::FirstEvent { prompt, took } => service.speed(id).first_event.add(now, prompt, took),
            Observation::LocalPrefill { prompt, took } => {
                let prefill = took.saturating_sub(service.typical.first_event_time(prompt));
                service.speed(id).local_prefill.add(now, prompt, prefill);
            }
            Observation::Events { events, span } => {
                let interval = span.div_f64(events.max(1) as f64);
                service.speed(id).event_interval.add(now, memory, interval);
                service.speeds.record(now, id, service.at_typical_load(memory, interval));
            }
            Observation::Completed { expected, events } => service.output_lengths.add(expected, events),
        }
    }

    /// Recomputes the service forecasts. Must be called several times a second.
    pub fn recompute(&mut self) {
        self.0.values_mut().for_each(Service::recompute);
    }

    /// Returns the forecast of a service.
    pub fn service(&self, service: &str) -> Forecast {
        self.0.get(service).map(|service| service.typical).unwrap_or_default()
    }

    /// Returns the forecast of one endpoint, by its own recent observations where there are any, or
    /// else by the service forecast.
    pub fn endpoint(&self, now: Time, service: &str, endpoint: &str) -> Forecast {
        let Some(service) = self.0.get(service) else { return Forecast::default() };
        let typical = service.typical;
        let Some(speed) = service.endpoints.get(endpoint) else { return typical };
        let is_fresh = |at: Time| now.since(at) < ENDPOINT_DATA_TTL;
        let rate = |rate: &Rate| rate.trend().filter(|_| is_fresh(rate.at()));
        let fit = |fit: &Fit| fit.trend().filter(|_| is_fresh(fit.at()));
        let event_interval = fit(&speed.event_interval);
        Forecast {
            prefill: rate(&speed.prefill).or(typical.prefill),
            first_event: fit(&speed.first_event).or(typical.first_event),
            local_prefill: rate(&speed.local_prefill).or(typical.local_prefill),
            event_interval: event_interval.or(typical.event_interval),
            memory: if event_interval.is_some() { speed.event_interval.size() } else { typical.memory },
            output_length: typical.output_length,
        }
    }

    /// Returns the ratio between the event intervals of slow and fast endpoints of a service; `None` with too few
    /// observations.
    pub fn speed_ratio(&self, service: &str) -> Option<f64> {
        self.speeds(service)?.ratio()
    }

    /// Returns the speeds of a service's endpoints; `None` without observations.
    pub fn speeds(&self, service: &str) -> Option<&Speeds> {
        self.0.get(service).map(|service| &service.speeds)
    }

    /// Returns the speeds of the endpoints of each service.
    pub fn all_speeds(&self) -> impl Iterator<Item = (&Arc<str>, &Speeds)> {
        self.0.iter().map(|(name, service)| (name, &service.speeds))
    }

    /// Returns an endpoint's event interval as a multiple of the typical one.
    pub fn relative_interval(&self, now: Time, service: &str, endpoint: &str) -> f64 {
        self.speeds(service).map_or(1.0, |speeds| speeds.relative_interval(now, endpoint))
    }

    /// Returns the forecast of the longest time that a prompt may take at an endpoint of an uneven service. One whose
    /// prompts this replica did not observe may be as slow as the slowest.
    pub fn longest_prefill(&self, now: Time, service: &str, endpoint: &str) -> Forecast {
        let forecast = self.endpoint(now, service, endpoint);
        let is_observed = forecast.prefill != self.service(service).prefill;
        let slowest =
            self.speeds(service).and_then(|speeds| speeds.summary(now)).map_or(1.0, |summary| summary.max);
        let slowed = forecast.prefill.map(|trend| trend.slowed(slowest));
        Forecast { prefill: if is_observed { forecast.prefill } else { slowed }, ..forecast }
    }

    /// Returns the event interval of a service's fastest endpoints as a multiple of the typical one, at most one.
    pub fn fastest(&self, now: Time, service: &str) -> f64 {
        self.speeds(service).and_then(|speeds| speeds.summary(now)).map_or(1.0, |summary| summary.min)
    }

    /// Returns the speeds that this replica has observed since it last reported them.
    pub fn take_speeds(&mut self, now: Time) -> speed::Report {
        speed::take_report(now, self.0.values_mut().map(|service| &mut service.speeds))
    }

    /// Applies the speed of an endpoint that a peer reported.
    pub fn apply_peer_speed(&mut self, now: Time, service: &Arc<str>, endpoint: &Arc<str>, sample: Sample) {
        self.0.entry(service.clone()).or_default().speeds.add(now, endpoint, sample);
    }

    /// Returns the forecasts of all services.
    pub fn typical(&self) -> BTreeMap<Arc<str>, Forecast> {
        self.0.iter().map(|(name, service)| (name.clone(), service.typical)).collect()
    }

    /// Returns the forecasts to report to peers. Output lengths include only this replica's
    /// observations, so that none counts twice.
    pub fn local(&self) -> BTreeMap<Arc<str>, Forecast> {
        let mut forecasts = self.typical();
        forecasts.retain(|_, forecast| *forecast != Forecast::default());
        for (name, forecast) in &mut forecasts {
            forecast.output_length = self.0[name].output_lengths.estimate();
        }
        forecasts
    }

    /// Applies the forecasts that a peer reported.
    pub fn apply_peer_forecasts(&mut self, peer: &Arc<str>, forecasts: &BTreeMap<Arc<str>, Forecast>) {
        for (name, forecast) in forecasts {
            let service = self.0.entry(name.clone()).or_default();
            service.peer = *forecast;
            if let Some(output_length) = forecast.output_length {
                service.peer_output_lengths.insert(peer.clone(), output_length);
            }
            if service.typical == Forecast::default() {
                service.recompute();
            }
        }
    }

    /// Removes the output lengths that a peer reported.
    pub fn remove_peer(&mut self, peer: &str) {
        for service in self.0.values_mut() {
            service.peer_output_lengths.remove(peer);
        }
    }

    /// Removes the observations of an endpoint.
    pub fn remove_endpoint(&mut self, service: &str, endpoint: &str) {
        if let Some(service) = self.0.get_mut(service) {
            service.endpoints.remove(endpoint);
            service.speeds.remove(endpoint);
        }
    }
}
