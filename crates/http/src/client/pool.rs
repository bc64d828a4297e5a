//! Idle connections that can carry another request.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use async_std::net::SocketAddr;
use crocushold_base::Clock;
use crocushold_base::Millis;

use super::limits::PoolLimits;
use crate::wire::Wire;

struct Idle {
    wire: Arc<Wire>,
    since: Millis,
}

#[derive(Default)]
struct Shelves {
    servers: HashMap<SocketAddr, Vec<Idle>>,
    total: usize,
}

/// The idle connections of a client, newest last.
pub(crate) struct Pool {
    clock: Clock,
    limits: PoolLimits,
    shelves: Mutex<Shelves>,
}

impl Pool {
    pub(crate) fn new(limits: PoolLimits) -> Pool {
        Pool {
            clock: Clock::start(),
            limits,
            shelves: Mutex::default(),
        }
    }

    fn shelves(&self) -> MutexGuard<'_, Shelves> {
        match self.shelves.lock() {
            Ok(shelves) => shelves,
            Err(poisoned) => poisoned.into_inner(),
        }
    }

    /// Takes the connection that was used last and is still open.
    pub(crate) fn take(&self, server: SocketAddr) -> Option<Arc<Wire>> {
        loop {
            let idle = self.pop(server)?;
            let age = self.clock.now().since(idle.since);
            // A server that closed an idle connection has done so before this look, or leaves the
            // small window that only a fresh connection avoids.
            if age < self.limits.idle_timeout && idle.wire.is_idle() {
                return Some(idle.wire);
            }
        }
    }

    fn pop(&self, server: SocketAddr) -> Option<Idle> {
        let mut shelves = self.shelves();
        let shelf = shelves.servers.get_mut(&server)?;
        let idle = shelf.pop();
        if shelf.is_empty() {
            shelves.servers.remove(&server);
        }
        if idle.is_some() {
            shelves.total -= 1;
        }
        idle
    }

    /// Keeps a connection whose last answer was read to its end.
    pub(crate) fn give(&self, server: SocketAddr, wire: Arc<Wire>) {
        let since = self.clock.now();
        let mut shelves = self.shelves();
        if shelves.total >= self.limits.total {
            shelves.drop_aged(since, self.limits.idle_timeout);
        }
        if shelves.total >= self.limits.total {
            return;
        }
        let shelf = shelves.servers.entry(server).or_default();
        if shelf.len() >= self.limits.per_server {
            return;
        }
        shelf.push(Idle { wire, since });
        shelves.total += 1;
    }

    /// The number of idle connections.
    pub(crate) fn len(&self) -> usize {
        self.shelves().total
    }
}

impl Shelves {
    fn drop_aged(&mut self, now: Millis, limit: Millis) {
        for shelf in self.servers.values_mut() {
            shelf.retain(|idle| now.since(idle.since) < limit);
        }
        self.servers.retain(|_, shelf| !shelf.is_empty());
        self.total = self.servers.values().map(Vec::len).sum();
    }
}
