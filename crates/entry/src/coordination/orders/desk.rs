//! From the text and the engines' reports to orders, as a pure state machine.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_base::ServiceKey;
use crocushold_config::Catalog;
use crocushold_config::Kind;
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
use crocushold_ownership::RoleId;
use crocushold_ownership::Target;
use crocushold_ownership::View;
use crocushold_platform::wire;
use crocushold_platform::wire::LoadReport;

use super::engine::Engine;
use super::engine::Heard;
use super::engine::engine_id;
use super::engine::model_id;
use super::placement::Candidate;
use super::placement::Wanted;
use super::placement::place;

/// The text names no roles: engines keep theirs.
const ROLE: RoleId = RoleId(0);

/// An order to carry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Errand {
    pub(super) order: Order,
    /// The engine's name, for the log.
    pub(super) server: String,
    pub(super) address: SocketAddr,
    pub(super) body: wire::Order,
}

/// An engine obeyed a newer text than this instance has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Outdated {
    pub(super) server: String,
    pub(super) fence: u64,
}

/// What is to be done after a tick.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Duties {
    pub(super) errands: Vec<Errand>,
    pub(super) outdated: Vec<Outdated>,
}

/// A load that waits for the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PendingLoad {
    pub(super) service: ServiceKey,
    pub(super) engine: EngineId,
    pub(super) model: ModelId,
}

/// Decides the orders of one instance.
#[derive(Debug)]
pub(super) struct Desk {
    me: Member,
    live: View,
    orders: Orders,
    revision: u64,
    engines: BTreeMap<EngineId, Engine>,
    wanted: BTreeMap<ServiceKey, Vec<Wanted>>,
    names: BTreeMap<ModelId, String>,
    /// Loads that were decided and have no permit.
    pending: BTreeSet<PendingLoad>,
    /// Permits that may still be used, with their end.
    permits: BTreeMap<(EngineId, ModelId), Millis>,
    /// Engines that were reported as ahead of this instance, with their numbers.
    ahead: BTreeMap<EngineId, u64>,
}

impl Desk {
    pub(super) fn new(settings: OrderSettings, me: Member, now: Millis) -> Desk {
        Desk {
            me,
            live: View::new([me]),
            orders: Orders::new(settings, me, now),
            revision: 0,
            engines: BTreeMap::new(),
            wanted: BTreeMap::new(),
            names: BTreeMap::new(),
            pending: BTreeSet::new(),
            permits: BTreeMap::new(),
            ahead: BTreeMap::new(),
        }
    }

    /// Takes a text over. Services that may order no loads are left alone: what is unloaded there
    /// could not be loaded again.
    pub(super) fn configure(&mut self, catalog: &Catalog, revision: u64, now: Millis) {
        self.revision = revision;
        self.wanted.clear();
        self.names.clear();
        let services = catalog.services.iter();
        for (key, service) in services.filter(|(_, s)| s.kind == Kind::Model && s.weight_loads > 0)
        {
            let models = service.models.iter().map(|&model| &catalog.models[model]);
            for model in models {
                let id = model_id(&model.id);
                self.names.insert(id, model.id.clone());
                self.wanted.entry(key).or_default().push(Wanted {
                    model: id,
                    replicas: model.replicas as usize,
                });
            }
        }
        self.take_servers(catalog, now);
    }

    fn take_servers(&mut self, catalog: &Catalog, now: Millis) {
        let mut kept = BTreeSet::new();
        for (key, server) in &catalog.servers {
            if !self.wanted.contains_key(&server.service) {
                continue;
            }
            let id = engine_id(server);
            kept.insert(id);
            let fresh = || Engine::new(key, server, now);
            self.engines
                .entry(id)
                .or_insert_with(fresh)
                .update(key, server);
        }
        let gone: Vec<EngineId> = self
            .engines
            .extract_if(.., |id, _| !kept.contains(id))
            .map(|(id, _)| id)
            .collect();
        for id in gone {
            self.orders.on_engine_gone(id);
        }
        self.pending.retain(|load| kept.contains(&load.engine));
    }

    /// The live view, confirmed as of now, and every member not known to have ended.
    pub(super) fn on_view(&mut self, live: View, reference: &View, now: Millis) {
        self.live = live.clone();
        self.orders.on_view(live, reference, now);
    }

    /// A reading of `/load` that was begun at `asked_at`.
    ///
    /// Models that the text doesn't name are left out, so that none is ever unloaded that somebody
    /// else may have put there.
    pub(super) fn on_report(
        &mut self,
        server: ServerKey,
        report: &LoadReport,
        asked_at: Millis,
        now: Millis,
    ) {
        let names = &self.names;
        let engine = self.engines.values_mut().find(|e| e.key == server);
        let Some(engine) = engine else {
            return;
        };
        let ids = report.models.iter().map(|name| model_id(name));
        let models: Vec<ModelId> = ids.filter(|id| names.contains_key(id)).collect();
        engine.heard = Some(Heard {
            models: models.clone(),
            busy: report.running + report.waiting > 0,
            at: asked_at,
        });
        let report = EngineReport {
            engine: engine.id,
            models,
            role: ROLE,
            fence: report.fence,
            asked_at,
        };
        self.orders.on_report(report, now);
    }

    /// Time has passed; call it about once a second.
    pub(super) fn on_tick(&mut self, now: Millis) -> Duties {
        self.place_all(now);
        self.forget_loads(now);
        let mut duties = Duties::default();
        for action in self.orders.on_tick(now) {
            match action {
                OrderAction::Send(order) => duties.errands.extend(self.errand(order, now)),
                // Every engine is read once a second anyhow.
                OrderAction::ReadBack(_) => {}
                OrderAction::Outdated { engine, fence } => {
                    duties.outdated.extend(self.note_outdated(engine, fence));
                }
            }
        }
        duties
    }

    /// Drops permits that have ended and wants that were met, or are another's matter by now.
    fn forget_loads(&mut self, now: Millis) {
        self.permits.retain(|_, until| now < *until);
        let (engines, live, me) = (&self.engines, &self.live, self.me);
        self.pending.retain(|load| {
            let owned = live.owner(load.engine.0) == Some(me);
            let engine = engines.get(&load.engine);
            owned && engine.is_some_and(|engine| engine.awaits(load.model))
        });
    }

    /// Brings the targets up to date with the text, the reports, and which engines answer.
    fn place_all(&mut self, now: Millis) {
        let services: Vec<ServiceKey> = self.wanted.keys().copied().collect();
        for service in services {
            let engines = self.engines.values().filter(|e| e.service == service);
            let candidates: Vec<Candidate> = engines.map(|e| e.candidate(now)).collect();
            for placement in place(&self.wanted[&service], &candidates) {
                self.set_target(placement.engine, placement.models, now);
            }
        }
    }

    /// A target that changes within a revision counts as that of a new engine, whose owner waits and
    /// reads again: two instances that saw different reports might else undo each other's orders.
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
            self.orders.on_engine_gone(id);
        }
        engine.placed = placed;
        let target = Target {
            engine: id,
            revision: self.revision,
            fencing: engine.fencing,
            models,
            role: ROLE,
        };
        self.orders.on_target(target, now);
    }

    /// Makes an order ready to be carried, unless it has to wait.
    fn errand(&mut self, order: Order, now: Millis) -> Option<Errand> {
        let engine = self.engines.get(&order.engine)?;
        let body = self.body(&order);
        let allowed = match order.kind {
            OrderKind::Load(model) => engine.holds(model) || self.use_permit(&order, model),
            OrderKind::Unload(model) => self.may_unload(order.engine, model, now),
            OrderKind::Role(_) => false,
        };
        let (true, Some(body)) = (allowed, body) else {
            self.orders.on_answer(&order, OrderAnswer::Failed, now);
            return None;
        };
        let engine = self.engines.get(&order.engine)?;
        Some(Errand {
            order,
            server: engine.name.clone(),
            address: engine.address,
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
            OrderKind::Role(_) => return None,
        };
        Some(wire::Order {
            fence: order.fence,
            kind,
        })
    }

    /// Uses the permit for a load, or notes that one is wanted.
    fn use_permit(&mut self, order: &Order, model: ModelId) -> bool {
        let engine = order.engine;
        let Some(service) = self.engines.get(&engine).map(|e| e.service) else {
            return false;
        };
        let load = PendingLoad {
            service,
            engine,
            model,
        };
        if self.permits.remove(&(engine, model)).is_some() {
            self.pending.remove(&load);
            return true;
        }
        self.pending.insert(load);
        false
    }

    /// Whether a model may go from an engine: nothing runs there, or another engine of the service
    /// certainly holds it. Otherwise its callers would be left without a server.
    fn may_unload(&self, id: EngineId, model: ModelId, now: Millis) -> bool {
        let Some(engine) = self.engines.get(&id) else {
            return false;
        };
        let mut others = self.engines.values().filter(|other| other.id != id);
        let served =
            others.any(|other| other.service == engine.service && other.surely_holds(model, now));
        served || engine.is_surely_idle(now)
    }

    fn note_outdated(&mut self, engine: EngineId, fence: u64) -> Option<Outdated> {
        if self.ahead.insert(engine, fence) == Some(fence) {
            return None;
        }
        let server = self.engines.get(&engine)?.name.clone();
        Some(Outdated { server, fence })
    }

    /// Whether an order may be sent at this moment; ask right before its first byte.
    pub(super) fn may_send(&mut self, order: &Order, now: Millis) -> bool {
        self.orders.may_send(order, now)
    }

    /// An order was answered, or its call failed.
    pub(super) fn on_answer(&mut self, order: &Order, answer: OrderAnswer, now: Millis) {
        self.orders.on_answer(order, answer, now);
    }

    /// Engines that this instance owns, and all that there are.
    pub(super) fn owned(&self) -> (u64, u64) {
        let mine = |id: &&EngineId| self.live.owner(id.0) == Some(self.me);
        let owned = self.engines.keys().filter(mine).count();
        (owned as u64, self.engines.len() as u64)
    }
}
