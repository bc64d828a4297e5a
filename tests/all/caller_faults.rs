//! Callers that disconnect or stop reading, at each step of a request.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crocushold_standins::BatchSettings;
use crocushold_standins::EngineCommand;
use crocushold_standins::ServiceCommand;
use crocushold_standins::ServiceFault;
use test_case::test_case;

use crate::support::Call;
use crate::support::RawCaller;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::call;
use crate::support::wait;

/// Time after a disconnect within which the engine's work is cancelled.
const CANCEL_BOUND: Duration = Duration::from_millis(100);

fn with_slots(concurrency: u32) -> SiteSettings {
    SiteSettings {
        engines: 1,
        concurrency,
        ..SiteSettings::default()
    }
}

fn slow_engine() -> EngineCommand {
    EngineCommand::Batch {
        settings: BatchSettings {
            base_ms: 10_000.0,
            ..BatchSettings::default()
        },
    }
}

/// Closes the caller's connection and returns how long it took until the engine's work was
/// cancelled.
fn hang_up(site: &Site, caller: RawCaller, marker: &str) -> Duration {
    site.command_all_engines(&EngineCommand::HangUp {
        marker: marker.to_owned(),
    });
    drop(caller);
    let mut cancelled = None;
    wait("the engine's work is cancelled", || {
        let stats = site.engines.iter().map(|engine| engine.stats());
        let mut all = stats.flat_map(|stats| stats.cancellations);
        cancelled = all.find(|c| c.marker == marker);
        cancelled.is_some()
    });
    Duration::from_micros(cancelled.unwrap().after_us.unwrap())
}

// A caller announces a body, sends part of it and disconnects. The part would parse as a complete
// request, but no request has been made: no slot is taken, nothing runs, and the next caller is
// served.
#[test]
fn a_caller_gone_before_its_body_leaves_nothing() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    let request = Call::chat(true, 3).marked("gone");
    let mut caller = RawCaller::connect(entry.listen);
    let longer = Call {
        body: format!("{}  ", request.body),
        ..request.clone()
    };
    caller.write(longer.head().as_bytes());
    caller.write(request.body.as_bytes());
    drop(caller);
    let answer = call(entry.listen, &Call::chat(true, 3)).unwrap();
    assert!(answer.whole);
    entry.wait_idle();
    assert_eq!(site.runs("gone"), 0);
}

// A caller disconnects while its request is queued. The request leaves the queue without having
// run, and the one behind it moves up.
#[test]
fn a_caller_gone_from_the_queue_never_runs() {
    let site = Site::start(&with_slots(1));
    let entry = site.entry("entry-1");
    let first = RawCaller::send(entry.listen, &Call::batch(2000).marked("first"));
    wait("the only slot is taken", || site.runs("first") == 1);
    let gone = RawCaller::send(entry.listen, &Call::batch(2).marked("gone"));
    wait("it is queued", || entry.queued("batch") == 1);
    drop(gone);
    wait("it left the queue", || entry.queued("batch") == 0);
    drop(first);
    let answer = call(entry.listen, &Call::chat(true, 3)).unwrap();
    assert!(answer.whole);
    entry.wait_idle();
    assert_eq!(site.runs("gone"), 0);
}

// A caller disconnects while the engine works on its answer, before the first byte or during the
// stream. The engine would continue in vain: its work is cancelled within 100 ms and the slot is
// released.
#[test_case(None; "waiting for the first byte")]
#[test_case(Some("gone 1 "); "streaming")]
fn a_caller_gone_cancels_the_engines_work(until: Option<&str>) {
    let site = Site::start(&with_slots(1));
    let entry = site.entry("entry-1");
    if until.is_none() {
        site.command_all_engines(&slow_engine());
    }
    let mut caller = RawCaller::send(entry.listen, &Call::chat(true, 5000).marked("gone"));
    wait("the engine runs it", || site.runs("gone") == 1);
    assert_eq!(entry.running("chat"), 1);
    if let Some(text) = until {
        assert!(caller.read_until(text));
        site.command_all_engines(&EngineCommand::Slow { factor: 1000.0 });
    }
    let took = hang_up(&site, caller, "gone");
    assert!(took <= CANCEL_BOUND, "{took:?}");
    assert_eq!(site.held(), 0);
    entry.wait_idle();
    site.command_all_engines(&EngineCommand::Clear);
    site.command_all_engines(&EngineCommand::Batch {
        settings: BatchSettings::default(),
    });
    assert!(call(entry.listen, &Call::chat(true, 3)).unwrap().whole);
}

// A caller disconnects when the engine has sent its last token but not the end of the stream. The
// slot must be released although the answer is nearly complete.
#[test]
fn a_caller_gone_before_the_last_byte_gives_its_slot_back() {
    let site = Site::start(&with_slots(1));
    let entry = site.entry("entry-1");
    site.command_all_engines(&EngineCommand::Stall { after: Some(4) });
    let mut caller = RawCaller::send(entry.listen, &Call::chat(true, 4).marked("gone"));
    assert!(caller.read_until("gone 3 "));
    drop(caller);
    entry.wait_idle();
    site.command_all_engines(&EngineCommand::Clear);
    assert!(call(entry.listen, &Call::chat(true, 3)).unwrap().whole);
}

// A caller closes its connection after a complete answer. Nothing is cancelled: the connection to
// the engine may already carry another caller's request.
#[test]
fn a_caller_gone_while_idle_cancels_nobody() {
    let site = Site::start(&with_slots(8));
    let entry = site.entry("entry-1");
    let mut idle = RawCaller::send(entry.listen, &Call::chat(true, 2).marked("idle"));
    assert!(idle.read_until("\r\n0\r\n\r\n"));
    let mut other = RawCaller::send(entry.listen, &Call::chat(true, 30).marked("other"));
    assert!(other.read_until("other 1 "));
    drop(idle);
    assert!(other.read_until("\r\n0\r\n\r\n"));
    assert!(other.text().contains("other 29 "));
    assert_eq!(site.cancelled("other") + site.cancelled("idle"), 0);
    entry.wait_idle();
}

// The caller of a non-idempotent call disconnects while the server processes it. The call is not
// sent again, and the slot is released.
#[test]
fn a_booking_whose_caller_left_is_not_repeated() {
    let site = Site::start(&SiteSettings {
        services: 2,
        ..SiteSettings::default()
    });
    let entry = site.entry("entry-1");
    site.command_services(ServiceCommand::Fault {
        fault: ServiceFault::HangAfter,
        times: Some(1),
    });
    let caller = RawCaller::send(entry.listen, &Call::booking("left"));
    wait("the effect is there", || site.effects("left") == 1);
    drop(caller);
    entry.wait_idle();
    assert_eq!(site.effects("left"), 1);
    site.command_services(ServiceCommand::Clear);
    let answer = call(entry.listen, &Call::booking("next")).unwrap();
    assert_eq!(answer.status, 200);
}

// A caller stops reading a long stream. Others at the same engine are served meanwhile, and when
// the caller resumes reading it gets every byte of its own answer.
#[test]
fn a_caller_that_reads_on_late_gets_the_whole_answer() {
    let site = Site::start(&with_slots(2));
    let entry = site.entry("entry-1");
    site.command_all_engines(&EngineCommand::Batch {
        settings: BatchSettings {
            base_ms: 0.2,
            sequence_ms: 0.0,
            ..BatchSettings::default()
        },
    });
    let request = Call::chat(true, 1500).padded(20_000);
    let mut slow = RawCaller::send(entry.listen, &request);
    assert!(slow.read_until("data: "));
    wait("the engine has said it all", || site.held() == 0);
    assert_eq!(entry.in_flight(), 1, "the buffers took the whole answer");
    let others = Call::chat(true, 20).marked("other");
    for _ in 0..5 {
        let answer = call(entry.listen, &others).unwrap();
        assert!(answer.whole && answer.body.contains("other 19 "));
    }
    assert!(slow.read_until("[DONE]\n\n\r\n0\r\n\r\n"));
    assert!(slow.text().contains("x 1499 "));
    entry.wait_idle();
}

// A caller stops reading for good. Its connection is closed at the write timeout, which cancels the
// engine's work and releases the slot; until then it holds one slot only.
#[test]
fn a_caller_that_never_reads_is_cut() {
    let site = Site::start(&with_slots(2));
    let entry = site.entry("entry-1");
    site.command_all_engines(&EngineCommand::Batch {
        settings: BatchSettings {
            base_ms: 0.2,
            sequence_ms: 0.0,
            ..BatchSettings::default()
        },
    });
    let stuck = RawCaller::send(entry.listen, &Call::chat(true, 4000).padded(20_000));
    let start = Instant::now();
    while entry.in_flight() > 0 || start.elapsed() < Duration::from_secs(1) {
        assert!(
            start.elapsed() < Duration::from_secs(50),
            "it still holds its slot"
        );
        let answer = call(entry.listen, &Call::chat(true, 2)).unwrap();
        assert!(answer.whole, "another caller was affected");
        thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(site.held(), 0);
    drop(stuck);
}

// A caller sends part of its body and then nothing. After the body timeout it is told that nothing
// ran, and its connection is closed; no slot was ever taken.
#[test]
fn a_caller_that_never_sends_its_body_is_refused() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    let request = Call::chat(true, 3).marked("stuck");
    let mut stuck = RawCaller::connect(entry.listen);
    stuck.write(request.head().as_bytes());
    stuck.write(&request.body.as_bytes()[..10]);
    let text = stuck.read_to_end();
    assert!(text.starts_with("HTTP/1.1 4"), "{text}");
    assert!(text.contains("x-request-ran: no"), "{text}");
    entry.wait_idle();
    assert_eq!(site.runs("stuck"), 0);
}

// After a complete answer, a caller sends only a part of its next request on the same connection.
// The earlier answer stays complete; the second request is refused as not run after the body
// timeout, and the connection is closed.
#[test]
fn a_caller_too_slow_on_a_kept_connection_is_refused() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    let mut caller = RawCaller::send(entry.listen, &Call::chat(true, 2).marked("one"));
    assert!(caller.read_until("[DONE]\n\n\r\n0\r\n\r\n"));
    let second = Call::chat(true, 3).marked("two");
    caller.write(second.head().as_bytes());
    caller.write(&second.body.as_bytes()[..10]);
    let text = caller.read_to_end();
    let (_, rest) = text.split_once("\r\n0\r\n\r\n").unwrap();
    assert!(rest.starts_with("HTTP/1.1 4"), "{rest}");
    assert!(rest.contains("x-request-ran: no"), "{rest}");
    entry.wait_idle();
    assert_eq!(site.runs("two"), 0);
}
