//! Time and allocations of the line's decisions, with 3,700 accounts and 10,000 waiting requests.
//!
//! `cargo bench -p crocushold-admission --bench line`

use crocushold_admission::Line;
use crocushold_admission::LineArrival;
use crocushold_admission::LineEnd;
use crocushold_admission::LineSettings;
use crocushold_admission::LineStep;
use crocushold_admission::WaiterKey;
use crocushold_base::Millis;
use divan::AllocProfiler;
use divan::Bencher;
use divan::black_box;
use divan::counter::ItemsCount;

#[global_allocator]
static ALLOC: AllocProfiler = AllocProfiler::system();

/// Decisions per measurement; the inputs are rebuilt for each batch.
const BATCH: usize = 256;

const ACCOUNTS: usize = 3_700;
const WAITING: usize = 10_000;
const GROUPS: usize = 6;
const RANKS: usize = 8;

const NOW: Millis = Millis(10_000);

/// A line with learned lengths and throughput in which all requests wait.
struct Fixture {
    line: Line,
    keys: Vec<WaiterKey>,
}

impl Fixture {
    fn new() -> Fixture {
        let mut line = Line::new(LineSettings {
            max_waiting: u32::MAX,
            ..LineSettings::default()
        });
        for index in 0..200 {
            let key = line.join(&arrival(index), Millis(100));
            let key = key.expect("nothing waits yet");
            if let Some(key) = offer(&mut line, key) {
                line.begin(key, NOW);
            }
            line.finish(key, LineEnd::Complete(50), Millis(300));
        }
        let keys = (0..WAITING).filter_map(|index| line.join(&arrival(index), NOW).ok());
        let keys = keys.collect();
        Fixture { line, keys }
    }
}

fn arrival(index: usize) -> LineArrival {
    LineArrival {
        service: 1,
        group: (pseudo_random(index, 1) % GROUPS) as u64,
        rank: (pseudo_random(index, 2) % RANKS) as u8,
        account: (pseudo_random(index, 3) % ACCOUNTS) as u32,
        request: index as u32 + 1,
        prompt_tokens: 3000,
        output_tokens: 50,
        limit: Millis::from_secs(1_000_000),
        patience: Millis::from_secs(1),
    }
}

/// The request that is offered next in the group of `key`.
fn offer(line: &mut Line, key: WaiterKey) -> Option<WaiterKey> {
    match line.next(line.group_of(key), NOW) {
        Some(LineStep::Offer(key, _)) => Some(key),
        _ => None,
    }
}

fn pseudo_random(index: usize, salt: u64) -> usize {
    let mixed = (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15 ^ (salt << 40));
    (mixed >> 24) as usize
}

#[divan::bench]
fn join(bencher: Bencher) {
    bencher
        .counter(ItemsCount::new(BATCH))
        .with_inputs(Fixture::new)
        .bench_local_refs(|fixture| {
            for index in 0..BATCH {
                let _ = black_box(fixture.line.join(&arrival(index), NOW));
            }
        });
}

/// A line without room, in which the return times of as many requests are kept.
fn refusing() -> Line {
    let mut line = Line::new(LineSettings {
        max_waiting: 0,
        max_returns: usize::MAX,
        ..LineSettings::default()
    });
    for index in BATCH..BATCH + WAITING {
        let _ = line.join(&arrival(index), NOW);
    }
    line
}

#[divan::bench]
fn refuse(bencher: Bencher) {
    bencher
        .counter(ItemsCount::new(BATCH))
        .with_inputs(refusing)
        .bench_local_refs(|line| {
            for index in 0..BATCH {
                let _ = black_box(line.join(&arrival(index), NOW));
            }
        });
}

#[divan::bench]
fn offer_in_vain(bencher: Bencher) {
    bencher
        .counter(ItemsCount::new(BATCH))
        .with_inputs(Fixture::new)
        .bench_local_refs(|Fixture { line, keys }| {
            for &key in keys.iter().take(BATCH) {
                if let Some(key) = offer(line, key) {
                    line.put_back(black_box(key), NOW);
                }
            }
        });
}

#[divan::bench]
fn begin_and_finish(bencher: Bencher) {
    bencher
        .counter(ItemsCount::new(BATCH))
        .with_inputs(Fixture::new)
        .bench_local_refs(|Fixture { line, keys }| {
            for &key in keys.iter().take(BATCH) {
                if let Some(key) = offer(line, key) {
                    line.begin(key, NOW);
                    line.finish(black_box(key), LineEnd::Complete(50), NOW);
                }
            }
        });
}

#[divan::bench]
fn leave(bencher: Bencher) {
    bencher
        .counter(ItemsCount::new(BATCH))
        .with_inputs(Fixture::new)
        .bench_local_refs(|Fixture { line, keys }| {
            for &key in keys.iter().take(BATCH) {
                line.leave(black_box(key), NOW);
            }
        });
}

fn main() {
    divan::main();
}
