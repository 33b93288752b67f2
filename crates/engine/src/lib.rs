//! Clients of what stands behind agents: prefill engines, decode engines and plain services.
//!
//! [`Engine`] is an edge: a client for another protocol fits behind the same trait. The protocol
//! assumed here is written down in `docs/protocol-engine.md`.

mod client;
pub mod protocol;

pub use client::{Engine, EngineError, EngineFuture, HttpEngine, Sink};
