//! The status document across versions of the program.

use crocushold_metrics::status::InstanceState;
use crocushold_metrics::status::PeerStatus;
use crocushold_metrics::status::ServerStatus;
use crocushold_metrics::status::Status;

/// During an upgrade `crocushold status` reads instances that are older and newer than itself.
#[test]
fn other_versions_are_readable() {
    let text = r#"{"instance": "entry-1", "state": "draining", "moon-phase": "full"}"#;
    let status: Status = serde_json::from_str(text).expect("unknown and missing fields are fine");
    assert_eq!(status.instance, "entry-1");
    assert_eq!(status.state, InstanceState::Draining);
    assert!(status.servers.is_empty());
}

/// An operator must tell "confirmed just now" from "never", in the table and in JSON; a peer that was
/// never heard must not look as if it had just been.
#[test]
fn what_never_happened_is_not_shown_as_just_now() {
    let mut status = Status::default();
    status.peers.push(PeerStatus::default());
    let text = status.to_string();
    assert!(text.contains("never confirmed by the platform"), "{text}");
    assert!(text.lines().last().unwrap().ends_with("never"), "{text}");
    assert!(!serde_json::to_string(&status).unwrap().contains("null"));
    status.config.confirmed_ms = Some(0);
    status.peers[0].heard_ms = Some(1_500);
    let text = status.to_string();
    assert!(text.contains("last confirmed 0.0s ago"), "{text}");
    assert!(text.lines().last().unwrap().ends_with("1.5s"), "{text}");
}

#[test]
fn a_document_survives_the_wire() {
    let status = Status {
        instance: "entry-1".into(),
        state: InstanceState::Serving,
        ..Status::default()
    };
    let text = serde_json::to_string(&status).expect("serializable");
    assert_eq!(serde_json::from_str::<Status>(&text).unwrap(), status);
}

#[test]
fn a_table_says_why_a_server_is_out() {
    let server = ServerStatus {
        server: "runner-3".into(),
        standing: "ejected".into(),
        reason: "5 failures in a row".into(),
        ..ServerStatus::default()
    };
    let status = Status {
        instance: "entry-1".into(),
        servers: vec![server],
        ..Status::default()
    };
    let text = status.to_string();
    let line = text.lines().find(|l| l.starts_with("runner-3"));
    let words: Vec<&str> = line.expect("listed").split_whitespace().collect();
    assert_eq!(words[..3], ["runner-3", "out", "ejected"]);
    assert!(text.ends_with("5 failures in a row\n"));
    assert!(!text.contains("PEER"), "empty tables are left out");
}
