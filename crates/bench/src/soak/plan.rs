//! The disturbances of a run, by its seed.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _, seq::IndexedRandom as _};
use rand_chacha::ChaCha8Rng;
use strum::{Display, EnumIter, EnumString, IntoEnumIterator as _};

use super::Shape;

/// Kind of a disturbance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// An endpoint is paused; the store keeps listing it.
    PauseEndpoint,
    /// All endpoints of a service but one are paused.
    PauseService,
    /// A gateway is paused.
    PauseGateway,
    /// All gateways are paused.
    PauseGateways,
    /// A gateway is killed and starts again.
    KillGateway,
    /// All gateways are killed at once and start again.
    KillGateways,
    /// A gateway is killed again and again.
    KillInSeries,
    /// All gateways are killed again and again.
    KillAllInSeries,
    /// A gateway is shut down and starts again.
    RestartGateway,
    /// An endpoint is killed and starts again with another id.
    KillEndpoint,
    /// Connections to an endpoint transfer nothing.
    HoldEndpoint,
    /// Connections to an endpoint are reset.
    ResetEndpoint,
    /// An endpoint rejects requests.
    Reject,
    /// An endpoint fails requests.
    Fail,
    /// An endpoint resets connections after it has run the request.
    Lose,
    /// An endpoint runs requests and does not respond.
    Hang,
    /// All endpoints of a kind reject requests.
    RejectAll,
    /// All endpoints of a kind fail requests.
    FailAll,
    /// All endpoints of a kind reset connections after they have run the request.
    LoseAll,
    /// An endpoint breaks off streams inside an event.
    Cut,
    /// An endpoint ends streams inside an event as if they were complete.
    End,
    /// An endpoint is killed and starts again at once under its id, with another software version. Its row is written later.
    SwapVersion,
    /// An endpoint takes long for each request.
    Slow,
    /// The store is paused.
    PauseStore,
    /// The store is away for a while and comes back from a copy.
    ReturnStore,
    /// The store comes back from copies again and again.
    ReturnInSeries,
    /// Connections of a gateway to the store transfer nothing.
    CutStore,
    /// Callers send several times as many requests.
    Burst,
    /// Some of the decode engines are killed at once and start again with other ids.
    CrashWave,
    /// Most new connections go to one gateway.
    Skew,
}

/// A disturbance.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What happens.
    pub kind: Kind,
    /// Selects the process that is concerned.
    pub target: usize,
}

/// The disturbances of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the run.
    pub seed: u64,
    /// The disturbances.
    pub events: Vec<Event>,
}

impl Plan {
    /// Creates the plan of a seed, with disturbances of these kinds; of all kinds if there are none.
    pub fn random(seed: u64, shape: Shape, kinds: &[Kind]) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let all: Vec<Kind> = Kind::iter().collect();
        let kinds = if kinds.is_empty() { &all } else { kinds };
        let mut event = || Event {
            at: shape.duration.mul_f64(rng.random_range(0.0..1.0)),
            lasts: Duration::from_millis(rng.random_range(1_000..15_000)),
            kind: *kinds.choose(&mut rng).expect("a list of kinds"),
            target: rng.random_range(0..1_000),
        };
        Self { seed, events: (0..shape.events).map(|_| event()).collect() }
    }
}
