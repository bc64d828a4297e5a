//! A router that chooses for all instances: it knows every queue, as long as it hears what became of what it
//! placed.

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::Demand;
use crocushold_routing::EngineCapacity;
use crocushold_routing::Outcome;
use crocushold_routing::Pick;
use crocushold_routing::Placement;
use crocushold_routing::Router;
use crocushold_routing::ServerSpec;
use crocushold_routing::Settings;
use slotmap::SlotMap;
use test_case::test_case;

const START: Millis = Millis(10_000);

/// A prompt that takes about 250 ms to be read at the speed that is assumed at first.
const LONG: u32 = 6250;

fn router(count: usize) -> (Router, Vec<ServerKey>) {
    let mut keys: SlotMap<ServerKey, ()> = SlotMap::with_key();
    let specs = (0..count).map(|number| ServerSpec {
        key: keys.insert(()),
        id: number as u64,
        zone: "here".to_owned(),
        region: None,
        concurrency: 48,
        models: Vec::new(),
    });
    let specs: Vec<ServerSpec> = specs.collect();
    let mut router = Router::new(Settings::default(), "here", 7);
    router.configure(&specs, START);
    (router, specs.iter().map(|spec| spec.key).collect())
}

fn demand(tokens: u32) -> Demand<'static> {
    Demand {
        unique_tokens: tokens,
        tokens,
        priority: 2,
        central: true,
        ..Demand::default()
    }
}

fn pick(router: &mut Router, tokens: u32, now: Millis) -> Pick {
    let picked = router.pick(&demand(tokens), now);
    picked.expect("servers are free")
}

/// Sixty prompts come at once to twenty servers. Drawn at random, some servers would get six and others none;
/// known exactly, each gets three.
#[test]
fn a_rush_is_spread_evenly() {
    let (mut router, keys) = router(20);
    let mut counts = vec![0; keys.len()];
    for _ in 0..60 {
        let server = pick(&mut router, LONG, START).server;
        let place = keys.iter().position(|key| *key == server);
        counts[place.expect("it is configured")] += 1;
    }
    assert_eq!(counts, vec![3; 20]);
}

/// Two servers have a prompt each, and that of the first was sent 200 ms earlier: it is nearly read. The next
/// prompt goes there, and is told to wait for the rest.
#[test]
fn what_was_read_since_is_left_out() {
    let (mut router, _) = router(2);
    let first = pick(&mut router, LONG, START);
    let second = pick(&mut router, LONG, START + Millis(200));
    let third = pick(&mut router, LONG, START + Millis(210));
    assert_ne!(first.server, second.server);
    assert_eq!(third.server, first.server);
    assert!(third.wait <= Millis(60), "{:?}", third.wait);
}

/// An instance is killed, and nothing more is heard of the prompt that was placed for it. A prompt that was
/// sent to the same server later begins, so that the former was read or cut: it is no queue any more. Kept
/// until its time is over, each kill made an eighth of the servers seem seconds behind.
#[test]
fn a_prompt_that_was_overtaken_is_no_queue() {
    let (mut router, _) = router(1);
    pick(&mut router, LONG, START);
    let next = pick(&mut router, LONG, START + Millis(100));
    router.first_byte(next.attempt, START + Millis(600));
    let wait = pick(&mut router, LONG, START + Millis(700)).wait;
    assert_eq!(wait, Millis::ZERO);
}

/// A less urgent prompt that was sent earlier waits on when a more urgent one begins.
#[test]
fn a_prompt_that_was_passed_by_rank_still_waits() {
    let (mut router, _) = router(1);
    pick(&mut router, LONG, START);
    let urgent = Demand {
        priority: 0,
        ..demand(500)
    };
    let urgent = router.pick(&urgent, START + Millis(100)).expect("free");
    assert_eq!(urgent.wait, Millis::ZERO, "it doesn't wait for the other");
    router.first_byte(urgent.attempt, START + Millis(150));
    let wait = pick(&mut router, LONG, START + Millis(160)).wait;
    assert!(wait >= Millis(200), "{wait:?}");
}

/// The only word of a server that does nothing more is that its answer is overdue. It is avoided by half a
/// second, not by all the time that went by: its instance may be gone instead, and nobody would send there to
/// find out.
#[test]
fn a_server_is_avoided_by_half_a_second_at_most() {
    let (mut router, _) = router(1);
    pick(&mut router, LONG, START);
    let wait = pick(&mut router, LONG, START + Millis(5000)).wait;
    assert!(wait <= Millis(500), "{wait:?}");
    assert!(wait >= Millis(300), "{wait:?}");
}

/// A server that another instance chose takes a slot here, too, but what waits there is told by that one. One
/// that is out, or was tried, isn't taken.
#[test]
fn an_adopted_server_takes_a_slot_and_is_not_told() {
    let (mut router, keys) = router(2);
    let placed = Placement {
        server: keys[0],
        source: None,
        wait: Millis(40),
        prefill_tokens: LONG,
    };
    let pick = router.adopt(&placed, &demand(LONG), START).expect("in");
    assert_eq!(pick.server, keys[0]);
    assert_eq!(pick.wait, Millis(40));
    assert_eq!(router.pending_prefill().count(), 0);
    assert_eq!(router.standing(keys[0]).map(|why| why.in_flight), Some(1));
    router.done(pick.attempt, Outcome::Refused, 0, START + Millis(5));
    assert!(
        router
            .adopt(&placed, &demand(LONG), START + Millis(6))
            .is_none()
    );
    let tried = [keys[1]];
    let other = Placement {
        server: keys[1],
        ..placed
    };
    let again = Demand {
        exclude: &tried,
        ..demand(LONG)
    };
    assert!(router.adopt(&other, &again, START + Millis(6)).is_none());
}

/// Engines of two kinds read prompts beside the streams that they run. On one kind an event of a stream comes
/// after 123 ms, on the other after 95, and live streams bear 120. They go where they are on time, and go on to
/// do so while a short queue is there; prompts that bear more use both.
#[test]
fn live_streams_go_where_pauses_are_short() {
    let (mut router, keys) = router(4);
    let live = Demand {
        priority: 0,
        max_pause: Some(Millis(120)),
        ..demand(500)
    };
    for at in 0..40 {
        let now = START + Millis(at * 10);
        let placed = Placement {
            server: keys[at as usize % 4],
            source: None,
            wait: Millis::ZERO,
            prefill_tokens: 500,
        };
        let pick = router.adopt(&placed, &live, now).expect("free");
        let slow = pick.server == keys[0] || pick.server == keys[1];
        router.record_longest_pause(pick.attempt, Millis(if slow { 123 } else { 95 }));
        router.done(pick.attempt, Outcome::Complete, 30, now + Millis(5));
    }
    let now = START + Millis(500);
    for _ in 0..8 {
        let server = router.pick(&live, now).expect("free").server;
        assert!(server == keys[2] || server == keys[3]);
    }
    let mut used: Vec<ServerKey> = Vec::new();
    for _ in 0..8 {
        used.push(pick(&mut router, LONG, now).server);
    }
    assert!(keys.iter().all(|key| used.contains(key)), "{used:?}");
}

/// One of two servers runs all that it can, and none of that waits to be read. A request that is sent there
/// waits until a place comes free; it goes to the other one, and when both are full it is told the wait.
#[test_case(24, 500; "by slots")]
#[test_case(12, 20_000; "by memory")]
fn a_full_server_is_a_wait(running: usize, tokens: u32) {
    let (mut router, keys) = router(2);
    router.set_engine_capacity(Some(EngineCapacity {
        slots: 24,
        tokens: 240_000,
    }));
    let fill = |router: &mut Router, server: ServerKey| {
        let placed = Placement {
            server,
            source: None,
            wait: Millis::ZERO,
            prefill_tokens: 500,
        };
        for _ in 0..running {
            let pick = router.adopt(&placed, &demand(tokens), START).expect("free");
            router.first_byte(pick.attempt, START + Millis(20));
        }
    };
    let first = pick(&mut router, 500, START);
    router.first_byte(first.attempt, START + Millis(20));
    router.done(first.attempt, Outcome::Complete, 30, START + Millis(1000));
    fill(&mut router, keys[0]);
    let now = START + Millis(1000);
    let next = pick(&mut router, 500, now);
    assert_eq!(next.server, keys[1]);
    assert_eq!(next.wait, Millis::ZERO);
    fill(&mut router, keys[1]);
    let wait = pick(&mut router, 500, now).wait;
    // One of 24 places comes free each 42 ms.
    assert!(wait >= Millis(1), "{wait:?}");
    assert!(wait <= Millis(200), "{wait:?}");
}
