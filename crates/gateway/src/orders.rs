//! Sends the control thread's orders to endpoints, one at a time.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_channel::Receiver;
use tarragonhill_core::gateway::{
    lease::{LEASE_DURATION, claimable_version},
    pools::Order,
};

use crate::{
    context::Context,
    edge::{Claims, Message, Report, StageChange},
    exchange::{Answer, Bound},
};

/// Response timeout for reports and orders.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);

/// Result of an order.
#[derive(Debug)]
enum Delivery {
    /// The endpoint accepted the order.
    Accepted,
    /// The endpoint did not respond and may have accepted the order.
    Unknown(String),
    /// The order was not sent, or the endpoint refused it.
    Dropped(String),
}

/// Sends orders until the channel closes.
pub(crate) async fn run(
    context: Arc<Context>,
    holder: Arc<str>,
    orders: Receiver<Order>,
    mut claims: Box<dyn Claims>,
) {
    while let Ok(order) = orders.recv().await {
        let delivery = if context.is_shutting_down() {
            Delivery::Dropped("the gateway is shutting down".into())
        } else {
            deliver(&context, &holder, &order, &mut *claims).await
        };
        let (outcome, reason) = match &delivery {
            Delivery::Accepted => ("taken", ""),
            Delivery::Unknown(reason) => ("unknown", reason.as_str()),
            Delivery::Dropped(reason) => ("dropped", reason.as_str()),
        };
        let stage: &'static str = order.stage.into();
        spdlog::info!("order", kv: { endpoint = &*order.endpoint.id, stage, outcome, reason });
        // An order that may have been accepted stays pending until the endpoint list shows the change or the
        // order expires.
        if matches!(delivery, Delivery::Dropped(_)) {
            context.control.cancel_order(&order.endpoint.id);
        }
    }
}

async fn deliver(context: &Context, holder: &str, order: &Order, claims: &mut dyn Claims) -> Delivery {
    let report = match report(context, order).await {
        Ok(report) => report,
        Err(reason) => return Delivery::Dropped(reason),
    };
    if report.stage == order.stage || report.is_busy {
        return Delivery::Dropped("the endpoint has changed its stage or is changing it".into());
    }
    let began = Instant::now();
    let fencing_token = match acquire_lease(context, holder, claims).await {
        Ok(fencing_token) => fencing_token,
        Err(reason) => return Delivery::Dropped(reason),
    };
    // If this process was suspended after the write, another replica may hold the lease by now.
    if began.elapsed() >= LEASE_DURATION {
        return Delivery::Dropped("the lease has expired".into());
    }
    let change =
        StageChange { stage: order.stage, holder, fencing_token, expected_revision: report.revision };
    let message = context.dialect.change_stage(&order.endpoint, &change);
    match send(context, order, &message).await {
        Ok((200 | 202, _)) => Delivery::Accepted,
        Ok((status, _)) => Delivery::Dropped(format!("status {status}")),
        Err(reason) => Delivery::Unknown(reason),
    }
}

/// Acquires or renews the lease and returns the fencing token.
async fn acquire_lease(context: &Context, holder: &str, claims: &mut dyn Claims) -> Result<u64, String> {
    let status = claims.read().await?;
    let era_age = context.control.era_age(context.clock.now(), status.era);
    let version = claimable_version(&status, holder, era_age)
        .ok_or("another replica holds the lease, or may hold it")?;
    let written = claims.write(holder, &status, version).await?;
    let position = written.ok_or("another replica acquired the lease first")?;
    Ok(position.fencing_token())
}

async fn report(context: &Context, order: &Order) -> Result<Report, String> {
    let message = context.dialect.request_report(&order.endpoint);
    let (status, body) = send(context, order, &message).await?;
    if status != 200 {
        return Err(format!("report: status {status}"));
    }
    context.dialect.decode_report(&body).ok_or_else(|| "invalid report".into())
}

async fn send(context: &Context, order: &Order, message: &Message) -> Result<(u16, bytes::Bytes), String> {
    let sent = context.client().send_message(&order.endpoint, message, RESPONSE_TIMEOUT).await;
    let exchange = sent.map_err(|failure| failure.to_string())?;
    if exchange.reply.is_leaving {
        return Err("the endpoint is leaving".into());
    }
    let read = exchange.read_whole(Bound::message(RESPONSE_TIMEOUT)).await;
    let Answer { head, body, .. } = read.map_err(|failure| failure.to_string())?;
    Ok((head.status, body))
}
