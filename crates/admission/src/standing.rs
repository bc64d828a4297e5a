//! Where the classes stand in the scheduler's orders.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crocushold_base::ClassKey;
use crocushold_base::Millis;

use crate::class::Class;
use crate::class::floor_span;

/// Order in which classes are served: tier, attainable before late, scaled deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct HeadRank {
    pub(crate) tier: usize,
    late: bool,
    rank: Millis,
    pub(crate) class: ClassKey,
}

/// Order in which floors fall due, on a clock that counts dispatched tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FloorRank {
    pub(crate) at: u64,
    pub(crate) class: ClassKey,
}

/// Order in which classes give way when the queue is full: the lowest tier first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct YieldRank {
    pub(crate) tier: Reverse<usize>,
    pub(crate) class: ClassKey,
}

/// The entries of one class in [`Orders`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Standing {
    head: Option<HeadRank>,
    floor: Option<FloorRank>,
    entries: Option<YieldRank>,
    memory: Option<YieldRank>,
}

/// The orders between classes.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    pub(crate) heads: BTreeSet<HeadRank>,
    pub(crate) floors: BTreeSet<FloorRank>,
    /// Classes with more queue entries than are kept for them.
    pub(crate) entries: BTreeSet<YieldRank>,
    /// Classes with more queue memory than is kept for them.
    pub(crate) memory: BTreeSet<YieldRank>,
    /// Tokens dispatched since the start, scaled: the clock of the floors.
    pub(crate) clock: u64,
}

impl Orders {
    /// Brings the entries of a class up to date; call after any change to it.
    pub(crate) fn refresh(&mut self, key: ClassKey, class: &mut Class) {
        let standing = self.standing(key, class);
        if standing != class.standing {
            replace(&mut self.heads, class.standing.head, standing.head);
            replace(&mut self.floors, class.standing.floor, standing.floor);
            replace(&mut self.entries, class.standing.entries, standing.entries);
            replace(&mut self.memory, class.standing.memory, standing.memory);
            class.standing = standing;
        }
    }

    /// Takes a class out.
    pub(crate) fn remove(&mut self, class: &Class) {
        replace(&mut self.heads, class.standing.head, None);
        replace(&mut self.floors, class.standing.floor, None);
        replace(&mut self.entries, class.standing.entries, None);
        replace(&mut self.memory, class.standing.memory, None);
    }

    fn standing(&self, key: ClassKey, class: &mut Class) -> Standing {
        let tier = class.spec.tier_index();
        let rank = YieldRank {
            tier: Reverse(tier),
            class: key,
        };
        let entries = (class.queued > class.kept).then_some(rank);
        let memory = (class.bytes > class.kept_bytes).then_some(rank);
        let Some(candidate) = class.candidate() else {
            return Standing {
                entries,
                memory,
                ..Standing::default()
            };
        };
        let head = HeadRank {
            tier,
            late: candidate.only_late,
            rank: candidate.place.rank,
            class: key,
        };
        if class.standing.head.is_none() {
            // Nothing could be started until now; that time is no credit towards the floor.
            class.floor_clock = class.floor_clock.max(self.clock);
        }
        let span = floor_span(candidate.place.charge, class.spec.floor);
        let floor = (class.spec.floor > 0.0).then_some(FloorRank {
            at: class.floor_clock.saturating_add(span),
            class: key,
        });
        Standing {
            head: Some(head),
            floor,
            entries,
            memory,
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
