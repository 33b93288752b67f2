//! The entry's control thread.
//!
//! It owns the state of quota, placement, shard ownership, retry budgets and quarantine, and
//! executes commands sequentially.

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
    quota::{Admission, Bucket, Contact, Grant, Limiter, Waiter},
    retry::Budget,
};
use tarragonhill_table::Row;

use crate::{
    entry::{
        control::{Command, Control, Identity, PlacementRequest, RetryRequest, Target},
        peers::Peers,
    },
    settings::Current,
};

/// Maximum time that the thread waits for a command. Also the retry delay of requests refused by a
/// fixed share of a rate limit.
const MAX_SLEEP: Duration = Duration::from_secs(1);
/// Weight of the newest sample in the moving average of the prefill speed.
const SPEED_WEIGHT: f64 = 0.1;

/// Parameters of the control thread.
pub(crate) struct Setup {
    pub(crate) identity: Identity,
    pub(crate) policy: Policy,
    pub(crate) clock: Clock,
    pub(crate) current: Arc<Current>,
    pub(crate) peers: Peers,
    /// Requests an immediate read of the lease and shard rows.
    pub(crate) home_refresh: Sender<()>,
}

/// Starts the thread and returns a handle to it.
pub(crate) fn start(setup: Setup) -> io::Result<Control> {
    let (commands, receiver) = async_channel::unbounded();
    let control = Control::new(commands, setup.identity.incarnation);
    let controller = Controller::new(setup, control.clone());
    thread::Builder::new().name("control".into()).spawn(move || task::block_on(controller.run(receiver)))?;
    Ok(control)
}

/// State owned by the control thread.
struct Controller {
    own_name: Arc<str>,
    /// Borrower name in loan requests. It includes the incarnation, so that a restarted process is a
    /// different borrower.
    borrower: Arc<str>,
    zone: Arc<str>,
    policy: Policy,
    clock: Clock,
    current: Arc<Current>,
    peers: Peers,
    home_refresh: Sender<()>,
    control: Control,
    rng: ChaCha8Rng,
    home: Home,
    /// Number of live entries, including this one.
    members: usize,
    limiters: BTreeMap<Arc<str>, Limiter>,
    /// Fixed shares of the rates, for policies that split them.
    rate_splits: BTreeMap<Arc<str>, Bucket>,
    /// Next wakeup of each limiter, by time. Each customer occurs at most once.
    timers: BTreeSet<(Time, Arc<str>)>,
    timer_by_customer: BTreeMap<Arc<str>, Time>,
    /// Where to send the admission of each queued request.
    pending: BTreeMap<Request, Sender<Admission>>,
    view: View,
    budget: Budget,
    quarantine: quarantine::Tracker,
    /// Average prefill speed, in prompt tokens per second. `None` before the first prefill.
    prefill_speed: Option<f64>,
}

impl Controller {
    fn new(setup: Setup, control: Control) -> Self {
        let Setup { identity, policy, clock, current, peers, home_refresh } = setup;
        let Identity { name, peer, zone, incarnation } = identity;
        let address: Arc<str> = peer.to_string().into();
        Self {
            borrower: format!("{name}#{incarnation:x}").into(),
            home: Home::new(name.clone(), incarnation, address, zone.clone()),
            own_name: name,
            zone,
            policy,
            clock,
            current,
            peers,
            home_refresh,
            control,
            rng: ChaCha8Rng::seed_from_u64(incarnation),
            members: 1,
            limiters: BTreeMap::new(),
            rate_splits: BTreeMap::new(),
            timers: BTreeSet::new(),
            timer_by_customer: BTreeMap::new(),
            pending: BTreeMap::new(),
            view: View::default(),
            budget: Budget::default(),
            quarantine: quarantine::Tracker::default(),
            prefill_speed: None,
        }
    }

    /// Executes commands until [`Command::Stop`].
    pub(super) async fn run(mut self, commands: Receiver<Command>) {
        loop {
            let sleep = self.time_to_next_timer();
            match async_std::future::timeout(sleep, commands.recv()).await {
                Ok(Ok(Command::Stop)) | Ok(Err(_)) => return,
                Ok(Ok(command)) => self.handle(command),
                Err(_) => {}
            }
            self.run_due_timers();
        }
    }

    fn time_to_next_timer(&self) -> Duration {
        let now = self.clock.now();
        self.timers.first().map_or(MAX_SLEEP, |(at, _)| at.since(now).max(Duration::from_millis(1)))
    }

    fn run_due_timers(&mut self) {
        let now = self.clock.now();
        while let Some((at, customer)) = self.timers.first().cloned() {
            if at > now {
                return;
            }
            self.timers.pop_first();
            self.timer_by_customer.remove(&customer);
            if let Some(limiter) = self.limiters.get_mut(&customer) {
                let admissions = limiter.expire_waiters(now);
                self.deliver(now, &customer, admissions);
            }
            self.request_tokens(now, &customer);
        }
    }

    fn handle(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Settings(snapshot) => self.view.retain(|name| snapshot.endpoints.contains_key(name)),
            Command::Admit(customer, waiter, reply) => self.admit(now, &customer, waiter, reply),
            Command::Refund(customer, tokens) => self.refund(now, &customer, tokens),
            Command::CancelAdmission(customer, request) => self.cancel_admission(&customer, request),
            Command::Place(request, reply) => {
                let _ = reply.try_send(self.place(now, &request));
            }
            Command::RemoveSent(endpoint, attempt) => self.view.remove_sent(&endpoint, attempt),
            Command::Avoid(endpoint, span) => self.view.record_refusal(now, &endpoint, span),
            Command::RecordPrefill(tokens, took) => self.record_prefill(tokens, took),
            Command::Loads(loads) => loads.into_iter().for_each(|load| self.view.record_load(now, load)),
            Command::SetLinkUp(endpoints, up) => self.view.set_link_up(endpoints.into_iter(), up),
            Command::RecordSuccess(customer, endpoint) => self.budget.record_success(&customer, &endpoint),
            Command::SpendRetry(request, reply) => {
                let RetryRequest { customer, endpoint, number, cause } = request;
                let _ = reply.try_send(self.budget.try_spend(&customer, &endpoint, number, cause));
            }
            Command::CrashStatus(customer, fingerprint, crashed, reply) => {
                let _ = reply.try_send(self.crash_status(now, &customer, fingerprint, crashed));
            }
            Command::ClearSuspect(customer, fingerprint) => self.quarantine.clear(&customer, fingerprint),
            Command::AnswerPeer(from, request, reply) => {
                let _ = reply.try_send(self.answer_peer(now, &from, request));
            }
            Command::LoanReply(customer, serial, grant) => self.receive_loan(now, &customer, serial, grant),
            Command::PrepareRenewal(reply) => {
                let _ = reply.try_send(self.home.prepare_renewal());
            }
            Command::ExtendLease(began) => self.home.extend_lease(began),
            Command::ObserveRows(rows, reply) => {
                rows.iter().for_each(|row| self.observe(now, row));
                let live = self.home.live_members(now);
                self.members = live.len().max(1);
                let _ = reply.try_send(live);
            }
            Command::SetRemovedHosts(hosts) => self.home.set_removed_hosts(hosts),
            Command::PlanWrites(reply) => {
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
                self.request_home_refresh();
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
        self.pending.insert(waiter.request, reply);
        let admission = self.limiter(now, customer).admit(now, waiter);
        self.deliver(now, customer, admission);
        self.request_tokens(now, customer);
    }

    fn admit_from_split(&mut self, now: Time, customer: &Arc<str>, waiter: &Waiter) -> Admission {
        let refused = Admission::OverRate(waiter.request, MAX_SLEEP);
        let settings = self.current.get();
        let Some(terms) = settings.customers.get(customer) else { return refused };
        let parts = self.members as u64;
        let new_bucket = || Bucket::full(terms.rate / parts, terms.burst / parts, now);
        let bucket = self.rate_splits.entry(customer.clone()).or_insert_with(new_bucket);
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
        self.request_tokens(now, customer);
    }

    fn cancel_admission(&mut self, customer: &Arc<str>, request: Request) {
        self.pending.remove(&request);
        if let Some(limiter) = self.limiters.get_mut(customer) {
            limiter.cancel(request);
        }
    }

    fn deliver(&mut self, now: Time, customer: &Arc<str>, admissions: impl IntoIterator<Item = Admission>) {
        for admission in admissions {
            if !matches!(admission, Admission::Admitted(_)) {
                self.log_refusal(now, customer, &admission);
            }
            let request = match &admission {
                Admission::Admitted(request)
                | Admission::OverRate(request, _)
                | Admission::HomeUnreachable(request) => *request,
            };
            if let Some(reply) = self.pending.remove(&request) {
                let _ = reply.try_send(admission);
            }
        }
    }

    /// Logs the refusal of a request with what is known of the customer's home.
    fn log_refusal(&self, now: Time, customer: &Arc<str>, admission: &Admission) {
        let (outcome, request) = match admission {
            Admission::Admitted(request) => ("admitted", request),
            Admission::OverRate(request, _) => ("over_rate", request),
            Admission::HomeUnreachable(request) => ("home_unreachable", request),
        };
        let Some(limiter) = self.limiters.get(customer) else { return };
        let Contact { unanswered, since_reply, has_failed } = limiter.contact(now);
        let (request, home) = (request.to_string(), self.home.owner(customer).unwrap_or_default());
        spdlog::info!("no tokens lent", kv: {
            request = request.as_str(), customer = &**customer, outcome, home = &*home,
            unanswered_ms = millis(unanswered), since_reply_ms = millis(since_reply), has_failed
        });
    }

    /// Requests tokens from the customer's home if the limiter needs any, and resets its timer.
    fn request_tokens(&mut self, now: Time, customer: &Arc<str>) {
        let Some(limiter) = self.limiters.get_mut(customer) else { return };
        if let Some(loan) = limiter.request_tokens(now) {
            let serial = loan.serial;
            let request = PeerRequest::Borrow { customer: customer.clone(), loan };
            self.borrow(now, customer, serial, request);
        }
        self.reset_timer(now, customer);
    }

    fn borrow(&mut self, now: Time, customer: &Arc<str>, serial: u64, request: PeerRequest) {
        let Some(home_entry) = self.home.owner(customer) else {
            self.request_home_refresh();
            return self.apply_grant(now, customer, serial, None);
        };
        if home_entry == self.own_name {
            let borrower = self.borrower.clone();
            let answer = self.answer_peer(now, &borrower, request);
            let grant = if let PeerReply::Lent(grant) = answer { Some(grant) } else { None };
            return self.apply_grant(now, customer, serial, grant);
        }
        match self.home.address(&home_entry) {
            Some(address) => {
                self.peers.borrow(self.control.clone(), address, self.borrower.clone(), serial, request)
            }
            None => {
                self.request_home_refresh();
                self.apply_grant(now, customer, serial, None);
            }
        }
    }

    fn receive_loan(&mut self, now: Time, customer: &Arc<str>, serial: u64, grant: Option<Grant>) {
        if grant.is_none() {
            self.request_home_refresh();
        }
        self.apply_grant(now, customer, serial, grant);
        self.request_tokens(now, customer);
    }

    fn apply_grant(&mut self, now: Time, customer: &Arc<str>, serial: u64, grant: Option<Grant>) {
        let Some(limiter) = self.limiters.get_mut(customer) else { return };
        let admissions = match grant {
            Some(grant) => limiter.receive_grant(now, serial, grant),
            None => {
                limiter.record_failure(now, serial);
                Vec::new()
            }
        };
        self.deliver(now, customer, admissions);
    }

    fn reset_timer(&mut self, now: Time, customer: &Arc<str>) {
        if let Some(at) = self.timer_by_customer.remove(customer) {
            self.timers.remove(&(at, customer.clone()));
        }
        let Some(limiter) = self.limiters.get(customer) else { return };
        if limiter.is_idle(now) {
            self.limiters.remove(customer);
            return;
        }
        if let Some(at) = limiter.next_wakeup() {
            self.timers.insert((at, customer.clone()));
            self.timer_by_customer.insert(customer.clone(), at);
        }
    }

    fn place(&mut self, now: Time, request: &PlacementRequest) -> Option<Target> {
        let settings = self.current.get();
        let search = Search {
            policy: self.policy,
            zone: &self.zone,
            candidates: settings.serving(&request.serves, request.role),
            need: request.need,
            attempt: request.attempt,
            tried: &request.tried,
        };
        let endpoint = self.view.place(now, &mut self.rng, &search)?;
        let agent = settings.endpoints.get(&endpoint)?.agent.clone();
        let prefill_time = match (request.need, self.prefill_speed) {
            (Need::Prefill(tokens, _), Some(speed)) => Duration::from_secs_f64(f64::from(tokens) / speed),
            _ => Duration::ZERO,
        };
        Some(Target { endpoint, agent, prefill_time })
    }

    fn record_prefill(&mut self, tokens: u32, took: Duration) {
        let sample = f64::from(tokens.max(1)) / took.as_secs_f64().max(1e-6);
        self.prefill_speed =
            Some(self.prefill_speed.map_or(sample, |old| old * (1.0 - SPEED_WEIGHT) + sample * SPEED_WEIGHT));
    }

    /// Requests an immediate read of the lease and shard rows.
    fn request_home_refresh(&self) {
        let _ = self.home_refresh.try_send(());
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

    fn answer_peer(&mut self, now: Time, from: &Arc<str>, request: PeerRequest) -> PeerReply {
        match request {
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
                self.request_home_refresh();
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
            spdlog::error!("ignoring invalid lease or shard row: {error}", kv: { row = row.key.as_str() });
        }
    }

    fn dump(&mut self, now: Time) -> Value {
        let limiters: BTreeMap<_, _> =
            self.limiters.iter().map(|(name, limiter)| (name.clone(), limiter.available(now))).collect();
        let (endpoints, sent) = self.view.size();
        json!({
            "role": "entry",
            "name": self.own_name,
            "incarnation": format!("{:x}", self.control.incarnation()),
            "lease_renewed": self.home.has_lease(now),
            "members": self.home.live_members(now),
            "homes": self.home.owned_shard_count(),
            "tokens_in_hand": limiters,
            "waiting_for_tokens": self.pending.len(),
            "endpoints_seen": endpoints,
            "sends_not_reported": sent,
            "retry_budgets_below_most": self.budget.len(),
            "fingerprints": self.quarantine.len(),
        })
    }
}

/// Returns a time in milliseconds; -1 if there is none.
fn millis(span: Option<Duration>) -> i64 {
    span.map_or(-1, |span| i64::try_from(span.as_millis()).unwrap_or(i64::MAX))
}
