//! Tasks that run work on engines: one for each prefill, decode and call.

use std::{
    collections::BTreeMap,
    future::Future,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
};

use async_channel::Sender;
use async_std::task::{self, JoinHandle};
use tarragonhill_core::{
    Attempt,
    agent::{Call, Input, Outcome},
    message::{Event, FailureCause, Work},
    settings::{Endpoint, Snapshot},
};
use tarragonhill_engine::{Engine, EngineError, HttpEngine, Sink};

use crate::agent::handle::{Control, MAX_QUEUED_EVENTS, work_id};

type TaskKey = (Attempt, Arc<str>);

/// Running tasks of one agent.
pub(crate) struct Workers {
    control: Control,
    /// Clients by engine address.
    engines: BTreeMap<Arc<str>, Arc<dyn Engine>>,
    running: Arc<Mutex<BTreeMap<TaskKey, JoinHandle<()>>>>,
}

impl Workers {
    pub(crate) fn new(control: Control) -> Self {
        Self { control, engines: BTreeMap::new(), running: Arc::default() }
    }

    fn engine(&mut self, settings: &Snapshot, endpoint: &str) -> Option<Arc<dyn Engine>> {
        let address = settings.endpoints.get(endpoint)?.address.clone();
        self.engine_at(&address)
    }

    fn engine_at(&mut self, address: &Arc<str>) -> Option<Arc<dyn Engine>> {
        if let Some(engine) = self.engines.get(address) {
            return Some(engine.clone());
        }
        let engine: Arc<dyn Engine> = Arc::new(HttpEngine::new(address.parse().ok()?));
        self.engines.insert(address.clone(), engine.clone());
        Some(engine)
    }

    pub(crate) fn prefill(&mut self, settings: &Snapshot, work: Work, prompt: Arc<str>) {
        let Some(engine) = self.engine(settings, &work.endpoint) else { return self.report_failure(work) };
        self.run(work, move |work| async move { engine.prefill(&work, prompt).await });
    }

    pub(crate) fn decode(
        &mut self,
        settings: &Snapshot,
        work: Work,
        source: Arc<str>,
        kv: Arc<str>,
        from_index: u32,
        events: Sender<Event>,
    ) {
        let Some(engine) = self.engine(settings, &work.endpoint) else { return self.report_failure(work) };
        let sink = EventSink { attempt: work.attempt, events };
        self.run(work, move |work| async move { engine.decode(&work, source, kv, from_index, &sink).await });
    }

    pub(crate) fn call(&mut self, settings: &Snapshot, work: Work, call: Call) {
        let Some(engine) = self.engine(settings, &work.endpoint) else { return self.report_failure(work) };
        self.run(work, move |work| async move { engine.call(&work, &call).await });
    }

    /// Reports work that cannot be started as failed.
    pub(crate) fn report_failure(&self, work: Work) {
        let outcome = Outcome::Failed(FailureCause::Failed);
        self.control.input(Input::Finished { attempt: work.attempt, endpoint: work.endpoint, outcome });
    }

    fn run<F, Fut>(&self, work: Work, body: F)
    where
        F: FnOnce(Work) -> Fut,
        Fut: Future<Output = Outcome> + Send + 'static,
    {
        let key = (work.attempt, work.endpoint.clone());
        let (control, running, task_key) = (self.control.clone(), self.running.clone(), key.clone());
        let body = body(work);
        let mut handles = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        let handle = task::spawn(async move {
            let outcome = body.await;
            // `abort` may remove the handle first. Only the remover reports the end, so it is reported once.
            let was_present =
                running.lock().unwrap_or_else(PoisonError::into_inner).remove(&task_key).is_some();
            if was_present {
                let (attempt, endpoint) = task_key;
                control.input(Input::Finished { attempt, endpoint, outcome });
            }
        });
        handles.insert(key, handle);
    }

    /// Cancels a task, then its work on the engine, and reports the end.
    pub(crate) fn abort(&mut self, settings: &Snapshot, attempt: Attempt, endpoint: Arc<str>) {
        let key = (attempt, endpoint.clone());
        let handle = self.running.lock().unwrap_or_else(PoisonError::into_inner).remove(&key);
        let Some(handle) = handle else { return };
        let engine = self.engine(settings, &endpoint);
        let control = self.control.clone();
        task::spawn(async move {
            handle.cancel().await;
            if let Some(engine) = engine {
                engine.cancel(&work_id(attempt)).await;
            }
            control.input(Input::Finished { attempt, endpoint, outcome: Outcome::Aborted });
        });
    }

    /// Orders an endpoint to change its model or role.
    pub(crate) fn serve(&mut self, endpoint: Arc<Endpoint>) {
        let Some(engine) = self.engine_at(&endpoint.address) else { return };
        task::spawn(async move {
            let serves = endpoint.serves.to_string();
            match engine.serve(&endpoint).await {
                Ok(()) => spdlog::info!("serve order accepted", kv: { serves = serves.as_str() }),
                Err(error @ (EngineError::Fenced | EngineError::Failed(_))) => {
                    spdlog::error!("serve order failed: {error}", kv: { serves = serves.as_str() });
                }
            }
        });
    }

    /// Cancels all tasks without reporting their end.
    pub(crate) fn stop(self) {
        let running = std::mem::take(&mut *self.running.lock().unwrap_or_else(PoisonError::into_inner));
        for (_, handle) in running {
            task::spawn(handle.cancel());
        }
    }
}

struct EventSink {
    attempt: Attempt,
    events: Sender<Event>,
}

impl Sink for EventSink {
    fn token(&self, index: u32, text: Arc<str>) -> Pin<Box<dyn Future<Output = ()> + Send + '_>> {
        let event = Event::Tokens { attempt: self.attempt, first_index: index, texts: vec![text] };
        Box::pin(async move {
            if self.events.len() >= MAX_QUEUED_EVENTS || self.events.send(event).await.is_err() {
                self.events.close();
            }
        })
    }
}
