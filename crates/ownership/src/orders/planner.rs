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
/// Inputs: [`Orders::on_target`], [`Orders::on_view`], [`Orders::on_report`],
/// [`Orders::on_answer`], [`Orders::on_tick`]. Only the tick returns actions, so that one rate
/// limit covers all of them.
#[derive(Clone, Debug)]
pub struct Orders {
    settings: OrderSettings,
    me: Member,
    view: View,
    confirmed_at: Millis,
    /// Since when the live view has been a majority of the reference membership; `None` while it
    /// isn't.
    quorum_since: Option<Millis>,
    pause_detector: PauseDetector,
    engines: BTreeMap<EngineId, Engine>,
    /// Where the next tick continues, so that the rate limit starves no engine.
    cursor: EngineId,
    action_budget: f64,
    ticked_at: Millis,
}

impl Orders {
    /// An instance that owns no engine until it receives a view.
    pub fn new(settings: OrderSettings, me: Member, now: Millis) -> Orders {
        Orders {
            settings,
            me,
            view: View::new([]),
            confirmed_at: now,
            quorum_since: None,
            pause_detector: PauseDetector::new(settings.lease, now),
            engines: BTreeMap::new(),
            cursor: EngineId(0),
            action_budget: 0.0,
            ticked_at: now,
        }
    }

    /// Sets the desired state of an engine from the configuration.
    pub fn on_target(&mut self, target: Target, now: Millis) {
        let engine = target.engine;
        let owned = self.owns(engine);
        match self.engines.get_mut(&engine) {
            Some(known) => known.update_target(target, now),
            None => {
                let mut new_engine = Engine::new(target, now);
                new_engine.owned_since = owned.then_some(now);
                self.engines.insert(engine, new_engine);
            }
        }
    }

    /// Handles the removal of an engine from the fleet or the configuration.
    pub fn on_engine_removed(&mut self, engine: EngineId) {
        self.engines.remove(&engine);
    }

    /// Sets or confirms the live view as of `now`, and the reference membership, which has every
    /// member not known to have ended. Call this at each confirmation: without one for the duration
    /// of a lease, no orders are sent.
    pub fn on_view(&mut self, view: View, reference: &View, now: Millis) {
        let paused = self.observe(now) || self.pause_detector.is_suspended();
        let lease_expired = paused || now.since(self.confirmed_at) > self.settings.lease;
        self.pause_detector.on_rejoined();
        self.confirmed_at = now;
        let majority = view.members().len() * 2 > reference.members().len();
        self.quorum_since = match self.quorum_since {
            Some(since) if majority && !lease_expired => Some(since),
            _ => majority.then_some(now),
        };
        if !lease_expired && view == self.view {
            return;
        }
        self.view = view;
        for engine in self.engines.values_mut() {
            let owner = self.view.owner(engine.target.engine.0);
            let owned = owner == Some(self.me);
            // After the lease expired, another instance may have owned the engine, so ownership
            // starts anew.
            engine.owned_since = match engine.owned_since {
                Some(since) if owned && !lease_expired => Some(since),
                _ => owned.then_some(now),
            };
        }
    }

    /// Handles a report read from an engine's `/load`.
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

    /// Handles the answer to an order, or the failure of the call.
    pub fn on_answer(&mut self, order: &Order, answer: OrderAnswer, now: Millis) {
        self.observe(now);
        let Some(engine) = self.engines.get_mut(&order.engine) else {
            return;
        };
        engine.pending = false;
        match answer {
            OrderAnswer::Obeyed => engine.fence = engine.fence.max(order.fence),
            OrderAnswer::Fenced { fence } => engine.fence = engine.fence.max(fence),
            // The order may have been executed; only the next report tells.
            OrderAnswer::Failed => {}
        }
    }

    /// Advances the time; call this about once per second.
    pub fn on_tick(&mut self, now: Millis) -> Vec<OrderAction> {
        let elapsed = now.since(self.ticked_at).as_secs_f64();
        self.observe(now);
        self.ticked_at = now;
        let rate = f64::from(self.settings.rate);
        self.action_budget = (self.action_budget + rate * elapsed).min(rate);
        if !self.may_act(now) {
            return Vec::new();
        }
        let mut actions = Vec::new();
        for id in self.owned_engines() {
            if self.action_budget < 1.0 {
                break;
            }
            self.cursor = EngineId(id.0.wrapping_add(1));
            self.advance(id, now, &mut actions);
        }
        actions
    }

    /// Whether `order` may be sent now. Call this directly before the first byte is sent: the
    /// process may have been paused for a long time since the decision.
    pub fn may_send(&mut self, order: &Order, now: Millis) -> bool {
        self.observe(now);
        let Some(engine) = self.engines.get(&order.engine) else {
            return false;
        };
        let current = order.fence == engine.target.revision && !engine.is_outdated();
        let recent = engine
            .last_order_at
            .is_some_and(|at| now.since(at) < self.settings.min_order_interval);
        let quorum = engine.target.fencing == Fencing::Checked || self.quorum_since.is_some();
        current && recent && quorum && engine.owned_since.is_some() && self.may_act(now)
    }

    fn observe(&mut self, now: Millis) -> bool {
        self.pause_detector.observe(now)
    }

    fn may_act(&self, now: Millis) -> bool {
        let confirmed = now.since(self.confirmed_at) <= self.settings.lease;
        confirmed && !self.pause_detector.is_suspended()
    }

    fn owns(&self, engine: EngineId) -> bool {
        self.view.owner(engine.0) == Some(self.me)
    }

    /// The owned engines, in cyclic order from the cursor.
    fn owned_engines(&self) -> Vec<EngineId> {
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
                engine.last_read_at = Some(now);
                self.action_budget -= 1.0;
                actions.push(OrderAction::ReadBack(id));
            }
            Step::Send(order) => {
                engine.last_order_at = Some(now);
                engine.pending = true;
                self.action_budget -= 1.0;
                actions.push(OrderAction::Send(order));
            }
        }
    }
}
