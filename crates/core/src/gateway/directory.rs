//! The endpoints of all services, as listed in the store.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use strum::{Display, EnumString, IntoStaticStr};

use super::{evacuation::Evacuations, position::Position};
use crate::clock::Time;

/// How long endpoints whose rows lapsed in a store outage stay in use once the store is back, so that they can write their
/// rows. Running endpoints do so within 2 s; the rest is for the change to arrive here.
const LAPSE_GRACE: Duration = Duration::from_millis(2_300);
/// Time after a cut from the store from which on a replica must not use endpoints that were removed meanwhile, less what a
/// change takes to be applied. The cut ended after the last failed call had begun.
const CUT_GRACE: Duration = Duration::from_millis(2_850);

/// The part of a request that an endpoint serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// Whole requests: plain services, and engines without separate prefill and decode.
    #[default]
    Whole,
    /// Prefill of prompts.
    Prefill,
    /// Decode of outputs.
    Decode,
}

/// One incarnation of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Name; a restarted endpoint may keep it.
    pub id: Arc<str>,
    /// Start time by the endpoint's own clock, in Unix milliseconds; identifies the incarnation.
    pub started_ms: u64,
    /// Name of the service.
    pub service: Arc<str>,
    /// Version of its software, compared for equality only. What endpoints of two versions generate does not fit together.
    pub software_version: Arc<str>,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Stage that it serves.
    pub stage: Stage,
    /// Requests that it runs concurrently, as it reports.
    pub slots: u32,
    /// Whether it accepts no new requests.
    pub is_draining: bool,
}

/// One row of the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Name of the endpoint.
    pub id: Arc<str>,
    /// Where the row was written.
    pub position: Position,
    /// Number of the write, counted by the endpoint from its start.
    pub sequence: u64,
    /// How much longer the endpoint is cold, by what it wrote.
    pub cold: Duration,
    /// `None` if the row was removed or cannot be used.
    pub endpoint: Option<Arc<Endpoint>>,
}

/// A change of the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An endpoint was added or its row changed.
    Updated(Arc<Endpoint>),
    /// An endpoint restarted under the same name and lost its state.
    Restarted(Arc<Endpoint>),
    /// An endpoint accepts no new requests.
    Draining(Arc<Endpoint>),
    /// The row of an endpoint lapsed in a store outage; it stays in use for a grace period.
    Lapsed(Arc<Endpoint>),
    /// An endpoint was removed.
    Removed(Arc<Endpoint>),
}

/// An endpoint that has left, by its newest write that is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// Name of the endpoint.
    pub id: Arc<str>,
    /// Start of its process, Unix milliseconds.
    pub started_ms: u64,
    /// Number of the write, counted by the endpoint from its start.
    pub sequence: u64,
}

#[derive(Clone, Debug, Default)]
struct Record {
    position: Position,
    /// Start time and sequence of the endpoint's newest write.
    last_write: (u64, u64),
    endpoint: Option<Arc<Endpoint>>,
    /// Start time of the incarnation that said itself that it is leaving; its rows may not say so yet.
    leaving_incarnation: Option<u64>,
    /// End of the grace period, if the row has lapsed.
    expires: Option<Time>,
    /// Whether the store shows an older write, from a copy.
    is_contradicted: bool,
}

impl Record {
    /// Returns the endpoint of a row, as leaving if it said so itself.
    fn with_notice(leaving_incarnation: Option<u64>, endpoint: Arc<Endpoint>) -> Arc<Endpoint> {
        if endpoint.is_draining || leaving_incarnation != Some(endpoint.started_ms) {
            return endpoint;
        }
        Arc::new(Endpoint { is_draining: true, ..(*endpoint).clone() })
    }
}

/// The endpoints in use.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    records: BTreeMap<Arc<str>, Record>,
    /// Newest position of the list.
    position: Position,
    /// Position of the newest row.
    newest_row: Position,
    /// Until when endpoints whose rows lapse stay in use, after the store has come back.
    grace_end: Option<Time>,
    /// Latest end of that period if this replica may have been cut off alone.
    cut_grace_end: Option<Time>,
    /// Whether that period began with a new era, in whose history all replicas miss rows.
    is_new_era: bool,
    /// Endpoints of these zones are listed but do not serve.
    evacuations: Evacuations,
}

impl Directory {
    /// Records that the store can be read again, after a call that began at `last_failure` and failed. Rows that are missing
    /// may have lapsed; if only this replica was cut off, they were removed.
    pub fn record_store_recovered(&mut self, now: Time, last_failure: Time) {
        let cut_grace_end = last_failure.plus(CUT_GRACE);
        self.cut_grace_end = Some(cut_grace_end);
        self.grace_end = Some(now.plus(LAPSE_GRACE).min(cut_grace_end));
        self.is_new_era = false;
    }

    /// Records that the store was available to others at `returned`, so that rows which are still missing after the grace
    /// period from then on were removed.
    pub fn record_store_returned(&mut self, returned: Time) {
        let grace_end = returned.plus(LAPSE_GRACE);
        if self.is_new_era || self.grace_end.is_none_or(|known| known <= grace_end) {
            return;
        }
        self.grace_end = Some(grace_end);
        let lapsed = self.records.values_mut().filter_map(|record| record.expires.as_mut());
        lapsed.for_each(|expires| *expires = grace_end.min(*expires));
    }

    /// Returns the evacuated zones.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns the evacuated zones, to change them.
    pub fn evacuations_mut(&mut self) -> &mut Evacuations {
        &mut self.evacuations
    }

    /// Returns whether a list has been read.
    pub fn is_loaded(&self) -> bool {
        !self.position.is_start()
    }

    /// Applies changed rows.
    pub fn update(&mut self, now: Time, position: Position, rows: Vec<Row>) -> Vec<Change> {
        if self.position.is_later_era_than(position) {
            return Vec::new();
        }
        if position.is_later_era_than(self.position) {
            // Endpoints whose registration the store has lost write it again.
            let bound = self.cut_grace_end.filter(|bound| *bound > now);
            let grace_end = now.plus(LAPSE_GRACE);
            self.grace_end = Some(bound.map_or(grace_end, |bound| bound.min(grace_end)));
            self.is_new_era = true;
        }
        self.position = self.position.max(position);
        let newest_row = rows.iter().map(|row| row.position).max().unwrap_or_default();
        self.newest_row = self.newest_row.max(newest_row);
        let mut changes: Vec<Change> = rows.into_iter().filter_map(|row| self.apply_row(now, row)).collect();
        changes.extend(self.remove_replaced());
        changes
    }

    /// Removes endpoints whose address has been taken by a newer one. Their own rows lapse only
    /// after several missed heartbeats.
    fn remove_replaced(&mut self) -> Vec<Change> {
        let mut newest: BTreeMap<SocketAddr, u64> = BTreeMap::new();
        for endpoint in self.all() {
            let started_ms = newest.entry(endpoint.address).or_default();
            *started_ms = endpoint.started_ms.max(*started_ms);
        }
        let is_replaced = |endpoint: &Endpoint| newest.get(&endpoint.address) > Some(&endpoint.started_ms);
        let mut changes = Vec::new();
        for record in self.records.values_mut() {
            if record.endpoint.as_deref().is_some_and(is_replaced) {
                record.expires = None;
                changes.extend(record.endpoint.take().map(Change::Removed));
            }
        }
        changes
    }

    /// Applies a complete list: endpoints that are missing from it are removed. A list that is
    /// older than the directory, from a stale read of the store, removes nothing.
    pub fn replace(&mut self, now: Time, position: Position, rows: Vec<Row>) -> Vec<Change> {
        let listed: BTreeSet<&Arc<str>> = rows.iter().map(|row| &row.id).collect();
        let missing: Vec<Row> = self
            .records
            .iter()
            .filter(|(id, record)| record.position <= position && !listed.contains(id))
            .map(|(id, _)| Row {
                id: id.clone(),
                position,
                sequence: 0,
                cold: Duration::ZERO,
                endpoint: None,
            })
            .collect();
        let is_current = position >= self.position;
        let mut changes = self.update(now, position, rows);
        if is_current {
            changes.extend(missing.into_iter().filter_map(|row| self.apply_row(now, row)));
        }
        changes
    }

    /// Records that an incarnation of an endpoint said that it is leaving, whatever its row says.
    pub fn mark_leaving(&mut self, id: &str, started_ms: u64) -> Option<Change> {
        // The row may be missing for a moment, so its newest write identifies the incarnation.
        let record = self.records.get_mut(id).filter(|record| record.last_write.0 == started_ms)?;
        record.leaving_incarnation = Some(started_ms);
        let endpoint = record.endpoint.clone()?;
        let leaving = Record::with_notice(record.leaving_incarnation, endpoint.clone());
        if leaving == endpoint {
            return None;
        }
        record.endpoint = Some(leaving.clone());
        Some(Change::Draining(leaving))
    }

    fn apply_row(&mut self, now: Time, row: Row) -> Option<Change> {
        let record = self.records.get(&row.id);
        if record.is_some_and(|record| record.position >= row.position) {
            return None;
        }
        let previous = record.and_then(|record| record.endpoint.clone());
        let last_write = record.map_or((0, 0), |record| record.last_write);
        let leaving_incarnation = record.and_then(|record| record.leaving_incarnation);
        let Some(endpoint) = row.endpoint else {
            return self.remove_row(now, row.id, row.position, last_write, previous);
        };
        let endpoint = Record::with_notice(leaving_incarnation, endpoint);
        let write = (endpoint.started_ms, row.sequence);
        // The store may apply writes out of order, so an older write must not replace a newer one. Nor does a row of the copy
        // that the store came back from bring back an endpoint that has left since, or may have.
        let is_copy = record.is_some_and(|record| {
            let is_gone = record.endpoint.is_none() || record.expires.is_some();
            is_gone && write == last_write && !row.position.continues(record.position)
        });
        if write < last_write || is_copy {
            self.contradict(now, &row.id, row.position);
            return None;
        }
        let record = Record {
            position: row.position,
            last_write: write,
            endpoint: Some(endpoint.clone()),
            leaving_incarnation,
            expires: None,
            is_contradicted: false,
        };
        self.records.insert(row.id, record);
        match previous {
            Some(previous) if previous == endpoint => None,
            Some(previous) if previous.started_ms != endpoint.started_ms => Some(Change::Restarted(endpoint)),
            _ if endpoint.is_draining => Some(Change::Draining(endpoint)),
            _ => Some(Change::Updated(endpoint)),
        }
    }

    /// Records that the store shows a write of an endpoint at `position` that is older than what is known.
    fn contradict(&mut self, now: Time, id: &str, position: Position) {
        let grace = self.lapse_grace(now);
        if let Some(record) = self.records.get_mut(id) {
            // A running endpoint writes its row again after each return.
            record.expires = record.expires.map(|until| until.max(grace.unwrap_or(until)));
            let is_gone = record.endpoint.as_ref().is_none_or(|endpoint| endpoint.is_draining);
            record.is_contradicted |= is_gone && position.is_later_era_than(record.position);
        }
    }

    /// Returns the endpoints that have left although the store, which has come back from a copy, still lists them.
    pub fn departures(&self) -> impl Iterator<Item = Departure> {
        let contradicted = self.records.iter().filter(|(_, record)| record.is_contradicted);
        contradicted.map(|(id, record)| {
            let (started_ms, sequence) = record.last_write;
            Departure { id: id.clone(), started_ms, sequence }
        })
    }

    /// Removes endpoints that a peer knows to have left.
    pub fn apply_departures(&mut self, departures: &[Departure]) -> Vec<Change> {
        let mut changes = Vec::new();
        for Departure { id, started_ms, sequence } in departures {
            let last_write = (*started_ms, *sequence);
            let record = self.records.entry(id.clone()).or_default();
            let is_known_gone = record.endpoint.is_none() && !record.position.is_start();
            if record.last_write > last_write || record.is_contradicted || is_known_gone {
                continue;
            }
            (record.last_write, record.is_contradicted, record.expires) = (last_write, true, None);
            changes.extend(record.endpoint.take().map(Change::Removed));
        }
        changes
    }

    /// Returns until when endpoints whose rows lapse now stay in use; `None` if they do not.
    fn lapse_grace(&self, now: Time) -> Option<Time> {
        self.grace_end.filter(|until| *until > now)
    }

    fn remove_row(
        &mut self,
        now: Time,
        id: Arc<str>,
        position: Position,
        last_write: (u64, u64),
        previous: Option<Arc<Endpoint>>,
    ) -> Option<Change> {
        let grace = self.lapse_grace(now);
        let may_return = previous.as_ref().is_some_and(|endpoint| !endpoint.is_draining);
        let expires = grace.filter(|_| may_return);
        let kept = previous.clone().filter(|_| expires.is_some());
        let record = self.records.get(&id);
        let is_change = expires.is_none() || record.is_none_or(|record| record.expires.is_none());
        let leaving_incarnation = record.and_then(|record| record.leaving_incarnation);
        let removed = Record {
            position,
            last_write,
            endpoint: kept,
            leaving_incarnation,
            expires,
            is_contradicted: false,
        };
        self.records.insert(id, removed);
        let previous = previous.filter(|_| is_change)?;
        Some(if expires.is_some() { Change::Lapsed(previous) } else { Change::Removed(previous) })
    }

    /// Removes lapsed endpoints whose grace period is over.
    pub fn expire_lapsed(&mut self, now: Time) -> Vec<Change> {
        let mut changes = Vec::new();
        for record in self.records.values_mut() {
            if record.expires.is_some_and(|until| until <= now) {
                record.expires = None;
                changes.extend(record.endpoint.take().map(Change::Removed));
            }
        }
        changes
    }

    /// Returns all endpoints, including draining ones.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.records.values().filter_map(|record| record.endpoint.as_ref())
    }

    /// Returns the endpoints of a service that accept new requests.
    pub fn serving<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Endpoint>> {
        self.all().filter(move |endpoint| {
            &*endpoint.service == service
                && !endpoint.is_draining
                && !self.evacuations.contains(&endpoint.zone)
        })
    }

    /// Returns the list's position and rows, for a peer that cannot read the store. Lapsed endpoints
    /// are left out.
    pub fn rows(&self) -> (Position, Vec<Row>) {
        let current = self.records.iter().filter(|(_, record)| record.expires.is_none());
        let rows = current.filter_map(|(id, record)| {
            let endpoint = Some(record.endpoint.clone()?);
            let (position, sequence) = (record.position, record.last_write.1);
            Some(Row { id: id.clone(), position, sequence, cold: Duration::ZERO, endpoint })
        });
        (self.position, rows.collect())
    }

    /// Returns the position of the newest row.
    pub fn newest_row(&self) -> Position {
        self.newest_row
    }

    /// Returns whether an endpoint was ever listed under this name.
    pub fn is_known(&self, id: &str) -> bool {
        self.records.contains_key(id)
    }

    /// Returns the start of a listed endpoint's process and the number of its newest known write.
    pub fn last_write(&self, id: &str) -> Option<(u64, u64)> {
        self.records.get(id).filter(|record| record.endpoint.is_some()).map(|record| record.last_write)
    }

    /// Returns the newest known start of a process with this name, listed or not.
    pub fn newest_start(&self, id: &str) -> Option<u64> {
        self.records.get(id).map(|record| record.last_write.0)
    }

    /// Returns an endpoint by name.
    pub fn get(&self, id: &str) -> Option<&Arc<Endpoint>> {
        self.records.get(id).and_then(|record| record.endpoint.as_ref())
    }
}
