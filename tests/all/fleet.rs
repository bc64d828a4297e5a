//! Several entry instances that act as one.

use std::time::Duration;
use std::time::Instant;

use crocushold_standins::PlatformCommand;

use crate::support::Call;
use crate::support::Fleet;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::call;

/// Within this time a change is in force on every instance.
const PROPAGATION_BOUND: Duration = Duration::from_secs(5);

/// Publishes a text in which the class named `chat` has another floor, and returns once every
/// running member shows the revision.
fn change_config(site: &Site, fleet: &Fleet<'_>, revision: u64) -> Duration {
    let start = Instant::now();
    let comment = format!("# revision {revision}");
    site.publish(|text| text.replace("format = 1", &format!("format = 1\n{comment}")));
    fleet.wait_active(revision);
    start.elapsed()
}

#[test]
fn a_change_is_in_force_on_eight_instances_within_five_seconds() {
    let site = Site::start(&SiteSettings::default());
    let fleet = Fleet::start(&site, 8);
    let took = change_config(&site, &fleet, 2);
    assert!(took < PROPAGATION_BOUND, "{took:?}");
}

/// The platform goes back to an older revision, as after a restore of its own store. A caller whose
/// key was withdrawn by the newer one would be served again if any instance followed. No instance
/// does, and one that starts meanwhile hears of the newer revision from its peers.
#[test]
fn a_platform_that_goes_back_reverts_nothing() {
    let site = Site::start(&SiteSettings::default());
    let mut fleet = Fleet::start(&site, 3);
    change_config(&site, &fleet, 2);
    site.command_platform(PlatformCommand::Stale { revision: Some(1) });
    fleet.members[2].entry.take();
    fleet.spawn(2);
    fleet.wait_ready();
    fleet.wait_active(2);
}

/// The platform hangs while an instance is replaced at its old address. The new process can read
/// neither the configuration nor the list of its peers, and would serve nobody. The peers still
/// probe the address; the new one answers, learns who they are, and takes the configuration over.
#[test]
fn an_instance_replaced_in_an_outage_learns_from_its_peers() {
    let site = Site::start(&SiteSettings::default());
    let mut fleet = Fleet::start(&site, 3);
    // Ready isn't enough: nobody may have read the list yet, so that nobody knows the address.
    fleet.wait_converged();
    change_config(&site, &fleet, 2);
    site.command_platform(PlatformCommand::Frozen { on: true });
    fleet.members[2].entry.take();
    fleet.spawn(2);
    fleet.wait_active(2);
    let answer = call(fleet.entry(2).listen, &Call::chat(true, 2)).unwrap();
    assert_eq!(answer.status, 200);
}
