//! A request under which one engine after the other ends.

use std::thread;
use std::time::Duration;

use crocushold_standins::EngineCommand;

use crate::support::Call;
use crate::support::Entry;
use crate::support::Fleet;
use crate::support::RawCaller;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::call;
use crate::support::spawn_call;

/// Engines that may end under one request before that is noticed.
const ENDS_ALLOWED: usize = 3;

/// Sends to engines that are allowed in all once that has been noticed everywhere.
const SENDS_ALLOWED: usize = 3;

/// How long instances take at most to agree on what has happened.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// How long a send takes at most until an engine runs it.
const ARRIVAL: Duration = Duration::from_secs(1);

/// Between two sends of the caller.
const RETURN: Duration = Duration::from_millis(400);

fn site() -> Site {
    let site = Site::start(&SiteSettings {
        engines: 12,
        ..SiteSettings::default()
    });
    site.command_all_engines(&EngineCommand::Stall { after: Some(2) });
    site
}

fn deadly() -> Call {
    Call::chat(true, 50).marked("deadly")
}

/// Sends the deadly request to one instance after the other, until one doesn't send it on; returns the engines that
/// ended under it.
fn send_on(site: &Site, entries: &[&Entry]) -> Vec<usize> {
    let mut ended = Vec::new();
    for number in 0..ENDS_ALLOWED + SENDS_ALLOWED + 1 {
        if ended.len() == ENDS_ALLOWED {
            thread::sleep(STABLE_WINDOW);
        }
        let entry = entries[number % entries.len()];
        let mut caller = RawCaller::send(entry.listen, &deadly());
        let Some(runner) = new_runner(site, &ended) else {
            break;
        };
        assert!(caller.read_until("deadly 1 "));
        site.command_engine(runner, EngineCommand::Crash);
        caller.read_to_end();
        ended.push(runner);
        thread::sleep(RETURN);
    }
    ended
}

fn assert_few(ended: &[usize]) {
    let count = ended.len();
    assert!(
        count <= ENDS_ALLOWED + SENDS_ALLOWED,
        "{count} engines ended under it"
    );
}

/// The request is refused at once, truly not run, with when to come back; others are served.
fn assert_held(site: &Site, entry: &Entry) {
    let runs = site.runs("deadly");
    let answer = call(entry.listen, &deadly()).unwrap();
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("x-refusal-reason"), "quarantined");
    assert_eq!(answer.header("x-request-ran"), "no");
    assert!(!answer.header("retry-after").is_empty());
    assert_eq!(site.runs("deadly"), runs);
    site.assert_recovers(entry);
}

// A caller's prompt crashes the engine that runs it, and its stream is cut. The caller sends the same again, and each
// time it went to the next engine, with all that runs there, since nothing tied one try to the ends of those before:
// 7 of 7 sends ended an engine.
#[test]
fn serve_sends_a_request_that_ends_engines_on_three_times_at_most() {
    let site = site();
    let entry = site.entry("entry-1");
    assert_few(&send_on(&site, &[&entry]));
    assert_held(&site, &entry);
}

// The same caller goes to two instances in turn, and then to one that saw none of the ends. It was told, and sends the
// request nowhere.
#[test]
fn instances_of_serve_tell_each_other_of_a_request_that_ends_engines() {
    let site = site();
    let fleet = Fleet::start(&site, 3);
    fleet.wait_converged();
    let entries: Vec<&Entry> = fleet.running().collect();
    assert_few(&send_on(&site, &entries[..2]));
    assert_held(&site, entries[2]);
}

// The request has got its turn at an instance that hasn't heard of any end, and waits to be sent. Meanwhile two engines end
// under the same request at another instance. It isn't sent any more, and the slot that it had taken is free again.
#[test]
fn a_request_that_waits_while_engines_end_under_its_like_is_not_sent() {
    let site = site();
    let fleet = Fleet::start(&site, 2);
    fleet.wait_converged();
    let [first, second] = [fleet.entry(0), fleet.entry(1)];
    second.hold("claimed");
    let waiting = spawn_call(second.listen, &deadly());
    second.wait_held("claimed");
    let ended = send_on(&site, &[first]);
    thread::sleep(STABLE_WINDOW);
    second.release("claimed");
    let answer = waiting.join().unwrap().unwrap();
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("x-refusal-reason"), "quarantined");
    assert_eq!(answer.header("x-request-ran"), "no");
    assert_eq!(site.runs("deadly") as usize, ended.len());
    second.wait_idle();
}

// An engine crashes for a reason of its own, and a caller's request is on it. The caller sends the same again, and it is
// served: one end holds nobody back.
#[test]
fn serve_sends_a_request_again_after_one_engine_has_ended_under_it() {
    let site = site();
    let entry = site.entry("entry-1");
    let mut caller = RawCaller::send(entry.listen, &deadly());
    let runner = new_runner(&site, &[]).expect("an engine runs it");
    assert!(caller.read_until("deadly 1 "));
    site.command_engine(runner, EngineCommand::Crash);
    caller.read_to_end();
    site.command_all_engines(&EngineCommand::Stall { after: None });
    thread::sleep(RETURN);
    let answer = call(entry.listen, &deadly()).unwrap();
    assert_eq!(answer.status, 200);
    assert!(answer.whole);
}

/// The engine that runs the request now, if any does within a second.
fn new_runner(site: &Site, ended: &[usize]) -> Option<usize> {
    let runs = |engine: &usize| site.engines[*engine].runs("deadly") > 0;
    let pause = Duration::from_millis(10);
    for _ in 0..ARRIVAL.as_millis() / pause.as_millis() {
        let mut all = 0..site.engines.len();
        let found = all.find(|engine| !ended.contains(engine) && runs(engine));
        if found.is_some() {
            return found;
        }
        thread::sleep(pause);
    }
    None
}
