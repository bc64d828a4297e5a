//! Tests of requests that may run only in some regions.

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::Demand;
use crocushold_routing::Placement;
use crocushold_routing::Reason;
use crocushold_routing::RegionKey;
use crocushold_routing::Router;
use crocushold_routing::ServerSpec;
use crocushold_routing::Settings;
use slotmap::SlotMap;
use test_case::test_case;

const START: Millis = Millis(10_000);
const LATER: Millis = Millis(12_000);

const UNIQUE_TOKENS: u32 = 500;
const PREFIX_TOKENS: u32 = 6000;
const PREFIX: u64 = 7;

/// Transfer rate between servers, in tokens per millisecond.
const TRANSFER_RATE: f64 = 200.0;

/// A router with a server each in `north`, `south` and an unknown region.
fn router() -> (Router, Vec<ServerKey>) {
    let mut keys: SlotMap<ServerKey, ()> = SlotMap::with_key();
    let regions = [Some("north"), Some("south"), None];
    let specs = regions.into_iter().zip(0..).map(|(region, id)| ServerSpec {
        key: keys.insert(()),
        id,
        zone: "here".to_owned(),
        region: region.map(RegionKey::new),
        software: None,
        concurrency: 64,
        models: Vec::new(),
    });
    let specs: Vec<ServerSpec> = specs.collect();
    let mut router = Router::new(Settings::default(), "here", 7);
    router.configure(&specs, START);
    router.set_transfer_rate(Some(TRANSFER_RATE));
    (router, specs.iter().map(|spec| spec.key).collect())
}

fn demand(regions: &[RegionKey], unique_tokens: u32) -> Demand<'_> {
    Demand {
        unique_tokens,
        prefix_tokens: PREFIX_TOKENS,
        prefix: Some(PREFIX),
        tokens: UNIQUE_TOKENS + PREFIX_TOKENS,
        central: true,
        regions: Some(regions),
        ..Demand::default()
    }
}

/// Guards against sending a request outside its regions because servers there are idle or hold its
/// prompt.
#[test_case(UNIQUE_TOKENS; "an engine")]
#[test_case(0; "a plain server")]
fn all_go_to_the_allowed_region(own: u32) {
    let (mut router, keys) = router();
    let south = [RegionKey::new("south")];
    router.record_remote_prefix(keys[0], PREFIX, START);
    for _ in 0..20 {
        let pick = router.pick(&demand(&south, own), LATER);
        assert_eq!(pick.map(|pick| pick.server), Ok(keys[1]));
    }
}

/// Guards against transferring part of a prompt from a server outside the request's regions.
#[test]
fn no_prefix_is_transferred_from_another_region() {
    let (mut router, keys) = router();
    router.record_remote_prefix(keys[0], PREFIX, START);
    let anywhere = Demand {
        regions: None,
        exclude: &[keys[0]],
        ..demand(&[], UNIQUE_TOKENS)
    };
    let pick = router.pick(&anywhere, LATER).expect("servers are free");
    assert_eq!(
        pick.source,
        Some(keys[0]),
        "without a transfer this test proves nothing"
    );
    let (mut router, keys) = self::router();
    router.record_remote_prefix(keys[0], PREFIX, START);
    let south = [RegionKey::new("south")];
    let pick = router.pick(&demand(&south, UNIQUE_TOKENS), LATER);
    assert_eq!(pick.map(|pick| pick.source), Ok(None));
}

/// Guards against placements by an instance with an older configuration.
#[test]
fn a_server_that_another_instance_chose_must_be_in_an_allowed_region() {
    let (mut router, keys) = router();
    let south = [RegionKey::new("south")];
    let placement = |server| Placement {
        server,
        source: None,
        wait: Millis::ZERO,
        prefill_tokens: UNIQUE_TOKENS,
    };
    let demand = demand(&south, UNIQUE_TOKENS);
    assert_eq!(router.adopt(&placement(keys[0]), &demand, START), None);
    assert_eq!(router.adopt(&placement(keys[2]), &demand, START), None);
    let from_other_region = Placement {
        source: Some(keys[0]),
        ..placement(keys[1])
    };
    let pick = router.adopt(&from_other_region, &demand, START);
    assert_eq!(pick.map(|pick| pick.source), Some(None));
}

/// Guards against a refusal with the wrong reason, and against treating an empty set of regions as
/// all regions.
#[test_case(&["east"]; "no server there")]
#[test_case(&[]; "no region is allowed")]
fn without_a_server_there_the_request_is_refused(regions: &[&str]) {
    let (mut router, _) = router();
    let regions: Vec<RegionKey> = regions.iter().map(|name| RegionKey::new(name)).collect();
    for own in [UNIQUE_TOKENS, 0] {
        let refused = router.pick(&demand(&regions, own), START);
        assert_eq!(
            refused.map_err(|refusal| refusal.reason).err(),
            Some(Reason::Region)
        );
    }
}
