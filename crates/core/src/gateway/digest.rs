//! State that replicas exchange in datagrams, and the list of peers.
//!
//! A digest holds running totals instead of changes, so lost, repeated or reordered datagrams only
//! delay what peers know.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use super::{
    contact,
    directory::{Departure, Stage},
    evacuation, fairness,
    forecast::Forecast,
    growth::Growth,
    interval::digest_interval,
    limit,
    loan::Loan,
    order, outage, pace, pools, speed,
    staleness::Versions,
    suspect,
};
use crate::clock::Time;

/// Time without a digest after which a peer is removed. A host that is frozen or partitioned for a
/// few seconds stays in the list.
const PEER_EXPIRY: Duration = Duration::from_secs(12);

/// Time without a digest after which a peer is no longer passed on to others; tolerates lost
/// datagrams.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without a datagram after which a peer that used to send some is no longer used as a relay, in
/// digest intervals. Replicas notice the loss of a relay before they charge the peers behind it for
/// their silence.
const RELAY_TIMEOUT_INTERVALS: f64 = 4.5;

/// Time without a datagram after which a peer no longer counts as a direct sender, in digest intervals.
const SENDER_TIMEOUT_INTERVALS: f64 = 30.0;

/// Time without a digest after which a peer that sends no datagrams here is not used as a relay, in
/// digest intervals.
const MEMBER_TIMEOUT_INTERVALS: f64 = 15.0;

/// Load that one replica has placed on one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Requests in flight.
    pub running: u32,
    /// KV cache reserved for them, in tokens.
    pub memory: u64,
    /// Prompt tokens sent for prefill that is not finished yet.
    pub prefill_tokens: u64,
    /// Expected KV cache use of the runs over time.
    pub growth: Growth,
}

/// A pending change of an endpoint's stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageChange {
    /// The new stage.
    pub stage: Stage,
    /// Longest time for which the endpoint still gets no requests.
    pub remaining: Duration,
}

/// Summary of a replica's state, sent to its peers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Digest {
    /// Name of the sender.
    pub name: Arc<str>,
    /// Random number that identifies one start of the sender; not ordered.
    pub incarnation: u64,
    /// Increases with each digest of an incarnation.
    pub serial: u64,
    /// Whether relays should pass the digest on without delay.
    pub is_urgent: bool,
    /// The sender. Without relays, also the peers that it considers live.
    pub members: Vec<Member>,
    /// Tokens spent by customers at the sender since its start. Customers that do not fit into this
    /// digest follow in later ones.
    pub spent: BTreeMap<Arc<str>, u64>,
    /// Tokens left to the same customers according to the sender, rounded towards zero.
    pub left: BTreeMap<Arc<str>, i64>,
    /// Size in tokens of the largest request of these customers that the sender refused lately.
    pub refused: BTreeMap<Arc<str>, u64>,
    /// Load of the sender by endpoint.
    pub shares: BTreeMap<Arc<str>, Share>,
    /// Recent failure ratio of each endpoint at the sender, in thousandths; healthy endpoints are
    /// left out.
    pub failure_permille: BTreeMap<Arc<str>, u16>,
    /// Endpoints that the sender has ordered to change their stage.
    pub changing: BTreeMap<Arc<str>, StageChange>,
    /// Requests and parts of prompts that may have crashed endpoints; not all of them in most digests.
    pub suspects: Vec<suspect::Report>,
    /// Limits that endpoints named in responses to the sender.
    pub limits: BTreeMap<Arc<str>, limit::Report>,
    /// Requests by service that lately found no turn at throttled endpoints of the sender.
    pub unmet: BTreeMap<Arc<str>, u32>,
    /// Turns at throttled endpoints that the sender lends.
    pub loans: Vec<Loan>,
    /// Versions of the sender's copy of the store.
    pub versions: Versions,
    /// The sender's contact with the store; `None` while it cannot read the endpoints.
    pub contact: Option<contact::Report>,
    /// Evacuated zones. Receivers act on them without reading the store.
    pub evacuations: evacuation::Report,
    /// Endpoints that have left although the store still lists them.
    pub departures: Vec<Departure>,
    /// Requests that wait for memory at the sender.
    pub waiting: order::Report,
    /// Memory of customers at the sender.
    pub holdings: fairness::Report,
    /// Endpoints that refused connections of the sender.
    pub outages: outage::Report,
    /// Paces of endpoints that have just started or recovered.
    pub paces: pace::Report,
    /// Speeds of endpoints as the sender observed them; empty in most digests.
    pub speeds: speed::Report,
    /// Demand at the sender by service; empty in most digests.
    pub demands: pools::Demands,
    /// How long the sender has known all changes of the endpoints; zero while it cannot read the store, and in most digests.
    pub observed: Duration,
    /// Services that had endpoints of several software versions, with the time since then; complete if `observed` is not zero.
    pub mixed: BTreeMap<Arc<str>, Duration>,
    /// Forecasts by service, mainly for replicas that have just started; empty in most digests.
    pub forecasts: BTreeMap<Arc<str>, Forecast>,
}

/// Identity of a replica among its peers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Unique name.
    pub name: Arc<str>,
    /// Address that receives digests.
    pub address: SocketAddr,
    /// Availability zone; empty if unknown.
    pub zone: Arc<str>,
    /// Processor time that the replica may use, in thousandths of a core; zero if unknown.
    pub millicores: u32,
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    incarnation: u64,
    /// Serial of the newest digest; zero while the peer is known only from others.
    serial: u64,
    /// The incarnation before this one; its late datagrams are ignored.
    previous_incarnation: Option<u64>,
    /// Time of the newest digest, or of the first mention by another peer.
    last_contact: Time,
    /// Time of the newest datagram that the peer itself sent here.
    last_datagram: Option<Time>,
    /// Versions in the newest digest.
    versions: Versions,
}

/// The other replicas.
#[derive(Clone, Debug)]
pub struct Peers {
    own: Arc<str>,
    peers: BTreeMap<Arc<str>, Peer>,
}

impl Peers {
    /// Creates an empty list; `own` is the name of this replica.
    pub fn new(own: Arc<str>) -> Self {
        Self { own, peers: BTreeMap::new() }
    }

    /// Adds a peer that was learned from the store or from another peer; a known peer is kept as it
    /// is.
    pub fn add(&mut self, now: Time, member: Member) {
        if member.name == self.own {
            return;
        }
        let name = member.name.clone();
        let peer = Peer {
            member,
            incarnation: 0,
            serial: 0,
            previous_incarnation: None,
            last_contact: now,
            last_datagram: None,
            versions: Versions::default(),
        };
        self.peers.entry(name).or_insert(peer);
    }

    /// Records that a datagram came from a peer itself and not through a relay.
    pub fn record_datagram(&mut self, now: Time, sender: &str) {
        if let Some(peer) = self.peers.get_mut(sender) {
            peer.last_datagram = Some(now);
        }
    }

    /// Records a digest; returns false if it is outdated. `from` is the sender's address, unless the
    /// digest itself names it. Incarnations are random, not ordered by the clock, since clocks can step
    /// back between two starts. A late datagram is at most one incarnation old, so only the previous
    /// incarnation has to be remembered.
    pub fn record_digest(&mut self, now: Time, digest: &Digest, from: SocketAddr) -> bool {
        if digest.name == self.own {
            return false;
        }
        let known = self.peers.get(&digest.name).filter(|peer| peer.serial > 0);
        let previous_incarnation = match known {
            Some(peer) if peer.incarnation == digest.incarnation => {
                if peer.serial >= digest.serial {
                    return false;
                }
                peer.previous_incarnation
            }
            Some(peer) if peer.previous_incarnation == Some(digest.incarnation) => return false,
            Some(peer) => Some(peer.incarnation),
            None => None,
        };
        let Digest { incarnation, serial, versions, .. } = *digest;
        let unnamed =
            || Member { name: digest.name.clone(), address: from, zone: Arc::default(), millicores: 0 };
        let member = digest.members.iter().find(|member| member.name == digest.name);
        let peer = Peer {
            member: member.cloned().unwrap_or_else(unnamed),
            incarnation,
            serial,
            previous_incarnation,
            last_contact: now,
            last_datagram: self.peers.get(&digest.name).and_then(|peer| peer.last_datagram),
            versions,
        };
        self.peers.insert(digest.name.clone(), peer);
        for member in &digest.members {
            self.add(now, member.clone());
        }
        true
    }

    /// Removes peers whose digests have stopped, and returns their names.
    pub fn remove_expired(&mut self, now: Time) -> Vec<Arc<str>> {
        let is_expired = |peer: &Peer| now.since(peer.last_contact) >= PEER_EXPIRY;
        let expired: Vec<Arc<str>> =
            self.peers.iter().filter(|(_, peer)| is_expired(peer)).map(|(name, _)| name.clone()).collect();
        self.peers.retain(|_, peer| !is_expired(peer));
        expired
    }

    /// Returns all known peers.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        self.peers.values().map(|peer| peer.member.clone())
    }

    /// Returns the peers with a recent digest. Only these are passed on to others: otherwise,
    /// replicas would keep adding a stopped peer to each other's lists.
    pub fn live_members(&self, now: Time) -> impl Iterator<Item = Member> {
        let is_live = move |peer: &Peer| peer.serial > 0 && now.since(peer.last_contact) < LIVENESS_TIMEOUT;
        self.peers.values().filter(move |peer| is_live(peer)).map(|peer| peer.member.clone())
    }

    /// Returns the peers that may serve as relays, with whether each is considered alive. A peer that
    /// sends datagrams here must keep doing so; of others only digests through relays can tell.
    pub(super) fn relay_candidates(&self, now: Time) -> impl Iterator<Item = (&Member, bool)> {
        let interval = digest_interval(self.count());
        self.peers.values().map(move |peer| {
            let silence = peer.last_datagram.map(|at| now.since(at));
            let is_sender = |silence: &Duration| *silence < interval.mul_f64(SENDER_TIMEOUT_INTERVALS);
            let is_alive = match silence.filter(is_sender) {
                Some(silence) => silence < interval.mul_f64(RELAY_TIMEOUT_INTERVALS),
                None => now.since(peer.last_contact) < interval.mul_f64(MEMBER_TIMEOUT_INTERVALS),
            };
            (&peer.member, is_alive)
        })
    }

    /// Returns the incarnation of each live peer.
    pub fn incarnations(&self, now: Time) -> impl Iterator<Item = (Arc<str>, u64)> {
        let is_live = move |peer: &Peer| peer.serial > 0 && now.since(peer.last_contact) < LIVENESS_TIMEOUT;
        let live = self.peers.iter().filter(move |(_, peer)| is_live(peer));
        live.map(|(name, peer)| (name.clone(), peer.incarnation))
    }

    /// Returns the live peers whose copy of the store is newer than `own` in any part.
    pub fn ahead_of(&self, now: Time, own: Versions) -> impl Iterator<Item = Member> {
        self.live_members(now).filter(move |member| {
            self.peers.get(&member.name).is_some_and(|peer| peer.versions.is_ahead_of(own))
        })
    }

    /// Returns whether the copy of the store at any live peer meets a condition.
    pub fn any_live(&self, now: Time, is_met: impl Fn(Versions) -> bool) -> bool {
        self.live_members(now)
            .any(|member| self.peers.get(&member.name).is_some_and(|peer| is_met(peer.versions)))
    }

    /// Returns the number of replicas, including this one.
    pub fn count(&self) -> u32 {
        1 + self.peers.len() as u32
    }

    /// Returns how many peers have names that sort before this replica's.
    pub fn position(&self) -> u32 {
        self.peers.keys().filter(|name| **name < self.own).count() as u32
    }

    /// Returns how many live peers have names that sort before this replica's.
    pub fn rank(&self, now: Time) -> u32 {
        self.live_members(now).filter(|member| member.name < self.own).count() as u32
    }

    /// Returns the time since the last digest of each peer, or since its first mention if there was
    /// none.
    pub fn silence(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, Duration)> {
        self.peers.iter().map(move |(name, peer)| (name, now.since(peer.last_contact)))
    }
}
