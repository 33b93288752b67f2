//! The callers' HTTP API: reads requests, writes answers and refusals.

use std::{sync::Arc, time::Duration};

use tarragonhill_core::{Code, Refusal, Request};
use tarragonhill_http::server::{BodyError, Inbound, Outbound};

use crate::entry::{
    context::{Context, new_request},
    once,
    request::{Call, Completion, refusal_body},
    stages::{self, Ticket},
};

/// Prefix of the paths of plain services.
const SERVICES: &str = "/v1/services/";
/// Answers one request of a caller.
pub(crate) async fn answer(context: Arc<Context>, mut inbound: Inbound) -> Outbound {
    let request = new_request();
    let _inside = context.enter();
    match route(&context, request, &mut inbound).await {
        Ok(outbound) => outbound.header("x-request-id", request.to_string()),
        Err(refusal) => refuse(&context, request, &refusal),
    }
}

async fn route(context: &Arc<Context>, request: Request, inbound: &mut Inbound) -> Result<Outbound, Refusal> {
    let arrived = context.clock.now();
    let body = std::mem::replace(&mut inbound.body, Ok(Vec::new())).map_err(unreadable)?;
    let key = stages::identify(context, inbound.header("authorization"))?;
    let ticket = Ticket { request, key, arrived, waiting: arrived, suspect: false };
    if inbound.path == "/v1/completions" {
        if inbound.method != "POST" {
            return Err(Refusal::not_run(Code::NotFound, "completions take POST"));
        }
        let completion = Completion::parse(&body)?;
        return stages::complete(context, ticket, completion, inbound.watch()).await;
    }
    let Some(rest) = inbound.path.strip_prefix(SERVICES) else {
        return Err(Refusal::not_run(Code::NotFound, format!("no {} {}", inbound.method, inbound.path)));
    };
    let call = Call::parse(inbound, rest, body)?;
    match call.idempotency_key.clone() {
        // A call that may not be repeated runs to its end though the caller leaves, so that its
        // outcome is recorded.
        Some(idempotency_key) => {
            let context = context.clone();
            async_std::task::spawn(async move { once::call(&context, &ticket, call, &idempotency_key).await })
                .await
        }
        None => stages::call(context, &ticket, call).await,
    }
}

fn unreadable(error: BodyError) -> Refusal {
    match error {
        BodyError::TooLarge => {
            Refusal::not_run(Code::BodyTooLarge, "the body is larger than this entry takes")
        }
        BodyError::Timeout => Refusal::not_run(Code::SlowRequest, "the body came too slowly"),
        BodyError::Broken => Refusal::not_run(Code::BadRequest, "the body could not be read"),
    }
}

fn refuse(context: &Context, request: Request, refusal: &Refusal) -> Outbound {
    context.metrics.refuse(refusal.code);
    let id = request.to_string();
    spdlog::info!("refused: {}", refusal.message, kv: { request = id.as_str(), code = refusal.code.to_string().as_str() });
    let outbound =
        Outbound::json(refusal.code.status(), &refusal_body(request, refusal)).header("x-request-id", id);
    match refusal.retry_after {
        Some(span) => outbound.header("retry-after", whole_seconds(span).to_string()),
        None => outbound,
    }
}

/// Retry-After knows whole seconds only; the body tells milliseconds.
fn whole_seconds(span: Duration) -> u64 {
    span.as_secs() + u64::from(span.subsec_nanos() > 0)
}
