//! Invariants under random behaviour of the platform and of the clock.

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

/// Seeded choices.
struct Dice(Jitter);

impl Dice {
    fn new(seed: u64) -> Dice {
        Dice(Jitter::new(seed))
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.0.up_to(Millis(bound - 1)).0
    }

    fn mode(&mut self) -> Mode {
        match self.below(7) {
            0 => Mode::Frozen,
            1 => Mode::Down,
            2 => Mode::Throttling(None),
            3 => Mode::Throttling(Some(Millis(self.below(10_000)))),
            4 => Mode::Broken,
            _ => Mode::Up,
        }
    }
}

/// Does one random thing, then lets some time pass.
fn shake(driver: &mut Driver<InstancePoller>, dice: &mut Dice) {
    match dice.below(9) {
        0..=4 => driver.platform.list = list(dice.below(20), dice.below(3) as usize),
        5..=7 => driver.platform.mode = dice.mode(),
        _ => driver.sleep(Millis(dice.below(20_000))),
    }
    driver.run(Millis(dice.below(4_000)));
}

/// No span of time may hold more calls than one a second, both ends counted.
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

/// Whatever the platform and the clock do: the budget holds, no list published is older than one
/// before, and once the platform is well again its newest list is published.
#[test]
fn a_poller_keeps_its_budget_and_never_reverts() {
    for seed in 0..SEEDS {
        let mut dice = Dice::new(seed);
        let mut driver = poller(Platform::new(list(1, 1)));
        for _ in 0..STEPS {
            shake(&mut driver, &mut dice);
        }
        driver.platform.mode = Mode::Up;
        driver.platform.list = list(21, 1);
        // The longest `Retry-After` above, and the poller's longest pause.
        driver.run(secs(15));
        assert_budget(&driver.started, seed);
        let revisions: Vec<u64> = driver.lists().iter().map(|l| l.revision).collect();
        assert!(revisions.is_sorted(), "seed {seed}: {revisions:?}");
        assert_eq!(revisions.last(), Some(&21), "seed {seed}");
    }
}
