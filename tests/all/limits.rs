//! The limits of accounts over several instances and services.

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

/// The account's requests a second.
const RATE: f64 = 120.0;

/// Callers at each instance.
const CALLERS: usize = 4;

/// Until the saved-up burst is used, and the first loans have come.
const WARM_UP: Duration = Duration::from_millis(2_500);

/// For which admissions are counted.
const SPAN: Duration = Duration::from_secs(4);

/// What the note allows above the rate: measured over [`SPAN`], with a machine that is busy.
const OVER: f64 = 1.1;

/// What the note allows more where an account's owner changes while units that it lent are unspent:
/// half a second of the rate, over [`SPAN`].
const OWNER_CHANGED: f64 = 0.5 / 4.0;

fn lookup() -> Call {
    Call {
        method: Method::Get,
        path: "/booking/slots".to_owned(),
        body: String::new(),
        ..Call::chat(false, 1)
    }
}

/// A site whose accounts have `limits` in place of wide ones.
fn start_site(settings: &SiteSettings, from: &str, limits: &str) -> Site {
    let site = Site::start(settings);
    site.publish(|text| text.replace(from, limits));
    site
}

fn site() -> Site {
    let limits = format!("requests = {RATE}/s");
    start_site(&SiteSettings::default(), "requests = 10000/s", &limits)
}

/// Sends the requests in turn until the time is up; returns how many of those that were begun in the
/// last [`SPAN`] were served.
fn send_for(address: SocketAddr, requests: &[Call], start: Instant) -> usize {
    let mut served = 0;
    let mut turn = requests.iter().cycle();
    while start.elapsed() < WARM_UP + SPAN {
        let counted = start.elapsed() >= WARM_UP;
        let answer = call(address, turn.next().unwrap());
        match answer.map_or(0, |answer| answer.status) {
            200 => served += usize::from(counted),
            _ => thread::sleep(Duration::from_millis(10)),
        }
    }
    served
}

/// What the callers at these instances together get, as a share of the account's rate.
fn flood(addresses: &[SocketAddr], requests: &[Call]) -> f64 {
    let start = Instant::now();
    let served: usize = thread::scope(|scope| {
        let callers = addresses.iter().flat_map(|address| [*address; CALLERS]);
        let callers: Vec<_> = callers
            .map(|address| scope.spawn(move || send_for(address, requests, start)))
            .collect();
        callers.into_iter().map(|c| c.join().unwrap()).sum()
    });
    let share = served as f64 / SPAN.as_secs_f64() / RATE;
    println!("{} instances: {share:.3} of the rate", addresses.len());
    share
}

fn flood_at(fleet: &Fleet<'_>, numbers: &[usize]) -> f64 {
    let addresses: Vec<_> = numbers.iter().map(|n| fleet.entry(*n).listen).collect();
    flood(&addresses, &[lookup()])
}

/// The balancer sends every call of the account to one of three instances. With equal shares its
/// callers would be refused at a third of the rate that they pay for; the instance borrows the rest
/// of the pool. Spread over all three they must not get more than the rate.
#[test]
fn an_account_at_one_instance_gets_more_than_a_third_and_never_more_than_its_rate() {
    let site = site();
    let fleet = Fleet::start(&site, 3);
    fleet.wait_active(2);
    let one = flood_at(&fleet, &[0]);
    assert!((0.5..=OVER).contains(&one), "{one}");
    let all = flood_at(&fleet, &[0, 1, 2]);
    assert!((0.75..=OVER).contains(&all), "{all}");
}

/// One of three instances is killed, and the platform's list stops naming it. What it held must not
/// lie idle for ever: the two that are left get the whole rate.
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
    assert!((0.7..=0.9).contains(&before), "{before}");
    assert!((0.93..=OVER).contains(&after), "{after}");
}

/// An instance is frozen and wakes. Until it is known to have ended it may be admitting, so its even
/// share stays its own; as it wakes with what it held, all three together stay within the rate.
#[test]
fn a_frozen_instance_that_wakes_does_not_add_to_the_rate() {
    let site = site();
    let fleet = Fleet::start(&site, 3);
    fleet.wait_active(2);
    fleet.entry(2).signal("STOP");
    let frozen = flood_at(&fleet, &[0, 1]);
    assert!(frozen <= OVER, "{frozen}");
    fleet.entry(2).signal("CONT");
    let woken = flood_at(&fleet, &[0, 1, 2]);
    assert!((0.75..=OVER + OWNER_CHANGED).contains(&woken), "{woken}");
}

/// An account calls the engines and the booking service by turns. Each service has a scheduler of its
/// own; did each give out the account's rate, it would get twice what it may use.
#[test]
fn the_rate_holds_over_all_services() {
    let site = site();
    let entry = site.entry("entry-0");
    entry.wait_active(2);
    // An engine takes its time, so that few callers would not reach the rate.
    let share = flood(&[entry.listen; 4], &[lookup(), Call::chat(false, 1)]);
    assert!((0.5..=OVER).contains(&share), "{share}");
}

/// Calls take a while, and many callers at all instances want to be in progress at once. The service
/// must never see more of them together than the account may have, and most of that many.
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
