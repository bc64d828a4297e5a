//! A service: its router, its retry policy and the lanes of its engines.

use std::collections::HashMap;
use std::sync::Arc;

use crocushold_base::Millis;
use crocushold_base::ModelKey;
use crocushold_routing as routing;
use crocushold_routing::AttemptKey;
use crocushold_routing::BudgetSettings;
use crocushold_routing::DelayForecast;
use crocushold_routing::HealthSettings;
use crocushold_routing::LANES;
use crocushold_routing::Lane;
use crocushold_routing::LaneSettings;
use crocushold_routing::Lanes;
use crocushold_routing::RetryPolicy;
use crocushold_routing::RetrySettings;
use crocushold_routing::Router;
use crocushold_routing::Spill;
use slotmap::SlotMap;
use twox_hash::XxHash3_64;

use super::FleetSettings;
use super::Need;
use super::OVERCOMMIT;
use super::notices::NamedBrittleness;
use crate::routes::EngineSpec;
use crate::routes::SlowStart;

/// Maximum number of attempts for one request, including those that sent nothing. After two or
/// three attempts the remaining servers are known to be unavailable.
const MAX_ATTEMPTS: u32 = 6;

/// Part of the shared retry ratio that an instance uses. The rest covers windows whose requests
/// arrived in the first half while their retries fall into the second.
const RETRY_RATIO_SHARE: f64 = 0.85;

/// Failures after which a server is ejected. An idle server is probed again soon, so a false
/// ejection costs little.
const MAX_FAILURES: u32 = 2;

/// Duration of the first ejection: about the time a server takes to restart.
const EJECT_BASE: Millis = Millis(1000);

/// Maximum duration of an ejection. A restarted server is listed under a new name, so only a server
/// that was partitioned and returns under its old name is ejected for this long.
const EJECT_MAX: Millis = Millis(4000);

/// Maximum ratio of a service's servers that are ejected on suspicion. Their work adds to that of
/// the others.
const MAX_EJECTED: f64 = 0.5;

/// Maximum number of slots of a plain service whose requests one instance places for all. With 30 ms
/// of work, they run some two thousand requests a second, which is what it can place.
const MAX_PLACED_SLOTS: u32 = 64;

/// Maximum number of shared prompts whose engine is remembered. Some hundred are in use at a time.
const MAX_PREFIXES: usize = 4096;

/// How much earlier a live request must be able to start on an engine that prefills long prompts,
/// in milliseconds. Each chunk of a prompt that is prefilled beside it delays its own tokens.
const LIGHT_SPILL_COST_MS: f64 = 150.0;

/// How much earlier a long prompt must be prefilled if it goes to an engine with live requests, in
/// milliseconds. There it delays all of them.
const HEAVY_SPILL_COST_MS: f64 = 2000.0;

/// A service as seen by one instance.
pub(super) struct Service {
    pub(super) name: Arc<str>,
    pub(super) router: Router,
    pub(super) retry: RetryPolicy,
    pub(super) lanes: Lanes,
    /// Number of its engines in each lane.
    pub(super) engines: [usize; LANES],
    /// Number of requests that one of its engines runs concurrently.
    pub(super) slots: u32,
    /// How brittle its servers say that they are.
    pub(super) brittle: NamedBrittleness,
    /// Longest tolerable pause of its live streams; `None` if no route has any.
    pub(super) max_pause: Option<Millis>,
    /// Tokens in one event of its streams, if published.
    event_tokens: Option<u32>,
}

impl Service {
    pub(super) fn new(name: &str, settings: &FleetSettings, now: Millis) -> Service {
        let seed = settings.seed ^ XxHash3_64::oneshot(name.as_bytes());
        let retry = RetrySettings {
            max_attempts: MAX_ATTEMPTS,
            budget: BudgetSettings {
                ratio: settings.retry_ratio * RETRY_RATIO_SHARE,
                // No retries without traffic, because the floors of all instances would add up.
                floor: 0.0,
                burst: settings.retry_burst,
            },
            charge_unsent: false,
            ..RetrySettings::default()
        };
        Service {
            name: name.into(),
            router: Router::new(router_settings(), &settings.zone, seed),
            retry: RetryPolicy::new(retry, now),
            lanes: Lanes::new(LaneSettings::default()),
            engines: [0; LANES],
            slots: 1,
            brittle: NamedBrittleness::default(),
            max_pause: None,
            event_tokens: None,
        }
    }

    /// Sets the published properties of its engines.
    pub(super) fn set_engine(&mut self, spec: Option<&EngineSpec>) {
        self.router
            .set_transfer_rate(spec.and_then(|spec| spec.transfer_rate));
        self.router
            .set_engine_capacity(spec.and_then(|spec| spec.capacity));
        self.event_tokens = spec.and_then(|spec| spec.event_tokens);
    }

    /// Moves the boundaries between its lanes. Returns whether they have moved.
    pub(super) fn rebalance(&mut self) -> bool {
        self.lanes.set_forecast(self.delay_forecast());
        let moved = self.lanes.rebalance(self.engines.iter().sum());
        let protects = self.lanes.isolates_live();
        self.router
            .protect_live_streams(self.event_tokens.filter(|_| protects));
        moved
    }

    /// What its published figures say about live streams beside prompts.
    fn delay_forecast(&self) -> DelayForecast {
        let Some((event_tokens, max_pause)) = self.event_tokens.zip(self.max_pause) else {
            return DelayForecast::Unknown;
        };
        let was_expected = self.lanes.forecast() == DelayForecast::TooLong;
        let router = &self.router;
        if router.expects_live_delays(event_tokens, max_pause, was_expected) {
            DelayForecast::TooLong
        } else {
            DelayForecast::Tolerable
        }
    }

    /// Records the work of a new request.
    pub(super) fn record_demand(&mut self, need: &Need, now: Millis) {
        let lane = need.lane();
        let occupies = lane == Lane::Live && self.lanes.isolates_live();
        let min_span = if occupies {
            self.lanes.live_span()
        } else {
            0.0
        };
        let work = need.work_ms(self.router.prefill_rate(), self.slots, min_span);
        self.lanes.record_work(lane, work, now);
    }

    /// Sets how its servers start.
    pub(super) fn set_slow_start(&mut self, spec: Option<&SlowStart>) {
        self.router.set_cold_rate(spec.map(|spec| spec.rate));
    }

    /// Whether it is a plain service with a few servers that report unlike speeds.
    pub(super) fn is_few_uneven(&self) -> bool {
        let is_plain = self.engines == [0; LANES];
        is_plain && self.router.is_uneven() && self.router.has_few_slots(MAX_PLACED_SLOTS)
    }

    /// Records a live stream of `attempt` that has ended, with its longest pause.
    pub(super) fn record_live_stream(&mut self, attempt: AttemptKey, longest: Millis, now: Millis) {
        let is_undisturbed = self.max_pause.is_some_and(|max_pause| longest <= max_pause);
        let span = self.router.answer_span(attempt, now);
        if let Some(span) = span.filter(|_| is_undisturbed) {
            self.lanes.record_live_span(span);
        }
    }

    /// Records the longest pause of a long prompt's stream.
    pub(super) fn record_stream_pause(&mut self, longest: Millis, now: Millis) {
        if let Some(max_pause) = self.max_pause {
            self.lanes.record_stream(longest > max_pause, now);
        }
    }

    /// The router's pools in which to look for a server: that of the request's own lane, and one to
    /// spill over to. A plain service has a single pool.
    pub(super) fn pools(
        &self,
        models: &ModelLanes,
        model: &str,
        lane: Lane,
    ) -> (Option<ModelKey>, Option<Spill>) {
        if self.engines == [0; LANES] {
            return (None, None);
        }
        let lane = self.lane_for(self.lanes.lane(lane));
        let spill = self.spill(lane).and_then(|(other, cost)| {
            let model = models.get(model, other)?;
            Some(Spill { model, cost })
        });
        (Some(models.get(model, lane).unwrap_or_default()), spill)
    }

    /// The given lane, or the next best one if it has no engines.
    fn lane_for(&self, lane: Lane) -> Lane {
        let order = match lane {
            Lane::Live => [Lane::Live, Lane::Light, Lane::Heavy],
            Lane::Light => [Lane::Light, Lane::Heavy, Lane::Live],
            Lane::Heavy => [Lane::Heavy, Lane::Light, Lane::Live],
        };
        let mut available = order.into_iter().filter(|&lane| self.has_engines(lane));
        available.next().unwrap_or(lane)
    }

    /// The lane to which requests spill over if their own lane is full, and the cost of doing so.
    /// Nothing spills over to the lane of live streams, since a few long prompts a second make all
    /// of them late.
    fn spill(&self, lane: Lane) -> Option<(Lane, f64)> {
        let spills: &[(Lane, f64)] = match lane {
            Lane::Live => &[
                (Lane::Light, LIGHT_SPILL_COST_MS),
                (Lane::Heavy, LIGHT_SPILL_COST_MS),
            ],
            Lane::Light => &[(Lane::Heavy, LIGHT_SPILL_COST_MS)],
            Lane::Heavy => &[(Lane::Light, HEAVY_SPILL_COST_MS)],
        };
        spills
            .iter()
            .copied()
            .find(|&(other, _)| self.has_engines(other))
    }

    fn has_engines(&self, lane: Lane) -> bool {
        self.engines[lane as usize] > 0
    }
}

/// Keys of the lanes of each model. The router has a pool for each key.
#[derive(Default)]
pub(super) struct ModelLanes {
    names: HashMap<String, [ModelKey; LANES]>,
    keys: SlotMap<ModelKey, ()>,
}

impl ModelLanes {
    pub(super) fn key(&mut self, model: &str, lane: Lane) -> ModelKey {
        if let Some(keys) = self.names.get(model) {
            return keys[lane as usize];
        }
        let keys = [(); LANES].map(|()| self.keys.insert(()));
        self.names.insert(model.to_owned(), keys);
        keys[lane as usize]
    }

    pub(super) fn get(&self, model: &str, lane: Lane) -> Option<ModelKey> {
        self.names.get(model).map(|keys| keys[lane as usize])
    }
}

fn router_settings() -> routing::Settings {
    routing::Settings {
        cache_hints: MAX_PREFIXES,
        overcommit: OVERCOMMIT,
        health: HealthSettings {
            max_failures: MAX_FAILURES,
            eject_base: EJECT_BASE,
            eject_max: EJECT_MAX,
            refused_max: EJECT_MAX,
            max_ejected: MAX_EJECTED,
            ..HealthSettings::default()
        },
        ..routing::Settings::default()
    }
}
