//! Tests of merging parts.

use std::sync::Arc;

use super::Part;
use super::Snapshot;

fn snapshot(revision: u64, text: &str) -> Snapshot {
    let mut snapshot = Snapshot::default();
    let team = Arc::from("clara");
    snapshot.merge(vec![Part::new(&team, revision, text)], revision);
    snapshot
}

fn text(snapshot: &Snapshot) -> &str {
    let part = snapshot.part("clara");
    part.map_or("", |part| &*part.text)
}

#[test]
fn an_older_part_changes_nothing() {
    let mut held = snapshot(5, "new");
    let older = Part::new(&Arc::from("clara"), 4, "old");
    assert!(held.merge(vec![older], 4).is_empty());
    assert_eq!((held.revision, text(&held)), (5, "new"));
}

#[test]
fn another_text_of_the_same_revision_is_a_conflict_and_changes_nothing() {
    let mut held = snapshot(5, "one");
    let other = Part::new(&Arc::from("clara"), 5, "two");
    assert_eq!(held.merge(vec![other], 5).len(), 1);
    assert_eq!(text(&held), "one");
}

#[test]
fn a_removal_stands_against_the_part_that_it_removed() {
    let team = Arc::from("clara");
    let mut held = snapshot(5, "text");
    held.merge(vec![Part::removed(&team, 6)], 6);
    held.merge(vec![Part::new(&team, 5, "text")], 5);
    assert_eq!(held.parts().count(), 0);
    held.merge(vec![Part::new(&team, 7, "again")], 7);
    assert_eq!(text(&held), "again");
}
