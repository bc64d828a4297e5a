//! Bounds of the queue, and who gives way.

use crocushold_admission::AccountSpec;
use crocushold_admission::ClassSpec;
use crocushold_admission::Reason;
use crocushold_admission::Settings;
use crocushold_base::Millis;

use crate::support::Bed;
use crate::support::batch;
use crate::support::live;

const NOW: Millis = Millis(10);

fn small(limit: u32) -> Settings {
    Settings {
        queue_limit: limit,
        ..Settings::default()
    }
}

/// The queue is full of nightly work when a parent's chat arrives. The chat must be admitted; the
/// newest batch request gets its final answer at once instead of being held.
#[test]
fn a_live_request_displaces_the_newest_of_the_lowest_tier() {
    let mut bed = Bed::new(small(10), &[live(), batch()], 2);
    let queued: Vec<_> = (0..10).map(|_| bed.queue(1, 1, NOW)).collect();
    bed.queue(0, 0, NOW);
    let refused = bed.refused(NOW, 0);
    assert_eq!(refused.key, queued[9]);
    assert_eq!(refused.refusal.reason, Reason::Displaced);
    assert!(refused.refusal.retry_after >= Millis::from_secs(1));
    assert_eq!(bed.scheduler.status().queued, 10);
}

/// Both lower tiers have work queued. The lowest one gives way until only what is kept for it is
/// left, then the one above it.
#[test]
fn tiers_give_way_from_the_bottom() {
    let middle = ClassSpec { tier: 1, ..batch() };
    let mut bed = Bed::new(small(20), &[live(), middle, batch()], 3);
    let upper: Vec<_> = (0..10).map(|_| bed.queue(1, 1, NOW)).collect();
    let lower: Vec<_> = (0..10).map(|_| bed.queue(2, 2, NOW)).collect();
    let mut given = Vec::new();
    for _ in 0..11 {
        bed.queue(0, 0, NOW);
        given.push(bed.refused(NOW, 0).key);
    }
    // One entry of twenty is kept for a floor of a tenth.
    let mut expected: Vec<_> = lower[1..].iter().rev().copied().collect();
    expected.push(upper[9]);
    expected.push(upper[8]);
    assert_eq!(given, expected);
}

/// Live requests alone fill the queue. Now they are refused, but the entries kept for the floor of
/// the lower tier stay open to it: without them its floor would have nothing to serve.
#[test]
fn the_live_tier_is_refused_only_when_it_fills_the_queue() {
    let mut bed = Bed::new(small(40), &[live(), batch()], 2);
    for _ in 0..38 {
        bed.queue(0, 0, NOW);
    }
    assert_eq!(bed.refuse(0, 0, NOW).reason, Reason::QueueFull);
    bed.queue(1, 1, NOW);
    bed.queue(1, 1, NOW);
    assert_eq!(bed.refuse(1, 1, NOW).reason, Reason::QueueFull);
    assert_eq!(bed.refuse(0, 0, NOW).reason, Reason::QueueFull);
    bed.idle(NOW, 0);
}

/// One account has filled the bound of its class. Another account's first request must not be
/// refused for it: the longest queue gives way until the two are equal.
#[test]
fn an_account_cannot_lock_others_out_of_its_class() {
    let class = ClassSpec {
        max_queued: 8,
        ..batch()
    };
    let mut bed = Bed::new(Settings::default(), &[class], 2);
    let first: Vec<_> = (0..8).map(|_| bed.queue(0, 0, NOW)).collect();
    assert_eq!(bed.refuse(0, 0, NOW).reason, Reason::QueueFull);
    for index in (4..8).rev() {
        bed.queue(0, 1, NOW);
        assert_eq!(bed.refused(NOW, 0).key, first[index]);
    }
    assert_eq!(bed.refuse(0, 1, NOW).reason, Reason::QueueFull);
}

/// A live request with a long prompt needs the memory of several batch requests, which give way. A
/// request that could not fit even then displaces nothing.
#[test]
fn memory_is_bounded_as_well_as_entries() {
    let settings = Settings {
        queue_bytes: 1000,
        ..Settings::default()
    };
    let mut bed = Bed::new(settings, &[live(), batch()], 2);
    let mut small = bed.arrival(1, 1);
    small.bytes = 100;
    for _ in 0..10 {
        bed.scheduler.submit(&small, NOW);
    }
    assert_eq!(bed.scheduler.status().bytes, 1000);
    let mut large = bed.arrival(0, 0);
    large.bytes = 1001;
    bed.scheduler.submit(&large, NOW);
    bed.idle(NOW, 0);
    large.bytes = 250;
    bed.scheduler.submit(&large, NOW);
    for _ in 0..3 {
        bed.refused(NOW, 0);
    }
    bed.idle(NOW, 0);
    assert_eq!(bed.scheduler.status().bytes, 950);
}

/// The memory that half of a floor's share allows stays with its class, as its entries do: a large
/// live request doesn't take the last batch request's place.
#[test]
fn the_memory_kept_for_a_floor_is_not_taken() {
    let settings = Settings {
        queue_bytes: 1000,
        ..Settings::default()
    };
    let mut bed = Bed::new(settings, &[live(), batch()], 2);
    let mut small = bed.arrival(1, 1);
    small.bytes = 50;
    bed.scheduler.submit(&small, NOW);
    let mut large = bed.arrival(0, 0);
    large.bytes = 951;
    bed.scheduler.submit(&large, NOW);
    bed.idle(NOW, 0);
    assert_eq!(bed.scheduler.status().bytes, 50);
}

/// A team removes a class while its requests are queued. They get their answer; the other class's
/// queue and what it saved up stay.
#[test]
fn a_new_configuration_keeps_what_stays() {
    let mut bed = Bed::new(Settings::default(), &[live(), batch()], 2);
    let kept = bed.queue(0, 0, NOW);
    let gone = bed.queue(1, 1, NOW);
    let classes = bed.classes[..1].to_vec();
    bed.scheduler.configure(&classes, &bed.accounts, NOW);
    let refused = bed.refused(NOW, 1);
    assert_eq!(refused.key, gone);
    assert_eq!(refused.refusal.reason, Reason::UnknownClass);
    assert_eq!(bed.dispatch(NOW, 1).key(), kept);
    assert_eq!(bed.refuse(1, 1, NOW).reason, Reason::UnknownClass);
}

/// A class and an account are removed while requests of theirs run. These finish without harm, and
/// one that comes back unsent is refused instead of vanishing.
#[test]
fn what_runs_outlives_its_configuration() {
    let mut bed = Bed::new(Settings::default(), &[live(), batch()], 2);
    bed.queue(1, 1, NOW);
    let back = bed.queue(1, 1, NOW);
    let finishing = bed.dispatch(NOW, 2);
    let returning = bed.dispatch(NOW, 1);
    let classes = bed.classes[..1].to_vec();
    let accounts: Vec<AccountSpec> = bed.accounts[..1].to_vec();
    bed.scheduler.configure(&classes, &accounts, NOW);
    bed.finish(finishing, 10, NOW);
    bed.scheduler.requeue(returning, NOW);
    assert_eq!(bed.refused(NOW, 2).key, back);
    assert_eq!(bed.scheduler.status().running, 0);
}
