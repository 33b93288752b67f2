//! HTTP API for callers: routes requests and writes answers and refusals.

use std::{sync::Arc, time::Duration};

use tarragonhill_core::{Code, Refusal, Request};
use tarragonhill_http::server::{BodyError, Inbound, Outbound};

use crate::entry::{
    context::{Context, new_request_id},
    once,
    request::{Call, Completion, refusal_body},
    stages::{self, RequestInfo},
};

/// Path prefix of plain services.
const SERVICE_PREFIX: &str = "/v1/services/";

/// Serves one HTTP request of a caller.
pub(crate) async fn handle(context: Arc<Context>, mut inbound: Inbound) -> Outbound {
    let request = new_request_id();
    let _guard = context.track_running();
    match route(&context, request, &mut inbound).await {
        Ok(outbound) => outbound.header("x-request-id", request.to_string()),
        Err(refusal) => refusal_response(&context, request, &refusal),
    }
}

async fn route(context: &Arc<Context>, request: Request, inbound: &mut Inbound) -> Result<Outbound, Refusal> {
    let arrived = context.clock.now();
    let body = std::mem::replace(&mut inbound.body, Ok(Vec::new())).map_err(body_refusal)?;
    let key = stages::identify(context, inbound.header("authorization"))?;
    let info = RequestInfo { request, key, arrived, waiting_since: arrived, suspect: false };
    if inbound.path == "/v1/completions" {
        if inbound.method != "POST" {
            return Err(Refusal::not_run(Code::NotFound, "completions take POST"));
        }
        let completion = Completion::parse(&body)?;
        return stages::complete(context, info, completion, inbound.watch()).await;
    }
    let Some(rest) = inbound.path.strip_prefix(SERVICE_PREFIX) else {
        return Err(Refusal::not_run(Code::NotFound, format!("no {} {}", inbound.method, inbound.path)));
    };
    let call = Call::parse(inbound, rest, body)?;
    match call.idempotency_key.clone() {
        // Runs in its own task, which continues if the caller disconnects, so that the outcome is
        // recorded.
        Some(idempotency_key) => {
            let context = context.clone();
            async_std::task::spawn(async move { once::call(&context, &info, call, &idempotency_key).await })
                .await
        }
        None => stages::call(context, &info, call).await,
    }
}

fn body_refusal(error: BodyError) -> Refusal {
    match error {
        BodyError::TooLarge => {
            Refusal::not_run(Code::BodyTooLarge, "the body is larger than this entry takes")
        }
        BodyError::Timeout => Refusal::not_run(Code::SlowRequest, "the body came too slowly"),
        BodyError::Broken => Refusal::not_run(Code::BadRequest, "the body could not be read"),
    }
}

fn refusal_response(context: &Context, request: Request, refusal: &Refusal) -> Outbound {
    context.metrics.count_refusal(refusal.code);
    let id = request.to_string();
    spdlog::info!("refused: {}", refusal.message, kv: { request = id.as_str(), code = refusal.code.to_string().as_str() });
    let outbound =
        Outbound::json(refusal.code.status(), &refusal_body(request, refusal)).header("x-request-id", id);
    match refusal.retry_after {
        Some(span) => outbound.header("retry-after", whole_seconds(span).to_string()),
        None => outbound,
    }
}

/// Rounds up to the whole seconds of a Retry-After header; the body carries milliseconds.
fn whole_seconds(span: Duration) -> u64 {
    span.as_secs() + u64::from(span.subsec_nanos() > 0)
}
