//! The usual life cycle of a request.

use crocushold_admission::Cancelled;
use crocushold_admission::NotRun;
use crocushold_admission::Reason;
use crocushold_admission::Settings;
use crocushold_base::Millis;

use crate::support::Fixture;
use crate::support::batch;
use crate::support::interactive;

fn fixture() -> Fixture {
    Fixture::new(Settings::default(), &[interactive(), batch()], 3)
}

#[test]
fn the_highest_tier_is_dispatched_first() {
    let mut fixture = fixture();
    fixture.queue(1, 0, Millis(0));
    let chat = fixture.queue(0, 0, Millis(1));
    let ticket = fixture.dispatch(Millis(2), 4);
    assert_eq!(ticket.key(), chat);
    fixture.finish(ticket, 50, Millis(500));
    assert_eq!(fixture.scheduler.status().running, 0);
}

#[test]
fn a_requeued_request_keeps_its_position() {
    let mut fixture = fixture();
    let first = fixture.queue(0, 0, Millis(0));
    let second = fixture.queue(0, 0, Millis(0));
    let ticket = fixture.dispatch(Millis(2), 2);
    assert_eq!(ticket.key(), first);
    fixture.scheduler.requeue(ticket, Millis(3));
    assert_eq!(fixture.dispatch(Millis(4), 2).key(), first);
    assert_eq!(fixture.dispatch(Millis(4), 1).key(), second);
}

#[test]
fn a_sent_request_is_requeued_on_proof_that_it_did_not_run() {
    let mut fixture = fixture();
    let key = fixture.queue(0, 0, Millis(0));
    let sent = fixture.dispatch(Millis(1), 1).sent();
    let ticket = sent.not_run(NotRun::ServerRefused);
    fixture.scheduler.requeue(ticket, Millis(2));
    assert_eq!(fixture.dispatch(Millis(3), 1).key(), key);
}

#[test]
fn a_cancelled_request_is_not_dispatched() {
    let mut fixture = fixture();
    let queued = fixture.queue(0, 0, Millis(0));
    let now = Millis(1);
    assert_eq!(
        fixture.scheduler.cancel(queued, 0, now),
        Some(Cancelled::Queued)
    );
    assert_eq!(fixture.scheduler.cancel(queued, 0, now), None);
    fixture.idle(now, 4);
    let running = fixture.queue(0, 0, now);
    let ticket = fixture.dispatch(now, 4);
    assert_eq!(
        fixture.scheduler.cancel(running, 7, now),
        Some(Cancelled::Running)
    );
    fixture.scheduler.requeue(ticket, now);
    fixture.idle(now, 4);
    assert_eq!(fixture.scheduler.status().queued, 0);
    assert_eq!(fixture.scheduler.status().running, 0);
}

#[test]
fn an_expired_request_is_refused_at_its_deadline() {
    let mut fixture = fixture();
    let key = fixture.queue(0, 0, Millis(0));
    assert_eq!(fixture.scheduler.wake_at(), Some(Millis(2000)));
    fixture.idle(Millis(1999), 0);
    let refused = fixture.refused(Millis(2000), 4);
    assert_eq!(refused.key, key);
    assert_eq!(refused.refusal.reason, Reason::Expired);
    fixture.idle(Millis(2000), 4);
}
