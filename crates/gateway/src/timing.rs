//! Timing of a stream's events.

use std::time::Duration;

use tarragonhill_core::Time;

/// Event count and timing of one stream, as sent to its caller.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timing {
    /// Events sent so far.
    pub events: u64,
    /// Longest time between two events.
    pub longest_gap: Duration,
    first: Option<Time>,
    last: Time,
}

impl Timing {
    /// Records events that are sent at `now`.
    pub fn record(&mut self, now: Time, events: u64) {
        if self.first.is_some() {
            self.longest_gap = self.longest_gap.max(now.since(self.last));
        }
        self.first.get_or_insert(now);
        self.last = now;
        self.events += events;
    }

    /// Returns when the last event was sent; `None` if there was none.
    pub fn last_event(&self) -> Option<Time> {
        self.first.map(|_| self.last)
    }

    /// Returns the time from `received` to the first event; zero if there was none.
    pub fn time_to_first(&self, received: Time) -> Duration {
        self.first.map_or(Duration::ZERO, |first| first.since(received))
    }
}
