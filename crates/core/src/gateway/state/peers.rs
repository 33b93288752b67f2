//! Exchange of digests with the other replicas.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use super::State;
use crate::{
    clock::Time,
    gateway::{
        digest::{Digest, Member},
        interval::{digest_interval, forward_interval, urgent_interval},
        mechanism::Mechanism,
        pools::Demands,
        rate_limit::Totals,
        relay::{Bundle, Delivery, Role, Topology},
    },
};

/// One in this many digests carries forecasts and software versions.
const DIGESTS_PER_FULL: u64 = 10;

impl<T> State<T> {
    /// Adds a peer that is listed in the store.
    pub fn add_member(&mut self, now: Time, member: Member) {
        self.extend_roster(now, [&member.name]);
        self.peers.add(now, member);
    }

    /// Records that all peers that the store lists have been added, and know this replica.
    pub fn mark_members_read(&mut self, now: Time) {
        self.roster.mark_read();
        self.budget.record_settled(now);
        self.update_cold_owners(now);
    }

    fn extend_roster<'a>(&mut self, now: Time, names: impl IntoIterator<Item = &'a Arc<str>>) {
        let added = names.into_iter().filter(|name| self.roster.add(name)).count();
        if added > 0 {
            self.update_cold_owners(now);
        }
    }

    /// Applies the digests of a datagram, and keeps those that this replica has to pass on.
    pub fn apply_bundle(&mut self, now: Time, bundle: &Bundle) {
        for parcel in &bundle.parcels {
            if self.apply_digest(now, &parcel.digest, bundle.from)
                && let Some(topology) = &self.topology
            {
                self.outbox.add(&self.identity.member(), topology, &bundle.sender, parcel);
            }
        }
        self.peers.record_datagram(now, &bundle.sender);
    }

    /// Applies the digest of a peer; returns false if it is outdated.
    pub fn apply_digest(&mut self, now: Time, digest: &Digest, from: SocketAddr) -> bool {
        if !self.peers.record_digest(now, digest, from) {
            return false;
        }
        self.staleness.record_peer(now, digest.versions);
        self.apply_contact(now, &digest.name, digest.contact);
        self.merge_evacuations(now, &digest.evacuations);
        self.apply_departures(now, &digest.departures);
        let names = digest.members.iter().map(|member| &member.name).chain([&digest.name]);
        self.extend_roster(now, names);
        self.rate_limiter.apply_digest(now, digest);
        self.loads.apply_digest(now, digest);
        self.waiting_peers.apply(now, &digest.name, &digest.waiting);
        self.apply_holdings(now, digest);
        self.suspects.apply_peer(now, &digest.name, &digest.suspects);
        self.loans.apply(now, &self.identity.name, &digest.name, &digest.unmet, &digest.loans);
        self.apply_limits(now, &digest.limits);
        self.apply_outages(now, &digest.name, &digest.outages);
        self.apply_paces(now, &digest.paces);
        self.forecasts.apply_peer_forecasts(&digest.name, &digest.forecasts);
        for (id, sample) in &digest.speeds {
            if let Some(endpoint) = self.directory.get(id) {
                self.forecasts.apply_peer_speed(now, &endpoint.service, id, *sample);
            }
        }
        if !digest.observed.is_zero() {
            self.history.apply_peer(now, digest.observed, &digest.mixed);
        }
        if !digest.demands.is_empty() {
            self.pools.record_peer_demands(now, &digest.name, &digest.demands);
        }
        for (endpoint, change) in &digest.changing {
            self.pools.record_peer_change(now, endpoint, *change);
        }
        true
    }

    /// Returns whether peers should learn of this replica's spending, of crashes or of outages soon.
    fn is_digest_urgent(&self, now: Time) -> bool {
        self.rate_limiter.is_digest_urgent() || self.suspects.is_urgent(now) || self.loads.outages.is_urgent()
    }

    /// Returns the time from one digest to the next.
    pub fn digest_interval(&self, now: Time) -> Duration {
        let replicas = self.peers.count();
        if self.is_digest_urgent(now) { urgent_interval(replicas) } else { digest_interval(replicas) }
    }

    /// Returns the interval at which digests of other replicas are passed on; `None` if there are
    /// none to pass on.
    pub fn forward_interval(&self) -> Option<Duration> {
        let is_urgent = self.outbox.is_urgent();
        (!self.outbox.is_empty()).then(|| forward_interval(self.peers.count(), is_urgent))
    }

    /// Returns the digests of other replicas that this one passes on, with their recipients.
    pub fn take_forwards(&mut self) -> Vec<Delivery> {
        // In a fleet that has become small, all replicas send their digests directly.
        self.outbox.take(self.topology.as_ref().unwrap_or(&Topology::default()))
    }

    /// Returns the next digest and its recipients.
    pub fn next_digest(&mut self, now: Time) -> (Digest, Vec<Member>) {
        self.serial += 1;
        let is_urgent = self.is_digest_urgent(now);
        let Totals { spent, left, refused } = self.rate_limiter.take_totals(now);
        let own = self.identity.member();
        self.topology = Topology::new(now, &own, &self.peers);
        let (members, recipients) = match &self.topology {
            None => (self.peers.live_members(now).chain([own]).collect(), self.peers.members().collect()),
            Some(Topology { siblings, members, remotes, .. }) => {
                (vec![own], [siblings, members, remotes].into_iter().flatten().cloned().collect())
            }
        };
        let is_due = std::mem::take(&mut self.is_full_digest_due);
        let is_full = is_due || self.serial.is_multiple_of(DIGESTS_PER_FULL);
        let digest = Digest {
            name: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            serial: self.serial,
            is_urgent,
            members,
            spent,
            left,
            refused,
            shares: self.loads.local(),
            failure_permille: self.loads.local_failure_permille(now),
            changing: self.pools.changes(now),
            suspects: self.suspects.report(now, is_full),
            limits: self.limits.report(now),
            unmet: self.loans.unmet(now),
            loans: self.take_loans(now),
            waiting: self.waiting(now),
            holdings: self.holdings(now),
            outages: self.loads.outages.report(now),
            paces: self.loads.paces.report(now),
            speeds: if is_full { self.forecasts.take_speeds(now) } else { BTreeMap::new() },
            demands: if is_full { self.demands(now) } else { BTreeMap::new() },
            versions: self.staleness.own(),
            contact: self.contact.report(now),
            evacuations: self.directory.evacuations().report(now),
            departures: self.directory.departures().collect(),
            observed: if is_full { self.history.span(now) } else { Duration::ZERO },
            mixed: if is_full { self.history.mixed(now) } else { BTreeMap::new() },
            forecasts: if is_full { self.forecasts.local() } else { BTreeMap::new() },
        };
        (digest, recipients)
    }

    /// Returns the demand at this replica for services whose split is computed from that of the fleet.
    fn demands(&self, now: Time) -> Demands {
        let mut demands = self.pools.demands(now);
        demands.retain(|service, _| self.uses(service, Mechanism::Demand));
        demands
    }

    /// Returns the known peers.
    pub fn members(&self) -> Vec<Member> {
        self.peers.members().collect()
    }

    /// Returns whether this replica is a relay of its zone.
    pub fn is_relay(&self) -> bool {
        self.topology.as_ref().is_some_and(|topology| topology.is_relay)
    }

    /// Returns where this replica reads the endpoint table.
    pub fn role(&self) -> Role {
        match &self.topology {
            None => Role::Independent,
            Some(Topology { followed: None, .. }) => Role::Reader,
            Some(Topology { followed: Some(relay), .. }) => Role::Follower(relay.clone()),
        }
    }

    /// Returns the number of replicas that share the traffic, including this one.
    pub fn replica_count(&self) -> u32 {
        self.peers.count()
    }
}
