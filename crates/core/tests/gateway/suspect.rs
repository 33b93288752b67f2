//! Tests of the quarantine for requests that crash endpoints.

use std::sync::Arc;

use tarragonhill_core::gateway::{digest::Digest, suspect::Suspects};

use crate::at;

const CRASHING: u64 = 1;
const HARMLESS: u64 = 2;

fn crash(suspects: &mut Suspects, now: u64, endpoint: &str, running: &[u64]) {
    let endpoint: Arc<str> = endpoint.into();
    for fingerprint in running {
        suspects.record_interrupted(at(now), &endpoint, *fingerprint);
    }
    suspects.record_crash(at(now + 300), &endpoint);
}

/// Guards against a request that is retried through several replicas and crashes an endpoint each
/// time.
#[test]
fn a_request_that_crashed_two_endpoints_is_refused_by_every_replica() {
    let (mut one, mut two) = (Suspects::default(), Suspects::default());
    crash(&mut one, 0, "e-1", &[CRASHING, HARMLESS]);
    assert!(!one.is_refused(at(400), CRASHING));
    two.apply_digest(&Digest { name: "one".into(), suspects: one.report(at(500)), ..Digest::default() });
    crash(&mut two, 1_000, "e-2", &[CRASHING]);
    assert!(two.is_refused(at(1_500), CRASHING));
    one.apply_digest(&Digest { name: "two".into(), suspects: two.report(at(1_500)), ..Digest::default() });
    assert!(one.is_refused(at(1_600), CRASHING));
    assert!(!one.is_refused(at(1_600), HARMLESS) && !two.is_refused(at(1_600), HARMLESS));
}

#[test]
fn an_interrupted_request_without_a_crash_is_not_a_suspect() {
    let mut suspects = Suspects::default();
    for now in 0..5 {
        suspects.record_interrupted(at(now), &"e-1".into(), CRASHING);
    }
    assert!(!suspects.is_refused(at(10), CRASHING));
    // The endpoint crashes much later, with other requests running.
    suspects.record_crash(at(60_000), "e-1");
    assert!(!suspects.is_refused(at(60_001), CRASHING));
}

#[test]
fn a_suspect_is_admitted_again_after_its_ttl() {
    let mut suspects = Suspects::default();
    crash(&mut suspects, 0, "e-1", &[CRASHING]);
    crash(&mut suspects, 1_000, "e-2", &[CRASHING]);
    assert!(suspects.is_refused(at(2_000), CRASHING));
    assert!(!suspects.is_refused(at(200_000), CRASHING));
}
