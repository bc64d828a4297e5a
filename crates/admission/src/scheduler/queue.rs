//! Insertion and removal of queued requests.

use crocushold_base::AccountKey;
use crocushold_base::Millis;
use crocushold_base::RequestKey;

use super::Scheduler;
use super::Timer;
use crate::class::StartMark;
use crate::refusal::Reason;
use crate::refusal::Refused;
use crate::request::Lane;
use crate::request::Request;
use crate::request::Stage;

impl Scheduler {
    /// Puts a stored request into the queue.
    pub(super) fn insert_queued(&mut self, key: RequestKey, lane: Lane) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.stage = Stage::Queued(lane);
        let request = *request;
        self.link(&request, lane);
        self.queued += 1;
        if let Some(account) = self.accounts.get_mut(request.account) {
            account.queued += 1;
        }
    }

    /// Puts a request back whose start is undone.
    pub(super) fn return_queued(&mut self, key: RequestKey, lane: Lane, mark: StartMark) {
        let Some(request) = self.requests.get(key).copied() else {
            return;
        };
        let Some(class) = self.classes.get_mut(request.class) else {
            return;
        };
        class.undo_start(mark);
        let flow = class.flow(request.account);
        let counter = flow.map_or(mark.counter(), |flow| flow.counter);
        self.insert_queued(key, lane);
        if let Some(class) = self.classes.get_mut(request.class) {
            class.restore_counter(request.account, counter);
            self.class_indexes.refresh(request.class, class);
        }
    }

    /// Takes a request out of the queue; it remains stored.
    pub(super) fn remove_queued(&mut self, request: &Request, lane: Lane) {
        self.unlink(request, lane);
        self.queued -= 1;
        if let Some(account) = self.accounts.get_mut(request.account) {
            account.queued -= 1;
        }
    }

    /// Ends a queued request with a refusal and refunds the limits it consumed.
    pub(super) fn refuse_queued(&mut self, key: RequestKey, reason: Reason) {
        let Some(request) = self.requests.get(key).copied() else {
            return;
        };
        let Stage::Queued(lane) = request.stage else {
            return;
        };
        let wait = self.predict_wait(
            request.class,
            request.account,
            request.position.charge,
            self.now,
        );
        self.remove_queued(&request, lane);
        self.requests.remove(key);
        self.refund_limits(&request);
        let refusal = self.refusal(reason, wait);
        self.pending_refusals.push_back(Refused { key, refusal });
    }

    pub(super) fn refund_limits(&mut self, request: &Request) {
        if let Some(account) = self.accounts.get_mut(request.account) {
            account.refund(request.billed_tokens);
        }
    }

    /// Processes expired timers until one of them causes a refusal.
    pub(super) fn process_timers(&mut self, now: Millis) {
        while let Some(&timer) = self.timers.first() {
            if timer.at > now || !self.pending_refusals.is_empty() {
                return;
            }
            self.timers.remove(&timer);
            let Some(request) = self.requests.get(timer.key).copied() else {
                continue;
            };
            if request.expires_at <= now {
                self.refuse_queued(timer.key, Reason::Expired);
            } else {
                self.demote(timer.key, &request);
            }
        }
    }

    /// Moves a request that missed its target behind those that can still meet theirs.
    fn demote(&mut self, key: RequestKey, request: &Request) {
        self.unlink(request, Lane::OnTime);
        if let Some(stored) = self.requests.get_mut(key) {
            stored.stage = Stage::Queued(Lane::Late);
        }
        self.link(request, Lane::Late);
    }

    /// Makes the account's queues eligible again once the account is below its concurrency limit.
    pub(super) fn unblock(&mut self, key: AccountKey) {
        let Some(account) = self.accounts.get_mut(key) else {
            return;
        };
        if account.at_limit() {
            return;
        }
        while let Some(class_key) = account.blocked_classes.pop() {
            if let Some(class) = self.classes.get_mut(class_key) {
                class.set_blocked(key, false);
                self.class_indexes.refresh(class_key, class);
            }
        }
    }

    fn link(&mut self, request: &Request, lane: Lane) {
        let Some(class) = self.classes.get_mut(request.class) else {
            return;
        };
        let account = self.accounts.get(request.account);
        class.ensure_flow(request.account, account.map_or(1.0, |a| a.spec.weight));
        if class.queued < class.reserved_entries {
            self.unused_reserve -= 1;
        }
        let tier = class.spec.tier_index();
        class.insert(request, lane);
        self.bytes[tier] += u64::from(request.bytes);
        self.throughput
            .enqueued(tier, request.position.charge, request.demand);
        self.class_indexes.refresh(request.class, class);
        let at = request.next_timeout(lane);
        if at < Millis::MAX {
            let key = request.position.key;
            self.timers.insert(Timer { at, key });
        }
    }

    fn unlink(&mut self, request: &Request, lane: Lane) {
        let at = request.next_timeout(lane);
        let key = request.position.key;
        self.timers.remove(&Timer { at, key });
        let Some(class) = self.classes.get_mut(request.class) else {
            return;
        };
        let tier = class.spec.tier_index();
        class.remove(request, lane);
        if class.queued < class.reserved_entries {
            self.unused_reserve += 1;
        }
        self.bytes[tier] -= u64::from(request.bytes);
        self.throughput
            .dequeued(tier, request.position.charge, request.demand);
        self.class_indexes.refresh(request.class, class);
    }
}
