//! The messages by which endpoints get one request, and what the retry budget was charged for them.

use std::time::Duration;

use crate::clock::Time;

/// How long a charge may precede its message. A request may wait for an endpoint in between; with an older charge, its
/// message would count in a window that the charge does not.
const CHARGE_TTL: Duration = Duration::from_secs(2);

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

/// The messages by which endpoints got one request.
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
}

/// The messages of one request, and what the budget was charged for them.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    sends: Sends,
    /// When charges were made for messages that have been sent. As many as there are retries, unless a prefill was
    /// rejected: that becomes known only afterwards and is part of what the next attempt has to pay.
    used: Vec<Time>,
    /// When charges were made for messages that have not been sent yet.
    unused: Vec<Time>,
    /// All charges so far.
    charged: u32,
}

impl Ledger {
    /// Returns the messages sent so far.
    pub fn sends(&self) -> Sends {
        self.sends
    }

    /// Returns the number of charges so far.
    pub fn charged(&self) -> u32 {
        self.charged
    }

    /// Returns how many retries must be charged before the messages of a plan may be sent.
    pub fn due(&mut self, now: Time, plan: Plan) -> u32 {
        self.unused.retain(|charged_at| now.since(*charged_at) < CHARGE_TTL);
        self.sends.retries_after(plan).saturating_sub((self.used.len() + self.unused.len()) as u32)
    }

    /// Records that retries were charged.
    pub fn record_charged(&mut self, now: Time, count: u32) {
        self.unused.extend((0..count).map(|_| now));
        self.charged += count;
    }

    /// Records that a message is being sent.
    pub fn record_sent(&mut self, message: Message) {
        let expected = match message {
            Message::Prefill => {
                self.sends.prefills += 1;
                Sends { is_prefilled: true, ..self.sends }
            }
            Message::Run => {
                self.sends.runs += 1;
                self.sends
            }
        };
        let missing = (expected.retries() as usize).saturating_sub(self.used.len());
        self.used.extend(self.unused.drain(..missing.min(self.unused.len())));
    }

    /// Records that nothing was sent after all. What was charged for it pays for a later message.
    pub fn record_unsent(&mut self, message: Message) {
        match message {
            Message::Prefill => self.sends.prefills = self.sends.prefills.saturating_sub(1),
            Message::Run => self.sends.runs = self.sends.runs.saturating_sub(1),
        }
        let still_used = self.used.len().min(self.sends.retries() as usize);
        self.unused.extend(self.used.drain(still_used..));
    }

    /// Records that an endpoint has accepted a prefill.
    pub fn record_prefilled(&mut self) {
        self.sends.is_prefilled = true;
    }
}
