//! Queue of one class, with fair queuing between its accounts.
//!
//! Start-time fair queuing with a virtual token counter for each account: the account with the
//! lowest counter is served next. An account that was idle starts at the class's virtual time, so
//! that idle time can't be accumulated as credit. An account that was served more than its share
//! keeps its counter until the virtual time has caught up, so that it can't clear its debt by going
//! idle briefly.

use std::collections::BTreeSet;

use crocushold_base::AccountKey;
use crocushold_base::ModelKey;
use slotmap::SecondaryMap;
use slotmap::SparseSecondaryMap;

use crate::class_index::IndexKeys;
use crate::flow::Flow;
use crate::flow::FlowLength;
use crate::flow::FlowRank;
use crate::histogram::DecayingHistogram;
use crate::request::Lane;
use crate::request::QueuePosition;
use crate::request::Request;
use crate::request::SelectedBy;
use crate::spec::ClassSpec;
use crate::throughput::DemandRate;

/// One start in this many goes to a request that missed its target while others can still meet
/// theirs.
///
/// Without such starts a permanent overload would never reach the late requests. More of them would
/// delay requests that can still meet their target until these are late as well.
const LATE_START_INTERVAL: u32 = 8;

/// Quantile of the observed times to first token that is subtracted from the target.
const FIRST_TOKEN_QUANTILE: f64 = 0.9;

#[derive(Debug)]
pub(crate) struct Class {
    pub(crate) spec: ClassSpec,
    pub(crate) queued: u32,
    /// Estimated cost of the queued requests, in output tokens.
    pub(crate) backlog: u64,
    pub(crate) bytes: u64,
    pub(crate) demand: DemandRate,
    /// Value of the token clock up to which the class has received its floor.
    pub(crate) floor_clock: u64,
    /// Keys of the class in the scheduler's indexes.
    pub(crate) index_keys: IndexKeys,
    /// Queue entries reserved for the class.
    pub(crate) reserved_entries: u32,
    /// Bytes of queue memory reserved for the class.
    pub(crate) reserved_bytes: u64,
    pub(crate) output_lengths: DecayingHistogram,
    pub(crate) model_output_lengths: SecondaryMap<ModelKey, DecayingHistogram>,
    pub(crate) first_token_times: DecayingHistogram,
    flows: SparseSecondaryMap<AccountKey, Flow>,
    on_time: BTreeSet<FlowRank>,
    late: BTreeSet<FlowRank>,
    idle: BTreeSet<FlowRank>,
    by_length: BTreeSet<FlowLength>,
    virtual_time: u64,
    starts_since_late: u32,
    /// Number of starts that weren't undone.
    starts: u64,
}

/// The state of a class before a start, by which the start can be undone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StartMark {
    number: u64,
    virtual_time: u64,
    counter: u64,
}

/// The request of a class that is started next.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) account: AccountKey,
    pub(crate) lane: Lane,
    pub(crate) position: QueuePosition,
    /// No queued request of the class can still meet its target.
    pub(crate) only_late: bool,
}

impl StartMark {
    /// The account's counter.
    pub(crate) fn counter(self) -> u64 {
        self.counter
    }
}

impl Class {
    pub(crate) fn new(spec: ClassSpec, output_quantile: f64) -> Class {
        Class {
            spec,
            queued: 0,
            backlog: 0,
            bytes: 0,
            demand: DemandRate::default(),
            floor_clock: 0,
            index_keys: IndexKeys::default(),
            reserved_entries: 0,
            reserved_bytes: 0,
            output_lengths: DecayingHistogram::new(output_quantile),
            model_output_lengths: SecondaryMap::new(),
            first_token_times: DecayingHistogram::new(FIRST_TOKEN_QUANTILE),
            flows: SparseSecondaryMap::new(),
            on_time: BTreeSet::new(),
            late: BTreeSet::new(),
            idle: BTreeSet::new(),
            by_length: BTreeSet::new(),
            virtual_time: 0,
            starts_since_late: 0,
            starts: 0,
        }
    }

    /// Number of accounts with queued requests.
    pub(crate) fn active_accounts(&self) -> u64 {
        self.by_length.len() as u64
    }

    pub(crate) fn flow_count(&self) -> usize {
        self.flows.len()
    }

    pub(crate) fn flow(&self, account: AccountKey) -> Option<&Flow> {
        self.flows.get(account)
    }

    /// The request that is started next, if one is eligible.
    pub(crate) fn candidate(&self) -> Option<Candidate> {
        let late_is_due =
            self.starts_since_late >= LATE_START_INTERVAL - 1 && !self.late.is_empty();
        let lane = if self.on_time.is_empty() || late_is_due {
            Lane::Late
        } else {
            Lane::OnTime
        };
        let account = self.order(lane).first()?.account;
        let position = *self.flows.get(account)?.head(lane)?;
        Some(Candidate {
            account,
            lane,
            position,
            only_late: self.on_time.is_empty(),
        })
    }

    /// The account with the most queued requests, and their number.
    pub(crate) fn longest_queue(&self) -> Option<FlowLength> {
        self.by_length.last().copied()
    }

    /// Reserved queue entries that are not in use.
    pub(crate) fn unused_reserve(&self) -> u32 {
        self.reserved_entries.saturating_sub(self.queued)
    }

    pub(crate) fn insert(&mut self, request: &Request, lane: Lane) {
        self.queued += 1;
        self.backlog += request.position.charge;
        self.bytes += u64::from(request.bytes);
        self.demand.add(request.demand);
        let start = self.virtual_time;
        self.update_flow(request.account, |flow| {
            if flow.is_empty() {
                flow.counter = flow.counter.max(start);
            }
            flow.insert(lane, request.position);
        });
    }

    pub(crate) fn remove(&mut self, request: &Request, lane: Lane) {
        self.queued -= 1;
        self.backlog -= request.position.charge;
        self.bytes -= u64::from(request.bytes);
        self.demand.remove(request.demand);
        self.update_flow(request.account, |flow| flow.remove(lane, &request.position));
    }

    /// Updates the virtual time and the count of on-time starts; called just before the candidate
    /// is started.
    pub(crate) fn record_start(&mut self, candidate: &Candidate) -> StartMark {
        self.starts_since_late = match candidate.lane {
            Lane::Late => 0,
            Lane::OnTime if self.late.is_empty() => 0,
            Lane::OnTime => self.starts_since_late + 1,
        };
        let counter = self.flow(candidate.account).map_or(0, |flow| flow.counter);
        let virtual_time = self.virtual_time;
        self.virtual_time = virtual_time.max(counter);
        self.starts += 1;
        StartMark {
            number: self.starts,
            virtual_time,
            counter,
        }
    }

    /// Undoes a start whose request was charged nothing in the end and is about to be queued again.
    /// Several starts are undone in reverse order.
    ///
    /// Otherwise an account whose only request was tried in vain would lose its place to one with
    /// several requests: its queue was empty meanwhile, and would start at a virtual time that the
    /// other one's starts advanced.
    pub(crate) fn undo_start(&mut self, mark: StartMark) {
        // Starts that followed and weren't undone keep the virtual time.
        if self.starts == mark.number {
            self.starts -= 1;
            self.virtual_time = mark.virtual_time;
        }
    }

    /// Returns an account's counter to what it was before its queue was empty for a moment.
    pub(crate) fn restore_counter(&mut self, account: AccountKey, counter: u64) {
        self.update_flow(account, |flow| flow.counter = counter);
    }

    pub(crate) fn charge(&mut self, account: AccountKey, tokens: u64) {
        self.update_flow(account, |flow| flow.charge(tokens));
    }

    pub(crate) fn refund(&mut self, account: AccountKey, tokens: u64) {
        self.update_flow(account, |flow| flow.refund(tokens));
    }

    /// Removes an account from the dispatch order when it reaches its concurrency limit, or adds it
    /// again when it falls below.
    pub(crate) fn set_blocked(&mut self, account: AccountKey, blocked: bool) {
        if !self.flows.contains_key(account) {
            return;
        }
        let start = self.virtual_time;
        self.update_flow(account, |flow| {
            // Like idle time, time at the concurrency limit earns no credit.
            if flow.blocked && !blocked {
                flow.counter = flow.counter.max(start);
            }
            flow.blocked = blocked;
        });
    }

    /// Sets the weight of each flow. A flow whose account is gone is dropped if it is empty.
    pub(crate) fn update_weights(&mut self, weight: impl Fn(AccountKey) -> Option<f64>) {
        let idle = &mut self.idle;
        self.flows.retain(|account, flow| match weight(account) {
            Some(weight) => {
                flow.weight = weight;
                true
            }
            None if flow.is_empty() => {
                let counter = flow.counter;
                idle.remove(&FlowRank { counter, account });
                false
            }
            None => true,
        });
    }

    /// Creates the account's flow with `weight` unless it exists.
    pub(crate) fn ensure_flow(&mut self, account: AccountKey, weight: f64) {
        if !self.flows.contains_key(account) {
            let flow = Flow::new(self.virtual_time, weight);
            self.flows.insert(account, flow);
            self.index_flow(account);
        }
    }

    /// Charges a start against the floor.
    ///
    /// A start selected by the floor advances the class's clock by the time in which its share
    /// accrues again. A start selected by rank uses up accrued credit but leaves no debt: otherwise
    /// the class would lose its floor under load for what it was served in quiet hours.
    pub(crate) fn charge_floor(&mut self, selected_by: SelectedBy, charge: u64, clock: u64) {
        let step = floor_ticks(charge, self.spec.floor);
        let next = self.floor_clock.saturating_add(step);
        self.floor_clock = match selected_by {
            SelectedBy::Floor => next,
            SelectedBy::Rank => next.min(clock).max(self.floor_clock),
        };
    }

    fn update_flow(&mut self, account: AccountKey, change: impl FnOnce(&mut Flow)) {
        self.unindex_flow(account);
        if let Some(flow) = self.flows.get_mut(account) {
            change(flow);
        }
        self.index_flow(account);
    }

    fn unindex_flow(&mut self, account: AccountKey) {
        let Some(flow) = self.flows.get(account) else {
            return;
        };
        let rank = FlowRank {
            counter: flow.counter,
            account,
        };
        if flow.is_empty() {
            self.idle.remove(&rank);
            return;
        }
        self.by_length.remove(&FlowLength {
            queued: flow.len(),
            account,
        });
        self.on_time.remove(&rank);
        self.late.remove(&rank);
    }

    fn index_flow(&mut self, account: AccountKey) {
        let Some(flow) = self.flows.get(account) else {
            return;
        };
        let rank = FlowRank {
            counter: flow.counter,
            account,
        };
        if flow.is_empty() {
            self.idle.insert(rank);
            return;
        }
        self.by_length.insert(FlowLength {
            queued: flow.len(),
            account,
        });
        if flow.blocked {
            return;
        }
        if flow.head(Lane::OnTime).is_some() {
            self.on_time.insert(rank);
        }
        if flow.head(Lane::Late).is_some() {
            self.late.insert(rank);
        }
    }

    /// Drops empty flows without debt, so that memory use follows the active accounts.
    pub(crate) fn drop_idle_flows(&mut self) {
        while let Some(&rank) = self.idle.first() {
            if rank.counter > self.virtual_time {
                return;
            }
            self.idle.remove(&rank);
            self.flows.remove(rank.account);
        }
    }

    fn order(&self, lane: Lane) -> &BTreeSet<FlowRank> {
        match lane {
            Lane::OnTime => &self.on_time,
            Lane::Late => &self.late,
        }
    }
}

/// Ticks of the token clock per token, so that rounding is small relative to any charge.
const TICKS_PER_TOKEN: u64 = 1024;

/// Ticks by which dispatched tokens advance the token clock.
pub(crate) fn clock_ticks(tokens: u64) -> u64 {
    tokens * TICKS_PER_TOKEN
}

/// Ticks of the token clock in which a share of `floor` accrues to `charge`. Rounded up, so that
/// rounding never increases a floor.
pub(crate) fn floor_ticks(charge: u64, floor: f64) -> u64 {
    (clock_ticks(charge) as f64 / floor).ceil() as u64
}
