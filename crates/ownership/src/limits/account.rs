//! The limits of an account on one instance.

use crocushold_base::Millis;

use super::message::AccountId;
use super::message::Admission;
use super::message::BorrowReply;
use super::message::BorrowRequest;
use super::message::Limit;
use super::message::LimitSettings;
use super::pool::Pool;

/// The units of an account on an instance that has just learned of it, so that its first request is
/// admitted; also the minimum balance for an admission.
const ONE_UNIT: f64 = 1.0;

/// The part of what an instance may save up that it keeps for its own callers when others ask it for units.
const KEPT_FRACTION: f64 = 0.5;

/// The number of instances.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemberCounts {
    /// Members of the live view.
    pub(super) live: usize,
    /// Members of the reference membership; at least `live`.
    pub(super) reference: usize,
}

/// The inputs for computing an account's shares.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShareParams {
    pub(super) settings: LimitSettings,
    pub(super) limit: Limit,
    pub(super) counts: MemberCounts,
}

impl ShareParams {
    /// The slots that belong to each instance without a loan.
    pub(super) fn base_slots(&self) -> u32 {
        let base = f64::from(self.limit.slots) * self.settings.base_fraction;
        (base / self.counts.reference as f64) as u32
    }

    /// The units per second that belong to each instance without a loan.
    fn base_rate(&self) -> f64 {
        self.limit.rate * self.settings.base_fraction / self.counts.reference as f64
    }

    /// The units that an instance can save up without a loan. If that were below one unit, a small share could
    /// never accumulate enough for an admission.
    fn base_cap(&self) -> f64 {
        (self.base_rate() * self.settings.burst_seconds).max(ONE_UNIT)
    }
}

#[derive(Debug)]
pub(super) struct Account {
    pub(super) limit: Limit,
    pub(super) pool: Pool,
    tokens: f64,
    filled_at: Millis,
    borrowed_units: f64,
    borrowed_units_until: Millis,
    running: u32,
    borrowed_slots: u32,
    borrowed_slots_until: Millis,
    /// Units refused since the last borrow request; `refused_slots` counts the slots.
    refused_units: f64,
    /// Borrowed units used since the last borrow request: the same demand is expected in the next
    /// interval.
    borrowed_units_used: f64,
    refused_slots: u32,
    pub(super) asked_at: Option<Millis>,
    /// Units of the last borrow request.
    asked_units: f64,
    /// Units that the owner couldn't lend, to be asked of other instances.
    unmet_units: f64,
    /// Number of instances that were asked for a part of their share.
    share_requests: usize,
}

impl Account {
    pub(super) fn new(limit: Limit, now: Millis) -> Account {
        Account {
            limit,
            pool: Pool::default(),
            tokens: ONE_UNIT,
            filled_at: now,
            borrowed_units: 0.0,
            borrowed_units_until: Millis::ZERO,
            running: 0,
            borrowed_slots: 0,
            borrowed_slots_until: Millis::ZERO,
            refused_units: 0.0,
            borrowed_units_used: 0.0,
            refused_slots: 0,
            asked_at: None,
            asked_units: 0.0,
            unmet_units: 0.0,
            share_requests: 0,
        }
    }

    pub(super) fn admit(
        &mut self,
        settings: LimitSettings,
        counts: MemberCounts,
        cost: f64,
        now: Millis,
    ) -> Admission {
        let params = self.share_params(settings, counts);
        self.refill(&params, now);
        let retry_after = settings.borrow_interval;
        if self.running >= self.slots(&params, now) {
            self.refused_slots += 1;
            return Admission::Limited { retry_after };
        }
        // A balance of one unit is sufficient: the rest of the cost becomes debt, which the share
        // or loans pay back before the next admission. If the whole cost had to be available, a
        // request that costs more than the share can accumulate would be refused by each instance
        // that it reaches first.
        if self.tokens + self.borrowed_units < cost.min(ONE_UNIT) {
            self.refused_units += cost;
            return Admission::Limited { retry_after };
        }
        let from_borrowed = self.borrowed_units.min(cost);
        self.borrowed_units -= from_borrowed;
        self.borrowed_units_used += from_borrowed;
        self.tokens -= cost - from_borrowed;
        self.running += 1;
        Admission::Admitted
    }

    pub(super) fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    pub(super) fn is_idle(&self) -> bool {
        self.refused_units + self.borrowed_units_used <= 0.0
            && self.refused_slots == 0
            && self.held(0) == 0
    }

    /// The time between two borrow requests: new demand is reported soon, while a mere renewal is
    /// sent twice per loan term.
    pub(super) fn request_interval(&self, settings: &LimitSettings) -> Millis {
        if self.refused_units + self.borrowed_units_used > 0.0 || self.refused_slots > 0 {
            settings.borrow_interval
        } else {
            Millis(settings.loan_ttl.0 / 2)
        }
    }

    /// The borrow request for the demand since the last request, which is reset.
    pub(super) fn take_demand(
        &mut self,
        params: &ShareParams,
        account: AccountId,
    ) -> BorrowRequest {
        let held = self.held(params.base_slots());
        let request = BorrowRequest {
            account,
            units: self.refused_units + self.borrowed_units_used,
            slots: held + self.refused_slots,
            held,
        };
        self.refused_units = 0.0;
        self.borrowed_units_used = 0.0;
        self.refused_slots = 0;
        self.asked_units = request.units;
        request
    }

    /// Takes the units that the owner couldn't lend. Returns them with the number of earlier requests, by which
    /// the instances are asked in turn.
    pub(super) fn take_unmet(&mut self, requests: usize) -> Option<(f64, usize)> {
        let unmet = std::mem::take(&mut self.unmet_units);
        if unmet < ONE_UNIT {
            return None;
        }
        let turn = self.share_requests;
        self.share_requests = turn.wrapping_add(requests);
        Some((unmet, turn))
    }

    /// Lends units of this instance's own share that its callers don't use.
    pub(super) fn lend_share(&mut self, params: &ShareParams, units: f64, now: Millis) -> f64 {
        self.refill(params, now);
        let kept = (params.base_cap() * KEPT_FRACTION).max(ONE_UNIT);
        let lent = units.clamp(0.0, (self.tokens - kept).max(0.0));
        self.tokens -= lent;
        lent
    }

    pub(super) fn share_params(
        &self,
        settings: LimitSettings,
        counts: MemberCounts,
    ) -> ShareParams {
        ShareParams {
            settings,
            limit: self.limit,
            counts,
        }
    }

    pub(super) fn apply_reply(
        &mut self,
        settings: &LimitSettings,
        reply: BorrowReply,
        asked_at: Millis,
    ) {
        self.unmet_units = (self.asked_units - reply.units).max(0.0);
        self.add_units(settings, reply.units, asked_at);
        self.borrowed_slots = reply.slots;
        self.borrowed_slots_until = asked_at + settings.borrower_ttl();
    }

    /// Adds lent units. The term starts at the request, which is earlier than the start of the lender's own
    /// term.
    pub(super) fn add_units(&mut self, settings: &LimitSettings, units: f64, asked_at: Millis) {
        if units > 0.0 {
            self.borrowed_units += units;
            self.borrowed_units_until = asked_at + settings.borrower_ttl();
        }
    }

    fn held(&self, base: u32) -> u32 {
        self.running.saturating_sub(base).min(self.borrowed_slots)
    }

    fn slots(&self, params: &ShareParams, now: Millis) -> u32 {
        let borrowed = if now < self.borrowed_slots_until {
            self.borrowed_slots
        } else {
            0
        };
        params.base_slots() + borrowed
    }

    fn refill(&mut self, params: &ShareParams, now: Millis) {
        if now >= self.borrowed_units_until {
            self.borrowed_units = 0.0;
        }
        let rate = params.base_rate();
        let elapsed = now.since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        self.tokens = (self.tokens + rate * elapsed).min(params.base_cap());
    }
}
