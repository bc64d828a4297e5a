//! Admission.

use crocushold_base::Millis;
use crocushold_base::RequestKey;

use super::Scheduler;
use crate::pace::Pressure;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::request::Arrival;
use crate::request::Lane;
use crate::request::Place;
use crate::request::Request;
use crate::request::Stage;

/// What becomes of an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is queued under this key.
    Queued(RequestKey),
    /// It won't run; the answer is final.
    Refused(Refusal),
}

impl Scheduler {
    /// Admits a request to the queue, or refuses it.
    ///
    /// A refusal allocates nothing and uses up no limit. An admission may displace queued work of a
    /// lower tier; its refusals come out of [`next`](Scheduler::next).
    pub fn submit(&mut self, arrival: &Arrival, now: Millis) -> Admission {
        let now = self.observe(now);
        match self.admit(arrival, now) {
            Ok(key) => Admission::Queued(key),
            Err(refusal) => Admission::Refused(refusal),
        }
    }

    fn admit(&mut self, arrival: &Arrival, now: Millis) -> Result<RequestKey, Refusal> {
        let quote = self.quote(arrival, now)?;
        self.check_limits(arrival, &quote, now)?;
        if self.tier(arrival.class) == 0 {
            self.headroom.arrived(now);
        }
        self.check_wait(arrival, &quote, now)?;
        self.make_room(arrival)?;
        Ok(self.enqueue(arrival, &quote, now))
    }

    fn check_limits(
        &mut self,
        arrival: &Arrival,
        quote: &Quote,
        now: Millis,
    ) -> Result<(), Refusal> {
        let Some(account) = self.accounts.get_mut(arrival.account) else {
            return Err(self.refusal(Reason::UnknownAccount, Millis::ZERO));
        };
        account
            .check(quote.billed, now)
            .map_err(|hit| self.refusal(hit.reason, hit.wait))
    }

    /// Refuses early what would only expire in the queue.
    ///
    /// A request that finds nothing ahead of it is always admitted: the prediction learns from
    /// finished requests alone, so one that refused everybody could never be proved wrong.
    fn check_wait(&mut self, arrival: &Arrival, quote: &Quote, now: Millis) -> Result<(), Refusal> {
        if quote.ends <= now {
            return Err(self.refusal(Reason::Expired, Millis::ZERO));
        }
        if quote.ends == Millis::MAX {
            return Ok(());
        }
        let wait = self.predict(arrival.class, arrival.account, quote.charge, now);
        let slack = quote.ends.since(now);
        let allowed = Millis((slack.0 as f64 * self.settings.wait_margin) as u64);
        if wait <= allowed {
            return Ok(());
        }
        Err(self.refusal(Reason::TooLate, wait.since(allowed)))
    }

    /// Frees a queue entry and the memory that the arrival needs.
    fn make_room(&mut self, arrival: &Arrival) -> Result<(), Refusal> {
        let own = self.tier(arrival.class);
        let lower: u64 = self.bytes[own + 1..].iter().sum();
        let firm = self.bytes.iter().sum::<u64>() - lower;
        if firm + u64::from(arrival.bytes) > self.settings.queue_bytes {
            return Err(self.refuse_full(arrival));
        }
        while let Some(shortage) = self.shortage(arrival) {
            let Some(key) = self.find_yielding(arrival, shortage) else {
                return Err(self.refuse_full(arrival));
            };
            self.refuse_queued(key, Reason::Displaced);
        }
        Ok(())
    }

    fn refuse_full(&mut self, arrival: &Arrival) -> Refusal {
        let wait = self.predict(arrival.class, arrival.account, 1, self.now);
        self.refusal(Reason::QueueFull, wait)
    }

    /// What keeps the arrival out of the queue.
    fn shortage(&self, arrival: &Arrival) -> Option<Shortage> {
        let class = self.classes.get(arrival.class)?;
        let held: u64 = self.bytes.iter().sum();
        let limit = self.settings.queue_limit;
        if class.queued >= class.spec.max_queued {
            return Some(Shortage::Class);
        }
        if class.queued >= class.kept && self.queued + self.spare >= limit {
            return Some(Shortage::Entries);
        }
        let over = held + u64::from(arrival.bytes) > self.settings.queue_bytes;
        over.then_some(Shortage::Memory)
    }

    /// The queued request that gives way to the arrival.
    ///
    /// First the lowest tier that holds more than is kept for it, so that the live tier is refused
    /// only when it fills the queue itself. Inside a class the account with the longest queue gives
    /// way to one with a shorter queue, so that no account can lock others out.
    fn find_yielding(&self, arrival: &Arrival, shortage: Shortage) -> Option<RequestKey> {
        let class = self.classes.get(arrival.class)?;
        let lowest = match shortage {
            Shortage::Class => None,
            Shortage::Entries => self.orders.entries.first(),
            Shortage::Memory => self.orders.memory.first(),
        };
        if let Some(lowest) = lowest
            && lowest.tier.0 > self.tier(arrival.class)
        {
            let other = self.classes.get(lowest.class)?;
            let longest = other.longest()?;
            return other.flow(longest.account)?.newest().map(|place| place.key);
        }
        let longest = class.longest()?;
        let own = class.flow(arrival.account).map_or(0, |flow| flow.len());
        if longest.queued <= own + 1 {
            return None;
        }
        class.flow(longest.account)?.newest().map(|place| place.key)
    }

    fn enqueue(&mut self, arrival: &Arrival, quote: &Quote, now: Millis) -> RequestKey {
        self.seq += 1;
        let seq = self.seq;
        let key = self.requests.insert_with_key(|key| Request {
            class: arrival.class,
            account: arrival.account,
            model: arrival.model,
            place: Place {
                due: quote.due,
                seq,
                key,
                rank: quote.rank,
                charge: quote.charge,
            },
            ends: quote.ends,
            arrived: now,
            pressure: quote.pressure,
            prompt: arrival.prompt_tokens,
            expected: quote.expected,
            bytes: arrival.bytes,
            billed: quote.billed,
            stage: Stage::Queued(Lane::Fresh),
        });
        if let Some(account) = self.accounts.get_mut(arrival.account) {
            account.take(quote.billed, now);
        }
        self.insert_queued(key, Lane::Fresh);
        key
    }
}

/// Which bound of the queue is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shortage {
    /// The bound of the class itself.
    Class,
    /// The number of entries in all.
    Entries,
    /// The memory in all.
    Memory,
}

/// What a request is expected to cost, and until when it can start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Quote {
    /// Output tokens expected of the class, before the account's bias.
    pub(super) expected: u32,
    /// Cost in output tokens.
    pub(super) charge: u64,
    pub(super) pressure: Pressure,
    /// Prompt and output tokens, as rate limits count them.
    pub(super) billed: u64,
    /// Last start that meets the target.
    pub(super) due: Millis,
    /// First instant at which a start is of no use.
    pub(super) ends: Millis,
    /// Deadline scaled by the class's weight.
    pub(super) rank: Millis,
}
