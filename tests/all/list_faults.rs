//! An instance list that is empty, stale, or marks a server as leaving.

use std::time::Duration;
use std::time::Instant;

use crocushold_standins::EngineCommand;
use crocushold_standins::Instance;
use crocushold_standins::InstanceState;
use crocushold_standins::PlatformCommand;
use crocushold_standins::Role;
use test_case::test_case;

use crate::support::Call;
use crate::support::Entry;
use crate::support::RawCaller;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::call;
use crate::support::spawn_call;
use crate::support::wait;

/// Time within which a leaving server gets no more work.
const PROPAGATION_BOUND: Duration = Duration::from_secs(5);

/// The site's servers as an instance list.
fn listed(site: &Site, state: impl Fn(usize) -> InstanceState) -> PlatformCommand {
    let engines = site.engines.iter().enumerate();
    let instances = engines.map(|(number, engine)| Instance {
        id: format!("runner-{number}"),
        role: Role::Server,
        service: "fleet".to_owned(),
        zone: "zone-a".to_owned(),
        address: engine.addr().to_string(),
        peer_address: String::new(),
        state: state(number),
    });
    PlatformCommand::Instances {
        instances: instances.collect(),
    }
}

/// Returns the servers that the status document shows as leaving.
fn leaving(entry: &Entry) -> Vec<String> {
    let servers = entry.status().servers.into_iter();
    let leaving = servers.filter(|server| server.standing == "leaving");
    leaving.map(|server| server.server).collect()
}

// The list marks a server as leaving while it streams an answer. Within seconds it gets no new
// work, and the answer in progress completes.
#[test]
fn a_leaving_server_finishes_and_gets_nothing_new() {
    let site = Site::start(&SiteSettings::default());
    site.command_platform(listed(&site, |_| InstanceState::Live));
    let entry = site.entry("entry-1");
    let mut caller = RawCaller::send(entry.listen, &Call::chat(true, 600).marked("mine"));
    assert!(caller.read_until("mine 1 "));
    let runner = site.engines.iter().position(|e| e.runs("mine") == 1);
    let runner = runner.unwrap();
    site.command_platform(listed(&site, |number| {
        if number == runner {
            InstanceState::Leaving
        } else {
            InstanceState::Live
        }
    }));
    let start = Instant::now();
    wait("the server counts as leaving", || {
        leaving(&entry).len() == 1
    });
    assert!(start.elapsed() < PROPAGATION_BOUND, "{:?}", start.elapsed());
    let before = site.engines[runner].stats().started;
    for _ in 0..20 {
        assert!(call(entry.listen, &Call::chat(true, 1)).unwrap().whole);
    }
    assert_eq!(site.engines[runner].stats().started, before, "new work");
    assert!(caller.read_until("[DONE]\n\n\r\n0\r\n\r\n"), "cut");
    entry.wait_idle();
}

// The list is empty or lacks most of the servers, because it lags or is wrong. Acting on it would
// stop a service that has no other fault, so the servers stay in use.
#[test_case(0; "empty")]
#[test_case(1; "lacking most servers")]
fn a_list_without_servers_stops_nothing(kept: usize) {
    let site = Site::start(&SiteSettings {
        engines: 3,
        ..SiteSettings::default()
    });
    site.command_platform(listed(&site, |_| InstanceState::Live));
    let entry = site.entry("entry-1");
    let PlatformCommand::Instances { mut instances } = listed(&site, |_| InstanceState::Live)
    else {
        unreachable!("it lists instances");
    };
    instances.truncate(kept);
    let lists = site.platform.stats().lists;
    site.command_platform(PlatformCommand::Instances { instances });
    wait("the list was read twice", || {
        site.platform.stats().lists >= lists + 2
    });
    for number in 0..24 {
        let answer = call(
            entry.listen,
            &Call::chat(true, 1).marked(&number.to_string()),
        );
        assert!(answer.unwrap().whole);
    }
    let used = site.engines.iter().filter(|e| e.stats().started > 0);
    assert_eq!(used.count(), 3, "live servers were dropped");
}

// The list lags and shows a server as live that has already shut down. Its refused connections show
// that it is gone, and no caller notices.
#[test]
fn a_lagging_list_is_compensated_by_refused_connections() {
    let site = Site::start(&SiteSettings::default());
    site.command_platform(listed(&site, |_| InstanceState::Live));
    let entry = site.entry("entry-1");
    site.command_engine(0, EngineCommand::Crash);
    for _ in 0..20 {
        let answer = call(entry.listen, &Call::chat(true, 2)).unwrap();
        assert!(answer.status == 200 && answer.whole, "{}", answer.body);
    }
}

// The list shows an engine as live that has shut down, while another one streams an answer and
// requests are queued. The stream completes, and all queued requests are served by the remaining
// engine.
#[test]
fn a_lagging_list_costs_neither_queue_nor_stream() {
    let site = Site::start(&SiteSettings {
        concurrency: 2,
        ..SiteSettings::default()
    });
    site.command_platform(listed(&site, |_| InstanceState::Live));
    let entry = site.entry("entry-1");
    let mut stream = RawCaller::send(entry.listen, &Call::chat(true, 150).marked("mine"));
    let runner = site.runner("mine");
    let queue: Vec<_> = (0..8)
        .map(|_| spawn_call(entry.listen, &Call::batch(10)))
        .collect();
    wait("a queue waits", || entry.queued("batch") >= 4);
    site.command_engine(1 - runner, EngineCommand::Crash);
    for answer in queue {
        let answer = answer.join().unwrap().unwrap();
        assert!(answer.status == 200 && answer.whole, "{}", answer.body);
    }
    assert!(stream.read_until("[DONE]\n\n\r\n0\r\n\r\n"), "cut");
    assert!(stream.text().contains("mine 149 "));
    entry.wait_idle();
}
