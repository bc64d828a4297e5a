//! Tests of servers that asked an instance for rest, on that instance and on the placer.

mod common;

use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_gateway::Choice;
use crocushold_gateway::Fleet;
use crocushold_gateway::Need;
use crocushold_gateway::PlacementRequest;
use crocushold_gateway::PlacementVerdict;
use crocushold_gateway::Placer;
use crocushold_gateway::RequestEnd;
use crocushold_gateway::RequestUpdate;
use crocushold_gateway::ServerRecord;
use crocushold_gateway::UpdateKind;
use crocushold_routing::NoServer;
use crocushold_routing::Outcome;
use crocushold_routing::Reason;
use test_case::test_case;

use crate::common::START;

const REST: Millis = Millis(3000);

/// Longest time for which a rest is extended.
const MAX_SPREAD: Millis = Millis(1000);

fn need() -> Need {
    Need {
        service: "svc".to_owned(),
        model: Some("m".to_owned()),
        prompt_tokens: 100,
        unique_tokens: 100,
        ..Need::default()
    }
}

/// The entry of an engine.
fn record(id: &str, started: u64) -> ServerRecord {
    ServerRecord {
        models: vec!["m".to_owned()],
        ..common::record(id, started)
    }
}

/// An instance that knows these engines.
fn fleet(servers: &[&str], seed: u64) -> Fleet {
    let mut fleet = common::fleet(seed);
    for id in servers {
        fleet.list(&record(id, 1), START);
    }
    fleet
}

/// Sends a request that the server rejects, with this rest.
fn reject(fleet: &mut Fleet, span: Millis, now: Millis) -> Choice {
    let choice = fleet.pick(&need(), &[], now).expect("a free server");
    fleet.record_rest(&choice, span, now);
    fleet.done(&choice, Outcome::Overloaded, 0, now);
    choice
}

fn refusal(fleet: &mut Fleet, now: Millis) -> Option<NoServer> {
    fleet.pick(&need(), &[], now).err()
}

/// Guards against a rest that ends early, and against one that never ends.
#[test_case(Millis(1); "shortest")]
#[test_case(REST; "usual")]
#[test_case(Millis::from_secs(600); "long")]
fn a_rest_ends_at_its_time(span: Millis) {
    let mut fleet = fleet(&["s1"], 7);
    reject(&mut fleet, span, START);
    let refused = refusal(&mut fleet, START + Millis(span.0 - 1)).expect("it rests");
    assert_eq!(refused.reason, Reason::Resting);
    assert!(refusal(&mut fleet, START + span + MAX_SPREAD).is_none());
}

/// Guards against a server that is out of use for years because of a wrong value.
#[test]
fn an_absurd_rest_is_bounded() {
    let mut fleet = fleet(&["s1"], 7);
    reject(&mut fleet, Millis::MAX, START);
    let day = Millis::from_secs(24 * 3600);
    assert!(refusal(&mut fleet, START + day).is_none());
}

/// Guards against taking a rest for a failure: repeated rejections must not eject the server beyond
/// its rest.
#[test]
fn a_rest_is_no_failure() {
    let mut fleet = fleet(&["s1", "s2"], 7);
    let first = reject(&mut fleet, REST, START);
    let other = fleet.pick(&need(), &[], START).expect("a free server");
    fleet.done(&other, Outcome::Complete, 1, START);
    let mut now = START;
    for _ in 0..5 {
        now += REST + MAX_SPREAD;
        let choice = fleet.pick(&need(), &[other.server], now);
        let choice = choice.expect("it is used after its rest");
        assert_eq!(choice.id, first.id);
        fleet.record_rest(&choice, REST, now);
        fleet.done(&choice, Outcome::Overloaded, 0, now);
    }
}

/// Guards against a server that stays unused after its rest, as one on trial would while others are
/// idle: requests that run at most once don't test it.
#[test]
fn a_server_is_used_after_its_rest_while_others_are_idle() {
    let mut fleet = fleet(&["s1", "s2"], 7);
    let rested = reject(&mut fleet, REST, START);
    let later = START + REST + MAX_SPREAD;
    let mut picked = Vec::new();
    for number in 0..40 {
        let now = later + Millis(number * 100);
        let choice = fleet.pick(&need(), &[], now).expect("a free server");
        fleet.first_byte(&choice, now);
        fleet.done(&choice, Outcome::Complete, 1, now);
        picked.push(choice.id);
    }
    assert!(picked.contains(&rested.id));
}

/// Guards against instances that all return to a server at the same moment.
#[test]
fn instances_return_at_different_times() {
    let mut ends: Vec<u64> = Vec::new();
    for seed in 0..20 {
        let mut fleet = fleet(&["s1"], seed);
        reject(&mut fleet, REST, START);
        let refused = refusal(&mut fleet, START).expect("it rests");
        assert!(refused.retry_after >= REST);
        assert!(refused.retry_after <= REST + MAX_SPREAD);
        ends.push(refused.retry_after.0);
    }
    ends.sort_unstable();
    ends.dedup();
    assert!(ends.len() > 15, "{ends:?}");
}

/// Guards against forgetting a rest when the server's entry expires and is written again, and
/// against keeping it for the next process.
#[test_case(1, true; "the same process")]
#[test_case(2, false; "another process")]
fn a_rest_outlives_the_entry_but_not_the_process(started: u64, rests: bool) {
    let mut fleet = fleet(&["s1"], 7);
    reject(&mut fleet, REST, START);
    fleet.unlist("s1");
    let later = START + Millis(1000);
    fleet.list(&record("s1", started), later);
    assert_eq!(refusal(&mut fleet, later).is_some(), rests);
    assert!(refusal(&mut fleet, START + REST + MAX_SPREAD).is_none());
}

fn ask(number: u32, resting: Vec<u32>) -> PlacementRequest {
    PlacementRequest {
        number,
        zone: "z".to_owned(),
        remaining: Millis(5000),
        tried: Vec::new(),
        need: need(),
        resting,
        line: None,
    }
}

/// Guards against a placer that sends an instance to a server that wants nothing from it, and
/// against one that takes the server from all others.
#[test]
fn the_placer_knows_whom_a_server_turned_away() {
    let mut asking = fleet(&["s1", "s2"], 7);
    let mut placing = fleet(&["s1", "s2"], 8);
    let mut placer = Placer::default();
    let rejected = reject(&mut asking, REST, START);
    let resting = asking.resting("svc", START);
    assert_eq!(resting.len(), 1);
    let from = SocketAddr::from(([10, 0, 0, 1], 1));
    let other = SocketAddr::from(([10, 0, 0, 2], 1));
    let mut others_got_it = false;
    for number in 0..10 {
        let reply = placer.place(&mut placing, from, &ask(number, resting.clone()), START);
        let PlacementVerdict::Placed(placement) = reply.verdict else {
            panic!("not placed");
        };
        assert!(!resting.contains(&placement.engine));
        let adopted = asking.adopt(&need(), &placement, &[], START);
        assert!(adopted.is_some_and(|choice| choice.id != rejected.id));
        let reply = placer.place(&mut placing, other, &ask(number, Vec::new()), START);
        if let PlacementVerdict::Placed(placement) = reply.verdict {
            others_got_it |= resting.contains(&placement.engine);
        }
    }
    assert!(others_got_it);
    let later = START + REST + MAX_SPREAD;
    assert!(asking.resting("svc", later).is_empty());
}

/// Guards against applying the placer's own rests to the requests of others.
#[test]
fn the_placers_own_rest_binds_only_its_requests() {
    let mut placing = fleet(&["s1"], 7);
    placing.set_placer(true);
    reject(&mut placing, REST, START);
    assert!(refusal(&mut placing, START).is_some());
    let from = SocketAddr::from(([10, 0, 0, 1], 1));
    let reply = Placer::default().place(&mut placing, from, &ask(1, Vec::new()), START);
    assert!(matches!(reply.verdict, PlacementVerdict::Placed(_)));
}

/// Guards against a placement on a resting server by an instance that doesn't know of the rest.
#[test]
fn a_placement_on_a_resting_server_is_not_used() {
    let mut asking = fleet(&["s1"], 7);
    reject(&mut asking, REST, START);
    let mut placing = fleet(&["s1"], 8);
    let from = SocketAddr::from(([10, 0, 0, 1], 1));
    let reply = Placer::default().place(&mut placing, from, &ask(1, Vec::new()), START);
    let PlacementVerdict::Placed(placement) = reply.verdict else {
        panic!("not placed");
    };
    assert!(asking.adopt(&need(), &placement, &[], START).is_none());
}

/// Guards against a server that stands idle for seconds after it has asked some instances for rest: the placer
/// took their rejections for failures and sent it nothing while others were free, ten seconds after one
/// rejection, and until a success after two.
#[test_case(1; "one instance")]
#[test_case(2; "two instances")]
#[test_case(3; "three instances")]
fn a_server_is_placed_again_after_the_rests_of_others(rested: u16) {
    let mut placing = fleet(&["s1", "s2"], 8);
    let mut placer = Placer::default();
    let address = |port| SocketAddr::from(([10, 0, 0, 1], port));
    for port in 1..=rested {
        let now = START + Millis(u64::from(port) * 300);
        let request = ask(1, vec![hash("s2")]);
        placer.place(&mut placing, address(port), &request, now);
        let mut asking = fleet(&["s1"], 7);
        let rejected = reject(&mut asking, REST, now);
        let result = asking.told_outcome(&rejected, Outcome::Overloaded);
        end(&mut placer, &mut placing, address(port), 1, result, now);
    }
    let later = START + REST + MAX_SPREAD;
    let mut is_used = false;
    for number in 0..40 {
        let now = later + Millis(u64::from(number) * 100);
        let reply = placer.place(&mut placing, address(9), &ask(number, Vec::new()), now);
        let PlacementVerdict::Placed(placement) = reply.verdict else {
            panic!("not placed");
        };
        is_used |= placement.engine == hash("s1");
        let complete = Outcome::Complete;
        end(&mut placer, &mut placing, address(9), number, complete, now);
    }
    assert!(is_used);
}

/// The hash of a server, by which instances name it to each other.
fn hash(id: &str) -> u32 {
    let mut fleet = fleet(&[id], 7);
    reject(&mut fleet, REST, START);
    fleet.resting("svc", START)[0]
}

/// Reports the end of a request to its placer.
fn end(
    placer: &mut Placer,
    fleet: &mut Fleet,
    from: SocketAddr,
    number: u32,
    result: Outcome,
    now: Millis,
) {
    let kind = UpdateKind::Ended(RequestEnd {
        result,
        tokens: 1,
        pause: None,
    });
    placer.apply_update(fleet, from, RequestUpdate { number, kind }, now);
}
