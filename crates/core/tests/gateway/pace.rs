//! Tests of the pace of endpoints that have just started or recovered.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use tarragonhill_core::gateway::{
    directory::{Endpoint, Row, Stage},
    forecast::{Forecast, Observation, Trend},
    health::Outcome,
    load::Lease,
    mechanism::{Mechanism, Mechanisms},
    pace::{Finding, Paces, Verdict, judge},
    state::{Listing, State},
};

use crate::{
    at, endpoint,
    outage::{exchange, fleet, listed, place},
    removed_row, row,
};

const PROMPT: u64 = 5_000;
const ENDPOINTS: u64 = 8;
const REPLICAS: usize = 8;
const ARRIVAL_MS: u64 = 40;
const RUN_MS: u64 = 3_000;
const FIRST_EVENT_MS: u64 = 300;
const LATE_MS: u64 = 900;

/// A time at which endpoints end or start, with their names and whether they start.
type Turn = (u64, Vec<String>, bool);

/// What became of the requests, and when the first returning endpoint carried its share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Tally {
    late: u32,
    unplaced: u32,
    lost_tokens: u64,
    share_after_ms: Option<u64>,
}

/// A model of engines: one that has started less than `warming_ms` ago keeps up with few runs only.
struct Play {
    fleet: Vec<State<u32>>,
    started: BTreeMap<Arc<str>, u64>,
    warming_ms: u64,
    running: VecDeque<(u64, usize, Lease)>,
    pending: Vec<(u64, u64, usize, Lease)>,
    tally: Tally,
}

impl Play {
    fn restart(&mut self, now: u64, id: &str, is_up: bool, is_leaving: bool) {
        let row: Row = if is_up {
            self.started.insert(id.into(), now);
            row(now + 100, Endpoint { started_ms: now, ..listed(id, Stage::Decode) })
        } else {
            self.started.remove(id);
            removed_row(now + 100, id)
        };
        if is_up || is_leaving {
            let listing = Listing { position: row.position, is_complete: false, rows: vec![row] };
            self.fleet.iter_mut().for_each(|replica| drop(replica.apply_listing(at(now), listing.clone())));
        }
        if !is_up && !is_leaving {
            let (lost, kept) =
                self.running.drain(..).partition::<Vec<_>, _>(|(_, _, lease)| &*lease.endpoint == id);
            self.running = kept.into();
            self.pending.retain(|(_, _, _, lease)| &*lease.endpoint != id);
            for (_, replica, lease) in lost {
                self.tally.lost_tokens += PROMPT;
                self.fleet[replica].record_end(at(now), &lease, Outcome::Failed);
            }
        }
    }

    fn runs(&self, id: &str) -> usize {
        self.running.iter().filter(|(_, _, lease)| &*lease.endpoint == id).count()
    }

    fn first_event_ms(&self, now: u64, id: &str) -> u64 {
        let up = now.saturating_sub(self.started[id]);
        let capacity =
            if up >= self.warming_ms { 12.0 } else { 2.0 + 10.0 * up as f64 / self.warming_ms as f64 };
        let overload = (self.runs(id) as f64 / capacity).max(1.0);
        (FIRST_EVENT_MS as f64 * overload * overload) as u64
    }

    fn arrive(&mut self, now: u64, replica: usize) {
        let mut avoid: Vec<Arc<str>> = Vec::new();
        while let Some(lease) = place(&mut self.fleet[replica], now, &avoid) {
            if self.started.contains_key(&lease.endpoint) {
                let took = self.first_event_ms(now, &lease.endpoint);
                self.tally.late += u32::from(took > LATE_MS);
                self.pending.push((now + took, took, replica, lease.clone()));
                self.running.push_back((now + RUN_MS, replica, lease));
                return;
            }
            avoid.push(lease.endpoint.clone());
            self.fleet[replica].record_end(at(now), &lease, Outcome::Unreachable);
        }
        self.tally.unplaced += 1;
    }

    fn step(&mut self, now: u64) {
        let (due, left) = self.pending.drain(..).partition(|(due, ..)| *due <= now);
        self.pending = left;
        for (_, took, replica, lease) in due {
            let observation = Observation::FirstEvent { prompt: PROMPT, took: Duration::from_millis(took) };
            let state = &mut self.fleet[replica];
            state.record_first_event(at(now), &lease);
            if let Some(endpoint) = state.directory().get(&lease.endpoint).cloned() {
                state.record_observation(at(now), &endpoint, observation);
            }
        }
        while let Some((_, replica, lease)) = self.running.pop_front_if(|(end, ..)| *end <= now) {
            self.fleet[replica].record_end(at(now), &lease, Outcome::Abandoned);
        }
    }
}

fn play(mechanisms: &Mechanisms, warming_ms: u64, turns: &[Turn], until: u64) -> Tally {
    let ids = (1..=ENDPOINTS).map(|index| format!("d-{index}").into());
    let mut play = Play {
        fleet: fleet(REPLICAS, ENDPOINTS, mechanisms),
        started: ids.map(|id| (id, 0)).collect(),
        warming_ms,
        running: VecDeque::new(),
        pending: Vec::new(),
        tally: Tally::default(),
    };
    let is_replacement = turns.iter().any(|(_, ids, _)| ids.iter().any(|id| id.starts_with('n')));
    let first_back = turns.iter().find(|(_, _, is_up)| *is_up);
    let mut next = 0;
    for now in (0..until).step_by(20) {
        while let Some((_, ids, is_up)) = turns.get(next).filter(|(due, ..)| *due <= now) {
            ids.iter().for_each(|id| play.restart(now, id, *is_up, is_replacement));
            next += 1;
        }
        play.step(now);
        if now % ARRIVAL_MS == 0 {
            play.arrive(now, (now / ARRIVAL_MS) as usize % REPLICAS);
        }
        if now % 100 == 0 {
            exchange(&mut play.fleet, now);
        }
        if let Some((back, ids, _)) = first_back.filter(|(back, ..)| *back <= now)
            && play.tally.share_after_ms.is_none()
            && play.runs(&ids[0]) >= 8
        {
            play.tally.share_after_ms = Some(now - back);
        }
    }
    play.tally
}

fn ids(prefix: char, range: std::ops::RangeInclusive<u64>) -> Vec<String> {
    range.map(|index| format!("{prefix}-{index}")).collect()
}

/// Guards against an endpoint that is flooded when it returns, or left idle.
#[test]
fn a_returning_endpoint_soon_carries_its_share() {
    let turns = [(4_000, ids('d', 1..=2), false), (6_000, ids('d', 1..=2), true)];
    let paced = play(&Mechanisms::default(), 6_000, &turns, 14_000);
    let flooded = play(&Mechanisms::without([Mechanism::Pace]), 6_000, &turns, 14_000);
    assert!(paced.late < flooded.late, "{paced:?} {flooded:?}");
    assert!(paced.share_after_ms.is_some_and(|after| after <= 4_000), "{paced:?} {flooded:?}");
}

/// Guards against capacity lost to the pace while all endpoints are replaced one after the other.
#[test]
fn a_rolling_replacement_keeps_its_capacity() {
    let step = |index: u64| {
        let from = 4_000 + 3_000 * index;
        [(from, ids('n', index..=index), true), (from + 2_000, ids('d', index..=index), false)]
    };
    let turns: Vec<Turn> = (1..=ENDPOINTS).flat_map(step).collect();
    let paced = play(&Mechanisms::default(), 1, &turns, 34_000);
    let unpaced = play(&Mechanisms::without([Mechanism::Pace]), 1, &turns, 34_000);
    assert!(paced.unplaced <= unpaced.unplaced + 8, "{paced:?} {unpaced:?}");
}

/// Guards against an endpoint that comes and goes and takes a full load with it each time.
#[test]
fn an_endpoint_that_flaps_loses_little() {
    let turns: Vec<Turn> =
        (0..16).map(|index| (4_000 + 1_400 * index, ids('d', 1..=1), index % 2 == 1)).collect();
    let paced = play(&Mechanisms::default(), 1, &turns, 28_000);
    let unpaced = play(&Mechanisms::without([Mechanism::Pace]), 1, &turns, 28_000);
    assert!(paced.lost_tokens * 2 < unpaced.lost_tokens, "{paced:?} {unpaced:?}");
}

/// Guards against a pace while nothing has started or recovered, which would be a bound on all load.
#[test]
fn without_starts_nothing_changes() {
    let paced = play(&Mechanisms::default(), 1, &[], 8_000);
    assert_eq!(paced, play(&Mechanisms::without([Mechanism::Pace]), 1, &[], 8_000));
}

#[test]
fn the_limit_follows_the_answers() {
    let mut paces = Paces::default();
    let one = endpoint("d-1", Stage::Decode);
    paces.begin(at(0), &one, Some(5_000), 40_000);
    let mut limits = Vec::new();
    let script = [(10, Verdict::Prompt), (20, Verdict::Prompt), (30, Verdict::Unclear), (40, Verdict::Slow)];
    for (now, verdict) in script.into_iter().chain([(50, Verdict::Slow), (600, Verdict::Slow)]) {
        paces.record_answer(at(now), "d-1", verdict);
        limits.push(paces.limit("d-1").expect("a limit"));
    }
    assert_eq!(limits, [15_000, 20_000, 20_000, 10_000, 10_000, 5_000]);
    let cases = [
        ("a request that runs alone", 0, 9_000, 1.0, 27, true),
        ("a second run", 5_000, 5_000, 1.0, 27, false),
        ("a replica that is not chosen", 0, 5_000, 0.5, 27, false),
        ("one of few replicas", 0, 5_000, 0.5, 4, true),
    ];
    for (name, used, added, preference, replicas, expected) in cases {
        let admits = |now| paces.admits(at(now), "d-1", (used, added), (preference, replicas));
        assert_eq!(admits(600), expected, "{name}");
        assert_eq!(admits(9_000), used == 0, "{name}, later");
    }
    for step in 0..7 {
        paces.record_answer(at(700 + step), "d-1", Verdict::Prompt);
    }
    assert_eq!(paces.limit("d-1"), None);
}

/// Guards against findings of peers that are lost, late or of an earlier process.
#[test]
fn the_newest_reduction_counts_or_else_the_largest_limit() {
    let one = endpoint("d-1", Stage::Decode);
    let cases = [
        ("grown", Finding { started_ms: 1, limit: 20_000, age: Duration::from_millis(1_000) }, 20_000),
        ("not grown", Finding { started_ms: 1, limit: 5_000, age: Duration::from_millis(1_000) }, 10_000),
        ("reduced", Finding { started_ms: 1, limit: 5_000, age: Duration::from_millis(100) }, 5_000),
        ("from before", Finding { started_ms: 1, limit: 20_000, age: Duration::from_millis(3_000) }, 10_000),
        ("another process", Finding { started_ms: 2, limit: 20_000, age: Duration::ZERO }, 10_000),
        ("no limit", Finding { started_ms: 1, limit: 0, age: Duration::ZERO }, 1),
    ];
    for (name, finding, expected) in cases {
        let mut paces = Paces::default();
        paces.begin(at(2_000), &one, Some(5_000), 40_000);
        paces.apply(at(3_000), "d-1", finding);
        assert_eq!(paces.limit("d-1"), Some(expected), "{name}");
        paces.expire(at(13_000), |_| true);
        assert_eq!(paces.limit("d-1"), None, "{name}: an idle endpoint is held back");
    }
}

/// Guards against an endpoint of a slow kind that never gets its share.
#[test]
fn answers_are_judged_by_the_slower_of_both_pasts() {
    let forecast =
        |secs| Forecast { first_event: Some(Trend { base: secs, slope: 0.0 }), ..Forecast::default() };
    let took = |secs| Observation::FirstEvent { prompt: PROMPT, took: Duration::from_secs_f64(secs) };
    for (own, secs, expected) in [
        (0.1, 0.15, Verdict::Prompt),
        (0.1, 0.3, Verdict::Unclear),
        (0.1, 0.5, Verdict::Slow),
        (0.3, 0.5, Verdict::Prompt),
    ] {
        assert_eq!(judge(&took(secs), &forecast(own), &forecast(0.1)), expected, "{own} {secs}");
    }
    assert_eq!(judge(&took(9.0), &Forecast::default(), &Forecast::default()), Verdict::Prompt);
}

/// Guards against a pace that replaces the limit that an endpoint names, or the operator's for cold ones.
#[test]
fn limits_of_endpoints_hold_on_top() {
    let mut fleet = fleet(1, 4, &Mechanisms::default());
    let others = ["d-2", "d-3", "d-4"].map(Arc::from);
    let started = Row { ..row(200, Endpoint { started_ms: 200, ..listed("d-1", Stage::Decode) }) };
    let listing = Listing { position: started.position, is_complete: false, rows: vec![started] };
    fleet[0].apply_listing(at(1_000), listing);
    assert_eq!(fleet[0].paces().all().count(), 1);
    fleet[0].record_limit(at(1_000), &"d-1".into(), Some(1.0));
    let placed = (1_010..2_000).step_by(10).filter_map(|now| {
        let lease = place(&mut fleet[0], now, &others)?;
        fleet[0].record_end(at(now), &lease, Outcome::Abandoned);
        Some(now)
    });
    assert!(placed.count() <= 2);
}
