//! Backend servers that refuse, crash, hang or answer 503 before an answer has begun.

use std::time::Duration;
use std::time::Instant;

use crocushold_standins::EngineCommand;
use crocushold_standins::EngineSettings;
use crocushold_standins::ServiceCommand;
use crocushold_standins::ServiceFault;
use test_case::test_case;

use crate::support::Answer;
use crate::support::Call;
use crate::support::RawCaller;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::call;
use crate::support::spawn_call;
use crate::support::wait;

/// Number of requests from which an instance learns the latency of first bytes.
const WARM_UP_REQUESTS: usize = 32;

fn one_engine() -> SiteSettings {
    SiteSettings {
        engines: 1,
        ..SiteSettings::default()
    }
}

/// A site whose plain service has a second server that could take a repeated call.
fn two_services() -> SiteSettings {
    SiteSettings {
        services: 2,
        ..SiteSettings::default()
    }
}

/// A site whose engines take many seconds for the first token.
fn slow() -> SiteSettings {
    let mut settings = SiteSettings::default();
    settings.engine = EngineSettings {
        batch: crocushold_standins::BatchSettings {
            base_ms: 15_000.0,
            ..settings.engine.batch
        },
        ..settings.engine
    };
    settings
}

fn assert_whole(answer: &Answer, marker: &str) {
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert!(answer.whole);
    assert!(answer.body.contains(marker), "{}", answer.body);
}

// One of two engines refuses connections. The caller gets a complete answer, whichever engine is
// tried first: a refused connection proves that the request didn't run, so it goes to the other
// engine.
#[test]
fn a_refused_connection_is_followed_by_another_server() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    site.command_engine(0, EngineCommand::Refuse { on: true });
    for number in 0..8 {
        let marker = format!("refused-{number}");
        let answer = call(entry.listen, &Call::chat(true, 3).marked(&marker)).unwrap();
        assert_whole(&answer, &marker);
        assert_eq!(site.runs(&marker), 1);
    }
    site.assert_recovers(&entry);
}

// Every server refuses connections. The caller is told, at the latest at its deadline, that the
// request was not run, and the counters of the stand-ins agree: nothing ran, not even later.
#[test_case(Call::chat(true, 3); "a model call")]
#[test_case(Call::booking("refused"); "a call that must not run twice")]
fn without_a_server_the_request_is_told_not_run(request: Call) {
    let site = Site::start(&one_engine());
    let entry = site.entry("entry-1");
    site.command_engine(0, EngineCommand::Refuse { on: true });
    site.command_services(ServiceCommand::Refuse { on: true });
    let request = request.marked("refused").header("x-timeout-ms", "2000");
    let answer = call(entry.listen, &request).unwrap();
    assert!(answer.status >= 500, "{}", answer.status);
    assert_eq!(answer.header("x-request-ran"), "no", "{}", answer.body);
    assert_ne!(answer.header("retry-after"), "");
    site.command_services(ServiceCommand::Clear);
    site.assert_recovers(&entry);
    assert_eq!(site.runs("refused") + site.effects("refused"), 0);
}

// An engine crashes while a request waits for its first byte. The request is idempotent and nothing
// was relayed, so it is retried on the other engine and the caller gets one complete answer.
#[test]
fn a_crash_before_the_first_byte_is_followed_by_another_server() {
    let site = Site::start(&slow());
    let entry = site.entry("entry-1");
    let waiting = spawn_call(entry.listen, &Call::chat(true, 3).marked("crash"));
    let first = site.runner("crash");
    let fast = crocushold_standins::BatchSettings::default();
    site.command_engine(1 - first, EngineCommand::Batch { settings: fast });
    site.command_engine(first, EngineCommand::Crash);
    assert_whole(&waiting.join().unwrap().unwrap(), "crash");
    assert_eq!(site.engines[1 - first].runs("crash"), 1);
    entry.wait_idle();
}

// One engine hangs before its first byte. An instance that has learned the latency of first bytes
// gives up on the engine after a multiple of it, and the caller gets a complete answer from the
// other engine.
#[test]
fn a_hang_before_the_first_byte_is_followed_by_another_server() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    for _ in 0..WARM_UP_REQUESTS {
        call(entry.listen, &Call::chat(true, 1)).unwrap();
    }
    site.command_engine(0, EngineCommand::Hang { on: true });
    let calls: Vec<_> = (0..4)
        .map(|n| {
            spawn_call(
                entry.listen,
                &Call::chat(true, 3).marked(&format!("hang-{n}")),
            )
        })
        .collect();
    for (number, answer) in calls.into_iter().enumerate() {
        assert_whole(&answer.join().unwrap().unwrap(), &format!("hang-{number}"));
    }
    site.assert_recovers(&entry);
}

// A server answers 503. An idempotent request is retried at the other server; if all servers answer
// 503, the caller is told that the request may have run, since a status proves nothing about the
// work.
#[test_case(1, 200, ""; "one server of two")]
#[test_case(2, 502, "unknown"; "all servers")]
fn an_unavailable_server_is_followed_by_another(engines: usize, status: u16, ran: &str) {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    for number in 0..engines {
        site.command_engine(number, EngineCommand::Unavailable { on: true });
    }
    for _ in 0..4 {
        let answer = call(entry.listen, &Call::chat(true, 3)).unwrap();
        assert_eq!(answer.status, status, "{}", answer.body);
        assert_eq!(answer.header("x-request-ran"), ran);
        assert!(answer.whole);
    }
    site.assert_recovers(&entry);
}

// Engines crash and restart while an instance keeps idle connections to them. A stale connection
// must not fail the next request: the caller gets a complete answer, and the request runs once.
#[test]
fn a_crash_of_idle_connections_is_not_seen() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    for number in 0..6 {
        let marker = format!("idle-{number}");
        let answer = call(entry.listen, &Call::chat(true, 3).marked(&marker)).unwrap();
        assert_whole(&answer, &marker);
        assert_eq!(site.runs(&marker), 1);
        site.command_all_engines(&EngineCommand::Crash);
        site.command_all_engines(&EngineCommand::Restart);
    }
    entry.wait_idle();
}

// The server of a non-idempotent call fails after the call's effect. The call is sent once in any
// case: the caller is told "unknown", and the effect occurs exactly once.
#[test_case(ServiceFault::DropAfter; "connection closed after the effect")]
#[test_case(ServiceFault::CrashAfter; "crash after the effect")]
#[test_case(ServiceFault::HangAfter; "hang after the effect")]
fn a_booking_that_may_have_run_is_not_repeated(fault: ServiceFault) {
    let site = Site::start(&two_services());
    let entry = site.entry("entry-1");
    site.command_services(ServiceCommand::Fault {
        fault,
        times: Some(1),
    });
    let booking = Call::booking("once").header("x-timeout-ms", "3000");
    let answer = call(entry.listen, &booking).unwrap();
    assert_eq!(answer.status, 502, "{}", answer.body);
    assert_eq!(answer.header("x-request-ran"), "unknown");
    assert_eq!(answer.header("retry-after"), "", "asked to retry");
    assert_eq!(site.effects("once"), 1);
    entry.wait_idle();
}

// The server of a non-idempotent call answers 503. Nothing proves that the call had no effect, so
// the answer is passed on and the call is sent once.
#[test]
fn a_booking_answered_unavailable_is_sent_once() {
    let site = Site::start(&two_services());
    let entry = site.entry("entry-1");
    site.command_services(ServiceCommand::Fault {
        fault: ServiceFault::Unavailable,
        times: Some(1),
    });
    let answer = call(entry.listen, &Call::booking("busy")).unwrap();
    assert_eq!(answer.status, 503);
    assert_ne!(answer.header("x-request-ran"), "no");
    assert_eq!(site.booking_calls(), 1);
    entry.wait_idle();
}

// Guards against sending to a server before the time that it asked to wait: further calls wait in
// the queue or are refused as not run, and are served once the time is over.
#[test]
fn a_server_that_asks_for_rest_gets_no_calls_until_its_end() {
    let site = Site::start(&two_services());
    let entry = site.entry("entry-1");
    site.command_services(ServiceCommand::Fault {
        fault: ServiceFault::Resting,
        times: Some(1),
    });
    let servers = 2;
    for number in 0..servers {
        let answer = call(entry.listen, &Call::booking(&format!("busy-{number}"))).unwrap();
        assert_eq!(answer.status, 503);
    }
    let early = Call::booking("early").header("x-timeout-ms", "500");
    let answer = call(entry.listen, &early).unwrap();
    assert_eq!(answer.header("x-request-ran"), "no", "{}", answer.body);
    assert_eq!(site.booking_calls(), servers);
    let start = Instant::now();
    let late = Call::booking("late").header("x-timeout-ms", "8000");
    let answer = call(entry.listen, &late).unwrap();
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert!(start.elapsed() > Duration::from_secs(2));
    assert_eq!(site.effects("late"), 1);
    entry.wait_idle();
}

// An engine crashes with requests in flight and others queued. The queued requests never reached
// it, and those in flight are idempotent and nothing of them was relayed: each gets a complete
// answer from the remaining engine.
#[test]
fn a_crash_beside_a_queue_is_not_seen() {
    let site = Site::start(&SiteSettings {
        concurrency: 2,
        ..SiteSettings::default()
    });
    let entry = site.entry("entry-1");
    let calls: Vec<_> = (0..10)
        .map(|n| {
            let request = Call::batch(15).marked(&format!("queued-{n}"));
            spawn_call(entry.listen, &request)
        })
        .collect();
    wait("some wait behind both engines", || {
        entry.queued("batch") >= 4 && site.engines.iter().all(|e| e.stats().running > 0)
    });
    site.command_engine(0, EngineCommand::Crash);
    for (number, answer) in calls.into_iter().enumerate() {
        assert_whole(
            &answer.join().unwrap().unwrap(),
            &format!("queued-{number}"),
        );
    }
    site.assert_recovers(&entry);
}

// Every engine answers 503 while requests are queued. Each caller gets a final answer, at the
// latest when the engines work again: a complete answer, or that the request may have run. No
// request stays in the queue.
#[test]
fn engines_that_are_unavailable_leave_nobody_in_the_queue() {
    let site = Site::start(&SiteSettings {
        concurrency: 2,
        ..SiteSettings::default()
    });
    let entry = site.entry("entry-1");
    let calls: Vec<_> = (0..12)
        .map(|_| spawn_call(entry.listen, &Call::batch(15)))
        .collect();
    wait("some are queued", || entry.queued("batch") >= 6);
    site.command_all_engines(&EngineCommand::Unavailable { on: true });
    wait("some are refused", || {
        site.engines.iter().any(|e| e.stats().refused > 0)
    });
    site.command_all_engines(&EngineCommand::Unavailable { on: false });
    for answer in calls {
        let answer = answer.join().unwrap().unwrap();
        let unknown = answer.status == 502 && answer.header("x-request-ran") == "unknown";
        let whole = answer.status == 200 && answer.whole;
        assert!(unknown || whole, "{}: {}", answer.status, answer.body);
    }
    site.assert_recovers(&entry);
}

// An engine crashes with a request that was sent to it, and the other engine is full until the
// request's deadline. The request waits in the queue for its second attempt and is refused there,
// where nothing of it has run: its caller must be told "unknown" without a time to retry.
#[test]
fn a_request_that_was_sent_is_not_told_not_run_by_the_queue() {
    let mut settings = slow();
    settings.concurrency = 1;
    let site = Site::start(&settings);
    let entry = site.entry("entry-1");
    let request = Call::batch(3).marked("mine").header("x-timeout-ms", "2000");
    let waiting = spawn_call(entry.listen, &request);
    let runner = site.runner("mine");
    let filler = RawCaller::send(entry.listen, &Call::chat(true, 3).marked("filler"));
    assert_ne!(site.runner("filler"), runner);
    site.command_engine(runner, EngineCommand::Crash);
    wait("it waits for a second turn", || entry.queued("batch") == 1);
    let answer = waiting.join().unwrap().unwrap();
    assert!(answer.status >= 500, "{}", answer.status);
    assert_eq!(answer.header("x-request-ran"), "unknown", "{}", answer.body);
    assert_eq!(answer.header("retry-after"), "");
    drop(filler);
    entry.wait_idle();
}
