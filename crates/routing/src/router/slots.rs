//! Tracking of free slots. Each change of a server's limit or attempts ends with `update_slots`.

use std::cmp::Reverse;

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use rand::RngExt;

use crate::health::Fault;
use crate::health::Health;
use crate::pool::OpenServer;
use crate::router::Router;

impl Router {
    /// Updates the pools' counts to the server's free slots, in time linear in its number of
    /// models.
    pub(super) fn update_slots(&mut self, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let next = server.slot_counts();
        let was = std::mem::replace(&mut server.pool_counts, next);
        if next == was {
            return;
        }
        for member in 0..server.members.len() {
            let pool = self.servers[key].members[member].pool;
            let counts = &mut self.pools[pool];
            counts.free = counts.free + next.free as usize - was.free as usize;
            counts.usable = counts.usable + usize::from(next.usable) - usize::from(was.usable);
            if was.free == 0 && next.free > 0 {
                self.open(key, member);
            } else if was.free > 0 && next.free == 0 {
                self.close(key, member);
            }
        }
    }

    fn open(&mut self, key: ServerKey, member: usize) {
        let place = &mut self.servers[key].members[member];
        let open = &mut self.pools[place.pool].open;
        place.open = Some(open.len());
        open.push(OpenServer {
            server: key,
            member,
        });
    }

    fn close(&mut self, key: ServerKey, member: usize) {
        let place = &mut self.servers[key].members[member];
        let Some(at) = place.open.take() else {
            return;
        };
        let open = &mut self.pools[place.pool].open;
        open.swap_remove(at);
        if let Some(&moved) = open.get(at) {
            self.servers[moved.server].members[moved.member].open = Some(at);
        }
    }

    /// Recomputes the counts of all servers after changes to many of them.
    pub(super) fn recount(&mut self, now: Millis) {
        let present = self.servers.values().filter(|s| s.departure.is_none());
        self.present = present.clone().count();
        self.ejected = present.clone().filter(|s| s.health.is_ejected()).count();
        self.suspects = present.filter(|s| s.health.is_suspect()).count();
        self.release_excess();
        let keys: Vec<ServerKey> = self.servers.keys().collect();
        for key in keys {
            self.update_slots(key);
        }
        self.tick(now);
    }

    /// Returns the maximum number of servers ejected on suspicion.
    pub(super) fn max_ejected_servers(&self) -> usize {
        let share = (self.present as f64 * self.settings.health.max_ejected) as usize;
        let least = usize::from(self.present >= 2);
        share.max(least)
    }

    /// Returns ejected servers when the maximum dropped below their number. With fewer servers
    /// left, each one matters more.
    fn release_excess(&mut self) {
        let excess = self.ejected.saturating_sub(self.max_ejected_servers());
        let ejected = self
            .servers
            .values_mut()
            .filter(|s| s.departure.is_none() && s.health.is_ejected());
        for server in ejected.take(excess) {
            server.health.start_recovery();
        }
        self.ejected -= excess;
    }

    /// Changes a server's health and updates all dependent counts.
    pub(super) fn change_health(
        &mut self,
        key: ServerKey,
        change: impl FnOnce(&mut crate::health::Health),
    ) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let before = server.health;
        change(&mut server.health);
        let after = server.health;
        if server.departure.is_none() {
            self.ejected =
                self.ejected + usize::from(after.is_ejected()) - usize::from(before.is_ejected());
            self.suspects =
                self.suspects + usize::from(after.is_suspect()) - usize::from(before.is_suspect());
        }
        self.update_slots(key);
    }

    /// Ejects a server, unless the cause is common to many servers or too many are ejected already.
    ///
    /// When over half of the servers are suspect at once, they have a common cause: overload, or
    /// this instance's own network. Ejecting any of them would move its load to the others.
    pub(super) fn eject(&mut self, key: ServerKey, fault: Fault, now: Millis) {
        // Attempts that were in flight at the ejection aren't new evidence. If they counted, a
        // crash with ten connections would start at the maximum backoff.
        if self.servers.get(key).is_none_or(|s| s.health.is_out()) {
            return;
        }
        let common = self.suspects * 2 > self.present;
        let suspicion = fault != Fault::Refused;
        if suspicion && (common || self.ejected >= self.max_ejected_servers()) {
            return;
        }
        let jitter = self.rng.random::<f64>();
        let settings = self.settings.health.clone();
        let mut until = now;
        self.change_health(key, |health| {
            until = health.eject(fault, &settings, jitter, now);
        });
        self.timers.push(Reverse((until, key)));
    }

    /// Forgets the failures that were counted against a server, as they had another cause.
    pub fn pardon(&mut self, server: ServerKey) {
        self.change_health(server, |health| *health = Health::default());
    }

    /// Runs a server's expired timer.
    pub(super) fn expire(&mut self, key: ServerKey, now: Millis) {
        let settings = self.settings.health.clone();
        let mut next = None;
        self.change_health(key, |health| next = health.expire(&settings, now));
        if let Some(due) = next {
            self.timers.push(Reverse((due, key)));
        }
    }
}
