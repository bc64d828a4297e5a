//! One engine as the orders see it.

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

/// After how long without a report an engine's models are placed on others. Loading elsewhere costs
/// minutes, so a restart is waited for.
const REPORT_TIMEOUT: Millis = Millis::from_secs(60);

/// How old a report may be for another engine to give a model up on the strength of it.
const MAX_REPORT_AGE: Millis = Millis::from_secs(5);

/// The number under which instances speak of a model, from the name that engines list.
pub(super) fn model_id(name: &str) -> ModelId {
    ModelId(XxHash3_64::oneshot(name.as_bytes()) as u32)
}

/// The engine of a server: a changed address is another engine, which holds other models.
pub(super) fn engine_id(server: &Server) -> EngineId {
    EngineId::from_name(&format!("{} {}", server.name, server.address))
}

/// What an engine said of itself.
#[derive(Clone, Debug)]
pub(super) struct LastReport {
    /// Models that the text names.
    pub(super) models: Vec<ModelId>,
    pub(super) role: RoleId,
    /// When the reading was begun.
    pub(super) at: Millis,
}

/// One engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) id: EngineId,
    pub(super) name: String,
    pub(super) address: SocketAddr,
    pub(super) fencing: Fencing,
    /// The role that the text wants; none where it names none.
    pub(super) role: Option<RoleId>,
    pub(super) known_since: Millis,
    pub(super) last_report: Option<LastReport>,
    /// What it was last told to be placed on it, and under which revision.
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

    /// Takes over what the text says anew.
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

    /// The models that are placed here and that it doesn't hold yet.
    pub(super) fn missing_models(&self) -> impl Iterator<Item = ModelId> {
        let placed = self.placed.iter().flat_map(|(_, models)| models);
        placed.copied().filter(|model| !self.holds(*model))
    }

    /// Whether the model is to stay or to be loaded here.
    pub(super) fn is_placed(&self, model: ModelId) -> bool {
        let placed = self.placed.as_ref();
        placed.is_some_and(|(_, models)| models.contains(&model))
    }

    /// Whether it runs whole requests and is to go on with it. Where the text names no role, that is
    /// left to the engine.
    pub(super) fn serves_whole_requests(&self) -> bool {
        self.role
            .is_none_or(|desired| desired == WHOLE && self.has_role(WHOLE))
    }

    pub(super) fn has_role(&self, role: RoleId) -> bool {
        let last_report = self.last_report.as_ref();
        last_report.is_some_and(|last_report| last_report.role == role)
    }

    /// Whether it held the model a moment ago.
    pub(super) fn confirmed_to_hold(&self, model: ModelId, now: Millis) -> bool {
        self.reported_recently(now) && self.holds(model)
    }

    /// Whether it was heard of a moment ago.
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
