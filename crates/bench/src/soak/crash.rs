//! Requests with parts of prompts that crash engines, sound ones that share their other parts, and the checks of both.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use tarragonhill_h1::head::Request;

use super::CONTACT;
use crate::platform::{caller::request_with_parts, endpoint::ReceivedRequest, site::KEY};

/// Number of crashes after which gateways must know a part.
const KNOWN_CRASHES: usize = 5;
/// Most requests with such a part that may reach endpoints later.
const MOST_AFTER: usize = 3;
/// Least share of sound requests that begin, of the share before the first crash.
const LEAST_SOUND: f64 = 0.5;
/// Least share of sound requests that begin while most connections go to one gateway, of the share before.
const LEAST_SKEWED: f64 = 0.75;
/// Time before a skew that it is compared with.
const BEFORE_SKEW: Duration = Duration::from_secs(10);
/// Smallest number of requests for which a share counts.
const MIN_REQUESTS: usize = 20;
/// One in this many sound requests is the same as others.
const POPULAR_ONE_IN: u32 = 4;
const DOCUMENTS: u32 = 6;
pub(super) const DEADLINE: Duration = Duration::from_secs(5);

/// Returns the name of a part that crashes engines.
pub(super) fn part_name(number: usize) -> String {
    format!("crash{number}")
}

/// A request, as its caller saw its first attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    /// The part that crashes engines; `None` for a sound request.
    pub(super) part: Option<usize>,
    pub(super) sent_at: Instant,
    pub(super) has_begun: bool,
    /// Whether gateway, store and endpoints were undisturbed, but for engines that crashed under a part.
    pub(super) is_settled: bool,
    /// Whether the connection was a new one to the gateway that got most.
    pub(super) is_skewed: bool,
}

/// The requests of a run, and what engines got of them.
#[derive(Debug, Default)]
pub struct Crashes {
    samples: BTreeMap<String, Sample>,
    /// When requests with a part arrived, by part; whether they ran, and their ids.
    arrivals: BTreeMap<usize, Vec<(Instant, bool, String)>>,
    /// When most connections began to go to one gateway, and until when.
    skews: Vec<(Instant, Instant)>,
}

/// Figures of one run.
#[derive(Debug)]
pub struct Figures {
    /// Crashes under each part.
    pub crashes: Vec<usize>,
    /// Requests with each part that reached engines once the gateways had to know it.
    pub late: Vec<usize>,
    /// Share of sound requests that began before the first crash and once the gateways had to know the parts; `None` for
    /// too few.
    pub sound: Option<(f64, f64)>,
    /// Share of sound requests that began before and during each skew.
    pub skewed: Vec<(f64, f64)>,
}

impl Figures {
    /// Returns what is wrong.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if self.late.iter().any(|late| *late > MOST_AFTER) {
            faults.push(format!("requests with a crashing part reached engines: {:?}", self.late));
        }
        if self.sound.is_some_and(|(before, after)| after < before * LEAST_SOUND) {
            faults.push(format!("sound requests were not served: {:?}", self.sound));
        }
        if self.skewed.iter().any(|(before, during)| *during < before * LEAST_SKEWED) {
            faults.push(format!("a gateway with most connections did not serve: {:?}", self.skewed));
        }
        faults
    }
}

fn share<'a>(samples: impl Iterator<Item = &'a Sample>) -> Option<f64> {
    let (mut sent, mut begun) = (0, 0);
    for sample in samples {
        sent += 1;
        begun += usize::from(sample.has_begun);
    }
    (sent >= MIN_REQUESTS).then(|| begun as f64 / sent as f64)
}

impl Crashes {
    pub(super) fn new(
        samples: BTreeMap<String, Sample>,
        received: &[ReceivedRequest],
        skews: Vec<(Instant, Instant)>,
    ) -> Self {
        let mut arrivals: BTreeMap<usize, Vec<(Instant, bool, String)>> = BTreeMap::new();
        for message in received {
            let id = message.head.fields.get("Tarragonhill-Request-Id").unwrap_or_default();
            let Some(part) = samples.get(id).and_then(|sample| sample.part) else { continue };
            let is_run =
                message.was_executed && message.head.fields.get("Tarragonhill-Serving-Stage").is_none();
            arrivals.entry(part).or_default().push((message.received_at, is_run, id.to_owned()));
        }
        arrivals.values_mut().for_each(|arrivals| arrivals.sort());
        Self { samples, arrivals, skews }
    }

    /// Returns the figures; `None` if there were no such requests.
    pub fn figures(&self) -> Option<Figures> {
        if self.samples.is_empty() {
            return None;
        }
        let (mut crashes, mut late, mut known_at) = (Vec::new(), Vec::new(), Vec::new());
        for arrivals in self.arrivals.values() {
            let runs: Vec<Instant> =
                arrivals.iter().filter(|(_, is_run, _)| *is_run).map(|(at, _, _)| *at).collect();
            crashes.push(runs.len());
            late.push(runs.get(KNOWN_CRASHES - 1).map_or(0, |fifth| self.late(arrivals, *fifth + CONTACT)));
            known_at.extend(runs.get(KNOWN_CRASHES - 1).or(runs.last()).copied());
        }
        let first =
            self.arrivals.values().flatten().filter(|(_, is_run, _)| *is_run).map(|(at, _, _)| *at).min();
        let sound = || self.samples.values().filter(|sample| sample.part.is_none() && sample.is_settled);
        let known_at = known_at.into_iter().max();
        let before = first.and_then(|first| share(sound().filter(|sample| sample.sent_at < first)));
        let after = known_at.and_then(|at| share(sound().filter(|sample| sample.sent_at > at + CONTACT * 2)));
        let skewed = self.skews.iter().filter_map(|(from, until)| {
            let is_before = |at: Instant| at < *from && *from - at < BEFORE_SKEW;
            let before = share(sound().filter(|sample| is_before(sample.sent_at)))?;
            let is_during = |at: Instant| at > *from + CONTACT && at < *until;
            let during = sound().filter(|sample| sample.is_skewed && is_during(sample.sent_at));
            Some((before, share(during)?))
        });
        Some(Figures { crashes, late, sound: before.zip(after), skewed: skewed.collect() })
    }

    /// Returns the number of requests that reached engines after `since`, from gateways that could have known better.
    fn late(&self, arrivals: &[(Instant, bool, String)], since: Instant) -> usize {
        let late = arrivals.iter().filter(|(at, _, _)| *at > since).map(|(_, _, id)| id);
        let ids: std::collections::BTreeSet<&String> = late.collect();
        ids.into_iter().filter(|id| self.samples.get(*id).is_some_and(|sample| sample.is_settled)).count()
    }
}

/// Returns a request with its id and body.
pub(super) fn request(rng: &mut ChaCha8Rng, number: usize, part: Option<usize>) -> (String, Request, String) {
    let id = format!("p{number}");
    let document = format!("document{}", rng.random_range(0..DOCUMENTS));
    let is_popular = part.is_none() && rng.random_ratio(1, POPULAR_ONE_IN);
    let own = if is_popular { "popular".to_owned() } else { id.clone() };
    let crashing = part.map(part_name);
    let parts: Vec<&str> =
        ["first", &document].into_iter().chain(crashing.as_deref()).chain([own.as_str()]).collect();
    let mut head = request_with_parts("/stream/x", KEY, &id, &parts);
    head.fields.set("Tarragonhill-Deadline-Ms", DEADLINE.as_millis().to_string());
    (id, head, own)
}
