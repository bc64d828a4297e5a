//! Admission within an account's limits, as a pure state machine.

use crocushold_base::AccountKey;
use crocushold_base::Millis;
use crocushold_config::Catalog;
use crocushold_ownership::AccountId;
use crocushold_ownership::Admission;
use crocushold_ownership::Borrow;
use crocushold_ownership::BorrowReply;
use crocushold_ownership::BorrowRequest;
use crocushold_ownership::LimitSettings;
use crocushold_ownership::Limits;
use crocushold_ownership::Member;
use crocushold_ownership::ReturnRequest;
use crocushold_ownership::View;
use slotmap::SecondaryMap;

use super::account::Account;
use super::account::Charge;
use super::account::LimitExceeded;
use super::account::LimitKind;
use super::account::TokenEstimate;

/// Maximum number of installments of a token debt that are paid in one call, which bounds the
/// duration of the call.
const MAX_INSTALLMENTS: usize = 64;

/// Minimum interval between log events for the refusals of one account.
const REFUSAL_LOG_PERIOD: Millis = Millis::from_secs(10);

/// Admits requests within this instance's share of each account's limits.
#[derive(Debug)]
pub(crate) struct Limiter {
    settings: LimitSettings,
    limits: Limits,
    accounts: SecondaryMap<AccountKey, Account>,
    /// Number of members among which the limits are split evenly.
    reference: usize,
}

/// Refusals of an account since the last log event, by limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RefusalCounts {
    pub(crate) account: String,
    pub(crate) counts: [u32; 3],
}

/// Usage and limits of an account at this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AccountStatus {
    pub(crate) account: String,
    pub(crate) running: u32,
    pub(crate) concurrency: u32,
    pub(crate) debt: u64,
    pub(crate) tokens: u32,
}

impl Limiter {
    pub(crate) fn new(settings: LimitSettings, me: Member, now: Millis) -> Limiter {
        Limiter {
            settings,
            limits: Limits::new(settings, me, now),
            accounts: SecondaryMap::new(),
            reference: 1,
        }
    }

    /// Applies the limits of a catalog. The usage of accounts that remain is kept.
    pub(crate) fn configure(&mut self, catalog: &Catalog, now: Millis) {
        let removed = |(key, _): &(AccountKey, &Account)| !catalog.accounts.contains_key(*key);
        let removed: Vec<AccountKey> = self
            .accounts
            .iter()
            .filter(removed)
            .map(|(k, _)| k)
            .collect();
        for key in removed {
            self.remove(key);
        }
        for (key, account) in &catalog.accounts {
            let fresh = || Account::new(&account.name, account.limits);
            match self.accounts.get_mut(key) {
                Some(known) => known.limits = account.limits,
                None => {
                    self.accounts.insert(key, fresh());
                }
            }
            for kind in LimitKind::ALL {
                let limit = kind.limit(&account.limits);
                self.limits.on_limit(kind.id(&account.name), limit, now);
            }
        }
    }

    fn remove(&mut self, key: AccountKey) {
        if let Some(account) = self.accounts.remove(key) {
            for kind in LimitKind::ALL {
                self.limits.on_account_removed(account.id(kind));
            }
        }
    }

    /// Updates the live view and the members that may be admitting requests.
    pub(crate) fn on_view(&mut self, live: View, reference: &View, now: Millis) {
        self.reference = reference.members().len().max(live.members().len()).max(1);
        self.limits.on_view(live, reference, now);
    }

    /// Admits a request or returns the limit that it exceeds.
    pub(crate) fn admit(
        &mut self,
        key: AccountKey,
        estimate: &TokenEstimate,
        now: Millis,
    ) -> Result<Charge, LimitExceeded> {
        let result = self.try_admit(key, estimate, now);
        if let Err(exceeded) = &result
            && let Some(account) = self.accounts.get_mut(key)
        {
            let count = &mut account.refused[exceeded.kind as usize];
            *count = count.saturating_add(1);
        }
        result
    }

    fn try_admit(
        &mut self,
        key: AccountKey,
        estimate: &TokenEstimate,
        now: Millis,
    ) -> Result<Charge, LimitExceeded> {
        let Some(account) = self.accounts.get_mut(key) else {
            // The account was removed and the configuration without it is about to become active;
            // there is no state to charge.
            return Err(self.exceeded(LimitKind::Concurrency, Millis::ZERO));
        };
        if account.debt > 0.0 {
            let rate = f64::from(account.limits.tokens).max(1.0);
            let wait = Millis((account.debt / rate * 1_000.0) as u64);
            return Err(self.exceeded(LimitKind::Tokens, wait));
        }
        let slot = self.take_slot(key, now)?;
        if !self.take_request(key, now) {
            self.free_slot(key, slot);
            return Err(self.exceeded(LimitKind::Requests, Millis::ZERO));
        }
        let Some(tokens) = self.take_tokens(key, estimate, now) else {
            self.free_slot(key, slot);
            self.refund_request(key, now);
            return Err(self.exceeded(LimitKind::Tokens, Millis::ZERO));
        };
        Ok(Charge {
            prompt: estimate.prompt,
            tokens,
            slot,
        })
    }

    fn exceeded(&self, kind: LimitKind, wait: Millis) -> LimitExceeded {
        let retry_after = wait.max(self.settings.borrow_interval);
        LimitExceeded { kind, retry_after }
    }

    /// Takes a slot. Returns false if the request runs without one.
    ///
    /// An account with fewer than two slots per instance has no share of its own here, and its
    /// first request would be refused wherever it arrives. So one request runs without a slot,
    /// while the refusal that the ledger has recorded leads to a request for a loan.
    fn take_slot(&mut self, key: AccountKey, now: Millis) -> Result<bool, LimitExceeded> {
        let account = &mut self.accounts[key];
        let id = account.id(LimitKind::Concurrency);
        let admitted = self.limits.admit(id, 0.0, now) == Admission::Admitted;
        if !admitted && account.running > 0 {
            return Err(self.exceeded(LimitKind::Concurrency, Millis::ZERO));
        }
        account.running += 1;
        Ok(admitted)
    }

    fn free_slot(&mut self, key: AccountKey, slot: bool) {
        let Some(account) = self.accounts.get_mut(key) else {
            return;
        };
        account.running = account.running.saturating_sub(1);
        if slot {
            self.limits.release(account.id(LimitKind::Concurrency));
        }
    }

    fn take_request(&mut self, key: AccountKey, now: Millis) -> bool {
        let account = &mut self.accounts[key];
        if account.requests.take(1.0, now) >= 1.0 {
            return true;
        }
        let id = account.id(LimitKind::Requests);
        self.take_units(id, 1.0, now)
    }

    fn refund_request(&mut self, key: AccountKey, now: Millis) {
        let until = now + self.settings.loan_ttl;
        self.accounts[key].requests.add(1.0, until, now);
    }

    /// Charges the expected cost of a request. The request starts once the first installment is
    /// charged, since one that costs more than the instance can ever accumulate could not run
    /// otherwise. The rest becomes a debt.
    fn take_tokens(
        &mut self,
        key: AccountKey,
        estimate: &TokenEstimate,
        now: Millis,
    ) -> Option<f64> {
        let installment = self.installment(key);
        let account = &mut self.accounts[key];
        let cost = account.estimated_cost(estimate);
        let need = cost - account.tokens.take(cost, now);
        let first = need.min(installment);
        let id = account.id(LimitKind::Tokens);
        if first > 0.0 && !self.take_units(id, first, now) {
            let until = now + self.settings.loan_ttl;
            let account = &mut self.accounts[key];
            account.tokens.add(cost - need, until, now);
            return None;
        }
        self.accounts[key].debt += need - first;
        self.pay_debt(key, now);
        Some(cost)
    }

    /// Units charged at a time: what this instance can accumulate by itself, so that a debt is paid
    /// even if no loan is available.
    fn installment(&self, key: AccountKey) -> f64 {
        let rate = f64::from(self.accounts[key].limits.tokens);
        let share = rate * self.settings.base_fraction / self.reference as f64;
        (share * self.settings.burst_seconds).max(1.0)
    }

    fn pay_debt(&mut self, key: AccountKey, now: Millis) {
        let installment = self.installment(key);
        let id = self.accounts[key].id(LimitKind::Tokens);
        for _ in 0..MAX_INSTALLMENTS {
            let step = self.accounts[key].debt.min(installment);
            if step <= 0.0 || !self.take_units(id, step, now) {
                return;
            }
            self.accounts[key].debt -= step;
        }
    }

    fn take_units(&mut self, id: AccountId, units: f64, now: Millis) -> bool {
        let admitted = self.limits.admit(id, units, now) == Admission::Admitted;
        if admitted {
            self.limits.release(id);
        }
        admitted
    }

    /// Settles a request that ended after `output` tokens. `complete` means that the length of the
    /// response is representative.
    pub(crate) fn settle(
        &mut self,
        key: AccountKey,
        charge: &Charge,
        output: u32,
        complete: bool,
        now: Millis,
    ) {
        self.free_slot(key, charge.slot);
        let Some(account) = self.accounts.get_mut(key) else {
            return;
        };
        if complete {
            account.observe_output(output);
        }
        let used = f64::from(charge.prompt) + f64::from(output);
        self.adjust_tokens(key, used - charge.tokens, now);
    }

    /// Refunds the whole charge of an admitted request that did not run.
    pub(crate) fn refund(&mut self, key: AccountKey, charge: &Charge, now: Millis) {
        self.free_slot(key, charge.slot);
        if self.accounts.contains_key(key) {
            self.refund_request(key, now);
            self.adjust_tokens(key, -charge.tokens, now);
        }
    }

    /// Charges tokens that were used beyond the charge, or refunds those that were not used.
    fn adjust_tokens(&mut self, key: AccountKey, tokens: f64, now: Millis) {
        let until = now + self.settings.loan_ttl;
        let account = &mut self.accounts[key];
        if tokens > 0.0 {
            account.debt += tokens - account.tokens.take(tokens, now);
            self.pay_debt(key, now);
            return;
        }
        let paid = account.debt.min(-tokens);
        account.debt -= paid;
        account.tokens.add(-tokens - paid, until, now);
    }

    /// Advances the time; to be called several times per period. Returns the loans to request.
    pub(crate) fn on_tick(&mut self, now: Millis) -> Vec<Borrow> {
        let owing = self.accounts.iter().filter(|(_, a)| a.debt > 0.0);
        let owing: Vec<AccountKey> = owing.map(|(key, _)| key).collect();
        for key in owing {
            self.pay_debt(key, now);
        }
        self.limits.on_tick(now)
    }

    /// Handles another member's request for a loan.
    pub(crate) fn on_borrow(
        &mut self,
        from: Member,
        request: &BorrowRequest,
        now: Millis,
    ) -> BorrowReply {
        self.limits.on_borrow(from, request, now)
    }

    /// Adds a loan of another member that was requested at `asked_at`.
    pub(crate) fn on_lent(
        &mut self,
        id: AccountId,
        from: Member,
        reply: BorrowReply,
        asked_at: Millis,
    ) {
        self.limits.on_borrow_reply(id, from, reply, asked_at);
    }

    /// Handles the return of slots by another member.
    pub(crate) fn on_return(&mut self, from: Member, request: &ReturnRequest) {
        self.limits.on_return(from, request);
    }

    /// Returns the refusals whose log event is due.
    pub(crate) fn take_refusals(&mut self, now: Millis) -> Vec<RefusalCounts> {
        let due = |account: &&mut Account| {
            let quiet = account.logged_at == Millis::ZERO;
            account.refused != [0; 3]
                && (quiet || now.since(account.logged_at) >= REFUSAL_LOG_PERIOD)
        };
        let report = |account: &mut Account| {
            account.logged_at = now;
            RefusalCounts {
                account: account.name.clone(),
                counts: std::mem::take(&mut account.refused),
            }
        };
        self.accounts.values_mut().filter(due).map(report).collect()
    }

    /// Returns the accounts that have requests in progress or a debt.
    pub(crate) fn account_statuses(&self) -> Vec<AccountStatus> {
        let active = self
            .accounts
            .values()
            .filter(|a| a.running > 0 || a.debt > 0.0);
        let account_statuses = active.map(|account| AccountStatus {
            account: account.name.clone(),
            running: account.running,
            concurrency: account.limits.concurrency,
            debt: account.debt as u64,
            tokens: account.limits.tokens,
        });
        account_statuses.collect()
    }
}
