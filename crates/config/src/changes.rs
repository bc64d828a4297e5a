//! What a revision of the text changed.

use crocushold_base::AccountKey;
use crocushold_base::ClassKey;
use crocushold_base::ModelKey;
use crocushold_base::ServerKey;
use crocushold_base::ServiceKey;

/// The keys of one kind that a revision added, removed or changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diff<K> {
    /// New keys.
    pub added: Vec<K>,
    /// Keys that find nothing any more.
    pub removed: Vec<K>,
    /// Keys that stayed, with another record behind them.
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

/// What a revision changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Of services.
    pub services: Diff<ServiceKey>,
    /// Of backend servers. One with a new address is a removed and an added server.
    pub servers: Diff<ServerKey>,
    /// Of classes.
    pub classes: Diff<ClassKey>,
    /// Of client accounts.
    pub accounts: Diff<AccountKey>,
    /// Of models.
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
