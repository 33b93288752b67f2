//! Conversions between protobuf messages and [`tarragonhill_core::message`].

use std::{fmt, time::Duration};

use tarragonhill_core::{
    clock::micros,
    id::{Attempt, Request},
    message::{Event, Heartbeat, Load, Order, PeerReply, PeerRequest, Work},
};

use crate::proto::{self, event, order, peer_reply, peer_request};

/// Error in a received message. Its text is sent to peers as a gRPC status message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The named required field is missing.
    Missing(&'static str),
    /// The named field has an invalid value, which is the second part.
    Invalid(&'static str, String),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(field) => write!(f, "message without {field}"),
            Self::Invalid(field, value) => write!(f, "message with unknown {field} {value:?}"),
        }
    }
}

impl std::error::Error for DecodeError {}

fn require<T>(field: &'static str, value: Option<T>) -> Result<T, DecodeError> {
    value.ok_or(DecodeError::Missing(field))
}

fn parse<T: std::str::FromStr>(field: &'static str, value: &str) -> Result<T, DecodeError> {
    value.parse().map_err(|_| DecodeError::Invalid(field, value.to_owned()))
}

fn status(value: u32) -> Result<u16, DecodeError> {
    u16::try_from(value).map_err(|_| DecodeError::Invalid("status", value.to_string()))
}

impl From<Attempt> for proto::Attempt {
    fn from(attempt: Attempt) -> Self {
        let request = attempt.request.0;
        Self { request_high: (request >> 64) as u64, request_low: request as u64, number: attempt.number }
    }
}

impl From<proto::Attempt> for Attempt {
    fn from(message: proto::Attempt) -> Self {
        let request = u128::from(message.request_high) << 64 | u128::from(message.request_low);
        Self { request: Request(request), number: message.number }
    }
}

fn attempt(message: Option<proto::Attempt>) -> Result<Attempt, DecodeError> {
    require("attempt", message).map(Attempt::from)
}

impl From<Work> for proto::Work {
    fn from(work: Work) -> Self {
        Self {
            attempt: Some(work.attempt.into()),
            endpoint: work.endpoint.to_string(),
            customer: work.customer.to_string(),
            key: work.key.to_string(),
            prompt_tokens: work.prompt_tokens,
            max_tokens: work.max_tokens,
            slack_us: micros(work.slack),
            patience_us: micros(work.timeout),
            suspect: work.suspect,
        }
    }
}

fn work(message: Option<proto::Work>) -> Result<Work, DecodeError> {
    let message = require("work", message)?;
    Ok(Work {
        attempt: attempt(message.attempt)?,
        endpoint: message.endpoint.into(),
        customer: message.customer.into(),
        key: message.key.into(),
        prompt_tokens: message.prompt_tokens,
        max_tokens: message.max_tokens,
        slack: Duration::from_micros(message.slack_us),
        timeout: Duration::from_micros(message.patience_us),
        suspect: message.suspect,
    })
}

impl From<Heartbeat> for proto::Beat {
    fn from(heartbeat: Heartbeat) -> Self {
        Self {
            version: heartbeat.version,
            age_us: micros(heartbeat.age),
            every_us: micros(heartbeat.interval),
            loads: heartbeat.loads.into_iter().map(proto::Load::from).collect(),
        }
    }
}

impl From<proto::Beat> for Heartbeat {
    fn from(message: proto::Beat) -> Self {
        Self {
            version: message.version,
            age: Duration::from_micros(message.age_us),
            interval: Duration::from_micros(message.every_us),
            loads: message.loads.into_iter().map(Load::from).collect(),
        }
    }
}

impl From<Load> for proto::Load {
    fn from(load: Load) -> Self {
        Self {
            endpoint: load.endpoint.to_string(),
            free_pieces: load.free_pieces,
            capacity_pieces: load.capacity_pieces,
            queued_tokens: load.queued_tokens,
            running: load.running,
            leaving: load.leaving,
        }
    }
}

impl From<proto::Load> for Load {
    fn from(message: proto::Load) -> Self {
        Self {
            endpoint: message.endpoint.into(),
            free_pieces: message.free_pieces,
            capacity_pieces: message.capacity_pieces,
            queued_tokens: message.queued_tokens,
            running: message.running,
            leaving: message.leaving,
        }
    }
}

impl From<Order> for proto::Order {
    fn from(message: Order) -> Self {
        let body = match message {
            Order::Hello { entry } => order::Body::Hello(proto::Hello { entry: entry.to_string() }),
            Order::Hold { work, ahead } => order::Body::Hold(proto::Hold { work: Some(work.into()), ahead }),
            Order::Prefill { work, prompt, delay } => order::Body::Prefill(proto::Prefill {
                work: Some(work.into()),
                prompt: prompt.to_string(),
                wait_us: micros(delay),
            }),
            Order::Decode { work, source, kv, from_index, held } => order::Body::Decode(proto::Decode {
                work: Some(work.into()),
                source: source.to_string(),
                kv: kv.to_string(),
                from_index,
                held,
            }),
            Order::Call { work, method, path, body, idempotency_key } => order::Body::Call(proto::Call {
                work: Some(work.into()),
                method: method.to_string(),
                path: path.to_string(),
                body,
                idempotency_key: idempotency_key.to_string(),
            }),
            Order::Cancel(attempt) => order::Body::Cancel(attempt.into()),
            Order::Heartbeat(heartbeat) => order::Body::Beat(heartbeat.into()),
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<proto::Order> for Order {
    type Error = DecodeError;

    fn try_from(message: proto::Order) -> Result<Self, Self::Error> {
        Ok(match require("order", message.body)? {
            order::Body::Hello(hello) => Self::Hello { entry: hello.entry.into() },
            order::Body::Hold(hold) => Self::Hold { work: work(hold.work)?, ahead: hold.ahead },
            order::Body::Prefill(prefill) => Self::Prefill {
                work: work(prefill.work)?,
                prompt: prefill.prompt.into(),
                delay: Duration::from_micros(prefill.wait_us),
            },
            order::Body::Decode(decode) => Self::Decode {
                work: work(decode.work)?,
                source: decode.source.into(),
                kv: decode.kv.into(),
                from_index: decode.from_index,
                held: decode.held,
            },
            order::Body::Call(call) => Self::Call {
                work: work(call.work)?,
                method: call.method.into(),
                path: call.path.into(),
                body: call.body,
                idempotency_key: call.idempotency_key.into(),
            },
            order::Body::Cancel(attempt) => Self::Cancel(attempt.into()),
            order::Body::Beat(heartbeat) => Self::Heartbeat(heartbeat.into()),
        })
    }
}

impl From<Event> for proto::Event {
    fn from(message: Event) -> Self {
        let body = match message {
            Event::Held { attempt, ready_in } => event::Body::Held(proto::Held {
                attempt: Some(attempt.into()),
                ready_in_us: micros(ready_in),
            }),
            Event::Refused { attempt, code, not_run, retry_after } => event::Body::Refused(proto::Refused {
                attempt: Some(attempt.into()),
                code: code.to_string(),
                not_run,
                retry_after_us: micros(retry_after),
            }),
            Event::Prefilled { attempt, source, kv, ttl } => event::Body::Prefilled(proto::Prefilled {
                attempt: Some(attempt.into()),
                source: source.to_string(),
                kv: kv.to_string(),
                lives_us: micros(ttl),
            }),
            Event::Tokens { attempt, first_index, texts } => event::Body::Tokens(proto::Tokens {
                attempt: Some(attempt.into()),
                first_index,
                texts: texts.iter().map(|text| text.to_string()).collect(),
            }),
            Event::Ended { attempt, total } => {
                event::Body::Ended(proto::Ended { attempt: Some(attempt.into()), total })
            }
            Event::Failed { attempt, cause } => {
                event::Body::Broken(proto::Broken { attempt: Some(attempt.into()), code: cause.to_string() })
            }
            Event::Answered { attempt, status, body } => event::Body::Answered(proto::Answered {
                attempt: Some(attempt.into()),
                status: status.into(),
                body,
            }),
            Event::Heartbeat(heartbeat) => event::Body::Beat(heartbeat.into()),
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<proto::Event> for Event {
    type Error = DecodeError;

    fn try_from(message: proto::Event) -> Result<Self, Self::Error> {
        Ok(match require("event", message.body)? {
            event::Body::Held(held) => Self::Held {
                attempt: attempt(held.attempt)?,
                ready_in: Duration::from_micros(held.ready_in_us),
            },
            event::Body::Refused(refused) => Self::Refused {
                attempt: attempt(refused.attempt)?,
                code: parse("code", &refused.code)?,
                not_run: refused.not_run,
                retry_after: Duration::from_micros(refused.retry_after_us),
            },
            event::Body::Prefilled(prefilled) => Self::Prefilled {
                attempt: attempt(prefilled.attempt)?,
                source: prefilled.source.into(),
                kv: prefilled.kv.into(),
                ttl: Duration::from_micros(prefilled.lives_us),
            },
            event::Body::Tokens(tokens) => Self::Tokens {
                attempt: attempt(tokens.attempt)?,
                first_index: tokens.first_index,
                texts: tokens.texts.into_iter().map(Into::into).collect(),
            },
            event::Body::Ended(ended) => Self::Ended { attempt: attempt(ended.attempt)?, total: ended.total },
            event::Body::Broken(broken) => {
                Self::Failed { attempt: attempt(broken.attempt)?, cause: parse("breakage", &broken.code)? }
            }
            event::Body::Answered(answered) => Self::Answered {
                attempt: attempt(answered.attempt)?,
                status: status(answered.status)?,
                body: answered.body,
            },
            event::Body::Beat(heartbeat) => Self::Heartbeat(heartbeat.into()),
        })
    }
}

impl From<PeerRequest> for peer_request::Body {
    fn from(request: PeerRequest) -> Self {
        match request {
            PeerRequest::Borrow { customer, loan } => Self::Borrow(proto::Borrow {
                customer: customer.to_string(),
                tokens: loan.tokens,
                minimum: loan.minimum,
                unspent: loan.unspent,
                refund: loan.refund,
                serial: loan.serial,
            }),
            PeerRequest::Heartbeat(heartbeat) => Self::Beat(heartbeat.into()),
            PeerRequest::CrashStatus { customer, fingerprint, crashed } => {
                Self::Strike(proto::Strike { customer: customer.to_string(), fingerprint, crashed })
            }
            PeerRequest::Renew { incarnation } => Self::Renew(proto::Renew { incarnation }),
            PeerRequest::RefreshShards => Self::Look(proto::Look {}),
        }
    }
}

impl TryFrom<peer_request::Body> for PeerRequest {
    type Error = DecodeError;

    fn try_from(message: peer_request::Body) -> Result<Self, Self::Error> {
        Ok(match message {
            peer_request::Body::Borrow(borrow) => Self::Borrow {
                customer: borrow.customer.into(),
                loan: tarragonhill_core::quota::LoanRequest {
                    tokens: borrow.tokens,
                    minimum: borrow.minimum,
                    unspent: borrow.unspent,
                    refund: borrow.refund,
                    serial: borrow.serial,
                },
            },
            peer_request::Body::Beat(heartbeat) => Self::Heartbeat(heartbeat.into()),
            peer_request::Body::Strike(strike) => Self::CrashStatus {
                customer: strike.customer.into(),
                fingerprint: strike.fingerprint,
                crashed: strike.crashed,
            },
            peer_request::Body::Renew(renew) => Self::Renew { incarnation: renew.incarnation },
            peer_request::Body::Look(proto::Look {}) => Self::RefreshShards,
        })
    }
}

impl From<PeerReply> for proto::PeerReply {
    fn from(reply: PeerReply) -> Self {
        let body = match reply {
            PeerReply::Lent(grant) => peer_reply::Body::Lent(proto::Lent {
                tokens: grant.tokens,
                term_us: micros(grant.term),
                retry_after_us: micros(grant.retry_after),
            }),
            PeerReply::Heartbeat(heartbeat) => peer_reply::Body::Beat(heartbeat.into()),
            PeerReply::CrashStatus(status) => peer_reply::Body::Struck(proto::Struck {
                crashes: status.crashes,
                quarantined_us: micros(status.quarantined),
            }),
            PeerReply::Acknowledged => peer_reply::Body::Noted(proto::Noted {}),
            PeerReply::Renewed { granted } => peer_reply::Body::Renewed(proto::Renewed { granted }),
            PeerReply::NotHome { owner, epoch } => {
                peer_reply::Body::NotHome(proto::NotHome { owner: owner.to_string(), epoch })
            }
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<proto::PeerReply> for PeerReply {
    type Error = DecodeError;

    fn try_from(message: proto::PeerReply) -> Result<Self, Self::Error> {
        Ok(match require("reply", message.body)? {
            peer_reply::Body::Lent(lent) => Self::Lent(tarragonhill_core::quota::Grant {
                tokens: lent.tokens,
                term: Duration::from_micros(lent.term_us),
                retry_after: Duration::from_micros(lent.retry_after_us),
            }),
            peer_reply::Body::Beat(heartbeat) => Self::Heartbeat(heartbeat.into()),
            peer_reply::Body::Struck(struck) => {
                Self::CrashStatus(tarragonhill_core::quarantine::CrashStatus {
                    crashes: struck.crashes,
                    quarantined: Duration::from_micros(struck.quarantined_us),
                })
            }
            peer_reply::Body::Noted(proto::Noted {}) => Self::Acknowledged,
            peer_reply::Body::Renewed(renewed) => Self::Renewed { granted: renewed.granted },
            peer_reply::Body::NotHome(not_home) => {
                Self::NotHome { owner: not_home.owner.into(), epoch: not_home.epoch }
            }
        })
    }
}
