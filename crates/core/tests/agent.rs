//! Tests of agent scheduling, mostly under failures.

use std::{sync::Arc, time::Duration};

use tarragonhill_core::{
    Attempt, Code, Request, Time,
    agent::{Action, Input, Link, Outcome, State},
    message::{Event, FailureCause, Order, Work},
    settings::{Customer, Endpoint, Key, Role, Row, Snapshot, WithdrawalPolicy},
};

const LINK: Link = 1;

fn attempt(number: u32) -> Attempt {
    Attempt { request: Request(number.into()), number: 1 }
}

fn at(millis: u64) -> Time {
    Time::ZERO.plus(Duration::from_millis(millis))
}

fn endpoint(role: Role) -> Endpoint {
    Endpoint {
        role,
        serves: "drafting".into(),
        host: "host".into(),
        zone: "zone".into(),
        address: "127.0.0.1:1".into(),
        agent: "127.0.0.1:2".into(),
        pieces: 4,
        context: 100_000,
        checks_fencing: false,
        leaving: false,
        generation: 1,
    }
}

fn key(withdrawn: bool, running: WithdrawalPolicy) -> Row {
    Row::Key("digest".into(), Some(Key { id: "key".into(), customer: "faculty".into(), withdrawn, running }))
}

fn settings() -> Snapshot {
    let rows = [
        Row::Customer("faculty".into(), Some(Customer { rate: 1, burst: 1, weight: 1 })),
        key(false, WithdrawalPolicy::Cut),
        Row::Endpoint("decode".into(), Some(endpoint(Role::Decode))),
        Row::Endpoint("prefill".into(), Some(endpoint(Role::Prefill))),
    ];
    Snapshot::default().apply(1, &rows).expect("version 1 follows version 0")
}

fn agent() -> State {
    let mut state = State::new(["decode".into(), "prefill".into()].into());
    state.step(at(0), Input::Settings(Arc::new(settings())));
    state
}

fn work(number: u32, endpoint: &str, customer: &str) -> Work {
    Work {
        attempt: attempt(number),
        endpoint: endpoint.into(),
        customer: customer.into(),
        key: "key".into(),
        prompt_tokens: 4_000,
        max_tokens: 100,
        slack: Duration::from_millis(900),
        timeout: Duration::from_secs(4),
        suspect: false,
    }
}

fn hold(number: u32) -> Input {
    Input::Order(LINK, Order::Hold { work: work(number, "decode", "faculty"), ahead: false })
}

fn prefill(number: u32, customer: &str) -> Input {
    let work = work(number, "prefill", customer);
    Input::Order(LINK, Order::Prefill { work, prompt: "p".into(), delay: Duration::ZERO })
}

fn decode(number: u32) -> Input {
    let work = work(number, "decode", "faculty");
    let (source, kv) = ("127.0.0.1:1".into(), "kv".into());
    Input::Order(LINK, Order::Decode { work, source, kv, from_index: 0, held: true })
}

fn finished(number: u32, endpoint: &str, outcome: Outcome) -> Input {
    Input::Finished { attempt: attempt(number), endpoint: endpoint.into(), outcome }
}

fn prefilled() -> Outcome {
    Outcome::Prefilled { source: "127.0.0.1:1".into(), kv: "kv".into(), ttl: Duration::from_millis(800) }
}

fn free(state: &State) -> u32 {
    let loads = state.loads();
    loads.iter().find(|load| &*load.endpoint == "decode").map_or(0, |load| load.free_pieces)
}

fn refusals(actions: &[Action]) -> Vec<(Code, bool)> {
    let refused = actions.iter().filter_map(|action| match action {
        Action::Send(_, Event::Refused { code, not_run, .. }) => Some((*code, *not_run)),
        _ => None,
    });
    refused.collect()
}

fn prefills(actions: &[Action]) -> Vec<Attempt> {
    let started = actions.iter().filter_map(|action| match action {
        Action::Prefill(work, _) => Some(work.attempt),
        _ => None,
    });
    started.collect()
}

/// Memory of a cancelled decode must not count as free before the engine releases it, or the next
/// import would overfill the engine.
#[test]
fn cancelled_decode_frees_its_memory_after_the_engine_releases_it() {
    let mut state = agent();
    state.step(at(0), hold(1));
    state.step(at(10), decode(1));
    let before = free(&state);
    let actions = state.step(at(20), Input::Order(LINK, Order::Cancel(attempt(1))));
    assert!(actions.contains(&Action::Abort(attempt(1), "decode".into())));
    assert_eq!(refusals(&actions), [(Code::Cancelled, false)]);
    assert_eq!(free(&state), before);
    state.step(at(30), finished(1, "decode", Outcome::Aborted));
    assert_eq!(free(&state), 4);
    assert!(state.is_idle());
}

/// An entry that dies cannot cancel its work, so the loss of its link must free everything.
#[test]
fn lost_link_frees_holds_queued_and_running_work() {
    let mut state = agent();
    state.step(at(0), hold(1));
    state.step(at(0), hold(2));
    state.step(at(5), decode(2));
    state.step(at(5), prefill(3, "faculty"));
    state.step(at(5), prefill(4, "faculty"));
    let actions = state.step(at(10), Input::LinkLost(LINK));
    assert!(actions.contains(&Action::Abort(attempt(2), "decode".into())));
    assert!(actions.contains(&Action::Abort(attempt(3), "prefill".into())));
    state.step(at(20), finished(2, "decode", Outcome::Aborted));
    state.step(at(20), finished(3, "prefill", Outcome::Aborted));
    assert!(state.is_idle(), "something is still held: {:?}", state.loads());
}

/// An order that was delayed on another connection must not start after its attempt was cancelled.
#[test]
fn late_order_of_a_cancelled_attempt_never_starts() {
    let mut state = agent();
    let cancelled = state.step(at(0), Input::Order(LINK, Order::Cancel(attempt(1))));
    assert_eq!(refusals(&cancelled), [(Code::Cancelled, true)]);
    let late = state.step(at(5_000), prefill(1, "faculty"));
    assert_eq!((prefills(&late), refusals(&late)), (vec![], vec![(Code::Cancelled, true)]));
}

/// The agent must enforce key withdrawal itself, since the entry may be paused.
#[test]
fn withdrawn_key_aborts_running_work_and_refuses_new_work() {
    let mut state = agent();
    state.step(at(0), hold(1));
    state.step(at(0), decode(1));
    let next = settings().apply(2, &[key(true, WithdrawalPolicy::Cut)]).expect("newer");
    let actions = state.step(at(10), Input::Settings(Arc::new(next)));
    assert!(actions.contains(&Action::Abort(attempt(1), "decode".into())));
    assert_eq!(refusals(&actions), [(Code::BadKey, false)]);
    assert_eq!(refusals(&state.step(at(20), prefill(2, "faculty"))), [(Code::BadKey, true)]);
}

#[test]
fn running_work_of_a_withdrawn_key_may_finish_if_configured() {
    let mut state = agent();
    state.step(at(0), hold(1));
    state.step(at(0), decode(1));
    let next = settings().apply(2, &[key(true, WithdrawalPolicy::Finish)]).expect("newer");
    let actions = state.step(at(10), Input::Settings(Arc::new(next)));
    assert_eq!(actions, []);
}

/// A leaving endpoint must still serve requests whose prefill is already done.
#[test]
fn leaving_endpoint_refuses_new_work_but_honors_granted_holds() {
    let mut state = agent();
    state.step(at(0), hold(1));
    let leaving = Endpoint { leaving: true, ..endpoint(Role::Decode) };
    let next = settings().apply(2, &[Row::Endpoint("decode".into(), Some(leaving))]).expect("newer");
    state.step(at(10), Input::Settings(Arc::new(next)));
    assert_eq!(refusals(&state.step(at(20), hold(2))), [(Code::NoEndpoint, true)]);
    let actions = state.step(at(30), decode(1));
    assert!(matches!(actions.as_slice(), [Action::Decode { .. }]), "{actions:?}");
}

/// One customer's flood of requests must not starve another customer.
#[test]
fn flood_of_one_customer_delays_others_by_one_round() {
    let mut state = agent();
    for number in 0..50 {
        state.step(at(0), prefill(number, "flood"));
    }
    state.step(at(1), prefill(100, "quiet"));
    let mut order = Vec::new();
    for number in [0, 1, 2] {
        let running = order.last().copied().unwrap_or(attempt(number));
        let done = Input::Finished { attempt: running, endpoint: "prefill".into(), outcome: prefilled() };
        order.extend(prefills(&state.step(at(2), done)));
    }
    assert!(
        order.contains(&attempt(100)),
        "the request of the other customer is still queued after {order:?}"
    );
}

/// Late work stays queued; only work that would expire before it could run is refused, with a retry
/// delay.
#[test]
fn late_work_is_queued_and_work_that_would_expire_is_refused() {
    let mut state = agent();
    // The first prefill sets the estimated rate: 4,000 tokens in half a second.
    state.step(at(0), prefill(1, "faculty"));
    state.step(at(500), finished(1, "prefill", prefilled()));
    for number in 2..10 {
        let actions = state.step(at(500), prefill(number, "faculty"));
        assert_eq!(refusals(&actions), [], "request {number}");
    }
    let actions = state.step(at(500), prefill(10, "faculty"));
    assert!(
        matches!(actions.as_slice(),
        [Action::Send(_, Event::Refused { code: Code::Overloaded, not_run: true, retry_after, .. })]
            if !retry_after.is_zero()),
        "{actions:?}"
    );
}

/// If suspects ran together, a second crash would quarantine requests that did not cause it.
#[test]
fn crash_suspects_run_one_at_a_time() {
    let mut state = agent();
    let suspect = |number| {
        let work = Work { suspect: true, ..work(number, "decode", "faculty") };
        Input::Order(LINK, Order::Hold { work, ahead: false })
    };
    let held = |actions: &[Action]| {
        actions.iter().any(|action| matches!(action, Action::Send(_, Event::Held { .. })))
    };
    assert!(held(&state.step(at(0), suspect(1))));
    assert!(!held(&state.step(at(1), suspect(2))), "a second suspect must wait although memory is free");
    assert!(state.step(at(2), decode(1)).iter().any(|action| matches!(action, Action::Decode { .. })));
    assert!(!held(&state.step(at(3), Input::Tick)));
    assert!(held(&state.step(at(4), finished(1, "decode", Outcome::Decoded { total: 1 }))));
}

/// A crash frees the memory of the engine, so the ledger must be empty afterwards.
#[test]
fn crashed_engine_leaves_no_memory_claimed() {
    let mut state = agent();
    state.step(at(0), hold(1));
    state.step(at(0), decode(1));
    let actions = state.step(at(10), finished(1, "decode", Outcome::Failed(FailureCause::Crashed)));
    assert_eq!(
        actions,
        [Action::Send(LINK, Event::Failed { attempt: attempt(1), cause: FailureCause::Crashed })]
    );
    assert!(state.is_idle());
}

#[test]
fn model_change_is_ordered_with_a_new_fencing_number() {
    let mut state = agent();
    let other = Endpoint { serves: "other".into(), generation: 2, ..endpoint(Role::Prefill) };
    let next = settings().apply(2, &[Row::Endpoint("prefill".into(), Some(other.clone()))]).expect("newer");
    let actions = state.step(at(0), Input::Settings(Arc::new(next)));
    assert_eq!(actions, [Action::Serve("prefill".into(), Arc::new(other))]);
}
