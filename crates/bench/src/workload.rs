//! Synthetic load for two deployments. Customers have different rates, and one of them periodically
//! exceeds its rate several times over.

use std::{str::FromStr, time::Duration};

use rand::{Rng, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};
use tarragonhill_core::placement::Policy;

use crate::{
    caller::Completion,
    fleet::{Customer, MODEL, Shape},
    sim::{decode, prefill},
};

/// Deployment whose load is simulated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Deployment {
    /// Summaries of evidence: long prompts and answers of medium length.
    BlueMahoe,
    /// Short reports on long logs: longer prompts and short answers.
    Cascade,
}

/// Share of the fleet's capacity that each customer has contracted.
const CAPACITY_SHARES: [f64; 5] = [0.36, 0.26, 0.18, 0.13, 0.07];
/// Index of the customer that periodically exceeds its rate.
const BURSTY_CUSTOMER: usize = 2;
/// Load of the bursty customer during a burst, relative to its usual load.
const BURST_FACTOR: f64 = 5.0;
/// Duration of a burst and of the pause between two bursts.
const BURST_PERIOD: Duration = Duration::from_secs(4);
/// Share of its rate that a customer uses outside of bursts.
const STEADY_UTILIZATION: f64 = 0.9;
/// Burst limit of a customer, in seconds of its rate.
const BUCKET_SECS: f64 = 6.0;
/// Number of documents per customer that serve as a shared prompt prefix.
const DOCUMENTS_PER_CUSTOMER: u64 = 6;
/// Length of the prompt prefix.
const PREFIX_BYTES: usize = 2_200;

/// Request sizes and fleet size of a deployment.
#[derive(Clone, Copy, Debug)]
struct Mix {
    /// Median and maximum prompt length, tokens.
    prompt: (f64, u32),
    /// Bounds of `max_tokens`.
    max_tokens: (u32, u32),
    /// Completions per second that the engines can serve.
    capacity: f64,
    /// Number of prefill and decode engines.
    engines: (usize, usize),
    /// One-way network delay between availability zones.
    delay: Duration,
}

impl Deployment {
    fn mix(self) -> Mix {
        match self {
            Self::BlueMahoe => Mix {
                prompt: (4_500.0, 24_000),
                max_tokens: (100, 240),
                capacity: 28.0,
                engines: (4, 8),
                delay: Duration::from_millis(1),
            },
            Self::Cascade => Mix {
                prompt: (7_000.0, 32_000),
                max_tokens: (40, 110),
                capacity: 32.0,
                engines: (7, 5),
                delay: Duration::from_micros(1_500),
            },
        }
    }

    /// Returns the one-way network delay between availability zones.
    pub fn delay(self) -> Duration {
        self.mix().delay
    }

    /// Returns the fleet of this deployment.
    pub fn shape(self, policy: Policy) -> Shape {
        let mix = self.mix();
        let rate = mix.capacity * mean_cost(mix);
        let customers = CAPACITY_SHARES.iter().enumerate().map(|(number, share)| {
            let rate = rate * share;
            Customer::new(&customer_name(number), rate as u64, (rate * BUCKET_SECS) as u64)
        });
        Shape {
            entries: 3,
            prefill: mix.engines.0,
            decode: mix.engines.1,
            plain: 3,
            zones: 3,
            customers: customers.collect(),
            policy,
            prefill_profile: prefill::Profile::default(),
            decode_profile: decode::Profile::default(),
            plain_latency: Duration::from_millis(2),
            drain: Duration::from_secs(20),
        }
    }
}

fn customer_name(number: usize) -> String {
    format!("customer-{number}")
}

/// Returns the mean number of tokens charged per request. Prompt lengths vary by a factor of `e^x` with
/// `x` uniform in -1..1; the mean of the factor is `sinh 1`.
fn mean_cost(mix: Mix) -> f64 {
    mix.prompt.0 * 1.0_f64.sinh() + f64::from(mix.max_tokens.0 + mix.max_tokens.1) / 2.0
}

/// Request of the offered load.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Arrival time since the start of the run.
    pub at: Duration,
    /// Index of the customer.
    pub customer: usize,
    /// Name of the customer.
    pub name: String,
    /// Index of the entry that the load balancer chooses.
    pub entry: usize,
    /// Requested completion.
    pub completion: Completion,
}

impl Arrival {
    /// Returns the number of tokens charged at admission.
    pub fn cost(&self) -> u64 {
        let prompt = self.completion.prompt.len().div_ceil(4) as u64;
        prompt + u64::from(self.completion.max_tokens)
    }
}

/// Generates the offered load of a run in the order of arrival. `load` scales the request rates; at 1
/// all customers but the bursty one stay within their rates.
pub fn arrivals(deployment: Deployment, seed: u64, length: Duration, load: f64) -> Vec<Arrival> {
    let mix = deployment.mix();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (number, share) in CAPACITY_SHARES.iter().enumerate() {
        let steady_rate = mix.capacity * share * STEADY_UTILIZATION * load;
        let mut at = Duration::ZERO;
        loop {
            let current_rate = if number == BURSTY_CUSTOMER && is_bursting(at) {
                steady_rate * BURST_FACTOR
            } else {
                steady_rate
            };
            at += Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() / current_rate);
            if at >= length {
                break;
            }
            arrivals.push(arrival(&mut rng, mix, number, at));
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn is_bursting(at: Duration) -> bool {
    (at.as_millis() / BURST_PERIOD.as_millis()) % 2 == 1
}

fn arrival(rng: &mut ChaCha8Rng, mix: Mix, number: usize, at: Duration) -> Arrival {
    let spread: f64 = rng.random_range(-1.0..1.0);
    let prompt_tokens = ((mix.prompt.0 * spread.exp()) as u32).min(mix.prompt.1);
    let document = rng.random_range(0..DOCUMENTS_PER_CUSTOMER);
    let mut prompt = format!("customer {number} document {document} ");
    while prompt.len() < PREFIX_BYTES {
        prompt.push_str("as filed before ");
    }
    prompt.truncate(PREFIX_BYTES);
    prompt.push_str(&format!(" question {:016x} ", rng.random::<u64>()));
    let length = prompt_tokens as usize * 4;
    if prompt.len() < length {
        prompt.extend(std::iter::repeat_n('.', length - prompt.len()));
    }
    let max_tokens = rng.random_range(mix.max_tokens.0..=mix.max_tokens.1);
    let completion = Completion { model: MODEL.to_owned(), prompt, max_tokens, stream: true };
    Arrival { at, customer: number, name: customer_name(number), entry: rng.random_range(0..3), completion }
}

/// Parses the name of a deployment.
pub fn parse_deployment(name: &str) -> Result<Deployment, String> {
    Deployment::from_str(name)
        .map_err(|_| format!("unknown deployment {name:?}, expected blue-mahoe or cascade"))
}
