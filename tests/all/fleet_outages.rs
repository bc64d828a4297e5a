//! Instances that are lost and replaced while the platform is unavailable.

use crocushold_metrics::status::InstanceState;
use crocushold_standins::PlatformCommand;
use test_case::test_case;

use crate::support::Balancer;
use crate::support::Call;
use crate::support::Fleet;
use crate::support::Load;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::call;

const COUNT: usize = 8;

/// The platform hangs or is down. One instance is killed, and another is replaced by a process at
/// an unlisted address. The remaining six keep serving. The new process and the others don't know
/// each other: it refuses callers as not run, and reports to the operator that it has no
/// configuration. Once the platform lists it, it joins.
#[test_case(PlatformCommand::Frozen { on: true }, PlatformCommand::Frozen { on: false }; "frozen")]
#[test_case(PlatformCommand::Down { on: true }, PlatformCommand::Down { on: false }; "down")]
fn an_unlisted_newcomer_in_an_outage_waits_and_says_so(
    begin: PlatformCommand,
    end: PlatformCommand,
) {
    let site = Site::start(&SiteSettings {
        concurrency: 64,
        ..SiteSettings::default()
    });
    let mut fleet = Fleet::start(&site, COUNT);
    fleet.wait_converged();
    let balancer = Balancer::start();
    for number in 0..6 {
        balancer.add(fleet.entry(number));
    }
    let load = Load::start(&site, balancer.address);
    site.command_platform(begin);
    fleet.kill(6);
    fleet.kill(7);
    let noticed = fleet.wait_converged();
    fleet.spawn_at_new_address(7);
    let new_instance = fleet.members[7].entry.take().unwrap();
    // Each of the six has probed a member since then, and none may have found the new instance.
    let unnoticed = fleet.wait_converged();
    let refused = call(new_instance.listen, &Call::chat(false, 2)).unwrap();
    assert_eq!(refused.status, 503, "{}", refused.body);
    assert_eq!(refused.header("x-request-ran"), "no");
    assert_ne!(refused.header("retry-after"), "");
    assert_eq!(new_instance.status().state, InstanceState::Starting);
    assert_eq!(new_instance.page("/ready").unwrap().status, 503);
    fleet.members[7].entry = Some(new_instance);
    site.command_platform(end);
    fleet.publish();
    fleet.wait_ready();
    let joined = fleet.wait_converged();
    let totals = load.stop();
    totals.print("outage");
    println!("outage: losses noticed in {noticed:?}, {unnoticed:?}, joined in {joined:?}");
    totals.assert_invariants();
    assert_eq!(totals.cut(), 0);
}
