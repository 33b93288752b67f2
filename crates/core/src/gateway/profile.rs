//! What a service's configuration and endpoints call for.

use super::{
    catalog::{Catalog, Kind},
    forecast::Forecasts,
    mechanism::Mechanism,
    speed::Speeds,
};

/// Properties of a service that switch mechanisms on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Profile {
    /// Whether requests of several priorities compete for its memory.
    pub has_priorities: bool,
    /// Whether its endpoints differ much in speed.
    pub is_uneven: bool,
}

impl Profile {
    /// Returns the profile of a service.
    pub fn of(service: &str, catalog: &Catalog, forecasts: &Forecasts) -> Self {
        let routes = catalog.routes().filter(|route| route.kind == Kind::Streaming);
        let own = routes.filter(|route| route.targets.iter().any(|target| &*target.service == service));
        let mut priorities = own.map(|route| route.priority);
        let first = priorities.next();
        let has_priorities = priorities.any(|priority| Some(priority) != first);
        let is_uneven = forecasts.speeds(service).is_some_and(Speeds::is_uneven);
        Self { has_priorities, is_uneven }
    }

    /// Returns whether the service calls for a mechanism.
    pub fn calls_for(self, mechanism: Mechanism) -> bool {
        match mechanism {
            Mechanism::Order => self.has_priorities,
            Mechanism::Speed => self.is_uneven,
            Mechanism::Fairness | Mechanism::Outages | Mechanism::Pace | Mechanism::Demand => {
                self.has_priorities || self.is_uneven
            }
        }
    }
}
