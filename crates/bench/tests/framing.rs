//! Tests of answers that endpoints frame by the end of their connection, over real connections.

use std::sync::Arc;

use async_std::task;
use tarragonhill_bench::platform::{
    caller::{self, Caller, Response, completion_request, plain_request},
    endpoint::{EVENT_COUNT, Endpoint, Fault, Role, STREAM_TRAILER},
    site::{KEY, Shape, Site, wait_until},
};
use tarragonhill_h1::{body::Framing, head::Request};

const PROMPT_TOKENS: u64 = 5_000;
/// Bytes of an unframed plain response that end inside its body.
const RESET_IN_BODY: usize = 100;

/// How an endpoint frames its responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Style {
    Framed,
    Unframed,
}

/// Starts a site with one gateway. All responses but those of the prefill engine have the fault.
async fn start_site(style: Style, fault: Fault) -> Site {
    let shape = Shape { gateways: 1, prefill: 1, decode: 1, plain: 2 };
    let site = Site::start(shape).await.expect("the site starts");
    for endpoint in site.endpoints(Role::Decode).iter().chain(&site.endpoints(Role::Plain)) {
        endpoint.set_unframed(style == Style::Unframed);
        endpoint.set_fault(fault);
    }
    site
}

fn stream(id: &str) -> Request {
    completion_request("/stream/x", KEY, id, PROMPT_TOKENS)
}

fn resumable(id: &str) -> Request {
    completion_request("/resumable/x", KEY, id, PROMPT_TOKENS)
}

async fn request(site: &Site, head: Request) -> Response {
    caller::request(site.address(), head, b"prompt").await.expect("a response")
}

/// Sends a request as an HTTP/1.0 caller.
async fn request_http_1_0(site: &Site, mut head: Request) -> Response {
    let mut caller = Caller::open(site.address()).await.expect("a connection");
    head.fields.push("Content-Length", "6");
    let text = String::from_utf8(head.encode()).expect("text").replacen("HTTP/1.1", "HTTP/1.0", 1);
    caller.write(text.as_bytes()).await.expect("written");
    caller.write(b"prompt").await.expect("written");
    caller.read_response().await.expect("a response")
}

fn framing(response: &Response) -> Framing {
    response.head.framing("GET").expect("a framing")
}

/// Returns whether a caller takes a stream for complete: by its framing, or if that ends with the connection, because it
/// does not end inside an event.
fn looks_complete(response: &Response) -> bool {
    let is_inside_event = !response.body.is_empty() && !response.body.ends_with(b"\n\n");
    response.is_complete && !(framing(response) == Framing::UntilClose && is_inside_event)
}

fn all_event_ids() -> Vec<u32> {
    (1..=EVENT_COUNT).collect()
}

fn executed(endpoints: &[Arc<Endpoint>]) -> usize {
    endpoints.iter().map(|endpoint| endpoint.executed().len()).sum()
}

/// Guards against a last chunk after a stream that ended inside an event.
#[test]
fn a_stream_that_is_broken_off_inside_an_event_is_not_passed_on_as_complete() {
    task::block_on(async {
        for (style, fault) in [
            (Style::Unframed, Fault::CutInEvent),
            (Style::Unframed, Fault::EndInEvent),
            (Style::Framed, Fault::EndInEvent),
            (Style::Framed, Fault::CutInEvent),
        ] {
            let site = start_site(style, fault).await;
            let response = request(&site, stream("r1")).await;
            assert!(!response.event_ids().is_empty(), "{style:?} {fault:?}");
            assert!(!looks_complete(&response), "{style:?} {fault:?}: {}", response.text());
            let response = request_http_1_0(&site, stream("r2")).await;
            assert!(!looks_complete(&response), "{style:?} {fault:?}, HTTP/1.0: {}", response.text());
        }
    });
}

/// Sends a resumable stream that its decode endpoint breaks off by `fault`, so that it resumes at another one, which
/// responds in this style and with this fault.
async fn resume(site: &mut Site, fault: Fault, style: Style, then: Fault) -> Response {
    let first = site.endpoints(Role::Decode)[0].clone();
    first.fail_next(fault, 1);
    first.set_paused(true);
    let mut caller = Caller::open(site.address()).await.expect("a connection");
    caller.send(resumable("r1"), b"prompt").await.expect("sent");
    wait_until("the stream is in its middle", async || first.held_streams() > 0).await;
    let second = site.add_endpoint(Role::Decode).await.expect("an endpoint");
    second.set_unframed(style == Style::Unframed);
    second.set_fault(then);
    site.wait_until_synced().await;
    first.set_paused(false);
    caller.read_response().await.expect("a response")
}

/// Guards against resumes that are left out because the response seemed to be complete.
#[test]
fn a_resumable_stream_that_is_broken_off_inside_an_event_resumes() {
    task::block_on(async {
        for (style, fault) in [
            (Style::Unframed, Fault::CutInEvent),
            (Style::Unframed, Fault::Cut),
            (Style::Framed, Fault::EndInEvent),
        ] {
            let mut site = start_site(style, Fault::None).await;
            let response = resume(&mut site, fault, style, Fault::None).await;
            assert!(looks_complete(&response), "{style:?} {fault:?}: {}", response.text());
            assert_eq!(response.event_ids(), all_event_ids(), "{style:?} {fault:?}");
            assert_eq!(executed(&site.endpoints(Role::Decode)), 2, "{style:?} {fault:?}");
        }
    });
}

/// Guards against empty answers in place of streams whose endpoint crashed before the first event.
#[test]
fn a_stream_without_a_length_that_ends_before_its_first_event_is_retried_or_fails() {
    task::block_on(async {
        let mut site = start_site(Style::Unframed, Fault::EndAtOnce).await;
        let response = request(&site, stream("r1")).await;
        assert_eq!(response.head.status, 502);
        site.add_endpoint(Role::Decode).await.expect("an endpoint");
        site.wait_until_synced().await;
        for id in ["r2", "r3", "r4"] {
            let response = request(&site, resumable(id)).await;
            assert_eq!(response.event_ids(), all_event_ids(), "{id}");
        }
    });
}

/// Guards against sound streams that count as broken off because of an empty line or a comment at their end.
#[test]
fn a_stream_with_a_comment_after_its_last_event_passes_whole() {
    task::block_on(async {
        for style in [Style::Framed, Style::Unframed] {
            let site = start_site(style, Fault::Trailer).await;
            let response = request(&site, stream("r1")).await;
            assert!(response.is_complete && response.body.ends_with(STREAM_TRAILER), "{style:?}");
            assert_eq!(response.event_ids(), all_event_ids());
        }
    });
}

/// Guards against chunks around a body whose end the endpoint did not state.
#[test]
fn a_sound_stream_without_a_length_passes_whole_and_without_chunks() {
    task::block_on(async {
        let site = start_site(Style::Unframed, Fault::None).await;
        for response in [request(&site, stream("r1")).await, request_http_1_0(&site, stream("r2")).await] {
            assert!(looks_complete(&response));
            assert_eq!(response.event_ids(), all_event_ids());
            assert_eq!(framing(&response), Framing::UntilClose);
        }
    });
}

/// Guards against a last chunk after a resumed stream whose end the second endpoint did not state.
#[test]
fn a_chunked_stream_that_resumes_without_a_length_is_not_framed_as_complete() {
    task::block_on(async {
        for (fault, events) in [(Fault::EndEarly, EVENT_COUNT / 2 - 1), (Fault::None, EVENT_COUNT)] {
            let mut site = start_site(Style::Framed, Fault::None).await;
            let response = resume(&mut site, Fault::Cut, Style::Unframed, fault).await;
            assert_eq!((framing(&response), response.is_complete), (Framing::Chunked, false), "{fault:?}");
            assert_eq!(response.event_ids().len(), events as usize, "{fault:?}");
        }
    });
}

/// Guards against cuts between two events, which HTTP/1.0 callers could take for the end.
#[test]
fn a_stream_that_is_cut_between_events_does_not_look_complete_without_chunks() {
    task::block_on(async {
        for style in [Style::Framed, Style::Unframed] {
            let site = start_site(style, Fault::Cut).await;
            let response = request_http_1_0(&site, stream("r1")).await;
            assert!(!response.event_ids().is_empty() && !looks_complete(&response), "{style:?}");
            let response = request(&site, stream("r2")).await;
            assert!(!response.event_ids().is_empty() && !looks_complete(&response), "{style:?}, HTTP/1.1");
        }
    });
}

/// Guards against gateways whose end looks like the end of the stream.
#[test]
fn a_stream_without_a_length_does_not_look_complete_when_its_gateway_is_killed() {
    task::block_on(async {
        let mut site = start_site(Style::Unframed, Fault::None).await;
        for endpoint in site.endpoints(Role::Decode) {
            endpoint.set_paused(true);
        }
        let mut caller = Caller::open(site.address()).await.expect("a connection");
        caller.send(stream("r1"), b"prompt").await.expect("sent");
        let reading = task::spawn(async move { caller.read_response().await });
        let decodes = site.endpoints(Role::Decode);
        wait_until("a stream is in its middle", async || {
            decodes.iter().any(|endpoint| endpoint.held_streams() > 0)
        })
        .await;
        site.gateways.remove(0).kill().await;
        let response = reading.await.expect("a response");
        assert!(!response.event_ids().is_empty() && !looks_complete(&response));
    });
}

/// Guards against a length that the endpoint did not state.
#[test]
fn a_whole_answer_without_a_length_is_passed_on_without_one() {
    task::block_on(async {
        let site = start_site(Style::Unframed, Fault::None).await;
        for (method, target) in [("POST", "/submit/x"), ("GET", "/lookup/x")] {
            let mut caller = Caller::open(site.address()).await.expect("a connection");
            let head = plain_request(method, target, KEY, method);
            let response = caller.request(head, b"prompt").await.expect("a response");
            assert_eq!((response.head.status, response.is_complete), (200, true));
            assert_eq!(response.text(), format!("{method} {target} prompt"));
            assert_eq!(framing(&response), Framing::UntilClose, "{method}");
        }
    });
}

/// Guards against a length of zero in place of the one that the endpoint named, or named not.
#[test]
fn a_response_to_a_head_request_keeps_the_length_that_its_endpoint_named() {
    task::block_on(async {
        for (style, length) in [(Style::Framed, Some("HEAD /lookup/x ".len())), (Style::Unframed, None)] {
            let site = start_site(style, Fault::None).await;
            let mut caller = Caller::open(site.address()).await.expect("a connection");
            for id in ["r1", "r2"] {
                caller.send(plain_request("HEAD", "/lookup/x", KEY, id), b"").await.expect("sent");
                let head = caller.read_head().await.expect("a response");
                let stated = head.fields.get("content-length").map(str::to_owned);
                assert_eq!(
                    (head.status, stated),
                    (200, length.map(|length| length.to_string())),
                    "{style:?}"
                );
            }
        }
    });
}

/// Guards against parts of answers that pass as whole ones, and against repeating what may not be repeated.
#[test]
fn a_whole_answer_without_a_length_that_is_reset_is_retried_or_fails() {
    task::block_on(async {
        let site = start_site(Style::Unframed, Fault::ResetAt(RESET_IN_BODY)).await;
        let response = request(&site, plain_request("POST", "/submit/x", KEY, "r1")).await;
        assert_eq!(response.head.status, 502);
        assert_eq!(executed(&site.endpoints(Role::Plain)), 1);
        let site = start_site(Style::Unframed, Fault::None).await;
        site.endpoints(Role::Plain)[0].fail_next(Fault::ResetAt(RESET_IN_BODY), 1);
        for number in 0..4 {
            let response =
                request(&site, plain_request("GET", "/lookup/x", KEY, &format!("r{number}"))).await;
            assert_eq!((response.head.status, response.text().as_str()), (200, "GET /lookup/x prompt"));
        }
    });
}

/// Guards against streams that fail because a message of an engine had no length.
#[test]
fn reservations_and_prefill_results_without_a_length_are_used() {
    task::block_on(async {
        let site = start_site(Style::Unframed, Fault::None).await;
        site.endpoints(Role::Prefill).iter().for_each(|endpoint| endpoint.set_unframed(true));
        let response = request(&site, stream("r1")).await;
        assert_eq!(response.event_ids(), all_event_ids());
        assert_eq!(executed(&site.endpoints(Role::Prefill)), 1);
    });
}
