//! Tests of the decode memory ledger.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use tarragonhill_core::{
    Attempt, Request, Time,
    memory::{Hold, Ledger, Phase},
};

fn attempt(number: u32) -> Attempt {
    Attempt { request: Request(number.into()), number: 1 }
}

fn at(millis: u64) -> Time {
    Time::ZERO.plus(Duration::from_millis(millis))
}

/// A hold whose entry dies before it sends the decode must not leak memory.
#[test]
fn hold_expires_if_no_decode_arrives() {
    let mut ledger = Ledger::new(4);
    assert_eq!(ledger.hold(at(0), attempt(1), 4, at(100), None), Hold::Granted(Duration::ZERO));
    assert_eq!(ledger.hold(at(50), attempt(2), 1, at(200), None), Hold::Full);
    assert_eq!(ledger.expire_leases(at(100)), [attempt(1)]);
    assert_eq!(ledger.free(), 4);
    assert!(!ledger.start(attempt(1), at(500)), "an expired hold must not start");
}

#[test]
fn running_decode_never_expires() {
    let mut ledger = Ledger::new(4);
    ledger.hold(at(0), attempt(1), 4, at(100), None);
    assert!(ledger.start(attempt(1), at(900)));
    assert_eq!(ledger.expire_leases(at(10_000)), []);
    assert_eq!(ledger.free(), 0);
}

/// A decode with promised memory that started before the memory is free would overfill the engine.
#[test]
fn decode_with_promised_memory_starts_only_once_it_is_free() {
    let mut ledger = Ledger::new(4);
    ledger.hold(at(0), attempt(1), 4, at(100), None);
    ledger.start(attempt(1), at(300));
    let promised = ledger.hold(at(0), attempt(2), 3, at(900), Some(Duration::from_millis(400)));
    assert_eq!(promised, Hold::Granted(Duration::from_millis(300)));
    assert!(!ledger.start(attempt(2), at(800)));
    ledger.release(attempt(1));
    assert!(ledger.start(attempt(2), at(800)));
}

#[test]
fn memory_is_promised_only_once() {
    let mut ledger = Ledger::new(4);
    ledger.hold(at(0), attempt(1), 4, at(100), None);
    ledger.start(attempt(1), at(300));
    let horizon = Some(Duration::from_millis(400));
    assert!(matches!(ledger.hold(at(0), attempt(2), 3, at(900), horizon), Hold::Granted(_)));
    assert_eq!(ledger.hold(at(0), attempt(3), 3, at(900), horizon), Hold::Full);
}

#[test]
fn repeated_hold_claims_no_more_memory() {
    let mut ledger = Ledger::new(4);
    ledger.hold(at(0), attempt(1), 2, at(100), None);
    ledger.hold(at(0), attempt(1), 2, at(100), None);
    assert_eq!(ledger.free(), 2);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Hold(u8, u8, bool),
    Start(u8),
    Release(u8),
    Advance(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = u8::arbitrary(g) % 12;
        match u8::arbitrary(g) % 4 {
            0 => Self::Hold(number, u8::arbitrary(g) % 4 + 1, bool::arbitrary(g)),
            1 => Self::Start(number),
            2 => Self::Release(number),
            _ => Self::Advance(u8::arbitrary(g)),
        }
    }
}

fn stays_within_capacity(steps: Vec<Step>) -> bool {
    let mut ledger = Ledger::new(8);
    let mut now = Time::ZERO;
    steps.into_iter().all(|step| {
        match step {
            Step::Hold(number, pieces, ahead) => {
                let horizon = ahead.then_some(Duration::from_millis(500));
                ledger.hold(
                    now,
                    attempt(number.into()),
                    pieces.into(),
                    now.plus(Duration::from_millis(300)),
                    horizon,
                );
            }
            Step::Start(number) => {
                ledger.start(attempt(number.into()), now.plus(Duration::from_millis(200)));
            }
            Step::Release(number) => {
                ledger.release(attempt(number.into()));
            }
            Step::Advance(millis) => {
                now = now.plus(Duration::from_millis(millis.into()));
                ledger.expire_leases(now);
            }
        }
        let occupied: u32 = ledger
            .claims()
            .filter(|(_, _, phase)| !matches!(phase, Phase::Promised { .. }))
            .map(|(_, pieces, _)| pieces)
            .sum();
        occupied <= ledger.capacity()
    })
}

#[test]
fn held_and_running_pieces_never_exceed_the_capacity() {
    let generator = Gen::from_size_and_seed(200, 5);
    QuickCheck::new().rng(generator).tests(500).quickcheck(stays_within_capacity as fn(Vec<Step>) -> bool);
}
