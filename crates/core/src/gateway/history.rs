//! Software versions that endpoints had lately.
//!
//! If a service has had only one version for as long as a stream can last, all its streams that can be resumed were begun by it. This
//! tells the version of streams that no replica knows any more.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::directory::Directory;
use crate::clock::Time;

/// Time after which a version that is no longer listed is forgotten; longer than any stream lasts.
const MAX_SPAN: Duration = Duration::from_secs(600);

/// A time that may lie before the start of the process.
#[derive(Clone, Copy, Debug)]
struct Moment {
    at: Time,
    /// How long before `at`.
    before: Duration,
}

impl Moment {
    fn age(self, now: Time) -> Duration {
        now.since(self.at) + self.before
    }
}

/// The versions that were listed lately, by service.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Since when all changes of the list are known, here or at a peer; `None` before it was read.
    since: Option<Moment>,
    /// Whether the store can be read. Otherwise there may be newer changes.
    is_current: bool,
    /// When each version of a service was last listed.
    listed: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Time>>,
    /// When a peer last knew a service with several versions.
    mixed: BTreeMap<Arc<str>, Moment>,
}

impl History {
    /// Records the versions that are listed now.
    pub fn record(&mut self, now: Time, directory: &Directory) {
        for endpoint in directory.all() {
            let versions = self.listed.entry(endpoint.service.clone()).or_default();
            versions.insert(endpoint.software_version.clone(), now);
        }
        self.mixed.retain(|_, moment| moment.age(now) < MAX_SPAN);
        self.listed.retain(|_, versions| {
            versions.retain(|_, at| now.since(*at) < MAX_SPAN);
            !versions.is_empty()
        });
    }

    /// Records that all changes of the list up to now were read from the store. With a gap, endpoints may have come and gone
    /// unnoticed.
    pub fn record_read(&mut self, now: Time, has_gap: bool) {
        self.is_current = true;
        if has_gap || self.since.is_none() {
            self.since = Some(Moment { at: now, before: Duration::ZERO });
        }
    }

    /// Records that the store cannot be read.
    pub fn mark_store_unreachable(&mut self) {
        self.is_current = false;
    }

    /// Takes over what a peer knows: it has followed the list for `span`, and had services with several versions this
    /// long ago.
    pub fn apply_peer(&mut self, now: Time, span: Duration, mixed: &BTreeMap<Arc<str>, Duration>) {
        if let Some(since) = self.since.as_mut().filter(|since| since.age(now) < span) {
            *since = Moment { at: now, before: span };
        }
        for (service, age) in mixed {
            let moment = Moment { at: now, before: *age };
            let known = self.mixed.entry(service.clone()).or_insert(moment);
            if known.age(now) > *age {
                *known = moment;
            }
        }
    }

    /// Returns for how long all changes of the list are known; zero while there may be newer ones.
    pub fn span(&self, now: Time) -> Duration {
        self.since.filter(|_| self.is_current).map_or(Duration::ZERO, |since| since.age(now))
    }

    /// Returns the services that had several versions, with the time since then.
    pub fn mixed(&self, now: Time) -> BTreeMap<Arc<str>, Duration> {
        let by_peers = self.mixed.iter().map(|(service, moment)| (service.clone(), moment.age(now)));
        let mut mixed: BTreeMap<Arc<str>, Duration> = by_peers.collect();
        for (service, versions) in &self.listed {
            let mut times: Vec<Time> = versions.values().copied().collect();
            times.sort_unstable();
            // The newest is that of a version that is still listed, or was last.
            if let [.., second, _] = times[..] {
                let age = mixed.entry(service.clone()).or_insert(MAX_SPAN);
                *age = (*age).min(now.since(second));
            }
        }
        mixed
    }

    /// Returns the version of a service if it certainly had no other one for `span`.
    pub fn sole(&self, now: Time, service: &str, span: Duration) -> Option<&Arc<str>> {
        let is_certain = self.is_current && self.span(now) >= span;
        let is_mixed = self.mixed(now).get(service).is_some_and(|age| *age < span);
        if !is_certain || is_mixed {
            return None;
        }
        let versions = self.listed.get(service)?;
        versions.iter().max_by_key(|(_, at)| **at).map(|(version, _)| version)
    }
}
