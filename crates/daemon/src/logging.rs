//! Logs as JSON lines on standard error.

use std::sync::Arc;

use spdlog::{
    LevelFilter, Logger,
    formatter::JsonFormatter,
    sink::{StdStream, StdStreamSink},
};

/// Sends all logs to standard error as JSON lines, from `level` up (`off` for none).
pub fn init(level: LevelFilter) -> Result<(), spdlog::Error> {
    let sink =
        StdStreamSink::builder().std_stream(StdStream::Stderr).formatter(JsonFormatter::new()).build()?;
    let logger = Logger::builder().sink(Arc::new(sink)).level_filter(level).build()?;
    logger.set_flush_level_filter(LevelFilter::All);
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Reads a level by name.
pub fn level(name: &str) -> Option<LevelFilter> {
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
