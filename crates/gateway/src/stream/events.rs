//! Parsing of server-sent events.

/// Returns the length of the complete events in `bytes`, or `None` if there are none. The first `searched` bytes are known to
/// have none.
pub(super) fn complete_length(bytes: &[u8], searched: usize) -> Option<usize> {
    let from = searched.saturating_sub(3);
    let lf = bytes[from..].windows(2).rposition(|pair| pair == b"\n\n").map(|at| from + at + 2);
    let crlf = bytes[from..].windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| from + at + 4);
    lf.max(crlf)
}

/// Returns whether bytes after the last complete event begin another one. Empty lines and comments do not.
pub(super) fn is_inside_event(rest: &[u8]) -> bool {
    let is_open = !rest.is_empty() && !rest.ends_with(b"\n");
    let mut lines = rest.split(|byte| *byte == b'\n');
    is_open || lines.any(|line| !matches!(line, [] | [b'\r'] | [b':', ..]))
}

/// Counts complete events.
pub(super) fn count_events(events: &[u8]) -> u64 {
    let lf = events.windows(2).filter(|pair| pair == b"\n\n").count();
    let crlf = events.windows(4).filter(|four| four == b"\r\n\r\n").count();
    (lf + crlf) as u64
}

/// Returns the id of the last event that has one. It may hold any byte but line feeds.
pub(super) fn last_id(events: &[u8]) -> Option<&[u8]> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    lines.find_map(|line| line.strip_prefix(b"id:")).map(<[u8]>::trim_ascii)
}
