//! Requests and parts of prompts that may crash endpoints.

use std::{sync::Arc, time::Duration};

use super::State;
use crate::{
    clock::Time,
    gateway::{
        directory::Endpoint,
        interval::digest_interval,
        outage::Reason,
        queue::Entry,
        suspect::{Report, Run, Suspect},
    },
    refusal::{Code, Refusal},
};

/// Shortest time in which replicas learn of each other's demand.
const MIN_SETTLING_TIME: Duration = Duration::from_millis(600);
/// The same time in digest intervals.
const SETTLING_INTERVALS: u32 = 3;
/// Bounds of the retry delay for callers of a suspect that is held off.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

impl<T> State<T> {
    pub(super) fn settling_time(&self) -> Duration {
        MIN_SETTLING_TIME.max(digest_interval(self.peers.count()) * SETTLING_INTERVALS)
    }

    /// Records that a run was interrupted on an endpoint.
    pub fn record_interrupted(
        &mut self,
        now: Time,
        endpoint: &Endpoint,
        suspects: &Arc<[Suspect]>,
        run: Run,
        is_trial: bool,
    ) {
        self.suspects.record_interrupted(now, endpoint, suspects, run, is_trial);
    }

    /// Records that a run from the beginning of a request, which was sent at `sent`, has brought its whole response.
    pub fn record_completed(
        &mut self,
        now: Time,
        endpoint: &Endpoint,
        suspects: &Arc<[Suspect]>,
        sent: Time,
        is_trial: bool,
    ) {
        self.suspects.record_completed(now, endpoint, suspects, sent, is_trial);
    }

    /// Records that an endpoint had not crashed at `at`.
    pub fn record_alive(&mut self, now: Time, endpoint: &str, at: Time) {
        self.suspects.record_alive(now, endpoint, at);
    }

    /// Records that an endpoint has crashed. Returns the number of suspects.
    pub fn record_crash(&mut self, now: Time, endpoint: &str) -> usize {
        self.record_outage(now, endpoint, Reason::Crashed);
        self.suspects.record_crash(now, endpoint)
    }

    /// Records that a request that was admitted as a trial has ended or failed.
    pub fn end_trial(&mut self, now: Time, suspects: &[Suspect]) {
        self.suspects.end_trial(now, suspects);
    }

    /// Returns whether a queued request must not run, because it may crash endpoints.
    pub fn is_held_off(&self, entry: &Entry<T>) -> bool {
        self.suspects.holds(&entry.suspects)
    }

    /// Applies what replicas have written to the store.
    pub fn apply_stored_suspects(&mut self, now: Time, reports: &[Report]) {
        self.suspects.apply_stored(now, reports);
    }

    /// Returns what has to be written to the store; `None` if that has not changed.
    pub fn take_unsaved_suspects(&mut self, now: Time) -> Option<Vec<Report>> {
        self.suspects.take_unsaved(now)
    }
}

/// Returns the refusal of a request that may crash endpoints.
pub fn quarantined(retry_after: Duration) -> Refusal {
    let refusal =
        Refusal::not_run(Code::Quarantined, "endpoints crash under the request or a part of its prompt");
    refusal.with_retry_after(retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
}
