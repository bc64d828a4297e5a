//! The changes that a revision of the text makes to the catalog.

use crocushold_base::AccountKey;
use crocushold_base::ClassKey;
use crocushold_base::ModelKey;
use crocushold_base::ServerKey;
use crocushold_base::ServiceKey;

/// The keys of one kind of record that a revision added, removed or changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diff<K> {
    /// Keys of new records.
    pub added: Vec<K>,
    /// Keys of removed records, which are now invalid.
    pub removed: Vec<K>,
    /// Keys whose record changed.
    pub changed: Vec<K>,
}

impl<K> Default for Diff<K> {
    fn default() -> Diff<K> {
        Diff {
            added: Vec::new(),
            removed: Vec::new(),
            changed: Vec::new(),
        }
    }
}

impl<K> Diff<K> {
    /// Whether nothing was added, removed or changed.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty() && self.changed.is_empty()
    }
}

/// All keys that a revision added, removed or changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Services.
    pub services: Diff<ServiceKey>,
    /// Backend servers. A server with a new address counts as removed and added.
    pub servers: Diff<ServerKey>,
    /// Classes.
    pub classes: Diff<ClassKey>,
    /// Client accounts.
    pub accounts: Diff<AccountKey>,
    /// Models.
    pub models: Diff<ModelKey>,
}

impl Changes {
    /// Whether the revision changed nothing.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
            && self.servers.is_empty()
            && self.classes.is_empty()
            && self.accounts.is_empty()
            && self.models.is_empty()
    }
}
