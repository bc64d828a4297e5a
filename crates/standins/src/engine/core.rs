//! The state of an engine behind its calls.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crocushold_base::Millis;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;

use super::batch::Batch;
use super::batch::Job;
use super::batch::JobId;
use super::cache;
use super::cache::PrefixCache;
use super::command::EngineCommand;
use super::command::EngineSettings;
use super::events::CacheChange;
use super::events::EventLog;
use super::events::EventPage;
use super::fault::Fate;
use super::fault::Faults;
use super::output::LengthDistribution;
use super::progress::Outcome;
use super::progress::Progress;
use super::reports::Load;
use super::reports::Reports;
use super::request::Completion;
use super::stats::Tally;
use crate::port::Effect;

/// Weight of the newest step in the reported token rate.
const RATE_WEIGHT: f64 = 0.1;

/// An order, as the body of `POST /orders`.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Order {
    fence: u64,
    #[serde(flatten)]
    kind: OrderKind,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
enum OrderKind {
    Load { model: String },
    Unload { model: String },
    Role { role: String },
}

/// The fencing number that an order is answered with.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Fence {
    fence: u64,
}

/// The answer to `GET /load`.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct LoadReport {
    at_ms: u64,
    running: usize,
    waiting: usize,
    batch_limit: usize,
    #[serde(rename = "tokens-per-second")]
    token_rate: f64,
    kv_free: f64,
    models: Vec<String>,
    role: String,
    fence: u64,
}

/// A request that was taken into the queue.
#[derive(Debug)]
pub(super) struct Started {
    pub(super) id: JobId,
    pub(super) progress: Arc<Progress>,
    pub(super) length: u32,
    pub(super) cached_tokens: u32,
    pub(super) fate: Fate,
}

/// The state of an engine.
#[derive(Debug)]
pub(super) struct Core {
    batch: Batch,
    jobs: HashMap<JobId, Arc<Progress>>,
    cache: PrefixCache,
    cached_share: f64,
    events: EventLog,
    reports: Reports,
    pub(super) faults: Faults,
    models: BTreeMap<String, Millis>,
    load_time: Millis,
    role: String,
    fence: u64,
    checks: bool,
    lengths: Option<LengthDistribution>,
    length_rng: StdRng,
    gap_rng: StdRng,
    token_rate: f64,
    pub(super) tally: Tally,
}

impl Core {
    pub(super) fn new(settings: EngineSettings) -> Core {
        let ready = |model| (model, Millis::ZERO);
        Core {
            batch: Batch::new(settings.batch),
            jobs: HashMap::new(),
            cache: PrefixCache::new(settings.cache_limit),
            cached_share: settings.cached_share,
            events: EventLog::new(Millis(settings.event_delay), settings.event_gaps),
            reports: Reports::new(Millis(settings.report_lag)),
            faults: Faults::default(),
            models: settings.models.into_iter().map(ready).collect(),
            load_time: Millis(settings.load_ms),
            role: settings.role,
            fence: 0,
            checks: settings.checks,
            lengths: settings.lengths,
            length_rng: StdRng::seed_from_u64(settings.seed),
            gap_rng: StdRng::seed_from_u64(settings.seed.wrapping_add(1)),
            token_rate: 0.0,
            tally: Tally::default(),
        }
    }

    /// Whether a model is loaded; a request that names none takes any.
    pub(super) fn has_model(&self, model: &str, now: Millis) -> bool {
        model.is_empty() || self.models.get(model).is_some_and(|&ready| ready <= now)
    }

    /// The models that are loaded.
    pub(super) fn models(&self, now: Millis) -> Vec<String> {
        let loaded = self.models.iter().filter(|&(_, &ready)| ready <= now);
        loaded.map(|(model, _)| model.clone()).collect()
    }

    /// Takes a request into the queue.
    pub(super) fn start(&mut self, request: &Completion, now: Millis) -> Started {
        self.tally.run(&request.marker);
        let prompt_tokens = request.prompt_tokens();
        let cached_tokens = self.use_prefix(&request.prompt, prompt_tokens, now);
        let drawn = self
            .lengths
            .map(|lengths| lengths.sample(&mut self.length_rng));
        let length = request.length(drawn);
        let id = self.batch.submit(Job {
            priority: request.priority,
            prefill: prompt_tokens - cached_tokens,
            kv_tokens: prompt_tokens + length,
            length,
        });
        let progress = Arc::new(Progress::default());
        self.jobs.insert(id, Arc::clone(&progress));
        self.record(now);
        Started {
            id,
            progress,
            length,
            cached_tokens,
            fate: self.faults.next_fate(),
        }
    }

    /// Takes a job out of the queue and the batch.
    pub(super) fn remove(&mut self, id: JobId, now: Millis) {
        if self.jobs.remove(&id).is_some() {
            self.batch.cancel(id);
            self.record(now);
        }
    }

    pub(super) fn begin_step(&mut self, now: Millis) -> Option<Duration> {
        let step = self.batch.begin_step();
        if step.is_none() && self.token_rate > 0.0 {
            self.token_rate = 0.0;
            self.record(now);
        }
        step
    }

    /// Ends a step that took `took`; the jobs to wake.
    pub(super) fn end_step(&mut self, took: Duration, now: Millis) -> Vec<Arc<Progress>> {
        let end = self.batch.end_step();
        let rate = end.advanced.len() as f64 / took.as_secs_f64();
        self.token_rate += (rate - self.token_rate) * RATE_WEIGHT;
        let jobs = &self.jobs;
        let woken: Vec<_> = end
            .advanced
            .iter()
            .filter_map(|id| jobs.get(id))
            .cloned()
            .collect();
        for progress in &woken {
            progress.advance();
        }
        for id in &end.finished {
            if let Some(progress) = self.jobs.remove(id) {
                progress.end(Outcome::Complete);
            }
        }
        self.record(now);
        woken
    }

    pub(super) fn load(&self, now: Millis) -> LoadReport {
        let seen = self.reports.view(now);
        LoadReport {
            at_ms: seen.at.0,
            running: seen.running,
            waiting: seen.waiting,
            batch_limit: self.batch.settings().batch_limit,
            token_rate: seen.token_rate,
            kv_free: seen.kv_free,
            models: self.models(now),
            role: self.role.clone(),
            fence: self.fence,
        }
    }

    pub(super) fn events(&self, after: u64, now: Millis) -> EventPage {
        self.events.page(after, now)
    }

    /// Carries out an order.
    ///
    /// # Errors
    ///
    /// The newest fencing number, when the engine checks and the order's is older.
    pub(super) fn order(&mut self, order: Order, now: Millis) -> Result<Fence, Fence> {
        if self.checks && order.fence < self.fence {
            self.tally.counts.orders_refused += 1;
            return Err(Fence { fence: self.fence });
        }
        self.fence = order.fence;
        let fence = order.fence;
        match order.kind {
            OrderKind::Load { model } => {
                let changed = !self.models.contains_key(&model);
                self.tally.ordered(fence, "load", &model, changed);
                let ready = now + self.load_time;
                self.models.entry(model).or_insert(ready);
            }
            OrderKind::Unload { model } => {
                let changed = self.models.remove(&model).is_some();
                self.tally.ordered(fence, "unload", &model, changed);
            }
            OrderKind::Role { role } => {
                let changed = self.role != role;
                self.tally.ordered(fence, "role", &role, changed);
                self.role = role;
            }
        }
        Ok(Fence { fence })
    }

    /// Applies a command.
    pub(super) fn command(&mut self, command: EngineCommand) -> Effect {
        match command {
            EngineCommand::Slow { factor } => self.batch.set_slow(factor),
            EngineCommand::Batch { settings } => self.batch.set_settings(settings),
            // The gate stands before the state; see `Engine::command`.
            EngineCommand::Hang { .. } => {}
            EngineCommand::Unavailable { on } => self.faults.unavailable = on,
            EngineCommand::Cut { cut } => self.faults.cut = cut,
            EngineCommand::Stall { after } => self.faults.stall = after,
            EngineCommand::Lengths { lengths, seed } => {
                self.lengths = lengths;
                self.length_rng = StdRng::seed_from_u64(seed);
            }
            EngineCommand::ReportLag { ms } => self.reports.set_lag(Millis(ms)),
            EngineCommand::Events { delay_ms, gaps } => {
                self.events.set_faults(Millis(delay_ms), gaps);
            }
            EngineCommand::Checks { on } => self.checks = on,
            EngineCommand::HangUp { marker } => self.tally.hang_up(marker),
            EngineCommand::Refuse { on: true } => return Effect::Refuse,
            EngineCommand::Refuse { on: false } | EngineCommand::Restart => return Effect::Reopen,
            EngineCommand::Crash => {
                self.crash();
                return Effect::Crash;
            }
            EngineCommand::Clear => {
                self.faults = Faults::default();
                self.batch.set_slow(1.0);
                return Effect::Reopen;
            }
        }
        Effect::None
    }

    /// Jobs in the batch and in the queue.
    pub(super) fn occupancy(&self) -> (usize, usize) {
        (self.batch.running(), self.batch.waiting())
    }

    fn crash(&mut self) {
        self.batch.clear();
        self.cache.clear();
        for (_, progress) in self.jobs.drain() {
            progress.end(Outcome::Lost);
            progress.wake();
        }
    }

    /// Looks the prompt's prefix up and stores it; the tokens that needn't be prefilled.
    fn use_prefix(&mut self, prompt: &str, tokens: u32, now: Millis) -> u32 {
        let prefix = cache::prefix_hash(prompt);
        let used = self.cache.touch(&prefix);
        let rng = &mut self.gap_rng;
        if let Some(evicted) = used.evicted {
            self.events.push(CacheChange::Evicted, &evicted, now, rng);
        }
        if !used.hit {
            self.tally.counts.prefix_misses += 1;
            self.events.push(CacheChange::Stored, &prefix, now, rng);
            return 0;
        }
        self.tally.counts.prefix_hits += 1;
        (f64::from(tokens) * self.cached_share)
            .floor()
            .min(f64::from(tokens)) as u32
    }

    fn record(&mut self, now: Millis) {
        self.reports.record(Load {
            at: now,
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            token_rate: self.token_rate,
            kv_free: self.batch.kv_free(),
        });
    }
}
