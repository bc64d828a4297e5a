//! The gossip message.

use std::net::SocketAddr;

use crocushold_routing::LANES;
use crocushold_routing::LaneStats;
use serde::Deserialize;
use serde::Serialize;

use crate::era::Revision;

/// Maximum size of a message, in bytes: a single packet on any common network.
pub(crate) const MAX_MESSAGE_BYTES: usize = 1400;

/// Maximum number of engines in a message; those with the longest queues. Eight bytes each leave
/// room for the rest of the message.
const MAX_ENGINES: usize = 90;

/// Target number of engines in a part. Engines are assigned to parts by hash, so some parts hold
/// more than others.
const TARGET_ENGINES: usize = 70;

/// Maximum number of messages in which a load is sent. They hold the roughly 280 engines that a
/// region of the largest fleet has. More would exceed the four kilobytes per second that an
/// instance may send.
const MAX_PARTS: usize = 4;

/// Maximum number of cached prefixes in a message, with ten bytes each.
pub(crate) const MAX_CACHED_PREFIXES: usize = 32;

/// Maximum number of services with model engines in a message.
const MAX_SERVICES: usize = 4;

/// Maximum number of members in a message. With two messages per second from the collector of a
/// zone without load, a zone of twenty instances is named within two seconds.
pub(crate) const MAX_MEMBER_ENTRIES: usize = 8;

/// Maximum number of members in the answer to a hello: the collectors of most deployments, in a
/// quarter of a kilobyte.
pub(crate) const MAX_INTRODUCED: usize = 12;

/// Queue of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineQueue {
    /// Hash of the engine's name.
    pub engine: u32,
    /// Time to read the prompts whose answers haven't begun, in milliseconds.
    pub read_ms: u32,
}

/// A prompt prefix that an engine caches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CachedPrefix {
    /// Hash of the prefix.
    pub prefix: u32,
    /// Hash of the engine's name.
    pub engine: u32,
}

/// Recent work of a service, by which its engines are allocated to lanes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWork {
    /// Hash of the service's name.
    pub service: u32,
    /// Engine time by lane, in milliseconds.
    pub lanes: [u32; LANES],
    /// Number of ended streams of long prompts, and number of those with a longer pause than a live
    /// stream tolerates, in sixteenths.
    pub streams: [u32; 2],
}

/// Resolution of stream counts, which are fractional because they decay over time.
const STREAM_FRACTION: f64 = 16.0;

impl ServiceWork {
    pub(crate) fn new(service: u32, stats: &LaneStats) -> ServiceWork {
        let streams = [stats.streams, stats.slow_streams];
        ServiceWork {
            service,
            lanes: stats.work.map(|work| work.round() as u32),
            streams: streams.map(|count| (count * STREAM_FRACTION).round() as u32),
        }
    }

    pub(crate) fn stats(&self) -> LaneStats {
        let [streams, slow_streams] = self.streams.map(|count| f64::from(count) / STREAM_FRACTION);
        LaneStats {
            work: self.lanes.map(f64::from),
            streams,
            slow_streams,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.lanes == [0; LANES] && self.streams == [0; 2]
    }
}

/// Load of one or several instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Queues by engine. Engines that aren't listed have at most [`Load::unlisted_max`].
    pub queues: Vec<EngineQueue>,
    /// Recent work by service.
    pub work: Vec<ServiceWork>,
    /// Cached prefixes of recently sent requests.
    pub cached: Vec<CachedPrefix>,
    /// Maximum queue of an engine that isn't listed, in milliseconds of reading; zero if all
    /// engines with a queue are listed.
    pub unlisted_max: u32,
    /// Which part of the load this is.
    pub part: Part,
}

/// Part of a load that is sent in several messages. It contains the engines whose hash modulo
/// `count` is `index`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Index of the part, starting at zero.
    pub index: u8,
    /// Number of parts.
    pub count: u8,
}

impl Default for Part {
    fn default() -> Part {
        Part { index: 0, count: 1 }
    }
}

impl Load {
    /// Whether there is nothing to send at once. Recent work changes slowly and is sent along with
    /// queues.
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty() && self.cached.is_empty()
    }

    /// Divides the load into as many parts as are needed to list all engines that have a queue.
    ///
    /// An engine that has a queue but isn't listed looks idle to the whole fleet, which then sends
    /// all requests to it. Therefore all are listed, and if there are too many for that, the load
    /// contains the maximum queue of the others.
    pub(crate) fn split(self) -> Vec<Load> {
        let count = self.queues.len().div_ceil(TARGET_ENGINES);
        let count = count.clamp(1, MAX_PARTS);
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
        let parts: Vec<Load> = parts.into_iter().map(Load::truncated).collect();
        let unlisted_max = parts.iter().map(|part| part.unlisted_max);
        let unlisted_max = unlisted_max.fold(self.unlisted_max, u32::max);
        let parts = parts.into_iter().map(|part| Load {
            unlisted_max,
            ..part
        });
        parts.collect()
    }

    /// Keeps the longest queues, as many as fit into a message.
    fn truncated(mut self) -> Load {
        self.queues
            .sort_unstable_by_key(|entry| std::cmp::Reverse(entry.read_ms));
        if let Some(left) = self.queues.get(MAX_ENGINES) {
            self.unlisted_max = self.unlisted_max.max(left.read_ms);
        }
        self.queues.truncate(MAX_ENGINES);
        self.work.truncate(MAX_SERVICES);
        self.cached.truncate(MAX_CACHED_PREFIXES);
        self
    }
}

/// Identity of an instance, as sent by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Address on which it receives messages.
    pub address: SocketAddr,
    /// Hash of its availability zone.
    pub zone: u32,
    /// Spare CPU capacity, in percent of a core.
    pub capacity: u16,
}

/// A member, as reported by another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The member's identity.
    pub identity: Identity,
    /// Time since it was last heard, in milliseconds.
    pub age: u16,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// The sender asks for a list of members.
    Hello,
    /// Only the list of members.
    Members,
    /// Load of the sender, for the collector of its zone.
    Instance(Load),
    /// Load of the sender's zone, for the collectors of other zones.
    Zone(Load),
    /// Load of the fleet, for the instances that sent theirs to the sender, and the address of the
    /// placer.
    Fleet(Load, SocketAddr),
}

impl Content {
    /// Whether only the longest queues are listed.
    pub(crate) fn is_truncated(&self) -> bool {
        match self {
            Content::Hello | Content::Members => false,
            Content::Instance(load) | Content::Zone(load) | Content::Fleet(load, _) => {
                load.unlisted_max > 0
            }
        }
    }
}

/// A gossip message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Hash of the sender's availability zone.
    pub zone: u32,
    /// Spare CPU capacity of the sender, in percent of a core.
    pub capacity: u16,
    /// The newest revision of the store at which the sender knows of a change.
    pub revision: Revision,
    /// Some of the members known to the sender.
    pub members: Vec<MemberEntry>,
    /// The content.
    pub content: Content,
}

impl Message {
    /// Creates a message that fits into one packet.
    pub fn new(from: &Identity, members: Vec<MemberEntry>, content: Content) -> Message {
        let max_members = match content {
            Content::Members => MAX_INTRODUCED,
            // The collector comes on top of those in turn.
            _ => MAX_MEMBER_ENTRIES + 1,
        };
        let content = match content {
            Content::Hello | Content::Members => content,
            Content::Instance(load) => Content::Instance(load.truncated()),
            Content::Zone(load) => Content::Zone(load.truncated()),
            Content::Fleet(load, placer) => Content::Fleet(load.truncated(), placer),
        };
        Message {
            zone: from.zone,
            capacity: from.capacity,
            revision: Revision::default(),
            members: members.into_iter().take(max_members).collect(),
            content,
        }
    }

    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("numbers and addresses always serialise")
    }

    /// Decodes a message; `None` if the bytes aren't a valid message.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        postcard::from_bytes(bytes).ok()
    }
}
