//! Free slots: each change of a server's limit or attempts ends in `settle`.

use std::cmp::Reverse;

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use rand::RngExt;

use crate::health::Fault;
use crate::pool::Open;
use crate::router::Router;

impl Router {
    /// Brings the pools' counts in line with the server's free slots. Costs its number of models.
    pub(super) fn settle(&mut self, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let next = server.count();
        let was = std::mem::replace(&mut server.counted, next);
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
        open.push(Open {
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

    /// Counts over all servers; after changes to many of them.
    pub(super) fn recount(&mut self, now: Millis) {
        let present = self.servers.values().filter(|s| s.departure.is_none());
        self.present = present.clone().count();
        self.ejected = present.clone().filter(|s| s.health.ejected()).count();
        self.suspects = present.filter(|s| s.health.suspect()).count();
        self.release_excess();
        let keys: Vec<ServerKey> = self.servers.keys().collect();
        for key in keys {
            self.settle(key);
        }
        self.tick(now);
    }

    /// The most servers that may be out on suspicion.
    pub(super) fn ceiling(&self) -> usize {
        let share = (self.present as f64 * self.settings.health.max_ejected) as usize;
        let least = usize::from(self.present >= 2);
        share.max(least)
    }

    /// Lets servers back when the ceiling sank below what is ejected: fewer are left, so each
    /// matters more.
    fn release_excess(&mut self) {
        let excess = self.ejected.saturating_sub(self.ceiling());
        let ejected = self
            .servers
            .values_mut()
            .filter(|s| s.departure.is_none() && s.health.ejected());
        for server in ejected.take(excess) {
            server.health.probe();
        }
        self.ejected -= excess;
    }

    /// Changes a server's health, and every count that hangs on it.
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
                self.ejected + usize::from(after.ejected()) - usize::from(before.ejected());
            self.suspects =
                self.suspects + usize::from(after.suspect()) - usize::from(before.suspect());
        }
        self.settle(key);
    }

    /// Takes a server out on suspicion, unless the fault isn't its own or too many are out.
    ///
    /// When over half of the servers are under suspicion at once, the cause is common to them:
    /// overload, or this instance's own network. Ejecting any would push its work onto the rest.
    pub(super) fn eject(&mut self, key: ServerKey, fault: Fault, now: Millis) {
        // Attempts that were under way when the server went out tell nothing new; counted, a crash
        // with ten connections would start at the longest backoff.
        if self.servers.get(key).is_none_or(|s| s.health.is_out()) {
            return;
        }
        let common = self.suspects * 2 > self.present;
        let suspicion = fault != Fault::Refused;
        if suspicion && (common || self.ejected >= self.ceiling()) {
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

    /// Runs a server's timer out.
    pub(super) fn expire(&mut self, key: ServerKey, now: Millis) {
        let settings = self.settings.health.clone();
        let mut next = None;
        self.change_health(key, |health| next = health.expire(&settings, now));
        if let Some(due) = next {
            self.timers.push(Reverse((due, key)));
        }
    }
}
