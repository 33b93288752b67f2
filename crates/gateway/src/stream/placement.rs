//! Placement of streams: waits for endpoints and reserves memory there.

use std::{sync::Arc, time::Duration};

use tarragonhill_core::{
    Refusal,
    gateway::{catalog::Engine, completion::Completion, directory::Endpoint, health::Outcome, ledger::Plan},
};

use super::{
    Progress,
    resource::{Guard, Kind},
};
use crate::{
    context::{Context, Inbound},
    control::{Permit, Permits},
    exchange::{Answer, Bound, Failure},
};

/// Response timeout for a reservation.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum lifetime of a reservation; covers the prefill, after which the decode uses the reservation.
const MAX_RESERVATION_TTL: Duration = Duration::from_millis(2_000);

/// Where an attempt runs.
pub(super) enum Placement {
    /// One endpoint handles the whole request.
    Whole(Permit),
    /// The prompt is prefilled first, then the decode endpoint generates the tokens.
    Split { decode: Permit, prefill: Option<Permit>, reservation: Option<Guard> },
}

impl Placement {
    /// Returns the endpoint that generates the response.
    pub(super) fn endpoint(&self) -> &Arc<Endpoint> {
        match self {
            Self::Whole(permit) | Self::Split { decode: permit, .. } => &permit.endpoint,
        }
    }

    /// Returns the messages by which the request will be sent.
    pub(super) fn plan(&self) -> Plan {
        match self {
            Self::Whole(_) | Self::Split { prefill: None, .. } => Plan::Run,
            Self::Split { prefill: Some(_), .. } => Plan::PrefillAndRun,
        }
    }
}

/// Waits for a placement and, on split services, reserves memory at the decode endpoint.
pub(super) async fn place(
    context: &Arc<Context>,
    inbound: &Inbound,
    progress: &Progress,
) -> Result<Placement, Refusal> {
    let engine = context.control.catalog().and_then(|catalog| catalog.service(inbound.service())?.engine);
    let Some(engine) = engine else { return place_whole(context, inbound, progress).await };
    if !context.control.is_split(inbound.service()).await {
        return place_whole(context, inbound, progress).await;
    }
    let mut avoid = progress.avoid.clone();
    loop {
        let Permits { decode, prefill } =
            context.control.place_completion(completion(inbound, progress, &avoid)).await?;
        let now = context.clock.now();
        context.metrics.placement_waits.observe(now.since(inbound.received).as_secs_f64());
        let prefill_endpoint = prefill.as_ref().map(|prefill| &*prefill.endpoint);
        inbound.log_placement(now, &decode.endpoint, prefill_endpoint);
        if engine.max_reservation.is_zero() {
            return Ok(Placement::Split { decode, prefill, reservation: None });
        }
        match reserve(context, &decode.endpoint, &engine, decode.memory()).await {
            Ok(Some(granted)) => return Ok(Placement::Split { decode, prefill, reservation: Some(granted) }),
            Ok(None) => decode.finish(Outcome::Full),
            Err(ReserveError::Blocked) => avoid.push(decode.endpoint.id.clone()),
            Err(ReserveError::Replaced) => {
                avoid.push(decode.endpoint.id.clone());
                decode.finish(Outcome::Replaced);
            }
            Err(ReserveError::Failed { outcome, reason }) => {
                spdlog::info!("reservation failed", kv: {
                    request = inbound.id(), endpoint = &*decode.endpoint.id, reason = reason.as_str()
                });
                avoid.push(decode.endpoint.id.clone());
                decode.finish(outcome);
            }
        }
    }
}

async fn place_whole(
    context: &Context,
    inbound: &Inbound,
    progress: &Progress,
) -> Result<Placement, Refusal> {
    let version = progress.software_version.as_ref();
    context.control.place(inbound.service(), &progress.avoid, version).await.map(Placement::Whole)
}

fn completion(inbound: &Inbound, progress: &Progress, avoid: &[Arc<str>]) -> Completion {
    Completion {
        service: inbound.service().clone(),
        customer: inbound.customer_name().unwrap_or_default().into(),
        size: inbound.size(),
        waiting_since: progress.waiting_since,
        events: progress.events,
        deadline: inbound.deadline,
        ttft_target: inbound.route.target_latency,
        target_gap: inbound.route.target_gap,
        stall_timeout: inbound.route.stall_timeout,
        priority: inbound.priority(),
        avoid: avoid.to_vec(),
        software_version: progress.software_version.clone(),
        suspects: inbound.untried_suspects(),
    }
}

/// Reserves memory at an endpoint; `None` if the endpoint has too little free memory.
async fn reserve(
    context: &Arc<Context>,
    endpoint: &Arc<Endpoint>,
    engine: &Engine,
    memory: u64,
) -> Result<Option<Guard>, ReserveError> {
    let message = context.dialect.reserve(endpoint, memory, engine.max_reservation.min(MAX_RESERVATION_TTL));
    let sent = context.client().send_message(endpoint, &message, RESERVE_TIMEOUT).await;
    let unreachable = |failure: Failure| match failure {
        Failure::Blocked(_) => ReserveError::Blocked,
        Failure::Connect(_) => {
            ReserveError::Failed { outcome: Outcome::Unreachable, reason: failure.to_string() }
        }
        failure => ReserveError::Failed { outcome: Outcome::Unresponsive, reason: failure.to_string() },
    };
    let exchange = sent.map_err(unreachable)?;
    if exchange.is_replaced() {
        return Err(ReserveError::Replaced);
    }
    let Answer { head, body, .. } =
        exchange.read_whole(Bound::message(RESERVE_TIMEOUT)).await.map_err(unreachable)?;
    match (head.status, context.dialect.decode_reservation(&body)) {
        (200, Some(name)) => {
            Ok(Some(Guard { context: context.clone(), endpoint: endpoint.clone(), kind: Kind::Memory(name) }))
        }
        (503, _) => Ok(None),
        (status, _) => {
            Err(ReserveError::Failed { outcome: Outcome::Unresponsive, reason: format!("status {status}") })
        }
    }
}

/// Why a reservation was neither granted nor refused.
enum ReserveError {
    /// Nothing may be sent to the endpoint at the moment.
    Blocked,
    /// A different endpoint now listens at the address.
    Replaced,
    /// No connection could be made, or the endpoint did not respond as expected.
    Failed { outcome: Outcome, reason: String },
}
