//! Tests of the forecasts of request times.

use std::time::Duration;

use tarragonhill_core::gateway::forecast::{Forecast, Forecasts, Observation, Size};

use crate::{SMALL, Speed, at, train, trained};

/// Target for the time to the first event.
const TARGET: Duration = Duration::from_millis(900);

/// Returns the service forecast for a [`SMALL`] engine.
fn small_forecast() -> Forecast {
    trained(SMALL).service("drafting")
}

fn size_with_output(expected_output: u64) -> Size {
    Size { prompt: 5_000, expected_output, max_output: 1_870 }
}

/// A stream that outlasts the process would be cut and cannot be resumed.
#[test]
fn a_stream_that_may_outlast_the_process_is_refused_during_shutdown() {
    let left = Duration::from_millis(2_250);
    assert!(!small_forecast().finishes_within(left, size_with_output(180), false));
    assert!(small_forecast().finishes_within(left, size_with_output(90), false));
}

/// In a rolling restart, a wide safety margin would make one replica after another refuse a caller.
#[test]
fn a_stream_right_after_the_start_of_shutdown_is_accepted() {
    let left = Duration::from_millis(7_700);
    assert!(small_forecast().finishes_within(left, size_with_output(700), true));
    assert!(!small_forecast().finishes_within(left, size_with_output(1_500), true));
}

#[test]
fn the_output_is_limited_to_the_requested_maximum() {
    let size = Size { prompt: 5_000, expected_output: 300, max_output: 300 };
    assert!(small_forecast().finishes_within(Duration::from_millis(2_250), size, false));
}

/// The timeout must leave time for a second endpoint to meet the target, but a long backlog alone
/// must not cause a second prefill.
#[test]
fn the_prefill_timeout_grows_with_the_backlog() {
    assert!(small_forecast().prefill_timeout(5_000, TARGET) <= Duration::from_millis(600));
    assert!(small_forecast().prefill_timeout(27_000, TARGET) >= Duration::from_millis(1_300));
}

/// Returns whether a time is within a tenth of the expected one.
fn is_near(time: Duration, millis: u64) -> bool {
    let ratio = time.as_secs_f64() * 1e3 / millis as f64;
    (0.9..1.1).contains(&ratio)
}

#[test]
fn forecasts_match_the_observed_engine() {
    for speed in [
        SMALL,
        Speed { prompt_us: 2, first_ms: 15, token_us: 500, event_tokens: 1 },
        Speed { prompt_us: 18, first_ms: 30, token_us: 640, event_tokens: 72 },
        Speed { prompt_us: 180, first_ms: 400, token_us: 20_000, event_tokens: 4 },
    ] {
        let forecast = trained(speed).service("drafting");
        assert!(is_near(forecast.prefill_time(5_000), speed.prompt_us * 5), "{speed:?}");
        assert!(is_near(forecast.first_event_time(5_000), speed.first_ms), "{speed:?}");
        assert!(is_near(forecast.decode_time(1_000), speed.token_us), "{speed:?}");
        assert!(is_near(forecast.local_prefill_time(5_000), speed.prompt_us * 10), "{speed:?}");
    }
}

/// Forecasts must not wait for runs to complete, or runs placed meanwhile would miss their
/// deadlines.
#[test]
fn a_slowdown_during_runs_changes_the_forecast() {
    let mut forecasts = trained(SMALL);
    let slow = Duration::from_micros(10 * SMALL.token_us * SMALL.event_tokens);
    for _ in 0..20 {
        let events = Observation::Events { events: 2, span: slow * 2 };
        forecasts.record(at(1_000), &"drafting".into(), &"e-1".into(), 20_000, events);
    }
    forecasts.recompute();
    let time = forecasts.service("drafting").decode_time(1_000);
    assert!(time > Duration::from_millis(40 * SMALL.token_us / 5), "{time:?}");
}

/// If only completed prefills counted, a slowdown beyond the timeout would never be learned and
/// every prompt would time out.
#[test]
fn prefill_timeouts_raise_the_prefill_forecast() {
    let mut forecasts = trained(SMALL);
    let actual = Duration::from_micros(10 * SMALL.prompt_us * 5_000);
    let mut timeouts = 0;
    while forecasts.service("drafting").prefill_timeout(5_000, TARGET) < actual {
        let waited = forecasts.service("drafting").prefill_timeout(5_000, TARGET);
        let timeout = Observation::PrefillTimeout { tokens: 5_000, waited };
        forecasts.record(at(1_000), &"drafting".into(), &"e-1".into(), 0, timeout);
        forecasts.recompute();
        timeouts += 1;
        assert!(timeouts < 20, "{waited:?}");
    }
}

#[test]
fn a_slow_endpoint_does_not_change_the_service_forecast() {
    let mut forecasts = Forecasts::default();
    for (endpoint, factor) in [("e-1", 1), ("e-2", 20), ("e-3", 1)] {
        let speed = Speed { prompt_us: SMALL.prompt_us * factor, token_us: SMALL.token_us * factor, ..SMALL };
        train(&mut forecasts, at(0), endpoint, speed);
    }
    let typical = forecasts.service("drafting");
    assert!(is_near(typical.decode_time(1_000), SMALL.token_us));
    assert!(is_near(typical.prefill_time(5_000), SMALL.prompt_us * 5));
    let slow_endpoint = forecasts.endpoint(at(100), "drafting", "e-2");
    assert!(is_near(slow_endpoint.prefill_time(5_000), SMALL.prompt_us * 100));
    // After its observations have expired, the endpoint is treated like any other.
    let later = forecasts.endpoint(at(20_000), "drafting", "e-2");
    assert!(is_near(later.prefill_time(5_000), SMALL.prompt_us * 5));
}

#[test]
fn a_single_delayed_request_hardly_changes_the_forecast() {
    let mut forecasts = trained(SMALL);
    let (service, endpoint) = ("drafting".into(), "e-1".into());
    let delay = Duration::from_secs(9);
    for observation in
        [Observation::Prefill { tokens: 5_000, took: delay }, Observation::Events { events: 1, span: delay }]
    {
        forecasts.record(at(10), &service, &endpoint, 20_000, observation);
    }
    forecasts.recompute();
    let forecast = forecasts.service("drafting");
    assert!(is_near(forecast.prefill_time(5_000), SMALL.prompt_us * 5));
    assert!(forecast.decode_time(1_000) < Duration::from_millis(SMALL.token_us * 3 / 2));
}

/// Zero or implausible times and counts must not lead to zero or unbounded forecasts.
#[test]
fn implausible_observations_are_ignored() {
    let mut forecasts = Forecasts::default();
    for _ in 0..10 {
        for observation in [
            Observation::Prefill { tokens: 0, took: Duration::from_millis(5) },
            Observation::Prefill { tokens: 500, took: Duration::ZERO },
            Observation::FirstEvent { prompt: 500, took: Duration::ZERO },
            Observation::Events { events: 3, span: Duration::ZERO },
            Observation::Events { events: 3, span: Duration::from_secs(100_000) },
            Observation::Completed { expected: 0, events: 7 },
            Observation::Completed { expected: 7, events: 0 },
        ] {
            forecasts.record(at(0), &"drafting".into(), &"e-1".into(), 0, observation);
        }
    }
    forecasts.recompute();
    assert_eq!(forecasts.service("drafting"), Forecast::default());
}
