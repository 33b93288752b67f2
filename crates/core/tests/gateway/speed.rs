//! Tests of placement by the speed of endpoints.

use std::{array, collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tarragonhill_core::gateway::{
    budget::Rule,
    catalog::{Catalog, Engine, Kind, Limits, Service},
    cold::Tolerance,
    completion::Completion,
    digest::{Member, Share},
    directory::{Directory, Endpoint, Stage},
    forecast::{Forecast, Observation, Size},
    growth::Growth,
    health::Outcome,
    load::Loads,
    mechanism::{Mechanism, Mechanisms},
    placement::{self, Claim, Partition, View},
    pools::Pools,
    queue::Verdict,
    speed::{Sample, Speeds, take_report},
    state::{Assignment, Identity, Listing, Pair, State},
    throttle::Gate,
};

use crate::{SMALL, at, endpoint, position, route, row, trained};

const DECODE: u64 = 36;
const PREFILL: u64 = 18;
const REPLICAS: usize = 12;
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const ENGINE: Engine = Engine { slots: 64, memory: 45_637, max_reservation: Duration::from_secs(2) };
const TTFT_MS: u64 = 900;
const STEP_MS: u64 = 20;
const DIGEST_MS: u64 = 100;
const EVENT_TOKENS: u64 = 8;
/// Time before which callers are not counted.
const WARM_UP_MS: u64 = 10_000;
const END_MS: u64 = 40_000;
/// When the endpoint of [`Plan::slow`] is slow.
const SLOW_MS: std::ops::Range<u64> = 15_000..25_000;

/// A fleet and its load.
#[derive(Clone, Copy)]
struct Plan {
    /// Event intervals and prefill times of the endpoints of each third, as multiples of those of a common engine.
    factors: [f64; 3],
    /// Prefill time per token of a common engine, in microseconds.
    prompt_us: f64,
    /// Requests a second at all replicas.
    rate: f64,
    /// Each zone in turn gets most requests for this long; zero if all get the same.
    wave_ms: u64,
    /// An endpoint that is four times as slow for a while.
    slow: Option<u64>,
    /// Fraction of digests that are lost.
    loss: f64,
    is_enabled: bool,
    seed: u64,
}

const UNEVEN: [f64; 3] = [0.6, 1.0, 1.6];
const PLAN: Plan = Plan {
    factors: UNEVEN,
    prompt_us: 18.0,
    rate: 40.0,
    wave_ms: 0,
    slow: None,
    loss: 0.0,
    is_enabled: true,
    seed: 1,
};

/// A request, and the number of events that it will have.
#[derive(Clone, Copy)]
struct Request {
    size: Size,
    arrived_ms: u64,
    events: f64,
}

impl Request {
    fn deadline_ms(&self) -> u64 {
        self.arrived_ms + 14_000
    }

    fn completion(&self) -> Completion {
        Completion {
            service: "drafting".into(),
            customer: "faculty".into(),
            size: self.size,
            waiting_since: at(self.arrived_ms),
            events: 0,
            deadline: at(self.deadline_ms()),
            ttft_target: Duration::from_millis(TTFT_MS),
            target_gap: Duration::from_millis(300),
            stall_timeout: Duration::from_millis(3_600),
            priority: 1,
            avoid: Vec::new(),
            software_version: None,
            suspects: Arc::default(),
        }
    }
}

/// A run at an endpoint.
struct Run {
    replica: usize,
    decode: Assignment,
    request: Request,
    begins_ms: u64,
    done: f64,
    /// When events were last recorded, and how many had been by then.
    recorded: (u64, f64),
}

/// What callers got.
#[derive(Debug, Default, PartialEq)]
struct Summary {
    /// Runs by decode endpoint and second.
    runs: BTreeMap<(u64, u64), u32>,
    /// Prompts by prefill endpoint.
    prompts: [u32; PREFILL as usize],
    /// Prompts that took longer than their timeout.
    timed_out: u32,
    on_time: u32,
    /// First events after the target.
    late: u32,
    /// Last events after the deadline.
    overdue: u32,
    refused: u32,
    completed: u32,
    /// Sum of the times from request to last event.
    total_ms: u64,
}

impl Summary {
    fn runs_of(&self, is_counted: impl Fn(u64, u64) -> bool) -> u32 {
        let counted = self.runs.iter().filter(|((index, second), _)| is_counted(*index, *second));
        counted.map(|(_, count)| count).sum()
    }

    /// Returns the share of runs at each third of the endpoints.
    fn shares(&self) -> [f64; 3] {
        let all = f64::from(self.runs_of(|_, _| true));
        array::from_fn(|third| f64::from(self.runs_of(|index, _| index % 3 == third as u64)) / all)
    }
}

struct Model {
    plan: Plan,
    random: ChaCha8Rng,
    replicas: Vec<State<Request>>,
    runs: Vec<Run>,
    /// Prompts at prefill endpoints, with the replica and when each began and ends.
    prompts: Vec<(usize, u64, u64, Assignment)>,
    /// When each prefill endpoint has finished its prompts.
    prefill_free_ms: [u64; PREFILL as usize],
    due_ms: f64,
    summary: Summary,
}

fn address() -> SocketAddr {
    "127.0.0.1:7".parse().expect("an address")
}

fn replica(index: usize, is_enabled: bool) -> State<Request> {
    let member = |index: usize| Member {
        name: format!("entry-{index:02}").into(),
        address: address(),
        zone: ZONES[index % 3].into(),
        millicores: 1_000,
    };
    let Member { name, address, zone, millicores } = member(index);
    let identity = Identity { name, zone, incarnation: 1, address, millicores };
    let retries = Rule { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };
    let disabled = (!is_enabled).then_some(Mechanism::Speed);
    let mut state = State::new(identity, retries, Tolerance::default(), at(0))
        .with_mechanisms(Mechanisms::without(disabled));
    let mut catalog = Catalog::new(1, Limits::default());
    catalog.add_route(route("/a/", Kind::Streaming));
    catalog.add_service(Service { name: "drafting".into(), engine: Some(ENGINE), warmup: None });
    state.apply_catalog(at(0), position(10), Arc::new(catalog));
    let stages = [("d", Stage::Decode, DECODE), ("p", Stage::Prefill, PREFILL)];
    let endpoints = stages.into_iter().flat_map(|(prefix, stage, count)| {
        (0..count).map(move |index| Endpoint {
            zone: ZONES[(index / 3 % 3) as usize].into(),
            slots: ENGINE.slots,
            ..endpoint(&format!("{prefix}-{index:02}"), stage)
        })
    });
    let rows = endpoints.enumerate().map(|(index, endpoint)| row(index as u64 + 1, endpoint)).collect();
    state.apply_listing(at(0), Listing { position: position(100), is_complete: true, rows });
    (0..REPLICAS).for_each(|index| state.add_member(at(0), member(index)));
    state.mark_members_read(at(0));
    state
}

fn index_of(endpoint: &Endpoint) -> u64 {
    endpoint.id[2..].parse().expect("an index")
}

impl Model {
    fn new(plan: Plan) -> Self {
        Self {
            plan,
            random: ChaCha8Rng::seed_from_u64(plan.seed),
            replicas: (0..REPLICAS).map(|index| replica(index, plan.is_enabled)).collect(),
            runs: Vec::new(),
            prompts: Vec::new(),
            prefill_free_ms: [0; PREFILL as usize],
            due_ms: 0.0,
            summary: Summary::default(),
        }
    }

    fn play(mut self) -> Summary {
        for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
            self.arrive(now_ms);
            self.prefill(now_ms);
            self.decode(now_ms);
            if now_ms % DIGEST_MS == 0 {
                self.gossip(now_ms);
            }
            (0..REPLICAS).for_each(|index| self.dispatch(now_ms, index));
            if now_ms == WARM_UP_MS {
                self.summary = Summary::default();
            }
        }
        self.summary
    }

    fn arrive(&mut self, now_ms: u64) {
        while self.due_ms <= now_ms as f64 {
            let Self { plan, random, .. } = self;
            self.due_ms -= (1.0 - random.random::<f64>()).ln() * 1e3 / plan.rate;
            let is_in_wave = plan.wave_ms > 0 && random.random_bool(0.8);
            let zone = if is_in_wave { now_ms / plan.wave_ms % 3 } else { random.random_range(0..3) };
            let index = zone as usize + 3 * random.random_range(0..REPLICAS / 3);
            let prompt = (5_200.0 * random.random_range(0.4..1.6)) as u64;
            let expected_output = (870.0 * random.random_range(0.3..1.7)) as u64;
            let events = expected_output as f64 / EVENT_TOKENS as f64 * random.random_range(0.6..1.6);
            let size = Size { prompt, expected_output, max_output: 2_000 };
            let request = Request { size, arrived_ms: now_ms, events };
            self.replicas[index].enqueue(at(now_ms), request.completion(), request);
        }
    }

    fn prefill(&mut self, now_ms: u64) {
        let Self { prompts, replicas, .. } = self;
        prompts.retain(|(index, began_ms, end_ms, prefill)| {
            if *end_ms <= now_ms {
                let took = Duration::from_millis(end_ms - began_ms);
                let observation = Observation::Prefill { tokens: prefill.prefill_tokens, took };
                replicas[*index].record_observation(at(now_ms), &prefill.endpoint, observation);
                replicas[*index].record_end(at(now_ms), &prefill.lease, Outcome::Responded(took));
            }
            *end_ms > now_ms
        });
    }

    fn factor(&self, now_ms: u64, index: u64) -> f64 {
        // One endpoint in seven is slow for a moment.
        let disturbance = if (now_ms / 600 + index * 3).is_multiple_of(7) { 2.5 } else { 1.0 };
        let is_slow = self.plan.slow == Some(index) && SLOW_MS.contains(&now_ms);
        self.plan.factors[(index % 3) as usize] * disturbance * if is_slow { 4.0 } else { 1.0 }
    }

    fn decode(&mut self, now_ms: u64) {
        let now = at(now_ms);
        let running = |index| self.runs.iter().filter(|run| index_of(&run.decode.endpoint) == index).count();
        let intervals: Vec<f64> = (0..DECODE)
            .map(|index| (34.7 + 1.2 * running(index) as f64) * self.factor(now_ms, index))
            .collect();
        let Self { runs, replicas, summary, .. } = self;
        runs.retain_mut(|run| {
            let Run { replica, decode, request, begins_ms, done, recorded } = run;
            if *begins_ms > now_ms {
                return true;
            }
            let (endpoint, state) = (&decode.endpoint, &mut replicas[*replica]);
            if *done == 0.0 {
                state.record_first_event(now, &decode.lease);
            }
            let interval_ms = intervals[index_of(endpoint) as usize];
            *done = (*done + STEP_MS as f64 / interval_ms).min(request.events);
            let (since_ms, earlier) = *recorded;
            let (events, has_ended) = ((*done - earlier) as u64, *done >= request.events);
            if events > 0 && (now_ms - since_ms >= 250 || has_ended) {
                let part = events as f64 / (*done - earlier);
                let span = Duration::from_millis(now_ms + STEP_MS - since_ms).mul_f64(part);
                state.record_observation(now, endpoint, Observation::Events { events, span });
                state.record_events(&decode.lease, "drafting", events);
                *recorded = (now_ms + STEP_MS, earlier + events as f64);
            }
            if has_ended {
                let expected = request.size.expected_output;
                let completed = Observation::Completed { expected, events: request.events as u64 };
                state.record_observation(now, endpoint, completed);
                state.record_end(now, &decode.lease, Outcome::Abandoned);
                summary.completed += 1;
                summary.total_ms += now_ms - request.arrived_ms;
                summary.overdue += u32::from(now_ms > request.deadline_ms());
            }
            !has_ended
        });
    }

    fn gossip(&mut self, now_ms: u64) {
        let now = at(now_ms);
        let digests: Vec<_> = self.replicas.iter_mut().map(|state| state.next_digest(now).0).collect();
        for (index, state) in self.replicas.iter_mut().enumerate() {
            for (from, digest) in digests.iter().enumerate() {
                if from != index && !self.random.random_bool(self.plan.loss) {
                    state.apply_digest(now, digest, address());
                }
            }
            state.tick(now);
        }
    }

    fn dispatch(&mut self, now_ms: u64, index: usize) {
        for (entry, verdict) in self.replicas[index].dispatch(at(now_ms)) {
            match verdict {
                Verdict::Expired => self.summary.refused += 1,
                Verdict::Placed(pair) => self.begin(now_ms, index, entry.tag, pair),
            }
        }
    }

    /// Begins a run, unless its endpoint has no memory for it.
    fn begin(&mut self, now_ms: u64, replica: usize, request: Request, pair: Pair) {
        let Pair { decode, prefill } = pair;
        let prompt = request.size.prompt;
        let here = self.runs.iter().filter(|run| run.decode.endpoint.id == decode.endpoint.id);
        let used: u64 = here.map(|run| run.request.size.prompt + run.done as u64 * EVENT_TOKENS).sum();
        if used + prompt > ENGINE.memory {
            let state = &mut self.replicas[replica];
            state.record_end(at(now_ms), &decode.lease, Outcome::Full);
            if let Some(prefill) = prefill {
                state.record_end(at(now_ms), &prefill.lease, Outcome::Abandoned);
            }
            state.enqueue(at(now_ms), request.completion(), request);
            return;
        }
        let number = index_of(&decode.endpoint);
        let begins_ms = match prefill {
            Some(prefill) => self.begin_prefill(now_ms, replica, prompt, prefill),
            None => {
                let factor = 2.0 * self.plan.factors[(number % 3) as usize];
                now_ms + (prompt as f64 * self.plan.prompt_us / 1e3 * factor) as u64
            }
        } + 30;
        *self.summary.runs.entry((number, now_ms / 1_000)).or_default() += 1;
        let is_late = begins_ms > request.arrived_ms + TTFT_MS;
        self.summary.late += u32::from(is_late);
        self.summary.on_time += u32::from(!is_late);
        self.runs.push(Run { replica, decode, request, begins_ms, done: 0.0, recorded: (begins_ms, 0.0) });
    }

    /// Begins a prefill, and returns when it ends.
    fn begin_prefill(&mut self, now_ms: u64, replica: usize, prompt: u64, prefill: Assignment) -> u64 {
        let index = index_of(&prefill.endpoint) as usize;
        let is_slow = self.plan.slow == Some(index as u64) && SLOW_MS.contains(&now_ms);
        let factor = self.plan.factors[index % 3] * if is_slow { 4.0 } else { 1.0 };
        let took_ms = prompt as f64 * self.plan.prompt_us / 1e3 * factor;
        let end_ms = self.prefill_free_ms[index].max(now_ms) + took_ms as u64;
        self.prefill_free_ms[index] = end_ms;
        self.summary.prompts[index] += 1;
        self.summary.timed_out +=
            u32::from(u128::from(end_ms - now_ms) > prefill.prefill_timeout.as_millis());
        self.prompts.push((replica, now_ms, end_ms, prefill));
        end_ms
    }
}

fn play(plan: Plan) -> Summary {
    let summary = Model::new(plan).play();
    let Summary { prompts, timed_out, on_time, late, overdue, refused, completed, total_ms, .. } = &summary;
    let by_third: [u32; 3] = array::from_fn(|third| prompts.iter().skip(third).step_by(3).sum());
    println!(
        "rate {} wave {} loss {} seed {} {}: runs {:.3?} prompts {by_third:?} timed out {timed_out}; on time {on_time} late {late} overdue {overdue} refused {refused} mean {} ms",
        plan.rate,
        plan.wave_ms,
        plan.loss,
        plan.seed,
        plan.is_enabled,
        summary.shares(),
        total_ms / u64::from(*completed)
    );
    summary
}

#[test]
fn runs_are_placed_in_proportion_to_speed_and_fewer_are_late() {
    let plans = [
        Plan { prompt_us: 50.0, ..PLAN },
        Plan { rate: 50.0, seed: 2, ..PLAN },
        Plan { rate: 48.0, loss: 0.3, seed: 3, ..PLAN },
        Plan { rate: 46.0, wave_ms: 4_000, seed: 4, ..PLAN },
    ];
    for plan in plans {
        let (with, without) = (play(plan), play(Plan { is_enabled: false, ..plan }));
        let total: f64 = UNEVEN.iter().map(|factor| 1.0 / factor).sum();
        for (share, factor) in with.shares().into_iter().zip(UNEVEN) {
            let proportional = 1.0 / factor / total;
            assert!(
                (share / proportional - 1.0).abs() < 0.2,
                "{share} of the runs instead of {proportional}"
            );
        }
        let missed = |summary: &Summary| summary.late + summary.overdue + summary.refused;
        assert!(missed(&with) < missed(&without));
        assert!(with.refused <= without.refused);
    }
}

/// Guards against endpoints that turn slow and keep their share, or never get it back.
#[test]
fn an_endpoint_that_turns_slow_loses_its_share_until_it_recovers() {
    let summary = play(Plan { slow: Some(0), rate: 44.0, ..PLAN });
    let runs = |seconds: std::ops::Range<u64>| {
        let per_second = f64::from(summary.runs_of(|index, second| index == 0 && seconds.contains(&second)));
        per_second / (seconds.end - seconds.start) as f64
    };
    let (before, slow, after) = (runs(10..15), runs(18..25), runs(32..40));
    assert!(slow < before * 0.4 && after > before * 0.6, "{before}, {slow} and {after} runs a second");
}

/// Guards against a mechanism that acts where the endpoints are alike.
#[test]
fn placement_in_an_even_service_is_the_same_without_the_mechanism() {
    let even = Plan { factors: [1.0, 1.0, 1.3], rate: 44.0, ..PLAN };
    assert_eq!(play(even), play(Plan { is_enabled: false, ..even }));
}

/// Guards against samples that make no sense, and against an estimate that outlives its observations.
#[test]
fn estimates_ignore_bad_samples_and_age_towards_the_typical_speed() {
    let sample = |ms, weight| Sample { event_interval: Duration::from_millis(ms), weight };
    let ids: Vec<Arc<str>> = (0..5).map(|index| format!("d-{index}").into()).collect();
    let mut speeds = Speeds::default();
    for id in &ids {
        assert!(speeds.add(at(0), id, sample(40, 20)).is_some());
    }
    speeds.recompute();
    let relative = |speeds: &Speeds, ms, id: &str| speeds.relative_interval(at(ms), id);
    for bad in [
        sample(0, 20),
        sample(40, 0),
        sample(3_600_000, 20),
        Sample { event_interval: Duration::MAX, weight: u32::MAX },
    ] {
        assert_eq!(speeds.add(at(0), &ids[0], bad), None);
    }
    assert_eq!(relative(&speeds, 0, &ids[0]), 1.0);
    assert_eq!(relative(&speeds, 0, "d-new"), 1.0);
    speeds.add(at(0), &ids[0], sample(9_000, u32::MAX));
    let ratios = [0, 5_000, 10_000, 20_000, 60_000].map(|ms| relative(&speeds, ms, &ids[0]));
    assert!(ratios.is_sorted_by(|earlier, later| earlier > later), "{ratios:?}");
    assert!(ratios[0] > 5.0 && ratios[0] < 8.0 && ratios[3] < 1.5 && ratios[4] < 1.01, "{ratios:?}");
}

/// Guards against a lost digest that takes the history of an endpoint with it, and against reports that grow with the fleet.
#[test]
fn a_report_has_what_was_observed_since_the_last_one_at_the_newest_endpoints() {
    let mut speeds = Speeds::default();
    let interval = Duration::from_millis(40);
    for index in 0..100_u64 {
        speeds.record(at(index * 10), &format!("d-{index}").into(), interval);
    }
    let report = take_report(at(1_000), [&mut speeds].into_iter());
    assert_eq!(report.len(), 32);
    assert_eq!(report.get("d-99"), Some(&Sample { event_interval: interval, weight: 1 }));
    assert!(take_report(at(1_000), [&mut speeds].into_iter()).is_empty());
    speeds.record(at(1_000), &"d-0".into(), interval);
    assert!(take_report(at(5_000), [&mut speeds].into_iter()).is_empty());
}

/// Guards against a run that pauses too long or ends after its deadline at an endpoint that is slow, but idle.
#[test]
fn an_endpoint_that_would_miss_a_target_is_used_only_if_no_other_fits() {
    let mut forecasts = trained(SMALL);
    let service: Arc<str> = "drafting".into();
    let mut directory = Directory::default();
    let rows =
        [(1, "d-1"), (2, "d-2"), (3, "d-3")].map(|(index, id)| row(index, endpoint(id, Stage::Decode)));
    directory.update(at(0), position(9), rows.into());
    for (id, ms) in [("d-1", 110), ("d-2", 55), ("d-3", 55)] {
        let sample = Sample { event_interval: Duration::from_millis(ms), weight: 30 };
        forecasts.apply_peer_speed(at(0), &service, &id.into(), sample);
    }
    forecasts.recompute();
    let mut loads = Loads::default();
    let growth = Growth::flat(40_000);
    for id in ["d-2", "d-3"] {
        loads.acquire(at(0), &id.into(), Share { running: 1, memory: 40_000, growth, ..Share::default() });
    }
    let run = |target_gap_ms, deadline_ms| placement::Run {
        prompt: 5_000,
        growth: Growth::flat(5_000),
        target_gap: Duration::from_millis(target_gap_ms),
        claim: Some(Claim { output: 1_100, deadline: at(deadline_ms) }),
        ..placement::Run::default()
    };
    let slots = |slots| Engine { slots, ..ENGINE };
    let view = View {
        now: at(0),
        directory: &directory,
        gate: &Gate::default(),
        loads: &loads,
        pools: &Pools::default(),
        forecasts: &forecasts,
        zone: "zone-a",
        replica: "own",
        partition: Partition { index: 0, count: 1 },
    };
    let is_slow_used = |engine: Engine, run| {
        view.pick_decode("drafting", &engine, &run).is_some_and(|found| &*found.id == "d-1")
    };
    assert!(is_slow_used(slots(48), run(300, 14_000)));
    assert!(!is_slow_used(slots(48), run(80, 14_000)));
    assert!(!is_slow_used(slots(48), run(300, 9_000)));
    assert!(is_slow_used(slots(1), run(80, 9_000)));
}

/// Guards against a prompt that is read twice because its endpoint is slower than the replica has seen others be.
#[test]
fn a_prompt_may_take_as_long_as_at_the_slowest_endpoint_where_none_was_observed() {
    let mut forecasts = trained(SMALL);
    for index in 0..6 {
        let sample =
            Sample { event_interval: Duration::from_millis(if index < 4 { 55 } else { 110 }), weight: 30 };
        forecasts.apply_peer_speed(at(0), &"drafting".into(), &format!("d-{index}").into(), sample);
    }
    forecasts.recompute();
    let time = |forecast: Forecast| forecast.prefill_time(5_000).as_secs_f64();
    let typical = time(forecasts.endpoint(at(0), "drafting", "p-new"));
    let longest = time(forecasts.longest_prefill(at(0), "drafting", "p-new"));
    assert!(longest > typical * 1.5 && longest < typical * 2.1, "{longest} and {typical} seconds");
}
