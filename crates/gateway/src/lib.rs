//! Passes requests on, byte for byte: callers' connections on one side, endpoints on the other.
//!
//! A request goes through a short pipeline: it is read, identified, admitted, placed, sent, and its
//! answer passed back. [`front`] reads and writes callers' connections, [`identify`] finds route and
//! customer, [`whole`] and [`stream`] carry the two kinds of answers, [`exchange`] speaks with one
//! endpoint. All decisions are in [`tarragonhill_core::gateway`], owned by the [`control`] thread.
//! How heads are spelled on either side is the business of an [`edge::Dialect`].

pub mod answer;
mod context;
pub mod control;
pub mod edge;
pub mod exchange;
mod front;
mod handover;
mod identify;
pub mod metrics;
mod orders;
mod pace;
mod peers;
mod pool;
mod server;
mod stream;
mod whole;

pub use server::{Gateway, Settings, StartError, Store, View};
