//! Contact with the store, here and at peers.
//!
//! Rows of endpoints lapse while the store is away, and those that run write them again when it is back. If only this replica was
//! cut off, rows that are missing afterwards were removed. Peers that read from the store meanwhile tell one from the other.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::clock::Time;

/// What a replica says of its contact with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// For how long it has been in contact without interruption.
    pub since: Duration,
    /// Time since its newest read.
    pub last_read: Duration,
}

/// A span in which a replica was in contact.
#[derive(Clone, Copy, Debug)]
struct Span {
    since: Time,
    last_read: Time,
}

/// Contact of this replica and its peers.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    /// `None` while the store cannot be read.
    own: Option<Span>,
    /// When this replica last lost the store.
    lost: Option<Time>,
    peers: BTreeMap<Arc<str>, Span>,
}

impl Contact {
    /// Records that the store was read.
    pub fn record_read(&mut self, now: Time) {
        let since = self.own.map_or(now, |own| own.since);
        self.own = Some(Span { since, last_read: now });
    }

    /// Records that the store cannot be read.
    pub fn record_loss(&mut self, now: Time) {
        if self.own.take().is_some() {
            self.lost = Some(now);
        }
    }

    /// Records the contact of a peer.
    pub fn apply_peer(&mut self, now: Time, peer: &Arc<str>, report: Option<Report>) {
        match report {
            Some(Report { since, last_read }) => {
                let span = Span { since: now.minus(since), last_read: now.minus(last_read) };
                self.peers.insert(peer.clone(), span);
            }
            None => drop(self.peers.remove(peer)),
        }
    }

    /// Forgets a peer.
    pub fn remove_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    /// Returns what peers have to know; `None` while the store cannot be read.
    pub fn report(&self, now: Time) -> Option<Report> {
        let Span { since, last_read } = self.own?;
        Some(Report { since: now.since(since), last_read: now.since(last_read) })
    }

    /// Returns by when the store was available to a peer after this replica had last lost it; `None` if no peer says so.
    pub fn returned(&self) -> Option<Time> {
        let lost = self.lost?;
        let spans = self.peers.values().map(|span| (span.since.max(lost), span.last_read));
        spans.filter(|(since, last_read)| last_read >= since).map(|(since, _)| since).min()
    }
}
