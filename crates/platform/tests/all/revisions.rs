//! Which revisions are believed.

use std::sync::Arc;

use crocushold_base::Millis;
use crocushold_platform::Call;
use crocushold_platform::Event;
use crocushold_platform::Part;
use crocushold_platform::Report;
use crocushold_platform::Snapshot;

use crate::driver::Driver;
use crate::driver::reader;
use crate::driver::secs;
use crate::fake::Mode;
use crate::fake::Platform;

fn running() -> Driver<crocushold_platform::ConfigReader> {
    let mut driver = reader(Platform::with_teams(&["clara", "moravia"]));
    driver.run(secs(5));
    driver
}

fn snapshot(revision: u64) -> Arc<Snapshot> {
    let part = Part {
        team: "clara".into(),
        revision,
        text: format!("clara at {revision}").into(),
    };
    Arc::new(Snapshot {
        revision,
        parts: vec![part],
        lagging: Vec::new(),
    })
}

/// After a change is in force the service answers from a stale replica. Applying that would revert
/// the change; it is reported, once, and the newer configuration stays.
#[test]
fn an_older_revision_is_reported_and_not_applied() {
    let mut driver = running();
    let old = driver.platform.index();
    let revision = driver.platform.change("clara");
    driver.run(secs(5));
    assert_eq!(driver.in_force(), revision);
    driver.platform.stale = Some(old.clone());
    driver.run(secs(60));
    assert_eq!(driver.in_force(), revision);
    let older = Report::OlderRevision {
        offered: old.revision,
        held: revision,
    };
    let reports = driver.reports();
    assert_eq!(reports.iter().filter(|r| ***r == older).count(), 1);
    driver.platform.stale = None;
    let newer = driver.platform.change("moravia");
    driver.run(secs(6));
    assert_eq!(driver.in_force(), newer);
}

/// Two replicas disagree on what a revision holds. Whichever came first stays: instances that flip
/// between the two would never agree.
#[test]
fn another_text_under_the_same_revision_is_not_applied() {
    let mut driver = running();
    let mut other = driver.platform.index();
    other.parts.remove(0);
    let revision = other.revision;
    driver.platform.stale = Some(other);
    driver.run(secs(10));
    assert_eq!(driver.snapshots().len(), 1);
    let differs = Report::SameRevisionDiffers { revision };
    assert!(driver.reports().contains(&&differs));
}

/// A part changes between the reads of the index and of the part, so that the part in hand is newer
/// than the index. Publishing the mixture would show a state that never existed.
#[test]
fn a_part_newer_than_the_index_waits_for_the_index() {
    let mut driver = running();
    let old = driver.platform.index();
    driver.platform.change("clara");
    let mut between = driver.platform.index();
    driver.platform.change("moravia");
    let newest = driver.platform.change("clara");
    between.parts[1].revision = old.parts[1].revision;
    driver.platform.stale = Some(between);
    driver.run(secs(5));
    assert_eq!(driver.in_force(), old.revision, "nothing new is published");
    driver.platform.stale = None;
    driver.run(secs(10));
    assert_eq!(driver.in_force(), newest);
    let published = driver.snapshots();
    let last = published.last().expect("published");
    assert_eq!(&*last.parts[1].text, "moravia at 14");
}

/// A newer index lists one part with an older revision than is held: the service lost that change.
/// What was accepted stays in force.
#[test]
fn a_part_that_went_back_keeps_its_newer_text() {
    let mut driver = running();
    let part = driver.platform.parts["clara"].clone();
    driver.platform.change("clara");
    driver.run(secs(3));
    driver.platform.parts.insert("clara".into(), part);
    driver.platform.change("moravia");
    driver.run(secs(5));
    let published = driver.snapshots();
    let last = published.last().expect("published");
    assert_eq!(&*last.parts[0].text, "clara at 13");
    assert_eq!(&*last.parts[1].text, "moravia at 14");
}

/// The index is new, but the part comes from a stale replica. Publishing the old text under the new
/// revision would make the change look in force for good: the part would never be read again.
#[test]
fn a_part_older_than_the_index_is_read_again() {
    let mut driver = running();
    let old = driver.platform.parts["clara"].clone();
    let expected = driver.platform.change("clara");
    driver
        .platform
        .stale_parts
        .insert("clara".into(), old.clone());
    driver.run(secs(8));
    let team = String::from("clara");
    let offered = old.revision;
    let older = Report::PartOlder {
        team,
        offered,
        expected,
    };
    assert_eq!(driver.reports(), [&older]);
    assert_eq!(
        driver.snapshots().last().expect("published").lagging,
        ["clara"]
    );
    driver.platform.stale_parts.clear();
    driver.run(secs(5));
    let published = driver.snapshots();
    let last = published.last().expect("published");
    assert_eq!(&*last.parts[0].text, "clara at 13");
    assert!(last.lagging.is_empty());
}

/// A peer says that a newer revision exists, just as this instance has started a watch that will
/// hang. Without the hint the watch's deadline would have to pass first.
#[test]
fn a_hint_reads_at_once() {
    let mut driver = running();
    driver.platform.mode = Mode::LosesWatches;
    let from = driver.now;
    while !driver
        .waiting
        .iter()
        .any(|w| is_watch_since(&w.call, w.at, from))
    {
        driver.run(Millis(10));
    }
    let revision = driver.platform.change("clara");
    let hinted = driver.now;
    driver.feed(Event::Hint { revision });
    driver.run(secs(2));
    let at = driver.in_force_at(revision).expect("in force");
    assert!(
        at.since(hinted) <= Millis(1_020),
        "took {}",
        at.since(hinted)
    );
}

fn is_watch_since(call: &Call, at: Millis, from: Millis) -> bool {
    matches!(call, Call::Watch { .. }) && at > from
}

/// A peer keeps naming a revision that doesn't exist. The reads this causes are bounded.
#[test]
fn false_hints_cost_one_read_a_second() {
    let mut driver = running();
    let from = driver.now;
    for _ in 0..100 {
        driver.feed(Event::Hint { revision: 999 });
        driver.run(Millis(100));
    }
    let calls = driver.calls_since(from);
    assert!(calls <= 11, "{calls} calls in 10 s");
}

/// The service is down and a peer hands over a newer configuration. It counts as held: an older
/// answer of the service is refused afterwards, and an equal one isn't published again.
#[test]
fn an_adopted_configuration_is_not_reverted() {
    let mut driver = running();
    let before = driver.snapshots().len();
    driver.feed(Event::Adopted(snapshot(40)));
    driver.run(secs(10));
    assert_eq!(
        driver.snapshots().len(),
        before,
        "the service's older text is refused"
    );
    assert_eq!(driver.machine.newest_revision(), 40);
    driver.feed(Event::Adopted(snapshot(30)));
    assert_eq!(driver.machine.applied().expect("adopted").revision, 40);
    driver.platform.revision = 40;
    driver.run(secs(10));
    let published = driver.snapshots();
    let last = published.last().expect("published");
    assert_eq!(last.revision, 40);
    assert_eq!(
        last.parts.len(),
        2,
        "the service's index names a part that the peer lacked"
    );
}
