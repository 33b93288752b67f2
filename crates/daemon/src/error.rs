//! Why a daemon does not start.

use std::{fmt, io};

/// An error at start.
#[derive(Debug)]
pub enum StartError {
    /// An address cannot be listened on.
    Listen {
        /// Name of the setting.
        setting: &'static str,
        /// The address.
        address: String,
        /// What the system says.
        error: io::Error,
    },
    /// A thread cannot be started.
    Thread(io::Error),
    /// The gateway does not start.
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
