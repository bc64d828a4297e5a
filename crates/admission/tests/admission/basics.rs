//! The plain course of requests.

use crocushold_admission::Cancelled;
use crocushold_admission::NotRun;
use crocushold_admission::Reason;
use crocushold_admission::Settings;
use crocushold_base::Millis;

use crate::support::Bed;
use crate::support::batch;
use crate::support::live;

fn bed() -> Bed {
    Bed::new(Settings::default(), &[live(), batch()], 3)
}

#[test]
fn the_live_tier_goes_first() {
    let mut bed = bed();
    bed.queue(1, 0, Millis(0));
    let chat = bed.queue(0, 0, Millis(1));
    let ticket = bed.dispatch(Millis(2), 4);
    assert_eq!(ticket.key(), chat);
    bed.finish(ticket, 50, Millis(500));
    assert_eq!(bed.scheduler.status().running, 0);
}

#[test]
fn a_requeued_request_keeps_its_place() {
    let mut bed = bed();
    let first = bed.queue(0, 0, Millis(0));
    let second = bed.queue(0, 0, Millis(0));
    let ticket = bed.dispatch(Millis(2), 2);
    assert_eq!(ticket.key(), first);
    bed.scheduler.requeue(ticket, Millis(3));
    assert_eq!(bed.dispatch(Millis(4), 2).key(), first);
    assert_eq!(bed.dispatch(Millis(4), 1).key(), second);
}

#[test]
fn a_sent_request_goes_back_only_on_proof() {
    let mut bed = bed();
    let key = bed.queue(0, 0, Millis(0));
    let sent = bed.dispatch(Millis(1), 1).sent();
    let ticket = sent.not_run(NotRun::ServerRefused);
    bed.scheduler.requeue(ticket, Millis(2));
    assert_eq!(bed.dispatch(Millis(3), 1).key(), key);
}

#[test]
fn a_cancelled_request_is_gone() {
    let mut bed = bed();
    let queued = bed.queue(0, 0, Millis(0));
    let now = Millis(1);
    assert_eq!(
        bed.scheduler.cancel(queued, 0, now),
        Some(Cancelled::Queued)
    );
    assert_eq!(bed.scheduler.cancel(queued, 0, now), None);
    bed.idle(now, 4);
    let running = bed.queue(0, 0, now);
    let ticket = bed.dispatch(now, 4);
    assert_eq!(
        bed.scheduler.cancel(running, 7, now),
        Some(Cancelled::Running)
    );
    bed.scheduler.requeue(ticket, now);
    bed.idle(now, 4);
    assert_eq!(bed.scheduler.status().queued, 0);
    assert_eq!(bed.scheduler.status().running, 0);
}

#[test]
fn an_expired_request_is_refused_when_its_time_comes() {
    let mut bed = bed();
    let key = bed.queue(0, 0, Millis(0));
    assert_eq!(bed.scheduler.wake_at(), Some(Millis(2000)));
    bed.idle(Millis(1999), 0);
    let refused = bed.refused(Millis(2000), 4);
    assert_eq!(refused.key, key);
    assert_eq!(refused.refusal.reason, Reason::Expired);
    bed.idle(Millis(2000), 4);
}
