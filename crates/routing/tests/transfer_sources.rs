//! Tests of the servers from which others transfer a cached prefix.

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::Demand;
use crocushold_routing::Outcome;
use crocushold_routing::Placement;
use crocushold_routing::Router;
use crocushold_routing::ServerSpec;
use crocushold_routing::Settings;
use slotmap::SlotMap;
use test_case::test_case;

const START: Millis = Millis(10_000);
const UNIQUE_TOKENS: u32 = 500;

/// Why the source may not respond.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// It is leaving and still answers a request.
    Leaving,
    /// It refused a connection.
    Ejected,
}

fn spec(key: ServerKey, id: u64) -> ServerSpec {
    ServerSpec {
        key,
        id,
        zone: "here".to_owned(),
        region: None,
        software: None,
        concurrency: 64,
        models: Vec::new(),
    }
}

/// Guards against a transfer from a server that is about to exit or doesn't respond, because the
/// instance that chose it doesn't know that yet.
#[test_case(Fault::Leaving)]
#[test_case(Fault::Ejected)]
fn a_source_that_another_instance_chose_must_be_usable(fault: Fault) {
    let mut keys: SlotMap<ServerKey, ()> = SlotMap::with_key();
    let [chosen, source] = [keys.insert(()), keys.insert(())];
    let mut router = Router::new(Settings::default(), "here", 7);
    router.configure(&[spec(chosen, 0), spec(source, 1)], START);
    let demand = Demand {
        unique_tokens: UNIQUE_TOKENS,
        ..Demand::default()
    };
    let placement = Placement {
        server: chosen,
        source: Some(source),
        wait: Millis::ZERO,
        prefill_tokens: UNIQUE_TOKENS,
    };
    let before = router.adopt(&placement, &demand, START);
    assert_eq!(before.map(|pick| pick.source), Some(Some(source)));
    let except_chosen = Demand {
        exclude: &[chosen],
        ..demand
    };
    let running = router.pick(&except_chosen, START).expect("it is free");
    match fault {
        Fault::Leaving => router.configure(&[spec(chosen, 0)], START),
        Fault::Ejected => {
            router.done(running.attempt, Outcome::Refused, 0, START);
        }
    }
    let after = router.adopt(&placement, &demand, START);
    assert_eq!(after.map(|pick| pick.source), Some(None));
}
