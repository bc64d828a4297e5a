//! The right of one request to run under its account's limits.

use std::sync::Arc;

use crocushold_base::AccountKey;

use super::account::Charge;
use super::shared::AccountLimits;

/// What an admitted request holds. It ends exactly once: by [`Permit::settle`], by
/// [`Permit::refund`], or by its drop as a request that ran without an answer.
pub(crate) struct Permit {
    pub(super) limits: Arc<AccountLimits>,
    pub(super) key: AccountKey,
    pub(super) charge: Option<Charge>,
}

impl Permit {
    /// The request ended after `output` tokens.
    pub(crate) fn settle(mut self, output: u32, complete: bool) {
        if let Some(charge) = self.charge.take() {
            self.limits.settle(self.key, &charge, output, complete);
        }
    }

    /// The request did not run.
    pub(crate) fn refund(mut self) {
        if let Some(charge) = self.charge.take() {
            self.limits.refund(self.key, &charge);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        // Without it a request whose caller hung up would hold its slot for ever.
        if let Some(charge) = self.charge.take() {
            self.limits.settle(self.key, &charge, 0, false);
        }
    }
}
