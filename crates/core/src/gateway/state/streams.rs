//! Software versions of streams, which callers may resume at any replica.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::State;
use crate::{
    clock::Time,
    gateway::{
        digest::Member,
        origin::{Message, OWNER_COUNT, Origin, QUERY_COUNT, Stream},
    },
};

impl<T> State<T> {
    /// Records that this replica relays a stream, and returns the replicas to which it has to be announced.
    pub fn record_origin(&mut self, now: Time, origin: &Origin) -> Vec<Member> {
        self.origins.record(now, origin, true);
        self.owners(now, origin.stream)
    }

    /// Returns the replicas that own a stream: those that are alive, and others while too few are known to be.
    fn owners(&self, now: Time, stream: Stream) -> Vec<Member> {
        let mut owners = stream.owners(self.peers.live_members(now), OWNER_COUNT);
        if owners.len() < OWNER_COUNT {
            let others = self.peers.members().filter(|member| !owners.contains(member)).collect::<Vec<_>>();
            owners.extend(stream.owners(others, OWNER_COUNT - owners.len()));
        }
        owners
    }

    /// Returns the version that began a stream, as far as this replica knows.
    pub fn origin(&self, now: Time, stream: Stream) -> Option<Origin> {
        self.origins.get(now, stream)
    }

    /// Returns the replicas that may know a stream.
    pub fn candidates(&self, now: Time, stream: Stream) -> Vec<Member> {
        let mut candidates = stream.owners(self.peers.members(), QUERY_COUNT);
        let live = stream.owners(self.peers.live_members(now), OWNER_COUNT);
        candidates.extend(live.into_iter().filter(|member| !candidates.contains(member)).collect::<Vec<_>>());
        candidates
    }

    /// Records the streams that a peer announces, and returns the answer to its queries.
    pub fn apply_message(&mut self, now: Time, message: &Message) -> Message {
        for origin in &message.origins {
            self.origins.record(now, origin, false);
        }
        let mut reply = Message::default();
        for stream in &message.sought {
            match self.origins.get(now, *stream) {
                Some(origin) => reply.origins.push(origin),
                None => reply.unknown.push(*stream),
            }
        }
        reply
    }

    /// Returns the streams that this replica relays, by their owners, if peers have started, returned or stopped since the
    /// last call. Those that have started do not know streams that began before.
    pub fn take_announcements(&mut self, now: Time) -> Vec<(Member, Message)> {
        let incarnations: BTreeMap<Arc<str>, u64> = self.peers.incarnations(now).collect();
        if incarnations == self.announced_to {
            return Vec::new();
        }
        self.announced_to = incarnations;
        // Peers that have started learn the versions from it.
        self.is_full_digest_due = true;
        let mut messages: BTreeMap<Member, Message> = BTreeMap::new();
        for origin in self.origins.own(now) {
            for member in self.owners(now, origin.stream) {
                messages.entry(member).or_default().origins.push(origin.clone());
            }
        }
        messages.into_iter().collect()
    }

    /// Returns the version at which a stream goes on that no replica knows: the only one that it can have begun at.
    pub fn assumed_version(&self, now: Time, service: &str, span: Duration) -> Option<Arc<str>> {
        self.history.sole(now, service, span).cloned()
    }

    /// Returns the number of known streams.
    pub fn stream_count(&self) -> usize {
        self.origins.len()
    }
}
