//! The daemon's binary: reads settings, starts the role, waits for signals.

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

/// Exit code for settings that cannot be used.
const BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let options = config::options().run();
    let check = options.is_check();
    let environment = env::vars_os().filter_map(|(name, _)| name.into_string().ok());
    let settings = config::check_environment(environment).and_then(|()| Settings::try_from(options));
    let settings = match settings {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("tarragonhilld: {error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    let logs = match logging::init(settings.common().log) {
        Ok(logs) => logs,
        Err(error) => {
            eprintln!("tarragonhilld: logs cannot be set up: {error}");
            return ExitCode::FAILURE;
        }
    };
    let ended = task::block_on(run(settings));
    logs.close();
    match ended {
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

/// Completes at the first SIGTERM or SIGINT; the second ends the process at once.
fn signals() -> std::io::Result<async_channel::Receiver<()>> {
    let (sender, receiver) = async_channel::bounded(1);
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    std::thread::Builder::new().name("signals".into()).spawn(move || {
        let mut stops = 0;
        for signal in signals.forever() {
            if signal == SIGHUP {
                // Flags and variables of a process never change; a new file takes a new start.
                spdlog::info!("reload asked for; settings are read at the start only");
                continue;
            }
            stops += 1;
            if stops > 1 {
                // Nothing but the last log lines is worth waiting for.
                std::thread::sleep(Duration::from_millis(1));
                std::process::exit(1);
            }
            let _ = sender.try_send(());
        }
    })?;
    Ok(receiver)
}
