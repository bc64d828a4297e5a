//! The lent part of an account's limits, on its owner.

use std::collections::BTreeMap;

use crocushold_base::Millis;

use super::account::Counts;
use super::account::Terms;
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
    /// Ownership began, went on or ended. A new owner starts with nothing saved up.
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
        terms: &Terms,
        from: Member,
        request: &BorrowRequest,
        now: Millis,
    ) -> BorrowReply {
        let Some(owned_since) = self.owned_since else {
            return BorrowReply::default();
        };
        self.refill(terms, now);
        let units = request.units.clamp(0.0, self.units.max(0.0));
        self.units -= units;
        self.loans.retain(|_, loan| loan.until > now);
        let free = self.free_slots(terms, from);
        // The former owner's loans run for a term; until then only what is in use is renewed.
        let wanted = if now.since(owned_since) < terms.settings.loan_ttl {
            request.held
        } else {
            request.slots
        };
        // Slots in use can't be taken away, so they are counted even beyond the limit.
        let slots = wanted.min(free).max(request.held);
        let until = now + terms.settings.loan_ttl;
        self.loans.insert(from, Loan { slots, until });
        BorrowReply { units, slots }
    }

    pub(super) fn give_back(&mut self, from: Member, kept: u32) {
        if let Some(loan) = self.loans.get_mut(&from) {
            loan.slots = loan.slots.min(kept);
        }
    }

    /// In a partition each side has an owner. Each lends only its side's part of the pool, so the
    /// sides together stay within the limit.
    fn part(counts: Counts) -> f64 {
        counts.live as f64 / counts.reference as f64
    }

    fn refill(&mut self, terms: &Terms, now: Millis) {
        let settings = &terms.settings;
        let rate = terms.limit.rate * (1.0 - settings.base_fraction) * Pool::part(terms.counts);
        let span = now.since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        self.units = (self.units + rate * span).min((rate * settings.burst_seconds).max(1.0));
    }

    fn free_slots(&self, terms: &Terms, from: Member) -> u32 {
        let base = terms.base_slots() * terms.counts.reference as u32;
        let rest = terms.limit.slots.saturating_sub(base);
        let pool = (f64::from(rest) * Pool::part(terms.counts)) as u32;
        let others = self.loans.iter().filter(|(member, _)| **member != from);
        let lent: u32 = others.map(|(_, loan)| loan.slots).sum();
        pool.saturating_sub(lent)
    }
}
