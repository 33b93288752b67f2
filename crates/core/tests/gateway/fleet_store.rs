//! A fleet whose store comes back from copies, while replicas are cut off, restarted and ended.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use quickcheck::{Arbitrary, Gen, QuickCheck};
use tarragonhill_core::gateway::{
    catalog::{Catalog, Limits},
    directory::{Endpoint, Row, Stage},
    evacuation::{self, Change, Report},
    position::Position,
    state::{Listing, State},
};

use crate::{
    at, endpoint,
    fleet::{DAY_MS, Fleet, Plan, Trouble},
};

const STEP_MS: u64 = 100;
/// Interval at which a replica reads the store.
const READ_INTERVAL_MS: u64 = 200;
/// Time in which a change is in force at a replica in touch.
const APPLY_MS: u64 = 3_000;
/// Time after a return in which the operator writes its rows again.
const OPERATOR_DELAY_MS: u64 = 300;
/// Time after a return in which endpoints write their rows again.
const ENDPOINTS_DELAY_MS: u64 = 2_000;
/// Time after a return in which the store drops rows of endpoints that do not write.
const LAPSE_MS: u64 = 3_600;
/// Time for which evacuations of an earlier era may stay in force.
const FORMER_MS: u64 = 10_000;
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const ENDPOINTS: [&str; 4] = ["i-0", "i-1", "i-2", "i-3"];

/// What the operator or an endpoint does.
#[derive(Clone, Copy, Debug)]
enum Action {
    Configure,
    Toggle(usize),
    /// Registers an endpoint, or makes it leave.
    Move(usize),
    /// The store comes back from a copy of this age.
    Return {
        age_ms: u64,
    },
}

impl Arbitrary for Action {
    fn arbitrary(random: &mut Gen) -> Self {
        let index = usize::arbitrary(random);
        match u8::arbitrary(random) % 10 {
            0..4 => Self::Configure,
            4..6 => Self::Toggle(index % ZONES.len()),
            6..8 => Self::Move(index % ENDPOINTS.len()),
            _ => Self::Return { age_ms: 500 + index as u64 % 10_000 },
        }
    }
}

#[derive(Clone, Debug)]
struct Day {
    plan: Plan,
    actions: Vec<(u64, Action)>,
    /// Whether replicas that are cut off from their peers cannot read the store either.
    cuts_store: bool,
}

impl Arbitrary for Day {
    fn arbitrary(random: &mut Gen) -> Self {
        let mut actions: Vec<(u64, Action)> = (0..12 + u8::arbitrary(random) % 20)
            .map(|_| (u64::arbitrary(random) % DAY_MS / STEP_MS * STEP_MS, Action::arbitrary(random)))
            .collect();
        actions.sort_by_key(|(at_ms, _)| *at_ms);
        Self { plan: Plan::arbitrary(random), actions, cuts_store: bool::arbitrary(random) }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let day = self.clone();
        let without = move |index: usize| {
            let mut shorter = day.clone();
            shorter.actions.remove(index);
            shorter
        };
        let (actions, cuts_store) = (self.actions.clone(), self.cuts_store);
        let calmer = self.plan.shrink().map(move |plan| Self { plan, actions: actions.clone(), cuts_store });
        Box::new((0..self.actions.len()).map(without).chain(calmer))
    }
}

/// A row with its version; `None` in place of a removed one.
type Stored<T> = (u64, Option<T>);

/// What the store holds.
#[derive(Clone, Debug, Default)]
struct Contents {
    version: u64,
    configuration: Stored<u64>,
    evacuations: BTreeMap<usize, Stored<()>>,
    endpoints: BTreeMap<usize, Stored<(u64, Endpoint)>>,
}

impl Contents {
    fn next(&mut self) -> u64 {
        self.version += 1;
        self.version
    }
}

/// The store, and what the operator and the endpoints know themselves.
#[derive(Debug, Default)]
struct World {
    era: u64,
    contents: Contents,
    copies: Vec<Contents>,
    last_return_ms: Option<u64>,
    returns: Vec<u64>,
    /// Configurations, with the times of their first writes.
    configurations: Vec<u64>,
    /// Evacuations, with the times of the last changes.
    evacuated: BTreeMap<usize, (bool, u64)>,
    /// Endpoints that are there, with their writes, and the times of the last changes.
    present: BTreeMap<usize, (bool, u64, u64)>,
}

impl World {
    fn act(&mut self, now_ms: u64, action: Action) {
        match action {
            Action::Configure => {
                self.configurations.push(now_ms);
                self.write_configuration();
            }
            Action::Toggle(zone) => {
                let is_evacuated = self.evacuated.get(&zone).is_some_and(|(is_evacuated, _)| *is_evacuated);
                self.evacuated.insert(zone, (!is_evacuated, now_ms));
                self.write_evacuation(zone);
            }
            Action::Move(index) => {
                let (is_there, writes, _) = self.present.get(&index).copied().unwrap_or_default();
                self.present.insert(index, (!is_there, writes, now_ms));
                self.write_endpoint(index);
            }
            Action::Return { age_ms } => {
                let back = (age_ms / STEP_MS) as usize;
                self.contents = self.copies[self.copies.len().saturating_sub(back + 1)].clone();
                self.era += 1;
                self.last_return_ms = Some(now_ms);
                self.returns.push(now_ms);
            }
        }
    }

    fn write_configuration(&mut self) {
        self.contents.configuration = (self.contents.next(), Some(self.configurations.len() as u64));
    }

    fn write_evacuation(&mut self, zone: usize) {
        let row = self.evacuated[&zone].0.then_some(());
        let version = self.contents.next();
        self.contents.evacuations.insert(zone, (version, row));
    }

    fn write_endpoint(&mut self, index: usize) {
        let (is_there, writes, _) = self.present.get_mut(&index).expect("a known endpoint");
        *writes += 1;
        let address = ([127, 0, 0, 1], 1_000 + index as u16).into();
        let row =
            is_there.then(|| (*writes, Endpoint { address, ..endpoint(ENDPOINTS[index], Stage::Whole) }));
        let version = self.contents.next();
        self.contents.endpoints.insert(index, (version, row));
    }

    /// Writes rows again after a return, and drops those of endpoints that have left.
    fn follow_return(&mut self, now_ms: u64) {
        let Some(since) = self.last_return_ms.map(|at_ms| now_ms - at_ms) else { return };
        if since == OPERATOR_DELAY_MS {
            if !self.configurations.is_empty() {
                self.write_configuration();
            }
            let zones: Vec<usize> = self.evacuated.keys().copied().collect();
            zones.into_iter().for_each(|zone| self.write_evacuation(zone));
        }
        for index in 0..ENDPOINTS.len() {
            let is_there = self.present.get(&index).is_some_and(|(is_there, _, _)| *is_there);
            let delay_ms = ENDPOINTS_DELAY_MS * (index as u64 + 1) / ENDPOINTS.len() as u64;
            if is_there && since == delay_ms {
                self.write_endpoint(index);
            }
            let is_listed = self.contents.endpoints.get(&index).is_some_and(|(_, row)| row.is_some());
            if !is_there && is_listed && since == LAPSE_MS {
                let version = self.contents.next();
                self.contents.endpoints.insert(index, (version, None));
            }
        }
        if since >= LAPSE_MS {
            self.last_return_ms = self.last_return_ms.filter(|_| since < FORMER_MS + APPLY_MS);
        }
    }

    fn position(&self, version: u64) -> Position {
        Position::new(self.era + 1, version)
    }

    /// Lets a replica read what has changed since its last read, or everything.
    fn read(&self, now_ms: u64, state: &mut State<u32>, after: &mut Option<Position>) {
        let (now, newest) = (at(now_ms), self.position(self.contents.version));
        let known = after.filter(|after| after.continues(newest) && *after <= newest);
        let is_new = |version: u64| known.is_none_or(|known| self.position(version) > known);
        let changes = self.contents.evacuations.iter().filter(|(_, (version, _))| is_new(*version));
        let mut changes: Vec<Change> = changes
            .map(|(zone, (version, row))| Change {
                zone: ZONES[*zone].into(),
                position: self.position(*version),
                is_evacuated: row.is_some(),
            })
            .collect();
        changes.sort_by_key(|change| change.position);
        let batch = if known.is_some() {
            evacuation::Batch::Changes(changes)
        } else {
            let zones = changes.into_iter().filter(|change| change.is_evacuated).map(|change| change.zone);
            evacuation::Batch::Complete(Report::new(newest, zones.collect::<Vec<_>>()))
        };
        state.apply_evacuations(now, batch);
        if let (version, Some(number)) = self.contents.configuration
            && is_new(version)
        {
            let catalog = Arc::new(Catalog::new(number, Limits::default()));
            state.apply_catalog(now, self.position(version), catalog);
        }
        let rows = self.contents.endpoints.iter().filter(|(_, (version, _))| is_new(*version));
        let rows = rows.filter(|(_, (_, row))| known.is_some() || row.is_some());
        let rows = rows.map(|(index, (version, row))| Row {
            id: ENDPOINTS[*index].into(),
            position: self.position(*version),
            sequence: row.as_ref().map_or(0, |(sequence, _)| *sequence),
            cold: Duration::ZERO,
            endpoint: row.as_ref().map(|(_, endpoint)| Arc::new(endpoint.clone())),
        });
        let listing = Listing { position: newest, is_complete: known.is_none(), rows: rows.collect() };
        state.apply_listing(now, listing);
        *after = Some(newest);
    }
}

/// What is remembered of a process.
#[derive(Default)]
struct Process {
    incarnation: u64,
    after: Option<Position>,
    configuration: u64,
    /// What it has taken over, by the times of the last changes: endpoints that it uses, those that it has dropped after they
    /// left, and evacuations.
    used: BTreeSet<usize>,
    dropped: BTreeSet<(usize, u64)>,
    evacuated: BTreeSet<(usize, u64)>,
    /// Since when it has been up and in touch.
    calm_since_ms: u64,
}

/// Returns the endpoints in use, whether their zone is evacuated or not.
fn serving(state: &State<u32>) -> BTreeSet<Arc<str>> {
    state.directory().all().map(|endpoint| endpoint.id.clone()).collect()
}

/// Plays a day, and returns what was wrong first.
fn play(day: &Day) -> Result<(), String> {
    let mut fleet = Fleet::new(day.plan.clone(), STEP_MS, |_, _| {});
    let mut world = World::default();
    let mut processes: BTreeMap<usize, Process> = BTreeMap::new();
    for now_ms in (0..DAY_MS + 2 * FORMER_MS).step_by(STEP_MS as usize) {
        world.copies.push(world.contents.clone());
        for (_, action) in day.actions.iter().filter(|(at_ms, _)| *at_ms == now_ms) {
            world.act(now_ms, *action);
        }
        world.follow_return(now_ms);
        let is_cut = |index: usize| {
            day.plan.troubles.iter().any(|(other, trouble)| {
                *other == index
                    && matches!(trouble, Trouble::Cut { from_ms, until_ms } if (*from_ms..*until_ms).contains(&now_ms))
            })
        };
        for (index, replica) in fleet.alive() {
            let process = processes.entry(index).or_default();
            if process.incarnation != replica.incarnation {
                *process =
                    Process { incarnation: replica.incarnation, calm_since_ms: now_ms, ..Process::default() };
            }
            if is_cut(index) {
                process.calm_since_ms = now_ms;
            }
            let reads = now_ms.is_multiple_of(READ_INTERVAL_MS) && !(day.cuts_store && is_cut(index));
            if reads {
                world.read(now_ms, &mut replica.state, &mut process.after);
            }
        }
        fleet.step(now_ms);
        for (index, replica) in fleet.alive() {
            let process =
                processes.get_mut(&index).filter(|process| process.incarnation == replica.incarnation);
            let Some(process) = process else { continue };
            check(&world, now_ms, &replica.state, process)
                .map_err(|fault| format!("{index} at {now_ms}: {fault}"))?;
        }
    }
    Ok(())
}

fn check(world: &World, now_ms: u64, state: &State<u32>, process: &mut Process) -> Result<(), String> {
    let configuration = state.catalog().map_or(0, |catalog| catalog.version());
    if configuration < process.configuration {
        return Err(format!("configuration {configuration} after {}", process.configuration));
    }
    process.configuration = configuration;
    let serving = serving(state);
    let is_old = |at_ms: u64| now_ms >= at_ms + APPLY_MS;
    // Without its peers, a process knows only those writes of an endpoint that it has read itself.
    let is_in_touch = is_old(process.calm_since_ms);
    // A row that is removed shortly after a return may only have lapsed, so that replicas use the endpoint a little longer.
    let is_settled = |left_ms: u64| world.returns.iter().all(|at_ms| at_ms.abs_diff(left_ms) >= 2 * APPLY_MS);
    for (index, (is_there, _, at_ms)) in &world.present {
        let is_served = serving.contains(ENDPOINTS[*index]);
        if is_served {
            process.used.insert(*index);
        }
        if *is_there {
            continue;
        }
        if !is_served && process.used.contains(index) {
            process.dropped.insert((*index, *at_ms));
        } else if is_served
            && is_in_touch
            && is_settled(*at_ms)
            && process.dropped.contains(&(*index, *at_ms))
        {
            return Err(format!("{} is used again", ENDPOINTS[*index]));
        }
    }
    let evacuations = state.directory().evacuations();
    for (zone, (is_evacuated, at_ms)) in &world.evacuated {
        if *is_evacuated && evacuations.contains(ZONES[*zone]) {
            process.evacuated.insert((*zone, *at_ms));
        } else if *is_evacuated && process.evacuated.contains(&(*zone, *at_ms)) {
            return Err(format!("the evacuation of {} ended", ZONES[*zone]));
        }
    }
    let is_store_calm = world.last_return_ms.is_none_or(|at_ms| is_old(at_ms + LAPSE_MS));
    if !is_in_touch {
        return Ok(());
    }
    // A return delays what the store itself has to hold again.
    let is_written_again = world.last_return_ms.is_none_or(|at_ms| is_old(at_ms + OPERATOR_DELAY_MS));
    let due = world.configurations.iter().filter(|at_ms| is_old(**at_ms)).count() as u64;
    if is_written_again && configuration < due {
        return Err(format!("configuration {configuration} instead of {due}"));
    }
    for (zone, (is_evacuated, at_ms)) in &world.evacuated {
        let known = evacuations.contains(ZONES[*zone]);
        // A replica that was out of touch holds what it knew until it learns how old the era is.
        let is_over = world.last_return_ms.is_none() && is_old(process.calm_since_ms + FORMER_MS);
        if is_written_again && is_old(*at_ms) && known != *is_evacuated && (*is_evacuated || is_over) {
            return Err(format!("evacuation of {} is {known}", ZONES[*zone]));
        }
    }
    for (index, (is_there, _, at_ms)) in &world.present {
        let is_served = serving.contains(ENDPOINTS[*index]);
        if is_store_calm && is_old(*at_ms) && is_served != *is_there {
            return Err(format!("{} is {is_served}", ENDPOINTS[*index]));
        }
    }
    Ok(())
}

fn is_kept(day: Day) -> bool {
    match play(&day) {
        Ok(()) => true,
        Err(fault) => {
            println!("{fault}");
            false
        }
    }
}

/// Guards against replicas that keep to an earlier era, go back to what the copy holds, or disagree for good.
#[test]
fn a_fleet_follows_a_store_that_comes_back_from_copies() {
    QuickCheck::new().rng(Gen::from_size_and_seed(60, 54)).tests(60).quickcheck(is_kept as fn(Day) -> bool);
}
