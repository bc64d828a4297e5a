//! A discrete-event model of one service: arrivals, a queue under test, and slots that serve
//! requests.
//!
//! There are no sockets and no real time. All slots generate tokens at the same constant rate;
//! batching effects, stragglers and delayed reports are not modelled and are measured elsewhere.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use crocushold_admission::AccountSpec;
use crocushold_admission::Action;
use crocushold_admission::Admission;
use crocushold_admission::Arrival;
use crocushold_admission::ClassSpec;
use crocushold_admission::Completion;
use crocushold_admission::Scheduler;
use crocushold_admission::Sent;
use crocushold_admission::Settings;
use crocushold_admission::Ticket;
use crocushold_base::AccountKey;
use crocushold_base::ClassKey;
use crocushold_base::Millis;
use crocushold_base::RequestKey;
use slotmap::SecondaryMap;
use slotmap::SlotMap;
use twox_hash::XxHash64;

/// Output tokens per second of one slot.
const SLOT_TOKENS_PER_SECOND: f64 = 50.0;

/// Prompt tokens per second of one slot.
const PREFILL_TOKENS_PER_SECOND: f64 = 5000.0;

/// Tokens between two progress reports.
const PROGRESS_STEP: u32 = 64;

/// Queue limit of the baseline.
const BASELINE_QUEUE: usize = 10_000;

/// The load of one class.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    /// Name in the printed table.
    pub(crate) name: &'static str,
    /// Configuration of the class; the key is filled in.
    pub(crate) spec: ClassSpec,
    /// Share of the offered slot time.
    pub(crate) load_share: f64,
    /// Mean prompt length in tokens.
    pub(crate) prompt: f64,
    /// Mean output length in tokens.
    pub(crate) output: f64,
    /// Time after which the caller gives up.
    pub(crate) gives_up_after: Millis,
    /// Periodic burst, if any.
    pub(crate) burst: Option<Burst>,
}

/// A periodic burst: arrivals are multiplied by `factor` for `length` at the start of every
/// `period`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Burst {
    /// Multiple of the ordinary rate.
    pub(crate) factor: f64,
    /// Duration of a burst.
    pub(crate) length: Millis,
    /// Time from the start of one burst to the next.
    pub(crate) period: Millis,
}

/// Parameters of one run of the model.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// Load of each class.
    pub(crate) loads: Vec<Load>,
    /// Number of client accounts; those with low numbers send the most.
    pub(crate) accounts: usize,
    /// Number of slots of the service.
    pub(crate) slots: u32,
    /// Offered slot time as a multiple of the slots.
    pub(crate) factor: f64,
    /// Time during which requests arrive.
    pub(crate) length: Millis,
    /// Arrivals before this time aren't counted.
    pub(crate) warmup: Millis,
    /// Seed of arrivals and lengths.
    pub(crate) seed: u64,
}

/// Results of one class.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    /// Counted arrivals.
    pub(crate) offered: u64,
    /// Requests whose first token met the target.
    pub(crate) attained: u64,
    /// Complete answers before the caller gave up.
    pub(crate) answered: u64,
    /// Requests answered with a refusal.
    pub(crate) refused: u64,
    /// Requests without an answer, because the caller gave up.
    pub(crate) abandoned: u64,
    /// Output tokens of the complete answers that finished in the counted time.
    pub(crate) tokens: u64,
    /// Slot time of these answers in milliseconds.
    pub(crate) slot_time: u64,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    /// Results by class, in the order of the loads.
    pub(crate) classes: Vec<Tally>,
    /// Slot time used, as a share of the available slot time.
    pub(crate) utilization: f64,
}

/// The queue under test.
pub(crate) enum Policy {
    /// The scheduler with these settings.
    Scheduler(Settings),
    /// First come, first served: a bounded queue without classes.
    Baseline,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    load: usize,
    account: usize,
    arrived: Millis,
    prompt: u32,
    output: u32,
    counted: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { load: usize },
    Progress { job: usize, output: u32 },
    Finish { job: usize },
    Wake,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at: Millis,
    seq: u64,
    event: Event,
}

/// Runs the model.
pub(crate) fn run(run: &Run, policy: Policy) -> Outcome {
    let mut model = Model::new(run, policy);
    model.execute();
    let time = run.length.since(run.warmup).0 as f64 * f64::from(run.slots);
    let busy: u64 = model.tallies.iter().map(|tally| tally.slot_time).sum();
    Outcome {
        classes: model.tallies,
        utilization: busy as f64 / time,
    }
}

struct Model<'a> {
    run: &'a Run,
    queue: Queue,
    jobs: Vec<Job>,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    free: u32,
    seq: u64,
    random_draws: u64,
    tallies: Vec<Tally>,
}

enum Queue {
    Scheduler(Box<Driver>),
    Baseline(VecDeque<usize>),
}

struct Driver {
    scheduler: Scheduler,
    classes: Vec<ClassKey>,
    accounts: Vec<AccountKey>,
    jobs: SecondaryMap<RequestKey, usize>,
    tickets: Vec<Option<Ticket<Sent>>>,
    wake: Option<Millis>,
}

impl<'a> Model<'a> {
    fn new(run: &'a Run, policy: Policy) -> Model<'a> {
        let queue = match policy {
            Policy::Baseline => Queue::Baseline(VecDeque::new()),
            Policy::Scheduler(settings) => Queue::Scheduler(Box::new(Driver::new(run, settings))),
        };
        Model {
            run,
            queue,
            jobs: Vec::new(),
            events: BinaryHeap::new(),
            free: run.slots,
            seq: 0,
            random_draws: 0,
            tallies: vec![Tally::default(); run.loads.len()],
        }
    }

    fn execute(&mut self) {
        for load in 0..self.run.loads.len() {
            self.schedule_arrival(load, Millis::ZERO);
        }
        while let Some(Reverse(entry)) = self.events.pop() {
            let now = entry.at;
            match entry.event {
                Event::Arrive { load } => self.arrive(load, now),
                Event::Progress { job, output } => self.progress(job, output, now),
                Event::Finish { job } => self.finish(job, now),
                Event::Wake => {}
            }
            self.start_jobs(now);
        }
    }

    fn push(&mut self, at: Millis, event: Event) {
        self.seq += 1;
        let seq = self.seq;
        self.events.push(Reverse(ScheduledEvent { at, seq, event }));
    }

    fn schedule_arrival(&mut self, load: usize, now: Millis) {
        let spec = &self.run.loads[load];
        let service_time =
            spec.prompt / PREFILL_TOKENS_PER_SECOND + spec.output / SLOT_TOKENS_PER_SECOND;
        let mut rate =
            self.run.factor * spec.load_share * f64::from(self.run.slots) / service_time / 1000.0;
        if let Some(burst) = spec.burst
            && now.0 % burst.period.0 < burst.length.0
        {
            rate *= burst.factor;
        }
        let gap = -(1.0 - self.uniform()).ln() / rate;
        let at = now + Millis(gap.round() as u64);
        if at < self.run.length {
            self.push(at, Event::Arrive { load });
        }
    }

    fn arrive(&mut self, load: usize, now: Millis) {
        self.schedule_arrival(load, now);
        let spec = &self.run.loads[load];
        let (prompt, output) = (spec.prompt, spec.output);
        // Skewed towards the low numbers, so that a few accounts send most requests.
        let account = self.uniform().powi(2) * self.run.accounts as f64;
        let job = Job {
            load,
            account: account as usize,
            arrived: now,
            prompt: self.length(prompt),
            output: self.length(output),
            counted: now >= self.run.warmup,
        };
        let index = self.jobs.len();
        self.jobs.push(job);
        if job.counted {
            self.tallies[load].offered += 1;
        }
        let admitted = match &mut self.queue {
            Queue::Scheduler(driver) => driver.submit(index, &job, now),
            Queue::Baseline(queue) => {
                let room = queue.len() < BASELINE_QUEUE;
                if room {
                    queue.push_back(index);
                }
                room
            }
        };
        if !admitted && job.counted {
            self.tallies[load].refused += 1;
        }
    }

    fn progress(&mut self, index: usize, output: u32, now: Millis) {
        let job = self.jobs[index];
        let load = &self.run.loads[job.load];
        if output == 1 && job.counted && now.since(job.arrived) <= load.spec.target {
            self.tallies[job.load].attained += 1;
        }
        if let Queue::Scheduler(driver) = &mut self.queue
            && let Some(ticket) = &driver.tickets[index]
        {
            driver.scheduler.progress(ticket, output, now);
        }
        let next = output + PROGRESS_STEP;
        if next < job.output {
            let span = f64::from(PROGRESS_STEP) / SLOT_TOKENS_PER_SECOND * 1000.0;
            let event = Event::Progress {
                job: index,
                output: next,
            };
            self.push(now + Millis(span as u64), event);
        }
    }

    fn finish(&mut self, index: usize, now: Millis) {
        let job = self.jobs[index];
        self.free += 1;
        let tally = &mut self.tallies[job.load];
        if job.counted {
            tally.answered += 1;
        }
        if now >= self.run.warmup && now < self.run.length {
            tally.tokens += u64::from(job.output);
            tally.slot_time += service_time(&job).0;
        }
        if let Queue::Scheduler(driver) = &mut self.queue
            && let Some(ticket) = driver.tickets[index].take()
        {
            let completion = Completion {
                output: job.output,
                complete: true,
            };
            driver.scheduler.finish(ticket, completion, now);
        }
    }

    fn start_jobs(&mut self, now: Millis) {
        while let Some(index) = self.next(now) {
            let job = self.jobs[index];
            self.free -= 1;
            let first = Millis((f64::from(job.prompt) / PREFILL_TOKENS_PER_SECOND * 1000.0) as u64);
            let event = Event::Progress {
                job: index,
                output: 1,
            };
            self.push(now + first, event);
            self.push(now + service_time(&job), Event::Finish { job: index });
        }
        let Queue::Scheduler(driver) = &mut self.queue else {
            return;
        };
        let wake = driver.scheduler.wake_at();
        if wake != driver.wake && self.free <= self.run.slots {
            driver.wake = wake;
            if let Some(at) = wake {
                self.push(at.max(now + Millis(1)), Event::Wake);
            }
        }
    }

    /// The next job to start.
    fn next(&mut self, now: Millis) -> Option<usize> {
        match &mut self.queue {
            Queue::Scheduler(driver) => driver.next(now, self.free, &self.jobs, &mut self.tallies),
            Queue::Baseline(queue) => {
                if self.free == 0 {
                    return None;
                }
                while let Some(index) = queue.pop_front() {
                    let job = self.jobs[index];
                    if now.since(job.arrived) < self.run.loads[job.load].gives_up_after {
                        return Some(index);
                    }
                    if job.counted {
                        self.tallies[job.load].abandoned += 1;
                    }
                }
                None
            }
        }
    }

    /// A log-normal length of the given mean, with a standard deviation of 0.7 in the logarithm.
    fn length(&mut self, mean: f64) -> u32 {
        const SIGMA: f64 = 0.7;
        let radius = (-2.0 * (1.0 - self.uniform()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.uniform()).cos();
        let value = mean * (SIGMA * normal - SIGMA * SIGMA / 2.0).exp();
        (value as u32).max(2)
    }

    fn uniform(&mut self) -> f64 {
        self.random_draws += 1;
        let hash = XxHash64::oneshot(self.run.seed, &self.random_draws.to_le_bytes());
        (hash >> 11) as f64 / (1u64 << 53) as f64
    }
}

impl Driver {
    fn new(run: &Run, settings: Settings) -> Driver {
        let mut class_keys = SlotMap::<ClassKey, ()>::with_key();
        let mut account_keys = SlotMap::<AccountKey, ()>::with_key();
        let classes: Vec<ClassSpec> = run
            .loads
            .iter()
            .map(|load| ClassSpec {
                key: class_keys.insert(()),
                ..load.spec.clone()
            })
            .collect();
        let accounts: Vec<AccountSpec> = (0..run.accounts)
            .map(|_| AccountSpec {
                key: account_keys.insert(()),
                ..AccountSpec::default()
            })
            .collect();
        let mut scheduler = Scheduler::new(settings);
        scheduler.configure(&classes, &accounts, Millis::ZERO);
        Driver {
            scheduler,
            classes: classes.iter().map(|spec| spec.key).collect(),
            accounts: accounts.iter().map(|spec| spec.key).collect(),
            jobs: SecondaryMap::new(),
            tickets: Vec::new(),
            wake: None,
        }
    }

    fn submit(&mut self, index: usize, job: &Job, now: Millis) -> bool {
        self.tickets.resize_with(index + 1, || None);
        let arrival = Arrival {
            class: self.classes[job.load],
            account: self.accounts[job.account],
            prompt_tokens: job.prompt,
            ..Arrival::default()
        };
        match self.scheduler.submit(&arrival, now) {
            Admission::Queued(key) => {
                self.jobs.insert(key, index);
                true
            }
            Admission::Refused(_) => false,
        }
    }

    fn next(
        &mut self,
        now: Millis,
        free: u32,
        jobs: &[Job],
        tallies: &mut [Tally],
    ) -> Option<usize> {
        loop {
            match self.scheduler.next(now, free)? {
                Action::Refuse(refused) => {
                    let index = self.jobs.remove(refused.key)?;
                    let job = &jobs[index];
                    if job.counted {
                        tallies[job.load].refused += 1;
                    }
                }
                Action::Dispatch(ticket) => {
                    let index = self.jobs.remove(ticket.key())?;
                    self.tickets[index] = Some(ticket.sent());
                    return Some(index);
                }
            }
        }
    }
}

fn service_time(job: &Job) -> Millis {
    let secs = f64::from(job.prompt) / PREFILL_TOKENS_PER_SECOND
        + f64::from(job.output) / SLOT_TOKENS_PER_SECOND;
    Millis((secs * 1000.0) as u64)
}

/// Load of an evening peak: interactive chat and portal, accountants, reminders and nightly sheets.
pub(crate) fn evening_peak() -> Vec<Load> {
    let mut loads = interactive_loads();
    loads.extend(lower_loads());
    loads
}

fn interactive_loads() -> Vec<Load> {
    let chat = Load {
        spec: spec(0, Millis(2000), Millis(2000), 0.0),
        gives_up_after: Millis::from_secs(10),
        ..load("chat", 0.2, 500.0, 150.0)
    };
    let portal = Load {
        spec: spec(0, Millis(3000), Millis(10_000), 0.0),
        gives_up_after: Millis::from_secs(20),
        ..load("portal", 0.1, 800.0, 200.0)
    };
    vec![chat, portal]
}

fn lower_loads() -> Vec<Load> {
    let accountants = Load {
        spec: spec(1, Millis(30_000), Millis(60_000), 0.03),
        gives_up_after: Millis::from_secs(120),
        ..load("accountants", 0.25, 1500.0, 300.0)
    };
    let reminders = Load {
        spec: spec(2, Millis(300_000), Millis::MAX, 0.03),
        ..load("reminders", 0.15, 600.0, 120.0)
    };
    let sheets = Load {
        spec: spec(3, Millis::MAX, Millis::MAX, 0.04),
        ..load("sheets", 0.3, 3000.0, 800.0)
    };
    vec![accountants, reminders, sheets]
}

fn spec(tier: u8, target: Millis, max_wait: Millis, floor: f64) -> ClassSpec {
    ClassSpec {
        tier,
        target,
        max_wait,
        floor,
        ..ClassSpec::default()
    }
}

fn load(name: &'static str, load_share: f64, prompt: f64, output: f64) -> Load {
    Load {
        name,
        spec: ClassSpec::default(),
        load_share,
        prompt,
        output,
        gives_up_after: Millis::MAX,
        burst: None,
    }
}
