//! Time points and clocks.
//!
//! [`Clock`] is the system clock in daemons and a manual clock in tests, since async-std has no
//! clock that tests can control.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use async_channel::Sender;

/// Point in time, in microseconds since the origin of its [`Clock`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(u64);

impl Time {
    /// Origin of the clock.
    pub const ZERO: Self = Self(0);

    /// Returns the time `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time `span` later, saturating.
    pub fn plus(self, span: Duration) -> Self {
        Self(self.0.saturating_add(micros(span)))
    }

    /// Returns the time `span` earlier, saturating at the origin.
    pub fn minus(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(micros(span)))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Returns the factor by which a value with the given half-life decays over `passed`.
pub fn decay_factor(passed: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(passed.as_secs_f64() / half_life.as_secs_f64())
}

/// Returns the whole microseconds of `span`, saturating.
pub fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Time source of a process.
#[derive(Clone, Debug)]
pub enum Clock {
    /// Monotonic system time, relative to the origin.
    Runtime(Instant),
    /// Time that only [`Manual::advance`] moves.
    Manual(Manual),
}

impl Clock {
    /// Creates a system clock whose origin is the current time.
    pub fn runtime() -> Self {
        Self::Runtime(Instant::now())
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        match self {
            Self::Runtime(origin) => Time::ZERO.plus(origin.elapsed()),
            Self::Manual(manual) => manual.now(),
        }
    }

    /// Waits until `span` has passed on this clock.
    pub async fn sleep(&self, span: Duration) {
        match self {
            Self::Runtime(_) => async_std::task::sleep(span).await,
            Self::Manual(manual) => manual.sleep(span).await,
        }
    }
}

/// Manually advanced clock for tests. Clones share the same time.
#[derive(Clone, Debug, Default)]
pub struct Manual(Arc<Mutex<ManualState>>);

#[derive(Debug, Default)]
struct ManualState {
    now: Time,
    /// Pending sleeps, keyed by wake-up time, then by order of arrival.
    sleepers: BTreeMap<(Time, u64), Sender<()>>,
    next_sequence: u64,
}

impl Manual {
    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.lock().now
    }

    /// Advances the time by `span` and completes the sleeps that are due.
    pub fn advance(&self, span: Duration) {
        let mut state = self.lock();
        state.now = state.now.plus(span);
        let next = state.now.plus(Duration::from_micros(1));
        let later = state.sleepers.split_off(&(next, 0));
        // Dropping a sender completes the receive in `sleep`.
        state.sleepers = later;
    }

    async fn sleep(&self, span: Duration) {
        let (sender, receiver) = async_channel::bounded::<()>(1);
        {
            let mut state = self.lock();
            if span.is_zero() {
                return;
            }
            let key = (state.now.plus(span), state.next_sequence);
            state.next_sequence += 1;
            state.sleepers.insert(key, sender);
        }
        let _ = receiver.recv().await;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ManualState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
