//! Bound on the bytes that a gateway holds for callers and endpoints that read slowly.
//!
//! Each purpose may use a share of the bound. What can wait or come back has the smaller shares, so that requests that have
//! run always find room for their responses, and small requests are not crowded out by large ones.

/// Largest request that counts as small; longer than most requests without a prompt in their body.
pub const SMALL_REQUEST_BYTES: u64 = 16 << 10;
/// Part of a host's memory that may be held: the rest is for the process itself, for connections and for what the operating
/// system has received and the process has not read. On the smallest hosts, two of the longest requests with responses of the same
/// length leave room for small ones.
const HELD_SHARE: f64 = 0.28;
/// Part of the bound below which it no longer counts as reached.
const RELIEVED_SHARE: f64 = 0.25;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Part of a stream that its caller has not read; its endpoint can be kept waiting instead.
    Backlog,
    /// Bytes that a caller sends before the response to its last request; they can be left unread.
    ReadAhead,
    /// Body of a request that has not run.
    Request,
    /// Response to a request that has run.
    Response,
}

impl Purpose {
    /// Returns the part of the bound up to which bytes are held for a holder that would have `bytes` in total.
    fn share(self, bytes: u64) -> f64 {
        match self {
            Self::Backlog | Self::ReadAhead => 0.5,
            Self::Request if bytes > SMALL_REQUEST_BYTES => 0.5,
            Self::Request => 0.75,
            Self::Response => 1.0,
        }
    }

    /// Returns the part of the bound that one holder may have: a response without an end must leave room for others.
    fn largest_share(self) -> f64 {
        match self {
            Self::Response => 0.5,
            Self::Backlog | Self::ReadAhead | Self::Request => 1.0,
        }
    }
}

/// Refusal to hold more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exceeded {
    /// Whether it is the first one since the bound was last far from being reached.
    pub is_first: bool,
}

/// Bytes held at the moment.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// `None` if there is no bound.
    bound: Option<u64>,
    held: u64,
    /// Whether something was refused since less than [`RELIEVED_SHARE`] of the bound was held.
    is_reached: bool,
}

impl Ledger {
    /// Creates a ledger for a host with `memory` bytes; without a bound if that is not known.
    pub fn new(memory: Option<u64>) -> Self {
        Self { bound: memory.map(|memory| (memory as f64 * HELD_SHARE) as u64), ..Self::default() }
    }

    /// Returns the bound, if there is one.
    pub fn bound(&self) -> Option<u64> {
        self.bound
    }

    /// Returns the number of bytes held.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Holds `added` bytes more for a holder that has `own` bytes already, or none of them.
    pub fn hold(&mut self, purpose: Purpose, own: u64, added: u64) -> Result<(), Exceeded> {
        let (total, holder) = (self.held.saturating_add(added), own.saturating_add(added));
        let exceeds =
            |share: f64, bytes: u64| self.bound.is_some_and(|bound| bytes > (bound as f64 * share) as u64);
        if exceeds(purpose.largest_share(), holder) || exceeds(purpose.share(holder), total) {
            let is_first = !std::mem::replace(&mut self.is_reached, true);
            return Err(Exceeded { is_first });
        }
        self.held = total;
        Ok(())
    }

    /// Releases bytes.
    pub fn release(&mut self, bytes: u64) {
        self.held = self.held.saturating_sub(bytes);
        let relieved = self.bound.map_or(0.0, |bound| bound as f64 * RELIEVED_SHARE);
        self.is_reached &= self.held as f64 >= relieved;
    }
}
