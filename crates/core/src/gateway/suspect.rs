//! Quarantine of requests, and of parts of prompts, that crash endpoints.
//!
//! A request that ran at an endpoint when it crashed may be the cause, and so may each part of its prompt that other requests
//! share. Replicas exchange this evidence in digests and keep it in the store. A suspect that occurs in several crashes,
//! which no other suspect explains, is held off: requests with it are refused as not run. A suspect is cleared at all replicas by
//! a response that is complete and that its endpoint outlives. A response that has only begun says nothing: how much of it
//! gets out before the process ends is chance.
//!
//! One replica at a time tries a request with a suspect that is held off, so that a suspect without guilt is cleared soon. Each
//! trial that ends in a crash delays the next one.

mod blame;
mod delay;
mod evidence;
mod trial;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use xxhash_rust::xxh3::Xxh3;

pub use self::evidence::{Crash, Report, Run, Sighting};
use self::{
    evidence::{Evidence, Record, Stamp, age, stamp},
    trial::Demand,
};
use super::directory::Endpoint;
use crate::clock::Time;

/// How long the crashes of a suspect that is not held off are remembered.
const CRASH_TTL: Duration = Duration::from_secs(120);
/// The same for suspects that are held off, since their last crash.
const HELD_TTL: Duration = Duration::from_secs(2 * 3_600);
/// Age up to which crashes are reported. Shorter than [`HELD_TTL`], so that replicas do not keep evidence alive by
/// reporting it to each other.
const REPORT_TTL: Duration = Duration::from_secs(3_600);
/// How long a suspect that was cleared is reported.
const CLEARANCE_TTL: Duration = Duration::from_secs(10);
/// Time after a change in which all suspects are reported, since digests may be lost.
const CHANGE_TTL: Duration = Duration::from_secs(1);
/// Time after a change in which peers should learn of it without delay.
const URGENCY: Duration = Duration::from_millis(150);
/// Longest time from the end of a run to the detection of a crash that counts against it.
const CRASH_WINDOW: Duration = Duration::from_secs(5);
/// Largest factor on the settling time for requests with several suspects that are held off.
const MAX_SETTLING_FACTOR: u32 = 3;
/// Maximum number of suspects that a replica tracks. Beyond it, those with the fewest and oldest crashes are dropped.
const MAX_SUSPECTS: usize = 1_000;
/// Maximum number of suspects in a digest, and in a row of the store.
const MAX_REPORTS: usize = 128;
/// Maximum number of suspects whose last completion is remembered.
const MAX_COMPLETED: usize = 20_000;

/// What may crash endpoints: a whole request, or a part of prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Suspect(pub u64);

impl Suspect {
    /// Returns the suspect for all requests that are equal in these fields.
    pub fn request<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hash = Xxh3::new();
        for field in fields {
            hash.update(&(field.len() as u64).to_le_bytes());
            hash.update(field);
        }
        Self(hash.digest())
    }

    /// Returns the suspect for all prompts of a service with this part.
    pub fn part(service: &str, name: &str) -> Self {
        Self::request(["part", service, name].map(str::as_bytes))
    }
}

/// Why a run ended whose endpoint may have crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// It was interrupted.
    Interrupted(Run),
    /// Its response was complete, or seemed so: a crash may also end a response that states no length.
    Completed,
}

/// The end of a run on an endpoint, which may have crashed.
#[derive(Clone, Debug)]
struct Ended {
    at: Time,
    crash: Crash,
    suspects: Arc<[Suspect]>,
    ending: Ending,
    is_trial: bool,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is held against it.
    Free,
    /// It may run as a trial.
    Trial,
    /// It is refused; another one may be tried after this time.
    Held(Duration),
}

/// What counts against a suspect, for logs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// Number of crashes, of the newest ones.
    pub crashes: usize,
    /// Number of them that ended a trial.
    pub failed_trials: usize,
    /// Time since the last one.
    pub since_last: Duration,
}

/// The suspects that a replica knows.
#[derive(Clone, Debug)]
pub struct Suspects {
    own: Arc<str>,
    records: BTreeMap<Suspect, Record>,
    /// When requests with a suspect were last completed here.
    completed: BTreeMap<Suspect, Stamp>,
    /// Runs that ended recently, by endpoint, which is not known to have outlived them.
    ended: BTreeMap<Arc<str>, Vec<Ended>>,
    /// Suspects that are held off; follows from `records`.
    held: BTreeSet<Suspect>,
    /// Increases with each change of `held`.
    generation: u64,
    /// Callers' requests for suspects that are held off.
    demand: Demand,
    changed_at: Option<Time>,
    /// Whether this replica has found evidence since its start.
    has_found: bool,
    /// Whether the store lacks evidence that this replica knows and has to write.
    is_unsaved: bool,
}

impl Suspects {
    /// Creates an empty list; `own` is the name of this replica.
    pub fn new(own: Arc<str>) -> Self {
        Self {
            own,
            records: BTreeMap::new(),
            completed: BTreeMap::new(),
            ended: BTreeMap::new(),
            held: BTreeSet::new(),
            generation: 0,
            demand: Demand::default(),
            changed_at: None,
            has_found: false,
            is_unsaved: false,
        }
    }

    /// Records that a run was interrupted on an endpoint.
    pub fn record_interrupted(
        &mut self,
        now: Time,
        endpoint: &Endpoint,
        suspects: &Arc<[Suspect]>,
        run: Run,
        is_trial: bool,
    ) {
        self.record_ended(now, endpoint, suspects, Ending::Interrupted(run), is_trial);
    }

    /// Records that a run from the beginning of a request, which was sent at `sent`, has brought its whole response. That clears
    /// its suspects unless the endpoint turns out to have crashed.
    pub fn record_completed(
        &mut self,
        now: Time,
        endpoint: &Endpoint,
        suspects: &Arc<[Suspect]>,
        sent: Time,
        is_trial: bool,
    ) {
        self.take_outlived(now, &endpoint.id, |ended| ended.ending == Ending::Completed && ended.at <= sent);
        self.record_ended(now, endpoint, suspects, Ending::Completed, is_trial);
    }

    fn record_ended(
        &mut self,
        now: Time,
        endpoint: &Endpoint,
        suspects: &Arc<[Suspect]>,
        ending: Ending,
        is_trial: bool,
    ) {
        let (crash, suspects) = (Crash::of(endpoint), suspects.clone());
        let ended = Ended { at: now, crash, suspects, ending, is_trial };
        self.ended.entry(endpoint.id.clone()).or_default().push(ended);
    }

    /// Records that an endpoint had not crashed at `at`, so that it has outlived the runs that ended there until then.
    pub fn record_alive(&mut self, now: Time, endpoint: &str, at: Time) {
        self.take_outlived(now, endpoint, |ended| ended.at <= at);
    }

    /// Takes the runs that an endpoint has outlived off its list, and clears the suspects of those that were completed.
    fn take_outlived(&mut self, now: Time, endpoint: &str, is_outlived: impl Fn(&Ended) -> bool) {
        let Some(ended) = self.ended.get_mut(endpoint) else { return };
        let outlived: Vec<Ended> = ended.extract_if(.., |ended| is_outlived(ended)).collect();
        if ended.is_empty() {
            self.ended.remove(endpoint);
        }
        self.clear_completed(now, outlived);
    }

    /// Records that an endpoint that was leaving is gone, which says nothing against what was completed there.
    pub fn record_left(&mut self, now: Time, endpoint: &str) {
        self.take_outlived(now, endpoint, |ended| ended.ending == Ending::Completed);
        self.record_crash(now, endpoint);
    }

    /// Records that an endpoint has crashed: it is unreachable, removed or restarted. Returns the number of suspects.
    pub fn record_crash(&mut self, now: Time, endpoint: &str) -> usize {
        let ended = self.ended.remove(endpoint).unwrap_or_default();
        let (recent, earlier): (Vec<Ended>, Vec<Ended>) =
            ended.into_iter().partition(|ended| now.since(ended.at) < CRASH_WINDOW);
        self.clear_completed(now, earlier);
        let (mut count, mut is_serious) = (0, false);
        for Ended { at, crash, suspects, ending, is_trial } in recent {
            let run = match ending {
                Ending::Interrupted(run) => run,
                Ending::Completed => Run::Generating,
            };
            count += suspects.len();
            for suspect in &*suspects {
                // What else a trial contains is not tried.
                let is_trial = is_trial && self.held.contains(suspect);
                let completed = self.completed.get(suspect).copied();
                let record = self.records.entry(*suspect).or_insert_with(|| Record::new(completed));
                record.add(crash, Evidence { at: stamp(at), run, is_trial, is_own: true });
                is_serious |= record.is_serious();
            }
        }
        if is_serious {
            self.mark_unsaved();
        }
        if count > 0 {
            self.drop_least();
            self.update(now);
        }
        count
    }

    /// Clears the suspects of runs that were completed on endpoints that have outlived them.
    fn clear_completed(&mut self, now: Time, outlived: Vec<Ended>) {
        let (mut is_changed, mut is_serious) = (false, false);
        for ended in outlived.into_iter().filter(|ended| ended.ending == Ending::Completed) {
            let at = stamp(ended.at);
            for suspect in &*ended.suspects {
                self.completed.insert(*suspect, at);
                let Some(record) = self.records.get_mut(suspect) else { continue };
                let was_serious = record.is_serious();
                if record.clear(at) {
                    (is_changed, is_serious) = (true, is_serious || was_serious);
                }
            }
        }
        if self.completed.len() > MAX_COMPLETED {
            self.drop_oldest_completed();
        }
        if is_serious {
            self.mark_unsaved();
            self.update(now);
        } else if is_changed {
            // Peers learn of it with the next full digest.
            self.update_held();
        }
    }

    /// Records that the store has lost what was written there.
    pub fn mark_lost(&mut self) {
        self.is_unsaved = self.has_found;
    }

    fn mark_unsaved(&mut self) {
        (self.has_found, self.is_unsaved) = (true, true);
    }

    fn drop_oldest_completed(&mut self) {
        let mut times: Vec<Stamp> = self.completed.values().copied().collect();
        let (_, limit, _) = times.select_nth_unstable(MAX_COMPLETED / 10);
        let limit = *limit;
        self.completed.retain(|_, at| *at > limit);
    }

    /// Drops suspects that are too many.
    fn drop_least(&mut self) {
        if self.records.len() <= MAX_SUSPECTS {
            return;
        }
        let mut ranked: Vec<(usize, Option<Stamp>, Suspect)> =
            self.records.iter().map(|(suspect, record)| record.rank(*suspect)).collect();
        ranked.sort_unstable();
        for (_, _, suspect) in &ranked[..ranked.len() - MAX_SUSPECTS] {
            self.records.remove(suspect);
        }
    }

    /// Recomputes which suspects are held off, after a change of the evidence that peers should learn of soon.
    fn update(&mut self, now: Time) {
        self.changed_at = Some(now);
        self.update_held();
    }

    /// Recomputes which suspects are held off.
    fn update_held(&mut self) {
        let held = blame::held(&self.records);
        if held != self.held {
            self.held = held;
            self.generation += 1;
        }
    }

    /// Drops old evidence; must be called several times a second.
    pub fn expire(&mut self, now: Time) {
        self.demand.expire(now, &self.held);
        let mut outlived = Vec::new();
        self.ended.retain(|_, ended| {
            outlived.extend(ended.extract_if(.., |ended| now.since(ended.at) >= CRASH_WINDOW));
            !ended.is_empty()
        });
        self.clear_completed(now, outlived);
        let mut is_changed = false;
        for (suspect, record) in &mut self.records {
            let ttl = if self.held.contains(suspect) { HELD_TTL } else { CRASH_TTL };
            is_changed |= record.expire(now, ttl);
        }
        self.records.retain(|_, record| record.is_of_use(now, CLEARANCE_TTL));
        if is_changed {
            self.update(now);
        }
    }

    /// Returns the suspects that are held off.
    pub fn held(&self) -> &BTreeSet<Suspect> {
        &self.held
    }

    /// Returns the generation of [`Self::held`], by which a copy of it tells whether it is outdated.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns whether any of these suspects is held off.
    pub fn holds(&self, suspects: &[Suspect]) -> bool {
        !self.held.is_empty() && suspects.iter().any(|suspect| self.held.contains(suspect))
    }

    /// Decides about a request. `settling_time` is the time in which replicas learn of each other's demand.
    pub fn verdict(&mut self, now: Time, suspects: &[Suspect], settling_time: Duration) -> Verdict {
        let held: Vec<Suspect> =
            suspects.iter().filter(|suspect| self.held.contains(suspect)).copied().collect();
        if held.is_empty() {
            return Verdict::Free;
        }
        // A request with fewer suspects tells more, so it gets the trial if there is one.
        let settling_time = settling_time * (held.len() as u32).min(MAX_SETTLING_FACTOR);
        let turn = self.demand.ask(now, &held, &self.own, settling_time);
        let records = held.iter().filter_map(|suspect| self.records.get(suspect));
        let due = records.map(|record| record.trial_wait(now)).max().unwrap_or_default();
        match turn.max(due) {
            Duration::ZERO => Verdict::Trial,
            wait => Verdict::Held(wait),
        }
    }

    /// Records that a request runs as a trial of its suspects that are held off.
    pub fn begin_trial(&mut self, now: Time, suspects: &[Suspect]) {
        for suspect in suspects.iter().filter(|suspect| self.held.contains(suspect)) {
            self.demand.begin_trial(now, *suspect);
        }
        self.changed_at = Some(now);
    }

    /// Records that a trial has ended.
    pub fn end_trial(&mut self, now: Time, suspects: &[Suspect]) {
        suspects.iter().for_each(|suspect| self.demand.end_trial(now, *suspect));
        self.changed_at = Some(now);
    }

    /// Returns whether peers should learn of a change soon.
    pub fn is_urgent(&self, now: Time) -> bool {
        self.has_changed_within(now, URGENCY)
    }

    fn has_changed_within(&self, now: Time, span: Duration) -> bool {
        self.changed_at.is_some_and(|at| now.since(at) < span)
    }

    /// Returns what this replica knows, for a digest: the suspects that are asked for, and all of them after a change
    /// and if `is_full`.
    pub fn report(&self, now: Time, is_full: bool) -> Vec<Report> {
        let is_full = is_full || self.has_changed_within(now, CHANGE_TTL);
        let is_reported = |suspect: &Suspect| is_full || self.demand.is_wanted(now, *suspect);
        // Those that noticed the crashes of a neighbour report them; what is held off has to outlast them.
        self.reports(now, is_reported, |suspect| !self.held.contains(suspect))
    }

    fn reports(
        &self,
        now: Time,
        is_reported: impl Fn(&Suspect) -> bool,
        is_own_only: impl Fn(&Suspect) -> bool,
    ) -> Vec<Report> {
        let known = self.records.iter().filter(|(suspect, _)| is_reported(suspect));
        let mut reports: Vec<Report> = known
            .map(|(suspect, record)| Report {
                is_wanted: self.demand.is_wanted(now, *suspect),
                is_trying: self.demand.is_trying(*suspect),
                // Not what peers have reported: each hop would make it seem later.
                completed: self.completed.get(suspect).map(|at| age(now, *at)),
                ..record.report(now, *suspect, REPORT_TTL, is_own_only(suspect))
            })
            .filter(|report| !report.is_empty())
            .collect();
        reports.sort_by_key(|report| std::cmp::Reverse(report.rank()));
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// Returns what this replica knows if it has found evidence that is not in the store yet.
    pub fn take_unsaved(&mut self, now: Time) -> Option<Vec<Report>> {
        std::mem::take(&mut self.is_unsaved).then(|| self.reports(now, |_| true, |_| false))
    }

    /// Applies the reports of a peer.
    pub fn apply_peer(&mut self, now: Time, peer: &Arc<str>, reports: &[Report]) {
        self.apply_reports(now, reports);
        self.demand.apply(now, peer, reports);
    }

    /// Applies what replicas have written to the store.
    pub fn apply_stored(&mut self, now: Time, reports: &[Report]) {
        // This replica may be about to replace a row that an earlier process wrote.
        self.is_unsaved |= self.apply_reports(now, reports) && self.has_found;
    }

    /// Applies reports; returns whether they changed the evidence.
    fn apply_reports(&mut self, now: Time, reports: &[Report]) -> bool {
        let mut is_changed = false;
        for report in reports {
            let completed = self.completed.get(&report.suspect).copied();
            let record = self.records.entry(report.suspect).or_insert_with(|| Record::new(completed));
            is_changed |= record.merge(now, report);
        }
        if is_changed {
            self.drop_least();
            self.update(now);
        }
        is_changed
    }

    /// Forgets the demand of a peer.
    pub fn remove_peer(&mut self, peer: &str) {
        self.demand.remove_peer(peer);
    }

    /// Summarizes what counts against a suspect.
    pub fn summary(&self, now: Time, suspect: Suspect) -> Summary {
        let Some(record) = self.records.get(&suspect) else { return Summary::default() };
        let last_crash = record.last_crash();
        Summary {
            crashes: record.crashes.len(),
            failed_trials: record.failed_trials(),
            since_last: last_crash.map_or(Duration::ZERO, |at| age(now, at)),
        }
    }
}
