//! The admin path that explains where a request would go.

use std::collections::BTreeMap;

use serde_json::json;
use tarragonhill_core::gateway::state::explain::{Address, Query, Unknown};
use tarragonhill_gateway::Status;
use tarragonhill_http::server::{Outbound, parameters};

/// The path.
pub(crate) const PATH: &str = "/explain";
/// Largest number of tokens; above the context of any model.
const MAX_TOKENS: u64 = 100_000_000;
/// The least urgent priority.
const MAX_PRIORITY: u64 = 9;

/// Explains the request that the query describes.
pub(crate) async fn handle(method: &str, query: &str, status: &Status) -> Outbound {
    if method != "GET" {
        return error(405, "bad_request", "only GET is allowed");
    }
    let query = match parse(parameters(query)) {
        Ok(query) => query,
        Err(problem) => return error(400, "bad_request", &problem),
    };
    match status.explain(query).await {
        Some(Ok(explanation)) => Outbound::json(200, &json!(explanation)),
        Some(Err(unknown @ (Unknown::Route(_) | Unknown::Customer(_)))) => {
            error(404, "not_found", &unknown.to_string())
        }
        Some(Err(Unknown::Configuration)) => {
            error(503, "settings_unconfirmed", &Unknown::Configuration.to_string())
        }
        None => error(503, "shutting_down", "the gateway is shutting down"),
    }
}

fn error(status: u16, code: &str, message: &str) -> Outbound {
    Outbound::json(status, &json!({"error": {"code": code, "message": message}}))
}

fn parse(mut parameters: BTreeMap<String, String>) -> Result<Query, String> {
    let mut take = |name: &str| parameters.remove(name).filter(|value| !value.is_empty());
    let address = match (take("route"), take("host"), take("path")) {
        (Some(route), None, None) => Address::Route(route.into()),
        (None, Some(host), Some(path)) if path.starts_with('/') => {
            Address::Path { host: host.into(), path: path.into() }
        }
        (None, Some(_), Some(path)) => return Err(format!("path: {path:?} does not begin with a slash")),
        _ => return Err("either route, or host and path must be given".into()),
    };
    let query = Query {
        address,
        customer: take("customer").map(Into::into),
        prompt: number("prompt", take("prompt"), MAX_TOKENS)?.unwrap_or(0),
        output: number("output", take("output"), MAX_TOKENS)?.unwrap_or(0),
        priority: number("priority", take("priority"), MAX_PRIORITY)?.map(|priority| priority as u8),
    };
    match parameters.keys().next() {
        Some(name) => Err(format!("unknown parameter {name:?}")),
        None => Ok(query),
    }
}

fn number(name: &str, value: Option<String>, max: u64) -> Result<Option<u64>, String> {
    let Some(text) = value else { return Ok(None) };
    let number = text.parse().ok().filter(|number| *number <= max);
    number.map(Some).ok_or_else(|| format!("{name}: {text:?} is not a number from 0 to {max}"))
}
