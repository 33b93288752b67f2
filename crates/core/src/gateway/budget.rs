//! Retry budget, shared by all replicas.
//!
//! In any window, the retries of a service stay below a fraction of its requests plus a fixed slack. A retry is a
//! message to an endpoint, so a [`Ledger`] for each request tells what has to be charged. Messages count when endpoints
//! read them, which may be long after they were sent: a charge leaves the window only a window after its message has been
//! read, or can no longer be.
//!
//! The limit holds without coordination, also while replicas are cut off or restarted: each replica counts only
//! requests that it received itself, and uses an equal share of the slack. Processes of one replica that follow each
//! other share its part.
//!
//! [`Ledger`]: super::ledger::Ledger

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use super::ledger::Remainder;
use crate::clock::Time;

/// Fraction of the retries that requests earn which is used. Leaves a margin for messages that arrive when there are
/// fewer requests than when they were sent.
const USABLE_FRACTION: f64 = 0.7;
/// Fraction of a replica's share of the slack that one process uses in a window.
///
/// In any window, the processes of a replica use at most this part by the first of them, [`GAIN_FRACTION`] by all others
/// together and [`STARTUP_FRACTION`] by one of these: less than the share.
const SLACK_FRACTION: f64 = 0.5;
/// Fraction of the share by which what a process may use grows in a window, until it is [`SLACK_FRACTION`].
const GAIN_FRACTION: f64 = 0.3;
/// Fraction of the share that a process may use as soon as it knows the other replicas, unless an earlier process of
/// the replica started in the window before.
const STARTUP_FRACTION: f64 = 0.1;
/// Granularity of the sliding window.
const BUCKET_DURATION: Duration = Duration::from_millis(500);
/// Time in which a message arrives that the endpoint has not acknowledged; after that, the operating system has given up.
const TRANSIT_TIME: Duration = Duration::from_secs(3);
/// Time after a pause of the process in which it reads requests that were sent before.
const CATCH_UP_TIME: Duration = Duration::from_secs(2);
/// Time after which a message is given up if its endpoint has not responded to any later message.
const MAX_PENDING_TIME: Duration = Duration::from_secs(30);

/// Limit on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Further retries allowed per window, over all replicas.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Decision on a charge, with its inputs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// Whether the retries were charged.
    pub is_granted: bool,
    /// Retries charged before whose messages were read within the window or may still be.
    pub used: u32,
    /// Retries that are allowed in the window.
    pub allowed: f64,
    /// Number of replicas that share the slack, as far as this one knows.
    pub replicas: u32,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Time,
    requests: u32,
    /// Retries that were concluded.
    retries: u32,
}

/// A message of a request that has ended, which an endpoint may still read.
#[derive(Clone, Debug)]
struct Pending {
    endpoint: Arc<str>,
    /// End of the request; the message was sent before.
    since: Time,
    /// Whether the endpoint has read a later message.
    is_read: bool,
}

/// Requests and retries of one service.
#[derive(Clone, Debug, Default)]
struct Account {
    window: VecDeque<Bucket>,
    /// Charges of requests in progress for messages that have not been concluded.
    open: u32,
    pending: Vec<Pending>,
}

impl Account {
    fn bucket(&mut self, now: Time, window: Duration) -> &mut Bucket {
        // A bucket also holds what was recorded after its start.
        let lifetime = window + BUCKET_DURATION;
        while self.window.front().is_some_and(|bucket| now.since(bucket.start) >= lifetime) {
            self.window.pop_front();
        }
        if self.window.back().is_none_or(|bucket| now.since(bucket.start) >= BUCKET_DURATION) {
            self.window.push_back(Bucket { start: now, requests: 0, retries: 0 });
        }
        let last = self.window.len() - 1;
        &mut self.window[last]
    }

    fn requests(&self) -> u32 {
        self.window.iter().map(|bucket| bucket.requests).sum()
    }

    /// Returns the retries that count within the window that ends now.
    fn used(&self) -> u32 {
        let concluded: u32 = self.window.iter().map(|bucket| bucket.retries).sum();
        concluded + self.open + self.pending.len() as u32
    }

    /// Concludes the messages of ended requests that can no longer arrive.
    fn expire(&mut self, now: Time, window: Duration) {
        let before = self.pending.len();
        self.pending.retain(|pending| {
            let age = now.since(pending.since);
            age < MAX_PENDING_TIME && !(pending.is_read && age >= TRANSIT_TIME)
        });
        let concluded = (before - self.pending.len()) as u32;
        if concluded > 0 {
            self.bucket(now, window).retries += concluded;
        }
    }
}

/// What a process knows of its replica.
#[derive(Clone, Copy, Debug, Default)]
struct Standing {
    /// Whether the process may use [`STARTUP_FRACTION`].
    has_grant: bool,
    /// When it became certain that this replica and all others know each other.
    settled_at: Option<Time>,
}

impl Standing {
    /// Returns the fraction of the replica's share that the process may use in a window.
    fn usable_fraction(self, now: Time, window: Duration) -> f64 {
        let grant = if self.has_grant { STARTUP_FRACTION } else { 0.0 };
        let windows = self.settled_at.map_or(0.0, |at| now.since(at).div_duration_f64(window));
        (grant + GAIN_FRACTION * windows).min(SLACK_FRACTION)
    }
}

/// Requests and retries within the window, by service.
#[derive(Clone, Debug)]
pub struct Budget {
    rule: Rule,
    standing: Standing,
    /// Time before which requests earn nothing: they may have been sent long ago.
    earning_from: Time,
    services: BTreeMap<Arc<str>, Account>,
}

impl Budget {
    /// Creates the budget of a process that does not know the other replicas yet. It uses nothing of the slack.
    pub fn new(rule: Rule) -> Self {
        Self { rule, standing: Standing::default(), earning_from: Time::ZERO, services: BTreeMap::new() }
    }

    /// Records that the other replicas are known. `since_previous` is the time since an earlier process of this replica
    /// started; `None` if there was none.
    pub fn record_registered(&mut self, since_previous: Option<Duration>) {
        self.standing.has_grant = since_previous.is_none_or(|since| since >= self.rule.window);
    }

    /// Records that the other replicas are known, and know this one.
    pub fn record_settled(&mut self, now: Time) {
        self.standing.settled_at.get_or_insert(now);
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Time, service: &Arc<str>) {
        let window = self.rule.window;
        let earns = now >= self.earning_from;
        self.account(service).bucket(now, window).requests += u32::from(earns);
    }

    /// Records that the process was paused until now. Requests of before no longer earn retries: the clock may have stood
    /// still. Those that were sent meanwhile are read now, and would earn in another window than that of their sending.
    pub fn record_pause(&mut self, now: Time) {
        self.earning_from = now.plus(CATCH_UP_TIME);
        let buckets = self.services.values_mut().flat_map(|account| &mut account.window);
        buckets.for_each(|bucket| bucket.requests = 0);
    }

    /// Charges `count` retries if the budget allows all of them. `replicas` is the number of replicas that share the
    /// slack, including this one.
    pub fn try_charge(&mut self, now: Time, service: &Arc<str>, count: u32, replicas: u32) -> Decision {
        let Rule { ratio, slack, window } = self.rule;
        let share = slack / f64::from(replicas.max(1));
        let usable_slack = share * self.standing.usable_fraction(now, window);
        let account = self.account(service);
        account.expire(now, window);
        account.bucket(now, window);
        let used = account.used();
        let allowed = ratio * f64::from(account.requests()) * USABLE_FRACTION + usable_slack;
        let is_granted = f64::from(used + count) <= allowed;
        if is_granted {
            account.open += count;
        }
        Decision { is_granted, used, allowed, replicas }
    }

    /// Records that the messages of `count` charges were read.
    pub fn conclude(&mut self, now: Time, service: &Arc<str>, count: u32) {
        let window = self.rule.window;
        let account = self.account(service);
        account.open = account.open.saturating_sub(count);
        account.bucket(now, window).retries += count;
    }

    /// Records the end of a request. Its charges are replaced by the messages that may still be read.
    pub fn record_end(&mut self, now: Time, service: &Arc<str>, remainder: Remainder) {
        let account = self.account(service);
        account.open = account.open.saturating_sub(remainder.charges);
        let pending = remainder.pending.into_iter();
        account.pending.extend(pending.map(|endpoint| Pending { endpoint, since: now, is_read: false }));
    }

    /// Records that an endpoint has read a message that was sent at `sent`, and so all that were sent to it before.
    pub fn record_read(&mut self, now: Time, endpoint: &str, sent: Time) {
        let window = self.rule.window;
        for account in self.services.values_mut() {
            let earlier = |pending: &&mut Pending| &*pending.endpoint == endpoint && pending.since <= sent;
            account.pending.iter_mut().filter(earlier).for_each(|pending| pending.is_read = true);
            account.expire(now, window);
        }
    }

    /// Concludes messages that can no longer arrive; must be called several times a second.
    pub fn expire(&mut self, now: Time) {
        let window = self.rule.window;
        self.services.values_mut().for_each(|account| account.expire(now, window));
    }

    /// Returns the endpoints that may still read messages of requests that have ended.
    pub fn awaited(&self) -> BTreeSet<Arc<str>> {
        let pending = self.services.values().flat_map(|account| &account.pending);
        pending.filter(|pending| !pending.is_read).map(|pending| pending.endpoint.clone()).collect()
    }

    fn account(&mut self, service: &Arc<str>) -> &mut Account {
        self.services.entry(service.clone()).or_default()
    }
}
