//! Where the configuration and the registry are read.

use std::future::Future;

use crocushold_base::Millis;
use quick_error::quick_error;

use crate::era::Revision;
use crate::routes::ServerRecord;
use crate::routes::TableSpec;

/// One published entry.
#[derive(Clone, Debug)]
pub enum Entry {
    /// The configuration.
    Config(TableSpec),
    /// A backend server.
    Server(ServerRecord),
    /// The operator wants nothing sent to the servers of an availability zone.
    Evacuation(String),
    /// An entry that can't be read. It names no server to use; of a configuration, the one that is held
    /// stays in force.
    Malformed {
        /// Its name.
        name: String,
        /// The identity of the server whose entry it stands in the place of.
        server: Option<String>,
        /// What is wrong with it.
        finding: String,
    },
}

/// A change of what is published.
#[derive(Clone, Debug)]
pub enum Change {
    /// An entry was written.
    Set(Entry),
    /// The entry of a backend server was removed.
    Unlisted(String),
    /// An evacuated availability zone takes requests again.
    Readmission(String),
}

/// All that is published.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The revision from which to watch.
    pub revision: Revision,
    /// The entries.
    pub entries: Vec<Entry>,
    /// The revision of the last change of any of them; number zero without any.
    pub last_change: Revision,
}

/// What has changed since a revision.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The revision from which to go on.
    pub revision: Revision,
    /// The changes in order.
    pub changes: Vec<Change>,
    /// The revision of the last of them; number zero without any.
    pub last_change: Revision,
}

quick_error! {
    /// Why a call brought nothing.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum SourceError {
        /// The changes since the revision are no longer kept: all is to be read anew.
        HistoryLost {
            display("the history is no longer kept")
        }
        /// The call was refused.
        Refused(status: u16, retry_after: Option<Millis>) {
            display("refused with status {status}")
        }
        /// There was no answer, or none that can be read.
        Failed(cause: String) {
            display("{cause}")
        }
    }
}

/// Reads what is published.
pub trait Source: Send + Sync + 'static {
    /// Reads all entries.
    fn list(&self) -> impl Future<Output = Result<Listing, SourceError>> + Send;

    /// Waits for changes after the revision `after`, for `wait` at most; none is an answer, too. The answer may be of
    /// a later era, whose changes don't follow on those before `after`.
    fn watch(
        &self,
        after: Revision,
        wait: Millis,
    ) -> impl Future<Output = Result<Changes, SourceError>> + Send;
}
