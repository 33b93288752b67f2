//! Finds a request's route, customer and service.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use rand::Rng as _;
use tarragonhill_core::{
    Refusal, Time,
    gateway::{
        catalog::{Catalog, Customer, Route, Unknown},
        state::Admission,
    },
    refusal::Code,
};
use tarragonhill_h1::head::Request;
use xxhash_rust::xxh3::Xxh3;

use crate::{context::Inbound, edge::Call};

/// What callers are told while this entry has not read a configuration yet. A process that starts reads
/// one within some 30 ms, or the store is away, for some seconds: callers told 0.5 s came back into the
/// same outage and were lost, while one that bears no more than a second comes back sooner anyhow.
const NO_CATALOG: Duration = Duration::from_secs(2);
/// What callers of unknown routes are told while another entry has a newer configuration.
const RETRY_BEHIND: Duration = Duration::from_millis(500);

/// Finds out what a request is.
pub(crate) fn identify(
    catalog: Option<&Catalog>,
    is_behind: bool,
    head: Request,
    body: Bytes,
    call: Call,
    received: Time,
) -> Result<Inbound, Refusal> {
    let found = match catalog {
        Some(catalog) => look_up(catalog, &head, &call).map_err(|unknown| refusal(unknown, is_behind)),
        None => {
            let refusal = Refusal::not_run(Code::SettingsUnconfirmed, "no configuration is known yet");
            Err(refusal.with_retry_after(NO_CATALOG))
        }
    };
    let (route, customer) = found?;
    let admission = Admission {
        tokens: customer.as_ref().map_or(0, |customer| counted(customer, &call)),
        service: route.service(rand::rng().random()).clone(),
        fingerprint: fingerprint(customer.as_ref().map_or("", |customer| &*customer.name), &head, &body),
        customer,
    };
    Ok(Inbound::new(head, body, call, route, admission, received))
}

/// What a request takes of its customer's rate.
fn counted(customer: &Customer, call: &Call) -> u64 {
    let tokens = call.tokens.filter(|_| customer.by_tokens);
    tokens.map_or(customer.flat, |tokens| tokens.prompt + tokens.output)
}

type Found = (Arc<Route>, Option<Arc<Customer>>);

fn look_up(catalog: &Catalog, head: &Request, call: &Call) -> Result<Found, Unknown> {
    let host = head.fields.get("host").unwrap_or_default();
    let route = catalog.route(host, head.path())?;
    let customer = catalog.caller(route, call.key.as_deref())?;
    Ok((route.clone(), customer.cloned()))
}

fn refusal(unknown: Unknown, is_behind: bool) -> Refusal {
    match unknown {
        // A final answer would be wrong if the route or key is one that has just been added.
        _ if is_behind => {
            let message = "a newer configuration may know the route and the key";
            Refusal::not_run(Code::SettingsUnconfirmed, message).with_retry_after(RETRY_BEHIND)
        }
        Unknown::Route => Refusal::not_run(Code::NotFound, "no route leads there"),
        Unknown::Key => Refusal::not_run(Code::BadKey, "the key is unknown"),
    }
}

/// Tells requests apart by who sends what where; the same request sent again has the same.
fn fingerprint(customer: &str, head: &Request, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    for part in [customer.as_bytes(), head.method.as_bytes(), head.target.as_bytes(), body] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}
