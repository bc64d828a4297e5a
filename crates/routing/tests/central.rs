//! Tests of a router that chooses for all instances. It knows every queue as long as it receives
//! the outcomes of what it placed.

#[path = "common/engines.rs"]
mod engines;

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::Demand;
use crocushold_routing::EngineCapacity;
use crocushold_routing::Outcome;
use crocushold_routing::Pick;
use crocushold_routing::Placement;
use crocushold_routing::Router;
use test_case::test_case;

use engines::START;
use engines::prompt;
use engines::router;

/// A prompt with a prefill of about 250 ms at the initially assumed rate.
const LONG: u32 = 6250;

/// Number of requests that an engine runs concurrently.
const SLOTS: u32 = 48;

fn pick(router: &mut Router, tokens: u32, now: Millis) -> Pick {
    let picked = router.pick(&prompt(tokens), now);
    picked.expect("servers are free")
}

/// Guards against an uneven distribution of a burst. Sixty prompts arrive at once for twenty
/// servers. With random sampling some servers would get six and others none; with exact queues each
/// gets three.
#[test]
fn a_burst_is_distributed_evenly() {
    let (mut router, keys) = router(20, SLOTS);
    let mut counts = vec![0; keys.len()];
    for _ in 0..60 {
        let server = pick(&mut router, LONG, START).server;
        let place = keys.iter().position(|key| *key == server);
        counts[place.expect("it is configured")] += 1;
    }
    assert_eq!(counts, vec![3; 20]);
}

/// Guards against counting finished prefill as queue. Of two servers with a prompt each, the first
/// got its prompt 200 ms earlier and has nearly finished the prefill. The next prompt goes there,
/// with the remaining time as its wait.
#[test]
fn finished_prefill_is_not_counted_as_queue() {
    let (mut router, _) = router(2, SLOTS);
    let first = pick(&mut router, LONG, START);
    let second = pick(&mut router, LONG, START + Millis(200));
    let third = pick(&mut router, LONG, START + Millis(210));
    assert_ne!(first.server, second.server);
    assert_eq!(third.server, first.server);
    assert!(third.wait <= Millis(60), "{:?}", third.wait);
}

/// Guards against servers that seem seconds behind because an instance was killed. Nothing more is
/// reported of the prompt placed for it. When a prompt sent later to the same server begins, the
/// earlier one was prefilled or cut and no longer counts as queue. Counting it until its deadline
/// made an eighth of the servers seem seconds behind after each kill.
#[test]
fn an_overtaken_prompt_is_not_counted_as_queue() {
    let (mut router, _) = router(1, SLOTS);
    pick(&mut router, LONG, START);
    let next = pick(&mut router, LONG, START + Millis(100));
    router.first_byte(next.attempt, START + Millis(600));
    let wait = pick(&mut router, LONG, START + Millis(700)).wait;
    assert_eq!(wait, Millis::ZERO);
}

/// A less urgent prompt that was sent earlier still waits when a more urgent one begins.
#[test]
fn a_less_urgent_prompt_still_waits() {
    let (mut router, _) = router(1, SLOTS);
    pick(&mut router, LONG, START);
    let urgent = Demand {
        priority: 0,
        ..prompt(500)
    };
    let urgent = router.pick(&urgent, START + Millis(100)).expect("free");
    assert_eq!(urgent.wait, Millis::ZERO, "it doesn't wait for the other");
    router.first_byte(urgent.attempt, START + Millis(150));
    let wait = pick(&mut router, LONG, START + Millis(160)).wait;
    assert!(wait >= Millis(200), "{wait:?}");
}

/// Guards against avoiding a server for too long because an answer is overdue. The server is
/// avoided by half a second rather than by the whole delay, because the instance of the request may
/// be gone and nobody would send to the server to find out.
#[test]
fn a_server_is_avoided_by_half_a_second_at_most() {
    let (mut router, _) = router(1, SLOTS);
    pick(&mut router, LONG, START);
    let wait = pick(&mut router, LONG, START + Millis(5000)).wait;
    assert!(wait <= Millis(500), "{wait:?}");
    assert!(wait >= Millis(300), "{wait:?}");
}

/// An adopted placement takes a slot here too, but its prefill is reported by the instance that
/// chose the server. A placement on an ejected or already tried server isn't adopted.
#[test]
fn an_adopted_placement_takes_a_slot_and_is_not_reported() {
    let (mut router, keys) = router(2, SLOTS);
    let placement = Placement {
        server: keys[0],
        source: None,
        wait: Millis(40),
        prefill_tokens: LONG,
    };
    let pick = router
        .adopt(&placement, &prompt(LONG), START)
        .expect("the server is usable");
    assert_eq!(pick.server, keys[0]);
    assert_eq!(pick.wait, Millis(40));
    assert_eq!(router.pending_prefill().count(), 0);
    assert_eq!(
        router.standing(keys[0]).map(|standing| standing.in_flight),
        Some(1)
    );
    router.done(pick.attempt, Outcome::Refused, 0, START + Millis(5));
    assert!(
        router
            .adopt(&placement, &prompt(LONG), START + Millis(6))
            .is_none()
    );
    let tried = [keys[1]];
    let other = Placement {
        server: keys[1],
        ..placement
    };
    let again = Demand {
        exclude: &tried,
        ..prompt(LONG)
    };
    assert!(router.adopt(&other, &again, START + Millis(6)).is_none());
}

/// Guards against live streams on engines where their pauses are too long. Engines of two kinds
/// prefill prompts while they run streams. The gap between events is 123 ms on one kind and 95 ms
/// on the other, and live streams tolerate 120 ms. They go to the faster kind even if it has a
/// short queue; prompts that tolerate more use both.
#[test]
fn live_streams_go_where_pauses_are_short() {
    let (mut router, keys) = router(4, SLOTS);
    let live = Demand {
        priority: 0,
        max_pause: Some(Millis(120)),
        ..prompt(500)
    };
    for at in 0..40 {
        let now = START + Millis(at * 10);
        let placement = Placement {
            server: keys[at as usize % 4],
            source: None,
            wait: Millis::ZERO,
            prefill_tokens: 500,
        };
        let pick = router.adopt(&placement, &live, now).expect("free");
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

/// Guards against ignoring the capacity of a server. One of two servers runs as much as it can
/// without any pending prefill. A request sent there waits for a free slot, so it goes to the other
/// server, and when both are full the wait is reported.
#[test_case(24, 500; "by slots")]
#[test_case(12, 20_000; "by memory")]
fn a_full_server_adds_a_wait(running: usize, tokens: u32) {
    let (mut router, keys) = router(2, SLOTS);
    router.set_engine_capacity(Some(EngineCapacity {
        slots: 24,
        tokens: 240_000,
    }));
    let fill = |router: &mut Router, server: ServerKey| {
        let placement = Placement {
            server,
            source: None,
            wait: Millis::ZERO,
            prefill_tokens: 500,
        };
        for _ in 0..running {
            let pick = router
                .adopt(&placement, &prompt(tokens), START)
                .expect("free");
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
    // One of 24 slots becomes free every 42 ms.
    assert!(wait >= Millis(1), "{wait:?}");
    assert!(wait <= Millis(200), "{wait:?}");
}
