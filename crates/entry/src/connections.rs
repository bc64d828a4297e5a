//! A bound on the connections that one client account holds.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crocushold_base::AccountKey;

#[cfg(test)]
mod tests;

/// How many connections count for each account.
///
/// It has at most as many entries as there are connections, whatever the number of accounts.
#[derive(Debug)]
struct ConnectionCounts {
    limit: u32,
    counts_by_account: HashMap<AccountKey, u32>,
}

impl ConnectionCounts {
    fn new(limit: u32) -> ConnectionCounts {
        ConnectionCounts {
            limit,
            counts_by_account: HashMap::new(),
        }
    }

    /// Counts a connection for `to` that counted for `from`; changes nothing when `to` holds as many
    /// as it may.
    fn reassign(&mut self, from: Option<AccountKey>, to: AccountKey) -> bool {
        let held = self.counts_by_account.get(&to).copied().unwrap_or(0);
        if held >= self.limit {
            return false;
        }
        self.counts_by_account.insert(to, held + 1);
        if let Some(from) = from {
            self.release(from);
        }
        true
    }

    fn release(&mut self, account: AccountKey) {
        if let Some(held) = self.counts_by_account.get_mut(&account) {
            *held -= 1;
            if *held == 0 {
                self.counts_by_account.remove(&account);
            }
        }
    }
}

/// The connections of all accounts at this instance; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Connections {
    counts: Arc<Mutex<ConnectionCounts>>,
}

impl Connections {
    /// At most `bound` connections an account.
    pub(crate) fn new(limit: u32) -> Connections {
        Connections {
            counts: Arc::new(Mutex::new(ConnectionCounts::new(limit))),
        }
    }

    /// A connection that was accepted and counts for no account yet.
    pub(crate) fn open(&self) -> Connection {
        Connection {
            all: self.clone(),
            account: Mutex::new(None),
        }
    }

    fn counts(&self) -> MutexGuard<'_, ConnectionCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One caller's connection. It counts for one account until it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    all: Connections,
    account: Mutex<Option<AccountKey>>,
}

impl Connection {
    /// Counts the connection for the account that its request came from; false when the account
    /// holds as many as it may.
    ///
    /// Without it one account's callers could take every connection, and all others would be refused
    /// at the door. It counts for the latest account alone, since a balancer may send requests of
    /// many accounts over one connection; and each is counted once, so the counts add up to no more
    /// than the connections in all.
    pub(crate) fn count_for(&self, account: AccountKey) -> bool {
        let mut current = self.account.lock().unwrap_or_else(PoisonError::into_inner);
        if *current == Some(account) {
            return true;
        }
        let counted = self.all.counts().reassign(*current, account);
        if counted {
            *current = Some(account);
        }
        counted
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let account = self.account.get_mut();
        if let Some(account) = *account.unwrap_or_else(PoisonError::into_inner) {
            self.all.counts().release(account);
        }
    }
}
