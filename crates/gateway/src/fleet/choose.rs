//! The choice of servers: for requests of this instance, by itself or by the placer, and for
//! requests of other instances.

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::Demand;
use crocushold_routing::Lane;
use crocushold_routing::NoServer;
use crocushold_routing::Pick;
use crocushold_routing::Placement as RouterPlacement;
use crocushold_routing::Reason;
use crocushold_routing::Rest;
use slotmap::SlotMap;

use super::Choice;
use super::Fleet;
use super::Need;
use super::Server;
use super::service::ModelLanes;
use super::service::Service;
use crate::placing::Placement;
use crate::placing::PlacementRequest;
use crate::sharing::CachedPrefix;

/// `Retry-After` while the service is unknown.
const UNKNOWN_RETRY: Millis = Millis::from_secs(1);

impl Fleet {
    /// Chooses a server and takes one of its slots.
    ///
    /// # Errors
    ///
    /// Returns why no server can take the request, and when to retry.
    pub fn pick(
        &mut self,
        need: &Need,
        tried: &[ServerKey],
        now: Millis,
    ) -> Result<Choice, NoServer> {
        let choice = self.choose(need, tried, Sender::Local, now)?;
        self.record_first_attempt(need, tried, now);
        Ok(choice)
    }

    /// Chooses a server for a request of another instance, and takes one of its slots.
    ///
    /// # Errors
    ///
    /// Returns why no server can take the request, and when to retry.
    pub fn place(&mut self, request: &PlacementRequest, now: Millis) -> Result<Choice, NoServer> {
        let tried = self.keys_of(&request.tried);
        let resting = self.keys_of(&request.resting);
        let sender = Sender::Remote {
            zone: &request.zone,
            resting: &resting,
        };
        self.choose(&request.need, &tried, sender, now)
    }

    /// Takes a slot of the server that the placer chose. Returns `None` if this instance knows that
    /// the server can't be used.
    pub fn adopt(
        &mut self,
        need: &Need,
        placement: &Placement,
        tried: &[ServerKey],
        now: Millis,
    ) -> Option<Choice> {
        self.end_rests(now);
        self.update_routers(now);
        let server = *self.hashes.get(&placement.engine)?;
        let excluded = self.excluded(need, tried, now);
        let record = &self.servers[server].record;
        let holds = |model: &String| record.models.contains(model);
        // The placer may have another configuration, or an older entry of the server.
        if record.service != need.service || !need.model.as_ref().is_none_or(holds) {
            return None;
        }
        let source = placement.source.and_then(|hash| self.hashes.get(&hash));
        let placed = RouterPlacement {
            server,
            source: source.copied(),
            wait: placement.wait,
            prefill_tokens: placement.read,
        };
        let service = self.services.get_mut(&need.service)?;
        let resting = self.rests.active();
        let demand = demand(service, &self.models, need, &excluded, resting);
        let pick = service.router.adopt(&placed, &demand, now)?;
        service.update_max_pause(need);
        let choice = choice(&self.servers, service, &pick, need.lane(), now);
        self.record_first_attempt(need, tried, now);
        Some(choice)
    }

    /// Sets whether this instance is the placer. If it is, its own requests are placed with the
    /// same knowledge as those of others.
    pub fn set_placer(&mut self, is_placer: bool) {
        self.is_placer = is_placer;
    }

    /// Whether this instance sends requests to paced servers, which no two instances may do at a time.
    pub(in crate::fleet) fn sends_to_paced(&self) -> bool {
        self.is_placer || self.settings.alone
    }

    /// The known servers with these hashes.
    fn keys_of(&self, hashes: &[u32]) -> Vec<ServerKey> {
        let keys = hashes.iter().filter_map(|hash| self.hashes.get(hash));
        keys.copied().collect()
    }

    fn choose(
        &mut self,
        need: &Need,
        tried: &[ServerKey],
        sender: Sender<'_>,
        now: Millis,
    ) -> Result<Choice, NoServer> {
        self.end_rests(now);
        self.update_routers(now);
        let excluded = match sender {
            Sender::Local => self.excluded(need, tried, now),
            Sender::Remote { resting, .. } => [tried, resting].concat().into(),
        };
        let allow_paced = self.sends_to_paced();
        let service = self.services.get_mut(&need.service).ok_or(NoServer {
            reason: Reason::Out,
            retry_after: UNKNOWN_RETRY,
        })?;
        if tried.is_empty() {
            service.update_max_pause(need);
            service.record_work(need, now);
        }
        let resting = match sender {
            Sender::Local => self.rests.active(),
            Sender::Remote { .. } => &[],
        };
        let demand = Demand {
            zone: sender.zone(),
            central: self.is_placer || matches!(sender, Sender::Remote { .. }),
            allow_paced,
            ..demand(service, &self.models, need, &excluded, resting)
        };
        let picked = service.router.pick(&demand, now);
        let pick = picked.or_else(|none| {
            let other = pick_in_other_lane(service, &self.models, need, &demand, now);
            other.ok_or(none)
        })?;
        let choice = choice(&self.servers, service, &pick, need.lane(), now);
        if let Some(prefix) = need.prefix {
            let cached = CachedPrefix {
                prefix,
                engine: choice.hash,
            };
            self.announcements.add(cached, need.shared_tokens(), now);
        }
        Ok(choice)
    }

    /// Records the first attempt of a request of this instance. The retry budget is a ratio of
    /// these.
    fn record_first_attempt(&mut self, need: &Need, tried: &[ServerKey], now: Millis) {
        let service = self.services.get_mut(&need.service);
        if let Some(service) = service.filter(|_| tried.is_empty()) {
            service.retry.first_attempt(now);
        }
    }
}

/// The instance that sends a request.
#[derive(Clone, Copy)]
enum Sender<'a> {
    /// This instance.
    Local,
    /// Another one, for which this instance places the request.
    Remote {
        /// Its availability zone.
        zone: &'a str,
        /// The servers that asked it for rest. When those rests end is known only there.
        resting: &'a [ServerKey],
    },
}

impl<'a> Sender<'a> {
    fn zone(self) -> Option<&'a str> {
        match self {
            Sender::Local => None,
            Sender::Remote { zone, .. } => Some(zone),
        }
    }
}

impl Choice {
    /// The choice in the form that is sent to other instances.
    pub fn placed(&self) -> Placement {
        Placement {
            engine: self.hash,
            source: self.source_hash,
            wait: self.wait,
            read: self.read,
        }
    }
}

pub(super) fn demand<'a>(
    service: &Service,
    models: &ModelLanes,
    need: &'a Need,
    exclude: &'a [ServerKey],
    resting: &'a [Rest],
) -> Demand<'a> {
    let model = need.model.as_deref().unwrap_or_default();
    let (model, spill) = service.pools(models, model, need.lane());
    Demand {
        model,
        prefix: need.prefix.map(u64::from),
        priority: need.priority,
        idempotent: need.idempotent,
        tokens: need.prompt_tokens.saturating_add(need.max_output_tokens),
        unique_tokens: need.unique_tokens,
        prefix_tokens: need.shared_tokens(),
        max_pause: need.max_pause,
        spill,
        max_wait: need.wait_limit,
        regions: need.regions.as_deref(),
        software: need.software,
        exclude,
        resting,
        ..Demand::default()
    }
}

/// Chooses a server of any lane for a request that requires a software version. The few servers of
/// that version may all be in lanes that other requests of its kind don't use.
fn pick_in_other_lane(
    service: &mut Service,
    models: &ModelLanes,
    need: &Need,
    demand: &Demand<'_>,
    now: Millis,
) -> Option<Pick> {
    need.software?;
    let model = need.model.as_deref().unwrap_or_default();
    let mut lanes = [Lane::Light, Lane::Heavy, Lane::Live].into_iter();
    lanes.find_map(|lane| {
        let demand = Demand {
            model: Some(models.get(model, lane)?),
            spill: None,
            ..*demand
        };
        service.router.pick(&demand, now).ok()
    })
}

fn choice(
    servers: &SlotMap<ServerKey, Server>,
    service: &Service,
    pick: &Pick,
    lane: Lane,
    now: Millis,
) -> Choice {
    // The router only picks servers that were passed to `configure`, and never one that was removed
    // since; it forgets a server with its last attempt.
    let server = &servers[pick.server];
    let source = pick.source.and_then(|key| servers.get(key));
    Choice {
        server: pick.server,
        id: server.id.clone(),
        incarnation: server.incarnation,
        software: server.software.clone(),
        chosen: now,
        address: server.record.address,
        engine: !server.record.models.is_empty(),
        source: source.map(|source| source.record.address),
        hash: server.hash,
        source_hash: source.map(|source| source.hash),
        wait: pick.wait,
        placement_id: None,
        read: pick.prefill_tokens,
        lane,
        attempt: pick.attempt,
        service: service.name.clone(),
    }
}
