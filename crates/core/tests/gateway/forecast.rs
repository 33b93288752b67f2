//! How long requests take.

use std::time::Duration;

use tarragonhill_core::gateway::forecast::{Size, ends_within, reading_limit};

fn summary(expected: u64) -> Size {
    Size { prompt: 5_000, expected, most: 1_870 }
}

/// An entry is told to stop, and 5.4 s later a caller still reaches it, since hardly any other entry
/// is in rotation. The caller estimates 180 tokens and gets 420: the stream is cut in its middle
/// when the process ends 2.25 s later, and may not run again.
#[test]
fn a_stream_that_may_outlast_a_process_that_stops_is_sent_elsewhere() {
    let left = Duration::from_millis(2_250);
    assert!(!ends_within(left, summary(180), false));
    assert!(ends_within(left, summary(90), false));
}

/// A rolling restart stops one entry after the other. Were each to refuse every stream that could
/// last until its end, callers would be refused by one and then by the next.
#[test]
fn a_stream_that_comes_right_after_the_word_to_stop_is_served() {
    let left = Duration::from_millis(7_700);
    assert!(ends_within(left, summary(700), true));
    assert!(!ends_within(left, summary(1_500), true));
}

#[test]
fn no_answer_is_longer_than_the_longest_asked_for() {
    let size = Size { prompt: 5_000, expected: 300, most: 300 };
    assert!(ends_within(Duration::from_millis(2_250), size, false));
}

/// A reader is dark, and a summary waits there for 1.4 s before another is asked: late whatever comes.
/// Behind a long backlog the same wait is in order, and a second reading would be in vain.
#[test]
fn a_prompt_is_asked_elsewhere_in_time_unless_others_are_ahead() {
    assert!(reading_limit(0, 5_000) <= Duration::from_millis(600));
    assert!(reading_limit(22_000, 5_000) >= Duration::from_millis(1_300));
}
