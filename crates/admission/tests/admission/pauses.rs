//! A process that was suspended and wakes late.

use crocushold_admission::AccountSpec;
use crocushold_admission::Action;
use crocushold_admission::Reason;
use crocushold_admission::Settings;
use crocushold_base::Millis;

use crate::support::Bed;
use crate::support::batch;
use crate::support::live;

/// The instance is suspended for 40 s with live and batch requests queued. The live callers have
/// given up meanwhile: starting their requests would be wasted work, and starting anything first
/// would keep them waiting longer. So all of them are answered, and only then work starts.
#[test]
fn overdue_requests_are_answered_before_anything_starts() {
    let mut bed = Bed::new(Settings::default(), &[live(), batch()], 2);
    for _ in 0..5 {
        bed.queue(1, 1, Millis(0));
    }
    for _ in 0..50 {
        bed.queue(0, 0, Millis(0));
    }
    let now = Millis(40_000);
    for _ in 0..50 {
        let refused = bed.refused(now, 8);
        assert_eq!(refused.refusal.reason, Reason::Expired);
    }
    let batch = bed.classes[1].key;
    for _ in 0..5 {
        assert_eq!(bed.dispatch(now, 8).class(), batch);
    }
    bed.idle(now, 8);
}

/// The caller's own deadline passes while the request is queued in a class that waits for ever.
/// The request is refused at that instant, and not started one millisecond later.
#[test]
fn a_deadline_of_the_caller_is_kept_too() {
    let mut bed = Bed::new(Settings::default(), &[batch()], 1);
    let mut arrival = bed.arrival(0, 0);
    arrival.deadline = Millis(700);
    bed.scheduler.submit(&arrival, Millis(0));
    assert_eq!(bed.scheduler.wake_at(), Some(Millis(700)));
    let refused = bed.refused(Millis(701), 8);
    assert_eq!(refused.refusal.reason, Reason::Expired);
    bed.idle(Millis(701), 8);
}

/// An account sends nothing while the instance is suspended for an hour. On waking its rate limit
/// must not let an hour's worth through at once: the backend servers would take it all together.
#[test]
fn a_long_pause_saves_up_no_more_than_the_burst() {
    let spec = AccountSpec {
        request_rate: 10.0,
        burst: Millis(2000),
        ..AccountSpec::default()
    };
    let mut bed = Bed::with_accounts(Settings::default(), &[batch()], &[spec]);
    for _ in 0..20 {
        bed.queue(0, 0, Millis(0));
    }
    bed.refuse(0, 0, Millis(0));
    let now = Millis::from_secs(3600);
    for _ in 0..20 {
        bed.queue(0, 0, now);
    }
    let refusal = bed.refuse(0, 0, now);
    assert_eq!(refusal.reason, Reason::RequestRate);
}

/// The instance is suspended while requests run, so they seem to have taken 40 s. Were that
/// learned, the service would look far slower than it is, and the next live requests would be
/// refused although they could well attain.
#[test]
fn durations_across_a_pause_teach_nothing() {
    let mut bed = Bed::new(Settings::default(), &[live()], 1);
    let mut now = Millis(0);
    for _ in 0..50 {
        bed.queue(0, 0, now);
        let ticket = bed.dispatch(now, 4);
        now += Millis(100);
        bed.finish(ticket, 100, now);
    }
    bed.idle(now, 4);
    let before = bed.scheduler.status().tokens_per_second;
    let mut tickets = Vec::new();
    for free in (1..=4).rev() {
        bed.queue(0, 0, now);
        tickets.push(bed.dispatch(now, free));
    }
    now += Millis::from_secs(40);
    for ticket in tickets {
        bed.finish(ticket, 100, now);
    }
    bed.queue(0, 0, now);
    let action = bed.scheduler.next(now, 4);
    assert!(matches!(action, Some(Action::Dispatch(_))));
    assert_eq!(bed.scheduler.status().tokens_per_second, before);
}

/// The clock steps back. Time is taken as standing still: a request that arrives then must not be
/// given a deadline in the past, or it would be refused while it could well attain.
#[test]
fn a_step_back_of_the_clock_is_harmless() {
    let mut bed = Bed::new(Settings::default(), &[live()], 1);
    bed.queue(0, 0, Millis(5000));
    let ticket = bed.dispatch(Millis(1000), 1);
    bed.finish(ticket, 10, Millis(0));
    bed.queue(0, 0, Millis(1000));
    assert_eq!(bed.scheduler.wake_at(), Some(Millis(7000)));
}
