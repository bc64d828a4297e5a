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
struct Table {
    bound: u32,
    held: HashMap<AccountKey, u32>,
}

impl Table {
    fn new(bound: u32) -> Table {
        Table {
            bound,
            held: HashMap::new(),
        }
    }

    /// Counts a connection for `to` that counted for `from`; changes nothing when `to` holds as many
    /// as it may.
    fn shift(&mut self, from: Option<AccountKey>, to: AccountKey) -> bool {
        let held = self.held.get(&to).copied().unwrap_or(0);
        if held >= self.bound {
            return false;
        }
        self.held.insert(to, held + 1);
        if let Some(from) = from {
            self.release(from);
        }
        true
    }

    fn release(&mut self, account: AccountKey) {
        if let Some(held) = self.held.get_mut(&account) {
            *held -= 1;
            if *held == 0 {
                self.held.remove(&account);
            }
        }
    }
}

/// The connections of all accounts at this instance; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Connections {
    table: Arc<Mutex<Table>>,
}

impl Connections {
    /// At most `bound` connections an account.
    pub(crate) fn new(bound: u32) -> Connections {
        Connections {
            table: Arc::new(Mutex::new(Table::new(bound))),
        }
    }

    /// A connection that was accepted and counts for no account yet.
    pub(crate) fn open(&self) -> Connection {
        Connection {
            all: self.clone(),
            account: Mutex::new(None),
        }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
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
        let counted = self.all.table().shift(*current, account);
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
            self.all.table().release(account);
        }
    }
}
