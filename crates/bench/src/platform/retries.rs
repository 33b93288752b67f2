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

/// Describes the first window with more retries than a rule allows, if there is one. `requests` is when callers sent
/// their requests.
pub fn first_excess(received: &[ReceivedRequest], requests: &[Instant], rule: Rule) -> Option<String> {
    let mut retries = arrivals(received);
    retries.sort();
    let count = |times: &[Instant], start: Instant, length: Duration| {
        times.iter().filter(|at| **at >= start && at.duration_since(start) < length).count()
    };
    retries.iter().find_map(|start| {
        let starts = [Duration::ZERO, rule.window / 2, rule.window];
        let windows = starts.into_iter().filter_map(|before| start.checked_sub(before));
        let sent = windows.map(|start| count(requests, start, rule.window)).max().unwrap_or(0);
        let allowed = rule.ratio * sent as f64 + rule.slack;
        let arrived = count(&retries, *start, rule.window);
        (arrived as f64 > allowed)
            .then(|| format!("{arrived} retries for {sent} requests in {:?}; allowed {allowed}", rule.window))
    })
}
