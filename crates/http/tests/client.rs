//! Responses that stall, break off or have no length.

use std::time::Duration;

use async_std::{future, net::TcpListener, task};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use tarragonhill_http::client::{Error, Pool, Request};

/// Limit that fails the test instead of blocking it.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

#[test]
fn stalled_response_body_times_out() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback can be bound");
        let address = listener.local_addr().expect("an address");
        let serving = task::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let head = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf";
            stream.write_all(head).await.expect("sent");
            let mut rest = Vec::new();
            let _ = stream.read_to_end(&mut rest).await;
        });
        let pool = Pool::default();
        let response = pool.send(address, Request::get("/x"), HEAD_TIMEOUT).await.expect("a head");
        let read = future::timeout(TEST_TIMEOUT, response.bytes()).await.expect("the read times out");
        assert_eq!(read, Err(Error::Timeout));
        serving.cancel().await;
    });
}

/// Sends a request to a server that responds with these bytes and closes the connection, and reads the body.
async fn read_body(response: &'static [u8]) -> Result<Vec<u8>, Error> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback can be bound");
    let address = listener.local_addr().expect("an address");
    let serving = task::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut head = [0; 512];
        let _ = stream.read(&mut head).await;
        stream.write_all(response).await.expect("sent");
    });
    let pool = Pool::default();
    let response = pool.send(address, Request::get("/x"), HEAD_TIMEOUT).await.expect("a head");
    let read = future::timeout(TEST_TIMEOUT, response.bytes()).await.expect("the body ends");
    serving.await;
    read
}

/// Guards against the part of a body that arrived before the connection closed.
#[test]
fn a_body_that_is_broken_off_is_an_error() {
    task::block_on(async {
        for response in [
            b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf".as_slice(),
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n8\r\nhalf",
        ] {
            let read = read_body(response).await;
            assert!(matches!(read, Err(Error::Connection(_))), "{}: {read:?}", response.escape_ascii());
        }
    });
}

/// Guards against an empty body in place of one that ends with its connection.
#[test]
fn a_body_without_a_length_is_an_error() {
    task::block_on(async {
        let read = read_body(b"HTTP/1.1 200 OK\r\n\r\nwhole").await;
        assert!(matches!(read, Err(Error::Unexpected(_))), "{read:?}");
        assert_eq!(read_body(b"HTTP/1.1 204 No Content\r\n\r\n").await, Ok(Vec::new()));
    });
}
