//! `soak`: disturbs gateways, endpoints and a store that run as separate processes, and checks what endpoints got.

use std::{env, io, path::PathBuf, time::Duration};

use bpaf::Bpaf;
use serde_json::json;
use strum::IntoEnumIterator as _;
use tarragonhill_core::gateway::budget::Rule;

use crate::soak::{History, Kind, Plan, Programs, Service, Shape, run_all};

/// Options of `soak`.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// First seed
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// Number of seeds
    #[bpaf(long, argument("N"), fallback(50), display_fallback)]
    seeds: u64,
    /// Number of concurrent runs
    #[bpaf(long, argument("N"), fallback(6), display_fallback)]
    at_once: usize,
    /// Time in which disturbances begin, seconds
    #[bpaf(long, argument("S"), fallback(40), display_fallback)]
    seconds: u64,
    /// Number of disturbances
    #[bpaf(long, argument("N"), fallback(12), display_fallback)]
    events: usize,
    /// Number of gateways
    #[bpaf(long, argument("N"), fallback(4), display_fallback)]
    gateways: usize,
    /// Retries allowed for each request
    #[bpaf(long, argument("R"), fallback(0.2), display_fallback)]
    retry_ratio: f64,
    /// Further retries allowed per window
    #[bpaf(long, argument("N"), fallback(52.0), display_fallback)]
    retry_slack: f64,
    /// Length of the window, seconds
    #[bpaf(long, argument("S"), fallback(10.0), display_fallback)]
    retry_window_s: f64,
    /// Engines of two software versions, some of which answer without a length, and callers that take up broken streams
    mixed: bool,
    /// Number of parts of prompts that crash decode engines
    #[bpaf(long, argument("N"), fallback(0), display_fallback)]
    crashing_parts: usize,
    /// An operator that withdraws keys all the time, and a customer above its limit
    operator: bool,
    /// Kind of disturbance; may be repeated; all kinds if there is none
    #[bpaf(long, argument("KIND"))]
    kind: Vec<Kind>,
    /// The tarragonhilld binary [default: the one beside this program]
    #[bpaf(long, argument("FILE"))]
    daemon: Option<PathBuf>,
    /// Directory for the gateways' logs
    #[bpaf(long, argument("DIR"), fallback(env::temp_dir().join("tarragonhill-soak")))]
    logs: PathBuf,
}

/// Runs all seeds and prints a JSON line for each. Returns true if no rule was broken.
pub fn execute(options: Options) -> io::Result<bool> {
    let mut programs = Programs::beside(&env::current_exe()?);
    programs.daemon = options.daemon.unwrap_or(programs.daemon);
    let shape = Shape {
        gateways: options.gateways,
        duration: Duration::from_secs(options.seconds),
        events: options.events,
        retries: Rule {
            ratio: options.retry_ratio,
            slack: options.retry_slack,
            window: Duration::from_secs_f64(options.retry_window_s),
        },
        is_mixed: options.mixed,
        crashing_parts: options.crashing_parts,
        has_operator: options.operator,
    };
    let seeds: Vec<u64> = (options.seed..options.seed.saturating_add(options.seeds)).collect();
    let mut broken = 0;
    for batch in seeds.chunks(options.at_once.max(1)) {
        let plans = batch.iter().map(|seed| Plan::random(*seed, shape, &options.kind)).collect();
        for history in run_all(&programs, shape, plans, &options.logs)? {
            history.save()?;
            broken += usize::from(!print_history(&history));
        }
    }
    println!("{}", json!({"seeds": seeds.len(), "broken": broken}));
    Ok(broken == 0)
}

/// Returns whether the rules were kept.
fn print_history(history: &History) -> bool {
    let events: Vec<String> = history
        .plan
        .events
        .iter()
        .map(|event| {
            format!(
                "{:.1}+{:.1} {} {}",
                event.at.as_secs_f32(),
                event.lasts.as_secs_f32(),
                event.kind,
                event.target
            )
        })
        .collect();
    let mut line = json!({
        "seed": history.plan.seed, "succeeded": history.succeeded, "refused": history.refused,
        "unanswered": history.unanswered, "logs": history.logs, "events": events,
    });
    let mut is_kept = true;
    for service in Service::iter() {
        let window = history.tightest(service);
        is_kept &= window.is_none_or(|window| window.room() >= 0.0);
        line[service.to_string()] = json!({
            "sent": history.sent(service), "retries": history.retries(service), "charged": history.charged(service),
            "arrived": window.map(|window| window.arrived), "requests": window.map(|window| window.sent),
            "allowed": window.map(|window| window.allowed),
        });
    }
    if !history.streams.is_empty() {
        let faults = history.stream_faults();
        let shares = history.stream_shares();
        is_kept &= faults.is_empty() && shares.is_none_or(|(began, went_on)| went_on >= began / 2.0);
        line["streams"] = json!({
            "sent": history.streams.len(), "whole": history.streams.iter().filter(|stream| stream.is_whole()).count(),
            "resumes": history.streams.iter().map(|stream| stream.resumes).sum::<u32>(),
            "began": shares.map(|(began, _)| began), "went_on": shares.map(|(_, went_on)| went_on), "faults": faults,
        });
    }
    if let Some(figures) = history.crashes.figures() {
        let faults = figures.faults();
        is_kept &= faults.is_empty();
        line["parts"] = json!({
            "crashes": figures.crashes, "late": figures.late, "sound": figures.sound, "skewed": figures.skewed,
            "faults": faults,
        });
    }
    if history.changes.probes() > 0 {
        let faults = history.changes.faults();
        is_kept &= faults.is_empty();
        let (refused, served) = history.changes.decided();
        line["changes"] = json!({
            "returns": history.changes.returns, "probes": history.changes.probes(), "had_to_be_refused": refused,
            "had_to_be_served": served, "limited": history.changes.most_used().next(), "faults": faults,
        });
    }
    line["kept"] = is_kept.into();
    println!("{line}");
    is_kept
}
