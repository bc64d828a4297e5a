//! The choice of servers: for requests of this instance, by itself or by the placer, and for
//! requests of other instances.

use crocushold_admission::LineScope;
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
use twox_hash::XxHash3_64;

use super::Choice;
use super::Fleet;
use super::Need;
use super::Server;
use super::service::ModelLanes;
use super::service::Service;
use super::short_hash;
use crate::placing::Placement;
use crate::placing::PlacementRequest;
use crate::sharing::CachedPrefix;

/// Longest expected wait at an engine with which a request leaves the line. It covers the way of the
/// engine's last answer to the placer and of the next request to the engine, and the chunk of a
/// prompt that the engine is prefilling, so that it doesn't fall idle between two requests.
pub(crate) const ENGINE_BOUND: Millis = Millis(150);

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
        self.choose_for(request, None, now)
    }

    /// Like [`Fleet::place`], for a request in line. Its engine must be able to begin it soon, unless
    /// its wait in line is over.
    ///
    /// # Errors
    ///
    /// Returns why no server can take the request.
    pub(crate) fn place_from_line(
        &mut self,
        request: &PlacementRequest,
        offer: LineOffer,
        now: Millis,
    ) -> Result<Choice, NoServer> {
        self.choose_for(request, Some(offer), now)
    }

    /// Records the work of a request that this instance is asked to place.
    pub(crate) fn record_demand(&mut self, need: &Need, tried: &[u32], now: Millis) {
        self.update_routers(now);
        let Some(service) = self.services.get_mut(&need.service) else {
            return;
        };
        if tried.is_empty() {
            service.record_demand(need, now);
        }
    }

    /// Whether requests like this one may wait in line: for engines of published capacity that
    /// aren't brittle.
    pub(crate) fn supports_line(&mut self, need: &Need, now: Millis) -> bool {
        self.update_routers(now);
        let spec = self.engines.get(&need.service);
        let model = need.model.as_deref().unwrap_or_default();
        need.unique_tokens > 0
            && spec.is_some_and(|spec| spec.capacity.is_some())
            && self.models.get(model, need.lane()).is_some()
            && !self.is_brittle(need)
    }

    /// Whether requests like this one wait in line rather than inside engines: where there is a
    /// line, and prompts that wait inside an engine delay the live streams beside them.
    ///
    /// Elsewhere engines lose nothing by queues of their own, which they order by rank, and a line
    /// would only keep some of them idle between two prompts.
    pub fn uses_line(&mut self, need: &Need, now: Millis) -> bool {
        let service = self.services.get(&need.service);
        service.is_some_and(|service| service.lanes.isolates_live())
            && self.supports_line(need, now)
    }

    /// The service, as the line knows it.
    pub(crate) fn line_service(&self, need: &Need) -> u32 {
        short_hash(&need.service)
    }

    /// The group of engines that requests like this one prefer, as the line knows it.
    pub(crate) fn line_group(&self, need: &Need) -> u64 {
        let model = need.model.as_deref().unwrap_or_default();
        let lane = need.lane() as u64;
        XxHash3_64::oneshot_with_seed(lane, format!("{}/{model}", need.service).as_bytes())
    }

    /// Number of tokens in an event of the chosen server's streams; 1 if it isn't published.
    pub(crate) fn event_tokens(&self, choice: &Choice) -> u32 {
        let spec = self.engines.get(&*choice.service);
        spec.and_then(|spec| spec.event_tokens).unwrap_or(1)
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

    /// Chooses a server for a request of another instance, which waited in line if there is an `offer`.
    fn choose_for(
        &mut self,
        request: &PlacementRequest,
        offer: Option<LineOffer>,
        now: Millis,
    ) -> Result<Choice, NoServer> {
        let tried = self.keys_of(&request.tried);
        let resting = self.keys_of(&request.resting);
        let sender = Sender::Remote {
            zone: &request.zone,
            resting: &resting,
            offer,
        };
        self.choose(&request.need, &tried, sender, now)
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
        // The work of a request in line was recorded when it joined.
        if tried.is_empty() && sender.offer().is_none() {
            service.record_demand(need, now);
        }
        let resting = match sender {
            Sender::Local => self.rests.active(),
            Sender::Remote { .. } => &[],
        };
        let demand = Demand {
            zone: sender.zone(),
            central: self.is_placer || !matches!(sender, Sender::Local),
            allow_paced,
            ..demand(service, &self.models, need, &excluded, resting)
        };
        let pick = match sender.offer() {
            Some(offer) => pick_from_line(service, &self.models, need, &demand, offer, now)?,
            None => service.router.pick(&demand, now).or_else(|none| {
                let other = pick_in_other_lane(service, &self.models, need, &demand, now);
                other.ok_or(none)
            })?,
        };
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
    pub(crate) fn record_first_attempt(&mut self, need: &Need, tried: &[ServerKey], now: Millis) {
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
        /// Set if the request has waited in line at this instance.
        offer: Option<LineOffer>,
    },
}

/// A request that is offered from the line.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LineOffer {
    /// The engines that the request may use.
    pub(crate) scope: LineScope,
    /// How long it has waited.
    pub(crate) waited: Millis,
}

impl<'a> Sender<'a> {
    fn zone(self) -> Option<&'a str> {
        match self {
            Sender::Local => None,
            Sender::Remote { zone, .. } => Some(zone),
        }
    }

    fn offer(self) -> Option<LineOffer> {
        match self {
            Sender::Local => None,
            Sender::Remote { offer, .. } => offer,
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
    let lanes = [Lane::Light, Lane::Heavy, Lane::Live];
    pick_in_lanes(service, models, need, demand, &lanes, now)
}

/// Chooses a server for a request that has waited in line.
fn pick_from_line(
    service: &mut Service,
    models: &ModelLanes,
    need: &Need,
    demand: &Demand<'_>,
    offer: LineOffer,
    now: Millis,
) -> Result<Pick, NoServer> {
    let LineOffer { scope, waited } = offer;
    // An engine that holds the shared part of a prompt answers that much earlier than expected, and
    // would be idle until the next request arrives.
    let uncertain = f64::from(need.shared_tokens()) / service.router.prefill_rate();
    let bounded = Demand {
        max_wait: Some(ENGINE_BOUND + Millis(uncertain as u64)),
        line_wait: Some(waited),
        ..*demand
    };
    let none = match service.router.pick(&bounded, now) {
        Ok(pick) => return Ok(pick),
        Err(none) => none,
    };
    if let Some(pick) = pick_in_other_lane(service, models, need, &bounded, now) {
        return Ok(pick);
    }
    if scope == LineScope::Group {
        return Err(none);
    }
    // Only to the engines of long prompts: elsewhere a long prompt makes live streams late.
    if let Some(pick) = pick_in_lanes(service, models, need, &bounded, &[Lane::Heavy], now) {
        return Ok(pick);
    }
    if scope == LineScope::Any {
        return Err(none);
    }
    let unbounded = Demand {
        max_wait: None,
        ..bounded
    };
    service.router.pick(&unbounded, now)
}

/// Chooses a server of the first of these lanes that has one for the request.
fn pick_in_lanes(
    service: &mut Service,
    models: &ModelLanes,
    need: &Need,
    demand: &Demand<'_>,
    lanes: &[Lane],
    now: Millis,
) -> Option<Pick> {
    let model = need.model.as_deref().unwrap_or_default();
    let mut lanes = lanes.iter();
    lanes.find_map(|&lane| {
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
