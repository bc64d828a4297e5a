//! Entry processes that are frozen, killed or shut down gracefully.

use std::io::Write;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crocushold_standins::BatchSettings;
use crocushold_standins::EngineCommand;
use crocushold_standins::ServiceCommand;
use crocushold_standins::ServiceFault;
use test_case::test_case;

use crate::support::Call;
use crate::support::Entry;
use crate::support::RawCaller;
use crate::support::RawServer;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::call;
use crate::support::spawn_call;
use crate::support::wait;

/// The site's notice period and drain timeout, with tolerance for a busy machine.
const SHUTDOWN_BOUND: Duration = Duration::from_secs(30);

/// Longer than the connect timeout to a server.
const PAUSE: Duration = Duration::from_millis(1_300);

/// Much shorter than the drain timeout, for a shutdown that has nothing to wait for.
const IDLE_SHUTDOWN_BOUND: Duration = Duration::from_secs(10);

fn one_slot() -> SiteSettings {
    SiteSettings {
        engines: 1,
        concurrency: 1,
        ..SiteSettings::default()
    }
}

fn slow(base_ms: f64) -> EngineCommand {
    let settings = BatchSettings {
        base_ms,
        ..BatchSettings::default()
    };
    EngineCommand::Batch { settings }
}

fn wait_draining(entry: &Entry) {
    entry.wait_for("/health", |answer| answer.status == 503);
}

// A graceful shutdown is requested while an answer streams. The health check fails first, new
// callers are still served during the notice period, then the listener closes; the stream
// completes.
#[test]
fn a_planned_stop_cuts_no_stream() {
    let site = Site::start(&SiteSettings::default());
    let mut entry = site.entry("entry-1");
    let mut caller = RawCaller::send(entry.listen, &Call::chat(true, 150).marked("last"));
    assert!(caller.read_until("last 0 "));
    entry.signal("TERM");
    wait_draining(&entry);
    let during = call(entry.listen, &Call::chat(true, 2));
    assert!(
        during.unwrap().whole,
        "the instance serves during the notice period"
    );
    entry.wait_closed();
    assert!(caller.read_until("[DONE]\n\n\r\n0\r\n\r\n"), "cut");
    assert!(caller.text().contains("last 149 "));
    assert!(entry.wait_exit());
    assert_eq!(site.runs("last"), 1);
}

// A graceful shutdown is requested while requests are queued, wait for their first byte, or have
// sent half of their body. Each was in progress when the listener closed, so each gets its complete
// answer.
#[test_case("queued"; "queued")]
#[test_case("first-byte"; "waiting for the first byte")]
#[test_case("body"; "before reading the body")]
fn a_planned_stop_answers_what_is_in_progress(step: &str) {
    let site = Site::start(&one_slot());
    let mut entry = site.entry("entry-1");
    site.command_all_engines(&slow(150.0));
    let request = Call::batch(12).marked("mine");
    let mut first = RawCaller::send(
        entry.listen,
        &Call::batch(if step == "queued" { 12 } else { 1 }),
    );
    wait("the slot is taken", || site.runs("") == 1);
    let mut mine = RawCaller::connect(entry.listen);
    mine.write(request.head().as_bytes());
    mine.write(&request.body.as_bytes()[..10]);
    if step != "body" {
        mine.write(&request.body.as_bytes()[10..]);
    }
    match step {
        "queued" => wait("it is queued", || entry.queued("batch") == 1),
        "first-byte" => wait("the engine runs it", || site.runs("mine") == 1),
        _ => assert!(first.read_until("usage")),
    }
    entry.signal("TERM");
    entry.wait_closed();
    if step == "body" {
        mine.write(&request.body.as_bytes()[10..]);
    }
    assert!(
        mine.read_until("\"completion_tokens\":12"),
        "{}",
        mine.text()
    );
    drop(first);
    assert!(entry.wait_exit());
    assert_eq!(site.runs("mine"), 1);
}

// A caller keeps an idle connection while the instance shuts down. A request that arrives on it
// during the notice period is answered, then the connection is closed and the process exits.
#[test]
fn a_planned_stop_ends_idle_connections() {
    let site = Site::start(&SiteSettings::default());
    let mut entry = site.entry("entry-1");
    let mut idle = RawCaller::send(entry.listen, &Call::chat(true, 2).marked("one"));
    assert!(idle.read_until("\r\n0\r\n\r\n"));
    entry.signal("TERM");
    let start = Instant::now();
    wait_draining(&entry);
    let second = Call::chat(true, 2).marked("two");
    idle.write(second.head().as_bytes());
    idle.write(second.body.as_bytes());
    let text = idle.read_to_end();
    assert!(
        text.contains("two 1 ") && text.ends_with("0\r\n\r\n"),
        "{text}"
    );
    assert!(entry.wait_exit());
    assert!(
        start.elapsed() < IDLE_SHUTDOWN_BOUND,
        "waited for an idle connection"
    );
}

// A request doesn't end within the drain timeout. At the timeout the process exits, and the
// caller's answer is visibly cut, never one that looks complete.
#[test]
fn a_planned_stop_ends_at_its_bound() {
    let site = Site::start(&one_slot());
    let mut entry = site.entry("entry-1");
    site.command_engine(0, slow(500.0));
    let mut caller = RawCaller::send(entry.listen, &Call::chat(true, 5000).marked("long"));
    assert!(caller.read_until("long 0 "));
    entry.signal("TERM");
    let start = Instant::now();
    caller.read_to_end();
    assert!(
        start.elapsed() < SHUTDOWN_BOUND,
        "it drained for {:?}",
        start.elapsed()
    );
    assert!(!caller.is_whole());
    entry.wait_exit();
    wait("the engine's work is cancelled", || site.held() == 0);
}

// An instance is killed while it has requests at an engine and at a plain service. Callers see
// their connections end without a complete answer, the engine's work is cancelled with the
// connection, and the booking, which may have run, isn't run again.
#[test]
fn a_killed_instance_leaves_visible_cuts_and_no_work() {
    let site = Site::start(&SiteSettings {
        services: 2,
        ..SiteSettings::default()
    });
    let mut entry = site.entry("entry-1");
    site.command_services(ServiceCommand::Fault {
        fault: ServiceFault::HangAfter,
        times: Some(1),
    });
    let mut stream = RawCaller::send(entry.listen, &Call::chat(true, 5000).marked("killed"));
    assert!(stream.read_until("killed 1 "));
    let mut booking = RawCaller::send(entry.listen, &Call::booking("killed"));
    wait("the effect is there", || site.effects("killed") == 1);
    entry.kill();
    stream.read_to_end();
    assert!(!stream.is_whole());
    assert_eq!(booking.read_to_end(), "");
    wait("the engine's work is cancelled", || site.held() == 0);
    assert_eq!(site.runs("killed"), 1);
    assert_eq!(site.effects("killed"), 1);
}

// An instance is killed while it has a queued request. The request never reaches an engine, and
// another instance serves the caller's repeat.
#[test]
fn a_killed_instance_never_runs_what_was_queued() {
    let site = Site::start(&one_slot());
    let mut entry = site.entry("entry-1");
    let other = site.entry("entry-2");
    let first = RawCaller::send(entry.listen, &Call::batch(5000).marked("first"));
    wait("the slot is taken", || site.runs("first") == 1);
    let mut queued = RawCaller::send(entry.listen, &Call::batch(2).marked("queued"));
    wait("it is queued", || entry.queued("batch") == 1);
    entry.kill();
    assert_eq!(queued.read_to_end(), "");
    wait("the engine's work is cancelled", || site.held() == 0);
    assert!(call(other.listen, &Call::chat(true, 2)).unwrap().whole);
    assert_eq!(site.runs("queued"), 0);
    drop(first);
}

// A process is frozen in the middle of a stream and resumes. The engine continues meanwhile, the
// bytes wait in the socket buffers, and the caller gets all of them in order.
#[test]
fn a_frozen_instance_goes_on_with_its_streams() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    let mut caller = RawCaller::send(entry.listen, &Call::chat(true, 60).marked("thaw"));
    assert!(caller.read_until("thaw 1 "));
    entry.signal("STOP");
    wait("the engine is done", || site.held() == 0);
    entry.signal("CONT");
    assert!(caller.read_until("[DONE]\n\n\r\n0\r\n\r\n"), "cut");
    assert!(caller.text().contains("thaw 59 "));
    entry.wait_idle();
}

// A process is frozen while a request waits for its first byte, and resumes after the engine has
// answered. A timeout that expired during the pause says nothing about the engine, whose answer
// waits unread in the socket. The request must not be sent again.
#[test]
fn a_frozen_instance_repeats_nothing_that_was_answered() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    for _ in 0..32 {
        call(entry.listen, &Call::chat(true, 1)).unwrap();
    }
    site.command_all_engines(&slow(300.0));
    let request = Call::chat(true, 5).marked("thaw");
    let waiting = spawn_call(entry.listen, &request);
    wait("the engine runs it", || site.runs("thaw") == 1);
    entry.signal("STOP");
    wait("the engine is done", || site.held() == 0);
    entry.signal("CONT");
    let answer = waiting.join().unwrap().unwrap();
    assert!(answer.whole && answer.body.contains("thaw 4 "));
    assert_eq!(site.runs("thaw"), 1, "run again after the pause");
    entry.wait_idle();
}

// A process is frozen with queued requests and resumes after their deadline. The callers can no
// longer use an answer: they are told that nothing ran, and nothing does.
#[test]
fn a_frozen_instance_starts_nothing_that_is_overdue() {
    let site = Site::start(&one_slot());
    let entry = site.entry("entry-1");
    let first = RawCaller::send(entry.listen, &Call::batch(100).marked("first"));
    wait("the slot is taken", || site.runs("first") == 1);
    let late = Call::batch(2).marked("late").header("x-timeout-ms", "900");
    let waiting = spawn_call(entry.listen, &late);
    wait("it is queued", || entry.queued("batch") == 1);
    entry.signal("STOP");
    wait("the slot is free", || site.held() == 0);
    entry.signal("CONT");
    let answer = waiting.join().unwrap().unwrap();
    assert_eq!(answer.status, 503, "{}", answer.body);
    assert_eq!(answer.header("x-request-ran"), "no");
    drop(first);
    entry.wait_idle();
    assert_eq!(site.runs("late"), 0);
}

// An instance is killed while a caller keeps an idle connection after its answer. The connection
// ends without another byte, so that the earlier answer can't be taken for cut or continued.
#[test]
fn a_killed_instance_adds_nothing_to_an_idle_connection() {
    let site = Site::start(&SiteSettings::default());
    let mut entry = site.entry("entry-1");
    let mut idle = RawCaller::send(entry.listen, &Call::chat(true, 2).marked("one"));
    assert!(idle.read_until("\r\n0\r\n\r\n"));
    let before = idle.text();
    entry.kill();
    assert_eq!(idle.read_to_end(), before);
    assert!(idle.is_whole());
}

// A caller sends its next request on an idle connection while the process is frozen. The bytes wait
// in the socket, and the caller gets the complete answer after the process resumes; the request
// runs once.
#[test]
fn a_frozen_instance_answers_what_came_on_an_idle_connection() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    let mut idle = RawCaller::send(entry.listen, &Call::chat(true, 2).marked("one"));
    assert!(idle.read_until("\r\n0\r\n\r\n"));
    entry.signal("STOP");
    let second = Call::chat(true, 3).marked("two");
    idle.write(second.head().as_bytes());
    idle.write(second.body.as_bytes());
    entry.signal("CONT");
    assert!(idle.read_until("two 2 "));
    assert!(idle.read_until("[DONE]\n\n\r\n0\r\n\r\n"), "cut");
    entry.wait_idle();
    assert_eq!(site.runs("two"), 1);
}

// The instance is killed when the engine has sent its last token but not the end of the stream. The
// caller must not take the tokens for a complete answer.
#[test]
fn a_killed_instance_cuts_before_the_last_byte() {
    let site = Site::start(&SiteSettings::default());
    let mut entry = site.entry("entry-1");
    site.command_all_engines(&EngineCommand::Stall { after: Some(4) });
    let mut caller = RawCaller::send(entry.listen, &Call::chat(true, 4).marked("cut"));
    assert!(caller.read_until("cut 3 "));
    entry.kill();
    caller.read_to_end();
    assert!(!caller.is_whole());
    wait("the engine's work is cancelled", || site.held() == 0);
    assert_eq!(site.runs("cut"), 1);
}

// A graceful shutdown is requested, or the process is frozen and resumed, when the last token has
// been relayed but the end of the stream hasn't. The late end is relayed too: the answer is
// complete.
#[test_case("TERM"; "planned stop")]
#[test_case("STOP"; "frozen and woken")]
fn the_last_byte_is_relayed_whatever_the_signal(signal: &str) {
    let site = Site::start(&one_slot());
    let server = RawServer::start();
    let engine = site.engines[0].addr().to_string();
    site.publish(|text| text.replace(&engine, &server.addr().to_string()));
    let mut entry = site.entry("entry-1");
    entry.wait_active(2);
    let mut caller = RawCaller::send(entry.listen, &Call::chat(true, 4));
    let mut stream = server.accept();
    let head =
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    let token = "data: last\n\n";
    write!(stream, "{head}{:x}\r\n{token}\r\n", token.len()).unwrap();
    assert!(caller.read_until("data: last"));
    entry.signal(signal);
    if signal == "TERM" {
        entry.wait_closed();
    }
    write!(stream, "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n").unwrap();
    entry.signal("CONT");
    assert!(caller.read_until("[DONE]\n\n\r\n0\r\n\r\n"), "cut");
    match signal {
        "TERM" => assert!(entry.wait_exit()),
        _ => entry.wait_idle(),
    }
}

// A graceful shutdown is requested in the middle of a batch burst. Interactive requests that arrive
// during the notice period are served before the queued batch requests, and the batch still
// finishes before the process exits.
#[test]
fn a_planned_stop_in_a_burst_serves_live_requests_first_and_drops_nothing() {
    let site = Site::start(&SiteSettings {
        engines: 1,
        concurrency: 4,
        ..SiteSettings::default()
    });
    let mut entry = site.entry("entry-1");
    let batch: Vec<_> = (0..24)
        .map(|_| spawn_call(entry.listen, &Call::batch(20)))
        .collect();
    wait("the batch waits", || entry.queued("batch") >= 16);
    entry.signal("TERM");
    let interactive = (0..4).map(|_| spawn_call(entry.listen, &Call::chat(true, 2)));
    for answer in interactive.collect::<Vec<_>>() {
        let answer = answer.join().unwrap().unwrap();
        assert!(answer.status == 200 && answer.whole, "{}", answer.body);
    }
    assert!(
        entry.queued("batch") > 0,
        "the interactive requests waited for the batch"
    );
    for answer in batch {
        let answer = answer.join().unwrap().unwrap();
        assert!(answer.status == 200 && answer.whole, "{}", answer.body);
    }
    assert!(entry.wait_exit());
}

// A process is frozen just as it connects for new requests, for longer than the connect timeout,
// and resumes. The servers accepted within microseconds and the timeout expired during the pause
// only, so it says nothing about them: every caller gets its complete answer, and no server counts
// as failed.
#[test]
fn a_frozen_instance_counts_no_server_as_failed() {
    let site = Site::start(&SiteSettings {
        engines: 1,
        concurrency: 32,
        ..SiteSettings::default()
    });
    let entry = site.entry("entry-1");
    entry.hold("claimed");
    let calls: Vec<_> = (0..16)
        .map(|_| spawn_call(entry.listen, &Call::batch(2)))
        .collect();
    wait("all are about to connect", || entry.held("claimed") == 16);
    entry.release("claimed");
    entry.signal("STOP");
    thread::sleep(PAUSE);
    entry.signal("CONT");
    for answer in calls {
        let answer = answer.join().unwrap().unwrap();
        assert!(answer.status == 200 && answer.whole, "{}", answer.body);
    }
    entry.wait_idle();
}
