//! Simulation of the digests in a fleet of gateways: the gateways' own state over a simulated network and
//! clock.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use prost::Message as _;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tarragonhill_core::{
    Time,
    gateway::{
        budget::Rule,
        catalog::{Catalog, Customer, Engine, Limits, Service},
        cold::Tolerance,
        completion::Completion,
        digest::Member,
        directory::{Endpoint, Row, Stage},
        forecast::Size,
        health::Outcome,
        position::Position,
        queue::Verdict,
        relay::{Bundle, Parcel, Role},
        state::{Admission, Identity, Listing, Pair, State},
    },
};
use tarragonhill_wire::{digest::EncodedDigest, proto};

const SERVICE: &str = "drafting";
/// Step of the simulated clock.
const STEP: Duration = Duration::from_millis(5);
/// Latency of datagrams within an availability zone and between two.
const ZONE_LATENCY: Duration = Duration::from_micros(100);
const CROSS_ZONE_LATENCY: Duration = Duration::from_millis(1);
/// Interval at which the age of the replicas' knowledge is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Time after start from which ages are sampled.
const WARM_UP: Duration = Duration::from_secs(2);
/// Duration of each simulated run at its endpoint.
const RUN_DURATION: Duration = Duration::from_millis(900);
/// Bytes of IP and UDP headers.
const HEADER_BYTES: u64 = 28;

/// Size of a fleet and its load.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Number of gateways.
    pub replicas: usize,
    /// Number of availability zones, over which gateways and endpoints are spread evenly.
    pub zones: usize,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Number of customers.
    pub customers: usize,
    /// Completions per second and gateway.
    pub rate: f64,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Sends each gateway's digest to all others instead of the recipients that it chose.
    pub is_direct: bool,
    /// Seed of the load and the losses.
    pub seed: u64,
}

impl Shape {
    /// Returns a fleet with five zones and the usual load.
    pub fn of(replicas: usize) -> Self {
        Self {
            replicas,
            zones: 5,
            endpoints: replicas * 2,
            customers: 19,
            rate: 1.6,
            loss: 0.0,
            is_direct: false,
            seed: 1,
        }
    }
}

/// Measurements of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Simulated time.
    pub elapsed: Duration,
    /// Bytes sent, with headers.
    pub bytes: u64,
    /// Bytes sent between zones, with headers.
    pub cross_zone_bytes: u64,
    /// Datagrams sent.
    pub datagrams: u64,
    /// Processor time of all gateways' digests.
    pub processor_time: Duration,
    /// Sampled ages of the newest digest that a live gateway has of another live one, sorted.
    pub ages: Vec<Duration>,
}

impl Report {
    /// Returns an age that the given fraction of samples does not exceed.
    pub fn age(&self, fraction: f64) -> Duration {
        let last = self.ages.len().saturating_sub(1);
        self.ages.get((last as f64 * fraction) as usize).copied().unwrap_or_default()
    }

    /// Returns a value per gateway and second.
    pub fn per_replica(&self, total: f64, replicas: usize) -> f64 {
        total / replicas as f64 / self.elapsed.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}

struct Replica {
    state: State<()>,
    member: Member,
    zone: usize,
    next_digest: Time,
    last_forward: Time,
    is_running: bool,
    /// Creation time of the newest digest received from each replica.
    newest: BTreeMap<Arc<str>, Time>,
    runs: Vec<(Time, Pair)>,
}

struct Datagram {
    to: usize,
    bytes: Arc<[u8]>,
    from: SocketAddr,
}

/// A fleet of gateways that exchange digests.
pub struct Simulation {
    shape: Shape,
    now: Time,
    replicas: Vec<Replica>,
    in_flight: BTreeMap<(Time, u64), Datagram>,
    sent: u64,
    /// Zones that are cut off from the others.
    partitioned: BTreeSet<usize>,
    /// Creation time of each digest, by name, incarnation and serial.
    created: BTreeMap<(Arc<str>, u64, u64), Time>,
    is_loaded: bool,
    rng: ChaCha8Rng,
    report: Report,
    started: Time,
}

impl Simulation {
    /// Creates a fleet whose gateways have read each other's addresses, the configuration and the endpoints.
    pub fn new(shape: Shape) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(shape.seed);
        let members: Vec<Member> = (0..shape.replicas).map(|index| member(index, shape.zones)).collect();
        let catalog = catalog(shape.customers);
        let replicas = members
            .iter()
            .enumerate()
            .map(|(index, member)| {
                let mut state = start(member, 1, shape, &catalog);
                members.iter().for_each(|other| state.add_member(Time::ZERO, other.clone()));
                Replica {
                    state,
                    member: member.clone(),
                    zone: index % shape.zones,
                    next_digest: Time::ZERO.plus(Duration::from_millis(rng.random_range(0..100))),
                    last_forward: Time::ZERO,
                    is_running: true,
                    newest: BTreeMap::new(),
                    runs: Vec::new(),
                }
            })
            .collect();
        Self {
            shape,
            now: Time::ZERO,
            replicas,
            in_flight: BTreeMap::new(),
            sent: 0,
            partitioned: BTreeSet::new(),
            created: BTreeMap::new(),
            is_loaded: true,
            rng,
            report: Report::default(),
            started: Time::ZERO,
        }
    }

    /// Stops a gateway without notice.
    pub fn kill(&mut self, index: usize) {
        self.replicas[index].is_running = false;
    }

    /// Starts a gateway again that knows only the configuration and the endpoints.
    pub fn restart(&mut self, index: usize) {
        let catalog = catalog(self.shape.customers);
        let replica = &mut self.replicas[index];
        replica.state =
            start(&replica.member, 1 + self.now.since(Time::ZERO).as_millis() as u64, self.shape, &catalog);
        replica.newest.clear();
        replica.runs.clear();
        replica.is_running = true;
        replica.next_digest = self.now;
    }

    /// Returns the indexes of the gateways that relay for a zone, as these see it.
    pub fn relays(&self, zone: usize) -> Vec<usize> {
        let is_relay =
            |replica: &Replica| replica.zone == zone && replica.is_running && replica.state.is_relay();
        self.replicas
            .iter()
            .enumerate()
            .filter(|(_, replica)| is_relay(replica))
            .map(|(index, _)| index)
            .collect()
    }

    /// Returns the number of gateways of a zone that read the endpoint table from the store.
    pub fn readers(&self, zone: usize) -> usize {
        let running = self.replicas.iter().filter(|replica| replica.zone == zone && replica.is_running);
        running.filter(|replica| !matches!(replica.state.role(), Role::Follower(_))).count()
    }

    /// Cuts a zone off from the others, or ends the cut.
    pub fn set_partitioned(&mut self, zone: usize, is_partitioned: bool) {
        if is_partitioned {
            self.partitioned.insert(zone);
        } else {
            self.partitioned.remove(&zone);
        }
    }

    /// Stops new completions; those that run continue until they are released.
    pub fn freeze_load(&mut self) {
        self.is_loaded = false;
        for replica in &mut self.replicas {
            for (until, _) in &mut replica.runs {
                *until = Time::ZERO.plus(Duration::from_secs(1 << 30));
            }
        }
    }

    /// Starts a new report.
    pub fn reset_report(&mut self) {
        self.report = Report::default();
        self.started = self.now;
    }

    /// Returns the report since the start or the last reset.
    pub fn report(&self) -> Report {
        let mut report = self.report.clone();
        report.ages.sort();
        report.elapsed = self.now.since(self.started);
        report
    }

    /// Spends a customer's tokens at a gateway; returns whether they were granted.
    pub fn spend(&mut self, index: usize, customer: &str, tokens: u64) -> bool {
        let admission = Admission {
            customer: Some(Arc::new(customer_of(customer))),
            tokens,
            service: SERVICE.into(),
            suspects: Arc::default(),
        };
        self.replicas[index].state.admit(self.now, &admission).is_ok()
    }

    /// Returns the tokens left to a customer as a gateway knows them.
    pub fn tokens_left(&mut self, index: usize, customer: &str) -> i64 {
        self.replicas[index].state.tokens_left(self.now).get(customer).copied().unwrap_or_default()
    }

    /// Returns the runs of each endpoint as a gateway knows them, and as they are.
    pub fn runs(&self, index: usize) -> (BTreeMap<Arc<str>, u32>, BTreeMap<Arc<str>, u32>) {
        let mut actual: BTreeMap<Arc<str>, u32> = BTreeMap::new();
        for replica in self.replicas.iter().filter(|replica| replica.is_running) {
            for (_, pair) in &replica.runs {
                *actual.entry(pair.decode.endpoint.id.clone()).or_default() += 1;
            }
        }
        let state = &self.replicas[index].state;
        let loads = state.directory().all().map(|endpoint| {
            let load = state.loads().get(&endpoint.id);
            (endpoint.id.clone(), load.map_or(0, |load| load.total(self.now).running))
        });
        (loads.filter(|(_, running)| *running > 0).collect(), actual)
    }

    /// Runs the fleet for a simulated duration.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now.plus(duration);
        while self.now < end {
            self.now = self.now.plus(STEP);
            self.deliver();
            for index in 0..self.replicas.len() {
                if self.replicas[index].is_running {
                    self.step(index);
                }
            }
            if self.now.since(self.started) >= WARM_UP
                && self.now.since(Time::ZERO).as_millis().is_multiple_of(SAMPLE_INTERVAL.as_millis())
            {
                self.sample_ages();
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let Datagram { to, bytes, from } = entry.remove();
            let replica = &mut self.replicas[to];
            if !replica.is_running {
                continue;
            }
            let began = Instant::now();
            let Ok(bundle) = proto::Bundle::decode(&*bytes) else { continue };
            let digests = bundle.digests.into_iter().map(EncodedDigest);
            let parcels: Vec<Parcel> = digests.filter_map(|digest| Parcel::try_from(digest).ok()).collect();
            let bundle = Bundle { sender: bundle.sender.into(), from, parcels };
            replica.state.apply_bundle(self.now, &bundle);
            self.report.processor_time += began.elapsed();
            for Parcel { digest, .. } in &bundle.parcels {
                let key = (digest.name.clone(), digest.incarnation, digest.serial);
                let Some(created) = self.created.get(&key) else { continue };
                let newest = replica.newest.entry(digest.name.clone()).or_insert(*created);
                *newest = (*newest).max(*created);
            }
        }
    }

    fn step(&mut self, index: usize) {
        self.update_load(index);
        let began = Instant::now();
        let replica = &mut self.replicas[index];
        let mut deliveries: Vec<(Vec<Vec<u8>>, Vec<Member>)> = Vec::new();
        if self.now >= replica.next_digest {
            replica.state.tick(self.now);
            let (mut digest, mut recipients) = replica.state.next_digest(self.now);
            replica.next_digest = self.now.plus(replica.state.digest_interval(self.now));
            if self.shape.is_direct {
                recipients = replica.state.members();
                digest.members.extend(recipients.iter().cloned());
                replica.next_digest = self.now.plus(Duration::from_millis(100));
            }
            self.created.insert((digest.name.clone(), digest.incarnation, digest.serial), self.now);
            deliveries.push((vec![proto::Digest::from(&digest).encode_to_vec()], recipients));
        }
        if let Some(interval) = replica.state.forward_interval()
            && self.now.since(replica.last_forward) >= interval
        {
            replica.last_forward = self.now;
            for delivery in replica.state.take_forwards() {
                let encoded = delivery.encoded.iter().map(|encoded| encoded.to_vec()).collect();
                deliveries.push((encoded, delivery.recipients));
            }
        }
        let sender = replica.member.name.to_string();
        let encoded: Vec<(Arc<[u8]>, Vec<Member>)> = deliveries
            .into_iter()
            .map(|(digests, recipients)| {
                let bundle = proto::Bundle { sender: sender.clone(), digests, ..proto::Bundle::default() };
                (bundle.encode_to_vec().into(), recipients)
            })
            .collect();
        self.report.processor_time += began.elapsed();
        for (bytes, recipients) in encoded {
            for recipient in recipients {
                self.send(index, &recipient, &bytes);
            }
        }
    }

    fn send(&mut self, from: usize, to: &Member, bytes: &Arc<[u8]>) {
        let Some(to) = self.replicas.iter().position(|replica| replica.member.name == to.name) else {
            return;
        };
        let (from_zone, to_zone) = (self.replicas[from].zone, self.replicas[to].zone);
        let size = bytes.len() as u64 + HEADER_BYTES;
        self.report.bytes += size;
        self.report.datagrams += 1;
        let is_local = from_zone == to_zone;
        if !is_local {
            self.report.cross_zone_bytes += size;
        }
        let is_cut =
            !is_local && (self.partitioned.contains(&from_zone) || self.partitioned.contains(&to_zone));
        if is_cut || self.rng.random_bool(self.shape.loss) {
            return;
        }
        self.sent += 1;
        let at = self.now.plus(if is_local { ZONE_LATENCY } else { CROSS_ZONE_LATENCY });
        let datagram = Datagram { to, bytes: bytes.clone(), from: self.replicas[from].member.address };
        self.in_flight.insert((at, self.sent), datagram);
    }

    /// Ends runs that are over, and starts new ones.
    fn update_load(&mut self, index: usize) {
        let replica = &mut self.replicas[index];
        let (over, running): (Vec<_>, Vec<_>) =
            std::mem::take(&mut replica.runs).into_iter().partition(|(until, _)| *until <= self.now);
        replica.runs = running;
        for (_, Pair { decode, prefill }) in over {
            let outcome = Outcome::Responded(Duration::from_millis(100));
            prefill
                .iter()
                .chain([&decode])
                .for_each(|placed| replica.state.record_end(self.now, &placed.lease, outcome));
        }
        let starts = self.is_loaded && self.rng.random_bool(self.shape.rate * STEP.as_secs_f64());
        if starts {
            let customer = self.rng.random_range(0..self.shape.customers);
            let admission = Admission {
                customer: Some(Arc::new(customer_of(&customer_name(customer)))),
                tokens: 5_000,
                service: SERVICE.into(),
                suspects: Arc::default(),
            };
            let _ = replica.state.admit(self.now, &admission);
            replica.state.enqueue(self.now, completion(self.now), ());
        }
        for (_, verdict) in replica.state.dispatch(self.now) {
            if let Verdict::Placed(pair) = verdict {
                replica.runs.push((self.now.plus(RUN_DURATION), pair));
            }
        }
    }

    fn sample_ages(&mut self) {
        let running: Vec<usize> =
            (0..self.replicas.len()).filter(|at| self.replicas[*at].is_running).collect();
        for at in &running {
            for other in running.iter().filter(|other| *other != at) {
                let name = &self.replicas[*other].member.name;
                let created = self.replicas[*at].newest.get(name).copied().unwrap_or(Time::ZERO);
                self.report.ages.push(self.now.since(created));
            }
        }
    }
}

fn member(index: usize, zones: usize) -> Member {
    Member {
        name: format!("front-zone-{}-{index}", index % zones).into(),
        address: SocketAddr::from(([10, (index % zones) as u8, (index >> 8) as u8, index as u8], 7_600)),
        zone: format!("zone-{}", index % zones).into(),
        // A fifth of the hosts are large.
        millicores: if (index / zones).is_multiple_of(5) { 500 } else { 90 },
    }
}

fn start(member: &Member, incarnation: u64, shape: Shape, catalog: &Arc<Catalog>) -> State<()> {
    let Member { name, address, zone, millicores } = member.clone();
    let identity = Identity { name, zone, incarnation, address, millicores };
    let retries = Rule { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };
    let mut state = State::new(identity, retries, Tolerance::default(), Time::ZERO);
    state.apply_catalog(Time::ZERO, Position::new(0, 1), catalog.clone());
    let rows = (0..shape.endpoints).map(|index| row(index, shape.zones)).collect();
    state.apply_listing(
        Time::ZERO,
        Listing { position: Position::new(0, shape.endpoints as u64), is_complete: true, rows },
    );
    state
}

fn row(index: usize, zones: usize) -> Row {
    let id: Arc<str> = format!("i-{index:08x}").into();
    let endpoint = Endpoint {
        id: id.clone(),
        started_ms: 1,
        service: SERVICE.into(),
        software_version: "v1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: format!("zone-{}", index % zones).into(),
        stage: if index.is_multiple_of(3) { Stage::Prefill } else { Stage::Decode },
        slots: 48,
        is_draining: false,
    };
    Row {
        id,
        position: Position::new(0, index as u64 + 1),
        sequence: 1,
        cold: Duration::ZERO,
        endpoint: Some(Arc::new(endpoint)),
    }
}

fn customer_name(number: usize) -> String {
    format!("customer-{number:02}")
}

fn customer_of(name: &str) -> Customer {
    Customer {
        name: name.into(),
        priority: None,
        rate: 47_000,
        burst: 100_000,
        plain_tokens: 200,
        counts_tokens: true,
    }
}

fn catalog(customers: usize) -> Arc<Catalog> {
    let mut catalog = Catalog::new(1, Limits::default());
    let engine = Engine { slots: 48, memory: 45_000, max_reservation: Duration::from_secs(2) };
    catalog.add_service(Service { name: SERVICE.into(), engine: Some(engine), warmup: None });
    for number in 0..customers {
        catalog.add_customer(customer_of(&customer_name(number)), [format!("key-{number}").as_str().into()]);
    }
    Arc::new(catalog)
}

fn completion(now: Time) -> Completion {
    Completion {
        service: SERVICE.into(),
        customer: "faculty".into(),
        size: Size { prompt: 5_000, expected_output: 750, max_output: 1_900 },
        waiting_since: now,
        events: 0,
        deadline: now.plus(Duration::from_secs(14)),
        ttft_target: Duration::from_millis(900),
        target_gap: Duration::from_millis(300),
        stall_timeout: Duration::from_millis(3_600),
        priority: 1,
        avoid: Vec::new(),
        software_version: None,
        suspects: Arc::default(),
    }
}
