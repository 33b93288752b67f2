//! Tests of the retry budget.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use quickcheck::{Arbitrary, Gen, QuickCheck};
use tarragonhill_core::gateway::{
    budget::{Budget, Rule},
    ledger::{Ledger, Message, Plan, Remainder},
};

use crate::at;

const RULE: Rule = Rule { ratio: 0.2, slack: 40.0, window: Duration::from_secs(10) };

/// Returns the budget of a replica that has known the others for `known_for_ms` at the time `now_ms`.
fn settled(now_ms: u64, known_for_ms: u64) -> Budget {
    let mut budget = Budget::new(RULE);
    budget.record_settled(at(now_ms - known_for_ms));
    budget
}

/// Charges as many retries as the budget allows, which are read at once, and returns their number.
fn use_up(budget: &mut Budget, now_ms: u64, service: &Arc<str>, replicas: u32) -> usize {
    let charges = (0..100).take_while(|_| budget.try_charge(at(now_ms), service, 1, replicas).is_granted);
    let charges = charges.count();
    budget.conclude(at(now_ms), service, charges as u32);
    charges
}

/// When all requests to a service fail, retries must not double its load.
#[test]
fn retries_of_all_replicas_stay_within_ratio_and_slack() {
    let service: Arc<str> = "filing".into();
    let mut replica = settled(0, 0);
    replica.record_registered(None);
    let mut replicas = vec![replica; 4];
    let (mut requests, mut retries) = (0.0, 0.0);
    for now in (10_000..19_000).step_by(50) {
        for replica in &mut replicas {
            replica.record_request(at(now), &service);
            requests += 1.0;
            if replica.try_charge(at(now), &service, 1, 4).is_granted {
                replica.conclude(at(now), &service, 1);
                retries += 1.0;
            }
        }
    }
    assert!(retries <= RULE.ratio * requests + RULE.slack, "{retries} of {requests}");
    assert!(retries > 0.5 * (RULE.ratio * requests + RULE.slack), "{retries} of {requests}: hardly used");
}

#[test]
fn retries_are_allowed_again_after_the_window() {
    let service: Arc<str> = "filing".into();
    let mut budget = settled(30_000, 30_000);
    let used = use_up(&mut budget, 30_000, &service, 1);
    assert!(used > 0 && used < 40, "{used}");
    let mut saturated = budget.clone();
    let later: usize = (30_000..40_000).step_by(50).map(|now| use_up(&mut saturated, now, &service, 1)).sum();
    assert!((used + later) as f64 <= RULE.slack, "{used} and {later} within a window");
    assert!(use_up(&mut budget, 40_600, &service, 1) > 0);
}

/// Guards against processes that use the slack again that those before them have used in the same window.
#[test]
fn replicas_that_have_just_started_share_the_slack() {
    let service: Arc<str> = "filing".into();
    let mut retries = 0;
    for _ in 0..4 {
        retries += use_up(&mut settled(30_000, 30_000), 30_000, &service, 4);
        let mut new = Budget::new(RULE);
        retries += use_up(&mut new, 31_000, &service, 1);
        new.record_registered(Some(RULE.window));
        new.record_settled(at(31_000));
        retries += use_up(&mut new, 31_000, &service, 4);
        retries += use_up(&mut new, 39_900, &service, 4);
    }
    assert!(retries as f64 <= RULE.slack, "{retries}");
}

/// Guards against a message that an endpoint reads long after it was sent, when its charge has left the window.
#[test]
fn a_charge_counts_until_a_window_after_its_message_was_read() {
    let service: Arc<str> = "filing".into();
    let mut budget = settled(30_000, 30_000);
    let mut granted: u32 = 0;
    while budget.try_charge(at(30_000), &service, 1, 1).is_granted {
        granted += 1;
    }
    assert_eq!(use_up(&mut budget, 50_000, &service, 1), 0, "messages in progress");
    let remainder = Remainder { charges: granted, pending: vec!["paused".into(); granted as usize] };
    budget.record_end(at(50_000), &service, remainder);
    assert_eq!(use_up(&mut budget, 65_000, &service, 1), 0, "messages that may still be read");
    assert_eq!(budget.awaited().len(), 1);
    budget.record_read(at(66_000), "paused", at(49_000));
    assert_eq!(use_up(&mut budget, 71_000, &service, 1), 0, "the endpoint has only read an earlier message");
    budget.record_read(at(72_000), "paused", at(71_500));
    assert_eq!(use_up(&mut budget, 81_900, &service, 1), 0, "messages read within the window");
    assert!(use_up(&mut budget, 83_000, &service, 1) > 0);
}

/// Guards against requests that earn retries after a pause of the process, in another window than that of their sending.
#[test]
fn requests_read_just_after_a_pause_earn_no_retries() {
    let service: Arc<str> = "filing".into();
    let mut budget = Budget::new(Rule { slack: 0.0, ..RULE });
    let requests = |budget: &mut Budget, now_ms: u64| {
        (0..100).for_each(|_| budget.record_request(at(now_ms), &service));
    };
    requests(&mut budget, 30_000);
    budget.record_pause(at(31_000));
    requests(&mut budget, 31_100);
    assert_eq!(use_up(&mut budget, 31_200, &service, 1), 0);
    requests(&mut budget, 33_000);
    assert!(use_up(&mut budget, 33_000, &service, 1) > 0);
}

/// Guards against endpoints to which no connection can be opened and that keep the budget from being used.
#[test]
fn a_message_that_was_cancelled_before_it_was_written_is_not_pending() {
    let mut ledger = Ledger::default();
    ledger.record_sent(Message::Run, &"dark".into());
    ledger.record_charged(ledger.due(Plan::Run));
    let hedge = ledger.record_sent(Message::Run, &"other".into());
    ledger.record_concluded(&hedge);
    assert_eq!(ledger.remainder(), Remainder { charges: 1, pending: Vec::new() });
}

/// Guards against endpoints that are gone for good and keep the budget from being used.
#[test]
fn messages_to_an_endpoint_that_never_responds_are_given_up() {
    let service: Arc<str> = "filing".into();
    let mut budget = settled(30_000, 30_000);
    while budget.try_charge(at(30_000), &service, 1, 1).is_granted {}
    let remainder = Remainder { charges: 20, pending: vec!["gone".into(); 20] };
    budget.record_end(at(31_000), &service, remainder);
    assert_eq!(use_up(&mut budget, 60_000, &service, 1), 0);
    budget.expire(at(62_000));
    assert!(use_up(&mut budget, 73_000, &service, 1) > 0);
}

/// What becomes of a message that the gateway is about to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Unsent,
    Rejected,
    /// There is no response; it may arrive at any time.
    Lost,
    Accepted,
}

/// An attempt to serve a request: its plan and the fates of its messages.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    plan: Plan,
    prefill: Fate,
    run: Fate,
}

impl Arbitrary for Attempt {
    fn arbitrary(random: &mut Gen) -> Self {
        let mut fate =
            || *random.choose(&[Fate::Unsent, Fate::Rejected, Fate::Lost, Fate::Accepted]).expect("a choice");
        let (prefill, run) = (fate(), fate());
        let plan = *random.choose(&[Plan::Run, Plan::PrefillAndRun]).expect("a choice");
        Self { plan, prefill, run }
    }
}

/// Returns the messages that endpoints count as retries, by the fates of those that arrived.
fn counted(prefills: &[Fate], runs: usize) -> usize {
    let free = usize::from(prefills.contains(&Fate::Accepted));
    (prefills.len() - free + runs).saturating_sub(1)
}

/// Sends a message and returns whether it arrived, if the budget allows it.
fn send(ledger: &mut Ledger, message: Message, plan: Plan, fate: Fate) -> bool {
    let due = ledger.due(plan);
    ledger.record_charged(due);
    let sending = ledger.record_sent(message, &"endpoint".into());
    sending.is_written.store(fate != Fate::Unsent, Ordering::Relaxed);
    match fate {
        Fate::Unsent => ledger.record_unsent(&sending),
        Fate::Accepted if message == Message::Prefill => drop(ledger.record_prefilled(&sending)),
        Fate::Accepted | Fate::Rejected => drop(ledger.record_concluded(&sending)),
        Fate::Lost => {}
    }
    fate != Fate::Unsent
}

/// Guards against messages that endpoints count and the budget does not, and against those that may be read after the end of
/// their request.
#[test]
fn each_message_that_counts_as_a_retry_is_charged() {
    fn is_charged(attempts: Vec<Attempt>) -> bool {
        let mut ledger = Ledger::default();
        let (mut prefills, mut runs, mut lost) = (Vec::new(), 0, 0);
        let is_charged = attempts.into_iter().all(|Attempt { plan, prefill, run }| {
            ledger.record_charged(ledger.due(plan));
            if plan == Plan::PrefillAndRun && send(&mut ledger, Message::Prefill, plan, prefill) {
                prefills.push(prefill);
                lost += usize::from(prefill == Fate::Lost);
            }
            // Without the prefill's result, the request is not sent.
            let is_ready = plan == Plan::Run || prefill == Fate::Accepted;
            if is_ready && send(&mut ledger, Message::Run, Plan::Run, run) {
                runs += 1;
                lost += usize::from(run == Fate::Lost);
            }
            ledger.charged() as usize >= counted(&prefills, runs)
        });
        let remainder = ledger.remainder();
        let concluded = ledger.charged() as usize - remainder.charges as usize;
        let still_counted = concluded + remainder.pending.len();
        is_charged && remainder.pending.len() <= lost && still_counted >= counted(&prefills, runs)
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
    ledger.record_sent(Message::Run, &"first".into());
    assert_eq!(ledger.due(Plan::Run), 1);
    ledger.record_charged(1);
    assert!(send(&mut ledger, Message::Run, Plan::Run, Fate::Lost));
    assert_eq!(ledger.due(Plan::Run), 1);
    ledger.record_charged(1);
    assert!(!send(&mut ledger, Message::Run, Plan::Run, Fate::Unsent));
    assert_eq!(ledger.due(Plan::Run), 0);
}

/// Guards against a hedged request whose first message waits at a paused endpoint while the second is answered.
#[test]
fn a_message_that_was_overtaken_by_a_retry_remains_pending() {
    let mut ledger = Ledger::default();
    let first = ledger.record_sent(Message::Run, &"paused".into());
    first.is_written.store(true, Ordering::Relaxed);
    assert_eq!(ledger.remainder(), Remainder::default(), "a single message is no retry");
    ledger.record_charged(ledger.due(Plan::Run));
    let hedge = ledger.record_sent(Message::Run, &"other".into());
    assert_eq!(ledger.record_concluded(&hedge), 0, "the message that was read first is no retry");
    assert_eq!(ledger.remainder(), Remainder { charges: 1, pending: vec!["paused".into()] });
}
