//! The state machine of shared limits: borrower and lender in one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crocushold_base::Millis;

use super::account::Account;
use super::account::Counts;
use super::message::AccountId;
use super::message::Admission;
use super::message::Borrow;
use super::message::BorrowReply;
use super::message::BorrowRequest;
use super::message::Limit;
use super::message::LimitSettings;
use super::message::ReturnRequest;
use crate::view::Member;
use crate::view::View;

/// One instance's part in the limits of all accounts.
#[derive(Debug)]
pub struct Limits {
    settings: LimitSettings,
    me: Member,
    live: View,
    counts: Counts,
    accounts: BTreeMap<AccountId, Account>,
    /// Accounts that may want a loan. A tick visits these alone: most of thousands are idle.
    active: BTreeSet<AccountId>,
    cursor: AccountId,
    budget: f64,
    ticked_at: Millis,
}

impl Limits {
    /// An instance that knows only itself.
    pub fn new(settings: LimitSettings, me: Member, now: Millis) -> Limits {
        Limits {
            settings,
            me,
            live: View::new([me]),
            counts: Counts {
                live: 1,
                reference: 1,
            },
            accounts: BTreeMap::new(),
            active: BTreeSet::new(),
            cursor: AccountId(0),
            budget: 0.0,
            ticked_at: now,
        }
    }

    /// The configuration states a limit. Of an account without one nothing is admitted.
    pub fn on_limit(&mut self, account: AccountId, limit: Limit, now: Millis) {
        let owned = self.owns(account);
        let fresh = || Account::new(limit, now);
        let known = self.accounts.entry(account).or_insert_with(fresh);
        known.limit = limit;
        known.pool.set_owned(owned, now);
    }

    /// The account has left the configuration.
    pub fn on_account_removed(&mut self, account: AccountId) {
        self.accounts.remove(&account);
        self.active.remove(&account);
    }

    /// The live view, and the reference membership: every member not known to have ended. Members
    /// that can't be reached keep their share, for they may be admitting on the other side of a
    /// partition.
    pub fn on_view(&mut self, live: View, reference: &View, now: Millis) {
        let count = live.members().len().max(1);
        self.counts = Counts {
            live: count,
            reference: reference.members().len().max(count),
        };
        self.live = live;
        for (account, state) in &mut self.accounts {
            let owned = self.live.owner(account.0) == Some(self.me);
            state.pool.set_owned(owned, now);
        }
    }

    /// Whether a request of `cost` units may start. An admitted one is released later.
    pub fn admit(&mut self, account: AccountId, cost: f64, now: Millis) -> Admission {
        let Some(state) = self.accounts.get_mut(&account) else {
            let retry_after = self.settings.loan_ttl;
            return Admission::Limited { retry_after };
        };
        self.active.insert(account);
        state.admit(self.settings, self.counts, cost, now)
    }

    /// An admitted request has ended.
    pub fn release(&mut self, account: AccountId) {
        if let Some(state) = self.accounts.get_mut(&account) {
            state.release();
        }
    }

    /// Time has passed; call it several times a period. Returns the loans to ask for.
    pub fn on_tick(&mut self, now: Millis) -> Vec<Borrow> {
        let most = f64::from(self.settings.max_borrows_per_second);
        let span = now.since(self.ticked_at).as_secs_f64();
        self.ticked_at = now;
        self.budget = (self.budget + most * span).min(most);
        let accounts = &self.accounts;
        self.active
            .retain(|id| accounts.get(id).is_some_and(|state| !state.is_idle()));
        let mut borrows = Vec::new();
        for account in self.wanting(now) {
            let Some(to) = self.live.owner(account.0) else {
                break;
            };
            if to != self.me && self.budget < 1.0 {
                break;
            }
            if to != self.me {
                self.budget -= 1.0;
            }
            self.cursor = AccountId(account.0.wrapping_add(1));
            borrows.extend(self.borrow(account, to, now));
        }
        borrows
    }

    /// Answers a request for a loan.
    pub fn on_borrow(&mut self, from: Member, request: &BorrowRequest, now: Millis) -> BorrowReply {
        let Some(state) = self.accounts.get_mut(&request.account) else {
            return BorrowReply::default();
        };
        let terms = state.terms(self.settings, self.counts);
        state.pool.lend(&terms, from, request, now)
    }

    /// A loan came. `asked_at` is the time of the tick that asked for it.
    pub fn on_borrow_reply(&mut self, account: AccountId, reply: BorrowReply, asked_at: Millis) {
        if let Some(state) = self.accounts.get_mut(&account) {
            state.lend(&self.settings, reply, asked_at);
            // Lent slots that are in use have to be renewed, also when nothing more is asked for.
            self.active.insert(account);
        }
    }

    /// A borrower gives slots back.
    pub fn on_return(&mut self, from: Member, request: &ReturnRequest) {
        if let Some(state) = self.accounts.get_mut(&request.account) {
            state.pool.give_back(from, request.kept);
        }
    }

    fn owns(&self, account: AccountId) -> bool {
        self.live.owner(account.0) == Some(self.me)
    }

    /// Accounts that may ask for a loan now, from the cursor on and around, so that the limit on
    /// messages starves none.
    fn wanting(&self, now: Millis) -> Vec<AccountId> {
        let settings = &self.settings;
        let due = |state: &Account| {
            let pace = state.pace(settings);
            state.asked_at.is_none_or(|at| now.since(at) >= pace)
        };
        let wants = |id: &&AccountId| self.accounts.get(id).is_some_and(due);
        let after = self.active.range(self.cursor..).filter(wants);
        let before = self.active.range(..self.cursor).filter(wants);
        after.chain(before).copied().collect()
    }

    fn borrow(&mut self, account: AccountId, to: Member, now: Millis) -> Option<Borrow> {
        let state = self.accounts.get_mut(&account)?;
        state.asked_at = Some(now);
        let terms = state.terms(self.settings, self.counts);
        let request = state.wants(&terms, account);
        Some(Borrow { to, request })
    }
}
