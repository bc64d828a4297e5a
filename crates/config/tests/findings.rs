//! Tests that each kind of mistake is found once, at its line, with what to write instead.

// Test helpers may unwrap, like the tests themselves.
#![allow(clippy::unwrap_used)]

use crocushold_config::Catalog;
use crocushold_config::ConfigText;
use crocushold_config::Finding;
use crocushold_config::InForce;
use crocushold_config::Severity;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use test_case::test_case;

/// A valid part; each test breaks one line of it.
const VALID_PART: &str = "\
[team a]
format = 1
[service fleet]
kind = model
depends-on = desk
shared-with = b 10 %
[server fleet/one]
address = 10.0.0.1:8000
zone = z1
[model fleet/m]
weights = 1 GB
servers = 1
[service desk]
kind = plain
prefix = /desk
[server desk/one]
address = 10.0.0.2:8000
zone = z1
[class chat]
service = fleet
priority = 2
first-token = 300 ms
whole-answer = 2 s
floor = 30 %
idempotent = yes
[class confirm]
service = desk
priority = 2
whole-answer = 1 s
idempotent = no
calls = POST /desk/confirm
[account app]
key-sha256 = 0000000000000000000000000000000000000000000000000000000000000001
classes = chat, confirm
requests = 10/s
tokens = 100/s
concurrency = 4
";

fn findings(text: &str) -> Vec<Finding> {
    ConfigText::parse(text).findings()
}

fn replace_line(line: usize, by: &str) -> String {
    let mut lines: Vec<&str> = VALID_PART.lines().collect();
    lines[line - 1] = by;
    lines.join("\n")
}

#[test]
fn valid_part_has_no_findings() {
    assert_eq!(findings(VALID_PART), []);
}

#[test_case(2, "format = 2", "write format = 1"; "unknown format")]
#[test_case(4, "kind = modle", "write model or plain"; "unknown kind")]
#[test_case(5, "depends-on = dsk", "there is no service dsk"; "dangling dependency")]
#[test_case(6, "shared-with = b 60 %", "lower them to 80 %"; "over-committed floors")]
#[test_case(6, "shared-with = a 5 %", "write each other team once"; "shared with itself")]
#[test_case(6, "shard-with = b 10 %", "the key is unknown"; "unknown key")]
#[test_case(8, "address = one:8000", "write an IP number and a port"; "host name")]
#[test_case(7, "[server flet/one]", "there is no service flet"; "server of no service")]
#[test_case(6, "role = whole", "write both, prefill or decode"; "unknown role")]
#[test_case(6, "role = decode\nweight-loads = 6/min", "would run whole requests"; "no whole role")]
#[test_case(15, "prefix = /desk\nrole = both", "a plain service has no roles"; "role of a plain service")]
#[test_case(18, "zone = z1\nrole = both", "a plain service has no roles"; "role of a plain server")]
#[test_case(10, "[modell fleet/m]", "the section is unknown"; "unknown section")]
#[test_case(11, "weights = 1", "write a whole number and a unit"; "size without unit")]
#[test_case(14, "kind = plain \\", "ends with a backslash"; "continued line")]
#[test_case(15, "prefix = /v1", "belongs to the model services"; "reserved prefix")]
#[test_case(16, "[server desk/one", "no closing bracket"; "open bracket")]
#[test_case(20, "service = flet", "there is no service flet"; "class on no service")]
#[test_case(21, "priority = 6", "from 1 (served first) to 5"; "priority out of range")]
#[test_case(21, "priority 2", "the line has no '='"; "syntax error")]
#[test_case(22, "first-token = 300", "write a whole number and a unit"; "missing unit")]
#[test_case(22, "first-token = 300 sec", "such as 350 ms"; "wrong unit")]
#[test_case(22, "first-token = 2 s", "below whole-answer"; "target never met")]
#[test_case(23, "whole-answer = 900 ms", "whose soonest target is 1000ms"; "dependency is later")]
#[test_case(24, "floor = 30", "such as 5 %"; "share without sign")]
#[test_case(24, "priority = 3", "already on line 21"; "duplicate key")]
#[test_case(25, "idempotent = true", "write yes or no"; "flag")]
#[test_case(30, "idempotent = no\nretries = 1", "write retries = 0"; "retries without idempotence")]
#[test_case(31, "calls = POST /dsk/confirm", "begin with /desk/"; "call outside the prefix")]
#[test_case(31, "call = POST /desk/confirm", "the key is unknown"; "unknown key of a class")]
#[test_case(33, "key-sha256 = secret", "64 hexadecimal digits"; "key instead of digest")]
#[test_case(34, "classes = chat, confrm", "there is no class confrm"; "dangling class")]
#[test_case(34, "classes = chat, chat", "listed twice"; "class twice")]
#[test_case(35, "requests = 10", "such as 50/s"; "rate without unit")]
#[test_case(37, "concurrency = 0", "from 1 to"; "count out of range")]
#[test_case(37, "concurrency = 4\n[account app]", "already on line 32"; "duplicate section")]
fn mistake_is_found_and_rejects_the_edition(line: usize, by: &str, message: &str) {
    let text = ConfigText::parse(&replace_line(line, by));
    let found = text.findings();
    let hits: Vec<&Finding> = found
        .iter()
        .filter(|f| f.message.contains(message))
        .collect();
    assert_eq!(hits.len(), 1, "{found:#?}");
    assert_eq!(hits[0].team, "a");
    assert_eq!(hits[0].severity, Severity::Error);
    let part = text.part("a").unwrap();
    assert_eq!(part.in_force(), InForce::Nothing);
    assert!(Catalog::new(&text).services.is_empty());
}

// If a mistake were listed twice or hid another one, its author would need further attempts.
#[test]
fn ten_mistakes_are_ten_findings_with_their_lines() {
    let mut lines: Vec<&str> = VALID_PART.lines().collect();
    let replacements = [
        (4, "kind = modle"),
        (8, "address = one:8000"),
        (11, "weights = 1"),
        (15, "prefix = desk"),
        (21, "priority = 9"),
        (22, "first-token 300 ms"),
        (25, "idempotent = maybe"),
        (31, "call = POST /desk/confirm"),
        (34, "classes = chat, nightly"),
        (36, "tokens = 100/h"),
    ];
    for (line, by) in replacements {
        lines[line - 1] = by;
    }
    let found = findings(&lines.join("\n"));
    let positions: Vec<usize> = found.iter().map(|f| f.line).collect();
    let expected: Vec<usize> = replacements.iter().map(|(line, _)| *line).collect();
    assert_eq!(positions, expected, "{found:#?}");
}

// A key written in place of its digest must not appear on the terminal or in a log.
#[test]
fn finding_does_not_contain_the_key() {
    let found = findings(&replace_line(33, "key-sha256 = a.pasted-secret"));
    assert!(!format!("{found:?}").contains("pasted"), "{found:?}");
}

#[test]
fn finding_is_one_line_with_its_location() {
    let found = findings(&replace_line(21, "priority = 6"));
    let expected = "line 21: error: team a: [class chat] priority: \"6\" is no priority; \
                    write a whole number from 1 (served first) to 5";
    assert_eq!(found[0].to_string(), expected);
}

#[test]
fn cycle_is_found_once() {
    let found = findings(&replace_line(15, "prefix = /desk\ndepends-on = fleet"));
    let cycles = found
        .iter()
        .filter(|f| f.message.contains("a cycle leads back"));
    let sections: Vec<&str> = cycles.map(|f| f.section.as_str()).collect();
    assert_eq!(sections, ["service desk"]);
}

#[test]
fn role_without_weight_loads_is_a_warning() {
    let text = ConfigText::parse(&replace_line(9, "zone = z1\nrole = both"));
    let found = text.findings();
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(found[0].message.contains("write weight-loads = 6/min"));
    assert_eq!(text.part("a").unwrap().in_force(), InForce::Current);
}

#[test]
fn class_without_server_is_a_warning() {
    let text = VALID_PART.replace(
        "[server fleet/one]\naddress = 10.0.0.1:8000\nzone = z1\n",
        "",
    );
    let text = ConfigText::parse(&text);
    let found = text.findings();
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(found[0].message.contains("the class has no server"));
    assert_eq!(text.part("a").unwrap().in_force(), InForce::Current);
}

#[test]
fn two_accounts_with_one_key_are_found() {
    let account = VALID_PART.split_once("[account app]").unwrap().1;
    let found = findings(&format!("{VALID_PART}[account web]{account}"));
    assert_eq!(found.len(), 1, "{found:#?}");
    assert_eq!((found[0].line, found[0].key.as_str()), (39, "key-sha256"));
}

#[test]
fn line_before_the_first_part_is_found() {
    let found = findings(&format!("# heading\nformat = 1\n{VALID_PART}"));
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].line, 2);
}

// After a key without a separator the INI library skips to the next '=', even on a later line. If
// that went undetected, "[class b]" below would be lost and its keys would be assigned to class a.
#[test_case("[team a]\nformat = 1\n[class a]\npriority\n[class b]\npriority = 1\n"; "bare word")]
#[test_case("[team a]\nformat = 1\n[class a]\n# x\rpriority = 1\n[class b]\npriority = 1\n"; "lone CR")]
#[test_case("[team a]\nformat = 1\n[class a]\n  # x\n[class b]\npriority = 1\n"; "indented comment")]
#[test_case("[team a]\nformat = 1\n[class a]\nservice = x\\\n[class b]\npriority = 1\n"; "backslash")]
fn skipped_line_is_found_at_its_own_line(text: &str) {
    let found = findings(text);
    let syntax: Vec<usize> = found
        .iter()
        .filter(|f| f.key.is_empty() && f.line == 4)
        .map(|f| f.line)
        .collect();
    assert_eq!(syntax.len(), 1, "{found:#?}");
    let other = found
        .iter()
        .any(|f| f.section == "class b" && f.key == "service");
    assert!(other, "{found:#?}");
}

// A part consists of malformed lines, or of services that all depend on each other. Since all
// instances parse it at the same time, its memory and CPU use must be bounded.
#[test]
fn part_of_mistakes_has_bounded_findings() {
    let lines = "x\n".repeat(500_000);
    let found = findings(&format!("[team a]\nformat = 1\n{lines}"));
    assert!(found.len() <= 1000, "{}", found.len());

    let keys = "x=\n".repeat(10_000);
    let found = findings(&format!("[team a]\nformat = 1\n[class a]\n{keys}"));
    assert!(found.len() <= 1000, "{}", found.len());

    let names: Vec<String> = (0..64).map(|i| format!("s{i}")).collect();
    let depends = names.join(", ");
    let service = |name| format!("[service {name}]\nkind = model\ndepends-on = {depends}\n");
    let services: String = names.iter().map(service).collect();
    let found = findings(&format!("[team a]\nformat = 1\n{services}"));
    assert_eq!(found.len(), 1, "{found:#?}");

    let more = "[service more]\nkind = model\n";
    let found = findings(&format!("[team a]\nformat = 1\n{services}{more}"));
    assert!(found[0].message.contains("write at most 64"), "{found:#?}");
}

#[test]
fn part_above_the_size_bound_is_rejected() {
    let text = ConfigText::parse(&format!("{VALID_PART}#{}\n", "x".repeat(1 << 20)));
    assert_eq!(text.part("a").unwrap().in_force(), InForce::Nothing);
    assert!(text.findings()[0].message.contains("shorten it to 1048576"));
}

const OTHER: &str = "\
[team b]
format = 1
[service index]
kind = model
depends-on = a/fleet
[server index/one]
address = 10.0.0.9:8000
zone = z1
";

// Two teams' services depend on each other. Neither part is wrong by itself, so both stay in force
// without the two dependencies that close the cycle.
#[test]
fn cycle_between_teams_is_a_warning_on_both() {
    let first = replace_line(5, "depends-on = desk, b/index");
    let text = ConfigText::parse(&format!("{first}\n{OTHER}"));
    let found = text.findings();
    let positions: Vec<(&str, Severity)> = found
        .iter()
        .map(|f| (f.team.as_str(), f.severity))
        .collect();
    assert_eq!(
        positions,
        [("a", Severity::Warning), ("b", Severity::Warning)]
    );
    let catalog = Catalog::new(&text);
    let depends = |name| {
        catalog.services[catalog.service(name).unwrap()]
            .depends
            .len()
    };
    assert_eq!((depends("a/fleet"), depends("b/index")), (1, 0));
}

#[test_case(OTHER, "a/fleet", "a/flet", "a/flet is not in force"; "foreign dependency")]
#[test_case(OTHER, "10.0.0.9", "10.0.0.1", "has the same address"; "address of two servers")]
#[test_case(OTHER, "[server", "[class c]\nservice = a/desk\npriority = 1\nwhole-answer = 1 s\n\
            idempotent = yes\n[server", "a/desk is not shared with b"; "service not shared")]
fn mistake_between_teams_is_a_warning(other: &str, from: &str, to: &str, message: &str) {
    let text = ConfigText::parse(&format!("{VALID_PART}{}", other.replace(from, to)));
    let found = text.findings();
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(found[0].message.contains(message), "{found:#?}");
    assert_eq!(found[0].severity, Severity::Warning);
    assert_eq!(found[0].team, "b");
    assert_eq!(text.part("b").unwrap().in_force(), InForce::Current);
}

#[test]
fn class_above_the_default_is_a_warning() {
    let class =
        "[class low]\nservice = fleet\npriority = 4\nwhole-answer = 5 s\nidempotent = yes\n";
    let text = VALID_PART.replace("classes = chat, confirm", "classes = low, chat, confirm");
    let found = findings(&format!("{text}{class}"));
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(found[0].message.contains("list it first"));
    assert_eq!(found[0].severity, Severity::Warning);
}

proptest! {
    // Parsing never panics, findings are ordered by line, and parsing again has the same result.
    #[test]
    fn any_text_is_parsed(body in "([a-c]|[=:#;,/ %\\\\]|\\[|\\]|\r|\t|\n|\nservice |\nclass ){0,80}") {
        let text = format!("{VALID_PART}{body}");
        let found = findings(&text);
        prop_assert!(found.is_sorted_by_key(|f| (f.team.clone(), f.line)));
        prop_assert_eq!(found, findings(&text));
    }
}
