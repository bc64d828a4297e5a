//! Deserialization of commands.

use crocushold_standins::EngineCommand;
use crocushold_standins::EngineSettings;
use crocushold_standins::PlatformCommand;
use crocushold_standins::ServiceCommand;
use crocushold_standins::load::LoadPlan;
use serde_json::from_str;
use test_case::test_case;

#[test_case(r#"{"kind":"part","team":"clara","text":"[a]"}"#)]
#[test_case(r#"{"kind":"remove-part","team":"clara"}"#)]
#[test_case(r#"{"kind":"instance-state","id":"e-1","state":"leaving"}"#)]
#[test_case(
    r#"{"kind":"instances","instances":[{"id":"e-1","role":"entry","zone":"stgo-a",
    "address":"127.0.0.1:1","peer-address":"127.0.0.1:2","state":"live"}]}"#
)]
#[test_case(r#"{"kind":"lag","ms":2000}"#)]
#[test_case(r#"{"kind":"frozen","on":true}"#)]
#[test_case(r#"{"kind":"down","on":true}"#)]
#[test_case(r#"{"kind":"stale","revision":3}"#)]
#[test_case(r#"{"kind":"stale","revision":null}"#)]
#[test_case(r#"{"kind":"go-back","revision":3,"reuse":true}"#)]
#[test_case(r#"{"kind":"budget","reads":10}"#)]
fn platform_command(json: &str) {
    assert!(from_str::<PlatformCommand>(json).is_ok());
}

#[test_case(r#"{"kind":"slow","factor":4.0}"#)]
#[test_case(r#"{"kind":"batch","settings":{"batch-limit":4}}"#)]
#[test_case(r#"{"kind":"hang","on":true}"#)]
#[test_case(r#"{"kind":"crash"}"#)]
#[test_case(r#"{"kind":"restart"}"#)]
#[test_case(r#"{"kind":"refuse","on":true}"#)]
#[test_case(r#"{"kind":"unavailable","on":true}"#)]
#[test_case(r#"{"kind":"cut","cut":{"after":3,"form":"length","times":1}}"#)]
#[test_case(r#"{"kind":"cut","cut":null}"#)]
#[test_case(r#"{"kind":"stall","after":3}"#)]
#[test_case(r#"{"kind":"lengths","lengths":{"low":1,"high":9},"seed":1}"#)]
#[test_case(r#"{"kind":"report-lag","ms":200}"#)]
#[test_case(r#"{"kind":"events","delay-ms":200,"gaps":0.1}"#)]
#[test_case(r#"{"kind":"checks","on":false}"#)]
#[test_case(r#"{"kind":"hang-up","marker":"m"}"#)]
#[test_case(r#"{"kind":"clear"}"#)]
fn engine_command(json: &str) {
    assert!(from_str::<EngineCommand>(json).is_ok());
}

#[test_case(r#"{"kind":"delay","before-ms":1,"after-ms":2}"#)]
#[test_case(r#"{"kind":"fault","fault":"drop-after","times":1}"#)]
#[test_case(r#"{"kind":"crash"}"#)]
#[test_case(r#"{"kind":"clear"}"#)]
fn service_command(json: &str) {
    assert!(from_str::<ServiceCommand>(json).is_ok());
}

/// If a misspelt setting were ignored, its default would apply, and a measurement would differ from
/// its plan.
#[test]
fn misspelt_setting_is_an_error() {
    assert!(from_str::<LoadPlan>(r#"{"second": 5}"#).is_err());
    assert!(from_str::<LoadPlan>(r#"{"classes": [{"rates": 5}]}"#).is_err());
    assert!(from_str::<EngineSettings>(r#"{"batch": {"limit": 4}}"#).is_err());
}
