//! The entry's control thread: the only owner of quota, placement, homes, budgets and quarantine. It
//! carries commands out one after another.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    sync::Arc,
    thread,
    time::Duration,
};

use async_channel::{Receiver, Sender};
use async_std::task;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tarragonhill_core::{
    Clock, Request, Time,
    home::{self, Home},
    message::{PeerReply, PeerRequest},
    placement::{Need, Policy, Search, View},
    quarantine::{self, CrashStatus},
    quota::{Admission, Bucket, Grant, Limiter, Waiter},
    retry::Budget,
};
use tarragonhill_table::Row;

use crate::{
    entry::{
        control::{Command, Control, Failure, Identity, Placed, Placement},
        peers::Peers,
    },
    settings::Current,
};

/// Longest sleep of the thread while nothing is due.
const IDLE: Duration = Duration::from_secs(1);
/// Weight of the newest measurement of prefill speed.
const NEWEST: f64 = 0.1;

/// What the thread works with.
pub(crate) struct Setup {
    pub(crate) identity: Identity,
    pub(crate) policy: Policy,
    pub(crate) clock: Clock,
    pub(crate) current: Arc<Current>,
    pub(crate) peers: Peers,
    /// Tells that the table should be looked at at once.
    pub(crate) look: Sender<()>,
}

/// Starts the thread and gives a handle on it.
pub(crate) fn start(setup: Setup) -> io::Result<Control> {
    let (commands, receiver) = async_channel::unbounded();
    let control = Control::new(commands, setup.identity.incarnation);
    let owner = Owner::new(setup, control.clone());
    thread::Builder::new().name("control".into()).spawn(move || task::block_on(owner.run(receiver)))?;
    Ok(control)
}

/// State of the thread.
struct Owner {
    me: Arc<str>,
    /// Name under which homes lend to this process; a restarted process is another borrower.
    borrower: Arc<str>,
    zone: Arc<str>,
    policy: Policy,
    clock: Clock,
    current: Arc<Current>,
    peers: Peers,
    look: Sender<()>,
    control: Control,
    rng: ChaCha8Rng,
    home: Home,
    members: usize,
    limiters: BTreeMap<Arc<str>, Limiter>,
    /// Fixed parts of the rates, for the policy that splits them.
    splits: BTreeMap<Arc<str>, Bucket>,
    /// When each limiter wants attention; holds each customer at most once.
    timers: BTreeSet<(Time, Arc<str>)>,
    timer_of: BTreeMap<Arc<str>, Time>,
    waiting: BTreeMap<Request, Sender<Admission>>,
    view: View,
    budget: Budget,
    quarantine: quarantine::Tracker,
    /// Prompt tokens a second.
    speed: Option<f64>,
}

impl Owner {
    fn new(setup: Setup, control: Control) -> Self {
        let Setup { identity, policy, clock, current, peers, look } = setup;
        let Identity { name, peer, zone, incarnation } = identity;
        let address: Arc<str> = peer.to_string().into();
        Self {
            borrower: format!("{name}#{incarnation:x}").into(),
            home: Home::new(name.clone(), incarnation, address, zone.clone()),
            me: name,
            zone,
            policy,
            clock,
            current,
            peers,
            look,
            control,
            rng: ChaCha8Rng::seed_from_u64(incarnation),
            members: 1,
            limiters: BTreeMap::new(),
            splits: BTreeMap::new(),
            timers: BTreeSet::new(),
            timer_of: BTreeMap::new(),
            waiting: BTreeMap::new(),
            view: View::default(),
            budget: Budget::default(),
            quarantine: quarantine::Tracker::default(),
            speed: None,
        }
    }

    /// Carries commands out until it is told to stop.
    pub(super) async fn run(mut self, commands: Receiver<Command>) {
        loop {
            let sleep = self.next_timer();
            match async_std::future::timeout(sleep, commands.recv()).await {
                Ok(Ok(Command::Stop)) | Ok(Err(_)) => return,
                Ok(Ok(command)) => self.handle(command),
                Err(_) => {}
            }
            self.fire();
        }
    }

    fn next_timer(&self) -> Duration {
        let now = self.clock.now();
        self.timers.first().map_or(IDLE, |(at, _)| at.since(now).max(Duration::from_millis(1)))
    }

    fn fire(&mut self) {
        let now = self.clock.now();
        while let Some((at, customer)) = self.timers.first().cloned() {
            if at > now {
                return;
            }
            self.timers.pop_first();
            self.timer_of.remove(&customer);
            if let Some(limiter) = self.limiters.get_mut(&customer) {
                let admissions = limiter.expire_waiters(now);
                self.deliver(admissions);
            }
            self.pursue(now, &customer);
        }
    }

    fn handle(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Settings(snapshot) => self.view.retain(|name| snapshot.endpoints.contains_key(name)),
            Command::Admit(customer, waiter, reply) => self.admit(now, &customer, waiter, reply),
            Command::Refund(customer, tokens) => self.refund(now, &customer, tokens),
            Command::Forget(customer, request) => self.forget(&customer, request),
            Command::Place(placement, reply) => {
                let _ = reply.try_send(self.place(now, &placement));
            }
            Command::Done(endpoint, attempt) => self.view.remove_sent(&endpoint, attempt),
            Command::Avoid(endpoint, span) => self.view.record_refusal(now, &endpoint, span),
            Command::Prefilled(tokens, took) => self.prefilled(tokens, took),
            Command::Loads(loads) => loads.into_iter().for_each(|load| self.view.record_load(now, load)),
            Command::Link(endpoints, up) => self.view.set_link_up(endpoints.into_iter(), up),
            Command::Earn(customer, endpoint) => self.budget.record_success(&customer, &endpoint),
            Command::Retry(failure, reply) => {
                let Failure { customer, endpoint, number, cause } = failure;
                let _ = reply.try_send(self.budget.try_spend(&customer, &endpoint, number, cause));
            }
            Command::CrashStatus(customer, fingerprint, crashed, reply) => {
                let _ = reply.try_send(self.crash_status(now, &customer, fingerprint, crashed));
            }
            Command::Clear(customer, fingerprint) => self.quarantine.clear(&customer, fingerprint),
            Command::PeerRequest(from, ask, reply) => {
                let _ = reply.try_send(self.answer(now, &from, ask));
            }
            Command::Lent(customer, serial, grant) => self.lent(now, &customer, serial, grant),
            Command::Renewal(reply) => {
                let _ = reply.try_send(self.home.prepare_renewal());
            }
            Command::Renewed(began) => self.home.extend_lease(began),
            Command::Rows(rows, reply) => {
                rows.iter().for_each(|row| self.observe(now, row));
                let live = self.home.live_members(now);
                self.members = live.len().max(1);
                let _ = reply.try_send(live);
            }
            Command::Gone(hosts) => self.home.set_removed_hosts(hosts),
            Command::Writes(reply) => {
                let settings = self.current.get();
                let _ = reply.try_send(self.home.plan_writes(now, &settings));
            }
            Command::Addresses(names, reply) => {
                let known =
                    names.into_iter().filter_map(|name| Some((name.clone(), self.home.address(&name)?)));
                let _ = reply.try_send(known.collect());
            }
            Command::Successors(reply) => {
                let _ = reply.try_send(self.home.successors());
            }
            Command::Leave => {
                self.home.leave();
                self.look();
            }
            Command::HasLeft(reply) => {
                let _ = reply.try_send(self.home.is_empty());
            }
            Command::Dump(reply) => {
                let _ = reply.try_send(self.dump(now));
            }
            Command::Stop => {}
        }
    }

    fn admit(&mut self, now: Time, customer: &Arc<str>, waiter: Waiter, reply: Sender<Admission>) {
        if self.policy.splits_rates() {
            let _ = reply.try_send(self.admit_from_split(now, customer, &waiter));
            return;
        }
        self.waiting.insert(waiter.request, reply);
        let admission = self.limiter(now, customer).admit(now, waiter);
        self.deliver(admission);
        self.pursue(now, customer);
    }

    fn admit_from_split(&mut self, now: Time, customer: &Arc<str>, waiter: &Waiter) -> Admission {
        let refused = Admission::OverRate(waiter.request, IDLE);
        let settings = self.current.get();
        let Some(terms) = settings.customers.get(customer) else { return refused };
        let parts = self.members as u64;
        let fresh = || Bucket::full(terms.rate / parts, terms.burst / parts, now);
        let bucket = self.splits.entry(customer.clone()).or_insert_with(fresh);
        bucket.take(now, waiter.cost).map_or(refused, |_| Admission::Admitted(waiter.request))
    }

    fn limiter(&mut self, now: Time, customer: &Arc<str>) -> &mut Limiter {
        self.limiters.entry(customer.clone()).or_insert_with(|| Limiter::new(now))
    }

    fn refund(&mut self, now: Time, customer: &Arc<str>, tokens: u64) {
        if tokens == 0 || self.policy.splits_rates() {
            return;
        }
        self.limiter(now, customer).refund(now, tokens);
        self.pursue(now, customer);
    }

    fn forget(&mut self, customer: &Arc<str>, request: Request) {
        self.waiting.remove(&request);
        if let Some(limiter) = self.limiters.get_mut(customer) {
            limiter.cancel(request);
        }
    }

    fn deliver(&mut self, admissions: impl IntoIterator<Item = Admission>) {
        for admission in admissions {
            let request = match &admission {
                Admission::Admitted(request)
                | Admission::OverRate(request, _)
                | Admission::HomeUnreachable(request) => *request,
            };
            if let Some(reply) = self.waiting.remove(&request) {
                let _ = reply.try_send(admission);
            }
        }
    }

    /// Asks the customer's home for tokens if that makes sense, and sets the next timer.
    fn pursue(&mut self, now: Time, customer: &Arc<str>) {
        let Some(limiter) = self.limiters.get_mut(customer) else { return };
        if let Some(loan) = limiter.request_tokens(now) {
            let serial = loan.serial;
            let ask = PeerRequest::Borrow { customer: customer.clone(), loan };
            self.borrow(now, customer, serial, ask);
        }
        self.reset_timer(now, customer);
    }

    fn borrow(&mut self, now: Time, customer: &Arc<str>, serial: u64, ask: PeerRequest) {
        let Some(owner) = self.home.owner(customer) else {
            self.look();
            return self.settle(now, customer, serial, None);
        };
        if owner == self.me {
            let borrower = self.borrower.clone();
            let answer = self.answer(now, &borrower, ask);
            let grant = if let PeerReply::Lent(grant) = answer { Some(grant) } else { None };
            return self.settle(now, customer, serial, grant);
        }
        match self.home.address(&owner) {
            Some(address) => {
                self.peers.borrow(self.control.clone(), address, self.borrower.clone(), serial, ask)
            }
            None => {
                self.look();
                self.settle(now, customer, serial, None);
            }
        }
    }

    fn lent(&mut self, now: Time, customer: &Arc<str>, serial: u64, grant: Option<Grant>) {
        if grant.is_none() {
            self.look();
        }
        self.settle(now, customer, serial, grant);
        self.pursue(now, customer);
    }

    fn settle(&mut self, now: Time, customer: &Arc<str>, serial: u64, grant: Option<Grant>) {
        let Some(limiter) = self.limiters.get_mut(customer) else { return };
        let admissions = match grant {
            Some(grant) => limiter.receive_grant(now, serial, grant),
            None => {
                limiter.record_failure(now, serial);
                Vec::new()
            }
        };
        self.deliver(admissions);
    }

    fn reset_timer(&mut self, now: Time, customer: &Arc<str>) {
        if let Some(at) = self.timer_of.remove(customer) {
            self.timers.remove(&(at, customer.clone()));
        }
        let Some(limiter) = self.limiters.get(customer) else { return };
        if limiter.is_idle(now) {
            self.limiters.remove(customer);
            return;
        }
        if let Some(at) = limiter.next_wakeup() {
            self.timers.insert((at, customer.clone()));
            self.timer_of.insert(customer.clone(), at);
        }
    }

    fn place(&mut self, now: Time, placement: &Placement) -> Option<Placed> {
        let settings = self.current.get();
        let search = Search {
            policy: self.policy,
            zone: &self.zone,
            candidates: settings.serving(&placement.serves, placement.role),
            need: placement.need,
            attempt: placement.attempt,
            tried: &placement.tried,
        };
        let endpoint = self.view.place(now, &mut self.rng, &search)?;
        let agent = settings.endpoints.get(&endpoint)?.agent.clone();
        let prefill = match (placement.need, self.speed) {
            (Need::Prefill(tokens, _), Some(speed)) => Duration::from_secs_f64(f64::from(tokens) / speed),
            _ => Duration::ZERO,
        };
        Some(Placed { endpoint, agent, prefill })
    }

    fn prefilled(&mut self, tokens: u32, took: Duration) {
        let speed = f64::from(tokens.max(1)) / took.as_secs_f64().max(1e-6);
        self.speed = Some(self.speed.map_or(speed, |old| old * (1.0 - NEWEST) + speed * NEWEST));
    }

    /// Has the rows of homes read now.
    fn look(&self) {
        let _ = self.look.try_send(());
    }

    fn crash_status(
        &mut self,
        now: Time,
        customer: &Arc<str>,
        fingerprint: u64,
        crashed: bool,
    ) -> CrashStatus {
        match crashed {
            true => self.quarantine.record_crash(now, customer, fingerprint),
            false => self.quarantine.status(now, customer, fingerprint),
        }
    }

    fn answer(&mut self, now: Time, from: &Arc<str>, ask: PeerRequest) -> PeerReply {
        match ask {
            PeerRequest::Borrow { customer, loan } => {
                let settings = self.current.get();
                match self.home.lend(now, &settings, &customer, from, loan) {
                    Ok(grant) => PeerReply::Lent(grant),
                    Err(not_home) => PeerReply::NotHome { owner: not_home.owner, epoch: not_home.epoch },
                }
            }
            PeerRequest::Heartbeat(heartbeat) => {
                self.current.record_heartbeat(from, &heartbeat);
                PeerReply::Heartbeat(self.current.heartbeat())
            }
            PeerRequest::CrashStatus { customer, fingerprint, crashed } => {
                PeerReply::CrashStatus(self.crash_status(now, &customer, fingerprint, crashed))
            }
            PeerRequest::RefreshShards => {
                self.look();
                PeerReply::Acknowledged
            }
            PeerRequest::Renew { incarnation } => {
                PeerReply::Renewed { granted: self.home.grant_renewal(now, from, incarnation) }
            }
        }
    }

    fn observe(&mut self, now: Time, row: &Row) {
        let Some(value) = &row.value else { return };
        let parsed = if let Some(name) = row.key.strip_prefix(home::MEMBER_PREFIX) {
            serde_json::from_value(value.clone())
                .map(|member| self.home.observe_member(now, name, row.version, member))
        } else if let Some(Ok(shard)) = row.key.strip_prefix(home::SHARD_PREFIX).map(str::parse) {
            serde_json::from_value(value.clone())
                .map(|known| self.home.observe_shard(now, shard, row.version, known))
        } else {
            Ok(())
        };
        if let Err(error) = parsed {
            spdlog::error!("row of homes ignored: {error}", kv: { row = row.key.as_str() });
        }
    }

    fn dump(&mut self, now: Time) -> Value {
        let limiters: BTreeMap<_, _> =
            self.limiters.iter().map(|(name, limiter)| (name.clone(), limiter.available(now))).collect();
        let (endpoints, sent) = self.view.size();
        json!({
            "role": "entry",
            "name": self.me,
            "incarnation": format!("{:x}", self.control.incarnation()),
            "lease_renewed": self.home.has_lease(now),
            "members": self.home.live_members(now),
            "homes": self.home.owned_shard_count(),
            "tokens_in_hand": limiters,
            "waiting_for_tokens": self.waiting.len(),
            "endpoints_seen": endpoints,
            "sends_not_reported": sent,
            "retry_budgets_below_most": self.budget.len(),
            "fingerprints": self.quarantine.len(),
        })
    }
}
