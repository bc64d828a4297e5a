//! A bounded table of records.

use std::collections::HashMap;
use std::collections::VecDeque;

use crocushold_base::Millis;

use super::message::ClaimKey;
use super::message::ClaimState;
use super::message::Record;
use super::settings::ClaimSettings;
use crate::limits::AccountId;

/// Records by key. A record is removed when it is older than the window and never evicted earlier.
#[derive(Clone, Debug)]
pub(super) struct Table {
    window: Millis,
    capacity: usize,
    max_per_account: usize,
    /// The number of records per account.
    counts_by_account: HashMap<AccountId, usize>,
    records: HashMap<ClaimKey, Record>,
    /// One entry per record, in the order of the first insertion.
    expiry_queue: VecDeque<Expiry>,
}

#[derive(Clone, Copy, Debug)]
struct Expiry {
    key: ClaimKey,
    expires_at: Millis,
}

impl Table {
    pub(super) fn new(settings: &ClaimSettings) -> Table {
        Table {
            window: settings.window,
            capacity: settings.capacity,
            max_per_account: settings.max_per_account,
            counts_by_account: HashMap::new(),
            records: HashMap::new(),
            expiry_queue: VecDeque::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) fn is_full(&self, account: AccountId) -> bool {
        let used = self.counts_by_account.get(&account).copied().unwrap_or(0);
        self.records.len() >= self.capacity || used >= self.max_per_account
    }

    pub(super) fn get(&self, key: ClaimKey) -> Option<&Record> {
        self.records.get(&key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&ClaimKey, &Record)> {
        self.records.iter()
    }

    /// Inserts or replaces a record. Records that must not be lost (settled or transferred ones)
    /// may exceed the capacity; callers check [`Table::is_full`] before they admit a new claim.
    pub(super) fn insert(&mut self, key: ClaimKey, record: Record) {
        let expires_at = record.time + self.window;
        // The key is counted for the account of its first record.
        let known = self.records.get(&key).map(|old| old.account);
        let account = known.unwrap_or(record.account);
        let record = Record { account, ..record };
        if self.records.insert(key, record).is_none() {
            *self.counts_by_account.entry(record.account).or_default() += 1;
            self.expiry_queue.push_back(Expiry { key, expires_at });
        }
    }

    /// Removes the records whose window has passed.
    pub(super) fn expire(&mut self, now: Millis) {
        while let Some(expiry) = self.expiry_queue.front().copied() {
            if expiry.expires_at > now {
                return;
            }
            self.expiry_queue.pop_front();
            self.expire_key(expiry.key, now);
        }
    }

    /// The time until the oldest record may be removed.
    pub(super) fn next_expiry(&self, now: Millis) -> Millis {
        self.expiry_queue
            .front()
            .map_or(Millis::ZERO, |expiry| expiry.expires_at.since(now))
    }

    fn expire_key(&mut self, key: ClaimKey, now: Millis) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        let expires_at = record.time + self.window;
        if expires_at > now {
            self.expiry_queue.push_back(Expiry { key, expires_at });
            return;
        }
        if record.state == ClaimState::InProgress {
            // The claim was never settled. Its request may still be running, so the record isn't
            // removed but stays unknown for another window.
            record.state = ClaimState::Unknown;
            record.time = now;
            let expires_at = now + self.window;
            self.expiry_queue.push_back(Expiry { key, expires_at });
            return;
        }
        let account = record.account;
        self.records.remove(&key);
        self.decrement_count(account);
    }

    fn decrement_count(&mut self, account: AccountId) {
        let Some(count) = self.counts_by_account.get_mut(&account) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.counts_by_account.remove(&account);
        }
    }
}
