//! Short runs of clients that do not behave, at all addresses of a gateway. `tarragonhill-bench abuse` plays longer ones.
//!
//! Needs the `tarragonhilld` binary, which `cargo test --workspace` builds.

use std::{
    collections::BTreeMap,
    path::Path,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use strum::IntoEnumIterator as _;
use tarragonhill_bench::{
    abuse::{
        Moment, Outcome, Plan,
        client::{Attack, Door, Kind},
        play_all,
    },
    soak::Programs,
};

const SEED: u64 = 68;
const DURATION: Duration = Duration::from_secs(2);
/// Long enough that a slow machine and a debug build fail no request that the gateway serves.
const PATIENCE: Duration = Duration::from_secs(30);
/// Runs that are played at once, by all tests together.
const AT_ONCE: usize = 3;

/// What ordinary callers get at each moment without the clients.
static CALM: Mutex<BTreeMap<Moment, f64>> = Mutex::new(BTreeMap::new());
/// Tests take turns: processes of several runs would compete for the processors.
static TURN: Mutex<()> = Mutex::new(());

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn play(plans: Vec<Plan>) -> Vec<Outcome> {
    let programs = Programs::beside(Path::new(env!("CARGO_BIN_EXE_tarragonhill-bench")));
    assert!(programs.daemon.exists(), "cargo build -p tarragonhill-daemon builds the daemon");
    let logs = Path::new(env!("CARGO_TARGET_TMPDIR")).join("abuse");
    play_all(&programs, plans, AT_ONCE, &logs).expect("the processes start")
}

fn attack(kind: Kind, door: Door) -> Attack {
    Attack { kind, door, connections: kind.connections(), seed: SEED }
}

/// Plays these groups of clients, each in a run of its own, and asserts that all callers were treated as they should.
fn assert_withstood(moment: Moment, groups: impl IntoIterator<Item = Vec<Attack>>) {
    let _turn = lock(&TURN);
    let plan = |attacks| Plan { moment, attacks, lasts: DURATION, patience: PATIENCE };
    let known = lock(&CALM).get(&moment).copied();
    let calm = known.unwrap_or_else(|| {
        let outcome = play(vec![plan(Vec::new())]).remove(0);
        assert!(outcome.faults.is_empty(), "{outcome}");
        let share = outcome.ordinary.share();
        assert!(share > 0.5, "{outcome}: {:?}", outcome.ordinary.failures);
        lock(&CALM).insert(moment, share);
        share
    });
    for outcome in play(groups.into_iter().map(plan).collect()) {
        let faults = outcome.untimed_faults(calm);
        assert!(faults.is_empty(), "{outcome}\n{faults:#?}");
    }
}

fn assert_withstood_everywhere(kind: Kind) {
    assert_withstood(Moment::Calm, Door::iter().map(|door| vec![attack(kind, door)]));
}

/// Guards against memory for bodies that are allowed one by one, and for the growth of their buffers.
#[test]
fn many_long_bodies_at_once_leave_memory_and_room_for_others() {
    assert_withstood_everywhere(Kind::WholeBody);
}

/// Guards against bodies that hold memory for as long as they take.
#[test]
fn many_long_bodies_in_pieces_leave_memory_and_room_for_others() {
    assert_withstood_everywhere(Kind::PiecedBody);
}

/// Guards against the cost of each chunk, and against bodies whose length is not known before their end.
#[test]
fn many_long_bodies_in_small_chunks_leave_memory_and_room_for_others() {
    assert_withstood_everywhere(Kind::ChunkedBody);
}

/// Guards against bodies that are read on although they are refused.
#[test]
fn bodies_far_over_the_limit_leave_memory_and_room_for_others() {
    assert_withstood_everywhere(Kind::OversizedBody);
}

/// Guards against memory and time for each field of a head, and each part of a field.
#[test]
fn heads_of_many_short_fields_leave_memory_and_room_for_others() {
    assert_withstood_everywhere(Kind::ManyFields);
}

/// Guards against queued log lines whose length callers choose, while standard output is not read.
#[test]
fn long_request_ids_leave_memory_and_room_for_others() {
    assert_withstood_everywhere(Kind::LongId);
}

/// Guards against requests that are kept, and against connections that keep a thread to themselves.
#[test]
fn requests_sent_ahead_leave_memory_and_room_for_others() {
    assert_withstood_everywhere(Kind::Ahead);
}

/// Guards against connections, and their buffers, that last as long as their callers like.
#[test]
fn crowds_that_send_slowly_leave_memory_and_places_for_others() {
    assert_withstood_everywhere(Kind::SlowSender);
}

/// Guards against responses that are kept, and against places that are taken by callers who do not read.
#[test]
fn crowds_that_read_slowly_leave_memory_and_places_for_others() {
    assert_withstood_everywhere(Kind::SlowReader);
}

/// Guards against places and memory that are taken by requests that never end.
#[test]
fn crowds_that_stop_half_way_leave_memory_and_places_for_others() {
    assert_withstood_everywhere(Kind::HalfRequest);
}

/// Guards against bounds that hold for each kind of client alone.
#[test]
fn two_kinds_of_clients_at_once_leave_memory_and_room_for_others() {
    let pairs = [
        (Kind::WholeBody, Door::Call, Kind::HalfRequest, Door::Call),
        (Kind::ChunkedBody, Door::Stream, Kind::ManyFields, Door::Call),
        (Kind::Ahead, Door::NoRoute, Kind::SlowSender, Door::Ready),
        (Kind::SlowReader, Door::Stream, Kind::PiecedBody, Door::Admin),
    ];
    let pairs = pairs.map(|(kind, door, other, its_door)| vec![attack(kind, door), attack(other, its_door)]);
    assert_withstood(Moment::Calm, pairs);
}

fn some_clients() -> [Vec<Attack>; 4] {
    let clients = [
        (Kind::WholeBody, Door::Call),
        (Kind::ManyFields, Door::Stream),
        (Kind::HalfRequest, Door::NoRoute),
        (Kind::SlowSender, Door::Ready),
    ];
    clients.map(|(kind, door)| vec![attack(kind, door)])
}

/// Guards against requests that are held until the configuration has been read.
#[test]
fn a_gateway_that_starts_among_such_clients_serves_others() {
    assert_withstood(Moment::Start, some_clients());
}

/// Guards against a shutdown that waits for such clients, and against callers that are cut by it.
#[test]
fn a_gateway_that_shuts_down_among_such_clients_ends_in_time_and_serves_others() {
    assert_withstood(Moment::Shutdown, some_clients());
}

/// Guards against connections to the store that are lost to such clients.
#[test]
fn a_gateway_without_its_store_serves_others_among_such_clients() {
    assert_withstood(Moment::StoreAway, some_clients());
}
