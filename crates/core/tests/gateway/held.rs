//! Tests of the bound on bytes that are held for slow callers and endpoints.

use tarragonhill_core::gateway::held::{Exceeded, Ledger, Purpose, SMALL_REQUEST_BYTES};

const MEMORY: u64 = 4 << 20;
const LARGE: u64 = 100 << 10;

/// Holds requests of `bytes` until one is refused; returns how many were held.
fn fill(ledger: &mut Ledger, purpose: Purpose, bytes: u64) -> u64 {
    (0..).take_while(|_| ledger.hold(purpose, 0, bytes).is_ok()).count() as u64
}

/// Guards against large requests and unread streams that leave no room for small requests and for responses.
#[test]
fn what_can_wait_leaves_room_for_small_requests_and_these_for_responses() {
    for first in [Purpose::Request, Purpose::Backlog, Purpose::ReadAhead] {
        let mut ledger = Ledger::new(Some(MEMORY));
        let bound = ledger.bound().expect("a bound");
        assert!(bound <= MEMORY / 3);
        assert_eq!(fill(&mut ledger, first, LARGE), bound / 2 / LARGE, "{first:?}");
        assert!(fill(&mut ledger, Purpose::Request, SMALL_REQUEST_BYTES) >= 16, "{first:?}");
        assert!(fill(&mut ledger, Purpose::Response, LARGE) >= 2, "{first:?}");
        assert!(ledger.held() <= bound);
    }
}

/// Guards against bodies of unknown length that pass as small ones, part by part.
#[test]
fn a_holder_is_as_large_as_all_its_parts() {
    let mut ledger = Ledger::new(Some(MEMORY));
    fill(&mut ledger, Purpose::Request, LARGE);
    // Less is left than the shortest large request takes, whatever the bound.
    fill(&mut ledger, Purpose::Request, SMALL_REQUEST_BYTES + 1);
    assert_eq!(ledger.hold(Purpose::Request, 0, SMALL_REQUEST_BYTES), Ok(()));
    assert!(ledger.hold(Purpose::Request, SMALL_REQUEST_BYTES, SMALL_REQUEST_BYTES).is_err());
}

/// Guards against a response without an end that takes all that may be held.
#[test]
fn a_response_without_an_end_leaves_room_for_others() {
    let mut ledger = Ledger::new(Some(MEMORY));
    let bound = ledger.bound().expect("a bound");
    let mut held = 0;
    while ledger.hold(Purpose::Response, held, LARGE).is_ok() {
        held += LARGE;
    }
    assert!(held <= bound / 2 && held > bound / 2 - LARGE, "{held} of {bound}");
    assert_eq!(ledger.hold(Purpose::Response, 0, LARGE), Ok(()));
}

/// Guards against bytes that stay counted, and against a log line for each refusal.
#[test]
fn refusals_take_nothing_and_the_first_is_marked_until_the_bound_is_far() {
    let mut ledger = Ledger::new(Some(MEMORY));
    let held = fill(&mut ledger, Purpose::Response, LARGE) * LARGE;
    assert_eq!(ledger.held(), held);
    assert_eq!(ledger.hold(Purpose::Request, 0, LARGE), Err(Exceeded { is_first: false }));
    ledger.release(LARGE);
    assert_eq!(ledger.hold(Purpose::Request, 0, LARGE), Err(Exceeded { is_first: false }));
    ledger.release(held - LARGE);
    assert_eq!(ledger.held(), 0);
    assert_eq!(ledger.hold(Purpose::Request, 0, MEMORY), Err(Exceeded { is_first: true }));
    ledger.release(u64::MAX);
    assert_eq!(ledger.held(), 0);
}

/// Where no memory is configured, nothing is refused.
#[test]
fn there_is_no_bound_without_a_known_memory() {
    let mut ledger = Ledger::new(None);
    assert_eq!(ledger.hold(Purpose::Request, 0, 1 << 50), Ok(()));
    assert_eq!((ledger.bound(), ledger.held()), (None, 1 << 50));
}
