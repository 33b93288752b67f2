//! Request and response heads: the start line and the header fields.

use std::ops::RangeInclusive;

use crate::{Malformed, body::Framing, field::Fields};

/// Status codes that have a meaning (RFC 9110, section 15).
const STATUSES: RangeInclusive<u16> = 100..=599;
const SWITCHING_PROTOCOLS: u16 = 101;
/// Number of fields up to which a head is parsed without an allocation for them.
const USUAL_FIELDS: usize = 48;

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method in its original case.
    pub method: String,
    /// Path and query, not decoded.
    pub target: String,
    /// Minor version of HTTP/1: 0 or 1.
    pub minor: u8,
    /// The header fields.
    pub fields: Fields,
}

impl Request {
    /// Creates an HTTP/1.1 request without fields.
    pub fn new(method: &str, target: impl Into<String>) -> Self {
        Self { method: method.into(), target: target.into(), minor: 1, fields: Fields::default() }
    }

    /// Parses a head and returns it with its length in bytes; `None` while it is incomplete.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, Malformed> {
        with_fields(bytes, Self::parse_into)
    }

    fn parse_into<'b>(bytes: &'b [u8], fields: &mut [httparse::Header<'b>]) -> Parsed<Self> {
        let mut request = httparse::Request::new(fields);
        let httparse::Status::Complete(length) = request.parse(bytes)? else { return Ok(None) };
        let head = Self {
            method: request.method.unwrap_or_default().to_owned(),
            target: request.path.unwrap_or_default().to_owned(),
            minor: request.version.unwrap_or(1),
            fields: collect_fields(request.headers),
        };
        Ok(Some((head, length)))
    }

    /// Returns how much memory the head takes, in bytes.
    pub fn memory(&self) -> usize {
        self.method.capacity() + self.target.capacity() + self.fields.memory()
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the query without the question mark; empty if there is none.
    pub fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |(_, query)| query)
    }

    /// Returns how the body is framed.
    ///
    /// Ambiguous or unsupported framing is an error. Another server could determine a different end
    /// of the body and treat part of it as the next request (request smuggling).
    pub fn framing(&self) -> Result<Framing, Malformed> {
        if self.fields.count("transfer-encoding") == 0 {
            return Ok(content_length(&self.fields)?.map_or(Framing::Empty, Framing::Length));
        }
        if self.minor == 0 {
            return Err(Malformed("transfer-encoding in HTTP/1.0"));
        }
        if self.fields.count("content-length") > 0 {
            return Err(Malformed("both content-length and transfer-encoding"));
        }
        chunked_framing(&self.fields)
    }

    /// Encodes the head, including the empty line that ends it.
    pub fn encode(&self) -> Vec<u8> {
        self.encode_with(None)
    }

    /// Encodes the head, with this `Content-Length` in place of its own if one is given.
    pub fn encode_with(&self, length: Option<usize>) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(512);
        bytes.extend_from_slice(self.method.as_bytes());
        bytes.push(b' ');
        bytes.extend_from_slice(self.target.as_bytes());
        bytes.extend_from_slice(b" HTTP/1.1\r\n");
        encode_fields(&self.fields, length, &mut bytes);
        bytes
    }

    /// Returns whether the client keeps the connection open after this request.
    pub fn keeps_alive(&self) -> bool {
        keeps_alive(self.minor, &self.fields)
    }
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The reason phrase.
    pub reason: String,
    /// Minor version of HTTP/1: 0 or 1.
    pub minor: u8,
    /// The header fields.
    pub fields: Fields,
}

impl Response {
    /// Creates an HTTP/1.1 response without fields, with the usual reason phrase.
    pub fn new(status: u16) -> Self {
        Self { status, reason: reason_phrase(status).into(), minor: 1, fields: Fields::default() }
    }

    /// Parses a head and returns it with its length in bytes; `None` while it is incomplete.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, Malformed> {
        // The parser skips empty lines, which may only come before a request.
        if matches!(bytes.first(), Some(b'\r' | b'\n')) {
            return Err(Malformed("empty line before a status line"));
        }
        let parsed = with_fields(bytes, Self::parse_into)?;
        match parsed.as_ref().map(|(head, _)| head.status) {
            // Nobody asks for another protocol, and what follows would not be HTTP.
            Some(SWITCHING_PROTOCOLS) => Err(Malformed("switch to another protocol")),
            Some(status) if !STATUSES.contains(&status) => Err(Malformed("invalid status")),
            _ => Ok(parsed),
        }
    }

    fn parse_into<'b>(bytes: &'b [u8], fields: &mut [httparse::Header<'b>]) -> Parsed<Self> {
        let mut response = httparse::Response::new(fields);
        let httparse::Status::Complete(length) = response.parse(bytes)? else { return Ok(None) };
        let head = Self {
            status: response.code.unwrap_or_default(),
            reason: response.reason.unwrap_or_default().to_owned(),
            minor: response.version.unwrap_or(1),
            fields: collect_fields(response.headers),
        };
        Ok(Some((head, length)))
    }

    /// Returns how the body of a response to a request with `method` is framed.
    pub fn framing(&self, method: &str) -> Result<Framing, Malformed> {
        if method == "HEAD" || self.status < 200 || matches!(self.status, 204 | 304) {
            return Ok(Framing::Empty);
        }
        let length = content_length(&self.fields)?;
        if self.fields.count("transfer-encoding") == 0 {
            return Ok(length.map_or(Framing::UntilClose, Framing::Length));
        }
        if length.is_some() {
            return Err(Malformed("both content-length and transfer-encoding"));
        }
        if self.minor == 0 {
            return Err(Malformed("transfer-encoding in HTTP/1.0"));
        }
        chunked_framing(&self.fields)
    }

    /// Encodes the head, including the empty line that ends it.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(512);
        bytes.extend_from_slice(format!("HTTP/1.1 {} {}\r\n", self.status, self.reason).as_bytes());
        encode_fields(&self.fields, None, &mut bytes);
        bytes
    }

    /// Returns whether the server keeps the connection open after this response.
    pub fn keeps_alive(&self) -> bool {
        keeps_alive(self.minor, &self.fields)
    }
}

/// A head with its length in bytes; `None` while it is incomplete.
type Parsed<T> = Result<Option<(T, usize)>, httparse::Error>;

/// Parses a head with room for as many fields as it has.
fn with_fields<T>(
    bytes: &[u8],
    parse: for<'b> fn(&'b [u8], &mut [httparse::Header<'b>]) -> Parsed<T>,
) -> Result<Option<(T, usize)>, Malformed> {
    let parsed = match parse(bytes, &mut [httparse::EMPTY_HEADER; USUAL_FIELDS]) {
        Err(httparse::Error::TooManyHeaders) => {
            let lines = bytes.iter().filter(|byte| **byte == b'\n').count();
            parse(bytes, &mut vec![httparse::EMPTY_HEADER; lines])
        }
        parsed => parsed,
    };
    parsed.map_err(parse_error)
}

fn collect_fields(headers: &[httparse::Header<'_>]) -> Fields {
    let bytes = headers.iter().map(|header| header.name.len() + header.value.len()).sum();
    let mut fields = Fields::with_capacity(headers.len(), bytes);
    for header in headers {
        fields.push(header.name, header.value);
    }
    fields
}

/// Encodes fields, with this `Content-Length` in place of their own if there is one.
fn encode_fields(fields: &Fields, length: Option<usize>, bytes: &mut Vec<u8>) {
    for field in fields.iter() {
        if length.is_some() && field.name.eq_ignore_ascii_case("content-length") {
            continue;
        }
        bytes.extend_from_slice(field.name.as_bytes());
        bytes.extend_from_slice(b": ");
        // No value ends its field or the head (RFC 9110, section 5.5).
        bytes.extend(
            field.value.iter().map(|byte| if matches!(byte, b'\r' | b'\n' | 0) { b' ' } else { *byte }),
        );
        bytes.extend_from_slice(b"\r\n");
    }
    if let Some(length) = length {
        bytes.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
}

fn parse_error(error: httparse::Error) -> Malformed {
    Malformed(match error {
        httparse::Error::HeaderName => "invalid field name",
        httparse::Error::HeaderValue => "invalid field value",
        httparse::Error::NewLine => "invalid line ending",
        httparse::Error::Status => "invalid status",
        httparse::Error::Token => "invalid token",
        httparse::Error::TooManyHeaders => "too many fields",
        httparse::Error::Version => "invalid version",
    })
}

fn content_length(fields: &Fields) -> Result<Option<u64>, Malformed> {
    if fields.count("content-length") != fields.all("content-length").count() {
        return Err(Malformed("invalid content-length"));
    }
    let mut length = None;
    for value in fields.all("content-length") {
        if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(Malformed("invalid content-length"));
        }
        let parsed = value.parse().map_err(|_| Malformed("invalid content-length"))?;
        if length.is_some_and(|previous| previous != parsed) {
            return Err(Malformed("conflicting content-length values"));
        }
        length = Some(parsed);
    }
    Ok(length)
}

/// Accepts `chunked` as the only transfer coding.
fn chunked_framing(fields: &Fields) -> Result<Framing, Malformed> {
    let is_chunked =
        fields.get("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if fields.count("transfer-encoding") == 1 && is_chunked {
        return Ok(Framing::Chunked);
    }
    Err(Malformed("unsupported transfer-encoding"))
}

fn keeps_alive(minor: u8, fields: &Fields) -> bool {
    if fields.has_token("connection", "close") {
        return false;
    }
    minor == 1 || fields.has_token("connection", "keep-alive")
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
