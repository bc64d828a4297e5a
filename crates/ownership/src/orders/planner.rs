//! The state machine of orders.

use std::collections::BTreeMap;

use crocushold_base::Millis;

use super::engine::Engine;
use super::engine::Step;
use super::message::EngineId;
use super::message::EngineReport;
use super::message::Fencing;
use super::message::Order;
use super::message::OrderAction;
use super::message::OrderAnswer;
use super::message::Target;
use super::settings::OrderSettings;
use crate::pause::PauseDetector;
use crate::view::Member;
use crate::view::View;

/// Decides which orders this instance sends.
///
/// Events: [`Orders::on_target`], [`Orders::on_view`], [`Orders::on_report`], [`Orders::on_answer`],
/// [`Orders::on_tick`]. Actions come from the tick alone, so that one limit covers all of them.
#[derive(Clone, Debug)]
pub struct Orders {
    settings: OrderSettings,
    me: Member,
    view: View,
    confirmed_at: Millis,
    /// Since when the live view has been a majority of the reference; `None` while it isn't.
    quorum_since: Option<Millis>,
    guard: PauseDetector,
    engines: BTreeMap<EngineId, Engine>,
    /// Where the next tick goes on, so that the limit starves no engine.
    cursor: EngineId,
    budget: f64,
    ticked_at: Millis,
}

impl Orders {
    /// An instance that owns no engine until it is given a view.
    pub fn new(settings: OrderSettings, me: Member, now: Millis) -> Orders {
        Orders {
            settings,
            me,
            view: View::new([]),
            confirmed_at: now,
            quorum_since: None,
            guard: PauseDetector::new(settings.lease, now),
            engines: BTreeMap::new(),
            cursor: EngineId(0),
            budget: 0.0,
            ticked_at: now,
        }
    }

    /// The configuration states what an engine should be.
    pub fn on_target(&mut self, target: Target, now: Millis) {
        let engine = target.engine;
        let owned = self.owns(engine);
        match self.engines.get_mut(&engine) {
            Some(known) => known.retarget(target, now),
            None => {
                let mut fresh = Engine::new(target, now);
                fresh.owned_since = owned.then_some(now);
                self.engines.insert(engine, fresh);
            }
        }
    }

    /// The engine has left the fleet or the configuration.
    pub fn on_engine_removed(&mut self, engine: EngineId) {
        self.engines.remove(&engine);
    }

    /// The live view, changed or confirmed as of `now`, and the reference membership: every member
    /// not known to have ended. Call it at each confirmation: without one for a lease, no order is
    /// sent.
    pub fn on_view(&mut self, view: View, reference: &View, now: Millis) {
        let slept = self.observe(now) || self.guard.is_suspended();
        let lapsed = slept || now.since(self.confirmed_at) > self.settings.lease;
        self.guard.on_rejoined();
        self.confirmed_at = now;
        let majority = view.members().len() * 2 > reference.members().len();
        self.quorum_since = match self.quorum_since {
            Some(since) if majority && !lapsed => Some(since),
            _ => majority.then_some(now),
        };
        if !lapsed && view == self.view {
            return;
        }
        self.view = view;
        for engine in self.engines.values_mut() {
            let owner = self.view.owner(engine.target.engine.0);
            let owned = owner == Some(self.me);
            // After a lapse another instance may have owned the engine, so ownership starts anew.
            engine.owned_since = match engine.owned_since {
                Some(since) if owned && !lapsed => Some(since),
                _ => owned.then_some(now),
            };
        }
    }

    /// An engine's `/load` was read.
    pub fn on_report(&mut self, report: EngineReport, now: Millis) {
        self.observe(now);
        let Some(engine) = self.engines.get_mut(&report.engine) else {
            return;
        };
        engine.fence = engine.fence.max(report.fence);
        let newer = engine
            .report
            .as_ref()
            .is_none_or(|old| report.asked_at >= old.asked_at);
        if newer {
            engine.report = Some(report);
        }
    }

    /// An order was answered, or its call failed.
    pub fn on_answer(&mut self, order: &Order, answer: OrderAnswer, now: Millis) {
        self.observe(now);
        let Some(engine) = self.engines.get_mut(&order.engine) else {
            return;
        };
        engine.pending = false;
        match answer {
            OrderAnswer::Obeyed => engine.fence = engine.fence.max(order.fence),
            OrderAnswer::Fenced { fence } => engine.fence = engine.fence.max(fence),
            // It may have been obeyed; only the reading that follows tells.
            OrderAnswer::Failed => {}
        }
    }

    /// Time has passed; call it about once a second.
    pub fn on_tick(&mut self, now: Millis) -> Vec<OrderAction> {
        let span = now.since(self.ticked_at).as_secs_f64();
        self.observe(now);
        self.ticked_at = now;
        let rate = f64::from(self.settings.rate);
        self.budget = (self.budget + rate * span).min(rate);
        if !self.may_act(now) {
            return Vec::new();
        }
        let mut actions = Vec::new();
        for id in self.round() {
            if self.budget < 1.0 {
                break;
            }
            self.cursor = EngineId(id.0.wrapping_add(1));
            self.advance(id, now, &mut actions);
        }
        actions
    }

    /// Whether `order` may be sent at this moment. Call it right before the first byte: between the
    /// decision and the sending the process may have been stopped for long.
    pub fn may_send(&mut self, order: &Order, now: Millis) -> bool {
        self.observe(now);
        let Some(engine) = self.engines.get(&order.engine) else {
            return false;
        };
        let current = order.fence == engine.target.revision && !engine.is_outdated();
        let recent = engine
            .order_at
            .is_some_and(|at| now.since(at) < self.settings.min_order_interval);
        let quorum = engine.target.fencing == Fencing::Checked || self.quorum_since.is_some();
        current && recent && quorum && engine.owned_since.is_some() && self.may_act(now)
    }

    fn observe(&mut self, now: Millis) -> bool {
        self.guard.observe(now)
    }

    fn may_act(&self, now: Millis) -> bool {
        let confirmed = now.since(self.confirmed_at) <= self.settings.lease;
        confirmed && !self.guard.is_suspended()
    }

    fn owns(&self, engine: EngineId) -> bool {
        self.view.owner(engine.0) == Some(self.me)
    }

    /// The owned engines, from the cursor on and around.
    fn round(&self) -> Vec<EngineId> {
        let owned = |(id, engine): (&EngineId, &Engine)| engine.owned_since.map(|_| *id);
        let after = self.engines.range(self.cursor..).filter_map(owned);
        let before = self.engines.range(..self.cursor).filter_map(owned);
        after.chain(before).collect()
    }

    fn advance(&mut self, id: EngineId, now: Millis, actions: &mut Vec<OrderAction>) {
        let settings = self.settings;
        let Some(engine) = self.engines.get_mut(&id) else {
            return;
        };
        match engine.step(&settings, self.quorum_since, now) {
            Step::Idle if engine.is_outdated() => actions.push(OrderAction::Outdated {
                engine: id,
                fence: engine.fence,
            }),
            Step::Idle => {}
            Step::Read => {
                engine.read_at = Some(now);
                self.budget -= 1.0;
                actions.push(OrderAction::ReadBack(id));
            }
            Step::Send(order) => {
                engine.order_at = Some(now);
                engine.pending = true;
                self.budget -= 1.0;
                actions.push(OrderAction::Send(order));
            }
        }
    }
}
