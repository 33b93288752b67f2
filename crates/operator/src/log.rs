//! Reads the daemons' logs: the story of one request, and failures by cause.

use std::{collections::BTreeMap, sync::Arc};

use serde::Deserialize;
use serde_json::{Map, Value};

/// Lines about an endpoint or a process belong to a request's story this long before its first and behind
/// its last line: a crashed endpoint's entry lapses within some 4 s.
const AROUND_MS: u64 = 5_000;

/// One line of a daemon's log.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Where it comes from: a file, or what a collector wrote before the line.
    pub source: Arc<str>,
    /// Milliseconds since 1970 by the host's time of day, which may jump.
    pub at: u64,
    /// What happened.
    pub event: String,
    /// What decided it.
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
    /// Reads a line; nothing if it holds no JSON of a daemon. Text before the JSON, as collectors put
    /// it there, goes before `source`.
    pub fn parse(source: &Arc<str>, text: &str) -> Option<Self> {
        let (before, json) = text.split_at(text.find('{')?);
        let line: WireLine = serde_json::from_str(json).ok()?;
        let before = before.split_whitespace().last();
        let source = before.map_or_else(|| source.clone(), Arc::from);
        Some(Self { source, at: line.timestamp, event: line.payload, fields: line.kv })
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str)
    }

    /// The line for people: source, event and fields.
    pub fn describe(&self) -> String {
        let fields = self.fields.iter().filter(|(name, _)| *name != "request");
        let fields: Vec<String> = fields.map(|(name, value)| format!("{name}={value}")).collect();
        format!("{}  {}  {}", self.source, self.event, fields.join(" "))
    }
}

/// The lines that tell what became of a request, by time: its own, those of the endpoints that it was
/// given to, and those of the processes that had it.
pub fn story<'a>(lines: &'a [Line], request: &str) -> Vec<&'a Line> {
    let own: Vec<&Line> = lines.iter().filter(|line| line.field("request") == Some(request)).collect();
    let (Some(first), Some(last)) =
        (own.iter().map(|line| line.at).min(), own.iter().map(|line| line.at).max())
    else {
        return Vec::new();
    };
    let around = first.saturating_sub(AROUND_MS)..=last + AROUND_MS;
    let endpoints: Vec<&str> =
        own.iter().flat_map(|line| [line.field("endpoint"), line.field("reader")]).flatten().collect();
    let is_of_it = |line: &Line| {
        line.field("endpoint").is_some_and(|endpoint| endpoints.contains(&endpoint))
            || own.iter().any(|of| of.source == line.source) && line.field("endpoint").is_none()
    };
    let beside = lines
        .iter()
        .filter(|line| line.field("request").is_none() && around.contains(&line.at) && is_of_it(line));
    let mut story: Vec<&Line> = own.iter().copied().chain(beside).collect();
    story.sort_by_key(|line| line.at);
    story
}

/// Failures of one kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Failures {
    /// How many.
    pub count: usize,
    /// One of the requests.
    pub example: String,
}

/// Failed requests by event and reason, names and numbers left out of the reasons.
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
        "stream cut" => Some(format!("cut: {reason}")),
        "request ended" if is_failure(line) => Some("the endpoint's own failure".into()),
        _ => None,
    }
}

/// An endpoint's failure that was passed on; what the daemon refused or cut has a line of its own.
fn is_failure(line: &Line) -> bool {
    let status = line.fields.get("status").and_then(Value::as_u64).unwrap_or(0);
    status == 500
}

/// A reason without what differs from one request to the next: words with digits in them.
fn mask(reason: &str) -> String {
    let words = reason.split(' ').map(|word| {
        let has_digit = word.bytes().any(|byte| byte.is_ascii_digit());
        if has_digit { "#" } else { word }
    });
    words.collect::<Vec<&str>>().join(" ")
}
