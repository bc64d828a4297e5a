//! Plans the orders of one service from the configuration and the engines' reports, as a pure state
//! machine.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_config::Catalog;
use crocushold_config::Model;
use crocushold_config::Service;
use crocushold_ownership::EngineId;
use crocushold_ownership::EngineReport;
use crocushold_ownership::Member;
use crocushold_ownership::ModelId;
use crocushold_ownership::Order;
use crocushold_ownership::OrderAction;
use crocushold_ownership::OrderAnswer;
use crocushold_ownership::OrderKind;
use crocushold_ownership::OrderSettings;
use crocushold_ownership::Orders;
use crocushold_ownership::PauseDetector;
use crocushold_ownership::RoleId;
use crocushold_ownership::Target;
use crocushold_ownership::View;
use crocushold_platform::wire;
use crocushold_platform::wire::LoadReport;
use twox_hash::XxHash3_64;

use super::engine::Engine;
use super::engine::LastReport;
use super::engine::engine_id;
use super::engine::model_id;
use super::loads::ModelLoads;
use super::message::ModelRank;
use super::message::OutboundOrder;
use super::message::Outdated;
use super::message::TickActions;
use super::placement::Candidate;
use super::placement::DesiredModel;
use super::placement::place;
use super::role::WHOLE;
use super::role::ordered_role;
use super::role::reported_role;

/// Decides the orders to the engines of one service.
///
/// One instance owns all engines of a service, by rendezvous hashing of the service's name. It is
/// thus the only one that orders loads from the service's weight store, and can space and
/// prioritize them without messages.
#[derive(Debug)]
pub(super) struct OrderPlanner {
    me: Member,
    /// The hash that determines the owner.
    service_hash: u64,
    owned: bool,
    orders: Orders,
    loads: ModelLoads,
    guard: PauseDetector,
    revision: u64,
    engines: BTreeMap<EngineId, Engine>,
    keys: HashMap<ServerKey, EngineId>,
    desired: Vec<DesiredModel>,
    names: BTreeMap<ModelId, String>,
    /// Engines that were reported to have a newer revision than this instance, with their fencing
    /// tokens.
    engines_ahead: BTreeMap<EngineId, u64>,
}

impl OrderPlanner {
    /// Creates the planner of a service that may order `loads` loads per minute.
    pub(super) fn new(service: &str, loads: u32, me: Member, now: Millis) -> OrderPlanner {
        let settings = OrderSettings::default();
        let service_hash = XxHash3_64::oneshot(service.as_bytes());
        OrderPlanner {
            me,
            service_hash,
            owned: false,
            orders: Orders::new(settings, me, now),
            loads: ModelLoads::new(loads, me, service_hash),
            guard: PauseDetector::new(settings.lease, now),
            revision: 0,
            engines: BTreeMap::new(),
            keys: HashMap::new(),
            desired: Vec::new(),
            names: BTreeMap::new(),
            engines_ahead: BTreeMap::new(),
        }
    }

    /// Maximum number of loads per minute.
    pub(super) fn loads(&self) -> u32 {
        self.loads.rate()
    }

    /// Applies a configuration.
    pub(super) fn configure(
        &mut self,
        catalog: &Catalog,
        service: &Service,
        revision: u64,
        now: Millis,
    ) {
        self.revision = revision;
        let models = service.models.iter().map(|&model| &catalog.models[model]);
        let models: Vec<&Model> = models.collect();
        let desired = models.iter().map(|model| DesiredModel {
            model: model_id(&model.id),
            replicas: model.replicas as usize,
        });
        self.desired = desired.collect();
        let names = models
            .iter()
            .map(|model| (model_id(&model.id), model.id.clone()));
        self.names = names.collect();
        self.update_servers(catalog, service, now);
    }

    fn update_servers(&mut self, catalog: &Catalog, service: &Service, now: Millis) {
        let mut kept = BTreeSet::new();
        self.keys.clear();
        for &key in &service.servers {
            let server = &catalog.servers[key];
            let id = engine_id(server);
            kept.insert(id);
            let fresh = || Engine::new(server, now);
            let engine = self.engines.entry(id).or_insert_with(fresh);
            engine.update(server);
            self.keys.insert(key, id);
        }
        let removed = self.engines.extract_if(.., |id, _| !kept.contains(id));
        let removed: Vec<EngineId> = removed.map(|(id, _)| id).collect();
        for id in removed {
            self.orders.on_engine_removed(id);
        }
    }

    /// Updates the best rank of the recent requests for each model; lower ranks are loaded sooner.
    pub(super) fn on_ranks(&mut self, ranks: &[ModelRank]) {
        self.loads.on_ranks(ranks);
    }

    /// Updates the live view, confirmed as of now, and the members that are not known to have
    /// ended.
    pub(super) fn on_view(&mut self, live: &View, reference: &View, now: Millis) {
        self.loads.on_view(live, reference, now);
        let Some(owner) = live.owner(self.service_hash) else {
            return;
        };
        self.owned = owner == self.me;
        let majority = live.members().len() * 2 > reference.members().len();
        // `Orders` chooses an owner for each engine. With the service's owner as the only member,
        // it owns all engines; a second member that counts toward the quorum takes away its
        // majority.
        let nobody = Member::default();
        let count = if majority { 1 } else { 2 };
        let all = View::new([owner, nobody].into_iter().take(count));
        self.orders.on_view(View::new([owner]), &all, now);
    }

    /// Handles a report of `/load` that was requested at `asked_at`.
    ///
    /// Models that the configuration doesn't name are ignored, so that models which somebody else
    /// has loaded are never unloaded.
    pub(super) fn on_report(
        &mut self,
        server: ServerKey,
        report: &LoadReport,
        asked_at: Millis,
        now: Millis,
    ) {
        let names = &self.names;
        let id = self.keys.get(&server);
        let Some(engine) = id.and_then(|id| self.engines.get_mut(id)) else {
            return;
        };
        let ids = report.models.iter().map(|name| model_id(name));
        let models: Vec<ModelId> = ids.filter(|id| names.contains_key(id)).collect();
        let role = reported_role(report.role);
        engine.last_report = Some(LastReport {
            models: models.clone(),
            role,
            at: asked_at,
        });
        let report = EngineReport {
            engine: engine.id,
            models,
            role,
            fence: report.fence,
            asked_at,
        };
        self.orders.on_report(report, now);
    }

    /// Advances the time; to be called about once a second.
    pub(super) fn on_tick(&mut self, now: Millis) -> TickActions {
        if self.guard.observe(now) {
            self.loads.on_pause(now);
            self.guard.on_rejoined();
        }
        self.update_placements(now);
        self.plan_loads(now);
        let mut actions = TickActions::default();
        for action in self.orders.on_tick(now) {
            match action {
                OrderAction::Send(order) => actions.orders.extend(self.outbound_order(order, now)),
                // All engines are polled every one or two seconds anyway.
                OrderAction::ReadBack(_) => {}
                OrderAction::Outdated { engine, fence } => {
                    actions.outdated.extend(self.record_outdated(engine, fence));
                }
            }
        }
        actions
    }

    /// Requests the due loads from the planner and stores its permits.
    fn plan_loads(&mut self, now: Millis) {
        if !self.owned {
            self.loads.clear();
        }
        self.loads.on_tick(&self.engines, now);
    }

    /// Updates the targets from the configuration, the reports, and which engines respond.
    fn update_placements(&mut self, now: Millis) {
        let engines = self.engines.values();
        let candidates: Vec<Candidate> = engines.map(|e| e.candidate(now)).collect();
        for placement in place(&self.desired, &candidates) {
            self.set_target(placement.engine, placement.models, now);
        }
    }

    /// Sets the target of an engine. A target that changes within a revision counts as that of a
    /// new engine, whose owner waits and reads its state again. Otherwise two instances that saw
    /// different reports might undo each other's orders.
    fn set_target(&mut self, id: EngineId, models: Vec<ModelId>, now: Millis) {
        let Some(engine) = self.engines.get_mut(&id) else {
            return;
        };
        let placed = Some((self.revision, models.clone()));
        if engine.placed == placed {
            return;
        }
        let moved = engine
            .placed
            .as_ref()
            .is_some_and(|(at, _)| *at == self.revision);
        if moved {
            self.orders.on_engine_removed(id);
        }
        engine.placed = placed;
        let target = Target {
            engine: id,
            revision: self.revision,
            fencing: engine.fencing,
            models,
            role: engine.role,
        };
        self.orders.on_target(target, now);
    }

    /// Prepares an order for sending, unless it has to wait.
    fn outbound_order(&mut self, order: Order, now: Millis) -> Option<OutboundOrder> {
        let engine = self.engines.get(&order.engine)?;
        let (server, address) = (engine.name.clone(), engine.address);
        let kind = match order.kind {
            OrderKind::Load(model) if !engine.holds(model) => {
                let model = self.loads.take_permit(engine);
                model.map(OrderKind::Load)
            }
            OrderKind::Load(_) => Some(order.kind),
            OrderKind::Unload(model) => {
                let allowed = self.may_unload(order.engine, model, now);
                allowed.then_some(order.kind)
            }
            OrderKind::Role(role) => {
                let allowed = self.may_change_role(order.engine, role, now);
                allowed.then_some(order.kind)
            }
        };
        let ready = kind.map(|kind| Order { kind, ..order });
        let body = ready.as_ref().and_then(|order| self.body(order));
        let (Some(order), Some(body)) = (ready, body) else {
            self.orders.on_answer(&order, OrderAnswer::Failed, now);
            return None;
        };
        Some(OutboundOrder {
            order,
            server,
            address,
            body,
        })
    }

    fn body(&self, order: &Order) -> Option<wire::Order> {
        let name = |model: &ModelId| self.names.get(model).cloned();
        let kind = match &order.kind {
            OrderKind::Load(model) => wire::OrderKind::Load {
                model: name(model)?,
            },
            OrderKind::Unload(model) => wire::OrderKind::Unload {
                model: name(model)?,
            },
            OrderKind::Role(role) => wire::OrderKind::Role {
                role: ordered_role(*role)?,
            },
        };
        Some(wire::Order {
            fence: order.fence,
            kind,
        })
    }

    /// Whether a model may be unloaded from an engine: only while another engine of the service is
    /// confirmed to hold it and runs whole requests. Otherwise its callers would have no server.
    fn may_unload(&self, id: EngineId, model: ModelId, now: Millis) -> bool {
        let mut others = self.engines.values().filter(|other| other.id != id);
        others.any(|other| other.serves_whole_requests() && other.confirmed_to_hold(model, now))
    }

    /// Whether an engine may change to a role. If it stops running whole requests, the callers of
    /// its models have no server, unless another engine is confirmed to serve each of them.
    fn may_change_role(&self, id: EngineId, role: RoleId, now: Millis) -> bool {
        let last_report = self
            .engines
            .get(&id)
            .and_then(|engine| engine.last_report.as_ref());
        let mut models = last_report
            .iter()
            .flat_map(|last_report| &last_report.models);
        let others = || self.engines.values().filter(|other| other.id != id);
        let whole_requests =
            || others().filter(|other| other.serves_whole_requests() && other.has_role(WHOLE));
        role == WHOLE
            || models
                .all(|model| whole_requests().any(|other| other.confirmed_to_hold(*model, now)))
    }

    /// Whether requests for a model should avoid this server although it holds the model.
    ///
    /// The model is about to be unloaded if it isn't placed on this engine and an engine on which
    /// it is placed holds it. If an instance continued to send requests there, they would be
    /// answered that the model is unknown. All instances compute the same placement, and the unload
    /// waits longer than their reports can differ. The same applies to an engine whose configured
    /// role doesn't run whole requests.
    pub(super) fn is_surplus(&self, server: ServerKey, model: ModelId, now: Millis) -> bool {
        let id = self.keys.get(&server);
        let Some(engine) = id.and_then(|id| self.engines.get(id)) else {
            return false;
        };
        let mut others = self.engines.values().filter(|other| other.id != engine.id);
        let leaves = !engine.is_placed(model) || !engine.serves_whole_requests();
        let serves_whole_requests =
            |other: &Engine| other.is_placed(model) && other.serves_whole_requests();
        leaves
            && others
                .any(|other| serves_whole_requests(other) && other.confirmed_to_hold(model, now))
    }

    fn record_outdated(&mut self, engine: EngineId, fence: u64) -> Option<Outdated> {
        if self.engines_ahead.insert(engine, fence) == Some(fence) {
            return None;
        }
        let server = self.engines.get(&engine)?.name.clone();
        Some(Outdated { server, fence })
    }

    /// Whether an order may be sent now; to be checked right before its first byte.
    ///
    /// The targets that [`Orders::may_send`] knows follow a new configuration only at the next
    /// tick. Within that second an order of the replaced configuration could be sent, and an engine
    /// that ignores fencing tokens would load or unload a model that is no longer wanted there. The
    /// fencing token of an order is the revision of its configuration.
    pub(super) fn may_send(&mut self, order: &Order, now: Millis) -> bool {
        order.fence == self.revision && self.orders.may_send(order, now)
    }

    /// Handles the answer to an order, or the failure of its call.
    pub(super) fn on_answer(&mut self, order: &Order, answer: OrderAnswer, now: Millis) {
        let engine = self.engines.get(&order.engine);
        if let (OrderKind::Load(model), OrderAnswer::Obeyed) = (order.kind, answer)
            && engine.is_some_and(|engine| !engine.holds(model))
        {
            self.loads.on_started(order.engine, model, now);
        }
        self.orders.on_answer(order, answer, now);
    }

    /// Whether this instance owns the service's engines, and the number of engines.
    pub(super) fn owned(&self) -> (bool, u64) {
        (self.owned, self.engines.len() as u64)
    }
}
