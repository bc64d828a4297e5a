//! A bound on the memory that requests take.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// A number of bytes that requests share.
///
/// Without it, thousands of connections that each send a body just below its own limit would take
/// more memory than the instance has. A reservation is made before the body is read.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    free: Arc<AtomicU64>,
}

impl MemoryBudget {
    /// All of `bytes` are free.
    pub fn new(bytes: u64) -> MemoryBudget {
        MemoryBudget {
            free: Arc::new(AtomicU64::new(bytes)),
        }
    }

    /// Takes `bytes`, or nothing when fewer are free.
    pub fn reserve(&self, bytes: u64) -> Option<Reservation> {
        let take = |free: u64| free.checked_sub(bytes);
        let taken = self
            .free
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        taken.ok().map(|_| Reservation {
            free: self.free.clone(),
            bytes,
        })
    }
}

/// Bytes that are given back when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    free: Arc<AtomicU64>,
    bytes: u64,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.free.fetch_add(self.bytes, Ordering::Relaxed);
    }
}
