//! Software versions of streams, which callers may resume at any replica.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::State;
use crate::{
    clock::Time,
    gateway::{
        digest::Member,
        origin::{ASKED, Message, OWNERS, Origin, Stream},
    },
};

impl<T> State<T> {
    /// Records that this replica relays a stream, and returns the replicas that have to be told.
    pub fn record_origin(&mut self, now: Time, origin: &Origin) -> Vec<Member> {
        self.origins.record(now, origin, true);
        self.told(now, origin.stream)
    }

    /// Returns the replicas that are told of a stream: those that are alive, and others while too few are known to be.
    fn told(&self, now: Time, stream: Stream) -> Vec<Member> {
        let mut told = stream.owners(self.peers.live_members(now), OWNERS);
        if told.len() < OWNERS {
            let others = self.peers.members().filter(|member| !told.contains(member)).collect::<Vec<_>>();
            told.extend(stream.owners(others, OWNERS - told.len()));
        }
        told
    }

    /// Returns the version that began a stream, as far as this replica knows.
    pub fn origin(&self, now: Time, stream: Stream) -> Option<Origin> {
        self.origins.get(now, stream)
    }

    /// Returns the replicas that may know a stream.
    pub fn asked(&self, now: Time, stream: Stream) -> Vec<Member> {
        let mut asked = stream.owners(self.peers.members(), ASKED);
        let live = stream.owners(self.peers.live_members(now), OWNERS);
        asked.extend(live.into_iter().filter(|member| !asked.contains(member)).collect::<Vec<_>>());
        asked
    }

    /// Records what a peer tells about streams, and returns the reply to what it asks for.
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

    /// Returns the streams that this replica relays, by the replicas that have to be told of them, if peers have started,
    /// returned or stopped since the last call. Those that have started know nothing of streams that began before.
    pub fn take_retold(&mut self, now: Time) -> Vec<(Member, Message)> {
        let incarnations: BTreeMap<Arc<str>, u64> = self.peers.incarnations(now).collect();
        if incarnations == self.told_peers {
            return Vec::new();
        }
        self.told_peers = incarnations;
        // Peers that have started learn the versions from it.
        self.is_full_digest_due = true;
        let mut messages: BTreeMap<Member, Message> = BTreeMap::new();
        for origin in self.origins.own(now) {
            for member in self.told(now, origin.stream) {
                messages.entry(member).or_default().origins.push(origin.clone());
            }
        }
        messages.into_iter().collect()
    }

    /// Returns the version at which a stream goes on that no replica knows. A caller that does not name its stream does not know of
    /// versions either, so it is enough that this replica knows a single one.
    pub fn assumed_version(
        &self,
        now: Time,
        service: &str,
        span: Duration,
        is_named: bool,
    ) -> Option<Arc<str>> {
        let sole = if is_named {
            self.history.sole(now, service, span)
        } else {
            self.history.known_sole(now, service, span)
        };
        sole.cloned()
    }

    /// Returns the number of known streams.
    pub fn stream_count(&self) -> usize {
        self.origins.len()
    }
}
