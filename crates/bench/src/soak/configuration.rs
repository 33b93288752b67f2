//! What callers see of configurations that withdraw keys, and the checks of it.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

/// Time in which a change is in force at a gateway, after its acknowledgement.
pub(super) const APPLY: Duration = Duration::from_secs(3);
/// Time after which a gateway that has refused a key may not serve it.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);
/// Most requests that settled gateways may leave unanswered.
const MOST_UNANSWERED: usize = 3;
/// Window over which a customer's use is summed.
const QUOTA_WINDOW: Duration = Duration::from_secs(8);
/// Tokens of each request of the limited customer, and its limit.
const REQUEST_TOKENS: u64 = 5_000;
const RATE: u64 = 50_000;
const BURST: u64 = 50_000;
/// Tolerance of the limit: a share of it, and a number of tokens.
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 190_000.0;
/// Key of the limited customer.
pub(super) const LIMITED_KEY: &str = "key-limited";

/// Returns the key that only one version of the configuration has.
pub(super) fn key_of(version: u64) -> String {
    format!("key-of-version-{version}")
}

/// Returns a configuration with the key of its version.
pub(super) fn with_key(mut configuration: Value, version: u64) -> Value {
    configuration["version"] = version.into();
    let customers = configuration["tenants"].as_array_mut().expect("a list of customers");
    customers.push(json!({
        "name": "versioned", "api_keys": [key_of(version)], "priority": 1, "unit": "tokens", "plain_tokens": 1,
        "rate_per_s": 0, "burst": 0,
    }));
    customers.push(json!({
        "name": "limited", "api_keys": [LIMITED_KEY], "priority": 1, "unit": "tokens", "plain_tokens": REQUEST_TOKENS,
        "rate_per_s": RATE, "burst": BURST,
    }));
    configuration
}

/// A request with the key of a version, as its caller saw it.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) version: u64,
    pub(super) gateway: usize,
    pub(super) sent_at: Instant,
    /// When the gateway was last disturbed, before and after the request; a process is the same while this is.
    pub(super) disturbed: (Instant, Instant),
    /// Whether gateway and store were undisturbed, and whether the gateway was.
    pub(super) is_settled: bool,
    pub(super) is_gateway_settled: bool,
    pub(super) status: Option<u16>,
}

/// What was written and seen in a run.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// When each version was acknowledged.
    pub(super) acknowledged: BTreeMap<u64, Instant>,
    pub(super) probes: Vec<Probe>,
    /// When requests of the limited customer were sent, by id.
    pub(super) limited_sent: BTreeMap<String, Instant>,
    /// When those that ran were sent and arrived.
    pub(super) limited: Vec<(Instant, Instant)>,
    /// Number of returns of the store.
    pub returns: usize,
}

impl Changes {
    /// Returns the number of requests with keys.
    pub fn probes(&self) -> usize {
        self.probes.len()
    }

    /// Returns the numbers of those that had to be refused and to be served, since gateway and store were undisturbed.
    pub fn decided(&self) -> (usize, usize) {
        let refused = self.probes.iter().filter(|probe| self.must_refuse(probe)).count();
        (refused, self.probes.iter().filter(|probe| self.must_serve(probe)).count())
    }

    /// Returns what is wrong.
    pub fn faults(&self) -> Vec<String> {
        let late = self.probes.iter().filter(|probe| self.must_refuse(probe) && probe.status == Some(200));
        let missing = self.probes.iter().filter(|probe| self.must_serve(probe) && probe.status == Some(401));
        let unanswered =
            self.probes.iter().filter(|probe| probe.is_gateway_settled && probe.status.is_none());
        let unanswered = unanswered.count();
        let mut faults: Vec<String> =
            late.map(|probe| format!("a withdrawn key was served: {probe:?}")).collect();
        faults.extend(missing.map(|probe| format!("a key was refused: {probe:?}")));
        faults.extend(self.regressions());
        if unanswered > MOST_UNANSWERED {
            faults.push(format!("{unanswered} requests were not answered"));
        }
        faults.extend(
            self.most_used()
                .filter(|(used, allowed)| used > allowed)
                .map(|(used, allowed)| format!("a customer used {used} tokens of {allowed}")),
        );
        faults
    }

    /// Returns whether a newer version was acknowledged long enough before.
    fn must_refuse(&self, probe: &Probe) -> bool {
        let newer = self.acknowledged.range(probe.version + 1..).next();
        probe.is_settled && newer.is_some_and(|(_, at)| probe.sent_at > *at + APPLY)
    }

    /// Returns whether the version was acknowledged long enough before, and is not about to be replaced.
    fn must_serve(&self, probe: &Probe) -> bool {
        let known = self.acknowledged.get(&probe.version);
        let is_newest =
            self.acknowledged.range(probe.version + 1..).all(|(_, at)| probe.sent_at + APPLY < *at);
        probe.is_settled && is_newest && known.is_some_and(|at| probe.sent_at > *at + APPLY)
    }

    /// Returns keys that a process served after it had refused them.
    fn regressions(&self) -> Vec<String> {
        let mut refused: BTreeMap<(usize, u64, Instant), Instant> = BTreeMap::new();
        let mut faults = Vec::new();
        for probe in &self.probes {
            let Probe { gateway, version, disturbed: (before, after), sent_at, .. } = *probe;
            let is_withdrawn = self.acknowledged.range(version + 1..).any(|(_, at)| *at < sent_at);
            if before != after || !is_withdrawn {
                continue;
            }
            match probe.status {
                Some(401) => {
                    refused.entry((gateway, version, before)).or_insert(sent_at);
                }
                Some(200) => {
                    let since = refused.get(&(gateway, version, before));
                    if since.is_some_and(|since| sent_at > *since + ROLLBACK_SLACK) {
                        faults.push(format!("a key that had been refused was served: {probe:?}"));
                    }
                }
                _ => {}
            }
        }
        faults
    }

    /// Returns the tokens of the limited customer's requests that were both sent and arrived in a window, for the window with
    /// the most, and those allowed.
    pub fn most_used(&self) -> impl Iterator<Item = (u64, u64)> {
        let limited = &self.limited;
        let in_window = |from: Instant| {
            let is_in =
                |(sent, arrived): &&(Instant, Instant)| *sent >= from && *arrived < from + QUOTA_WINDOW;
            limited.iter().filter(is_in).count()
        };
        let most = limited.iter().map(|(sent, _)| in_window(*sent)).max();
        let limit = RATE * QUOTA_WINDOW.as_secs() + BURST;
        let allowed = (limit as f64 * (1.0 + OVERAGE) + SLACK) as u64;
        most.map(|count| (count as u64 * REQUEST_TOKENS, allowed)).into_iter()
    }
}
