//! Tests of the documents' formats.

use crocushold_platform::wire::CacheEvents;
use crocushold_platform::wire::CacheKind;
use crocushold_platform::wire::ConfigIndex;
use crocushold_platform::wire::EngineRole;
use crocushold_platform::wire::InstanceList;
use crocushold_platform::wire::InstanceRole;
use crocushold_platform::wire::InstanceState;
use crocushold_platform::wire::LoadReport;
use crocushold_platform::wire::Order;
use crocushold_platform::wire::OrderKind;
use test_case::test_case;

#[test]
fn an_index_is_read() {
    let text = r#"{"revision": 12, "parts": [{"team": "clara", "revision": 9, "bytes": 4120}]}"#;
    let index = ConfigIndex::parse(text).expect("readable");
    assert_eq!((index.revision, index.parts[0].revision), (12, 9));
}

#[test]
fn a_team_listed_twice_is_refused() {
    let text = r#"{"revision": 12, "parts": [{"team": "a", "revision": 9},
                  {"team": "a", "revision": 8}]}"#;
    assert!(ConfigIndex::parse(text).unwrap_err().contains("twice"));
}

#[test]
fn an_instance_list_is_read() {
    let text = r#"{"revision": 7, "instances": [
        {"id": "entry-1", "role": "entry", "service": "", "zone": "stgo-a",
         "address": "127.0.0.1:7001", "peer-address": "127.0.0.1:7101", "state": "live"},
        {"id": "runner-1", "role": "server", "service": "model-fleet", "zone": "stgo-b",
         "address": "[::1]:8001", "peer-address": "", "state": "leaving"},
        {"id": "odd", "role": "observer", "address": "127.0.0.1:1", "state": "resting"}]}"#;
    let list = InstanceList::parse(text).expect("readable");
    assert!(list.misfits.is_empty(), "{:?}", list.misfits);
    assert!(list.instances[0].peer_address.is_some());
    assert!(list.instances[1].peer_address.is_none());
    assert_eq!(list.instances[1].state, InstanceState::Leaving);
    assert_eq!(list.instances[2].role, InstanceRole::Other);
    assert_eq!(list.instances[2].state, InstanceState::Other);
}

#[test]
fn a_load_report_is_read() {
    let text = r#"{"at-ms": 0, "running": 3, "waiting": 0, "batch-limit": 16,
        "tokens-per-second": 812.0, "kv-free": 0.41, "models": ["clara-8b"], "role": "both",
        "fence": 12}"#;
    let report = LoadReport::parse(text).expect("readable");
    assert_eq!((report.batch_limit, report.fence), (16, 12));
    assert_eq!(report.role, EngineRole::Both);
    let plain = LoadReport::parse(r#"{"running": 1}"#).expect("a plain service's");
    assert_eq!(plain.running, 1);
}

#[test_case(r#"{"running": 1, "kv-free": 1.5}"#; "no share")]
#[test_case(r#"{"running": 1, "tokens-per-second": -1}"#; "negative rate")]
#[test_case(r#"{"running": -1}"#; "negative count")]
fn an_impossible_load_report_is_refused(text: &str) {
    assert!(LoadReport::parse(text).is_err());
}

#[test]
fn cache_events_are_read() {
    let text = r#"{"last": 90, "events": [{"seq": 88, "kind": "stored", "prefix": "9f3a"},
        {"seq": 90, "kind": "merged", "prefix": "00000000000000ff"}]}"#;
    let events = CacheEvents::parse(text).expect("readable");
    assert_eq!(events.events[0].prefix, 0x9f3a);
    assert_eq!(events.events[1].kind, CacheKind::Other);
    let back = serde_json::to_string(&events.events[0]).expect("serializable");
    assert!(back.contains("0000000000009f3a"));
}

#[test_case(OrderKind::Load { model: "clara-8b".into() }, r#""kind":"load","model":"clara-8b""#)]
#[test_case(OrderKind::Role { role: EngineRole::Decode }, r#""kind":"role","role":"decode""#)]
fn an_order_is_written(kind: OrderKind, fields: &str) {
    let order = Order { fence: 12, kind };
    let text = serde_json::to_string(&order).expect("serializable");
    assert_eq!(text, format!(r#"{{"fence":12,{fields}}}"#));
    let back: Order = serde_json::from_str(&text).expect("readable");
    assert_eq!(back, order);
}
