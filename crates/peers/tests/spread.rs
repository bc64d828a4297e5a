//! Tests of the dissemination of the configuration under faults: a change is in force everywhere in
//! time, and no instance returns to an earlier revision.

mod fleet;

use std::collections::BTreeMap;
use std::sync::Arc;

use crocushold_base::Millis;
use crocushold_peers::Delta;
use crocushold_peers::Event;
use crocushold_peers::Finding;
use crocushold_peers::NodeSettings;
use crocushold_peers::SpreadFinding;
use crocushold_peers::SpreadSettings;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use test_case::test_case;

use fleet::Faults;
use fleet::Fleet;
use fleet::PlatformState;

/// Maximum time for a change to be in force everywhere.
const CHANGE_TIMEOUT: Millis = Millis::from_secs(5);

fn reports(fleet: &Fleet, at: usize, wanted: impl Fn(&SpreadFinding) -> bool) -> bool {
    let findings = fleet.slots[at].findings.iter();
    findings
        .filter_map(|(_, finding)| match finding {
            Finding::Spread(finding) => Some(finding),
            Finding::Member(_) => None,
        })
        .any(wanted)
}

/// Runs the fleet and checks at each step that no part of any instance returns to an earlier
/// revision.
fn run_checking_revisions(fleet: &mut Fleet, span: Millis) -> bool {
    let mut seen: Vec<BTreeMap<Arc<str>, u64>> = vec![BTreeMap::new(); fleet.slots.len()];
    let mut whole = vec![0; fleet.slots.len()];
    let end = fleet.now + span;
    while fleet.now < end {
        fleet.run(Millis(50));
        for (at, slot) in fleet.slots.iter().enumerate() {
            let Some(snapshot) = &slot.in_force else {
                continue;
            };
            if snapshot.revision < whole[at] {
                return false;
            }
            whole[at] = snapshot.revision;
            for part in snapshot.parts() {
                let known = seen[at].entry(part.head.team.clone()).or_default();
                if part.head.revision < *known {
                    return false;
                }
                *known = part.head.revision;
            }
        }
    }
    true
}

#[test]
fn a_change_is_in_force_everywhere_in_time() {
    let mut fleet = Fleet::settled(1, 40, 5);
    let revision = fleet
        .platform
        .publish("clara", "[service chat]\npriority = 2");
    let took = fleet.run_until(CHANGE_TIMEOUT, |fleet| fleet.in_force(revision));
    assert!(took.is_some());
}

/// Returns the ages of the oldest and the newest confirmation among all instances.
fn confirmed(fleet: &Fleet) -> (Millis, Millis) {
    let ages = fleet.alive().map(|slot| {
        let status = slot.node.sync_status(fleet.now);
        status.confirmed_age.expect("it was confirmed once")
    });
    let ages: Vec<Millis> = ages.collect();
    let (oldest, youngest) = (ages.iter().max(), ages.iter().min());
    (*oldest.expect("some live"), *youngest.expect("some live"))
}

/// The platform hangs, is down, or returns the state before the last change. Requests are still
/// served, so the only sign for the operator is the age of the last confirmation, which must grow
/// on every instance and fall when the fault ends. Counting a stale answer as a confirmation would
/// hide the fault.
#[test_case(PlatformState::Frozen; "frozen")]
#[test_case(PlatformState::Down; "down")]
#[test_case(PlatformState::Stale(0); "stale")]
fn an_outage_shows_by_the_age_of_the_confirmation(fault: PlatformState) {
    let mut fleet = Fleet::settled(3, 12, 5);
    let newest = fleet
        .platform
        .publish("clara", "[service chat]\npriority = 2");
    fleet.run(Millis::from_secs(10));
    let (oldest, _) = confirmed(&fleet);
    assert!(oldest < Millis::from_secs(5), "{oldest}");
    fleet.platform.state = fault;
    fleet.run(Millis::from_secs(30));
    let (_, youngest) = confirmed(&fleet);
    assert!(youngest >= Millis::from_secs(27), "{youngest}");
    fleet.platform.state = PlatformState::Up;
    fleet.run(Millis::from_secs(35));
    let (oldest, _) = confirmed(&fleet);
    assert!(oldest < Millis::from_secs(5), "{oldest}");
    for slot in fleet.alive() {
        let status = slot.node.sync_status(fleet.now);
        assert_eq!(status.newest_revision, newest);
        assert!(status.peers.iter().any(|peer| peer.revision == newest));
    }
}

/// The platform can't return one team's part. The other teams' changes must not wait for it, and it
/// must still be requested: once it can be read again, it must be put in force as well.
#[test]
fn an_unreadable_part_delays_no_other() {
    let mut fleet = Fleet::settled(9, 8, 3);
    fleet.platform.unreadable_team = Some("bad");
    fleet.platform.publish("bad", "x");
    let revision = fleet.platform.publish("two", "y");
    let took = fleet.run_until(CHANGE_TIMEOUT, |fleet| fleet.in_force(revision));
    assert!(took.is_some(), "the other team's change is held up");
    for slot in &fleet.slots {
        let snapshot = slot.in_force.as_ref().unwrap();
        assert!(snapshot.part("two").is_some());
        assert!(snapshot.part("bad").is_none());
    }
    fleet.platform.unreadable_team = None;
    let everywhere = |fleet: &Fleet| {
        let mut slots = fleet.slots.iter();
        slots.all(|slot| slot.in_force.as_ref().unwrap().part("bad").is_some())
    };
    let took = fleet.run_until(Millis::from_secs(90), everywhere);
    assert!(took.is_some(), "the part is never asked for again");
}

/// No part can be read, though the index can. A new instance that put the empty configuration in
/// force would reject every caller.
#[test]
fn a_new_instance_that_can_read_no_part_is_not_ready() {
    let mut fleet = Fleet::new(10);
    fleet.add(0, 0);
    fleet.list();
    fleet.platform.publish("bad", "x");
    fleet.platform.unreadable_team = Some("bad");
    fleet.run(Millis::from_secs(60));
    assert!(fleet.slots[0].in_force.is_none());
}

/// A tenth of all messages is lost while three teams change their parts and one removes its part.
#[test]
fn changes_arrive_in_time_despite_message_loss() {
    let mut fleet = Fleet::settled(2, 40, 5);
    fleet.faults = Faults {
        loss: 100,
        ..Faults::default()
    };
    fleet.platform.publish("one", "a");
    fleet.platform.publish("two", &"b".repeat(300_000));
    fleet.platform.publish("clara", "");
    let revision = fleet.platform.publish("three", "c");
    let took = fleet.run_until(CHANGE_TIMEOUT + CHANGE_TIMEOUT, |fleet| {
        fleet.in_force(revision)
    });
    assert!(took.is_some());
    for slot in &fleet.slots {
        let snapshot = slot.in_force.as_ref().unwrap();
        assert_eq!(snapshot.parts().count(), 3);
        assert_eq!(snapshot.part("two").unwrap().text.len(), 300_000);
    }
}

/// Twelve parts of 20 kB each, and a fifth of all messages lost, so that a third of all exchanges
/// fail: a fetch that restarted from nothing with each lost answer would hardly ever complete.
#[test]
fn a_fetch_resumes_where_the_last_one_ended() {
    let mut fleet = Fleet::settled(12, 8, 2);
    fleet.faults = Faults {
        loss: 200,
        ..Faults::default()
    };
    let mut revision = 0;
    for part in 0..12 {
        let text = part.to_string().repeat(20_000);
        revision = fleet.platform.publish(&format!("team-{part}"), &text);
    }
    let took = fleet.run_until(Millis::from_secs(40), |fleet| fleet.in_force(revision));
    assert!(took.is_some());
}

/// One team's part is larger than any instance accepts; the other team's change must still be put
/// in force.
#[test]
fn an_oversized_part_delays_no_other_team() {
    let mut fleet = Fleet::settled(13, 4, 2);
    fleet.platform.publish("clara", &"x".repeat(2 << 20));
    let revision = fleet.platform.publish("two", "b");
    fleet.run(CHANGE_TIMEOUT);
    assert!(fleet.in_force(revision));
    let snapshot = fleet.slots[0].in_force.as_ref().unwrap();
    assert_eq!(&*snapshot.part("clara").unwrap().text, "[service chat]");
    assert_eq!(&*snapshot.part("two").unwrap().text, "b");
    let reported = |f: &SpreadFinding| matches!(f, SpreadFinding::TooLarge(_));
    assert!((0..4).any(|at| reports(&fleet, at, reported)));
}

/// The platform goes back to revision 1 while the fleet is at revision 4, and new instances start.
/// A new instance that relied on the platform would process requests by a configuration that was
/// replaced.
#[test]
fn a_new_instance_follows_its_peers_when_the_platform_went_back() {
    let mut fleet = Fleet::settled(3, 8, 3);
    for text in ["x", "y", "z"] {
        fleet.platform.publish("clara", text);
    }
    fleet.run(CHANGE_TIMEOUT);
    fleet.platform.state = PlatformState::Stale(1);
    for at in [0, 3, 5] {
        fleet.add(at, at % 3);
    }
    fleet.list();
    assert!(run_checking_revisions(&mut fleet, Millis::from_secs(60)));
    assert!(fleet.in_force(4));
    for at in [0, 3, 5] {
        assert_eq!(fleet.slots[at].revisions, [4], "an older one was in force");
    }
    let reported = |f: &SpreadFinding| matches!(f, SpreadFinding::PlatformBehind { .. });
    assert!((0..8).any(|at| reports(&fleet, at, reported)));
}

#[test]
fn a_new_instance_starts_from_its_peers_while_the_platform_is_down() {
    let mut fleet = Fleet::settled(4, 8, 3);
    fleet.platform.state = PlatformState::Down;
    fleet.add(2, 2);
    fleet.list();
    let ready = fleet.run_until(Millis::from_secs(10), |fleet| fleet.in_force(1));
    assert!(ready.is_some());
}

/// All instances are replaced while the platform returns an old revision: what only the old
/// instances knew is lost. The new ones follow the platform, and advance once it has caught up.
#[test]
fn replacing_all_instances_while_the_platform_is_stale_loses_the_newer_revisions() {
    let mut fleet = Fleet::settled(5, 6, 3);
    let newest = fleet.platform.publish("clara", "new");
    fleet.run(CHANGE_TIMEOUT);
    fleet.platform.state = PlatformState::Stale(1);
    for at in 0..6 {
        fleet.add(at, at % 3);
    }
    fleet.list();
    fleet.run(Millis::from_secs(15));
    assert!(fleet.in_force(1));
    fleet.platform.state = PlatformState::Up;
    let took = fleet.run_until(Millis::from_secs(35), |fleet| fleet.in_force(newest));
    assert!(took.is_some());
}

/// An instance that reaches neither the platform nor a peer must not report itself ready.
#[test]
fn an_instance_without_any_source_is_not_ready() {
    let mut fleet = Fleet::settled(6, 3, 3);
    fleet.platform.state = PlatformState::Down;
    fleet.groups = vec![0, 0, 1];
    fleet.add(2, 2);
    fleet.list();
    fleet.run(Millis::from_secs(60));
    assert!(fleet.slots[2].in_force.is_none());
    fleet.groups = vec![0; 3];
    let ready = fleet.run_until(Millis::from_secs(20), |fleet| fleet.in_force(1));
    assert!(ready.is_some());
}

/// During a network partition either the smaller or the larger side reaches the platform; after it
/// all instances must have the highest revision.
#[test_case(&[0, 0, 0, 0, 0, 1, 1, 1])]
#[test_case(&[1, 1, 1, 0, 0, 0, 0, 0])]
fn a_split_delays_changes_but_undoes_none(groups: &[u8]) {
    let mut fleet = Fleet::settled(7, 8, 2);
    fleet.groups = groups.to_vec();
    fleet.platform.publish("clara", "during the split");
    assert!(run_checking_revisions(&mut fleet, Millis::from_secs(60)));
    let revision = fleet.platform.publish("clara", "at its end");
    fleet.groups = vec![0; 8];
    assert!(run_checking_revisions(&mut fleet, Millis::from_secs(40)));
    assert!(fleet.in_force(revision));
}

/// A watch that returns at once without news, because the platform or a proxy doesn't wait, must
/// not use up the read budget that all instances share.
#[test]
fn a_watch_that_returns_at_once_is_not_repeated_in_a_loop() {
    let mut fleet = Fleet::settled(8, 8, 2);
    fleet.platform.state = PlatformState::ReturnsAtOnce;
    fleet.run(Millis::from_secs(60));
    fleet.platform.calls = 0;
    fleet.run(Millis::from_secs(60));
    let calls = fleet.platform.calls;
    // Four watchers at their maximum backoff, and four other instances at the read interval.
    let allowed = 4 * 4 + 4 * (60 / 3);
    assert!(calls <= allowed, "{calls} calls a minute from 8 instances");
}

#[test]
fn a_platform_that_is_down_is_read_seldom() {
    let mut fleet = Fleet::settled(9, 8, 2);
    fleet.platform.state = PlatformState::Down;
    fleet.run(Millis::from_secs(120));
    fleet.platform.calls = 0;
    fleet.run(Millis::from_secs(60));
    let calls = fleet.platform.calls;
    // Four watchers at their maximum backoff, and four other instances at the read interval.
    let allowed = 4 * 4 + 4 * (60 / 3);
    assert!(calls <= allowed, "{calls} calls a minute from 8 instances");
}

/// A change every half second, and a platform that fails now and then. The budget is shared with
/// readers unknown to these instances: however much there is to read, no instance may exceed its
/// own share in any period, nor all of them theirs.
#[test]
fn the_read_budget_is_never_exceeded() {
    let mut fleet = Fleet::new(15);
    fleet.settings = NodeSettings {
        spread: SpreadSettings {
            watch_rate: 2.0,
            read_rate: 1.0,
            instance_rate: 2.0,
            ..SpreadSettings::default()
        },
        ..NodeSettings::default()
    };
    for number in 0..8 {
        fleet.add(number, number % 2);
    }
    fleet.list();
    fleet.run(Millis::from_secs(30));
    fleet.platform.log.clear();
    for step in 0..240 {
        fleet.platform.state = match step % 40 {
            0..30 => PlatformState::Up,
            30..35 => PlatformState::ReturnsAtOnce,
            _ => PlatformState::Down,
        };
        fleet.platform.publish("clara", &step.to_string());
        fleet.run(Millis(500));
    }
    for number in 0..8 {
        assert_rate(&calls_of(&fleet, Some(number)), 2, 2);
    }
    assert_rate(&calls_of(&fleet, None), 8 * 2, 3);
}

/// Returns the times of the platform calls of one node, or of all.
fn calls_of(fleet: &Fleet, caller: Option<usize>) -> Vec<Millis> {
    let calls = fleet.platform.log.iter();
    let calls = calls.filter(|call| caller.is_none_or(|caller| call.caller == caller));
    calls.map(|call| call.at).collect()
}

/// Asserts that no period contains more calls than the burst and the rate per second allow.
fn assert_rate(calls: &[Millis], burst: u64, rate: u64) {
    assert!(!calls.is_empty());
    for (first, from) in calls.iter().enumerate() {
        for (count, to) in (1_u64..).zip(&calls[first..]) {
            let span = to.since(*from);
            let allowed = burst + rate * span.0 / 1000;
            assert!(count <= allowed, "{count} calls in {span}");
        }
    }
}

/// The platform accepts calls and never answers for two minutes, without an error. Waiting forever
/// for a watch would leave the instance at an old configuration; each call must be given up, and
/// the change must be in force once the platform answers again.
#[test]
fn calls_of_a_frozen_platform_are_given_up() {
    let mut fleet = Fleet::settled(16, 8, 2);
    fleet.platform.state = PlatformState::Frozen;
    let revision = fleet.platform.publish("clara", "new");
    fleet.platform.log.clear();
    fleet.run(Millis::from_secs(120));
    assert!(fleet.in_force(1), "what was in force stays");
    let calls = fleet.platform.log.len();
    // Each call is given up after ten seconds, followed by backoffs of 1, 2, 4, 8 and 16 s: at most
    // six calls per instance.
    assert!((4..=8 * 6).contains(&calls), "{calls} calls in two minutes");
    let reported = |f: &SpreadFinding| *f == SpreadFinding::PlatformDown;
    assert!((0..8).any(|at| reports(&fleet, at, reported)));
    fleet.platform.state = PlatformState::Up;
    let took = fleet.run_until(Millis::from_secs(75), |fleet| fleet.in_force(revision));
    assert!(took.is_some());
}

/// A 429 with `Retry-After: 50`, longer than any backoff of the instance: an earlier call would be
/// rejected again and count against the budget of the other readers.
#[test]
fn retry_after_is_honoured() {
    let wait = Millis::from_secs(50);
    let mut fleet = Fleet::settled(17, 1, 1);
    let throttled = throttled_once(&mut fleet, wait);
    fleet.run(Millis::from_secs(60));
    let next = next_call(&fleet, throttled).expect("a call");
    assert!(next.since(throttled) >= wait, "called again at {next}");
}

/// A mistaken `Retry-After` of a year. Without a limit, the instance would not read the
/// configuration again until it is restarted; with it, the next call follows after a minute.
#[test]
fn an_absurd_retry_after_is_bounded() {
    let mut fleet = Fleet::settled(18, 1, 1);
    let throttled = throttled_once(&mut fleet, Millis::from_secs(365 * 24 * 3600));
    let revision = fleet.platform.publish("clara", "new");
    fleet.run(Millis::from_secs(59));
    assert_eq!(next_call(&fleet, throttled), None);
    fleet.run(Millis::from_secs(4));
    assert!(fleet.in_force(revision));
}

/// Makes the platform reject the pending watch, and returns when.
fn throttled_once(fleet: &mut Fleet, wait: Millis) -> Millis {
    let throttled = fleet.now;
    fleet.platform.state = PlatformState::Throttled(wait);
    fleet.run(Millis(50));
    fleet.platform.state = PlatformState::Up;
    fleet.platform.log.clear();
    throttled
}

fn next_call(fleet: &Fleet, after: Millis) -> Option<Millis> {
    let mut calls = fleet.platform.log.iter();
    calls.find(|call| call.at > after).map(|call| call.at)
}

/// Two platforms return different texts for one revision. Each instance must keep the one it has in
/// force and report the conflict; the next revision resolves it.
#[test]
fn two_texts_of_one_revision_are_reported_and_not_swapped() {
    let mut fleet = Fleet::settled(10, 6, 2);
    fleet.groups = vec![0, 0, 0, 1, 1, 1];
    fleet.run(Millis::from_secs(40));
    fleet.platform.publish("clara", "left");
    for at in 3..6 {
        fleet.pause(at, Millis::from_secs(10));
    }
    fleet.run(Millis::from_secs(9));
    fleet.platform.rewrite("clara", "right");
    fleet.run(Millis::from_secs(10));
    fleet.groups = vec![0; 6];
    fleet.run(Millis::from_secs(90));
    let reported = |f: &SpreadFinding| matches!(f, SpreadFinding::Conflict(_));
    assert!((0..6).any(|at| reports(&fleet, at, reported)));
    for (at, slot) in fleet.slots.iter().enumerate() {
        let text = &slot.in_force.as_ref().unwrap().part("clara").unwrap().text;
        assert_eq!(&**text, if at < 3 { "left" } else { "right" });
    }
    let revision = fleet.platform.publish("clara", "settled");
    fleet.run(Millis::from_secs(40));
    assert!(fleet.in_force(revision));
}

/// A part is read from a replica of the platform that lags behind the one that returned the index:
/// its old text must not be put in force under the new revision.
#[test]
fn an_old_text_under_a_new_index_is_refused() {
    use crocushold_peers::Index;
    use crocushold_peers::IndexEntry;
    use crocushold_peers::PartText;
    use crocushold_peers::PlatformRead;
    let mut fleet = Fleet::settled(11, 1, 1);
    let team: Arc<str> = Arc::from("clara");
    let index = Index {
        revision: 9,
        parts: vec![IndexEntry {
            team: team.clone(),
            revision: 9,
        }],
    };
    fleet.platform.state = PlatformState::Down;
    fleet.feed_event(0, Event::PlatformRead(PlatformRead::Index(Ok(index))));
    let old = PartText {
        team: team.clone(),
        revision: 1,
        text: Arc::from("old"),
    };
    fleet.feed_event(0, Event::PlatformRead(PlatformRead::Part(team, Ok(old))));
    fleet.run(Millis::from_secs(5));
    assert!(fleet.in_force(1));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(16))]

    /// Messages are lost, delayed, duplicated and reordered, the platform changes, goes back and
    /// fails, instances are paused and cut off. No instance may ever return to an earlier revision,
    /// and once the faults end, all must have the highest one.
    #[test]
    fn no_revision_decreases_and_all_instances_catch_up(
        seed in any::<u64>(),
        loss in 0_u32..300,
        duplicate in 0_u32..300,
        max_delay in 1_u64..1200,
        steps in proptest::collection::vec((0_u8..6, 0_usize..7, 0_u64..6000), 1..12),
    ) {
        let mut fleet = Fleet::settled(seed, 7, 3);
        fleet.faults = Faults { loss, duplicate, min_delay: 1, max_delay };
        for (step, at, span) in steps {
            match step {
                0 | 1 => {
                    fleet.platform.state = PlatformState::Up;
                    fleet.platform.publish(["clara", "two"][at % 2], &format!("text {span}"));
                }
                2 => fleet.platform.state = PlatformState::Down,
                3 => fleet.platform.state = PlatformState::Stale(1),
                4 => fleet.pause(at, Millis(span * 2)),
                _ => fleet.groups[at] ^= 1,
            }
            prop_assert!(run_checking_revisions(&mut fleet, Millis(span)));
        }
        fleet.faults = Faults::default();
        fleet.groups = vec![0; 7];
        fleet.platform.state = PlatformState::Up;
        let revision = fleet.platform.publish("clara", "last");
        prop_assert!(run_checking_revisions(&mut fleet, Millis::from_secs(60)));
        prop_assert!(fleet.in_force(revision));
    }

    /// A difference applied to the old text must yield the new one, whatever the texts.
    #[test]
    fn differences_restore_the_text(old in ".{0,40}", new in ".{0,40}") {
        let delta = Delta::between(&old, &new);
        prop_assert_eq!(delta.apply(&old), Some(new));
    }
}
