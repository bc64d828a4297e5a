//! Time and allocations of the scheduler's decisions, and how they grow with each size.
//!
//! `cargo bench -p crocushold-admission`

use std::fmt;

use crocushold_admission::AccountSpec;
use crocushold_admission::Action;
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
use crocushold_base::ModelKey;
use divan::AllocProfiler;
use divan::Bencher;
use divan::black_box;
use divan::counter::ItemsCount;
use slotmap::SlotMap;

#[global_allocator]
static ALLOC: AllocProfiler = AllocProfiler::system();

/// Decisions per measurement; the inputs are rebuilt for each batch.
const BATCH: usize = 256;

const TIERS: usize = 5;

const NOW: Millis = Millis(1000);

#[derive(Clone, Copy, Debug)]
struct Size {
    queue: usize,
    accounts: usize,
    classes: usize,
    models: usize,
}

const DEFAULT_SIZE: Size = Size {
    queue: 10_000,
    accounts: 3_700,
    classes: 20,
    models: 39,
};

/// The default size, and variants in which one dimension changes in steps of ten.
const SIZES: [Size; 11] = [
    DEFAULT_SIZE,
    Size {
        queue: 100,
        ..DEFAULT_SIZE
    },
    Size {
        queue: 1_000,
        ..DEFAULT_SIZE
    },
    Size {
        queue: 100_000,
        ..DEFAULT_SIZE
    },
    Size {
        accounts: 37,
        ..DEFAULT_SIZE
    },
    Size {
        accounts: 370,
        ..DEFAULT_SIZE
    },
    Size {
        accounts: 37_000,
        ..DEFAULT_SIZE
    },
    Size {
        classes: 5,
        ..DEFAULT_SIZE
    },
    Size {
        classes: 200,
        ..DEFAULT_SIZE
    },
    Size {
        models: 4,
        ..DEFAULT_SIZE
    },
    Size {
        models: 390,
        ..DEFAULT_SIZE
    },
];

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Size {
            queue,
            accounts,
            classes,
            models,
        } = self;
        write!(
            f,
            "queue {queue} accounts {accounts} classes {classes} models {models}"
        )
    }
}

struct Fixture {
    scheduler: Scheduler,
    arrivals: Vec<Arrival>,
    classes: Vec<ClassSpec>,
    accounts: Vec<AccountSpec>,
    interactive: ClassKey,
}

impl Fixture {
    /// A scheduler with a full queue and learned output lengths and throughput, and a batch of
    /// arrivals.
    fn new(size: Size) -> Fixture {
        Fixture::with_limit(size, u32::MAX)
    }

    fn with_limit(size: Size, limit: u32) -> Fixture {
        let classes = class_specs(size.classes);
        let accounts = account_specs(size.accounts);
        let mut model_keys = SlotMap::<ModelKey, ()>::with_key();
        let models: Vec<ModelKey> = (0..size.models).map(|_| model_keys.insert(())).collect();
        let mut scheduler = Scheduler::new(Settings {
            queue_limit: limit,
            ..Settings::default()
        });
        scheduler.configure(&classes, &accounts, Millis::ZERO);
        let arrival = |index: usize| Arrival {
            class: classes[pseudo_random(index, 1) % classes.len()].key,
            account: accounts[pseudo_random(index, 2) % accounts.len()].key,
            model: Some(models[pseudo_random(index, 3) % models.len()]),
            prompt_tokens: 500,
            max_tokens: 50 + (pseudo_random(index, 4) % 500) as u32,
            bytes: 100,
            deadline: Millis::MAX,
        };
        let mut fixture = Fixture {
            scheduler,
            arrivals: (0..BATCH).map(arrival).collect(),
            interactive: classes[0].key,
            classes: classes.clone(),
            accounts: accounts.clone(),
        };
        for index in 0..size.models * 20 {
            fixture.scheduler.submit(&arrival(index), Millis::ZERO);
            let tickets = fixture.start(1);
            fixture.finish(tickets, NOW);
        }
        for index in 0..size.queue {
            fixture.scheduler.submit(&arrival(index + BATCH), NOW);
        }
        fixture
    }

    fn submit(&mut self) {
        for arrival in &self.arrivals {
            black_box(self.scheduler.submit(arrival, NOW));
        }
    }

    fn start(&mut self, count: usize) -> Vec<Ticket<Sent>> {
        let mut tickets = Vec::with_capacity(count);
        while tickets.len() < count {
            match self.scheduler.next(NOW, 64) {
                Some(Action::Dispatch(ticket)) => tickets.push(ticket.sent()),
                Some(Action::Refuse(_)) => {}
                None => break,
            }
        }
        tickets
    }

    fn finish(&mut self, tickets: Vec<Ticket<Sent>>, now: Millis) {
        for (index, ticket) in tickets.into_iter().enumerate() {
            let completion = Completion {
                output: 20 + (pseudo_random(index, 5) % 300) as u32,
                complete: true,
            };
            black_box(self.scheduler.finish(ticket, completion, now));
        }
    }
}

fn class_specs(count: usize) -> Vec<ClassSpec> {
    let mut keys = SlotMap::<ClassKey, ()>::with_key();
    let spec = |index: usize| ClassSpec {
        key: keys.insert(()),
        tier: (index % TIERS) as u8,
        target: Millis(60_000 + index as u64),
        floor: 0.5 / count as f64,
        ..ClassSpec::default()
    };
    (0..count).map(spec).collect()
}

fn account_specs(count: usize) -> Vec<AccountSpec> {
    let mut keys = SlotMap::<AccountKey, ()>::with_key();
    let spec = |_| AccountSpec {
        key: keys.insert(()),
        request_rate: 1e9,
        token_rate: 1e12,
        concurrency: 1000,
        ..AccountSpec::default()
    };
    (0..count).map(spec).collect()
}

/// A deterministic pseudo-random number.
fn pseudo_random(index: usize, salt: usize) -> usize {
    let mixed = (index * 8 + salt).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 33
}

fn main() {
    divan::main();
}

#[divan::bench(args = SIZES, sample_count = 20, sample_size = 1)]
fn submit(bencher: Bencher<'_, '_>, size: Size) {
    bencher
        .counter(ItemsCount::new(BATCH))
        .with_inputs(|| Fixture::new(size))
        .bench_local_refs(Fixture::submit);
}

#[divan::bench(args = SIZES, sample_count = 20, sample_size = 1)]
fn next(bencher: Bencher<'_, '_>, size: Size) {
    bencher
        .counter(ItemsCount::new(BATCH))
        .with_inputs(|| Fixture::new(size))
        .bench_local_refs(|fixture| fixture.start(BATCH.min(size.queue)));
}

#[divan::bench(args = SIZES, sample_count = 20, sample_size = 1)]
fn finish(bencher: Bencher<'_, '_>, size: Size) {
    bencher
        .counter(ItemsCount::new(BATCH))
        .with_inputs(|| {
            let mut fixture = Fixture::new(size);
            let tickets = fixture.start(BATCH.min(size.queue));
            (fixture, tickets)
        })
        .bench_local_values(|(mut fixture, tickets)| {
            fixture.finish(tickets, Millis(3000));
            fixture
        });
}

/// Requests over their account's rate limit.
#[divan::bench(sample_count = 20, sample_size = 1)]
fn refuse_by_limit(bencher: Bencher<'_, '_>) {
    bencher
        .counter(ItemsCount::new(BATCH))
        .with_inputs(|| {
            let mut fixture = Fixture::new(DEFAULT_SIZE);
            for arrival in &fixture.arrivals {
                fixture.scheduler.set_share(arrival.account, 0.0, NOW);
            }
            fixture.submit();
            fixture
        })
        .bench_local_refs(Fixture::submit);
}

/// Requests whose deadline is shorter than the predicted wait.
#[divan::bench(sample_count = 20, sample_size = 1)]
fn refuse_by_wait(bencher: Bencher<'_, '_>) {
    bencher
        .counter(ItemsCount::new(BATCH))
        .with_inputs(|| {
            let mut fixture = Fixture::new(DEFAULT_SIZE);
            for arrival in &mut fixture.arrivals {
                arrival.deadline = NOW + Millis(1);
            }
            fixture
        })
        .bench_local_refs(Fixture::submit);
}

/// Requests of tier 0 that evict requests of a lower tier.
#[divan::bench(sample_count = 20, sample_size = 1)]
fn submit_displacing(bencher: Bencher<'_, '_>) {
    bencher
        .counter(ItemsCount::new(BATCH))
        .with_inputs(|| {
            let mut fixture = Fixture::with_limit(DEFAULT_SIZE, DEFAULT_SIZE.queue as u32);
            let interactive = fixture.interactive;
            for arrival in &mut fixture.arrivals {
                arrival.class = interactive;
            }
            fixture
        })
        .bench_local_refs(Fixture::submit);
}

/// Output beyond the estimate, reported while it streams.
#[divan::bench(sample_count = 20, sample_size = 1)]
fn progress(bencher: Bencher<'_, '_>) {
    bencher
        .counter(ItemsCount::new(BATCH))
        .with_inputs(|| {
            let mut fixture = Fixture::new(DEFAULT_SIZE);
            let tickets = fixture.start(BATCH);
            (fixture, tickets)
        })
        .bench_local_refs(|(fixture, tickets)| {
            for ticket in tickets {
                fixture.scheduler.progress(ticket, 5000, NOW);
            }
        });
}

/// One change of the configuration.
#[divan::bench(sample_count = 20, sample_size = 1)]
fn configure(bencher: Bencher<'_, '_>) {
    bencher
        .with_inputs(|| Fixture::new(DEFAULT_SIZE))
        .bench_local_refs(|fixture| {
            let (classes, accounts) = (&fixture.classes, &fixture.accounts);
            fixture.scheduler.configure(classes, accounts, NOW);
        });
}

/// Memory of a scheduler: see "max alloc". The time is that of all the requests that fill the
/// scheduler.
#[divan::bench(args = SIZES, sample_count = 1, sample_size = 1)]
fn memory(bencher: Bencher<'_, '_>, size: Size) {
    bencher.bench_local(|| Fixture::new(size));
}

/// Refusal of ten thousand overdue requests after a pause.
#[divan::bench(sample_count = 10, sample_size = 1)]
fn answer_overdue(bencher: Bencher<'_, '_>) {
    let timeout = Millis(60_000);
    bencher
        .counter(ItemsCount::new(DEFAULT_SIZE.queue))
        .with_inputs(|| {
            let mut fixture = Fixture::new(Size {
                queue: 0,
                ..DEFAULT_SIZE
            });
            let mut arrivals = fixture.arrivals.clone();
            for index in 0..DEFAULT_SIZE.queue {
                let arrival = &mut arrivals[index % BATCH];
                arrival.deadline = NOW + timeout;
                fixture.scheduler.submit(arrival, NOW);
            }
            fixture
        })
        .bench_local_refs(|fixture| {
            while let Some(Action::Refuse(refused)) = fixture.scheduler.next(NOW + timeout, 0) {
                black_box(refused);
            }
        });
}
