//! The agent's control thread, the only owner of its scheduling state.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    sync::Arc,
    thread,
    time::Duration,
};

use async_channel::{Receiver, Sender};
use async_std::task;
use serde_json::{Value, json};
use tarragonhill_core::{
    Clock,
    agent::{Action, Input, Link, State},
    message::{Event, Load},
};

use crate::{
    agent::{
        handle::{Command, Control, MAX_QUEUED_EVENTS},
        metrics::Metrics,
        work::Workers,
    },
    settings::Current,
};

/// Interval of ticks while there is work.
const TICK: Duration = Duration::from_millis(5);
/// Interval of ticks without work, when only tombstones expire.
const IDLE_TICK: Duration = Duration::from_millis(250);

/// Starts the control thread for the endpoints named in `endpoints`.
pub(crate) fn start(
    endpoints: BTreeSet<Arc<str>>,
    clock: Clock,
    current: Arc<Current>,
    metrics: Arc<Metrics>,
) -> io::Result<Control> {
    let (sender, receiver) = async_channel::unbounded();
    let control = Control::new(sender);
    let workers = Workers::new(control.clone());
    let controller =
        Controller { state: State::new(endpoints), clock, current, metrics, workers, links: BTreeMap::new() };
    thread::Builder::new().name("control".into()).spawn(move || task::block_on(controller.run(receiver)))?;
    Ok(control)
}

struct Controller {
    state: State,
    clock: Clock,
    current: Arc<Current>,
    metrics: Arc<Metrics>,
    workers: Workers,
    links: BTreeMap<Link, Sender<Event>>,
}

impl Controller {
    async fn run(mut self, commands: Receiver<Command>) {
        loop {
            let interval = if self.state.is_idle() { IDLE_TICK } else { TICK };
            let command = match async_std::future::timeout(interval, commands.recv()).await {
                Ok(Ok(command)) => command,
                Ok(Err(_)) => return,
                Err(_) => Command::Input(Input::Tick),
            };
            match command {
                Command::Input(input) => self.step(input),
                Command::LinkOpened(link, events) => {
                    self.links.insert(link, events);
                }
                Command::Loads(reply) => {
                    let loads = self.state.loads();
                    self.metrics.set_loads(&loads);
                    let _ = reply.try_send(loads);
                }
                Command::IsIdle(reply) => {
                    let _ = reply.try_send(self.state.is_idle());
                }
                Command::Dump(reply) => {
                    let _ = reply.try_send(self.dump());
                }
                Command::Stop => return self.workers.stop(),
            }
        }
    }

    fn step(&mut self, input: Input) {
        if let Input::LinkLost(link) = &input {
            self.links.remove(link);
        }
        let actions = self.state.step(self.clock.now(), input);
        for action in actions {
            self.metrics.count_event(&action);
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        let settings = self.current.get();
        match action {
            Action::Send(link, event) => self.send(link, event),
            Action::Prefill(work, prompt) => self.workers.prefill(&settings, work, prompt),
            Action::Decode { link, work, source, kv, from_index } => {
                let Some(events) = self.links.get(&link).cloned() else {
                    // The link closed in the meantime.
                    return self.workers.report_failure(work);
                };
                self.workers.decode(&settings, work, source, kv, from_index, events);
            }
            Action::Call(work, call) => self.workers.call(&settings, work, call),
            Action::Abort(attempt, endpoint) => self.workers.abort(&settings, attempt, endpoint),
            Action::Serve(_, endpoint) => self.workers.serve(endpoint),
        }
    }

    /// Sends an event over a link, and closes the link if its backlog is full, to bound the memory that a
    /// slow entry uses.
    fn send(&mut self, link: Link, event: Event) {
        let Some(events) = self.links.get(&link) else { return };
        if events.len() >= MAX_QUEUED_EVENTS || events.try_send(event).is_err() {
            events.close();
        }
    }

    fn dump(&self) -> Value {
        let loads: Vec<Value> = self.state.loads().iter().map(load_json).collect();
        let heartbeat = self.current.heartbeat();
        json!({
            "role": "agent",
            "settings_version": heartbeat.version,
            "settings_age_ms": u64::try_from(heartbeat.age.as_millis()).unwrap_or(u64::MAX),
            "links": self.links.len(),
            "endpoints": loads,
            "tombstones": self.state.tombstones(),
            "idle": self.state.is_idle(),
        })
    }
}

fn load_json(load: &Load) -> Value {
    json!({
        "endpoint": load.endpoint,
        "free_pieces": load.free_pieces,
        "capacity_pieces": load.capacity_pieces,
        "queued_tokens": load.queued_tokens,
        "running": load.running,
        "leaving": load.leaving,
    })
}
