//! Reading, watching, and one team's part that can't be read.

use crocushold_base::Millis;
use crocushold_platform::Call;
use crocushold_platform::Failure;
use crocushold_platform::Report;
use test_case::test_case;

use crate::driver::reader;
use crate::driver::secs;
use crate::fake::Mode;
use crate::fake::Platform;

/// From a change to its being in force everywhere.
const IN_FORCE: Millis = Millis::from_secs(5);

#[test]
fn all_parts_are_read_and_published_together() {
    let mut driver = reader(Platform::with_teams(&["clara", "moravia", "office"]));
    driver.run(secs(1));
    let snapshots = driver.snapshots();
    assert_eq!(snapshots.len(), 1);
    let texts: Vec<&str> = snapshots[0].parts.iter().map(|p| &*p.text).collect();
    assert_eq!(texts, ["clara at 11", "moravia at 12", "office at 13"]);
    assert!(driver.machine.confirmed_at().is_some());
}

#[test]
fn a_change_reads_only_its_part() {
    let mut driver = reader(Platform::with_teams(&["clara", "moravia"]));
    driver.run(secs(10));
    let before = driver.now;
    let revision = driver.platform.change("clara");
    driver.run(secs(1));
    assert_eq!(driver.in_force(), revision);
    let reads = driver.started.iter().filter(|s| s.at >= before);
    let parts = reads.filter(|s| matches!(s.call, Call::Part { .. }));
    assert_eq!(parts.count(), 1);
}

#[test]
fn a_removed_team_leaves_the_snapshot() {
    let mut driver = reader(Platform::with_teams(&["clara", "moravia"]));
    driver.run(secs(2));
    driver.platform.parts.remove("clara");
    driver.platform.revision += 1;
    driver.run(secs(2));
    let last = driver
        .snapshots()
        .last()
        .copied()
        .expect("published")
        .clone();
    assert_eq!(last.parts.len(), 1);
    assert_eq!(last.revision, driver.platform.revision);
}

/// A firewall forgets the connection of the waiting watch: nothing arrives on it any more, and no
/// error either. A change made then must still be in force within five seconds.
#[test]
fn a_lost_watch_does_not_delay_a_change() {
    let mut driver = reader(Platform::with_teams(&["clara"]));
    driver.platform.mode = Mode::LosesWatches;
    for _ in 0..20 {
        driver.run(Millis(1_777));
        let changed = driver.now;
        let revision = driver.platform.change("clara");
        driver.run(secs(8));
        let at = driver.in_force_at(revision).expect("in force");
        assert!(at.since(changed) <= IN_FORCE, "took {}", at.since(changed));
    }
}

/// A hundred changes in a minute, several teams at once: each is in force within five seconds, though
/// the reader stays inside its own budget of three calls a second.
#[test]
fn a_storm_of_changes_is_followed() {
    let teams = ["a", "b", "c", "d", "e"];
    let mut driver = reader(Platform::with_teams(&teams));
    driver.run(secs(30));
    for change in 0..100 {
        let changed = driver.now;
        let revision = driver.platform.change(teams[change % teams.len()]);
        driver.run(Millis(600));
        let pending = driver.in_force_at(revision).is_none();
        assert!(!pending || driver.now.since(changed) <= IN_FORCE);
    }
    driver.run(IN_FORCE);
    assert_eq!(driver.in_force(), driver.platform.revision);
}

/// One team's part can't be read for good. The other teams' changes must take effect regardless, the
/// team's earlier text stays in force, and its part is picked up once it can be read.
#[test_case(Failure::Status(500); "server error")]
#[test_case(Failure::Status(404); "not found")]
#[test_case(Failure::Timeout; "timeout")]
#[test_case(Failure::Malformed("not UTF-8".into()); "malformed")]
fn an_unreadable_part_does_not_hold_up_the_others(failure: Failure) {
    let mut driver = reader(Platform::with_teams(&["clara", "moravia"]));
    driver.run(secs(2));
    driver.platform.change("clara");
    let broken = driver.platform.parts.get_mut("clara").expect("present");
    let text = std::mem::replace(&mut broken.text, Err(failure));
    let changed = driver.now;
    let revision = driver.platform.change("moravia");
    driver.run(secs(8));
    let at = driver
        .in_force_at(revision)
        .expect("moravia's change is in force");
    assert!(at.since(changed) <= IN_FORCE, "took {}", at.since(changed));
    let snapshot = driver
        .snapshots()
        .last()
        .copied()
        .expect("published")
        .clone();
    assert_eq!(snapshot.lagging, ["clara"]);
    assert_eq!(&*snapshot.parts[0].text, "clara at 11");
    let told = driver.reports();
    let told = told
        .iter()
        .filter(|r| matches!(r, Report::PartUnread { .. }));
    assert_eq!(told.count(), 1, "told once");
    driver
        .platform
        .parts
        .get_mut("clara")
        .expect("present")
        .text = text;
    driver.run(secs(8));
    let snapshot = driver
        .snapshots()
        .last()
        .copied()
        .expect("published")
        .clone();
    assert!(snapshot.lagging.is_empty());
    assert_eq!(&*snapshot.parts[0].text, "clara at 13");
}

/// A part longer than a megabyte would cost a megabyte at each try, for a text that is refused.
#[test]
fn a_part_over_its_limit_is_not_read() {
    let mut platform = Platform::with_teams(&["clara", "moravia"]);
    platform.parts.get_mut("clara").expect("present").bytes = (1 << 20) + 1;
    let mut driver = reader(platform);
    driver.run(secs(20));
    let call = Call::Part {
        team: "clara".into(),
    };
    assert!(!driver.started.iter().any(|s| s.call == call));
    let snapshot = driver
        .snapshots()
        .last()
        .copied()
        .expect("published")
        .clone();
    assert_eq!(snapshot.lagging, ["clara"]);
    assert_eq!(snapshot.parts.len(), 1);
    driver.platform.change("clara");
    driver.run(secs(5));
    assert_eq!(driver.snapshots().last().expect("published").parts.len(), 2);
}
