//! Admission of requests.

use crocushold_base::Millis;
use crocushold_base::RequestKey;

use super::Scheduler;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::request::Arrival;
use crate::request::Lane;
use crate::request::QueuePosition;
use crate::request::Request;
use crate::request::Stage;
use crate::throughput::DemandRate;

/// Result of submitting a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is queued under this key.
    Queued(RequestKey),
    /// The request won't run; the answer is final.
    Refused(Refusal),
}

impl Scheduler {
    /// Queues a request or refuses it.
    ///
    /// A refusal allocates nothing and consumes no limit. An admission may evict queued requests,
    /// of a lower-priority tier or of an account with a longer queue; their refusals are returned
    /// by [`next`](Scheduler::next).
    pub fn submit(&mut self, arrival: &Arrival, now: Millis) -> Admission {
        self.submit_in_order(arrival, self.seq + 1, now)
    }

    /// Like [`submit`](Scheduler::submit), with the place of the request among those of its account that
    /// have no deadline.
    pub(crate) fn submit_in_order(
        &mut self,
        arrival: &Arrival,
        place: u64,
        now: Millis,
    ) -> Admission {
        let now = self.advance_clock(now);
        match self.admit(arrival, place, now) {
            Ok(key) => Admission::Queued(key),
            Err(refusal) => Admission::Refused(refusal),
        }
    }

    fn admit(&mut self, arrival: &Arrival, place: u64, now: Millis) -> Result<RequestKey, Refusal> {
        let estimate = self.estimate(arrival, now)?;
        self.check_limits(arrival, &estimate, now)?;
        if self.tier(arrival.class) == 0 {
            self.headroom.record_arrival(now);
        }
        self.check_wait(arrival, &estimate, now)?;
        self.make_room(arrival, place)?;
        Ok(self.enqueue(arrival, place, &estimate, now))
    }

    fn check_limits(
        &mut self,
        arrival: &Arrival,
        estimate: &Estimate,
        now: Millis,
    ) -> Result<(), Refusal> {
        let Some(account) = self.accounts.get_mut(arrival.account) else {
            return Err(self.refusal(Reason::UnknownAccount, Millis::ZERO));
        };
        account
            .check(estimate.billed_tokens, now)
            .map_err(|hit| self.refusal(hit.reason, hit.wait))
    }

    /// Refuses a request that would expire in the queue.
    ///
    /// A request with nothing ahead of it is always admitted: the prediction learns only from
    /// finished requests, so an estimate that refused every request could never be corrected.
    fn check_wait(
        &mut self,
        arrival: &Arrival,
        estimate: &Estimate,
        now: Millis,
    ) -> Result<(), Refusal> {
        if estimate.expires_at <= now {
            return Err(self.refusal(Reason::Expired, Millis::ZERO));
        }
        if estimate.expires_at == Millis::MAX {
            return Ok(());
        }
        let wait = self.predict_wait(arrival.class, arrival.account, estimate.charge, now);
        let slack = estimate.expires_at.since(now);
        let allowed = Millis((slack.0 as f64 * self.settings.wait_margin) as u64);
        if wait <= allowed {
            return Ok(());
        }
        Err(self.refusal(Reason::TooLate, wait.since(allowed)))
    }

    /// Frees the queue entry and the memory that the arrival needs, by evicting queued requests.
    fn make_room(&mut self, arrival: &Arrival, place: u64) -> Result<(), Refusal> {
        let own = self.tier(arrival.class);
        let evictable: u64 = self.bytes[own + 1..].iter().sum();
        let not_evictable = self.bytes.iter().sum::<u64>() - evictable;
        if not_evictable + u64::from(arrival.bytes) > self.settings.queue_bytes {
            return Err(self.queue_full_refusal(arrival));
        }
        while let Some(bound) = self.exceeded_bound(arrival) {
            let Some(key) = self.find_victim(arrival, place, bound) else {
                return Err(self.queue_full_refusal(arrival));
            };
            self.refuse_queued(key, Reason::Displaced);
        }
        Ok(())
    }

    fn queue_full_refusal(&mut self, arrival: &Arrival) -> Refusal {
        let wait = self.predict_wait(arrival.class, arrival.account, 1, self.now);
        self.refusal(Reason::QueueFull, wait)
    }

    /// The bound of the queue that keeps the arrival out, if any.
    fn exceeded_bound(&self, arrival: &Arrival) -> Option<QueueBound> {
        let class = self.classes.get(arrival.class)?;
        let used: u64 = self.bytes.iter().sum();
        let limit = self.settings.queue_limit;
        if class.queued >= class.spec.max_queued {
            return Some(QueueBound::Class);
        }
        if class.queued >= class.reserved_entries && self.queued + self.unused_reserve >= limit {
            return Some(QueueBound::Entries);
        }
        let over = used + u64::from(arrival.bytes) > self.settings.queue_bytes;
        over.then_some(QueueBound::Memory)
    }

    /// The queued request to evict for the arrival.
    ///
    /// The lowest-priority tier that exceeds its reserve is evicted first, so that tier 0 is
    /// refused only when it fills the queue itself. Inside a class, the account with the longest
    /// queue is evicted in favour of one with a shorter queue, so that no account can lock others
    /// out. A request whose place is before others of its account is never refused for those.
    fn find_victim(&self, arrival: &Arrival, place: u64, bound: QueueBound) -> Option<RequestKey> {
        let class = self.classes.get(arrival.class)?;
        let lowest = match bound {
            QueueBound::Class => None,
            QueueBound::Entries => self.class_indexes.excess_entries.first(),
            QueueBound::Memory => self.class_indexes.excess_memory.first(),
        };
        if let Some(lowest) = lowest
            && lowest.tier.0 > self.tier(arrival.class)
        {
            let other = self.classes.get(lowest.class)?;
            let longest = other.longest_queue()?;
            return other
                .flow(longest.account)?
                .newest()
                .map(|position| position.key);
        }
        let longest = class.longest_queue()?;
        let own = class.flow(arrival.account).map_or(0, |flow| flow.len());
        if longest.queued <= own + 1 {
            let newest = class.flow(arrival.account)?.newest();
            let newest = newest.filter(|newest| newest.seq > place);
            return newest.map(|position| position.key);
        }
        class
            .flow(longest.account)?
            .newest()
            .map(|position| position.key)
    }

    fn enqueue(
        &mut self,
        arrival: &Arrival,
        place: u64,
        estimate: &Estimate,
        now: Millis,
    ) -> RequestKey {
        self.seq = self.seq.max(place);
        let key = self.requests.insert_with_key(|key| Request {
            class: arrival.class,
            account: arrival.account,
            model: arrival.model,
            position: QueuePosition {
                latest_start: estimate.latest_start,
                seq: place,
                key,
                scaled_deadline: estimate.scaled_deadline,
                charge: estimate.charge,
            },
            expires_at: estimate.expires_at,
            arrived: now,
            demand: estimate.demand,
            prompt_tokens: arrival.prompt_tokens,
            expected_output: estimate.expected_output,
            bytes: arrival.bytes,
            billed_tokens: estimate.billed_tokens,
            stage: Stage::Queued(Lane::OnTime),
        });
        if let Some(account) = self.accounts.get_mut(arrival.account) {
            account.take(estimate.billed_tokens, now);
        }
        self.insert_queued(key, Lane::OnTime);
        key
    }
}

/// A bound of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueueBound {
    /// Maximum number of queued requests of the class.
    Class,
    /// Maximum number of queued requests in total.
    Entries,
    /// Maximum memory of queued requests in total.
    Memory,
}

/// Estimated cost of a request, and the times by which it must start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    /// Output tokens expected of the class, before the account's bias.
    pub(super) expected_output: u32,
    /// Cost in output tokens.
    pub(super) charge: u64,
    pub(super) demand: DemandRate,
    /// Prompt and output tokens, as counted by rate limits.
    pub(super) billed_tokens: u64,
    /// Latest start that meets the target.
    pub(super) latest_start: Millis,
    /// Time from which on starting the request is of no use.
    pub(super) expires_at: Millis,
    /// Deadline scaled by the class's weight.
    pub(super) scaled_deadline: Millis,
}
