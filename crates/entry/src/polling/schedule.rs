//! When which server is polled: a state machine.

use std::collections::HashMap;

use crocushold_base::Millis;
use crocushold_base::ServerKey;

/// The most servers in reach that are polled every second.
///
/// Above, polls would take more than all the rest of control: 1,073 bytes a second for each server
/// (docs/CAPACITY.md). Reports that are rarer than every few seconds are worse than none for the
/// choice of a server, so the choice then goes by the instance's own requests alone.
pub(super) const MAX_SELECTION_POLLED: usize = 64;

/// Engines that this instance sends orders to: an order needs a report of the last 5 s.
const ORDERS_PERIOD: Millis = Millis::from_secs(2);

/// Borrowed servers, which get nothing while their report says that they are full.
const BORROWED_PERIOD: Millis = Millis::from_secs(5);

/// Servers that hold different models: a request for one that was unloaded meanwhile fails.
const HETEROGENEOUS_PERIOD: Millis = Millis::from_secs(10);

/// All others.
const BACKGROUND_PERIOD: Millis = Millis::from_secs(120);

/// Why a server is polled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum PollReason {
    /// In reach, for the choice of a server.
    Selection,
    /// This instance sends it orders.
    Orders,
    /// In reach for the moment, beyond the own subset.
    Borrowed,
    /// In reach, in a service whose models are on some servers only.
    Heterogeneous,
    /// In reach.
    Background,
}

impl PollReason {
    /// Between two polls; zero for every round.
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

/// Remembers when each server is due.
#[derive(Debug, Default)]
pub(super) struct PollSchedule {
    due: HashMap<ServerKey, Millis>,
}

impl PollSchedule {
    /// Which of the servers are polled now. One that is new is polled at once.
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
            // A cause with a shorter period than the one that set the time comes into its right.
            let due = due.map(|due| due.min(now + period));
            if due.is_some_and(|due| due > now) {
                self.due.extend(due.map(|due| (key, due)));
                continue;
            }
            polled.push(key);
            // Those that came together would be polled together for ever: a burst that competes
            // with requests, where an even stream doesn't.
            let span = match due {
                Some(_) => period,
                None => Millis(period.0 * (number as u64 + 1) / servers.len() as u64),
            };
            self.due.insert(key, now + span);
        }
        polled
    }
}
