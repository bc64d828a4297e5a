//! The state of an engine.

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
use super::fault::ActiveFaults;
use super::fault::ResponseFaults;
use super::output::LengthDistribution;
use super::progress::JobState;
use super::progress::Progress;
use super::reports::LoadHistory;
use super::reports::LoadSample;
use super::request::CompletionRequest;
use super::stats::Counters;
use crate::port::PortAction;

/// Weight of the latest step in the exponential moving average of the token rate.
const TOKEN_RATE_WEIGHT: f64 = 0.1;

/// The body of `POST /orders`.
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

/// The response to an order: the engine's fencing token.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct FenceReply {
    fence: u64,
}

/// The response to `GET /load`.
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

/// A request that was admitted to the queue.
#[derive(Debug)]
pub(super) struct AdmittedRequest {
    pub(super) id: JobId,
    pub(super) progress: Arc<Progress>,
    pub(super) length: u32,
    pub(super) cached_tokens: u32,
    pub(super) faults: ResponseFaults,
}

/// The state of an engine.
#[derive(Debug)]
pub(super) struct EngineState {
    batch: Batch,
    jobs: HashMap<JobId, Arc<Progress>>,
    cache: PrefixCache,
    cached_share: f64,
    events: EventLog,
    reports: LoadHistory,
    pub(super) faults: ActiveFaults,
    models: BTreeMap<String, Millis>,
    load_time: Millis,
    role: String,
    fence: u64,
    checks: bool,
    lengths: Option<LengthDistribution>,
    length_rng: StdRng,
    event_loss_rng: StdRng,
    token_rate: f64,
    pub(super) counters: Counters,
}

impl EngineState {
    pub(super) fn new(settings: EngineSettings) -> EngineState {
        let ready = |model| (model, Millis::ZERO);
        EngineState {
            batch: Batch::new(settings.batch),
            jobs: HashMap::new(),
            cache: PrefixCache::new(settings.cache_limit),
            cached_share: settings.cached_share,
            events: EventLog::new(Millis(settings.event_delay), settings.event_gaps),
            reports: LoadHistory::new(Millis(settings.report_lag)),
            faults: ActiveFaults::default(),
            models: settings.models.into_iter().map(ready).collect(),
            load_time: Millis(settings.load_ms),
            role: settings.role,
            fence: 0,
            checks: settings.checks,
            lengths: settings.lengths,
            length_rng: StdRng::seed_from_u64(settings.seed),
            event_loss_rng: StdRng::seed_from_u64(settings.seed.wrapping_add(1)),
            token_rate: 0.0,
            counters: Counters::default(),
        }
    }

    /// Whether a model is loaded. True for an empty name, since such a request accepts any model.
    pub(super) fn has_model(&self, model: &str, now: Millis) -> bool {
        model.is_empty() || self.models.get(model).is_some_and(|&ready| ready <= now)
    }

    /// Returns the loaded models.
    pub(super) fn models(&self, now: Millis) -> Vec<String> {
        let loaded = self.models.iter().filter(|&(_, &ready)| ready <= now);
        loaded.map(|(model, _)| model.clone()).collect()
    }

    /// Admits a request to the queue.
    pub(super) fn admit(&mut self, request: &CompletionRequest, now: Millis) -> AdmittedRequest {
        self.counters.record_run(&request.marker);
        let prompt_tokens = request.prompt_tokens();
        let cached_tokens = self.lookup_prefix(&request.prompt, prompt_tokens, now);
        let sampled = self
            .lengths
            .map(|lengths| lengths.sample(&mut self.length_rng));
        let length = request.output_tokens(sampled);
        let id = self.batch.submit(Job {
            priority: request.priority,
            prefill: prompt_tokens - cached_tokens,
            kv_tokens: prompt_tokens + length,
            length,
        });
        let progress = Arc::new(Progress::default());
        self.jobs.insert(id, Arc::clone(&progress));
        self.record(now);
        AdmittedRequest {
            id,
            progress,
            length,
            cached_tokens,
            faults: self.faults.next_response(),
        }
    }

    /// Removes a job from the queue and the batch.
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

    /// Ends a step that took `duration`; returns the jobs to wake.
    pub(super) fn end_step(&mut self, duration: Duration, now: Millis) -> Vec<Arc<Progress>> {
        let end = self.batch.end_step();
        let rate = end.advanced.len() as f64 / duration.as_secs_f64();
        self.token_rate += (rate - self.token_rate) * TOKEN_RATE_WEIGHT;
        let jobs = &self.jobs;
        let advanced: Vec<_> = end
            .advanced
            .iter()
            .filter_map(|id| jobs.get(id))
            .cloned()
            .collect();
        for progress in &advanced {
            progress.advance();
        }
        for id in &end.finished {
            if let Some(progress) = self.jobs.remove(id) {
                progress.finish(JobState::Complete);
            }
        }
        self.record(now);
        advanced
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
    /// Returns the current fencing token if the engine checks tokens and the order's is older.
    pub(super) fn order(&mut self, order: Order, now: Millis) -> Result<FenceReply, FenceReply> {
        if self.checks && order.fence < self.fence {
            self.counters.stats.orders_refused += 1;
            return Err(FenceReply { fence: self.fence });
        }
        self.fence = order.fence;
        let fence = order.fence;
        match order.kind {
            OrderKind::Load { model } => {
                let changed = !self.models.contains_key(&model);
                self.counters.record_order(fence, "load", &model, changed);
                let ready = now + self.load_time;
                self.models.entry(model).or_insert(ready);
            }
            OrderKind::Unload { model } => {
                let changed = self.models.remove(&model).is_some();
                self.counters.record_order(fence, "unload", &model, changed);
            }
            OrderKind::Role { role } => {
                let changed = self.role != role;
                self.counters.record_order(fence, "role", &role, changed);
                self.role = role;
            }
        }
        Ok(FenceReply { fence })
    }

    /// Applies a command.
    pub(super) fn command(&mut self, command: EngineCommand) -> PortAction {
        match command {
            EngineCommand::Slow { factor } => self.batch.set_slow(factor),
            EngineCommand::Batch { settings } => self.batch.set_settings(settings),
            // Handled in `Engine::command`, before the state is locked.
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
                self.events.set_delivery(Millis(delay_ms), gaps);
            }
            EngineCommand::Checks { on } => self.checks = on,
            EngineCommand::HangUp { marker } => self.counters.record_disconnect(marker),
            EngineCommand::Refuse { on: true } => return PortAction::Refuse,
            EngineCommand::Refuse { on: false } | EngineCommand::Restart => {
                return PortAction::Reopen;
            }
            EngineCommand::Crash => {
                self.crash();
                return PortAction::Crash;
            }
            EngineCommand::Clear => {
                self.faults = ActiveFaults::default();
                self.batch.set_slow(1.0);
                return PortAction::Reopen;
            }
        }
        PortAction::None
    }

    /// Returns the number of jobs in the batch and in the queue.
    pub(super) fn occupancy(&self) -> (usize, usize) {
        (self.batch.running(), self.batch.waiting())
    }

    fn crash(&mut self) {
        self.batch.clear();
        self.cache.clear();
        for (_, progress) in self.jobs.drain() {
            progress.finish(JobState::Lost);
            progress.wake();
        }
    }

    /// Looks up and stores the prefix of a prompt; returns the tokens that needn't be prefilled.
    fn lookup_prefix(&mut self, prompt: &str, tokens: u32, now: Millis) -> u32 {
        let prefix = cache::prefix_hash(prompt);
        let lookup = self.cache.touch(&prefix);
        let rng = &mut self.event_loss_rng;
        if let Some(evicted) = lookup.evicted {
            self.events.push(CacheChange::Evicted, &evicted, now, rng);
        }
        if !lookup.hit {
            self.counters.stats.prefix_misses += 1;
            self.events.push(CacheChange::Stored, &prefix, now, rng);
            return 0;
        }
        self.counters.stats.prefix_hits += 1;
        (f64::from(tokens) * self.cached_share)
            .floor()
            .min(f64::from(tokens)) as u32
    }

    fn record(&mut self, now: Millis) {
        self.reports.record(LoadSample {
            at: now,
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            token_rate: self.token_rate,
            kv_free: self.batch.kv_free(),
        });
    }
}
