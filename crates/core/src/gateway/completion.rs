//! Completion requests to be placed, and prompts to be prefilled.

use std::{sync::Arc, time::Duration};

use super::{
    forecast::{Forecast, Size, mean_memory},
    queue::Entry,
    suspect::Suspect,
};
use crate::clock::Time;

/// Time-to-first-token target where the operator declares none.
const DEFAULT_TTFT_TARGET: Duration = Duration::from_secs(1);

/// A prompt to be prefilled.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Service that the prompt is for.
    pub service: Arc<str>,
    /// Length of the prompt, in tokens.
    pub tokens: u64,
    /// Target for the time to the first event.
    pub ttft_target: Duration,
    /// Availability zone of the decode endpoint that gets the result.
    pub zone: Arc<str>,
    /// Endpoints that failed the prompt before.
    pub avoid: Vec<Arc<str>>,
    /// Software version of the decode endpoint.
    pub software_version: Arc<str>,
}

/// A completion request to be placed.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Service that the request is for.
    pub service: Arc<str>,
    /// Name of the caller; empty if it is not known.
    pub customer: Arc<str>,
    /// Prompt and output size.
    pub size: Size,
    /// Since when the caller waits for an event: when the request was received completely or, if the stream
    /// resumes, when the last event was sent.
    pub waiting_since: Time,
    /// Number of events that the caller has received.
    pub events: u64,
    /// When the caller disconnects or the route times out, whichever is first.
    pub deadline: Time,
    /// Target for the time to the first event; zero if none is declared.
    pub ttft_target: Duration,
    /// Target for the longest pause between events; zero if none is declared.
    pub target_gap: Duration,
    /// How long the caller waits for an event before it disconnects.
    pub stall_timeout: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Endpoints that failed the request before.
    pub avoid: Vec<Arc<str>>,
    /// Software version that began the stream, which the endpoint must have; `None` for a new one.
    pub software_version: Option<Arc<str>>,
    /// What of the request may crash endpoints; empty for a trial.
    pub suspects: Arc<[Suspect]>,
}

impl Completion {
    /// Converts the request into a queue entry, with start deadlines from the forecast of its
    /// service.
    pub(super) fn into_entry<T>(self, forecast: &Forecast, tag: T) -> Entry<T> {
        let Self {
            service,
            customer,
            size,
            waiting_since,
            events,
            deadline,
            ttft_target,
            target_gap,
            stall_timeout,
            priority,
            avoid,
            software_version,
            suspects,
        } = self;
        let ttft_target = target_or_default(ttft_target);
        let size = size.after_events(events, forecast);
        // The caller disconnects at its deadline, or earlier if it gets no event for too long.
        let by_deadline = deadline.minus(forecast.known_total_time(size));
        let first_event = forecast.known_first_event_time(size.prompt);
        let by_stall = waiting_since.plus(stall_timeout).minus(first_event);
        Entry {
            tag,
            service,
            customer,
            size,
            memory: mean_memory(size.prompt, size.expected_output),
            soft_deadline: waiting_since.plus(ttft_target).minus(first_event),
            hard_deadline: by_deadline.min(by_stall),
            deadline,
            priority,
            target_gap,
            ttft_target,
            avoid,
            software_version,
            suspects,
            is_over_share: false,
        }
    }
}

/// Returns the declared target, or the default if it is zero.
pub(super) fn target_or_default(ttft_target: Duration) -> Duration {
    if ttft_target.is_zero() { DEFAULT_TTFT_TARGET } else { ttft_target }
}
