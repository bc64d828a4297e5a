//! Settings of claims.

use crocushold_base::Millis;

/// Settings of claims. They must be the same on all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// How long an outcome is remembered, counted from the settlement.
    pub window: Millis,
    /// How long a claimed request may run; past it the outcome counts as unknown. Less than `window`.
    pub max_run_time: Millis,
    /// How long after the claim the request may still be sent.
    pub send_timeout: Millis,
    /// How long a voter that hears nothing trusts its view; a longer gap between events is a pause.
    pub lease: Millis,
    /// How long a member whose peers have no complete records either refuses fresh keys. The window,
    /// unless no fleet ran before (a first start, a test). A member that joins others waits for their
    /// records in any case.
    pub cold_start: Millis,
    /// How many keys a member records.
    pub capacity: usize,
    /// How many of them one account may have: an account that runs wild must not shut out the others.
    pub max_per_account: usize,
    /// How many records a transfer carries.
    pub transfer_batch: usize,
    /// When a caller should ask again after a conflict or a membership change.
    pub retry_after: Millis,
}

impl Default for ClaimSettings {
    fn default() -> ClaimSettings {
        ClaimSettings {
            window: Millis::from_secs(600),
            max_run_time: Millis::from_secs(300),
            send_timeout: Millis::from_secs(5),
            lease: Millis::from_secs(10),
            cold_start: Millis::from_secs(600),
            capacity: 200_000,
            max_per_account: 50_000,
            transfer_batch: 256,
            retry_after: Millis::from_secs(1),
        }
    }
}
