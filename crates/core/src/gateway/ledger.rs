//! The messages by which endpoints get one request, and what the retry budget was charged for them.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// A message by which an endpoint gets a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks for a prefill only.
    Prefill,
    /// Asks for the response.
    Run,
}

/// The messages of an attempt that still have to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// The request for the response.
    Run,
    /// A prefill, and then the request for the response.
    PrefillAndRun,
}

/// Numbers of messages.
///
/// The budget counts messages, not decisions to retry: a retry that prefills the prompt again consists of two. The
/// first prefill that an endpoint accepts and the first other message are not retries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sends {
    prefills: u32,
    runs: u32,
    /// Whether an endpoint has accepted a prefill.
    is_prefilled: bool,
}

impl Sends {
    /// Returns the number of prefills.
    pub fn prefills(&self) -> u32 {
        self.prefills
    }

    /// Returns the number of other messages.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Returns the number of messages that count as retries.
    pub fn retries(&self) -> u32 {
        (self.prefills + self.runs).saturating_sub(1 + u32::from(self.is_prefilled))
    }

    /// Returns the number of retries after an attempt, if endpoints accept its prefill.
    fn retries_after(self, plan: Plan) -> u32 {
        match plan {
            Plan::Run => Self { runs: self.runs + 1, ..self },
            Plan::PrefillAndRun => {
                Self { prefills: self.prefills + 1, runs: self.runs + 1, is_prefilled: true }
            }
        }
        .retries()
    }

    fn add(&mut self, message: Message) {
        match message {
            Message::Prefill => self.prefills += 1,
            Message::Run => self.runs += 1,
        }
    }
}

/// A message in the order of sending.
#[derive(Clone, Debug)]
struct Entry {
    message: Message,
    endpoint: Arc<str>,
    is_written: Arc<AtomicBool>,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The endpoint may or may not have read it.
    Sent,
    /// The endpoint has read it, or has closed the connection, so that it will not read it any more.
    Concluded,
    /// Nothing was sent after all.
    Unsent,
}

/// A message that is being sent.
#[derive(Clone, Debug)]
pub struct Sending {
    index: usize,
    /// Whether a part of it may have been written. Before that, no endpoint can read it, even if the sending is cancelled.
    pub is_written: Arc<AtomicBool>,
}

/// What remains of a ledger when its request ends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Remainder {
    /// Charges whose messages have not arrived.
    pub charges: u32,
    /// Endpoints that may still read a message, which would count as a retry. One for each message.
    pub pending: Vec<Arc<str>>,
}

/// The messages of one request, and what the budget was charged for them.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    entries: Vec<Entry>,
    is_prefilled: bool,
    /// All charges so far.
    charged: u32,
    /// Charges for retries that have been concluded.
    concluded: u32,
}

impl Ledger {
    /// Returns the messages sent so far.
    pub fn sends(&self) -> Sends {
        self.count(|state| state != State::Unsent)
    }

    fn count(&self, keep: impl Fn(State) -> bool) -> Sends {
        let mut sends = Sends { is_prefilled: self.is_prefilled, ..Sends::default() };
        self.entries.iter().filter(|entry| keep(entry.state)).for_each(|entry| sends.add(entry.message));
        sends
    }

    /// Returns the number of charges so far.
    pub fn charged(&self) -> u32 {
        self.charged
    }

    /// Returns how many retries must be charged before the messages of a plan may be sent.
    pub fn due(&self, plan: Plan) -> u32 {
        self.sends().retries_after(plan).saturating_sub(self.charged)
    }

    /// Records that retries were charged.
    pub fn record_charged(&mut self, count: u32) {
        self.charged += count;
    }

    /// Records that a message is being sent.
    pub fn record_sent(&mut self, message: Message, endpoint: &Arc<str>) -> Sending {
        let is_written: Arc<AtomicBool> = Arc::default();
        let (endpoint, index) = (endpoint.clone(), self.entries.len());
        self.entries.push(Entry { message, endpoint, is_written: is_written.clone(), state: State::Sent });
        Sending { index, is_written }
    }

    /// Records that nothing was sent after all. What was charged for it pays for a later message.
    pub fn record_unsent(&mut self, sending: &Sending) {
        self.entries[sending.index].state = State::Unsent;
    }

    /// Records that an endpoint has read a message, or never will. Returns how many more charges are for messages that
    /// have been concluded.
    pub fn record_concluded(&mut self, sending: &Sending) -> u32 {
        self.entries[sending.index].state = State::Concluded;
        self.conclude()
    }

    /// Records that an endpoint has read a message and accepted the prefill; otherwise like `record_concluded`.
    pub fn record_prefilled(&mut self, sending: &Sending) -> u32 {
        self.is_prefilled = true;
        self.record_concluded(sending)
    }

    fn conclude(&mut self) -> u32 {
        let retries = self.count(|state| state == State::Concluded).retries().min(self.charged);
        let more = retries.saturating_sub(self.concluded);
        self.concluded += more;
        more
    }

    /// Returns what remains at the end of the request.
    pub fn remainder(&self) -> Remainder {
        let concluded = self.count(|state| state == State::Concluded);
        let may_be_retries = self.sends().retries() > concluded.retries();
        let is_pending =
            |entry: &&Entry| entry.state == State::Sent && entry.is_written.load(Ordering::Relaxed);
        let pending = self.entries.iter().filter(|entry| may_be_retries && is_pending(entry));
        Remainder {
            charges: self.charged - self.concluded,
            pending: pending.map(|entry| entry.endpoint.clone()).collect(),
        }
    }
}
