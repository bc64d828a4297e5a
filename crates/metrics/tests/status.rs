//! The status document across versions of the program.

use crocushold_metrics::status::InstanceState;
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
