//! Distribution of suspicions about requests under which servers end.

use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_routing::Quarantine;

use super::message::Content;
use super::message::Message;
use super::state::Gossip;
use crate::placing::Packet;

/// Returns the suspicions to send beside the `messages` of a round: new ones to some of the
/// instances, and all known ones to the instances that asked for members.
///
/// Receivers forward new suspicions, so that they reach nearly all instances within a second, but
/// an instance may be missed. Each instance also asks another one for members every second and
/// receives what it missed. This includes instances that have just started.
pub fn suspicion_packets(
    quarantine: &mut Quarantine,
    gossip: &Gossip,
    messages: &[(SocketAddr, Message)],
    now: Millis,
) -> Vec<(SocketAddr, Packet)> {
    let mut packets = Vec::new();
    let updates = quarantine.unsent_suspicions(now);
    if !updates.is_empty() {
        let targets = gossip.gossip_targets().into_iter();
        packets.extend(targets.map(|to| (to, Packet::Suspicions(updates.clone()))));
    }
    let requesters = messages
        .iter()
        .filter(|(_, message)| matches!(message.content, Content::Members));
    for (requester, _) in requesters {
        let known = quarantine.all_suspicions(now);
        if !known.is_empty() {
            packets.push((*requester, Packet::Suspicions(known)));
        }
    }
    packets
}
