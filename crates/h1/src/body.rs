//! Body framing: incremental decoding of bodies and detection of truncated ones.

use bytes::{Buf as _, Bytes, BytesMut};
use strum::Display;

use crate::{Malformed, field};

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
        Ok(match self.advance(buffer)? {
            Piece::Data(count) => Step::Data(buffer.split_to(count).freeze()),
            Piece::End => Step::End,
            Piece::NeedMore => Step::NeedMore,
        })
    }

    /// Decodes and removes all body bytes in `buffer` and passes them to `keep`, piece by piece, until that fails. Bytes after
    /// the body are left in it.
    pub fn drain<E: From<Malformed>>(
        &mut self,
        buffer: &mut BytesMut,
        mut keep: impl FnMut(&[u8]) -> Result<(), E>,
    ) -> Result<(), E> {
        while let Piece::Data(count) = self.advance(buffer)? {
            keep(&buffer[..count])?;
            buffer.advance(count);
        }
        Ok(())
    }

    /// Removes framing from the front of `buffer`, and returns how much of the body follows there.
    fn advance(&mut self, buffer: &mut BytesMut) -> Result<Piece, Malformed> {
        loop {
            match self.0 {
                State::Done => return Ok(Piece::End),
                _ if buffer.is_empty() => return Ok(Piece::NeedMore),
                State::UntilClose => return Ok(Piece::Data(buffer.len())),
                State::Remaining(left) => {
                    return Ok(self.data(buffer, left, State::Remaining, State::Done));
                }
                State::ChunkData(left) => {
                    return Ok(self.data(buffer, left, State::ChunkData, State::ChunkEnd));
                }
                State::ChunkSize => {
                    let Some(length) = line_length(buffer)? else { return Ok(Piece::NeedMore) };
                    let size = parse_chunk_size(&buffer[..length])?;
                    buffer.advance(length + LINE_END.len());
                    self.0 = if size == 0 { State::Trailers(0) } else { State::ChunkData(size) };
                }
                State::ChunkEnd => {
                    let Some(length) = line_length(buffer)? else { return Ok(Piece::NeedMore) };
                    if length > 0 {
                        return Err(Malformed("missing line ending after a chunk"));
                    }
                    buffer.advance(LINE_END.len());
                    self.0 = State::ChunkSize;
                }
                State::Trailers(read) => {
                    let Some(length) = line_length(buffer)? else { return Ok(Piece::NeedMore) };
                    let read = read + length;
                    if read > MAX_TRAILER_BYTES {
                        return Err(Malformed("trailers too long"));
                    }
                    if length > 0 && !field::is_field(&buffer[..length]) {
                        return Err(Malformed("invalid trailer"));
                    }
                    buffer.advance(length + LINE_END.len());
                    self.0 = if length == 0 { State::Done } else { State::Trailers(read) };
                }
            }
        }
    }

    /// Takes up to `left` bytes of the buffer as data and moves to state `end` once all are taken.
    fn data(&mut self, buffer: &BytesMut, left: u64, more: fn(u64) -> State, end: State) -> Piece {
        let count = usize::try_from(left).unwrap_or(usize::MAX).min(buffer.len());
        let left = left - count as u64;
        self.0 = if left == 0 { end } else { more(left) };
        Piece::Data(count)
    }
}

/// What stands at the front of a buffer.
enum Piece {
    /// This many bytes of body data.
    Data(usize),
    /// The end of the body.
    End,
    /// No more body data.
    NeedMore,
}

const LINE_END: &[u8] = b"\r\n";

/// Returns the length of the next line without its line ending; `None` while it is incomplete.
fn line_length(buffer: &[u8]) -> Result<Option<usize>, Malformed> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return if buffer.len() > MAX_LINE_BYTES { Err(Malformed("line too long")) } else { Ok(None) };
    };
    if end == 0 || buffer[end - 1] != b'\r' {
        return Err(Malformed("bare line feed in a chunked body"));
    }
    Ok(Some(end - 1))
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, Malformed> {
    if field::has_controls(line) {
        return Err(Malformed("invalid chunk extension"));
    }
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
