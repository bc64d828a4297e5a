//! The state machine of shared limits, both for borrowers and lenders.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crocushold_base::Millis;

use super::account::Account;
use super::account::MemberCounts;
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

/// Maximum number of instances that are asked at a time for units of their shares.
const SHARE_LENDERS: usize = 2;

/// The limits of all accounts on one instance.
#[derive(Debug)]
pub struct Limits {
    settings: LimitSettings,
    me: Member,
    live: View,
    counts: MemberCounts,
    accounts: BTreeMap<AccountId, Account>,
    /// Accounts that may need a loan. A tick visits only these, since most of the thousands of
    /// accounts are idle.
    active: BTreeSet<AccountId>,
    cursor: AccountId,
    message_budget: f64,
    ticked_at: Millis,
}

impl Limits {
    /// An instance that knows no other members.
    pub fn new(settings: LimitSettings, me: Member, now: Millis) -> Limits {
        Limits {
            settings,
            me,
            live: View::new([me]),
            counts: MemberCounts {
                live: 1,
                reference: 1,
            },
            accounts: BTreeMap::new(),
            active: BTreeSet::new(),
            cursor: AccountId(0),
            message_budget: 0.0,
            ticked_at: now,
        }
    }

    /// Sets the limit of an account from the configuration. Accounts without a limit are never
    /// admitted.
    pub fn on_limit(&mut self, account: AccountId, limit: Limit, now: Millis) {
        let owned = self.owns(account);
        let new_account = || Account::new(limit, now);
        let known = self.accounts.entry(account).or_insert_with(new_account);
        known.limit = limit;
        known.pool.set_owned(owned, now);
    }

    /// Handles the removal of an account from the configuration.
    pub fn on_account_removed(&mut self, account: AccountId) {
        self.accounts.remove(&account);
        self.active.remove(&account);
    }

    /// Sets the live view and the reference membership, which has every member that is not known to
    /// have ended. Unreachable members keep their share, because they may be admitting requests on
    /// the other side of a partition.
    pub fn on_view(&mut self, live: View, reference: &View, now: Millis) {
        let count = live.members().len().max(1);
        self.counts = MemberCounts {
            live: count,
            reference: reference.members().len().max(count),
        };
        self.live = live;
        for (account, state) in &mut self.accounts {
            let owned = self.live.owner(account.0) == Some(self.me);
            state.pool.set_owned(owned, now);
        }
    }

    /// Whether a request that costs `cost` units may start. An admitted request must be released
    /// later.
    pub fn admit(&mut self, account: AccountId, cost: f64, now: Millis) -> Admission {
        let Some(state) = self.accounts.get_mut(&account) else {
            let retry_after = self.settings.loan_ttl;
            return Admission::Limited { retry_after };
        };
        self.active.insert(account);
        state.admit(self.settings, self.counts, cost, now)
    }

    /// Releases the slot of an admitted request that has ended.
    pub fn release(&mut self, account: AccountId) {
        if let Some(state) = self.accounts.get_mut(&account) {
            state.release();
        }
    }

    /// Advances the time; call this several times per `borrow_interval`. Returns the loans to
    /// request.
    pub fn on_tick(&mut self, now: Millis) -> Vec<Borrow> {
        let cap = f64::from(self.settings.max_borrows_per_second);
        let elapsed = now.since(self.ticked_at).as_secs_f64();
        self.ticked_at = now;
        self.message_budget = (self.message_budget + cap * elapsed).min(cap);
        let accounts = &self.accounts;
        self.active
            .retain(|id| accounts.get(id).is_some_and(|state| !state.is_idle()));
        let mut borrows = Vec::new();
        for account in self.due_accounts(now) {
            let Some(to) = self.live.owner(account.0) else {
                break;
            };
            if to != self.me && self.message_budget < 1.0 {
                break;
            }
            if to != self.me {
                self.message_budget -= 1.0;
            }
            self.cursor = AccountId(account.0.wrapping_add(1));
            borrows.extend(self.borrow(account, to, now));
        }
        self.borrow_shares(&mut borrows);
        borrows
    }

    /// Asks other instances for what the owners couldn't lend, as far as the requests to owners leave messages
    /// to send.
    fn borrow_shares(&mut self, borrows: &mut Vec<Borrow>) {
        let after = self.active.range(self.cursor..);
        let before = self.active.range(..self.cursor);
        for &account in after.chain(before) {
            if self.message_budget < 1.0 {
                return;
            }
            let Some(state) = self.accounts.get_mut(&account) else {
                continue;
            };
            let Some((units, turn)) = state.take_unmet(SHARE_LENDERS) else {
                continue;
            };
            let owner = self.live.owner(account.0);
            let members = self.live.members().iter().copied();
            let others = members.filter(|member| *member != self.me && Some(*member) != owner);
            let others: Vec<Member> = others.collect();
            let asked = SHARE_LENDERS.min(others.len());
            let lenders = (0..asked).map(|n| others[turn.wrapping_add(n) % others.len()]);
            borrows.extend(lenders.map(|to| Borrow {
                to,
                request: BorrowRequest {
                    account,
                    units: units / asked as f64,
                    slots: 0,
                    held: 0,
                },
            }));
            self.message_budget -= asked as f64;
        }
    }

    /// Replies to a borrow request: with a part of the pool if this instance is the account's owner, and
    /// with units of its own share that its callers don't use.
    pub fn on_borrow(&mut self, from: Member, request: &BorrowRequest, now: Millis) -> BorrowReply {
        let Some(state) = self.accounts.get_mut(&request.account) else {
            return BorrowReply::default();
        };
        let params = state.share_params(self.settings, self.counts);
        let mut reply = state.pool.lend(&params, from, request, now);
        if from != self.me {
            reply.units += state.lend_share(&params, request.units - reply.units, now);
        }
        reply
    }

    /// Handles a loan granted by `from`. `asked_at` is the time of the tick that requested it. Only the
    /// owner lends slots.
    pub fn on_borrow_reply(
        &mut self,
        account: AccountId,
        from: Member,
        reply: BorrowReply,
        asked_at: Millis,
    ) {
        let is_owner = self.live.owner(account.0) == Some(from);
        if let Some(state) = self.accounts.get_mut(&account) {
            if is_owner {
                state.apply_reply(&self.settings, reply, asked_at);
            } else {
                state.add_units(&self.settings, reply.units, asked_at);
            }
            // Borrowed slots in use must be renewed even if no further demand arises.
            self.active.insert(account);
        }
    }

    /// Handles the return of slots by a borrower.
    pub fn on_return(&mut self, from: Member, request: &ReturnRequest) {
        if let Some(state) = self.accounts.get_mut(&request.account) {
            state.pool.return_slots(from, request.kept);
        }
    }

    fn owns(&self, account: AccountId) -> bool {
        self.live.owner(account.0) == Some(self.me)
    }

    /// Accounts that may request a loan now, in cyclic order from the cursor, so that the limit on
    /// messages starves none of them.
    fn due_accounts(&self, now: Millis) -> Vec<AccountId> {
        let settings = &self.settings;
        let due = |state: &Account| {
            let interval = state.request_interval(settings);
            state.asked_at.is_none_or(|at| now.since(at) >= interval)
        };
        let wants = |id: &&AccountId| self.accounts.get(id).is_some_and(due);
        let after = self.active.range(self.cursor..).filter(wants);
        let before = self.active.range(..self.cursor).filter(wants);
        after.chain(before).copied().collect()
    }

    fn borrow(&mut self, account: AccountId, to: Member, now: Millis) -> Option<Borrow> {
        let state = self.accounts.get_mut(&account)?;
        state.asked_at = Some(now);
        let params = state.share_params(self.settings, self.counts);
        let request = state.take_demand(&params, account);
        Some(Borrow { to, request })
    }
}
