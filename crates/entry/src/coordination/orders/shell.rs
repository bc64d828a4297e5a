//! The order planners behind their lock, and the sending of their orders.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_std::task;
use crocushold_base::Clock;
use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_base::ServiceKey;
use crocushold_config::Catalog;
use crocushold_config::Service;
use crocushold_config::ServiceKind;
use crocushold_http::Client;
use crocushold_metrics::status::LimitStatus;
use crocushold_ownership::Member;
use crocushold_ownership::OrderAnswer;
use crocushold_ownership::OrderSettings;
use crocushold_ownership::View;
use crocushold_platform::wire::EngineRole;
use crocushold_platform::wire::LoadReport;
use crocushold_platform::wire::OrderKind;
use log::info;
use log::warn;

use super::engine::model_id;
use super::message::ModelRank;
use super::message::OutboundOrder;
use super::message::Outdated;
use super::message::TickActions;
use super::planner::OrderPlanner;
use super::send::send;
use crate::failpoint::Point;
use crate::failpoint::reach;

/// The tier of the recent requests for a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ModelDemand {
    /// The name that engines list.
    pub(crate) model: String,
    /// Highest tier of the requests, where 0 is the highest of all.
    pub(crate) tier: u8,
}

/// The orders to engines, shared by the tasks of an instance.
pub(crate) struct EngineOrders {
    clock: Clock,
    client: Client,
    me: Member,
    call_limit: Millis,
    planners: Mutex<BTreeMap<ServiceKey, OrderPlanner>>,
}

impl EngineOrders {
    pub(crate) fn new(clock: Clock, me: Member, client: Client) -> Arc<EngineOrders> {
        Arc::new(EngineOrders {
            clock,
            client,
            me,
            call_limit: OrderSettings::default().call_timeout,
            planners: Mutex::new(BTreeMap::new()),
        })
    }

    fn planners(&self) -> MutexGuard<'_, BTreeMap<ServiceKey, OrderPlanner>> {
        self.planners.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a configuration. Services that may not order loads are skipped: a model that is
    /// unloaded there could not be loaded again.
    pub(crate) fn configure(&self, catalog: &Catalog, revision: u64) {
        let now = self.clock.now();
        let mut planners = self.planners();
        let ordered =
            |service: &Service| service.kind == ServiceKind::Model && service.weight_loads > 0;
        planners.retain(|key, _| catalog.services.get(*key).is_some_and(ordered));
        for (key, service) in catalog.services.iter().filter(|(_, s)| ordered(s)) {
            let loads = service.weight_loads;
            let fresh = || OrderPlanner::new(&service.name, loads, self.me, now);
            let planner = planners.entry(key).or_insert_with(fresh);
            if planner.loads() != loads {
                *planner = fresh();
            }
            planner.configure(catalog, service, revision, now);
        }
    }

    /// The services whose engines this instance sends orders to, and whose reports it therefore
    /// needs.
    pub(crate) fn owned(&self) -> Vec<ServiceKey> {
        let planners = self.planners();
        let owned = planners.iter().filter(|(_, planner)| planner.owned().0);
        owned.map(|(&service, _)| service).collect()
    }

    /// Handles an engine's report of `/load` that was requested at `asked_at`.
    pub(crate) fn on_report(
        &self,
        service: ServiceKey,
        server: ServerKey,
        report: &LoadReport,
        asked_at: Millis,
    ) {
        let now = self.clock.now();
        if let Some(planner) = self.planners().get_mut(&service) {
            planner.on_report(server, report, asked_at, now);
        }
    }

    /// Whether a model that a server holds is about to be unloaded there, so that its requests
    /// should be sent elsewhere.
    pub(crate) fn is_surplus(&self, service: ServiceKey, server: ServerKey, model: &str) -> bool {
        let now = self.clock.now();
        let planners = self.planners();
        let planner = planners.get(&service);
        planner.is_some_and(|planner| planner.is_surplus(server, model_id(model), now))
    }

    /// Updates the members that are certainly live, confirmed as of now, and those not known to
    /// have ended.
    pub(crate) fn on_view(&self, live: &View, reference: &View) {
        let now = self.clock.now();
        for planner in self.planners().values_mut() {
            planner.on_view(live, reference, now);
        }
    }

    /// Updates the highest tier of the recent requests for each model of a service, where 0 is the
    /// highest of all.
    pub(crate) fn on_demand(&self, service: ServiceKey, demand: &[ModelDemand]) {
        let ranks = demand.iter().map(|demand| ModelRank {
            model: model_id(&demand.model),
            rank: demand.tier,
        });
        let ranks: Vec<ModelRank> = ranks.collect();
        if let Some(planner) = self.planners().get_mut(&service) {
            planner.on_ranks(&ranks);
        }
    }

    /// Advances the time and sends the due orders, each in its own task.
    pub(crate) fn on_tick(self: &Arc<Self>) {
        let now = self.clock.now();
        let actions: Vec<(ServiceKey, TickActions)> = {
            let mut planners = self.planners();
            let planners = planners.iter_mut();
            planners
                .map(|(key, planner)| (*key, planner.on_tick(now)))
                .collect()
        };
        for (service, actions) in actions {
            actions.outdated.iter().for_each(log_outdated);
            for outbound in actions.orders {
                let orders = self.clone();
                task::spawn(async move { orders.deliver(service, &outbound).await });
            }
        }
    }

    async fn deliver(&self, service: ServiceKey, outbound: &OutboundOrder) {
        reach(Point::Ordering).await;
        // The process may have been suspended after the order was decided, long enough for another
        // instance to become the owner. An engine that ignores fencing tokens would obey the order.
        if !self.may_send(service, outbound) {
            self.record_answer(service, outbound, OrderAnswer::Failed);
            info!("{}", event("order-dropped", outbound));
            return;
        }
        let answer = send(&self.client, outbound, self.call_limit).await;
        self.record_answer(service, outbound, answer);
        let event = event("order-sent", outbound);
        info!("{}", event.with("answer", answer_name(answer)));
    }

    fn may_send(&self, service: ServiceKey, outbound: &OutboundOrder) -> bool {
        let now = self.clock.now();
        let mut planners = self.planners();
        let planner = planners.get_mut(&service);
        planner.is_some_and(|planner| planner.may_send(&outbound.order, now))
    }

    fn record_answer(&self, service: ServiceKey, outbound: &OutboundOrder, answer: OrderAnswer) {
        let now = self.clock.now();
        if let Some(planner) = self.planners().get_mut(&service) {
            planner.on_answer(&outbound.order, answer, now);
        }
    }

    /// The number of engines that this instance owns, and of all engines, for the status document.
    pub(crate) fn status(&self) -> LimitStatus {
        let mut status = LimitStatus {
            limit: "orders/engines-owned".to_owned(),
            ..LimitStatus::default()
        };
        for planner in self.planners().values() {
            let (owned, engines) = planner.owned();
            status.bound += engines;
            status.used += if owned { engines } else { 0 };
        }
        status
    }
}

fn event(name: &'static str, outbound: &OutboundOrder) -> Event {
    let event = Event::new(name).with("server", &outbound.server);
    let event = match &outbound.body.kind {
        OrderKind::Load { model } => event.with("kind", "load").with("model", model),
        OrderKind::Unload { model } => event.with("kind", "unload").with("model", model),
        OrderKind::Role { role } => event.with("kind", "role").with("role", role_name(*role)),
    };
    event.with("fence", outbound.order.fence)
}

fn role_name(role: EngineRole) -> &'static str {
    match role {
        EngineRole::Both => "both",
        EngineRole::Prefill => "prefill",
        EngineRole::Decode => "decode",
        EngineRole::Other => "other",
    }
}

fn answer_name(answer: OrderAnswer) -> &'static str {
    match answer {
        OrderAnswer::Obeyed => "obeyed",
        OrderAnswer::Fenced { .. } => "fenced",
        OrderAnswer::Failed => "failed",
    }
}

fn log_outdated(outdated: &Outdated) {
    let event = Event::new("engine-ahead").with("server", &outdated.server);
    warn!("{}", event.with("fence", outdated.fence));
}
