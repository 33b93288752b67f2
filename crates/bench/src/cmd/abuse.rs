//! `abuse`: plays clients that do not behave against a gateway, beside ordinary callers.

use std::{env, io, path::PathBuf, time::Duration};

use bpaf::Bpaf;
use strum::IntoEnumIterator as _;

use crate::{
    abuse::{
        Moment, Plan,
        client::{Attack, Door, Kind},
        play_all,
    },
    soak::Programs,
};

/// How long ordinary callers wait; between the deadlines of calls and of streams.
const PATIENCE: Duration = Duration::from_secs(5);

/// Options of `abuse`.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// Seed of what the clients choose
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// Duration of each run, seconds
    #[bpaf(long, argument("S"), fallback(20), display_fallback)]
    seconds: u64,
    /// Number of concurrent runs
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    at_once: usize,
    /// What happens to the gateway: calm, start, shutdown or store-away
    #[bpaf(long, argument("MOMENT"), fallback(Moment::Calm), display_fallback)]
    moment: Moment,
    /// What the clients do; may be repeated; all kinds if there is none
    #[bpaf(long, argument("KIND"))]
    kind: Vec<Kind>,
    /// Where they do it; may be repeated; all doors if there is none
    #[bpaf(long, argument("DOOR"))]
    door: Vec<Door>,
    /// Play each kind beside the next one
    pairs: bool,
    /// The tarragonhilld binary [default: the one beside this program]
    #[bpaf(long, argument("FILE"))]
    daemon: Option<PathBuf>,
    /// Directory for the gateways' logs
    #[bpaf(long, argument("DIR"), fallback(env::temp_dir().join("tarragonhill-abuse")))]
    logs: PathBuf,
}

/// Plays all runs and prints what was seen. Returns true if nothing was broken.
pub fn execute(options: Options) -> io::Result<bool> {
    let mut programs = Programs::beside(&env::current_exe()?);
    programs.daemon = options.daemon.unwrap_or(programs.daemon);
    let kinds = if options.kind.is_empty() { Kind::iter().collect() } else { options.kind };
    let doors = if options.door.is_empty() { Door::iter().collect() } else { options.door };
    let lasts = Duration::from_secs(options.seconds);
    let attack =
        |kind: Kind, door| Attack { kind, door, connections: kind.connections(), seed: options.seed };
    let mut plans = vec![Plan { moment: options.moment, attacks: Vec::new(), lasts, patience: PATIENCE }];
    for (index, kind) in kinds.iter().enumerate() {
        for door in &doors {
            let mut attacks = vec![attack(*kind, *door)];
            if options.pairs {
                attacks.push(attack(kinds[(index + 1) % kinds.len()], *door));
            }
            plans.push(Plan { moment: options.moment, attacks, lasts, patience: PATIENCE });
        }
    }
    let outcomes = play_all(&programs, plans, options.at_once, &options.logs).map_err(io::Error::other)?;
    let calm = outcomes[0].ordinary.share();
    let mut broken = 0;
    for outcome in &outcomes {
        let faults = outcome.all_faults(calm);
        if !faults.is_empty() {
            broken += 1;
            println!("{}: {faults:#?}", outcome.plan);
        }
    }
    println!("{} runs, {broken} broken", outcomes.len());
    Ok(broken == 0)
}
