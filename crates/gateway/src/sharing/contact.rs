//! Questions to other instances whether they kept their contact to the registry.
//!
//! An instance asks after it has regained its own contact, until one confirms it or the grace period
//! of missing entries is over.

use std::net::SocketAddr;

use crocushold_base::Millis;

use super::state::Gossip;
use crate::directory::Directory;
use crate::placing::Packet;

/// Returns the question to send in this round, if any.
///
/// One member per round is enough: if half of the instances had lost their contact as well, an
/// answer takes two rounds on average. After an outage for all, every instance asks at the same
/// time.
pub fn contact_query(
    directory: &Directory,
    gossip: &Gossip,
    now: Millis,
) -> Option<(SocketAddr, Packet)> {
    if !directory.needs_confirmation(now) {
        return None;
    }
    let target = gossip.gossip_targets().into_iter().next()?;
    Some((target, Packet::ContactQuery))
}

/// Returns the answer to a question; `None` while this instance has no contact itself.
pub fn contact_answer(directory: &Directory, now: Millis) -> Option<Packet> {
    directory.contact_age(now).map(Packet::Contact)
}
