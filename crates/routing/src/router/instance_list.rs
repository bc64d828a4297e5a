//! The instance list, and how long it may be acted on.

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

/// Whether the current instance list may be acted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Freshness {
    /// No list was ever provided; the servers come from the configuration alone.
    NoList,
    /// A read ended at this time, with or without a list.
    Read { at: Millis },
    /// The lease was found expired at this time; picks wait for a read.
    AwaitingRead { since: Millis },
    /// No read ended within the grace period; servers are tried with one request at a time.
    Probing,
}

impl Router {
    /// Applies a snapshot of the instance list.
    ///
    /// A server listed as leaving gets no new requests from now on. A server that vanished from a
    /// valid list counts as leaving too. A list that is empty or lacks over half of the servers is
    /// suspect, because the list lags and can be empty by mistake, and acting on it would cause an
    /// outage of a service without any other fault. If the servers are really gone, they refuse
    /// connections.
    pub fn instance_list(&mut self, list: &ListSnapshot, now: Millis) -> ListVerdict {
        let expired = !self.lease_valid(now);
        self.detect_suspension(now);
        if list.revision < self.revision && !self.revisions_restarted(now) {
            self.list_unavailable(now);
            return ListVerdict::Outdated;
        }
        self.outdated_since = None;
        self.revision = list.revision;
        let verdict = self.apply_list(list);
        if expired && verdict == ListVerdict::Suspect {
            self.limit_to_probes();
        }
        self.freshness = Freshness::Read { at: now };
        self.recount(now);
        verdict
    }

    /// Returns true if the revisions have been lower than one already seen for so long that the
    /// list service must have restarted its count. If they were accepted earlier, a lagging replica
    /// would undo a leave.
    fn revisions_restarted(&mut self, now: Millis) -> bool {
        let since = *self.outdated_since.get_or_insert(now);
        now.since(since) >= self.settings.list_reset
    }

    /// Reports that a read of the instance list ended without a list.
    ///
    /// While the process was running, the last list remains in force however long the list service
    /// is down. After the process was suspended, the list is older than its lease, and servers are
    /// then tried with one request at a time.
    pub fn list_unavailable(&mut self, now: Millis) {
        self.detect_suspension(now);
        if !self.lease_valid(now) {
            self.limit_to_probes();
        }
        self.renew_lease(now);
        self.recount(now);
    }

    /// Refuses a pick while the lease of the current list is expired.
    ///
    /// A process that was suspended for a minute would otherwise send requests to servers that have
    /// shut down since or whose address has another owner. Waiting for the next read, at most a
    /// second, costs less than either. If no read ends within the grace period, careful probing is
    /// better than refusing everything.
    pub(super) fn check_lease(&mut self, now: Millis) -> Result<(), NoServer> {
        if self.lease_valid(now) || self.freshness == Freshness::Probing {
            return Ok(());
        }
        let since = match self.freshness {
            Freshness::AwaitingRead { since } => since,
            _ => now,
        };
        self.freshness = Freshness::AwaitingRead { since };
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
        self.limit_to_probes();
        self.freshness = Freshness::Probing;
        self.recount(now);
        Ok(())
    }

    /// Detects a gap between two calls, which means that the process was suspended.
    ///
    /// Timeouts that expire then aren't evidence against the servers, since their answers may be
    /// unread in the socket buffers. Without this, a resumed process ejects every server that it
    /// was waiting for.
    pub(super) fn detect_suspension(&mut self, now: Millis) {
        if self.last_call != Millis::ZERO && now.since(self.last_call) > self.settings.wake_gap {
            self.resumed_at = now;
        }
        self.last_call = self.last_call.max(now);
    }

    fn lease_valid(&self, now: Millis) -> bool {
        match self.freshness {
            Freshness::NoList => true,
            Freshness::Read { at } => now.since(at) <= self.settings.list_lease,
            Freshness::AwaitingRead { .. } | Freshness::Probing => false,
        }
    }

    fn renew_lease(&mut self, now: Millis) {
        if self.freshness != Freshness::NoList {
            self.freshness = Freshness::Read { at: now };
        }
    }

    /// Limits every server to one request at a time until it has answered one.
    fn limit_to_probes(&mut self) {
        for server in self.servers.values_mut() {
            if !server.health.is_out() {
                server.health.start_recovery();
            }
        }
    }

    fn apply_list(&mut self, list: &ListSnapshot) -> ListVerdict {
        let mut named: SecondaryMap<ServerKey, Presence> = SecondaryMap::new();
        for listed in &list.servers {
            named.insert(listed.server, listed.presence);
        }
        let verdict = self.assess_list(&named);
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
                    // It was restarted at its old address, so it is cold and gets its share
                    // gradually.
                    server.departure = None;
                    server.health.start_recovery();
                    server.cursor.restart();
                }
                (Some(Presence::Live), _) => server.departure = None,
            }
        }
        verdict
    }

    /// Assesses a list by the servers that it lacks. A server listed as leaving isn't lacking.
    fn assess_list(&self, named: &SecondaryMap<ServerKey, Presence>) -> ListVerdict {
        let present = self.servers.iter().filter(|(_, s)| s.departure.is_none());
        let lacking = present.filter(|(key, _)| !named.contains_key(*key)).count();
        if named.is_empty() || lacking * 2 > self.present {
            ListVerdict::Suspect
        } else {
            ListVerdict::Accepted
        }
    }
}
