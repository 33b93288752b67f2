//! Tests of the quarantine for requests and parts of prompts that crash endpoints.

use std::{sync::Arc, time::Duration};

use tarragonhill_core::gateway::{
    directory::Stage,
    suspect::{Run, Suspect, Suspects, Verdict},
};

use crate::{at, endpoint};

const CRASHING: Suspect = Suspect(1);
const HARMLESS: Suspect = Suspect(2);
/// Part of many prompts.
const POPULAR: Suspect = Suspect(3);
const SETTLING_TIME: Duration = Duration::from_millis(600);
/// Time in which all replicas must know what has happened.
const CONTACT_MS: u64 = 3_000;
/// Most requests with a crashing part that may run later than that after the fifth crash.
const MOST_AFTER: usize = 3;

fn suspects(name: &str) -> Suspects {
    Suspects::new(name.into())
}

/// Lets an endpoint crash while it starts to run requests with these suspects, each with others.
fn crash(suspects: &mut Suspects, now: u64, id: &str, running: &[&[Suspect]]) {
    crash_under(suspects, now, id, running, Run::Starting);
}

fn crash_under(suspects: &mut Suspects, now: u64, id: &str, running: &[&[Suspect]], run: Run) {
    let endpoint = endpoint(id, Stage::Decode);
    for request in running {
        suspects.record_interrupted(at(now), &endpoint, &Arc::from(*request), run, false);
    }
    suspects.record_crash(at(now + 30), id);
}

/// Completes a request with these suspects on an endpoint that outlives it.
fn complete(suspects: &mut Suspects, now: u64, request: &[Suspect]) {
    let (endpoint, request) = (endpoint("sound", Stage::Decode), Arc::from(request));
    suspects.record_completed(at(now), &endpoint, &request, at(now.saturating_sub(10)), false);
    suspects.record_alive(at(now + 1), &endpoint.id, at(now + 1));
}

fn tell(from: (&str, &Suspects), to: &mut Suspects, now: u64) {
    to.apply_peer(at(now), &from.0.into(), &from.1.report(at(now), true));
}

fn verdict(suspects: &mut Suspects, now: u64, request: &[Suspect]) -> Verdict {
    suspects.verdict(at(now), request, SETTLING_TIME)
}

/// Guards against a request that is retried through several replicas and crashes an endpoint each
/// time.
#[test]
fn a_request_that_crashed_two_endpoints_is_refused_by_every_replica() {
    let (mut one, mut two) = (suspects("one"), suspects("two"));
    crash(&mut one, 0, "e-1", &[&[CRASHING], &[HARMLESS]]);
    assert_eq!(verdict(&mut one, 400, &[CRASHING]), Verdict::Free);
    tell(("one", &one), &mut two, 500);
    crash(&mut two, 1_000, "e-2", &[&[CRASHING]]);
    assert!(two.holds(&[CRASHING]));
    tell(("two", &two), &mut one, 1_500);
    assert!(one.holds(&[CRASHING]));
    assert!(!one.holds(&[HARMLESS]) && !two.holds(&[HARMLESS]));
}

/// Guards against one crash that counts at each replica that noticed it.
#[test]
fn a_crash_that_two_replicas_notice_counts_once() {
    let (mut one, mut two) = (suspects("one"), suspects("two"));
    crash(&mut one, 0, "e-1", &[&[CRASHING]]);
    crash(&mut two, 10, "e-1", &[&[CRASHING]]);
    tell(("one", &one), &mut two, 500);
    assert!(!two.holds(&[CRASHING]));
}

#[test]
fn an_interrupted_request_without_a_crash_is_not_a_suspect() {
    let mut suspects = suspects("one");
    let e_1 = endpoint("e-1", Stage::Decode);
    for now in 0..5 {
        suspects.record_interrupted(at(now), &e_1, &[CRASHING].into(), Run::Starting, false);
    }
    assert!(!suspects.holds(&[CRASHING]));
    // The endpoint crashes much later, with other requests running.
    suspects.record_crash(at(60_000), "e-1");
    // Others are found alive, and crash a moment later.
    for (now, id) in [(70_000, "e-2"), (71_000, "e-3")] {
        let endpoint = endpoint(id, Stage::Decode);
        suspects.record_interrupted(at(now), &endpoint, &[CRASHING].into(), Run::Starting, false);
        suspects.record_alive(at(now + 20), id, at(now + 10));
        suspects.record_crash(at(now + 100), id);
    }
    assert_eq!(verdict(&mut suspects, 72_000, &[CRASHING]), Verdict::Free);
}

/// Guards against a suspect that is refused for good.
#[test]
fn a_suspect_is_tried_again_and_cleared_by_its_completion_at_every_replica() {
    let (mut one, mut two) = (suspects("one"), suspects("two"));
    crash(&mut one, 0, "e-1", &[&[HARMLESS]]);
    crash(&mut one, 1_000, "e-2", &[&[HARMLESS]]);
    tell(("one", &one), &mut two, 1_100);
    assert!(matches!(verdict(&mut one, 1_200, &[HARMLESS]), Verdict::Held(_)));
    assert_eq!(verdict(&mut one, 1_900, &[HARMLESS]), Verdict::Trial);
    one.begin_trial(at(1_900), &[HARMLESS]);
    tell(("one", &one), &mut two, 2_000);
    assert!(matches!(verdict(&mut two, 2_000, &[HARMLESS]), Verdict::Held(_)));
    assert!(matches!(verdict(&mut two, 2_700, &[HARMLESS]), Verdict::Held(_)), "one trial at a time");
    complete(&mut one, 2_800, &[HARMLESS]);
    one.end_trial(at(2_800), &[HARMLESS]);
    assert_eq!(verdict(&mut one, 2_810, &[HARMLESS]), Verdict::Free);
    tell(("one", &one), &mut two, 2_900);
    assert_eq!(verdict(&mut two, 2_910, &[HARMLESS]), Verdict::Free);
}

/// Guards against replicas that each come first for one suspect of a request, and wait for each other.
#[test]
fn a_request_with_several_suspects_is_tried_by_one_of_the_replicas() {
    let request: Vec<Suspect> = (1..6).map(Suspect).collect();
    let (mut one, mut two) = (suspects("one"), suspects("two"));
    for number in 0..2 {
        crash(&mut one, number * 1_000, &format!("e-{number}"), &[&request]);
    }
    let mut trials = 0;
    for now in (2_000..9_000).step_by(100) {
        tell(("one", &one), &mut two, now);
        tell(("two", &two), &mut one, now);
        for replica in [&mut one, &mut two] {
            if verdict(replica, now, &request) == Verdict::Trial {
                replica.begin_trial(at(now), &request);
                trials += 1;
            }
        }
    }
    assert_eq!(trials, 1);
}

/// Guards against innocent parts of the same prompts, and against neighbours that ran beside them.
#[test]
fn only_the_part_that_is_in_all_crashes_is_held_off() {
    let mut suspects = suspects("one");
    let document = |number| Suspect(100 + number % 3);
    for number in 0..6 {
        let id = format!("e-{number}");
        let guilty = [POPULAR, document(number), CRASHING];
        let neighbour = [POPULAR, document(number + 1)];
        crash(&mut suspects, number * 700, &id, &[&guilty, &neighbour]);
        complete(&mut suspects, number * 700 + 300, &[POPULAR]);
    }
    assert_eq!(suspects.held().iter().copied().collect::<Vec<_>>(), [CRASHING]);
}

/// Guards against the second of two crashing parts, whose crashes the first one does not explain.
#[test]
fn two_parts_that_crash_endpoints_are_both_held_off() {
    let mut suspects = suspects("one");
    let parts = [CRASHING, Suspect(9)];
    for number in 0..6 {
        crash(&mut suspects, number * 700, &format!("e-{number}"), &[&[POPULAR, parts[number as usize % 2]]]);
        complete(&mut suspects, number * 700 + 300, &[POPULAR]);
    }
    assert_eq!(suspects.held().iter().copied().collect::<Vec<_>>(), parts);
}

/// Guards against a popular part that is held off because it waits at all endpoints when some of them crash at once.
#[test]
fn a_part_of_completed_requests_is_not_held_off_after_a_wave_of_crashes() {
    let (mut one, mut two) = (suspects("one"), suspects("two"));
    complete(&mut two, 0, &[POPULAR]);
    for number in 0..6 {
        crash(&mut one, 1_000 + number, &format!("e-{number}"), &[&[POPULAR]]);
    }
    // It was completed at another replica only, which says so.
    tell(("one", &one), &mut two, 1_100);
    tell(("two", &two), &mut one, 1_200);
    assert!(!one.holds(&[POPULAR]) && !two.holds(&[POPULAR]));
}

/// Guards against a list that is full of neighbours when the guilty part comes.
#[test]
fn a_crashing_part_is_found_among_thousands_of_neighbours() {
    let mut suspects = suspects("one");
    for round in 0..4_u64 {
        let neighbours: Vec<Suspect> =
            (0..900).map(|number| Suspect(10_000 * (round + 1) + number)).collect();
        let requests: Vec<&[Suspect]> = neighbours.chunks(3).collect();
        crash(&mut suspects, round * 1_000, &format!("unrelated-{round}"), &requests);
        crash(&mut suspects, round * 1_000 + 500, &format!("e-{round}"), &[&[CRASHING]]);
    }
    assert_eq!(suspects.held().iter().copied().collect::<Vec<_>>(), [CRASHING]);
    assert!(suspects.report(at(4_000), true).iter().any(|report| report.suspect == CRASHING));
}

/// Guards against processes that forget what the fleet knew when all of them end at once.
#[test]
fn a_new_process_holds_off_what_an_earlier_one_wrote_to_the_store() {
    let mut before = suspects("one");
    for number in 0..5 {
        crash(&mut before, number * 100, &format!("e-{number}"), &[&[CRASHING]]);
    }
    let stored = before.take_unsaved(at(500)).expect("new evidence");
    assert!(before.take_unsaved(at(600)).is_none());
    let mut after = suspects("one");
    // Its clock has started anew, so that the crashes are older than the process.
    after.apply_stored(at(1), &stored);
    assert!(after.holds(&[CRASHING]));
    // What it writes next replaces the row.
    crash(&mut after, 10, "e-9", &[&[HARMLESS]]);
    let stored = after.take_unsaved(at(50)).expect("new evidence");
    assert!(stored.iter().any(|report| report.suspect == CRASHING));
}

/// Runs a fleet that is asked for the crashing part all the time, and returns when requests with it ran.
fn ask_fleet(replicas: usize, span_ms: u64, is_connected: impl Fn(usize, usize, u64) -> bool) -> Vec<u64> {
    const STEP_MS: u64 = 100;
    let names: Vec<String> = (0..replicas).map(|number| format!("r-{number}")).collect();
    let mut fleet: Vec<Suspects> = names.iter().map(|name| suspects(name)).collect();
    let mut runs = Vec::new();
    // The rows of the store, which replicas read when they have found something.
    let mut store = vec![Vec::new(); replicas];
    for now in (0..span_ms).step_by(STEP_MS as usize) {
        for from in 0..replicas {
            let (name, reports) = (Arc::from(names[from].as_str()), fleet[from].report(at(now), true));
            for to in (0..replicas).filter(|to| *to != from && is_connected(from, *to, now)) {
                fleet[to].apply_peer(at(now), &name, &reports);
            }
        }
        for number in 0..replicas {
            fleet[number].expire(at(now));
            let verdict = verdict(&mut fleet[number], now, &[CRASHING]);
            if matches!(verdict, Verdict::Held(_)) {
                continue;
            }
            let is_trial = verdict == Verdict::Trial;
            if is_trial {
                fleet[number].begin_trial(at(now), &[CRASHING]);
            }
            runs.push(now);
            let id = format!("e-{number}-{now}");
            fleet[number].record_interrupted(
                at(now),
                &endpoint(&id, Stage::Decode),
                &[CRASHING].into(),
                Run::Starting,
                is_trial,
            );
            fleet[number].end_trial(at(now), &[CRASHING]);
            fleet[number].record_crash(at(now + 30), &id);
            for row in &store {
                fleet[number].apply_stored(at(now + 40), row);
            }
            if let Some(row) = fleet[number].take_unsaved(at(now + 50)) {
                store[number] = row;
            }
        }
    }
    runs
}

fn assert_few_after_the_fifth(runs: &[u64], case: &str) {
    let known = runs.get(4).map_or(u64::MAX, |fifth| fifth + CONTACT_MS);
    let late = runs.iter().filter(|at| **at > known).count();
    println!("{case}: {} requests ran, {late} of them late: {runs:?} ms", runs.len());
    assert!(late <= MOST_AFTER, "{case}: {late} of {} requests ran late: {runs:?}", runs.len());
}

/// Guards against a request that is never held off because a part of its response gets out before each crash.
#[test]
fn a_request_that_crashes_endpoints_in_the_middle_of_its_response_is_held_off() {
    for runs in [[Run::Generating; 3], [Run::Starting, Run::Generating, Run::Generating]] {
        let mut suspects = suspects("one");
        for (number, run) in (0..).zip(runs) {
            assert!(!suspects.holds(&[CRASHING]), "{number} crashes");
            crash_under(&mut suspects, number * 2_000, &format!("e-{number}"), &[&[CRASHING]], run);
        }
        assert!(suspects.holds(&[CRASHING]), "{runs:?}");
    }
}

/// Guards against streams that are cut by two unrelated crashes and then refused.
#[test]
fn a_request_in_the_middle_of_its_response_at_two_crashes_is_not_held_off() {
    let mut suspects = suspects("one");
    for number in 0..2 {
        crash_under(&mut suspects, number * 2_000, &format!("e-{number}"), &[&[HARMLESS]], Run::Generating);
    }
    assert_eq!(verdict(&mut suspects, 4_000, &[HARMLESS]), Verdict::Free);
}

/// Guards against a popular part that is in the middle of responses at each of many unrelated crashes.
#[test]
fn a_part_that_is_completed_between_crashes_is_not_held_off() {
    let mut suspects = suspects("one");
    for number in 0..20 {
        let (now, id) = (number * 700, format!("e-{number}"));
        crash_under(&mut suspects, now, &id, &[&[POPULAR, Suspect(100 + number)]], Run::Generating);
        complete(&mut suspects, now + 300, &[POPULAR]);
    }
    assert!(suspects.held().is_empty());
}

/// Guards against a response that ended with its connection, or just before the crash, and clears the request that caused it.
#[test]
fn a_response_that_its_endpoint_does_not_outlive_clears_nothing() {
    let mut suspects = suspects("one");
    for number in 0..3 {
        let (now, id) = (number * 2_000, format!("e-{number}"));
        let endpoint = endpoint(&id, Stage::Decode);
        suspects.record_completed(at(now), &endpoint, &[CRASHING].into(), at(now - number), false);
        suspects.record_crash(at(now + 30), &id);
    }
    assert!(suspects.holds(&[CRASHING]));
}

/// Guards against requests that count as the cause of a crash because their endpoints left soon after they were completed.
#[test]
fn a_response_of_an_endpoint_that_leaves_clears_its_request() {
    let mut suspects = suspects("one");
    for number in 0..6 {
        let (now, id) = (number * 1_000, format!("e-{number}"));
        let endpoint = endpoint(&id, Stage::Decode);
        suspects.record_completed(at(now + 10), &endpoint, &[HARMLESS].into(), at(now), false);
        let interrupted = [Suspect(100 + number)].into();
        suspects.record_interrupted(at(now + 10), &endpoint, &interrupted, Run::Starting, false);
        suspects.record_left(at(now + 500), &id);
    }
    assert!(suspects.held().is_empty());
    let reports = suspects.report(at(6_000), true);
    assert!(reports.iter().all(|report| report.suspect != HARMLESS), "{reports:?}");
    assert_eq!(reports.len(), 6);
}

/// Guards against completions that are forgotten because no later request shows that the endpoint lives.
#[test]
fn a_completion_without_a_crash_in_time_clears_a_suspect() {
    let mut suspects = suspects("one");
    for number in 0..2 {
        crash(&mut suspects, number * 1_000, &format!("e-{number}"), &[&[HARMLESS]]);
    }
    let sound = endpoint("sound", Stage::Decode);
    suspects.record_completed(at(3_000), &sound, &[HARMLESS].into(), at(2_000), true);
    assert!(suspects.holds(&[HARMLESS]));
    suspects.expire(at(9_000));
    assert!(!suspects.holds(&[HARMLESS]));
    // The completion of a later request shows it too.
    for number in 10..12 {
        crash(&mut suspects, number * 1_000, &format!("e-{number}"), &[&[CRASHING]]);
    }
    suspects.record_completed(at(12_500), &sound, &[CRASHING].into(), at(12_400), true);
    suspects.record_completed(at(12_800), &sound, &[POPULAR].into(), at(12_600), false);
    assert!(!suspects.holds(&[CRASHING]));
}

/// Guards against replicas that all try a suspect again at the same time.
#[test]
fn a_fleet_tries_a_crashing_part_few_times_in_ten_minutes() {
    for (replicas, span_ms) in [(1, 600_000), (4, 600_000), (24, 60_000)] {
        let runs = ask_fleet(replicas, span_ms, |_, _, _| true);
        assert_few_after_the_fifth(&runs, &format!("{replicas} replicas"));
    }
}

/// Guards against replicas that lose each other for some time and then try the suspect on their own.
#[test]
fn replicas_that_are_cut_off_from_each_other_try_a_crashing_part_few_times() {
    for (from_ms, to_ms) in [(0, 20_000), (2_000, 30_000), (10_000, 100_000)] {
        let is_cut = |now| (from_ms..to_ms).contains(&now);
        let runs = ask_fleet(4, 110_000, |one, other, now| !is_cut(now) || (one < 3 && other < 3));
        assert_few_after_the_fifth(&runs, &format!("one cut off from {from_ms} to {to_ms} ms"));
    }
}
