//! Tests of listings, page by page.

use super::*;

fn page(end: Option<&str>, entries: Vec<Entry>) -> Page {
    Page {
        next: end.map(str::to_owned),
        entries,
        ..Page::default()
    }
}

fn malformed(id: &str) -> Entry {
    Entry::Malformed {
        name: format!("servers/{id}"),
        server: Some(id.to_owned()),
        finding: "no zone".to_owned(),
    }
}

/// Guards against a listing that goes round in a circle of several pages.
#[test]
fn a_page_that_ends_where_an_earlier_one_has_ended_is_an_error() {
    let mut listing = Listing::default();
    for end in ["a", "b", "c"] {
        let added = listing.add(page(Some(end), Vec::new()), |_| false);
        assert_eq!(added, Ok(Some(end.to_owned())));
    }
    let added = listing.add(page(Some("a"), Vec::new()), |_| false);
    assert_eq!(added, Err(SourceError::NoProgress));
}

/// Guards against memory that grows with the entries of another writer.
#[test]
fn malformed_entries_are_held_only_for_known_servers() {
    let mut listing = Listing::default();
    let entries = vec![malformed("known"), malformed("a#1"), malformed("a#2")];
    let added = listing.add(page(None, entries), |id| id == "known");
    assert_eq!(added, Ok(None));
    assert_eq!(listing.entries.len(), 1);
}

/// Guards against a listing that holds all that a store without end sends.
#[test]
fn a_listing_that_holds_too_many_entries_is_an_error() {
    let mut listing = Listing::default();
    let zones = (0..=MAX_HELD).map(|number| Entry::Evacuation(number.to_string()));
    let added = listing.add(page(Some("z"), zones.collect()), |_| false);
    assert_eq!(added, Err(SourceError::TooLarge));
}
