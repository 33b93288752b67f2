//! Clients that agents use to call prefill engines, decode engines and plain services.
//!
//! Other protocols can be supported by implementing [`Engine`]. The HTTP protocol is described in
//! `docs/protocol-engine.md`.

mod client;
pub mod protocol;

pub use client::{Engine, EngineError, EngineFuture, HttpEngine, Sink};
