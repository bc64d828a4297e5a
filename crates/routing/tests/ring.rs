//! Tests of the homes of prompts on a ring that follows the servers as they come and go.

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::Demand;
use crocushold_routing::Outcome;
use crocushold_routing::Router;
use crocushold_routing::ServerSpec;
use crocushold_routing::Settings;
use slotmap::SlotMap;

const NOW: Millis = Millis(10_000);
const PREFIXES: u64 = 300;

fn specs(count: u64) -> Vec<ServerSpec> {
    let mut keys: SlotMap<ServerKey, ()> = SlotMap::with_key();
    let specs = (0..count).map(|id| ServerSpec {
        key: keys.insert(()),
        id,
        zone: "here".to_owned(),
        region: None,
        software: None,
        concurrency: 64,
        models: Vec::new(),
    });
    specs.collect()
}

/// The server of each prefix when nothing else is known of the servers.
fn homes(router: &mut Router) -> Vec<ServerKey> {
    let homes = (0..PREFIXES).map(|prefix| {
        let demand = Demand {
            prefix: Some(prefix),
            tokens: 100,
            ..Demand::default()
        };
        let pick = router.pick(&demand, NOW).expect("servers are free");
        router.done(pick.attempt, Outcome::Cancelled, 0, NOW);
        pick.server
    });
    homes.collect()
}

fn router() -> Router {
    Router::new(Settings::default(), "here", 7)
}

/// Guards against instances that send a prompt to different homes because they saw the servers
/// arrive in different orders.
#[test]
fn homes_are_the_same_however_the_servers_came() {
    let specs = specs(20);
    let mut at_once = router();
    at_once.configure(&specs[4..18], NOW);
    let mut in_steps = router();
    for (from, to) in [(0, 3), (0, 20), (10, 12), (2, 15), (4, 18)] {
        in_steps.configure(&specs[from..to], NOW);
    }
    assert_eq!(homes(&mut in_steps), homes(&mut at_once));
}
