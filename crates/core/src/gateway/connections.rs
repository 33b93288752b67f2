//! Which connections of callers stay open when there are too many of them, or when they hold too much.
//!
//! Connections whose callers send slowly or do not read give way first, then those that have brought no request for a while, then
//! idle ones. One that has just been opened gives way last, since its request is probably on its way. A connection whose request
//! is being served gives way only if its caller does not read, or sends ahead without end.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use strum::IntoStaticStr;

use crate::clock::Time;

/// Part of a host's memory that connections may take, apart from what is counted as held.
const MEMORY_SHARE: f64 = 0.2;
/// Memory that a connection takes, apart from what is counted as held.
pub const CONNECTION_BYTES: u64 = 8 << 10;
/// Descriptors that are not for sockets.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Part of the other descriptors that callers' connections may take.
const CALLER_SHARE: f64 = 0.55;
/// Part of them that requests may take at endpoints. The rest is for idle connections to endpoints, peers and the store.
const REQUEST_SHARE: f64 = 0.3;
/// Largest number of connections where neither memory nor descriptors are known.
const DEFAULT_CONNECTIONS: usize = 3_000;
/// Part of the connections that may send ahead while their requests are served: the operating system keeps what they send.
const AHEAD_SHARE: usize = 8;
/// Time in which most callers have sent a request, or read a part of a response.
const PATIENCE: Duration = Duration::from_secs(1);
/// Bytes a second below which a caller that has had [`PATIENCE`] counts as slow.
const SLOW_BYTES_PER_S: f64 = 8_192.0;

/// A request gives way to one that holds this many times less.
const LARGER_FACTOR: u64 = 2;

/// How many connections may be open, and how many of them may have a request that is being served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Open connections.
    pub connections: usize,
    /// Requests that are being served.
    pub requests: usize,
}

impl Capacity {
    /// Returns the capacity of a host by its memory, in bytes, and its descriptors; `None` if they are not known.
    pub fn of(memory: Option<u64>, descriptors: Option<u64>) -> Self {
        let by_memory = memory.map(|memory| (memory as f64 * MEMORY_SHARE) as u64 / CONNECTION_BYTES);
        let sockets = descriptors.map(|descriptors| descriptors.saturating_sub(RESERVED_DESCRIPTORS));
        let by_sockets = |share: f64| sockets.map(|sockets| (sockets as f64 * share) as u64);
        let connections = by_memory.into_iter().chain(by_sockets(CALLER_SHARE)).min();
        let connections = connections.map_or(DEFAULT_CONNECTIONS, |most| most.max(1) as usize);
        let requests = by_sockets(REQUEST_SHARE).map_or(connections, |most| most.max(1) as usize);
        Self { connections, requests: requests.min(connections) }
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No request is being read or served.
    Idle,
    /// A request is being read, of which this much has been received.
    Receiving {
        /// Bytes.
        received: u64,
    },
    /// A request is being served.
    Serving,
}

/// Why a connection gives way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// Others need its place.
    Connections,
    /// Others need what it holds.
    Memory,
    /// Its caller sends ahead, as too many others do.
    SentAhead,
}

/// Number that identifies a connection.
pub type Id = u64;

#[derive(Clone, Copy, Debug)]
struct Connection {
    phase: Phase,
    /// When the phase began.
    since: Time,
    /// Since when the caller has accepted nothing of a response that is being written.
    stalled_since: Option<Time>,
    /// Since when the caller has sent more than is read ahead.
    ahead_since: Option<Time>,
    /// Whether a request of it was answered with success.
    has_served: bool,
    /// Bytes held for the request that is being read.
    held: u64,
    /// Whether it is being evicted; its memory counts until it is closed.
    is_leaving: bool,
}

impl Connection {
    /// Returns whether a request is being read and comes slowly.
    fn is_slow(&self, now: Time) -> bool {
        let spent = now.since(self.since);
        match self.phase {
            Phase::Receiving { received } => {
                spent >= PATIENCE && (received as f64) < SLOW_BYTES_PER_S * spent.as_secs_f64()
            }
            Phase::Idle | Phase::Serving => false,
        }
    }

    fn is_stalled(&self, now: Time) -> bool {
        self.stalled_since.is_some_and(|since| now.since(since) >= PATIENCE)
    }

    /// Returns how soon the connection gives way to a new one; the largest first, and of equal ones the oldest. `None` if it
    /// does not.
    fn place_rank(&self, now: Time) -> Option<u8> {
        match self.phase {
            _ if self.is_leaving => None,
            Phase::Serving => self.is_stalled(now).then_some(3),
            Phase::Receiving { .. } if self.is_slow(now) => Some(3),
            Phase::Idle if self.has_served => Some(1),
            Phase::Idle if now.since(self.since) >= PATIENCE => Some(2),
            Phase::Receiving { .. } | Phase::Idle => Some(0),
        }
    }

    /// Returns how soon the connection gives way to one that holds `bytes`; the largest first.
    fn room_rank(&self, now: Time, bytes: u64) -> Option<(bool, u64)> {
        let is_receiving = matches!(self.phase, Phase::Receiving { .. });
        let is_slow = self.is_slow(now) || self.is_stalled(now);
        let gives_way = is_slow || is_receiving && self.held / LARGER_FACTOR >= bytes;
        (gives_way && self.held > 0 && !self.is_leaving).then_some((is_slow, self.held))
    }
}

/// A connection that was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Opened {
    /// Its number.
    pub id: Id,
    /// The one that gives way to it.
    pub victim: Option<Id>,
}

/// Open connections of callers.
#[derive(Clone, Debug)]
pub struct Connections {
    capacity: Capacity,
    open: BTreeMap<Id, Connection>,
    /// Number of connections whose request is being served.
    serving: usize,
    /// Number of connections that are being evicted and not closed yet.
    leaving: usize,
    last_id: Id,
}

impl Connections {
    /// Creates the state for a host with this capacity.
    pub fn new(capacity: Capacity) -> Self {
        Self { capacity, open: BTreeMap::new(), serving: 0, leaving: 0, last_id: 0 }
    }

    /// Returns how many connections and requests there may be.
    pub fn capacity(&self) -> Capacity {
        self.capacity
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Adds a connection. `None` if none of the others gives way to it.
    pub fn open(&mut self, now: Time) -> Option<Opened> {
        let is_full = self.open.len() - self.leaving >= self.capacity.connections;
        let victim = match is_full {
            true => Some(self.victim_for_place(now)?),
            false => None,
        };
        self.last_id += 1;
        let connection = Connection {
            phase: Phase::Idle,
            since: now,
            stalled_since: None,
            ahead_since: None,
            has_served: false,
            held: 0,
            is_leaving: false,
        };
        self.open.insert(self.last_id, connection);
        Some(Opened { id: self.last_id, victim })
    }

    /// Removes a connection that has been closed.
    pub fn close(&mut self, id: Id) {
        if let Some(closed) = self.open.remove(&id) {
            self.leaving -= usize::from(closed.is_leaving);
            self.serving -= usize::from(closed.phase == Phase::Serving);
        }
    }

    /// Begins a phase of a connection.
    pub fn enter(&mut self, now: Time, id: Id, phase: Phase) {
        let Some(connection) = self.open.get_mut(&id) else { return };
        self.serving -= usize::from(connection.phase == Phase::Serving);
        self.serving += usize::from(phase == Phase::Serving);
        connection.phase = phase;
        connection.since = now;
        connection.stalled_since = None;
        connection.ahead_since = None;
        if phase == Phase::Idle {
            connection.held = 0;
        }
    }

    /// Returns whether another request may be served.
    pub fn may_serve(&self) -> bool {
        self.serving < self.capacity.requests
    }

    /// Returns the connection that gives way to a request, because its caller does not read its response.
    pub fn victim_for_request(&mut self, now: Time) -> Option<Id> {
        let stalled =
            self.open.iter().filter(|(_, connection)| !connection.is_leaving && connection.is_stalled(now));
        let (_, victim) =
            stalled.filter_map(|(id, connection)| Some((connection.stalled_since?, *id))).min()?;
        self.leave(victim)
    }

    /// Returns whether a request of a connection is being read.
    pub fn is_receiving(&self, id: Id) -> bool {
        self.open.get(&id).is_some_and(|connection| matches!(connection.phase, Phase::Receiving { .. }))
    }

    /// Records that more of a request has been received.
    pub fn receive(&mut self, id: Id, bytes: u64) {
        if let Some(Connection { phase: Phase::Receiving { received }, .. }) = self.open.get_mut(&id) {
            *received += bytes;
        }
    }

    /// Records how many bytes are held for the request that is being read.
    pub fn set_held(&mut self, id: Id, bytes: u64) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.held = bytes;
        }
    }

    /// Records that a request was answered with success.
    pub fn record_served(&mut self, id: Id) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.has_served = true;
        }
    }

    /// Records whether the caller accepts the response that is being written.
    pub fn set_stalled(&mut self, now: Time, id: Id, is_stalled: bool) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.stalled_since = is_stalled.then(|| connection.stalled_since.unwrap_or(now));
        }
    }

    /// Records that the caller has sent more than is read ahead. Returns the connection that gives way, if too many have.
    pub fn record_ahead(&mut self, now: Time, id: Id) -> Option<Id> {
        self.open.get_mut(&id)?.ahead_since = Some(now);
        let ahead = || self.open.iter().filter(|(_, connection)| !connection.is_leaving);
        let ahead = || ahead().filter_map(|(id, connection)| Some((connection.ahead_since?, *id)));
        let is_over = ahead().count() > (self.capacity.connections / AHEAD_SHARE).max(1);
        let victim = is_over.then(|| ahead().min()).flatten().map(|(_, id)| id)?;
        self.leave(victim)
    }

    /// Returns the connection that gives way so that there is room for `bytes` of another one.
    pub fn victim_for_room(&mut self, now: Time, id: Id, bytes: u64) -> Option<Id> {
        let others = self.open.iter().filter(|(other, _)| **other != id);
        let ranked =
            others.filter_map(|(other, connection)| Some((connection.room_rank(now, bytes)?, *other)));
        let (_, victim) = ranked.max()?;
        self.leave(victim)
    }

    /// Returns whether a connection that is being evicted still holds something for a request.
    pub fn is_room_expected(&self) -> bool {
        self.leaving > 0 && self.open.values().any(|connection| connection.is_leaving && connection.held > 0)
    }

    fn victim_for_place(&mut self, now: Time) -> Option<Id> {
        let ranked = self.open.iter().filter_map(|(id, connection)| {
            Some((connection.place_rank(now)?, Reverse(connection.since), Reverse(*id)))
        });
        let (_, _, Reverse(victim)) = ranked.max()?;
        self.leave(victim)
    }

    fn leave(&mut self, id: Id) -> Option<Id> {
        let connection = self.open.get_mut(&id)?;
        connection.is_leaving = true;
        self.leaving += 1;
        Some(id)
    }
}
