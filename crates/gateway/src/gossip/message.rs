//! The message between instances.

use std::net::SocketAddr;

use crocushold_routing::LANES;
use crocushold_routing::LaneNews;
use serde::Deserialize;
use serde::Serialize;

use crate::era::Revision;

/// The longest message, in bytes: one packet on every usual network.
pub(crate) const MOST_BYTES: usize = 1400;

/// Engines that a message tells of at most; those with the most waiting. Eight bytes each leave room for
/// the rest of the message.
const MOST_ENGINES: usize = 90;

/// Engines that a part is meant to tell of. Parts are divided by hashes, so that some hold more than others.
const USUAL_ENGINES: usize = 70;

/// Messages in which a sender tells what it has at most. They hold the 280 engines or so that a region of the
/// largest fleet has; to tell of more would take more than the four kilobytes a second that an instance may.
const MOST_PARTS: usize = 4;

/// Shared parts that a message tells of at most, ten bytes each.
pub(crate) const MOST_KEPT: usize = 32;

/// Services with model engines that a message tells of at most.
const MOST_SERVICES: usize = 4;

/// Other instances that a message names at most. With two messages a second from a zone's collector that
/// has nothing to tell, a zone of twenty is named within two seconds.
pub(crate) const MOST_NAMES: usize = 8;

/// What waits at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineQueue {
    /// A hash of the engine's identity.
    pub engine: u32,
    /// How long the prompts that have no answer yet take to be read, in milliseconds.
    pub read_ms: u32,
}

/// An engine that holds a shared part of prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CachedPrefix {
    /// A hash of the part.
    pub prefix: u32,
    /// A hash of the engine's identity.
    pub engine: u32,
}

/// The work that came of late, which divides a service's engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWork {
    /// A hash of the service's name.
    pub service: u32,
    /// By lane, in milliseconds of an engine.
    pub lanes: [u32; LANES],
    /// Streams of long prompts that ended, and those of them that paused for longer than a live stream may,
    /// in sixteenths.
    pub streams: [u32; 2],
}

/// Parts of a stream that are told: what fades is counted in fractions.
const STREAM_PARTS: f64 = 16.0;

impl ServiceWork {
    pub(crate) fn new(service: u32, news: &LaneNews) -> ServiceWork {
        let streams = [news.streams, news.strained];
        ServiceWork {
            service,
            lanes: news.work.map(|work| work.round() as u32),
            streams: streams.map(|count| (count * STREAM_PARTS).round() as u32),
        }
    }

    pub(crate) fn news(&self) -> LaneNews {
        let [streams, strained] = self.streams.map(|count| f64::from(count) / STREAM_PARTS);
        LaneNews {
            work: self.lanes.map(f64::from),
            streams,
            strained,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.lanes == [0; LANES] && self.streams == [0; 2]
    }
}

/// What one instance or several have.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// By engine; those that aren't named have [`Load::least`] waiting at most.
    pub queues: Vec<EngineQueue>,
    /// By service.
    pub work: Vec<ServiceWork>,
    /// Shared parts that requests were sent with lately, and where.
    pub cached: Vec<CachedPrefix>,
    /// How long the prompts at an engine that isn't named take at most, in milliseconds: zero where all are
    /// named that have any.
    pub unlisted_max: u32,
    /// Which of several parts this is.
    pub part: Part,
}

/// Which part of what a sender has a message tells: that of the engines whose hash leaves `index` when divided
/// by `count`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Counted from zero.
    pub index: u8,
    /// How many there are.
    pub count: u8,
}

impl Default for Part {
    fn default() -> Part {
        Part { index: 0, count: 1 }
    }
}

impl Load {
    /// Whether there is nothing to tell at once. The work of late changes slowly; it goes along.
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty() && self.cached.is_empty()
    }

    /// Divides it into as many parts as it takes to name all engines that have something waiting.
    ///
    /// An engine that has a queue and isn't named looks idle to the whole fleet, which sends all there. So
    /// all are named; and where there are too many for that, it is told how long the others' queues may be.
    pub(crate) fn split(self) -> Vec<Load> {
        let count = self.queues.len().div_ceil(USUAL_ENGINES);
        let count = count.clamp(1, MOST_PARTS);
        let mut parts: Vec<Load> = (0..count)
            .map(|index| Load {
                part: Part {
                    index: index as u8,
                    count: count as u8,
                },
                ..Load::default()
            })
            .collect();
        for entry in self.queues {
            parts[entry.engine as usize % count].queues.push(entry);
        }
        parts[0].work = self.work;
        parts[0].cached = self.cached;
        let parts: Vec<Load> = parts.into_iter().map(Load::bounded).collect();
        let unlisted_max = parts.iter().map(|part| part.unlisted_max);
        let unlisted_max = unlisted_max.fold(self.unlisted_max, u32::max);
        let parts = parts.into_iter().map(|part| Load {
            unlisted_max,
            ..part
        });
        parts.collect()
    }

    /// The longest queues, as many as a message holds.
    fn bounded(mut self) -> Load {
        self.queues
            .sort_unstable_by_key(|entry| std::cmp::Reverse(entry.read_ms));
        if let Some(left) = self.queues.get(MOST_ENGINES) {
            self.unlisted_max = self.unlisted_max.max(left.read_ms);
        }
        self.queues.truncate(MOST_ENGINES);
        self.work.truncate(MOST_SERVICES);
        self.cached.truncate(MOST_KEPT);
        self
    }
}

/// An instance, as it tells of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Where it listens for messages.
    pub address: SocketAddr,
    /// A hash of its availability zone.
    pub zone: u32,
    /// What it can do beside its requests, in percent of a core.
    pub capacity: u16,
}

/// An instance that another one was told of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Which one.
    pub identity: Identity,
    /// How long ago it was last heard, in milliseconds.
    pub age: u16,
}

/// What a message says beside who sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// The sender asks for names.
    Hello,
    /// Names alone.
    Members,
    /// What the sender itself has, for the collector of its zone.
    Instance(Load),
    /// What the sender's zone has, for the collectors of the other zones.
    Zone(Load),
    /// What the fleet has, for those that told the sender what they have, and which instance places for all.
    Fleet(Load, SocketAddr),
}

impl Content {
    /// Whether it names only the longest queues.
    pub(crate) fn is_truncated(&self) -> bool {
        match self {
            Content::Hello | Content::Members => false,
            Content::Instance(load) | Content::Zone(load) | Content::Fleet(load, _) => {
                load.unlisted_max > 0
            }
        }
    }
}

/// What an instance tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's availability zone, as a hash.
    pub zone: u32,
    /// What the sender can do beside its requests, in percent of a core.
    pub capacity: u16,
    /// The newest revision of the store that the sender knows of a change at.
    pub revision: Revision,
    /// Some of the instances that the sender knows.
    pub members: Vec<MemberEntry>,
    /// What it says.
    pub content: Content,
}

impl Message {
    /// A message that fits into one packet.
    pub fn new(from: &Identity, members: Vec<MemberEntry>, content: Content) -> Message {
        let content = match content {
            Content::Hello | Content::Members => content,
            Content::Instance(load) => Content::Instance(load.bounded()),
            Content::Zone(load) => Content::Zone(load.bounded()),
            Content::Fleet(load, placer) => Content::Fleet(load.bounded(), placer),
        };
        Message {
            zone: from.zone,
            capacity: from.capacity,
            revision: Revision::default(),
            members: members.into_iter().take(MOST_NAMES).collect(),
            content,
        }
    }

    /// The message as bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("numbers and addresses always serialise")
    }

    /// Reads a message; `None` for one that isn't.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        postcard::from_bytes(bytes).ok()
    }
}
