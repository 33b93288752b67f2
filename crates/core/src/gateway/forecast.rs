//! How long parts of a request take and what memory they need; only forecasts rest on these.

use std::time::Duration;

/// How long reading a prompt takes on an idle endpoint.
pub fn reading_time(tokens: u64) -> Duration {
    Duration::from_micros(tokens * MICROS_PER_PROMPT_TOKEN)
}

/// How long to wait for a prompt to be read behind `ahead` tokens before another endpoint is asked.
pub fn reading_limit(ahead: u64, prompt: u64) -> Duration {
    reading_time(ahead + prompt) * READING_PATIENCE + READING_SLACK
}

/// Reading may take this many times as long as expected: others' word of what they sent comes late,
/// and some endpoints are slow.
const READING_PATIENCE: u32 = 2;
/// What an idle endpoint may take longer than expected. An endpoint that has gone dark shows in nothing
/// else, and a prompt of 5,000 tokens asked again after 0.6 s can still be on time at 0.9 s.
const READING_SLACK: Duration = Duration::from_millis(400);

/// How long a decode endpoint takes to read a prompt between the tokens of its runs: twice as long as
/// an endpoint that only reads, by the engines' sheet. All its runs pause for that long altogether.
pub fn own_reading_time(tokens: u64) -> Duration {
    reading_time(tokens) * 2
}

/// Microseconds to read one prompt token: 18 on the engines in use, by their sheet (55.6 tokens a
/// millisecond); only forecasts rest on it.
const MICROS_PER_PROMPT_TOKEN: u64 = 18;

/// Memory that a run takes on average over its time, tokens: its answer grows from nothing to
/// `expected`. Ten runs at different points of their answers take ten such means; promising each its
/// longest answer instead left a fifth of the memory of a full endpoint empty.
pub fn memory(prompt: u64, expected: u64) -> u64 {
    prompt + expected / 2
}

/// How long a run takes behind its first event on a busy endpoint, for a number of tokens.
pub fn run_time(tokens: u64) -> Duration {
    Duration::from_micros(tokens * MICROS_PER_TOKEN)
}

/// From the start of a run to its first event on an idle endpoint, the reading of the prompt left
/// out: the first step takes 80 ms by the engines' sheet, the rest is moving the prompt's result.
pub const FIRST_EVENT: Duration = Duration::from_millis(150);
/// Microseconds for one token beside ten other runs: a step of 3.3 ms and 0.026 ms for each 1,000
/// tokens in memory, by the engines' sheet.
const MICROS_PER_TOKEN: u64 = 5_000;

/// Longest time between two events of a run on a busy endpoint that reads nothing: events of eleven
/// tokens came 50 to 70 ms apart.
pub const EVENT_GAP: Duration = Duration::from_millis(80);

/// What a stream asks for, tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Its prompt.
    pub prompt: u64,
    /// Its answer as the caller estimates it; at most `most`.
    pub expected: u64,
    /// Its longest answer.
    pub most: u64,
}

/// Factor by which an answer may exceed its estimate while the balancer still sends callers to a
/// process that stops. The estimate is right in the middle and off by less than this for nine in
/// ten. Other entries may be stopping in the same seconds, so a refusal may be the caller's last.
const GUESS: u64 = 2;
/// The same later, when other entries take new callers: a refusal costs some 50 ms there, while a
/// stream that may run once is lost when it is cut. Estimates are off by more in 3 of 1,000.
const CAREFUL_GUESS: u64 = 4;

/// Whether a stream that begins now at a process that stops ends within `left`. `is_sent_here` tells
/// that the balancer may not have noticed the stop yet.
pub fn ends_within(left: Duration, size: Size, is_sent_here: bool) -> bool {
    let guess = if is_sent_here { GUESS } else { CAREFUL_GUESS };
    let answer = (size.expected * guess).min(size.most);
    FIRST_EVENT + reading_time(size.prompt) + run_time(answer) < left
}
