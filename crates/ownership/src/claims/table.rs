//! The bounded table of records.

use std::collections::HashMap;
use std::collections::VecDeque;

use crocushold_base::Millis;

use super::message::ClaimKey;
use super::message::ClaimState;
use super::message::Record;
use super::settings::ClaimSettings;
use crate::limits::AccountId;

/// Records by key, forgotten when they are older than the window; never evicted before.
#[derive(Clone, Debug)]
pub(super) struct Table {
    window: Millis,
    capacity: usize,
    max_per_account: usize,
    /// Records of each account.
    counts: HashMap<AccountId, usize>,
    records: HashMap<ClaimKey, Record>,
    /// One slot a record, in the order of the first insertion.
    queue: VecDeque<Slot>,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    key: ClaimKey,
    due: Millis,
}

impl Table {
    pub(super) fn new(settings: &ClaimSettings) -> Table {
        Table {
            window: settings.window,
            capacity: settings.capacity,
            max_per_account: settings.max_per_account,
            counts: HashMap::new(),
            records: HashMap::new(),
            queue: VecDeque::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) fn is_full(&self, account: AccountId) -> bool {
        let used = self.counts.get(&account).copied().unwrap_or(0);
        self.records.len() >= self.capacity || used >= self.max_per_account
    }

    pub(super) fn get(&self, key: ClaimKey) -> Option<&Record> {
        self.records.get(&key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&ClaimKey, &Record)> {
        self.records.iter()
    }

    /// Writes a record. Records that must not be lost (settled or transferred ones) may pass the
    /// capacity; the callers check [`Table::is_full`] before they admit a fresh claim.
    pub(super) fn put(&mut self, key: ClaimKey, record: Record) {
        let due = record.time + self.window;
        // The account was counted with the first record of the key.
        let known = self.records.get(&key).map(|old| old.account);
        let account = known.unwrap_or(record.account);
        let record = Record { account, ..record };
        if self.records.insert(key, record).is_none() {
            *self.counts.entry(record.account).or_default() += 1;
            self.queue.push_back(Slot { key, due });
        }
    }

    /// Forgets the records whose window is over.
    pub(super) fn expire(&mut self, now: Millis) {
        while let Some(slot) = self.queue.front().copied() {
            if slot.due > now {
                return;
            }
            self.queue.pop_front();
            self.expire_slot(slot.key, now);
        }
    }

    /// How long until the oldest record may be forgotten.
    pub(super) fn next_expiry(&self, now: Millis) -> Millis {
        self.queue
            .front()
            .map_or(Millis::ZERO, |slot| slot.due.since(now))
    }

    fn expire_slot(&mut self, key: ClaimKey, now: Millis) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        let due = record.time + self.window;
        if due > now {
            self.queue.push_back(Slot { key, due });
            return;
        }
        if record.state == ClaimState::InProgress {
            // Nobody settled it. It may be running still, so it isn't forgotten with the others but
            // stays unknown for a window of its own.
            record.state = ClaimState::Unknown;
            record.time = now;
            let due = now + self.window;
            self.queue.push_back(Slot { key, due });
            return;
        }
        let account = record.account;
        self.records.remove(&key);
        self.uncount(account);
    }

    fn uncount(&mut self, account: AccountId) {
        let Some(count) = self.counts.get_mut(&account) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(&account);
        }
    }
}
