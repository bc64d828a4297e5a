//! Distribution of suspicions about requests under which servers end.

use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_routing::Quarantine;

use super::message::Message;
use super::spread::packet;
use super::spread::spread;
use super::state::Gossip;
use crate::placing::Packet;

/// Returns the suspicions to send beside the `messages` of a round: new ones to some of the
/// instances, and all known ones to the instances that asked for members.
pub fn suspicion_packets(
    quarantine: &mut Quarantine,
    gossip: &Gossip,
    messages: &[(SocketAddr, Message)],
    now: Millis,
) -> Vec<(SocketAddr, Packet)> {
    let news = packet(quarantine.unsent_suspicions(now), Packet::Suspicions);
    let known = || packet(quarantine.all_suspicions(now), Packet::Suspicions);
    spread(gossip, messages, news, known)
}
