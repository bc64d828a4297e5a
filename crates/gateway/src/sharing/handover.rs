//! How instances share which requests and prompt parts were served of late.
//!
//! A server that ends makes suspects of all that ran there, and what was served of late clears them. An
//! instance without that memory would refuse what hundreds of callers send. One that has just started asks
//! the others; what an instance has just begun to serve repeatedly it tells some of them unasked, so that
//! the memory outlives the instances that served it.

use std::collections::HashSet;
use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_routing::Quarantine;
use crocushold_routing::ServedContent;
use crocushold_routing::SuspectKind;

use super::shell::ROUND;
use super::spread::packet;
use super::state::Gossip;
use crate::placing::Packet;

/// Number of gossip rounds in which a starting instance asks: some seconds, as those that know may be paused.
const ROUNDS: u32 = 30;

/// Number of instances whose answers are enough.
const ANSWERS: usize = 3;

/// Maximum number of contents of a kind in one datagram, and in an answer.
const CONTENTS_PER_PACKET: usize = 50;
const CONTENTS: usize = 4 * CONTENTS_PER_PACKET;

/// Maximum number of contents of a kind, of 20 bytes each, that one other instance is told unasked in a round.
const NEWS_PER_ROUND: usize = 2;

/// The questions of a starting instance.
#[derive(Debug)]
pub(super) struct Handover {
    rounds_left: u32,
    answered: HashSet<SocketAddr>,
}

impl Default for Handover {
    fn default() -> Handover {
        Handover {
            rounds_left: ROUNDS,
            answered: HashSet::new(),
        }
    }
}

impl Handover {
    /// How long an instance asks.
    pub(super) const DURATION: Millis = Millis(ROUNDS as u64 * ROUND.0);

    /// The instances to ask in this round: some of the members, or the seeds while no member is known.
    pub(super) fn targets(&mut self, gossip: &Gossip) -> Vec<SocketAddr> {
        if self.rounds_left == 0 || self.answered.len() >= ANSWERS {
            return Vec::new();
        }
        self.rounds_left -= 1;
        let mut targets = gossip.gossip_targets();
        if targets.is_empty() {
            targets = gossip.seeds().to_vec();
        }
        targets.retain(|target| !self.answered.contains(target));
        targets
    }

    /// Records an answer.
    pub(super) fn record_answer(&mut self, from: SocketAddr) {
        self.answered.insert(from);
    }
}

/// Returns the answer to an instance that has just started. It is empty if this instance knows nothing, so
/// that another one is asked. What an instance knows that has just started itself is no answer: it may lack
/// nearly all that was served before.
pub(super) fn served_packets(quarantine: &Quarantine, now: Millis) -> Vec<Packet> {
    type ToPacket = fn(Vec<ServedContent>) -> Packet;
    let to_packets: [ToPacket; 2] = if quarantine.is_recalling(now) {
        [Packet::NewlyServed, Packet::NewlySoundParts]
    } else {
        [Packet::Served, Packet::SoundParts]
    };
    let packets = |kind, to_packet: ToPacket| {
        let contents = quarantine.recently_served(kind, CONTENTS, now);
        let chunks = contents.chunks(CONTENTS_PER_PACKET);
        let packets: Vec<Packet> = chunks.map(|chunk| to_packet(chunk.to_vec())).collect();
        packets
    };
    let mut all = packets(SuspectKind::Request, to_packets[0]);
    all.extend(packets(SuspectKind::Part, to_packets[1]));
    all
}

/// Returns what this instance has just served repeatedly, for one of the others. It is kept while there is
/// no other instance.
pub(super) fn newly_served_packets(
    quarantine: &mut Quarantine,
    gossip: &Gossip,
    now: Millis,
) -> Vec<(SocketAddr, Packet)> {
    let Some(target) = gossip.member_in_turn() else {
        return Vec::new();
    };
    let mut news = |kind| quarantine.take_untold_served(kind, NEWS_PER_ROUND, now);
    let packets = [
        packet(news(SuspectKind::Request), Packet::NewlyServed),
        packet(news(SuspectKind::Part), Packet::NewlySoundParts),
    ];
    let packets = packets.into_iter().flatten();
    packets.map(|packet| (target, packet)).collect()
}
