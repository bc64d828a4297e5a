//! The instance list, and how far what is known may still be acted on.

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use slotmap::SecondaryMap;

use crate::list::ListSnapshot;
use crate::list::ListVerdict;
use crate::list::Presence;
use crate::router::NoServer;
use crate::router::Reason;
use crate::router::Router;
use crate::server::Departure;

/// How far the held instance list may be acted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Freshness {
    /// No list was ever given: the servers come from the configuration alone.
    Untold,
    /// A read ended then, with a list or without.
    Read { at: Millis },
    /// The lease was found expired then; picks wait for a read.
    Waiting { since: Millis },
    /// No read ended in the grace; servers are tried one request at a time.
    Trying,
}

impl Router {
    /// Takes in a reading of the instance list.
    ///
    /// A server that it calls leaving gets no new work from now on. One that vanished from a sane
    /// list counts as leaving too. An empty list, or one that lacks over half of the servers, is
    /// suspect: the list lags and can be empty, and a service that stops at an empty list has no
    /// other fault. If the servers really are gone, their refused connections say so.
    pub fn instance_list(&mut self, list: &ListSnapshot, now: Millis) -> ListVerdict {
        let lapsed = !self.held(now);
        self.notice_gap(now);
        if list.revision < self.revision && !self.restarted(now) {
            self.list_unavailable(now);
            return ListVerdict::Outdated;
        }
        self.outdated = None;
        self.revision = list.revision;
        let verdict = self.apply(list);
        if lapsed && verdict == ListVerdict::Suspect {
            self.distrust();
        }
        self.freshness = Freshness::Read { at: now };
        self.recount(now);
        verdict
    }

    /// True when the revisions have been lower than one already seen for so long that the service
    /// must have restarted its count. Before, a replica that lags would undo a leaving.
    fn restarted(&mut self, now: Millis) -> bool {
        let since = *self.outdated.get_or_insert(now);
        now.since(since) >= self.settings.list_reset
    }

    /// Says that a read of the instance list ended without one.
    ///
    /// While the process was awake, the list held last stays in force however long the service is
    /// down. After a late wake it is older than its lease: servers are then tried one request at a
    /// time.
    pub fn list_unavailable(&mut self, now: Millis) {
        self.notice_gap(now);
        if !self.held(now) {
            self.distrust();
        }
        self.renew(now);
        self.recount(now);
    }

    /// Refuses a pick while the held list is past its lease.
    ///
    /// The failure: a process stopped for a minute wakes and sends requests to servers that have
    /// shut down since, or whose address has another owner. Waiting for the next read, which is a
    /// second away at most, is cheaper than either; when no read ends within the grace, carefully
    /// trying beats refusing all.
    pub(super) fn check_fresh(&mut self, now: Millis) -> Result<(), NoServer> {
        if self.held(now) || self.freshness == Freshness::Trying {
            return Ok(());
        }
        let since = match self.freshness {
            Freshness::Waiting { since } => since,
            _ => now,
        };
        self.freshness = Freshness::Waiting { since };
        let waited = now.since(since);
        let grace = self.settings.wake_grace;
        if waited < grace {
            let reason = Reason::Stale;
            let retry_after = grace.since(waited);
            return Err(NoServer {
                reason,
                retry_after,
            });
        }
        self.distrust();
        self.freshness = Freshness::Trying;
        self.recount(now);
        Ok(())
    }

    /// Notes a gap between two calls, which means that the process was stopped.
    ///
    /// Time-outs that end then say nothing about the servers: their answers may lie unread in the
    /// sockets' buffers. Without this, a process that wakes ejects every server it was waiting for.
    pub(super) fn notice_gap(&mut self, now: Millis) {
        if self.called != Millis::ZERO && now.since(self.called) > self.settings.wake_gap {
            self.woke = now;
        }
        self.called = self.called.max(now);
    }

    fn held(&self, now: Millis) -> bool {
        match self.freshness {
            Freshness::Untold => true,
            Freshness::Read { at } => now.since(at) <= self.settings.list_lease,
            Freshness::Waiting { .. } | Freshness::Trying => false,
        }
    }

    fn renew(&mut self, now: Millis) {
        if self.freshness != Freshness::Untold {
            self.freshness = Freshness::Read { at: now };
        }
    }

    /// Limits every server to one request at a time until it has answered one.
    fn distrust(&mut self) {
        for server in self.servers.values_mut() {
            if !server.health.is_out() {
                server.health.probe();
            }
        }
    }

    fn apply(&mut self, list: &ListSnapshot) -> ListVerdict {
        let mut named: SecondaryMap<ServerKey, Presence> = SecondaryMap::new();
        for listed in &list.servers {
            named.insert(listed.server, listed.presence);
        }
        let verdict = self.judge(&named);
        if verdict == ListVerdict::Accepted {
            self.leaving.clear();
        }
        let leaving = list
            .servers
            .iter()
            .filter(|l| l.presence == Presence::Leaving);
        for listed in leaving {
            self.leaving.insert(listed.server, ());
        }
        for (key, server) in &mut self.servers {
            if server.departure == Some(Departure::Removed) {
                continue;
            }
            match (named.get(key), verdict) {
                (Some(Presence::Leaving), _) => server.departure = Some(Departure::Leaving),
                (_, ListVerdict::Suspect) => {}
                (None, _) => server.departure = Some(Departure::Vanished),
                (Some(Presence::Live), _) if server.departure == Some(Departure::Leaving) => {
                    // It was restarted under its old address: cold, so it gets its share slowly.
                    server.departure = None;
                    server.health.probe();
                    server.cursor.restart();
                }
                (Some(Presence::Live), _) => server.departure = None,
            }
        }
        verdict
    }

    /// A list is judged by what it lacks: a server that it calls leaving isn't lacking.
    fn judge(&self, named: &SecondaryMap<ServerKey, Presence>) -> ListVerdict {
        let present = self.servers.iter().filter(|(_, s)| s.departure.is_none());
        let lacking = present.filter(|(key, _)| !named.contains_key(*key)).count();
        if named.is_empty() || lacking * 2 > self.present {
            ListVerdict::Suspect
        } else {
            ListVerdict::Accepted
        }
    }
}
