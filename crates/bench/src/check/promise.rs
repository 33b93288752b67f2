//! The ten promises of the brief, one checker each, and one planted defect that each must catch.

use std::time::Duration;

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use super::history::{Call, Change, Confirmed, History, Sent};
use crate::{caller::Outcome, sim};

/// "Within seconds", for keys, drains and settings.
const SECONDS: Duration = Duration::from_secs(8);
/// An entry may admit a request this long after its caller sent it.
const RATE_WAIT: f64 = 0.4;

/// What must always hold.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Promise {
    /// No engine memory stays held by a request whose caller is gone.
    MemoryFreed,
    /// Nobody receives two answers to one request.
    OneAnswer,
    /// A request runs only for its key's customer, no endpoint sees the key, and a withdrawn key
    /// stops working within seconds.
    KeyHonoured,
    /// No customer gets more than its rate and burst.
    WithinRate,
    /// A caller gets the whole answer to its own request.
    WholeAnswer,
    /// A refusal that says "not run" is true.
    NotRunTrue,
    /// Filings are at most once.
    AtMostOnce,
    /// A leaving endpoint gets no new work after a few seconds.
    LeavingLeftAlone,
    /// A graceful shutdown cuts no request.
    ShutdownCutsNothing,
    /// An accepted configuration is in force everywhere within seconds and never reverts.
    SettingsStand,
}

impl Promise {
    /// Whether the history breaks the promise; says how.
    pub fn check(self, history: &History) -> Option<String> {
        match self {
            Self::MemoryFreed => memory_freed(history),
            Self::OneAnswer => one_answer(history),
            Self::KeyHonoured => key_honoured(history),
            Self::WithinRate => within_rate(history),
            Self::WholeAnswer => history.calls.iter().find_map(whole_answer),
            Self::NotRunTrue => not_run_true(history),
            Self::AtMostOnce => at_most_once(history),
            Self::LeavingLeftAlone => leaving_left_alone(history),
            Self::ShutdownCutsNothing => shutdown_cuts_nothing(history),
            Self::SettingsStand => settings_stand(history),
        }
    }
}

fn memory_freed(history: &History) -> Option<String> {
    (history.pieces_left > 0)
        .then(|| format!("{} memory pieces are still used at the end", history.pieces_left))
}

fn one_answer(history: &History) -> Option<String> {
    let twice = history.calls.iter().find(|call| call.answers.len() > 1)?;
    Some(format!("{} answers to one request of {}", twice.answers.len(), twice.tenant))
}

fn key_honoured(history: &History) -> Option<String> {
    if history.key_seen {
        return Some("an endpoint has seen a caller's key".into());
    }
    let foreign = history.filings.iter().find_map(|(key, customers)| {
        let owner = key.split('/').next().unwrap_or_default();
        let other = customers.iter().find(|customer| *customer != owner)?;
        Some(format!("filing {key} ran for {other}"))
    });
    foreign.or_else(|| history.confirmed.iter().find_map(|confirmed| used_after(history, confirmed)))
}

fn used_after(history: &History, confirmed: &Confirmed) -> Option<String> {
    let Change::Withdrawn(tenant) = &confirmed.change else { return None };
    let late = history.calls.iter().find(|call| {
        let answered = call.answers.iter().any(|answer| matches!(answer, Outcome::Answered { .. }));
        call.tenant == *tenant && call.began > confirmed.at + SECONDS && answered
    })?;
    Some(format!("{tenant} was served {:?} after its key was withdrawn", late.began - confirmed.at))
}

fn within_rate(history: &History) -> Option<String> {
    history.limits.iter().find_map(|(tenant, (rate, burst))| {
        let allowed = *burst as f64 + *rate as f64 * RATE_WAIT;
        let (mut sum, mut last) = (0.0_f64, 0.0_f64);
        let mut calls: Vec<&Call> = history.calls.iter().filter(|call| call.tenant == *tenant).collect();
        calls.sort_by_key(|call| call.began);
        calls.into_iter().find_map(|call| {
            let at = call.began.as_secs_f64();
            sum = (sum - (at - last) * *rate as f64).max(0.0) + used(call);
            last = at;
            (sum > allowed)
                .then(|| format!("{tenant} was served {sum:.0} tokens at once, allowed {allowed:.0}"))
        })
    })
}

fn used(call: &Call) -> f64 {
    let Sent::Completion(completion) = &call.sent else { return 0.0 };
    let tokens = call.answers.iter().map(|answer| match answer {
        Outcome::Answered { text } => completion.prompt.len().div_ceil(4) + text.split_whitespace().count(),
        Outcome::Broken { .. } | Outcome::Refused(_) | Outcome::Failed(_) | Outcome::Unsent(_) => 0,
    });
    tokens.sum::<usize>() as f64
}

fn whole_answer(call: &Call) -> Option<String> {
    let Sent::Completion(completion) = &call.sent else { return None };
    let expected = sim::output_text(&completion.prompt, completion.max_tokens);
    let wrong = call.answers.iter().find(|answer| match answer {
        Outcome::Answered { text } => *text != expected,
        Outcome::Broken { text, .. } => !expected.starts_with(text.as_str()),
        Outcome::Refused(_) | Outcome::Failed(_) | Outcome::Unsent(_) => false,
    })?;
    Some(format!("{} got a wrong answer to {:.40}...: {wrong:.120?}", call.tenant, completion.prompt))
}

fn not_run_true(history: &History) -> Option<String> {
    let lie = history.calls.iter().find(|call| {
        let says =
            call.answers.iter().any(|answer| matches!(answer, Outcome::Refused(refused) if refused.not_run));
        says && call.request.as_ref().is_some_and(|request| history.executed.contains(request))
    })?;
    Some(format!("request {:?} was refused as not run, but ran", lie.request))
}

fn at_most_once(history: &History) -> Option<String> {
    let (key, customers) = history.filings.iter().find(|(_, customers)| customers.len() > 1)?;
    Some(format!("filing {key} was executed {} times", customers.len()))
}

fn leaving_left_alone(history: &History) -> Option<String> {
    history.confirmed.iter().find_map(|confirmed| {
        let Change::Drained(endpoint) = &confirmed.change else { return None };
        let starts = history.starts.get(endpoint)?;
        let late = starts.iter().find(|at| **at > confirmed.at + SECONDS)?;
        Some(format!("{endpoint} got work {:?} after it was drained", *late - confirmed.at))
    })
}

fn shutdown_cuts_nothing(history: &History) -> Option<String> {
    history.shutdowns.iter().find_map(|shutdown| {
        let cut = history.calls.iter().find(|call| {
            let inside =
                call.entry == shutdown.entry && call.began < shutdown.began && call.ended > shutdown.began;
            let is_cut =
                |end: &Outcome| matches!(end, Outcome::Failed(_) | Outcome::Broken { has_error: false, .. });
            inside && call.answers.iter().any(is_cut)
        })?;
        Some(format!(
            "a request of {} was cut by the shutdown of entry {}: {:?}",
            cut.tenant, cut.entry, cut.answers
        ))
    })
}

fn settings_stand(history: &History) -> Option<String> {
    let reverted = history.versions.iter().find_map(|(process, seen)| {
        let (_, pair) = seen.windows(2).map(|pair| (pair[0].1 > pair[1].1, pair)).find(|(back, _)| *back)?;
        Some(format!("{process} went from version {} back to {}", pair[0].1, pair[1].1))
    });
    reverted.or_else(|| {
        let newest =
            history.confirmed.iter().filter(|c| history.ended > c.at + SECONDS).map(|c| c.version).max()?;
        history.versions.iter().find_map(|(process, seen)| {
            let (at, version) = seen.last()?;
            let behind = *at + Duration::from_secs(1) > history.ended && *version < newest;
            behind.then(|| format!("{process} still has version {version}, accepted was {newest}"))
        })
    })
}
