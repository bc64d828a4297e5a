//! One service: its router, its retry policy, and the lanes of its engines.

use std::collections::HashMap;
use std::sync::Arc;

use crocushold_base::Millis;
use crocushold_base::ModelKey;
use crocushold_routing as routing;
use crocushold_routing::BudgetSettings;
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
use crate::routes::EngineSpec;
use crate::routes::SlowStart;

/// Most attempts at sending one request, those included of which nothing left. Above two or three
/// the servers that are left are known to be out.
const MOST_ATTEMPTS: u32 = 6;

/// Parts of the shared retry ratio that an instance uses. The rest covers a window whose requests
/// came in its first half, while their repeats fall into the second.
const RATIO_PART: f64 = 0.85;

/// Failures after which a server is out; an idle one is tried again soon, so a false one costs little.
const STRIKES: u32 = 2;

/// The first span out after a failure: about a server's restart.
const EJECT_BASE: Millis = Millis(1000);

/// The longest span out. A server that came back is listed under a new name, so only one that is cut
/// off and returns under its old name waits this long.
const EJECT_MAX: Millis = Millis(4000);

/// The greatest part of a service's servers that is out on suspicion: what those would have done comes on
/// top of the work of the rest.
const MOST_EJECTED: f64 = 0.5;

/// Shared prompts of which an instance remembers where it sent them: some hundred are in use at a time.
const PREFIXES: usize = 4096;

/// How much sooner a live request must begin to go where long prompts are read, in milliseconds: each
/// piece of one that is read beside it slows its own tokens.
const LIGHT_SPILL: f64 = 150.0;

/// How much sooner a long prompt must be read to go where live requests are, in milliseconds. There it
/// holds up all of them.
const HEAVY_SPILL: f64 = 2000.0;

/// One service as one instance sees it.
pub(super) struct Service {
    pub(super) name: Arc<str>,
    pub(super) router: Router,
    pub(super) retry: RetryPolicy,
    pub(super) lanes: Lanes,
    /// How many of its servers are model engines of each lane.
    pub(super) engines: [usize; LANES],
    /// How many requests one of its engines runs at a time.
    pub(super) slots: u32,
    /// The longest pause that its live streams may make; none where there are no live streams.
    pause: Option<Millis>,
}

impl Service {
    pub(super) fn new(name: &str, settings: &FleetSettings, now: Millis) -> Service {
        let seed = settings.seed ^ XxHash3_64::oneshot(name.as_bytes());
        let retry = RetrySettings {
            max_attempts: MOST_ATTEMPTS,
            budget: BudgetSettings {
                ratio: settings.retry_ratio * RATIO_PART,
                // None a second without traffic: the parts of all instances would add up.
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
            pause: None,
        }
    }

    /// Takes in what is published of its engines.
    pub(super) fn take_engine(&mut self, spec: Option<&EngineSpec>) {
        self.router
            .set_transfer(spec.and_then(|spec| spec.transfer_rate));
        self.router.set_room(spec.and_then(|spec| spec.room));
    }

    /// Takes in how its servers start.
    pub(super) fn take_slow_start(&mut self, spec: Option<&SlowStart>) {
        self.router.set_cold_rate(spec.map(|spec| spec.rate));
    }

    /// Takes in how long a live stream may pause.
    pub(super) fn take_pause(&mut self, need: &Need) {
        if need.max_pause.is_some() {
            self.pause = need.max_pause;
        }
    }

    /// Notes the longest pause of a long prompt's stream.
    pub(super) fn note_pause(&mut self, longest: Millis, now: Millis) {
        if let Some(pause) = self.pause {
            self.lanes.note_stream(longest > pause, now);
        }
    }

    /// The router's pools in which to look for a server: that of the request's own lane, and the other.
    /// A plain service has one pool for all.
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

    /// The lane where the request's own has no engine.
    fn lane_for(&self, lane: Lane) -> Lane {
        let order = match lane {
            Lane::Live => [Lane::Live, Lane::Light, Lane::Heavy],
            Lane::Light => [Lane::Light, Lane::Heavy, Lane::Live],
            Lane::Heavy => [Lane::Heavy, Lane::Light, Lane::Live],
        };
        let mut manned = order.into_iter().filter(|&lane| self.has(lane));
        manned.next().unwrap_or(lane)
    }

    /// Where requests of a lane go that is full, and what that costs. Nothing goes where the live streams are: a
    /// few long prompts a second make all of them late.
    fn spill(&self, lane: Lane) -> Option<(Lane, f64)> {
        let spills: &[(Lane, f64)] = match lane {
            Lane::Live => &[(Lane::Light, LIGHT_SPILL), (Lane::Heavy, LIGHT_SPILL)],
            Lane::Light => &[(Lane::Heavy, LIGHT_SPILL)],
            Lane::Heavy => &[(Lane::Light, HEAVY_SPILL)],
        };
        spills.iter().copied().find(|&(other, _)| self.has(other))
    }

    fn has(&self, lane: Lane) -> bool {
        self.engines[lane as usize] > 0
    }
}

/// A key for each lane of each model: the router keeps a pool for each.
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
        cache_hints: PREFIXES,
        health: HealthSettings {
            strikes: STRIKES,
            eject_base: EJECT_BASE,
            eject_max: EJECT_MAX,
            refused_max: EJECT_MAX,
            max_ejected: MOST_EJECTED,
            ..HealthSettings::default()
        },
        ..routing::Settings::default()
    }
}
