//! The pool of idle connections.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::Weak;

use async_std::net::SocketAddr;
use async_std::task;
use crocushold_base::Clock;
use crocushold_base::Millis;

use super::limits::PoolLimits;
use crate::connection::Connection;

/// Interval at which idle connections are looked at. Until then a server that sends on one without being asked
/// fills its receive buffer, and no more.
const SWEEP_INTERVAL: Millis = Millis::from_secs(1);

struct IdleConnection {
    connection: Arc<Connection>,
    since: Millis,
}

#[derive(Default)]
struct IdleLists {
    by_server: HashMap<SocketAddr, Vec<IdleConnection>>,
    total: usize,
    /// Whether a task looks at them.
    swept: bool,
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
    pub(crate) fn put(self: &Arc<Self>, server: SocketAddr, connection: Arc<Connection>) {
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
        if !std::mem::replace(&mut lists.swept, true) {
            task::spawn(sweep(Arc::downgrade(self)));
        }
    }

    /// Drops the connections that have expired, were closed, or hold bytes that nobody asked for. Returns
    /// whether some are left.
    fn sweep(&self) -> bool {
        let kept: Vec<Arc<Connection>> = {
            let mut lists = self.lists();
            lists.remove_expired(self.clock.now(), self.limits.idle_timeout);
            let idle = lists.by_server.values().flatten();
            idle.map(|idle| idle.connection.clone()).collect()
        };
        // The lock isn't held during the system calls. A connection that was taken meanwhile isn't listed.
        let unusable: Vec<Arc<Connection>> = kept
            .into_iter()
            .filter(|connection| !connection.is_idle())
            .collect();
        let mut lists = self.lists();
        lists.retain(|idle| {
            let mut unusable = unusable.iter();
            !unusable.any(|connection| Arc::ptr_eq(connection, &idle.connection))
        });
        lists.swept = lists.total > 0;
        lists.swept
    }

    /// The number of idle connections.
    pub(crate) fn len(&self) -> usize {
        self.lists().total
    }
}

/// Looks at the idle connections until there are none.
async fn sweep(pool: Weak<Pool>) {
    loop {
        task::sleep(SWEEP_INTERVAL.into()).await;
        let is_left = pool.upgrade().is_some_and(|pool| pool.sweep());
        if !is_left {
            return;
        }
    }
}

impl IdleLists {
    /// Drops the connections that have been idle for `limit` or longer.
    fn remove_expired(&mut self, now: Millis, limit: Millis) {
        self.retain(|idle| now.since(idle.since) < limit);
    }

    fn retain(&mut self, keep: impl Fn(&IdleConnection) -> bool) {
        for list in self.by_server.values_mut() {
            list.retain(&keep);
        }
        self.by_server.retain(|_, list| !list.is_empty());
        self.total = self.by_server.values().map(Vec::len).sum();
    }
}
