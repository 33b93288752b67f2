//! What entries tell each other, and who they are.
//!
//! A digest holds running totals, not changes: one that is lost, repeated or overtaken costs
//! nothing but time, so datagrams carry it.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use super::{directory::Stage, forecast::Forecast, growth::Growth, staleness::Versions};
use crate::clock::Time;

/// An entry that was not heard for this long is not counted as sharing anything any more. Long
/// enough for a host that was cut off or frozen for some seconds to be remembered.
const FORGET: Duration = Duration::from_secs(12);

/// An entry is named to others only while it was heard itself within this time: some lost
/// datagrams, far below [`FORGET`].
const HEARSAY: Duration = Duration::from_secs(3);

/// What an entry has taken of one endpoint at this moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Requests under way.
    pub running: u32,
    /// Memory promised to them, tokens.
    pub memory: u64,
    /// Prompt tokens sent to be read and not answered yet.
    pub reading: u64,
    /// Memory that its runs are expected to take over time.
    pub growth: Growth,
}

/// A change of stage that an endpoint was ordered to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageChange {
    /// Its new stage.
    pub stage: Stage,
    /// How long it is still left alone at most.
    pub remaining: Duration,
}

/// What an entry says of itself, as of the moment it was sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Digest {
    /// The sender's name.
    pub name: Arc<str>,
    /// Tells starts of one name apart; drawn at random, so it orders nothing.
    pub incarnation: u64,
    /// Grows with each digest of one start.
    pub serial: u64,
    /// Where the sender hears, and every entry that it knows.
    pub members: Vec<Member>,
    /// Tokens that customers have spent there since the sender's start; as many customers as fit, the others in
    /// later digests.
    pub spent: BTreeMap<Arc<str>, u64>,
    /// Whole tokens left to the same customers, as the sender sees it.
    pub left: BTreeMap<Arc<str>, i64>,
    /// What the sender has taken of each endpoint.
    pub shares: BTreeMap<Arc<str>, Share>,
    /// Failed part of the sender's newest outcomes by endpoint, thousandths; sound endpoints left out.
    pub failure_permille: BTreeMap<Arc<str>, u16>,
    /// Endpoints that the sender has ordered to change their stage.
    pub changing: BTreeMap<Arc<str>, StageChange>,
    /// Requests that were running when an endpoint crashed, and at how many crashes.
    pub suspects: BTreeMap<u64, u32>,
    /// How new the sender's copy of the store is.
    pub versions: Versions,
    /// What the sender finds typical of services; only in one digest of ten, for entries that start.
    pub forecasts: BTreeMap<Arc<str>, Forecast>,
}

/// Where an entry hears digests.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Its name.
    pub name: Arc<str>,
    /// Its address for digests.
    pub address: SocketAddr,
}

#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    /// Of the newest digest.
    incarnation: u64,
    /// Of the newest digest; zero while it was only named by somebody.
    serial: u64,
    /// The start before, whose late datagrams must not count.
    before: Option<u64>,
    /// When it was heard, or first named by somebody.
    heard: Time,
    /// How new its copy of the store was then.
    versions: Versions,
}

/// The other entries.
#[derive(Clone, Debug)]
pub struct Peers {
    own: Arc<str>,
    peers: BTreeMap<Arc<str>, Peer>,
}

impl Peers {
    /// No peers yet; `own` is this entry's name.
    pub fn new(own: Arc<str>) -> Self {
        Self { own, peers: BTreeMap::new() }
    }

    /// Takes an entry that somebody named. Where it was heard itself, its own word goes first.
    pub fn add(&mut self, now: Time, member: Member) {
        if member.name == self.own {
            return;
        }
        let peer = Peer {
            address: member.address,
            incarnation: 0,
            serial: 0,
            before: None,
            heard: now,
            versions: Versions::default(),
        };
        self.peers.entry(member.name).or_insert(peer);
    }

    /// Takes a digest; false if it is older than one that came before. Starts are not ordered by the time
    /// of day: a host's clock steps back by seconds, and an entry that starts again right then would
    /// not be heard until it is forgotten. Datagrams come late by less than a start takes, so only the
    /// start before the newest has to be told apart.
    pub fn record_digest(&mut self, now: Time, digest: &Digest, from: SocketAddr) -> bool {
        if digest.name == self.own {
            return false;
        }
        let known = self.peers.get(&digest.name).filter(|peer| peer.serial > 0);
        let before = match known {
            Some(peer) if peer.incarnation == digest.incarnation => {
                if peer.serial >= digest.serial {
                    return false;
                }
                peer.before
            }
            Some(peer) if peer.before == Some(digest.incarnation) => return false,
            Some(peer) => Some(peer.incarnation),
            None => None,
        };
        let Digest { incarnation, serial, versions, .. } = *digest;
        let peer = Peer { address: from, incarnation, serial, before, heard: now, versions };
        self.peers.insert(digest.name.clone(), peer);
        for member in &digest.members {
            self.add(now, member.clone());
        }
        true
    }

    /// Forgets entries that were silent too long; gives their names.
    pub fn remove_expired(&mut self, now: Time) -> Vec<Arc<str>> {
        let is_gone = |peer: &Peer| now.since(peer.heard) >= FORGET;
        let gone: Vec<Arc<str>> =
            self.peers.iter().filter(|(_, peer)| is_gone(peer)).map(|(name, _)| name.clone()).collect();
        self.peers.retain(|_, peer| !is_gone(peer));
        gone
    }

    /// The entries known, this one not among them.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        self.peers.iter().map(|(name, peer)| Member { name: name.clone(), address: peer.address })
    }

    /// The entries that were heard themselves of late: the only ones to name to others. Passing on
    /// hearsay would keep an entry that is gone in every memory for ever.
    pub fn live_members(&self, now: Time) -> impl Iterator<Item = Member> {
        let is_fresh = move |peer: &Peer| peer.serial > 0 && now.since(peer.heard) < HEARSAY;
        self.peers
            .iter()
            .filter(move |(_, peer)| is_fresh(peer))
            .map(|(name, peer)| Member { name: name.clone(), address: peer.address })
    }

    /// The entries heard of late whose copies of the store have something that `own` lacks.
    pub fn ahead_of(&self, now: Time, own: Versions) -> impl Iterator<Item = Member> {
        self.live_members(now).filter(move |member| {
            self.peers.get(&member.name).is_some_and(|peer| peer.versions.is_ahead_of(own))
        })
    }

    /// How many entries share the traffic, this one among them.
    pub fn count(&self) -> u32 {
        1 + self.peers.len() as u32
    }

    /// How many of the entries known have names before this one's.
    pub fn position(&self) -> u32 {
        self.peers.keys().filter(|name| **name < self.own).count() as u32
    }

    /// How many of the entries heard of late have names before this one's.
    pub fn rank(&self, now: Time) -> u32 {
        self.live_members(now).filter(|member| member.name < self.own).count() as u32
    }

    /// For how long each entry has been silent.
    pub fn silence(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, Duration)> {
        self.peers.iter().map(move |(name, peer)| (name, now.since(peer.heard)))
    }
}
