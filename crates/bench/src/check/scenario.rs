//! What happens in one run: generated and shrunk by quickcheck.

use quickcheck::{Arbitrary, Gen};
use strum::{Display, EnumIter, EnumString, IntoEnumIterator as _};

/// Entries of a run.
pub const ENTRIES: usize = 2;
/// Customers of a run.
pub const TENANTS: [&str; 3] = ["faculty", "grants", "members"];
/// Steps of a run at most.
const STEPS: usize = 24;

/// A failure of the brief that a run can bring about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// An entry's process dies and comes back empty.
    EntryRestarted,
    /// An entry is shut down gracefully and comes back.
    EntryShutdown,
    /// An agent's process dies.
    AgentKilled,
    /// A decode engine crashes and comes back.
    DecodeCrash,
    /// A prefill engine crashes and comes back.
    PrefillCrash,
    /// A decode engine's connections go silent for a while.
    DecodeSilent,
    /// Transfers stall.
    TransferStalled,
    /// The table is down for a while.
    TableDown,
    /// The table is slow for a while.
    TableSlow,
    /// The table's answers to writes are lost for a while.
    TableLosesAnswers,
    /// The plain service's answers are lost for a while.
    ServiceLosesAnswers,
}

/// One step of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A caller asks for a completion.
    Complete {
        /// Which customer.
        tenant: usize,
        /// Through which entry.
        entry: usize,
        /// Most tokens.
        tokens: u32,
        /// Whether it streams.
        stream: bool,
    },
    /// A caller leaves after a few tokens.
    Leave {
        /// Which customer.
        tenant: usize,
        /// Through which entry.
        entry: usize,
    },
    /// A caller files something under an idempotency key that others may use too.
    File {
        /// Which customer.
        tenant: usize,
        /// Through which entry.
        entry: usize,
        /// Which key.
        key: usize,
    },
    /// A caller sends a request that crashes every engine it runs on.
    Poison {
        /// Through which entry.
        entry: usize,
    },
    /// An operator withdraws the key of the last customer.
    Withdraw,
    /// Two operators change one customer at once.
    Race,
    /// An operator drains the host of the first decode engine.
    Drain,
    /// Something fails.
    Fail(Fault),
    /// Time passes, milliseconds.
    Pause(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let tenant = usize::arbitrary(g) % TENANTS.len();
        let entry = usize::arbitrary(g) % ENTRIES;
        let faults: Vec<Fault> = Fault::iter().collect();
        match u8::arbitrary(g) % 32 {
            0..=11 => {
                let tokens = u32::from(u8::arbitrary(g)) % 60 + 2;
                Self::Complete { tenant, entry, tokens, stream: bool::arbitrary(g) }
            }
            12..=13 => Self::Leave { tenant, entry },
            14..=19 => Self::File { tenant, entry, key: usize::arbitrary(g) % 4 },
            20 => Self::Poison { entry },
            21 => Self::Withdraw,
            22 => Self::Race,
            23 => Self::Drain,
            24..=27 => g.choose(&faults).map_or(Self::Pause(10), |fault| Self::Fail(*fault)),
            _ => Self::Pause(u64::from(u8::arbitrary(g))),
        }
    }
}

/// A whole run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scenario(pub Vec<Step>);

impl Arbitrary for Scenario {
    fn arbitrary(g: &mut Gen) -> Self {
        let steps = (0..STEPS).map(|_| Step::arbitrary(g)).collect();
        Self(steps)
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        // Steps need no shrinking of their own; the order and number of them is what matters.
        let steps = self.0.clone();
        let halves = [steps[..steps.len() / 2].to_vec(), steps[steps.len() / 2..].to_vec()];
        let without = (0..steps.len()).map(move |at| {
            let mut fewer = steps.clone();
            fewer.remove(at);
            fewer
        });
        Box::new(halves.into_iter().chain(without).filter(|steps| !steps.is_empty()).map(Self))
    }
}

/// The scenarios of a seed.
pub fn scenarios(seed: u64, count: usize) -> Vec<Scenario> {
    let mut generator = Gen::from_size_and_seed(STEPS, seed);
    (0..count).map(|_| Scenario::arbitrary(&mut generator)).collect()
}
