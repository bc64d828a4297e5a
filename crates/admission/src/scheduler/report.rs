//! Statistics for metrics and status pages.

use crocushold_base::AccountKey;
use crocushold_base::ClassKey;

use super::Scheduler;
use crate::status::ClassStatus;
use crate::status::Status;

impl Scheduler {
    /// Statistics of the scheduler.
    pub fn status(&self) -> Status {
        Status {
            queued: self.queued,
            bytes: self.bytes.iter().sum(),
            running: self.running,
            headroom: self.headroom.reserved(),
            tokens_per_second: self.throughput.rate(self.slots()) * 1000.0,
        }
    }

    /// Statistics of one class; `None` if it isn't configured.
    pub fn class_status(&self, key: ClassKey) -> Option<ClassStatus> {
        let class = self.classes.get(key)?;
        Some(ClassStatus {
            class: key,
            queued: class.queued,
            backlog: class.backlog,
            accounts: class.active_accounts() as u32,
            flows: class.flow_count() as u32,
            predicted_wait: self.predict_wait(key, AccountKey::default(), class.backlog, self.now),
        })
    }

    /// Number of requests of the account in flight; zero if it isn't configured.
    pub fn account_running(&self, key: AccountKey) -> u32 {
        self.accounts.get(key).map_or(0, |account| account.running)
    }

    /// Whether the account is configured.
    pub(crate) fn has_account(&self, key: AccountKey) -> bool {
        self.accounts.contains_key(key)
    }
}
