//! How long requests take.

use std::time::Duration;

use tarragonhill_core::gateway::forecast::{Forecast, Forecasts, Observation, Size};

use crate::{SMALL, Sheet, at, learned, teach};

/// Time to a first event that is on time.
const TARGET: Duration = Duration::from_millis(900);

fn small() -> Forecast {
    learned(SMALL).service("drafting")
}

fn summary(expected_output: u64) -> Size {
    Size { prompt: 5_000, expected_output, max_output: 1_870 }
}

/// An entry is told to stop, and 5.4 s later a caller still reaches it, since hardly any other entry
/// is in rotation. The caller estimates 180 tokens and gets 420: the stream is cut in its middle
/// when the process ends 2.25 s later, and may not run again.
#[test]
fn a_stream_that_may_outlast_a_process_that_stops_is_sent_elsewhere() {
    let left = Duration::from_millis(2_250);
    assert!(!small().finishes_within(left, summary(180), false));
    assert!(small().finishes_within(left, summary(90), false));
}

/// A rolling restart stops one entry after the other. Were each to refuse every stream that could
/// last until its end, callers would be refused by one and then by the next.
#[test]
fn a_stream_that_comes_right_after_the_word_to_stop_is_served() {
    let left = Duration::from_millis(7_700);
    assert!(small().finishes_within(left, summary(700), true));
    assert!(!small().finishes_within(left, summary(1_500), true));
}

#[test]
fn no_answer_is_longer_than_the_longest_asked_for() {
    let size = Size { prompt: 5_000, expected_output: 300, max_output: 300 };
    assert!(small().finishes_within(Duration::from_millis(2_250), size, false));
}

/// A reader is dark, and a summary waits there for 1.4 s before another is asked: late whatever comes.
/// Behind a long backlog the same wait is in order, and a second reading would be in vain.
#[test]
fn a_prompt_is_asked_elsewhere_in_time_unless_others_are_ahead() {
    assert!(small().prefill_timeout(5_000, TARGET) <= Duration::from_millis(600));
    assert!(small().prefill_timeout(27_000, TARGET) >= Duration::from_millis(1_300));
}

/// Whether a time is within a tenth of what it should be.
fn is_near(time: Duration, millis: u64) -> bool {
    let ratio = time.as_secs_f64() * 1e3 / millis as f64;
    (0.9..1.1).contains(&ratio)
}

#[test]
fn times_are_those_of_the_engine_in_use() {
    for sheet in [
        SMALL,
        Sheet { prompt_us: 2, first_ms: 15, token_us: 500, event_tokens: 1 },
        Sheet { prompt_us: 18, first_ms: 30, token_us: 640, event_tokens: 72 },
        Sheet { prompt_us: 180, first_ms: 400, token_us: 20_000, event_tokens: 4 },
    ] {
        let forecast = learned(sheet).service("drafting");
        assert!(is_near(forecast.prefill_time(5_000), sheet.prompt_us * 5), "{sheet:?}");
        assert!(is_near(forecast.first_event_time(5_000), sheet.first_ms), "{sheet:?}");
        assert!(is_near(forecast.decode_time(1_000), sheet.token_us), "{sheet:?}");
        assert!(is_near(forecast.local_prefill_time(5_000), sheet.prompt_us * 10), "{sheet:?}");
    }
}

/// Engines slow down to a tenth in the middle of their runs. Were forecasts to change only with runs that
/// end, placed requests would be cut at their deadlines for as long as a run takes.
#[test]
fn a_change_of_speed_in_the_middle_of_runs_is_followed() {
    let mut forecasts = learned(SMALL);
    let slow = Duration::from_micros(10 * SMALL.token_us * SMALL.event_tokens);
    for _ in 0..20 {
        let paced = Observation::Events { events: 2, span: slow * 2 };
        forecasts.record(at(1_000), &"drafting".into(), &"e-1".into(), 20_000, paced);
    }
    forecasts.recompute();
    let time = forecasts.service("drafting").decode_time(1_000);
    assert!(time > Duration::from_millis(40 * SMALL.token_us / 5), "{time:?}");
}

/// Readers become ten times slower, so that every prompt is given up before it has been read. If only prompts
/// that were read told how long reading takes, all would be given up for ever.
#[test]
fn prompts_that_are_given_up_tell_that_reading_is_slow() {
    let mut forecasts = learned(SMALL);
    let real = Duration::from_micros(10 * SMALL.prompt_us * 5_000);
    let mut given_up = 0;
    while forecasts.service("drafting").prefill_timeout(5_000, TARGET) < real {
        let waited = forecasts.service("drafting").prefill_timeout(5_000, TARGET);
        let unread = Observation::PrefillTimeout { tokens: 5_000, waited };
        forecasts.record(at(1_000), &"drafting".into(), &"e-1".into(), 0, unread);
        forecasts.recompute();
        given_up += 1;
        assert!(given_up < 20, "{waited:?}");
    }
}

/// One endpoint of three is sick and takes twenty times as long. It is passed over; the forecasts of all
/// requests must not follow it.
#[test]
fn a_sick_endpoint_does_not_change_what_is_typical() {
    let mut forecasts = Forecasts::default();
    for (endpoint, slower) in [("e-1", 1), ("e-2", 20), ("e-3", 1)] {
        let sheet = Sheet { prompt_us: SMALL.prompt_us * slower, token_us: SMALL.token_us * slower, ..SMALL };
        teach(&mut forecasts, at(0), endpoint, sheet);
    }
    let typical = forecasts.service("drafting");
    assert!(is_near(typical.decode_time(1_000), SMALL.token_us));
    assert!(is_near(typical.prefill_time(5_000), SMALL.prompt_us * 5));
    let sick = forecasts.endpoint(at(100), "drafting", "e-2");
    assert!(is_near(sick.prefill_time(5_000), SMALL.prompt_us * 100));
    // Once nothing has been seen of it for long, it is tried like any other.
    let later = forecasts.endpoint(at(20_000), "drafting", "e-2");
    assert!(is_near(later.prefill_time(5_000), SMALL.prompt_us * 5));
}

/// One request was held up on its way for seconds, among many that were not.
#[test]
fn one_request_that_was_held_up_changes_little() {
    let mut forecasts = learned(SMALL);
    let (service, endpoint) = ("drafting".into(), "e-1".into());
    let held_up = Duration::from_secs(9);
    for observation in [
        Observation::Prefill { tokens: 5_000, took: held_up },
        Observation::Events { events: 1, span: held_up },
    ] {
        forecasts.record(at(10), &service, &endpoint, 20_000, observation);
    }
    forecasts.recompute();
    let forecast = forecasts.service("drafting");
    assert!(is_near(forecast.prefill_time(5_000), SMALL.prompt_us * 5));
    assert!(forecast.decode_time(1_000) < Duration::from_millis(SMALL.token_us * 3 / 2));
}

/// Clocks and engines that show times or counts of zero must not make anything free or endless.
#[test]
fn observations_that_make_no_sense_leave_the_start_values_in_force() {
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
