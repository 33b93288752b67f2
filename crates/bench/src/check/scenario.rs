//! Scenarios of random steps, generated and shrunk by quickcheck.

use quickcheck::{Arbitrary, Gen};
use strum::{Display, EnumIter, EnumString, IntoEnumIterator as _};

/// Number of entries in a run.
pub const ENTRIES: usize = 2;
/// Names of the customers in a run.
pub const CUSTOMERS: [&str; 3] = ["faculty", "grants", "members"];
const STEPS_PER_SCENARIO: usize = 24;

/// Fault that a run can inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// An entry crashes and restarts without state.
    EntryRestarted,
    /// An entry shuts down gracefully and restarts.
    EntryShutdown,
    /// An agent crashes and does not restart.
    AgentKilled,
    /// A decode engine crashes and restarts.
    DecodeCrash,
    /// A prefill engine crashes and restarts.
    PrefillCrash,
    /// A decode engine temporarily sends nothing on its open connections.
    DecodeSilent,
    /// Transfers from a prefill engine are temporarily slow.
    TransferStalled,
    /// The table is temporarily down.
    TableDown,
    /// The table is temporarily slow.
    TableSlow,
    /// Responses of the table to writes are temporarily lost.
    TableLosesAnswers,
    /// Responses of the plain service are temporarily lost.
    ServiceLosesAnswers,
}

/// Step of a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A caller requests a completion.
    Complete {
        /// Index into [`CUSTOMERS`].
        customer: usize,
        /// Index of the entry.
        entry: usize,
        /// Maximum number of answer tokens.
        tokens: u32,
        /// Whether the answer is streamed.
        stream: bool,
    },
    /// A caller disconnects after a few tokens.
    Disconnect {
        /// Index into [`CUSTOMERS`].
        customer: usize,
        /// Index of the entry.
        entry: usize,
    },
    /// A caller calls the plain service with an idempotency key, possibly one used before.
    Submit {
        /// Index into [`CUSTOMERS`].
        customer: usize,
        /// Index of the entry.
        entry: usize,
        /// Index of the idempotency key.
        key: usize,
    },
    /// A caller sends a request that crashes every engine that executes it.
    Poison {
        /// Index of the entry.
        entry: usize,
    },
    /// An operator withdraws the key of the last customer.
    Withdraw,
    /// Two operators change the same customer concurrently.
    Race,
    /// An operator drains the host of the first decode engine.
    Drain,
    /// A fault is injected.
    Inject(Fault),
    /// The next step is delayed by this many milliseconds.
    Pause(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let customer = usize::arbitrary(g) % CUSTOMERS.len();
        let entry = usize::arbitrary(g) % ENTRIES;
        let faults: Vec<Fault> = Fault::iter().collect();
        match u8::arbitrary(g) % 32 {
            0..=11 => {
                let tokens = u32::from(u8::arbitrary(g)) % 60 + 2;
                Self::Complete { customer, entry, tokens, stream: bool::arbitrary(g) }
            }
            12..=13 => Self::Disconnect { customer, entry },
            14..=19 => Self::Submit { customer, entry, key: usize::arbitrary(g) % 4 },
            20 => Self::Poison { entry },
            21 => Self::Withdraw,
            22 => Self::Race,
            23 => Self::Drain,
            24..=27 => g.choose(&faults).map_or(Self::Pause(10), |fault| Self::Inject(*fault)),
            _ => Self::Pause(u64::from(u8::arbitrary(g))),
        }
    }
}

/// Steps of one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scenario(pub Vec<Step>);

impl Arbitrary for Scenario {
    fn arbitrary(g: &mut Gen) -> Self {
        let steps = (0..STEPS_PER_SCENARIO).map(|_| Step::arbitrary(g)).collect();
        Self(steps)
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        // Only the number and order of steps are shrunk, not the steps themselves.
        let steps = self.0.clone();
        let halves = [steps[..steps.len() / 2].to_vec(), steps[steps.len() / 2..].to_vec()];
        let without = (0..steps.len()).map(move |index| {
            let mut remaining = steps.clone();
            remaining.remove(index);
            remaining
        });
        Box::new(halves.into_iter().chain(without).filter(|steps| !steps.is_empty()).map(Self))
    }
}

/// Generates `count` scenarios from `seed`.
pub fn scenarios(seed: u64, count: usize) -> Vec<Scenario> {
    let mut generator = Gen::from_size_and_seed(STEPS_PER_SCENARIO, seed);
    (0..count).map(|_| Scenario::arbitrary(&mut generator)).collect()
}
