//! For whom each model is asked.

use std::collections::HashMap;

use crocushold_base::Millis;
use crocushold_base::ModelKey;

/// For how long a request counts as demand.
const RECALL: Millis = Millis::from_secs(60);

/// The highest tier that asked for each model of late, also where no server holds the model.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    models: HashMap<ModelKey, Asked>,
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    tier: u8,
    at: Millis,
}

impl Demand {
    pub(crate) fn note(&mut self, model: ModelKey, tier: u8, now: Millis) {
        let asked = Asked { tier, at: now };
        let known = self.models.entry(model).or_insert(asked);
        if tier <= known.tier || now.since(known.at) >= RECALL {
            *known = asked;
        }
    }

    /// The models that were asked for of late, each with its highest tier, 0 being the live one.
    pub(crate) fn recent(&self, now: Millis) -> impl Iterator<Item = (ModelKey, u8)> {
        let models = self.models.iter();
        let recent = models.filter(move |(_, asked)| now.since(asked.at) < RECALL);
        recent.map(|(model, asked)| (*model, asked.tier))
    }
}
