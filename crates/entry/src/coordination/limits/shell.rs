//! The limiter behind its lock.

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

use super::account::Charge;
use super::account::LimitExceeded;
use super::account::LimitKind;
use super::account::TokenEstimate;
use super::limiter::AccountStatus;
use super::limiter::Limiter;
use super::limiter::RefusalCounts;
use super::permit::Permit;

/// The limits of client accounts, shared by the tasks of an instance.
pub(crate) struct AccountLimits {
    clock: Clock,
    limiter: Mutex<Limiter>,
}

impl AccountLimits {
    pub(crate) fn new(clock: Clock, me: Member) -> Arc<AccountLimits> {
        let limiter = Limiter::new(LimitSettings::default(), me, clock.now());
        Arc::new(AccountLimits {
            clock,
            limiter: Mutex::new(limiter),
        })
    }

    fn limiter(&self) -> MutexGuard<'_, Limiter> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the limits of a catalog.
    pub(crate) fn configure(&self, catalog: &Catalog) {
        self.limiter().configure(catalog, self.clock.now());
    }

    /// Updates the live view and the members that may be admitting requests.
    pub(crate) fn on_view(&self, live: View, reference: &View) {
        self.limiter().on_view(live, reference, self.clock.now());
    }

    /// Admits a request within this instance's share, without sending a message.
    ///
    /// # Errors
    ///
    /// Returns the limit that the request exceeds.
    pub(crate) fn admit(
        self: &Arc<Self>,
        key: AccountKey,
        estimate: &TokenEstimate,
    ) -> Result<Permit, LimitExceeded> {
        let charge = self.limiter().admit(key, estimate, self.clock.now())?;
        Ok(Permit {
            limits: self.clone(),
            key,
            charge: Some(charge),
        })
    }

    pub(super) fn settle(&self, key: AccountKey, charge: &Charge, output: u32, complete: bool) {
        let now = self.clock.now();
        self.limiter().settle(key, charge, output, complete, now);
    }

    pub(super) fn refund(&self, key: AccountKey, charge: &Charge) {
        self.limiter().refund(key, charge, self.clock.now());
    }

    /// Advances the time. Returns the loans to request, and the time from which they count.
    pub(crate) fn on_tick(&self) -> (Vec<Borrow>, Millis) {
        let now = self.clock.now();
        let mut limiter = self.limiter();
        let borrows = limiter.on_tick(now);
        let refusals = limiter.take_refusals(now);
        drop(limiter);
        refusals.iter().for_each(log_refusals);
        (borrows, now)
    }

    /// Handles another member's request for a loan.
    pub(crate) fn on_borrow(&self, from: Member, request: &BorrowRequest) -> BorrowReply {
        // NaN or infinity would corrupt the pool permanently.
        if !request.units.is_finite() {
            return BorrowReply::default();
        }
        self.limiter().on_borrow(from, request, self.clock.now())
    }

    /// Adds a loan that was granted.
    pub(crate) fn on_lent(
        &self,
        id: AccountId,
        from: Member,
        reply: BorrowReply,
        asked_at: Millis,
    ) {
        self.limiter().on_lent(id, from, reply, asked_at);
    }

    /// Handles the return of slots by another member.
    pub(crate) fn on_return(&self, from: Member, request: &ReturnRequest) {
        self.limiter().on_return(from, request);
    }

    /// The limits in use, for the status document.
    pub(crate) fn statuses(&self) -> Vec<LimitStatus> {
        let account_statuses = self.limiter().account_statuses();
        let mut all: Vec<LimitStatus> = account_statuses.iter().flat_map(limit_statuses).collect();
        all.sort_by(|a, b| a.limit.cmp(&b.limit));
        all
    }
}

fn limit_statuses(status: &AccountStatus) -> [LimitStatus; 2] {
    let name = &status.account;
    [
        LimitStatus {
            limit: format!("account/{name}/concurrency"),
            used: status.running.into(),
            bound: status.concurrency.into(),
        },
        LimitStatus {
            limit: format!("account/{name}/token-debt"),
            used: status.debt,
            bound: status.tokens.into(),
        },
    ]
}

fn log_refusals(refusals: &RefusalCounts) {
    let mut event = Event::new("account-limited").with("account", &refusals.account);
    for kind in LimitKind::ALL {
        event = event.with(kind.name(), refusals.counts[kind as usize]);
    }
    info!("{event}");
}
