//! Logs as JSON lines on standard output, which never hold up the process.
//!
//! Lines go through a bounded queue to a thread that writes them. Where nobody reads standard
//! output, the queue fills, and further lines are dropped and counted.

use std::{
    num::NonZeroUsize,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread,
    time::Duration,
};

use spdlog::{
    LevelFilter, Logger, ThreadPool,
    formatter::JsonFormatter,
    sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink},
};

/// Lines that may wait to be written: a second of a busy entry, half a megabyte.
const QUEUE: usize = 2_048;

/// Longest wait for lines to be written at the end: a full queue takes some milliseconds where somebody
/// reads, and a stopping process keeps 0.3 s for its end.
const CLOSE_LIMIT: Duration = Duration::from_millis(200);

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// How many lines were dropped since the start.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// The queue of lines; closing it writes what waits.
#[must_use = "lines that still wait are lost unless it is closed"]
pub struct Queue(Arc<ThreadPool>);

/// Sends all logs to standard output as JSON lines, from `level` up (`off` for none).
pub fn init(level: LevelFilter) -> Result<Queue, spdlog::Error> {
    let out =
        StdStreamSink::builder().std_stream(StdStream::Stdout).formatter(JsonFormatter::new()).build()?;
    let capacity = NonZeroUsize::new(QUEUE).unwrap_or(NonZeroUsize::MIN);
    let pool = ThreadPool::builder().capacity(capacity).build_arc()?;
    let sink = AsyncPoolSink::builder()
        .sink(Arc::new(out))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .thread_pool(pool.clone())
        .build()?;
    // A line that finds the queue full is an error of the logger, not of the sink.
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(level)
        .error_handler(|_| {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        })
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(Queue(pool))
}

impl Queue {
    /// Writes the lines that wait, and stops logging. Gives the rest up after a while: where nobody
    /// reads standard output, the thread that writes hangs for ever, and the process would with it.
    pub fn close(self) {
        let (done, closed) = mpsc::channel();
        let closing = thread::Builder::new().name("logs".into()).spawn(move || {
            match Logger::builder().build() {
                Ok(silent) => drop(spdlog::swap_default_logger(Arc::new(silent))),
                Err(error) => eprintln!("logs not closed: {error}"),
            }
            // The last handle on the pool waits for its thread.
            drop(self.0);
            // Fails only when nobody waits any more.
            let _ = done.send(());
        });
        if let Err(error) = closing {
            eprintln!("logs not closed: {error}");
        }
        // Ends early when the thread could not start, and late when it hangs.
        let _ = closed.recv_timeout(CLOSE_LIMIT);
    }
}

/// Reads a level by name.
pub fn parse_level(name: &str) -> Option<LevelFilter> {
    use spdlog::Level;
    match name {
        "off" => Some(LevelFilter::Off),
        "error" => Some(LevelFilter::MoreSevereEqual(Level::Error)),
        "warn" => Some(LevelFilter::MoreSevereEqual(Level::Warn)),
        "info" => Some(LevelFilter::MoreSevereEqual(Level::Info)),
        "debug" => Some(LevelFilter::MoreSevereEqual(Level::Debug)),
        _ => None,
    }
}

/// The level that logs nothing.
pub fn off() -> LevelFilter {
    LevelFilter::Off
}
