//! For whom each model is asked.

use std::collections::HashMap;

use crocushold_base::Millis;
use crocushold_base::ModelKey;

/// For how long a request counts as demand.
const DEMAND_WINDOW: Millis = Millis::from_secs(60);

/// The highest tier that asked for each model of late, also where no server holds the model.
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

    /// The models that were asked for of late, each with its highest tier, 0 being the live one.
    pub(crate) fn recent(&self, now: Millis) -> impl Iterator<Item = (ModelKey, u8)> {
        let models = self.models.iter();
        let recent = models.filter(move |(_, request)| now.since(request.at) < DEMAND_WINDOW);
        recent.map(|(model, request)| (*model, request.tier))
    }
}
