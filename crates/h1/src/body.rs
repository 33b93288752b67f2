//! Bodies: where they end, and whether they did.

use bytes::{Buf as _, Bytes, BytesMut};

use crate::Malformed;

/// Longest line of a chunk's size or of a trailer, bytes: ours, far above what peers send.
const LONGEST_LINE: usize = 4_096;
/// Most bytes of trailers: ours, far above what peers send.
const MOST_TRAILERS: usize = 16_384;

/// How a body's end is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// By its length, bytes.
    Length(u64),
    /// By a chunk of size zero.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// What the bytes at hand yield.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A part of the body.
    Data(Bytes),
    /// The body is whole.
    End,
    /// More bytes are needed.
    More,
}

/// Takes a body apart.
#[derive(Clone, Debug)]
pub struct Decoder(State);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Left(u64),
    Size,
    Chunk(u64),
    ChunkEnd,
    Trailers(usize),
    UntilClose,
    Done,
}

impl Decoder {
    /// A decoder at the start of a body.
    pub fn new(framing: Framing) -> Self {
        Self(match framing {
            Framing::Empty | Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Left(length),
            Framing::Chunked => State::Size,
            Framing::UntilClose => State::UntilClose,
        })
    }

    /// Whether the body has been taken to its end.
    pub fn is_done(&self) -> bool {
        self.0 == State::Done
    }

    /// Whether an end of the connection here is the body's proper end.
    pub fn ends_at_close(&self) -> bool {
        matches!(self.0, State::Done | State::UntilClose)
    }

    /// Takes what `buffer` holds of the body.
    pub fn step(&mut self, buffer: &mut BytesMut) -> Result<Step, Malformed> {
        loop {
            match self.0 {
                State::Done => return Ok(Step::End),
                _ if buffer.is_empty() => return Ok(Step::More),
                State::UntilClose => return Ok(Step::Data(buffer.split().freeze())),
                State::Left(left) => {
                    return Ok(Step::Data(self.take(buffer, left, State::Left, State::Done)));
                }
                State::Chunk(left) => {
                    return Ok(Step::Data(self.take(buffer, left, State::Chunk, State::ChunkEnd)));
                }
                State::Size => {
                    let Some(line) = line(buffer)? else { return Ok(Step::More) };
                    let size = chunk_size(&line)?;
                    self.0 = if size == 0 { State::Trailers(0) } else { State::Chunk(size) };
                }
                State::ChunkEnd => {
                    let Some(line) = line(buffer)? else { return Ok(Step::More) };
                    if !line.is_empty() {
                        return Err(Malformed("no line end after a chunk"));
                    }
                    self.0 = State::Size;
                }
                State::Trailers(seen) => {
                    let Some(line) = line(buffer)? else { return Ok(Step::More) };
                    let seen = seen + line.len();
                    if seen > MOST_TRAILERS {
                        return Err(Malformed("trailers too long"));
                    }
                    self.0 = if line.is_empty() { State::Done } else { State::Trailers(seen) };
                }
            }
        }
    }

    fn take(&mut self, buffer: &mut BytesMut, left: u64, more: fn(u64) -> State, end: State) -> Bytes {
        let here = usize::try_from(left).unwrap_or(usize::MAX).min(buffer.len());
        let left = left - here as u64;
        self.0 = if left == 0 { end } else { more(left) };
        buffer.split_to(here).freeze()
    }
}

/// The next line without its end; `None` while it is not whole.
fn line(buffer: &mut BytesMut) -> Result<Option<Bytes>, Malformed> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return if buffer.len() > LONGEST_LINE { Err(Malformed("line too long")) } else { Ok(None) };
    };
    if end == 0 || buffer[end - 1] != b'\r' {
        return Err(Malformed("bare line feed in a chunked body"));
    }
    let line = buffer.split_to(end - 1).freeze();
    buffer.advance(2);
    Ok(Some(line))
}

fn chunk_size(line: &[u8]) -> Result<u64, Malformed> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).map_err(|_| Malformed("invalid chunk size"))?;
    let text = text.trim_end_matches([' ', '\t']);
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(Malformed("invalid chunk size"));
    }
    u64::from_str_radix(text, 16).map_err(|_| Malformed("invalid chunk size"))
}

/// One chunk of a chunked body.
pub fn chunk(data: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(data.len() + 16);
    bytes.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// The end of a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
