//! Ordered indexes over the classes of a scheduler.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crocushold_base::ClassKey;
use crocushold_base::Millis;

use crate::class::Class;
use crate::class::floor_ticks;

/// Dispatch order: by tier, then classes with requests that can still meet their target, then by
/// scaled deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DispatchRank {
    pub(crate) tier: usize,
    late: bool,
    scaled_deadline: Millis,
    pub(crate) class: ClassKey,
}

/// Order in which floors become due, on a clock that counts dispatched tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FloorRank {
    pub(crate) at: u64,
    pub(crate) class: ClassKey,
}

/// Order in which classes are evicted from a full queue: lowest-priority tier first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EvictionRank {
    pub(crate) tier: Reverse<usize>,
    pub(crate) class: ClassKey,
}

/// The keys of one class in [`ClassIndexes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct IndexKeys {
    dispatch: Option<DispatchRank>,
    floor: Option<FloorRank>,
    excess_entries: Option<EvictionRank>,
    excess_memory: Option<EvictionRank>,
}

/// The indexes over all classes.
#[derive(Debug, Default)]
pub(crate) struct ClassIndexes {
    pub(crate) dispatch: BTreeSet<DispatchRank>,
    pub(crate) floors: BTreeSet<FloorRank>,
    /// Classes with more queue entries than their reserve.
    pub(crate) excess_entries: BTreeSet<EvictionRank>,
    /// Classes with more queue memory than their reserve.
    pub(crate) excess_memory: BTreeSet<EvictionRank>,
    /// Tokens dispatched since the start, in ticks. Floors become due by this clock.
    pub(crate) token_clock: u64,
}

impl ClassIndexes {
    /// Updates the keys of a class; must be called after any change to it.
    pub(crate) fn refresh(&mut self, key: ClassKey, class: &mut Class) {
        let index_keys = self.index_keys(key, class);
        if index_keys != class.index_keys {
            replace(
                &mut self.dispatch,
                class.index_keys.dispatch,
                index_keys.dispatch,
            );
            replace(&mut self.floors, class.index_keys.floor, index_keys.floor);
            replace(
                &mut self.excess_entries,
                class.index_keys.excess_entries,
                index_keys.excess_entries,
            );
            replace(
                &mut self.excess_memory,
                class.index_keys.excess_memory,
                index_keys.excess_memory,
            );
            class.index_keys = index_keys;
        }
    }

    pub(crate) fn remove(&mut self, class: &Class) {
        replace(&mut self.dispatch, class.index_keys.dispatch, None);
        replace(&mut self.floors, class.index_keys.floor, None);
        replace(
            &mut self.excess_entries,
            class.index_keys.excess_entries,
            None,
        );
        replace(
            &mut self.excess_memory,
            class.index_keys.excess_memory,
            None,
        );
    }

    fn index_keys(&self, key: ClassKey, class: &mut Class) -> IndexKeys {
        let tier = class.spec.tier_index();
        let rank = EvictionRank {
            tier: Reverse(tier),
            class: key,
        };
        let excess_entries = (class.queued > class.reserved_entries).then_some(rank);
        let excess_memory = (class.bytes > class.reserved_bytes).then_some(rank);
        let Some(candidate) = class.candidate() else {
            return IndexKeys {
                excess_entries,
                excess_memory,
                ..IndexKeys::default()
            };
        };
        let dispatch = DispatchRank {
            tier,
            late: candidate.only_late,
            scaled_deadline: candidate.position.scaled_deadline,
            class: key,
        };
        if class.index_keys.dispatch.is_none() {
            // The class had no request that could start, and that time earns no credit towards its
            // floor.
            class.floor_clock = class.floor_clock.max(self.token_clock);
        }
        let span = floor_ticks(candidate.position.charge, class.spec.floor);
        let floor = (class.spec.floor > 0.0).then_some(FloorRank {
            at: class.floor_clock.saturating_add(span),
            class: key,
        });
        IndexKeys {
            dispatch: Some(dispatch),
            floor,
            excess_entries,
            excess_memory,
        }
    }
}

fn replace<T: Ord>(set: &mut BTreeSet<T>, old: Option<T>, new: Option<T>) {
    if old == new {
        return;
    }
    if let Some(old) = old {
        set.remove(&old);
    }
    if let Some(new) = new {
        set.insert(new);
    }
}
