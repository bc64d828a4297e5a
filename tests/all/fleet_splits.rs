//! Links between instances that are cut, one way and both, and healed.

use std::time::Duration;
use std::time::Instant;

use test_case::test_case;

use crate::support::Answer;
use crate::support::Call;
use crate::support::Fleet;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::call;

/// Within this time a change is in force on every instance that the platform reaches.
const PROPAGATION_BOUND: Duration = Duration::from_secs(5);

/// Within this time all agree again after links are healed.
const CONVERGENCE_BOUND: Duration = Duration::from_secs(15);

const COUNT: usize = 8;
const SMALLER: [usize; 3] = [0, 1, 2];
const LARGER: [usize; 5] = [3, 4, 5, 6, 7];

/// Which links are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cut {
    /// Between three and five instances, both ways.
    Groups,
    /// The same, only from the three to the five.
    OneWay,
    /// Three instances are alone.
    Alone,
    /// Three instances hear everybody, and nobody hears them.
    Mute,
    /// Three instances hear nobody, and everybody hears them.
    Deaf,
}

impl Cut {
    fn has(self, from: usize, to: usize) -> bool {
        let leaves = SMALLER.contains(&from);
        let enters = SMALLER.contains(&to);
        match self {
            Cut::Groups => leaves != enters,
            Cut::OneWay => leaves && !enters,
            Cut::Alone => leaves || enters,
            Cut::Mute => leaves,
            Cut::Deaf => enters,
        }
    }
}

fn site() -> Site {
    Site::start(&SiteSettings {
        concurrency: 64,
        ..SiteSettings::default()
    })
}

fn cut(fleet: &Fleet<'_>, cut: Cut) {
    for from in 0..COUNT {
        for to in 0..COUNT {
            if cut.has(from, to) {
                fleet.links.cut(from, to);
            }
        }
    }
}

/// Cuts links, publishes a change at once, and returns once it is in force everywhere; then checks that
/// all serve, and that they agree once the links are healed.
fn change_in_a_split(links: Cut) {
    let site = site();
    let fleet = Fleet::start_with_links(&site, COUNT);
    cut(&fleet, links);
    let start = Instant::now();
    site.publish(|text| text.replace("format = 1", "format = 1\n# changed\n"));
    fleet.wait_active(2);
    let took = start.elapsed();
    for entry in fleet.running() {
        let answer = call(entry.listen, &Call::chat(true, 2)).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    fleet.links.heal();
    let agreed = fleet.wait_converged();
    println!("cut {links:?}: in force in {took:?}, agreed in {agreed:?}");
    assert!(took < PROPAGATION_BOUND, "{took:?}");
    assert!(agreed < CONVERGENCE_BOUND, "{agreed:?}");
}

/// The fleet falls into two groups, and a change is published before anybody has noticed. Both groups
/// read the platform, put the change in force and serve; healed, they agree again.
#[test_case(Cut::Groups; "both ways")]
#[test_case(Cut::OneWay; "one way")]
fn a_change_reaches_both_groups_of_a_split(links: Cut) {
    change_in_a_split(links);
}

/// Instances lose the links to all others, one way or both, and a change is published before anybody
/// has noticed. Only some instances watch the platform for all; at least one that doesn't is among the
/// lonely ones. It must not go on with the old text, and serve a key that was withdrawn, for longer
/// than the others.
#[test_case(Cut::Alone; "alone")]
#[test_case(Cut::Mute; "mute")]
#[test_case(Cut::Deaf; "deaf")]
fn a_change_reaches_instances_without_peers(links: Cut) {
    change_in_a_split(links);
}

fn book(fleet: &Fleet<'_>, number: usize, key: &str) -> Answer {
    let booking = Call::booking(key).header("idempotency-key", key);
    call(fleet.entry(number).listen, &booking).unwrap()
}

/// What a caller may be told of a key, before or after it ran.
fn assert_truthful(answer: &Answer, effects: u64) {
    let ran = answer.header("x-request-ran");
    if answer.status == 200 {
        assert_eq!(effects, 1);
    } else {
        assert!(effects == 0 || ran != "no", "{}", answer.body);
        let told = ran == "yes" || ran == "unknown" || !answer.header("retry-after").is_empty();
        assert!(told, "{}", answer.body);
    }
}

/// The fleet is split while callers send confirmations to both sides, each first to one side and then,
/// as if it had got no answer, to the other. A side that kept its own records only would run them
/// again. The smaller side can't know most keys; it says so at once, and never runs one twice.
#[test]
fn a_split_runs_no_confirmation_twice() {
    let site = site();
    let fleet = Fleet::start_with_links(&site, COUNT);
    fleet.links.partition(&SMALLER, &LARGER);
    let mut served = [0; 2];
    for number in 0..24 {
        let key = format!("k-{number}");
        let (small, large) = (SMALLER[number % 3], LARGER[number % 5]);
        let order = if number % 2 == 0 {
            [small, large]
        } else {
            [large, small]
        };
        for instance in order {
            let start = Instant::now();
            let answer = book(&fleet, instance, &key);
            assert!(start.elapsed() < Duration::from_secs(4), "held");
            assert_truthful(&answer, site.effects(&key));
            served[usize::from(instance == large)] += usize::from(answer.status == 200);
        }
        assert!(site.effects(&key) <= 1, "{key} ran twice");
    }
    fleet.links.heal();
    let agreed = fleet.wait_converged();
    for number in 0..24 {
        let key = format!("k-{number}");
        let before = site.effects(&key);
        let answer = book(&fleet, number % COUNT, &key);
        assert_truthful(&answer, site.effects(&key));
        assert!(before == 0 || answer.status != 200, "{}", answer.body);
        assert!(site.effects(&key) <= 1, "{key} ran twice");
    }
    println!("split: {served:?} of 24 confirmations served by each side, agreed in {agreed:?}");
    assert!(served[0] > 0 && served[1] > 0);
    assert!(agreed < CONVERGENCE_BOUND, "{agreed:?}");
}
