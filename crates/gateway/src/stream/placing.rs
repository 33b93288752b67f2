//! Finds a run its places: waits for them, and reserves memory there.

use std::{sync::Arc, time::Duration};

use tarragonhill_core::{
    Refusal,
    gateway::{catalog::Engine, completion::Completion, directory::Endpoint, health::Outcome},
};

use super::{
    Progress,
    release::{Kept, Release},
};
use crate::{
    context::{Context, Inbound},
    control::{Ticket, Tickets},
    exchange::Failure,
};

/// Longest time to answer a reservation; it needs no computing.
const HOLD_LIMIT: Duration = Duration::from_millis(500);
/// Reservations are made for this long at most: a prompt is read within it, or asked elsewhere.
const HOLD_TTL: Duration = Duration::from_millis(2_000);

/// Where a run goes.
pub(super) enum Placing {
    /// To an endpoint that does all of it.
    Whole(Ticket),
    /// To one that makes the tokens, with what was reserved there, once the prompt was read.
    Decode { run: Ticket, reader: Option<Ticket>, held: Option<Release> },
}

impl Placing {
    pub(super) fn endpoint(&self) -> &Arc<Endpoint> {
        match self {
            Self::Whole(ticket) | Self::Decode { run: ticket, .. } => &ticket.endpoint,
        }
    }
}

/// Waits for an endpoint and, on split services, reserves memory there.
pub(super) async fn lease_endpoint(
    context: &Arc<Context>,
    inbound: &Inbound,
    progress: &Progress,
) -> Result<Placing, Refusal> {
    let engine = context.control.catalog().and_then(|catalog| catalog.service(inbound.service())?.engine);
    let Some(engine) = engine else { return whole(context, inbound, progress).await };
    if !context.control.is_split(inbound.service()).await {
        return whole(context, inbound, progress).await;
    }
    let mut avoid = progress.avoid.clone();
    loop {
        let Tickets { run, reader } = context.control.decode(completion(inbound, &avoid)).await?;
        let now = context.clock.now();
        context.metrics.waits.observe(now.since(inbound.received).as_secs_f64());
        let read_by = reader.as_ref().map(|reader| &*reader.endpoint);
        inbound.log_place(now, &run.endpoint, read_by);
        if engine.longest_hold.is_zero() {
            return Ok(Placing::Decode { run, reader, held: None });
        }
        match hold(context, &run.endpoint, &engine, run.memory()).await {
            Ok(Some(held)) => return Ok(Placing::Decode { run, reader, held: Some(held) }),
            Ok(None) => run.ended(Outcome::Full),
            Err(NoHold::Replaced) => {
                avoid.push(run.endpoint.id.clone());
                run.ended(Outcome::Replaced);
            }
            Err(NoHold::Unreachable(reason)) => {
                spdlog::info!("no reservation", kv: {
                    request = inbound.id(), endpoint = &*run.endpoint.id, reason = reason.as_str()
                });
                avoid.push(run.endpoint.id.clone());
                run.ended(Outcome::Unreachable);
            }
        }
    }
}

async fn whole(context: &Context, inbound: &Inbound, progress: &Progress) -> Result<Placing, Refusal> {
    context.control.whole(inbound.service(), &progress.avoid).await.map(Placing::Whole)
}

fn completion(inbound: &Inbound, avoid: &[Arc<str>]) -> Completion {
    Completion {
        service: inbound.service().clone(),
        size: inbound.size(),
        received: inbound.received,
        deadline: inbound.ends,
        ttft_target: inbound.route.aim,
        gap: inbound.route.gap,
        silence: inbound.route.silence,
        priority: inbound.priority(),
        avoid: avoid.to_vec(),
    }
}

/// Reserves memory at an endpoint; nothing if it has none.
async fn hold(
    context: &Arc<Context>,
    endpoint: &Arc<Endpoint>,
    engine: &Engine,
    memory: u64,
) -> Result<Option<Release>, NoHold> {
    let message = context.dialect.hold(endpoint, memory, engine.longest_hold.min(HOLD_TTL));
    let sent = context.sender().send(endpoint, &message.head, &message.body, None, HOLD_LIMIT).await;
    let unreachable = |failure: Failure| NoHold::Unreachable(failure.to_string());
    let exchange = sent.map_err(unreachable)?;
    if exchange.is_replaced() {
        return Err(NoHold::Replaced);
    }
    let (head, _, body) = exchange.whole().await.map_err(unreachable)?;
    match (head.status, context.dialect.held(&body)) {
        (200, Some(hold)) => {
            Ok(Some(Release { context: context.clone(), endpoint: endpoint.clone(), kept: Kept::Hold(hold) }))
        }
        (503, _) => Ok(None),
        (status, _) => Err(NoHold::Unreachable(format!("status {status}"))),
    }
}

/// Why an endpoint gave neither a reservation nor a refusal.
enum NoHold {
    /// Another endpoint has its address.
    Replaced,
    /// It did not answer, or not so that it can be understood.
    Unreachable(String),
}
