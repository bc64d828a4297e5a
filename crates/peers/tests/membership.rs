//! Membership under faults: who is taken for live, and when all agree.

mod fleet;

use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_peers::Body;
use crocushold_peers::Event;
use crocushold_peers::Finding;
use crocushold_peers::Gossip;
use crocushold_peers::Incarnation;
use crocushold_peers::Instance;
use crocushold_peers::InstanceId;
use crocushold_peers::ListedInstance;
use crocushold_peers::Member;
use crocushold_peers::MemberAction;
use crocushold_peers::MemberFinding;
use crocushold_peers::MemberSettings;
use crocushold_peers::Status;
use crocushold_peers::Update;
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

/// An instance that stops as planned hands over to the members that it knows. One joined just before and
/// gossip hasn't come round: it would be left out and count the leaver as lost. Others know it already,
/// so the leaver asks them first and has the newcomer in its view within a round trip.
#[test]
fn a_refreshed_view_names_a_newcomer_at_once() {
    for seed in 0..10 {
        let mut fleet = Fleet::settled(seed, 20, 3);
        fleet.add(20, 0);
        let listed = fleet.listing();
        fleet.feed_event(20, Event::InstanceList(listed));
        let newcomer = InstanceId::new("entry-20");
        let unaware = |fleet: &Fleet| {
            let lacks = |slot: &usize| fleet.slots[*slot].node.member().locate(&newcomer).is_none();
            (0..20).filter(lacks).collect::<Vec<usize>>()
        };
        let few_are = |fleet: &Fleet| unaware(fleet).len() <= 3;
        fleet.run_until(Millis::from_secs(10), few_are);
        let Some(late) = unaware(&fleet).pop() else {
            continue;
        };
        fleet.feed_event(late, Event::Refresh);
        fleet.run(Millis(200));
        assert!(!unaware(&fleet).contains(&late), "seed {seed}");
    }
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

/// As above, but the network wakes later still: for three seconds after the jump of the clock no
/// answer comes. Suspicions from before the pause must not run out in that time.
#[test]
fn old_suspicions_do_not_run_out_while_nobody_answered_after_a_pause() {
    let mut member = lonely_member();
    let mut now = Millis(1000);
    let mut suspects = 0;
    while suspects == 0 {
        now += fleet::TICK;
        member.tick(now);
        suspects = suspected(&mut member);
    }
    now += Millis::from_secs(60);
    let end = now + Millis(2900);
    while now < end {
        let actions = member.tick(now);
        let died = |a: &MemberAction| matches!(a, MemberAction::Report(MemberFinding::Died(_)));
        assert!(!actions.iter().any(died));
        now += fleet::TICK;
    }
    assert_eq!(member.live(), 2);
}

/// A probe was on its way when the process fell asleep, so its answer is long gone. The member that
/// was probed must not be suspected for that, and until a peer has answered the view counts as old:
/// whoever acts on it would act on knowledge from before the pause.
#[test]
fn a_probe_from_before_a_pause_accuses_nobody() {
    let mut member = lonely_member();
    let mut now = Millis(1000);
    let is_probe = |a: &MemberAction| matches!(a, MemberAction::Send(_, Body::Probe(_)));
    while !member.tick(now).iter().any(is_probe) {
        now += fleet::TICK;
    }
    assert!(member.is_settled());
    now += Millis::from_secs(60);
    member.tick(now);
    assert!(!member.is_settled());
    assert_eq!(suspected(&mut member), 0);
    let gossip = Gossip {
        incarnation: Incarnation::starting(5),
        ..Gossip::default()
    };
    let peer = InstanceId::new("entry-2");
    member.receive(&peer, &gossip, &Body::Members(Vec::new()), now);
    assert!(member.is_settled());
}

#[test]
fn a_newcomer_at_an_address_takes_its_predecessors_place_at_once() {
    let mut member = lonely_member();
    let mut newcomer = alive(instance(2));
    newcomer.instance.id = InstanceId::new("entry-9");
    newcomer.incarnation = Incarnation::starting(6);
    let from = InstanceId::new("entry-9");
    let body = Body::Members(vec![newcomer]);
    member.receive(&from, &Gossip::default(), &body, Millis(1000));
    let view = member.view();
    assert_eq!(view.live(), 2);
    assert!(view.get(&from).is_some());
}

/// The update that refutes a suspicion got lost, but a later message of the suspect states the
/// higher incarnation. Without taking its word the suspicion would run on.
#[test]
fn a_messages_own_incarnation_refutes() {
    let mut member = lonely_member();
    let mut now = Millis(1000);
    while suspected(&mut member) == 0 {
        now += fleet::TICK;
        member.tick(now);
    }
    let gossip = Gossip {
        incarnation: Incarnation::starting(5).next(),
        ..Gossip::default()
    };
    let suspect = InstanceId::new("entry-2");
    member.receive(&suspect, &gossip, &Body::None, now);
    let accusations = member.updates(&suspect);
    assert!(accusations.iter().all(|u| u.status != Status::Suspect));
}

/// A suspicion heard of runs out here, as its refutation got lost on this way alone. This instance
/// doesn't probe the suspect otherwise; before it declares the death it does, and gives it time.
#[test]
fn nobody_is_declared_dead_without_a_last_probe() {
    let mut member = lonely_member();
    let mut now = Millis(1000);
    let from = InstanceId::new("entry-2");
    let crowd: Vec<Update> = (2..20).map(|n| alive(instance(n))).collect();
    member.receive(&from, &Gossip::default(), &Body::Members(crowd), now);
    let targets = member.targets().to_vec();
    let stranger = (2..20).map(instance).find(|i| !targets.contains(&i.id));
    let suspect = stranger.expect("more members than targets");
    let accusation = Update {
        status: Status::Suspect,
        ..alive(suspect.clone())
    };
    let body = Body::Members(vec![accusation]);
    member.receive(&from, &Gossip::default(), &body, now);
    let died = MemberAction::Report(MemberFinding::Died(suspect.id.clone()));
    let probe = MemberAction::Send(suspect.clone(), Body::Probe(suspect.id.clone()));
    let mut probed = None;
    loop {
        now += fleet::TICK;
        let actions = member.tick(now);
        if actions.contains(&probe) {
            probed = Some(now);
        }
        if actions.contains(&died) {
            break;
        }
    }
    let wait = probed.map(|t| now.since(t));
    assert!(
        wait.is_some_and(|w| w >= Millis(1000)),
        "{wait:?} after the last probe"
    );
}

/// Late gossip from the far side of a split says that a member which answers here is dead.
#[test]
fn a_death_heard_of_a_living_member_is_a_suspicion_first() {
    let mut member = lonely_member();
    let dead = Update {
        status: Status::Dead,
        ..alive(instance(2))
    };
    let from = InstanceId::new("entry-3");
    member.receive(
        &from,
        &Gossip::default(),
        &Body::Members(vec![dead]),
        Millis(1000),
    );
    assert_eq!(member.live(), 2);
    assert_eq!(suspected(&mut member), 1);
}

/// After a split each side holds the other's members dead. Told that one of them lives, a member
/// answers that it holds it dead, so that it can be refuted over there.
#[test]
fn who_holds_a_living_member_dead_says_so() {
    let mut member = lonely_member();
    let mut now = Millis(1000);
    while member.live() == 2 {
        now += fleet::TICK;
        member.tick(now);
    }
    let dead = member.updates(&InstanceId::new("entry-2")).remove(0);
    let alive = Update {
        status: Status::Alive,
        ..dead
    };
    let from = InstanceId::new("entry-2");
    let body = Body::Members(vec![alive]);
    let actions = member.receive(&from, &Gossip::default(), &body, now);
    let says_so = |a: &MemberAction| matches!(a, MemberAction::Send(_, Body::Members(_)));
    assert!(actions.iter().any(says_so));
}

/// Some update never arrived here, and the queues of the others no longer hold it.
#[test]
fn views_that_differ_for_long_are_compared() {
    let mut member = lonely_member();
    let from = InstanceId::new("entry-2");
    let mut now = Millis(1000);
    let gossip = Gossip {
        incarnation: Incarnation::starting(5),
        view_digest: 99,
        ..Gossip::default()
    };
    let is_sync = |a: &MemberAction| matches!(a, MemberAction::Send(_, Body::Sync(_)));
    let mut compared = 0;
    for _ in 0..110 {
        now += fleet::TICK;
        let actions = member.receive(&from, &gossip, &Body::None, now);
        compared += actions.iter().filter(|a| is_sync(a)).count();
    }
    assert_eq!(compared, 2, "once in five seconds");
}

fn instance(number: u16) -> Instance {
    let address = SocketAddr::from(([10, 0, 0, 1], number));
    Instance::new(&format!("entry-{number}"), address, "zone-0")
}

fn alive(instance: Instance) -> Update {
    Update {
        instance,
        incarnation: Incarnation::starting(5),
        status: Status::Alive,
        origin: 0,
    }
}

/// A member that has heard of one other, which never answers.
fn lonely_member() -> Member {
    let life = Incarnation::starting(5);
    let settings = MemberSettings::default();
    let mut member = Member::new(settings, instance(1), life, 1, Millis(1000));
    let gossip = Gossip {
        incarnation: life,
        ..Gossip::default()
    };
    let body = Body::Members(vec![alive(instance(2))]);
    member.receive(&InstanceId::new("entry-2"), &gossip, &body, Millis(1000));
    member
}

/// Number of suspicions in the updates that would go to another instance.
fn suspected(member: &mut Member) -> usize {
    let updates = member.updates(&InstanceId::new("entry-3"));
    let suspects = updates.iter().filter(|u| u.status == Status::Suspect);
    suspects.count()
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

/// The newcomer is the first to start: each connection is refused at once. It must not try again
/// as fast as it is refused.
#[test]
fn a_newcomer_whose_peers_refuse_does_not_hammer_them() {
    let settings = MemberSettings::default();
    let life = Incarnation::starting(5);
    let mut now = Millis(1000);
    let mut member = Member::new(settings, instance(1), life, 1, now);
    let peer = ListedInstance {
        instance: instance(2),
        leaving: false,
    };
    let mut tries = member.set_listed(std::slice::from_ref(&peer), now).len();
    for _ in 0..20 {
        for _ in 0..10 {
            tries += member.failed(&peer.instance.id, now).len();
        }
        now += fleet::TICK;
        tries += member.tick(now).len();
    }
    assert!(tries <= 11, "{tries} tries in two seconds");
}

/// An instance sleeps while another dies, and the news of the death is no longer passed on when it
/// wakes. It doesn't probe the dead one itself; the comparison of views has to tell it.
#[test]
fn a_death_that_was_slept_through_is_heard_of() {
    let mut fleet = Fleet::settled(2_369_943_555_841_071_428, 9, 3);
    fleet.faults = Faults {
        loss: 98,
        repeat: 2,
        least: 1,
        most: 623,
    };
    fleet.pause(4, Millis(18_041));
    fleet.run(Millis::from_secs(10));
    fleet.kill(8);
    fleet.run(Millis::from_secs(20));
    fleet.faults = Faults::default();
    let agreed = fleet.run_until(Millis::from_secs(60), Fleet::agrees);
    assert!(agreed.is_some(), "views differ a minute after the faults");
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
