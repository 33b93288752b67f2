//! A stream as its caller got it over several attempts, and the check of it.

use std::{collections::BTreeSet, time::Duration};

use serde_json::{Value, json};
use tarragonhill_h1::{body::Framing, head::Request};

use crate::platform::{
    caller::{Response, completion_request, resume},
    endpoint::EVENT_COUNT,
    site::KEY,
};

const PROMPT_TOKENS: u64 = 100;

/// An event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Event {
    pub(super) id: u32,
    pub(super) version: String,
}

/// A stream as its caller got it, over all attempts.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    /// Id of the attempt that brought the first event.
    pub(super) first: Option<String>,
    pub(super) events: Vec<Event>,
    /// Whether an attempt was framed as complete.
    pub(super) is_complete: bool,
    /// Attempts to begin at gateways that had been up for a while.
    pub beginnings: u32,
    /// Those of them that brought an event.
    pub began: u32,
    /// Resumes at gateways that had been up for a while, with enough engines of the version.
    pub resumes: u32,
    /// Those of them that brought an event or the end.
    pub went_on: u32,
    pub(super) log: Vec<String>,
}

impl Stream {
    /// Returns what is wrong with the stream; `None` if it is sound.
    pub fn fault(&self) -> Option<String> {
        let ids: Vec<u32> = self.events.iter().map(|event| event.id).collect();
        let is_in_order = ids.iter().zip(1..).all(|(id, expected)| *id == expected);
        let versions = self.events.first().map(|first| &first.version);
        let is_of_one_version = self.events.iter().all(|event| Some(&event.version) == versions);
        let is_short = self.is_complete && ids.len() as u32 != EVENT_COUNT;
        let fault = match (is_in_order, is_of_one_version, is_short) {
            (false, _, _) => "events are missing or repeated",
            (_, false, _) => "events of several versions",
            (_, _, true) => "framed as complete and is not",
            (true, true, false) => return None,
        };
        Some(format!("{fault}: {:?}, {:?}", self.log, self.events))
    }

    /// Returns the attempts of the caller, as a JSON value.
    pub(super) fn to_json(&self) -> Value {
        let versions: BTreeSet<&str> = self.events.iter().map(|event| &*event.version).collect();
        json!({"attempts": self.log, "versions": versions, "events": self.events.len(), "whole": self.is_whole()})
    }

    /// Returns whether the caller got the whole stream.
    pub fn is_whole(&self) -> bool {
        self.is_complete && self.fault().is_none()
    }

    pub(super) fn request(&self, id: &str, left: Duration) -> Request {
        let mut head = completion_request("/resumable/x", KEY, id, PROMPT_TOKENS);
        head.fields.set("Tarragonhill-Deadline-Ms", left.as_millis().to_string());
        match (&self.first, self.events.last()) {
            (Some(first), Some(last)) => resume(head, first, last.id),
            _ => head,
        }
    }

    pub(super) fn add(&mut self, id: &str, response: &Response) {
        let text = response.text();
        let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
        let events = whole.split("\n\n").filter_map(parse_event);
        self.events.extend(events);
        if self.first.is_none() && !self.events.is_empty() {
            self.first = Some(id.into());
        }
        let is_inside_event = !text.is_empty() && !text.ends_with("\n\n");
        let ends_with_connection = response.head.framing("GET") == Ok(Framing::UntilClose);
        self.is_complete = response.is_complete && !(ends_with_connection && is_inside_event);
    }
}

fn parse_event(text: &str) -> Option<Event> {
    let id = text.lines().find_map(|line| line.strip_prefix("id: ")?.parse().ok())?;
    let data = text.lines().find_map(|line| line.strip_prefix("data: "))?;
    Some(Event { id, version: data.split(' ').next().unwrap_or_default().into() })
}
