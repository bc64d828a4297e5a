//! Limits the number of connections of each client account.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crocushold_base::AccountKey;

#[cfg(test)]
mod tests;

/// Number of connections of each account.
///
/// The table has at most one entry per open connection, whatever the number of accounts.
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

    /// Moves a connection from account `from` to account `to`. Returns false and changes nothing if
    /// `to` is at its limit.
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

/// The connections of all accounts at this instance. Clones share the counts.
#[derive(Clone, Debug)]
pub(crate) struct Connections {
    counts: Arc<Mutex<ConnectionCounts>>,
}

impl Connections {
    /// Allows at most `limit` connections per account.
    pub(crate) fn new(limit: u32) -> Connections {
        Connections {
            counts: Arc::new(Mutex::new(ConnectionCounts::new(limit))),
        }
    }

    /// Returns an accepted connection that isn't counted for any account yet.
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

/// A caller's connection. It counts for one account until it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    all: Connections,
    account: Mutex<Option<AccountKey>>,
}

impl Connection {
    /// Counts the connection for the account of its current request. Returns false if the account
    /// is at its limit.
    ///
    /// Without this limit the callers of one account could take all connections, and those of all
    /// other accounts would be refused. A connection counts only for the latest account, since a
    /// balancer may send requests of many accounts over one connection. As each connection is
    /// counted once, the counts add up to no more than the total number of connections.
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
