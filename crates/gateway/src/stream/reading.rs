//! Has prompts read.

use std::sync::Arc;

use tarragonhill_core::gateway::{
    completion::Prompt, directory::Endpoint, forecast::Observation, health::Outcome,
};

use super::{
    Trouble,
    release::{Kept, Release},
};
use crate::{
    context::{Context, Inbound},
    control::Ticket,
    edge::Task,
    exchange::{Failure, MISDIRECTED, unrun},
};

/// Most endpoints asked to read one prompt.
const MOST_READERS: u32 = 3;
/// Has the prompt read, by another endpoint if the first cannot.
pub(super) async fn read_prompt(
    context: &Arc<Context>,
    inbound: &Inbound,
    zone: &Arc<str>,
    first: Ticket,
) -> Result<Release, Trouble> {
    let mut avoid = Vec::new();
    let mut reader = first;
    for readers in 1.. {
        avoid.push(reader.endpoint.id.clone());
        let endpoint = reader.endpoint.clone();
        let (reason, was_sent) = match read_at(context, inbound, reader, &endpoint).await {
            Ok(result) => {
                let kept = Kept::Result(result);
                return Ok(Release { context: context.clone(), endpoint, kept });
            }
            Err(Failure::Unsent(error)) => (format!("{}: {error}", endpoint.id), false),
            Err(failure) => (format!("{}: {failure}", endpoint.id), true),
        };
        spdlog::info!("prompt not read", kv: { request = inbound.id(), reason = reason.as_str() });
        let is_paid = !was_sent || context.control.retry(inbound.service()).await;
        if readers >= MOST_READERS || !is_paid {
            return Err(Trouble::NotRun(reason));
        }
        let prompt = Prompt {
            service: inbound.service().clone(),
            tokens: inbound.size().prompt,
            ttft_target: inbound.route.aim,
            zone: zone.clone(),
            avoid: avoid.clone(),
        };
        let Some(next) = context.control.prefill(prompt).await else { return Err(Trouble::NotRun(reason)) };
        reader = next;
    }
    unreachable!("the loop ends by a return")
}

async fn read_at(
    context: &Arc<Context>,
    inbound: &Inbound,
    mut ticket: Ticket,
    endpoint: &Arc<Endpoint>,
) -> Result<Arc<str>, Failure> {
    let began = context.clock.now();
    let sent = inbound.send(context, endpoint, Task::Prefill, ticket.limit).await;
    let taken = match sent {
        Ok(exchange) => exchange.whole().await,
        Err(failure) => Err(failure),
    };
    match taken {
        Ok((head, _, body)) if head.status == 200 => {
            let result = context.dialect.prefilled(&body);
            if result.is_some() {
                let took = context.clock.now().since(began);
                ticket.observed(Observation::Prefill { tokens: ticket.tokens, took });
                ticket.answered();
            }
            result.ok_or(Failure::Spoilt("a result without a name"))
        }
        Ok((head, reply, _)) => {
            let is_unrun = reply.not_run || head.status == MISDIRECTED;
            ticket.ended(if is_unrun {
                unrun(&head, &reply, endpoint, Outcome::TurnedAway)
            } else {
                Outcome::Failed
            });
            Err(Failure::Spoilt(if is_unrun { "not run" } else { "refused" }))
        }
        Err(failure) => {
            let is_unsent = matches!(failure, Failure::Unsent(_));
            if matches!(failure, Failure::Late) {
                let waited = context.clock.now().since(began);
                ticket.observed(Observation::PrefillTimeout { tokens: ticket.tokens, waited });
            }
            if !is_unsent {
                context.control.broke(&endpoint.id, inbound.admission.fingerprint);
            }
            ticket.ended(if is_unsent { Outcome::Unreachable } else { Outcome::Failed });
            Err(failure)
        }
    }
}
