//! Links between instances that are cut, in one direction or both, and healed.

use std::time::Duration;
use std::time::Instant;

use test_case::test_case;

use crate::support::Answer;
use crate::support::Call;
use crate::support::Fleet;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::call;

/// Time within which a change is active on every instance that can reach the platform.
const PROPAGATION_BOUND: Duration = Duration::from_secs(5);

/// Time within which all instances agree again after the links are healed.
const CONVERGENCE_BOUND: Duration = Duration::from_secs(15);

const COUNT: usize = 8;
const SMALLER: [usize; 3] = [0, 1, 2];
const LARGER: [usize; 5] = [3, 4, 5, 6, 7];

/// Which links are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cut {
    /// Both directions between a group of three and a group of five instances.
    Groups,
    /// Only the direction from the group of three to the group of five.
    OneWay,
    /// All links of three instances, in both directions.
    Isolated,
    /// All links from three instances, which still receive.
    Outbound,
    /// All links to three instances, which can still send.
    Inbound,
}

impl Cut {
    fn has(self, from: usize, to: usize) -> bool {
        let leaves = SMALLER.contains(&from);
        let enters = SMALLER.contains(&to);
        match self {
            Cut::Groups => leaves != enters,
            Cut::OneWay => leaves && !enters,
            Cut::Isolated => leaves || enters,
            Cut::Outbound => leaves,
            Cut::Inbound => enters,
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

/// Cuts links, publishes a change immediately, and waits until it is active everywhere. Then checks
/// that all instances serve requests and agree again once the links are healed.
fn change_in_a_split(links: Cut) {
    let site = site();
    let fleet = Fleet::start_with_links(&site, COUNT);
    cut(&fleet, links);
    let start = Instant::now();
    site.publish(|text| text.replace("format = 1", "format = 1\n# changed\n"));
    fleet.wait_active(2);
    let propagated = start.elapsed();
    for entry in fleet.running() {
        let answer = call(entry.listen, &Call::chat(true, 2)).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    fleet.links.heal();
    let converged = fleet.wait_converged();
    println!("cut {links:?}: in force in {propagated:?}, agreed in {converged:?}");
    assert!(propagated < PROPAGATION_BOUND, "{propagated:?}");
    assert!(converged < CONVERGENCE_BOUND, "{converged:?}");
}

/// The fleet splits into two groups, and a change is published before anyone has detected the
/// split. Both groups read the platform, activate the change and serve requests; once healed, they
/// agree again.
#[test_case(Cut::Groups; "both ways")]
#[test_case(Cut::OneWay; "one way")]
fn a_change_reaches_both_groups_of_a_split(links: Cut) {
    change_in_a_split(links);
}

/// Instances lose the links to all others, in one direction or both, and a change is published
/// before anyone has detected it. Only some instances watch the platform on behalf of all, and at
/// least one of the isolated instances doesn't. It must not keep the old configuration, and serve a
/// revoked key, for longer than the others.
#[test_case(Cut::Isolated; "isolated")]
#[test_case(Cut::Outbound; "outbound")]
#[test_case(Cut::Inbound; "inbound")]
fn a_change_reaches_instances_without_peers(links: Cut) {
    change_in_a_split(links);
}

fn book(fleet: &Fleet<'_>, number: usize, key: &str) -> Answer {
    let booking = Call::booking(key).header("idempotency-key", key);
    call(fleet.entry(number).listen, &booking).unwrap()
}

/// Checks that an answer is consistent with whether the booking ran.
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

/// The fleet is split while callers send each confirmation to one side and then, as if it had not
/// been answered, to the other. A side that relied on its own records only would run them again.
/// The smaller side can't know most keys; it must say so at once and run none twice.
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
    let converged = fleet.wait_converged();
    for number in 0..24 {
        let key = format!("k-{number}");
        let before = site.effects(&key);
        let answer = book(&fleet, number % COUNT, &key);
        assert_truthful(&answer, site.effects(&key));
        assert!(before == 0 || answer.status != 200, "{}", answer.body);
        assert!(site.effects(&key) <= 1, "{key} ran twice");
    }
    println!("split: {served:?} of 24 confirmations served by each side, agreed in {converged:?}");
    assert!(served[0] > 0 && served[1] > 0);
    assert!(converged < CONVERGENCE_BOUND, "{converged:?}");
}
