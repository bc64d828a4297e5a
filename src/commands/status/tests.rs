//! Tests of the command against fake instances.

use async_std::task;
use crocushold_platform::FetchError;
use crocushold_platform::Get;
use crocushold_platform::Reply;
use test_case::test_case;

use super::*;

/// Fake instances that return their address as the body; `gone` times out.
struct Instances;

impl Fetch for Instances {
    async fn get(&self, get: Get) -> Result<Reply, FetchError> {
        assert_eq!(get.target.as_str(), "/status");
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
fn the_exit_status_reflects_the_readings(instances: &[&str], expected: u8) {
    let readings = readings(instances);
    assert_eq!(exit_status(&readings), expected);
    let shown = render(&readings, false);
    assert!(shown.contains("instance entry-1"), "{shown}");
    assert_eq!(shown.contains("not read"), expected == INCOMPLETE);
    let json = render(&readings, true);
    assert_eq!(json.contains("\"error\""), expected == INCOMPLETE);
}

/// An instance that missed a configuration change must be pointed out; an operator wouldn't notice
/// it by comparing the tables of eight instances.
#[test]
fn differing_revisions_are_named() {
    let shown = render(&readings(&[ONE, OTHER]), false);
    assert!(
        shown.contains("different revisions in force: [7, 8]"),
        "{shown}"
    );
    let shown = render(&readings(&[ONE, ONE]), false);
    assert!(!shown.contains("finding"), "{shown}");
}
