//! Applying a new configuration while requests are queued and in flight.

use std::collections::HashSet;

use crocushold_base::AccountKey;
use crocushold_base::ClassKey;
use crocushold_base::Millis;
use crocushold_base::RequestKey;

use super::Scheduler;
use crate::account::Account;
use crate::class::Class;
use crate::refusal::Reason;
use crate::request::Request;
use crate::request::Stage;
use crate::spec::AccountSpec;
use crate::spec::ClassSpec;

impl Scheduler {
    /// Applies a configuration of classes and accounts.
    ///
    /// Classes and accounts that remain keep their state: queues, counters, learned estimates and
    /// accumulated limits. Requests queued under a class or account that was removed are refused by
    /// the next calls of [`next`](Scheduler::next); those in flight finish. A request that is
    /// already queued keeps its deadline.
    pub fn configure(&mut self, classes: &[ClassSpec], accounts: &[AccountSpec], now: Millis) {
        let now = self.advance_clock(now);
        self.remove_missing(classes, accounts);
        for spec in accounts {
            match self.accounts.get_mut(spec.key) {
                Some(account) => account.configure(spec.clone(), now),
                None => {
                    let account = Account::new(spec.clone(), now);
                    self.accounts.insert(spec.key, account);
                }
            }
        }
        for spec in classes {
            self.put_class(spec);
        }
        self.update_flows();
        for spec in accounts {
            self.unblock(spec.key);
        }
        self.recount_unused_reserve();
    }

    /// Adds classes, or changes those that exist, and keeps all others.
    pub(crate) fn put_classes(&mut self, classes: &[ClassSpec]) {
        for spec in classes {
            self.put_class(spec);
        }
        self.recount_unused_reserve();
    }

    /// Adds an account unless it exists, and keeps all others.
    pub(crate) fn ensure_account(&mut self, spec: AccountSpec, now: Millis) {
        if !self.accounts.contains_key(spec.key) {
            self.accounts.insert(spec.key, Account::new(spec, now));
        }
    }

    /// Drops accounts that have neither queued requests nor any in flight.
    pub(crate) fn drop_idle_accounts(&mut self) {
        self.accounts.retain(|_, account| account.is_active());
        self.update_flows();
    }

    /// Sets the share of the account's limits that this scheduler may use, from 0 to 1: the
    /// instance's share, divided among its schedulers.
    pub fn set_share(&mut self, account: AccountKey, share: f64, now: Millis) {
        let now = self.advance_clock(now);
        if let Some(state) = self.accounts.get_mut(account) {
            state.set_share(share, now);
        }
        self.unblock(account);
    }

    /// Adds tokens lent by another instance to the account's rate limit. Tokens that aren't used by
    /// `until` expire.
    pub fn grant(&mut self, account: AccountKey, tokens: u64, until: Millis, now: Millis) {
        let now = self.advance_clock(now);
        if let Some(state) = self.accounts.get_mut(account) {
            state.add_grant(tokens, until, now);
        }
    }

    fn remove_missing(&mut self, classes: &[ClassSpec], accounts: &[AccountSpec]) {
        let kept: HashSet<ClassKey> = classes.iter().map(|spec| spec.key).collect();
        let removed: Vec<ClassKey> = self.classes.keys().filter(|k| !kept.contains(k)).collect();
        self.refuse_where(Reason::UnknownClass, |request| {
            !kept.contains(&request.class)
        });
        for key in removed {
            if let Some(class) = self.classes.remove(key) {
                self.class_indexes.remove(&class);
            }
        }
        let kept: HashSet<AccountKey> = accounts.iter().map(|spec| spec.key).collect();
        self.refuse_where(Reason::UnknownAccount, |request| {
            !kept.contains(&request.account)
        });
        self.accounts.retain(|key, _| kept.contains(&key));
    }

    fn refuse_where(&mut self, reason: Reason, matches: impl Fn(&Request) -> bool) {
        let keys: Vec<RequestKey> = self
            .requests
            .iter()
            .filter(|(_, request)| matches!(request.stage, Stage::Queued(_)) && matches(request))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            self.refuse_queued(key, reason);
        }
    }

    fn put_class(&mut self, spec: &ClassSpec) {
        let quantile = self.settings.output_quantile;
        if !self.classes.contains_key(spec.key) {
            self.classes
                .insert(spec.key, Class::new(spec.clone(), quantile));
        }
        let Some(class) = self.classes.get_mut(spec.key) else {
            return;
        };
        let (old, new) = (class.spec.tier_index(), spec.tier_index());
        if old != new {
            self.throughput.dequeued(old, class.backlog, class.demand);
            self.throughput.enqueued(new, class.backlog, class.demand);
            self.bytes[old] -= class.bytes;
            self.bytes[new] += class.bytes;
        }
        class.spec = spec.clone();
        let settings = &self.settings;
        class.reserved_entries = (reserved_share(spec) * f64::from(settings.queue_limit)) as u32;
        class.reserved_entries = class.reserved_entries.min(spec.max_queued);
        class.reserved_bytes = (reserved_share(spec) * settings.queue_bytes as f64) as u64;
        self.class_indexes.refresh(spec.key, class);
    }

    /// Updates the weights of the flows, and drops the debts of accounts that were removed.
    fn update_flows(&mut self) {
        let accounts = &self.accounts;
        for class in self.classes.values_mut() {
            class.update_weights(|key| accounts.get(key).map(|account| account.spec.weight));
        }
    }

    fn recount_unused_reserve(&mut self) {
        self.unused_reserve = self.classes.values().map(Class::unused_reserve).sum();
    }
}

/// Share of the queue reserved for a class: half of its floor, so that even overcommitted floors
/// leave the other half unreserved.
fn reserved_share(spec: &ClassSpec) -> f64 {
    spec.floor.clamp(0.0, 1.0) / 2.0
}
