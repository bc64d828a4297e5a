//! Budget, backoff, and watches that don't wait.

use crocushold_base::Millis;
use crocushold_platform::Backoff;
use crocushold_platform::BackoffSettings;
use crocushold_platform::CallBudget;
use crocushold_platform::Jitter;
use crocushold_platform::Report;

use crate::driver::reader;
use crate::driver::secs;
use crate::fake::Mode;
use crate::fake::Platform;

#[test]
fn a_budget_grants_its_burst_and_then_its_rate() {
    let mut budget = CallBudget::new(Millis(500), 4);
    let now = secs(10);
    let granted = (0..10).filter(|_| budget.take(now)).count();
    assert_eq!(granted, 4);
    assert_eq!(budget.ready_at(), now + Millis(500));
    assert!(!budget.take(now + Millis(499)));
    assert!(budget.take(now + Millis(500)));
}

#[test]
fn a_budget_saves_no_more_than_its_burst() {
    let mut budget = CallBudget::new(Millis(500), 4);
    budget.take(Millis::ZERO);
    let later = secs(3600);
    assert_eq!((0..10).filter(|_| budget.take(later)).count(), 4);
}

#[test]
fn pauses_grow_to_their_cap_and_differ_between_seeds() {
    let settings = BackoffSettings::default();
    let pauses = |seed| {
        let mut jitter = Jitter::new(seed);
        let mut backoff = Backoff::new(settings);
        (0..80)
            .map(|_| backoff.fail(&mut jitter))
            .collect::<Vec<Millis>>()
    };
    let one = pauses(1);
    assert!(one[0] >= Millis(125) && one[0] <= Millis(250));
    assert!(one[79] >= Millis(2_000) && one[79] <= Millis(4_000));
    assert_ne!(one, pauses(2));
    assert_eq!(one, pauses(1), "repeatable");
}

/// A service that doesn't hold watches answers each at once. A loop would eat the budget that all
/// readers share; the reader watches ever more seldom and says so once.
#[test]
fn a_hasty_watch_does_not_loop() {
    let mut driver = reader(Platform::with_teams(&["clara"]));
    driver.platform.mode = Mode::Hasty;
    let from = driver.now;
    driver.run(secs(120));
    let calls = driver.calls_since(from);
    assert!(calls <= 70, "{calls} calls in 120 s");
    let hasty = |r: &&&Report| matches!(r, Report::HastyWatch { .. });
    assert_eq!(driver.reports().iter().filter(hasty).count(), 1);
    let revision = driver.platform.change("clara");
    let changed = driver.now;
    driver.run(secs(6));
    let at = driver.in_force_at(revision).expect("in force");
    assert!(at.since(changed) <= secs(5));
}

/// A quiet service costs a watch every two and a half seconds and nothing else.
#[test]
fn a_quiet_hour_costs_one_watch_after_the_other() {
    let mut driver = reader(Platform::with_teams(&["clara"]));
    driver.run(secs(10));
    let from = driver.now;
    driver.run(secs(3600));
    let calls = driver.calls_since(from);
    assert!((1430..=1440).contains(&calls), "{calls} calls");
}
