//! Resource usage of this process, read from Linux's procfs.

use std::{fs, time::Duration};

const PAGE_BYTES: u64 = 4_096;

/// Returns the processor time used so far (`/proc/self/stat`, fields 14 and 15, in ticks of 10 ms).
pub fn cpu_time() -> Duration {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields = rest.split_whitespace().skip(11).take(2);
    let ticks: u64 = fields.filter_map(|field| field.parse::<u64>().ok()).sum();
    Duration::from_millis(ticks * 10)
}

/// Returns the resident memory in bytes (`/proc/self/statm`, second field).
pub fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = statm.split_whitespace().nth(1).and_then(|field| field.parse().ok()).unwrap_or(0);
    pages * PAGE_BYTES
}

/// Returns the bytes and packets received over loopback so far, headers included (`/proc/net/dev`).
pub fn loopback_traffic() -> (u64, u64) {
    let devices = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = devices.lines().find(|line| line.trim_start().starts_with("lo:")).unwrap_or_default();
    let fields: Vec<u64> = line.split_whitespace().skip(1).filter_map(|field| field.parse().ok()).collect();
    (fields.first().copied().unwrap_or(0), fields.get(1).copied().unwrap_or(0))
}
