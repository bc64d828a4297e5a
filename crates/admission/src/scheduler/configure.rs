//! Taking over a configuration while requests are held.

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
    /// Puts classes and accounts in force.
    ///
    /// What stays keeps its state: queues, counters, what was learned and saved up. Requests queued
    /// under a class or account that goes are refused by the next calls of
    /// [`next`](Scheduler::next); those in flight finish. A request that is already queued keeps
    /// the deadline it was given.
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

    /// Sets the share of the account's limits that this scheduler may give out, from 0 to 1: the
    /// instance's share, split between its schedulers.
    pub fn set_share(&mut self, account: AccountKey, share: f64, now: Millis) {
        let now = self.advance_clock(now);
        if let Some(state) = self.accounts.get_mut(account) {
            state.set_share(share, now);
        }
        self.unblock(account);
    }

    /// Adds tokens lent by another instance to the account's rate limit; what isn't used by
    /// `until` is void.
    pub fn grant(&mut self, account: AccountKey, tokens: u64, until: Millis, now: Millis) {
        let now = self.advance_clock(now);
        if let Some(state) = self.accounts.get_mut(account) {
            state.add_grant(tokens, until, now);
        }
    }

    fn remove_missing(&mut self, classes: &[ClassSpec], accounts: &[AccountSpec]) {
        let kept: HashSet<ClassKey> = classes.iter().map(|spec| spec.key).collect();
        let gone: Vec<ClassKey> = self.classes.keys().filter(|k| !kept.contains(k)).collect();
        self.refuse_where(Reason::UnknownClass, |request| {
            !kept.contains(&request.class)
        });
        for key in gone {
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

    fn refuse_where(&mut self, reason: Reason, gone: impl Fn(&Request) -> bool) {
        let keys: Vec<RequestKey> = self
            .requests
            .iter()
            .filter(|(_, request)| matches!(request.stage, Stage::Queued(_)) && gone(request))
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

    /// Takes over the accounts' weights, and forgets what accounts that are gone owed.
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

/// Share of the queue kept for a class: half of its floor, so that even over-committed floors leave
/// the other half to whoever needs it.
fn reserved_share(spec: &ClassSpec) -> f64 {
    spec.floor.clamp(0.0, 1.0) / 2.0
}
