//! Tests of the shell with a fake transport.

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

/// Answers some paths with fixed replies; requests for all other paths hang.
#[derive(Clone, Default)]
struct FakeFetch {
    paths: Arc<Mutex<Vec<String>>>,
    hanging: Arc<AtomicUsize>,
    most_hanging: Arc<AtomicUsize>,
    throttled: bool,
    lists: bool,
}

struct HangGuard(Arc<AtomicUsize>);

impl Drop for HangGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl FakeFetch {
    fn record_path(&self, path: &str) {
        let mut paths = self.paths.lock().expect("not poisoned");
        paths.push(path.to_owned());
    }
}

impl Fetch for FakeFetch {
    async fn get(&self, get: Get) -> Result<Reply, FetchError> {
        self.record_path(get.target.as_str());
        if self.throttled {
            return Ok(reply(429, "", &[("Retry-After", "9")]));
        }
        match get.target.as_str() {
            "/v1/config" => Ok(reply(200, INDEX, &[])),
            "/v1/instances" if self.lists => Ok(reply(200, LIST, &[])),
            "/v1/config/parts/cl%20a%2Fb" => Ok(reply(200, "text", PART_HEADERS)),
            _ => {
                let hanging = self.hanging.fetch_add(1, Ordering::SeqCst) + 1;
                self.most_hanging.fetch_max(hanging, Ordering::SeqCst);
                let _guard = HangGuard(Arc::clone(&self.hanging));
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

fn shell(fake: &FakeFetch) -> Shell<FakeFetch> {
    Shell {
        fetch: fake.clone(),
        address: "127.0.0.1:1".into(),
        clock: Clock::start(),
    }
}

/// Runs a poller until `stop` returns true for an update; returns that update.
fn run_until(fake: &FakeFetch, mut stop: impl FnMut(&Update) -> bool) -> Update {
    let settings = PollerSettings {
        period: Millis(1),
        timeout: Millis(20),
        ..PollerSettings::default()
    };
    let (sender, inbox) = mpsc::channel(1);
    let mut sender: Option<Sender<Event>> = Some(sender);
    let mut found = None;
    let poller = InstancePoller::new(settings);
    task::block_on(run(poller, &shell(fake), inbox, |_, update| {
        if found.is_none() && stop(&update) {
            found = Some(update);
            sender = None;
        }
    }));
    found.expect("the run ends with the update")
}

#[test]
fn a_list_is_read_over_the_transport() {
    let fake = FakeFetch {
        lists: true,
        ..FakeFetch::default()
    };
    let update = run_until(&fake, |u| matches!(u, Update::Instances(_)));
    let Update::Instances(list) = update else {
        panic!("{update:?}");
    };
    assert_eq!((list.revision, list.instances.len()), (5, 1));
}

#[test]
fn an_index_and_a_part_are_read_over_the_transport() {
    let shell = shell(&FakeFetch::default());
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

/// Polls hang past their deadlines, one after the other. The future of each must be dropped, since
/// otherwise every timeout would leak a connection.
#[test]
fn a_call_past_its_deadline_is_dropped() {
    let fake = FakeFetch::default();
    let mut ended = 0;
    run_until(&fake, |update| {
        ended += usize::from(*update == Update::Unavailable);
        ended == 3
    });
    assert_eq!(fake.most_hanging.load(Ordering::SeqCst), 1);
    let paths = fake.paths.lock().expect("not poisoned");
    assert!(paths.iter().all(|p| p == "/v1/instances"));
}

/// A watch asks the platform to hold the call for the given wait and times out 2 s after that.
/// Nothing else would end the call if the platform hangs.
#[test]
fn a_watch_has_its_wait_and_a_deadline() {
    let fake = FakeFetch::default();
    let shell = shell(&fake);
    let (after, wait) = (12, Millis(20));
    let result = task::block_on(read(&shell, &Call::Watch { after, wait }));
    assert_eq!(result, Err(Failure::Timeout));
    assert!(shell.clock.now() < Millis::from_secs(10));
    assert_eq!(fake.hanging.load(Ordering::SeqCst), 0);
    let paths = fake.paths.lock().expect("not poisoned");
    assert_eq!(*paths, ["/v1/config/watch?after=12&wait-ms=20"]);
}

#[test]
fn a_429_carries_its_retry_after() {
    let fake = FakeFetch {
        throttled: true,
        ..FakeFetch::default()
    };
    let failure = Failure::Throttled {
        retry_after: Some(Millis::from_secs(9)),
    };
    let result = task::block_on(read(&shell(&fake), &Call::Index));
    assert_eq!(result, Err(failure.clone()));
    let update = run_until(&fake, |u| matches!(u, Update::Report(_)));
    assert_eq!(update, Update::Report(Report::Unreachable { failure }));
}

#[test]
fn a_document_with_another_status_is_an_error() {
    let fake = FakeFetch {
        throttled: true,
        ..FakeFetch::default()
    };
    let result = task::block_on(fetch(&fake, "127.0.0.1:1", "/metrics"));
    assert_eq!(result, Err(FetchError::Status(429)));
}

/// A single read is made without a state machine, so it must time out by itself.
#[test]
fn a_single_read_has_a_deadline() {
    let fake = FakeFetch::default();
    let shell = shell(&fake);
    let result = task::block_on(read(&shell, &Call::Instances));
    assert_eq!(result, Err(Failure::Timeout));
    assert!(shell.clock.now() < Millis::from_secs(10));
    assert_eq!(fake.hanging.load(Ordering::SeqCst), 0);
}
