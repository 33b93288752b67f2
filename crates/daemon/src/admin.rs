//! Handlers of the admin paths that all roles share: metrics, health and readiness.

use prometheus::{Encoder as _, Registry, TextEncoder};
use tarragonhill_http::server::{Inbound, Outbound};

/// Handles the paths that all roles share; returns `None` for other paths.
pub(crate) fn handle_common(inbound: &Inbound, registry: &Registry, is_ready: bool) -> Option<Outbound> {
    match (inbound.method.as_str(), inbound.path.as_str()) {
        ("GET", "/metrics") => Some(metrics(registry)),
        ("GET", "/healthz") => Some(Outbound::text(200, "ok\n")),
        ("GET", "/readyz") if is_ready => Some(Outbound::text(200, "ready\n")),
        ("GET", "/readyz") => Some(Outbound::text(503, "not ready\n")),
        _ => None,
    }
}

fn metrics(registry: &Registry) -> Outbound {
    let mut text = Vec::new();
    let encoder = TextEncoder::new();
    match encoder.encode(&registry.gather(), &mut text) {
        Ok(()) => Outbound::bytes(200, "text/plain; version=0.0.4", text),
        Err(error) => Outbound::text(500, error.to_string()),
    }
}

/// Returns the 404 response for an unknown path.
pub(crate) fn not_found(inbound: &Inbound) -> Outbound {
    let message = format!("no {} {}", inbound.method, inbound.path);
    Outbound::json(404, &serde_json::json!({"error": {"code": "not_found", "message": message}}))
}
