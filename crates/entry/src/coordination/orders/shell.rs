//! The desk behind its lock, and the orders that it sends.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_std::task;
use crocushold_base::Clock;
use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_config::Catalog;
use crocushold_http::Client;
use crocushold_metrics::status::LimitStatus;
use crocushold_ownership::Member;
use crocushold_ownership::OrderAnswer;
use crocushold_ownership::OrderSettings;
use crocushold_ownership::View;
use crocushold_platform::wire::LoadReport;
use crocushold_platform::wire::OrderKind;
use log::info;
use log::warn;

use super::desk::Desk;
use super::desk::Errand;
use super::desk::Outdated;
use super::send::send;

/// The orders to engines, shared by the tasks of an instance.
pub(crate) struct EngineOrders {
    clock: Clock,
    client: Client,
    settings: OrderSettings,
    desk: Mutex<Desk>,
}

impl EngineOrders {
    pub(crate) fn new(clock: Clock, me: Member, client: Client) -> Arc<EngineOrders> {
        let settings = OrderSettings::default();
        Arc::new(EngineOrders {
            clock,
            client,
            settings,
            desk: Mutex::new(Desk::new(settings, me, clock.now())),
        })
    }

    fn desk(&self) -> MutexGuard<'_, Desk> {
        self.desk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a text in force.
    pub(crate) fn configure(&self, catalog: &Catalog, revision: u64) {
        self.desk().configure(catalog, revision, self.clock.now());
    }

    /// Takes a reading of an engine's `/load` that was begun at `asked_at`.
    pub(crate) fn on_report(&self, server: ServerKey, report: &LoadReport, asked_at: Millis) {
        let now = self.clock.now();
        self.desk().on_report(server, report, asked_at, now);
    }

    /// The members that certainly live, confirmed as of now, and those not known to have ended.
    pub(crate) fn on_view(&self, live: View, reference: &View) {
        self.desk().on_view(live, reference, self.clock.now());
    }

    /// Time has passed; sends what is due, each order in a task of its own.
    pub(crate) fn on_tick(self: &Arc<Self>) {
        let duties = self.desk().on_tick(self.clock.now());
        duties.outdated.iter().for_each(log_outdated);
        for errand in duties.errands {
            let orders = self.clone();
            task::spawn(async move { orders.carry(&errand).await });
        }
    }

    async fn carry(&self, errand: &Errand) {
        // The process may have been stopped since the order was decided, for as long as another
        // instance took to become the owner. An engine that ignores fencing numbers would obey it.
        if !self.desk().may_send(&errand.order, self.clock.now()) {
            let now = self.clock.now();
            self.desk()
                .on_answer(&errand.order, OrderAnswer::Failed, now);
            info!("{}", event("order-dropped", errand));
            return;
        }
        let answer = send(&self.client, errand, self.settings.call_limit).await;
        let now = self.clock.now();
        self.desk().on_answer(&errand.order, answer, now);
        let event = event("order-sent", errand);
        info!("{}", event.with("answer", answer_name(answer)));
    }

    /// The engines that this instance owns, of all, for the status page.
    pub(crate) fn status(&self) -> LimitStatus {
        let (used, bound) = self.desk().owned();
        LimitStatus {
            limit: "orders/engines-owned".to_owned(),
            used,
            bound,
        }
    }
}

fn event(name: &'static str, errand: &Errand) -> Event {
    let (kind, model) = match &errand.body.kind {
        OrderKind::Load { model } => ("load", model.as_str()),
        OrderKind::Unload { model } => ("unload", model.as_str()),
        OrderKind::Role { .. } => ("role", ""),
    };
    Event::new(name)
        .with("server", &errand.server)
        .with("kind", kind)
        .with("model", model)
        .with("fence", errand.order.fence)
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
