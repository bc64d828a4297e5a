//! Tests of the local settings.

// Test helpers may unwrap, like the tests themselves.
#![allow(clippy::unwrap_used)]

use crocushold_base::Millis;
use crocushold_config::Settings;
use test_case::test_case;

const VALID_SETTINGS: &str = "\
[instance]
id = entry-1
zone = z1
listen = 127.0.0.1:8080
operator = 127.0.0.1:8081
drain = 90 s
[platform]
addresses = 127.0.0.1:8090, 127.0.0.1:8091
[peers]
listen = 127.0.0.1:8082
key = 0123456789abcdef0123456789abcdef
[limits]
body = 1 MiB
";

#[test]
fn settings_override_the_defaults() {
    let settings = Settings::parse(VALID_SETTINGS).unwrap();
    let defaults = Settings::default();
    assert_eq!(settings.drain, Millis::from_secs(90));
    assert_eq!(settings.platform.len(), 2);
    assert_eq!(settings.limits.body_bytes, 1 << 20);
    assert_eq!(settings.limits.head_bytes, defaults.limits.head_bytes);
    assert_eq!(settings.memory, defaults.memory);
    assert_eq!(settings.senders, 8);
}

// The limits on an account's connections and on its queued requests were once the same key. If they
// were swapped, requests would be refused for the wrong reason.
#[test]
fn connections_and_queued_requests_have_separate_limits() {
    let keys = "connections-per-account = 7\nqueued-per-account = 5";
    let settings = Settings::parse(&VALID_SETTINGS.replace("body = 1 MiB", keys)).unwrap();
    assert_eq!(
        (
            settings.limits.connections_per_account,
            settings.limits.queued_per_account
        ),
        (7, 5)
    );
}

// Callers that send slowly are let go by these two. With the unit of one for the other, proper callers would be.
#[test]
fn patience_is_a_time_and_the_min_rate_a_size() {
    let keys = "patience = 3 s\nmin-rate = 16 KiB";
    let settings = Settings::parse(&VALID_SETTINGS.replace("body = 1 MiB", keys)).unwrap();
    let limits = settings.limits;
    assert_eq!(
        (limits.patience, limits.min_rate),
        (Millis::from_secs(3), 16 << 10)
    );
}

// The settings are logged at startup. A peer key in the log would let anyone who can read logs join
// as a peer.
#[test]
fn peer_key_is_never_printed() {
    let settings = Settings::parse(VALID_SETTINGS).unwrap();
    assert_eq!(
        settings.peer_key.expose(),
        "0123456789abcdef0123456789abcdef"
    );
    let printed = format!("{settings:?}");
    assert!(!printed.contains("0123456789"), "{printed}");
    let findings =
        Settings::parse(&VALID_SETTINGS.replace("0123456789abcdef0123456789abcdef", "short-key"));
    let findings = findings.unwrap_err();
    assert!(!format!("{findings:?}").contains("short-key"));
}

#[test_case("drain = 90 s", "drain = 90", 6; "missing unit")]
#[test_case("zone = z1", "zone z1", 3; "syntax error")]
#[test_case("[limits]", "[limit]", 12; "unknown section")]
#[test_case("body = 1 MiB", "bodies = 1 MiB", 13; "unknown key")]
#[test_case("operator = 127.0.0.1:8081", "operator = 127.0.0.1:8080", 5; "address twice")]
#[test_case("drain = 90 s", "memory = 1 MiB", 6; "memory too low")]
#[test_case("body = 1 MiB", "body = 49 MiB", 13; "body that never fits into memory")]
#[test_case("[limits]", "senders = 0\n[limits]", 12; "no senders")]
#[test_case("[limits]", "senders = all\n[limits]", 12; "senders without a number")]
#[test_case("body = 1 MiB", "head = 16 KiB", 13; "head that is never read")]
#[test_case("body = 1 MiB", "connections = 5", 12; "more for one account than in all")]
#[test_case("body = 1 MiB", "connections-per-account = 0", 13; "no connection for an account")]
#[test_case("body = 1 MiB", "queued-per-account = many", 13; "queue that is no number")]
fn mistake_is_found_at_its_line(from: &str, to: &str, line: usize) {
    let findings = Settings::parse(&VALID_SETTINGS.replace(from, to)).unwrap_err();
    let lines: Vec<usize> = findings.iter().map(|f| f.line).collect();
    assert_eq!(lines, [line], "{findings:#?}");
}

#[test]
fn missing_sections_and_keys_are_all_listed() {
    let findings = Settings::parse("[instance]\n").unwrap_err();
    assert_eq!(findings.len(), 6, "{findings:#?}");
}
