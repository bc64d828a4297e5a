//! The shell over a fake transport.

use std::future::pending;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use async_std::task;
use crocushold_base::Clock;
use crocushold_base::Millis;
use crocushold_platform::Call;
use crocushold_platform::ConfigReader;
use crocushold_platform::Event;
use crocushold_platform::Failure;
use crocushold_platform::Fetch;
use crocushold_platform::FetchError;
use crocushold_platform::Get;
use crocushold_platform::Header;
use crocushold_platform::ReaderSettings;
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

/// Runs a reader until `stop` says so of an update; returns that update.
fn run_until(script: &Script, mut stop: impl FnMut(&Update) -> bool) -> Update {
    let shell = Shell {
        fetch: script.clone(),
        address: "127.0.0.1:1".into(),
        clock: Clock::start(),
    };
    let settings = ReaderSettings {
        wait: Millis(20),
        grace: Millis(20),
        gap: Millis(1),
        ..ReaderSettings::default()
    };
    let (sender, inbox) = mpsc::channel(1);
    let mut sender: Option<Sender<Event>> = Some(sender);
    let mut found = None;
    let reader = ConfigReader::new(settings);
    task::block_on(run(reader, &shell, inbox, |_, update| {
        if found.is_none() && stop(&update) {
            found = Some(update);
            sender = None;
        }
    }));
    found.expect("the run ends with the update")
}

#[test]
fn a_configuration_is_read_over_the_transport() {
    let script = Script::default();
    let update = run_until(&script, |u| matches!(u, Update::Config(_)));
    let Update::Config(snapshot) = update else {
        panic!("{update:?}");
    };
    assert_eq!(snapshot.revision, 12);
    assert_eq!(&*snapshot.parts[0].text, "text");
}

/// Watches hang past their deadlines, one after the other: each one's future, and with it its
/// connection, must be dropped, or every deadline would leave one more connection behind.
#[test]
fn a_call_past_its_deadline_is_dropped() {
    let script = Script::default();
    let failure = Failure::Timeout;
    let unreachable = Update::Report(Report::Unreachable { failure });
    let mut outages = 0;
    run_until(&script, |update| {
        outages += usize::from(*update == unreachable);
        outages == 3
    });
    assert_eq!(script.most_hanging.load(Ordering::SeqCst), 1);
    let paths = script.paths.lock().expect("not poisoned");
    assert!(
        paths
            .iter()
            .any(|p| p == "/v1/config/watch?after=12&wait-ms=20")
    );
}

#[test]
fn a_429_carries_its_retry_after() {
    let script = Script {
        throttled: true,
        ..Script::default()
    };
    let update = run_until(&script, |_| true);
    let failure = Failure::Throttled {
        retry_after: Some(Millis::from_secs(9)),
    };
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
    let shell = Shell {
        fetch: script.clone(),
        address: "127.0.0.1:1".into(),
        clock: Clock::start(),
    };
    let result = task::block_on(read(&shell, &Call::Instances));
    assert_eq!(result, Err(Failure::Timeout));
    assert!(shell.clock.now() < Millis::from_secs(10));
    assert_eq!(script.hanging.load(Ordering::SeqCst), 0);
}
