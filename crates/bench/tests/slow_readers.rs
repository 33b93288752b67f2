//! Tests of callers and endpoints that read slowly, over real connections.

use std::{net::TcpListener, time::Duration};

use async_std::{net::TcpStream, task};
use serde_json::json;
use tarragonhill_bench::platform::{
    caller::{self, Caller, Response, completion_request, narrow_socket, plain_request},
    endpoint::{EVENT_COUNT, Endpoint, Role},
    site::{KEY, Shape, Site, configuration, wait_until},
};
use tarragonhill_h1::{Connection, body::Decoder, head};

/// Memory of the gateway, a quarter of which may be held: 0.4 MB, and half of that for large requests and unread streams.
const MEMORY: u64 = 1_600_000;
/// Bytes that a stream keeps for its caller, with some for its last event and the framing.
const MAX_KEPT: u64 = 80 << 10;
/// Length of a body of which three are held and a fourth is not.
const LARGE: usize = 60_000;
const PROMPT_TOKENS: u64 = 1_000;

/// Starts a site with one gateway.
async fn start_site() -> Site {
    let mut site = Site::start(Shape { gateways: 0, prefill: 1, decode: 1, plain: 1 }).await.expect("starts");
    site.set_memory(MEMORY);
    site.add_gateway().await.expect("the gateway starts");
    site.wait_until_synced().await;
    site
}

async fn held(site: &Site) -> u64 {
    site.state(0).await["held_bytes"].as_u64().expect("a number")
}

async fn wait_until_nothing_is_held(site: &Site) {
    wait_until("nothing is held", async || held(site).await == 0).await;
}

async fn call(site: &Site, id: &str, body: &[u8]) -> Response {
    let head = plain_request("POST", &format!("/submit/{id}"), KEY, id);
    caller::request(site.address(), head, body).await.expect("a response")
}

/// Starts streams, each of `padding` bytes an event, whose callers read nothing yet.
async fn start_streams(site: &Site, padding: usize, count: usize) -> Vec<Caller> {
    let mut callers = Vec::new();
    site.endpoints(Role::Decode)[0].set_padding(padding);
    for number in 0..count {
        let mut caller = Caller::open_narrow(site.address()).await.expect("a connection");
        let head = completion_request("/stream/x", KEY, &format!("s{number}"), PROMPT_TOKENS);
        caller.send(head, b"prompt").await.expect("sent");
        callers.push(caller);
    }
    callers
}

/// Guards against endpoints that are kept waiting by a caller, and against events that are lost when it reads again.
#[test]
fn a_stream_whose_caller_pauses_is_read_from_its_endpoint_and_arrives_whole() {
    task::block_on(async {
        let site = start_site().await;
        for (padding, is_read_at_once) in [(6 << 10, true), (100 << 10, false)] {
            let mut callers = start_streams(&site, padding, 1).await;
            let decode = site.endpoints(Role::Decode)[0].clone();
            wait_until("the gateway keeps events", async || held(&site).await > 0).await;
            if is_read_at_once {
                wait_until("the stream has ended", async || decode.active_streams() == 0).await;
            }
            assert!(held(&site).await <= MAX_KEPT + 2 * padding as u64, "{padding}");
            let response = callers[0].read_response().await.expect("a response");
            assert_eq!(response.event_ids(), (1..=EVENT_COUNT).collect::<Vec<_>>(), "{padding}");
            assert!(response.is_complete, "{padding}");
            wait_until_nothing_is_held(&site).await;
        }
    });
}

/// Guards against callers that read nothing and take the memory or the places of others.
#[test]
fn callers_that_read_nothing_leave_room_for_others_and_nothing_when_they_go() {
    task::block_on(async {
        let site = start_site().await;
        let callers = start_streams(&site, 20 << 10, 12).await;
        wait_until("the gateway keeps events", async || held(&site).await > MEMORY / 16).await;
        for number in 0..20 {
            assert_eq!(call(&site, &format!("r{number}"), b"small").await.head.status, 200);
            assert!(held(&site).await <= MEMORY / 4);
        }
        drop(callers);
        wait_until_nothing_is_held(&site).await;
    });
}

/// Guards against bodies that together exceed the memory of the gateway, and against refusals of what fits.
#[test]
fn a_body_that_would_exceed_the_bound_is_refused_before_it_is_sent() {
    task::block_on(async {
        let site = start_site().await;
        let mut slow = Vec::new();
        for number in 0..3 {
            let mut caller = Caller::open(site.address()).await.expect("a connection");
            let mut head = plain_request("POST", "/submit/slow", KEY, &format!("slow-{number}"));
            head.fields.push("Content-Length", LARGE.to_string());
            caller.write(&head.encode()).await.expect("written");
            slow.push(caller);
        }
        wait_until("the bodies are expected", async || held(&site).await == 3 * LARGE as u64).await;
        let refused = call(&site, "large", &[b'x'; LARGE]).await;
        assert_eq!((refused.head.status, refused.header("retry-after").is_some()), (503, true));
        assert_eq!(refused.header("tarragonhill-request-id"), Some("large"));
        let mut caller = Caller::open(site.address()).await.expect("a connection");
        let mut head = plain_request("POST", "/submit/chunked", KEY, "chunked");
        head.fields.push("Transfer-Encoding", "chunked");
        let chunk = format!("{LARGE:x}\r\n{}\r\n0\r\n\r\n", "x".repeat(LARGE));
        caller.write(&[&head.encode(), chunk.as_bytes()].concat()).await.expect("written");
        assert_eq!(caller.read_response().await.expect("a response").head.status, 503);
        assert_eq!(call(&site, "small", b"small").await.head.status, 200);
        for caller in &mut slow {
            caller.write(&[b'x'; LARGE]).await.expect("written");
            assert_eq!(caller.read_response().await.expect("a response").head.status, 200);
        }
        assert_eq!(call(&site, "again", &[b'x'; LARGE]).await.head.status, 200);
        let executed = site.endpoints(Role::Plain)[0].executed();
        let targets: Vec<&str> = executed.iter().map(|request| &*request.head.target).collect();
        let slow = "/submit/slow";
        assert_eq!(targets, ["/submit/small", slow, slow, slow, "/submit/again"]);
        wait_until_nothing_is_held(&site).await;
    });
}

/// How an endpoint reads a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    /// Nothing after the head.
    Head,
    /// The whole request, with pauses.
    Slow,
}

/// Replaces an endpoint by one that reads slowly, and responds once it has read the whole request.
async fn replace(endpoint: &Endpoint, reading: Reading) -> task::JoinHandle<()> {
    endpoint.kill().await;
    let socket = narrow_socket().expect("a socket");
    socket.set_reuse_address(true).expect("set");
    socket.bind(&endpoint.address().into()).expect("bound");
    socket.listen(16).expect("listens");
    socket.set_nonblocking(true).expect("set");
    let listener = async_std::net::TcpListener::from(TcpListener::from(socket));
    let id = endpoint.id().clone();
    task::spawn(async move {
        let mut kept = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            if let Some(connection) = respond(stream, reading, &id).await {
                kept.push(connection);
            }
        }
    })
}

async fn respond(stream: TcpStream, reading: Reading, id: &str) -> Option<Connection> {
    let mut connection = Connection::new(stream, Duration::from_secs(10));
    let request = connection.read_request(64 << 10).await.ok()?;
    let mut decoder = Decoder::new(request.framing().ok()?);
    while reading == Reading::Slow && connection.read_part(&mut decoder).await.ok()?.is_some() {
        task::sleep(Duration::from_millis(1)).await;
    }
    if decoder.is_done() {
        let mut head = head::Response::new(200);
        let request_id = request.fields.get("tarragonhill-request-id")?;
        head.fields.push("Tarragonhill-Request-Id", request_id);
        head.fields.push("Tarragonhill-Server-Signature", format!("{id}.1"));
        head.fields.push("Content-Length", "0");
        connection.write(&head.encode()).await.ok()?;
    }
    Some(connection)
}

/// Guards against a request that an endpoint reads for ever, and against promises that it has not run.
#[test]
fn a_request_that_its_endpoint_stops_reading_fails_and_one_read_slowly_does_not() {
    task::block_on(async {
        const BODY: usize = 800 << 10;
        for (reading, status) in [(Reading::Head, 502), (Reading::Slow, 200)] {
            let mut site = start_site().await;
            site.gateways.remove(0).kill().await;
            site.set_memory(16 * MEMORY);
            let mut larger = configuration(2);
            larger["limits"]["max_body_bytes"] = json!(1 << 20);
            site.configure(&larger);
            site.add_gateway().await.expect("the gateway starts");
            site.wait_for_version(2).await;
            site.wait_until_synced().await;
            let endpoint = replace(&site.endpoints(Role::Plain)[0], reading).await;
            let mut head = plain_request("POST", "/submit/long", KEY, "long");
            head.fields.set("Tarragonhill-Deadline-Ms", "15000");
            let response = caller::request(site.address(), head, &vec![b'x'; BODY]).await;
            assert_eq!(response.expect("a response").head.status, status, "{reading:?}");
            wait_until_nothing_is_held(&site).await;
            endpoint.cancel().await;
        }
    });
}
