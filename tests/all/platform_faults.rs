//! A platform that is down, frozen, stale or goes back, and an instance list that lags or lies.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crocushold_config::with_previous;
use crocushold_standins::Instance;
use crocushold_standins::InstanceState;
use crocushold_standins::PlatformCommand;
use crocushold_standins::Role;
use test_case::test_case;

use crate::support::Call;
use crate::support::Entry;
use crate::support::Raw;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::call;
use crate::support::wait;

/// Within this time a change is in force, and a leaving server gets no more work.
const SECONDS: Duration = Duration::from_secs(5);

/// How long a wrong change is given to come into force.
const SETTLE: Duration = Duration::from_secs(3);

/// Adds a model call's class that only a newer revision knows.
fn with_class(text: &str, name: &str) -> String {
    let class = format!(
        "\n[class {name}]\nservice = fleet\npriority = 3\nfirst-token = 2 s\nidempotent = yes\n"
    );
    let accounts = text.replace(
        "classes = chat, lookup, confirm",
        &format!("classes = chat, lookup, confirm, {name}"),
    );
    accounts + &class
}

/// Whether requests of a class are served.
fn serves(entry: &Entry, class: &str) -> bool {
    let request = Call::chat(true, 1).header("x-class", class);
    call(entry.listen, &request).is_some_and(|answer| answer.status == 200)
}

/// Publishes a class and waits until it is served.
fn put_in_force(site: &Site, entry: &Entry, class: &str) {
    site.publish(|text| with_class(text, class));
    let start = Instant::now();
    entry.wait_in_force(site.platform.stats().revision);
    assert!(start.elapsed() < SECONDS, "{:?}", start.elapsed());
    assert!(serves(entry, class));
}

/// Watches for a while that a class stays in force.
fn assert_stays(entry: &Entry, class: &str) {
    let start = Instant::now();
    while start.elapsed() < SETTLE {
        assert!(serves(entry, class), "the change was reverted");
        thread::sleep(Duration::from_millis(50));
    }
}

// The platform is down or hangs while traffic goes on. Requests are served with the configuration
// that is held, and a change that is published after the outage is in force within seconds.
#[test_case(|on| PlatformCommand::Down { on }; "down")]
#[test_case(|on| PlatformCommand::Frozen { on }; "frozen")]
fn an_outage_of_the_platform_stops_nothing(fault: fn(bool) -> PlatformCommand) {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    put_in_force(&site, &entry, "extra");
    site.platform(fault(true));
    assert_stays(&entry, "extra");
    site.platform(fault(false));
    let start = Instant::now();
    site.publish(|text| with_class(text, "later"));
    entry.wait_in_force(site.platform.stats().revision);
    assert!(
        start.elapsed() < Duration::from_secs(10),
        "{:?}",
        start.elapsed()
    );
    assert!(serves(&entry, "later"));
}

// A replica of the platform answers with an older revision, or the platform goes back to one. What
// was accepted stays in force: a caller that the newer text admits is never refused again.
#[test_case(PlatformCommand::Stale { revision: Some(1) }; "stale")]
#[test_case(PlatformCommand::GoBack { revision: 1, reuse: false }; "going back")]
#[test_case(PlatformCommand::GoBack { revision: 1, reuse: true }; "going back with its numbers")]
fn an_older_revision_reverts_nothing(fault: PlatformCommand) {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    put_in_force(&site, &entry, "extra");
    site.platform(fault);
    assert_stays(&entry, "extra");
    assert_eq!(entry.status().config.revision, 2);
}

// The configuration changes while an answer streams under the class that it removes. The answer in
// progress goes on to its end, and only then is the class gone for good.
#[test]
fn a_change_cuts_no_stream() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    put_in_force(&site, &entry, "extra");
    let request = Call::chat(true, 300)
        .marked("mine")
        .header("x-class", "extra");
    let mut caller = Raw::send(entry.listen, &request);
    assert!(caller.read_until("mine 1 "));
    site.publish(str::to_owned);
    entry.wait_in_force(3);
    assert!(caller.read_until("[DONE]\n\n\r\n0\r\n\r\n"), "cut");
    assert!(caller.text().contains("mine 299 "));
    assert!(!serves(&entry, "extra"));
    entry.wait_idle();
}

// A text that can't be accepted is published with the one before behind it. The one before stays in
// force, callers see nothing of it, and the next good text is taken.
#[test]
fn a_rejected_text_changes_nothing() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    put_in_force(&site, &entry, "extra");
    site.publish(|text| {
        let before = with_class(text, "extra");
        let wrong = before.replace("kind = model", "kind = nonsense");
        with_previous("team", &wrong, &before).unwrap()
    });
    wait("the finding shows", || {
        entry
            .status()
            .config
            .parts
            .iter()
            .any(|part| part.findings > 0)
    });
    assert!(serves(&entry, "extra"));
    put_in_force(&site, &entry, "later");
}

/// The site's servers as an instance list tells of them.
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

/// The servers that the status page calls leaving.
fn leaving(entry: &Entry) -> Vec<String> {
    let servers = entry.status().servers.into_iter();
    let leaving = servers.filter(|server| server.standing == "leaving");
    leaving.map(|server| server.server).collect()
}

// The list says that a server leaves while it streams an answer. It gets no new work within a few
// seconds, and the answer in progress goes on to its end.
#[test]
fn a_leaving_server_finishes_and_gets_nothing_new() {
    let site = Site::start(&SiteSettings::default());
    site.platform(listed(&site, |_| InstanceState::Live));
    let entry = site.entry("entry-1");
    let mut caller = Raw::send(entry.listen, &Call::chat(true, 600).marked("mine"));
    assert!(caller.read_until("mine 1 "));
    let runner = site.engines.iter().position(|e| e.runs("mine") == 1);
    let runner = runner.unwrap();
    site.platform(listed(&site, |number| {
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
    assert!(start.elapsed() < SECONDS, "{:?}", start.elapsed());
    let before = site.engines[runner].stats().started;
    for _ in 0..20 {
        assert!(call(entry.listen, &Call::chat(true, 1)).unwrap().whole);
    }
    assert_eq!(site.engines[runner].stats().started, before, "new work");
    assert!(caller.read_until("[DONE]\n\n\r\n0\r\n\r\n"), "cut");
    entry.wait_idle();
}

// The list is empty, or lacks most of the servers: it lags, or is wrong. A service that stopped at
// such a list would have no other fault, so the servers are used on as before.
#[test_case(0; "empty")]
#[test_case(1; "lacking most servers")]
fn a_list_without_servers_stops_nothing(kept: usize) {
    let site = Site::start(&SiteSettings {
        engines: 3,
        ..SiteSettings::default()
    });
    site.platform(listed(&site, |_| InstanceState::Live));
    let entry = site.entry("entry-1");
    let PlatformCommand::Instances { mut instances } = listed(&site, |_| InstanceState::Live)
    else {
        unreachable!("it lists instances");
    };
    instances.truncate(kept);
    let lists = site.platform.stats().lists;
    site.platform(PlatformCommand::Instances { instances });
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
    assert_eq!(used.count(), 3, "servers that live were dropped");
}

// The list lags: it says for a while that a server lives which has shut down already. Its refused
// connections say so themselves, and no caller notices.
#[test]
fn a_lagging_list_is_made_up_for_by_refused_connections() {
    let site = Site::start(&SiteSettings::default());
    site.platform(listed(&site, |_| InstanceState::Live));
    let entry = site.entry("entry-1");
    site.engine(0, crocushold_standins::EngineCommand::Crash);
    for _ in 0..20 {
        let answer = call(entry.listen, &Call::chat(true, 2)).unwrap();
        assert!(answer.status == 200 && answer.whole, "{}", answer.body);
    }
}
