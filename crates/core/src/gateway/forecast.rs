//! How long parts of a request take and what memory they need, learned from what requests took.
//!
//! Engines differ by orders of magnitude, and one changes its speed with its load and its health. So
//! nothing here comes from the sheet of an engine: each endpoint's times are fitted to what this
//! entry's requests saw there, and a service's are those of the endpoint in the middle. Nobody is
//! refused by a forecast that no observation confirms.
//!
//! Memory: some thirty numbers an endpoint that was used, dropped when it is gone.

mod answer;
mod fit;
mod rate;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

pub use self::{answer::Answer, fit::Trend};
use self::{
    answer::{Answers, together},
    fit::{Fit, middle},
    rate::Rate,
};
use crate::clock::Time;

/// Reading may take this many times as long as expected: others' word of what they sent comes late,
/// and some endpoints are slow.
const READING_PATIENCE: u32 = 2;
/// Part of the aim that an idle endpoint may take longer than expected. One that has gone dark shows in
/// nothing else, and a prompt asked again by then can still be on time.
const READING_SLACK: f64 = 0.45;

/// A decode endpoint that reads a prompt between the tokens of its runs does so at half the speed of one
/// that only reads, by the platform's protocol; assumed until it was seen.
const OWN_READING: f64 = 2.0;

/// Seconds for each token of a prompt, before any was read.
const START_READING: f64 = 20e-6;
/// Seconds to a first event, before any was seen.
const START_FIRST: f64 = 0.05;
/// Seconds between two events, before any was seen.
const START_EVENT: f64 = 0.05;

/// Longest time of a run that is told, seconds: far above every deadline, and far below what a duration
/// holds.
const LONGEST_RUN: f64 = 1e8;

/// A size at which rates are compared; any does, since they grow in proportion.
const PROMPT: u64 = 1_000;

/// What was seen of an endpoint counts for this long; then it is taken to be like the others, so that
/// one that was slow gets work again.
const FRESH: Duration = Duration::from_secs(10);

/// How far above its estimate an answer is expected while the balancer still sends callers to a process
/// that stops, in spreads of their logarithm: nine in ten are shorter. Other entries may be stopping in
/// the same seconds, so a refusal may be the caller's last.
const GUESS: f64 = 1.3;
/// The same later, when other entries take new callers: a refusal costs them some 50 ms, while a stream
/// that may run once is lost when it is cut. Three answers in a thousand are longer.
const CAREFUL_GUESS: f64 = 2.75;

/// Memory that a run takes on average over its time, tokens: its answer grows from nothing to
/// `expected`. Runs at different points of their answers take such means together; promising each its
/// longest answer leaves a part of the memory of a full endpoint empty.
pub fn memory(prompt: u64, expected: u64) -> u64 {
    prompt + expected / 2
}

/// What a stream asks for, tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// Its prompt.
    pub prompt: u64,
    /// Its answer as the caller estimates it; at most `most`.
    pub expected: u64,
    /// Its longest answer.
    pub most: u64,
}

/// What a request showed of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A prompt was read, behind those that were there before it.
    Read {
        /// Prompt tokens, of those before it too.
        tokens: u64,
        /// From sending it to the answer.
        took: Duration,
    },
    /// A prompt was not read within this time, and not waited for any longer.
    Unread {
        /// Prompt tokens, of those before it too.
        tokens: u64,
        /// How long it was waited for.
        waited: Duration,
    },
    /// A run from a prompt read elsewhere has begun.
    Started {
        /// Prompt tokens.
        prompt: u64,
        /// From sending it to the first event.
        took: Duration,
    },
    /// A run has begun whose prompt the endpoint read itself.
    ReadAndStarted {
        /// Prompt tokens.
        prompt: u64,
        /// From sending it to the first event.
        took: Duration,
    },
    /// Events came.
    Paced {
        /// How many.
        events: u64,
        /// In this time.
        span: Duration,
    },
    /// An answer ended well.
    Ended {
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
    pub reading: Option<Trend>,
    /// From sending a run to its first event, by tokens of its prompt.
    pub first: Option<Trend>,
    /// Reading prompts beside runs, by tokens.
    pub own_reading: Option<Trend>,
    /// Between two events, by tokens in memory.
    pub event: Option<Trend>,
    /// Tokens in memory that `event` was mostly seen with.
    pub memory: u64,
    /// How answers compare to estimates.
    pub answer: Option<Answer>,
}

impl Forecast {
    /// How long reading takes.
    pub fn reading_time(&self, tokens: u64) -> Duration {
        self.reading.unwrap_or(Trend { base: 0.0, slope: START_READING }).at(tokens)
    }

    /// How long to wait for a prompt to be read, with `tokens` in all to be read until then, before
    /// another endpoint is asked.
    pub fn reading_limit(&self, tokens: u64, aim: Duration) -> Duration {
        let limit = self.reading_time(tokens) * READING_PATIENCE + aim.mul_f64(READING_SLACK);
        if self.reading.is_some() { limit } else { limit.max(aim) }
    }

    /// How long the runs of a decode endpoint pause, altogether, while it reads a prompt.
    pub fn own_reading_time(&self, tokens: u64) -> Duration {
        match self.own_reading {
            Some(own) => own.at(tokens),
            None => self.reading_time(tokens).mul_f64(OWN_READING),
        }
    }

    /// From sending a run to its first event.
    pub fn first_event(&self, prompt: u64) -> Duration {
        self.first.unwrap_or(Trend { base: START_FIRST, slope: 0.0 }).at(prompt)
    }

    /// Time between two events of a run at an endpoint with as much in memory as was mostly seen.
    pub fn event_gap(&self) -> Duration {
        self.event_gap_beside(self.memory)
    }

    fn event_gap_beside(&self, memory: u64) -> Duration {
        self.event.unwrap_or(Trend { base: START_EVENT, slope: 0.0 }).at(memory)
    }

    /// How answers compare to estimates, as far as it is known.
    pub fn lengths(&self) -> Answer {
        self.answer.unwrap_or_default()
    }

    /// How long a run takes behind its first event, for a number of tokens, at an endpoint with as much in
    /// memory as was mostly seen.
    pub fn run_time(&self, tokens: u64) -> Duration {
        self.run_time_beside(tokens, self.memory)
    }

    /// The same at an endpoint with `memory` tokens in memory.
    pub fn run_time_beside(&self, tokens: u64, memory: u64) -> Duration {
        let gap = self.event_gap_beside(memory).as_secs_f64();
        let events = tokens as f64 / self.lengths().event_tokens.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64((gap * events).min(LONGEST_RUN))
    }

    /// Whether times of runs rest on observations.
    pub fn knows_runs(&self) -> bool {
        self.event.is_some() && self.answer.is_some()
    }

    /// The time from placing a request to its end that is certain enough to refuse it for; zero where
    /// nothing was seen.
    pub fn certain_time(&self, size: Size) -> Duration {
        if !self.knows_runs() {
            return Duration::ZERO;
        }
        self.certain_first(size.prompt) + self.run_time(size.expected)
    }

    /// The same up to the first event.
    pub fn certain_first(&self, prompt: u64) -> Duration {
        let reading = self.reading.map_or(Duration::ZERO, |trend| trend.at(prompt));
        let first = self.first.map_or(Duration::ZERO, |trend| trend.at(prompt));
        reading + first
    }

    /// Half the time of a run, after which half of what is in memory has ended; none if it is unknown.
    pub fn half_run(&self) -> Option<Duration> {
        self.knows_runs().then(|| self.event_gap().mul_f64(self.lengths().events / 2.0))
    }

    /// Whether a stream that begins now at a process that stops ends within `left`. `is_sent_here` tells
    /// that the balancer may not have noticed the stop yet.
    pub fn ends_within(&self, left: Duration, size: Size, is_sent_here: bool) -> bool {
        let spreads = if is_sent_here { GUESS } else { CAREFUL_GUESS };
        let factor = (self.lengths().spread * spreads).exp();
        let answer = ((size.expected as f64 * factor) as u64).min(size.most);
        self.first_event(size.prompt) + self.reading_time(size.prompt) + self.run_time(answer) < left
    }
}

/// What was seen of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct Speed {
    reading: Rate,
    first: Fit,
    own_reading: Rate,
    event: Fit,
}

#[derive(Clone, Debug, Default)]
struct Service {
    endpoints: BTreeMap<Arc<str>, Speed>,
    answers: Answers,
    /// Of the endpoint in the middle, as of the last [`Forecasts::settle`].
    typical: Forecast,
    /// The same by another entry; stands in while this one has seen nothing.
    told: Forecast,
    /// What each other entry saw of answers. Each sees few, and together they know several times sooner how
    /// long answers are.
    told_answers: BTreeMap<Arc<str>, Answer>,
}

impl Service {
    fn speed(&mut self, endpoint: &Arc<str>) -> &mut Speed {
        self.endpoints.entry(endpoint.clone()).or_default()
    }

    fn settle(&mut self) {
        // Endpoints that have gone dark say nothing of how fast the others are, unless no other is left.
        let rate = |of: fn(&Speed) -> &Rate| {
            let rates = || self.endpoints.values().map(of);
            let known = |rate: &Rate| Some((rate.trend()?, PROMPT));
            let answering = middle(rates().filter(|rate| rate.answers()).filter_map(known));
            answering.or_else(|| middle(rates().filter_map(known))).map(|(trend, _)| trend)
        };
        let fit = |of: fn(&Speed) -> &Fit| {
            let fits = self.endpoints.values().map(of);
            middle(fits.filter_map(|fit| Some((fit.trend()?, fit.size()))))
        };
        let (reading, own_reading) = (rate(|speed| &speed.reading), rate(|speed| &speed.own_reading));
        let first = fit(|speed| &speed.first).map(|(trend, _)| trend);
        let event = fit(|speed| &speed.event);
        self.typical = Forecast {
            reading: reading.or(self.told.reading),
            first: first.or(self.told.first),
            own_reading: own_reading.or(self.told.own_reading),
            event: event.map(|(trend, _)| trend).or(self.told.event),
            memory: event.map_or(self.told.memory, |(_, memory)| memory),
            answer: together(self.answers.answer().iter().chain(self.told_answers.values())),
        };
    }
}

/// The forecasts of all services.
#[derive(Clone, Debug, Default)]
pub struct Forecasts(BTreeMap<Arc<str>, Service>);

impl Forecasts {
    /// Takes what a request showed of an endpoint that has `memory` tokens in memory.
    pub fn note(
        &mut self,
        now: Time,
        service: &Arc<str>,
        endpoint: &Arc<str>,
        memory: u64,
        observation: Observation,
    ) {
        let service = self.0.entry(service.clone()).or_default();
        match observation {
            Observation::Read { tokens, took } => service.speed(endpoint).reading.note(now, tokens, took),
            Observation::Unread { tokens, waited } => {
                service.speed(endpoint).reading.note_at_least(now, tokens, waited)
            }
            Observation::Started { prompt, took } => service.speed(endpoint).first.note(now, prompt, took),
            Observation::ReadAndStarted { prompt, took } => {
                let reading = took.saturating_sub(service.typical.first_event(prompt));
                service.speed(endpoint).own_reading.note(now, prompt, reading);
            }
            Observation::Paced { events, span } => {
                service.speed(endpoint).event.note(now, memory, span.div_f64(events.max(1) as f64));
            }
            Observation::Ended { expected, events } => service.answers.note(expected, events),
        }
    }

    /// Works out what is typical of each service; call it several times a second.
    pub fn settle(&mut self) {
        self.0.values_mut().for_each(Service::settle);
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
        let is_fresh = |at: Time| now.since(at) < FRESH;
        let rate = |rate: &Rate| rate.trend().filter(|_| is_fresh(rate.at()));
        let fit = |fit: &Fit| fit.trend().filter(|_| is_fresh(fit.at()));
        let event = fit(&speed.event);
        Forecast {
            reading: rate(&speed.reading).or(typical.reading),
            first: fit(&speed.first).or(typical.first),
            own_reading: rate(&speed.own_reading).or(typical.own_reading),
            event: event.or(typical.event),
            memory: if event.is_some() { speed.event.size() } else { typical.memory },
            answer: typical.answer,
        }
    }

    /// What is typical, by service.
    pub fn typical(&self) -> BTreeMap<Arc<str>, Forecast> {
        self.0.iter().map(|(name, service)| (name.clone(), service.typical)).collect()
    }

    /// The same for the other entries: of answers only those seen here, so that none counts twice.
    pub fn own(&self) -> BTreeMap<Arc<str>, Forecast> {
        let mut own = self.typical();
        own.retain(|_, forecast| *forecast != Forecast::default());
        for (name, forecast) in &mut own {
            forecast.answer = self.0[name].answers.answer();
        }
        own
    }

    /// Takes what another entry finds typical.
    pub fn heard(&mut self, peer: &Arc<str>, told: &BTreeMap<Arc<str>, Forecast>) {
        for (name, forecast) in told {
            let service = self.0.entry(name.clone()).or_default();
            service.told = *forecast;
            if let Some(answer) = forecast.answer {
                service.told_answers.insert(peer.clone(), answer);
            }
            if service.typical == Forecast::default() {
                service.settle();
            }
        }
    }

    /// Forgets what an entry told that is gone.
    pub fn forget_peer(&mut self, peer: &str) {
        for service in self.0.values_mut() {
            service.told_answers.remove(peer);
        }
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, service: &str, endpoint: &str) {
        if let Some(service) = self.0.get_mut(service) {
            service.endpoints.remove(endpoint);
        }
    }
}
