//! The daemon's binary: reads settings, starts the role, waits for signals.

use std::{env, process::ExitCode, time::Duration};

use async_std::task;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use tarragonhill_core::Clock;
use tarragonhill_daemon::{
    agent::Agent,
    config::{self, Settings},
    entry::Entry,
    logging,
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
    if let Err(error) = logging::init(settings.common().log) {
        eprintln!("tarragonhilld: logs cannot be set up: {error}");
        return ExitCode::FAILURE;
    }
    match task::block_on(run(settings)) {
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
    }
    Ok(())
}

/// Completes at the first SIGTERM or SIGINT; the second ends the process at once.
fn signals() -> std::io::Result<async_channel::Receiver<()>> {
    let (sender, receiver) = async_channel::bounded(1);
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    std::thread::Builder::new().name("signals".into()).spawn(move || {
        let mut caught = signals.forever();
        caught.next();
        let _ = sender.try_send(());
        caught.next();
        // Logs are flushed line by line; nothing else is worth waiting for.
        std::thread::sleep(Duration::from_millis(1));
        std::process::exit(1);
    })?;
    Ok(receiver)
}
