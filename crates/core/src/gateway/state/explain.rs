//! Explains where a request would go now, without placing it.

use std::{fmt, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::State;
use crate::{
    clock::Time,
    gateway::{
        catalog::{Customer, Engine, Kind, Route},
        completion::Completion,
        forecast::Size,
        placement::{Filter, Placement, Run, candidate::Candidate},
    },
    refusal::{Code, Refusal},
};

/// How the route of a request is named.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Address {
    /// By the route's name.
    Route(Arc<str>),
    /// By the host and path of the request.
    Path {
        /// Host, without a port.
        host: Arc<str>,
        /// Path of the request.
        path: Arc<str>,
    },
}

/// A request to be explained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// Where it is sent.
    pub address: Address,
    /// Name of its customer, if it has one.
    pub customer: Option<Arc<str>>,
    /// Length of its prompt, in tokens.
    pub prompt: u64,
    /// Length of its output, in tokens.
    pub output: u64,
    /// Priority that replaces the customer's and the route's.
    pub priority: Option<u8>,
}

/// Why a query has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unknown {
    /// No configuration has been read yet.
    Configuration,
    /// No route has this name, or matches this host and path.
    Route(String),
    /// No customer has this name.
    Customer(Arc<str>),
}

impl fmt::Display for Unknown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Configuration => f.write_str("no configuration has been read yet"),
            Self::Route(route) => write!(f, "no route {route}"),
            Self::Customer(customer) => write!(f, "no customer {customer}"),
        }
    }
}

/// Where a request would go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It would be placed at once.
    Placed {
        /// Endpoint that responds.
        endpoint: Arc<str>,
        /// Endpoint that processes the prompt; `None` if the other one does.
        prefill: Option<Arc<str>>,
    },
    /// It would wait.
    Queued {
        /// Requests of the service that wait here and come first.
        ahead: usize,
        /// How long it would wait before it is refused, in milliseconds.
        longest_ms: u64,
        /// Retry delay that its caller would then get, in milliseconds.
        retry_after_ms: u64,
    },
    /// It would be refused.
    Refused {
        /// Code of the refusal.
        code: Arc<str>,
        /// Its message.
        message: String,
        /// When its caller would be told to come back, in milliseconds; `None` if it would not be.
        retry_after_ms: Option<u64>,
    },
}

impl From<Refusal> for Outcome {
    fn from(refusal: Refusal) -> Self {
        Self::Refused {
            code: refusal.code.to_string().into(),
            message: refusal.message,
            retry_after_ms: refusal.retry_after.map(|span| span.as_millis() as u64),
        }
    }
}

/// What would become of a request at one service of its route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the route's traffic, relative to the others.
    pub weight: u32,
    /// Where the request would go.
    pub outcome: Outcome,
    /// All endpoints of the service.
    pub endpoints: Vec<Candidate>,
}

/// What would become of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Version of the configuration.
    pub version: u64,
    /// Name of the route.
    pub route: Arc<str>,
    /// Name of the customer, if there is one.
    pub customer: Option<Arc<str>>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Tokens that its customer would be charged.
    pub charge: u64,
    /// Tokens left to the customer here; `None` if it has no limit.
    pub tokens_left: Option<i64>,
    /// Its refusal for its customer's rate, if it would be refused.
    pub over_rate: Option<Outcome>,
    /// What would become of it at each service of the route if it is admitted.
    pub targets: Vec<Target>,
}

impl<T> State<T> {
    /// Explains where a request would go now. Requests that are held off because they crash endpoints are not recognized.
    pub fn explain(&self, now: Time, query: &Query) -> Result<Explanation, Unknown> {
        let catalog = self.catalog.as_ref().ok_or(Unknown::Configuration)?;
        let route = self.find_route(&query.address)?;
        let find = |name: &Arc<str>| catalog.customer(name).ok_or_else(|| Unknown::Customer(name.clone()));
        let customer = query.customer.as_ref().map(find).transpose()?;
        let charge = customer.map_or(0, |customer| charge(customer, query));
        let peeked = customer.and_then(|customer| self.rate_limiter.peek(now, &customer.name, charge));
        let priority = query.priority.or(customer.and_then(|customer| customer.priority));
        let priority = priority.unwrap_or(route.priority);
        let targets = route.targets.iter().map(|target| {
            let (outcome, endpoints) = self.explain_service(now, route, &target.service, query, priority);
            Target { service: target.service.clone(), weight: target.weight, outcome, endpoints }
        });
        Ok(Explanation {
            version: catalog.version(),
            route: route.name.clone(),
            customer: query.customer.clone(),
            priority,
            charge,
            tokens_left: peeked.map(|(left, _)| left),
            over_rate: peeked.and_then(|(_, delay)| delay).map(|delay| {
                let message = "the customer has too few tokens left";
                Refusal::not_run(Code::OverRate, message).with_retry_after(delay).into()
            }),
            targets: targets.collect(),
        })
    }

    fn find_route(&self, address: &Address) -> Result<&Arc<Route>, Unknown> {
        let catalog = self.catalog.as_ref().ok_or(Unknown::Configuration)?;
        match address {
            Address::Route(name) => {
                let mut routes = catalog.routes();
                routes.find(|route| route.name == *name).ok_or_else(|| Unknown::Route(name.to_string()))
            }
            Address::Path { host, path } => {
                catalog.route(host, path).map_err(|_| Unknown::Route(format!("for {host}{path}")))
            }
        }
    }

    fn explain_service(
        &self,
        now: Time,
        route: &Route,
        service: &Arc<str>,
        query: &Query,
        priority: u8,
    ) -> (Outcome, Vec<Candidate>) {
        let engine = self.engine(service).filter(|_| self.is_split(now, service));
        match engine {
            Some(engine) if route.kind == Kind::Streaming => {
                self.explain_completion(now, route, service, &engine, query, priority)
            }
            _ => self.explain_whole(now, service),
        }
    }

    fn explain_whole(&self, now: Time, service: &Arc<str>) -> (Outcome, Vec<Candidate>) {
        let view = self.view(now);
        let outcome = match view.pick_whole(service, Filter::default()) {
            Some(endpoint) => Outcome::Placed { endpoint: endpoint.id.clone(), prefill: None },
            None => self.no_whole_endpoint(now, service).into(),
        };
        (outcome, view.describe_candidates(service, None, &Run::default()))
    }

    fn explain_completion(
        &self,
        now: Time,
        route: &Route,
        service: &Arc<str>,
        engine: &Engine,
        query: &Query,
        priority: u8,
    ) -> (Outcome, Vec<Candidate>) {
        let view = self.view(now);
        let forecast = self.start_forecast(now, service);
        let size = Size { prompt: query.prompt, expected_output: query.output, max_output: query.output };
        let completion = Completion {
            service: service.clone(),
            customer: query.customer.clone().unwrap_or_default(),
            size,
            waiting_since: now,
            events: 0,
            deadline: now.plus(route.timeout),
            ttft_target: route.target_latency,
            target_gap: route.target_gap,
            stall_timeout: route.stall_timeout,
            priority,
            avoid: Vec::new(),
            software_version: None,
            suspects: Arc::default(),
        };
        let entry = completion.into_entry(&forecast, ());
        let run = self.run(now, engine, &entry);
        let endpoints = view.describe_candidates(service, Some(engine), &run);
        let retry_after = self.memory_retry_after(now, service);
        let longest = entry.hard_deadline.since(now);
        let ahead = self.queue.count_ahead(now, &entry);
        let outcome = match view.pick_pair(service, engine, &run) {
            _ if view.is_evacuated(service) => super::no_endpoint(retry_after).into(),
            _ if longest == Duration::ZERO => {
                let message = "it could not end before its deadline";
                Refusal::not_run(Code::Overloaded, message).with_retry_after(retry_after).into()
            }
            Some(Placement { endpoint, prefill }) if ahead == 0 => Outcome::Placed {
                endpoint: endpoint.id.clone(),
                prefill: prefill.map(|prefill| prefill.id.clone()),
            },
            Some(_) | None => Outcome::Queued {
                ahead,
                longest_ms: longest.as_millis() as u64,
                retry_after_ms: retry_after.as_millis() as u64,
            },
        };
        (outcome, endpoints)
    }
}

/// Returns the tokens that a request takes from its customer's token bucket.
fn charge(customer: &Customer, query: &Query) -> u64 {
    let is_sized = customer.counts_tokens && query.prompt + query.output > 0;
    if is_sized { query.prompt + query.output } else { customer.plain_tokens }
}
