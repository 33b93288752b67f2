//! Tests of endpoint placement.

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
    attempts: u32,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let mut view = View::default();
        let endpoints = endpoints(count);
        endpoints.iter().for_each(|(name, _)| view.record_load(Time::ZERO, load(name, 40)));
        Self { view, rng: ChaCha8Rng::seed_from_u64(1), endpoints, attempts: 0 }
    }

    fn place(&mut self, now: Time, tried: &[&str]) -> Option<Arc<str>> {
        self.attempts += 1;
        let tried: BTreeSet<Arc<str>> = tried.iter().map(|name| Arc::from(*name)).collect();
        let search = Search {
            policy: Policy::Current,
            zone: "zone",
            candidates: &self.endpoints,
            need: Need::Decode(2),
            attempt: Attempt { request: Request(self.attempts.into()), number: 1 },
            tried: &tried,
        };
        self.view.place(now, &mut self.rng, &search)
    }
}

/// An entry that ignored its own sends would send all work between two load reports to the same
/// endpoint.
#[test]
fn work_sent_between_load_reports_is_spread_over_endpoints() {
    let mut fleet = Fleet::new(4);
    let later = Time::ZERO.plus(Duration::from_millis(100));
    let mut counts = std::collections::BTreeMap::new();
    for _ in 0..40 {
        *counts.entry(fleet.place(later, &[]).expect("placed")).or_insert(0) += 1;
    }
    assert!(counts.len() == 4 && counts.values().all(|count| (6..=14).contains(count)), "{counts:?}");
}

/// A request that has failed on every endpoint must not be refused with `no_endpoint` while they are
/// up again.
#[test]
fn tried_endpoints_are_used_if_there_are_no_others() {
    let mut fleet = Fleet::new(3);
    assert_eq!(fleet.place(Time::ZERO, &["e0", "e1"]).as_deref(), Some("e2"));
    assert!(fleet.place(Time::ZERO, &["e0", "e1", "e2"]).is_some());
}

#[test]
fn disconnected_and_leaving_endpoints_are_never_chosen() {
    let mut fleet = Fleet::new(3);
    fleet.view.set_link_up(["e0".into(), "e1".into()].into_iter(), false);
    assert_eq!(fleet.place(Time::ZERO, &[]).as_deref(), Some("e2"));
    fleet.view.record_load(Time::ZERO, Load { leaving: true, ..load(&"e2".into(), 40) });
    assert_eq!(fleet.place(Time::ZERO, &[]), None);
}

#[test]
fn endpoint_that_refused_work_is_avoided() {
    let mut fleet = Fleet::new(2);
    fleet.view.record_refusal(Time::ZERO, &"e0".into(), Duration::from_millis(50));
    assert!((0..10).all(|_| fleet.place(Time::ZERO, &[]).as_deref() == Some("e1")));
}
