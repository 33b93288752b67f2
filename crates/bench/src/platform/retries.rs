//! Retries as endpoints see them: the messages that count against the retry budget of a service.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use tarragonhill_core::gateway::budget::Rule;

use super::endpoint::ReceivedRequest;

/// Returns when each message arrived that is neither the first prefill of its request that an endpoint accepted nor
/// the first of its other messages.
pub fn arrivals(received: &[ReceivedRequest]) -> Vec<Instant> {
    let mut ordered: Vec<&ReceivedRequest> = received.iter().collect();
    ordered.sort_by_key(|message| message.received_at);
    let mut by_request: BTreeMap<&str, Vec<&ReceivedRequest>> = BTreeMap::new();
    for message in ordered {
        let id = message.head.fields.get("Tarragonhill-Request-Id").unwrap_or_default();
        by_request.entry(id).or_default().push(message);
    }
    by_request.into_values().flat_map(retries_of_request).collect()
}

fn retries_of_request(mut messages: Vec<&ReceivedRequest>) -> Vec<Instant> {
    let is_prefill =
        |message: &&ReceivedRequest| message.head.fields.get("Tarragonhill-Serving-Stage").is_some();
    if let Some(first) = messages.iter().position(|message| is_prefill(message) && message.was_executed) {
        messages.remove(first);
    }
    messages.iter().skip(1).map(|message| message.received_at).collect()
}

/// Retries and requests of one window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// Retries that arrived.
    pub arrived: usize,
    /// Requests that count for the window.
    pub sent: usize,
    /// Retries that the rule allows.
    pub allowed: f64,
}

impl Window {
    /// Returns how many more retries the rule allows; negative if it is broken.
    pub fn room(&self) -> f64 {
        self.allowed - self.arrived as f64
    }
}

/// Returns the windows that begin with a retry. `requests` is when callers sent their requests.
pub fn windows(received: &[ReceivedRequest], requests: &[Instant], rule: Rule) -> Vec<Window> {
    let (mut retries, mut requests) = (arrivals(received), requests.to_vec());
    retries.sort();
    requests.sort();
    let count = |times: &[Instant], start: Instant| {
        let after = times.partition_point(|at| *at < start);
        times[after..].partition_point(|at| at.duration_since(start) < rule.window)
    };
    let window = |start: &Instant| {
        let starts = [Duration::ZERO, rule.window / 2, rule.window];
        let starts = starts.into_iter().filter_map(|before| start.checked_sub(before));
        let sent = starts.map(|start| count(&requests, start)).max().unwrap_or(0);
        let allowed = rule.ratio * sent as f64 + rule.slack;
        Window { arrived: count(&retries, *start), sent, allowed }
    };
    retries.iter().map(window).collect()
}

/// Describes the first window with more retries than a rule allows, if there is one. `requests` is when callers sent
/// their requests.
pub fn first_excess(received: &[ReceivedRequest], requests: &[Instant], rule: Rule) -> Option<String> {
    let excess = windows(received, requests, rule).into_iter().find(|window| window.room() < 0.0)?;
    let Window { arrived, sent, allowed } = excess;
    Some(format!("{arrived} retries for {sent} requests in {:?}; allowed {allowed}", rule.window))
}
