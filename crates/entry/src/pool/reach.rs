//! The servers given to the pool's router: those in reach of this instance.

use std::collections::HashMap;
use std::net::SocketAddr;

use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_base::ModelKey;
use crocushold_base::ServerKey;
use crocushold_routing::Allotment;
use crocushold_routing::EntryFleet;
use crocushold_routing::NoServer;
use crocushold_routing::Pick;
use crocushold_routing::Reason;
use crocushold_routing::ServerSpec;
use crocushold_routing::Shortage;
use log::info;

use super::Requirements;
use super::State;
use crate::polling::PollReason;

/// Attempts of a request that may fail within the subset before the next one is made outside it.
///
/// If all servers of the subset have just failed, no instance knows of it yet. Each request has
/// three attempts. If all of them were made within the subset, the first callers would be told that
/// no server could be reached, although most of the service is up.
const SUBSET_ATTEMPTS: usize = 2;

/// The configured servers of a service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerGroup {
    /// The servers, each with every model of the service.
    pub(crate) specs: Vec<ServerSpec>,
    /// Approximate number of servers that one instance should use.
    pub(crate) subset_size: usize,
    /// Whether some model is configured for some of the servers only.
    pub(crate) heterogeneous: bool,
}

impl State {
    /// Updates the configured servers.
    pub(crate) fn set_servers(&mut self, group: ServerGroup, now: Millis) {
        self.reach.set_servers(&group.specs, group.subset_size);
        self.servers = group.specs;
        self.heterogeneous = group.heterogeneous;
        self.configure_router(now);
    }

    /// Updates the live entry instances, which share the servers.
    pub(crate) fn set_fleet(&mut self, fleet: &EntryFleet, now: Millis) {
        if self.reach.set_fleet(fleet) {
            self.configure_router(now);
        }
    }

    /// Updates the models that a server holds. Until its first report, a server is assumed to hold
    /// all.
    pub(crate) fn set_loaded(&mut self, server: ServerKey, models: Vec<ModelKey>, now: Millis) {
        let same = self.loaded.get(&server) == Some(&models);
        if same || !self.in_reach().any(|key| key == server) {
            return;
        }
        self.loaded.insert(server, models);
        self.configure_router(now);
    }

    /// The servers in reach.
    pub(crate) fn in_reach(&self) -> impl Iterator<Item = ServerKey> {
        let allotted = self.reach.allotted().iter();
        allotted.map(|&(at, _)| self.servers[at].key)
    }

    /// The reason for polling a server in reach when there are too many to poll all of them
    /// frequently.
    pub(crate) fn poll_reason(&self, server: ServerKey) -> PollReason {
        let standing = self.router.standing(server);
        if standing.is_some_and(|standing| standing.borrowed) {
            PollReason::Borrowed
        } else if self.heterogeneous {
            PollReason::Heterogeneous
        } else {
            PollReason::Background
        }
    }

    fn configure_router(&mut self, now: Millis) {
        let allotted = self.reach.allotted().iter();
        let allotted: Vec<(ServerKey, Allotment)> = allotted
            .map(|&(at, allotment)| (self.servers[at].key, allotment))
            .collect();
        let reached = self.reach.allotted().iter();
        let mut specs: Vec<ServerSpec> = reached.map(|&(at, _)| self.servers[at].clone()).collect();
        // What a server held when it was last in reach says nothing about what it holds now.
        let mut loaded = HashMap::new();
        let covers_all_servers = self.reach.is_whole() && !self.reach.is_widened();
        let assume_all_models = !self.heterogeneous || covers_all_servers || self.loaded.is_empty();
        for spec in &mut specs {
            if let Some(models) = self.loaded.remove(&spec.key) {
                spec.models.clone_from(&models);
                loaded.insert(spec.key, models);
            } else if !assume_all_models {
                // The server has just come into reach and may lack the model; its callers would be
                // told that the model doesn't exist. It reports within a second, and others serve
                // until then.
                spec.models.clear();
            }
        }
        self.loaded = loaded;
        self.router.allot(&allotted);
        self.router.configure(&specs, now);
    }

    /// Widens the reach when a request has no server, and narrows it when the instance's own
    /// servers are available again. Returns true if it was widened.
    ///
    /// Without it, all servers of the subset could be down, ejected or full while hundreds of
    /// others are idle, and the callers of this instance would wait or be refused. Each step
    /// doubles the number of servers in reach, so that a few steps reach all.
    pub(super) fn adapt_reach(
        &mut self,
        shortage: Option<(Reason, Option<ModelKey>)>,
        now: Millis,
    ) -> bool {
        let shortage = shortage.or_else(|| self.queue_shortage());
        let Some((reason, model)) = shortage else {
            let serves = self.reach.is_widened() && self.own_servers_available();
            if self.reach.on_relief(serves, now) {
                self.log_reach("reach-narrowed");
                self.configure_router(now);
            }
            return false;
        };
        let shortage = match reason {
            Reason::NoModel | Reason::Out => Shortage::Down,
            Reason::Busy
            | Reason::Late { .. }
            | Reason::Cold
            | Reason::Limited
            | Reason::Resting
            | Reason::Region
            | Reason::Software
            | Reason::Tried => Shortage::Full,
            Reason::Stale => return false,
        };
        self.widen(shortage, model, now)
    }

    /// Why requests are queued although nothing was dispatched: the scheduler doesn't ask for a
    /// server if none has a free slot.
    fn queue_shortage(&self) -> Option<(Reason, Option<ModelKey>)> {
        let queued = !self.queued.is_empty();
        let reason = self.router.unavailable_reason(None).filter(|_| queued);
        reason.map(|reason| (reason, None))
    }

    /// Whether a server of the subset could take a request that had no server.
    fn own_servers_available(&self) -> bool {
        self.own_servers().any(|key| {
            let holds = |model| {
                self.loaded
                    .get(&key)
                    .is_none_or(|held| held.contains(&model))
            };
            let free = |key| {
                let standing = self.router.standing(key);
                standing.is_some_and(|standing| standing.in_flight < standing.limit)
            };
            self.missing_model.is_none_or(holds) && free(key)
        })
    }

    fn widen(&mut self, shortage: Shortage, model: Option<ModelKey>, now: Millis) -> bool {
        self.missing_model = model;
        let widened = self.reach.on_shortage(shortage, now);
        if widened {
            self.log_reach("reach-widened");
            self.configure_router(now);
        }
        widened
    }

    /// Logged for the operator: a wider reach costs polls, and shows that servers of the subset
    /// have problems.
    fn log_reach(&self, name: &'static str) {
        let event = Event::new(name)
            .with("service", &self.service)
            .with("own", self.reach.own())
            .with("in-reach", self.reach.allotted().len())
            .with("servers", self.servers.len());
        info!("{event}");
    }

    /// Picks a server for a retry. Not every failed request may be queued again, so the reach is
    /// widened immediately if it contains no other available server.
    pub(super) fn pick_untried_server(
        &mut self,
        requirements: &Requirements,
        tried: &[ServerKey],
        now: Millis,
    ) -> Result<(Pick, SocketAddr), NoServer> {
        if tried.len() >= SUBSET_ATTEMPTS && !self.reach.is_whole() {
            self.widen(Shortage::Retry, requirements.model, now);
            let own = self.own_servers();
            let exclude: Vec<ServerKey> = own.chain(tried.iter().copied()).collect();
            if let Ok(picked) = self.pick(requirements, &exclude, now) {
                return Ok(picked);
            }
        }
        let picked = self.pick(requirements, tried, now);
        let Err(none) = &picked else {
            return picked;
        };
        if none.reason != Reason::Stale && self.widen(Shortage::Retry, requirements.model, now) {
            return self.pick(requirements, tried, now);
        }
        picked
    }

    fn own_servers(&self) -> impl Iterator<Item = ServerKey> {
        let allotted = self.reach.allotted().iter();
        let own = allotted.filter(|(_, allotment)| *allotment != Allotment::Borrowed);
        own.map(|&(at, _)| self.servers[at].key)
    }
}
