//! Distribution of suspicions about requests and prompt parts under which servers end.

use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_routing::Quarantine;
use crocushold_routing::SuspectKind;
use crocushold_routing::Suspicion;

use super::spread::packet;
use super::spread::spread;
use super::state::Gossip;
use crate::placing::Packet;

/// The packet for the suspicions of each kind.
type ToPacket = fn(Vec<Suspicion>) -> Packet;
const PACKETS: [(SuspectKind, ToPacket); 2] = [
    (SuspectKind::Request, Packet::Suspicions),
    (SuspectKind::Part, Packet::PartSuspicions),
];

/// Returns the suspicions to send beside the messages of a round: new ones to some of the
/// instances, and all known ones to the instances that asked for members.
pub fn suspicion_packets(
    quarantine: &mut Quarantine,
    gossip: &Gossip,
    now: Millis,
) -> Vec<(SocketAddr, Packet)> {
    let mut packets = Vec::new();
    for (kind, to_packet) in PACKETS {
        // News count as sent, so they are kept while there is nobody to send them to.
        let news = if gossip.gossip_targets().is_empty() {
            None
        } else {
            packet(quarantine.unsent_suspicions(kind, now), to_packet)
        };
        let known = || packet(quarantine.all_suspicions(kind, now), to_packet);
        packets.extend(spread(gossip, news, known));
    }
    packets
}
