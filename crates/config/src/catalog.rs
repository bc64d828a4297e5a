//! The catalog of everything in force, in arenas with lookups by name.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use slotmap::SlotMap;

use crocushold_base::AccountKey;
use crocushold_base::ClassKey;
use crocushold_base::ModelKey;
use crocushold_base::ServerKey;
use crocushold_base::ServiceKey;

use crate::digest::Credential;
use crate::digest::KeyDigest;
use crate::model::Account;
use crate::model::Class;
use crate::model::Model;
use crate::model::Server;
use crate::model::Service;

/// Everything that the accepted editions declare.
///
/// A record keeps its key across revisions of the text as long as its name persists. The key of a
/// removed record is invalid even after its slot is reused.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// The services.
    pub services: SlotMap<ServiceKey, Service>,
    /// The backend servers.
    pub servers: SlotMap<ServerKey, Server>,
    /// The classes.
    pub classes: SlotMap<ClassKey, Class>,
    /// The client accounts.
    pub accounts: SlotMap<AccountKey, Account>,
    /// The models.
    pub models: SlotMap<ModelKey, Model>,
    pub(crate) names: NameIndex,
}

/// Indexes from full names, digests and model ids to keys.
#[derive(Clone, Debug, Default)]
pub(crate) struct NameIndex {
    /// Every team that has a part, accepted or not.
    pub(crate) teams: BTreeSet<String>,
    pub(crate) services: BTreeMap<String, ServiceKey>,
    pub(crate) servers: BTreeMap<String, ServerKey>,
    pub(crate) classes: BTreeMap<String, ClassKey>,
    pub(crate) accounts: BTreeMap<String, AccountKey>,
    pub(crate) models: BTreeMap<String, ModelKey>,
    /// The accounts with each digest, ordered by full name.
    pub(crate) digests: HashMap<KeyDigest, Vec<AccountKey>>,
    /// The models of each service, by the name that callers use.
    pub(crate) model_ids: HashMap<ServiceKey, HashMap<String, ModelKey>>,
}

impl Catalog {
    /// Returns the service named `TEAM/NAME`.
    pub fn service(&self, name: &str) -> Option<ServiceKey> {
        self.names.services.get(name).copied()
    }

    /// Returns the server named `TEAM/SERVICE/NAME`.
    pub fn server(&self, name: &str) -> Option<ServerKey> {
        self.names.servers.get(name).copied()
    }

    /// Returns the class named `TEAM/NAME`.
    pub fn class(&self, name: &str) -> Option<ClassKey> {
        self.names.classes.get(name).copied()
    }

    /// Returns the account named `TEAM/NAME`.
    pub fn account(&self, name: &str) -> Option<AccountKey> {
        self.names.accounts.get(name).copied()
    }

    /// Returns the model named `TEAM/SERVICE/NAME`.
    pub fn model(&self, name: &str) -> Option<ModelKey> {
        self.names.models.get(name).copied()
    }

    /// Returns a service's model by the name that callers use.
    pub fn model_of(&self, service: ServiceKey, id: &str) -> Option<ModelKey> {
        self.names.model_ids.get(&service)?.get(id).copied()
    }

    /// Returns the account that a credential belongs to.
    ///
    /// A key that names a team belongs only to an account of that team. Any other key with several
    /// accounts belongs to the one whose full name sorts first.
    pub fn account_of(&self, credential: &Credential<'_>) -> Option<AccountKey> {
        let holders = self.names.digests.get(&credential.digest)?;
        let team = credential
            .team
            .filter(|team| self.names.teams.contains(*team));
        let mut holders = holders.iter().copied();
        match team {
            None => holders.next(),
            Some(team) => holders.find(|&key| self.accounts[key].team() == team),
        }
    }
}
