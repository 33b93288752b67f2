//! Invariants of the router, each with a checker. `check --break` injects a defect that the checker
//! must detect.

use std::time::Duration;

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use super::history::{Call, Change, Confirmation, History, Payload};
use crate::{caller::Outcome, sim};

/// Time within which a withdrawn key, a drain or new settings must be in force everywhere.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum time for which an entry queues a request that lacks rate tokens, plus a margin.
const RATE_WAIT_SECS: f64 = 0.4;

/// Property that must hold in every run.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Invariant {
    /// Engine memory is freed when its request ends or its caller disconnects.
    MemoryFreed,
    /// A request has at most one answer.
    OneAnswer,
    /// A request runs only for its key's customer, no endpoint receives the key, and a withdrawn key
    /// is refused within `PROPAGATION_TIMEOUT`.
    KeyHonoured,
    /// No customer is served more tokens than its rate and burst allow.
    WithinRate,
    /// An answer is complete and correct; a broken stream is a prefix of the correct answer.
    WholeAnswer,
    /// A request refused as not run was not executed.
    NotRunTrue,
    /// A submission is executed at most once.
    AtMostOnce,
    /// A drained endpoint gets no new work after `PROPAGATION_TIMEOUT`.
    LeavingLeftAlone,
    /// A graceful shutdown interrupts no request.
    ShutdownCutsNothing,
    /// Confirmed settings are in force everywhere within `PROPAGATION_TIMEOUT` and never revert.
    SettingsStand,
}

impl Invariant {
    /// Returns a description of the first violation in `history`, or `None`.
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
    (history.pieces_in_use > 0)
        .then(|| format!("{} memory pieces are still in use after all requests ended", history.pieces_in_use))
}

fn one_answer(history: &History) -> Option<String> {
    let repeated = history.calls.iter().find(|call| call.answers.len() > 1)?;
    Some(format!("{} answers to one request of {}", repeated.answers.len(), repeated.customer))
}

fn key_honoured(history: &History) -> Option<String> {
    if history.is_key_exposed {
        return Some("an endpoint received a caller's API key".into());
    }
    let foreign = history.submissions.iter().find_map(|(key, customers)| {
        let owner = key.split('/').next().unwrap_or_default();
        let other = customers.iter().find(|customer| *customer != owner)?;
        Some(format!("submission {key} was executed for {other}"))
    });
    foreign.or_else(|| history.confirmations.iter().find_map(|confirmation| late_use(history, confirmation)))
}

/// Describes a request that was served too long after its key was withdrawn.
fn late_use(history: &History, confirmation: &Confirmation) -> Option<String> {
    let Change::Withdrawn(customer) = &confirmation.change else { return None };
    let late_call = history.calls.iter().find(|call| {
        let is_answered = call.answers.iter().any(|answer| matches!(answer, Outcome::Answered { .. }));
        call.customer == *customer && call.began > confirmation.at + PROPAGATION_TIMEOUT && is_answered
    })?;
    Some(format!("{customer} was served {:?} after its key was withdrawn", late_call.began - confirmation.at))
}

fn within_rate(history: &History) -> Option<String> {
    history.limits.iter().find_map(|(customer, (rate, burst))| {
        let allowed = *burst as f64 + *rate as f64 * RATE_WAIT_SECS;
        let (mut sum, mut last) = (0.0_f64, 0.0_f64);
        let mut calls: Vec<&Call> = history.calls.iter().filter(|call| call.customer == *customer).collect();
        calls.sort_by_key(|call| call.began);
        calls.into_iter().find_map(|call| {
            let at = call.began.as_secs_f64();
            sum = (sum - (at - last) * *rate as f64).max(0.0) + served_tokens(call);
            last = at;
            (sum > allowed)
                .then(|| format!("{customer} was served {sum:.0} tokens in one burst, allowed {allowed:.0}"))
        })
    })
}

fn served_tokens(call: &Call) -> f64 {
    let Payload::Completion(completion) = &call.payload else { return 0.0 };
    let tokens = call.answers.iter().map(|answer| match answer {
        Outcome::Answered { text } => completion.prompt.len().div_ceil(4) + text.split_whitespace().count(),
        Outcome::Broken { .. } | Outcome::Refused(_) | Outcome::Failed(_) | Outcome::Unsent(_) => 0,
    });
    tokens.sum::<usize>() as f64
}

fn whole_answer(call: &Call) -> Option<String> {
    let Payload::Completion(completion) = &call.payload else { return None };
    let expected = sim::output_text(&completion.prompt, completion.max_tokens);
    let wrong = call.answers.iter().find(|answer| match answer {
        Outcome::Answered { text } => *text != expected,
        Outcome::Broken { text, .. } => !expected.starts_with(text.as_str()),
        Outcome::Refused(_) | Outcome::Failed(_) | Outcome::Unsent(_) => false,
    })?;
    Some(format!("{} received a wrong answer to {:.40}...: {wrong:.120?}", call.customer, completion.prompt))
}

fn not_run_true(history: &History) -> Option<String> {
    let false_refusal = history.calls.iter().find(|call| {
        let is_refused_as_not_run =
            call.answers.iter().any(|answer| matches!(answer, Outcome::Refused(refused) if refused.not_run));
        is_refused_as_not_run
            && call.request.as_ref().is_some_and(|request| history.executed.contains(request))
    })?;
    Some(format!("request {:?} was refused as not run but was executed", false_refusal.request))
}

fn at_most_once(history: &History) -> Option<String> {
    let (key, customers) = history.submissions.iter().find(|(_, customers)| customers.len() > 1)?;
    Some(format!("submission {key} was executed {} times", customers.len()))
}

fn leaving_left_alone(history: &History) -> Option<String> {
    history.confirmations.iter().find_map(|confirmation| {
        let Change::Drained(endpoint) = &confirmation.change else { return None };
        let starts = history.starts.get(endpoint)?;
        let late_start = starts.iter().find(|at| **at > confirmation.at + PROPAGATION_TIMEOUT)?;
        Some(format!("{endpoint} received work {:?} after it was drained", *late_start - confirmation.at))
    })
}

fn shutdown_cuts_nothing(history: &History) -> Option<String> {
    history.shutdowns.iter().find_map(|shutdown| {
        let cut = history.calls.iter().find(|call| {
            let spans_shutdown =
                call.entry == shutdown.entry && call.began < shutdown.began && call.ended > shutdown.began;
            let is_cut =
                |end: &Outcome| matches!(end, Outcome::Failed(_) | Outcome::Broken { has_error: false, .. });
            spans_shutdown && call.answers.iter().any(is_cut)
        })?;
        Some(format!(
            "a request of {} was interrupted by the shutdown of entry {}: {:?}",
            cut.customer, cut.entry, cut.answers
        ))
    })
}

fn settings_stand(history: &History) -> Option<String> {
    let reverted = history.versions.iter().find_map(|(process, samples)| {
        let (_, pair) =
            samples.windows(2).map(|pair| (pair[0].1 > pair[1].1, pair)).find(|(is_lower, _)| *is_lower)?;
        Some(format!("{process} went from version {} back to {}", pair[0].1, pair[1].1))
    });
    reverted.or_else(|| {
        let newest = history
            .confirmations
            .iter()
            .filter(|confirmation| history.ended > confirmation.at + PROPAGATION_TIMEOUT)
            .map(|confirmation| confirmation.version)
            .max()?;
        history.versions.iter().find_map(|(process, samples)| {
            let (at, version) = samples.last()?;
            let is_behind = *at + Duration::from_secs(1) > history.ended && *version < newest;
            is_behind
                .then(|| format!("{process} still has version {version}, but version {newest} was confirmed"))
        })
    })
}
