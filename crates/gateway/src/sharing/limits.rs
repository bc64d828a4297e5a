//! Distribution of the limits that servers name.

use std::net::SocketAddr;

use crocushold_base::Millis;

use super::message::Content;
use super::message::Message;
use super::state::Gossip;
use crate::fleet::Fleet;
use crate::placing::Packet;

/// Returns the limits to send beside the `messages` of a round: new ones to the placer and to some
/// of the instances, those that answers still name to the placer now and then, and all known ones
/// to the instances that asked for members.
///
/// Only the placer must know a limit, and a lost message must not keep it from doing so. The other
/// instances need it in case one of them becomes the placer.
pub fn limit_packets(
    fleet: &mut Fleet,
    gossip: &Gossip,
    messages: &[(SocketAddr, Message)],
    now: Millis,
) -> Vec<(SocketAddr, Packet)> {
    let mut packets = Vec::new();
    let mut send = |to: SocketAddr, limits: Vec<_>| {
        if !limits.is_empty() {
            packets.push((to, Packet::Limits(limits)));
        }
    };
    let placer = gossip.other_placer(now);
    let unsent = fleet.take_unsent_limits(now);
    for target in gossip.gossip_targets().into_iter().chain(placer) {
        send(target, unsent.clone());
    }
    if let Some(placer) = placer.filter(|_| gossip.is_keepalive_round()) {
        send(placer, fleet.seen_limits(now));
    }
    let requesters = messages
        .iter()
        .filter(|(_, message)| matches!(message.content, Content::Members));
    for (requester, _) in requesters {
        send(*requester, fleet.known_limits(now));
    }
    packets
}
