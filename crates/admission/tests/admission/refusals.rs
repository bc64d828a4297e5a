//! Early refusals and their retry-after times.

use std::collections::HashSet;

use crocushold_admission::Admission;
use crocushold_admission::ClassSpec;
use crocushold_admission::Reason;
use crocushold_admission::Refusal;
use crocushold_admission::Settings;
use crocushold_base::Millis;
use test_case::test_case;

use crate::support::Fixture;
use crate::support::batch;
use crate::support::interactive;

/// A scheduler that has learned a throughput of 100 tokens per second for its only slot, with that
/// slot occupied.
fn trained(classes: &[ClassSpec]) -> (Fixture, Millis) {
    let mut fixture = Fixture::new(Settings::default(), classes, 3);
    let mut now = Millis(0);
    for _ in 0..100 {
        fixture.queue(0, 0, now);
        let ticket = fixture.dispatch(now, 1);
        now += Millis(1000);
        fixture.finish(ticket, 100, now);
    }
    fixture.queue(0, 0, now);
    let _running = fixture.dispatch(now, 1);
    (fixture, now)
}

/// The only slot completes one answer per second and three requests are ahead. A fourth would miss
/// its target of two seconds, so it is refused on arrival instead of after waiting.
#[test]
fn a_request_that_cannot_meet_its_target_is_refused_at_once() {
    let (mut fixture, now) = trained(&[interactive()]);
    let mut refusal = None;
    for _ in 0..4 {
        if let Admission::Refused(refused) = fixture.submit(0, 0, now) {
            refusal = Some(refused);
        }
    }
    let refusal: Refusal = refusal.expect("the fourth request is refused");
    assert_eq!(refusal.reason, Reason::TooLate);
    assert!(refusal.retry_after >= Millis(1000));
    assert!(refusal.retry_after <= Millis(6000));
}

/// A request with nothing ahead of it is admitted regardless of the estimate: only requests that
/// run can correct a wrong estimate, and one that refused every request would stay wrong.
#[test]
fn an_empty_queue_admits_regardless_of_the_estimate() {
    let mut fixture = Fixture::new(Settings::default(), &[interactive()], 1);
    let mut now = Millis(0);
    for _ in 0..100 {
        fixture.queue(0, 0, now);
        let ticket = fixture.dispatch(now, 1).sent();
        now += Millis(1900);
        fixture.scheduler.progress(&ticket, 1, now);
        let completion = crocushold_admission::Completion {
            output: 100,
            complete: true,
        };
        now += Millis(1500);
        fixture.scheduler.finish(ticket, completion, now);
        fixture.idle(now, 1);
    }
}

/// The engines take half a second to the first token. A request that starts with less time left
/// can't meet its target, so its latest start is half a second before the target.
#[test_case(Millis(2000); "when late requests are refused")]
#[test_case(Millis::MAX; "when late requests are served")]
fn the_time_to_first_token_is_set_aside(max_wait: Millis) {
    let class = ClassSpec {
        max_wait,
        ..interactive()
    };
    let mut fixture = Fixture::new(Settings::default(), &[class], 1);
    let mut now = Millis(0);
    for _ in 0..20 {
        fixture.queue(0, 0, now);
        let ticket = fixture.dispatch(now, 1).sent();
        now += Millis(500);
        fixture.scheduler.progress(&ticket, 1, now);
        fixture.scheduler.cancel(ticket.key(), 1, now);
    }
    fixture.queue(0, 0, now);
    let last = fixture
        .scheduler
        .wake_at()
        .expect("it is queued")
        .since(now);
    assert!((1350..=1500).contains(&last.0), "{last}");
}

/// A large number of batch requests in a lower tier doesn't cause an interactive request to be
/// refused.
#[test]
fn lower_tiers_do_not_count_as_ahead() {
    let (mut fixture, now) = trained(&[interactive(), batch()]);
    for _ in 0..1000 {
        fixture.queue(1, 1, now);
    }
    fixture.queue(0, 0, now);
}

/// Another class of the tier has two queued requests that are due first. They count as ahead.
#[test]
fn earlier_deadlines_of_the_tier_count_as_ahead() {
    let (mut fixture, now) = trained(&[interactive(), interactive()]);
    fixture.queue(0, 0, now);
    fixture.queue(0, 0, now);
    assert_eq!(fixture.refuse(1, 1, now).reason, Reason::TooLate);
}

/// Another class of the tier has a long queue with a target of an hour. It isn't ahead of a request
/// that is due in two seconds, so that request isn't refused.
#[test]
fn later_deadlines_of_the_tier_do_not_count_as_ahead() {
    let patient = ClassSpec {
        target: Millis::from_secs(3600),
        max_wait: Millis::MAX,
        ..interactive()
    };
    let (mut fixture, now) = trained(&[interactive(), patient]);
    for _ in 0..1000 {
        fixture.queue(1, 1, now);
    }
    fixture.queue(0, 0, now);
}

/// One account has queued as many interactive requests as are admitted. The first request of
/// another account would be served second, so the long queue is no reason to refuse it.
#[test]
fn a_flood_of_one_account_does_not_get_others_refused() {
    let (mut fixture, now) = trained(&[interactive()]);
    while let Admission::Queued(_) = fixture.submit(0, 0, now) {}
    fixture.queue(0, 1, now);
}

/// Many callers are refused at the same time. With identical retry-after times they would retry
/// together and be refused again.
#[test]
fn retry_times_are_spread() {
    let (mut fixture, now) = trained(&[interactive()]);
    while let Admission::Queued(_) = fixture.submit(0, 0, now) {}
    let times: HashSet<Millis> = (0..100)
        .map(|_| fixture.refuse(0, 0, now).retry_after)
        .collect();
    assert!(
        times.len() > 50,
        "only {} distinct retry times",
        times.len()
    );
}

/// Behind a queue ten times as long, the retry-after time is longer.
#[test]
fn retry_times_grow_with_the_queue() {
    let class = ClassSpec {
        max_queued: 10,
        ..batch()
    };
    let longer = ClassSpec {
        max_queued: 100,
        ..batch()
    };
    let times = [class, longer].map(|spec| {
        let (mut fixture, now) = trained(&[spec]);
        loop {
            if let Admission::Refused(refusal) = fixture.submit(0, 0, now) {
                return refusal.retry_after;
            }
        }
    });
    assert!(times[0] >= Millis(8000), "{}", times[0]);
    assert!(times[1] >= Millis(80_000), "{}", times[1]);
}

/// Ten requests missed their target while the engines were slow, and new ones arrive that can still
/// meet theirs. The late requests are deferred, so that they don't make the new ones late too, but
/// one start in eight goes to them, so that they are eventually served.
#[test]
fn late_requests_are_deferred_but_not_starved() {
    let class = ClassSpec {
        target: Millis(1000),
        max_wait: Millis::MAX,
        ..batch()
    };
    let mut fixture = Fixture::new(Settings::default(), &[class], 1);
    let late: HashSet<_> = (0..10).map(|_| fixture.queue(0, 0, Millis(0))).collect();
    let now = Millis(1500);
    for _ in 0..100 {
        fixture.queue(0, 0, now);
    }
    let starts: Vec<bool> = (0..80)
        .map(|_| late.contains(&fixture.dispatch(now, 8).key()))
        .collect();
    assert!(!starts[..7].contains(&true));
    assert_eq!(starts.iter().filter(|&&is_late| is_late).count(), 10);
}

/// A class of the same tier with late requests and an earlier deadline doesn't delay a request that
/// can still meet its target.
#[test]
fn late_requests_are_served_after_other_classes_of_the_tier() {
    let patient = ClassSpec {
        max_wait: Millis(60_000),
        ..interactive()
    };
    let mut fixture = Fixture::new(Settings::default(), &[patient, interactive()], 2);
    for _ in 0..10 {
        fixture.queue(0, 0, Millis(0));
    }
    let now = Millis(2500);
    let fresh = fixture.queue(1, 1, now);
    assert_eq!(fixture.dispatch(now, 1).key(), fresh);
    assert_eq!(fixture.dispatch(now, 1).class(), fixture.classes[0].key);
}
