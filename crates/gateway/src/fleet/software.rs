//! Which software versions have been listed of late.

use std::collections::HashMap;
use std::sync::Arc;

use crocushold_base::Millis;
use crocushold_routing::SoftwareKey;

use super::Fleet;
use super::short_hash;
use crate::resumption::LatestSoftware;

/// How long a version is remembered after its last server has left.
const MEMORY: Millis = Millis::from_secs(3600);

/// Time by which the record of a version may be older than the last answer of its last server: some
/// intervals of [`Fleet::tick`], and the time of a request that was on its way when the entry went.
const RECORD_LAG: Millis = Millis::from_secs(2);

/// The software versions of each service, with the time at which each was last listed.
#[derive(Clone, Debug, Default)]
pub(super) struct ListedSoftware {
    services: HashMap<String, HashMap<SoftwareKey, Millis>>,
}

impl ListedSoftware {
    pub(super) fn record(&mut self, service: &str, software: SoftwareKey, now: Millis) {
        if let Some(versions) = self.services.get_mut(service) {
            versions.insert(software, now);
        } else {
            let versions = HashMap::from([(software, now)]);
            self.services.insert(service.to_owned(), versions);
        }
    }

    fn expire(&mut self, now: Millis) {
        for versions in self.services.values_mut() {
            versions.retain(|_, listed| now.since(*listed) < MEMORY);
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }
}

impl Fleet {
    /// The software version of the servers of a service that was listed last. The service is given by
    /// the hash of its name.
    pub fn latest_software(&self, service: u32, now: Millis) -> LatestSoftware {
        let mut services = self.listed_software.services.iter();
        let Some((_, versions)) = services.find(|(name, _)| short_hash(name) == service) else {
            return LatestSoftware::default();
        };
        let latest = versions.iter().max_by_key(|(_, listed)| **listed);
        let software = latest.map(|(software, _)| *software);
        let others = versions.iter();
        let others = others.filter(|(other, _)| Some(**other) != software);
        let last = others.map(|(_, listed)| *listed).max();
        LatestSoftware {
            software,
            alone: last.map_or(Millis::MAX, |last| now.since(last + RECORD_LAG)),
        }
    }

    /// The name of a software version of which a server is listed.
    pub fn software_name(&self, software: SoftwareKey) -> Option<Arc<str>> {
        let mut servers = self.servers.values();
        let server = servers.find(|server| SoftwareKey::new(&server.software) == software);
        server.map(|server| server.software.clone())
    }

    /// Records the software versions that are listed now.
    pub(super) fn record_software(&mut self, now: Millis) {
        for server in self.servers.values() {
            let software = SoftwareKey::new(&server.software);
            let service = &server.record.service;
            self.listed_software.record(service, software, now);
        }
        self.listed_software.expire(now);
    }
}
