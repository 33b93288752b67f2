//! Routing decisions of the gateway: authentication, rate limits, placement and retries.
//!
//! Several replicas of the gateway run side by side. Each decides alone, from the operator's
//! [`catalog`], the [`directory`] of endpoints and the [`digest`]s that replicas exchange.

pub mod backoff;
pub mod budget;
pub mod catalog;
pub mod cold;
pub mod completion;
pub mod connections;
pub mod contact;
pub mod digest;
pub mod directory;
pub mod evacuation;
pub mod fairness;
pub mod forecast;
pub mod growth;
pub mod health;
pub mod held;
pub mod history;
pub mod interval;
pub mod lease;
pub mod ledger;
pub mod limit;
pub mod load;
pub mod loan;
pub mod mechanism;
pub mod mirror;
pub mod order;
pub mod origin;
pub mod outage;
pub mod pace;
pub mod placement;
pub mod pools;
pub mod position;
pub mod profile;
pub mod queue;
pub mod rate_limit;
pub mod relay;
pub mod shutdown;
pub mod snapshot;
pub mod speed;
pub mod staleness;
pub mod state;
pub mod suspect;
pub mod throttle;
