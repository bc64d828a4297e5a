//! Decides when each server is polled, as a state machine.

use std::collections::HashMap;

use crocushold_base::Millis;
use crocushold_base::ServerKey;

/// Maximum number of servers in reach that are polled every second.
///
/// Beyond it, polls would take more than all other control traffic: 1,073 bytes a second for each
/// server (docs/CAPACITY.md). Reports at intervals of several seconds make the selection of a
/// server worse than no reports, so the selection then relies on the instance's own requests alone.
pub(super) const MAX_SELECTION_POLLED: usize = 64;

/// Engines to which this instance sends orders. An order needs a report that is at most 5 s old.
const ORDERS_PERIOD: Millis = Millis::from_secs(2);

/// Borrowed servers, which receive no requests while their report says that they are full.
const BORROWED_PERIOD: Millis = Millis::from_secs(5);

/// Servers that hold different models. A request for a model that was unloaded in the meantime
/// fails.
const HETEROGENEOUS_PERIOD: Millis = Millis::from_secs(10);

/// All other servers.
const BACKGROUND_PERIOD: Millis = Millis::from_secs(120);

/// Why a server is polled; determines the interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum PollReason {
    /// In reach, and few enough to be polled for server selection.
    Selection,
    /// This instance sends orders to the server.
    Orders,
    /// In reach temporarily, outside this instance's subset.
    Borrowed,
    /// In reach, in a service whose models are held by some of the servers only.
    Heterogeneous,
    /// In reach, for no other reason.
    Background,
}

impl PollReason {
    /// Interval between two polls; zero means every round.
    fn period(self) -> Millis {
        match self {
            PollReason::Selection => Millis::ZERO,
            PollReason::Orders => ORDERS_PERIOD,
            PollReason::Borrowed => BORROWED_PERIOD,
            PollReason::Heterogeneous => HETEROGENEOUS_PERIOD,
            PollReason::Background => BACKGROUND_PERIOD,
        }
    }
}

/// The next poll time of each server.
#[derive(Debug, Default)]
pub(super) struct PollSchedule {
    due: HashMap<ServerKey, Millis>,
}

impl PollSchedule {
    /// Returns the servers to poll in this round. A new server is polled immediately.
    pub(super) fn round(
        &mut self,
        servers: &[(ServerKey, PollReason)],
        now: Millis,
    ) -> Vec<ServerKey> {
        let before = std::mem::take(&mut self.due);
        let mut polled = Vec::new();
        for (number, &(key, reason)) in servers.iter().enumerate() {
            let period = reason.period();
            let due = before.get(&key).copied();
            // A reason with a shorter interval than the one that set the time applies immediately.
            let due = due.map(|due| due.min(now + period));
            if due.is_some_and(|due| due > now) {
                self.due.extend(due.map(|due| (key, due)));
                continue;
            }
            polled.push(key);
            // Servers that were added together would always be polled together: a burst that
            // competes with requests, where a steady stream of polls doesn't.
            let span = match due {
                Some(_) => period,
                None => Millis(period.0 * (number as u64 + 1) / servers.len() as u64),
            };
            self.due.insert(key, now + span);
        }
        polled
    }
}
