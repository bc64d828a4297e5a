//! Messages between the state machines and their shell.

use std::fmt;

use crocushold_base::Millis;

use crate::report::Report;
use crate::wire::ConfigIndex;
use crate::wire::InstanceList;
use crate::wire::PartText;

/// Identifies one call; never reused, so that the late answer of a cancelled call finds nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub(crate) u64);

/// A call of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read the configuration index.
    Index,
    /// Wait for the index to pass a revision.
    Watch {
        /// The revision to pass.
        after: u64,
        /// How long the service may hold the call.
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

/// A whole answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// To [`Call::Index`] or [`Call::Watch`].
    Index(ConfigIndex),
    /// To [`Call::Part`].
    Part(PartText),
    /// To [`Call::Instances`].
    Instances(InstanceList),
}

/// Why a call brought no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection, or it broke.
    Connection,
    /// No answer by the deadline.
    Timeout,
    /// `429`: over the read budget.
    Throttled {
        /// The wait that `Retry-After` asks for.
        retry_after: Option<Millis>,
    },
    /// Another status than 200.
    Status(u16),
    /// An answer that is too large or can't be read.
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

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The time given by [`Machine::next_wake`] has come.
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
        /// Why.
        failure: Failure,
    },
}

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make a call.
    Start {
        /// Names it in the event that ends it.
        id: CallId,
        /// The call.
        call: Call,
    },
    /// Drop a call and its connection.
    Cancel {
        /// The call.
        id: CallId,
    },
    /// Hand news to the rest of the instance.
    Publish(Update),
}

/// News for the rest of the instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// A newer instance list.
    Instances(InstanceList),
    /// The instance list was read again, and is the one published last.
    Unchanged,
    /// A read of the instance list ended without a list that can be applied.
    Unavailable,
    /// Something that an operator may want to know.
    Report(Report),
}

/// A state machine that decides on calls.
pub trait Machine {
    /// Takes an event at `now` and returns what to do, in order.
    fn step(&mut self, event: Event, now: Millis) -> Vec<Action>;

    /// When to send [`Event::Tick`] if nothing else happens earlier.
    fn next_wake(&self) -> Millis;
}
