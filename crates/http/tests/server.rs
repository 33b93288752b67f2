//! The server's bounds, and how it closes.

use std::{net::SocketAddr, time::Duration};

use async_std::{future, net::TcpStream, task};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use tarragonhill_http::server::{Limits, Outbound, Server};

/// Longest wait for what must come about; nothing is asserted about how long it takes.
const PATIENCE: Duration = Duration::from_secs(30);
const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: x\r\n\r\n";

async fn bind(limits: Limits) -> Server {
    Server::bind("127.0.0.1:0", limits).await.expect("loopback can be bound")
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("connects")
}

/// Reads until `end` has come or the connection is closed.
async fn read(stream: &mut TcpStream, end: &str) -> String {
    let mut all = Vec::new();
    let mut part = [0; 1_024];
    let reading = async {
        while !String::from_utf8_lossy(&all).contains(end) {
            match stream.read(&mut part).await {
                Ok(count) if count > 0 => all.extend_from_slice(&part[..count]),
                _ => break,
            }
        }
    };
    future::timeout(PATIENCE, reading).await.expect("an answer or the end");
    String::from_utf8_lossy(&all).into_owned()
}

/// A server is closed while one request is being served and another is half sent. Both are answered.
#[test]
fn closing_answers_what_is_served_and_what_is_being_sent() {
    task::block_on(async {
        let server = bind(Limits::default()).await;
        let (address, closer) = (server.address(), server.closer());
        let (go, gate) = async_channel::bounded::<()>(1);
        let serving = task::spawn(server.serve(move |_| {
            let gate = gate.clone();
            async move {
                let _ = gate.recv().await;
                Outbound::text(200, "done")
            }
        }));
        let (mut served, mut half) = (connect(address).await, connect(address).await);
        served.write_all(REQUEST).await.expect("sent");
        half.write_all(&REQUEST[..9]).await.expect("sent");
        let closing = task::spawn(async move { closer.close().await });
        half.write_all(&REQUEST[9..]).await.expect("sent");
        drop(go);
        assert!(read(&mut served, "done").await.contains("200 OK"));
        assert!(read(&mut half, "done").await.contains("200 OK"));
        future::timeout(PATIENCE, closing).await.expect("it closes");
        future::timeout(PATIENCE, serving).await.expect("it ends");
    });
}

/// A connection stands in the system's backlog, its request sent, when the server is closed and its
/// task ended. Nobody has accepted it yet, so it does not count as open (found by `check`, seed 23).
#[test]
fn closing_answers_the_backlog() {
    task::block_on(async {
        for _ in 0..20 {
            let server = bind(Limits::default()).await;
            let (address, closer) = (server.address(), server.closer());
            let mut early = connect(address).await;
            early.write_all(REQUEST).await.expect("sent");
            let serving = task::spawn(server.serve(|_| async { Outbound::text(200, "done") }));
            closer.close().await;
            serving.cancel().await;
            assert!(read(&mut early, "done").await.contains("200 OK"));
        }
    });
}

/// A caller connects just before the server is closed and is slow to send, as on a busy host. Its
/// connection was taken, so its request must be answered (found by `check`, seed 21).
#[test]
fn closing_waits_for_the_first_request_of_a_new_connection() {
    task::block_on(async {
        let server = bind(Limits::default()).await;
        let (address, closer) = (server.address(), server.closer());
        let _serving = task::spawn(server.serve(|_| async { Outbound::text(200, "done") }));
        let mut new = connect(address).await;
        let _closing = task::spawn(async move { closer.close().await });
        task::sleep(Duration::from_secs(1)).await;
        new.write_all(REQUEST).await.expect("sent");
        assert!(read(&mut new, "done").await.contains("200 OK"));
    });
}

/// An entry waits for its last requests. Who connects meanwhile must be refused by the system: a
/// connection that nobody accepts is reset with its request in the end, which looks like a request
/// that was cut (found by `check`, seed 21).
#[test]
fn closing_server_takes_no_connection_that_it_would_reset() {
    task::block_on(async {
        let server = bind(Limits::default()).await;
        let (address, closer) = (server.address(), server.closer());
        let (go, gate) = async_channel::bounded::<()>(1);
        let _serving = task::spawn(server.serve(move |_| {
            let gate = gate.clone();
            async move {
                let _ = gate.recv().await;
                Outbound::text(200, "done")
            }
        }));
        let mut served = connect(address).await;
        served.write_all(REQUEST).await.expect("sent");
        let _closing = task::spawn(async move { closer.close().await });
        let refused = async {
            while TcpStream::connect(address).await.is_ok() {
                task::sleep(Duration::from_millis(10)).await;
            }
        };
        future::timeout(PATIENCE, refused).await.expect("connections are refused");
        drop(go);
        assert!(read(&mut served, "done").await.contains("200 OK"));
    });
}

/// A sender that never finishes its head would hold a connection for ever.
#[test]
fn slow_head_is_answered_and_closed() {
    task::block_on(async {
        let limits = Limits { head_timeout: Duration::from_millis(50), ..Limits::default() };
        let server = bind(limits).await;
        let address = server.address();
        let _serving = task::spawn(server.serve(|_| async { Outbound::text(200, "done") }));
        let mut slow = connect(address).await;
        slow.write_all(b"GET /").await.expect("sent");
        let answer = read(&mut slow, "}").await;
        assert!(answer.starts_with("HTTP/1.1 408") && answer.contains("slow_request"), "{answer}");
    });
}

#[test]
fn connections_beyond_the_limit_are_closed() {
    task::block_on(async {
        let server = bind(Limits { max_connections: 1, ..Limits::default() }).await;
        let address = server.address();
        let _serving = task::spawn(server.serve(|_| async { Outbound::text(200, "done") }));
        let mut first = connect(address).await;
        first.write_all(REQUEST).await.expect("sent");
        assert!(read(&mut first, "done").await.contains("200 OK"));
        let mut second = connect(address).await;
        let _ = second.write_all(REQUEST).await;
        assert_eq!(read(&mut second, "done").await, "");
    });
}
