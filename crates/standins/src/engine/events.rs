//! Cache events, published with a delay and with losses.

use std::collections::VecDeque;

use crocushold_base::Millis;
use rand::RngExt;
use rand::rngs::StdRng;
use serde::Serialize;

/// Maximum number of events kept for readers.
const MAX_EVENTS: usize = 4096;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum CacheChange {
    Stored,
    Evicted,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct CacheEvent {
    seq: u64,
    kind: CacheChange,
    prefix: String,
    #[serde(skip)]
    at: Millis,
}

/// The response to `GET /cache-events`.
#[derive(Debug, Serialize)]
pub(super) struct EventPage {
    last: u64,
    events: Vec<CacheEvent>,
}

/// The log of cache events.
#[derive(Debug)]
pub(super) struct EventLog {
    delay: Millis,
    loss_rate: f64,
    last: u64,
    events: VecDeque<CacheEvent>,
}

impl EventLog {
    pub(super) fn new(delay: Millis, loss_rate: f64) -> EventLog {
        EventLog {
            delay,
            loss_rate,
            last: 0,
            events: VecDeque::new(),
        }
    }

    pub(super) fn set_delivery(&mut self, delay: Millis, loss_rate: f64) {
        self.delay = delay;
        self.loss_rate = loss_rate;
    }

    /// Records an event. Lost events leave gaps in the sequence numbers.
    pub(super) fn push(&mut self, kind: CacheChange, prefix: &str, now: Millis, rng: &mut StdRng) {
        self.last += 1;
        if rng.random::<f64>() < self.loss_rate {
            return;
        }
        self.events.push_back(CacheEvent {
            seq: self.last,
            kind,
            prefix: prefix.to_owned(),
            at: now,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the visible events with a sequence number greater than `after`.
    pub(super) fn page(&self, after: u64, now: Millis) -> EventPage {
        let shown = self.events.iter().filter(|e| e.at + self.delay <= now);
        let last = shown.clone().next_back().map_or(0, |e| e.seq);
        let events = shown.filter(|e| e.seq > after).cloned().collect();
        EventPage { last, events }
    }
}
