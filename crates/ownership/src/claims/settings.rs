//! Settings of the claim protocol.

use crocushold_base::Millis;

/// Settings of the claim protocol. They must be identical on all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// How long an outcome is remembered after the settlement.
    pub window: Millis,
    /// How long a claimed request may run; after that, its outcome counts as unknown. Shorter than
    /// `window`.
    pub max_run_time: Millis,
    /// How long after the claim the request may still be sent.
    pub send_timeout: Millis,
    /// How long a voter that receives no event trusts its view; a longer gap between events counts
    /// as a pause.
    pub lease: Millis,
    /// How long a member refuses new keys if its peers don't have complete records either. Equal to
    /// the window, or zero if no fleet ran before (a first start, a test). A member that joins
    /// others always waits for their records.
    pub cold_start: Millis,
    /// The maximum number of keys that a member records.
    pub capacity: usize,
    /// The maximum number of records of one account, so that a misbehaving account can't lock out
    /// the others.
    pub max_per_account: usize,
    /// The maximum number of records per transfer.
    pub transfer_batch: usize,
    /// When a caller should retry after a conflict or a change of the membership.
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
