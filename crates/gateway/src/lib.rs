//! Proxy between callers and endpoints: routes requests and relays responses.
//!
//! A request is read, identified, admitted, placed on an endpoint and sent, and the response is relayed to
//! the caller. [`frontend`] handles callers' connections, [`identify`] finds the route and the customer,
//! [`unary`] and [`stream`] handle the two kinds of responses, and [`exchange`] performs one request at one
//! endpoint. Admission and placement are decided by [`tarragonhill_core::gateway`], whose state belongs to
//! the [`control`] thread. An [`edge::Dialect`] encodes and decodes the messages on both sides.

pub mod admin;
mod body;
pub mod caller;
mod client;
mod context;
pub mod control;
pub mod edge;
pub mod exchange;
mod frontend;
mod gossip;
mod held;
mod identify;
mod liveness;
pub mod metrics;
pub mod mirror;
mod orders;
mod pool;
mod reader;
mod server;
mod shutdown;
mod stream;
mod sync;
mod timing;
mod transfer;
mod unary;

pub use server::{Gateway, Settings, StartError, Status, Store};
