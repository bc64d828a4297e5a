//! Membership under faults: who is taken for live, and when all agree.

mod fleet;

use crocushold_base::Millis;
use crocushold_peers::Event;
use crocushold_peers::Finding;
use crocushold_peers::Instance;
use crocushold_peers::MemberFinding;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;

use fleet::Faults;
use fleet::Fleet;

fn deaths(fleet: &Fleet) -> usize {
    let findings = fleet.slots.iter().flat_map(|slot| &slot.findings);
    findings
        .filter(|(_, f)| matches!(f, Finding::Member(MemberFinding::Died(_))))
        .count()
}

#[test]
fn instances_find_each_other_from_the_list() {
    let fleet = Fleet::settled(1, 8, 3);
    assert!(fleet.agrees());
    assert!(
        fleet
            .slots
            .iter()
            .all(|slot| slot.node.member().is_settled())
    );
}

/// One instance's list names a single other instance, everyone else's list is empty. The newcomer
/// asks that one and hears of all; the others hear of the newcomer by gossip.
#[test]
fn a_lagging_list_is_enough_when_it_names_one_live_instance() {
    let mut fleet = Fleet::settled(2, 12, 3);
    fleet.add(12, 0);
    let known = fleet.listing()[5].clone();
    fleet.feed_event(12, Event::InstanceList(vec![known]));
    assert!(
        fleet
            .run_until(Millis::from_secs(10), Fleet::agrees)
            .is_some()
    );
}

#[test]
fn a_dead_instance_leaves_every_view_in_bounded_time() {
    let mut fleet = Fleet::settled(3, 20, 4);
    fleet.kill(7);
    let took = fleet.run_until(Millis::from_secs(20), Fleet::agrees);
    assert!(took.is_some(), "not agreed after 20 s");
}

#[test]
fn a_planned_stop_is_seen_by_all_within_seconds() {
    let mut fleet = Fleet::settled(4, 20, 4);
    fleet.feed_event(3, Event::Leave);
    fleet.kill(3);
    let took = fleet.run_until(Millis::from_secs(4), Fleet::agrees);
    assert!(took.is_some(), "not agreed after 4 s");
    assert_eq!(deaths(&fleet), 0);
}

/// An instance sleeps for longer than any suspicion lasts and wakes with a view in which everyone
/// else looks silent. Were it to trust its own clock, it would declare healthy instances dead, and
/// their requests would move to others. It must ask first.
#[test]
fn an_instance_that_slept_accuses_nobody() {
    for seed in 0..10 {
        let mut fleet = Fleet::settled(seed, 9, 3);
        fleet.pause(4, Millis::from_secs(40));
        fleet.run(Millis::from_secs(40));
        let before = fleet.slots[4].findings.len();
        fleet.run(Millis::from_secs(30));
        let accused = fleet.slots[4].findings[before..]
            .iter()
            .any(|(_, f)| matches!(f, Finding::Member(MemberFinding::Died(_))));
        assert!(
            !accused,
            "seed {seed}: the woken instance declared someone dead"
        );
        assert!(fleet.agrees(), "seed {seed}: views differ after the wake");
    }
}

/// A pause shorter than the suspicion: others suspect the sleeper, it wakes, refutes, and nobody
/// ever takes it for dead.
#[test]
fn a_short_pause_kills_nobody() {
    for seed in 0..10 {
        let mut fleet = Fleet::settled(seed, 9, 3);
        fleet.pause(4, Millis(2500));
        fleet.run(Millis::from_secs(30));
        assert_eq!(deaths(&fleet), 0, "seed {seed}");
        assert!(fleet.agrees(), "seed {seed}");
    }
}

/// The process at an address is replaced at once by a new one of the same name. Whoever takes the
/// newcomer for its predecessor would believe that it still knows which requests it ran.
#[test]
fn a_replaced_instance_is_a_new_life() {
    let mut fleet = Fleet::settled(6, 8, 3);
    let old = fleet.slots[0].node.member().digest();
    fleet.add(2, 2);
    fleet.list();
    let took = fleet.run_until(Millis::from_secs(10), |fleet| {
        fleet.agrees() && fleet.slots[0].node.member().digest() != old
    });
    assert!(took.is_some(), "the view digest doesn't show the new life");
}

/// The platform gives the address of a dead instance to a new one with another name.
#[test]
fn a_new_name_at_an_address_buries_the_old_one() {
    let mut fleet = Fleet::settled(7, 8, 3);
    let address = fleet.slots[2].instance.address;
    fleet.add_as(2, Instance::new("entry-new", address, "zone-2"));
    fleet.list();
    assert!(
        fleet
            .run_until(Millis::from_secs(10), Fleet::agrees)
            .is_some()
    );
}

/// The links between five and three of eight instances are cut for a minute. Each side takes the
/// other for dead; both go on. When the links return both sides find each other by themselves.
#[test]
fn both_sides_of_a_split_agree_and_find_each_other_again() {
    let mut fleet = Fleet::settled(8, 8, 2);
    fleet.groups = vec![0, 0, 0, 0, 0, 1, 1, 1];
    assert!(
        fleet
            .run_until(Millis::from_secs(40), Fleet::agrees)
            .is_some()
    );
    fleet.run(Millis::from_secs(60));
    fleet.groups = vec![0; 8];
    let healed = fleet.run_until(Millis::from_secs(30), Fleet::agrees);
    assert!(healed.is_some(), "the sides don't find each other");
    fleet.run(Millis::from_secs(30));
    assert!(fleet.agrees());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(16))]

    /// Messages are lost, late, doubled and out of order, some instances sleep and some die. Once
    /// the faults end, all living instances agree on who lives.
    #[test]
    fn views_agree_after_any_faults(
        seed in any::<u64>(),
        loss in 0_u32..300,
        repeat in 0_u32..200,
        most in 1_u64..1500,
        victim in 0_usize..9,
        sleeper in 0_usize..9,
        nap in 0_u64..20_000,
    ) {
        let mut fleet = Fleet::settled(seed, 9, 3);
        fleet.faults = Faults { loss, repeat, least: 1, most };
        fleet.pause(sleeper, Millis(nap));
        fleet.run(Millis::from_secs(10));
        if victim != sleeper {
            fleet.kill(victim);
        }
        fleet.run(Millis::from_secs(20));
        fleet.faults = Faults::default();
        let agreed = fleet.run_until(Millis::from_secs(60), Fleet::agrees);
        prop_assert!(agreed.is_some(), "views differ a minute after the faults");
    }

    /// Up to a tenth of the messages lost kills no healthy instance.
    #[test]
    fn lost_messages_alone_kill_nobody(seed in any::<u64>(), loss in 0_u32..100) {
        let mut fleet = Fleet::settled(seed, 9, 3);
        fleet.faults = Faults { loss, ..Faults::default() };
        fleet.run(Millis::from_secs(120));
        prop_assert!(deaths(&fleet) == 0);
    }
}
