//! Resolves a request to its route, customer and service.

use std::{collections::BTreeSet, iter, sync::Arc, time::Duration};

use bytes::Bytes;
use rand::Rng as _;
use tarragonhill_core::{
    Refusal, Time,
    gateway::{
        catalog::{Catalog, Customer, LookupError, Route},
        state::Admission,
        suspect::Suspect,
    },
    refusal::Code,
};
use tarragonhill_h1::head::Request;

use crate::{context::Inbound, edge::Metadata};

/// Retry delay for callers while this replica has no configuration. The store is then probably unreachable
/// for some seconds, and an earlier retry would be refused as well.
const RETRY_WITHOUT_CATALOG: Duration = Duration::from_secs(2);
/// Retry delay for unknown routes and keys while a peer has a newer configuration.
const RETRY_WHILE_STALE: Duration = Duration::from_millis(500);

/// Resolves a request, or refuses it if its route or key is unknown.
pub(crate) fn identify(
    catalog: Option<&Catalog>,
    is_stale: bool,
    head: Request,
    body: Bytes,
    metadata: Metadata,
    received: Time,
) -> Result<Inbound, Refusal> {
    let (route, customer) = resolve(catalog, is_stale, &head, &metadata)?;
    let service = route.pick_service(rand::rng().random()).clone();
    let customer_name = customer.as_ref().map_or("", |customer| &*customer.name);
    let admission = Admission {
        tokens: customer.as_ref().map_or(0, |customer| token_cost(customer, &metadata)),
        suspects: suspects(customer_name, &service, &head, &body, &metadata),
        service,
        customer,
    };
    Ok(Inbound::new(head, body, metadata, route, admission, received))
}

/// Refuses a request of which only the head has been read if its route or key is unknown.
pub(crate) fn check(
    catalog: Option<&Catalog>,
    is_stale: bool,
    head: &Request,
    metadata: &Metadata,
) -> Result<(), Refusal> {
    resolve(catalog, is_stale, head, metadata).map(drop)
}

fn resolve(
    catalog: Option<&Catalog>,
    is_stale: bool,
    head: &Request,
    metadata: &Metadata,
) -> Result<Resolved, Refusal> {
    match catalog {
        Some(catalog) => look_up(catalog, head, metadata).map_err(|error| refusal(error, is_stale)),
        None => {
            let refusal = Refusal::not_run(Code::SettingsUnconfirmed, "no configuration has been read yet");
            Err(refusal.with_retry_after(RETRY_WITHOUT_CATALOG))
        }
    }
}

/// Returns the tokens that a request takes from its customer's token bucket.
fn token_cost(customer: &Customer, metadata: &Metadata) -> u64 {
    let tokens = metadata.tokens.filter(|_| customer.counts_tokens);
    tokens.map_or(customer.plain_tokens, |tokens| tokens.prompt + tokens.output)
}

type Resolved = (Arc<Route>, Option<Arc<Customer>>);

fn look_up(catalog: &Catalog, head: &Request, metadata: &Metadata) -> Result<Resolved, LookupError> {
    let host = head.fields.get("host").unwrap_or_default();
    let route = catalog.route(host, head.path())?;
    let customer = catalog.authenticate(route, metadata.key.as_deref())?;
    Ok((route.clone(), customer.cloned()))
}

fn refusal(error: LookupError, is_stale: bool) -> Refusal {
    match error {
        // The newer configuration may have added the route or key, so the refusal allows a retry.
        _ if is_stale => {
            let message = "route or key not found; a newer configuration exists and may define it";
            Refusal::not_run(Code::SettingsUnconfirmed, message).with_retry_after(RETRY_WHILE_STALE)
        }
        LookupError::Route => Refusal::not_run(Code::NotFound, "no route matches the request"),
        LookupError::Key => Refusal::not_run(Code::BadKey, "unknown API key"),
    }
}

/// Returns what of a request may crash endpoints: the request as a whole, which callers may repeat, and each part of its
/// prompt that other requests may share.
fn suspects(
    customer: &str,
    service: &str,
    head: &Request,
    body: &[u8],
    metadata: &Metadata,
) -> Arc<[Suspect]> {
    let whole = Suspect::request([customer.as_bytes(), head.method.as_bytes(), head.target.as_bytes(), body]);
    let parts: BTreeSet<Suspect> = metadata.parts.iter().map(|part| Suspect::part(service, part)).collect();
    iter::once(whole).chain(parts).collect()
}
