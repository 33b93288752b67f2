//! Mechanisms for hard load, which an operator can switch off one by one to see what each is worth.

use std::collections::BTreeSet;

use strum::{Display, EnumIter, EnumString, IntoEnumIterator as _, IntoStaticStr};

/// A mechanism.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Mechanism {
    /// Memory goes to the most urgent request that waits for it at any replica.
    Order,
    /// Customers share scarce memory.
    Fairness,
    /// Runs are placed by the speed of each endpoint.
    Speed,
    /// Replicas tell each other which endpoints have ended.
    Outages,
    /// Endpoints that have started or recovered get work at a pace that follows their answers.
    Pace,
    /// The split of the pools is computed from the demand at all replicas.
    Demand,
}

impl Mechanism {
    /// Returns all mechanisms.
    pub fn all() -> impl Iterator<Item = Self> {
        Self::iter()
    }

    /// Returns the names of all mechanisms.
    pub fn names() -> impl Iterator<Item = &'static str> {
        Self::iter().map(Into::into)
    }
}

/// The mechanisms in use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mechanisms {
    disabled: BTreeSet<Mechanism>,
}

impl Mechanisms {
    /// Returns all mechanisms except some.
    pub fn without(disabled: impl IntoIterator<Item = Mechanism>) -> Self {
        Self { disabled: disabled.into_iter().collect() }
    }

    /// Returns whether a mechanism is in use, as far as it is not switched off.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }
}
