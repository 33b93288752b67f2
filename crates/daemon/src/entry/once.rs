//! Calls that may not be repeated: a record in the table before the one dispatch.

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
    stages::{self, Ticket},
};

/// Times that a lost answer is settled before the caller is told.
const TRIES: u32 = 5;
/// Pause between them.
const PAUSE: Duration = Duration::from_millis(100);

/// Serves a call that may not be repeated.
pub(crate) async fn call(
    context: &Context,
    ticket: &Ticket,
    call: Call,
    idempotency_key: &Arc<str>,
) -> Result<Outbound, Refusal> {
    stages::check_service(context, &call.service)?;
    let record = Entry {
        context,
        key: idempotency::row_key(&ticket.key.customer, idempotency_key),
        digest: call_digest(&call),
        token: ticket.request,
    };
    match record.begin().await? {
        Begun::Ours(version) => dispatch(context, ticket, &call, &record, version).await,
        Begun::Replay(reply) => Ok(reply.outbound()),
    }
}

/// What became of the attempt to begin a call.
enum Begun {
    /// The record is ours and stands at this version: dispatch, once.
    Ours(u64),
    /// The call was made before; this is its answer.
    Replay(stages::Reply),
}

/// Digest of everything that makes it this call and no other.
fn call_digest(call: &Call) -> Arc<str> {
    let body = String::from_utf8_lossy(&call.body);
    digest(&format!("{}\n{}\n{}\n{body}", call.service, call.method, call.path)).into()
}

async fn dispatch(
    context: &Context,
    ticket: &Ticket,
    call: &Call,
    record: &Entry<'_>,
    version: u64,
) -> Result<Outbound, Refusal> {
    let _charge = match stages::charge_call(context, ticket).await {
        Ok(charge) => charge,
        Err(refusal) => {
            record.finish(version, State::Abandoned).await;
            return Err(refusal);
        }
    };
    match stages::dispatch(context, ticket, call, 1, &BTreeSet::new()).await {
        Ok((_, reply)) => {
            let body = String::from_utf8_lossy(&reply.body).into_owned();
            record.finish(version, State::Answered { status: reply.status, body }).await;
            context.metrics.answered.with_label_values(&["call_once"]).inc();
            Ok(reply.outbound())
        }
        Err(failure) => Err(record.failed(version, failure).await),
    }
}

/// The record of one call, as seen by one request.
struct Entry<'a> {
    context: &'a Context,
    key: String,
    digest: Arc<str>,
    token: Request,
}

impl Entry<'_> {
    /// Inserts the record, unless another stands there.
    async fn begin(&self) -> Result<Begun, Refusal> {
        for _ in 0..TRIES {
            let found = self.read().await?;
            let expected = match found {
                None => 0,
                Some((version, record)) => match idempotency::decide(&record, &self.digest, self.token) {
                    Action::Dispatch => return Ok(Begun::Ours(version)),
                    Action::Replay { status, body } => {
                        return Ok(Begun::Replay(stages::Reply { status, body: body.into_bytes() }));
                    }
                    Action::Refuse(refusal) => return Err(refusal),
                    Action::Reclaim => version,
                },
            };
            if let Some(version) = self.insert(expected).await? {
                return Ok(Begun::Ours(version));
            }
        }
        Err(unavailable("the record is contended"))
    }

    /// Writes `Started` over `expected`; the version it stands at, none if another stands there now.
    async fn insert(&self, expected: u64) -> Result<Option<u64>, Refusal> {
        match self.write(State::Started, expected).await {
            Ok(version) => Ok(Some(version)),
            Err(TableError::Conflict(_)) => Ok(None),
            Err(TableError::Unavailable(why)) => Err(unavailable(&why)),
            Err(TableError::Unknown(_)) => self.settle(expected).await,
        }
    }

    /// Finds out whether a write whose answer was lost has landed, and makes sure that it cannot
    /// land later: the tombstone takes the place that the write expects to be free.
    async fn settle(&self, expected: u64) -> Result<Option<u64>, Refusal> {
        for _ in 0..TRIES {
            let Ok(found) = self.read().await else {
                self.context.clock.sleep(PAUSE).await;
                continue;
            };
            let standing = found.as_ref().filter(|(version, _)| *version != expected);
            match idempotency::resolve_write(standing.map(|(_, record)| record), self.token) {
                WriteOutcome::Applied => return Ok(standing.map(|(version, _)| *version)),
                WriteOutcome::Conflict => return Ok(None),
                WriteOutcome::Missing => {
                    if self.write(State::Abandoned, expected).await.is_ok() {
                        return Err(unavailable("the record could not be written"));
                    }
                }
            }
            self.context.clock.sleep(PAUSE).await;
        }
        // Nothing was dispatched and nothing will be: whoever finds the record standing refuses.
        Err(unavailable("it cannot be told whether the record was written"))
    }

    async fn read(&self) -> Result<Option<(u64, Record)>, Refusal> {
        let row = self.context.table.get(&self.key).await.map_err(|error| unavailable(&error.to_string()))?;
        let Some(Row { version, value: Some(value), .. }) = row else { return Ok(None) };
        let record = serde_json::from_value(value).map_err(|error| unavailable(&error.to_string()))?;
        Ok(Some((version, record)))
    }

    async fn write(&self, state: State, expected: u64) -> Result<u64, TableError> {
        let record = Record { digest: self.digest.clone(), token: self.token, state };
        let write = Write { key: self.key.clone(), expected: Some(expected), value: Some(json!(record)) };
        self.context.table.commit(&Transaction { writes: vec![write] }).await
    }

    /// Records an outcome over our record, which stands at `version`.
    ///
    /// Guards against a write that was taken for lost and lands late, when the next request under
    /// this key has long run: unconditional, it would make the call look as if it had not.
    async fn finish(&self, version: u64, state: State) {
        for _ in 0..TRIES {
            match self.write(state.clone(), version).await {
                // Nobody else writes over a started record: an earlier try of ours has landed.
                Ok(_) | Err(TableError::Conflict(_)) => return,
                Err(error) => {
                    spdlog::warn!("outcome not recorded yet: {error}", kv: { row = self.key.as_str() })
                }
            }
            self.context.clock.sleep(PAUSE).await;
        }
        spdlog::error!("outcome not recorded", kv: { row = self.key.as_str() });
    }

    async fn failed(&self, version: u64, failure: stages::Failure) -> Refusal {
        match failure {
            // The agent confirmed, or nothing was sent: the call never runs, so it may be made again.
            stages::Failure::Refused(refusal) if refusal.not_run => {
                self.finish(version, State::Abandoned).await;
                refusal
            }
            stages::Failure::Full { retry_after, .. } => {
                self.finish(version, State::Abandoned).await;
                let refusal = Refusal::not_run(Code::Overloaded, "the service has no room");
                refusal.with_retry_after(retry_after.max(PAUSE))
            }
            stages::Failure::Refused(_) | stages::Failure::Broken { .. } => {
                self.finish(version, State::Unknown).await;
                idempotency::refuse_unknown_outcome()
            }
        }
    }
}

fn unavailable(why: &str) -> Refusal {
    let message = format!("the record of the call cannot be written, so it was not sent: {why}");
    Refusal::not_run(Code::RecordUnavailable, message).with_retry_after(Duration::from_secs(1))
}
