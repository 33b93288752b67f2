//! Ordinary callers, whose requests are sent at fixed times and repeated as the protocol allows.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use async_std::{future::timeout, task};
use tarragonhill_h1::{Error, head::Request};

use crate::{
    platform::{
        caller::{Caller, Response, completion_request, plain_request},
        endpoint::EVENT_COUNT,
        site::KEY,
    },
    sim::lock,
};

/// Interval between two requests of all callers together.
const INTERVAL: Duration = Duration::from_millis(12);
/// Number of times that a request is sent at most.
const MAX_ATTEMPTS: u32 = 4;
/// Delay before a repetition if the gateway names none.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Statuses that promise that the request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Length of a small and of a larger body.
const BODIES: [usize; 2] = [300, 20_000];
const PROMPT_TOKENS: u64 = 50;

/// What callers got.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests sent, repetitions not counted.
    pub sent: u32,
    /// Requests whose whole response arrived in time.
    pub served: u32,
    /// What each request that was not served got last.
    pub failures: Vec<String>,
    /// Ids of attempts that were refused as not run.
    pub refused: Vec<String>,
}

impl Tally {
    /// Returns the part of the requests that were served.
    pub fn share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.sent.max(1))
    }
}

/// Sends requests until `until` and returns what they got. `name` makes their ids unique; `patience` is how long each caller waits
/// for its response, with all repetitions.
pub async fn send(address: SocketAddr, name: &str, until: Instant, patience: Duration) -> Tally {
    let tally: Arc<Mutex<Tally>> = Arc::default();
    let idle: Arc<Mutex<Vec<Caller>>> = Arc::default();
    let mut tasks = Vec::new();
    let began = Instant::now();
    let mut number = 0;
    while Instant::now() < until {
        let (tally, idle, id) = (tally.clone(), idle.clone(), format!("{name}-{number}"));
        lock(&tally).sent += 1;
        tasks.push(task::spawn(async move { serve(address, number, &id, patience, &idle, &tally).await }));
        number += 1;
        task::sleep((INTERVAL * number).saturating_sub(began.elapsed())).await;
    }
    for task in tasks {
        task.await;
    }
    lock(&tally).clone()
}

fn request(number: u32, id: &str, patience: Duration) -> (Request, Vec<u8>) {
    let (mut head, body) = match number % 8 {
        0 => (completion_request("/stream/x", KEY, id, PROMPT_TOKENS), b"prompt".to_vec()),
        1 => (plain_request("POST", &format!("/submit/{id}"), KEY, id), vec![b'x'; BODIES[1]]),
        2 | 4 => (plain_request("POST", &format!("/submit/{id}"), KEY, id), vec![b'x'; BODIES[0]]),
        _ => (plain_request("GET", "/lookup/x", KEY, id), Vec::new()),
    };
    head.fields.set("Tarragonhill-Deadline-Ms", patience.as_millis().to_string());
    (head, body)
}

async fn serve(
    address: SocketAddr,
    number: u32,
    id: &str,
    patience: Duration,
    idle: &Mutex<Vec<Caller>>,
    tally: &Mutex<Tally>,
) {
    let ends = Instant::now() + patience;
    let mut last = String::from("not sent");
    for attempt in 0..MAX_ATTEMPTS {
        let attempt_id = format!("{id}.{attempt}");
        let (head, body) = request(number, &attempt_id, patience);
        let is_idempotent = head.method == "GET";
        let left = ends.saturating_duration_since(Instant::now());
        // Half of the callers keep their connections.
        let kept = if attempt == 0 && number.is_multiple_of(2) { lock(idle).pop() } else { None };
        let sending = exchange(address, kept, head, &body);
        match timeout(left, sending).await {
            Ok(Ok((caller, response))) => {
                let status = response.head.status;
                if is_served(number, &response) {
                    lock(tally).served += 1;
                    if response.head.keeps_alive() {
                        lock(idle).push(caller);
                    }
                    return;
                }
                last = format!("{attempt_id}: {status}, whole {}", response.is_complete);
                if NOT_RUN.contains(&status) {
                    lock(tally).refused.push(attempt_id);
                } else if !is_idempotent {
                    break;
                }
                let delay = response.header("retry-after").and_then(|value| value.parse().ok());
                task::sleep(delay.map_or(RETRY_DELAY, Duration::from_secs_f64)).await;
            }
            Ok(Err(Failure::NotSent(error))) => last = format!("{attempt_id}: not sent: {error}"),
            Ok(Err(Failure::Sent(error))) => {
                last = format!("{attempt_id}: {error}");
                if !is_idempotent {
                    break;
                }
            }
            Err(_) => {
                last = format!("{attempt_id}: no response");
                break;
            }
        }
    }
    lock(tally).failures.push(last);
}

fn is_served(number: u32, response: &Response) -> bool {
    let is_whole = response.head.status == 200 && response.is_complete;
    is_whole && (!number.is_multiple_of(8) || response.event_ids().len() == EVENT_COUNT as usize)
}

enum Failure {
    /// The gateway has read no request.
    NotSent(std::io::Error),
    /// The request may have run.
    Sent(Error),
}

async fn exchange(
    address: SocketAddr,
    kept: Option<Caller>,
    head: Request,
    body: &[u8],
) -> Result<(Caller, Response), Failure> {
    let is_kept = kept.is_some();
    let mut caller = match kept {
        Some(caller) => caller,
        None => Caller::open(address).await.map_err(Failure::NotSent)?,
    };
    // A refusal may arrive before the request has been written.
    let sent = caller.send(head, body).await;
    match caller.read_response().await {
        Ok(response) => Ok((caller, response)),
        // An idle connection that was closed before the request reached it.
        Err(Error::Closed) if is_kept => Err(Failure::NotSent(std::io::ErrorKind::ConnectionReset.into())),
        Err(error) => Err(sent.err().map_or(Failure::Sent(error), Failure::NotSent)),
    }
}
