//! Placement of models on engines.

use std::cmp::Reverse;

use crocushold_ownership::EngineId;
use crocushold_ownership::ModelId;
use twox_hash::XxHash3_64;

/// A model of a service, as configured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DesiredModel {
    pub(super) model: ModelId,
    /// Number of engines that are to hold it.
    pub(super) replicas: usize,
}

/// An engine on which models can be placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Candidate {
    pub(super) engine: EngineId,
    /// Whether the engine has reported lately.
    pub(super) responsive: bool,
    /// Whether the engine is to run whole requests.
    pub(super) whole_requests: bool,
    /// The models that the engine holds.
    pub(super) held: Vec<ModelId>,
}

/// The models that one engine should hold, in ascending order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Placement {
    pub(super) engine: EngineId,
    pub(super) models: Vec<ModelId>,
}

/// Chooses the engines of each model: first those that respond, then those that are to run whole
/// requests, then those that already hold the model, since a load occupies the weight store for
/// minutes, then those of the highest rendezvous weight.
///
/// Instances that have the same reports choose the same engines.
pub(super) fn place(desired: &[DesiredModel], candidates: &[Candidate]) -> Vec<Placement> {
    let mut placements: Vec<Placement> = candidates
        .iter()
        .map(|candidate| Placement {
            engine: candidate.engine,
            models: Vec::new(),
        })
        .collect();
    for desired in desired {
        for at in choose(desired, candidates) {
            placements[at].models.push(desired.model);
        }
    }
    for placement in &mut placements {
        placement.models.sort_unstable();
        placement.models.dedup();
    }
    placements
}

fn choose(desired: &DesiredModel, candidates: &[Candidate]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_key(|&at| {
        let candidate = &candidates[at];
        let held = candidate.held.contains(&desired.model);
        let weight = weight(desired.model, candidate.engine);
        (
            !candidate.responsive,
            !candidate.whole_requests,
            !held,
            Reverse(weight),
        )
    });
    order.truncate(desired.replicas);
    order
}

fn weight(model: ModelId, engine: EngineId) -> u64 {
    let mut bytes = [0; 12];
    bytes[..4].copy_from_slice(&model.0.to_le_bytes());
    bytes[4..].copy_from_slice(&engine.0.to_le_bytes());
    XxHash3_64::oneshot(&bytes)
}
