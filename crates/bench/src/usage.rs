//! What this process uses, as Linux counts it.

use std::{fs, time::Duration};

/// Bytes in a page of memory.
const PAGE: u64 = 4_096;

/// Processor time so far (`/proc/self/stat`, fields 14 and 15, in hundredths of a second).
pub fn cpu_time() -> Duration {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields = rest.split_whitespace().skip(11).take(2);
    let ticks: u64 = fields.filter_map(|field| field.parse::<u64>().ok()).sum();
    Duration::from_millis(ticks * 10)
}

/// Resident memory, bytes (`/proc/self/statm`, second field).
pub fn resident() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = statm.split_whitespace().nth(1).and_then(|field| field.parse().ok()).unwrap_or(0);
    pages * PAGE
}

/// Bytes and packets that went over loopback so far, headers included (`/proc/net/dev`).
pub fn loopback() -> (u64, u64) {
    let devices = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = devices.lines().find(|line| line.trim_start().starts_with("lo:")).unwrap_or_default();
    let fields: Vec<u64> = line.split_whitespace().skip(1).filter_map(|field| field.parse().ok()).collect();
    (fields.first().copied().unwrap_or(0), fields.get(1).copied().unwrap_or(0))
}
