//! Distribution of what servers say about the requests that they accept.

use std::net::SocketAddr;

use crocushold_base::Millis;

use super::spread::packet;
use super::spread::spread;
use super::state::Gossip;
use crate::fleet::Fleet;
use crate::placing::Packet;

/// Returns the departures, limits and brittle services to send beside the messages of a round: new
/// departures and limits to the placer and to some of the instances, what answers still name to the
/// placer now and then, and all known departures and limits to the instances that asked for members.
///
/// A limit must be known to the placer, and a lost message must not keep it from that. The other
/// instances need it in case one of them becomes the placer. A departure concerns all instances;
/// the placer would choose the server for many of them.
pub(super) fn notice_packets(
    fleet: &mut Fleet,
    gossip: &Gossip,
    now: Millis,
) -> Vec<(SocketAddr, Packet)> {
    let placer = gossip.other_placer(now);
    let limits = packet(fleet.take_unsent_limits(now), Packet::Limits);
    let departures = packet(fleet.take_unsent_departures(now), Packet::Departures);
    let seen = placer.filter(|_| gossip.is_keepalive_round());
    let seen = seen.and_then(|_| packet(fleet.seen_limits(now), Packet::Limits));
    let brittle = gossip.is_keepalive_round().then(|| fleet.seen_brittle(now));
    let brittle = brittle.and_then(|known| packet(known, Packet::Brittle));
    let for_placer = [&limits, &departures, &seen, &brittle]
        .into_iter()
        .flatten();
    let mut packets: Vec<(SocketAddr, Packet)> = for_placer
        .filter_map(|packet| placer.map(|placer| (placer, packet.clone())))
        .collect();
    let known = || packet(fleet.known_limits(now), Packet::Limits);
    packets.extend(spread(gossip, limits, known));
    let known = || packet(fleet.known_departures(now), Packet::Departures);
    packets.extend(spread(gossip, departures, known));
    packets.extend(cold_phases(fleet, gossip, now));
    packets
}

/// Returns the cold phases to send: those of which others may know an earlier end, and answer so. They
/// count as sent, so they are kept while there is nobody to send them to.
fn cold_phases(fleet: &mut Fleet, gossip: &Gossip, now: Millis) -> Vec<(SocketAddr, Packet)> {
    let targets = gossip.gossip_targets();
    if targets.is_empty() {
        return Vec::new();
    }
    let packet = packet(fleet.take_untold_cold(now), Packet::ColdPhases);
    let packets = targets.into_iter().zip(packet.into_iter().cycle());
    packets.collect()
}
