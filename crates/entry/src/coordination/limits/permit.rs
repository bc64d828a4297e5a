//! Permission of one request to run under its account's limits.

use std::sync::Arc;

use crocushold_base::AccountKey;

use super::account::Charge;
use super::shell::AccountLimits;

/// The charge of an admitted request. It ends exactly once: by [`Permit::settle`], by
/// [`Permit::refund`], or when dropped, as a request that ran without a response.
pub(crate) struct Permit {
    pub(super) limits: Arc<AccountLimits>,
    pub(super) key: AccountKey,
    pub(super) charge: Option<Charge>,
}

impl Permit {
    /// Settles a request that ended after `output` tokens.
    pub(crate) fn settle(mut self, output: u32, complete: bool) {
        if let Some(charge) = self.charge.take() {
            self.limits.settle(self.key, &charge, output, complete);
        }
    }

    /// Refunds a request that did not run.
    pub(crate) fn refund(mut self) {
        if let Some(charge) = self.charge.take() {
            self.limits.refund(self.key, &charge);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        // Otherwise a request whose caller disconnected would hold its slot forever.
        if let Some(charge) = self.charge.take() {
            self.limits.settle(self.key, &charge, 0, false);
        }
    }
}
