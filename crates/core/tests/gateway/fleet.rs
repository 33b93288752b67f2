//! A fleet of replicas without a network, which are cut off from each other, restarted and ended.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use quickcheck::{Arbitrary, Gen};
use tarragonhill_core::{
    Time,
    gateway::{
        budget::Rule,
        cold::Tolerance,
        digest::Member,
        state::{Identity, State},
    },
};

use crate::at;

/// Length of a day.
pub const DAY_MS: u64 = 40_000;
/// Time before which no trouble begins.
const CALM_MS: u64 = 8_000;
/// Time after its start at which all others are sure to know a replica.
const SETTLED_AFTER_MS: u64 = 3_500;
pub const RETRIES: Rule = Rule { ratio: 0.2, slack: 58.0, window: Duration::from_secs(10) };

/// What happens to one replica.
#[derive(Clone, Copy, Debug)]
pub enum Trouble {
    /// It exchanges no digests with others during this time.
    Cut { from_ms: u64, until_ms: u64 },
    /// Its process is killed and starts again at once.
    Restart { at_ms: u64 },
    /// It ends for good.
    End { at_ms: u64 },
}

impl Arbitrary for Trouble {
    fn arbitrary(random: &mut Gen) -> Self {
        let at_ms = CALM_MS + u64::arbitrary(random) % (DAY_MS - CALM_MS);
        match u8::arbitrary(random) % 9 {
            0..4 => Self::Restart { at_ms },
            4..8 => Self::Cut { from_ms: at_ms, until_ms: at_ms + u64::arbitrary(random) % 25_000 },
            _ => Self::End { at_ms },
        }
    }
}

/// The replicas of a fleet, and their troubles.
#[derive(Clone, Debug)]
pub struct Plan {
    pub replicas: usize,
    /// Time after its start at which a replica learns of the others, from the store's list.
    pub listed_after_ms: u64,
    /// Troubles, with the index of the replica.
    pub troubles: Vec<(usize, Trouble)>,
}

impl Plan {
    /// Returns the plan of a fleet without troubles.
    pub fn calm(replicas: usize) -> Self {
        Self { replicas, listed_after_ms: 0, troubles: Vec::new() }
    }

    /// Returns the plan of a fleet in which all replicas have the same trouble.
    pub fn same(replicas: usize, trouble: Trouble) -> Self {
        let troubles = (0..replicas).map(|index| (index, trouble)).collect();
        Self { troubles, ..Self::calm(replicas) }
    }
}

impl Arbitrary for Plan {
    fn arbitrary(random: &mut Gen) -> Self {
        let replicas = *random.choose(&[1, 2, 4, 5, 24]).expect("a choice");
        let troubles = (0..u8::arbitrary(random) % 40)
            .map(|_| (usize::arbitrary(random) % replicas, Trouble::arbitrary(random)));
        let troubles = troubles.collect();
        let listed_after_ms = *random.choose(&[0, 250, 2_000]).expect("a choice");
        Self { replicas, listed_after_ms, troubles }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let plan = self.clone();
        let without = move |index: usize| {
            let mut shorter = plan.clone();
            shorter.troubles.remove(index);
            shorter
        };
        Box::new((0..self.troubles.len()).map(without))
    }
}

pub struct Replica {
    pub state: State<u32>,
    pub incarnation: u64,
    started_ms: u64,
    /// Start of the process before this one.
    previous_ms: Option<u64>,
}

impl Replica {
    /// Returns whether the replica settles now. Others know one that is not the first of its name at once.
    fn settles(&self, now_ms: u64, listed_after_ms: u64) -> bool {
        let delay_ms = if self.previous_ms.is_some() { listed_after_ms } else { SETTLED_AFTER_MS };
        now_ms == self.started_ms + delay_ms
    }
}

/// A fleet in which time goes on by steps.
pub struct Fleet {
    plan: Plan,
    step_ms: u64,
    /// Gives a new process what it reads from the store at its start.
    prepare: fn(&mut State<u32>, Time),
    /// The replicas; `None` for those that have ended.
    replicas: Vec<Option<Replica>>,
}

fn member(index: usize) -> Member {
    let name: Arc<str> = format!("entry-{index:03}").into();
    let address = "127.0.0.1:7".parse().expect("an address");
    Member { name, address, zone: "zone-a".into(), millicores: 1_000 }
}

impl Fleet {
    pub fn new(plan: Plan, step_ms: u64, prepare: fn(&mut State<u32>, Time)) -> Self {
        let mut fleet = Self { plan, step_ms, prepare, replicas: Vec::new() };
        for index in 0..fleet.plan.replicas {
            let replica = fleet.start(index, 0, None);
            fleet.replicas.push(Some(replica));
        }
        fleet
    }

    fn start(&self, index: usize, now_ms: u64, previous_ms: Option<u64>) -> Replica {
        let Member { name, address, zone, millicores } = member(index);
        let incarnation = now_ms + 1;
        let identity = Identity { name, zone, incarnation, address, millicores };
        let mut state = State::new(identity, RETRIES, Tolerance::default(), at(now_ms));
        (self.prepare)(&mut state, at(now_ms));
        let mut replica = Replica { state, incarnation, started_ms: now_ms, previous_ms };
        self.list(&mut replica, now_ms);
        replica
    }

    /// Lets a replica read the store's list and register if it is time.
    fn list(&self, replica: &mut Replica, now_ms: u64) {
        let listed_after_ms = self.plan.listed_after_ms;
        if now_ms == replica.started_ms + listed_after_ms {
            (0..self.plan.replicas).for_each(|other| replica.state.add_member(at(now_ms), member(other)));
            let since = replica.previous_ms.map(|previous_ms| replica.started_ms - previous_ms);
            replica.state.record_registered(since.map(Duration::from_millis));
        }
        if replica.settles(now_ms, listed_after_ms) {
            replica.state.mark_members_read(at(now_ms));
        }
    }

    /// Plays the troubles of a step, and exchanges digests.
    pub fn step(&mut self, now_ms: u64) {
        let now = at(now_ms);
        let cut = self.play_troubles(now_ms);
        let mut replicas = std::mem::take(&mut self.replicas);
        for replica in replicas.iter_mut().flatten() {
            if now_ms > replica.started_ms {
                self.list(replica, now_ms);
            }
        }
        self.replicas = replicas;
        let listed_after_ms = self.plan.listed_after_ms;
        let mut reachable: Vec<(usize, &mut Replica)> = self
            .replicas
            .iter_mut()
            .enumerate()
            .filter_map(|(index, replica)| Some((index, replica.as_mut()?)))
            .collect();
        // A replica that does not know the others yet is not known to them by its address.
        let is_listed = |replica: &Replica| now_ms >= replica.started_ms + listed_after_ms;
        reachable.retain(|(index, replica)| !cut.contains(index) && is_listed(replica));
        let sent: Vec<_> =
            reachable.iter_mut().map(|(index, replica)| (*index, replica.state.next_digest(now).0)).collect();
        for (index, replica) in &mut reachable {
            for (from, digest) in sent.iter().filter(|(from, _)| from != index) {
                replica.state.apply_digest(now, digest, member(*from).address);
            }
        }
        self.alive().for_each(|(_, replica)| drop(replica.state.tick(now)));
    }

    /// Returns the states of the replicas that have not ended.
    pub fn into_states(self) -> Vec<State<u32>> {
        self.replicas.into_iter().flatten().map(|replica| replica.state).collect()
    }

    /// Returns the replicas that have not ended, with their index.
    pub fn alive(&mut self) -> impl Iterator<Item = (usize, &mut Replica)> {
        let replicas = self.replicas.iter_mut().enumerate();
        replicas.filter_map(|(index, replica)| Some((index, replica.as_mut()?)))
    }

    /// Restarts and ends replicas, and returns those that are cut off.
    fn play_troubles(&mut self, now_ms: u64) -> BTreeSet<usize> {
        let step = now_ms..now_ms + self.step_ms;
        let mut cut = BTreeSet::new();
        for (index, trouble) in self.plan.troubles.clone() {
            match trouble {
                Trouble::Cut { from_ms, until_ms } if (from_ms..until_ms).contains(&now_ms) => {
                    cut.insert(index);
                }
                Trouble::Restart { at_ms } if step.contains(&at_ms) && self.replicas[index].is_some() => {
                    let previous_ms = self.replicas[index].as_ref().map(|replica| replica.started_ms);
                    self.replicas[index] = Some(self.start(index, now_ms, previous_ms));
                }
                Trouble::End { at_ms } if step.contains(&at_ms) => self.replicas[index] = None,
                Trouble::Cut { .. } | Trouble::Restart { .. } | Trouble::End { .. } => {}
            }
        }
        cut
    }
}

/// Returns the largest sum in any window, of amounts in the order of their times.
pub fn busiest(amounts: &[(Time, u64)], window: Duration) -> u64 {
    let mut largest = 0;
    let (mut sum, mut first) = (0, 0);
    for (at, amount) in amounts {
        sum += amount;
        while at.since(amounts[first].0) >= window {
            sum -= amounts[first].1;
            first += 1;
        }
        largest = largest.max(sum);
    }
    largest
}
