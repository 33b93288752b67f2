//! How fast a stream's events reached its caller.

use std::time::Duration;

use tarragonhill_core::Time;

/// The pace of one stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// Events so far.
    pub events: u64,
    /// Longest pause between two events.
    pub longest_gap: Duration,
    first: Option<Time>,
    last: Time,
}

impl Pace {
    /// Notes events that are sent now.
    pub fn note(&mut self, now: Time, events: u64) {
        if self.first.is_some() {
            self.longest_gap = self.longest_gap.max(now.since(self.last));
        }
        self.first.get_or_insert(now);
        self.last = now;
        self.events += events;
    }

    /// Time from a request's arrival to its first event; zero without one.
    pub fn first_after(&self, received: Time) -> Duration {
        self.first.map_or(Duration::ZERO, |first| first.since(received))
    }
}
