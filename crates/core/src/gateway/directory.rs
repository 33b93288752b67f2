//! Which endpoints there are, from the list that they keep of themselves.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use strum::{Display, EnumString, IntoStaticStr};

use crate::clock::Time;

/// How long an entry that lapsed while the store was away may still be used after the store's
/// return: endpoints that live write theirs again within 2 s, and the rest is for the feed.
const LAPSE_GRACE: Duration = Duration::from_millis(2_300);

/// What a model endpoint does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// Takes whole requests: a plain service, or an engine that is not split.
    #[default]
    Whole,
    /// Reads prompts.
    Prefill,
    /// Makes tokens.
    Decode,
}

/// One start of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Names this start of the endpoint, unless it kept the name of the last.
    pub id: Arc<str>,
    /// When it started, Unix milliseconds by its own clock; tells starts of one name apart.
    pub started_ms: u64,
    /// The service it serves.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// What it does.
    pub stage: Stage,
    /// Requests it runs at once, as it says.
    pub slots: u32,
    /// Whether it takes no new work.
    pub is_draining: bool,
}

/// What the list says of one name, at one version of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The endpoint's name.
    pub id: Arc<str>,
    /// Version of the list at which this was written; newer is larger.
    pub version: u64,
    /// Counts what the endpoint has written since its start; larger is newer.
    pub sequence: u64,
    /// The endpoint; `None` if the row is gone or names no endpoint that can be used.
    pub endpoint: Option<Arc<Endpoint>>,
}

/// A change of what the directory holds, for logs and for whoever keeps state by endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An endpoint appeared, or changed what it says of itself.
    Updated(Arc<Endpoint>),
    /// An endpoint started anew under its old name; whatever it held is gone.
    Restarted(Arc<Endpoint>),
    /// It takes no new work any more.
    Draining(Arc<Endpoint>),
    /// Its entry is gone, but it may only have lapsed while the store was away.
    Lapsed(Arc<Endpoint>),
    /// It is gone.
    Removed(Arc<Endpoint>),
}

#[derive(Clone, Debug)]
struct Known {
    version: u64,
    /// Start and sequence of the newest that the endpoint wrote itself.
    newest: (u64, u64),
    endpoint: Option<Arc<Endpoint>>,
    /// Set while the entry is missing and may come back: when it is taken as gone.
    lapses: Option<Time>,
}

/// The endpoints in use.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    known: BTreeMap<Arc<str>, Known>,
    /// The newest version seen of the list.
    version: u64,
    /// Version of the newest row that the list had.
    newest_row: u64,
    /// When the store was last heard of after an absence.
    returned: Option<Time>,
    away: bool,
}

impl Directory {
    /// The store cannot be reached; its list goes on as it is.
    pub fn mark_store_unreachable(&mut self) {
        self.away = true;
    }

    /// The store answers.
    pub fn mark_store_reachable(&mut self, now: Time) {
        if std::mem::take(&mut self.away) {
            self.returned = Some(now);
        }
    }

    /// Whether a list was ever read.
    pub fn is_loaded(&self) -> bool {
        self.version > 0
    }

    /// Takes rows that changed.
    pub fn update(&mut self, now: Time, version: u64, rows: Vec<Row>) -> Vec<Change> {
        self.version = self.version.max(version);
        let newest_row = rows.iter().map(|row| row.version).max().unwrap_or(0);
        self.newest_row = self.newest_row.max(newest_row);
        let mut changes: Vec<Change> = rows.into_iter().filter_map(|row| self.take(now, row)).collect();
        changes.extend(self.drop_replaced());
        changes
    }

    /// Drops endpoints at whose addresses others have started since: one address is one process,
    /// and the old entry lapses only after some missed heartbeats.
    fn drop_replaced(&mut self) -> Vec<Change> {
        let mut newest: BTreeMap<SocketAddr, u64> = BTreeMap::new();
        for endpoint in self.all() {
            let born = newest.entry(endpoint.address).or_default();
            *born = endpoint.started_ms.max(*born);
        }
        let is_replaced = |endpoint: &Endpoint| newest.get(&endpoint.address) > Some(&endpoint.started_ms);
        let mut changes = Vec::new();
        for known in self.known.values_mut() {
            if known.endpoint.as_deref().is_some_and(is_replaced) {
                known.lapses = None;
                changes.extend(known.endpoint.take().map(Change::Removed));
            }
        }
        changes
    }

    /// Takes the whole list as of a version. What is missing from it is gone, unless the list is
    /// older than what is known: a store that reads behind itself must not undo anything.
    pub fn replace(&mut self, now: Time, version: u64, rows: Vec<Row>) -> Vec<Change> {
        let listed: BTreeSet<&Arc<str>> = rows.iter().map(|row| &row.id).collect();
        let missing: Vec<Row> = self
            .known
            .iter()
            .filter(|(id, known)| known.version <= version && !listed.contains(id))
            .map(|(id, _)| Row { id: id.clone(), version, sequence: 0, endpoint: None })
            .collect();
        let is_current = version >= self.version;
        let mut changes = self.update(now, version, rows);
        if is_current {
            changes.extend(missing.into_iter().filter_map(|row| self.take(now, row)));
        }
        changes
    }

    fn take(&mut self, now: Time, row: Row) -> Option<Change> {
        let known = self.known.get(&row.id);
        if known.is_some_and(|known| known.version >= row.version) {
            return None;
        }
        let before = known.and_then(|known| known.endpoint.clone());
        let newest = known.map_or((0, 0), |known| known.newest);
        let Some(endpoint) = row.endpoint else {
            return self.drop_row(now, row.id, row.version, newest, before);
        };
        let written = (endpoint.started_ms, row.sequence);
        // The store may carry out a write seconds after it was made: what an endpoint said before
        // its newest word, or before its newest start, must not come back.
        if written < newest {
            return None;
        }
        let known =
            Known { version: row.version, newest: written, endpoint: Some(endpoint.clone()), lapses: None };
        self.known.insert(row.id, known);
        match before {
            Some(before) if before == endpoint => None,
            Some(before) if before.started_ms != endpoint.started_ms => Some(Change::Restarted(endpoint)),
            _ if endpoint.is_draining => Some(Change::Draining(endpoint)),
            _ => Some(Change::Updated(endpoint)),
        }
    }

    fn drop_row(
        &mut self,
        now: Time,
        id: Arc<str>,
        version: u64,
        newest: (u64, u64),
        before: Option<Arc<Endpoint>>,
    ) -> Option<Change> {
        let grace = self.returned.map(|returned| returned.plus(LAPSE_GRACE)).filter(|until| *until > now);
        let may_return = before.as_ref().is_some_and(|endpoint| !endpoint.is_draining);
        let lapses = grace.filter(|_| may_return);
        let kept = before.clone().filter(|_| lapses.is_some());
        let is_news = self.known.get(&id).is_none_or(|known| known.lapses.is_none());
        self.known.insert(id, Known { version, newest, endpoint: kept, lapses });
        let before = before.filter(|_| is_news)?;
        Some(if lapses.is_some() { Change::Lapsed(before) } else { Change::Removed(before) })
    }

    /// Takes lapsed entries that did not come back as gone.
    pub fn expire_lapsed(&mut self, now: Time) -> Vec<Change> {
        let mut changes = Vec::new();
        for known in self.known.values_mut() {
            if known.lapses.is_some_and(|until| until <= now) {
                known.lapses = None;
                changes.extend(known.endpoint.take().map(Change::Removed));
            }
        }
        changes
    }

    /// Every endpoint known, leaving ones too.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.known.values().filter_map(|known| known.endpoint.as_ref())
    }

    /// The endpoints of a service that take new work.
    pub fn serving<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Endpoint>> {
        self.all().filter(move |endpoint| &*endpoint.service == service && !endpoint.is_draining)
    }

    /// The list as it stands, for an entry that cannot read it; lapsed endpoints are left out, since they
    /// may be gone.
    pub fn versioned_rows(&self) -> (u64, Vec<Row>) {
        let standing = self.known.iter().filter(|(_, known)| known.lapses.is_none());
        let rows = standing.filter_map(|(id, known)| {
            let endpoint = Some(known.endpoint.clone()?);
            Some(Row { id: id.clone(), version: known.version, sequence: known.newest.1, endpoint })
        });
        (self.version, rows.collect())
    }

    /// Version of the newest row that the list had; zero before the first.
    pub fn newest_row(&self) -> u64 {
        self.newest_row
    }

    /// An endpoint by name.
    pub fn get(&self, id: &str) -> Option<&Arc<Endpoint>> {
        self.known.get(id).and_then(|known| known.endpoint.as_ref())
    }
}
