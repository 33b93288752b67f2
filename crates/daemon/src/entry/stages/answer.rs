//! The answer as the caller gets it: every token once, in order, to its proper end.

use std::{io, sync::Arc};

use async_channel::Sender;
use serde_json::json;
use tarragonhill_core::{Refusal, Request, Time};
use tarragonhill_http::server::Outbound;

use crate::entry::{context::Context, request::refusal_body};

/// Tokens arrived with a gap before them, so the answer cannot be whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TokenError {
    /// A token is missing.
    Gap,
    /// The caller no longer reads.
    CallerGone,
}

/// Collects or streams an answer.
pub(super) struct Output<'a> {
    context: &'a Context,
    request: Request,
    /// Index of the next token; whatever lies below it has been taken already.
    next_index: u32,
    arrived: Time,
    last_token_at: Time,
    delivery: Delivery,
}

enum Delivery {
    /// All tokens at once.
    Buffered(String),
    /// Tokens as they come. The head goes out with the first, so that a refusal before it still
    /// has a status of its own.
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

    /// Index of the next token wanted.
    pub(super) fn next_index(&self) -> u32 {
        self.next_index
    }

    /// Takes tokens. Those below the next index are repeats of a resumed decode and dropped.
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
                head.send(outbound).await.map_err(|_| TokenError::CallerGone)?;
                body.insert(sender)
            }
        };
        sender.send(Ok(chunk.into_bytes())).await.map_err(|_| TokenError::CallerGone)
    }

    /// Ends a whole answer; returns the response unless it was streamed.
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

    /// Breaks the answer off so that nobody takes it for whole: an error event, then a connection
    /// cut before the body's end. Gives the refusal back if nothing has been sent yet.
    pub(super) async fn abort(self, refusal: Refusal) -> Option<Refusal> {
        let Delivery::Stream { body: Some(body), .. } = self.delivery else { return Some(refusal) };
        let error = refusal_body(self.request, &refusal);
        let _ = body.send(Ok(format!("event: error\ndata: {error}\n\n").into_bytes())).await;
        let _ = body.send(Err(io::Error::other("answer broke off"))).await;
        self.context.metrics.count_refusal(refusal.code);
        None
    }
}
