//! Completions that ask for their places, and the prompts that are read for them.

use std::{sync::Arc, time::Duration};

use super::{
    forecast::{Forecast, Size, mean_memory},
    queue::Entry,
};
use crate::clock::Time;

/// Time to the first event that is taken for on time where the operator declares none.
const DEFAULT_TTFT_TARGET: Duration = Duration::from_secs(1);

/// A prompt that is to be read.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// The service.
    pub service: Arc<str>,
    /// Its tokens.
    pub tokens: u64,
    /// Time to the first event that is on time.
    pub ttft_target: Duration,
    /// The availability zone where the result goes.
    pub zone: Arc<str>,
    /// Endpoints that have failed it.
    pub avoid: Vec<Arc<str>>,
}

/// A completion that asks for its places.
#[derive(Clone, Debug)]
pub struct Completion {
    /// The service.
    pub service: Arc<str>,
    /// What it asks for.
    pub size: Size,
    /// When it had been read.
    pub received: Time,
    /// When the caller or the operator gives up.
    pub deadline: Time,
    /// Time to the first event that is on time.
    pub ttft_target: Duration,
    /// Longest pause between events that is on time; zero if none is declared.
    pub gap: Duration,
    /// How long the caller bears to see no event.
    pub silence: Duration,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Endpoints that have failed it.
    pub avoid: Vec<Arc<str>>,
}

impl Completion {
    /// The completion as it waits in the queue: how late it may start, by what is known of its service.
    pub(super) fn into_entry<T>(self, forecast: &Forecast, tag: T) -> Entry<T> {
        let Self { service, size, received, deadline, ttft_target, gap, silence, priority, avoid } = self;
        let ttft_target = target_or_default(ttft_target);
        // The caller leaves at its deadline, and before it if it sees no event for too long.
        let by_deadline = deadline.minus(forecast.known_total_time(size));
        let by_silence = received.plus(silence).minus(forecast.known_first_event_time(size.prompt));
        Entry {
            tag,
            service,
            size,
            memory: mean_memory(size.prompt, size.expected_output),
            soft_deadline: received.plus(ttft_target).minus(forecast.known_first_event_time(size.prompt)),
            hard_deadline: by_deadline.min(by_silence),
            priority,
            gap,
            ttft_target,
            avoid,
        }
    }
}

/// The aim that an operator declared, or one in its place.
pub(super) fn target_or_default(ttft_target: Duration) -> Duration {
    if ttft_target.is_zero() { DEFAULT_TTFT_TARGET } else { ttft_target }
}
