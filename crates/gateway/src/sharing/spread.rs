//! Distribution of what all instances must know soon.

use std::net::SocketAddr;

use super::state::Gossip;
use crate::placing::Packet;

/// Returns the packets to send beside the messages of a round: `news` to some of the instances,
/// and what `known` returns to the instances that asked for members.
///
/// Receivers forward what is new to them, so that it reaches nearly all instances within a second,
/// but an instance may be missed. Each instance also asks another one for members every second and
/// receives what it missed. This includes instances that have just started.
pub(super) fn spread(
    gossip: &Gossip,
    news: Option<Packet>,
    known: impl FnOnce() -> Option<Packet>,
) -> Vec<(SocketAddr, Packet)> {
    let mut packets = Vec::new();
    if let Some(news) = news {
        let targets = gossip.gossip_targets().into_iter();
        packets.extend(targets.map(|to| (to, news.clone())));
    }
    let requesters = gossip.greeted();
    if !requesters.is_empty()
        && let Some(known) = known()
    {
        packets.extend(requesters.iter().map(|to| (*to, known.clone())));
    }
    packets
}

/// The packet for a list, unless there is nothing to send.
pub(super) fn packet<T>(list: Vec<T>, kind: impl FnOnce(Vec<T>) -> Packet) -> Option<Packet> {
    (!list.is_empty()).then(|| kind(list))
}
