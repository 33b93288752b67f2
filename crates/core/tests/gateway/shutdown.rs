use std::time::Duration;

use tarragonhill_core::gateway::{
    forecast::{Forecast, Size},
    shutdown::Shutdown,
};

use super::at;

const TARGET: Duration = Duration::from_millis(300);

fn shutdown() -> Shutdown {
    Shutdown { drain_delay_ends: at(2_600), deadline: at(7_500) }
}

/// Otherwise the caller gets an error although another replica could have served the request.
#[test]
fn a_request_whose_own_deadline_is_after_the_end_is_refused() {
    assert!(shutdown().admits_unary(at(6_700), TARGET, at(7_500)));
    assert!(!shutdown().admits_unary(at(6_700), TARGET, at(7_501)));
}

/// Otherwise every request of a route with a long timeout is refused as soon as the shutdown begins.
#[test]
fn a_request_with_a_long_deadline_is_admitted_while_its_target_leaves_time() {
    assert!(shutdown().admits_unary(at(0), TARGET, at(60_000)));
    assert!(shutdown().admits_unary(at(6_300), TARGET, at(66_000)));
    assert!(!shutdown().admits_unary(at(6_301), TARGET, at(66_000)));
}

/// While most replicas shut down, the load balancer still routes callers here.
#[test]
fn a_slow_route_is_admitted_during_the_drain_delay() {
    let target = Duration::from_millis(2_000);
    assert!(shutdown().admits_unary(at(2_599), target, at(60_000)));
    assert!(!shutdown().admits_unary(at(2_600), target, at(60_000)));
}

#[test]
fn nothing_is_admitted_after_the_deadline() {
    assert!(!shutdown().admits_unary(at(7_500), Duration::ZERO, at(7_500)));
    let size = Size { prompt: 1, expected_output: 0, max_output: 0 };
    assert!(!shutdown().admits_stream(at(7_500), &Forecast::default(), size, TARGET));
    assert!(!shutdown().admits_decode(at(7_500), &Forecast::default(), size));
}

/// The forecast is that of a typical endpoint; on a slower one the stream would be cut.
#[test]
fn a_stream_that_ends_in_time_only_on_a_typical_endpoint_is_refused_after_the_drain_delay() {
    let size = Size { prompt: 5_000, expected_output: 10, max_output: 10 };
    let forecast = Forecast::default();
    let needed = forecast.first_event_time(5_000) + forecast.prefill_time(5_000) + forecast.decode_time(10);
    let left = |factor: f64| shutdown().deadline.minus(needed.mul_f64(factor));
    let target = Duration::from_millis(1);
    assert!(!shutdown().admits_stream(left(1.9), &forecast, size, target));
    assert!(shutdown().admits_stream(left(2.1), &forecast, size, target));
}

/// A gateway that has just started has observed no stream, and its forecast is too short.
#[test]
fn a_stream_without_observations_is_expected_to_begin_by_its_target() {
    let size = Size { prompt: 1, expected_output: 1, max_output: 1 };
    let admits = |now| shutdown().admits_stream(now, &Forecast::default(), size, TARGET * 3);
    assert!(!admits(at(7_500 - 1_750)));
    assert!(admits(at(7_500 - 2_000)));
}
