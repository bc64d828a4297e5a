//! One account as one instance sees it.

use crocushold_base::Millis;

use super::message::AccountId;
use super::message::Admission;
use super::message::BorrowReply;
use super::message::BorrowRequest;
use super::message::Limit;
use super::message::LimitSettings;
use super::pool::Pool;

/// What an account has at an instance that just learned of it, so that its first request passes; and
/// the least that has to be at hand for an admission.
const ONE_UNIT: f64 = 1.0;

/// How many instances there are.
#[derive(Clone, Copy, Debug)]
pub(super) struct Counts {
    /// Of the live view.
    pub(super) live: usize,
    /// Of the reference membership, at least `live`.
    pub(super) reference: usize,
}

/// What an account's shares are worked out from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Terms {
    pub(super) settings: LimitSettings,
    pub(super) limit: Limit,
    pub(super) counts: Counts,
}

impl Terms {
    /// The slots that each instance has of its own.
    pub(super) fn base_slots(&self) -> u32 {
        let base = f64::from(self.limit.slots) * self.settings.base_fraction;
        (base / self.counts.reference as f64) as u32
    }

    /// The units a second that each instance has of its own.
    fn base_rate(&self) -> f64 {
        self.limit.rate * self.settings.base_fraction / self.counts.reference as f64
    }
}

#[derive(Debug)]
pub(super) struct Account {
    pub(super) limit: Limit,
    pub(super) pool: Pool,
    tokens: f64,
    filled_at: Millis,
    loan: f64,
    loan_until: Millis,
    running: u32,
    lent_slots: u32,
    slots_until: Millis,
    /// Units and slots refused since the last request for a loan.
    unmet: f64,
    /// Units taken from loans since then: the same is expected of the next period.
    drawn: f64,
    unmet_slots: u32,
    pub(super) asked_at: Option<Millis>,
}

impl Account {
    pub(super) fn new(limit: Limit, now: Millis) -> Account {
        Account {
            limit,
            pool: Pool::default(),
            tokens: ONE_UNIT,
            filled_at: now,
            loan: 0.0,
            loan_until: Millis::ZERO,
            running: 0,
            lent_slots: 0,
            slots_until: Millis::ZERO,
            unmet: 0.0,
            drawn: 0.0,
            unmet_slots: 0,
            asked_at: None,
        }
    }

    pub(super) fn admit(
        &mut self,
        settings: LimitSettings,
        counts: Counts,
        cost: f64,
        now: Millis,
    ) -> Admission {
        let terms = self.terms(settings, counts);
        self.refill(&terms, now);
        let retry_after = settings.borrow_interval;
        if self.running >= self.slots(&terms, now) {
            self.unmet_slots += 1;
            return Admission::Limited { retry_after };
        }
        // One unit at hand is enough: the rest of the cost is owed, and paid back by the share or by
        // loans before the next admission. If the whole cost had to be at hand, a request that costs
        // more than the share can save up would be refused at each instance that it reaches first.
        if self.tokens + self.loan < cost.min(ONE_UNIT) {
            self.unmet += cost;
            return Admission::Limited { retry_after };
        }
        let from_loan = self.loan.min(cost);
        self.loan -= from_loan;
        self.drawn += from_loan;
        self.tokens -= cost - from_loan;
        self.running += 1;
        Admission::Admitted
    }

    pub(super) fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    pub(super) fn is_idle(&self) -> bool {
        self.unmet + self.drawn <= 0.0 && self.unmet_slots == 0 && self.held(0) == 0
    }

    /// How long to wait between two requests: demand is told soon, a mere renewal twice a term.
    pub(super) fn pace(&self, settings: &LimitSettings) -> Millis {
        if self.unmet + self.drawn > 0.0 || self.unmet_slots > 0 {
            settings.borrow_interval
        } else {
            Millis(settings.loan_ttl.0 / 2)
        }
    }

    /// What to ask the owner for; the demand since the last request is spent by it.
    pub(super) fn wants(&mut self, terms: &Terms, account: AccountId) -> BorrowRequest {
        let held = self.held(terms.base_slots());
        let request = BorrowRequest {
            account,
            units: self.unmet + self.drawn,
            slots: held + self.unmet_slots,
            held,
        };
        self.unmet = 0.0;
        self.drawn = 0.0;
        self.unmet_slots = 0;
        request
    }

    pub(super) fn terms(&self, settings: LimitSettings, counts: Counts) -> Terms {
        Terms {
            settings,
            limit: self.limit,
            counts,
        }
    }

    pub(super) fn lend(&mut self, settings: &LimitSettings, reply: BorrowReply, asked_at: Millis) {
        // Counted from the asking, which is before the lender's own count began.
        let until = asked_at + settings.borrower_ttl();
        if reply.units > 0.0 {
            self.loan += reply.units;
            self.loan_until = until;
        }
        self.lent_slots = reply.slots;
        self.slots_until = until;
    }

    fn held(&self, base: u32) -> u32 {
        self.running.saturating_sub(base).min(self.lent_slots)
    }

    fn slots(&self, terms: &Terms, now: Millis) -> u32 {
        let lent = if now < self.slots_until {
            self.lent_slots
        } else {
            0
        };
        terms.base_slots() + lent
    }

    fn refill(&mut self, terms: &Terms, now: Millis) {
        if now >= self.loan_until {
            self.loan = 0.0;
        }
        let rate = terms.base_rate();
        let span = now.since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        // A share below one unit would never admit anything if it couldn't save up to one.
        let most = (rate * terms.settings.burst_seconds).max(1.0);
        self.tokens = (self.tokens + rate * span).min(most);
    }
}
