//! HTTP/1.1 messages with exact framing, for a proxy.
//!
//! Unlike a general HTTP library, this crate forwards body bytes unchanged, distinguishes a
//! truncated body from a complete one, and rejects messages with ambiguous framing, which would
//! allow request smuggling. Heads are parsed by `httparse`.
//!
//! ```
//! use tarragonhill_h1::head::Request;
//!
//! let (request, length) = Request::parse(b"GET /a HTTP/1.1\r\nHost: b\r\n\r\n")?.expect("a complete head");
//! assert_eq!(request.target, "/a");
//! assert_eq!(request.fields.get("host"), Some("b"));
//! assert_eq!(length, 28);
//! # Ok::<(), tarragonhill_h1::Malformed>(())
//! ```

pub mod body;
pub mod connection;
pub mod field;
pub mod head;
pub mod target;

pub use connection::{Connection, Error};

/// A message that violates HTTP/1.1, with the reason. The text contains no data from the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

impl std::fmt::Display for Malformed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for Malformed {}
