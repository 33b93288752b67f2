//! Conversions of what digests say about scarce memory and about the endpoints' speed and state.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tarragonhill_core::{
    clock::micros,
    gateway::{
        fairness::{self, Holding},
        order::{self, Urgency, Waiting},
        outage::{self, Notice},
        pace::{self, Finding},
        pools::Demand,
        speed::{self, Sample},
    },
};

use crate::{
    digest::{MAX_COUNT, MAX_TOKENS, sanitize},
    proto,
};

/// Lowest priority that is told apart.
const MAX_PRIORITY: u32 = 9;

pub(crate) fn encode_waiting(report: &order::Report) -> Vec<proto::Waiting> {
    let all = report.iter().flat_map(|(service, waiting)| waiting.iter().map(move |entry| (service, entry)));
    all.map(|(service, (urgency, waiting))| proto::Waiting {
        service: service.to_string(),
        late: urgency.is_late,
        priority: urgency.priority.into(),
        count: waiting.count,
        memory: waiting.memory,
        due_us: micros(waiting.due_in),
    })
    .collect()
}

/// Decodes what waits at a peer. A priority out of range counts as the lowest.
pub(crate) fn decode_waiting(messages: Vec<proto::Waiting>) -> order::Report {
    let mut report = order::Report::new();
    for proto::Waiting { service, late, priority, count, memory, due_us } in messages {
        let urgency = Urgency { is_late: late, priority: priority.min(MAX_PRIORITY) as u8 };
        let waiting = Waiting {
            count: count.min(MAX_COUNT),
            memory: memory.min(MAX_TOKENS),
            due_in: Duration::from_micros(due_us),
        };
        report.entry(service.into()).or_default().insert(urgency, waiting);
    }
    report
}

pub(crate) fn encode_holdings(report: &fairness::Report) -> Vec<proto::Holding> {
    let all = report.iter().flat_map(|(service, customers)| customers.iter().map(move |one| (service, one)));
    all.map(|(service, (customer, holding))| proto::Holding {
        service: service.to_string(),
        customer: customer.to_string(),
        held: holding.held,
        wanted: holding.wanted,
    })
    .collect()
}

pub(crate) fn decode_holdings(messages: Vec<proto::Holding>) -> fairness::Report {
    let mut report = fairness::Report::new();
    for proto::Holding { service, customer, held, wanted } in messages {
        let holding = Holding { held: held.min(MAX_TOKENS), wanted: wanted.min(MAX_TOKENS) };
        report.entry(service.into()).or_default().insert(customer.into(), holding);
    }
    report
}

pub(crate) fn encode_outage((endpoint, notice): (&Arc<str>, &Notice)) -> proto::Outage {
    proto::Outage {
        endpoint: endpoint.to_string(),
        born: notice.started_ms,
        age_us: micros(notice.age),
        over: notice.is_over,
    }
}

pub(crate) fn decode_outages(messages: Vec<proto::Outage>) -> outage::Report {
    let decode = |proto::Outage { endpoint, born, age_us, over }| {
        let age = Duration::from_micros(age_us);
        (endpoint.into(), Notice { started_ms: born, age, is_over: over })
    };
    messages.into_iter().map(decode).collect()
}

pub(crate) fn encode_pace((endpoint, finding): (&Arc<str>, &Finding)) -> proto::Pace {
    proto::Pace {
        endpoint: endpoint.to_string(),
        born: finding.started_ms,
        limit: finding.limit,
        age_us: micros(finding.age),
    }
}

pub(crate) fn decode_paces(messages: Vec<proto::Pace>) -> pace::Report {
    let decode = |proto::Pace { endpoint, born, limit, age_us }| {
        let age = Duration::from_micros(age_us);
        (endpoint.into(), Finding { started_ms: born, limit: limit.min(MAX_TOKENS), age })
    };
    messages.into_iter().map(decode).collect()
}

pub(crate) fn encode_speed((endpoint, sample): (&Arc<str>, &Sample)) -> proto::EndpointSpeed {
    proto::EndpointSpeed {
        endpoint: endpoint.to_string(),
        event_us: micros(sample.event_interval),
        weight: sample.weight,
    }
}

/// Decodes speeds. One without a time says nothing and is left out.
pub(crate) fn decode_speeds(messages: Vec<proto::EndpointSpeed>) -> speed::Report {
    let known = messages.into_iter().filter(|speed| speed.event_us > 0);
    let decode = |proto::EndpointSpeed { endpoint, event_us, weight }| {
        (endpoint.into(), Sample { event_interval: Duration::from_micros(event_us), weight })
    };
    known.map(decode).collect()
}

pub(crate) fn encode_demand((service, demand): (&Arc<str>, &Demand)) -> proto::Demand {
    let Demand { requests, prompt, endpoints, endpoint_tokens } = *demand;
    proto::Demand { service: service.to_string(), requests, prompt, endpoints, endpoint_tokens }
}

pub(crate) fn decode_demands(messages: Vec<proto::Demand>) -> BTreeMap<Arc<str>, Demand> {
    let bounded = |value| sanitize(value).min(MAX_TOKENS as f64);
    let decode = |proto::Demand { service, requests, prompt, endpoints, endpoint_tokens }| {
        let demand = Demand {
            requests: bounded(requests),
            prompt: bounded(prompt),
            endpoints: bounded(endpoints),
            endpoint_tokens: bounded(endpoint_tokens),
        };
        (service.into(), demand)
    };
    messages.into_iter().map(decode).collect()
}
