//! Limits of accounts across several instances and services.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crocushold_standins::ServiceSettings;
use http_types::Method;

use crate::support::Call;
use crate::support::Fleet;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::call;
use crate::support::wait;

/// Rate limit of the account in requests per second.
const RATE: f64 = 120.0;

/// Number of callers at each instance.
const CALLERS_PER_INSTANCE: usize = 4;

/// Time until the accumulated burst is spent and the first loans have arrived.
const WARM_UP: Duration = Duration::from_millis(2_500);

/// Length of the period in which admissions are counted.
const MEASUREMENT: Duration = Duration::from_secs(4);

/// Largest admissible share of the rate, measured over [`MEASUREMENT`], with tolerance for a busy
/// machine.
const MAX_SHARE: f64 = 1.1;

/// Additional share while an account's owner changes and units that the former owner lent are
/// unspent: half a second of the rate, over [`MEASUREMENT`].
const OWNER_CHANGE_SHARE: f64 = 0.5 / 4.0;

fn lookup() -> Call {
    Call {
        method: Method::Get,
        path: "/booking/slots".to_owned(),
        body: String::new(),
        ..Call::chat(false, 1)
    }
}

/// Starts a site and replaces the line `from` of its accounts by `limits`.
fn start_site(settings: &SiteSettings, from: &str, limits: &str) -> Site {
    let site = Site::start(settings);
    site.publish(|text| text.replace(from, limits));
    site
}

fn site() -> Site {
    let limits = format!("requests = {RATE}/s");
    start_site(&SiteSettings::default(), "requests = 10000/s", &limits)
}

/// Sends the requests in turn until the time is up. Returns the numbers of requests that were sent within the
/// last [`MEASUREMENT`], and of those that were served.
fn send_for(address: SocketAddr, requests: &[Call], start: Instant) -> [usize; 2] {
    let [mut sent, mut served] = [0; 2];
    let mut turn = requests.iter().cycle();
    while start.elapsed() < WARM_UP + MEASUREMENT {
        let counted = start.elapsed() >= WARM_UP;
        sent += usize::from(counted);
        let answer = call(address, turn.next().unwrap());
        match answer.map_or(0, |answer| answer.status) {
            200 => served += usize::from(counted),
            _ => thread::sleep(Duration::from_millis(10)),
        }
    }
    [sent, served]
}

/// Returns the throughput of the callers at all given instances, as a share of the account's rate.
fn flood(addresses: &[SocketAddr], requests: &[Call]) -> f64 {
    let start = Instant::now();
    let counts: Vec<[usize; 2]> = thread::scope(|scope| {
        let callers = addresses
            .iter()
            .flat_map(|address| [*address; CALLERS_PER_INSTANCE]);
        let callers: Vec<_> = callers
            .map(|address| scope.spawn(move || send_for(address, requests, start)))
            .collect();
        callers.into_iter().map(|c| c.join().unwrap()).collect()
    });
    let of_rate = |count: usize| count as f64 / MEASUREMENT.as_secs_f64() / RATE;
    let share = of_rate(counts.iter().map(|[_, served]| served).sum());
    let asked = of_rate(counts.iter().map(|[sent, _]| sent).sum());
    println!(
        "{} instances: {share:.3} of the rate, {asked:.3} asked for",
        addresses.len()
    );
    share
}

fn flood_at(fleet: &Fleet<'_>, numbers: &[usize]) -> f64 {
    let addresses: Vec<_> = numbers.iter().map(|n| fleet.entry(*n).listen).collect();
    flood(&addresses, &[lookup()])
}

/// Guards against an account that gets a part of its rate only, as the balancer sends all its calls to one of
/// three instances: the instance borrows the rest, also what idle instances don't use of their shares.
/// Spread over all three instances, the callers must not exceed the rate.
#[test]
fn an_account_at_one_instance_gets_more_than_a_third_and_never_more_than_its_rate() {
    let site = site();
    let fleet = Fleet::start(&site, 3);
    fleet.wait_active(2);
    let one = flood_at(&fleet, &[0]);
    assert!((0.5..=MAX_SHARE).contains(&one), "{one}");
    let all = flood_at(&fleet, &[0, 1, 2]);
    assert!((0.75..=MAX_SHARE).contains(&all), "{all}");
}

/// One of three instances is killed and removed from the platform's instance list. Its share must
/// not stay unused: the two remaining instances get the full rate.
#[test]
fn the_share_of_a_killed_instance_moves_to_the_rest() {
    let site = site();
    let mut fleet = Fleet::start(&site, 3);
    fleet.wait_active(2);
    let before = flood_at(&fleet, &[0, 1]);
    fleet.members[2].entry.take().unwrap().kill();
    fleet.members.truncate(2);
    fleet.publish();
    for entry in fleet.running() {
        wait("the loss is known", || entry.status().peers.len() == 1);
    }
    let after = flood_at(&fleet, &[0, 1]);
    assert!((0.7..=MAX_SHARE).contains(&before), "{before}");
    assert!((0.93..=MAX_SHARE).contains(&after), "{after}");
}

/// An instance is frozen and resumes. Until it is known to have ended it may be admitting requests,
/// so its equal share stays reserved. It resumes with the units that it held, and all three
/// instances together stay within the rate.
#[test]
fn a_frozen_instance_that_wakes_does_not_add_to_the_rate() {
    let site = site();
    let fleet = Fleet::start(&site, 3);
    fleet.wait_active(2);
    fleet.entry(2).signal("STOP");
    let frozen = flood_at(&fleet, &[0, 1]);
    assert!(frozen <= MAX_SHARE, "{frozen}");
    fleet.entry(2).signal("CONT");
    let resumed = flood_at(&fleet, &[0, 1, 2]);
    assert!(
        (0.75..=MAX_SHARE + OWNER_CHANGE_SHARE).contains(&resumed),
        "{resumed}"
    );
}

/// An account alternates between the engines and the booking service. Each service has its own
/// scheduler; if each gave out the account's full rate, the account would get twice its limit.
#[test]
fn the_rate_holds_over_all_services() {
    let site = site();
    let entry = site.entry("entry-0");
    entry.wait_active(2);
    // Engines are slow, so that too few callers wouldn't reach the rate.
    let share = flood(&[entry.listen; 4], &[lookup(), Call::chat(false, 1)]);
    assert!((0.5..=MAX_SHARE).contains(&share), "{share}");
}

/// Calls are slow, and many callers at all instances compete for the account's concurrency. The
/// service must never see more concurrent calls than the account may have, and must see most of
/// that number.
#[test]
fn concurrency_holds_over_all_instances() {
    let settings = SiteSettings {
        service: ServiceSettings {
            before_ms: 300,
            ..ServiceSettings::default()
        },
        concurrency: 64,
        ..SiteSettings::default()
    };
    let site = start_site(&settings, "concurrency = 1000", "concurrency = 12");
    let fleet = Fleet::start(&site, 3);
    fleet.wait_active(2);
    let addresses: Vec<_> = fleet.running().map(|entry| entry.listen).collect();
    let mut peak = 0;
    thread::scope(|scope| {
        let flood = scope.spawn(|| flood(&addresses.repeat(3), &[lookup()]));
        while !flood.is_finished() {
            peak = peak.max(site.service.stats().running);
            thread::sleep(Duration::from_millis(5));
        }
    });
    println!("peak {peak} of 12");
    assert!((9..=12).contains(&peak), "{peak}");
}
