//! Requests that may run in some regions only.

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

const OWN: u32 = 500;
const SHARED: u32 = 6000;
const PREFIX: u64 = 7;

/// Tokens that a server brings from another in a millisecond.
const TRANSFER: f64 = 200.0;

/// A server in each of `north`, `south` and a region that isn't known.
fn router() -> (Router, Vec<ServerKey>) {
    let mut keys: SlotMap<ServerKey, ()> = SlotMap::with_key();
    let regions = [Some("north"), Some("south"), None];
    let specs = regions.into_iter().zip(0..).map(|(region, id)| ServerSpec {
        key: keys.insert(()),
        id,
        zone: "here".to_owned(),
        region: region.map(RegionKey::new),
        concurrency: 64,
        models: Vec::new(),
    });
    let specs: Vec<ServerSpec> = specs.collect();
    let mut router = Router::new(Settings::default(), "here", 7);
    router.configure(&specs, START);
    router.set_transfer_rate(Some(TRANSFER));
    (router, specs.iter().map(|spec| spec.key).collect())
}

fn demand(regions: &[RegionKey], unique_tokens: u32) -> Demand<'_> {
    Demand {
        unique_tokens,
        prefix_tokens: SHARED,
        prefix: Some(PREFIX),
        tokens: OWN + SHARED,
        central: true,
        regions: Some(regions),
        ..Demand::default()
    }
}

/// Guards against sending a request out of its regions since servers there are idle, or hold its prompt.
#[test_case(OWN; "an engine")]
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

/// Guards against bringing a part of a prompt from a server outside the request's regions.
#[test]
fn no_prompt_is_brought_from_another_region() {
    let (mut router, keys) = router();
    router.record_remote_prefix(keys[0], PREFIX, START);
    let anywhere = Demand {
        regions: None,
        exclude: &[keys[0]],
        ..demand(&[], OWN)
    };
    let pick = router.pick(&anywhere, LATER).expect("servers are free");
    assert_eq!(pick.source, Some(keys[0]), "else the check is void");
    let (mut router, keys) = self::router();
    router.record_remote_prefix(keys[0], PREFIX, START);
    let south = [RegionKey::new("south")];
    let pick = router.pick(&demand(&south, OWN), LATER);
    assert_eq!(pick.map(|pick| pick.source), Ok(None));
}

/// Guards against an instance that places by an older configuration.
#[test]
fn a_server_that_another_instance_chose_must_be_in_an_allowed_region() {
    let (mut router, keys) = router();
    let south = [RegionKey::new("south")];
    let placed = |server| Placement {
        server,
        source: None,
        wait: Millis::ZERO,
        prefill_tokens: OWN,
    };
    let demand = demand(&south, OWN);
    assert_eq!(router.adopt(&placed(keys[0]), &demand, START), None);
    assert_eq!(router.adopt(&placed(keys[2]), &demand, START), None);
    let abroad = Placement {
        source: Some(keys[0]),
        ..placed(keys[1])
    };
    let pick = router.adopt(&abroad, &demand, START);
    assert_eq!(pick.map(|pick| pick.source), Some(None));
}

/// Guards against a refusal that names another cause, and against regions that are empty taken for any.
#[test_case(&["east"]; "no server there")]
#[test_case(&[]; "no region is allowed")]
fn without_a_server_there_the_request_is_refused(regions: &[&str]) {
    let (mut router, _) = router();
    let regions: Vec<RegionKey> = regions.iter().map(|name| RegionKey::new(name)).collect();
    for own in [OWN, 0] {
        let refused = router.pick(&demand(&regions, own), START);
        assert_eq!(
            refused.map_err(|none| none.reason).err(),
            Some(Reason::Region)
        );
    }
}
