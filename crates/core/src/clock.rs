//! Time as the decisions see it, and the clock handed in at the edges of a process.
//!
//! async-std has no clock that tests can pause, so [`Clock`] is the nearest fit: the runtime's
//! clock in daemons, a manual one in tests.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use async_channel::Sender;

/// A point in time, in microseconds since the origin of the [`Clock`] that gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(u64);

impl Time {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);

    /// The point `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The point `span` later; saturates.
    pub fn plus(self, span: Duration) -> Self {
        Self(self.0.saturating_add(micros(span)))
    }

    /// The point `span` earlier; stops at the origin.
    pub fn minus(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(micros(span)))
    }

    /// The span from `earlier` to here; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Part that is left, after `passed`, of something that halves in every `half_life`.
pub fn decay_factor(passed: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(passed.as_secs_f64() / half_life.as_secs_f64())
}

/// Whole microseconds of `span`; saturates.
pub fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// The source of time of one process.
#[derive(Clone, Debug)]
pub enum Clock {
    /// Monotonic time of the operating system, counted from the origin.
    Runtime(Instant),
    /// Time that stands still until [`Manual::advance`] moves it.
    Manual(Manual),
}

impl Clock {
    /// A clock that runs, with its origin now.
    pub fn runtime() -> Self {
        Self::Runtime(Instant::now())
    }

    /// The current time.
    pub fn now(&self) -> Time {
        match self {
            Self::Runtime(origin) => Time::ZERO.plus(origin.elapsed()),
            Self::Manual(manual) => manual.now(),
        }
    }

    /// Completes once `span` has passed on this clock.
    pub async fn sleep(&self, span: Duration) {
        match self {
            Self::Runtime(_) => async_std::task::sleep(span).await,
            Self::Manual(manual) => manual.sleep(span).await,
        }
    }
}

/// A clock that only tests move. Clones share one time.
#[derive(Clone, Debug, Default)]
pub struct Manual(Arc<Mutex<Paused>>);

#[derive(Debug, Default)]
struct Paused {
    now: Time,
    /// Sleepers by the time they wake, then by the order in which they came.
    sleepers: BTreeMap<(Time, u64), Sender<()>>,
    next: u64,
}

impl Manual {
    /// The current time.
    pub fn now(&self) -> Time {
        self.lock().now
    }

    /// Moves time on by `span` and wakes every sleeper whose time has come.
    pub fn advance(&self, span: Duration) {
        let mut paused = self.lock();
        paused.now = paused.now.plus(span);
        let next = paused.now.plus(Duration::from_micros(1));
        let later = paused.sleepers.split_off(&(next, 0));
        // Dropping a sender completes the sleeper's receive.
        paused.sleepers = later;
    }

    async fn sleep(&self, span: Duration) {
        let (sender, receiver) = async_channel::bounded::<()>(1);
        {
            let mut paused = self.lock();
            if span.is_zero() {
                return;
            }
            let key = (paused.now.plus(span), paused.next);
            paused.next += 1;
            paused.sleepers.insert(key, sender);
        }
        let _ = receiver.recv().await;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Paused> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
