//! A request that crashes one engine after another.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crocushold_standins::EngineCommand;
use test_case::test_case;

use crate::support::Call;
use crate::support::Entry;
use crate::support::Fleet;
use crate::support::RawCaller;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::call;
use crate::support::spawn_call;

/// Engines that may end under one request before the instances notice.
const ENDS_BEFORE_QUARANTINE: usize = 3;

/// Engines that may end under one message, in requests that differ otherwise, before the instances notice.
const ENDS_BEFORE_PART_QUARANTINE: usize = 5;

/// Further sends that are allowed in total once all instances have noticed.
const FURTHER_SENDS: usize = 3;

/// Longest time that the instances take to agree on what has happened.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Longest time from sending a request until an engine runs it.
const DISPATCH_BOUND: Duration = Duration::from_secs(1);

/// Interval between two sends of the caller.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// Limit on the time after which a request is sent again under which two engines ended: the evidence of ends
/// and its spread, and the delay of a busy machine.
const TRIAL_TIME: Duration = Duration::from_secs(12);

fn site() -> Site {
    let site = Site::start(&SiteSettings {
        engines: 12,
        ..SiteSettings::default()
    });
    site.command_all_engines(&EngineCommand::Stall { after: Some(2) });
    site
}

fn poison_request() -> Call {
    Call::chat(true, 50).marked("poison")
}

/// Sends the poison request to the instances in turn until one doesn't forward it. Returns the
/// engines that ended under it.
fn send_until_quarantined(site: &Site, entries: &[&Entry]) -> Vec<usize> {
    let poison = |_| poison_request();
    send_until_refused(site, entries, ENDS_BEFORE_QUARANTINE, poison)
}

/// Sends marked requests to the instances in turn until one doesn't forward it, and waits for the stable
/// window after `ends` engines have ended. Returns the engines that ended under them.
fn send_until_refused(
    site: &Site,
    entries: &[&Entry],
    ends: usize,
    request: impl Fn(usize) -> Call,
) -> Vec<usize> {
    let mut ended = Vec::new();
    for number in 0..ends + FURTHER_SENDS + 1 {
        if ended.len() == ends {
            thread::sleep(STABLE_WINDOW);
        }
        let entry = entries[number % entries.len()];
        let before = runs_by_engine(site);
        let mut caller = RawCaller::send(entry.listen, &request(number));
        let Some(runner) = next_runner(site, &before) else {
            break;
        };
        assert!(caller.read_until("poison 1 "));
        site.command_engine(runner, EngineCommand::Crash);
        caller.read_to_end();
        ended.push(runner);
        thread::sleep(RETRY_INTERVAL);
    }
    ended
}

fn assert_bounded(ended: &[usize]) {
    let count = ended.len();
    assert!(
        count <= ENDS_BEFORE_QUARANTINE + FURTHER_SENDS,
        "{count} engines ended under it"
    );
}

/// Checks that the request is refused at once as not run, with a time to retry, and that others are
/// served.
fn assert_quarantined(site: &Site, entry: &Entry) {
    let runs = site.runs("poison");
    let answer = call(entry.listen, &poison_request()).unwrap();
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("x-refusal-reason"), "quarantined");
    assert_eq!(answer.header("x-request-ran"), "no");
    assert!(!answer.header("retry-after").is_empty());
    assert_eq!(site.runs("poison"), runs);
    site.assert_recovers(entry);
}

// A caller's prompt crashes the engine that runs it, and its stream is cut. The caller repeats the
// request, and each repeat went to the next engine, along with everything else that ran there,
// because no attempt was linked to the ends of earlier ones: 7 of 7 sends ended an engine.
#[test]
fn serve_sends_a_request_that_ends_engines_on_three_times_at_most() {
    let site = site();
    let entry = site.entry("entry-1");
    assert_bounded(&send_until_quarantined(&site, &[&entry]));
    assert_quarantined(&site, &entry);
}

// The caller alternates between two instances and then tries one that saw none of the ends. That
// instance was told by its peers and doesn't forward the request.
#[test]
fn instances_of_serve_tell_each_other_of_a_request_that_ends_engines() {
    let site = site();
    let fleet = Fleet::start(&site, 3);
    fleet.wait_converged();
    let entries: Vec<&Entry> = fleet.running().collect();
    assert_bounded(&send_until_quarantined(&site, &entries[..2]));
    assert_quarantined(&site, entries[2]);
}

// A request is about to be sent by an instance that knows of no end, while two engines end under
// the same content at another instance. The request is no longer sent, and the slot that it had
// taken is released.
#[test]
fn a_waiting_request_is_not_sent_after_engines_end_under_its_content() {
    let site = site();
    let fleet = Fleet::start(&site, 2);
    fleet.wait_converged();
    let [first, second] = [fleet.entry(0), fleet.entry(1)];
    second.hold("claimed");
    let waiting = spawn_call(second.listen, &poison_request());
    second.wait_held("claimed");
    let ended = send_until_quarantined(&site, &[first]);
    thread::sleep(STABLE_WINDOW);
    second.release("claimed");
    let answer = waiting.join().unwrap().unwrap();
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("x-refusal-reason"), "quarantined");
    assert_eq!(answer.header("x-request-ran"), "no");
    assert_eq!(site.runs("poison") as usize, ended.len());
    second.wait_idle();
}

/// A request with these messages before one of its own.
fn chat_after(messages: &[&str], number: usize) -> Call {
    let mut list: Vec<String> = messages
        .iter()
        .map(|text| format!(r#"{{"role":"system","content":"{text}"}}"#))
        .collect();
    list.push(format!(
        r#"{{"role":"user","content":"question {number}"}}"#
    ));
    let list = list.join(",");
    let call = Call::chat(true, 50);
    Call {
        body: format!(r#"{{"model":"m","stream":true,"max_tokens":50,"messages":[{list}]}}"#),
        ..call
    }
}

// A message crashes each engine that begins to answer on it, in requests that are never the same. They
// went to one engine after the other.
#[test_case(&["a message that no engine survives", "rules of the house"]; "the first message")]
#[test_case(&["rules of the house", "a message that no engine survives"]; "the last shared message")]
fn serve_holds_back_a_message_that_ends_engines(messages: &[&str]) {
    let site = site();
    let fleet = Fleet::start(&site, 3);
    fleet.wait_converged();
    let entries: Vec<&Entry> = fleet.running().collect();
    let request = |number| chat_after(messages, number).marked("poison");
    let ended = send_until_refused(&site, &entries[..2], ENDS_BEFORE_PART_QUARANTINE, request);
    let count = ended.len();
    assert!(
        count <= ENDS_BEFORE_PART_QUARANTINE + FURTHER_SENDS,
        "{count} engines ended under the message"
    );
    let runs = site.runs("poison");
    let refused = call(entries[2].listen, &request(100)).unwrap();
    assert_eq!(refused.status, 503);
    assert_eq!(refused.header("x-refusal-reason"), "quarantined");
    assert_eq!(site.runs("poison"), runs);
    site.command_all_engines(&EngineCommand::Stall { after: None });
    for number in 0..20 {
        let entry = entries[number % entries.len()];
        let sound = chat_after(&["rules of the house"], number);
        assert_eq!(call(entry.listen, &sound).unwrap().status, 200);
    }
}

// An engine crashes for a reason unrelated to the request that it runs. The caller repeats the
// request and is served: a single end quarantines nothing.
#[test]
fn serve_sends_a_request_again_after_one_engine_has_ended_under_it() {
    let site = site();
    let entry = site.entry("entry-1");
    let before = runs_by_engine(&site);
    let mut caller = RawCaller::send(entry.listen, &poison_request());
    let runner = next_runner(&site, &before).expect("an engine runs it");
    assert!(caller.read_until("poison 1 "));
    site.command_engine(runner, EngineCommand::Crash);
    caller.read_to_end();
    site.command_all_engines(&EngineCommand::Stall { after: None });
    thread::sleep(RETRY_INTERVAL);
    let answer = call(entry.listen, &poison_request()).unwrap();
    assert_eq!(answer.status, 200);
    assert!(answer.whole);
}

/// Guards against an instance that refuses for ten minutes what another one has served a moment ago, because two
/// engines ended one after the other before it could be told.
#[test]
fn serve_waits_for_the_word_of_an_instance_that_has_served_the_request() {
    let site = site();
    site.command_all_engines(&EngineCommand::Stall { after: None });
    let fleet = Fleet::start(&site, 2);
    fleet.wait_converged();
    let [first, second] = [fleet.entry(0), fleet.entry(1)];
    assert_eq!(call(first.listen, &poison_request()).unwrap().status, 200);
    site.command_all_engines(&EngineCommand::Stall { after: Some(2) });
    let mut ended = Vec::new();
    for _ in 0..2 {
        let before = runs_by_engine(&site);
        let mut caller = RawCaller::send(second.listen, &poison_request());
        let runner = next_runner(&site, &before).expect("an engine runs it");
        assert!(caller.read_until("poison 1 "));
        site.command_engine(runner, EngineCommand::Crash);
        caller.read_to_end();
        assert!(!ended.contains(&runner), "engine {runner} ended twice");
        ended.push(runner);
    }
    site.command_all_engines(&EngineCommand::Stall { after: None });
    let answer = call(second.listen, &poison_request()).unwrap();
    assert_eq!(answer.status, 200, "{}", answer.header("x-refusal-reason"));
}

/// Guards against refusing for the rest of ten minutes what was never served before two engines ended for other
/// reasons: one of the instances finds out some seconds later.
#[test]
fn serve_tries_a_request_again_that_two_engines_ended_under() {
    let site = site();
    let fleet = Fleet::start(&site, 2);
    fleet.wait_converged();
    let [first, second] = [fleet.entry(0), fleet.entry(1)];
    let ended = send_until_quarantined(&site, &[first]);
    assert_eq!(ended.len(), 2, "the third send is held back");
    site.command_all_engines(&EngineCommand::Stall { after: None });
    let started = Instant::now();
    let mut served = [false; 2];
    while served != [true; 2] {
        for (entry, served) in [first, second].into_iter().zip(&mut served) {
            *served = call(entry.listen, &poison_request()).unwrap().status == 200;
        }
        assert!(started.elapsed() < TRIAL_TIME, "{served:?}");
        thread::sleep(RETRY_INTERVAL);
    }
}

/// Returns how often each engine has run the request, in the order of the engines.
fn runs_by_engine(site: &Site) -> Vec<u64> {
    let engines = site.engines.iter();
    engines.map(|engine| engine.runs("poison")).collect()
}

/// Returns the engine that has run the request more often than `before`, if one has within a second.
fn next_runner(site: &Site, before: &[u64]) -> Option<usize> {
    let pause = Duration::from_millis(10);
    for _ in 0..DISPATCH_BOUND.as_millis() / pause.as_millis() {
        let runs = runs_by_engine(site);
        let found = (0..runs.len()).find(|engine| runs[*engine] > before[*engine]);
        if found.is_some() {
            return found;
        }
        thread::sleep(pause);
    }
    None
}
