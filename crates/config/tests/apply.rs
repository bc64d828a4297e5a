//! Tests of keys across revisions of the text, and of explanations.

// Test helpers may unwrap, like the tests themselves.
#![allow(clippy::unwrap_used)]

use crocushold_config::Catalog;
use crocushold_config::Changes;
use crocushold_config::ClassReason;
use crocushold_config::ConfigText;
use crocushold_config::Credential;
use crocushold_config::Priority;
use crocushold_config::Target;
use crocushold_config::explain;

const BOOKING: &str = include_str!("data/booking.ini");

fn change(from: &str, to: &str) -> (Catalog, Catalog, Changes) {
    let mut text = ConfigText::parse(BOOKING);
    let before = Catalog::new(&text);
    let mut after = before.clone();
    assert!(BOOKING.contains(from));
    text.set_part("clara", &BOOKING.replace(from, to));
    let changes = after.apply(&text);
    (before, after, changes)
}

#[test]
fn same_text_changes_nothing() {
    let text = ConfigText::parse(BOOKING);
    let mut catalog = Catalog::new(&text);
    assert!(catalog.apply(&text).is_empty());
}

#[test]
fn changed_class_keeps_its_key() {
    let (before, after, changes) = change("priority = 3", "priority = 4");
    let key = before.class("clara/drafts").unwrap();
    assert_eq!(changes.classes.changed, [key]);
    assert!(changes.services.is_empty() && changes.accounts.is_empty());
    assert_eq!(after.classes[key].priority, Priority::new(4).unwrap());
}

// A server is replaced by one with the same name. A late answer or load report of the old server
// must not be attributed to the new one.
#[test]
fn server_with_a_new_address_gets_a_new_key() {
    let (before, after, changes) = change("10.1.0.11:8000", "10.1.0.99:8000");
    let name = "clara/model-fleet/runner-1";
    let old = before.server(name).unwrap();
    let new = after.server(name).unwrap();
    assert_eq!(changes.servers.removed, [old]);
    assert_eq!(changes.servers.added, [new]);
    assert!(after.servers.get(old).is_none());
    let fleet = after.service("clara/model-fleet").unwrap();
    assert!(after.services[fleet].servers.contains(&new));
    assert_eq!(changes.services.changed, [fleet]);
}

#[test]
fn removed_account_is_found_by_neither_key_nor_digest() {
    let (before, after, changes) = change("[account prep-sheets]", "[account sheets]");
    let old = before.account("clara/prep-sheets").unwrap();
    assert_eq!(changes.accounts.removed, [old]);
    assert!(after.accounts.get(old).is_none());
    let holder = after.account_of(&Credential::of("clara.example-sheets-key"));
    assert_eq!(holder, after.account("clara/sheets"));
}

#[test]
fn removed_part_leaves_nothing() {
    let mut text = ConfigText::parse(BOOKING);
    let mut catalog = Catalog::new(&text);
    text.remove_part("clara");
    let changes = catalog.apply(&text);
    assert_eq!(changes.services.removed.len(), 2);
    assert!(catalog.accounts.is_empty() && catalog.servers.is_empty());
    assert_eq!(
        catalog.account_of(&Credential::of("clara.example-sheets-key")),
        None
    );
}

#[test]
fn explanation_states_the_reason() {
    let catalog = Catalog::new(&ConfigText::parse(BOOKING));
    let credential = Credential::of("clara.example-parents-key");
    let explain_request =
        |target, requested| explain(&catalog, &credential, target, requested).unwrap();
    let model = Target::Model("clara-8b");
    let chat = explain_request(model, None);
    assert_eq!(
        (chat.class.as_str(), chat.reason),
        ("clara/chat", ClassReason::Default)
    );
    assert_eq!(chat.servers.len(), 4);
    assert_eq!(chat.servers[3].concurrency, 8);
    assert!(!chat.servers[3].checks_orders);
    assert_eq!(
        explain_request(model, Some("drafts")).reason,
        ClassReason::Requested
    );
    let confirm = Target::Path {
        method: "POST",
        path: "/booking/confirmations",
    };
    assert_eq!(
        explain_request(confirm, None).reason,
        ClassReason::BoundCall
    );
    let lines = explain_request(confirm, None).to_string();
    assert!(lines.contains("idempotent: no, 0 retries"), "{lines}");
}
