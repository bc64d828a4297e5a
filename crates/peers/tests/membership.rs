//! Tests of membership under faults: which members are considered alive, and when all views agree.

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
    assert!(fleet.views_agree());
    assert!(
        fleet
            .slots
            .iter()
            .all(|slot| slot.node.member().is_settled())
    );
}

/// The list of a new instance names a single other instance, and the lists of the others don't name
/// the new one. It asks that instance and learns of all others, which learn of the new instance by
/// gossip.
#[test]
fn a_lagging_list_is_enough_when_it_names_one_live_instance() {
    let mut fleet = Fleet::settled(2, 12, 3);
    fleet.add(12, 0);
    let known = fleet.listing()[5].clone();
    fleet.feed_event(12, Event::InstanceList(vec![known]));
    assert!(
        fleet
            .run_until(Millis::from_secs(10), Fleet::views_agree)
            .is_some()
    );
}

#[test]
fn a_dead_instance_leaves_every_view_in_bounded_time() {
    let mut fleet = Fleet::settled(3, 20, 4);
    fleet.kill(7);
    let took = fleet.run_until(Millis::from_secs(20), Fleet::views_agree);
    assert!(took.is_some(), "views differ after 20 s");
}

#[test]
fn a_planned_stop_is_seen_by_all_within_seconds() {
    let mut fleet = Fleet::settled(4, 20, 4);
    fleet.feed_event(3, Event::Leave);
    fleet.kill(3);
    let took = fleet.run_until(Millis::from_secs(4), Fleet::views_agree);
    assert!(took.is_some(), "views differ after 4 s");
    assert_eq!(deaths(&fleet), 0);
}

/// An instance that leaves hands its state over to the members that it knows. If one joined just
/// before and gossip hasn't reached the leaving instance, it would be left out and would count the
/// leaving instance as lost. Other members know it already, so the leaving instance asks them first
/// and sees the new instance within a round trip.
#[test]
fn a_refreshed_view_includes_a_new_instance_at_once() {
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

/// An instance is paused for longer than any suspicion lasts and resumes with a view in which all
/// others look silent. If it relied on its own clock, it would declare healthy instances dead, and
/// their requests would move to others. It must contact a peer first.
#[test]
fn a_paused_instance_declares_nobody_dead() {
    for seed in 0..10 {
        let mut fleet = Fleet::settled(seed, 9, 3);
        fleet.pause(4, Millis::from_secs(40));
        fleet.run(Millis::from_secs(40));
        let before = fleet.slots[4].findings.len();
        fleet.run(Millis::from_secs(30));
        let declared = fleet.slots[4].findings[before..]
            .iter()
            .any(|(_, f)| matches!(f, Finding::Member(MemberFinding::Died(_))));
        assert!(
            !declared,
            "seed {seed}: the resumed instance declared a member dead"
        );
        assert!(
            fleet.views_agree(),
            "seed {seed}: views differ after the pause"
        );
    }
}

/// As above, but the network resumes later than the process: no answer arrives for three seconds
/// after the clock jumped. Suspicions from before the pause must not expire in that time.
#[test]
fn old_suspicions_do_not_expire_after_a_pause_until_a_peer_answers() {
    let mut member = member_with_silent_peer();
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

/// A probe was in flight when the process was paused, so its answer is lost. The probed member must
/// not be suspected for that, and the view counts as outdated until a peer has answered: acting on
/// it would mean acting on knowledge from before the pause.
#[test]
fn a_probe_from_before_a_pause_raises_no_suspicion() {
    let mut member = member_with_silent_peer();
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
fn a_new_instance_at_an_address_replaces_its_predecessor_at_once() {
    let mut member = member_with_silent_peer();
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

/// The update that refutes a suspicion was lost, but a later message of the suspect carries the
/// higher incarnation. If it were ignored, the suspicion would continue.
#[test]
fn the_incarnation_of_a_message_refutes_a_suspicion() {
    let mut member = member_with_silent_peer();
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
    let updates = member.updates(&suspect);
    assert!(updates.iter().all(|u| u.status != Status::Suspect));
}

/// A suspicion received from another member expires, as its refutation was lost only on the way to
/// this instance, which doesn't probe the suspect otherwise. It must probe it and allow time for an
/// answer before declaring it dead.
#[test]
fn nobody_is_declared_dead_without_a_final_probe() {
    let mut member = member_with_silent_peer();
    let mut now = Millis(1000);
    let from = InstanceId::new("entry-2");
    let members: Vec<Update> = (2..20).map(|n| alive(instance(n))).collect();
    member.receive(&from, &Gossip::default(), &Body::Members(members), now);
    let targets = member.targets().to_vec();
    let unprobed = (2..20).map(instance).find(|i| !targets.contains(&i.id));
    let suspect = unprobed.expect("more members than targets");
    let suspicion = Update {
        status: Status::Suspect,
        ..alive(suspect.clone())
    };
    let body = Body::Members(vec![suspicion]);
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

/// Late gossip from the other side of a network partition reports that a member which answers here
/// is dead.
#[test]
fn a_reported_death_of_a_live_member_becomes_a_suspicion() {
    let mut member = member_with_silent_peer();
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

/// After a network partition, each side considers the other's members dead. Told that one of them
/// is alive, a member answers that it considers it dead, so that the suspect can refute that.
#[test]
fn a_member_reports_whom_it_considers_dead() {
    let mut member = member_with_silent_peer();
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
    let is_members = |a: &MemberAction| matches!(a, MemberAction::Send(_, Body::Members(_)));
    assert!(actions.iter().any(is_members));
}

/// An update never arrived here, and the queues of the other members no longer contain it.
#[test]
fn views_that_differ_for_long_are_compared() {
    let mut member = member_with_silent_peer();
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

/// Creates a member that knows one other member, which never answers.
fn member_with_silent_peer() -> Member {
    let initial = Incarnation::starting(5);
    let settings = MemberSettings::default();
    let mut member = Member::new(settings, instance(1), initial, 1, Millis(1000));
    let gossip = Gossip {
        incarnation: initial,
        ..Gossip::default()
    };
    let body = Body::Members(vec![alive(instance(2))]);
    member.receive(&InstanceId::new("entry-2"), &gossip, &body, Millis(1000));
    member
}

/// Returns the number of suspicions in the updates for another instance.
fn suspected(member: &mut Member) -> usize {
    let updates = member.updates(&InstanceId::new("entry-3"));
    let suspects = updates.iter().filter(|u| u.status == Status::Suspect);
    suspects.count()
}

/// The pause is shorter than the suspicion timeout: others suspect the paused instance, it resumes
/// and refutes that, and nobody declares it dead.
#[test]
fn a_short_pause_causes_no_death() {
    for seed in 0..10 {
        let mut fleet = Fleet::settled(seed, 9, 3);
        fleet.pause(4, Millis(2500));
        fleet.run(Millis::from_secs(30));
        assert_eq!(deaths(&fleet), 0, "seed {seed}");
        assert!(fleet.views_agree(), "seed {seed}");
    }
}

/// The instance is the first one to start, and each connection is refused at once. It must not
/// retry as fast as it is refused.
#[test]
fn a_new_instance_whose_peers_refuse_limits_its_attempts() {
    let settings = MemberSettings::default();
    let incarnation = Incarnation::starting(5);
    let mut now = Millis(1000);
    let mut member = Member::new(settings, instance(1), incarnation, 1, now);
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

/// An instance is paused while another dies, and the death is no longer gossiped when it resumes.
/// It doesn't probe the dead instance itself, so it must learn of the death by comparing views.
#[test]
fn a_death_during_a_pause_is_learned_later() {
    let mut fleet = Fleet::settled(2_369_943_555_841_071_428, 9, 3);
    fleet.faults = Faults {
        loss: 98,
        duplicate: 2,
        min_delay: 1,
        max_delay: 623,
    };
    fleet.pause(4, Millis(18_041));
    fleet.run(Millis::from_secs(10));
    fleet.kill(8);
    fleet.run(Millis::from_secs(20));
    fleet.faults = Faults::default();
    let agreed = fleet.run_until(Millis::from_secs(60), Fleet::views_agree);
    assert!(agreed.is_some(), "views differ a minute after the faults");
}

/// The process at an address is replaced at once by a new one with the same name. If the new one
/// were taken for its predecessor, peers would believe that it still knows which requests it ran.
#[test]
fn a_restarted_instance_changes_the_view_digest() {
    let mut fleet = Fleet::settled(6, 8, 3);
    let old = fleet.slots[0].node.member().digest();
    fleet.add(2, 2);
    fleet.list();
    let took = fleet.run_until(Millis::from_secs(10), |fleet| {
        fleet.views_agree() && fleet.slots[0].node.member().digest() != old
    });
    assert!(
        took.is_some(),
        "the view digest doesn't show the new incarnation"
    );
}

/// The platform assigns the address of a dead instance to a new one with another name.
#[test]
fn a_new_name_at_an_address_replaces_the_old_one() {
    let mut fleet = Fleet::settled(7, 8, 3);
    let address = fleet.slots[2].instance.address;
    fleet.add_as(2, Instance::new("entry-new", address, "zone-2"));
    fleet.list();
    assert!(
        fleet
            .run_until(Millis::from_secs(10), Fleet::views_agree)
            .is_some()
    );
}

/// The links between five and three of eight instances are cut for a minute. Each side considers
/// the other dead and continues. When the links are restored, both sides must find each other
/// without help.
#[test]
fn both_sides_of_a_partition_agree_and_merge_again() {
    let mut fleet = Fleet::settled(8, 8, 2);
    fleet.groups = vec![0, 0, 0, 0, 0, 1, 1, 1];
    assert!(
        fleet
            .run_until(Millis::from_secs(40), Fleet::views_agree)
            .is_some()
    );
    fleet.run(Millis::from_secs(60));
    fleet.groups = vec![0; 8];
    let healed = fleet.run_until(Millis::from_secs(30), Fleet::views_agree);
    assert!(healed.is_some(), "the sides don't find each other");
    fleet.run(Millis::from_secs(30));
    assert!(fleet.views_agree());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(16))]

    /// Messages are lost, delayed, duplicated and reordered, an instance is paused and another
    /// dies. Once the faults end, all live instances must agree on the view.
    #[test]
    fn views_agree_after_any_faults(
        seed in any::<u64>(),
        loss in 0_u32..300,
        duplicate in 0_u32..200,
        max_delay in 1_u64..1500,
        killed in 0_usize..9,
        paused in 0_usize..9,
        pause_ms in 0_u64..20_000,
    ) {
        let mut fleet = Fleet::settled(seed, 9, 3);
        fleet.faults = Faults { loss, duplicate, min_delay: 1, max_delay };
        fleet.pause(paused, Millis(pause_ms));
        fleet.run(Millis::from_secs(10));
        if killed != paused {
            fleet.kill(killed);
        }
        fleet.run(Millis::from_secs(20));
        fleet.faults = Faults::default();
        let agreed = fleet.run_until(Millis::from_secs(60), Fleet::views_agree);
        prop_assert!(agreed.is_some(), "views differ a minute after the faults");
    }

    /// Losing up to a tenth of the messages must not cause a healthy instance to be declared dead.
    #[test]
    fn message_loss_alone_causes_no_death(seed in any::<u64>(), loss in 0_u32..100) {
        let mut fleet = Fleet::settled(seed, 9, 3);
        fleet.faults = Faults { loss, ..Faults::default() };
        fleet.run(Millis::from_secs(120));
        prop_assert!(deaths(&fleet) == 0);
    }
}
