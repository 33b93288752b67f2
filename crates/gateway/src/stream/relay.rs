//! Relays the events of an endpoint's response to the caller.

use std::{pin::pin, sync::Arc, time::Duration};

use async_std::future::timeout;
use bytes::{Bytes, BytesMut};
use futures_lite::FutureExt as _;
use tarragonhill_core::{
    Time,
    gateway::{directory::Endpoint, forecast::Observation, health::Outcome},
};
use tarragonhill_h1::{body::Framing, field};

use super::{
    Interruption, Progress, Upstream,
    events::{complete_length, count_events, is_inside_event, last_id},
    log_cut,
    placement::{Placement, place},
};
use crate::{
    caller::ResponseWriter,
    context::{Context, Inbound},
    control::Permit,
    exchange::{Exchange, Failure, OVER_BOUND},
};

/// A resumable stream without an event for this many times the route's target gap counts as stalled and is
/// resumed at another endpoint. Callers wait for at least eight times the target gap.
const STALL_GAPS: u32 = 5;
/// The same time for streams whose route has no target gap.
const DEFAULT_STALL_DELAY: Duration = Duration::from_millis(1_500);

/// How much longer than the caller the gateway waits for an event.
pub(super) const STALL_TIMEOUT_SLACK: Duration = Duration::from_millis(500);

/// Longest part of an event that is kept until the rest comes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Minimum interval at which a stream's event rate is recorded. Short enough to follow a change of speed
/// during a stream, and much longer than the time between events.
const RECORD_INTERVAL: Duration = Duration::from_millis(250);

/// Events that have not been recorded yet.
struct PendingEvents {
    /// Start of the interval; `None` before the first event.
    since: Option<Time>,
    events: u64,
}

impl PendingEvents {
    /// Counts events, and records them once the interval is over. The first events only start the interval.
    fn add(&mut self, now: Time, events: u64, permit: &Permit) {
        let Some(since) = self.since else {
            self.since = Some(now);
            return;
        };
        self.events += events;
        if now.since(since) >= RECORD_INTERVAL {
            self.flush(now, permit);
        }
    }

    /// Records the pending events. Also called at the end of a stream, which may be shorter than the interval.
    fn flush(&mut self, now: Time, permit: &Permit) {
        let Some(since) = self.since.filter(|_| self.events > 0) else { return };
        permit.record_events(self.events, now.since(since));
        *self = Self { since: Some(now), events: 0 };
    }
}

/// Relays a response to the caller. Only complete events are relayed, because a stream that resumes at
/// another endpoint repeats a truncated event from its beginning.
pub(super) async fn relay(
    context: &Arc<Context>,
    inbound: &Inbound,
    upstream: Upstream<'_>,
    writer: &mut ResponseWriter,
    progress: &mut Progress,
) -> Result<(), Interruption> {
    let Upstream { mut exchange, permit, sent, start } = upstream;
    let mut buffer = BytesMut::new();
    let mut guard = exchange.guard();
    let mut pending = PendingEvents { since: None, events: 0 };
    // Since when an event is awaited. Bytes that end none are no progress.
    let mut quiet_since = context.clock.now();
    loop {
        let next = next_step(context, inbound, &mut exchange, progress, &permit, quiet_since);
        let step = writer.while_writing(pin!(next)).await;
        let chunk = match step.map_err(Interruption::CallerDisconnected)? {
            Step::Chunk(chunk) => chunk,
            Step::Failed(failure) => {
                let reason = format!("{}: {failure}", permit.endpoint.id);
                permit.finish(Outcome::Failed);
                return Err(Interruption::EndpointFailed(reason));
            }
            Step::Replaced(placement) => {
                permit.finish(Outcome::Failed);
                return Err(Interruption::Stalled(placement));
            }
        };
        if chunk.is_none() {
            spdlog::info!("endpoint's stream ended", kv: {
                request = inbound.id(), endpoint = &*permit.endpoint.id,
                framing = exchange.framing.to_string().as_str(), trailing = buffer.len()
            });
        }
        // Whatever its framing says, a stream that ends inside an event is not complete. A crash may also end it before its
        // first event, which looks like an empty body if no end was stated.
        let is_cut = is_inside_event(&buffer)
            || exchange.framing == Framing::UntilClose && has_no_events(inbound, progress);
        if chunk.is_none() && is_cut {
            let reason =
                format!("{}: the stream ended inside an event or before the first", permit.endpoint.id);
            permit.finish(Outcome::Failed);
            return Err(Interruption::EndpointFailed(reason));
        }
        if writer.is_unsent() {
            let seconds = context.clock.now().since(inbound.received).as_secs_f64();
            context.metrics.first_byte.with_label_values(&["streaming"]).observe(seconds);
            let written = writer.write_head(exchange.head.clone(), exchange.framing).await;
            written.map_err(Interruption::CallerDisconnected)?;
        }
        let Some(chunk) = chunk else {
            let framing = exchange.framing;
            exchange.recycle();
            record_end(context, inbound, progress, &permit.endpoint, sent);
            let size = inbound.size();
            pending.flush(context.clock.now(), &permit);
            permit.observe(Observation::Completed {
                expected: size.expected_output,
                events: writer.timing.events,
            });
            // The endpoint is done with the stream, however slowly its end is read.
            drop(permit);
            writer.write_chunk(&buffer).await.map_err(Interruption::CallerDisconnected)?;
            writer.finish(framing).await.map_err(Interruption::CallerDisconnected)?;
            if !writer.is_complete() {
                log_cut(context, inbound, writer, "the endpoint of its last part stated no end");
            }
            return Ok(());
        };
        let searched = buffer.len();
        buffer.extend_from_slice(&chunk);
        if guard.set(buffer.len()).is_err() {
            let reason = format!("{}: {OVER_BOUND}", permit.endpoint.id);
            return Err(Interruption::EndpointFailed(reason));
        }
        let Some(length) = complete_length(&buffer, searched) else {
            let silence = context.clock.now().since(quiet_since);
            if buffer.len() <= MAX_EVENT_BYTES && silence < stall_timeout(inbound) {
                continue;
            }
            let reason = format!("{}: an event without an end", permit.endpoint.id);
            permit.finish(Outcome::Failed);
            return Err(Interruption::EndpointFailed(reason));
        };
        let events = buffer.split_to(length);
        if let Some(id) = last_id(&events) {
            let name = std::str::from_utf8(id).ok().filter(|name| field::is_value(name.as_bytes()));
            // A resume after an earlier event would repeat events.
            if name.is_none() && inbound.route.is_resumable {
                let reason = format!("{}: an event whose id cannot be sent", permit.endpoint.id);
                permit.finish(Outcome::Failed);
                return Err(Interruption::EndpointFailed(reason));
            }
            progress.last_event = name.map(Arc::from);
        }
        progress.software_version.get_or_insert_with(|| permit.endpoint.software_version.clone());
        if progress.events == 0 {
            inbound.record_origin(context, &permit.endpoint.software_version);
        }
        let (now, count) = (context.clock.now(), count_events(&events));
        progress.attempt_events += count;
        writer.timing.record(now, count);
        (progress.waiting_since, progress.events) = (now, writer.timing.events);
        if pending.since.is_none()
            && let Some(observation) = start.observation(inbound.size().prompt, now.since(sent))
        {
            permit.observe(observation);
        }
        pending.add(now, count, &permit);
        writer.write_chunk(&events).await.map_err(Interruption::CallerDisconnected)?;
        quiet_since = context.clock.now();
    }
}

/// Records that the response has come to its end. A run that took up a stream has not been through all of its request.
fn record_end(
    context: &Arc<Context>,
    inbound: &Inbound,
    progress: &Progress,
    endpoint: &Arc<Endpoint>,
    sent: Time,
) {
    let is_whole = progress.attempt_events == progress.events && inbound.metadata.resume.is_none();
    if is_whole {
        inbound.record_completed(context, endpoint, sent);
    } else {
        inbound.end_trial(context);
    }
}

/// Returns whether the caller has no event of a stream, from this gateway or before it took the stream up.
fn has_no_events(inbound: &Inbound, progress: &Progress) -> bool {
    progress.events == 0 && inbound.metadata.resume.is_none()
}

/// What happens next to a response.
enum Step {
    /// The next chunk of the body; `None` at its regular end.
    Chunk(Option<Bytes>),
    /// The endpoint failed, or sent nothing for too long.
    Failed(Failure),
    /// The endpoint sends nothing, and the stream can be resumed at another one.
    Replaced(Placement),
}

impl From<Result<Option<Bytes>, Failure>> for Step {
    fn from(read: Result<Option<Bytes>, Failure>) -> Self {
        read.map_or_else(Self::Failed, Self::Chunk)
    }
}

/// Waits for the next chunk of a response, with a timeout. A connection may stall without being closed, for
/// example when a middlebox loses its state; its memory would then stay reserved until the deadline.
///
/// A resumable stream that stalls is placed at another endpoint. Until that succeeds, it may still continue:
/// an endpoint without free memory pauses streams, and the other endpoints are often full as well.
async fn next_step(
    context: &Arc<Context>,
    inbound: &Inbound,
    exchange: &mut Exchange<'_>,
    progress: &Progress,
    permit: &Permit,
    quiet_since: Time,
) -> Step {
    let silence = context.clock.now().since(quiet_since);
    let limit = stall_timeout(inbound).saturating_sub(silence);
    let chunk = async { timeout(limit, exchange.next_chunk()).await.unwrap_or(Err(Failure::Timeout)).into() };
    if !progress.may_retry_after_failure(inbound) {
        return chunk.await;
    }
    let replacement = async {
        async_std::task::sleep(stall_delay(inbound).saturating_sub(silence)).await;
        let mut progress = progress.clone();
        progress.avoid.push(permit.endpoint.id.clone());
        match place(context, inbound, &progress).await {
            Ok(placement) if inbound.charge(context, placement.plan()).await => Step::Replaced(placement),
            Ok(_) | Err(_) => std::future::pending().await,
        }
    };
    chunk.or(replacement).await
}

/// Returns how long an event is awaited.
fn stall_timeout(inbound: &Inbound) -> Duration {
    inbound.route.stall_timeout + STALL_TIMEOUT_SLACK
}

/// Returns how long a resumable stream may be silent before another endpoint is sought.
fn stall_delay(inbound: &Inbound) -> Duration {
    let gap = inbound.route.target_gap;
    if gap.is_zero() { DEFAULT_STALL_DELAY } else { gap * STALL_GAPS }
}
