//! Refusing early, and what is said with a refusal.

use std::collections::HashSet;

use crocushold_admission::Admission;
use crocushold_admission::ClassSpec;
use crocushold_admission::Reason;
use crocushold_admission::Refusal;
use crocushold_admission::Settings;
use crocushold_base::Millis;
use test_case::test_case;

use crate::support::Bed;
use crate::support::batch;
use crate::support::live;

/// Teaches the scheduler that one slot makes 100 tokens a second, and fills the slot.
fn taught(classes: &[ClassSpec]) -> (Bed, Millis) {
    let mut bed = Bed::new(Settings::default(), classes, 3);
    let mut now = Millis(0);
    for _ in 0..100 {
        bed.queue(0, 0, now);
        let ticket = bed.dispatch(now, 1);
        now += Millis(1000);
        bed.finish(ticket, 100, now);
    }
    bed.queue(0, 0, now);
    let _running = bed.dispatch(now, 1);
    (bed, now)
}

/// The only slot makes one answer a second and three chats are ahead. A fourth would wait beyond
/// its target of two seconds: it is told so now, instead of when the parent has got off the bus.
#[test]
fn a_request_that_cannot_attain_is_refused_at_once() {
    let (mut bed, now) = taught(&[live()]);
    let mut refusal = None;
    for _ in 0..4 {
        if let Admission::Refused(refused) = bed.submit(0, 0, now) {
            refusal = Some(refused);
        }
    }
    let refusal: Refusal = refusal.expect("the fourth can't attain");
    assert_eq!(refusal.reason, Reason::TooLate);
    assert!(refusal.retry_after >= Millis(1000));
    assert!(refusal.retry_after <= Millis(6000));
}

/// With nothing ahead of it a request is admitted whatever was learned: only started requests can
/// correct a wrong estimate, and one that refused everybody would stay wrong for ever.
#[test]
fn an_empty_queue_admits_whatever_was_learned() {
    let mut bed = Bed::new(Settings::default(), &[live()], 1);
    let mut now = Millis(0);
    for _ in 0..100 {
        bed.queue(0, 0, now);
        let ticket = bed.dispatch(now, 1).sent();
        now += Millis(1900);
        bed.scheduler.progress(&ticket, 1, now);
        let completion = crocushold_admission::Completion {
            output: 100,
            complete: true,
        };
        now += Millis(1500);
        bed.scheduler.finish(ticket, completion, now);
        bed.idle(now, 1);
    }
}

/// The engines take half a second to the first token. A request that starts with less than that left
/// can't attain any more, so its last start is half a second before the target.
#[test_case(Millis(2000); "when it is refused then")]
#[test_case(Millis::MAX; "when it is served late")]
fn the_time_to_first_token_is_set_aside(max_wait: Millis) {
    let class = ClassSpec { max_wait, ..live() };
    let mut bed = Bed::new(Settings::default(), &[class], 1);
    let mut now = Millis(0);
    for _ in 0..20 {
        bed.queue(0, 0, now);
        let ticket = bed.dispatch(now, 1).sent();
        now += Millis(500);
        bed.scheduler.progress(&ticket, 1, now);
        bed.scheduler.cancel(ticket.key(), 1, now);
    }
    bed.queue(0, 0, now);
    let last = bed.scheduler.wake_at().expect("it is queued").since(now);
    assert!((1350..=1500).contains(&last.0), "{last}");
}

/// Batch work far ahead in number but below in tier doesn't get a live request refused.
#[test]
fn lower_tiers_do_not_count_as_ahead() {
    let (mut bed, now) = taught(&[live(), batch()]);
    for _ in 0..1000 {
        bed.queue(1, 1, now);
    }
    bed.queue(0, 0, now);
}

/// A class of the same tier has two requests queued that fall due first. They count as ahead.
#[test]
fn earlier_deadlines_of_the_tier_count_as_ahead() {
    let (mut bed, now) = taught(&[live(), live()]);
    bed.queue(0, 0, now);
    bed.queue(0, 0, now);
    assert_eq!(bed.refuse(1, 1, now).reason, Reason::TooLate);
}

/// A class of the same tier has a long queue that may wait for an hour. It is not ahead of a request
/// that falls due in two seconds, and no reason to refuse it.
#[test]
fn later_deadlines_of_the_tier_do_not() {
    let patient = ClassSpec {
        target: Millis::from_secs(3600),
        max_wait: Millis::MAX,
        ..live()
    };
    let (mut bed, now) = taught(&[live(), patient]);
    for _ in 0..1000 {
        bed.queue(1, 1, now);
    }
    bed.queue(0, 0, now);
}

/// One account has filled the live queue as far as it is let. The first request of another account
/// would be served next but one, so the long queue is no reason to refuse it.
#[test]
fn a_flood_of_one_account_does_not_get_others_refused() {
    let (mut bed, now) = taught(&[live()]);
    while let Admission::Queued(_) = bed.submit(0, 0, now) {}
    bed.queue(0, 1, now);
}

/// Many callers are refused together. Were they all given the same time, they would return
/// together and be refused again.
#[test]
fn retry_times_are_spread() {
    let (mut bed, now) = taught(&[live()]);
    while let Admission::Queued(_) = bed.submit(0, 0, now) {}
    let times: HashSet<Millis> = (0..100)
        .map(|_| bed.refuse(0, 0, now).retry_after)
        .collect();
    assert!(times.len() > 50, "only {} times", times.len());
}

/// The retry time follows the queue: behind ten times the work it is longer.
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
        let (mut bed, now) = taught(&[spec]);
        loop {
            if let Admission::Refused(refusal) = bed.submit(0, 0, now) {
                return refusal.retry_after;
            }
        }
    });
    assert!(times[0] >= Millis(8000), "{}", times[0]);
    assert!(times[1] >= Millis(80_000), "{}", times[1]);
}

/// Ten requests missed their target while the engines were slow, and new ones arrive that can still
/// attain. The late ones go behind, so that they don't make the new ones late in turn; but one
/// start in eight is theirs, so that they are answered some day.
#[test]
fn late_requests_go_behind_but_not_for_ever() {
    let class = ClassSpec {
        target: Millis(1000),
        max_wait: Millis::MAX,
        ..batch()
    };
    let mut bed = Bed::new(Settings::default(), &[class], 1);
    let late: HashSet<_> = (0..10).map(|_| bed.queue(0, 0, Millis(0))).collect();
    let now = Millis(1500);
    for _ in 0..100 {
        bed.queue(0, 0, now);
    }
    let starts: Vec<bool> = (0..80)
        .map(|_| late.contains(&bed.dispatch(now, 8).key()))
        .collect();
    assert!(!starts[..7].contains(&true));
    assert_eq!(starts.iter().filter(|&&is_late| is_late).count(), 10);
}

/// A class of the same tier with a backlog of hopeless requests and an earlier deadline doesn't
/// hold up one that can still attain.
#[test]
fn late_requests_go_behind_other_classes_of_the_tier() {
    let patient = ClassSpec {
        max_wait: Millis(60_000),
        ..live()
    };
    let mut bed = Bed::new(Settings::default(), &[patient, live()], 2);
    for _ in 0..10 {
        bed.queue(0, 0, Millis(0));
    }
    let now = Millis(2500);
    let fresh = bed.queue(1, 1, now);
    assert_eq!(bed.dispatch(now, 1).key(), fresh);
    assert_eq!(bed.dispatch(now, 1).class(), bed.classes[0].key);
}
