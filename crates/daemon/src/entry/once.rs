//! Calls that must not be executed twice.
//!
//! A record in the table is written before the call is dispatched. Later requests with the same
//! idempotency key find the record and get the recorded answer or a refusal.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use serde_json::json;
use tarragonhill_core::{
    Code, Refusal, Request,
    idempotency::{self, Action, Record, State, WriteOutcome},
    settings::digest,
};
use tarragonhill_http::server::Outbound;
use tarragonhill_table::{Row, TableError, Transaction, Write};

use crate::entry::{
    context::Context,
    request::Call,
    stages::{self, RequestInfo},
};

/// Attempts at each table operation before it is given up.
const MAX_TRIES: u32 = 5;
/// Delay between attempts at a table operation.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves a call with an idempotency key.
pub(crate) async fn call(
    context: &Context,
    info: &RequestInfo,
    call: Call,
    idempotency_key: &Arc<str>,
) -> Result<Outbound, Refusal> {
    stages::check_service(context, &call.service)?;
    let record = RecordHandle {
        context,
        row_key: idempotency::row_key(&info.key.customer, idempotency_key),
        digest: call_digest(&call),
        token: info.request,
    };
    match record.claim().await? {
        Claim::Owned(version) => dispatch(context, info, &call, &record, version).await,
        Claim::Replay(reply) => Ok(reply.outbound()),
    }
}

/// Result of claiming the record of a call.
enum Claim {
    /// This request wrote the record, at this version, and must dispatch the call.
    Owned(u64),
    /// The call was answered before.
    Replay(stages::Reply),
}

/// Returns the digest that identifies the call, to detect reuse of a key for a different call.
fn call_digest(call: &Call) -> Arc<str> {
    let body = String::from_utf8_lossy(&call.body);
    digest(&format!("{}\n{}\n{}\n{body}", call.service, call.method, call.path)).into()
}

async fn dispatch(
    context: &Context,
    info: &RequestInfo,
    call: &Call,
    record: &RecordHandle<'_>,
    version: u64,
) -> Result<Outbound, Refusal> {
    let _charge = match stages::charge_call(context, info).await {
        Ok(charge) => charge,
        Err(refusal) => {
            record.finish(version, State::Abandoned).await;
            return Err(refusal);
        }
    };
    match stages::dispatch(context, info, call, 1, &BTreeSet::new()).await {
        Ok((_, reply)) => {
            let body = String::from_utf8_lossy(&reply.body).into_owned();
            record.finish(version, State::Answered { status: reply.status, body }).await;
            context.metrics.answered.with_label_values(&["call_once"]).inc();
            Ok(reply.outbound())
        }
        Err(failure) => Err(record.record_failure(version, failure).await),
    }
}

/// The record of one call, accessed on behalf of one request.
struct RecordHandle<'a> {
    context: &'a Context,
    row_key: String,
    digest: Arc<str>,
    token: Request,
}

impl RecordHandle<'_> {
    /// Inserts the record, or decides by the existing one.
    async fn claim(&self) -> Result<Claim, Refusal> {
        for _ in 0..MAX_TRIES {
            let found = self.read().await?;
            let expected = match found {
                None => 0,
                Some((version, record)) => match idempotency::decide(&record, &self.digest, self.token) {
                    Action::Dispatch => return Ok(Claim::Owned(version)),
                    Action::Replay { status, body } => {
                        return Ok(Claim::Replay(stages::Reply { status, body: body.into_bytes() }));
                    }
                    Action::Refuse(refusal) => return Err(refusal),
                    Action::Reclaim => version,
                },
            };
            if let Some(version) = self.insert(expected).await? {
                return Ok(Claim::Owned(version));
            }
        }
        Err(unavailable("the record is contended"))
    }

    /// Writes `Started` if the row is still at version `expected`. Returns the new version, or `None`
    /// if another request has written the row.
    async fn insert(&self, expected: u64) -> Result<Option<u64>, Refusal> {
        match self.write(State::Started, expected).await {
            Ok(version) => Ok(Some(version)),
            Err(TableError::Conflict(_)) => Ok(None),
            Err(TableError::Unavailable(reason)) => Err(unavailable(&reason)),
            Err(TableError::Unknown(_)) => self.resolve_insert(expected).await,
        }
    }

    /// Determines whether a write whose reply was lost was applied. If not, writes a tombstone, which
    /// changes the row version so that the lost write cannot be applied later.
    async fn resolve_insert(&self, expected: u64) -> Result<Option<u64>, Refusal> {
        for _ in 0..MAX_TRIES {
            let Ok(found) = self.read().await else {
                self.context.clock.sleep(RETRY_DELAY).await;
                continue;
            };
            let current = found.as_ref().filter(|(version, _)| *version != expected);
            match idempotency::resolve_write(current.map(|(_, record)| record), self.token) {
                WriteOutcome::Applied => return Ok(current.map(|(version, _)| *version)),
                WriteOutcome::Conflict => return Ok(None),
                WriteOutcome::Missing => {
                    if self.write(State::Abandoned, expected).await.is_ok() {
                        return Err(unavailable("the record could not be written"));
                    }
                }
            }
            self.context.clock.sleep(RETRY_DELAY).await;
        }
        // The call was not dispatched. If the record was written, later requests with this key are
        // refused.
        Err(unavailable("it cannot be told whether the record was written"))
    }

    async fn read(&self) -> Result<Option<(u64, Record)>, Refusal> {
        let row =
            self.context.table.get(&self.row_key).await.map_err(|error| unavailable(&error.to_string()))?;
        let Some(Row { version, value: Some(value), .. }) = row else { return Ok(None) };
        let record = serde_json::from_value(value).map_err(|error| unavailable(&error.to_string()))?;
        Ok(Some((version, record)))
    }

    async fn write(&self, state: State, expected: u64) -> Result<u64, TableError> {
        let record = Record { digest: self.digest.clone(), token: self.token, state };
        let write = Write { key: self.row_key.clone(), expected: Some(expected), value: Some(json!(record)) };
        self.context.table.commit(&Transaction { writes: vec![write] }).await
    }

    /// Records the outcome, provided that the record is still at `version`. An unconditional write
    /// that is delayed could overwrite the record of a later request with the same key.
    async fn finish(&self, version: u64, state: State) {
        for _ in 0..MAX_TRIES {
            match self.write(state.clone(), version).await {
                // No other request overwrites a `Started` record, so a conflict means that an earlier
                // attempt of this loop was applied.
                Ok(_) | Err(TableError::Conflict(_)) => return,
                Err(error) => {
                    spdlog::warn!("cannot record the outcome of a call, retrying: {error}", kv: { row = self.row_key.as_str() })
                }
            }
            self.context.clock.sleep(RETRY_DELAY).await;
        }
        spdlog::error!("giving up on recording the outcome of a call", kv: { row = self.row_key.as_str() });
    }

    async fn record_failure(&self, version: u64, failure: stages::Failure) -> Refusal {
        match failure {
            // The call was not sent, or the agent confirmed that it will not run. It may be repeated.
            stages::Failure::Refused(refusal) if refusal.not_run => {
                self.finish(version, State::Abandoned).await;
                refusal
            }
            stages::Failure::Overloaded { retry_after, .. } => {
                self.finish(version, State::Abandoned).await;
                let refusal = Refusal::not_run(Code::Overloaded, "the service has no room");
                refusal.with_retry_after(retry_after.max(RETRY_DELAY))
            }
            stages::Failure::Refused(_) | stages::Failure::Interrupted { .. } => {
                self.finish(version, State::Unknown).await;
                idempotency::refuse_unknown_outcome()
            }
        }
    }
}

fn unavailable(reason: &str) -> Refusal {
    let message = format!("the record of the call cannot be written, so it was not sent: {reason}");
    Refusal::not_run(Code::RecordUnavailable, message).with_retry_after(Duration::from_secs(1))
}
