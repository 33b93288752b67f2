//! Commands of the entry's control thread, and the handle that sends them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use async_channel::Sender;
use serde_json::Value;
use tarragonhill_core::{
    Attempt, Request, Time, home,
    message::{FailureCause, Load, PeerReply, PeerRequest},
    placement::Need,
    quarantine::CrashStatus,
    quota::{Admission, Grant, Waiter},
    settings::{Role, Snapshot},
};
use tarragonhill_table::Row;

/// Identity of this process.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) name: Arc<str>,
    pub(crate) peer: SocketAddr,
    pub(crate) zone: Arc<str>,
    /// Random number that distinguishes a restarted process from the previous one.
    pub(crate) incarnation: u64,
}

impl Identity {
    pub(crate) fn new(name: Arc<str>, peer: SocketAddr, zone: Arc<str>) -> Self {
        Self { name, peer, zone, incarnation: rand::random() }
    }
}

/// Parameters for the choice of an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct PlacementRequest {
    pub(crate) attempt: Attempt,
    /// Model or service that the endpoint must serve.
    pub(crate) serves: Arc<str>,
    pub(crate) role: Role,
    pub(crate) need: Need,
    /// Endpoints to use only if no other is available.
    pub(crate) tried: BTreeSet<Arc<str>>,
}

/// Endpoint chosen for some work.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) endpoint: Arc<str>,
    /// Address of the endpoint's agent.
    pub(crate) agent: Arc<str>,
    /// Expected duration of the prefill, without queueing. Zero for other work.
    pub(crate) prefill_time: Duration,
}

/// Failed attempt for which a retry is requested.
#[derive(Clone, Debug)]
pub(crate) struct RetryRequest {
    pub(crate) customer: Arc<str>,
    pub(crate) endpoint: Arc<str>,
    /// Number of failed attempts of the request so far.
    pub(crate) number: u32,
    pub(crate) cause: FailureCause,
}

/// Command to the control thread.
pub(crate) enum Command {
    Settings(Arc<Snapshot>),
    /// Customer and request.
    Admit(Arc<str>, Waiter, Sender<Admission>),
    /// Customer and tokens.
    Refund(Arc<str>, u64),
    CancelAdmission(Arc<str>, Request),
    Place(PlacementRequest, Sender<Option<Target>>),
    RemoveSent(Arc<str>, Attempt),
    /// Endpoint and duration.
    Avoid(Arc<str>, Duration),
    /// Prompt tokens and duration.
    RecordPrefill(u32, Duration),
    Loads(Vec<Load>),
    SetLinkUp(Vec<Arc<str>>, bool),
    /// Customer and endpoint.
    RecordSuccess(Arc<str>, Arc<str>),
    SpendRetry(RetryRequest, Sender<bool>),
    /// Customer, fingerprint and whether to record a crash first.
    CrashStatus(Arc<str>, u64, bool, Sender<CrashStatus>),
    /// Customer and fingerprint.
    ClearSuspect(Arc<str>, u64),
    /// Name of the requesting entry, and its request.
    AnswerPeer(Arc<str>, PeerRequest, Sender<PeerReply>),
    /// Customer, serial of the loan request and the grant.
    LoanReply(Arc<str>, u64, Option<Grant>),
    PrepareRenewal(Sender<home::Write>),
    ExtendLease(Time),
    ObserveRows(Vec<Row>, Sender<BTreeSet<Arc<str>>>),
    SetRemovedHosts(BTreeSet<Arc<str>>),
    PlanWrites(Sender<Vec<home::Write>>),
    Addresses(BTreeSet<Arc<str>>, Sender<BTreeMap<Arc<str>, Arc<str>>>),
    Successors(Sender<BTreeSet<Arc<str>>>),
    Leave,
    HasLeft(Sender<bool>),
    Dump(Sender<Value>),
    Stop,
}

/// Handle to the control thread. Commands are ignored once the thread has stopped.
#[derive(Clone)]
pub(crate) struct Control {
    commands: Sender<Command>,
    incarnation: u64,
}

impl Control {
    /// Creates a handle to the thread that receives from the other end of `commands`.
    pub(crate) fn new(commands: Sender<Command>, incarnation: u64) -> Self {
        Self { commands, incarnation }
    }

    /// Returns the incarnation of this process.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    fn send(&self, command: Command) {
        let _ = self.commands.try_send(command);
    }

    async fn call<T>(&self, command: impl FnOnce(Sender<T>) -> Command) -> Option<T> {
        let (sender, receiver) = async_channel::bounded(1);
        self.send(command(sender));
        receiver.recv().await.ok()
    }

    pub(crate) fn update_settings(&self, snapshot: Arc<Snapshot>) {
        self.send(Command::Settings(snapshot));
    }

    /// Charges a request to its customer. Completes once the request is admitted or refused; returns
    /// `None` if the thread has stopped.
    pub(crate) async fn admit(&self, customer: &Arc<str>, waiter: Waiter) -> Option<Admission> {
        self.call(|reply| Command::Admit(customer.clone(), waiter, reply)).await
    }

    pub(crate) fn refund(&self, customer: &Arc<str>, tokens: u64) {
        self.send(Command::Refund(customer.clone(), tokens));
    }

    pub(crate) fn cancel_admission(&self, customer: &Arc<str>, request: Request) {
        self.send(Command::CancelAdmission(customer.clone(), request));
    }

    pub(crate) async fn place(&self, request: PlacementRequest) -> Option<Target> {
        self.call(|reply| Command::Place(request, reply)).await.flatten()
    }

    pub(crate) fn remove_sent(&self, endpoint: &Arc<str>, attempt: Attempt) {
        self.send(Command::RemoveSent(endpoint.clone(), attempt));
    }

    pub(crate) fn avoid(&self, endpoint: &Arc<str>, span: Duration) {
        self.send(Command::Avoid(endpoint.clone(), span));
    }

    pub(crate) fn record_prefill(&self, tokens: u32, took: Duration) {
        self.send(Command::RecordPrefill(tokens, took));
    }

    pub(crate) fn record_loads(&self, loads: Vec<Load>) {
        self.send(Command::Loads(loads));
    }

    pub(crate) fn set_link_up(&self, endpoints: Vec<Arc<str>>, up: bool) {
        self.send(Command::SetLinkUp(endpoints, up));
    }

    pub(crate) fn record_success(&self, customer: &Arc<str>, endpoint: &Arc<str>) {
        self.send(Command::RecordSuccess(customer.clone(), endpoint.clone()));
    }

    pub(crate) async fn try_spend_retry(&self, request: RetryRequest) -> bool {
        self.call(|reply| Command::SpendRetry(request, reply)).await.unwrap_or(false)
    }

    /// Returns the crash status of a request, after recording a crash if `crashed` is set.
    pub(crate) async fn crash_status(
        &self,
        customer: &Arc<str>,
        fingerprint: u64,
        crashed: bool,
    ) -> CrashStatus {
        let status =
            self.call(|reply| Command::CrashStatus(customer.clone(), fingerprint, crashed, reply)).await;
        status.unwrap_or_default()
    }

    /// Clears the crash count of a suspect request that completed.
    pub(crate) fn clear_suspect(&self, customer: &Arc<str>, fingerprint: u64) {
        self.send(Command::ClearSuspect(customer.clone(), fingerprint));
    }

    /// Answers a request of another entry.
    pub(crate) async fn answer_peer(&self, from: Arc<str>, request: PeerRequest) -> Option<PeerReply> {
        self.call(|reply| Command::AnswerPeer(from, request, reply)).await
    }

    /// Passes on a home's reply to a loan request; `None` if the home could not be reached or is
    /// another entry now.
    pub(crate) fn receive_loan(&self, customer: &Arc<str>, serial: u64, grant: Option<Grant>) {
        self.send(Command::LoanReply(customer.clone(), serial, grant));
    }

    pub(crate) async fn prepare_renewal(&self) -> Option<home::Write> {
        self.call(Command::PrepareRenewal).await
    }

    pub(crate) fn extend_lease(&self, began: Time) {
        self.send(Command::ExtendLease(began));
    }

    /// Records lease and shard rows read from the table, and returns the live members.
    pub(crate) async fn observe_rows(&self, rows: Vec<Row>) -> Option<BTreeSet<Arc<str>>> {
        self.call(|reply| Command::ObserveRows(rows, reply)).await
    }

    pub(crate) fn set_removed_hosts(&self, hosts: BTreeSet<Arc<str>>) {
        self.send(Command::SetRemovedHosts(hosts));
    }

    pub(crate) async fn plan_writes(&self) -> Vec<home::Write> {
        self.call(Command::PlanWrites).await.unwrap_or_default()
    }

    pub(crate) async fn addresses(&self, names: BTreeSet<Arc<str>>) -> BTreeMap<Arc<str>, Arc<str>> {
        self.call(|reply| Command::Addresses(names, reply)).await.unwrap_or_default()
    }

    pub(crate) async fn successors(&self) -> BTreeSet<Arc<str>> {
        self.call(Command::Successors).await.unwrap_or_default()
    }

    pub(crate) fn leave(&self) {
        self.send(Command::Leave);
    }

    pub(crate) async fn has_left(&self) -> bool {
        self.call(Command::HasLeft).await.unwrap_or(true)
    }

    pub(crate) async fn dump(&self) -> Value {
        self.call(Command::Dump).await.unwrap_or_default()
    }

    pub(crate) fn stop(&self) {
        self.send(Command::Stop);
    }
}
