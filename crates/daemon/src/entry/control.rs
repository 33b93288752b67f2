//! The handle by which everything else talks to the entry's control thread.

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

/// Who this process is.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) name: Arc<str>,
    pub(crate) peer: SocketAddr,
    pub(crate) zone: Arc<str>,
    pub(crate) incarnation: u64,
}

impl Identity {
    pub(crate) fn new(name: Arc<str>, peer: SocketAddr, zone: Arc<str>) -> Self {
        Self { name, peer, zone, incarnation: rand::random() }
    }
}

/// A question where to send work.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub(crate) attempt: Attempt,
    pub(crate) serves: Arc<str>,
    pub(crate) role: Role,
    pub(crate) need: Need,
    pub(crate) tried: BTreeSet<Arc<str>>,
}

/// Where work goes.
#[derive(Clone, Debug)]
pub(crate) struct Placed {
    pub(crate) endpoint: Arc<str>,
    pub(crate) agent: Arc<str>,
    /// How long its prefill is expected to take once it runs.
    pub(crate) prefill: Duration,
}

/// A report of what became of an attempt.
#[derive(Clone, Debug)]
pub(crate) struct Failure {
    pub(crate) customer: Arc<str>,
    pub(crate) endpoint: Arc<str>,
    pub(crate) number: u32,
    pub(crate) cause: FailureCause,
}

/// What the thread is asked.
pub(crate) enum Command {
    Settings(Arc<Snapshot>),
    Admit(Arc<str>, Waiter, Sender<Admission>),
    Refund(Arc<str>, u64),
    Forget(Arc<str>, Request),
    Place(Placement, Sender<Option<Placed>>),
    Done(Arc<str>, Attempt),
    Avoid(Arc<str>, Duration),
    Prefilled(u32, Duration),
    Loads(Vec<Load>),
    Link(Vec<Arc<str>>, bool),
    Earn(Arc<str>, Arc<str>),
    Retry(Failure, Sender<bool>),
    CrashStatus(Arc<str>, u64, bool, Sender<CrashStatus>),
    Clear(Arc<str>, u64),
    PeerRequest(Arc<str>, PeerRequest, Sender<PeerReply>),
    Lent(Arc<str>, u64, Option<Grant>),
    Renewal(Sender<home::Write>),
    Renewed(Time),
    Rows(Vec<Row>, Sender<BTreeSet<Arc<str>>>),
    Gone(BTreeSet<Arc<str>>),
    Writes(Sender<Vec<home::Write>>),
    Addresses(BTreeSet<Arc<str>>, Sender<BTreeMap<Arc<str>, Arc<str>>>),
    Successors(Sender<BTreeSet<Arc<str>>>),
    Leave,
    HasLeft(Sender<bool>),
    Dump(Sender<Value>),
    Stop,
}

/// Talks to the control thread.
#[derive(Clone)]
pub(crate) struct Control {
    commands: Sender<Command>,
    incarnation: u64,
}

impl Control {
    /// A handle on the thread that reads the other end of `commands`.
    pub(crate) fn new(commands: Sender<Command>, incarnation: u64) -> Self {
        Self { commands, incarnation }
    }

    /// Random number of this process.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    fn tell(&self, command: Command) {
        let _ = self.commands.try_send(command);
    }

    async fn ask<T>(&self, command: impl FnOnce(Sender<T>) -> Command) -> Option<T> {
        let (sender, receiver) = async_channel::bounded(1);
        self.tell(command(sender));
        receiver.recv().await.ok()
    }

    pub(crate) fn settings(&self, snapshot: Arc<Snapshot>) {
        self.tell(Command::Settings(snapshot));
    }

    /// Charges a request to its customer; completes when it may run or is refused.
    pub(crate) async fn admit(&self, customer: &Arc<str>, waiter: Waiter) -> Option<Admission> {
        self.ask(|reply| Command::Admit(customer.clone(), waiter, reply)).await
    }

    pub(crate) fn refund(&self, customer: &Arc<str>, tokens: u64) {
        self.tell(Command::Refund(customer.clone(), tokens));
    }

    pub(crate) fn forget(&self, customer: &Arc<str>, request: Request) {
        self.tell(Command::Forget(customer.clone(), request));
    }

    pub(crate) async fn place(&self, placement: Placement) -> Option<Placed> {
        self.ask(|reply| Command::Place(placement, reply)).await.flatten()
    }

    pub(crate) fn done(&self, endpoint: &Arc<str>, attempt: Attempt) {
        self.tell(Command::Done(endpoint.clone(), attempt));
    }

    pub(crate) fn avoid(&self, endpoint: &Arc<str>, span: Duration) {
        self.tell(Command::Avoid(endpoint.clone(), span));
    }

    pub(crate) fn prefilled(&self, tokens: u32, took: Duration) {
        self.tell(Command::Prefilled(tokens, took));
    }

    pub(crate) fn loads(&self, loads: Vec<Load>) {
        self.tell(Command::Loads(loads));
    }

    pub(crate) fn link(&self, endpoints: Vec<Arc<str>>, up: bool) {
        self.tell(Command::Link(endpoints, up));
    }

    pub(crate) fn earn(&self, customer: &Arc<str>, endpoint: &Arc<str>) {
        self.tell(Command::Earn(customer.clone(), endpoint.clone()));
    }

    pub(crate) async fn retry(&self, failure: Failure) -> bool {
        self.ask(|reply| Command::Retry(failure, reply)).await.unwrap_or(false)
    }

    /// Counts a crash, or looks up those counted.
    pub(crate) async fn crash_status(
        &self,
        customer: &Arc<str>,
        fingerprint: u64,
        crashed: bool,
    ) -> CrashStatus {
        let status =
            self.ask(|reply| Command::CrashStatus(customer.clone(), fingerprint, crashed, reply)).await;
        status.unwrap_or_default()
    }

    /// Clears a suspect that ran to its end.
    pub(crate) fn clear(&self, customer: &Arc<str>, fingerprint: u64) {
        self.tell(Command::Clear(customer.clone(), fingerprint));
    }

    /// Answers another entry.
    pub(crate) async fn answer(&self, from: Arc<str>, ask: PeerRequest) -> Option<PeerReply> {
        self.ask(|reply| Command::PeerRequest(from, ask, reply)).await
    }

    /// Hands a home's reply in; none if it could not be reached or is elsewhere.
    pub(crate) fn lent(&self, customer: &Arc<str>, serial: u64, grant: Option<Grant>) {
        self.tell(Command::Lent(customer.clone(), serial, grant));
    }

    pub(crate) async fn renewal(&self) -> Option<home::Write> {
        self.ask(Command::Renewal).await
    }

    pub(crate) fn renewed(&self, began: Time) {
        self.tell(Command::Renewed(began));
    }

    /// Takes rows of homes and members; returns the members that are live.
    pub(crate) async fn rows(&self, rows: Vec<Row>) -> Option<BTreeSet<Arc<str>>> {
        self.ask(|reply| Command::Rows(rows, reply)).await
    }

    pub(crate) fn gone(&self, hosts: BTreeSet<Arc<str>>) {
        self.tell(Command::Gone(hosts));
    }

    pub(crate) async fn writes(&self) -> Vec<home::Write> {
        self.ask(Command::Writes).await.unwrap_or_default()
    }

    pub(crate) async fn addresses(&self, names: BTreeSet<Arc<str>>) -> BTreeMap<Arc<str>, Arc<str>> {
        self.ask(|reply| Command::Addresses(names, reply)).await.unwrap_or_default()
    }

    pub(crate) async fn successors(&self) -> BTreeSet<Arc<str>> {
        self.ask(Command::Successors).await.unwrap_or_default()
    }

    pub(crate) fn leave(&self) {
        self.tell(Command::Leave);
    }

    pub(crate) async fn has_left(&self) -> bool {
        self.ask(Command::HasLeft).await.unwrap_or(true)
    }

    pub(crate) async fn dump(&self) -> Value {
        self.ask(Command::Dump).await.unwrap_or_default()
    }

    pub(crate) fn stop(&self) {
        self.tell(Command::Stop);
    }
}
