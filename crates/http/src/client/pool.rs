//! The pool of idle connections.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use async_std::net::SocketAddr;
use crocushold_base::Clock;
use crocushold_base::Millis;

use super::limits::PoolLimits;
use crate::connection::Connection;

struct IdleConnection {
    connection: Arc<Connection>,
    since: Millis,
}

#[derive(Default)]
struct IdleLists {
    by_server: HashMap<SocketAddr, Vec<IdleConnection>>,
    total: usize,
}

/// The idle connections of a client. Those of one server are ordered from the oldest to the newest.
pub(crate) struct Pool {
    clock: Clock,
    limits: PoolLimits,
    lists: Mutex<IdleLists>,
}

impl Pool {
    pub(crate) fn new(limits: PoolLimits) -> Pool {
        Pool {
            clock: Clock::start(),
            limits,
            lists: Mutex::default(),
        }
    }

    fn lists(&self) -> MutexGuard<'_, IdleLists> {
        match self.lists.lock() {
            Ok(lists) => lists,
            Err(poisoned) => poisoned.into_inner(),
        }
    }

    /// Takes the most recently used connection to `server` that is still open.
    pub(crate) fn take(&self, server: SocketAddr) -> Option<Arc<Connection>> {
        loop {
            let idle = self.pop(server)?;
            let age = self.clock.now().since(idle.since);
            // This detects a connection that the server has already closed. A server that closes it
            // between this check and the write isn't detected; only a new connection avoids that.
            if age < self.limits.idle_timeout && idle.connection.is_idle() {
                return Some(idle.connection);
            }
        }
    }

    fn pop(&self, server: SocketAddr) -> Option<IdleConnection> {
        let mut lists = self.lists();
        let list = lists.by_server.get_mut(&server)?;
        let idle = list.pop();
        if list.is_empty() {
            lists.by_server.remove(&server);
        }
        if idle.is_some() {
            lists.total -= 1;
        }
        idle
    }

    /// Returns a connection whose last answer was read to its end.
    pub(crate) fn put(&self, server: SocketAddr, connection: Arc<Connection>) {
        let since = self.clock.now();
        let mut lists = self.lists();
        if lists.total >= self.limits.total {
            lists.remove_expired(since, self.limits.idle_timeout);
        }
        if lists.total >= self.limits.total {
            return;
        }
        let list = lists.by_server.entry(server).or_default();
        if list.len() >= self.limits.per_server {
            return;
        }
        list.push(IdleConnection { connection, since });
        lists.total += 1;
    }

    /// The number of idle connections.
    pub(crate) fn len(&self) -> usize {
        self.lists().total
    }
}

impl IdleLists {
    /// Drops the connections that have been idle for `limit` or longer.
    fn remove_expired(&mut self, now: Millis, limit: Millis) {
        for list in self.by_server.values_mut() {
            list.retain(|idle| now.since(idle.since) < limit);
        }
        self.by_server.retain(|_, list| !list.is_empty());
        self.total = self.by_server.values().map(Vec::len).sum();
    }
}
