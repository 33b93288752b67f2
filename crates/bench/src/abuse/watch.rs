//! Memory of a child process, sampled from outside.

use std::{
    fs, io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};

/// Interval at which the resident memory is read.
const INTERVAL: Duration = Duration::from_millis(10);
/// Number of intervals between two reads of the sockets' queues, which are slower to read.
const QUEUE_INTERVALS: u32 = 5;

/// Samples the memory of a process, and kills it when it exceeds a limit.
#[derive(Debug)]
pub struct Watch {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct Shared {
    peak: AtomicU64,
    peak_descriptors: AtomicU64,
    is_exceeded: AtomicBool,
    is_over: AtomicBool,
}

impl Watch {
    /// Starts watching a child process that listens on `addresses`. Bytes that were received for them and not read
    /// count as memory of the process.
    pub fn start(child: u32, addresses: Vec<SocketAddr>, limit: u64) -> io::Result<Self> {
        let shared: Arc<Shared> = Arc::default();
        let result = shared.clone();
        let sample = move || {
            let (mut unread, mut count) = (0, 0_u32);
            while !shared.is_over.load(Ordering::Relaxed) {
                if count.is_multiple_of(QUEUE_INTERVALS) {
                    unread = unread_bytes(&addresses);
                    let descriptors = fs::read_dir(format!("/proc/{child}/fd")).map_or(0, Iterator::count);
                    shared.peak_descriptors.fetch_max(descriptors as u64, Ordering::Relaxed);
                }
                count += 1;
                let total = resident_bytes(child) + unread;
                shared.peak.fetch_max(total, Ordering::Relaxed);
                if total > limit && !shared.is_exceeded.swap(true, Ordering::Relaxed) {
                    kill(child);
                }
                thread::sleep(INTERVAL);
            }
        };
        let thread = thread::Builder::new().name("watch".into()).spawn(sample)?;
        Ok(Self { shared: result, thread: Some(thread) })
    }

    /// Returns the largest memory of the process so far, bytes.
    pub fn peak(&self) -> u64 {
        self.shared.peak.load(Ordering::Relaxed)
    }

    /// Returns the largest number of descriptors of the process so far.
    pub fn peak_descriptors(&self) -> u64 {
        self.shared.peak_descriptors.load(Ordering::Relaxed)
    }

    /// Returns whether the limit was exceeded, after which the process was killed.
    pub fn is_exceeded(&self) -> bool {
        self.shared.is_exceeded.load(Ordering::Relaxed)
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.shared.is_over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // Fails only if the thread has panicked.
            let _ = thread.join();
        }
    }
}

/// Kills a child that has not been waited for, so that its id is not reused.
fn kill(child: u32) {
    if let Some(id) = i32::try_from(child).ok().and_then(Pid::from_raw) {
        let _ = kill_process(id, Signal::KILL);
    }
}

/// Returns the resident memory of a process; zero if it has ended.
fn resident_bytes(child: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{child}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}

/// Returns how many bytes the operating system has received for sockets at these addresses that were not read.
fn unread_bytes(addresses: &[SocketAddr]) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let locals: Vec<String> = addresses.iter().filter_map(encode).collect();
    let queued = |line: &str| {
        let mut columns = line.split_whitespace().skip(1);
        let local = columns.next()?;
        let (state, queues) = (columns.nth(1)?, columns.next()?);
        // The queue of a listening socket counts connections.
        let is_listening = state == "0A";
        let (_, received) = queues.split_once(':')?;
        let is_own = !is_listening && locals.iter().any(|own| own == local);
        is_own.then(|| u64::from_str_radix(received, 16).unwrap_or(0))
    };
    table.lines().skip(1).filter_map(queued).sum()
}

/// Encodes an address as the table of sockets does.
fn encode(address: &SocketAddr) -> Option<String> {
    match address {
        SocketAddr::V4(address) => {
            let ip = u32::from_ne_bytes(address.ip().octets());
            Some(format!("{ip:08X}:{:04X}", address.port()))
        }
        SocketAddr::V6(_) => None,
    }
}
