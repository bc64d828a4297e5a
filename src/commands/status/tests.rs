//! The command against fake instances.

use async_std::task;
use crocushold_platform::FetchError;
use crocushold_platform::Get;
use crocushold_platform::Reply;
use test_case::test_case;

use super::*;

/// Answers the address as the body; `gone` doesn't answer.
struct Instances;

impl Fetch for Instances {
    async fn get(&self, get: Get) -> Result<Reply, FetchError> {
        assert_eq!(get.path, "/status");
        if get.address == "gone" {
            return Err(FetchError::Timeout);
        }
        Ok(Reply {
            status: 200,
            body: get.address,
            ..Reply::default()
        })
    }
}

const ONE: &str = r#"{"instance": "entry-1", "config": {"revision": 7}}"#;
const OTHER: &str = r#"{"instance": "entry-2", "config": {"revision": 8}}"#;

fn readings(instances: &[&str]) -> Vec<Reading> {
    let instances: Vec<String> = instances.iter().map(|i| (*i).to_owned()).collect();
    task::block_on(read(&Instances, &instances))
}

#[test_case(&[ONE], COMPLETE)]
#[test_case(&[ONE, "gone"], INCOMPLETE; "no answer")]
#[test_case(&["<html>", ONE], INCOMPLETE; "another program")]
fn the_exit_status_tells(instances: &[&str], expected: u8) {
    let readings = readings(instances);
    assert_eq!(status(&readings), expected);
    let shown = text(&readings, false);
    assert!(shown.contains("instance entry-1"), "{shown}");
    assert_eq!(shown.contains("not read"), expected == INCOMPLETE);
    let json = text(&readings, true);
    assert_eq!(json.contains("\"error\""), expected == INCOMPLETE);
}

/// An instance missed a change. Nobody would compare eight tables by eye.
#[test]
fn differing_revisions_are_named() {
    let shown = text(&readings(&[ONE, OTHER]), false);
    assert!(
        shown.contains("different revisions in force: [7, 8]"),
        "{shown}"
    );
    let shown = text(&readings(&[ONE, ONE]), false);
    assert!(!shown.contains("finding"), "{shown}");
}
