//! Events in the bytes of a stream.

/// Where the last whole event ends.
pub(super) fn events_end(bytes: &[u8]) -> Option<usize> {
    let end = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let carriage = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    end.max(carriage)
}

/// How many events whole events are.
pub(super) fn count_events(events: &[u8]) -> u64 {
    let plain = events.windows(2).filter(|pair| pair == b"\n\n").count();
    let carriage = events.windows(4).filter(|four| four == b"\r\n\r\n").count();
    (plain + carriage) as u64
}

/// The id of the last event that has one.
pub(super) fn last_id(events: &[u8]) -> Option<&str> {
    let text = std::str::from_utf8(events).ok()?;
    text.lines().rev().find_map(|line| line.strip_prefix("id:")).map(str::trim)
}
