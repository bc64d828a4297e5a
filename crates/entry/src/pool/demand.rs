//! Recent demand for models.

use std::collections::HashMap;

use crocushold_base::Millis;
use crocushold_base::ModelKey;

/// How long a request counts as demand.
const DEMAND_WINDOW: Millis = Millis::from_secs(60);

/// The highest tier of the recent requests for each model, including models that no server holds.
#[derive(Debug, Default)]
pub(crate) struct RecentDemand {
    models: HashMap<ModelKey, LatestRequest>,
}

#[derive(Clone, Copy, Debug)]
struct LatestRequest {
    tier: u8,
    at: Millis,
}

impl RecentDemand {
    pub(crate) fn record(&mut self, model: ModelKey, tier: u8, now: Millis) {
        let request = LatestRequest { tier, at: now };
        let known = self.models.entry(model).or_insert(request);
        if tier <= known.tier || now.since(known.at) >= DEMAND_WINDOW {
            *known = request;
        }
    }

    /// The recently requested models, each with the highest tier of its requests, where 0 is the
    /// highest of all.
    pub(crate) fn recent(&self, now: Millis) -> impl Iterator<Item = (ModelKey, u8)> {
        let models = self.models.iter();
        let recent = models.filter(move |(_, request)| now.since(request.at) < DEMAND_WINDOW);
        recent.map(|(model, request)| (*model, request.tier))
    }
}
