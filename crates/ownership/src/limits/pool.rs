//! The part of an account's limits that its owner lends.

use std::collections::BTreeMap;

use crocushold_base::Millis;

use super::account::MemberCounts;
use super::account::ShareParams;
use super::message::BorrowReply;
use super::message::BorrowRequest;
use crate::view::Member;

#[derive(Debug, Default)]
pub(super) struct Pool {
    owned_since: Option<Millis>,
    units: f64,
    filled_at: Millis,
    loans: BTreeMap<Member, Loan>,
}

#[derive(Debug)]
struct Loan {
    slots: u32,
    until: Millis,
}

impl Pool {
    /// Updates the ownership. A new owner starts with nothing accumulated.
    pub(super) fn set_owned(&mut self, owned: bool, now: Millis) {
        if !owned {
            *self = Pool::default();
        } else if self.owned_since.is_none() {
            self.owned_since = Some(now);
            self.filled_at = now;
        }
    }

    pub(super) fn lend(
        &mut self,
        params: &ShareParams,
        from: Member,
        request: &BorrowRequest,
        now: Millis,
    ) -> BorrowReply {
        let Some(owned_since) = self.owned_since else {
            return BorrowReply::default();
        };
        self.refill(params, now);
        let units = request.units.clamp(0.0, self.units.max(0.0));
        self.units -= units;
        self.loans.retain(|_, loan| loan.until > now);
        let free = self.free_slots(params, from);
        // The former owner's loans may still run for a full term; until then, only slots in use are
        // renewed.
        let wanted = if now.since(owned_since) < params.settings.loan_ttl {
            request.held
        } else {
            request.slots
        };
        // Slots in use can't be revoked, so they are counted even above the limit.
        let slots = wanted.min(free).max(request.held);
        let until = now + params.settings.loan_ttl;
        self.loans.insert(from, Loan { slots, until });
        BorrowReply { units, slots }
    }

    pub(super) fn return_slots(&mut self, from: Member, kept: u32) {
        if let Some(loan) = self.loans.get_mut(&from) {
            loan.slots = loan.slots.min(kept);
        }
    }

    /// In a partition, each side has an owner. Each lends only its side's fraction of the pool, so
    /// that both sides together stay within the limit.
    fn live_fraction(counts: MemberCounts) -> f64 {
        counts.live as f64 / counts.reference as f64
    }

    fn refill(&mut self, params: &ShareParams, now: Millis) {
        let settings = &params.settings;
        let rate =
            params.limit.rate * (1.0 - settings.base_fraction) * Pool::live_fraction(params.counts);
        let elapsed = now.since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        self.units = (self.units + rate * elapsed).min((rate * settings.burst_seconds).max(1.0));
    }

    fn free_slots(&self, params: &ShareParams, from: Member) -> u32 {
        let base = params.base_slots() * params.counts.reference as u32;
        let rest = params.limit.slots.saturating_sub(base);
        let pool = (f64::from(rest) * Pool::live_fraction(params.counts)) as u32;
        let others = self.loans.iter().filter(|(member, _)| **member != from);
        let lent: u32 = others.map(|(_, loan)| loan.slots).sum();
        pool.saturating_sub(lent)
    }
}
