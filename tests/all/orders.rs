//! Orders to engines by several instances, one of which owns the engines.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crocushold_platform::wire::EngineRole;
use crocushold_platform::wire::LoadReport;
use crocushold_standins::EngineSettings;
use crocushold_standins::PlatformCommand;
use http_types::Method;
use test_case::test_case;

use crate::support::Call;
use crate::support::Entry;
use crate::support::Fleet;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::call;

/// Longer than the wait of a new owner plus a destructive order.
const TIMEOUT: Duration = Duration::from_secs(90);

/// How long a configuration must be active before an instance unloads what it doesn't want, with
/// some margin.
const UNLOAD_DELAY: Duration = Duration::from_secs(33);

/// Time in which what an instance asked for before it was frozen is answered. An answer that came after the
/// newer configuration would tell it of the change when it resumes.
const IN_FLIGHT: Duration = Duration::from_secs(1);

/// How long a resumed instance is observed.
const OBSERVATION: Duration = Duration::from_secs(10);

fn wait_long(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(100));
    }
}

/// Starts a site whose engines check fencing numbers or ignore them.
fn start_site(checks: bool) -> Site {
    Site::start(&SiteSettings {
        engine: EngineSettings {
            models: vec!["m".to_owned()],
            checks,
            ..EngineSettings::default()
        },
        ..SiteSettings::default()
    })
}

/// Publishes a configuration that enables orders and wants models on some of the engines.
fn publish(site: &Site, checks: bool, models: &[(&str, usize)]) {
    site.publish(|text| ordered_text(text, checks, models));
}

/// Publishes a configuration that wants the model on both engines, and the first engine in a role.
fn publish_role(site: &Site, checks: bool, role: &str) {
    let first = "[server fleet/runner-0]\n";
    let with_role = format!("{first}role = {role}\n");
    site.publish(|text| ordered_text(text, checks, &[("m", 2)]).replace(first, &with_role));
}

fn ordered_text(text: &str, checks: bool, models: &[(&str, usize)]) -> String {
    let checks = if checks { "yes" } else { "no" };
    let orders = format!("kind = model\nweight-loads = 60/min\nchecks-orders = {checks}");
    let models = models.iter().map(|(name, servers)| {
        format!("[model fleet/{name}]\nweights = 16 GB\nservers = {servers}\n\n")
    });
    let models: String = models.collect();
    let text = text.replace("kind = model", &orders);
    let at = text.find("[model fleet/m]").unwrap();
    let end = at + text[at..].find("[server").unwrap();
    format!("{}{models}{}", &text[..at], &text[end..])
}

fn page(path: &str, method: Method, body: &str) -> Call {
    Call {
        method,
        path: path.to_owned(),
        body: body.to_owned(),
        ..Call::chat(false, 1)
    }
}

fn reports(site: &Site) -> Vec<LoadReport> {
    let addresses = site.engines.iter().map(|engine| engine.addr());
    let answers = addresses.map(|at| call(at, &page("/load", Method::Get, "")).unwrap());
    answers
        .map(|answer| LoadReport::parse(&answer.body).unwrap())
        .collect()
}

fn holders(site: &Site, model: &str) -> usize {
    let reports = reports(site);
    let held = |report: &&LoadReport| report.models.iter().any(|held| held == model);
    reports.iter().filter(held).count()
}

fn owns(entry: &Entry) -> bool {
    let status = entry.status();
    let mut limits = status.limits.iter();
    limits.any(|limit| limit.limit == "orders/engines-owned" && limit.used > 0)
}

/// Returns the one running member that owns the engines.
fn owner(fleet: &Fleet<'_>) -> usize {
    let mut found = Vec::new();
    wait_long("one instance owns the engines", || {
        let members = fleet.members.iter().enumerate();
        let running = members.filter_map(|(at, member)| Some((at, member.entry.as_ref()?)));
        found = running.filter(|(_, e)| owns(e)).map(|(at, _)| at).collect();
        found.len() == 1
    });
    found[0]
}

fn order(engine: SocketAddr, body: &str) -> u16 {
    call(engine, &page("/orders", Method::Post, body))
        .unwrap()
        .status
}

/// A configuration, a newer one that reverts it, and an order that implements the first one.
struct Change {
    first: fn(&Site, bool),
    second: fn(&Site, bool),
    order: &'static str,
}

/// Freezes the owner just before it would implement the first configuration, lets another instance
/// take over with the second one, and resumes the first where neither its peers nor the platform
/// can tell it of the change. Engines that check fencing numbers have seen the newer number by
/// then. The state of the engines must match the second configuration throughout.
fn resume_former_owner(checks: bool, change: &Change, is_unchanged: impl Fn(&Site) -> bool) {
    let site = start_site(checks);
    let fleet = Fleet::start_with_links(&site, 3);
    (change.first)(&site, checks);
    let published = Instant::now();
    fleet.wait_active(2);
    let old = owner(&fleet);
    fleet.entry(old).signal("STOP");
    thread::sleep(IN_FLIGHT);
    (change.second)(&site, checks);
    let others: Vec<usize> = (0..3).filter(|number| *number != old).collect();
    wait_long("another instance owns the engines", || {
        others.iter().any(|number| owns(fleet.entry(*number)))
    });
    if checks {
        wait_long("the engines have the newer number", || {
            reports(&site).iter().all(|report| report.fence == 3)
        });
        assert_eq!(order(site.engines[0].addr(), change.order), 409);
    }
    // Until the frozen instance's order would be due if it were still the owner.
    thread::sleep(UNLOAD_DELAY.saturating_sub(published.elapsed()));
    fleet.links.partition(&[old], &others);
    site.command_platform(PlatformCommand::Frozen { on: true });
    fleet.entry(old).signal("CONT");
    let resumed = Instant::now();
    while resumed.elapsed() < OBSERVATION {
        assert!(is_unchanged(&site));
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(fleet.entry(old).status().config.revision, 2);
    site.command_platform(PlatformCommand::Frozen { on: false });
    fleet.links.heal();
    fleet.wait_active(3);
    assert!(is_unchanged(&site));
}

/// The owner is frozen just before it would unload a model that its configuration wants on one
/// engine only. Meanwhile a newer configuration wants the model on both, and another instance owns
/// the engines. The former owner resumes with the old configuration, assuming that it is the owner
/// and that the unload is due. Engines that check fencing numbers refuse it; with the others, the
/// instance itself must not send it.
#[test_case(true; "engines that check")]
#[test_case(false; "engines that ignore")]
fn a_woken_owner_unloads_nothing(checks: bool) {
    let change = Change {
        first: |site, checks| publish(site, checks, &[("m", 1)]),
        second: |site, checks| publish(site, checks, &[("m", 2)]),
        order: r#"{"fence": 2, "kind": "unload", "model": "m"}"#,
    };
    resume_former_owner(checks, &change, |site| holders(site, "m") == 2);
}

/// Returns the number of role orders that the engines obeyed.
fn role_changes(site: &Site) -> usize {
    let stats = site.engines.iter().map(|engine| engine.stats());
    let orders = stats.flat_map(|stats| stats.orders);
    let roles = orders.filter(|order| order.kind == "role" && order.changed);
    roles.count()
}

/// The owner is frozen just before it would give an engine a role in which it serves no complete
/// requests. Meanwhile a newer configuration wants the former role, and another instance owns the
/// engines. The former owner resumes with the old configuration, assuming that it is the owner and
/// that the change is due; if obeyed, it would end the engine's work for its callers. Engines that
/// check fencing numbers refuse it; with the others, the instance itself must not send it.
#[test_case(true; "engines that check")]
#[test_case(false; "engines that ignore")]
fn a_woken_owner_changes_no_role(checks: bool) {
    let change = Change {
        first: |site, checks| publish_role(site, checks, "prefill"),
        second: |site, checks| publish_role(site, checks, "both"),
        order: r#"{"fence": 2, "kind": "role", "role": "prefill"}"#,
    };
    resume_former_owner(checks, &change, |site| role_changes(site) == 0);
}

/// Two engines serve a model, and a configuration gives the first one another role. The role is
/// ordered once, and callers notice nothing: requests go to the other engine even before the
/// change.
#[test]
fn an_engine_takes_the_role_that_the_text_wants() {
    let site = start_site(true);
    let entry = site.entry("entry-0");
    publish_role(&site, true, "decode");
    entry.wait_active(2);
    wait_long("the engine took the role", || {
        let answer = call(entry.listen, &Call::chat(false, 1)).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.body);
        reports(&site)[0].role == EngineRole::Decode
    });
    let started = site.engines[0].stats().started;
    let after = (0..50).map(|_| call(entry.listen, &Call::chat(false, 1)).unwrap().status);
    assert!(after.into_iter().all(|status| status == 200));
    assert_eq!(site.engines[0].stats().started, started);
    assert_eq!(role_changes(&site), 1);
    assert_eq!(reports(&site)[1].role, EngineRole::Both);
}

/// The owner is killed, and a new configuration wants another model on both engines. A new owner
/// waits until orders of the former owner can no longer arrive, then loads the model; its callers
/// are served.
#[test]
fn a_new_owner_applies_the_configuration() {
    let site = start_site(false);
    let mut fleet = Fleet::start(&site, 3);
    publish(&site, false, &[("m", 2)]);
    fleet.wait_active(2);
    let old = owner(&fleet);
    fleet.members[old].entry.take().unwrap().kill();
    publish(&site, false, &[("m", 2), ("n", 2)]);
    wait_long("the model is loaded on both", || holders(&site, "n") == 2);
    assert_eq!(holders(&site, "m"), 2);
    let mut request = Call::chat(false, 1);
    request.body = request.body.replace("\"m\"", "\"n\"");
    let entry = fleet.entry(owner(&fleet));
    wait_long("its callers are served", || {
        call(entry.listen, &request).unwrap().status == 200
    });
}

/// Two engines hold a model that the configuration wants on one. One replica is unloaded, the other
/// stays, and callers notice nothing: a request sent to the engine just after its unload would be
/// answered that the model is unknown.
#[test]
fn a_spare_replica_is_unloaded() {
    let site = start_site(true);
    let entry = site.entry("entry-0");
    publish(&site, true, &[("m", 1)]);
    entry.wait_active(2);
    wait_long("one engine gave the model up", || {
        let answer = call(entry.listen, &Call::chat(false, 1)).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.body);
        holders(&site, "m") == 1
    });
    let after = (0..50).map(|_| call(entry.listen, &Call::chat(false, 1)).unwrap().status);
    assert!(after.into_iter().all(|status| status == 200));
}
