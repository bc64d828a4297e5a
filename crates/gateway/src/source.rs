//! Access to the store of the configuration and the registry.

use std::future::Future;

use crocushold_base::Millis;
use quick_error::quick_error;

use crate::era::Revision;
use crate::routes::ServerRecord;
use crate::routes::TableSpec;

/// A published entry.
#[derive(Clone, Debug)]
pub enum Entry {
    /// The configuration.
    Config(TableSpec),
    /// A backend server.
    Server(ServerRecord),
    /// The operator wants the servers of an availability zone to receive no requests.
    Evacuation(String),
    /// An entry that can't be decoded. It doesn't describe a usable server. If it replaces the
    /// configuration, the current configuration stays in force.
    Malformed {
        /// Its name.
        name: String,
        /// The server whose entry it replaces, if any.
        server: Option<String>,
        /// The problem.
        finding: String,
    },
}

/// A change of a published entry.
#[derive(Clone, Debug)]
pub enum Change {
    /// An entry was written.
    Set(Entry),
    /// The entry of a backend server was removed.
    Unlisted(String),
    /// The evacuation of an availability zone has ended.
    Readmission(String),
}

/// A page of a listing of the store. The pages of a listing aren't a snapshot.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The revision of the store at the time of the page.
    pub revision: Revision,
    /// The entries.
    pub entries: Vec<Entry>,
    /// The revision of the latest change of any entry. Its number is zero if there is none.
    pub last_change: Revision,
    /// Name of the last entry, after which the next page begins; `None` on the last page.
    pub next: Option<String>,
}

/// The changes after a revision.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The revision from which to continue.
    pub revision: Revision,
    /// The changes in order.
    pub changes: Vec<Change>,
    /// The revision of the last change. Its number is zero if there is none.
    pub last_change: Revision,
}

quick_error! {
    /// Why a call failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum SourceError {
        /// The changes since the revision are no longer available, so a full listing is needed.
        HistoryLost {
            display("the history is no longer kept")
        }
        /// The answer exceeds the limit on its size. A full listing may be shorter than the changes,
        /// since it contains each entry once.
        TooLarge {
            display("the answer is too large")
        }
        /// A page of a listing ends where an earlier page of it has ended, so that the listing
        /// would never end.
        NoProgress {
            display("the pages of the listing repeat")
        }
        /// The store refused the call.
        Refused(status: u16, retry_after: Option<Millis>) {
            display("refused with status {status}")
        }
        /// There was no answer, or none that can be decoded.
        Failed(cause: String) {
            display("{cause}")
        }
    }
}

/// Times of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchTimes {
    /// How long the store waits for changes.
    pub wait: Millis,
    /// Limit on the time until the answer begins.
    pub timeout: Millis,
}

/// The answer of a watch, which has begun to arrive.
pub trait IncomingAnswer: Send {
    /// Receives the rest of the answer.
    fn receive(self) -> impl Future<Output = Result<Changes, SourceError>> + Send;
}

/// Reads published entries.
pub trait Source: Send + Sync + 'static {
    /// The answer of a watch.
    type Incoming: IncomingAnswer;

    /// Reads a page of all entries: those whose names follow `after`, or the first ones.
    fn page(&self, after: Option<&str>) -> impl Future<Output = Result<Page, SourceError>> + Send;

    /// Waits for changes after the revision `after`, until the answer begins. It may contain no
    /// changes. It may belong to a later era, in which case its changes don't follow on
    /// those before `after`.
    fn watch(
        &self,
        after: Revision,
        times: WatchTimes,
    ) -> impl Future<Output = Result<Self::Incoming, SourceError>> + Send;
}
