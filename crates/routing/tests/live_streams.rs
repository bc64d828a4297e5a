//! Tests of the choice between engines where prompts delay the live streams that run beside them.

#[path = "common/engines.rs"]
mod engines;

use crocushold_base::Millis;
use crocushold_routing::Demand;
use crocushold_routing::Outcome;
use crocushold_routing::Pick;
use crocushold_routing::Router;

use engines::START;
use engines::prompt;

/// Tokens in an event. At the initially assumed rate of 25 tokens per millisecond, an event beside
/// prompts takes 630 ms.
const EVENT_TOKENS: u32 = 7;

/// The pause that a live stream tolerates. It leaves 224 ms for prompts that wait.
const MAX_PAUSE: Millis = Millis(300);

/// A prompt with a prefill of 160 ms.
const SHORT: u32 = 4000;

/// A prompt with a prefill of 400 ms.
const LONG: u32 = 10_000;

fn router(count: usize, event_tokens: Option<u32>) -> Router {
    let (mut router, _) = engines::router(count, 64);
    router.protect_live_streams(event_tokens);
    router
}

fn live() -> Demand<'static> {
    Demand {
        priority: 0,
        max_pause: Some(MAX_PAUSE),
        ..prompt(250)
    }
}

fn send(router: &mut Router, demand: &Demand<'_>, now: Millis) -> Pick {
    router.pick(demand, now).expect("servers are free")
}

/// Starts a live stream, whose prompt is prefilled at once.
fn start_stream(router: &mut Router, now: Millis) -> Pick {
    let stream = send(router, &live(), now);
    router.first_byte(stream.attempt, now + Millis(30));
    stream
}

/// A prompt that leaves a live stream in time may run beside it: an engine that runs live streams
/// isn't lost to prompts.
#[test]
fn a_short_prompt_may_run_beside_a_live_stream() {
    let mut router = router(2, Some(EVENT_TOKENS));
    let queued = send(&mut router, &prompt(SHORT), START);
    let stream = start_stream(&mut router, START);
    assert_ne!(stream.server, queued.server);
    let beside = send(&mut router, &prompt(SHORT), START + Millis(50));
    assert_eq!(beside.server, stream.server);
}

/// Guards against prompts that make a live stream late although another engine is only busier: the
/// stream's next event would come with seven chunks of the prompt.
#[test]
fn a_prompt_that_delays_a_live_stream_goes_elsewhere() {
    for event_tokens in [None, Some(EVENT_TOKENS)] {
        let mut router = router(2, event_tokens);
        let queued = send(&mut router, &prompt(SHORT), START);
        let stream = start_stream(&mut router, START);
        assert_ne!(stream.server, queued.server);
        let long = send(&mut router, &prompt(LONG), START + Millis(50));
        let avoids = event_tokens.is_some();
        assert_eq!(long.server == queued.server, avoids, "{event_tokens:?}");
    }
}

/// A live stream that is late already can't be saved, and a stream that has ended needs no
/// protection. Keeping prompts away from their engines would only cost room.
#[test]
fn delayed_and_ended_streams_keep_no_prompt_away() {
    let mut router = router(2, Some(EVENT_TOKENS));
    let delayed = start_stream(&mut router, START);
    let now = START + Millis(50);
    let elsewhere = send(&mut router, &prompt(LONG), now);
    let beside = send(&mut router, &prompt(LONG), now);
    assert_ne!(elsewhere.server, delayed.server);
    // The other engine has more to prefill than one live stream is worth waiting for.
    assert_eq!(beside.server, delayed.server);
    let third = send(&mut router, &prompt(LONG), now);
    let fourth = send(&mut router, &prompt(LONG), now);
    assert_ne!(
        third.server, fourth.server,
        "both engines get prompts alike"
    );

    for has_ended in [false, true] {
        let mut router = self::router(2, Some(EVENT_TOKENS));
        let queued = send(&mut router, &prompt(SHORT), START);
        let stream = start_stream(&mut router, START);
        if has_ended {
            router.done(stream.attempt, Outcome::Complete, 1, START + Millis(40));
        }
        let next = send(&mut router, &prompt(LONG), START + Millis(50));
        let expected = if has_ended { &stream } else { &queued };
        assert_eq!(next.server, expected.server, "ended: {has_ended}");
    }
}

/// Guards against engines with a queue of prompts from before the placer that get the next ones,
/// because other instances have sent those.
#[test]
fn prompts_that_others_have_sent_count_in_full() {
    let mut router = router(2, Some(EVENT_TOKENS));
    let urgent = Demand {
        priority: 1,
        ..prompt(SHORT)
    };
    let own = send(&mut router, &urgent, START);
    let other = send(&mut router, &urgent, START);
    assert_ne!(own.server, other.server);
    router.first_byte(other.attempt, START);
    router.set_remote_pending(other.server, 400.0);
    let next = send(&mut router, &urgent, START + Millis(1));
    assert_eq!(next.server, own.server);
}

/// Guards against a live stream that isn't protected because its own prompt is long: that precedes
/// its first event.
#[test]
fn a_live_stream_with_a_long_prompt_is_protected() {
    let mut router = router(2, Some(EVENT_TOKENS));
    let demand = Demand {
        unique_tokens: LONG,
        tokens: LONG,
        ..live()
    };
    let stream = send(&mut router, &demand, START);
    router.first_byte(stream.attempt, START + Millis(430));
    let queued = send(&mut router, &prompt(SHORT), START + Millis(440));
    assert_ne!(queued.server, stream.server);
    let next = send(&mut router, &prompt(LONG), START + Millis(450));
    assert_eq!(next.server, queued.server);
}

/// Guards against live streams that begin where prompts wait. Their first token comes soon, as the
/// engine prefills urgent prompts first, but the next ones come with chunks of the others.
#[test]
fn a_live_stream_avoids_an_engine_with_a_queue_of_prompts() {
    let mut router = router(2, Some(EVENT_TOKENS));
    let queued = send(&mut router, &prompt(LONG), START);
    for _ in 0..20 {
        let stream = start_stream(&mut router, START + Millis(10));
        assert_ne!(stream.server, queued.server);
    }
}

/// Other short requests tolerate longer pauses. They go by the wait for their first token, before
/// which an engine prefills nothing less urgent, rather than to an engine with more urgent work.
#[test]
fn short_requests_overtake_less_urgent_prompts() {
    let mut router = router(2, Some(EVENT_TOKENS));
    let notice = Demand {
        priority: 1,
        ..prompt(SHORT)
    };
    let less_urgent = send(&mut router, &prompt(LONG), START);
    let urgent = send(&mut router, &notice, START);
    assert_ne!(less_urgent.server, urgent.server);
    let next = send(&mut router, &notice, START + Millis(1));
    assert_eq!(next.server, less_urgent.server);
}

/// Without published tokens of an event, or with neither live streams nor unequal ranks, the choice
/// is the one by the expected time to first token alone.
#[test]
fn without_live_streams_the_choice_is_unchanged() {
    let picks = |event_tokens| {
        let mut router = router(12, event_tokens);
        let mut picks = Vec::new();
        for number in 0..200_u64 {
            let now = START + Millis(number * 7);
            let tokens = 1000 + (number * 977 % 9000) as u32;
            let pick = send(&mut router, &prompt(tokens), now);
            if number % 3 == 0 {
                router.first_byte(pick.attempt, now + Millis(5));
            }
            picks.push(pick.server);
        }
        picks
    };
    assert_eq!(picks(None), picks(Some(EVENT_TOKENS)));
}
