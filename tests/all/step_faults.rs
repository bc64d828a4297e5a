//! Faults between two steps of one process, which only its fail points can hit.

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

/// Longer than a claim may take from the first vote asked for to the first byte.
const CLAIM_BOUND: Duration = Duration::from_millis(5_200);

/// An instance whose only slot for requests is the one that is looked at.
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

/// Repeats a booking as a caller would who is told that the repeat itself did not run, until something
/// is said of the booking.
fn repeat(entry: &Entry, key: &str) -> Answer {
    let mut last = None;
    wait("something is said of the booking", || {
        let answer = call(entry.listen, &booking(key)).unwrap();
        let said = answer.header("x-request-ran") != "no";
        last = Some(answer);
        said
    });
    last.unwrap()
}

/// Sends a booking that stays at a fail point of the instance.
fn held_booking(entry: &Entry, point: &str, key: &str) -> RawCaller {
    held(entry, point, &booking(key))
}

fn held(entry: &Entry, point: &str, booking: &Call) -> RawCaller {
    entry.hold(point);
    let mut caller = RawCaller::send(entry.listen, booking);
    wait("a booking is held", || {
        // A member that has just started, or woke late on a busy machine, refuses keys for a moment.
        if caller.has_bytes() {
            caller = RawCaller::send(entry.listen, booking);
        }
        entry.held(point) > 0
    });
    caller
}

// The task of a request panics: with its turn but without a claim, with its claim but no connection,
// with the head of its answer, or with its last byte. Its caller sees a cut and no answer that looks
// whole. All that it held must come back, or the only slot would be lost to everybody for ever; and a
// planned stop that counts the connection as open would last until its bound.
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

// The task of a booking panics between its claim and the first byte. Nothing ran, but its instance
// can't know how far the task had come: a repeat through any instance is not run, and ends as one of
// which nobody knows.
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

// An instance is killed when a booking's key is claimed and no byte of the booking has left. Nothing
// ran, but the members only know of the claim: a repeat elsewhere isn't run, as the dead one may
// have sent its bytes, and ends as one of which nobody knows.
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

// A caller hangs up when its booking has its turn, or its claim, and no connection yet. The booking
// is not sent for nobody, the server's slot comes back, and the repeat with the same key is made at
// most once and answered truly.
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
    assert_eq!(site.effects("k-1"), 0, "sent for nobody");
    let repeat = repeat(&entry, "k-1");
    let told = repeat.header("x-request-ran").to_owned();
    match repeat.status {
        200 => assert_eq!(site.effects("k-1"), 1),
        _ => assert!(site.effects("k-1") == 0 && told != "yes", "{told}"),
    }
}

// A process stands still between a member's vote and the moment at which it counts the vote, for
// longer than a claim is good for; the key may be another instance's by then. It must not send on
// the strength of that vote: the caller hears that nothing ran, and nothing does.
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

// An engine dies, or the caller leaves, when the head of an answer has come and none of it has been
// relayed. The caller gets a cut that shows, the engine works for nobody no longer, and both slots
// come back.
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

/// Publishes a text, and has the instance stop short of putting it in force.
fn hold_change(site: &Site, entry: &Entry) {
    entry.hold("applying");
    site.publish(|text| text.replace("format = 1", "format = 1\n# changed\n"));
    entry.wait_held("applying");
}

// A stop is asked for while a change is received and not yet in force. The stop doesn't wait for the
// change: the stream in progress is whole, the notice serves on, and the process ends by itself.
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

// An instance is killed between receiving a change and putting it in force, and its successor starts
// on a platform that is behind. The others have the change; the successor must not serve the text
// before it, which nobody uses any more.
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

// A process is frozen between receiving a change and putting it in force, and the text changes again
// meanwhile. It wakes with the older change in its hands: the newer one is in force within seconds,
// and the older one never comes after it.
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

// The platform goes back, or goes down, between the moment at which an instance received a change and
// the one at which it puts it in force. The change was accepted, so it is in force and stays.
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

/// Publishes a text in which the engines may be ordered and one more model is wanted on both, and has
/// the instance stop short of its order.
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

// An order to load a model is decided and not yet sent when the text that wanted it is replaced. The
// engines ignore fencing numbers and would obey, so the order must not leave any more. Then a stop is
// asked for beside another such order. The stop doesn't wait for orders: the stream in progress is
// whole, and the process ends by itself. (A process that starts waits 25 s before its first order.)
#[test]
fn an_order_that_is_held_is_overtaken_by_a_text_and_by_a_stop() {
    let site = Site::start(&SiteSettings::default());
    let mut entry = site.entry("entry-1");
    hold_order(&site, &entry, "n");
    site.publish(|text| with_models(text, &["o"]));
    entry.wait_active(3);
    entry.release("ordering");
    wait("an order of the later text is done", || {
        loaded(&site, "o") == 2
    });
    assert_eq!(loaded(&site, "n"), 0, "loaded for nobody");
    hold_order(&site, &entry, "p");
    let mut caller = RawCaller::send(entry.listen, &Call::chat(true, 60).marked("last"));
    assert!(caller.read_until("last 1 "));
    entry.signal("TERM");
    entry.wait_closed();
    assert!(caller.read_until("[DONE]\n\n\r\n0\r\n\r\n"), "cut");
    assert!(entry.wait_exit());
    assert_eq!(loaded(&site, "p"), 0);
}

// An instance takes long between the claim of a booking's key and its connection. A caller that
// doesn't wait repeats the booking through another instance: it is answered at once and runs nothing,
// and the first caller's booking is made once when its instance goes on.
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

// A stop is asked for when a booking's key is claimed and its connection isn't open yet. The booking is
// in progress: it is sent once and its answer relayed before the process ends.
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

// A process stands still when a booking has its claim and no connection, until its caller's bound has
// passed. Nobody can use the answer any more: the booking isn't sent, and the caller is told that it
// did not run, which the service confirms.
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

// The task that applies configurations panics with a change in its hands. Callers are served on under
// the text before, and the change is in force within seconds: an instance that stayed with its text for
// good would look healthy to everybody.
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
