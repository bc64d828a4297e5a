//! Behaviour of a process that was suspended and resumes late.

use crocushold_admission::AccountSpec;
use crocushold_admission::Action;
use crocushold_admission::Reason;
use crocushold_admission::Settings;
use crocushold_base::Millis;

use crate::support::Fixture;
use crate::support::batch;
use crate::support::interactive;

/// The instance is suspended for 40 s with interactive and batch requests queued. The interactive
/// callers have given up meanwhile. Starting their requests would be wasted work, and starting any
/// other first would delay their answers, so all of them are refused before a request is started.
#[test]
fn overdue_requests_are_answered_before_anything_starts() {
    let mut fixture = Fixture::new(Settings::default(), &[interactive(), batch()], 2);
    for _ in 0..5 {
        fixture.queue(1, 1, Millis(0));
    }
    for _ in 0..50 {
        fixture.queue(0, 0, Millis(0));
    }
    let now = Millis(40_000);
    for _ in 0..50 {
        let refused = fixture.refused(now, 8);
        assert_eq!(refused.refusal.reason, Reason::Expired);
    }
    let batch = fixture.classes[1].key;
    for _ in 0..5 {
        assert_eq!(fixture.dispatch(now, 8).class(), batch);
    }
    fixture.idle(now, 8);
}

/// The caller's own deadline passes while the request is queued in a class without a limit on the
/// wait. The request is refused at that time and isn't started a millisecond later.
#[test]
fn a_deadline_of_the_caller_is_enforced() {
    let mut fixture = Fixture::new(Settings::default(), &[batch()], 1);
    let mut arrival = fixture.arrival(0, 0);
    arrival.deadline = Millis(700);
    fixture.scheduler.submit(&arrival, Millis(0));
    assert_eq!(fixture.scheduler.wake_at(), Some(Millis(700)));
    let refused = fixture.refused(Millis(701), 8);
    assert_eq!(refused.refusal.reason, Reason::Expired);
    fixture.idle(Millis(701), 8);
}

/// An account sends nothing while the instance is suspended for an hour. After that its rate limit
/// must not admit an hour's worth of requests at once, which would overload the backend servers.
#[test]
fn a_long_pause_accumulates_no_more_than_the_burst() {
    let spec = AccountSpec {
        request_rate: 10.0,
        burst: Millis(2000),
        ..AccountSpec::default()
    };
    let mut fixture = Fixture::with_accounts(Settings::default(), &[batch()], &[spec]);
    for _ in 0..20 {
        fixture.queue(0, 0, Millis(0));
    }
    fixture.refuse(0, 0, Millis(0));
    let now = Millis::from_secs(3600);
    for _ in 0..20 {
        fixture.queue(0, 0, now);
    }
    let refusal = fixture.refuse(0, 0, now);
    assert_eq!(refusal.reason, Reason::RequestRate);
}

/// The instance is suspended while requests run, so they appear to have taken 40 s. If that were
/// learned from, the service would appear much slower than it is, and the next interactive requests
/// would be refused although they could meet their target.
#[test]
fn durations_across_a_pause_are_not_learned_from() {
    let mut fixture = Fixture::new(Settings::default(), &[interactive()], 1);
    let mut now = Millis(0);
    for _ in 0..50 {
        fixture.queue(0, 0, now);
        let ticket = fixture.dispatch(now, 4);
        now += Millis(100);
        fixture.finish(ticket, 100, now);
    }
    fixture.idle(now, 4);
    let before = fixture.scheduler.status().tokens_per_second;
    let mut tickets = Vec::new();
    for free in (1..=4).rev() {
        fixture.queue(0, 0, now);
        tickets.push(fixture.dispatch(now, free));
    }
    now += Millis::from_secs(40);
    for ticket in tickets {
        fixture.finish(ticket, 100, now);
    }
    fixture.queue(0, 0, now);
    let action = fixture.scheduler.next(now, 4);
    assert!(matches!(action, Some(Action::Dispatch(_))));
    assert_eq!(fixture.scheduler.status().tokens_per_second, before);
}

/// The clock steps back, and the last time is used instead. A request that arrives then must not
/// get a deadline in the past, or it would be refused although it could meet its target.
#[test]
fn a_step_back_of_the_clock_is_harmless() {
    let mut fixture = Fixture::new(Settings::default(), &[interactive()], 1);
    fixture.queue(0, 0, Millis(5000));
    let ticket = fixture.dispatch(Millis(1000), 1);
    fixture.finish(ticket, 10, Millis(0));
    fixture.queue(0, 0, Millis(1000));
    assert_eq!(fixture.scheduler.wake_at(), Some(Millis(7000)));
}
