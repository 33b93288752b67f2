//! Handlers of the admin paths that all roles share: metrics, health and readiness.

use prometheus::{Encoder as _, Registry, TextEncoder};
use tarragonhill_http::server::Outbound;

/// Handles the paths that all roles share; returns `None` for other paths.
pub(crate) fn handle_common(
    method: &str,
    path: &str,
    registry: &Registry,
    is_ready: bool,
) -> Option<Outbound> {
    match (method, path) {
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
pub(crate) fn not_found(method: &str, path: &str) -> Outbound {
    let message = format!("no {method} {path}");
    Outbound::json(404, &serde_json::json!({"error": {"code": "not_found", "message": message}}))
}
