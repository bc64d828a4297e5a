//! Where requests go: of this instance, by its own choice or another one's, and of others.

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::Demand;
use crocushold_routing::Lane;
use crocushold_routing::NoServer;
use crocushold_routing::Pick;
use crocushold_routing::Placed;
use crocushold_routing::Reason;
use slotmap::SlotMap;

use super::Choice;
use super::Fleet;
use super::Need;
use super::Server;
use super::service::ModelLanes;
use super::service::Service;
use crate::gossip::CachedPrefix;
use crate::placement::Placement;

/// When to come back where no service is known yet.
const UNKNOWN_RETRY: Millis = Millis::from_secs(1);

impl Fleet {
    /// Chooses a server and takes a slot of it.
    ///
    /// # Errors
    ///
    /// Says why no server can take the request, and when to come back.
    pub fn pick(
        &mut self,
        need: &Need,
        tried: &[ServerKey],
        now: Millis,
    ) -> Result<Choice, NoServer> {
        let central = self.is_placer;
        let choice = self.decide(need, tried, None, central, now)?;
        self.note_first(need, tried, now);
        Ok(choice)
    }

    /// Chooses a server for another instance, in availability zone `zone`, and takes a slot of it.
    ///
    /// # Errors
    ///
    /// Says why no server can take the request, and when to come back.
    pub fn place(
        &mut self,
        need: &Need,
        zone: &str,
        tried: &[u32],
        now: Millis,
    ) -> Result<Choice, NoServer> {
        let tried = tried.iter().filter_map(|hash| self.hashes.get(hash));
        let tried: Vec<ServerKey> = tried.copied().collect();
        self.decide(need, &tried, Some(zone), true, now)
    }

    /// Takes a slot of the server that another instance chose; `None` where this one knows better.
    pub fn adopt(
        &mut self,
        need: &Need,
        place: &Placement,
        tried: &[ServerKey],
        now: Millis,
    ) -> Option<Choice> {
        self.update_routers(now);
        let server = *self.hashes.get(&place.engine)?;
        let record = &self.servers[server].record;
        let model = need.model.as_deref().unwrap_or_default();
        // The instance that chose may hold another configuration, or an older entry of the server.
        if record.service != need.service || !record.models.iter().any(|held| held == model) {
            return None;
        }
        let source = place.source.and_then(|hash| self.hashes.get(&hash));
        let placed = Placed {
            server,
            source: source.copied(),
            wait: place.wait,
            read: place.read,
        };
        let service = self.services.get_mut(&need.service)?;
        let demand = demand(service, &self.models, need, tried);
        let pick = service.router.adopt(&placed, &demand, now)?;
        service.take_pause(need);
        let choice = choice(&self.servers, service, &pick, need.lane(), now);
        self.note_first(need, tried, now);
        Some(choice)
    }

    /// Whether this instance chooses for others from now on. What it chooses for its own requests goes by
    /// the same knowledge.
    pub fn set_placer(&mut self, is_placer: bool) {
        self.is_placer = is_placer;
    }

    /// The names under which other instances know servers.
    pub fn hashes_of(&self, servers: &[ServerKey]) -> Vec<u32> {
        let known = servers.iter().filter_map(|key| self.servers.get(*key));
        known.map(|server| server.hash).collect()
    }

    fn decide(
        &mut self,
        need: &Need,
        tried: &[ServerKey],
        zone: Option<&str>,
        central: bool,
        now: Millis,
    ) -> Result<Choice, NoServer> {
        self.update_routers(now);
        let service = self.services.get_mut(&need.service).ok_or(NoServer {
            reason: Reason::Out,
            retry_after: UNKNOWN_RETRY,
        })?;
        if tried.is_empty() {
            let work = need.work_ms(service.router.reading_speed(), service.slots);
            service.lanes.note(need.lane(), work, now);
            service.take_pause(need);
        }
        let demand = Demand {
            zone,
            central,
            paced: self.is_placer || self.settings.alone,
            ..demand(service, &self.models, need, tried)
        };
        let pick = service.router.pick(&demand, now)?;
        let choice = choice(&self.servers, service, &pick, need.lane(), now);
        if let Some(prefix) = need.prefix {
            let cached = CachedPrefix {
                prefix,
                engine: choice.hash,
            };
            self.announcements.sent(cached, need.shared_tokens(), now);
        }
        Ok(choice)
    }

    /// The first attempt of a request of this instance: what may be repeated is a part of these.
    fn note_first(&mut self, need: &Need, tried: &[ServerKey], now: Millis) {
        let service = self.services.get_mut(&need.service);
        if let Some(service) = service.filter(|_| tried.is_empty()) {
            service.retry.first_attempt(now);
        }
    }
}

impl Choice {
    /// The choice as another instance is told of it.
    pub fn placed(&self) -> Placement {
        Placement {
            engine: self.hash,
            source: self.source_hash,
            wait: self.wait,
            read: self.read,
        }
    }
}

fn demand<'a>(
    service: &Service,
    models: &ModelLanes,
    need: &'a Need,
    tried: &'a [ServerKey],
) -> Demand<'a> {
    let model = need.model.as_deref().unwrap_or_default();
    let (model, spill) = service.pools(models, model, need.lane());
    Demand {
        model,
        prefix: need.prefix.map(u64::from),
        priority: need.priority,
        idempotent: need.idempotent,
        tokens: need.prompt_tokens.saturating_add(need.max_output_tokens),
        own: need.unique_tokens,
        shared: need.shared_tokens(),
        pause: need.max_pause,
        spill,
        limit: need.wait_limit,
        regions: need.regions.as_deref(),
        exclude: tried,
        ..Demand::default()
    }
}

fn choice(
    servers: &SlotMap<ServerKey, Server>,
    service: &Service,
    pick: &Pick,
    lane: Lane,
    now: Millis,
) -> Choice {
    // The router knows only servers that `configure` gave it, and forgets them with their last
    // attempt; a removed one is never picked.
    let server = &servers[pick.server];
    let source = pick.source.and_then(|key| servers.get(key));
    Choice {
        server: pick.server,
        id: server.id.clone(),
        incarnation: server.incarnation,
        chosen: now,
        address: server.record.address,
        engine: !server.record.models.is_empty(),
        source: source.map(|source| source.record.address),
        hash: server.hash,
        source_hash: source.map(|source| source.hash),
        wait: pick.wait,
        ticket: None,
        read: pick.read,
        lane,
        attempt: pick.attempt,
        service: service.name.clone(),
    }
}
