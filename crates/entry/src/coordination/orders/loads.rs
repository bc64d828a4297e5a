//! Decides which model is loaded next, and when.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crocushold_base::Millis;
use crocushold_ownership::EngineId;
use crocushold_ownership::LoadPlanner;
use crocushold_ownership::LoadRequest;
use crocushold_ownership::Member;
use crocushold_ownership::ModelId;
use crocushold_ownership::View;
use crocushold_ownership::WeightSettings;

use super::engine::Engine;
use super::message::ModelRank;

/// Time after which a load that has not completed is ordered again.
const LOAD_TIMEOUT: Millis = Millis::from_secs(600);

/// The loads of one service from its weight store.
///
/// Load wants and permits are calls within the process: the owner of the weight store also owns the
/// engines.
#[derive(Debug)]
pub(super) struct ModelLoads {
    me: Member,
    settings: WeightSettings,
    planner: LoadPlanner,
    /// The best rank of the requests for each model; lower ranks are loaded sooner.
    ranks: BTreeMap<ModelId, u8>,
    /// Engines whose next load is due.
    due: BTreeSet<EngineId>,
    /// Permits that are still valid, with their expiry.
    permits: BTreeMap<(EngineId, ModelId), Millis>,
    /// Loads that engines have started, with the time of the order.
    in_progress: BTreeMap<(EngineId, ModelId), Millis>,
}

impl ModelLoads {
    pub(super) fn new(rate: u32, me: Member, service_hash: u64) -> ModelLoads {
        let settings = WeightSettings {
            rate: f64::from(rate),
            ..WeightSettings::default()
        };
        ModelLoads {
            me,
            settings,
            planner: LoadPlanner::new(settings, me, service_hash),
            ranks: BTreeMap::new(),
            due: BTreeSet::new(),
            permits: BTreeMap::new(),
            in_progress: BTreeMap::new(),
        }
    }

    /// Maximum number of loads per minute.
    pub(super) fn rate(&self) -> u32 {
        self.settings.rate as u32
    }

    pub(super) fn on_ranks(&mut self, ranks: &[ModelRank]) {
        let ranks = ranks
            .iter()
            .map(|model_rank| (model_rank.model, model_rank.rank));
        self.ranks = ranks.collect();
    }

    pub(super) fn on_view(&mut self, live: &View, reference: &View, now: Millis) {
        self.planner.on_view(live, reference, now);
    }

    /// Handles a pause of this process, after which its permits may belong to another instance.
    pub(super) fn on_pause(&mut self, now: Millis) {
        self.planner.on_pause(now);
        self.clear();
    }

    /// Clears the state when another instance orders the loads.
    pub(super) fn clear(&mut self) {
        self.due.clear();
        self.permits.clear();
        self.in_progress.clear();
    }

    /// Records that an engine obeyed the order to load a model that it lacks.
    pub(super) fn on_started(&mut self, engine: EngineId, model: ModelId, now: Millis) {
        self.in_progress.insert((engine, model), now);
    }

    /// Removes loads that have ended. An engine that crashed during a load has lost it, and its
    /// reports were missing for some time.
    fn remove_ended(&mut self, engines: &BTreeMap<EngineId, Engine>, now: Millis) {
        self.in_progress.retain(|(engine, model), at| {
            let engine = engines
                .get(engine)
                .filter(|engine| engine.reported_recently(now));
            let loading = engine.is_some_and(|engine| !engine.holds(*model));
            loading && now.since(*at) < LOAD_TIMEOUT
        });
    }

    /// Requests the due loads from the planner and stores its permits.
    pub(super) fn on_tick(&mut self, engines: &BTreeMap<EngineId, Engine>, now: Millis) {
        self.permits.retain(|_, until| now < *until);
        self.remove_ended(engines, now);
        for want in self.load_wants(engines) {
            self.planner.on_load_request(self.me, want, now);
        }
        for permit in self.planner.on_tick(now) {
            let until = now + self.settings.permit_ttl;
            self.permits.insert((permit.engine, permit.model), until);
        }
    }

    /// Returns the missing models of every engine whose next load is due.
    ///
    /// A load that has a permit is left out: the engine uses the permit only when its next order is
    /// due. If the load were requested again, it would get a second permit that nobody uses, and
    /// half of the rate would be lost. Loads in progress are left out too: reports show the model
    /// only minutes later, and until then the loads of a high-priority class would be ordered
    /// repeatedly in place of those of lower ones.
    fn load_wants(&self, engines: &BTreeMap<EngineId, Engine>) -> Vec<LoadRequest> {
        let due = self.due.iter().filter_map(|id| engines.get(id));
        let loads = due.flat_map(|engine| engine.missing_models().map(|model| (engine.id, model)));
        let is_under_way =
            |load: &_| self.permits.contains_key(load) || self.in_progress.contains_key(load);
        let load_wants = loads
            .filter(|load| !is_under_way(load))
            .map(|(engine, model)| LoadRequest {
                engine,
                model,
                rank: self.ranks.get(&model).copied().unwrap_or(u8::MAX),
                replicas: engines.values().filter(|e| e.holds(model)).count() as u32,
            });
        load_wants.collect()
    }

    /// Uses a permit for a load that is due at the engine, or records that one is needed. The
    /// planner chooses which of the missing models is loaded, since it knows which ones callers
    /// wait for.
    pub(super) fn take_permit(&mut self, engine: &Engine) -> Option<ModelId> {
        self.due.insert(engine.id);
        let mut missing_models = engine.missing_models();
        let model = missing_models.find(|model| self.permits.contains_key(&(engine.id, *model)))?;
        self.permits.remove(&(engine.id, model));
        self.due.remove(&engine.id);
        Some(model)
    }
}
