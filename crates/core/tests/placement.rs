//! Where requests go.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tarragonhill_core::{
    Attempt, Request, Time,
    message::Load,
    placement::{Need, Policy, Search, View},
    settings::{Endpoint, NamedEndpoint, Role},
};

fn endpoints(count: usize) -> Vec<NamedEndpoint> {
    let endpoint = Endpoint {
        role: Role::Decode,
        serves: "drafting".into(),
        host: "host".into(),
        zone: "zone".into(),
        address: "127.0.0.1:1".into(),
        agent: "127.0.0.1:2".into(),
        pieces: 40,
        context: 1_000,
        checks_fencing: false,
        leaving: false,
        generation: 1,
    };
    (0..count).map(|number| (format!("e{number}").into(), Arc::new(endpoint.clone()))).collect()
}

fn load(name: &Arc<str>, free_pieces: u32) -> Load {
    Load {
        endpoint: name.clone(),
        free_pieces,
        capacity_pieces: 40,
        queued_tokens: 0,
        running: 0,
        leaving: false,
    }
}

struct Fleet {
    view: View,
    rng: ChaCha8Rng,
    endpoints: Vec<NamedEndpoint>,
    sent: u32,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let mut view = View::default();
        let endpoints = endpoints(count);
        endpoints.iter().for_each(|(name, _)| view.report(Time::ZERO, load(name, 40)));
        Self { view, rng: ChaCha8Rng::seed_from_u64(1), endpoints, sent: 0 }
    }

    fn place(&mut self, now: Time, tried: &[&str]) -> Option<Arc<str>> {
        self.sent += 1;
        let tried: BTreeSet<Arc<str>> = tried.iter().map(|name| Arc::from(*name)).collect();
        let search = Search {
            policy: Policy::Current,
            zone: "zone",
            candidates: &self.endpoints,
            need: Need::Decode(2),
            attempt: Attempt { request: Request(self.sent.into()), number: 1 },
            tried: &tried,
        };
        self.view.place(now, &mut self.rng, &search)
    }
}

/// Loads are reported four times a second. All that an entry sends in between would go to the
/// endpoint that was emptiest, and overrun it, if it did not count its own sends.
#[test]
fn sends_between_reports_spread_over_the_endpoints() {
    let mut fleet = Fleet::new(4);
    let later = Time::ZERO.plus(Duration::from_millis(100));
    let mut counts = std::collections::BTreeMap::new();
    for _ in 0..40 {
        *counts.entry(fleet.place(later, &[]).expect("placed")).or_insert(0) += 1;
    }
    assert!(counts.len() == 4 && counts.values().all(|count| (6..=14).contains(count)), "{counts:?}");
}

/// Every engine crashed once and came back. A request that failed on each of them must still find
/// one: innocent neighbours of a crash were refused with no_endpoint.
#[test]
fn tried_endpoints_are_better_than_none() {
    let mut fleet = Fleet::new(3);
    assert_eq!(fleet.place(Time::ZERO, &["e0", "e1"]).as_deref(), Some("e2"));
    assert!(fleet.place(Time::ZERO, &["e0", "e1", "e2"]).is_some());
}

#[test]
fn endpoints_without_a_link_or_leaving_are_never_chosen() {
    let mut fleet = Fleet::new(3);
    fleet.view.link(["e0".into(), "e1".into()].into_iter(), false);
    assert_eq!(fleet.place(Time::ZERO, &[]).as_deref(), Some("e2"));
    fleet.view.report(Time::ZERO, Load { leaving: true, ..load(&"e2".into(), 40) });
    assert_eq!(fleet.place(Time::ZERO, &[]), None);
}

#[test]
fn endpoint_that_just_refused_is_passed_over_for_a_while() {
    let mut fleet = Fleet::new(2);
    fleet.view.refused(Time::ZERO, &"e0".into(), Duration::from_millis(50));
    assert!((0..10).all(|_| fleet.place(Time::ZERO, &[]).as_deref() == Some("e1")));
}
