//! Tests that what is in force depends on the text alone, and that one team's part doesn't affect
//! another.

// Test helpers may unwrap, like the tests themselves.
#![allow(clippy::unwrap_used)]

use crocushold_config::Catalog;
use crocushold_config::ConfigText;
use crocushold_config::Credential;
use crocushold_config::InForce;
use crocushold_config::Share;
use crocushold_config::Target;
use crocushold_config::resolve;
use crocushold_config::with_previous;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::sample::select;

const BOOKING: &str = include_str!("data/booking.ini");
const RECEIPTS: &str = include_str!("data/receipts.ini");

fn describe(catalog: &Catalog) -> Vec<String> {
    let classes = catalog.classes.values().map(|c| format!("{c:?}"));
    let accounts = catalog.accounts.values().map(|a| {
        let classes = a.classes.iter().map(|&key| &catalog.classes[key].name);
        format!(
            "{} {:?} {:?}",
            a.name,
            a.limits,
            classes.collect::<Vec<_>>()
        )
    });
    let servers = catalog
        .servers
        .values()
        .map(|s| format!("{} {}", s.name, s.address));
    let mut all: Vec<String> = classes.chain(accounts).chain(servers).collect();
    all.sort();
    all
}

fn with_class(name: &str, priority: &str) -> String {
    let class = format!(
        "[class {name}]\nservice = model-fleet\npriority = {priority}\nwhole-answer = 9 s\n\
         idempotent = yes\n"
    );
    format!("{BOOKING}{class}")
}

// A team publishes an edition with an error. Running instances fall back to the edition after
// [previous], and so does an instance that starts later and has read neither before.
#[test]
fn rejected_edition_falls_back_to_the_previous_one_on_all_instances() {
    let good = with_class("extra", "2");
    let bad = with_class("other", "9");
    let mut running = ConfigText::parse(&good);
    let mut catalog = Catalog::new(&running);
    let key = catalog.class("clara/extra").unwrap();

    let published = with_previous("clara", &bad, &good).unwrap();
    running.set_part("clara", &published);
    let changes = catalog.apply(&running);
    assert!(changes.is_empty(), "{changes:?}");
    assert_eq!(catalog.class("clara/extra"), Some(key));

    let fresh = ConfigText::parse(&published);
    assert_eq!(fresh.part("clara").unwrap().in_force(), InForce::Previous);
    assert_eq!(describe(&Catalog::new(&fresh)), describe(&catalog));
}

#[test]
fn rejected_edition_without_a_previous_one_leaves_nothing_in_force() {
    let mut running = ConfigText::parse(BOOKING);
    let mut catalog = Catalog::new(&running);
    running.set_part("clara", &with_class("other", "9"));
    catalog.apply(&running);
    assert_eq!(describe(&catalog), Vec::<String>::new());
    assert_eq!(running.part("clara").unwrap().in_force(), InForce::Nothing);
}

#[test]
fn previous_edition_is_never_a_rejected_one() {
    let first = with_class("first", "2");
    let broken = with_previous("clara", &with_class("second", "9"), &first).unwrap();
    let third = with_previous("clara", &with_class("third", "9"), &broken).unwrap();
    let catalog = Catalog::new(&ConfigText::parse(&third));
    assert!(catalog.class("clara/first").is_some());
    assert!(with_previous("clara", BOOKING, &with_class("second", "9")).is_err());
}

#[test]
fn previous_edition_has_no_effect_while_the_current_one_is_accepted() {
    let both = with_previous("clara", &with_class("new", "3"), &with_class("old", "3")).unwrap();
    let catalog = Catalog::new(&ConfigText::parse(&both));
    assert!(catalog.class("clara/new").is_some());
    assert!(catalog.class("clara/old").is_none());
}

#[test]
fn edition_of_a_later_format_is_rejected_without_further_findings() {
    let later = BOOKING.replacen("format = 1", "format = 2\nnew-key = x", 1);
    let later = format!("{later}[quota night]\nshare = 5 %\n");
    let text = ConfigText::parse(&later);
    let findings = text.findings();
    assert_eq!(findings.len(), 1, "{findings:#?}");
    assert_eq!(findings[0].key, "format");
    let both = with_previous("clara", &later, BOOKING).unwrap();
    assert_eq!(
        ConfigText::parse(&both).part("clara").unwrap().in_force(),
        InForce::Previous
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    // When one team's part has a missing or malformed line, the accounts, classes and servers of
    // other teams are unaffected.
    #[test]
    fn part_does_not_affect_another(
        line in 0usize..120,
        garbage in select(vec!["", "[class", "[", "]", "x", "= 1", "a = \\", "[previous]", "\u{0}"]),
    ) {
        let (platform, _) = RECEIPTS.split_once("[team sever]").unwrap();
        let mut lines: Vec<&str> = platform.lines().collect();
        let at = line % lines.len();
        if !lines[at].starts_with("[team") {
            lines[at] = garbage;
        }
        let mut text = ConfigText::parse(&format!("{BOOKING}{RECEIPTS}"));
        let before = describe(&Catalog::new(&text));
        text.set_part("platforma", &lines.join("\n"));
        let after = describe(&Catalog::new(&text));
        let clara = |all: &[String]| -> Vec<String> {
            all.iter().filter(|n| n.contains("clara/")).cloned().collect()
        };
        let states = ["clara", "sever", "jih"].map(|team| text.part(team).unwrap().in_force());
        prop_assert_eq!(states, [InForce::Current; 3]);
        prop_assert_eq!(clara(&strip_keys(&before)), clara(&strip_keys(&after)));
    }

    #[test]
    fn order_of_parts_has_no_effect(first in 0usize..6) {
        let whole = format!("{BOOKING}{RECEIPTS}");
        let mut parts: Vec<String> = whole
            .split("[team ")
            .skip(1)
            .map(|part| format!("[team {part}"))
            .collect();
        parts.rotate_left(first);
        let rotated = ConfigText::parse(&parts.concat());
        let original = ConfigText::parse(&whole);
        prop_assert_eq!(
            describe(&Catalog::new(&rotated)),
            describe(&Catalog::new(&original))
        );
    }
}

/// Removes the arena keys, which depend on the other contents of the arenas.
fn strip_keys(names: &[String]) -> Vec<String> {
    let strip = |name: &String| {
        let (head, rest) = name
            .split_once("service: ServiceKey(")
            .unwrap_or((name, ")"));
        format!("{head}{}", rest.split_once(')').unwrap().1)
    };
    names.iter().map(strip).collect()
}

fn small_team(team: &str, digest: &str) -> String {
    format!(
        "[team {team}]\nformat = 1\n[service s]\nkind = model\n[server s/x]\n\
         address = 10.9.0.{}:80\nzone = z\n[model s/m]\nweights = 1 GB\nservers = 1\n[class c]\n\
         service = s\npriority = 3\nwhole-answer = 1 s\nidempotent = yes\n[account a]\n\
         key-sha256 = {digest}\nclasses = c\nrequests = 1/s\ntokens = 1/s\nconcurrency = 1\n",
        team.len()
    )
}

fn account(text: &str, key: &str) -> Option<String> {
    let catalog = Catalog::new(&ConfigText::parse(text));
    let resolved = resolve(&catalog, &Credential::of(key), Target::Model("m"), None).ok()?;
    Some(catalog.accounts[resolved.account].name.clone())
}

// Team "a" copies the account of team "bb" into its own part, including the key. Callers of "bb"
// must not be attributed to "a", whose name sorts first.
#[test]
fn copied_key_does_not_take_over_callers_of_the_team_that_it_names() {
    let key = "bb.secret";
    let digest = Credential::of(key).digest.to_string();
    let text = small_team("a", &digest) + &small_team("bb", &digest);
    assert_eq!(account(&text, key).unwrap(), "bb/a");
    let without = small_team("a", &digest) + "[team bb]\nformat = 1\n";
    assert_eq!(account(&without, key), None);
}

#[test]
fn shared_key_without_a_team_belongs_to_the_first_name_in_any_order() {
    let key = "secret";
    let digest = Credential::of(key).digest.to_string();
    let (a, b) = (small_team("a", &digest), small_team("bb", &digest));
    assert_eq!(account(&format!("{a}{b}"), key).unwrap(), "a/a");
    assert_eq!(account(&format!("{b}{a}"), key).unwrap(), "a/a");
    let findings = ConfigText::parse(&format!("{a}{b}")).findings();
    let teams: Vec<&str> = findings.iter().map(|f| f.team.as_str()).collect();
    assert_eq!(teams, ["a", "bb"]);
}

#[test]
fn team_with_two_parts_has_neither_in_force() {
    let text = small_team("a", &Credential::of("k").digest.to_string());
    let text = ConfigText::parse(&format!("{text}{text}"));
    assert_eq!(text.part("a").unwrap().in_force(), InForce::Nothing);
    assert_eq!(
        text.findings()
            .iter()
            .filter(|f| f.message.contains("two parts"))
            .count(),
        2
    );
}

// One cooperative declares a floor above its grant on the shared engines. Its own floor is reduced;
// the floors of the platform and of the other cooperatives are unaffected.
#[test]
fn floors_above_the_grant_are_reduced_for_that_team_only() {
    let greedy = RECEIPTS.replace("floor = 5 %", "floor = 15 %");
    let text = ConfigText::parse(&greedy);
    let catalog = Catalog::new(&text);
    let floor = |name| catalog.classes[catalog.class(name).unwrap()].floor;
    assert_eq!(floor("jih/harvest"), Share(500));
    assert_eq!(floor("platforma/portal"), Share(2000));
    let findings = text.findings();
    assert_eq!(findings.len(), 1, "{findings:#?}");
    assert_eq!(
        (findings[0].team.as_str(), findings[0].key.as_str()),
        ("jih", "floor")
    );
}

#[test]
fn service_is_only_used_by_teams_that_it_is_shared_with() {
    let text = RECEIPTS.replace(", jih 5 %", "");
    let text = ConfigText::parse(&text);
    let catalog = Catalog::new(&text);
    assert_eq!(catalog.class("jih/harvest"), None);
    let account = catalog.account("jih/app").unwrap();
    assert_eq!(catalog.accounts[account].classes.len(), 4);
    assert!(text.findings().iter().all(|f| f.team == "jih"));
}
