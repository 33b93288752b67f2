//! Non-blocking logs: JSON lines on standard output.
//!
//! A bounded queue passes lines to a thread that writes them. If standard output is not read, the queue
//! fills up, and further lines are dropped and counted.

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

/// Maximum number of queued lines: about a second of a busy process, or half a megabyte.
const QUEUE_CAPACITY: usize = 2_048;

/// Maximum wait for queued lines to be written at shutdown. Below the time that the gateway reserves for its
/// exit; a full queue takes some milliseconds if standard output is read.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines have been dropped since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Queue of lines to be written.
#[must_use = "queued lines are lost unless the queue is closed"]
pub struct Queue(Arc<ThreadPool>);

/// Makes the default logger write lines of at least `level` to standard output as JSON.
pub fn init(level: LevelFilter) -> Result<Queue, spdlog::Error> {
    let out =
        StdStreamSink::builder().std_stream(StdStream::Stdout).formatter(JsonFormatter::new()).build()?;
    let capacity = NonZeroUsize::new(QUEUE_CAPACITY).unwrap_or(NonZeroUsize::MIN);
    let pool = ThreadPool::builder().capacity(capacity).build_arc()?;
    let sink = AsyncPoolSink::builder()
        .sink(Arc::new(out))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .thread_pool(pool.clone())
        .build()?;
    // A full queue is reported to the error handler of the logger, not to that of the sink.
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(level)
        .error_handler(|_| {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        })
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(Queue(pool))
}

impl Queue {
    /// Stops logging and writes the queued lines. Gives up after a timeout, because the writing thread
    /// blocks forever if standard output is not read.
    pub fn close(self) {
        let (done, closed) = mpsc::channel();
        let spawned = thread::Builder::new().name("logs".into()).spawn(move || {
            match Logger::builder().build() {
                Ok(silent) => drop(spdlog::swap_default_logger(Arc::new(silent))),
                Err(error) => eprintln!("cannot stop logging: {error}"),
            }
            // Dropping the last handle to the pool waits for its thread.
            drop(self.0);
            // Fails only if the timeout has passed and the receiver is gone.
            let _ = done.send(());
        });
        if let Err(error) = spawned {
            eprintln!("cannot start the thread that closes the logs: {error}");
        }
        // Returns at once if the thread could not be started, because the sender is gone.
        let _ = closed.recv_timeout(CLOSE_TIMEOUT);
    }
}

/// Parses the name of a log level.
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

/// Returns the level that logs nothing.
pub fn off() -> LevelFilter {
    LevelFilter::Off
}
