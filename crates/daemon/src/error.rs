//! Errors that prevent a daemon from starting.

use std::{fmt, io};

/// An error while starting a daemon.
#[derive(Debug)]
pub enum StartError {
    /// Listening on an address failed.
    Listen {
        /// Name of the setting that holds the address.
        setting: &'static str,
        /// The address.
        address: String,
        /// The underlying I/O error.
        error: io::Error,
    },
    /// Starting a thread failed.
    Thread(io::Error),
    /// Starting the gateway failed.
    Gateway(tarragonhill_gateway::StartError),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen { setting, address, error } => write!(f, "--{setting} {address}: {error}"),
            Self::Thread(error) => write!(f, "cannot start a thread: {error}"),
            Self::Gateway(error) => write!(f, "gateway: {error}"),
        }
    }
}

impl std::error::Error for StartError {}
