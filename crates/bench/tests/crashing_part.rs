//! Tests of endpoints that crash while they run a request, over real connections.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use async_std::task::{self, JoinHandle};
use tarragonhill_bench::platform::{
    caller::{self, Caller, plain_request, request_with_parts},
    endpoint::{CrashPoint, EVENT_COUNT, Endpoint, Role},
    site::{KEY, Shape, Site, wait_until},
};
use tarragonhill_h1::head::Request;

/// Part of all prompts of a route.
const FIRST_PART: &str = "f1";
/// Parts that crash endpoints.
const CRASHING: [&str; 2] = ["bad1", "bad2"];
/// Time from a crash until another endpoint serves in place of the one that crashed.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
/// Time in which all gateways must know what has happened.
const CONTACT: Duration = Duration::from_secs(3);
/// Most requests with a crashing part that may reach endpoints once the gateways know it.
const MOST_AFTER: usize = 3;
/// Number of crashes after which the gateways must know the part.
const KNOWN_CRASHES: usize = 5;
/// Interval between two steps of a load.
const STEP: Duration = Duration::from_millis(20);

fn run<T>(test: impl Future<Output = T>) -> T {
    task::block_on(test)
}

async fn start_site(gateways: usize, decode: usize) -> Site {
    let shape = Shape { gateways, prefill: 2, decode, plain: 3 };
    let site = Site::start(shape).await.expect("the site starts");
    set_crashing_parts(&site);
    site
}

fn set_crashing_parts(site: &Site) {
    for endpoint in site.all_endpoints().filter(|endpoint| endpoint.role() == Role::Decode) {
        endpoint.set_crashing_parts(&CRASHING);
    }
}

/// Requests that callers send, by number; each has a last part of its own.
#[derive(Clone, Copy, Debug)]
enum Kind {
    /// Shares its first part and its document with others.
    Sound,
    /// The same with a crashing part.
    Crashing(usize),
}

fn request(kind: Kind, number: usize) -> Request {
    let (document, own) = (format!("d{}", number % 6), format!("u{number}"));
    let (name, parts) = match kind {
        Kind::Sound => ("sound".to_owned(), vec![FIRST_PART, &document, &own]),
        Kind::Crashing(part) => {
            (format!("crashing-{part}"), vec![FIRST_PART, &document, CRASHING[part], &own])
        }
    };
    request_with_parts("/stream/x", KEY, &format!("{name}-{number}"), &parts)
}

/// A sound request: when it was sent, and whether it brought an event.
type Sound = (Instant, JoinHandle<bool>);

/// Sends requests to all gateways in turn: a sound one every other step, and crashing ones every fifth step with each of
/// the `parts`. Returns the sound ones.
async fn send_load(site: &mut Site, lasts: Duration, parts: &[usize], from: usize) -> Vec<Sound> {
    send_load_at(site, lasts, parts, from, &[CrashPoint::default()]).await
}

/// The same to endpoints that crash at these points.
async fn send_load_at(
    site: &mut Site,
    lasts: Duration,
    parts: &[usize],
    from: usize,
    points: &[CrashPoint],
) -> Vec<Sound> {
    let (began, mut sound) = (Instant::now(), Vec::new());
    let mut step = from;
    while began.elapsed() < lasts {
        site.replace_crashed(RESTART_DELAY).await.expect("endpoints start");
        set_crashing_parts(site);
        set_crash_points(site, points);
        let address = |number: usize| site.gateways[number % site.gateways.len()].address();
        let send = |kind, number| {
            let (address, head) = (address(number), request(kind, number));
            let body = head.fields.get("Tarragonhill-Request-Id").unwrap_or_default().to_owned();
            task::spawn(async move {
                let response = caller::request(address, head, body.as_bytes()).await;
                response.is_ok_and(|response| !response.event_ids().is_empty())
            })
        };
        if step.is_multiple_of(2) {
            sound.push((Instant::now(), send(Kind::Sound, step / 2)));
        }
        if step.is_multiple_of(5) {
            for part in parts {
                drop(send(Kind::Crashing(*part), step / 5));
            }
        }
        step += 1;
        task::sleep(STEP).await;
    }
    sound
}

/// Returns when endpoints crashed, in order.
fn crashes(site: &Site) -> Vec<Instant> {
    let mut crashes: Vec<Instant> =
        site.all_endpoints().filter_map(|endpoint| endpoint.crashed_at()).collect();
    crashes.sort();
    crashes
}

/// Returns the requests with a crashing part that reached endpoints after `since`.
fn reached(site: &Site, part: usize, since: Instant) -> BTreeSet<String> {
    let name = format!("crashing-{part}-");
    let received = site.all_endpoints().flat_map(|endpoint| endpoint.received());
    let late = received.filter(|request| request.received_at > since);
    let ids = late.filter_map(|request| Some(request.head.fields.get("Tarragonhill-Request-Id")?.to_owned()));
    ids.filter(|id| id.starts_with(&name)).collect()
}

/// Checks how many requests with a part reached endpoints after its first crashes, and how many sound ones were served.
async fn assert_held_off(site: &Site, parts: &[usize], sound: Vec<Sound>) {
    let crashes = crashes(site);
    let known = crashes.get(KNOWN_CRASHES * parts.len() - 1).or(crashes.last()).copied().expect("a crash");
    if crashes.len() >= KNOWN_CRASHES * parts.len() {
        for part in parts {
            let late = reached(site, *part, known + CONTACT);
            println!("{} crashes, {} requests with the part afterwards", crashes.len(), late.len());
            assert!(late.len() <= MOST_AFTER, "{} requests reached endpoints", late.len());
        }
    }
    let (mut sent, mut served) = (0, 0);
    for (at, request) in sound {
        let is_served = request.await;
        if at > known + 2 * CONTACT {
            sent += 1;
            served += usize::from(is_served);
        }
    }
    println!("{} crashes, {served} of {sent} sound requests served afterwards", crashes.len());
    assert!(sent > 0, "no request was sent after the first crashes");
    assert!(2 * served >= sent, "{served} of {sent} sound requests were served");
}

/// Guards against a part that crashes one endpoint after the other, as no two requests with it are alike.
#[test]
fn few_requests_with_a_part_that_crashes_endpoints_reach_them() {
    run(async {
        let mut site = start_site(3, 8).await;
        let sound = send_load(&mut site, Duration::from_secs(16), &[0], 0).await;
        assert_held_off(&site, &[0], sound).await;
    });
}

/// Guards against the second part being taken for a neighbour of the first.
#[test]
fn few_requests_with_two_parts_that_crash_endpoints_reach_them() {
    run(async {
        let mut site = start_site(3, 10).await;
        let sound = send_load(&mut site, Duration::from_secs(18), &[0, 1], 0).await;
        assert_held_off(&site, &[0, 1], sound).await;
    });
}

/// Points of a response at which endpoints crash.
const CRASH_POINTS: [CrashPoint; 7] = [
    CrashPoint::BeforeHead,
    CrashPoint::AfterHead,
    CrashPoint::InsideEvent(1),
    CrashPoint::AfterEvent(1),
    CrashPoint::AfterEvent(2),
    CrashPoint::AfterEvent(10),
    CrashPoint::AfterEvent(EVENT_COUNT),
];

/// Makes the endpoints crash at these points, each at another one.
fn set_crash_points(site: &Site, points: &[CrashPoint]) {
    for (endpoint, point) in site.all_endpoints().zip(points.iter().cycle()) {
        endpoint.set_crash_point(*point);
    }
}

/// Guards against a part that is never found because some bytes of a response get out before each crash.
#[test]
fn few_requests_with_a_part_that_crashes_endpoints_after_the_second_event_reach_them() {
    run(async {
        let mut site = start_site(3, 8).await;
        let sound =
            send_load_at(&mut site, Duration::from_secs(16), &[0], 0, &[CrashPoint::AfterEvent(2)]).await;
        assert_held_off(&site, &[0], sound).await;
    });
}

/// The same for crashes at different points.
#[test]
fn few_requests_with_a_part_that_crashes_endpoints_at_any_point_reach_them() {
    run(async {
        let mut site = start_site(3, 8).await;
        let sound = send_load_at(&mut site, Duration::from_secs(16), &[0], 0, &CRASH_POINTS).await;
        assert_held_off(&site, &[0], sound).await;
    });
}

/// Number of crashes after which the gateways must know a request that callers repeat.
const KNOWN_REPEATED: usize = 3;

/// Repeats a request that crashes each endpoint at one of the points, and checks how many endpoints it still reaches once the
/// gateways must know it.
async fn assert_repeated_is_held_off(
    role: Role,
    points: &[CrashPoint],
    is_unframed: bool,
    head: fn(&str) -> Request,
) {
    const BODY: &[u8] = b"crashes endpoints";
    let shape = Shape { gateways: 2, prefill: 2, decode: 6, plain: 6 };
    let mut site = Site::start(shape).await.expect("the site starts");
    let began = Instant::now();
    let mut number = 0;
    while began.elapsed() < Duration::from_secs(12) {
        site.replace_crashed(RESTART_DELAY).await.expect("endpoints start");
        set_crash_points(&site, points);
        for endpoint in site.endpoints(role) {
            endpoint.set_crashing_body(BODY);
            endpoint.set_unframed(is_unframed);
        }
        if number % 10 == 0 {
            let (address, head) =
                (site.gateways[number / 10 % 2].address(), head(&format!("repeated-{number}")));
            drop(task::spawn(async move { caller::request(address, head, BODY).await }));
        }
        number += 1;
        task::sleep(STEP).await;
    }
    let crashes = crashes(&site);
    assert!(crashes.len() >= KNOWN_REPEATED, "{} crashes at {points:?}", crashes.len());
    let known = crashes[KNOWN_REPEATED - 1] + CONTACT;
    let received = site.all_endpoints().filter(|endpoint| endpoint.role() == role);
    let late =
        received.flat_map(|endpoint| endpoint.received()).filter(|request| request.received_at > known);
    let late = late.count();
    println!("{points:?}: {} crashes, {late} requests afterwards", crashes.len());
    assert!(late <= MOST_AFTER, "{late} requests reached endpoints that crash at {points:?}");
}

fn stream(id: &str) -> Request {
    request_with_parts("/stream/x", KEY, id, &[FIRST_PART, "same"])
}

fn resumable(id: &str) -> Request {
    request_with_parts("/resumable/x", KEY, id, &[FIRST_PART, "same"])
}

fn submission(id: &str) -> Request {
    plain_request("POST", "/submit/same", KEY, id)
}

/// Guards against a stream that crashes one endpoint after the other because events of it get out before each crash.
#[test]
fn a_repeated_stream_that_crashes_endpoints_in_its_middle_is_held_off() {
    run(assert_repeated_is_held_off(Role::Decode, &[CrashPoint::AfterEvent(2)], false, stream));
}

/// The same for crashes at different points.
#[test]
fn a_repeated_stream_that_crashes_endpoints_at_any_point_is_held_off() {
    run(assert_repeated_is_held_off(Role::Decode, &CRASH_POINTS, false, stream));
}

/// The same for crashes after the last byte.
#[test]
fn a_repeated_stream_that_crashes_endpoints_at_its_end_is_held_off() {
    run(assert_repeated_is_held_off(Role::Decode, &[CrashPoint::AtEnd], false, stream));
}

/// The same for a stream that is resumed after each crash.
#[test]
fn a_repeated_stream_that_crashes_endpoints_and_is_resumed_is_held_off() {
    run(assert_repeated_is_held_off(Role::Decode, &[CrashPoint::AfterEvent(2)], false, resumable));
}

/// The same for calls, whose responses are cut or end with their connections.
#[test]
fn a_repeated_call_that_crashes_endpoints_at_any_point_is_held_off() {
    run(assert_repeated_is_held_off(Role::Plain, &CRASH_POINTS, false, submission));
    run(assert_repeated_is_held_off(Role::Plain, &[CrashPoint::AtEnd], true, submission));
}

/// Guards against a part that is forgotten with the processes that knew it.
#[test]
fn a_part_that_crashes_endpoints_is_held_off_after_all_gateways_were_killed() {
    run(async {
        let mut site = start_site(3, 8).await;
        let mut sound = send_load(&mut site, Duration::from_secs(8), &[0], 0).await;
        for gateway in 0..site.gateways.len() {
            site.gateways.remove(gateway).kill().await;
            let started = site.start_gateway(gateway + 1).await.expect("a gateway");
            site.gateways.insert(gateway, started);
        }
        sound.extend(send_load(&mut site, Duration::from_secs(8), &[0], 1_000).await);
        assert_held_off(&site, &[0], sound).await;
    });
}

/// Waits until an endpoint runs a request, lets it crash and returns once another one serves in its place.
async fn crash_one(site: &mut Site, role: Role) {
    let running = |endpoint: &Endpoint| match role {
        Role::Plain => endpoint.executed().len() > endpoint.answered(),
        _ => endpoint.active_streams() > 0,
    };
    wait_until("an endpoint runs the request", async || {
        site.endpoints(role).iter().any(|endpoint| running(endpoint))
    })
    .await;
    site.endpoints(role).iter().find(|endpoint| running(endpoint)).expect("an endpoint").crash();
    let count = site.endpoints(role).len();
    let mut started = 0;
    while started == 0 {
        started = site.replace_crashed(RESTART_DELAY).await.expect("endpoints start").len();
        task::sleep(STEP).await;
    }
    assert_eq!(site.endpoints(role).len(), count);
}

/// Sends the same request again and again, and returns how many of those after `2 * CONTACT` were served, and their number.
async fn repeat(site: &Site, head: impl Fn(&str) -> Request) -> (usize, usize) {
    let (began, mut sent) = (Instant::now(), Vec::new());
    while began.elapsed() < 2 * CONTACT + Duration::from_secs(2) {
        let address = site.gateways[sent.len() % site.gateways.len()].address();
        let head = head(&format!("again-{}", sent.len()));
        let is_counted = began.elapsed() >= 2 * CONTACT;
        let response = task::spawn(async move {
            caller::request(address, head, b"the same")
                .await
                .is_ok_and(|response| response.head.status == 200)
        });
        sent.push((is_counted, response));
        task::sleep(Duration::from_millis(50)).await;
    }
    let (mut served, mut count) = (0, 0);
    for (_, response) in sent.into_iter().filter(|(is_counted, _)| *is_counted) {
        count += 1;
        served += usize::from(response.await);
    }
    println!("{served} of {count} repeated requests served");
    (served, count)
}

/// Lets two endpoints crash under the same request, which did not cause it, and then repeats it.
async fn repeat_after_unrelated_crashes(role: Role, head: fn(&str) -> Request) -> (usize, usize) {
    let mut site = start_site(2, 4).await;
    for number in 0..2 {
        site.endpoints(role).iter().for_each(|endpoint| endpoint.set_service_time(Duration::from_secs(6)));
        let mut caller = Caller::open(site.address()).await.expect("a connection");
        caller.send(head(&format!("crash-{number}")), b"the same").await.expect("sent");
        crash_one(&mut site, role).await;
    }
    site.endpoints(role).iter().for_each(|endpoint| endpoint.set_service_time(Duration::ZERO));
    site.wait_until_synced().await;
    repeat(&site, head).await
}

/// Guards against a request that is refused for good because it ran at two endpoints when they crashed.
#[test]
fn a_stream_that_callers_repeat_is_served_after_two_unrelated_crashes() {
    run(async {
        let head = |id: &str| request_with_parts("/stream/x", KEY, id, &[FIRST_PART, "d1", "same"]);
        let (served, sent) = repeat_after_unrelated_crashes(Role::Decode, head).await;
        assert!(2 * served >= sent, "{served} of {sent} served");
    });
}

/// The same for calls.
#[test]
fn a_call_that_callers_repeat_is_served_after_two_unrelated_crashes() {
    run(async {
        let head = |id: &str| plain_request("POST", "/submit/same", KEY, id);
        let (served, sent) = repeat_after_unrelated_crashes(Role::Plain, head).await;
        assert!(2 * served >= sent, "{served} of {sent} served");
    });
}

/// Lets endpoints crash while a stream is in its middle, whose caller repeats it.
async fn crash_under_events(site: &mut Site, crashes: usize) -> fn(&str) -> Request {
    let head = |id: &str| request_with_parts("/stream/x", KEY, id, &[FIRST_PART, "d1", "same"]);
    for number in 0..crashes {
        site.endpoints(Role::Decode).iter().for_each(|endpoint| endpoint.set_paused(true));
        let mut caller = Caller::open(site.address()).await.expect("a connection");
        caller.send(head(&format!("crash-{number}")), b"the same").await.expect("sent");
        wait_until("the stream is in its middle", async || {
            site.endpoints(Role::Decode).iter().any(|endpoint| endpoint.held_streams() > 0)
        })
        .await;
        crash_one(site, Role::Decode).await;
    }
    site.endpoints(Role::Decode).iter().for_each(|endpoint| endpoint.set_paused(false));
    site.wait_until_synced().await;
    head
}

/// Guards against a stream that is refused because its events had been coming when two endpoints crashed.
#[test]
fn a_stream_past_its_first_event_at_two_unrelated_crashes_is_not_held_off() {
    run(async {
        let mut site = start_site(1, 6).await;
        let head = crash_under_events(&mut site, 2).await;
        for number in 0..5 {
            let response =
                caller::request(site.address(), head(&format!("after-{number}")), b"the same").await;
            assert_eq!(response.expect("a response").head.status, 200, "{number}");
        }
    });
}

/// Guards against a stream that is refused for good because its events had been coming when three endpoints crashed.
#[test]
fn a_stream_past_its_first_event_at_three_unrelated_crashes_is_served_again() {
    run(async {
        let mut site = start_site(2, 6).await;
        let head = crash_under_events(&mut site, 3).await;
        let (served, sent) = repeat(&site, head).await;
        assert_eq!(served, sent);
    });
}
