//! Body framing: incremental decoding of bodies and detection of truncated ones.

use bytes::{Buf as _, Bytes, BytesMut};
use strum::Display;

use crate::Malformed;

/// Limit on a chunk size line or a trailer line.
const MAX_LINE_BYTES: usize = 4_096;
const MAX_TRAILER_BYTES: usize = 16_384;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Framing {
    /// There is no body.
    Empty,
    /// By `Content-Length`, in bytes.
    Length(u64),
    /// By the last chunk of the chunked transfer coding.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// Result of a decoding step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Body data, without chunk framing.
    Data(Bytes),
    /// The body is complete.
    End,
    /// The buffer has no more body data; read more bytes from the connection.
    NeedMore,
}

/// Incremental decoder of one body.
#[derive(Clone, Debug)]
pub struct Decoder(State);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Bytes left of a body with a known length.
    Remaining(u64),
    ChunkSize,
    /// Bytes left of the current chunk.
    ChunkData(u64),
    ChunkEnd,
    /// Bytes of trailers read so far.
    Trailers(usize),
    UntilClose,
    Done,
}

impl Decoder {
    /// Creates a decoder at the start of a body.
    pub fn new(framing: Framing) -> Self {
        Self(match framing {
            Framing::Empty | Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Remaining(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        })
    }

    /// Returns whether the body has been decoded to its end.
    pub fn is_done(&self) -> bool {
        self.0 == State::Done
    }

    /// Returns whether the body is complete if the connection ends here.
    pub fn ends_at_close(&self) -> bool {
        matches!(self.0, State::Done | State::UntilClose)
    }

    /// Decodes and removes body bytes from the front of `buffer`. Bytes after the body are left in it.
    pub fn step(&mut self, buffer: &mut BytesMut) -> Result<Step, Malformed> {
        loop {
            match self.0 {
                State::Done => return Ok(Step::End),
                _ if buffer.is_empty() => return Ok(Step::NeedMore),
                State::UntilClose => return Ok(Step::Data(buffer.split().freeze())),
                State::Remaining(left) => {
                    return Ok(Step::Data(self.take(buffer, left, State::Remaining, State::Done)));
                }
                State::ChunkData(left) => {
                    return Ok(Step::Data(self.take(buffer, left, State::ChunkData, State::ChunkEnd)));
                }
                State::ChunkSize => {
                    let Some(line) = take_line(buffer)? else { return Ok(Step::NeedMore) };
                    let size = parse_chunk_size(&line)?;
                    self.0 = if size == 0 { State::Trailers(0) } else { State::ChunkData(size) };
                }
                State::ChunkEnd => {
                    let Some(line) = take_line(buffer)? else { return Ok(Step::NeedMore) };
                    if !line.is_empty() {
                        return Err(Malformed("missing line ending after a chunk"));
                    }
                    self.0 = State::ChunkSize;
                }
                State::Trailers(read) => {
                    let Some(line) = take_line(buffer)? else { return Ok(Step::NeedMore) };
                    let read = read + line.len();
                    if read > MAX_TRAILER_BYTES {
                        return Err(Malformed("trailers too long"));
                    }
                    self.0 = if line.is_empty() { State::Done } else { State::Trailers(read) };
                }
            }
        }
    }

    /// Takes up to `left` bytes from the buffer and moves to state `end` once all have been taken.
    fn take(&mut self, buffer: &mut BytesMut, left: u64, more: fn(u64) -> State, end: State) -> Bytes {
        let count = usize::try_from(left).unwrap_or(usize::MAX).min(buffer.len());
        let left = left - count as u64;
        self.0 = if left == 0 { end } else { more(left) };
        buffer.split_to(count).freeze()
    }
}

/// Takes the next line without its line ending; `None` while it is incomplete.
fn take_line(buffer: &mut BytesMut) -> Result<Option<Bytes>, Malformed> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return if buffer.len() > MAX_LINE_BYTES { Err(Malformed("line too long")) } else { Ok(None) };
    };
    if end == 0 || buffer[end - 1] != b'\r' {
        return Err(Malformed("bare line feed in a chunked body"));
    }
    let line = buffer.split_to(end - 1).freeze();
    buffer.advance(2);
    Ok(Some(line))
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, Malformed> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).map_err(|_| Malformed("invalid chunk size"))?;
    let text = text.trim_end_matches([' ', '\t']);
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(Malformed("invalid chunk size"));
    }
    u64::from_str_radix(text, 16).map_err(|_| Malformed("invalid chunk size"))
}

/// Encodes one chunk of a chunked body. `data` must not be empty: that would end the body.
pub fn chunk(data: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(data.len() + 16);
    bytes.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// End of a chunked body without trailers.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
