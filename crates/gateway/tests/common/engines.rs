//! Entries of engines of the service `svc`.

use crocushold_gateway::Heartbeat;
use crocushold_gateway::Presence;
use crocushold_gateway::ServerRecord;

/// The entry of an engine that runs `slots` requests of the model `m`.
pub(crate) fn engine(number: impl Into<u32>, slots: u32) -> ServerRecord {
    let number = number.into();
    let [_, _, third, fourth] = number.to_be_bytes();
    ServerRecord {
        id: format!("engine-{number}"),
        address: ([10, 0, third, fourth], 80).into(),
        service: "svc".to_owned(),
        zone: "here".to_owned(),
        software: "v1".to_owned(),
        slots,
        presence: Presence::Ready,
        started: None,
        models: vec!["m".to_owned()],
        heartbeat: Heartbeat::default(),
    }
}
