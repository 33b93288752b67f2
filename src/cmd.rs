//! Subcommands. Each module contains a parser and an `execute` function.

pub(crate) mod confirm;
pub(crate) mod dump;
pub(crate) mod explain;
pub(crate) mod failures;
pub(crate) mod plan;
pub(crate) mod resolve;
pub(crate) mod show;
pub(crate) mod story;

use std::{fmt, fs, io, net::SocketAddr, path::PathBuf, process::ExitCode, sync::Arc};

use bpaf::{Parser, construct, long};
use serde_json::Value;
use tarragonhill_operator::{Client, OperatorError, log::Line};

/// A parsed invocation.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    Plan(plan::Options),
    Confirm(confirm::Options),
    Resolve(resolve::Options),
    Show(show::Options),
    Dump(dump::Options),
    Explain(explain::Options),
    Story(story::Options),
    Failures(failures::Options),
}

impl Command {
    /// Runs the subcommand.
    pub(crate) async fn execute(self) -> Result<(), CommandError> {
        match self {
            Self::Plan(options) => plan::execute(options).await,
            Self::Confirm(options) => confirm::execute(options).await,
            Self::Resolve(options) => resolve::execute(options).await,
            Self::Show(options) => show::execute(options).await,
            Self::Dump(options) => dump::execute(options).await,
            Self::Explain(options) => explain::execute(options).await,
            Self::Story(options) => story::execute(&options),
            Self::Failures(options) => failures::execute(&options),
        }
    }
}

/// Failure of a subcommand.
#[derive(Debug)]
pub(crate) enum CommandError {
    Operator(OperatorError),
    File(PathBuf, io::Error),
    NotAPlan(PathBuf, serde_json::Error),
    NotFound(String),
    /// The request to be explained makes no sense, or not at this gateway.
    BadInput(String),
}

impl CommandError {
    /// Returns the exit status of the process.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::BadInput(_) => ExitCode::from(2),
            Self::Operator(_) | Self::File(..) | Self::NotAPlan(..) | Self::NotFound(_) => ExitCode::FAILURE,
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Operator(error) => write!(f, "{error}"),
            Self::File(path, error) => write!(f, "{}: {error}", path.display()),
            Self::NotAPlan(path, error) => write!(f, "{} is not a valid plan: {error}", path.display()),
            Self::BadInput(problem) => f.write_str(problem),
            Self::NotFound(request) => write!(f, "no log line names the request {request}"),
        }
    }
}

impl std::error::Error for CommandError {}

impl From<OperatorError> for CommandError {
    fn from(error: OperatorError) -> Self {
        Self::Operator(error)
    }
}

/// The entry to which requests are sent.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    address: SocketAddr,
    token: Option<String>,
}

impl Entry {
    /// Returns the parser of the flags that the subcommands for an entry share.
    pub(crate) fn parser() -> impl Parser<Self> {
        let address = long("entry")
            .env("TARRAGONHILL_ENTRY")
            .help("Admin address of an entry")
            .argument::<SocketAddr>("IP:PORT");
        construct!(Self { address, token(token()) })
    }

    pub(crate) fn client(&self) -> Client {
        Client::new(self.address, self.token.clone())
    }
}

/// Returns the parser of the operator token.
pub(crate) fn token() -> impl Parser<Option<String>> {
    long("token")
        .env("TARRAGONHILL_OPERATOR_TOKEN")
        .help("Operator token, if the entry requires one")
        .argument::<String>("TOKEN")
        .optional()
}

/// Prints a value as indented JSON.
pub(crate) fn print(value: &Value) {
    println!("{value:#}");
}

/// Reads log files, ignoring lines that no daemon has written.
pub(crate) fn read_logs(files: &[PathBuf]) -> Result<Vec<Line>, CommandError> {
    let mut lines = Vec::new();
    for file in files {
        let bytes = fs::read(file).map_err(|error| CommandError::File(file.clone(), error))?;
        let text = String::from_utf8_lossy(&bytes);
        let source: Arc<str> = file.to_string_lossy().into();
        lines.extend(text.lines().filter_map(|line| Line::parse(&source, line)));
    }
    Ok(lines)
}
