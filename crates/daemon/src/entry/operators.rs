//! The operators' HTTP API: plan, confirm, show, dump.

use std::sync::Arc;

use serde::Deserialize;
use serde_json::{Value, json};
use tarragonhill_core::{
    plan::{Intent, Plan, PlanError},
    settings::VERSION_ROW,
};
use tarragonhill_http::server::{Inbound, Outbound};
use tarragonhill_table::{TableError, Transaction, Write};

use crate::{
    admin,
    entry::context::{Context, new_request},
};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Confirm {
    plan: Plan,
    digest: String,
}

/// Answers one request at the admin address.
pub(crate) async fn answer(context: Arc<Context>, inbound: Inbound) -> Outbound {
    let ready = context.check_serving().is_ok();
    if let Some(outbound) = admin::handle_common(&inbound, context.metrics.registry(), ready) {
        return outbound;
    }
    if !may_operate(&context, &inbound) {
        return error(401, "bad_token", "operators must show their token");
    }
    let body = inbound.body.as_deref().unwrap_or_default();
    match (inbound.method.as_str(), inbound.path.as_str()) {
        ("GET", "/dump") => dump(&context).await,
        ("GET", "/settings") => show(&context),
        ("POST", "/plan") => plan(&context, body),
        ("POST", "/confirm") => confirm(&context, body).await,
        ("GET", path) => match path.strip_prefix("/plans/") {
            Some(id) => resolve(&context, id).await,
            None => admin::not_found(&inbound),
        },
        _ => admin::not_found(&inbound),
    }
}

fn may_operate(context: &Context, inbound: &Inbound) -> bool {
    let Some(token) = &context.operator_token else { return true };
    let shown = inbound.header("authorization").and_then(|value| value.strip_prefix("Bearer "));
    // Compared by digest, so that timing tells nothing about the token.
    let digest = |text: &str| tarragonhill_core::settings::digest(text);
    shown.is_some_and(|shown| digest(shown) == digest(token))
}

fn error(status: u16, code: &str, message: &str) -> Outbound {
    Outbound::json(status, &json!({"error": {"code": code, "message": message}}))
}

async fn dump(context: &Context) -> Outbound {
    let mut state = context.control.dump().await;
    let heartbeat = context.current.heartbeat();
    let (links, up) = context.links.count();
    state["settings_version"] = heartbeat.version.into();
    state["settings_age_ms"] = u64::try_from(heartbeat.age.as_millis()).unwrap_or(u64::MAX).into();
    state["running"] = context.running.load(std::sync::atomic::Ordering::Relaxed).into();
    state["links"] = json!({"wanted": links, "up": up});
    state["serving"] = context.check_serving().is_ok().into();
    Outbound::json(200, &state)
}

fn show(context: &Context) -> Outbound {
    let settings = context.current.get();
    let customers: Value = settings.customers.iter().map(|(name, c)| (name.to_string(), json!(c))).collect();
    let endpoints: Value = settings.endpoints.iter().map(|(name, e)| (name.to_string(), json!(e))).collect();
    let keys: Value = settings.keys.values().map(|key| (key.id.to_string(), json!(key))).collect();
    Outbound::json(
        200,
        &json!({"version": settings.version, "customers": customers, "keys": keys, "endpoints": endpoints}),
    )
}

fn plan(context: &Context, body: &[u8]) -> Outbound {
    let intent: Intent = match serde_json::from_slice(body) {
        Ok(intent) => intent,
        Err(why) => return error(400, "bad_intent", &why.to_string()),
    };
    let settings = context.current.get();
    let running = context.running.load(std::sync::atomic::Ordering::Relaxed);
    match Plan::build(new_request().to_string(), &settings, intent, |_| running) {
        Ok(plan) => Outbound::json(200, &json!({"digest": plan.digest(), "plan": plan})),
        Err(why) => error(400, "bad_intent", &why.to_string()),
    }
}

async fn confirm(context: &Context, body: &[u8]) -> Outbound {
    let Confirm { plan, digest } = match serde_json::from_slice(body) {
        Ok(confirm) => confirm,
        Err(why) => return error(400, "bad_confirm", &why.to_string()),
    };
    // The newest settings decide; an entry that cannot read them cannot accept a change.
    if let Err(why) = context.current.refresh(&*context.table).await {
        return error(503, "table_unavailable", &format!("{why}; nothing was changed"));
    }
    let settings = context.current.get();
    let rows = match plan.confirm(&settings, &digest) {
        Ok(rows) => rows,
        Err(why @ PlanError::VersionConflict { .. }) => return error(409, "moved", &why.to_string()),
        Err(why) => return error(400, "bad_confirm", &why.to_string()),
    };
    let version_row = match context.table.get(VERSION_ROW).await {
        Ok(row) => row,
        Err(why) => return error(503, "table_unavailable", &format!("{why}; nothing was changed")),
    };
    let stands = version_row.as_ref().and_then(|row| row.value.as_ref()).and_then(Value::as_u64).unwrap_or(0);
    if stands != plan.version {
        let why = PlanError::VersionConflict { planned: plan.version, current: stands };
        return error(409, "moved", &why.to_string());
    }
    let expected = version_row.map_or(0, |row| row.version);
    commit(context, &plan, &rows, expected).await
}

/// Writes all rows, the version and the plan's record in one transaction. The compare on the
/// version row lets one of two racing operators win; the other's changes nothing.
async fn commit(
    context: &Context,
    plan: &Plan,
    rows: &[tarragonhill_core::settings::Row],
    expected: u64,
) -> Outbound {
    let mut writes: Vec<Write> = rows
        .iter()
        .map(|row| {
            let key = row.key();
            let expected = (key == VERSION_ROW).then_some(expected);
            Write { key, expected, value: row.value() }
        })
        .collect();
    let record = json!({"outcome": "confirmed", "version": plan.version + 1});
    writes.push(Write { key: plan.record_key(), expected: Some(0), value: Some(record) });
    match context.table.commit(&Transaction { writes }).await {
        Ok(_) => accepted(context, plan.version + 1).await,
        Err(TableError::Conflict(_)) => {
            let why = "the settings moved on while the plan was confirmed; nothing was changed by this confirm, \
                       unless it was confirmed before: ask for the plan's id";
            error(409, "moved", why)
        }
        Err(TableError::Unavailable(why)) => {
            error(503, "table_unavailable", &format!("{why}; nothing was changed"))
        }
        Err(TableError::Unknown(why)) => {
            let message = format!("{why}; ask for plan {} to learn whether it took effect", plan.id);
            error(504, "unknown", &message)
        }
    }
}

async fn accepted(context: &Context, version: u64) -> Outbound {
    // In force here before the operator hears of it; everywhere else by heartbeats and polls.
    let _ = context.current.refresh(&*context.table).await;
    context.current.request_refresh();
    Outbound::json(200, &json!({"outcome": "confirmed", "version": version}))
}

/// Tells what became of a plan. One without a record gets a tombstone first, so that a confirm
/// whose answer was lost cannot take effect after this has said that it did not.
async fn resolve(context: &Context, id: &str) -> Outbound {
    let key = format!("{}{id}", tarragonhill_core::plan::PREFIX);
    for _ in 0..2 {
        match context.table.get(&key).await {
            Ok(Some(row)) => return Outbound::json(200, &outcome(context, row.value.unwrap_or_default())),
            Ok(None) => {}
            Err(why) => return error(503, "table_unavailable", &why.to_string()),
        }
        let tombstone = json!({"outcome": "not_confirmed"});
        let write = Write { key: key.clone(), expected: Some(0), value: Some(tombstone) };
        // Whatever became of this write, reading again tells.
        let _ = context.table.commit(&Transaction { writes: vec![write] }).await;
    }
    error(503, "unknown", "the table does not tell yet; ask again")
}

fn outcome(context: &Context, mut record: Value) -> Value {
    if let Some(version) = record["version"].as_u64() {
        record["not_in_force_at"] =
            json!(context.current.freshness(|freshness| freshness.peers_behind(version)));
    }
    record
}
