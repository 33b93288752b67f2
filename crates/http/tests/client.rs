//! Timeouts of the client.

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
