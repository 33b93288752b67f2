//! Timelines of requests and causes of failures, from lines in the daemons' log format.

use std::sync::Arc;

use tarragonhill_operator::log::{Line, failures, timeline};

const FIRST: &str = r#"
{"level":"info","timestamp":1000,"payload":"request admitted","kv":{"request":"r1","customer":"faculty"},"tid":1}
{"level":"info","timestamp":1001,"payload":"request placed","kv":{"request":"r1","endpoint":"i-1","reader":"i-2"},"tid":1}
{"level":"info","timestamp":1001,"payload":"request placed","kv":{"request":"r2","endpoint":"i-3","reader":"i-2"},"tid":1}
not a daemon log line
{"level":"warn","timestamp":3000,"payload":"stream cut","kv":{"request":"r1","reason":"i-1: connection broke"},"tid":1}
{"level":"warn","timestamp":3001,"payload":"stream cut","kv":{"request":"r2","reason":"i-3: connection broke"},"tid":1}
{"level":"info","timestamp":3002,"payload":"request ended","kv":{"request":"r1","status":200,"whole":false},"tid":1}
{"level":"info","timestamp":3100,"payload":"request ended","kv":{"request":"r3","status":500,"whole":true},"tid":1}
{"level":"info","timestamp":9000,"payload":"configuration in force","kv":{"version":7},"tid":1}
"#;

const SECOND: &str = r#"
{"level":"info","timestamp":2900,"payload":"endpoint","kv":{"change":"gone","endpoint":"i-1"},"tid":9}
{"level":"info","timestamp":2901,"payload":"endpoint","kv":{"change":"gone","endpoint":"i-9"},"tid":9}
{"level":"info","timestamp":2902,"payload":"store lost","kv":{"what":"endpoints"},"tid":9}
{"level":"info","timestamp":50,"payload":"endpoint","kv":{"change":"seen","endpoint":"i-1"},"tid":9}
"#;

fn parse_lines(source: &str, text: &str) -> Vec<Line> {
    let source: Arc<str> = source.into();
    text.lines().filter_map(|line| Line::parse(&source, line)).collect()
}

fn lines() -> Vec<Line> {
    [parse_lines("entry-1", FIRST), parse_lines("entry-2", SECOND)].concat()
}

#[test]
fn timeline_contains_the_request_and_the_events_of_its_endpoints() {
    let lines = lines();
    let events: Vec<(u64, &str)> =
        timeline(&lines, "r1").iter().map(|line| (line.at_ms, line.event.as_str())).collect();
    let expected = [
        (50, "endpoint"),
        (1_000, "request admitted"),
        (1_001, "request placed"),
        (2_900, "endpoint"),
        (3_000, "stream cut"),
        (3_002, "request ended"),
    ];
    assert_eq!(events, expected);
    assert!(timeline(&lines, "unknown").is_empty());
}

#[test]
fn failures_with_the_same_cause_are_counted_together() {
    let failures = failures(&lines());
    let counts: Vec<(&str, usize, &str)> = failures
        .iter()
        .map(|(cause, failures)| (cause.as_str(), failures.count, failures.example.as_str()))
        .collect();
    assert_eq!(counts, [("cut: # connection broke", 2, "r1"), ("the endpoint's own failure", 1, "r3")]);
}

#[test]
fn prefix_of_a_log_collector_becomes_the_source() {
    let text = r#"   3.0 front-a-1 {"timestamp":1,"payload":"gateway started","kv":{}}"#;
    let line = Line::parse(&"file".into(), text).expect("a valid line");
    assert_eq!((&*line.source, line.event.as_str()), ("front-a-1", "gateway started"));
    assert_eq!(Line::parse(&"file".into(), "{truncated"), None);
}

/// Otherwise requests that were in flight when their process ended are missing from the failures.
#[test]
fn a_request_cut_by_the_end_of_its_process_is_a_failure() {
    let text = r#"{"timestamp":1,"payload":"request cut","kv":{"request":"r9","age_ms":40}}"#;
    let line = Line::parse(&"file".into(), text).expect("a valid line");
    let failures = failures(&[line]);
    assert_eq!(failures["cut: the process ended"].example, "r9");
}
