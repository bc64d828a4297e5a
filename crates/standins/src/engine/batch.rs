//! Continuous batching as a pure state machine.
//!
//! Time advances in steps. A step admits waiting jobs up to the batch limit, prefills a bounded
//! number of prompt tokens, and generates one token for each job whose prefill is complete. Its
//! duration grows with the number of decoding jobs and of prefilled tokens.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Speed and size of the batch.
///
/// The durations are fractional because whole milliseconds are too coarse for a step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct BatchSettings {
    /// Maximum number of jobs in a step.
    pub batch_limit: usize,
    /// Base duration of a step, in milliseconds.
    pub base_ms: f64,
    /// Duration that each decoding job adds to a step, in milliseconds.
    pub sequence_ms: f64,
    /// Prompt tokens prefilled per second.
    pub prefill_rate: f64,
    /// Maximum number of prompt tokens prefilled in a step.
    pub prefill_chunk: u32,
    /// Capacity of the KV cache memory, in tokens of prompts and responses.
    pub kv_tokens: u64,
}

impl Default for BatchSettings {
    fn default() -> BatchSettings {
        BatchSettings {
            batch_limit: 16,
            base_ms: 10.0,
            sequence_ms: 0.5,
            prefill_rate: 20_000.0,
            prefill_chunk: 1024,
            kv_tokens: 400_000,
        }
    }
}

/// Identifies a job; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// A request to be scheduled in the batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// Priority; lower values are scheduled first.
    pub priority: i64,
    /// Prompt tokens to prefill, without the cached ones.
    pub prefill: u32,
    /// Tokens that the job reserves in the KV cache memory: its prompt and its response.
    pub kv_tokens: u32,
    /// Number of tokens to generate.
    pub length: u32,
}

/// The result of a step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepResult {
    /// Jobs that generated a token, including finished ones.
    pub advanced: Vec<JobId>,
    /// Jobs that have finished and left the batch.
    pub finished: Vec<JobId>,
}

#[derive(Debug)]
struct RunningJob {
    id: JobId,
    kv_tokens: u32,
    prefill: u32,
    remaining: u32,
    decoding: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    priority: i64,
    id: JobId,
}

/// The batch and its queue.
#[derive(Debug)]
pub struct Batch {
    settings: BatchSettings,
    slow_factor: f64,
    last_id: u64,
    waiting: BTreeMap<QueuePosition, Job>,
    running: Vec<RunningJob>,
    kv_used: u64,
}

impl Batch {
    /// Creates an empty batch.
    pub fn new(settings: BatchSettings) -> Batch {
        Batch {
            settings,
            slow_factor: 1.0,
            last_id: 0,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            kv_used: 0,
        }
    }

    /// Changes speed and size, starting with the next step.
    pub fn set_settings(&mut self, settings: BatchSettings) {
        self.settings = settings;
    }

    /// Multiplies the duration of later steps by `factor`.
    pub fn set_slow(&mut self, factor: f64) {
        self.slow_factor = factor;
    }

    /// Returns the current settings.
    pub fn settings(&self) -> &BatchSettings {
        &self.settings
    }

    /// Returns the number of jobs in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of jobs in the queue.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the free share of the KV cache memory.
    pub fn kv_free(&self) -> f64 {
        let total = self.settings.kv_tokens.max(1) as f64;
        (1.0 - self.kv_used as f64 / total).max(0.0)
    }

    /// Queues a job behind all jobs with the same or a more urgent priority.
    pub fn submit(&mut self, job: Job) -> JobId {
        self.last_id += 1;
        let id = JobId(self.last_id);
        let priority = job.priority;
        self.waiting.insert(QueuePosition { priority, id }, job);
        id
    }

    /// Removes a queued or running job; returns false if it has already left.
    pub fn cancel(&mut self, id: JobId) -> bool {
        if let Some(at) = self.running.iter().position(|r| r.id == id) {
            let job = self.running.remove(at);
            self.kv_used -= u64::from(job.kv_tokens);
            return true;
        }
        let before = self.waiting.len();
        self.waiting.retain(|position, _| position.id != id);
        self.waiting.len() < before
    }

    /// Removes all jobs.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.running.clear();
        self.kv_used = 0;
    }

    /// Begins a step and returns its duration, or `None` if there are no jobs.
    pub fn begin_step(&mut self) -> Option<Duration> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let prefilled = self.prefill();
        let decoding_jobs = self.running.iter().filter(|r| r.decoding).count();
        let settings = &self.settings;
        let decode_ms = settings.base_ms + settings.sequence_ms * decoding_jobs as f64;
        let prefill_ms = f64::from(prefilled) / settings.prefill_rate * 1000.0;
        let ms = (decode_ms + prefill_ms) * self.slow_factor;
        Some(Duration::from_secs_f64(ms.max(0.01) / 1000.0))
    }

    /// Ends the current step.
    pub fn end_step(&mut self) -> StepResult {
        let mut end = StepResult::default();
        for job in &mut self.running {
            if !job.decoding {
                // If this step completed the prefill, the job decodes from the next step on.
                job.decoding = job.prefill == 0;
                continue;
            }
            job.remaining -= 1;
            end.advanced.push(job.id);
            if job.remaining == 0 {
                end.finished.push(job.id);
                self.kv_used -= u64::from(job.kv_tokens);
            }
        }
        self.running.retain(|job| job.remaining > 0);
        end
    }

    fn admit(&mut self) {
        while self.running.len() < self.settings.batch_limit {
            let Some(first) = self.waiting.first_entry() else {
                return;
            };
            let kv_tokens = first.get().kv_tokens;
            let fits = self.kv_used + u64::from(kv_tokens) <= self.settings.kv_tokens;
            if !fits && !self.running.is_empty() {
                return;
            }
            let (position, job) = first.remove_entry();
            self.kv_used += u64::from(kv_tokens);
            self.running.push(RunningJob {
                id: position.id,
                kv_tokens,
                prefill: job.prefill,
                remaining: job.length.max(1),
                decoding: job.prefill == 0,
            });
        }
    }

    /// Prefills prompts in the order of admission; returns the number of prefilled tokens.
    fn prefill(&mut self) -> u32 {
        let mut budget = self.settings.prefill_chunk;
        for job in &mut self.running {
            let part = job.prefill.min(budget);
            job.prefill -= part;
            budget -= part;
        }
        self.settings.prefill_chunk - budget
    }
}
