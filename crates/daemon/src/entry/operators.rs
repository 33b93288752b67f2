//! HTTP API for operators: shows the settings and the state, and plans and confirms changes.

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
    entry::context::{Context, new_request_id},
};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Confirm {
    plan: Plan,
    digest: String,
}

/// Serves one HTTP request at the admin address.
pub(crate) async fn handle(context: Arc<Context>, inbound: Inbound) -> Outbound {
    let ready = context.check_serving().is_ok();
    if let Some(outbound) =
        admin::handle_common(&inbound.method, &inbound.path, context.metrics.registry(), ready)
    {
        return outbound;
    }
    if !is_authorized(&context, &inbound) {
        return error(401, "bad_token", "operators must show their token");
    }
    let body = inbound.body.as_deref().unwrap_or_default();
    match (inbound.method.as_str(), inbound.path.as_str()) {
        ("GET", "/dump") => dump_state(&context).await,
        ("GET", "/settings") => show_settings(&context),
        ("POST", "/plan") => plan(&context, body),
        ("POST", "/confirm") => confirm(&context, body).await,
        ("GET", path) => match path.strip_prefix("/plans/") {
            Some(id) => resolve(&context, id).await,
            None => admin::not_found(&inbound.method, &inbound.path),
        },
        _ => admin::not_found(&inbound.method, &inbound.path),
    }
}

fn is_authorized(context: &Context, inbound: &Inbound) -> bool {
    let Some(token) = &context.operator_token else { return true };
    let presented = inbound.header("authorization").and_then(|value| value.strip_prefix("Bearer "));
    // Compares digests, so that the response time reveals nothing about the token.
    let digest = |text: &str| tarragonhill_core::settings::digest(text);
    presented.is_some_and(|presented| digest(presented) == digest(token))
}

fn error(status: u16, code: &str, message: &str) -> Outbound {
    Outbound::json(status, &json!({"error": {"code": code, "message": message}}))
}

async fn dump_state(context: &Context) -> Outbound {
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

fn show_settings(context: &Context) -> Outbound {
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
        Err(err) => return error(400, "bad_intent", &err.to_string()),
    };
    let settings = context.current.get();
    let running = context.running.load(std::sync::atomic::Ordering::Relaxed);
    match Plan::build(new_request_id().to_string(), &settings, intent, |_| running) {
        Ok(plan) => Outbound::json(200, &json!({"digest": plan.digest(), "plan": plan})),
        Err(err) => error(400, "bad_intent", &err.to_string()),
    }
}

async fn confirm(context: &Context, body: &[u8]) -> Outbound {
    let Confirm { plan, digest } = match serde_json::from_slice(body) {
        Ok(confirm) => confirm,
        Err(err) => return error(400, "bad_confirm", &err.to_string()),
    };
    // The plan must be checked against the newest settings.
    if let Err(err) = context.current.refresh(&*context.table).await {
        return error(503, "table_unavailable", &format!("{err}; nothing was changed"));
    }
    let settings = context.current.get();
    let rows = match plan.confirm(&settings, &digest) {
        Ok(rows) => rows,
        Err(err @ PlanError::VersionConflict { .. }) => return error(409, "moved", &err.to_string()),
        Err(err) => return error(400, "bad_confirm", &err.to_string()),
    };
    let version_row = match context.table.get(VERSION_ROW).await {
        Ok(row) => row,
        Err(err) => return error(503, "table_unavailable", &format!("{err}; nothing was changed")),
    };
    let current_version =
        version_row.as_ref().and_then(|row| row.value.as_ref()).and_then(Value::as_u64).unwrap_or(0);
    if current_version != plan.version {
        let err = PlanError::VersionConflict { planned: plan.version, current: current_version };
        return error(409, "moved", &err.to_string());
    }
    let expected = version_row.map_or(0, |row| row.version);
    commit(context, &plan, &rows, expected).await
}

/// Writes all rows, the version and the plan's record in one transaction. It is conditional on the
/// version row, so that only one of two concurrent confirmations succeeds.
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
        Ok(_) => respond_confirmed(context, plan.version + 1).await,
        Err(TableError::Conflict(_)) => {
            let err = "the settings moved on while the plan was confirmed; nothing was changed by this confirm, \
                       unless it was confirmed before: ask for the plan's id";
            error(409, "moved", err)
        }
        Err(TableError::Unavailable(err)) => {
            error(503, "table_unavailable", &format!("{err}; nothing was changed"))
        }
        Err(TableError::Unknown(err)) => {
            let message = format!("{err}; ask for plan {} to learn whether it took effect", plan.id);
            error(504, "unknown", &message)
        }
    }
}

async fn respond_confirmed(context: &Context, version: u64) -> Outbound {
    // Applies the change here before the reply is sent. Other processes apply it after a heartbeat or
    // poll.
    let _ = context.current.refresh(&*context.table).await;
    context.current.request_refresh();
    Outbound::json(200, &json!({"outcome": "confirmed", "version": version}))
}

/// Returns the outcome of a plan. If there is no record, writes a tombstone first, so that a
/// confirmation whose reply was lost cannot take effect afterwards.
async fn resolve(context: &Context, id: &str) -> Outbound {
    let key = format!("{}{id}", tarragonhill_core::plan::PREFIX);
    for _ in 0..2 {
        match context.table.get(&key).await {
            Ok(Some(row)) => return Outbound::json(200, &annotate(context, row.value.unwrap_or_default())),
            Ok(None) => {}
            Err(err) => return error(503, "table_unavailable", &err.to_string()),
        }
        let tombstone = json!({"outcome": "not_confirmed"});
        let write = Write { key: key.clone(), expected: Some(0), value: Some(tombstone) };
        // The result is ignored: the next read shows whether there is a record now.
        let _ = context.table.commit(&Transaction { writes: vec![write] }).await;
    }
    error(503, "unknown", "the table does not tell yet; ask again")
}

/// Adds to a plan's record the peers that have not applied its version yet.
fn annotate(context: &Context, mut record: Value) -> Value {
    if let Some(version) = record["version"].as_u64() {
        record["not_in_force_at"] =
            json!(context.current.freshness(|freshness| freshness.peers_behind(version)));
    }
    record
}
