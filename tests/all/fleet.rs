//! Several entry instances that share a configuration.

use std::time::Duration;
use std::time::Instant;

use crocushold_standins::PlatformCommand;

use crate::support::Call;
use crate::support::Fleet;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::call;

/// Time within which a change is active on every instance.
const PROPAGATION_BOUND: Duration = Duration::from_secs(5);

/// Publishes a configuration with another comment, and returns how long it took until the revision
/// was active on every running member.
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

/// The platform goes back to an older revision, as after restoring its store from a backup. A
/// caller whose key was revoked by the newer revision would be served again if any instance
/// followed. None does, and an instance that starts meanwhile learns of the newer revision from its
/// peers.
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
/// neither the configuration nor the instance list and couldn't serve anyone. The peers still probe
/// the address; the new process answers, learns who they are, and takes over their configuration.
#[test]
fn an_instance_replaced_in_an_outage_learns_from_its_peers() {
    let site = Site::start(&SiteSettings::default());
    let mut fleet = Fleet::start(&site, 3);
    // Readiness isn't enough: the members may not have read the list yet, so that none would know
    // the address.
    fleet.wait_converged();
    change_config(&site, &fleet, 2);
    site.command_platform(PlatformCommand::Frozen { on: true });
    fleet.members[2].entry.take();
    fleet.spawn(2);
    fleet.wait_active(2);
    let answer = call(fleet.entry(2).listen, &Call::chat(true, 2)).unwrap();
    assert_eq!(answer.status, 200);
}
