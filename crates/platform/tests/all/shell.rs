//! The shell over a fake transport.

use std::future::pending;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use async_std::task;
use crocushold_base::Clock;
use crocushold_base::Millis;
use crocushold_platform::Answer;
use crocushold_platform::Call;
use crocushold_platform::Event;
use crocushold_platform::Failure;
use crocushold_platform::Fetch;
use crocushold_platform::FetchError;
use crocushold_platform::Get;
use crocushold_platform::Header;
use crocushold_platform::InstancePoller;
use crocushold_platform::PollerSettings;
use crocushold_platform::Reply;
use crocushold_platform::Report;
use crocushold_platform::Shell;
use crocushold_platform::Update;
use crocushold_platform::fetch;
use crocushold_platform::read;
use crocushold_platform::run;
use futures::channel::mpsc;
use futures::channel::mpsc::Sender;

/// Answers from a script; paths that it doesn't know hang.
#[derive(Clone, Default)]
struct Script {
    paths: Arc<Mutex<Vec<String>>>,
    hanging: Arc<AtomicUsize>,
    most_hanging: Arc<AtomicUsize>,
    throttled: bool,
    lists: bool,
}

struct Hanging(Arc<AtomicUsize>);

impl Drop for Hanging {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Script {
    fn note(&self, path: &str) {
        let mut paths = self.paths.lock().expect("not poisoned");
        paths.push(path.to_owned());
    }
}

impl Fetch for Script {
    async fn get(&self, get: Get) -> Result<Reply, FetchError> {
        self.note(&get.path);
        if self.throttled {
            return Ok(reply(429, "", &[("Retry-After", "9")]));
        }
        match &*get.path {
            "/v1/config" => Ok(reply(200, INDEX, &[])),
            "/v1/instances" if self.lists => Ok(reply(200, LIST, &[])),
            "/v1/config/parts/cl%20a%2Fb" => Ok(reply(200, "text", PART_HEADERS)),
            _ => {
                let hanging = self.hanging.fetch_add(1, Ordering::SeqCst) + 1;
                self.most_hanging.fetch_max(hanging, Ordering::SeqCst);
                let _hanging = Hanging(Arc::clone(&self.hanging));
                pending().await
            }
        }
    }
}

const INDEX: &str = r#"{"revision": 12, "parts": [{"team": "cl a/b", "revision": 9}]}"#;
const LIST: &str = r#"{"revision": 5, "instances": [{"id": "runner-1", "role": "server",
    "address": "10.0.0.1:8000", "state": "live"}]}"#;
const PART_HEADERS: &[(&str, &str)] = &[("x-revision", "9"), ("x-text-revision", "12")];

fn reply(status: u16, body: &str, headers: &[(&str, &str)]) -> Reply {
    let headers = headers.iter().map(|(name, value)| Header {
        name: (*name).into(),
        value: (*value).into(),
    });
    Reply {
        status,
        headers: headers.collect(),
        body: body.into(),
    }
}

fn shell(script: &Script) -> Shell<Script> {
    Shell {
        fetch: script.clone(),
        address: "127.0.0.1:1".into(),
        clock: Clock::start(),
    }
}

/// Runs a poller until `stop` says so of an update; returns that update.
fn run_until(script: &Script, mut stop: impl FnMut(&Update) -> bool) -> Update {
    let settings = PollerSettings {
        period: Millis(1),
        timeout: Millis(20),
        ..PollerSettings::default()
    };
    let (sender, inbox) = mpsc::channel(1);
    let mut sender: Option<Sender<Event>> = Some(sender);
    let mut found = None;
    let poller = InstancePoller::new(settings);
    task::block_on(run(poller, &shell(script), inbox, |_, update| {
        if found.is_none() && stop(&update) {
            found = Some(update);
            sender = None;
        }
    }));
    found.expect("the run ends with the update")
}

#[test]
fn a_list_is_read_over_the_transport() {
    let script = Script {
        lists: true,
        ..Script::default()
    };
    let update = run_until(&script, |u| matches!(u, Update::Instances(_)));
    let Update::Instances(list) = update else {
        panic!("{update:?}");
    };
    assert_eq!((list.revision, list.instances.len()), (5, 1));
}

#[test]
fn an_index_and_a_part_are_read_over_the_transport() {
    let shell = shell(&Script::default());
    let Ok(Answer::Index(index)) = task::block_on(read(&shell, &Call::Index)) else {
        panic!("no index");
    };
    assert_eq!(index.revision, 12);
    let team = index.parts[0].team.clone();
    let Ok(Answer::Part(part)) = task::block_on(read(&shell, &Call::Part { team })) else {
        panic!("no part");
    };
    assert_eq!((part.revision, part.text_revision), (9, 12));
    assert_eq!(part.text, "text");
}

/// Polls hang past their deadlines, one after the other: each one's future, and with it its
/// connection, must be dropped, or every deadline would leave one more connection behind.
#[test]
fn a_call_past_its_deadline_is_dropped() {
    let script = Script::default();
    let mut ended = 0;
    run_until(&script, |update| {
        ended += usize::from(*update == Update::Unavailable);
        ended == 3
    });
    assert_eq!(script.most_hanging.load(Ordering::SeqCst), 1);
    let paths = script.paths.lock().expect("not poisoned");
    assert!(paths.iter().all(|p| p == "/v1/instances"));
}

/// The service is asked to hold a watch for as long as the caller waits, and a frozen one is given
/// up 2 s later: nobody else would ever end the call.
#[test]
fn a_watch_has_its_wait_and_a_deadline() {
    let script = Script::default();
    let shell = shell(&script);
    let (after, wait) = (12, Millis(20));
    let result = task::block_on(read(&shell, &Call::Watch { after, wait }));
    assert_eq!(result, Err(Failure::Timeout));
    assert!(shell.clock.now() < Millis::from_secs(10));
    assert_eq!(script.hanging.load(Ordering::SeqCst), 0);
    let paths = script.paths.lock().expect("not poisoned");
    assert_eq!(*paths, ["/v1/config/watch?after=12&wait-ms=20"]);
}

#[test]
fn a_429_carries_its_retry_after() {
    let script = Script {
        throttled: true,
        ..Script::default()
    };
    let failure = Failure::Throttled {
        retry_after: Some(Millis::from_secs(9)),
    };
    let result = task::block_on(read(&shell(&script), &Call::Index));
    assert_eq!(result, Err(failure.clone()));
    let update = run_until(&script, |u| matches!(u, Update::Report(_)));
    assert_eq!(update, Update::Report(Report::Unreachable { failure }));
}

#[test]
fn a_document_with_another_status_is_an_error() {
    let script = Script {
        throttled: true,
        ..Script::default()
    };
    let result = task::block_on(fetch(&script, "127.0.0.1:1", "/metrics"));
    assert_eq!(result, Err(FetchError::Status(429)));
}

/// A single read, made without a machine, of a platform that never answers: it must end by itself.
#[test]
fn a_single_read_has_a_deadline() {
    let script = Script::default();
    let shell = shell(&script);
    let result = task::block_on(read(&shell, &Call::Instances));
    assert_eq!(result, Err(Failure::Timeout));
    assert!(shell.clock.now() < Millis::from_secs(10));
    assert_eq!(script.hanging.load(Ordering::SeqCst), 0);
}
