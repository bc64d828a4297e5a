//! The desks behind their lock, and the orders that they send.

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

use super::desk::Desk;
use super::engine::model_id;
use super::message::Duties;
use super::message::Errand;
use super::message::Outdated;
use super::message::Ranked;
use super::send::send;
use crate::failpoint::Point;
use crate::failpoint::reach;

/// Which tier asked for a model of late.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ModelDemand {
    /// The name that engines list.
    pub(crate) model: String,
    /// The highest tier, 0 being the live one.
    pub(crate) tier: u8,
}

/// The orders to engines, shared by the tasks of an instance.
pub(crate) struct EngineOrders {
    clock: Clock,
    client: Client,
    me: Member,
    call_limit: Millis,
    desks: Mutex<BTreeMap<ServiceKey, Desk>>,
}

impl EngineOrders {
    pub(crate) fn new(clock: Clock, me: Member, client: Client) -> Arc<EngineOrders> {
        Arc::new(EngineOrders {
            clock,
            client,
            me,
            call_limit: OrderSettings::default().call_timeout,
            desks: Mutex::new(BTreeMap::new()),
        })
    }

    fn desks(&self) -> MutexGuard<'_, BTreeMap<ServiceKey, Desk>> {
        self.desks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a text in force. Services that may order no loads are left alone: what is unloaded there
    /// could not be loaded again.
    pub(crate) fn configure(&self, catalog: &Catalog, revision: u64) {
        let now = self.clock.now();
        let mut desks = self.desks();
        let ordered =
            |service: &Service| service.kind == ServiceKind::Model && service.weight_loads > 0;
        desks.retain(|key, _| catalog.services.get(*key).is_some_and(ordered));
        for (key, service) in catalog.services.iter().filter(|(_, s)| ordered(s)) {
            let loads = service.weight_loads;
            let fresh = || Desk::new(&service.name, loads, self.me, now);
            let desk = desks.entry(key).or_insert_with(fresh);
            if desk.loads() != loads {
                *desk = fresh();
            }
            desk.configure(catalog, service, revision, now);
        }
    }

    /// The services whose engines this instance sends orders to, and has to hear of.
    pub(crate) fn owned(&self) -> Vec<ServiceKey> {
        let desks = self.desks();
        let owned = desks.iter().filter(|(_, desk)| desk.owned().0);
        owned.map(|(&service, _)| service).collect()
    }

    /// Takes a reading of an engine's `/load` that was begun at `asked_at`.
    pub(crate) fn on_report(
        &self,
        service: ServiceKey,
        server: ServerKey,
        report: &LoadReport,
        asked_at: Millis,
    ) {
        let now = self.clock.now();
        if let Some(desk) = self.desks().get_mut(&service) {
            desk.on_report(server, report, asked_at, now);
        }
    }

    /// Whether a model that a server holds is about to be unloaded there, so that its requests
    /// should go to another one.
    pub(crate) fn is_spare(&self, service: ServiceKey, server: ServerKey, model: &str) -> bool {
        let now = self.clock.now();
        let desks = self.desks();
        let desk = desks.get(&service);
        desk.is_some_and(|desk| desk.is_spare(server, model_id(model), now))
    }

    /// The members that certainly live, confirmed as of now, and those not known to have ended.
    pub(crate) fn on_view(&self, live: &View, reference: &View) {
        let now = self.clock.now();
        for desk in self.desks().values_mut() {
            desk.on_view(live, reference, now);
        }
    }

    /// The highest tier that asked for each model of a service of late, 0 being the live one.
    pub(crate) fn on_demand(&self, service: ServiceKey, demand: &[ModelDemand]) {
        let ranks = demand.iter().map(|demand| Ranked {
            model: model_id(&demand.model),
            rank: demand.tier,
        });
        let ranks: Vec<Ranked> = ranks.collect();
        if let Some(desk) = self.desks().get_mut(&service) {
            desk.on_ranks(&ranks);
        }
    }

    /// Time has passed; sends what is due, each order in a task of its own.
    pub(crate) fn on_tick(self: &Arc<Self>) {
        let now = self.clock.now();
        let duties: Vec<(ServiceKey, Duties)> = {
            let mut desks = self.desks();
            let desks = desks.iter_mut();
            desks.map(|(key, desk)| (*key, desk.on_tick(now))).collect()
        };
        for (service, duties) in duties {
            duties.outdated.iter().for_each(log_outdated);
            for errand in duties.errands {
                let orders = self.clone();
                task::spawn(async move { orders.carry(service, &errand).await });
            }
        }
    }

    async fn carry(&self, service: ServiceKey, errand: &Errand) {
        reach(Point::Ordering).await;
        // The process may have been stopped since the order was decided, for as long as another
        // instance took to become the owner. An engine that ignores fencing numbers would obey it.
        if !self.may_send(service, errand) {
            self.answered(service, errand, OrderAnswer::Failed);
            info!("{}", event("order-dropped", errand));
            return;
        }
        let answer = send(&self.client, errand, self.call_limit).await;
        self.answered(service, errand, answer);
        let event = event("order-sent", errand);
        info!("{}", event.with("answer", answer_name(answer)));
    }

    fn may_send(&self, service: ServiceKey, errand: &Errand) -> bool {
        let now = self.clock.now();
        let mut desks = self.desks();
        let desk = desks.get_mut(&service);
        desk.is_some_and(|desk| desk.may_send(&errand.order, now))
    }

    fn answered(&self, service: ServiceKey, errand: &Errand, answer: OrderAnswer) {
        let now = self.clock.now();
        if let Some(desk) = self.desks().get_mut(&service) {
            desk.on_answer(&errand.order, answer, now);
        }
    }

    /// The engines that this instance owns, of all, for the status page.
    pub(crate) fn status(&self) -> LimitStatus {
        let mut status = LimitStatus {
            limit: "orders/engines-owned".to_owned(),
            ..LimitStatus::default()
        };
        for desk in self.desks().values() {
            let (owned, engines) = desk.owned();
            status.bound += engines;
            status.used += if owned { engines } else { 0 };
        }
        status
    }
}

fn event(name: &'static str, errand: &Errand) -> Event {
    let event = Event::new(name).with("server", &errand.server);
    let event = match &errand.body.kind {
        OrderKind::Load { model } => event.with("kind", "load").with("model", model),
        OrderKind::Unload { model } => event.with("kind", "unload").with("model", model),
        OrderKind::Role { role } => event.with("kind", "role").with("role", role_name(*role)),
    };
    event.with("fence", errand.order.fence)
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
