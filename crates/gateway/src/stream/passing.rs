//! Passes a run's events on to its caller.

use std::time::Duration;

use async_std::future::timeout;
use bytes::{Bytes, BytesMut};
use tarragonhill_core::{
    Time,
    gateway::{forecast::Observation, health::Outcome},
};

use super::{
    Progress, Run, Stop,
    events::{count_events, events_end, last_id},
};
use crate::{
    answer::Answer,
    context::{Context, Inbound},
    control::Ticket,
    exchange::{Exchange, Failure},
};

/// A resumable stream goes on elsewhere after this many of its longest allowed pauses without an
/// event; callers leave a silent stream after eight.
const STALLED_GAPS: u32 = 5;
/// The same where no longest pause is declared.
const STALLED: Duration = Duration::from_millis(1_500);

/// A stream that cannot go on elsewhere is given up this much later than its caller gives it up.
pub(super) const SILENCE_SLACK: Duration = Duration::from_millis(500);

/// A run's pace is told this often at most: often enough that a change of speed in its middle is followed,
/// and far less often than events come.
const TELL_PACE: Duration = Duration::from_millis(250);

/// Events of a run that came since its pace was told.
struct Untold {
    since: Option<Time>,
    events: u64,
}

impl Untold {
    /// Counts events; the first ones of a run only start the clock.
    fn note(&mut self, now: Time, events: u64, ticket: &Ticket) {
        let Some(since) = self.since else {
            self.since = Some(now);
            return;
        };
        self.events += events;
        if now.since(since) >= TELL_PACE {
            self.tell(now, ticket);
        }
    }

    /// Tells what has come. The end of a run does so too: one that is shorter than the time between two
    /// tellings would show nothing at all.
    fn tell(&mut self, now: Time, ticket: &Ticket) {
        let Some(since) = self.since.filter(|_| self.events > 0) else { return };
        ticket.paced(self.events, now.since(since));
        *self = Self { since: Some(now), events: 0 };
    }
}

/// Passes a run's events on, whole events only: what comes of an event that is cut in the middle
/// must not reach the caller if the stream goes on elsewhere.
pub(super) async fn pass_on(
    context: &Context,
    inbound: &Inbound,
    run: Run<'_>,
    answer: &mut Answer,
    progress: &mut Progress,
) -> Result<(), Stop> {
    let Run { mut exchange, ticket, sent, start } = run;
    let mut held = BytesMut::new();
    let mut untold = Untold { since: None, events: 0 };
    loop {
        let part = match next_part(inbound, &mut exchange).await {
            Ok(part) => part,
            Err(failure) => {
                let reason = format!("{}: {failure}", ticket.endpoint.id);
                ticket.ended(Outcome::Failed);
                return Err(Stop::Broken(reason));
            }
        };
        if answer.is_open() {
            let seconds = context.clock.now().since(inbound.received).as_secs_f64();
            context.metrics.first.with_label_values(&["streaming"]).observe(seconds);
            answer.begin(exchange.head.clone()).await.map_err(Stop::CallerGone)?;
        }
        let Some(part) = part else {
            answer.part(&held).await.map_err(Stop::CallerGone)?;
            answer.end().await.map_err(Stop::CallerGone)?;
            exchange.keep();
            let size = inbound.size();
            untold.tell(context.clock.now(), &ticket);
            ticket.observed(Observation::Completed {
                expected: size.expected_output,
                events: answer.pace.events,
            });
            return Ok(());
        };
        held.extend_from_slice(&part);
        let Some(end) = events_end(&held) else { continue };
        let events = held.split_to(end);
        if let Some(id) = last_id(&events) {
            progress.last_event = Some(id.into());
        }
        let (now, count) = (context.clock.now(), count_events(&events));
        answer.pace.note(now, count);
        if untold.since.is_none()
            && let Some(observation) = start.observation(inbound.size().prompt, now.since(sent))
        {
            ticket.observed(observation);
        }
        untold.note(now, count, &ticket);
        answer.part(&events).await.map_err(Stop::CallerGone)?;
    }
}

/// The next part of a stream. A connection that something on the way has lost track of falls silent
/// and is never closed; without a limit it would keep its run's memory taken until the deadline.
async fn next_part(inbound: &Inbound, exchange: &mut Exchange<'_>) -> Result<Option<Bytes>, Failure> {
    let limit = if !inbound.route.resumable {
        inbound.route.silence + SILENCE_SLACK
    } else if inbound.route.gap.is_zero() {
        STALLED
    } else {
        inbound.route.gap * STALLED_GAPS
    };
    timeout(limit, exchange.part()).await.unwrap_or(Err(Failure::Late))
}
