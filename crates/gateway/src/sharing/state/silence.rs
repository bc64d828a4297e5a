//! Which instances are questioned because they are silent, and what becomes of those that are gone.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crocushold_base::Millis;

use super::Gossip;
use crate::sharing::loads::IDLE_SILENCE;
use crate::sharing::loads::ReceivedLoad;

/// How long a collector may be silent before it is questioned, if another one appears in its zone.
const DOUBLED_SILENCE: Millis = Millis(150);

/// Maximum number of instances that are questioned in a round: the zones of the largest deployment.
const MAX_QUESTIONED: usize = 24;

impl Gossip {
    /// The instances to be questioned whether their processes run: the collector, and those of other
    /// zones, that are silent. While others take this instance or another one for the collector, they
    /// may know that it is gone.
    ///
    /// A process that is paused, or has little processor time, is silent as well, and stays what it
    /// is: only one that is found not to run is passed to [`Gossip::record_gone`].
    pub fn silent_peers(&self, now: Millis) -> Vec<SocketAddr> {
        let mut silent = Vec::new();
        if let Some((collector, since)) = self.collector {
            let received = self.fleet.as_ref();
            let last = received.map_or(Millis::ZERO, |fleet| fleet.received_at);
            let longest = received.map_or(IDLE_SILENCE, ReceivedLoad::longest_silence);
            if now.since(last.max(since)) > longest || !self.reports.is_empty() {
                silent.push(collector);
            }
        }
        let mut senders: BTreeMap<u32, usize> = BTreeMap::new();
        for (zone, _) in self.zones.values() {
            *senders.entry(*zone).or_default() += 1;
        }
        for (address, (zone, received)) in &self.zones {
            let longest = if senders[zone] > 1 {
                DOUBLED_SILENCE
            } else {
                received.longest_silence()
            };
            if now.since(received.received_at) > longest {
                silent.push(*address);
            }
        }
        silent.truncate(MAX_QUESTIONED);
        silent
    }

    /// Records that no process runs at the address of an instance. Returns whether that is news. If it
    /// was a collector, another one is found as after a start.
    pub fn record_gone(&mut self, address: SocketAddr, now: Millis) -> bool {
        if !self.members.record_gone(&address, now) {
            return false;
        }
        self.reports.remove(&address);
        let was_used = self.zones.remove(&address).is_some();
        if was_used || self.collector() == Some(address) || self.placer == Some(address) {
            self.joining.rejoin(now);
            self.choose_collector(now);
        }
        true
    }
}
