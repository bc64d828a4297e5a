//! Bursts, floods and stragglers, and hints about load and caches that are late or wrong.

use std::thread;

use crocushold_standins::EngineCommand;
use crocushold_standins::EngineSettings;
use test_case::test_case;

use crate::support::Answer;
use crate::support::Call;
use crate::support::Entry;
use crate::support::RawCaller;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::call;
use crate::support::spawn_call;
use crate::support::wait;

/// A site with one engine and few slots, on which a batch request takes a fraction of a second.
fn small() -> SiteSettings {
    SiteSettings {
        engines: 1,
        concurrency: 4,
        ..SiteSettings::default()
    }
}

/// Sends all requests at once.
fn send_all(
    entry: &Entry,
    count: usize,
    request: &Call,
) -> Vec<thread::JoinHandle<Option<Answer>>> {
    (0..count)
        .map(|_| spawn_call(entry.listen, request))
        .collect()
}

fn served(answer: &Option<Answer>) -> bool {
    answer
        .as_ref()
        .is_some_and(|answer| answer.status == 200 && answer.whole)
}

// A batch burst fills every slot and the queue. Interactive requests that arrive then take the next
// free slots: none is refused, and each starts before the batch requests that were queued first.
#[test]
fn a_burst_of_batch_refuses_and_delays_no_live_request() {
    let site = Site::start(&small());
    let entry = site.entry("entry-1");
    let batch = send_all(&entry, 40, &Call::batch(30));
    wait("the batch fills the slots", || entry.queued("batch") > 20);
    for number in 0..8 {
        let answer = call(entry.listen, &Call::chat(true, 2));
        assert!(served(&answer), "live request {number}: {answer:?}");
    }
    assert!(
        entry.queued("batch") > 0,
        "the interactive requests waited for the batch"
    );
    for answer in batch {
        assert!(served(&answer.join().unwrap()), "the batch must finish");
    }
    entry.wait_idle();
}

// A flood of interactive requests lasts for as long as the batch needs. The batch has a guaranteed
// share (`floor`), so it finishes during the flood, and no interactive request is refused for it.
#[test]
fn a_flood_of_live_requests_starves_no_batch() {
    let site = Site::start(&small());
    let entry = site.entry("entry-1");
    let listen = entry.listen;
    let interactive: Vec<_> = (0..10)
        .map(|_| {
            thread::spawn(move || {
                let request = Call::chat(true, 10);
                (0..25).all(|_| served(&call(listen, &request)))
            })
        })
        .collect();
    wait("the flood is there", || entry.running("chat") == 4);
    let batch = send_all(&entry, 4, &Call::batch(5));
    for answer in batch {
        assert!(served(&answer.join().unwrap()));
    }
    let lasting = interactive
        .iter()
        .filter(|flood| !flood.is_finished())
        .count();
    assert!(lasting > 0, "the batch finished only after the flood");
    for flood in interactive {
        assert!(flood.join().unwrap(), "an interactive request was refused");
    }
    entry.wait_idle();
}

// More batch requests arrive than the queue holds while all slots are in use. Each caller gets a
// final answer: it is served, or refused at once as not run, with a time to retry.
#[test]
fn a_burst_beyond_the_queue_is_refused_at_once() {
    let site = Site::start(&small());
    site.publish(|text| text.replace("queue = 5000", "queue = 10"));
    let entry = site.entry("entry-1");
    entry.wait_active(2);
    let answers: Vec<_> = (0..40)
        .map(|n| spawn_call(entry.listen, &Call::batch(100).marked(&format!("b-{n}"))))
        .collect();
    let mut refused = 0;
    for (number, answer) in answers.into_iter().enumerate() {
        let answer = answer.join().unwrap().unwrap();
        let runs = site.runs(&format!("b-{number}"));
        if answer.status == 200 {
            assert!(answer.whole && runs == 1);
            continue;
        }
        refused += 1;
        assert_eq!(answer.header("x-request-ran"), "no");
        assert_ne!(answer.header("retry-after"), "");
        assert_eq!(runs, 0, "told not run, and ran");
    }
    assert!(refused >= 40 - 4 - 10 - 4, "{refused}");
    entry.wait_idle();
}

// One of three engines becomes many times slower than the others. It is detected by its answers
// alone, and most later requests go to the other engines; no caller loses an answer.
#[test]
fn a_straggler_gets_little_new_work() {
    let site = Site::start(&SiteSettings {
        engines: 3,
        ..SiteSettings::default()
    });
    let entry = site.entry("entry-1");
    site.command_engine(0, EngineCommand::Slow { factor: 10.0 });
    send_rounds(&entry, 6, 4);
    let before = site.engines[0].stats().started;
    send_rounds(&entry, 6, 6);
    let share = site.engines[0].stats().started - before;
    assert!(share <= 7, "the straggler got {share} of 36");
    entry.wait_idle();
}

/// Sends requests from several callers, each of which sends its next request after the previous
/// answer.
fn send_rounds(entry: &Entry, callers: usize, rounds: usize) {
    let listen = entry.listen;
    let all: Vec<_> = (0..callers)
        .map(|_| {
            thread::spawn(move || {
                let request = Call::chat(true, 34);
                (0..rounds).all(|_| served(&call(listen, &request)))
            })
        })
        .collect();
    assert!(all.into_iter().all(|caller| caller.join().unwrap()));
}

// Load reports lag by many seconds and show a full engine as free, or cache events arrive late and
// with gaps. Both are only hints: requests are still spread by what is in flight, and all are
// answered.
#[test_case(&EngineCommand::ReportLag { ms: 20_000 }; "lagging load reports")]
#[test_case(&EngineCommand::Events { delay_ms: 3_000, gaps: 0.9 }; "gapped cache events")]
fn wrong_hints_overload_no_engine(fault: &EngineCommand) {
    let site = Site::start(&SiteSettings {
        engines: 2,
        engine: EngineSettings {
            models: vec!["m".to_owned()],
            ..EngineSettings::default()
        },
        ..SiteSettings::default()
    });
    site.command_all_engines(fault);
    let entry = site.entry("entry-1");
    // So slow that no answer ends before all requests are in flight, however late they arrive.
    site.command_all_engines(&EngineCommand::Slow { factor: 10_000.0 });
    let long = "one shared prefix ".repeat(40);
    let mut request = Call::chat(true, 20);
    request.body = request.body.replace("hello", &long);
    let calls = send_all(&entry, 12, &request);
    wait("all are at the engines", || {
        let ended = calls.iter().filter(|call| call.is_finished()).count();
        assert_eq!(ended, 0, "answered before it was at an engine");
        site.held() == 12
    });
    for engine in &site.engines {
        let held = engine.stats().running + engine.stats().waiting;
        assert!(held <= 8, "{held} of 12 on one engine of 8 slots");
    }
    site.command_all_engines(&EngineCommand::Slow { factor: 1.0 });
    assert!(calls.into_iter().all(|c| served(&c.join().unwrap())));
    entry.wait_idle();
}

// Callers disconnect in the middle of a burst, from the queue and from the engine, while the engine
// hangs. Every slot must be released, and the queued requests must move up.
#[test]
fn callers_that_leave_a_hanging_engine_free_its_slots() {
    let site = Site::start(&small());
    let entry = site.entry("entry-1");
    site.command_engine(0, EngineCommand::Hang { on: true });
    let callers: Vec<_> = (0..12)
        .map(|_| RawCaller::send(entry.listen, &Call::batch(5)))
        .collect();
    wait("slots and queue are full", || {
        entry.in_flight() >= 3 && entry.in_flight() + entry.queued("batch") == 12
    });
    drop(callers);
    entry.wait_idle();
    site.command_engine(0, EngineCommand::Hang { on: false });
    assert!(served(&call(entry.listen, &Call::chat(true, 2))));
}

// The batch takes slots with answers that last many seconds, and started work is never preempted.
// If it took every slot, an interactive request that arrives then would be refused at its deadline
// although only a lower tier is in its way: some slot has to be reserved for it.
#[test]
fn a_batch_of_long_answers_refuses_no_live_request() {
    let site = Site::start(&small());
    let entry = site.entry("entry-1");
    let batch: Vec<_> = (0..12)
        .map(|_| RawCaller::send(entry.listen, &Call::batch(1000)))
        .collect();
    wait("the batch waits for slots", || entry.queued("batch") >= 8);
    for number in 0..4 {
        let answer = call(entry.listen, &Call::chat(true, 2));
        assert!(served(&answer), "live request {number}: {answer:?}");
    }
    assert!(
        entry.running("batch") > 0,
        "the batch was blocked completely"
    );
    drop(batch);
    entry.wait_idle();
}

/// A site with two engines of four slots each.
fn pair() -> SiteSettings {
    SiteSettings {
        concurrency: 4,
        ..SiteSettings::default()
    }
}

/// Sends more batch requests than both engines of a [`pair`] have slots, and lets the first engine fail when the
/// slots are taken.
fn fail_in_burst(
    site: &Site,
    entry: &Entry,
    fault: EngineCommand,
) -> Vec<thread::JoinHandle<Option<Answer>>> {
    let batch = send_all(entry, 40, &Call::batch(20));
    wait("the batch fills both engines", || {
        entry.queued("batch") > 20 && site.engines.iter().all(|e| e.stats().running >= 3)
    });
    site.command_engine(0, fault);
    batch
}

/// Guards against interactive requests that are refused, or served after the queued batch, when one of two
/// engines crashes in the middle of a burst. The batch is served too: neither is dropped because of the loss.
#[test]
fn a_burst_on_a_crashing_engine_refuses_no_live_request() {
    let site = Site::start(&pair());
    let entry = site.entry("entry-1");
    let batch = fail_in_burst(&site, &entry, EngineCommand::Crash);
    for number in 0..8 {
        let answer = call(entry.listen, &Call::chat(true, 2));
        assert!(served(&answer), "live request {number}: {answer:?}");
    }
    assert!(
        entry.queued("batch") > 0,
        "the interactive requests waited for the batch"
    );
    for answer in batch {
        assert!(served(&answer.join().unwrap()), "the batch must finish");
    }
    entry.wait_idle();
}

/// Largest wait of an interactive request in the queue, as a fraction of the mean wait of the batch.
const MAX_WAIT_RATIO: f64 = 0.1;

/// Guards against interactive requests that are refused, or wait for the queued batch, when one of two engines
/// becomes many times slower in the middle of a burst. Calls that run on the slow engine take long, so the
/// instance's own measure of the wait counts.
#[test]
fn a_burst_on_a_straggling_engine_refuses_and_delays_no_live_request() {
    let site = Site::start(&pair());
    let entry = site.entry("entry-1");
    let batch = fail_in_burst(&site, &entry, EngineCommand::Slow { factor: 10.0 });
    let mut longest: f64 = 0.0;
    for number in 0..8 {
        let (before, _) = entry.queue_waits("chat");
        let answer = call(entry.listen, &Call::chat(true, 2));
        assert!(served(&answer), "live request {number}: {answer:?}");
        let (after, count) = entry.queue_waits("chat");
        assert!(count > f64::from(number), "{count} waits");
        longest = longest.max(after - before);
    }
    for answer in batch {
        assert!(served(&answer.join().unwrap()), "the batch must finish");
    }
    let (sum, count) = entry.queue_waits("batch");
    let mean = sum / count;
    println!("a live request waited for {longest:.3} s at most, the batch for {mean:.3} s");
    assert!(
        longest <= mean * MAX_WAIT_RATIO,
        "an interactive request waited for the batch: {longest:.3} s, which waited for {mean:.3} s"
    );
    entry.wait_idle();
}
