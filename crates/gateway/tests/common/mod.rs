//! Helpers of several tests.

use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_gateway::Fleet;
use crocushold_gateway::FleetSettings;
use crocushold_gateway::Heartbeat;
use crocushold_gateway::Presence;
use crocushold_gateway::ServerRecord;

pub(crate) const START: Millis = Millis(10_000);

/// The entry of a plain server of the service `svc`.
pub(crate) fn record(id: &str, started: u64) -> ServerRecord {
    ServerRecord {
        id: id.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        service: "svc".to_owned(),
        zone: "z".to_owned(),
        software: "v1".to_owned(),
        slots: 8,
        presence: Presence::Ready,
        started: Some(started),
        models: Vec::new(),
        heartbeat: Heartbeat::default(),
    }
}

/// An instance that is alone and knows no servers.
pub(crate) fn fleet(seed: u64) -> Fleet {
    Fleet::new(FleetSettings {
        alone: true,
        seed,
        ..FleetSettings::default()
    })
}
