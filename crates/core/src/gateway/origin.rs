//! Software versions that began streams.
//!
//! What endpoints of two software versions generate does not fit together, so a stream is resumed only at the version that began it.
//! The replica that relays the first event of a stream keeps the version and announces it to the stream's owners: a few replicas,
//! by rendezvous hashing of its id and their names. A replica that is to resume a stream it does not know queries these. All
//! of this is in memory only.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use xxhash_rust::xxh3::Xxh3;

use super::digest::Member;
use crate::clock::Time;

/// Number of owners of a stream, besides the replica that relays it.
pub const OWNER_COUNT: usize = 3;
/// Number of replicas that are queried for a stream. More than own it, since replicas may know different peers.
pub const QUERY_COUNT: usize = 5;
/// Time after which replicas that have not answered are queried again, since datagrams may be lost.
const REPEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which replicas that have not answered count as unreachable. A paused one would hold up callers.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(200);
/// Largest number of streams that are kept; beyond it, those that can be resumed for the shortest time are dropped.
const MAX_STREAMS: usize = 50_000;
/// Longest time for which a stream is kept.
const MAX_SPAN: Duration = Duration::from_secs(600);

/// A stream, over all attempts of its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stream(pub u64);

impl Stream {
    /// Returns the stream that a customer's attempt with this id began.
    pub fn of(customer: &str, attempt: &str) -> Self {
        let mut hash = Xxh3::new();
        hash.update(customer.as_bytes());
        hash.update(&[0]);
        hash.update(attempt.as_bytes());
        Self(hash.digest())
    }

    /// Returns the place of a replica among the owners of the stream; the lowest come first.
    fn rank(self, replica: &str) -> u64 {
        let mut hash = Xxh3::new();
        hash.update(&self.0.to_le_bytes());
        hash.update(replica.as_bytes());
        hash.digest()
    }

    /// Returns the first `count` of the replicas in the order of their places.
    pub fn owners(self, replicas: impl IntoIterator<Item = Member>, count: usize) -> Vec<Member> {
        let mut ranked: Vec<Member> = replicas.into_iter().collect();
        ranked.sort_by_cached_key(|member| self.rank(&member.name));
        ranked.truncate(count);
        ranked
    }
}

/// The software version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The stream.
    pub stream: Stream,
    /// The version.
    pub software_version: Arc<str>,
    /// How much longer its caller may resume it.
    pub left: Duration,
}

/// Announcements of streams between replicas, and queries for them with their answers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// Streams that the sender knows.
    pub origins: Vec<Origin>,
    /// Streams that the sender queries.
    pub sought: Vec<Stream>,
    /// Streams for which the sender was queried and that it does not know.
    pub unknown: Vec<Stream>,
}

impl Message {
    /// Returns whether the message names no stream.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty() && self.sought.is_empty() && self.unknown.is_empty()
    }

    /// Splits the message into some with at most `count` streams of each kind.
    pub fn split(&self, count: usize) -> Vec<Self> {
        let longest = self.origins.len().max(self.sought.len()).max(self.unknown.len());
        let part = |start: usize| {
            fn slice<T: Clone>(all: &[T], start: usize, count: usize) -> Vec<T> {
                all.iter().skip(start).take(count).cloned().collect()
            }
            Self {
                origins: slice(&self.origins, start, count),
                sought: slice(&self.sought, start, count),
                unknown: slice(&self.unknown, start, count),
            }
        };
        (0..longest).step_by(count).map(part).collect()
    }
}

#[derive(Clone, Debug)]
struct Known {
    /// `None` if the stream was reported with two versions: its id is not unique.
    software_version: Option<Arc<str>>,
    expires: Time,
    /// Whether this replica relayed events of the stream and announces it to the owners.
    is_own: bool,
}

/// The streams that a replica knows.
#[derive(Clone, Debug, Default)]
pub struct Origins(BTreeMap<Stream, Known>);

impl Origins {
    /// Records a stream; `is_own` tells whether this replica relays its events.
    pub fn record(&mut self, now: Time, origin: &Origin, is_own: bool) {
        let expires = now.plus(origin.left.min(MAX_SPAN));
        let version = Some(origin.software_version.clone());
        let new = Known { software_version: version.clone(), expires, is_own };
        let known = self.0.entry(origin.stream).or_insert(new);
        if known.software_version != version {
            known.software_version = None;
        }
        known.expires = known.expires.max(expires);
        known.is_own |= is_own;
        if self.0.len() > MAX_STREAMS {
            self.drop_earliest();
        }
    }

    fn drop_earliest(&mut self) {
        let mut expiries: Vec<Time> = self.0.values().map(|known| known.expires).collect();
        expiries.sort_unstable();
        let limit = expiries[expiries.len() / 8];
        self.0.retain(|_, known| known.expires > limit);
    }

    /// Returns a stream that may still be resumed; `None` if it is unknown.
    pub fn get(&self, now: Time, stream: Stream) -> Option<Origin> {
        let known = self.0.get(&stream).filter(|known| known.expires > now)?;
        let software_version = known.software_version.clone()?;
        Some(Origin { stream, software_version, left: known.expires.since(now) })
    }

    /// Returns the streams of which this replica relayed events.
    pub fn own(&self, now: Time) -> impl Iterator<Item = Origin> {
        let own = self.0.iter().filter(|(_, known)| known.is_own).map(|(stream, _)| *stream);
        own.filter_map(move |stream| self.get(now, stream))
    }

    /// Removes the streams that can no longer be resumed.
    pub fn expire(&mut self, now: Time) {
        self.0.retain(|_, known| known.expires > now);
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// A search for one stream. `T` is the handle by which whoever waits gets the result.
#[derive(Debug)]
struct Search<T> {
    waiting: Vec<T>,
    /// Replicas that have not answered.
    unanswered: BTreeMap<Arc<str>, Member>,
    queried_at: Time,
    ends: Time,
}

/// Streams for which this replica queries others.
#[derive(Debug)]
pub struct Searches<T>(BTreeMap<Stream, Search<T>>);

impl<T> Default for Searches<T> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<T> Searches<T> {
    /// Adds a search, or joins the one for the same stream. Returns whether the replicas have to be queried now.
    pub fn add(&mut self, now: Time, stream: Stream, replicas: &[Member], tag: T) -> bool {
        if let Some(search) = self.0.get_mut(&stream) {
            search.waiting.push(tag);
            return false;
        }
        let unanswered = replicas.iter().map(|member| (member.name.clone(), member.clone())).collect();
        let ends = now.plus(SEARCH_TIMEOUT);
        self.0.insert(stream, Search { waiting: vec![tag], unanswered, queried_at: now, ends });
        true
    }

    /// Returns whether no stream is sought.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Ends the search for a stream and returns who waits for it.
    pub fn finish(&mut self, stream: Stream) -> Vec<T> {
        self.0.remove(&stream).map_or_else(Vec::new, |search| search.waiting)
    }

    /// Records that a replica does not know a stream. Returns who waits for it if all have said so.
    pub fn record_unknown(&mut self, stream: Stream, replica: &str) -> Vec<T> {
        let Some(search) = self.0.get_mut(&stream) else { return Vec::new() };
        search.unanswered.remove(replica);
        if search.unanswered.is_empty() { self.finish(stream) } else { Vec::new() }
    }

    /// Ends the searches whose time is over and returns who waits for them.
    pub fn expire(&mut self, now: Time) -> Vec<(Stream, Vec<T>)> {
        let over: BTreeSet<Stream> =
            self.0.iter().filter(|(_, search)| search.ends <= now).map(|(stream, _)| *stream).collect();
        over.into_iter().map(|stream| (stream, self.finish(stream))).collect()
    }

    /// Returns the replicas that have to be queried again, with the streams.
    pub fn take_repeats(&mut self, now: Time) -> Vec<(Member, Vec<Stream>)> {
        let mut repeats: BTreeMap<Member, Vec<Stream>> = BTreeMap::new();
        for (stream, search) in &mut self.0 {
            if now.since(search.queried_at) >= REPEAT_INTERVAL {
                search.queried_at = now;
                for member in search.unanswered.values() {
                    repeats.entry(member.clone()).or_default().push(*stream);
                }
            }
        }
        let mut repeats: Vec<(Member, Vec<Stream>)> = repeats.into_iter().collect();
        repeats.sort_by_key(|(_, streams)| Reverse(streams.len()));
        repeats
    }
}
