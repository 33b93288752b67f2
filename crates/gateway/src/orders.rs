//! Carries out the orders that the control thread decides, one after the other.

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
    edge::{Claims, Command, Message, Report},
};

/// Longest time for an endpoint to answer a report or an order.
const LIMIT: Duration = Duration::from_millis(800);

/// What became of an order.
#[derive(Debug)]
enum End {
    /// The endpoint carries it out, or has done so before.
    Taken,
    /// It may be carried out: there was no answer.
    Unknown(String),
    /// It will not be carried out.
    Dropped(String),
}

/// Carries out orders for ever.
pub(crate) async fn carry_out(
    context: Arc<Context>,
    holder: Arc<str>,
    orders: Receiver<Order>,
    mut claims: Box<dyn Claims>,
) {
    while let Ok(order) = orders.recv().await {
        let end = give(&context, &holder, &order, &mut *claims).await;
        let (outcome, reason) = match &end {
            End::Taken => ("taken", ""),
            End::Unknown(reason) => ("unknown", reason.as_str()),
            End::Dropped(reason) => ("dropped", reason.as_str()),
        };
        let stage: &'static str = order.stage.into();
        spdlog::info!("order", kv: { endpoint = &*order.endpoint.id, stage, outcome, reason });
        // What may have been taken is left alone until the list shows it, or for long enough.
        if matches!(end, End::Dropped(_)) {
            context.control.order_dropped(&order.endpoint.id);
        }
    }
}

async fn give(context: &Context, holder: &str, order: &Order, claims: &mut dyn Claims) -> End {
    let report = match report(context, order).await {
        Ok(report) => report,
        Err(reason) => return End::Dropped(reason),
    };
    if report.stage == order.stage || report.busy {
        return End::Dropped("the endpoint has changed or is about to".into());
    }
    let began = Instant::now();
    let token = match claim(holder, claims).await {
        Ok(token) => token,
        Err(reason) => return End::Dropped(reason),
    };
    // A process that was held up between the claim and the order might speak into the next
    // holder's turn.
    if began.elapsed() >= LEASE_DURATION {
        return End::Dropped("the claim is too old".into());
    }
    let command = Command { stage: order.stage, holder, token, orders: report.orders };
    let message = context.dialect.command(&order.endpoint, &command);
    match ask(context, order, &message).await {
        Ok((200 | 202, _)) => End::Taken,
        Ok((status, _)) => End::Dropped(format!("status {status}")),
        Err(reason) => End::Unknown(reason),
    }
}

/// Writes the claim; gives the fencing token.
async fn claim(holder: &str, claims: &mut dyn Claims) -> Result<u64, String> {
    let snapshot = claims.read().await?;
    let version = claimable_version(&snapshot, holder).ok_or("another entry has the claim")?;
    let written = claims.write(holder, snapshot.now_ms, version).await?;
    written.ok_or_else(|| "another entry was faster".into())
}

async fn report(context: &Context, order: &Order) -> Result<Report, String> {
    let message = context.dialect.ask_report(&order.endpoint);
    let (status, body) = ask(context, order, &message).await?;
    if status != 200 {
        return Err(format!("report: status {status}"));
    }
    context.dialect.report(&body).ok_or_else(|| "report unreadable".into())
}

async fn ask(context: &Context, order: &Order, message: &Message) -> Result<(u16, bytes::Bytes), String> {
    let sent = context.sender().send(&order.endpoint, &message.head, &message.body, None, LIMIT).await;
    let exchange = sent.map_err(|failure| failure.to_string())?;
    let (head, _, body) = exchange.whole().await.map_err(|failure| failure.to_string())?;
    Ok((head.status, body))
}
