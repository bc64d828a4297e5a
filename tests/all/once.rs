//! Non-idempotent requests that are repeated through several instances.

use std::thread;
use std::time::Duration;

use async_std::task;
use crocushold_standins::ServiceCommand;
use crocushold_standins::ServiceFault;

use crate::support::Answer;
use crate::support::Call;
use crate::support::Fleet;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::call;

/// Time by which a repeat overtakes the end of the first attempt.
const OVERTAKING: Duration = Duration::from_millis(50);

/// A booking with an idempotency key. The marker is the same, so that effects can be counted.
fn booking(key: &str) -> Call {
    Call::booking(key).header("idempotency-key", key)
}

fn send(fleet: &Fleet<'_>, number: usize, key: &str) -> Answer {
    call(fleet.entry(number).listen, &booking(key)).unwrap()
}

fn command(site: &Site, command: ServiceCommand) {
    task::block_on(site.service.command(command)).unwrap();
}

/// Sends a booking from a new thread, and returns once the service has started it.
fn spawn_send(site: &Site, fleet: &Fleet<'_>, number: usize, key: &str) -> thread::JoinHandle<()> {
    let address = fleet.entry(number).listen;
    let booking = booking(key);
    let sender = thread::spawn(move || {
        // The answer to this caller isn't under test; it may be cut.
        let _ = call(address, &booking);
    });
    while site.service.effects(key) == 0 {
        thread::yield_now();
    }
    sender
}

/// A caller times out on a confirmation that was made and repeats it, and the balancer picks
/// another instance. Without the claim, that instance would send it to the service a second time.
#[test]
fn a_repeat_through_another_instance_does_not_run_again() {
    let site = Site::start(&SiteSettings::default());
    let fleet = Fleet::start(&site, 3);
    let first = send(&fleet, 0, "k-1");
    assert_eq!(first.status, 200, "{}", first.body);
    let repeat = send(&fleet, 1, "k-1");
    assert_eq!(repeat.status, 409);
    assert_eq!(repeat.header("x-request-ran"), "yes");
    assert_eq!(site.service.effects("k-1"), 1);
}

/// Guards against telling a caller that its request still runs, because its repeat overtook the
/// instance's message that it has ended.
#[test]
fn a_repeat_that_overtakes_the_end_of_the_first_attempt_is_told_that_it_ran() {
    let site = Site::start(&SiteSettings::default());
    let fleet = Fleet::start(&site, 3);
    fleet.entry(0).hold("settling");
    let first = send(&fleet, 0, "k-9");
    assert_eq!(first.status, 200, "{}", first.body);
    let repeat = thread::scope(|scope| {
        let repeat = scope.spawn(|| send(&fleet, 1, "k-9"));
        thread::sleep(OVERTAKING);
        fleet.entry(0).release("settling");
        repeat.join().unwrap()
    });
    assert_eq!(repeat.status, 409);
    assert_eq!(repeat.header("x-request-ran"), "yes");
    assert_eq!(site.service.effects("k-9"), 1);
}

/// A request is repeated while the first attempt is still running. The repeat must neither run nor
/// block, and the caller must be told when to retry.
#[test]
fn a_repeat_of_a_running_request_is_answered_at_once() {
    let site = Site::start(&SiteSettings::default());
    let fleet = Fleet::start(&site, 3);
    let fault = ServiceFault::HangAfter;
    command(&site, ServiceCommand::Fault { fault, times: None });
    let _sender = spawn_send(&site, &fleet, 0, "k-2");
    let repeat = send(&fleet, 1, "k-2");
    assert_eq!(repeat.status, 409);
    assert_eq!(repeat.header("x-request-ran"), "unknown");
    assert_ne!(repeat.header("retry-after"), "");
    assert_eq!(site.service.effects("k-2"), 1);
    command(&site, ServiceCommand::Crash);
}

/// The service makes the booking and closes the connection before it answers. The instance can't
/// know that the booking ran and must not say that it didn't: the repeat is answered with
/// "unknown", and the booking is made once.
#[test]
fn a_request_whose_answer_was_lost_stays_unknown() {
    let site = Site::start(&SiteSettings::default());
    let fleet = Fleet::start(&site, 3);
    let fault = ServiceFault::DropAfter;
    command(
        &site,
        ServiceCommand::Fault {
            fault,
            times: Some(1),
        },
    );
    let first = send(&fleet, 0, "k-3");
    assert_eq!(first.header("x-request-ran"), "unknown");
    assert_eq!(first.header("retry-after"), "");
    let repeat = send(&fleet, 1, "k-3");
    assert_eq!(repeat.header("x-request-ran"), "unknown");
    assert_eq!(site.service.effects("k-3"), 1);
}

/// The entry instance is killed while the service processes the booking. The caller sees its
/// connection close and repeats the request through another instance, which finds the claim at the
/// other members: the request is neither run again nor reported as not run.
#[test]
fn a_request_whose_instance_was_killed_does_not_run_again() {
    let site = Site::start(&SiteSettings::default());
    let mut fleet = Fleet::start(&site, 4);
    let fault = ServiceFault::HangAfter;
    command(
        &site,
        ServiceCommand::Fault {
            fault,
            times: Some(1),
        },
    );
    let sender = spawn_send(&site, &fleet, 0, "k-4");
    fleet.members[0].entry.as_mut().unwrap().kill();
    sender.join().unwrap();
    for number in [1, 2, 3] {
        let repeat = send(&fleet, number, "k-4");
        assert_ne!(repeat.header("x-request-ran"), "no", "{}", repeat.body);
        assert!(repeat.status >= 400, "{}", repeat.body);
    }
    assert_eq!(site.service.effects("k-4"), 1);
}

/// No server listens, so that no byte of the request was sent. The caller is told that it did not
/// run, and the key is free for a repeat once the service is back.
#[test]
fn a_request_that_truly_did_not_run_may_be_repeated() {
    let site = Site::start(&SiteSettings::default());
    let fleet = Fleet::start(&site, 3);
    command(&site, ServiceCommand::Refuse { on: true });
    let first = send(&fleet, 0, "k-5");
    assert_eq!(first.header("x-request-ran"), "no", "{}", first.body);
    assert_ne!(first.header("retry-after"), "");
    assert_eq!(site.service.effects("k-5"), 0);
    command(&site, ServiceCommand::Refuse { on: false });
    let repeat = repeat_until_served(&fleet, "k-5");
    assert_eq!(repeat.status, 200, "{}", repeat.body);
    assert_eq!(site.service.effects("k-5"), 1);
}

/// Repeats the request as a caller would, until it isn't asked to retry later.
fn repeat_until_served(fleet: &Fleet<'_>, key: &str) -> Answer {
    loop {
        let answer = send(fleet, 1, key);
        if answer.header("retry-after").is_empty() {
            return answer;
        }
        thread::sleep(std::time::Duration::from_millis(100));
    }
}

/// All instances are replaced in turn by graceful shutdowns, so that no instance is left that saw
/// the booking. Its record moves to each new instance before that instance votes; otherwise the
/// repeat would run.
#[test]
fn records_outlive_the_planned_replacement_of_all_instances() {
    let site = Site::start(&SiteSettings::default());
    let mut fleet = Fleet::start(&site, 3);
    assert_eq!(send(&fleet, 0, "k-6").status, 200);
    for number in 0..3 {
        let mut old = fleet.members[number].entry.take().unwrap();
        old.signal("TERM");
        assert!(old.wait_exit());
        fleet.spawn(number);
        fleet.wait_ready();
    }
    let repeat = repeat_until_served(&fleet, "k-6");
    assert_eq!(repeat.header("x-request-ran"), "yes", "{}", repeat.body);
    assert_eq!(site.service.effects("k-6"), 1);
}
