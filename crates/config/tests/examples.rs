//! Tests that the examples parse without findings and behave as their comments say.

// Test helpers may unwrap, like the tests themselves.
#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::PathBuf;

use crocushold_config::Catalog;
use crocushold_config::ConfigText;
use crocushold_config::Credential;
use crocushold_config::Refusal;
use crocushold_config::Resolved;
use crocushold_config::Settings;
use crocushold_config::Target;
use crocushold_config::resolve;
use test_case::test_case;

fn file(name: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(root.join(name)).unwrap()
}

fn catalog(name: &str) -> Catalog {
    Catalog::new(&ConfigText::parse(&file(name)))
}

#[test_case("tests/data/booking.ini")]
#[test_case("tests/data/receipts.ini")]
fn example_has_no_findings(name: &str) {
    assert_eq!(ConfigText::parse(&file(name)).findings(), []);
}

/// The reference page contains exactly the tested files, and valid settings.
#[test]
fn reference_page_shows_the_tested_examples() {
    let page = file("../../docs/configuration.md");
    let blocks: Vec<&str> = page.split("```ini\n").skip(1).collect();
    let blocks: Vec<&str> = blocks
        .iter()
        .map(|b| b.split("```").next().unwrap())
        .collect();
    let booking = file("tests/data/booking.ini");
    let receipts = file("tests/data/receipts.ini");
    assert_eq!(blocks.iter().filter(|block| **block == booking).count(), 1);
    assert_eq!(blocks.iter().filter(|block| **block == receipts).count(), 1);
    let settings = blocks
        .iter()
        .find(|block| block.contains("[instance]"))
        .unwrap();
    Settings::parse(settings).unwrap();
}

const PARENTS: &str = "clara.example-parents-key";
const SHEETS: &str = "clara.example-sheets-key";
const CONFIRM: Target<'_> = Target::Path {
    method: "POST",
    path: "/booking/confirmations",
};

fn resolve_example(
    key: &str,
    target: Target<'_>,
    requested: Option<&str>,
) -> Result<(String, Resolved), Refusal> {
    let catalog = catalog("tests/data/booking.ini");
    let resolved = resolve(&catalog, &Credential::of(key), target, requested)?;
    Ok((catalog.classes[resolved.class].name.clone(), resolved))
}

#[test_case(PARENTS, Target::Model("clara-8b"), None, "clara/chat"; "default class")]
#[test_case(PARENTS, Target::Model("clara-70b"), Some("drafts"), "clara/drafts"; "lowered")]
#[test_case(PARENTS, Target::Model("clara-70b"), Some("clara/drafts"), "clara/drafts"; "full name")]
#[test_case(SHEETS, Target::Model("clara-8b"), None, "clara/nightly"; "other account")]
#[test_case(PARENTS, CONFIRM, None, "clara/booking-confirm"; "bound call")]
#[test_case(PARENTS, Target::Path { method: "POST", path: "/booking//confirmations/" }, None,
            "clara/booking-confirm"; "doubled slash")]
#[test_case(PARENTS, Target::Path { method: "POST", path: "/booking/%63onfirmations" }, None,
            "clara/booking-confirm"; "escaped")]
#[test_case(PARENTS, Target::Path { method: "POST", path: "/booking/./confirmations" }, None,
            "clara/booking-confirm"; "dot segment")]
#[test_case(PARENTS, Target::Path { method: "POST", path: "/booking/a/%2e./confirmations" }, None,
            "clara/booking-confirm"; "escaped dot segments")]
#[test_case(PARENTS, Target::Path { method: "GET", path: "/booking/slots/7" }, None,
            "clara/slot-lookup"; "wildcard call")]
fn request_is_in_class(key: &str, target: Target<'_>, requested: Option<&str>, class: &str) {
    assert_eq!(resolve_example(key, target, requested).unwrap().0, class);
}

#[test_case(
    "clara.no-such-key",
    Target::Model("clara-8b"),
    None,
    Refusal::UnknownKey
)]
#[test_case(PARENTS, Target::Model("gpt"), None, Refusal::UnknownModel)]
#[test_case(SHEETS, CONFIRM, None, Refusal::UnknownPath)]
#[test_case(PARENTS, Target::Path { method: "GET", path: "/bookings" }, None, Refusal::UnknownPath)]
#[test_case(SHEETS, Target::Model("clara-8b"), Some("chat"), Refusal::UnknownClass)]
fn request_is_refused(key: &str, target: Target<'_>, requested: Option<&str>, refusal: Refusal) {
    assert_eq!(
        resolve_example(key, target, requested).unwrap_err(),
        refusal
    );
}

// A confirmation is sent with the header of a class of lookups. If the header determined whether
// the call may be repeated, a retry after a timeout would book the slot twice.
#[test_case(CONFIRM, Some("slot-lookup"); "lowered to an idempotent class")]
#[test_case(Target::Path { method: "POST", path: "/booking//confirmations/" }, None; "doubled slash")]
#[test_case(Target::Path { method: "POST", path: "/booking/%63onfirmations" }, None; "escaped")]
#[test_case(Target::Path { method: "POST", path: "/booking/a/../confirmations" }, None; "dot segments")]
#[test_case(Target::Path { method: "POST", path: "/booking/other" }, None; "bound to no class")]
fn call_with_an_effect_is_never_repeated(target: Target<'_>, requested: Option<&str>) {
    let (_, resolved) = resolve_example(PARENTS, target, requested).unwrap();
    assert!(!resolved.idempotent);
    assert_eq!(resolved.retries, 0);
}

#[test]
fn cooperatives_use_shared_classes_and_their_own() {
    let catalog = catalog("tests/data/receipts.ini");
    let class = |key, requested| {
        let credential = Credential::of(key);
        let target = Target::Model("ctecka-7b");
        let resolved = resolve(&catalog, &credential, target, requested);
        resolved.map(|r| catalog.classes[r.class].name.clone())
    };
    let app = "jih.example-app-key";
    assert_eq!(class(app, None).unwrap(), "platforma/counter");
    assert_eq!(class(app, Some("harvest")).unwrap(), "jih/harvest");
    let other = "sever.example-app-key";
    assert_eq!(class(other, Some("harvest")), Err(Refusal::UnknownClass));
    assert_eq!(class(other, Some("portal")), Err(Refusal::UnknownClass));
}

// An account whose first class is drafts requests chat by header. If it were accepted, it would
// take precedence over accounts whose own default is chat.
#[test]
fn caller_cannot_raise_its_class() {
    let text =
        file("tests/data/booking.ini").replace("classes = chat, drafts", "classes = drafts, chat");
    let catalog = Catalog::new(&ConfigText::parse(&text));
    let resolve_example = |requested| {
        resolve(
            &catalog,
            &Credential::of(PARENTS),
            Target::Model("clara-8b"),
            requested,
        )
    };
    assert_eq!(resolve_example(Some("chat")), Err(Refusal::RaisedClass));
    let drafts = catalog.class("clara/drafts").unwrap();
    assert_eq!(resolve_example(None).unwrap().class, drafts);
    assert_eq!(resolve_example(Some("drafts")).unwrap().class, drafts);
}
