//! Everything that one entry's decisions rest on, behind one door.
//!
//! The control thread owns it. `T` is whom to answer when a request that waits is placed.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use super::{
    allowance::Allowance,
    budget::{Budget, Rule},
    catalog::{Catalog, Customer},
    digest::{Digest, Member, Peers, Share},
    directory::{Change, Directory, Endpoint, Row, Stage},
    health::Outcome,
    line::{Line, Verdict, Waiting},
    load::{Lease, Loads},
    placement::{Pairing, Reader, Run, Turn, View, spare},
    pools::{Order, Pools},
    suspect::Suspects,
};
use crate::{
    clock::Time,
    refusal::{Code, Refusal},
};

/// What callers are told to wait when an endpoint is expected back soon.
pub const COME_BACK: Duration = Duration::from_millis(1_000);

/// Who this entry is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Tells starts of one name apart; drawn at random.
    pub incarnation: u64,
    /// Where it hears digests.
    pub address: SocketAddr,
}

/// An endpoint for a request, and the request's part in its load.
#[derive(Clone, Debug)]
pub struct Place {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// To be given back when the request ends there.
    pub lease: Lease,
    /// Prompt tokens that were to be read there before it.
    pub ahead: u64,
}

/// A list of endpoints, or a part that changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Version of the list.
    pub version: u64,
    /// Whether rows that are missing are gone.
    pub whole: bool,
    /// The rows.
    pub rows: Vec<Row>,
}

/// What a request asks to be admitted with.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Who calls.
    pub customer: Option<Arc<Customer>>,
    /// Tokens it counts for.
    pub tokens: u64,
    /// Where it goes.
    pub service: Arc<str>,
    /// Digest of customer, path and body.
    pub fingerprint: u64,
}

/// Where a completion runs.
#[derive(Clone, Debug)]
pub struct Pair {
    /// Where its tokens are made.
    pub run: Place,
    /// Where its prompt is read; without one, where its tokens are made.
    pub reader: Option<Place>,
}

/// Whom to answer, and how.
pub type Placed<T> = (Waiting<T>, Verdict<Pair>);

/// The state of one entry.
#[derive(Debug)]
pub struct State<T> {
    identity: Identity,
    catalog: Option<Arc<Catalog>>,
    /// Orders versions of the catalog; larger is newer.
    catalog_order: u64,
    directory: Directory,
    loads: Loads,
    allowance: Allowance,
    budget: Budget,
    peers: Peers,
    line: Line<T>,
    suspects: Suspects,
    pools: Pools,
    serial: u64,
}

impl<T> State<T> {
    /// The state of an entry that starts now.
    pub fn new(identity: Identity, retries: Rule, now: Time) -> Self {
        Self {
            peers: Peers::new(identity.name.clone()),
            identity,
            catalog: None,
            catalog_order: 0,
            directory: Directory::default(),
            loads: Loads::default(),
            allowance: Allowance::new(now),
            budget: Budget::new(retries, now),
            line: Line::default(),
            suspects: Suspects::default(),
            pools: Pools::default(),
            serial: 0,
        }
    }

    /// Puts a configuration in force, unless it is older than the one that is; says whether it did.
    pub fn adopt(&mut self, now: Time, order: u64, catalog: Arc<Catalog>) -> bool {
        if self.catalog.is_some() && order <= self.catalog_order {
            return false;
        }
        self.allowance.adjust(now, catalog.customers());
        self.catalog_order = order;
        self.catalog = Some(catalog);
        true
    }

    /// Takes a list of endpoints that the store gave.
    pub fn list(&mut self, now: Time, listing: Listing) -> Vec<Change> {
        self.directory.heard(now);
        self.told(now, listing)
    }

    /// Takes a list of endpoints, whoever gave it.
    pub fn told(&mut self, now: Time, listing: Listing) -> Vec<Change> {
        let changes = if listing.whole {
            self.directory.replace(now, listing.version, listing.rows)
        } else {
            self.directory.update(now, listing.version, listing.rows)
        };
        self.follow(now, &changes);
        changes
    }

    fn follow(&mut self, now: Time, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Restarted(endpoint) => {
                    self.suspects.crashed(now, &endpoint.id);
                    self.pools.dropped(&endpoint.id);
                }
                Change::Gone(endpoint) => {
                    self.suspects.crashed(now, &endpoint.id);
                    self.loads.forget(&endpoint.id);
                }
                Change::Seen(endpoint) => self.pools.seen(endpoint),
                Change::Leaving(_) | Change::Lapsed(_) => {}
            }
        }
    }

    /// The store cannot be reached.
    pub fn store_lost(&mut self) {
        self.directory.lost();
    }

    /// Takes an entry that the store names.
    pub fn member(&mut self, now: Time, member: Member) {
        self.peers.named(now, member);
    }

    /// Takes another entry's digest.
    pub fn heard(&mut self, now: Time, digest: &Digest, from: SocketAddr) {
        if !self.peers.heard(now, digest, from) {
            return;
        }
        self.allowance.heard(now, digest);
        self.loads.heard(now, digest);
        self.suspects.heard(digest);
        for (endpoint, change) in &digest.changing {
            self.pools.heard(now, endpoint, *change);
        }
    }

    /// What this entry tells the others, and whom.
    pub fn digest(&mut self, now: Time) -> (Digest, Vec<Member>) {
        self.serial += 1;
        let own = Member { name: self.identity.name.clone(), address: self.identity.address };
        let members = self.peers.heard_of_late(now).chain([own]).collect();
        let digest = Digest {
            name: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            serial: self.serial,
            members,
            spent: self.allowance.spent(),
            left: self.allowance.left(now),
            shares: self.loads.own(),
            failing: self.loads.own_failing(now),
            changing: self.pools.changes(now),
            suspects: self.suspects.told(now),
        };
        (digest, self.peers.members().collect())
    }

    /// What passes by itself with time; call it several times a second.
    pub fn settle(&mut self, now: Time) -> (Vec<Change>, Vec<Arc<str>>) {
        let gone = self.peers.settle(now);
        for peer in &gone {
            self.allowance.forget(peer);
            self.suspects.forget(peer);
        }
        self.allowance.settle(now, &self.peers);
        let changes = self.directory.settle(now);
        self.follow(now, &changes);
        (changes, gone)
    }

    /// Whether a request may run at all; charges its customer if so.
    pub fn admit(&mut self, now: Time, admission: &Admission) -> Result<(), Refusal> {
        if self.suspects.is_refused(now, admission.fingerprint) {
            return Err(Refusal::not_run(Code::Quarantined, "this request has crashed endpoints"));
        }
        if let Some(customer) = &admission.customer
            && let Err(wait) = self.allowance.spend(now, &customer.name, admission.tokens)
        {
            let left = self.allowance.left_to(&customer.name);
            let Customer { name, rate, burst, .. } = &**customer;
            let asked = admission.tokens;
            let message = format!("{name} has {left} tokens left, asked {asked}; rate {rate}, burst {burst}");
            return Err(Refusal::not_run(Code::OverRate, message).retry_after(wait));
        }
        self.budget.request(now, &admission.service);
        Ok(())
    }

    /// Gives back what a request was charged that nobody ran.
    pub fn give_back(&mut self, admission: &Admission) {
        if let Some(customer) = &admission.customer {
            self.allowance.give_back(&customer.name, admission.tokens);
        }
    }

    /// Whether a request may be sent to a further endpoint; pays for it if so.
    pub fn retry(&mut self, now: Time, service: &Arc<str>) -> bool {
        self.budget.extra(now, service, self.peers.count())
    }

    /// What a service's requests are split into, at this moment.
    pub fn is_split(&self, now: Time, service: &str) -> bool {
        let view = self.view(now);
        view.has(service, Stage::Decode) || view.has(service, Stage::Prefill)
    }

    /// An endpoint for a whole request.
    pub fn whole(&mut self, now: Time, service: &str, avoid: &[Arc<str>]) -> Result<Place, Refusal> {
        let found = self.view(now).whole(service, avoid);
        let share = Share { running: 1, ..Share::default() };
        found.map(|endpoint| take(&mut self.loads, now, endpoint, share)).ok_or_else(no_endpoint)
    }

    /// A further endpoint that reads a prompt of `tokens` for a run in `zone`; none if none can.
    pub fn prefill(
        &mut self,
        now: Time,
        service: &str,
        tokens: u64,
        zone: &str,
        avoid: &[Arc<str>],
    ) -> Option<Place> {
        let Reader::Endpoint(endpoint) = self.view(now).prefill(service, zone, avoid) else { return None };
        let share = Share { reading: tokens, ..Share::default() };
        Some(take(&mut self.loads, now, endpoint, share))
    }

    /// Lines a request up for a decode endpoint; whoever is placed then comes out of [`Self::pump`].
    pub fn line_up(&mut self, now: Time, waiting: Waiting<T>) {
        if let Some(engine) =
            self.catalog.as_ref().and_then(|catalog| catalog.service(&waiting.service)?.engine)
        {
            self.pools.note(now, &waiting.service, &engine, waiting.prompt, waiting.expected);
        }
        self.line.push(waiting);
    }

    /// The next endpoint that should change its pool; call it once a tick.
    pub fn order(&mut self, now: Time) -> Option<Order> {
        let catalog = self.catalog.clone()?;
        let rank = self.peers.rank(now);
        let Self { pools, directory, loads, .. } = self;
        catalog.services().find_map(|service| pools.next(now, &service.name, directory, loads, rank))
    }

    /// An order was not carried out.
    pub fn order_dropped(&mut self, endpoint: &str) {
        self.pools.dropped(endpoint);
    }

    /// Places those in the line whom there is room for.
    pub fn pump(&mut self, now: Time) -> Vec<Placed<T>> {
        let Some(catalog) = self.catalog.clone() else { return Vec::new() };
        let turn = self.turn();
        let Self { line, loads, directory, pools, identity, .. } = self;
        line.pump(now, |waiting| {
            let engine = catalog.service(&waiting.service)?.engine?;
            let view = View { now, directory, loads, pools, zone: &identity.zone, turn };
            let run = Run {
                prompt: waiting.prompt,
                memory: waiting.memory,
                spare: spare(&engine, waiting.is_late(now)),
                gap: waiting.gap,
                avoid: &waiting.avoid,
            };
            let Pairing { endpoint, reader } = view.pair(&waiting.service, &engine, &run)?;
            let reading = Share { reading: waiting.prompt, ..Share::default() };
            let own_reading = if reader.is_some() { 0 } else { waiting.prompt };
            let share = Share { running: 1, memory: waiting.memory, reading: own_reading };
            let run = take(loads, now, endpoint, share);
            let reader = reader.map(|reader| take(loads, now, reader, reading));
            Some(Pair { run, reader })
        })
    }

    /// What decides who is placed, in one line for logs.
    pub fn describe(&self, now: Time, service: &str) -> String {
        let waiting = self.line.len();
        format!("{waiting} wait; {}", self.view(now).describe(service, Stage::Decode))
    }

    /// Drops those in the line whose callers are gone.
    pub fn retain_line(&mut self, keep: impl Fn(&T) -> bool) {
        self.line.retain(keep);
    }

    /// How many wait.
    pub fn line_length(&self) -> usize {
        self.line.len()
    }

    /// A request's answer has begun.
    pub fn answered(&mut self, now: Time, lease: &Lease) {
        self.loads.answered(now, lease);
    }

    /// A request has ended at its endpoint.
    pub fn ended(&mut self, now: Time, lease: &Lease, outcome: Outcome) {
        self.loads.give_back(now, lease, outcome);
        if outcome == Outcome::Unreachable {
            self.suspects.crashed(now, &lease.endpoint);
        }
        if self.directory.get(&lease.endpoint).is_none() {
            self.loads.forget(&lease.endpoint);
        }
    }

    /// A request broke off at an endpoint.
    pub fn broke(&mut self, now: Time, endpoint: &Arc<str>, fingerprint: u64) {
        self.suspects.broke(now, endpoint, fingerprint);
    }

    /// Whether configuration and endpoints have been read, so that requests can be placed.
    pub fn is_informed(&self) -> bool {
        self.catalog.is_some() && self.directory.is_known()
    }

    /// The configuration in force.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// The other entries known.
    pub fn members(&self) -> Vec<Member> {
        self.peers.members().collect()
    }

    /// The list of endpoints, for an entry that cannot read it.
    pub fn listing(&self) -> Listing {
        let (version, rows) = self.directory.listed();
        Listing { version, whole: true, rows }
    }

    /// The endpoints known.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// What is under way.
    pub fn loads(&self) -> &Loads {
        &self.loads
    }

    /// Tokens left, by customer.
    pub fn left(&mut self, now: Time) -> BTreeMap<Arc<str>, i64> {
        self.allowance.left(now)
    }

    /// The entries that share the traffic, this one among them.
    pub fn sharers(&self) -> u32 {
        self.peers.count()
    }

    fn view(&self, now: Time) -> View<'_> {
        View {
            now,
            directory: &self.directory,
            loads: &self.loads,
            pools: &self.pools,
            zone: &self.identity.zone,
            turn: self.turn(),
        }
    }

    fn turn(&self) -> Turn {
        Turn { rank: self.peers.position(), count: self.peers.count() }
    }
}

fn take(loads: &mut Loads, now: Time, endpoint: Arc<Endpoint>, share: Share) -> Place {
    let ahead = loads.get(&endpoint.id).map_or(0, |load| load.all(now).reading);
    let lease = loads.take(now, &endpoint.id, share);
    Place { endpoint, lease, ahead }
}

fn no_endpoint() -> Refusal {
    Refusal::not_run(Code::NoEndpoint, "no endpoint can be reached").retry_after(COME_BACK)
}
