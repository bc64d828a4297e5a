//! What the routers make of the platform's instance list.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crocushold_standins::Instance;
use crocushold_standins::InstanceState;
use crocushold_standins::PlatformCommand;
use crocushold_standins::Role;

use crate::support::Call;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::call;

/// Longer than the lease on the instance list.
const QUIET: Duration = Duration::from_secs(7);

/// More than one short answer takes.
const PROMPT: Duration = Duration::from_millis(800);

/// A backend server as the platform lists it.
fn listed(address: SocketAddr, state: InstanceState) -> Instance {
    Instance {
        id: address.to_string(),
        role: Role::Server,
        service: "fleet".to_owned(),
        zone: "zone-a".to_owned(),
        address: address.to_string(),
        peer_address: String::new(),
        state,
    }
}

/// Nothing changes at the platform for longer than the lease on the instance list. The list is read
/// every second all the same; if those readings didn't reach the routers, they would take the
/// silence for a pause of the process, hold requests for a second, and then trust each server with
/// no more than one request at a time.
#[test]
fn a_request_after_a_quiet_time_is_served_at_once() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    let instances = site
        .engines
        .iter()
        .map(|engine| listed(engine.addr(), InstanceState::Live));
    site.command_platform(PlatformCommand::Instances {
        instances: instances.collect(),
    });
    thread::sleep(QUIET);
    let status = entry.page("/status").unwrap().body;
    assert!(!status.contains("recovering"), "{status}");
    for _ in 0..3 {
        let start = Instant::now();
        let answer = call(entry.listen, &Call::chat(true, 2)).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert!(start.elapsed() < PROMPT, "{:?}", start.elapsed());
    }
}

/// A server was already leaving when the instance started: the list is read before the configuration
/// is in force, and doesn't change afterwards. If it were handed to the routers only when it changes,
/// the leaving server would get new work for as long as it lives.
#[test]
fn a_server_that_was_leaving_before_the_start_gets_no_work() {
    let site = Site::start(&SiteSettings::default());
    let states = [InstanceState::Leaving, InstanceState::Live];
    let engines = site.engines.iter().zip(states);
    site.command_platform(PlatformCommand::Instances {
        instances: engines
            .map(|(engine, state)| listed(engine.addr(), state))
            .collect(),
    });
    let entry = site.entry("entry-1");
    entry.wait_for("/status", |answer| answer.body.contains("\"leaving\""));
    for _ in 0..6 {
        let answer = call(entry.listen, &Call::chat(true, 2)).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    assert_eq!(site.engines[0].stats().started, 0);
    assert_eq!(site.engines[1].stats().started, 6);
}
