//! Events and actions exchanged between a state machine and the shell that performs its I/O.

use std::fmt;

use crocushold_base::Millis;

use crate::report::Report;
use crate::wire::ConfigIndex;
use crate::wire::InstanceList;
use crate::wire::PartText;

/// Identifies one call. Ids are never reused, so a late answer to a cancelled call matches no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub(crate) u64);

/// A request to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read the configuration index.
    Index,
    /// Wait until the index has a newer revision.
    Watch {
        /// The newest revision that the caller has.
        after: u64,
        /// How long the platform may hold the call open.
        wait: Millis,
    },
    /// Read one team's part.
    Part {
        /// The team.
        team: String,
    },
    /// Read the instance list.
    Instances,
}

/// The complete answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Answers [`Call::Index`] or [`Call::Watch`].
    Index(ConfigIndex),
    /// Answers [`Call::Part`].
    Part(PartText),
    /// Answers [`Call::Instances`].
    Instances(InstanceList),
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be opened, or it failed.
    Connection,
    /// No answer arrived by the deadline.
    Timeout,
    /// Status 429: the read budget is exceeded.
    Throttled {
        /// The delay given in `Retry-After`.
        retry_after: Option<Millis>,
    },
    /// A status other than 200 and 429.
    Status(u16),
    /// The answer is too large or can't be parsed.
    Malformed(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Connection => f.write_str("connection"),
            Failure::Timeout => f.write_str("timeout"),
            Failure::Throttled { .. } => f.write_str("throttled"),
            Failure::Status(status) => write!(f, "status-{status}"),
            Failure::Malformed(cause) => write!(f, "malformed: {cause}"),
        }
    }
}

/// An input to a state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The time given by [`Machine::next_wake`] has been reached.
    Tick,
    /// A call was answered.
    Answered {
        /// The call.
        call: CallId,
        /// Its answer.
        answer: Answer,
    },
    /// A call failed.
    Failed {
        /// The call.
        call: CallId,
        /// Why it failed.
        failure: Failure,
    },
}

/// An operation that the shell performs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Starts a call.
    Start {
        /// Identifies the call in the event that ends it.
        id: CallId,
        /// The call.
        call: Call,
    },
    /// Cancels a call and closes its connection.
    Cancel {
        /// The call.
        id: CallId,
    },
    /// Passes an update to the rest of the instance.
    Publish(Update),
}

/// An update for the rest of the instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// A newer instance list.
    Instances(InstanceList),
    /// The instance list was read again and has the revision published last.
    Unchanged,
    /// A read of the instance list failed, or returned a list that isn't applied.
    Unavailable,
    /// A condition to report to operators.
    Report(Report),
}

/// A state machine that schedules calls.
pub trait Machine {
    /// Handles an event at time `now` and returns the actions to perform, in order.
    fn step(&mut self, event: Event, now: Millis) -> Vec<Action>;

    /// When to send [`Event::Tick`] unless another event comes first.
    fn next_wake(&self) -> Millis;
}
