//! The gate behind its lock: what the other tasks call.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crocushold_base::AccountKey;
use crocushold_base::Clock;
use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_config::Catalog;
use crocushold_metrics::status::LimitStatus;
use crocushold_ownership::AccountId;
use crocushold_ownership::Borrow;
use crocushold_ownership::BorrowReply;
use crocushold_ownership::BorrowRequest;
use crocushold_ownership::LimitSettings;
use crocushold_ownership::Member;
use crocushold_ownership::ReturnRequest;
use crocushold_ownership::View;
use log::info;

use super::account::Ask;
use super::account::Charge;
use super::account::LimitHit;
use super::account::LimitKind;
use super::gate::Gate;
use super::gate::Refusals;
use super::gate::Standing;
use super::permit::Permit;

/// The limits of client accounts, shared by the tasks of an instance.
pub(crate) struct AccountLimits {
    clock: Clock,
    gate: Mutex<Gate>,
}

impl AccountLimits {
    pub(crate) fn new(clock: Clock, me: Member) -> Arc<AccountLimits> {
        let gate = Gate::new(LimitSettings::default(), me, clock.now());
        Arc::new(AccountLimits {
            clock,
            gate: Mutex::new(gate),
        })
    }

    fn gate(&self) -> MutexGuard<'_, Gate> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts the limits of a catalog in force.
    pub(crate) fn configure(&self, catalog: &Catalog) {
        self.gate().configure(catalog, self.clock.now());
    }

    /// Takes the live view and the members that may be admitting.
    pub(crate) fn on_view(&self, live: View, reference: &View) {
        self.gate().on_view(live, reference, self.clock.now());
    }

    /// Admits a request by what this instance holds; no message is sent.
    ///
    /// # Errors
    ///
    /// The limit that the request is over.
    pub(crate) fn admit(self: &Arc<Self>, key: AccountKey, ask: &Ask) -> Result<Permit, LimitHit> {
        let charge = self.gate().admit(key, ask, self.clock.now())?;
        Ok(Permit {
            limits: self.clone(),
            key,
            charge: Some(charge),
        })
    }

    pub(super) fn settle(&self, key: AccountKey, charge: &Charge, output: u32, whole: bool) {
        let now = self.clock.now();
        self.gate().settle(key, charge, output, whole, now);
    }

    pub(super) fn refund(&self, key: AccountKey, charge: &Charge) {
        self.gate().refund(key, charge, self.clock.now());
    }

    /// Time has passed. Returns the loans to ask for, and the time that they are counted from.
    pub(crate) fn on_tick(&self) -> (Vec<Borrow>, Millis) {
        let now = self.clock.now();
        let mut gate = self.gate();
        let borrows = gate.on_tick(now);
        let refusals = gate.take_refusals(now);
        drop(gate);
        refusals.iter().for_each(log_refusals);
        (borrows, now)
    }

    /// Answers a member that asks for a loan.
    pub(crate) fn on_borrow(&self, from: Member, request: &BorrowRequest) -> BorrowReply {
        // A number that isn't one would spoil the pool for good.
        if !request.units.is_finite() {
            return BorrowReply::default();
        }
        self.gate().on_borrow(from, request, self.clock.now())
    }

    /// Takes a loan in.
    pub(crate) fn on_lent(&self, id: AccountId, reply: BorrowReply, asked_at: Millis) {
        self.gate().on_lent(id, reply, asked_at);
    }

    /// A member gives slots back.
    pub(crate) fn on_return(&self, from: Member, request: &ReturnRequest) {
        self.gate().on_return(from, request);
    }

    /// The limits that are in use, for the status page.
    pub(crate) fn statuses(&self) -> Vec<LimitStatus> {
        let standings = self.gate().standings();
        let mut all: Vec<LimitStatus> = standings.iter().flat_map(limit_statuses).collect();
        all.sort_by(|a, b| a.limit.cmp(&b.limit));
        all
    }
}

fn limit_statuses(standing: &Standing) -> [LimitStatus; 2] {
    let name = &standing.account;
    [
        LimitStatus {
            limit: format!("account/{name}/concurrency"),
            used: standing.running.into(),
            bound: standing.concurrency.into(),
        },
        LimitStatus {
            limit: format!("account/{name}/token-debt"),
            used: standing.debt,
            bound: standing.tokens.into(),
        },
    ]
}

fn log_refusals(refusals: &Refusals) {
    let mut event = Event::new("account-limited").with("account", &refusals.account);
    for kind in LimitKind::ALL {
        event = event.with(kind.name(), refusals.counts[kind as usize]);
    }
    info!("{event}");
}
