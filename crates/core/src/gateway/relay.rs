//! Relays, which carry digests between availability zones in large fleets.
//!
//! In a small fleet, each replica sends its digests to every other one. In a large one, a replica
//! sends them to the relays of its zone. These pass them on to the other replicas of the zone and,
//! bundled, to one relay of each other zone. Traffic between zones then grows with the number of
//! replicas, not with its square. Digests keep their origin, incarnation and serial, so a digest
//! that arrives twice or through a changing set of relays counts once.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, sync::Arc};

use xxhash_rust::xxh3::xxh3_64;

use super::digest::{Digest, Member, Peers};

/// Largest number of replicas, including this one, that send their digests to each other directly.
const MAX_DIRECT_REPLICAS: u32 = 8;
/// Relays in each zone; with more than one, the loss of a relay delays only a part of the zone.
const RELAYS_PER_ZONE: usize = 2;

/// A digest and its encoded form, which relays pass on unchanged.
#[derive(Clone, Debug, PartialEq)]
pub struct Parcel {
    /// The digest.
    pub digest: Digest,
    /// The digest as it was received.
    pub encoded: Arc<[u8]>,
}

/// Content of one datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct Bundle {
    /// Name of the replica that sent the datagram.
    pub sender: Arc<str>,
    /// Address that the datagram came from.
    pub from: SocketAddr,
    /// The digests of the sender and of replicas that it relays for.
    pub parcels: Vec<Parcel>,
}

/// Encoded digests and their recipients.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// The encoded digests.
    pub encoded: Vec<Arc<[u8]>>,
    /// Replicas that receive them.
    pub recipients: Vec<Member>,
}

/// Where a replica reads the endpoint table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// From the store, in a small fleet.
    Independent,
    /// From the store, for its zone.
    Reader,
    /// From a relay.
    Follower(Member),
}

/// The replicas that this one sends digests to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    /// Whether this replica is a relay of its zone.
    pub is_relay: bool,
    /// The relay whose copy of the endpoint table this replica follows; `None` if it reads the store.
    pub followed: Option<Member>,
    /// The other relays of the zone.
    pub siblings: Vec<Member>,
    /// The other replicas of the zone; empty unless this replica is a relay.
    pub members: Vec<Member>,
    /// Those members that get other replicas' digests from this relay.
    pub assigned: Vec<Member>,
    /// One relay of each other zone, or all replicas of a zone none of which is known to be alive;
    /// empty unless this replica is a relay.
    pub remotes: Vec<Member>,
}

impl Topology {
    /// Computes the topology as seen by `own`. Returns `None` if the fleet is small enough to do
    /// without relays.
    pub fn new(now: crate::Time, own: &Member, peers: &Peers) -> Option<Self> {
        if peers.count() <= MAX_DIRECT_REPLICAS {
            return None;
        }
        let mut zones: BTreeMap<&str, Vec<(&Member, bool)>> = BTreeMap::new();
        for (member, is_alive) in peers.relay_candidates(now).chain([(own, true)]) {
            zones.entry(&member.zone).or_default().push((member, is_alive));
        }
        let mut local = zones.remove(&*own.zone).unwrap_or_default();
        let relays = rank_relays(&mut local);
        let index = relays.iter().position(|relay| relay.name == own.name);
        let siblings = relays.iter().filter(|relay| relay.name != own.name);
        let followed = match index {
            Some(_) => relays.first().filter(|first| first.name != own.name),
            None => relays.get(peers.position() as usize % relays.len().max(1)),
        };
        let mut topology = Self {
            is_relay: index.is_some(),
            followed: followed.copied().cloned(),
            siblings: siblings.copied().cloned().collect(),
            ..Self::default()
        };
        let Some(index) = index else { return Some(topology) };
        let is_relay = |member: &Member| relays.iter().any(|relay| relay.name == member.name);
        let mut members: Vec<&Member> = local.iter().map(|(member, _)| *member).collect();
        members.retain(|member| !is_relay(member));
        members.sort_by_key(|member| &member.name);
        let is_assigned = |position: usize| position % relays.len() == index;
        topology.assigned = members
            .iter()
            .enumerate()
            .filter(|(at, _)| is_assigned(*at))
            .map(|(_, member)| (*member).clone())
            .collect();
        topology.members = members.into_iter().cloned().collect();
        topology.remotes = zones.values_mut().flat_map(|zone| select_remotes(zone, index)).cloned().collect();
        Some(topology)
    }
}

/// Returns the relays of a zone: the live replicas with the most processor time, and among equals
/// an order that all replicas agree on.
fn rank_relays<'a>(zone: &mut [(&'a Member, bool)]) -> Vec<&'a Member> {
    zone.sort_by_key(|(member, is_alive)| {
        (!is_alive, Reverse(member.millicores), xxh3_64(member.name.as_bytes()))
    });
    let alive = zone.iter().filter(|(_, is_alive)| *is_alive);
    alive.take(RELAYS_PER_ZONE).map(|(member, _)| *member).collect()
}

/// Returns the replicas of another zone to which the relay with this index sends its zone's digests.
fn select_remotes<'a>(zone: &mut [(&'a Member, bool)], index: usize) -> Vec<&'a Member> {
    let relays = rank_relays(zone);
    if relays.is_empty() {
        // Zones that lose their relays at the same time would not find each other's new ones.
        return zone.iter().map(|(member, _)| *member).collect();
    }
    vec![relays[index % relays.len()]]
}

/// How a digest reached this replica, which determines its recipients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// From a replica of this zone, whose digest this is.
    Zone,
    /// From another zone.
    Remote,
    /// From another relay of this zone.
    Sibling,
}

#[derive(Clone, Debug)]
struct Pending {
    source: Source,
    encoded: Arc<[u8]>,
}

/// Digests that this replica still has to pass on.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    /// The newest digest of each origin.
    pending: BTreeMap<Arc<str>, Pending>,
    is_urgent: bool,
}

impl Outbox {
    /// Adds a digest that was new to this replica.
    pub fn add(&mut self, own: &Member, topology: &Topology, sender: &str, parcel: &Parcel) {
        let digest = &parcel.digest;
        let is_local =
            digest.members.iter().any(|member| member.name == digest.name && member.zone == own.zone);
        let is_direct = *sender == *digest.name;
        let source = match is_local {
            // A replica that does not consider itself a relay hands digests to those that are.
            true if is_direct => Source::Zone,
            _ if topology.siblings.iter().any(|sibling| *sibling.name == *sender) => Source::Sibling,
            true => Source::Zone,
            false => Source::Remote,
        };
        if !topology.is_relay && !is_direct {
            return;
        }
        self.is_urgent |= digest.is_urgent;
        self.pending.insert(digest.name.clone(), Pending { source, encoded: parcel.encoded.clone() });
    }

    /// Returns whether any of the digests should be passed on before the next interval.
    pub fn is_urgent(&self) -> bool {
        self.is_urgent
    }

    /// Returns whether there is nothing to pass on.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Removes all digests and returns them with their recipients.
    pub fn take(&mut self, topology: &Topology) -> Vec<Delivery> {
        self.is_urgent = false;
        let pending = std::mem::take(&mut self.pending);
        let select = |is_selected: fn(Source) -> bool| -> Vec<Arc<[u8]>> {
            let selected = pending.values().filter(|pending| is_selected(pending.source));
            selected.map(|pending| pending.encoded.clone()).collect()
        };
        let deliveries = if topology.is_relay {
            vec![
                (select(|source| source == Source::Zone), &topology.remotes),
                // Includes the digests of the zone: a replica that has just started may know one relay only.
                (select(|source| source != Source::Sibling), &topology.siblings),
                (select(|_| true), &topology.assigned),
            ]
        } else {
            vec![(select(|_| true), &topology.siblings)]
        };
        let is_needed =
            |(encoded, to): &(Vec<Arc<[u8]>>, &Vec<Member>)| !encoded.is_empty() && !to.is_empty();
        let needed = deliveries.into_iter().filter(is_needed);
        needed.map(|(encoded, to)| Delivery { encoded, recipients: to.clone() }).collect()
    }
}
