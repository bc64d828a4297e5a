//! State of one engine.

use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_config::Server;
use crocushold_ownership::EngineId;
use crocushold_ownership::Fencing;
use crocushold_ownership::ModelId;
use crocushold_ownership::RoleId;
use twox_hash::XxHash3_64;

use super::placement::Candidate;
use super::role::WHOLE;
use super::role::configured_role;

/// Time without a report after which an engine's models are placed on other engines. Loading them
/// elsewhere takes minutes, so a restart is waited for.
const REPORT_TIMEOUT: Millis = Millis::from_secs(60);

/// Maximum age of an engine's report for another engine to unload a model because of it.
const MAX_REPORT_AGE: Millis = Millis::from_secs(5);

/// The id of a model in messages between instances, from the name that engines list.
pub(super) fn model_id(name: &str) -> ModelId {
    ModelId(XxHash3_64::oneshot(name.as_bytes()) as u32)
}

/// The id of a server's engine. With a different address it is another engine, which holds other
/// models.
pub(super) fn engine_id(server: &Server) -> EngineId {
    EngineId::from_name(&format!("{} {}", server.name, server.address))
}

/// The latest report of an engine.
#[derive(Clone, Debug)]
pub(super) struct LastReport {
    /// The models that the configuration names.
    pub(super) models: Vec<ModelId>,
    pub(super) role: RoleId,
    /// When the report was requested.
    pub(super) at: Millis,
}

/// An engine of a service.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) id: EngineId,
    pub(super) name: String,
    pub(super) address: SocketAddr,
    pub(super) fencing: Fencing,
    /// The configured role, if there is one.
    pub(super) role: Option<RoleId>,
    pub(super) known_since: Millis,
    pub(super) last_report: Option<LastReport>,
    /// The models last placed on the engine, and the revision of that placement.
    pub(super) placed: Option<(u64, Vec<ModelId>)>,
}

impl Engine {
    pub(super) fn new(server: &Server, now: Millis) -> Engine {
        Engine {
            id: engine_id(server),
            name: server.name.clone(),
            address: server.address,
            fencing: fencing(server),
            role: server.role.map(configured_role),
            known_since: now,
            last_report: None,
            placed: None,
        }
    }

    /// Applies changes of the configuration.
    pub(super) fn update(&mut self, server: &Server) {
        self.fencing = fencing(server);
        self.role = server.role.map(configured_role);
    }

    pub(super) fn candidate(&self, now: Millis) -> Candidate {
        let last_report = self.last_report.as_ref();
        let last = last_report.map_or(self.known_since, |last_report| last_report.at);
        Candidate {
            engine: self.id,
            responsive: now.since(last) < REPORT_TIMEOUT,
            whole_requests: self.role.is_none_or(|role| role == WHOLE),
            held: last_report
                .map(|last_report| last_report.models.clone())
                .unwrap_or_default(),
        }
    }

    pub(super) fn holds(&self, model: ModelId) -> bool {
        let last_report = self.last_report.as_ref();
        last_report.is_some_and(|last_report| last_report.models.contains(&model))
    }

    /// Models that are placed on the engine and that it doesn't hold yet.
    pub(super) fn missing_models(&self) -> impl Iterator<Item = ModelId> {
        let placed = self.placed.iter().flat_map(|(_, models)| models);
        placed.copied().filter(|model| !self.holds(*model))
    }

    /// Whether the model is to be kept or loaded on this engine.
    pub(super) fn is_placed(&self, model: ModelId) -> bool {
        let placed = self.placed.as_ref();
        placed.is_some_and(|(_, models)| models.contains(&model))
    }

    /// Whether the engine runs whole requests and is to continue to. Without a configured role,
    /// this is left to the engine.
    pub(super) fn serves_whole_requests(&self) -> bool {
        self.role
            .is_none_or(|desired| desired == WHOLE && self.has_role(WHOLE))
    }

    pub(super) fn has_role(&self, role: RoleId) -> bool {
        let last_report = self.last_report.as_ref();
        last_report.is_some_and(|last_report| last_report.role == role)
    }

    /// Whether a recent report says that the engine holds the model.
    pub(super) fn confirmed_to_hold(&self, model: ModelId, now: Millis) -> bool {
        self.reported_recently(now) && self.holds(model)
    }

    /// Whether the engine's last report is recent.
    pub(super) fn reported_recently(&self, now: Millis) -> bool {
        let last_report = self.last_report.as_ref();
        last_report.is_some_and(|last_report| now.since(last_report.at) <= MAX_REPORT_AGE)
    }
}

fn fencing(server: &Server) -> Fencing {
    if server.checks_orders {
        Fencing::Checked
    } else {
        Fencing::Ignored
    }
}
