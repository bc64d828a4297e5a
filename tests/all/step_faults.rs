//! Faults between two steps of one process, which can only be injected at fail points.

use std::thread;
use std::time::Duration;

use crocushold_standins::EngineCommand;
use crocushold_standins::PlatformCommand;
use test_case::test_case;

use crate::support::Answer;
use crate::support::Call;
use crate::support::Entry;
use crate::support::Fleet;
use crate::support::RawCaller;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::call;
use crate::support::spawn_call;
use crate::support::wait;
use crate::support::wait_long;

/// Longer than a claim may take from the first vote request to the first byte.
const CLAIM_BOUND: Duration = Duration::from_millis(5_200);

/// A site with a single slot, which the request under test takes.
fn one_slot() -> SiteSettings {
    SiteSettings {
        engines: 1,
        concurrency: 1,
        ..SiteSettings::default()
    }
}

fn booking(key: &str) -> Call {
    Call::booking(key).header("idempotency-key", key)
}

/// Repeats a booking, as a caller does when told that the repeat itself didn't run, until the
/// answer is about the booking itself.
fn repeat(entry: &Entry, key: &str) -> Answer {
    let mut last = None;
    wait("the answer is about the booking", || {
        let answer = call(entry.listen, &booking(key)).unwrap();
        let conclusive = answer.header("x-request-ran") != "no";
        last = Some(answer);
        conclusive
    });
    last.unwrap()
}

/// Sends a booking that is blocked at a fail point of the instance.
fn held_booking(entry: &Entry, point: &str, key: &str) -> RawCaller {
    held(entry, point, &booking(key))
}

fn held(entry: &Entry, point: &str, booking: &Call) -> RawCaller {
    entry.hold(point);
    let mut caller = RawCaller::send(entry.listen, booking);
    wait("a booking is held", || {
        // A member that has just started, or was delayed on a busy machine, refuses keys for a
        // moment.
        if caller.has_bytes() {
            caller = RawCaller::send(entry.listen, booking);
        }
        entry.held(point) > 0
    });
    caller
}

// The task of a request panics: when it is dispatched but holds no claim, with its claim but no
// connection, with the head of its answer, or with its last byte. The caller sees a cut and no
// answer that looks complete. Everything that the request held must be released: otherwise the only
// slot would be lost for good, and a graceful shutdown that counts the connection as open would
// last until its timeout.
#[test_case("dispatched"; "with its turn")]
#[test_case("claimed"; "connecting")]
#[test_case("answered"; "with the head of its answer")]
#[test_case("read"; "with its last byte")]
fn a_panic_costs_one_request(point: &str) {
    let site = Site::start(&one_slot());
    let mut entry = site.entry("entry-1");
    for number in 0..3 {
        entry.set_fail_point(point, "1*panic");
        let mut caller = RawCaller::send(entry.listen, &Call::chat(true, 2).marked("panic"));
        caller.read_to_end();
        assert!(!caller.is_whole(), "{}", caller.text());
        entry.wait_idle();
        let next = call(entry.listen, &Call::chat(true, 2)).unwrap();
        assert!(next.status == 200 && next.whole, "{number}: {}", next.body);
    }
    let ran = point == "answered" || point == "read";
    assert_eq!(site.runs("panic"), if ran { 3 } else { 0 });
    entry.signal("TERM");
    entry.wait_closed();
    assert!(entry.wait_exit());
}

// The task of a booking panics between its claim and the first byte. Nothing ran, but the instance
// can't know how far the task got: a repeat through any instance isn't run and is answered with
// "unknown".
#[test]
fn a_claim_whose_task_panicked_is_unknown() {
    let site = Site::start(&SiteSettings::default());
    let fleet = Fleet::start(&site, 3);
    fleet.entry(0).set_fail_point("claimed", "1*panic");
    wait("the task panicked", || {
        call(fleet.entry(0).listen, &booking("k-1")).is_none()
    });
    for number in [1, 2, 0] {
        let repeat = repeat(fleet.entry(number), "k-1");
        assert_eq!(repeat.header("x-request-ran"), "unknown", "{}", repeat.body);
    }
    fleet.entry(0).wait_idle();
    assert_eq!(site.effects("k-1"), 0);
}

// An instance is killed after it has claimed a booking's key and before any byte of the booking was
// sent. Nothing ran, but the members only know of the claim: a repeat elsewhere isn't run, as the
// killed instance may have sent the booking, and is answered with "unknown".
#[test]
fn a_claim_of_a_killed_instance_is_unknown() {
    let site = Site::start(&SiteSettings::default());
    let mut fleet = Fleet::start(&site, 4);
    let mut caller = held_booking(fleet.entry(0), "claimed", "k-1");
    fleet.kill(0);
    assert_eq!(caller.read_to_end(), "");
    for number in [1, 2, 3] {
        let repeat = repeat(fleet.entry(number), "k-1");
        assert!(repeat.status >= 400);
        assert_eq!(repeat.header("x-request-ran"), "unknown", "{}", repeat.body);
    }
    assert_eq!(site.effects("k-1"), 0);
}

// A caller disconnects when its booking is dispatched, or has its claim, and no connection yet. The
// booking is not sent, the server's slot is released, and a repeat with the same key is made at
// most once and answered truthfully.
#[test_case("dispatched"; "before its claim")]
#[test_case("voted"; "with a vote not yet counted")]
#[test_case("claimed"; "after its claim")]
fn a_caller_gone_beside_its_claim_sends_nothing(point: &str) {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    let caller = held_booking(&entry, point, "k-1");
    drop(caller);
    entry.release(point);
    entry.wait_idle();
    assert_eq!(site.effects("k-1"), 0, "sent after its caller left");
    let repeat = repeat(&entry, "k-1");
    let told = repeat.header("x-request-ran").to_owned();
    match repeat.status {
        200 => assert_eq!(site.effects("k-1"), 1),
        _ => assert!(site.effects("k-1") == 0 && told != "yes", "{told}"),
    }
}

// A process is frozen between a member's vote and counting that vote, for longer than a claim is
// valid; another instance may own the key by then. It must not send the booking on the strength of
// that vote: the caller is told that nothing ran, and nothing does.
#[test]
fn a_vote_that_is_counted_late_allows_nothing() {
    let site = Site::start(&SiteSettings::default());
    let fleet = Fleet::start(&site, 3);
    let entry = fleet.entry(0);
    let mut caller = held_booking(entry, "voted", "k-1");
    entry.signal("STOP");
    thread::sleep(CLAIM_BOUND);
    entry.signal("CONT");
    entry.release("voted");
    assert!(caller.read_until("\r\n\r\n"));
    assert!(
        caller.text().contains("x-request-ran: no"),
        "{}",
        caller.text()
    );
    assert_eq!(site.effects("k-1"), 0);
    entry.wait_idle();
}

// An engine crashes, or the caller disconnects, when the head of an answer has arrived and none of
// it has been relayed. The caller gets a visible cut, the engine's work is cancelled, and both
// slots are released.
#[test_case(true; "engine crash")]
#[test_case(false; "caller gone")]
fn a_fault_between_head_and_first_byte_leaves_nothing(crash: bool) {
    let site = Site::start(&one_slot());
    let entry = site.entry("entry-1");
    entry.hold("answered");
    let mut caller = RawCaller::send(entry.listen, &Call::chat(true, 5000).marked("mine"));
    entry.wait_held("answered");
    if crash {
        site.command_engine(0, EngineCommand::Crash);
        site.command_engine(0, EngineCommand::Restart);
        entry.release("answered");
        caller.read_to_end();
        assert!(!caller.is_whole());
    } else {
        drop(caller);
        entry.release("answered");
        wait("the engine's work is cancelled", || site.held() == 0);
    }
    site.assert_recovers(&entry);
    assert_eq!(site.runs("mine"), 1);
}

/// Publishes a configuration and blocks the instance just before it activates it.
fn hold_change(site: &Site, entry: &Entry) {
    entry.hold("applying");
    site.publish(|text| text.replace("format = 1", "format = 1\n# changed\n"));
    entry.wait_held("applying");
}

// A graceful shutdown is requested when a change has been received but isn't active. The shutdown
// doesn't wait for the change: the stream in progress completes, callers are served during the
// notice period, and the process exits by itself.
#[test]
fn a_planned_stop_while_applying_cuts_nothing() {
    let site = Site::start(&one_slot());
    let mut entry = site.entry("entry-1");
    let mut caller = RawCaller::send(entry.listen, &Call::chat(true, 60).marked("last"));
    assert!(caller.read_until("last 1 "));
    hold_change(&site, &entry);
    entry.signal("TERM");
    entry.wait_closed();
    assert!(caller.read_until("[DONE]\n\n\r\n0\r\n\r\n"), "cut");
    assert!(entry.wait_exit());
}

// An instance is killed between receiving and activating a change, and its replacement starts on a
// stale platform. The other instances have the change; the replacement must not serve the previous
// configuration, which no other instance uses any more.
#[test]
fn a_kill_while_applying_reverts_nothing() {
    let site = Site::start(&SiteSettings::default());
    let mut fleet = Fleet::start(&site, 3);
    hold_change(&site, fleet.entry(0));
    for number in [1, 2] {
        fleet.entry(number).wait_active(2);
    }
    fleet.kill(0);
    site.command_platform(PlatformCommand::Stale { revision: Some(1) });
    fleet.spawn(0);
    fleet.wait_ready();
    assert_eq!(fleet.entry(0).status().config.revision, 2);
}

// A process is frozen between receiving and activating a change, and the configuration changes
// again meanwhile. After it resumes, the newer change is active within seconds, and the older one
// never replaces it.
#[test]
fn a_freeze_while_applying_ends_with_the_newest() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    hold_change(&site, &entry);
    entry.signal("STOP");
    site.publish(str::to_owned);
    let newest = site.platform.stats().revision;
    entry.signal("CONT");
    entry.release("applying");
    let mut seen = 0;
    wait("the newest is in force", || {
        let now = entry.status().config.revision;
        assert!(now >= seen, "{now} after {seen}");
        seen = now;
        seen == newest
    });
    assert!(call(entry.listen, &Call::chat(true, 1)).unwrap().whole);
}

// The platform goes back to an older revision, or goes down, between receiving and activating a
// change. The change was accepted, so it becomes active and stays.
#[test_case(PlatformCommand::GoBack { revision: 1, reuse: false }; "going back")]
#[test_case(PlatformCommand::Down { on: true }; "down")]
fn a_platform_that_fails_while_applying_reverts_nothing(fault: PlatformCommand) {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    hold_change(&site, &entry);
    site.command_platform(fault);
    assert_eq!(entry.status().config.revision, 1);
    assert!(call(entry.listen, &Call::chat(true, 1)).unwrap().whole);
    entry.release("applying");
    entry.wait_active(2);
    assert!(call(entry.listen, &Call::chat(true, 1)).unwrap().whole);
    assert_eq!(entry.status().config.revision, 2);
}

/// Publishes a configuration that enables orders and wants one more model on both engines, and
/// blocks the instance just before it sends its order.
fn hold_order(site: &Site, entry: &Entry, model: &str) {
    entry.hold("ordering");
    site.publish(|text| with_models(text, &[model]));
    wait_long("an order is decided", || entry.held("ordering") > 0);
}

fn with_models(text: &str, models: &[&str]) -> String {
    let orders = "kind = model\nweight-loads = 60/min\nchecks-orders = no";
    let text = text.replace("kind = model", orders);
    let models = models
        .iter()
        .map(|name| format!("[model fleet/{name}]\nweights = 16 GB\nservers = 2\n\n"));
    let models: String = models.collect();
    text.replacen("[server fleet/", &format!("{models}[server fleet/"), 1)
}

fn loaded(site: &Site, model: &str) -> usize {
    let page = Call {
        method: http_types::Method::Get,
        path: "/load".to_owned(),
        body: String::new(),
        ..Call::chat(false, 1)
    };
    let reports = site.engines.iter().map(|engine| call(engine.addr(), &page));
    let model = format!("\"{model}\"");
    reports
        .filter(|report| report.as_ref().unwrap().body.contains(&model))
        .count()
}

// An order to load a model has been decided but not sent when the configuration that wanted the
// model is replaced. The engines ignore fencing numbers and would obey, so the order must no longer
// be sent. Then a graceful shutdown is requested while another such order is pending. The shutdown
// doesn't wait for orders: the stream in progress completes, and the process exits by itself. (A
// process waits 25 s after its start before its first order.)
#[test]
fn a_pending_order_is_dropped_by_a_new_configuration_and_by_a_stop() {
    let site = Site::start(&SiteSettings::default());
    let mut entry = site.entry("entry-1");
    hold_order(&site, &entry, "n");
    site.publish(|text| with_models(text, &["o"]));
    entry.wait_active(3);
    entry.release("ordering");
    wait("an order of the newer configuration is done", || {
        loaded(&site, "o") == 2
    });
    assert_eq!(loaded(&site, "n"), 0, "loaded although no longer wanted");
    hold_order(&site, &entry, "p");
    let mut caller = RawCaller::send(entry.listen, &Call::chat(true, 60).marked("last"));
    assert!(caller.read_until("last 1 "));
    entry.signal("TERM");
    entry.wait_closed();
    assert!(caller.read_until("[DONE]\n\n\r\n0\r\n\r\n"), "cut");
    assert!(entry.wait_exit());
    assert_eq!(loaded(&site, "p"), 0);
}

// An instance is slow between claiming a booking's key and connecting. A caller that doesn't wait
// repeats the booking through another instance: the repeat is answered at once and runs nothing,
// and the first caller's booking is made once when its instance continues.
#[test]
fn a_repeat_beside_a_held_claim_is_answered_at_once() {
    let site = Site::start(&SiteSettings::default());
    let fleet = Fleet::start(&site, 3);
    let mut caller = held_booking(fleet.entry(0), "claimed", "k-1");
    let repeat = spawn_call(fleet.entry(1).listen, &booking("k-1"));
    let repeat = repeat.join().unwrap().unwrap();
    assert_eq!(repeat.status, 409, "{}", repeat.body);
    assert_ne!(repeat.header("x-request-ran"), "no", "{}", repeat.body);
    assert_eq!(site.effects("k-1"), 0);
    fleet.entry(0).release("claimed");
    assert!(caller.read_until("\r\n\r\n"));
    assert!(
        caller.text().starts_with("HTTP/1.1 200"),
        "{}",
        caller.text()
    );
    assert_eq!(site.effects("k-1"), 1);
}

// A graceful shutdown is requested when a booking's key is claimed and its connection isn't open
// yet. The booking is in progress: it is sent once and its answer relayed before the process exits.
#[test]
fn a_planned_stop_while_connecting_sends_what_was_claimed() {
    let site = Site::start(&SiteSettings::default());
    let mut entry = site.entry("entry-1");
    let mut caller = held_booking(&entry, "claimed", "k-1");
    entry.signal("TERM");
    entry.wait_closed();
    entry.release("claimed");
    assert!(caller.read_until("\r\n\r\n"));
    assert!(
        caller.text().starts_with("HTTP/1.1 200"),
        "{}",
        caller.text()
    );
    assert!(entry.wait_exit());
    assert_eq!(site.effects("k-1"), 1);
}

// A process is frozen when a booking has its claim and no connection, until its deadline has
// passed. The caller can no longer use the answer: the booking isn't sent, and the caller is told
// that it did not run, which the service confirms.
#[test]
fn a_booking_that_is_overdue_before_it_is_sent_is_not_sent() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    let request = booking("k-1").header("x-timeout-ms", "400");
    let mut caller = held(&entry, "claimed", &request);
    entry.signal("STOP");
    thread::sleep(Duration::from_millis(500));
    entry.signal("CONT");
    entry.release("claimed");
    assert!(caller.read_until("\r\n\r\n"));
    assert!(
        caller.text().contains("x-request-ran: no"),
        "{}",
        caller.text()
    );
    entry.wait_idle();
    assert_eq!(site.effects("k-1"), 0);
}

// The task that applies configurations panics with a change. Callers are served under the previous
// configuration, and the change is active within seconds. An instance that kept its old
// configuration for good would look healthy.
#[test]
fn a_panic_while_applying_delays_one_change() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    entry.set_fail_point("applying", "1*panic");
    site.publish(str::to_owned);
    assert!(call(entry.listen, &Call::chat(true, 1)).unwrap().whole);
    entry.wait_active(2);
    site.publish(str::to_owned);
    entry.wait_active(3);
    assert!(call(entry.listen, &Call::chat(true, 1)).unwrap().whole);
}
