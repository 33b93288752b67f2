//! Prefill of prompts.

use std::sync::Arc;

use tarragonhill_core::gateway::{
    completion::Prompt, directory::Endpoint, forecast::Observation, health::Outcome, ledger::Plan,
    suspect::Run,
};

use super::{
    Abort,
    resource::{Guard, Kind},
};
use crate::{
    context::{Context, Inbound},
    control::Permit,
    edge::Task,
    exchange::{Answer, Bound, Failure, MISDIRECTED, not_run_outcome},
};

/// Maximum endpoints that are tried for one prompt.
const MAX_ATTEMPTS: u32 = 3;

/// Prefills the prompt for a decode endpoint. If an endpoint fails, another one is tried.
pub(super) async fn run_prefill(
    context: &Arc<Context>,
    inbound: &Inbound,
    decode: &Endpoint,
    first: Permit,
) -> Result<Guard, Abort> {
    let mut avoid = Vec::new();
    let mut permit = first;
    let mut attempts = 0;
    loop {
        avoid.push(permit.endpoint.id.clone());
        let endpoint = permit.endpoint.clone();
        let reason = match prefill_at(context, inbound, permit, &endpoint).await {
            Ok(result) => {
                let kind = Kind::Prefill(result);
                return Ok(Guard { context: context.clone(), endpoint, kind });
            }
            Err(Failure::OverBudget) => return Err(Abort::OverBudget),
            Err(failure) => {
                // Nothing was sent, and each endpoint is tried once.
                attempts += u32::from(!matches!(failure, Failure::Connect(_)));
                format!("{}: {failure}", endpoint.id)
            }
        };
        spdlog::info!("prefill failed", kv: { request = inbound.id(), reason = reason.as_str() });
        if attempts >= MAX_ATTEMPTS {
            return Err(Abort::NotRun(reason));
        }
        if !inbound.charge(context, Plan::PrefillAndRun).await {
            return Err(Abort::OverBudget);
        }
        let prompt = Prompt {
            service: inbound.service().clone(),
            tokens: inbound.size().prompt,
            ttft_target: inbound.route.target_latency,
            zone: decode.zone.clone(),
            avoid: avoid.clone(),
            software_version: decode.software_version.clone(),
        };
        let Some(new) = context.control.place_prompt(prompt).await else { return Err(Abort::NotRun(reason)) };
        permit = new;
    }
}

/// Prefills the prompt at one endpoint and returns the name of the result.
async fn prefill_at(
    context: &Arc<Context>,
    inbound: &Inbound,
    mut permit: Permit,
    endpoint: &Arc<Endpoint>,
) -> Result<Arc<str>, Failure> {
    let began = context.clock.now();
    let sent = inbound.send(context, endpoint, Task::Prefill, permit.prefill_timeout).await;
    let exchanged = match sent {
        Ok(exchange) => exchange.read_whole(Bound::message(permit.prefill_timeout)).await,
        Err(failure) => Err(failure),
    };
    match exchanged {
        Ok(answer) if answer.head.status == 200 => {
            let Some(result) = context.dialect.decode_prefill(&answer.body) else {
                permit.finish(Outcome::Failed);
                return Err(Failure::InvalidResponse("the name of the prefill result is missing or invalid"));
            };
            let took = context.clock.now().since(began);
            permit.observe(Observation::Prefill { tokens: permit.prefill_tokens, took });
            permit.record_response();
            Ok(result)
        }
        Ok(Answer { head, reply, .. }) => {
            let is_not_run = reply.not_run || head.status == MISDIRECTED;
            permit.finish(if is_not_run {
                not_run_outcome(&head, &reply, endpoint, Outcome::ReservationRejected)
            } else {
                Outcome::Failed
            });
            Err(Failure::InvalidResponse(if is_not_run { "not run" } else { "refused" }))
        }
        Err(failure @ (Failure::Blocked(_) | Failure::OverBudget)) => Err(failure),
        Err(failure) => {
            let is_unsent = matches!(failure, Failure::Connect(_));
            if matches!(failure, Failure::Timeout) {
                let waited = context.clock.now().since(began);
                permit.observe(Observation::PrefillTimeout { tokens: permit.prefill_tokens, waited });
            }
            if !is_unsent {
                inbound.record_interrupted(context, endpoint, Run::Starting, &failure.to_string());
            }
            permit.finish(if is_unsent { Outcome::Unreachable } else { Outcome::Failed });
            Err(failure)
        }
    }
}
