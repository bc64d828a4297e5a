//! Whom to tell of requests under which servers end.

use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_routing::Quarantine;

use super::message::Content;
use super::message::Message;
use super::state::Gossip;
use crate::placement::Packet;

/// What goes out beside the `messages` of a round: what is new, to some of the instances, and all of it to those that
/// asked for names.
///
/// Whoever hears news tells them on, so that they reach nearly all within a second; it may miss one. Each instance asks
/// another one for names every second, and is told what it missed. So is one that has just started.
pub fn suspicion_packets(
    quarantine: &mut Quarantine,
    sharing: &Gossip,
    messages: &[(SocketAddr, Message)],
    now: Millis,
) -> Vec<(SocketAddr, Packet)> {
    let mut packets = Vec::new();
    let news = quarantine.news(now);
    if !news.is_empty() {
        let targets = sharing.gossip_targets().into_iter();
        packets.extend(targets.map(|to| (to, Packet::Suspicions(news.clone()))));
    }
    let askers = messages
        .iter()
        .filter(|(_, message)| matches!(message.content, Content::Members));
    for (asker, _) in askers {
        let known = quarantine.known(now);
        if !known.is_empty() {
            packets.push((*asker, Packet::Suspicions(known)));
        }
    }
    packets
}
