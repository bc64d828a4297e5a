//! Invariants under random behaviour of the platform and of the clock.

use crocushold_base::Millis;
use crocushold_platform::ConfigReader;
use crocushold_platform::Event;
use crocushold_platform::Failure;
use crocushold_platform::Jitter;
use crocushold_platform::Machine;
use crocushold_platform::ReaderSettings;
use crocushold_platform::Update;

use crate::driver::Driver;
use crate::driver::Started;
use crate::driver::poller;
use crate::driver::secs;
use crate::fake::Mode;
use crate::fake::Platform;

/// A budget so tight that it is what holds the reader back, where the default one seldom does.
const INTERVAL: Millis = Millis(800);
const BURST: u32 = 5;
const SEEDS: u64 = 200;
const STEPS: usize = 120;
const TEAMS: [&str; 4] = ["a", "b", "c", "d"];

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
            4 => Mode::Hasty,
            5 => Mode::LosesWatches,
            _ => Mode::Up,
        }
    }
}

/// Does one random thing, then lets some time pass.
fn shake<M: Machine>(driver: &mut Driver<M>, dice: &mut Dice) {
    let team = TEAMS[dice.below(4) as usize];
    match dice.below(9) {
        0..=2 => _ = driver.platform.change(team),
        3 => driver.platform.mode = dice.mode(),
        4 => driver.platform.stale = Some(driver.platform.index()),
        5 => driver.platform.stale = None,
        6 => {
            let revision = driver.platform.revision + dice.below(5);
            driver.feed(Event::Hint { revision });
        }
        7 => {
            let part = driver.platform.parts.get_mut(team).expect("present");
            part.text = Err(Failure::Status(500));
        }
        _ => driver.sleep(Millis(dice.below(20_000))),
    }
    driver.platform.list.revision = dice.below(20);
    driver.run(Millis(dice.below(4_000)));
}

/// No span of time may hold more calls than the burst plus the rate.
fn assert_budget(started: &[Started], interval: u64, burst: u64, seed: u64) {
    for (first, from) in started.iter().enumerate() {
        for (count, to) in (1u64..).zip(&started[first..]) {
            let allowed = burst + to.at.since(from.at).0 / interval;
            assert!(
                count <= allowed,
                "seed {seed}: {count} calls in {}",
                to.at.since(from.at)
            );
        }
    }
}

/// Whatever the platform, the peers and the clock do: the budget holds, no revision published is
/// older than one before, and once the platform is well again its newest text is in force.
#[test]
fn a_reader_keeps_its_budget_and_never_reverts() {
    for seed in 0..SEEDS {
        let mut dice = Dice::new(seed);
        let settings = ReaderSettings {
            seed,
            interval: INTERVAL,
            burst: BURST,
            ..ReaderSettings::default()
        };
        let machine = ConfigReader::new(settings);
        let mut driver = Driver::new(machine, Platform::with_teams(&TEAMS));
        for _ in 0..STEPS {
            shake(&mut driver, &mut dice);
        }
        let revisions: Vec<u64> = driver.snapshots().iter().map(|s| s.revision).collect();
        assert!(revisions.is_sorted(), "seed {seed}: {revisions:?}");
        heal(&mut driver);
        assert_eq!(driver.in_force(), driver.platform.revision, "seed {seed}");
        assert_published_whole(&driver, seed);
        assert_budget(&driver.started, INTERVAL.0, BURST.into(), seed);
    }
}

fn heal(driver: &mut Driver<ConfigReader>) {
    driver.platform.mode = Mode::Up;
    driver.platform.stale = None;
    for team in TEAMS {
        driver.platform.change(team);
    }
    // The longest `Retry-After` above, and the budget's refill.
    driver.run(secs(30));
}

/// Every text published stands under the revision that it was published with.
fn assert_published_whole(driver: &Driver<ConfigReader>, seed: u64) {
    for published in &driver.published {
        let Update::Config(snapshot) = &published.update else {
            continue;
        };
        for part in &snapshot.parts {
            let text = format!("{} at {}", part.team, part.revision);
            assert_eq!(*part.text, text, "seed {seed}");
            assert!(part.revision <= snapshot.revision, "seed {seed}");
        }
    }
}

#[test]
fn a_poller_keeps_its_budget() {
    for seed in 0..SEEDS {
        let mut dice = Dice::new(seed);
        let mut driver = poller(Platform::with_teams(&TEAMS));
        for _ in 0..STEPS {
            shake(&mut driver, &mut dice);
        }
        assert_budget(&driver.started, 1_000, 1, seed);
        let revisions: Vec<u64> = driver.lists().iter().map(|l| l.revision).collect();
        assert!(revisions.is_sorted(), "seed {seed}: {revisions:?}");
    }
}
