//! How long parts of a request take and what memory they need, learned from what requests took.
//!
//! Engines differ by orders of magnitude, and one changes its speed with its load and its health. So
//! nothing here comes from the sheet of an engine: each endpoint's times are fitted to what this
//! entry's requests saw there, and a service's are those of the endpoint in the middle. Nobody is
//! refused by a forecast that no observation confirms.
//!
//! Memory: some thirty numbers an endpoint that was used, dropped when it is gone.

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
use crate::clock::Time;

/// Reading may take this many times as long as expected: others' word of what they sent comes late,
/// and some endpoints are slow.
const PREFILL_TIMEOUT_FACTOR: u32 = 2;
/// Part of the aim that an idle endpoint may take longer than expected. One that has gone dark shows in
/// nothing else, and a prompt asked again by then can still be on time.
const PREFILL_TIMEOUT_SLACK: f64 = 0.45;

/// A decode endpoint that reads a prompt between the tokens of its runs does so at half the speed of one
/// that only reads, by the platform's protocol; assumed until it was seen.
const LOCAL_PREFILL_SLOWDOWN: f64 = 2.0;

/// Seconds for each token of a prompt, before any was read.
const DEFAULT_PREFILL_SECS_PER_TOKEN: f64 = 20e-6;
/// Seconds to a first event, before any was seen.
const DEFAULT_FIRST_EVENT_SECS: f64 = 0.05;
/// Seconds between two events, before any was seen.
const DEFAULT_EVENT_INTERVAL_SECS: f64 = 0.05;

/// Longest time of a run that is peer, seconds: far above every deadline, and far below what a duration
/// holds.
const MAX_DECODE_SECS: f64 = 1e8;

/// A size at which rates are compared; any does, since they grow in proportion.
const REFERENCE_PROMPT_TOKENS: u64 = 1_000;

/// What was seen of an endpoint counts for this long; then it is taken to be like the others, so that
/// one that was slow gets work again.
const ENDPOINT_DATA_TTL: Duration = Duration::from_secs(10);

/// How far above its estimate an answer is expected while the balancer still sends callers to a process
/// that stops, in sigmas of their logarithm: nine in ten are shorter. Other entries may be stopping in
/// the same seconds, so a refusal may be the caller's last.
const LENGTH_SIGMAS: f64 = 1.3;
/// The same later, when other entries take new callers: a refusal costs them some 50 ms, while a stream
/// that may run once is lost when it is cut. Three answers in a thousand are longer.
const STRICT_LENGTH_SIGMAS: f64 = 2.75;

/// Memory that a run takes on average over its time, tokens: its answer grows from nothing to
/// `expected`. Runs at different points of their answers take such means together; promising each its
/// longest answer leaves a part of the memory of a full endpoint empty.
pub fn mean_memory(prompt: u64, expected_output: u64) -> u64 {
    prompt + expected_output / 2
}

/// What a stream asks for, tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// Its prompt.
    pub prompt: u64,
    /// Its answer as the caller estimates it; at most `most`.
    pub expected_output: u64,
    /// Its longest answer.
    pub max_output: u64,
}

/// What a request showed of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A prompt was read, behind those that were there before it.
    Prefill {
        /// Prompt tokens, of those before it too.
        tokens: u64,
        /// From sending it to the answer.
        took: Duration,
    },
    /// A prompt was not read within this time, and not waited for any longer.
    PrefillTimeout {
        /// Prompt tokens, of those before it too.
        tokens: u64,
        /// How long it was waited for.
        waited: Duration,
    },
    /// A run from a prompt read elsewhere has begun.
    FirstEvent {
        /// Prompt tokens.
        prompt: u64,
        /// From sending it to the first event.
        took: Duration,
    },
    /// A run has begun whose prompt the endpoint read itself.
    LocalPrefill {
        /// Prompt tokens.
        prompt: u64,
        /// From sending it to the first event.
        took: Duration,
    },
    /// Events came.
    Events {
        /// How many.
        events: u64,
        /// In this time.
        span: Duration,
    },
    /// An answer ended well.
    Completed {
        /// Tokens that the caller expected.
        expected: u64,
        /// Events that came.
        events: u64,
    },
}

/// What is known of one endpoint, or of all endpoints of a service together; `None` where nothing was
/// seen.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// Reading prompts, by tokens.
    pub prefill: Option<Trend>,
    /// From sending a run to its first event, by tokens of its prompt.
    pub first_event: Option<Trend>,
    /// Reading prompts beside runs, by tokens.
    pub local_prefill: Option<Trend>,
    /// Between two events, by tokens in memory.
    pub event_interval: Option<Trend>,
    /// Tokens in memory that `event` was mostly seen with.
    pub memory: u64,
    /// How answers compare to estimates.
    pub output_length: Option<OutputLength>,
}

impl Forecast {
    /// How long reading takes.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        self.prefill.unwrap_or(Trend { base: 0.0, slope: DEFAULT_PREFILL_SECS_PER_TOKEN }).at(tokens)
    }

    /// How long to wait for a prompt to be read, with `tokens` in all to be read until then, before
    /// another endpoint is asked.
    pub fn prefill_timeout(&self, tokens: u64, aim: Duration) -> Duration {
        let limit = self.prefill_time(tokens) * PREFILL_TIMEOUT_FACTOR + aim.mul_f64(PREFILL_TIMEOUT_SLACK);
        if self.prefill.is_some() { limit } else { limit.max(aim) }
    }

    /// How long the runs of a decode endpoint pause, altogether, while it reads a prompt.
    pub fn local_prefill_time(&self, tokens: u64) -> Duration {
        match self.local_prefill {
            Some(own) => own.at(tokens),
            None => self.prefill_time(tokens).mul_f64(LOCAL_PREFILL_SLOWDOWN),
        }
    }

    /// From sending a run to its first event.
    pub fn first_event_time(&self, prompt: u64) -> Duration {
        self.first_event.unwrap_or(Trend { base: DEFAULT_FIRST_EVENT_SECS, slope: 0.0 }).at(prompt)
    }

    /// Time between two events of a run at an endpoint with as much in memory as was mostly seen.
    pub fn typical_event_interval(&self) -> Duration {
        self.event_interval_at(self.memory)
    }

    fn event_interval_at(&self, memory: u64) -> Duration {
        self.event_interval.unwrap_or(Trend { base: DEFAULT_EVENT_INTERVAL_SECS, slope: 0.0 }).at(memory)
    }

    /// How answers compare to estimates, as far as it is known.
    pub fn output_length_or_default(&self) -> OutputLength {
        self.output_length.unwrap_or_default()
    }

    /// How long a run takes behind its first event, for a number of tokens, at an endpoint with as much in
    /// memory as was mostly seen.
    pub fn decode_time(&self, tokens: u64) -> Duration {
        self.decode_time_at(tokens, self.memory)
    }

    /// The same at an endpoint with `memory` tokens in memory.
    pub fn decode_time_at(&self, tokens: u64, memory: u64) -> Duration {
        let gap = self.event_interval_at(memory).as_secs_f64();
        let events = tokens as f64 / self.output_length_or_default().event_tokens.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64((gap * events).min(MAX_DECODE_SECS))
    }

    /// Whether times of runs rest on observations.
    pub fn has_decode_data(&self) -> bool {
        self.event_interval.is_some() && self.output_length.is_some()
    }

    /// The time from placing a request to its end that is certain enough to refuse it for; zero where
    /// nothing was seen.
    pub fn known_total_time(&self, size: Size) -> Duration {
        if !self.has_decode_data() {
            return Duration::ZERO;
        }
        self.known_first_event_time(size.prompt) + self.decode_time(size.expected_output)
    }

    /// The same up to the first event.
    pub fn known_first_event_time(&self, prompt: u64) -> Duration {
        let prefill = self.prefill.map_or(Duration::ZERO, |trend| trend.at(prompt));
        let first_event = self.first_event.map_or(Duration::ZERO, |trend| trend.at(prompt));
        prefill + first_event
    }

    /// Half the time of a run, after which half of what is in memory has ended; none if it is unknown.
    pub fn half_decode_time(&self) -> Option<Duration> {
        self.has_decode_data()
            .then(|| self.typical_event_interval().mul_f64(self.output_length_or_default().events / 2.0))
    }

    /// Whether a stream that begins now at a process that stops ends within `left`. `is_in_rotation` tells
    /// that the balancer may not have noticed the stop yet.
    pub fn finishes_within(&self, left: Duration, size: Size, is_in_rotation: bool) -> bool {
        let sigmas = if is_in_rotation { LENGTH_SIGMAS } else { STRICT_LENGTH_SIGMAS };
        let factor = (self.output_length_or_default().spread * sigmas).exp();
        let answer = ((size.expected_output as f64 * factor) as u64).min(size.max_output);
        self.first_event_time(size.prompt) + self.prefill_time(size.prompt) + self.decode_time(answer) < left
    }
}

/// What was seen of one endpoint.
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
    output_lengths: OutputLengths,
    /// Of the endpoint in the median, as of the last [`Forecasts::recompute`].
    typical: Forecast,
    /// The same by another entry; stands in while this one has seen nothing.
    peer: Forecast,
    /// What each other entry saw of answers. Each sees few, and together they know several times sooner how
    /// long answers are.
    peer_output_lengths: BTreeMap<Arc<str>, OutputLength>,
}

impl Service {
    fn speed(&mut self, endpoint: &Arc<str>) -> &mut Speed {
        self.endpoints.entry(endpoint.clone()).or_default()
    }

    fn recompute(&mut self) {
        // Endpoints that have gone dark say nothing of how fast the others are, unless no other is left.
        let rate = |of: fn(&Speed) -> &Rate| {
            let rates = || self.endpoints.values().map(of);
            let known = |rate: &Rate| Some((rate.trend()?, REFERENCE_PROMPT_TOKENS));
            let answering = median(rates().filter(|rate| rate.is_responsive()).filter_map(known));
            answering.or_else(|| median(rates().filter_map(known))).map(|(trend, _)| trend)
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

/// The forecasts of all services.
#[derive(Clone, Debug, Default)]
pub struct Forecasts(BTreeMap<Arc<str>, Service>);

impl Forecasts {
    /// Takes what a request showed of an endpoint that has `memory` tokens in memory.
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
                service.speed(id).event_interval.add(now, memory, span.div_f64(events.max(1) as f64));
            }
            Observation::Completed { expected, events } => service.output_lengths.add(expected, events),
        }
    }

    /// Works out what is typical of each service; call it several times a second.
    pub fn recompute(&mut self) {
        self.0.values_mut().for_each(Service::recompute);
    }

    /// What is typical of a service.
    pub fn service(&self, service: &str) -> Forecast {
        self.0.get(service).map(|service| service.typical).unwrap_or_default()
    }

    /// The same for one endpoint, by what was seen there of late.
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

    /// What is typical, by service.
    pub fn typical(&self) -> BTreeMap<Arc<str>, Forecast> {
        self.0.iter().map(|(name, service)| (name.clone(), service.typical)).collect()
    }

    /// The same for the other entries: of answers only those seen here, so that none counts twice.
    pub fn local(&self) -> BTreeMap<Arc<str>, Forecast> {
        let mut own = self.typical();
        own.retain(|_, forecast| *forecast != Forecast::default());
        for (name, forecast) in &mut own {
            forecast.output_length = self.0[name].output_lengths.estimate();
        }
        own
    }

    /// Takes what another entry finds typical.
    pub fn merge_peer(&mut self, peer: &Arc<str>, forecasts: &BTreeMap<Arc<str>, Forecast>) {
        for (name, forecast) in forecasts {
            let service = self.0.entry(name.clone()).or_default();
            service.peer = *forecast;
            if let Some(answer) = forecast.output_length {
                service.peer_output_lengths.insert(peer.clone(), answer);
            }
            if service.typical == Forecast::default() {
                service.recompute();
            }
        }
    }

    /// Forgets what an entry told that is gone.
    pub fn forget_peer(&mut self, peer: &str) {
        for service in self.0.values_mut() {
            service.peer_output_lengths.remove(peer);
        }
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, service: &str, endpoint: &str) {
        if let Some(service) = self.0.get_mut(service) {
            service.endpoints.remove(endpoint);
        }
    }
}
