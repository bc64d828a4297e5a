//! Bursts and a long rush, in the model of a service.

use crocushold_admission::ClassSpec;
use crocushold_admission::HeadroomSettings;
use crocushold_admission::Settings;
use crocushold_base::Millis;
use test_case::test_case;

use crate::support::Bed;
use crate::support::batch;
use crate::support::live;

#[expect(dead_code, reason = "the tests use a part of the example's model")]
#[path = "../../examples/overload/model.rs"]
mod model;

fn share(tally: &model::Tally) -> f64 {
    tally.attained as f64 / tally.offered as f64
}

/// For an hour the live classes alone ask for 1.2 times what the engines can do. Each lower class
/// still gets its written share of the engine time, so sheets and accountants' batches go on; and
/// the live classes get all the rest.
#[test]
fn no_class_starves_in_an_hour_of_rush() {
    let run = model::Run {
        loads: model::evening(),
        accounts: 10,
        slots: 40,
        factor: 4.0,
        length: Millis::from_secs(4200),
        warmup: Millis::from_secs(600),
        seed: 3,
    };
    let outcome = model::run(&run, model::Policy::Scheduler(Settings::default()));
    let busy: u64 = outcome.classes.iter().map(|tally| tally.busy).sum();
    for (load, tally) in run.loads.iter().zip(&outcome.classes).skip(2) {
        let part = tally.busy as f64 / busy as f64;
        let floor = load.spec.floor;
        assert!(part > floor * 0.7, "{}: {part} of {floor}", load.name);
        assert!(part < floor * 1.3, "{}: {part} of {floor}", load.name);
    }
    assert!(outcome.used > 0.97, "{}", outcome.used);
}

/// The tokens of the lowest class of three as a share of all, over `seconds` of a rush at 2.5 times
/// the capacity that has lasted for a minute.
fn lowest_share(floor: f64, seconds: u64, seed: u64) -> f64 {
    let load = |tier: u8, target: u64, floor: f64, part: f64, output: f64| model::Load {
        name: "",
        spec: ClassSpec {
            tier,
            target: Millis::from_secs(target),
            max_wait: Millis::from_secs(target),
            floor,
            ..ClassSpec::default()
        },
        part,
        prompt: 0.0,
        output,
        leaves: Millis::MAX,
        burst: None,
    };
    let run = model::Run {
        loads: vec![
            load(0, 2, 0.3, 0.2, 40.0),
            load(1, 3, 0.1, 0.3, 72.0),
            load(3, 24 * 3600, floor, 0.5, 210.0),
        ],
        accounts: 1,
        slots: 48,
        factor: 2.5,
        length: Millis::from_secs(60 + seconds),
        warmup: Millis::from_secs(60),
        seed,
    };
    let outcome = model::run(&run, model::Policy::Scheduler(Settings::default()));
    let tokens: Vec<u64> = outcome.classes.iter().map(|tally| tally.tokens).collect();
    tokens[2] as f64 / tokens.iter().sum::<u64>() as f64
}

/// For an hour all classes ask for more than the slots do, and nobody knows how long an answer will
/// be. Of the tokens that callers get, the lowest class has its written share to a tenth of a point;
/// in single minutes it is no more than one and a half points short: answers in progress, and the
/// one that its floor saves up for.
#[test_case(0.05)]
#[test_case(0.1)]
fn a_floor_holds_through_an_hour_of_rush(floor: f64) {
    let hour = lowest_share(floor, 3600, 7);
    assert!((hour - floor).abs() < 0.001, "{hour}");
    for seed in 0..10 {
        let minute = lowest_share(floor, 60, seed);
        assert!(minute > floor - 0.015, "{minute}");
    }
}

/// The whole load rises to 2.5 times capacity, the live part of it staying below. The live classes
/// attain as they do at 0.7, within a point, and the engines stay busy.
#[test]
fn the_live_tier_attains_under_overload() {
    let run = |factor| model::Run {
        loads: model::evening(),
        accounts: 10,
        slots: 160,
        factor,
        length: Millis::from_secs(900),
        warmup: Millis::from_secs(300),
        seed: 1,
    };
    let policy = || model::Policy::Scheduler(Settings::default());
    let low = model::run(&run(0.7), policy());
    let high = model::run(&run(2.5), policy());
    for live in 0..2 {
        let (low, high) = (share(&low.classes[live]), share(&high.classes[live]));
        assert!(high > low - 0.01, "class {live}: {high} after {low}");
    }
    assert!(high.used > 0.97, "{}", high.used);
}

/// Bursts of the live tier that its steady rate doesn't need: the lower tier leaves slots free up
/// to the share that the operator set, and takes them again when the bursts are forgotten.
#[test]
fn the_headroom_follows_bursts_and_fades() {
    let settings = Settings {
        headroom: HeadroomSettings {
            max_share: 0.25,
            half_life: Millis::from_secs(60),
            ..HeadroomSettings::default()
        },
        ..Settings::default()
    };
    let mut bed = Bed::new(settings, &[live(), batch()], 2);
    let mut tickets = Vec::new();
    let start = Millis::from_secs(20);
    for _ in 0..8 {
        bed.queue(0, 0, Millis(0));
    }
    for free in (1..=8).rev() {
        tickets.push(bed.dispatch(Millis(0), free));
    }
    for ticket in tickets.drain(..) {
        bed.finish(ticket, 100, start);
    }
    for _ in 0..8 {
        bed.queue(1, 1, start);
    }
    for free in (3..=8).rev() {
        tickets.push(bed.dispatch(start, free));
    }
    bed.idle(start, 2);
    assert_eq!(bed.scheduler.status().headroom, 2);
    assert!(bed.scheduler.wake_at().is_some());
    let later = Millis::from_secs(3600);
    tickets.push(bed.dispatch(later, 2));
    assert_eq!(bed.scheduler.status().headroom, 0);
}
