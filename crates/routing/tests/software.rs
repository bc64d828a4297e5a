//! Requests that require a software version.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::Demand;
use crocushold_routing::Placement;
use crocushold_routing::Reason;
use crocushold_routing::Router;
use crocushold_routing::ServerSpec;
use crocushold_routing::Settings;
use crocushold_routing::SoftwareKey;
use slotmap::SlotMap;
use test_case::test_case;

const START: Millis = Millis(1000);

/// A router with two servers each of `v1` and `v2`, and one of unknown version.
fn router() -> (Router, Vec<ServerKey>) {
    let mut keys: SlotMap<ServerKey, ()> = SlotMap::with_key();
    let versions = [Some("v1"), Some("v1"), Some("v2"), Some("v2"), None];
    let specs = versions
        .into_iter()
        .zip(0..)
        .map(|(version, id)| ServerSpec {
            key: keys.insert(()),
            id,
            zone: "here".to_owned(),
            region: None,
            software: version.map(SoftwareKey::new),
            concurrency: 8,
            models: Vec::new(),
        });
    let specs: Vec<ServerSpec> = specs.collect();
    let mut router = Router::new(Settings::default(), "here", 7);
    router.configure(&specs, START);
    (router, specs.iter().map(|spec| spec.key).collect())
}

fn demand(version: &str, unique_tokens: u32, central: bool) -> Demand<'static> {
    Demand {
        software: Some(SoftwareKey::new(version)),
        unique_tokens,
        tokens: unique_tokens,
        central,
        ..Demand::default()
    }
}

/// Guards against a choice of another version because its servers have free slots.
#[test_case(0, false; "a plain server")]
#[test_case(500, false; "an engine")]
#[test_case(500, true; "an engine for all instances")]
fn all_go_to_the_required_version(unique_tokens: u32, central: bool) {
    let (mut router, servers) = router();
    let demand = demand("v1", unique_tokens, central);
    for _ in 0..16 {
        let pick = router.pick(&demand, START).unwrap();
        assert!(servers[..2].contains(&pick.server));
    }
    assert_eq!(
        router.pick(&demand, START).unwrap_err().reason,
        Reason::Busy
    );
}

/// Guards against a reason that makes a caller wait for servers that never get free.
#[test]
fn a_version_without_servers_is_the_reason() {
    let (mut router, _) = router();
    let refused = router.pick(&demand("v3", 0, false), START).unwrap_err();
    assert_eq!(refused.reason, Reason::Software);
}

/// Guards against the choice of another instance that knows another version of the server.
#[test]
fn a_choice_of_another_version_is_not_adopted() {
    let (mut router, servers) = router();
    let place = |server| Placement {
        server,
        source: None,
        wait: Millis::ZERO,
        prefill_tokens: 0,
    };
    let demand = demand("v1", 500, false);
    assert!(router.adopt(&place(servers[0]), &demand, START).is_some());
    assert!(router.adopt(&place(servers[2]), &demand, START).is_none());
    assert!(router.adopt(&place(servers[4]), &demand, START).is_none());
}
