//! HTTP/1.1 server and client over async-h1: the server bounds size and time of everything that a
//! peer sends, the client pools connections.
//!
//! ```no_run
//! use std::time::Duration;
//! use tarragonhill_http::{client::{Pool, Request}, server::{Limits, Outbound, Server}};
//!
//! # async fn example() -> std::io::Result<()> {
//! let server = Server::bind("127.0.0.1:0", Limits::default()).await?;
//! let address = server.address();
//! async_std::task::spawn(server.serve(|inbound| async move { Outbound::text(200, inbound.path) }));
//! let response = Pool::default().send(address, Request::get("/hello"), Duration::from_secs(1)).await;
//! # Ok(())
//! # }
//! ```

pub mod client;
pub mod server;
mod stream;

pub use stream::Sender;
