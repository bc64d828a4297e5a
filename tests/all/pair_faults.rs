//! Two faults at once: entry processes that are frozen or shut down while something else fails.

use std::time::Duration;
use std::time::Instant;

use crocushold_standins::BatchSettings;
use crocushold_standins::EngineCommand;
use crocushold_standins::PlatformCommand;

use crate::support::Call;
use crate::support::RawCaller;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::call;
use crate::support::spawn_call;
use crate::support::wait;

fn one_slot() -> SiteSettings {
    SiteSettings {
        engines: 1,
        concurrency: 1,
        ..SiteSettings::default()
    }
}

// The engine crashes in the middle of a stream during a graceful shutdown. The shutdown must not
// hide the cut: the caller sees that its answer is incomplete, and the process still exits by
// itself.
#[test]
fn a_crash_during_a_planned_stop_is_a_visible_cut() {
    let site = Site::start(&one_slot());
    let mut entry = site.entry("entry-1");
    let mut caller = RawCaller::send(entry.listen, &Call::chat(true, 5000).marked("cut"));
    assert!(caller.read_until("cut 0 "));
    entry.signal("TERM");
    entry.wait_closed();
    site.command_engine(0, EngineCommand::Crash);
    caller.read_to_end();
    assert!(!caller.is_whole());
    assert!(entry.wait_exit());
    assert_eq!(site.runs("cut"), 1);
}

// During a graceful shutdown the engine hangs, and then the caller disconnects. The process must
// exit at once rather than at the drain timeout.
#[test]
fn a_planned_stop_does_not_wait_for_callers_that_left() {
    let site = Site::start(&one_slot());
    let mut entry = site.entry("entry-1");
    site.command_engine(0, EngineCommand::Hang { on: true });
    let caller = RawCaller::send(entry.listen, &Call::batch(5));
    wait("it is in flight", || entry.in_flight() == 1);
    entry.signal("TERM");
    entry.wait_closed();
    drop(caller);
    let start = Instant::now();
    assert!(entry.wait_exit());
    assert!(
        start.elapsed() < Duration::from_secs(10),
        "waited for a caller that had left"
    );
}

// The configuration changes while a process is frozen. After it resumes, it must not serve a
// revoked key for more than a few seconds, although its state is older than it believes.
#[test]
fn a_frozen_instance_takes_the_change_it_missed() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    assert_eq!(
        call(entry.listen, &Call::chat(true, 1)).unwrap().status,
        200
    );
    entry.signal("STOP");
    site.publish(|text| text.replace("[account chat]", "[account renamed]"));
    site.publish(|text| text.replace("classes = chat, lookup, confirm", "classes = batch"));
    entry.signal("CONT");
    entry.wait_active(site.platform.stats().revision);
    let answer = call(entry.listen, &Call::chat(true, 1).header("x-class", "chat")).unwrap();
    assert_ne!(answer.status, 200);
}

// The platform goes down while a process is frozen. After it resumes, the process keeps its
// configuration and serves requests.
#[test]
fn a_frozen_instance_that_wakes_to_an_outage_serves_on() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    assert!(call(entry.listen, &Call::chat(true, 1)).unwrap().whole);
    entry.signal("STOP");
    site.command_platform(PlatformCommand::Down { on: true });
    entry.signal("CONT");
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(3) {
        let answer = call(entry.listen, &Call::chat(true, 3)).unwrap();
        assert!(answer.status == 200 && answer.whole);
    }
    assert_eq!(entry.status().config.revision, 1);
}

// The engine crashes while a process is frozen in the middle of a stream. After it resumes, the
// process must neither take the received bytes for a complete answer nor run the request again: the
// caller sees a cut.
#[test]
fn a_frozen_instance_relays_the_cut_of_its_engine() {
    let site = Site::start(&one_slot());
    let entry = site.entry("entry-1");
    let mut caller = RawCaller::send(entry.listen, &Call::chat(true, 5000).marked("cut"));
    assert!(caller.read_until("cut 1 "));
    entry.signal("STOP");
    site.command_engine(0, EngineCommand::Crash);
    site.command_engine(0, EngineCommand::Restart);
    entry.signal("CONT");
    caller.read_to_end();
    assert!(!caller.is_whole());
    site.assert_recovers(&entry);
    assert_eq!(site.runs("cut"), 1);
}

// The caller disconnects while a process is frozen. Soon after it resumes, the engine's work is
// cancelled and the slot is released.
#[test]
fn a_frozen_instance_cancels_the_work_of_a_caller_that_left() {
    let site = Site::start(&one_slot());
    let entry = site.entry("entry-1");
    let mut caller = RawCaller::send(entry.listen, &Call::chat(true, 5000).marked("gone"));
    assert!(caller.read_until("gone 1 "));
    site.command_all_engines(&EngineCommand::Slow { factor: 10_000.0 });
    entry.signal("STOP");
    drop(caller);
    assert_eq!(site.held(), 1);
    entry.signal("CONT");
    wait("the engine's work is cancelled", || site.held() == 0);
    site.assert_recovers(&entry);
}

// A server shuts down while a process is frozen, and the process resumes with a list that still
// calls the server live. No caller notices: the other servers answer, and the one that is gone gets
// no work.
#[test]
fn a_frozen_instance_wakes_to_a_server_that_left() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    assert!(call(entry.listen, &Call::chat(true, 1)).unwrap().whole);
    entry.signal("STOP");
    site.command_engine(0, EngineCommand::Crash);
    let calls: Vec<_> = (0..6)
        .map(|_| spawn_call(entry.listen, &Call::chat(true, 3)))
        .collect();
    entry.signal("CONT");
    for answer in calls {
        let answer = answer.join().unwrap().unwrap();
        assert!(answer.status == 200 && answer.whole, "{}", answer.body);
    }
    entry.wait_idle();
}

// A graceful shutdown is requested while the process is frozen. After it resumes, the stream in
// progress completes before the process exits.
#[test]
fn a_frozen_instance_stops_as_planned_when_it_wakes() {
    let site = Site::start(&one_slot());
    let mut entry = site.entry("entry-1");
    let mut caller = RawCaller::send(entry.listen, &Call::chat(true, 100).marked("last"));
    assert!(caller.read_until("last 1 "));
    entry.signal("STOP");
    entry.signal("TERM");
    entry.signal("CONT");
    entry.wait_closed();
    assert!(caller.read_until("[DONE]\n\n\r\n0\r\n\r\n"), "cut");
    assert!(caller.text().contains("last 99 "));
    assert!(entry.wait_exit());
}

// The platform goes down during a graceful shutdown, which doesn't depend on it: the stream in
// progress completes, and the process exits by itself.
#[test]
fn a_planned_stop_needs_no_platform() {
    let site = Site::start(&one_slot());
    let mut entry = site.entry("entry-1");
    let mut caller = RawCaller::send(entry.listen, &Call::chat(true, 100).marked("last"));
    assert!(caller.read_until("last 1 "));
    site.command_platform(PlatformCommand::Frozen { on: true });
    entry.signal("TERM");
    entry.wait_closed();
    assert!(caller.read_until("[DONE]\n\n\r\n0\r\n\r\n"), "cut");
    assert!(entry.wait_exit());
}

// One of two engines crashes during a graceful shutdown with queued requests. Each request in
// progress gets its complete answer from the other engine, and the process exits by itself.
#[test]
fn a_crash_during_a_planned_stop_loses_no_queue() {
    let site = Site::start(&SiteSettings {
        concurrency: 2,
        ..SiteSettings::default()
    });
    let mut entry = site.entry("entry-1");
    let calls: Vec<_> = (0..10)
        .map(|_| spawn_call(entry.listen, &Call::batch(30)))
        .collect();
    wait("a queue waits behind both engines", || {
        entry.queued("batch") >= 4 && site.engines.iter().all(|e| e.stats().running > 0)
    });
    entry.signal("TERM");
    site.command_engine(0, EngineCommand::Crash);
    for answer in calls {
        let answer = answer.join().unwrap().unwrap();
        assert!(answer.status == 200 && answer.whole, "{}", answer.body);
    }
    assert!(entry.wait_exit());
}

// The engine crashes while a process is frozen and a request waits for its first byte. Nothing was
// relayed and the request is idempotent, so it is retried on the other engine and the caller gets a
// complete answer.
#[test]
fn a_frozen_instance_retries_the_request_of_a_crashed_engine() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    site.command_all_engines(&EngineCommand::Batch {
        settings: BatchSettings {
            base_ms: 5_000.0,
            ..BatchSettings::default()
        },
    });
    let waiting = spawn_call(entry.listen, &Call::chat(true, 3).marked("crash"));
    let runner = site.runner("crash");
    entry.signal("STOP");
    site.command_engine(runner, EngineCommand::Crash);
    let settings = BatchSettings::default();
    site.command_engine(1 - runner, EngineCommand::Batch { settings });
    entry.signal("CONT");
    let answer = waiting.join().unwrap().unwrap();
    assert!(answer.status == 200 && answer.whole, "{}", answer.body);
    assert_eq!(site.engines[1 - runner].runs("crash"), 1);
    entry.wait_idle();
}

// A caller with a queued request disconnects while the process is frozen; then the slot is
// released. The request of that caller is not started, and the one behind it takes the slot.
#[test]
fn a_frozen_instance_does_not_start_the_request_of_a_caller_that_left() {
    let site = Site::start(&one_slot());
    let entry = site.entry("entry-1");
    let first = RawCaller::send(entry.listen, &Call::batch(5000).marked("first"));
    wait("the slot is taken", || site.runs("first") == 1);
    let gone = RawCaller::send(entry.listen, &Call::batch(2).marked("gone"));
    wait("one is queued", || entry.queued("batch") == 1);
    let stays = spawn_call(entry.listen, &Call::batch(2).marked("stays"));
    wait("two are queued", || entry.queued("batch") == 2);
    entry.signal("STOP");
    drop(gone);
    entry.signal("CONT");
    wait("one left the queue", || entry.queued("batch") == 1);
    drop(first);
    let answer = stays.join().unwrap().unwrap();
    assert!(answer.status == 200 && answer.whole, "{}", answer.body);
    entry.wait_idle();
    assert_eq!(site.runs("gone"), 0);
}
