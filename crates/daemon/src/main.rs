//! The `tarragonhilld` binary: reads the settings, starts the selected role and stops it on a signal.

use std::{env, process::ExitCode, time::Duration};

use async_std::task;
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};
use tarragonhill_core::Clock;
use tarragonhill_daemon::{
    agent::Agent,
    config::{self, Settings},
    entry::Entry,
    gateway, logging,
};

/// Exit code for invalid settings.
const INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let options = config::options().run();
    let check = options.is_check();
    let environment = env::vars_os().filter_map(|(name, _)| name.into_string().ok());
    let settings = config::check_environment(environment).and_then(|()| Settings::try_from(options));
    let settings = match settings {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("tarragonhilld: {error}");
            return ExitCode::from(INVALID_SETTINGS);
        }
    };
    if check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    let logs = match logging::init(settings.common().log) {
        Ok(logs) => logs,
        Err(error) => {
            eprintln!("tarragonhilld: cannot initialize logging: {error}");
            return ExitCode::FAILURE;
        }
    };
    let result = task::block_on(run(settings));
    logs.close();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tarragonhilld: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: Settings) -> Result<(), tarragonhill_daemon::StartError> {
    let signals = signals().map_err(tarragonhill_daemon::StartError::Thread)?;
    match settings {
        Settings::Entry(settings) => {
            let entry = Entry::start(*settings, Clock::runtime()).await?;
            let _ = signals.recv().await;
            entry.shutdown().await;
        }
        Settings::Agent(settings) => {
            let agent = Agent::start(settings, Clock::runtime()).await?;
            let _ = signals.recv().await;
            agent.shutdown().await;
        }
        Settings::Gateway(settings) => gateway::run(settings, Clock::runtime(), signals).await?,
    }
    Ok(())
}

/// Returns a channel that receives a message at the first SIGTERM or SIGINT. A second signal exits the
/// process without a graceful shutdown.
fn signals() -> std::io::Result<async_channel::Receiver<()>> {
    let (sender, receiver) = async_channel::bounded(1);
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    std::thread::Builder::new().name("signals".into()).spawn(move || {
        let mut stop_signals = 0;
        for signal in signals.forever() {
            if signal == SIGHUP {
                // Flags and environment variables cannot change while the process runs.
                spdlog::info!("ignoring SIGHUP: settings are read only at startup");
                continue;
            }
            stop_signals += 1;
            if stop_signals > 1 {
                // Lets the log thread write its last lines.
                std::thread::sleep(Duration::from_millis(1));
                std::process::exit(1);
            }
            let _ = sender.try_send(());
        }
    })?;
    Ok(receiver)
}
