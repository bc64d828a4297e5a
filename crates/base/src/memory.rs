//! A limit on the memory held by requests.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// A number of bytes shared by all requests.
///
/// Without it, thousands of connections that each send a body just below the limit per body would
/// use more memory than the instance has. Bytes are reserved before the body is read.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    free: Arc<AtomicU64>,
    /// The budget of which this one is a part.
    whole: Option<Arc<MemoryBudget>>,
}

impl MemoryBudget {
    /// Creates a budget with `bytes` free.
    pub fn new(bytes: u64) -> MemoryBudget {
        MemoryBudget {
            free: Arc::new(AtomicU64::new(bytes)),
            whole: None,
        }
    }

    /// Creates a budget of at most `bytes` of this one. What is reserved of it is reserved of both.
    pub fn part(&self, bytes: u64) -> MemoryBudget {
        MemoryBudget {
            whole: Some(Arc::new(self.clone())),
            ..MemoryBudget::new(bytes)
        }
    }

    /// Reserves `bytes`, or returns `None` if fewer are free.
    pub fn reserve(&self, bytes: u64) -> Option<Reservation> {
        let whole = match &self.whole {
            Some(whole) => Some(Box::new(whole.reserve(bytes)?)),
            None => None,
        };
        let take = |free: u64| free.checked_sub(bytes);
        let taken = self
            .free
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        taken.ok().map(|_| Reservation {
            free: self.free.clone(),
            bytes,
            _whole: whole,
        })
    }
}

/// Reserved bytes, which are freed on drop.
#[derive(Debug)]
pub struct Reservation {
    free: Arc<AtomicU64>,
    bytes: u64,
    /// The same bytes of the budget of which this one is a part.
    _whole: Option<Box<Reservation>>,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.free.fetch_add(self.bytes, Ordering::Relaxed);
    }
}
