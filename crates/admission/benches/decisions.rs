//! Cost of a decision: time and allocations, and how they grow with each size.
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

/// Decisions measured together; the inputs are made anew for each batch.
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

const USUAL: Size = Size {
    queue: 10_000,
    accounts: 3_700,
    classes: 20,
    models: 39,
};

/// The usual sizes, and each of them alone in steps of ten.
const SIZES: [Size; 11] = [
    USUAL,
    Size {
        queue: 100,
        ..USUAL
    },
    Size {
        queue: 1_000,
        ..USUAL
    },
    Size {
        queue: 100_000,
        ..USUAL
    },
    Size {
        accounts: 37,
        ..USUAL
    },
    Size {
        accounts: 370,
        ..USUAL
    },
    Size {
        accounts: 37_000,
        ..USUAL
    },
    Size {
        classes: 5,
        ..USUAL
    },
    Size {
        classes: 200,
        ..USUAL
    },
    Size { models: 4, ..USUAL },
    Size {
        models: 390,
        ..USUAL
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
    live: ClassKey,
}

impl Fixture {
    /// A scheduler with a full queue, that has learned lengths and speed, and a batch of arrivals.
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
            class: classes[scatter(index, 1) % classes.len()].key,
            account: accounts[scatter(index, 2) % accounts.len()].key,
            model: Some(models[scatter(index, 3) % models.len()]),
            prompt_tokens: 500,
            max_tokens: 50 + (scatter(index, 4) % 500) as u32,
            bytes: 100,
            deadline: Millis::MAX,
        };
        let mut fixture = Fixture {
            scheduler,
            arrivals: (0..BATCH).map(arrival).collect(),
            live: classes[0].key,
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
                output: 20 + (scatter(index, 5) % 300) as u32,
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

/// A fixed pseudo-random number.
fn scatter(index: usize, salt: usize) -> usize {
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

/// A request over its account's rate.
#[divan::bench(sample_count = 20, sample_size = 1)]
fn refuse_by_limit(bencher: Bencher<'_, '_>) {
    bencher
        .counter(ItemsCount::new(BATCH))
        .with_inputs(|| {
            let mut fixture = Fixture::new(USUAL);
            for arrival in &fixture.arrivals {
                fixture.scheduler.set_share(arrival.account, 0.0, NOW);
            }
            fixture.submit();
            fixture
        })
        .bench_local_refs(Fixture::submit);
}

/// A request whose deadline the queue can't meet.
#[divan::bench(sample_count = 20, sample_size = 1)]
fn refuse_by_wait(bencher: Bencher<'_, '_>) {
    bencher
        .counter(ItemsCount::new(BATCH))
        .with_inputs(|| {
            let mut fixture = Fixture::new(USUAL);
            for arrival in &mut fixture.arrivals {
                arrival.deadline = NOW + Millis(1);
            }
            fixture
        })
        .bench_local_refs(Fixture::submit);
}

/// A request of the live tier that displaces one of a lower tier.
#[divan::bench(sample_count = 20, sample_size = 1)]
fn submit_displacing(bencher: Bencher<'_, '_>) {
    bencher
        .counter(ItemsCount::new(BATCH))
        .with_inputs(|| {
            let mut fixture = Fixture::with_limit(USUAL, USUAL.queue as u32);
            let live = fixture.live;
            for arrival in &mut fixture.arrivals {
                arrival.class = live;
            }
            fixture
        })
        .bench_local_refs(Fixture::submit);
}

/// Output beyond the estimate, as it streams in.
#[divan::bench(sample_count = 20, sample_size = 1)]
fn progress(bencher: Bencher<'_, '_>) {
    bencher
        .counter(ItemsCount::new(BATCH))
        .with_inputs(|| {
            let mut fixture = Fixture::new(USUAL);
            let tickets = fixture.start(BATCH);
            (fixture, tickets)
        })
        .bench_local_refs(|(fixture, tickets)| {
            for ticket in tickets {
                fixture.scheduler.progress(ticket, 5000, NOW);
            }
        });
}

/// A change of the configuration, once.
#[divan::bench(sample_count = 20, sample_size = 1)]
fn configure(bencher: Bencher<'_, '_>) {
    bencher
        .with_inputs(|| Fixture::new(USUAL))
        .bench_local_refs(|fixture| {
            let (classes, accounts) = (&fixture.classes, &fixture.accounts);
            fixture.scheduler.configure(classes, accounts, NOW);
        });
}

/// Memory of a scheduler: see the bytes of "max alloc". The time is that of all the requests that
/// fill it.
#[divan::bench(args = SIZES, sample_count = 1, sample_size = 1)]
fn memory(bencher: Bencher<'_, '_>, size: Size) {
    bencher.bench_local(|| Fixture::new(size));
}

/// Ten thousand overdue requests after a pause: time for all the answers.
#[divan::bench(sample_count = 10, sample_size = 1)]
fn answer_overdue(bencher: Bencher<'_, '_>) {
    let timeout = Millis(60_000);
    bencher
        .counter(ItemsCount::new(USUAL.queue))
        .with_inputs(|| {
            let mut fixture = Fixture::new(Size { queue: 0, ..USUAL });
            let mut arrivals = fixture.arrivals.clone();
            for index in 0..USUAL.queue {
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
