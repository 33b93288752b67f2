//! Pace at which endpoints that have just started or recovered get work.
//!
//! All replicas together may use only part of such an endpoint. The part grows with each answer that is about as fast
//! as the endpoint's and its neighbours' answers so far, and shrinks with failures, refusals and slow answers.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use super::{
    directory::Endpoint,
    forecast::{Forecast, Observation},
};
use crate::clock::{Time, decay_factor};

/// Runs for which there is room at first.
const FIRST_RUNS: u64 = 2;
/// Recent ends from which on there is room for one run only at first.
const FLAPPING_ENDS: f64 = 1.5;
/// Half-life of the memory of an endpoint's earlier ends.
const PAST_HALF_LIFE: Duration = Duration::from_secs(20);
/// Number of recent ends below which they are forgotten.
const FORGOTTEN_ENDS: f64 = 0.1;
/// Factor on the expected time within which an answer lets an endpoint take more.
const PROMPT_FACTOR: f64 = 2.0;
/// Factor on the expected time beyond which an answer counts as a failure. Endpoints of one service may differ in speed by
/// more than three.
const SLOW_FACTOR: f64 = 4.0;
/// Time after a reduction in which there is no other: requests sent before it fail too.
const REDUCTION_PAUSE: Duration = Duration::from_millis(500);
/// Age of the start, the recovery or the newest reduction at which the pace no longer holds, so that endpoints which get no
/// requests are not held back.
const LAPSE_AFTER: Duration = Duration::from_secs(10);
/// How long it is reported that an endpoint takes its full share.
const REPORT_END_FOR: Duration = Duration::from_secs(3);
/// Difference up to which two replicas' times of one reduction agree; digests take some time.
const SAME_REDUCTION_WITHIN: Duration = Duration::from_millis(250);
/// Replicas that may use an endpoint at first for each run for which it has room; as many again with each second. All replicas
/// see the same free memory and learn of each other's runs late.
const REPLICAS_PER_RUN: f64 = 4.0;
/// Parts of an engine's memory that a typical run takes if none is known, and bounds of those.
const DEFAULT_RUNS: u64 = 8;
const MIN_RUNS: u64 = 2;
const MAX_RUNS: u64 = 32;
/// Largest number of findings in a digest.
const MAX_REPORTED: usize = 32;
/// Largest number of events that wait to be logged.
const MAX_EVENTS: usize = 128;

/// What a replica found out about an endpoint's pace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Finding {
    /// Start of the endpoint's process, by its row, in Unix milliseconds.
    pub started_ms: u64,
    /// Memory that all replicas together may use there, in tokens.
    pub limit: u64,
    /// Time since the start, the recovery or the newest reduction of the limit.
    pub age: Duration,
}

/// Findings of one replica, by endpoint.
pub type Report = BTreeMap<Arc<str>, Finding>;

/// A change to be logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An endpoint gets less work than it has memory for.
    Paced {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// Memory that all replicas together may use there, in tokens.
        limit: u64,
    },
    /// An endpoint may take its full share.
    Full {
        /// Name of the endpoint.
        endpoint: Arc<str>,
        /// Answers that this replica had meanwhile.
        answers: u32,
        /// How long the pace held.
        after: Duration,
    },
}

/// What an answer shows of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It keeps up and can take more.
    Prompt,
    /// Nothing.
    Unclear,
    /// It is too slow.
    Slow,
}

/// Judges an observation by the past of the endpoint and of the service, whichever was slower.
pub fn judge(observation: &Observation, own: &Forecast, typical: &Forecast) -> Verdict {
    let slower = |time: fn(&Forecast, u64) -> Duration, tokens| time(own, tokens).max(time(typical, tokens));
    let (is_known, expected, took) = match *observation {
        Observation::Prefill { tokens, took } => {
            (typical.prefill.is_some(), slower(Forecast::prefill_time, tokens), took)
        }
        Observation::FirstEvent { prompt, took } => {
            (typical.first_event.is_some(), slower(Forecast::first_event_time, prompt), took)
        }
        Observation::LocalPrefill { prompt, took } => {
            (typical.local_prefill.is_some(), slower(Forecast::local_prefill_time, prompt), took)
        }
        Observation::Events { events, span } => {
            let expected = own.typical_event_interval().max(typical.typical_event_interval());
            let interval = span.div_f64(events.max(1) as f64);
            let is_slow = typical.event_interval.is_some() && interval > expected.mul_f64(SLOW_FACTOR);
            return if is_slow { Verdict::Slow } else { Verdict::Unclear };
        }
        Observation::PrefillTimeout { .. } => return Verdict::Slow,
        Observation::Completed { .. } => return Verdict::Unclear,
    };
    if !is_known || took <= expected.mul_f64(PROMPT_FACTOR) {
        Verdict::Prompt
    } else if took > expected.mul_f64(SLOW_FACTOR) {
        Verdict::Slow
    } else {
        Verdict::Unclear
    }
}

#[derive(Clone, Debug)]
struct Pace {
    started_ms: u64,
    since: Time,
    /// Time of the start, the recovery or the newest reduction.
    reduced_at: Time,
    /// Memory that all replicas together may use, in tokens.
    limit: u64,
    /// Memory of a typical run, in tokens; at least 1.
    run: u64,
    /// Limit from which on the endpoint takes its full share.
    full: u64,
    /// Memory by which an answer raises the limit.
    gain: u64,
    answers: u32,
    /// When the endpoint began to take its full share.
    full_at: Option<Time>,
}

/// Ends of an endpoint, with older ones counting less.
#[derive(Clone, Copy, Debug)]
struct Past {
    ends: f64,
    at: Time,
}

impl Past {
    fn ends(self, now: Time) -> f64 {
        self.ends * decay_factor(now.since(self.at), PAST_HALF_LIFE)
    }
}

/// Endpoints that have just started or recovered.
#[derive(Clone, Debug, Default)]
pub struct Paces {
    paces: BTreeMap<Arc<str>, Pace>,
    past: BTreeMap<Arc<str>, Past>,
    events: VecDeque<Event>,
}

impl Paces {
    /// Returns the memory that all replicas together may use at an endpoint; `None` if it takes its full share.
    pub fn limit(&self, endpoint: &str) -> Option<u64> {
        self.paces.get(endpoint).filter(|pace| pace.full_at.is_none()).map(|pace| pace.limit)
    }

    /// Returns whether a request fits within an endpoint's limit, where `used` and `added` are in tokens. `preference` from
    /// 0 to 1 tells the replicas apart: at first, few of many may use an endpoint that has little room.
    pub fn admits(
        &self,
        now: Time,
        endpoint: &str,
        (used, added): (u64, u64),
        (preference, replicas): (f64, u32),
    ) -> bool {
        let Some(pace) = self.paces.get(endpoint).filter(|pace| pace.full_at.is_none()) else {
            return true;
        };
        let runs = pace.limit as f64 / pace.run as f64;
        let waited = now.since(pace.reduced_at).as_secs_f64();
        let chosen = runs * REPLICAS_PER_RUN * (1.0 + waited) / f64::from(replicas.max(1));
        // Runs are larger at their peak than on average.
        let slack = pace.run / 2;
        1.0 - preference <= chosen && (used == 0 || used + added <= pace.limit + slack)
    }

    /// Returns the endpoints that do not take their full share yet, with their limits.
    pub fn all(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        let paced = self.paces.iter().filter(|(_, pace)| pace.full_at.is_none());
        paced.map(|(endpoint, pace)| (endpoint, pace.limit))
    }

    /// Records that an endpoint has ended. One that does so often is used more carefully.
    pub fn record_end(&mut self, now: Time, endpoint: &Arc<str>) {
        self.paces.remove(endpoint);
        let past = self.past.entry(endpoint.clone()).or_insert(Past { ends: 0.0, at: now });
        *past = Past { ends: past.ends(now) + 1.0, at: now };
    }

    /// Records that an endpoint has just started or recovered. `run` is the memory of a typical run, if known, and `memory`
    /// that of the engine.
    pub fn begin(&mut self, now: Time, endpoint: &Endpoint, run: Option<u64>, memory: u64) {
        let run = run.unwrap_or(memory / DEFAULT_RUNS).clamp(memory / MAX_RUNS, memory / MIN_RUNS).max(1);
        let ends = self.past.get(&endpoint.id).map_or(0.0, |past| past.ends(now));
        let limit = if ends >= FLAPPING_ENDS { run } else { run * FIRST_RUNS };
        let pace = Pace {
            started_ms: endpoint.started_ms,
            since: now,
            reduced_at: now,
            limit,
            run,
            full: memory,
            gain: ((run as f64 / ends.max(1.0)) as u64).max(1),
            answers: 0,
            full_at: None,
        };
        if limit < memory {
            self.paces.insert(endpoint.id.clone(), pace);
            self.log(Event::Paced { endpoint: endpoint.id.clone(), limit });
        }
    }

    /// Records what an answer of an endpoint shows.
    pub fn record_answer(&mut self, now: Time, endpoint: &str, verdict: Verdict) {
        let Some(pace) = self.paces.get_mut(endpoint).filter(|pace| pace.full_at.is_none()) else { return };
        match verdict {
            Verdict::Prompt => {
                pace.answers += 1;
                pace.limit += pace.gain;
                self.check_full(now, endpoint);
            }
            Verdict::Slow => self.record_failure(now, endpoint),
            Verdict::Unclear => {}
        }
    }

    /// Records that an endpoint failed, refused a request or was too slow.
    pub fn record_failure(&mut self, now: Time, endpoint: &str) {
        let Some(pace) = self.paces.get_mut(endpoint).filter(|pace| pace.full_at.is_none()) else { return };
        let is_first = pace.reduced_at == pace.since;
        if is_first || now.since(pace.reduced_at) >= REDUCTION_PAUSE {
            pace.limit = (pace.limit / 2).max(pace.run);
            pace.reduced_at = now.max(pace.since.plus(Duration::from_micros(1)));
        }
    }

    /// Applies the finding of a peer: that with the newest reduction counts, or else the largest.
    pub fn apply(&mut self, now: Time, endpoint: &str, finding: Finding) {
        let Some(pace) = self.paces.get_mut(endpoint).filter(|pace| pace.full_at.is_none()) else { return };
        if pace.started_ms != finding.started_ms {
            return;
        }
        let reduced_at = now.minus(finding.age);
        if reduced_at > pace.reduced_at.plus(SAME_REDUCTION_WITHIN) {
            (pace.reduced_at, pace.limit) = (reduced_at, finding.limit.max(1));
        } else if pace.reduced_at <= reduced_at.plus(SAME_REDUCTION_WITHIN) {
            pace.limit = pace.limit.max(finding.limit);
        }
        self.check_full(now, endpoint);
    }

    fn check_full(&mut self, now: Time, endpoint: &str) {
        let Some((endpoint, pace)) = self.paces.get_key_value(endpoint) else { return };
        if pace.limit < pace.full {
            return;
        }
        let (endpoint, after, answers) = (endpoint.clone(), now.since(pace.since), pace.answers);
        if let Some(pace) = self.paces.get_mut(&endpoint) {
            pace.full_at = Some(now);
        }
        self.log(Event::Full { endpoint, answers, after });
    }

    /// Removes what no longer holds, and what is known of endpoints that are not listed.
    pub fn expire(&mut self, now: Time, is_listed: impl Fn(&str) -> bool) {
        for (endpoint, pace) in &mut self.paces {
            if pace.full_at.is_none() && now.since(pace.reduced_at) >= LAPSE_AFTER {
                pace.full_at = Some(now);
                let (answers, after) = (pace.answers, now.since(pace.since));
                if self.events.len() < MAX_EVENTS {
                    self.events.push_back(Event::Full { endpoint: endpoint.clone(), answers, after });
                }
            }
        }
        self.paces.retain(|endpoint, pace| {
            is_listed(endpoint) && pace.full_at.is_none_or(|at| now.since(at) < REPORT_END_FOR)
        });
        self.past.retain(|_, past| past.ends(now) >= FORGOTTEN_ENDS);
    }

    /// Returns the findings for the next digest.
    pub fn report(&self, now: Time) -> Report {
        let finding = |pace: &Pace| Finding {
            started_ms: pace.started_ms,
            limit: pace.limit,
            age: now.since(pace.reduced_at),
        };
        let newest = self.paces.iter().take(MAX_REPORTED);
        newest.map(|(endpoint, pace)| (endpoint.clone(), finding(pace))).collect()
    }

    /// Returns the changes since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.events.drain(..).collect()
    }

    fn log(&mut self, event: Event) {
        if self.events.len() < MAX_EVENTS {
            self.events.push_back(event);
        }
    }
}
