//! The status document and its tables.

use crocushold_metrics::status::InstanceState;
use crocushold_metrics::status::PeerStatus;
use crocushold_metrics::status::ServerStatus;
use crocushold_metrics::status::Status;

/// During an upgrade `crocushold status` reads instances of older and newer versions, whose
/// documents lack fields or have unknown ones.
#[test]
fn documents_of_other_versions_are_readable() {
    let text = r#"{"instance": "entry-1", "state": "draining", "moon-phase": "full"}"#;
    let status: Status = serde_json::from_str(text).expect("unknown and missing fields are fine");
    assert_eq!(status.instance, "entry-1");
    assert_eq!(status.state, InstanceState::Draining);
    assert!(status.servers.is_empty());
}

/// The table and the JSON document must distinguish a configuration that was confirmed just now
/// from one that never was, and a peer that was heard just now from one that never was.
#[test]
fn never_is_distinguished_from_just_now() {
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
fn a_document_is_unchanged_by_serialization() {
    let status = Status {
        instance: "entry-1".into(),
        state: InstanceState::Serving,
        ..Status::default()
    };
    let text = serde_json::to_string(&status).expect("serializable");
    assert_eq!(serde_json::from_str::<Status>(&text).unwrap(), status);
}

#[test]
fn the_table_shows_why_a_server_is_out() {
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
