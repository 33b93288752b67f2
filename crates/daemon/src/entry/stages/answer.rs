//! Output of an answer to the caller: each token once and in order, with an explicit end.

use std::{io, sync::Arc};

use async_channel::Sender;
use serde_json::json;
use tarragonhill_core::{Refusal, Request, Time};
use tarragonhill_http::server::Outbound;

use crate::entry::{context::Context, request::refusal_body};

/// Error while passing tokens to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TokenError {
    /// One or more tokens are missing.
    Gap,
    /// The caller has disconnected.
    CallerDisconnected,
}

/// An answer in progress, either collected or streamed.
pub(super) struct Output<'a> {
    context: &'a Context,
    request: Request,
    /// Index of the next token; all tokens below it have been accepted.
    next_index: u32,
    arrived: Time,
    last_token_at: Time,
    delivery: Delivery,
}

enum Delivery {
    /// All tokens are sent in one response at the end.
    Buffered(String),
    /// Tokens are sent as they arrive. The response head is sent with the first token, so that a
    /// request refused before that gets its own HTTP status.
    Stream { head: Sender<Outbound>, body: Option<tarragonhill_http::Sender> },
}

impl<'a> Output<'a> {
    pub(super) fn buffered(context: &'a Context, request: Request, arrived: Time) -> Self {
        Self {
            context,
            request,
            next_index: 0,
            arrived,
            last_token_at: arrived,
            delivery: Delivery::Buffered(String::new()),
        }
    }

    pub(super) fn stream(
        context: &'a Context,
        request: Request,
        arrived: Time,
        head: Sender<Outbound>,
    ) -> Self {
        Self {
            context,
            request,
            next_index: 0,
            arrived,
            last_token_at: arrived,
            delivery: Delivery::Stream { head, body: None },
        }
    }

    /// Returns the index of the next token; equals the number of tokens accepted.
    pub(super) fn next_index(&self) -> u32 {
        self.next_index
    }

    /// Passes on tokens. Drops those below the next index, which a resumed decode may repeat.
    pub(super) async fn accept_tokens(
        &mut self,
        first_index: u32,
        texts: &[Arc<str>],
    ) -> Result<(), TokenError> {
        for (index, text) in (first_index..).zip(texts) {
            if index < self.next_index {
                continue;
            }
            if index > self.next_index {
                return Err(TokenError::Gap);
            }
            self.record_token();
            self.write_token(index, text).await?;
            self.next_index += 1;
        }
        Ok(())
    }

    fn record_token(&mut self) {
        let now = self.context.clock.now();
        let metrics = &self.context.metrics;
        match self.next_index {
            0 => metrics.observe_first_token(now.since(self.arrived)),
            _ => metrics.observe_token_gap(now.since(self.last_token_at)),
        }
        metrics.tokens.inc();
        self.last_token_at = now;
    }

    async fn write_token(&mut self, index: u32, text: &str) -> Result<(), TokenError> {
        if let Delivery::Buffered(collected) = &mut self.delivery {
            collected.push_str(text);
            return Ok(());
        }
        let line = json!({ "index": index, "text": text });
        self.send(format!("data: {line}\n\n")).await
    }

    async fn send(&mut self, chunk: String) -> Result<(), TokenError> {
        let Delivery::Stream { head, body } = &mut self.delivery else { return Ok(()) };
        let sender = match body {
            Some(sender) => sender,
            None => {
                let (outbound, sender) = Outbound::stream(200, "text/event-stream");
                head.send(outbound).await.map_err(|_| TokenError::CallerDisconnected)?;
                body.insert(sender)
            }
        };
        sender.send(Ok(chunk.into_bytes())).await.map_err(|_| TokenError::CallerDisconnected)
    }

    /// Ends a complete answer. Returns the response, or `None` if it was streamed.
    pub(super) async fn finish(mut self) -> Result<Option<Outbound>, TokenError> {
        let tokens = self.next_index;
        if let Delivery::Buffered(text) = &mut self.delivery {
            let text = std::mem::take(text);
            let id = self.request.to_string();
            return Ok(Some(Outbound::json(
                200,
                &json!({ "request_id": id, "text": text, "tokens": tokens }),
            )));
        }
        let end = json!({ "done": true, "tokens": tokens, "request_id": self.request.to_string() });
        self.send(format!("data: {end}\n\ndata: [DONE]\n\n")).await?;
        Ok(None)
    }

    /// Aborts the answer. If part of it was streamed, sends an error event and cuts the connection
    /// before the end of the body, so that it cannot be mistaken for complete. Otherwise returns the
    /// refusal.
    pub(super) async fn abort(self, refusal: Refusal) -> Option<Refusal> {
        let Delivery::Stream { body: Some(body), .. } = self.delivery else { return Some(refusal) };
        let error = refusal_body(self.request, &refusal);
        let _ = body.send(Ok(format!("event: error\ndata: {error}\n\n").into_bytes())).await;
        let _ = body.send(Err(io::Error::other("answer aborted"))).await;
        self.context.metrics.count_refusal(refusal.code);
        None
    }
}
