//! How the client bounds what it waits for.

use std::time::Duration;

use async_std::{future, net::TcpListener, task};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use tarragonhill_http::client::{Error, Pool, Request};

/// Longest wait for what must come about; nothing is asserted about how long it takes.
const PATIENCE: Duration = Duration::from_secs(20);
/// Longest wait for a head.
const LIMIT: Duration = Duration::from_secs(5);

#[test]
fn an_answer_that_stalls_midway_does_not_hold_its_caller_for_ever() {
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
        let answer = pool.send(address, Request::get("/x"), LIMIT).await.expect("a head");
        let read = future::timeout(PATIENCE, answer.bytes()).await.expect("it is given up");
        assert_eq!(read, Err(Error::Timeout));
        serving.cancel().await;
    });
}
