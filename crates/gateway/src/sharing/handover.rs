//! What instances that stayed up tell those that have just started: which requests and prompt parts were served
//! of late, and how fast servers are.
//!
//! A server that ends makes suspects of all that ran there, and what was served of late clears them. An
//! instance without that memory would refuse what hundreds of callers send. One that has just started asks
//! the others; what an instance has just begun to serve repeatedly it tells some of them unasked, so that
//! the memory outlives the instances that served it.
//!
//! Without the speeds of servers, a new placer gives a slow one as much work as a fast one until it has heard of
//! an answer from each. They are asked for once the servers are known.

use std::collections::HashSet;
use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_routing::Quarantine;
use crocushold_routing::ServedContent;
use crocushold_routing::SuspectKind;

use super::shell::ROUND;
use super::spread::packet;
use super::state::Gossip;
use crate::fleet::Fleet;
use crate::fleet::ServerPace;
use crate::placing::Packet;

#[cfg(test)]
mod tests;

/// Number of gossip rounds in which a starting instance asks: some seconds, as those that know may be paused.
const ROUNDS: u32 = 30;

/// Number of instances whose answers are enough.
const ANSWERS: usize = 3;

/// Maximum number of contents of a kind in one datagram, and in an answer.
const CONTENTS_PER_PACKET: usize = 50;
const CONTENTS: usize = 4 * CONTENTS_PER_PACKET;

/// Maximum number of contents of a kind, of 20 bytes each, that one other instance is told unasked in a round.
const NEWS_PER_ROUND: usize = 2;

/// Maximum number of servers in one datagram, of eight bytes each.
const PACES_PER_PACKET: usize = 150;

/// Number of instances whose speeds are enough: the placer's, which has heard most, and those of another one, if
/// the placer has just started as well.
const PACE_ANSWERS: usize = 2;

/// Maximum number of starting instances that are told speeds in a round: with five kilobytes each, a third of a link
/// of 10 Mbit/s. The others ask again.
const PACE_ANSWERS_PER_ROUND: usize = 8;

/// The questions of a starting instance, and how many of others are still answered in this round.
#[derive(Debug)]
pub(super) struct Handover {
    rounds_left: u32,
    answered: HashSet<SocketAddr>,
    pace_rounds_left: u32,
    told_paces: HashSet<SocketAddr>,
    pace_answers_left: usize,
    /// What those that ask in this round are told. It takes a look at each server.
    pace_answer: Option<Vec<Packet>>,
}

impl Default for Handover {
    fn default() -> Handover {
        Handover {
            rounds_left: ROUNDS,
            answered: HashSet::new(),
            pace_rounds_left: ROUNDS,
            told_paces: HashSet::new(),
            pace_answers_left: PACE_ANSWERS_PER_ROUND,
            pace_answer: None,
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

    /// The instances to ask for the speeds of servers in this round, once this instance knows the servers: the
    /// placer, and another one.
    pub(super) fn pace_targets(&mut self, gossip: &Gossip, now: Millis) -> Vec<SocketAddr> {
        self.pace_answers_left = PACE_ANSWERS_PER_ROUND;
        self.pace_answer = None;
        if !self.asks_for_paces() {
            return Vec::new();
        }
        self.pace_rounds_left -= 1;
        let other = gossip.member_in_turn();
        let mut targets: Vec<SocketAddr> =
            gossip.other_placer(now).into_iter().chain(other).collect();
        targets.retain(|target| !self.told_paces.contains(target));
        targets.dedup();
        targets
    }

    /// Records that an instance told its speeds.
    pub(super) fn record_paces(&mut self, from: SocketAddr) {
        self.told_paces.insert(from);
    }

    fn asks_for_paces(&self) -> bool {
        self.pace_rounds_left > 0 && self.told_paces.len() < PACE_ANSWERS
    }

    /// The answer to an instance that asks for the speeds of servers. It is empty if too many ask in this round, and
    /// while this instance asks itself.
    pub(super) fn answer_paces(&mut self, fleet: &Fleet) -> Vec<Packet> {
        if self.pace_answers_left == 0 || self.asks_for_paces() {
            return Vec::new();
        }
        self.pace_answers_left -= 1;
        let answer = self
            .pace_answer
            .get_or_insert_with(|| pace_packets(&fleet.unusual_paces()));
        answer.clone()
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

/// Returns the packets with the speeds of servers. There is one also if no server is unusual, as an answer.
fn pace_packets(paces: &[ServerPace]) -> Vec<Packet> {
    if paces.is_empty() {
        return vec![Packet::Paces(Vec::new())];
    }
    let chunks = paces.chunks(PACES_PER_PACKET);
    chunks.map(|chunk| Packet::Paces(chunk.to_vec())).collect()
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
