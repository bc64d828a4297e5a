//! How the routers use the platform's instance list.

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
const IDLE_PERIOD: Duration = Duration::from_secs(7);

/// Longer than a short answer takes.
const ANSWER_BOUND: Duration = Duration::from_millis(800);

/// A backend server's entry in the instance list.
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

/// The platform's state doesn't change for longer than the lease on the instance list, which is
/// still read every second. If these unchanged reads didn't reach the routers, they would take the
/// silence for a pause of the process, delay requests by a second, and then send at most one
/// request at a time to each server.
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
    thread::sleep(IDLE_PERIOD);
    let status = entry.page("/status").unwrap().body;
    assert!(!status.contains("recovering"), "{status}");
    for _ in 0..3 {
        let start = Instant::now();
        let answer = call(entry.listen, &Call::chat(true, 2)).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert!(start.elapsed() < ANSWER_BOUND, "{:?}", start.elapsed());
    }
}

/// A server was already leaving when the instance started: the list is read before the
/// configuration is active, and doesn't change afterwards. If the list were passed to the routers
/// only on a change, the leaving server would get new work for as long as it lives.
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
