//! Tests of the retry budget.

use std::{sync::Arc, time::Duration};

use quickcheck::{Arbitrary, Gen, QuickCheck};
use tarragonhill_core::gateway::{
    budget::{Budget, Rule},
    ledger::{Ledger, Message, Plan},
};

use crate::at;

const RULE: Rule = Rule { ratio: 0.2, slack: 40.0, window: Duration::from_secs(10) };

/// When all requests to a service fail, retries must not double its load.
#[test]
fn retries_of_all_replicas_stay_within_ratio_and_slack() {
    let service: Arc<str> = "filing".into();
    let mut replicas = vec![Budget::new(RULE, at(0)); 4];
    let (mut requests, mut retries) = (0.0, 0.0);
    for now in (10_000..19_000).step_by(50) {
        for replica in &mut replicas {
            replica.record_request(at(now), &service);
            requests += 1.0;
            retries += if replica.try_spend(at(now), &service, 1, 4).is_granted { 1.0 } else { 0.0 };
        }
    }
    assert!(retries <= RULE.ratio * requests + RULE.slack, "{retries} of {requests}");
    assert!(retries > 0.5 * (RULE.ratio * requests + RULE.slack), "{retries} of {requests}: hardly used");
}

#[test]
fn retries_are_allowed_again_after_the_window() {
    let service: Arc<str> = "filing".into();
    let mut budget = Budget::new(RULE, at(0));
    let used = (0..100).filter(|_| budget.try_spend(at(20_000), &service, 1, 1).is_granted).count();
    assert!(used > 0 && used < 40, "{used}");
    let mut saturated = budget.clone();
    let later =
        (20_000..30_000).step_by(50).filter(|now| saturated.try_spend(at(*now), &service, 1, 1).is_granted);
    let used = used + later.count();
    assert!(used as f64 <= RULE.slack, "{used} within a window");
    assert!(budget.try_spend(at(30_100), &service, 1, 1).is_granted);
}

/// Replicas that restart together don't know each other yet, and their previous processes may have
/// used up the slack.
#[test]
fn replicas_that_have_just_started_share_the_slack() {
    let service: Arc<str> = "filing".into();
    let mut retries = 0;
    for _ in 0..4 {
        let mut old = Budget::new(RULE, at(0));
        retries += (0..50).filter(|_| old.try_spend(at(20_000), &service, 1, 4).is_granted).count();
        let mut new = Budget::new(RULE, at(21_000));
        retries += (0..50).filter(|_| new.try_spend(at(21_000), &service, 1, 1).is_granted).count();
    }
    assert!(retries as f64 <= RULE.slack, "{retries}");
}

/// What becomes of a message that the gateway is about to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Unsent,
    Rejected,
    /// It arrives, and its response is lost.
    Lost,
    Accepted,
}

/// An attempt to serve a request: its plan, the fates of its messages, and how long it waits between charge and
/// message.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    plan: Plan,
    prefill: Fate,
    run: Fate,
    wait_ms: u64,
}

impl Arbitrary for Attempt {
    fn arbitrary(random: &mut Gen) -> Self {
        let mut fate =
            || *random.choose(&[Fate::Unsent, Fate::Rejected, Fate::Lost, Fate::Accepted]).expect("a choice");
        let (prefill, run) = (fate(), fate());
        let plan = *random.choose(&[Plan::Run, Plan::PrefillAndRun]).expect("a choice");
        Self { plan, prefill, run, wait_ms: u64::arbitrary(random) % 4_000 }
    }
}

/// Returns the messages that endpoints count as retries, by the fates of those that arrived.
fn counted(prefills: &[Fate], runs: usize) -> usize {
    let free = usize::from(prefills.contains(&Fate::Accepted));
    (prefills.len() - free + runs).saturating_sub(1)
}

/// Sends a message and returns whether it arrived, if the budget allows it.
fn send(ledger: &mut Ledger, now: u64, message: Message, plan: Plan, fate: Fate) -> bool {
    let due = ledger.due(at(now), plan);
    ledger.record_charged(at(now), due);
    ledger.record_sent(message);
    match fate {
        Fate::Unsent => ledger.record_unsent(message),
        Fate::Accepted if message == Message::Prefill => ledger.record_prefilled(),
        Fate::Accepted | Fate::Rejected | Fate::Lost => {}
    }
    fate != Fate::Unsent
}

/// Guards against messages that endpoints count and the budget does not.
#[test]
fn each_message_that_counts_as_a_retry_is_charged() {
    fn is_charged(attempts: Vec<Attempt>) -> bool {
        let (mut ledger, mut now) = (Ledger::default(), 0);
        let (mut prefills, mut runs) = (Vec::new(), 0);
        attempts.into_iter().all(|Attempt { plan, prefill, run, wait_ms }| {
            let due = ledger.due(at(now), plan);
            ledger.record_charged(at(now), due);
            now += wait_ms;
            if plan == Plan::PrefillAndRun
                && send(&mut ledger, now, Message::Prefill, Plan::PrefillAndRun, prefill)
            {
                prefills.push(prefill);
            }
            // Without the prefill's result, the request is not sent.
            let is_ready = plan == Plan::Run || prefill == Fate::Accepted;
            if is_ready && send(&mut ledger, now, Message::Run, Plan::Run, run) {
                runs += 1;
            }
            ledger.charged() as usize >= counted(&prefills, runs)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, 7))
        .tests(2_000)
        .quickcheck(is_charged as fn(Vec<Attempt>) -> bool);
}

/// Guards against charges for messages that were never sent: fewer requests could be retried.
#[test]
fn a_charge_pays_for_a_later_message_if_its_own_was_not_sent() {
    let mut ledger = Ledger::default();
    ledger.record_sent(Message::Run);
    assert_eq!(ledger.due(at(0), Plan::Run), 1);
    ledger.record_charged(at(0), 1);
    assert!(send(&mut ledger, 100, Message::Run, Plan::Run, Fate::Lost));
    assert_eq!(ledger.due(at(200), Plan::Run), 1);
    ledger.record_charged(at(200), 1);
    assert!(!send(&mut ledger, 300, Message::Run, Plan::Run, Fate::Unsent));
    assert_eq!(ledger.due(at(400), Plan::Run), 0);
}

/// Guards against a charge that has left the window of its message.
#[test]
fn a_charge_lapses_if_its_message_is_not_sent_for_long() {
    let mut ledger = Ledger::default();
    ledger.record_sent(Message::Run);
    ledger.record_charged(at(0), 1);
    assert_eq!(ledger.due(at(1_900), Plan::Run), 0);
    assert_eq!(ledger.due(at(2_100), Plan::Run), 1);
}
