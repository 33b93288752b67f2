//! Limits and graceful shutdown of the server.

use std::{net::SocketAddr, time::Duration};

use async_std::{future, net::TcpStream, task};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use tarragonhill_http::server::{Limits, Outbound, Server};

/// Limit that fails a test instead of blocking it.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: x\r\n\r\n";

async fn bind(limits: Limits) -> Server {
    Server::bind("127.0.0.1:0", limits).await.expect("loopback can be bound")
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("connects")
}

/// Reads until `end` has arrived or the connection is closed.
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
    future::timeout(TEST_TIMEOUT, reading).await.expect("a response or the end");
    String::from_utf8_lossy(&all).into_owned()
}

/// Shutdown begins while one request is being handled and another one is half received.
#[test]
fn shutdown_completes_requests_being_handled_or_received() {
    task::block_on(async {
        let server = bind(Limits::default()).await;
        let (address, closer) = (server.address(), server.closer());
        let (unblock, gate) = async_channel::bounded::<()>(1);
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
        drop(unblock);
        assert!(read(&mut served, "done").await.contains("200 OK"));
        assert!(read(&mut half, "done").await.contains("200 OK"));
        future::timeout(TEST_TIMEOUT, closing).await.expect("the shutdown completes");
        future::timeout(TEST_TIMEOUT, serving).await.expect("the server task ends");
    });
}

/// A connection in the accept backlog does not count as open yet. Shutdown must not end before its
/// request is answered.
#[test]
fn shutdown_answers_the_accept_backlog() {
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

/// A client that connects just before shutdown may be slow to send its request, which must still be
/// answered.
#[test]
fn shutdown_waits_for_the_first_request_of_a_new_connection() {
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

/// Guards against a silent new connection that delays a shutdown by the whole head timeout.
#[test]
fn shutdown_does_not_wait_for_the_head_timeout_of_a_silent_new_connection() {
    task::block_on(async {
        let limits = Limits { head_timeout: 10 * TEST_TIMEOUT, ..Limits::default() };
        let server = bind(limits).await;
        let (address, closer) = (server.address(), server.closer());
        let _serving = task::spawn(server.serve(|_| async { Outbound::text(200, "done") }));
        let _silent = connect(address).await;
        future::timeout(TEST_TIMEOUT, closer.close()).await.expect("the shutdown completes");
    });
}

/// During shutdown the operating system must refuse new connections. Those left in the accept
/// backlog would be reset, and the client could not tell whether its request was handled.
#[test]
fn connections_are_refused_during_shutdown() {
    task::block_on(async {
        let server = bind(Limits::default()).await;
        let (address, closer) = (server.address(), server.closer());
        let (unblock, gate) = async_channel::bounded::<()>(1);
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
        future::timeout(TEST_TIMEOUT, refused).await.expect("connections are refused");
        drop(unblock);
        assert!(read(&mut served, "done").await.contains("200 OK"));
    });
}

/// A client that never completes the head of its request would occupy a connection forever.
#[test]
fn slow_head_is_rejected() {
    task::block_on(async {
        let limits = Limits { head_timeout: Duration::from_millis(50), ..Limits::default() };
        let server = bind(limits).await;
        let address = server.address();
        let _serving = task::spawn(server.serve(|_| async { Outbound::text(200, "done") }));
        let mut slow = connect(address).await;
        slow.write_all(b"GET /").await.expect("sent");
        let response = read(&mut slow, "}").await;
        assert!(response.starts_with("HTTP/1.1 408") && response.contains("slow_request"), "{response}");
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
