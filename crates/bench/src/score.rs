//! Scores of a benchmark run: goodput, wasted prefill work, fairness between customers, and the
//! number of wrong answers and of tokens served over a rate limit, both of which must be zero.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde_json::{Value, json};
use tarragonhill_core::{Time, quota::Bucket};

use crate::{
    caller::{Outcome, TimedOutcome},
    fleet::{Customer, Fleet},
    workload::Arrival,
};

/// Target time to first token.
pub const TTFT_TARGET: Duration = Duration::from_millis(900);
/// Target for the 95th percentile of the time between tokens.
pub const GAP_TARGET: Duration = Duration::from_millis(54);
/// Maximum time for which an entry queues a request that lacks rate tokens, plus a margin.
const RATE_WAIT: Duration = Duration::from_millis(350);

/// Request with its outcome.
pub struct Record {
    /// The request.
    pub arrival: Arrival,
    /// Outcome with its latencies.
    pub timed: TimedOutcome,
}

/// Scores of one run.
#[derive(Clone, Debug)]
pub struct Score {
    /// Number of requests sent.
    pub offered: usize,
    /// Number of requests within the customers' rates and bursts, at least 1.
    pub in_rate: usize,
    /// Fraction of the in-rate requests answered correctly within both latency targets.
    pub goodput: f64,
    /// Fraction of the prefilled tokens that no decode engine imported.
    pub wasted_prefill: f64,
    /// Lowest value in `completed`.
    pub worst_customer: f64,
    /// Requests refused although within their customer's rate, as a fraction of `in_rate`.
    pub wrongful_refusals: f64,
    /// Number of wrongful refusals by customer and code.
    pub wrongful_by_code: BTreeMap<String, usize>,
    /// Largest number of tokens served to a customer beyond its rate and burst.
    pub over_limit: u64,
    /// Number of wrong answers.
    pub violations: usize,
    /// Time to first token, microseconds.
    pub first_token: Histogram<u64>,
    /// Time between tokens, microseconds.
    pub gap: Histogram<u64>,
    /// Number of refusals and failures by code.
    pub codes: BTreeMap<String, usize>,
    /// Completed fraction of the in-rate requests of each customer.
    pub completed: BTreeMap<String, f64>,
}

impl Score {
    /// Computes the scores of a run.
    pub fn of(records: &[Record], fleet: &Fleet, customers: &[Customer]) -> Self {
        let in_rate = in_rate_counts(records, customers);
        let in_rate_total: usize = in_rate.iter().sum::<usize>().max(1);
        let within_targets = count_by_customer(records, customers, is_within_targets);
        let correct = count_by_customer(records, customers, is_correct);
        let fractions = |counts: &[usize]| -> Vec<f64> {
            counts.iter().zip(&in_rate).map(|(n, of)| (*n as f64 / (*of).max(1) as f64).min(1.0)).collect()
        };
        let within: usize = within_targets.iter().zip(&in_rate).map(|(n, of)| (*n).min(*of)).sum();
        let completed = fractions(&correct);
        let wrongful_by_code = wrongful_refusals(records, customers);
        let (first_token, gap) = histograms(records);
        Self {
            offered: records.len(),
            in_rate: in_rate_total,
            goodput: within as f64 / in_rate_total as f64,
            wasted_prefill: wasted_prefill(fleet),
            worst_customer: completed.iter().copied().fold(1.0, f64::min),
            wrongful_refusals: wrongful_by_code.values().sum::<usize>() as f64 / in_rate_total as f64,
            wrongful_by_code,
            over_limit: over_limit(records, customers),
            violations: records.iter().filter(|record| is_violation(record)).count(),
            first_token,
            gap,
            codes: codes(records),
            completed: customers
                .iter()
                .zip(completed)
                .map(|(customer, fraction)| (customer.name.clone(), round(fraction)))
                .collect(),
        }
    }

    /// Returns the scores as a JSON object.
    pub fn json(&self) -> Value {
        let quantiles = |histogram: &Histogram<u64>| {
            let at = |q| histogram.value_at_quantile(q) as f64 / 1_000.0;
            json!({ "p50": at(0.5), "p95": at(0.95), "p99": at(0.99) })
        };
        json!({
            "goodput": round(self.goodput), "wasted_prefill": round(self.wasted_prefill),
            "worst_customer": round(self.worst_customer), "wrongful_refusals": round(self.wrongful_refusals),
            "over_limit": self.over_limit, "violations": self.violations,
            "offered": self.offered, "in_rate": self.in_rate,
            "first_token_ms": quantiles(&self.first_token), "gap_ms": quantiles(&self.gap),
            "codes": self.codes, "wrongful_by": self.wrongful_by_code, "completed": self.completed,
        })
    }
}

fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}

fn arrival_time(arrival: &Arrival) -> Time {
    Time::ZERO.plus(arrival.at)
}

/// Returns how many requests of each customer a token bucket with its rate and burst admits in the
/// order of arrival.
///
/// Only the number counts: a policy may serve other requests of a customer than the bucket admits.
fn in_rate_counts(records: &[Record], customers: &[Customer]) -> Vec<usize> {
    let mut buckets = full_buckets(customers);
    let mut counts = vec![0; customers.len()];
    for record in records {
        let customer = record.arrival.customer;
        let taken = buckets[customer].take(arrival_time(&record.arrival), record.arrival.cost());
        counts[customer] += usize::from(taken.is_some());
    }
    counts
}

/// Counts refusals of requests for which the customer's token bucket had enough tokens at arrival. The
/// bucket is charged for each served request and also for each wrongful refusal, so that the same
/// tokens do not count as refused twice.
fn wrongful_refusals(records: &[Record], customers: &[Customer]) -> BTreeMap<String, usize> {
    let mut accounts: Vec<Account> = customers.iter().map(Account::full).collect();
    let mut wrongful = BTreeMap::new();
    for record in records {
        let account = &mut accounts[record.arrival.customer];
        account.refill(record.arrival.at.as_secs_f64());
        let cost = record.arrival.cost() as f64;
        if let Outcome::Refused(refused) = &record.timed.outcome {
            if account.level < cost {
                continue;
            }
            *wrongful.entry(format!("{} {}", record.arrival.name, refused.code)).or_insert(0) += 1;
        }
        // Negative if the request waited in the router for tokens added after its arrival.
        account.level -= cost;
    }
    wrongful
}

/// Token bucket of a customer whose level may be negative.
struct Account {
    rate: f64,
    burst: f64,
    level: f64,
    /// Time of the last refill, in seconds since the start of the run.
    at: f64,
}

impl Account {
    fn full(customer: &Customer) -> Self {
        Self {
            rate: customer.rate as f64,
            burst: customer.burst as f64,
            level: customer.burst as f64,
            at: 0.0,
        }
    }

    fn refill(&mut self, now: f64) {
        self.level = (self.level + (now - self.at) * self.rate).min(self.burst);
        self.at = now;
    }
}

fn full_buckets(customers: &[Customer]) -> Vec<Bucket> {
    customers.iter().map(|customer| Bucket::full(customer.rate, customer.burst, Time::ZERO)).collect()
}

fn count_by_customer(
    records: &[Record],
    customers: &[Customer],
    predicate: fn(&Record) -> bool,
) -> Vec<usize> {
    let mut counts = vec![0; customers.len()];
    records.iter().filter(|record| predicate(record)).for_each(|record| counts[record.arrival.customer] += 1);
    counts
}

fn is_correct(record: &Record) -> bool {
    record.timed.is_correct(&record.arrival.completion)
}

fn is_within_targets(record: &Record) -> bool {
    let timed = &record.timed;
    let mut gaps = timed.gaps.clone();
    gaps.sort_unstable();
    let gap =
        gaps.get((gaps.len() * 95 / 100).min(gaps.len().saturating_sub(1))).copied().unwrap_or_default();
    let is_fast = timed.first_token.is_some_and(|first| first <= TTFT_TARGET) && gap <= GAP_TARGET;
    is_fast && is_correct(record)
}

/// Returns whether the answer is wrong, or is a broken stream that is not a prefix of the expected
/// answer.
fn is_violation(record: &Record) -> bool {
    let completion = &record.arrival.completion;
    match &record.timed.outcome {
        Outcome::Answered { .. } => !is_correct(record),
        Outcome::Broken { text, .. } => {
            !crate::sim::output_text(&completion.prompt, completion.max_tokens).starts_with(text.as_str())
        }
        Outcome::Refused(_) | Outcome::Failed(_) | Outcome::Unsent(_) => false,
    }
}

fn wasted_prefill(fleet: &Fleet) -> f64 {
    use std::sync::atomic::Ordering::Relaxed;
    let prefilled: u64 = fleet.prefill.iter().map(|engine| engine.counts.prefilled.load(Relaxed)).sum();
    let imported: u64 = fleet.decode.iter().map(|engine| engine.counts.imported.load(Relaxed)).sum();
    prefilled.saturating_sub(imported) as f64 / prefilled.max(1) as f64
}

/// Returns the largest excess of served tokens over rate and burst in any time window.
fn over_limit(records: &[Record], customers: &[Customer]) -> u64 {
    let over = customers.iter().enumerate().map(|(number, customer)| {
        let own = records.iter().filter(|record| record.arrival.customer == number);
        let served: Vec<(f64, f64)> =
            own.map(|record| (record.arrival.at.as_secs_f64(), served_tokens(record))).collect();
        let allowed = customer.burst as f64 + customer.rate as f64 * RATE_WAIT.as_secs_f64();
        // Kadane's algorithm: the maximum over all windows of tokens served minus tokens refilled.
        let (mut best, mut sum, mut last) = (0.0_f64, 0.0_f64, 0.0);
        for (at, tokens) in served {
            sum = (sum - (at - last) * customer.rate as f64).max(0.0) + tokens;
            (best, last) = (best.max(sum), at);
        }
        (best - allowed).max(0.0)
    });
    over.fold(0.0, f64::max) as u64
}

fn served_tokens(record: &Record) -> f64 {
    match &record.timed.outcome {
        Outcome::Answered { text } | Outcome::Broken { text, .. } => {
            (record.arrival.completion.prompt.len().div_ceil(4) + text.split_whitespace().count()) as f64
        }
        Outcome::Refused(_) | Outcome::Failed(_) | Outcome::Unsent(_) => 0.0,
    }
}

fn histograms(records: &[Record]) -> (Histogram<u64>, Histogram<u64>) {
    let (mut first, mut gap) = (new_histogram(), new_histogram());
    for record in records {
        if let Some(span) = record.timed.first_token {
            first.saturating_record(micros(span));
        }
        record.timed.gaps.iter().for_each(|span| gap.saturating_record(micros(*span)));
    }
    (first, gap)
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Returns a histogram for values from one microsecond to one minute.
#[allow(clippy::expect_used, reason = "constant bounds are valid")]
pub fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds")
}

fn codes(records: &[Record]) -> BTreeMap<String, usize> {
    let mut codes = BTreeMap::new();
    for record in records {
        let code = match &record.timed.outcome {
            Outcome::Answered { .. } => continue,
            Outcome::Refused(refused) => refused.code.clone(),
            Outcome::Broken { .. } => "broken_stream".to_owned(),
            Outcome::Failed(error) | Outcome::Unsent(error) => format!("failed: {error}"),
        };
        *codes.entry(code).or_insert(0) += 1;
    }
    codes
}
