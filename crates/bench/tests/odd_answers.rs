//! Tests of answers whose heads or framing are not valid HTTP, over real connections.

use std::thread;

use async_std::task;
use serde_json::json;
use tarragonhill_bench::platform::{
    caller::{self, Response, completion_request, plain_request},
    endpoint::{EVENT_COUNT, Role},
    raw::{Endpoint, Step},
    site::{KEY, Shape, Site, wait_until},
};
use tarragonhill_h1::head::Request;

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: odd\n\n";
/// Requests in which the odd endpoint is sure to get some.
const REQUESTS: usize = 10;

/// Returns an answer with this status line and these fields, signed, with events as its body.
fn answer(status_line: &str, fields: &str) -> Vec<u8> {
    let length = EVENTS.len();
    format!(
        "{status_line}\r\nTarragonhill-Request-Id: {{id}}\r\nTarragonhill-Server-Signature: odd.1\r\n{fields}\
         Content-Length: {length}\r\n\r\n{EVENTS}"
    )
    .into_bytes()
}

/// Returns an answer with these fields and this body.
fn framed(fields: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nTarragonhill-Request-Id: {{id}}\r\nTarragonhill-Server-Signature: odd.1\r\n{fields}\r\n{body}"
    )
    .into_bytes()
}

fn odd_status_lines() -> Vec<Vec<u8>> {
    let lines = [
        "HTTP/1.1 000 ",
        "HTTP/1.1 000 OK",
        "HTTP/1.1 001 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 2x0 OK",
        "HTTP/1.1 -20 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1 200 O\x01K",
        "HTTP/1.1 200 O\0K",
        "HTTP/1.2 200 OK",
        "HTTP/2 200 OK",
        "HTTP/0.9 200 OK",
        "http/1.1 200 OK",
        "ICY 200 OK",
        "HTTP/1.1",
        " HTTP/1.1 200 OK",
        "\0HTTP/1.1 200 OK",
        "HTTP/1.1 101 Switching Protocols",
        "\r\nHTTP/1.1 200 OK",
        "\nHTTP/1.1 200 OK",
    ];
    // The body of the last ones looks like an answer.
    let nested = ["HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 101 Switching Protocols"].map(|line| {
        let head = format!("{line}\r\nTarragonhill-Request-Id: {{id}}\r\n\r\n");
        [head.as_bytes(), &answer("HTTP/1.1 200 OK", "")].concat()
    });
    lines.iter().map(|line| answer(line, "")).chain(nested).collect()
}

fn odd_fields() -> Vec<Vec<u8>> {
    let fields = [
        "X Odd: 1",
        "X-Odd : 1",
        "X-Odd\t: 1",
        " X-Odd: 1",
        "\tX-Odd: 1",
        "X\x01Odd: 1",
        "X\0Odd: 1",
        "X\x7fOdd: 1",
        "X\rOdd: 1",
        ": 1",
        "X-Odd",
        "X\u{e9}: 1",
        "(X): 1",
        "X\"Odd: 1",
        "X-Odd: a\0b",
        "X-Odd: a\x01b",
        "X-Odd: a\rb",
        "X-Odd: a\x7fb",
        "X-Odd: a\r\n b",
        "Content-Length : 3",
        "Content Length: 3",
        "Transfer-Encoding : chunked",
        "Transfer-Encoding\x0b: chunked",
        "Tarragonhill-Server-Signature: odd.2",
        "Tarragonhill-Request-Id: another",
    ];
    fields.iter().map(|field| answer("HTTP/1.1 200 OK", &format!("{field}\r\n"))).collect()
}

fn odd_framings() -> Vec<Vec<u8>> {
    let whole = format!("{:x}\r\n{EVENTS}\r\n", EVENTS.len());
    let chunked =
        |fields: &str, body: String| framed(&format!("{fields}Transfer-Encoding: chunked\r\n"), &body);
    vec![
        framed("Content-Length: 3\r\nContent-Length: 4\r\n", EVENTS),
        framed("Content-Length: 3, 3\r\n", EVENTS),
        framed("Content-Length: -3\r\n", EVENTS),
        framed("Content-Length: +3\r\n", EVENTS),
        framed("Content-Length: 0x3\r\n", EVENTS),
        framed("Content-Length: \r\n", EVENTS),
        framed("Content-Length: 99999999999999999999\r\n", EVENTS),
        framed("Transfer-Encoding: gzip\r\n", EVENTS),
        framed("Transfer-Encoding: identity\r\n", EVENTS),
        framed("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", &format!("{whole}0\r\n\r\n")),
        chunked("Content-Length: 3\r\n", format!("{whole}0\r\n\r\n")),
        chunked("", format!("x\r\n{EVENTS}\r\n0\r\n\r\n")),
        chunked("", format!("-1\r\n{EVENTS}\r\n0\r\n\r\n")),
        chunked("", format!("ffffffffffffffffff\r\n{EVENTS}\r\n0\r\n\r\n")),
        chunked("", format!("{whole}\r\n0\r\n\r\n")),
        chunked("", whole.replace("\r\n", "\n") + "0\n\n"),
        chunked("", whole.replacen("\r\n", ";a\x01b\r\n", 1) + "0\r\n\r\n"),
        chunked("", whole.replacen("\r\n", ";a\rb\r\n", 1) + "0\r\n\r\n"),
        chunked("", format!("{whole}0\r\nX Odd: 1\r\n\r\n")),
        chunked("", format!("{whole}0\r\nX\x01Odd: 1\r\n\r\n")),
        chunked("", format!("{whole}0\r\nno field\r\n\r\n")),
        chunked("", format!("{whole}0\r\nX-Odd: a\0b\r\n\r\n")),
    ]
}

/// Starts a site with one gateway, a sound endpoint of each role and one that answers requests to these paths like this.
async fn start_site(odd: &[u8], paths: &'static [&'static str]) -> (Site, Endpoint) {
    let shape = Shape { gateways: 1, prefill: 1, decode: 1, plain: 1 };
    let site = Site::start(shape).await.expect("the site starts");
    let odd = odd.to_vec();
    let answer = move |head: &Request| {
        let is_odd = paths.iter().any(|path| head.path().starts_with(path));
        let report = r#"{"stage":"decode","busy":false,"seq":0,"born":1}"#;
        let bytes = match head.path() {
            _ if is_odd => odd.clone(),
            "/v1/report" => {
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{report}", report.len()).into()
            }
            "/v1/hold-take" => b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"hold\":\"h\"}".into(),
            _ => b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".into(),
        };
        vec![Step::ReadBody, Step::Send(bytes)]
    };
    let endpoint = Endpoint::start(answer).await.expect("an endpoint");
    for role in [Role::Decode, Role::Plain] {
        let mut row = site.registration(&site.endpoints(role)[0]);
        row["address"] = json!(endpoint.address().to_string());
        row["born"] = 1.into();
        site.store.put("servers", &format!("odd-{role}"), &row);
    }
    wait_until("the odd endpoints are known", async || {
        site.state(0).await["endpoints"].as_array().is_some_and(|known| known.len() == 5)
    })
    .await;
    (site, endpoint)
}

/// Sends a request, and fails the test if the response looks like a whole one of the odd endpoint. Streams may have begun there.
async fn request(site: &Site, head: Request, odd: &str) -> Response {
    let target = head.target.clone();
    let is_stream = !target.starts_with("/lookup/") && !target.starts_with("/submit/");
    let response = caller::request(site.address(), head, b"body").await.expect("a response");
    let signature = response.header("Tarragonhill-Server-Signature").unwrap_or_default();
    let is_odd = signature.starts_with("odd") || response.text().contains("odd");
    let is_whole = response.event_ids() == (1..=EVENT_COUNT).collect::<Vec<_>>();
    let is_cut = is_stream && (is_whole || !response.is_complete);
    assert!(!is_odd || is_cut, "{target} {odd:?}: {}", response.text());
    assert!(response.head.fields.iter().all(|field| !field.name.contains("Odd")), "{target} {odd:?}");
    assert!(matches!(response.head.status, 200 | 502), "{target} {odd:?}: {}", response.head.status);
    response
}

/// Sends calls and streams that may and may not be repeated.
async fn request_all(odd: &[u8]) {
    let (site, endpoint) = start_site(odd, &["/lookup/", "/submit/", "/stream/", "/resumable/"]).await;
    let text = String::from_utf8_lossy(odd).into_owned();
    for number in 0..REQUESTS {
        let id = |kind: &str| format!("{kind}-{number}");
        let response = request(&site, plain_request("GET", "/lookup/x", KEY, &id("lookup")), &text).await;
        assert_eq!(response.head.status, 200, "{text:?}");
        request(&site, plain_request("POST", "/submit/x", KEY, &id("submit")), &text).await;
        let head = completion_request("/resumable/x", KEY, &id("resumable"), 100);
        let response = request(&site, head, &text).await;
        assert_eq!(response.event_ids(), (1..=EVENT_COUNT).collect::<Vec<_>>(), "{text:?}");
        request(&site, completion_request("/stream/x", KEY, &id("stream"), 100), &text).await;
    }
    let heads = endpoint.heads();
    for path in ["/lookup/", "/resumable/"] {
        assert!(heads.iter().any(|head| head.path().starts_with(path)), "{path} {text:?}");
    }
}

/// Tests answers beside each other.
fn for_each(answers: Vec<Vec<u8>>, test: impl AsyncFn(&[u8]) + Sync) {
    thread::scope(|scope| {
        for part in answers.chunks(answers.len().div_ceil(4)) {
            let test = &test;
            scope.spawn(move || {
                for answer in part {
                    task::block_on(test(answer));
                }
            });
        }
    });
}

/// Guards against answers that are passed on although their status is none.
#[test]
fn an_answer_with_an_odd_status_line_is_none() {
    for_each(odd_status_lines(), async |odd| request_all(odd).await);
}

/// Guards against answers that are passed on with a line that is no field, or with another body than it frames.
#[test]
fn an_answer_with_an_odd_field_is_none() {
    for_each(odd_fields(), async |odd| request_all(odd).await);
}

/// Guards against answers with a body of which it is not sure what it is.
#[test]
fn an_answer_with_an_odd_framing_is_none() {
    for_each(odd_framings(), async |odd| request_all(odd).await);
}

/// Guards against streams that fail because a message of the gateway's own is answered like this.
#[test]
fn an_odd_answer_to_a_message_of_the_gateway_is_that_of_a_failed_endpoint() {
    let answers: Vec<Vec<u8>> = [odd_status_lines(), odd_fields(), odd_framings()].concat();
    for path in [&["/v1/report"][..], &["/v1/hold-take"]] {
        for_each(answers.clone(), async |odd| {
            let (site, endpoint) = start_site(odd, path).await;
            for number in 0..4 {
                let head = completion_request("/resumable/x", KEY, &format!("r{number}"), 100);
                let response = caller::request(site.address(), head, b"body").await.expect("a response");
                let text = String::from_utf8_lossy(odd);
                assert_eq!(response.event_ids(), (1..=EVENT_COUNT).collect::<Vec<_>>(), "{path:?} {text:?}");
            }
            assert!(endpoint.heads().iter().all(|head| head.path().starts_with("/v1/")));
        });
    }
}

/// Guards against values of fields that the gateway reads and that end its threads or all use of an endpoint.
#[test]
fn odd_values_of_fields_that_are_read_do_no_harm() {
    let fields = [
        "Keep-Alive: timeout=18446744073709551615",
        "Keep-Alive: timeout=99999999999999999999, max=-1",
        "Keep-Alive: timeout=\u{e9}",
        "Server-Limit: 1e308",
        "Server-Limit: 1e-308",
        "Server-Limit: NaN",
        "Server-Limit: -inf",
        "Tarragonhill-Cold-Ms: 1e308",
        "Tarragonhill-Cold-Ms: -0",
        "Tarragonhill-Cold-Ms: inf",
        "Retry-After: 1e308",
        "Retry-After: -1",
        "Retry-After: Fri, 31 Dec 1999 23:59:59 GMT",
        "Server-Leaving: 2",
        "Tarragonhill-Instance-Id: \u{e9}\"\\",
        "X-Unknown: \u{e9}\u{1f600}",
    ];
    let refusal = |field: &str| {
        let status = "HTTP/1.1 503 Service Unavailable\r\nTarragonhill-Request-Id: {id}\r\nTarragonhill-Not-Executed: 1";
        format!("{status}\r\n{field}\r\nContent-Length: 0\r\n\r\n").into_bytes()
    };
    let answers = fields.iter().flat_map(|field| {
        [framed(&format!("{field}\r\nContent-Length: {}\r\n", EVENTS.len()), EVENTS), refusal(field)]
    });
    for_each(answers.collect(), async |odd| {
        let (site, _endpoint) = start_site(odd, &["/lookup/", "/submit/", "/stream/", "/resumable/"]).await;
        let text = String::from_utf8_lossy(odd);
        // Few, since each refusal takes from the retry budget.
        for number in 0..3 {
            for (kind, path) in [("lookup", "/lookup/x"), ("submit", "/submit/x"), ("stream", "/stream/x")] {
                let id = format!("{kind}-{number}");
                let head = match kind {
                    "stream" => completion_request(path, KEY, &id, 100),
                    _ => plain_request("POST", path, KEY, &id),
                };
                let response = caller::request(site.address(), head, b"body").await.expect("a response");
                assert!((response.head.status, response.is_complete) == (200, true), "{path} {text:?}");
            }
        }
        assert!(site.state(0).await["endpoints"].is_array(), "{text:?}");
    });
}
