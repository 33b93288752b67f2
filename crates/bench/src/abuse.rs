//! Clients that do not behave, against a gateway as a process of its own, beside ordinary callers.
//!
//! The store and the endpoints are tasks of this process; the gateway and each group of clients are child processes. The
//! gateway's memory is watched from outside: a process that exceeds that of its host is killed, and the run has failed.

pub mod client;
pub mod lone;
pub mod ordinary;
pub mod watch;

use std::{
    collections::BTreeSet,
    fmt, fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::{future::timeout, task};
use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use serde_json::{Value, json};
use strum::{Display, EnumString};
use tarragonhill_h1::head::Request;

use self::{
    client::{Attack, Kind, Target},
    lone::Lone,
    ordinary::Tally,
    watch::Watch,
};
use crate::{
    cmd::attack::Report,
    platform::{
        caller,
        endpoint::Role,
        site::{Site, SiteError, configuration, unique_loopback_ip},
        store,
    },
    soak::Programs,
};

/// Memory of the smallest host, MB.
pub const MEMORY_MB: u64 = 88;
/// Descriptors of the host with the fewest, and how many of them are not for sockets.
pub const DESCRIPTORS: u64 = 3_075;
const FILE_DESCRIPTORS: u64 = 200;
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Grace period of the gateway, and time beyond it for its exit.
const GRACE: Duration = Duration::from_secs(8);
const EXIT_SLACK: Duration = Duration::from_secs(2);
/// Time until the gateway holds nothing once the clients are gone.
const RELIEF_TIMEOUT: Duration = Duration::from_secs(30);
const RELIEF_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of the load balancer's check, and its timeout.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time from the signal in which the load balancer may still send callers to the gateway.
const ROUTED_AFTER_SIGNAL: Duration = Duration::from_millis(2_000);

/// Checks in a row without an answer after which the load balancer sends no more callers.
const MISSES_UNTIL_OUT: u32 = 2;
/// Part of what ordinary callers get without the clients that they still get.
const MIN_SHARE: f64 = 0.9;

/// What happens to the gateway during a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Moment {
    /// Nothing.
    #[default]
    Calm,
    /// It starts when the clients are there already.
    Start,
    /// It is asked to shut down.
    Shutdown,
    /// The store is away.
    StoreAway,
}

/// A run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// What happens to the gateway.
    pub moment: Moment,
    /// Clients that do not behave; none for what ordinary callers get without them.
    pub attacks: Vec<Attack>,
    /// Duration of the traffic.
    pub lasts: Duration,
    /// How long ordinary callers wait for their responses.
    pub patience: Duration,
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.moment)?;
        for Attack { kind, door, connections, seed } in &self.attacks {
            write!(f, ", {connections} {kind} at {door} (seed {seed})")?;
        }
        Ok(())
    }
}

/// Checks of readiness by the load balancer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Checks {
    /// Checks that were sent.
    pub sent: u32,
    /// Checks that were answered in time.
    pub answered: u32,
    /// Largest number of checks in a row that were not.
    pub missed_in_a_row: u32,
}

/// What was seen in a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// What was played.
    pub plan: Plan,
    /// What ordinary callers got.
    pub ordinary: Tally,
    /// Checks of readiness.
    pub checks: Checks,
    /// Peak memory of the gateway, bytes.
    pub peak: u64,
    /// Largest number of its descriptors.
    pub descriptors: u64,
    /// What the clients did.
    pub reports: Vec<Report>,
    /// What must not happen, whatever clients do.
    pub faults: Vec<String>,
}

impl Outcome {
    /// Returns all that must not happen if ordinary callers get `calm` without the clients, with what depends on the speed of this
    /// machine.
    pub fn all_faults(&self, calm: f64) -> Vec<String> {
        let mut faults = self.untimed_faults(calm);
        if self.checks.missed_in_a_row >= MISSES_UNTIL_OUT {
            faults.push(format!("the load balancer takes the gateway out: {:?}", self.checks));
        }
        faults
    }

    /// Does the same without what depends on the speed of this machine: whether readiness is reported in time.
    pub fn untimed_faults(&self, calm: f64) -> Vec<String> {
        let mut faults = self.faults.clone();
        let share = self.ordinary.share();
        if share < MIN_SHARE * calm {
            let examples = &self.ordinary.failures[..self.ordinary.failures.len().min(3)];
            faults.push(format!(
                "ordinary callers: {share:.3} served, {calm:.3} without the clients; {examples:?}"
            ));
        }
        faults
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let megabytes = self.peak as f64 / 1e6;
        let (opened, sent) = self
            .reports
            .iter()
            .fold((0, 0), |(opened, sent), report| (opened + report.opened, sent + report.sent));
        write!(
            f,
            "{}: peak {megabytes:.1} MB, {} descriptors; ordinary {}/{} served, ready {}/{}; {opened} connections, {sent} bytes",
            self.plan,
            self.descriptors,
            self.ordinary.served,
            self.ordinary.sent,
            self.checks.answered,
            self.checks.sent
        )?;
        self.faults.iter().try_for_each(|fault| write!(f, "\n  {fault}"))
    }
}

/// Plays a run. `logs` gets what the gateway prints.
pub async fn play(programs: &Programs, plan: Plan, logs: &Path) -> Result<Outcome, SiteError> {
    let mut run = Run::prepare(programs, &plan, logs).await?;
    let mut faults = Vec::new();
    if plan.moment != Moment::Start {
        run.start_gateway()?;
        run.wait_until_ready().await?;
    }
    if plan.moment == Moment::StoreAway {
        run.site.store.set_fault(store::Fault::Reset);
    }
    let children: Vec<Child> =
        plan.attacks.iter().map(|attack| run.spawn(attack, plan.lasts)).collect::<Result<_, _>>()?;
    if plan.moment == Moment::Start {
        task::sleep(Duration::from_millis(700)).await;
        run.start_gateway()?;
        run.wait_until_ready().await?;
    }
    let until = Instant::now() + plan.lasts;
    let traffic =
        task::spawn(ordinary::send(run.target.callers, "ordinary", traffic_end(&plan, until), plan.patience));
    let checking = task::spawn(check(run.target.admin, traffic_end(&plan, until)));
    if plan.moment == Moment::Shutdown {
        task::sleep(plan.lasts / 3).await;
        run.terminate();
        if !run.wait_for_exit(GRACE + EXIT_SLACK).await {
            faults.push("the gateway has not ended in time after its signal".into());
        }
    }
    let ordinary = traffic.await;
    let checks = checking.await;
    let reports = children.into_iter().map(report).collect::<io::Result<Vec<Report>>>()?;
    if plan.moment == Moment::StoreAway {
        run.site.store.set_fault(store::Fault::None);
    }
    if plan.moment != Moment::Shutdown {
        faults.extend(run.check_after(&plan).await);
    }
    if run.watch.as_ref().is_some_and(Watch::is_exceeded) {
        faults.push(format!("the gateway has exceeded {MEMORY_MB} MB and was stopped"));
    } else if plan.moment != Moment::Shutdown && run.has_ended() {
        faults.push("the gateway has ended".into());
    }
    faults.extend(run.broken_promises(&ordinary, &reports));
    let (peak, descriptors) =
        run.watch.as_ref().map_or((0, 0), |watch| (watch.peak(), watch.peak_descriptors()));
    Ok(Outcome { plan, ordinary, checks, peak, descriptors, reports, faults })
}

/// Returns when ordinary callers stop: before the end of a gateway that shuts down.
fn traffic_end(plan: &Plan, until: Instant) -> Instant {
    match plan.moment {
        Moment::Shutdown => until - plan.lasts + plan.lasts / 3 + ROUTED_AFTER_SIGNAL,
        Moment::Calm | Moment::Start | Moment::StoreAway => until,
    }
}

/// A site with a gateway in another process.
struct Run {
    site: Site,
    programs: Programs,
    target: Target,
    peer: SocketAddr,
    log: PathBuf,
    /// Whether anyone reads what the gateway prints.
    is_log_read: bool,
    gateway: Option<Child>,
    watch: Option<Watch>,
}

impl Run {
    async fn prepare(programs: &Programs, plan: &Plan, logs: &Path) -> Result<Self, SiteError> {
        let mut site = Site::empty().await?;
        for role in [Role::Prefill, Role::Prefill, Role::Decode, Role::Decode, Role::Plain, Role::Plain] {
            site.add_endpoint(role).await?;
        }
        site.configure(&with_limits(configuration(1)));
        let target = Target { callers: unused_address()?, admin: unused_address()? };
        fs::create_dir_all(logs)?;
        let name = plan.to_string().replace(|c: char| !c.is_ascii_alphanumeric(), "-");
        let log = logs.join(format!("{name}.log"));
        let programs = Programs { bench: programs.bench.clone(), daemon: programs.daemon.clone() };
        let is_log_read = plan.attacks.iter().all(|attack| attack.kind != Kind::LongId);
        let peer = unused_address()?;
        Ok(Self { site, programs, target, peer, log, is_log_read, gateway: None, watch: None })
    }

    fn start_gateway(&mut self) -> io::Result<()> {
        let output = fs::File::create(&self.log)?;
        let arguments = [
            "gateway".to_owned(),
            "--name=front-1".into(),
            "--zone=zone-a".into(),
            format!("--listen={}", self.target.callers),
            format!("--admin={}", self.target.admin),
            format!("--peer={}", self.peer),
            format!("--table={}", self.site.store.address()),
            format!("--grace-s={}", GRACE.as_secs()),
            format!("--memory-mb={MEMORY_MB}"),
            format!("--descriptors={DESCRIPTORS}"),
        ];
        let stdout = if self.is_log_read { output.try_clone()?.into() } else { Stdio::piped() };
        let child = Command::new(&self.programs.daemon)
            .args(arguments)
            .stdin(Stdio::null())
            .stderr(output)
            .stdout(stdout)
            .spawn()?;
        let most = DESCRIPTORS - FILE_DESCRIPTORS;
        let limit = Rlimit { current: Some(most), maximum: Some(most) };
        prlimit(pid(&child), Resource::Nofile, limit)?;
        let addresses = vec![self.target.callers, self.target.admin];
        self.watch = Some(Watch::start(child.id(), addresses, MEMORY_MB * 1_000_000)?);
        self.gateway = Some(child);
        Ok(())
    }

    fn spawn(&self, attack: &Attack, lasts: Duration) -> io::Result<Child> {
        let Attack { kind, door, connections, seed } = attack;
        let arguments = [
            "attack".to_owned(),
            format!("--kind={kind}"),
            format!("--door={door}"),
            format!("--connections={connections}"),
            format!("--seed={seed}"),
            format!("--ms={}", lasts.as_millis()),
            format!("--callers={}", self.target.callers),
            format!("--admin={}", self.target.admin),
        ];
        Command::new(&self.programs.bench).args(arguments).stdin(Stdio::null()).stdout(Stdio::piped()).spawn()
    }

    async fn wait_until_ready(&mut self) -> io::Result<()> {
        let began = Instant::now();
        while !is_ready(self.target.admin).await {
            if began.elapsed() > START_TIMEOUT || self.has_ended() {
                return Ok(());
            }
            task::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    fn terminate(&self) {
        if let Some(child) = &self.gateway {
            // Fails only if the process has ended.
            let _ = pid(child).map(|id| kill_process(id, Signal::TERM));
        }
    }

    fn has_ended(&mut self) -> bool {
        self.gateway.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    async fn wait_for_exit(&mut self, time: Duration) -> bool {
        let began = Instant::now();
        while !self.has_ended() {
            if began.elapsed() > time {
                return false;
            }
            task::sleep(Duration::from_millis(20)).await;
        }
        true
    }

    /// Waits until the gateway holds nothing for callers. Returns the number of bytes that it still holds.
    async fn wait_until_released(&mut self) -> Value {
        let began = Instant::now();
        let mut held = Value::Null;
        while held != 0 && began.elapsed() < RELIEF_TIMEOUT && !self.has_ended() {
            let dump = crate::platform::site::state(self.target.admin);
            let state = timeout(CHECK_INTERVAL, dump).await.unwrap_or_default();
            held = state["held_bytes"].clone();
            task::sleep(RELIEF_INTERVAL).await;
        }
        held
    }

    /// Checks that the gateway recovers, and serves each request that is within the limits.
    async fn check_after(&mut self, plan: &Plan) -> Vec<String> {
        let mut faults = Vec::new();
        // A run without clients is the calm in which all of them have to be served.
        let lone = if plan.attacks.is_empty() { Lone::all() } else { Lone::some() };
        if plan.attacks.is_empty() {
            lone::send_numbers(self.target).await;
        }
        for lone in lone {
            // What is held for the request before would not leave it alone.
            let held = self.wait_until_released().await;
            if self.has_ended() {
                return faults;
            }
            if held != 0 {
                faults.push(format!("the gateway still holds {held} bytes"));
            }
            if let Err(reason) = lone.send(self.target).await {
                faults.push(format!("a lone request, {lone}: {reason}"));
            }
        }
        faults
    }

    /// Returns the requests that were refused as not run and have run.
    fn broken_promises(&self, ordinary: &Tally, reports: &[Report]) -> Vec<String> {
        let endpoints = self.site.all_endpoints();
        let executed = endpoints.flat_map(|endpoint| endpoint.executed());
        let id = |head: &Request| head.fields.get("Tarragonhill-Request-Id").unwrap_or_default().to_owned();
        let executed: BTreeSet<String> = executed
            .filter(|request| request.head.fields.get("Tarragonhill-Serving-Stage").is_none())
            .map(|request| id(&request.head))
            .collect();
        let refused = ordinary.refused.iter().chain(reports.iter().flat_map(|report| &report.refused));
        refused
            .filter(|id| executed.contains(*id))
            .map(|id| format!("{id} was refused as not run and has run"))
            .collect()
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if let Some(child) = &mut self.gateway {
            // Fails only if the process has ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn pid(child: &Child) -> Option<Pid> {
    i32::try_from(child.id()).ok().and_then(Pid::from_raw)
}

fn report(child: Child) -> io::Result<Report> {
    let output = child.wait_with_output()?;
    Ok(serde_json::from_slice(&output.stdout).unwrap_or_default())
}

/// Returns the configuration with the limits of the platform's pages, and a customer with a limited rate for clients that do not
/// behave.
fn with_limits(mut configuration: Value) -> Value {
    configuration["limits"] = json!({"max_header_bytes": client::MAX_HEAD, "max_body_bytes": client::MAX_BODY,
        "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000});
    if let Some(customers) = configuration["tenants"].as_array_mut() {
        customers.push(json!({"name": "crowd", "api_keys": [client::KEY], "priority": 1, "unit": "tokens", "plain_tokens": 200,
            "rate_per_s": 20_000, "burst": 100_000}));
    }
    configuration
}

/// Returns an address at which nothing listens.
fn unused_address() -> io::Result<SocketAddr> {
    let ip: Ipv4Addr = unique_loopback_ip();
    TcpListener::bind((ip, 0))?.local_addr()
}

/// Asks for readiness as the load balancer does.
async fn check(admin: SocketAddr, until: Instant) -> Checks {
    let (mut checks, mut missed) = (Checks::default(), 0);
    while Instant::now() < until {
        let began = Instant::now();
        let status = readiness(admin).await;
        checks.sent += 1;
        missed = if status.is_some() { 0 } else { missed + 1 };
        checks.answered += u32::from(status.is_some());
        checks.missed_in_a_row = checks.missed_in_a_row.max(missed);
        task::sleep((CHECK_INTERVAL / 4).saturating_sub(began.elapsed())).await;
    }
    checks
}

async fn readiness(admin: SocketAddr) -> Option<u16> {
    let mut head = Request::new("GET", "/v1/readiness");
    head.fields.push("Host", "admin");
    let call = timeout(CHECK_INTERVAL, caller::request(admin, head, b"")).await;
    call.ok()?.ok().map(|response| response.head.status)
}

async fn is_ready(admin: SocketAddr) -> bool {
    readiness(admin).await == Some(200)
}

/// Plays runs, some of them at once.
pub fn play_all(
    programs: &Programs,
    plans: Vec<Plan>,
    at_once: usize,
    logs: &Path,
) -> Result<Vec<Outcome>, SiteError> {
    let queue = Arc::new(std::sync::Mutex::new(plans.into_iter().enumerate().rev().collect::<Vec<_>>()));
    let outcomes: std::sync::Mutex<Vec<(usize, Result<Outcome, SiteError>)>> = std::sync::Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..at_once.max(1) {
            scope.spawn(|| {
                loop {
                    let next = crate::sim::lock(&queue).pop();
                    let Some((index, plan)) = next else { return };
                    let outcome = task::block_on(play(programs, plan, logs));
                    if let Ok(outcome) = &outcome {
                        println!("{outcome}");
                    }
                    crate::sim::lock(&outcomes).push((index, outcome));
                }
            });
        }
    });
    let mut outcomes = outcomes.into_inner().unwrap_or_default();
    outcomes.sort_by_key(|(index, _)| *index);
    outcomes.into_iter().map(|(_, outcome)| outcome).collect()
}
