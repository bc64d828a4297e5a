//! Queue of one account in one class.

use std::collections::BTreeSet;

use crocushold_base::AccountKey;

use crate::request::Lane;
use crate::request::QueuePosition;

/// Counter units per token, for an account of weight 1.
const SCALE: f64 = 256.0;

/// The queued requests of one account in one class, and its fair-queuing counter.
#[derive(Clone, Debug)]
pub(crate) struct Flow {
    /// Tokens served, divided by the account's weight. The account with the lowest counter is
    /// served next.
    pub(crate) counter: u64,
    pub(crate) weight: f64,
    /// The account is at its concurrency limit.
    pub(crate) blocked: bool,
    /// Estimated cost of the queued requests, in output tokens.
    pub(crate) backlog: u64,
    on_time: BTreeSet<QueuePosition>,
    late: BTreeSet<QueuePosition>,
}

impl Flow {
    pub(crate) fn new(counter: u64, weight: f64) -> Flow {
        Flow {
            counter,
            weight,
            blocked: false,
            backlog: 0,
            on_time: BTreeSet::new(),
            late: BTreeSet::new(),
        }
    }

    pub(crate) fn len(&self) -> u32 {
        (self.on_time.len() + self.late.len()) as u32
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.on_time.is_empty() && self.late.is_empty()
    }

    pub(crate) fn head(&self, lane: Lane) -> Option<&QueuePosition> {
        self.lane(lane).first()
    }

    /// The request that is evicted first: the newest that can still meet its target, otherwise the
    /// newest.
    pub(crate) fn newest(&self) -> Option<&QueuePosition> {
        self.on_time.last().or_else(|| self.late.last())
    }

    pub(crate) fn insert(&mut self, lane: Lane, position: QueuePosition) {
        self.backlog += position.charge;
        self.lane_mut(lane).insert(position);
    }

    pub(crate) fn remove(&mut self, lane: Lane, position: &QueuePosition) {
        if self.lane_mut(lane).remove(position) {
            self.backlog -= position.charge;
        }
    }

    pub(crate) fn charge(&mut self, tokens: u64) {
        self.counter = self.counter.saturating_add(self.scaled(tokens));
    }

    pub(crate) fn refund(&mut self, tokens: u64) {
        self.counter = self.counter.saturating_sub(self.scaled(tokens));
    }

    fn scaled(&self, tokens: u64) -> u64 {
        (tokens as f64 * SCALE / self.weight.max(f64::MIN_POSITIVE)) as u64
    }

    fn lane(&self, lane: Lane) -> &BTreeSet<QueuePosition> {
        match lane {
            Lane::OnTime => &self.on_time,
            Lane::Late => &self.late,
        }
    }

    fn lane_mut(&mut self, lane: Lane) -> &mut BTreeSet<QueuePosition> {
        match lane {
            Lane::OnTime => &mut self.on_time,
            Lane::Late => &mut self.late,
        }
    }
}

/// Order of a class's flows by tokens served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FlowRank {
    pub(crate) counter: u64,
    pub(crate) account: AccountKey,
}

/// Order of a class's flows by queue length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FlowLength {
    pub(crate) queued: u32,
    pub(crate) account: AccountKey,
}
