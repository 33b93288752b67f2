//! Analysis of the daemons' logs: the timeline of one request, and failures by cause.

use std::{collections::BTreeMap, sync::Arc};

use serde::Deserialize;
use serde_json::{Map, Value};

/// A timeline includes related lines from this long before the first to this long after the last line of the
/// request. Longer than the time until the registration of a crashed endpoint expires.
const CONTEXT_MS: u64 = 5_000;

/// A line of a daemon's log.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Origin of the line: the file name, or the prefix that a log collector has added.
    pub source: Arc<str>,
    /// Milliseconds since the Unix epoch by the host's wall clock, which may jump.
    pub at_ms: u64,
    /// Log payload.
    pub event: String,
    /// Structured fields of the line.
    pub fields: Map<String, Value>,
}

#[derive(Deserialize)]
struct WireLine {
    timestamp: u64,
    payload: String,
    #[serde(default)]
    kv: Map<String, Value>,
}

impl Line {
    /// Parses a line; returns `None` if it contains no JSON of a daemon. The last word before the JSON, if
    /// any, replaces `source`.
    pub fn parse(source: &Arc<str>, text: &str) -> Option<Self> {
        let (prefix, json) = text.split_at(text.find('{')?);
        let line: WireLine = serde_json::from_str(json).ok()?;
        let prefix = prefix.split_whitespace().last();
        let source = prefix.map_or_else(|| source.clone(), Arc::from);
        Some(Self { source, at_ms: line.timestamp, event: line.payload, fields: line.kv })
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str)
    }

    /// Formats source, event and fields for display.
    pub fn describe(&self) -> String {
        let fields = self.fields.iter().filter(|(name, _)| *name != "request");
        let fields: Vec<String> = fields.map(|(name, value)| format!("{name}={value}")).collect();
        format!("{}  {}  {}", self.source, self.event, fields.join(" "))
    }
}

/// Returns the lines related to a request, by time: lines that name the request, and at about the same time,
/// lines about its endpoints and general lines of the processes that handled it.
pub fn timeline<'a>(lines: &'a [Line], request: &str) -> Vec<&'a Line> {
    let own: Vec<&Line> = lines.iter().filter(|line| line.field("request") == Some(request)).collect();
    let (Some(first), Some(last)) =
        (own.iter().map(|line| line.at_ms).min(), own.iter().map(|line| line.at_ms).max())
    else {
        return Vec::new();
    };
    let window = first.saturating_sub(CONTEXT_MS)..=last + CONTEXT_MS;
    let endpoints: Vec<&str> =
        own.iter().flat_map(|line| [line.field("endpoint"), line.field("reader")]).flatten().collect();
    let is_related = |line: &Line| {
        line.field("endpoint").is_some_and(|endpoint| endpoints.contains(&endpoint))
            || own.iter().any(|own_line| own_line.source == line.source) && line.field("endpoint").is_none()
    };
    let related = lines
        .iter()
        .filter(|line| line.field("request").is_none() && window.contains(&line.at_ms) && is_related(line));
    let mut timeline: Vec<&Line> = own.iter().copied().chain(related).collect();
    timeline.sort_by_key(|line| line.at_ms);
    timeline
}

/// Failures with the same cause.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Failures {
    /// Number of failures.
    pub count: usize,
    /// Identifier of one of the failed requests.
    pub example: String,
}

/// Groups failed requests by cause. Words with digits in a reason are masked.
pub fn failures(lines: &[Line]) -> BTreeMap<String, Failures> {
    let mut causes: BTreeMap<String, Failures> = BTreeMap::new();
    for line in lines {
        let Some(cause) = cause(line) else { continue };
        let failures = causes.entry(cause).or_default();
        failures.count += 1;
        if failures.example.is_empty() {
            failures.example = line.field("request").unwrap_or("-").into();
        }
    }
    causes
}

fn cause(line: &Line) -> Option<String> {
    let reason = mask(line.field("reason").unwrap_or_default());
    match line.event.as_str() {
        "request refused" => Some(format!("refused, {}: {reason}", line.field("code").unwrap_or("?"))),
        "request cut" => Some("cut: the process ended".into()),
        "stream cut" => Some(format!("cut: {reason}")),
        "request ended" if is_endpoint_failure(line) => Some("the endpoint's own failure".into()),
        _ => None,
    }
}

/// Returns whether the line reports a failure response of an endpoint. Refused requests and cut streams have
/// lines of their own.
fn is_endpoint_failure(line: &Line) -> bool {
    let status = line.fields.get("status").and_then(Value::as_u64).unwrap_or(0);
    status == 500
}

/// Masks the words that contain digits, because they differ between requests.
fn mask(reason: &str) -> String {
    let words = reason.split(' ').map(|word| {
        let has_digit = word.bytes().any(|byte| byte.is_ascii_digit());
        if has_digit { "#" } else { word }
    });
    words.collect::<Vec<&str>>().join(" ")
}
