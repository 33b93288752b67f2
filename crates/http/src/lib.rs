//! HTTP/1.1 over async-h1 as all tarragonhill processes use it: a server with bounds on whatever a
//! peer sends, and a client that keeps connections.
//!
//! ```no_run
//! use std::time::Duration;
//! use tarragonhill_http::{client::{Pool, Request}, server::{Limits, Outbound, Server}};
//!
//! # async fn example() -> std::io::Result<()> {
//! let server = Server::bind("127.0.0.1:0", Limits::default()).await?;
//! let address = server.address();
//! async_std::task::spawn(server.serve(|inbound| async move { Outbound::text(200, inbound.path) }));
//! let answer = Pool::default().send(address, Request::get("/hello"), Duration::from_secs(1)).await;
//! # Ok(())
//! # }
//! ```

pub mod client;
pub mod server;
mod stream;

pub use stream::Sender;
