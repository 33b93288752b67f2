//! `explain`: prints where a request would go now at a gateway, and why, without sending it.

use std::net::SocketAddr;

use bpaf::{Parser, construct, long};
use serde_json::json;
use tarragonhill_core::gateway::{
    placement::candidate::Candidate,
    state::explain::{Explanation, Outcome, Target},
};
use tarragonhill_operator::{Client, OperatorError};

use crate::cmd::{Command, CommandError, print};

/// Values are checked by the gateway, except for its own address.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    gateway: String,
    route: Option<String>,
    host: Option<String>,
    path: Option<String>,
    customer: Option<String>,
    prompt: Option<String>,
    output: Option<String>,
    priority: Option<String>,
    json: bool,
}

pub(crate) fn command() -> impl Parser<Command> {
    let gateway = long("gateway")
        .env("TARRAGONHILL_GATEWAY")
        .help("Admin address of a gateway")
        .argument::<String>("IP:PORT")
        .fallback(String::new());
    let route = text("route", "NAME", "Route, by its name");
    let host = text("host", "HOST", "Host of the request, in place of a route");
    let path = text("path", "PATH", "Path of the request, in place of a route");
    let customer = text("customer", "NAME", "Customer");
    let prompt = text("prompt", "TOKENS", "Length of the prompt");
    let output = text("output", "TOKENS", "Length of the output");
    let priority = text("priority", "0-9", "Priority in place of the customer's and the route's");
    let json = long("json").help("Print JSON").switch();
    let options =
        construct!(Options { gateway, route, host, path, customer, prompt, output, priority, json });
    options
        .map(Command::Explain)
        .to_options()
        .descr("Explain where a request would go now at a gateway, without sending it")
        .command("explain")
}

fn text(name: &'static str, metavar: &'static str, help: &'static str) -> impl Parser<Option<String>> {
    long(name).help(help).argument::<String>(metavar).optional()
}

pub(crate) async fn execute(options: Options) -> Result<(), CommandError> {
    let Options { gateway, route, host, path, customer, prompt, output, priority, json } = options;
    let address: SocketAddr = gateway
        .parse()
        .map_err(|_| CommandError::BadInput(format!("gateway: {gateway:?} is not of the form ip:port")))?;
    let parameters = [
        ("route", route),
        ("host", host),
        ("path", path),
        ("customer", customer),
        ("prompt", prompt),
        ("output", output),
        ("priority", priority),
    ];
    let given = parameters.into_iter().filter_map(|(name, value)| Some((name, value?)));
    let explained = Client::new(address, None).explain(given).await;
    let explanation = explained.map_err(|error| match error {
        OperatorError::Refused { code, message } if matches!(&*code, "bad_request" | "not_found") => {
            CommandError::BadInput(message)
        }
        error => error.into(),
    })?;
    if json {
        print(&json!(explanation));
    } else {
        print!("{}", describe(&explanation));
    }
    Ok(())
}

fn describe(explanation: &Explanation) -> String {
    let Explanation { version, route, customer, priority, charge, tokens_left, over_rate, targets } =
        explanation;
    let customer = customer.as_deref().unwrap_or("no customer");
    let left = tokens_left.map_or("no limit".into(), |left| format!("{left} left"));
    let mut lines = vec![
        format!("route {route} of configuration {version}, priority {priority}"),
        format!("{customer}: {charge} tokens charged, {left}"),
    ];
    lines.extend(over_rate.iter().map(|refusal| format!("at admission: {}", describe_outcome(refusal))));
    lines.extend(targets.iter().flat_map(describe_target));
    lines.join("\n") + "\n"
}

fn describe_target(target: &Target) -> Vec<String> {
    let Target { service, weight, outcome, endpoints } = target;
    let (candidates, excluded): (Vec<_>, Vec<_>) =
        endpoints.iter().partition(|endpoint| endpoint.excluded.is_none());
    let mut lines = vec![format!("service {service} (weight {weight}): {}", describe_outcome(outcome))];
    lines.extend(candidates.into_iter().map(|candidate| format!("  may: {}", describe_endpoint(candidate))));
    lines.extend(excluded.into_iter().map(|candidate| {
        let reason = candidate.excluded.map_or(String::new(), |reason| reason.to_string());
        format!("  not: {}: {reason}", describe_endpoint(candidate))
    }));
    lines
}

fn describe_outcome(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Placed { endpoint, prefill: Some(prefill) } => {
            format!("to {endpoint}, prefill at {prefill}")
        }
        Outcome::Placed { endpoint, prefill: None } => format!("to {endpoint}"),
        Outcome::Queued { ahead, longest_ms, retry_after_ms } => format!(
            "waits, {ahead} ahead; refused after {longest_ms} ms, to come back {retry_after_ms} ms later"
        ),
        Outcome::Refused { code, message, retry_after_ms } => {
            let when = retry_after_ms.map_or(String::new(), |span| format!("; to come back after {span} ms"));
            format!("refused ({code}): {message}{when}")
        }
    }
}

fn describe_endpoint(candidate: &Candidate) -> String {
    let Candidate { endpoint, stage, zone, version, running, memory, prefill_tokens, failure_ratio, .. } =
        candidate;
    let mut text = format!("{endpoint} ({stage}, {zone}{}", if candidate.is_local { ", local" } else { "" });
    if !version.is_empty() {
        text += &format!(", {version}");
    }
    text += &format!("): {running} running");
    let figures = [
        (candidate.free_memory, "tokens of memory free"),
        (candidate.prefill_ms, "ms until the prompt is processed"),
        (candidate.response_ms, "ms until the response"),
        (Some(*memory).filter(|memory| *memory > 0), "tokens reserved"),
        (Some(*prefill_tokens).filter(|tokens| *tokens > 0), "prompt tokens queued"),
    ];
    for (figure, what) in figures {
        text += &figure.map_or(String::new(), |figure| format!(", {figure} {what}"));
    }
    if *failure_ratio > 0.0 {
        text += &format!(", {failure_ratio:.2} failing");
    }
    text
}
