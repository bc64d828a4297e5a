//! The loads that instances receive from each other, and their sum.

use std::collections::BTreeMap;

use crocushold_base::Millis;
use crocushold_routing::LaneStats;

use super::message::EngineQueue;
use super::message::Load;
use super::message::ServiceWork;

/// How long a received load counts in full: the longest interval between messages.
const FULL_WEIGHT_AGE: Millis = Millis(500);

/// How long a received load counts at all. After [`FULL_WEIGHT_AGE`] its weight declines, since the
/// engines are reading the prompts.
pub(super) const MAX_AGE: Millis = Millis::from_secs(1);

/// Longest interval of a sender's messages while they have a load, and while they have none, each with a
/// lost or late message. A sender that is silent for longer is questioned.
const LOADED_SILENCE: Millis = Millis(250);
pub(super) const IDLE_SILENCE: Millis = Millis(600);

/// The load received from one sender, by part.
#[derive(Clone, Debug, Default)]
pub(super) struct ReceivedLoad {
    pub(super) parts: BTreeMap<u8, (Load, Millis)>,
    /// Number of parts of the last message.
    count: u8,
    /// When the last message was received.
    pub(super) received_at: Millis,
}

impl ReceivedLoad {
    /// Updates the load from a message. If the number of parts has changed, the engines are
    /// distributed differently, so the previous parts are dropped to avoid counting queues twice.
    pub(super) fn update(&mut self, load: Load, now: Millis) {
        if load.part.count != self.count {
            self.parts.clear();
            self.count = load.part.count;
        }
        if load.part.index < load.part.count {
            self.parts.insert(load.part.index, (load, now));
        }
        self.received_at = now;
    }

    /// How long the sender may be silent. After a load it always sends another message, at least one
    /// that is empty.
    pub(super) fn longest_silence(&self) -> Millis {
        let mut loads = self.parts.values().map(|(load, _)| load);
        if loads.any(|load| !load.is_empty()) {
            LOADED_SILENCE
        } else {
            IDLE_SILENCE
        }
    }
}

/// Sum of the loads of several instances.
#[derive(Clone, Debug, Default)]
pub struct LoadSum {
    /// Queue at each listed engine beyond [`LoadSum::unlisted`], in milliseconds of reading, by
    /// hash of the engine's name.
    pub queues: BTreeMap<u32, f64>,
    /// Assumed queue at each engine that isn't listed, in milliseconds. It isn't zero if a sender
    /// had too many engines to list.
    pub unlisted: f64,
    /// Recent work by hash of the service's name.
    pub work: BTreeMap<u32, LaneStats>,
}

impl LoadSum {
    /// Queue at an engine, in milliseconds of reading.
    pub fn queue_at(&self, engine: u32) -> f64 {
        let listed = self.queues.get(&engine).copied().unwrap_or(0.0);
        (self.unlisted + listed).max(0.0)
    }

    /// Adds a load with a weight.
    ///
    /// An engine that isn't listed has a queue between zero and [`Load::unlisted_max`], of which
    /// half is assumed.
    pub fn add(&mut self, load: &Load, weight: f64) {
        let unlisted = f64::from(load.unlisted_max) / 2.0;
        if load.part.index == 0 {
            self.unlisted += weight * unlisted;
        }
        for entry in &load.queues {
            let sum = self.queues.entry(entry.engine).or_default();
            *sum += weight * (f64::from(entry.read_ms) - unlisted);
        }
        for entry in &load.work {
            let sum = self.work.entry(entry.service).or_default();
            sum.add(&entry.stats(), weight);
        }
    }

    /// Adds a received load, weighted by its age.
    pub(super) fn add_received(&mut self, received: &ReceivedLoad, now: Millis) {
        for (load, at) in received.parts.values() {
            let left = MAX_AGE.since(now.since(*at)).0 as f64;
            let weight = (left / MAX_AGE.since(FULL_WEIGHT_AGE).0 as f64).min(1.0);
            if weight > 0.0 {
                self.add(load, weight);
            }
        }
    }

    /// Subtracts a load, and removes the engines whose queue becomes empty.
    pub(super) fn subtract(&mut self, load: &Load) {
        self.add(load, -1.0);
        let unlisted = self.unlisted;
        self.queues.retain(|_, sum| *sum + unlisted > 0.0);
    }

    pub(super) fn load(&self) -> Load {
        let queues = self.queues.keys().map(|&engine| EngineQueue {
            engine,
            read_ms: self.queue_at(engine).round() as u32,
        });
        let work = self.work.iter();
        let work = work.map(|(&service, stats)| ServiceWork::new(service, stats));
        Load {
            queues: queues.filter(|entry| entry.read_ms > 0).collect(),
            work: work.filter(|entry| !entry.is_empty()).collect(),
            unlisted_max: (self.unlisted * 2.0).round() as u32,
            ..Load::default()
        }
    }
}
