//! Invariants of the poller under random behaviour of the platform and the clock.

use crocushold_base::Millis;
use crocushold_platform::InstancePoller;
use crocushold_platform::Jitter;

use crate::driver::Driver;
use crate::driver::Started;
use crate::driver::poller;
use crate::driver::secs;
use crate::fake::Mode;
use crate::fake::Platform;
use crate::fake::list;

const SEEDS: u64 = 200;
const STEPS: usize = 120;

/// A seeded random number generator.
struct SeededRng(Jitter);

impl SeededRng {
    fn new(seed: u64) -> SeededRng {
        SeededRng(Jitter::new(seed))
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.0.up_to(Millis(bound - 1)).0
    }

    fn mode(&mut self) -> Mode {
        match self.below(7) {
            0 => Mode::Hung,
            1 => Mode::Down,
            2 => Mode::Throttling(None),
            3 => Mode::Throttling(Some(Millis(self.below(10_000)))),
            4 => Mode::Broken,
            _ => Mode::Up,
        }
    }
}

/// Changes the list or the platform's mode, or suspends the process, at random, then runs for a
/// random time.
fn random_step(driver: &mut Driver<InstancePoller>, rng: &mut SeededRng) {
    match rng.below(9) {
        0..=4 => driver.platform.list = list(rng.below(20), rng.below(3) as usize),
        5..=7 => driver.platform.mode = rng.mode(),
        _ => driver.sleep(Millis(rng.below(20_000))),
    }
    driver.run(Millis(rng.below(4_000)));
}

/// Asserts that every interval has at most one call per second, counting both ends.
fn assert_budget(started: &[Started], seed: u64) {
    for (first, from) in started.iter().enumerate() {
        for (count, to) in (1u64..).zip(&started[first..]) {
            let span = to.at.since(from.at);
            assert!(
                count <= 1 + span.0 / 1_000,
                "seed {seed}: {count} in {span}"
            );
        }
    }
}

/// Under any behaviour of the platform and the clock, the call budget holds, no published list is
/// older than an earlier one, and the newest list is published once the platform has recovered.
#[test]
fn a_poller_keeps_its_budget_and_never_reverts() {
    for seed in 0..SEEDS {
        let mut rng = SeededRng::new(seed);
        let mut driver = poller(Platform::new(list(1, 1)));
        for _ in 0..STEPS {
            random_step(&mut driver, &mut rng);
        }
        driver.platform.mode = Mode::Up;
        driver.platform.list = list(21, 1);
        // Covers the longest `Retry-After` above and the poller's longest pause.
        driver.run(secs(15));
        assert_budget(&driver.started, seed);
        let revisions: Vec<u64> = driver.lists().iter().map(|l| l.revision).collect();
        assert!(revisions.is_sorted(), "seed {seed}: {revisions:?}");
        assert_eq!(revisions.last(), Some(&21), "seed {seed}");
    }
}
