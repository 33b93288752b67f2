//! Tests that each kind of refusal is logged with the request id, code, status and reason.
//!
//! This file holds a single test because the logger is global to the process.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex, PoisonError},
};

use async_std::task;
use serde_json::Value;
use spdlog::{Logger, formatter::JsonFormatter, sink::WriteSink};
use tarragonhill_bench::platform::{
    caller::{self, completion_request, plain_request},
    endpoint::{Fault, Role},
    site::{KEY, SMALL_KEY, Shape, Site, wait_until, wait_until_not_ready},
};
use tarragonhill_h1::head::Request;

/// Captured log output in JSON lines.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl io::Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogBuffer {
    fn start() -> Self {
        let log = Self::default();
        let sink = WriteSink::builder().target(log.clone()).formatter(JsonFormatter::new()).build();
        let sink = Arc::new(sink.expect("a sink"));
        let logger = Logger::builder().sink(sink).build().expect("a logger");
        spdlog::set_default_logger(Arc::new(logger));
        log
    }

    /// Returns the logged refusals by request id: code, status and `not_run`.
    fn refusals(&self) -> BTreeMap<String, (String, u64, bool)> {
        let bytes = self.0.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let text = String::from_utf8_lossy(&bytes);
        let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let refused = lines.filter(|line| line["payload"] == "request refused");
        refused
            .map(|line| {
                let kv = &line["kv"];
                assert!(kv["reason"].as_str().is_some_and(|reason| !reason.is_empty()), "{line}");
                let text = |name: &str| kv[name].as_str().unwrap_or_default().to_string();
                let status = kv["status"].as_u64().unwrap_or(0);
                (text("request"), (text("code"), status, kv["not_run"] == true))
            })
            .collect()
    }
}

/// Request that must be refused.
struct Case {
    head: Request,
    /// Code, status and `not_run`.
    expected: (&'static str, u16, bool),
}

fn case(head: Request, code: &'static str, status: u16, not_run: bool) -> Case {
    Case { head, expected: (code, status, not_run) }
}

async fn assert_refused(site: &Site, log: &LogBuffer, cases: Vec<Case>) {
    for Case { head, expected: (code, status, not_run) } in cases {
        let id = head.fields.get("Tarragonhill-Request-Id").expect("an id").to_string();
        let response = caller::request(site.address(), head, b"x").await.expect("a response");
        assert_eq!(response.head.status, status, "{code}");
        wait_until("the refusal is logged", async || log.refusals().contains_key(&id)).await;
        assert_eq!(log.refusals()[&id], (code.to_string(), u64::from(status), not_run), "{id}");
    }
}

fn with_short_deadline(mut head: Request) -> Request {
    head.fields.set("Tarragonhill-Deadline-Ms", "300");
    head
}

#[test]
fn every_refusal_is_logged_with_its_reason() {
    let log = LogBuffer::start();
    task::block_on(async {
        let mut empty = Site::empty().await.expect("a store");
        empty.add_gateway().await.expect("a gateway");
        let early = plain_request("GET", "/lookup/x", KEY, "early");
        assert_refused(&empty, &log, vec![case(early, "settings_unconfirmed", 503, true)]).await;

        let shape = Shape { gateways: 1, prefill: 1, decode: 1, plain: 1 };
        let site = Site::start(shape).await.expect("the site starts");
        let service = site.endpoints(Role::Plain)[0].clone();
        let submit = |id: &str| plain_request("POST", "/submit/x", KEY, id);
        let stream = |id: &str, prompt| completion_request("/stream/x", KEY, id, prompt);
        let mut large = plain_request("POST", "/submit/x", SMALL_KEY, "spends");
        large.fields.set("Tarragonhill-Token-Counts", "800,0");
        let spent = caller::request(site.address(), large, b"x").await.expect("a response");
        assert_eq!(spent.head.status, 200);
        let mut over = plain_request("POST", "/submit/x", SMALL_KEY, "over");
        over.fields.set("Tarragonhill-Token-Counts", "3900,0");
        let cases = vec![
            case(plain_request("GET", "/nowhere/x", KEY, "nowhere"), "not_found", 404, true),
            case(plain_request("GET", "/lookup/x", "key-nobody", "nobody"), "bad_key", 401, true),
            case(over, "over_rate", 429, true),
        ];
        assert_refused(&site, &log, cases).await;

        service.set_fault(Fault::Refuse);
        assert_refused(&site, &log, vec![case(submit("full"), "no_endpoint", 503, true)]).await;
        service.set_fault(Fault::ResetAfterRun);
        assert_refused(&site, &log, vec![case(submit("lost"), "outcome_unknown", 502, false)]).await;
        service.set_fault(Fault::Hang);
        assert_refused(&site, &log, vec![case(with_short_deadline(submit("late")), "timeout", 504, false)])
            .await;
        let infeasible = with_short_deadline(stream("infeasible", 30_000));
        assert_refused(&site, &log, vec![case(infeasible, "overloaded", 503, true)]).await;
        site.endpoints(Role::Decode)[0].set_fault(Fault::ResetAfterRun);
        assert_refused(&site, &log, vec![case(stream("broken", 5_000), "broken", 502, false)]).await;

        let without_service = Site::start(Shape { plain: 0, ..shape }).await.expect("the site starts");
        assert_refused(
            &without_service,
            &log,
            vec![case(plain_request("GET", "/lookup/x", KEY, "gone"), "no_endpoint", 503, true)],
        )
        .await;
        // During shutdown the gateway refuses streams that could outlast its drain time.
        let mut stopping = Site::start(shape).await.expect("the site starts");
        let (address, gateway) = (stopping.address(), stopping.gateways.remove(0));
        let admin = gateway.admin();
        let stopped = task::spawn(gateway.shutdown());
        wait_until_not_ready(admin).await;
        let mut long = stream("long", 5_000);
        long.fields.set("Tarragonhill-Token-Counts", "5000,100000");
        long.fields.set("Tarragonhill-Length-Hint", "100000");
        let response = caller::request(address, long, b"x").await.expect("a response");
        assert_eq!(response.head.status, 503);
        wait_until("the refusal is logged", async || log.refusals().contains_key("long")).await;
        assert_eq!(log.refusals()["long"], ("shutting_down".to_string(), 503, true));
        stopped.await;
    });
}
