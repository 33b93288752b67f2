//! Bodies of requests and responses while they are read.

use std::io;

use bytes::Bytes;
use memmap2::MmapMut;
use tarragonhill_h1::body::Framing;

/// Length above which a body has memory of its own, which the operating system gets back at once when the body is dropped. An
/// allocator keeps what it has freed, for each thread, and all of that together may exceed the memory of the host.
const MAX_HEAP_BYTES: usize = 64 << 10;
/// Steps in which memory is taken for a body whose length is not stated.
const STEP: usize = 16 << 10;

/// A body of which a part has been received.
#[derive(Debug)]
pub(crate) struct Body {
    content: Content,
    /// Longest body.
    limit: usize,
}

#[derive(Debug)]
enum Content {
    Heap(Vec<u8>),
    Mapped(Mapped),
}

/// Memory of which the first `length` bytes are filled. Pages that were not touched take no memory.
#[derive(Debug)]
struct Mapped {
    memory: MmapMut,
    length: usize,
}

impl AsRef<[u8]> for Mapped {
    fn as_ref(&self) -> &[u8] {
        &self.memory[..self.length]
    }
}

impl Body {
    /// Creates an empty body of at most `limit` bytes.
    fn new(limit: usize) -> Self {
        Self { content: Content::Heap(Vec::new()), limit }
    }

    /// Creates an empty body that is framed like this, of at most `limit` bytes.
    pub(crate) fn framed(framing: Framing, limit: usize) -> Self {
        match framing {
            Framing::Length(length) => Self::new(usize::try_from(length).unwrap_or(limit).min(limit)),
            Framing::Empty | Framing::Chunked | Framing::UntilClose => Self::new(limit),
        }
    }

    pub(crate) fn len(&self) -> usize {
        match &self.content {
            Content::Heap(bytes) => bytes.len(),
            Content::Mapped(mapped) => mapped.length,
        }
    }

    /// Returns the memory of a body of this length, in bytes.
    pub(crate) fn memory(&self, length: usize) -> usize {
        length.next_multiple_of(STEP).min(self.limit)
    }

    /// Makes room for a body of this length, at most the longest one.
    pub(crate) fn reserve(&mut self, length: usize) -> io::Result<()> {
        let length = length.min(self.limit);
        let Content::Heap(bytes) = &mut self.content else { return Ok(()) };
        if length <= MAX_HEAP_BYTES {
            let capacity = length.next_multiple_of(STEP).min(self.limit);
            bytes.reserve_exact(capacity.saturating_sub(bytes.len()));
            return Ok(());
        }
        let mut memory = MmapMut::map_anon(self.limit)?;
        memory[..bytes.len()].copy_from_slice(bytes);
        self.content = Content::Mapped(Mapped { memory, length: bytes.len() });
        Ok(())
    }

    /// Appends bytes. Returns false if the body would be too long; there must be room for it otherwise.
    pub(crate) fn append(&mut self, part: &[u8]) -> bool {
        let length = self.len() + part.len();
        if length > self.limit {
            return false;
        }
        match &mut self.content {
            Content::Heap(bytes) => bytes.extend_from_slice(part),
            Content::Mapped(mapped) => {
                mapped.memory[mapped.length..length].copy_from_slice(part);
                mapped.length = length;
            }
        }
        true
    }

    /// Returns the whole body.
    pub(crate) fn finish(self) -> Bytes {
        match self.content {
            Content::Heap(bytes) => bytes.into(),
            Content::Mapped(mapped) => Bytes::from_owner(mapped),
        }
    }
}
