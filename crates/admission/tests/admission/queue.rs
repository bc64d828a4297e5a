//! Bounds of the queue, and eviction from a full queue.

use crocushold_admission::AccountSpec;
use crocushold_admission::ClassSpec;
use crocushold_admission::Reason;
use crocushold_admission::Settings;
use crocushold_base::Millis;

use crate::support::Fixture;
use crate::support::batch;
use crate::support::interactive;

const NOW: Millis = Millis(10);

fn with_queue_limit(limit: u32) -> Settings {
    Settings {
        queue_limit: limit,
        ..Settings::default()
    }
}

/// The queue is full of batch requests when an interactive request arrives. It must be admitted,
/// and the newest batch request is refused at once.
#[test]
fn a_request_of_tier_0_evicts_the_newest_of_the_lowest_tier() {
    let mut fixture = Fixture::new(with_queue_limit(10), &[interactive(), batch()], 2);
    let queued: Vec<_> = (0..10).map(|_| fixture.queue(1, 1, NOW)).collect();
    fixture.queue(0, 0, NOW);
    let refused = fixture.refused(NOW, 0);
    assert_eq!(refused.key, queued[9]);
    assert_eq!(refused.refusal.reason, Reason::Displaced);
    assert!(refused.refusal.retry_after >= Millis::from_secs(1));
    assert_eq!(fixture.scheduler.status().queued, 10);
}

/// Both lower tiers have queued requests. The lowest is evicted until only its reserve is left,
/// then the one above it.
#[test]
fn the_lowest_tier_is_evicted_first() {
    let middle = ClassSpec { tier: 1, ..batch() };
    let mut fixture = Fixture::new(with_queue_limit(20), &[interactive(), middle, batch()], 3);
    let upper: Vec<_> = (0..10).map(|_| fixture.queue(1, 1, NOW)).collect();
    let lower: Vec<_> = (0..10).map(|_| fixture.queue(2, 2, NOW)).collect();
    let mut evicted = Vec::new();
    for _ in 0..11 {
        fixture.queue(0, 0, NOW);
        evicted.push(fixture.refused(NOW, 0).key);
    }
    // One of twenty entries is reserved for a floor of a tenth.
    let mut expected: Vec<_> = lower[1..].iter().rev().copied().collect();
    expected.push(upper[9]);
    expected.push(upper[8]);
    assert_eq!(evicted, expected);
}

/// Tier 0 alone fills the queue and is now refused. The entries reserved for the floor of the lower
/// tier remain available to it; without them its floor would have no request to serve.
#[test]
fn tier_0_is_refused_only_when_it_fills_the_queue() {
    let mut fixture = Fixture::new(with_queue_limit(40), &[interactive(), batch()], 2);
    for _ in 0..38 {
        fixture.queue(0, 0, NOW);
    }
    assert_eq!(fixture.refuse(0, 0, NOW).reason, Reason::QueueFull);
    fixture.queue(1, 1, NOW);
    fixture.queue(1, 1, NOW);
    assert_eq!(fixture.refuse(1, 1, NOW).reason, Reason::QueueFull);
    assert_eq!(fixture.refuse(0, 0, NOW).reason, Reason::QueueFull);
    fixture.idle(NOW, 0);
}

/// One account has filled the bound of its class. The first request of another account must still
/// be admitted: the longest queue is evicted until both are equal.
#[test]
fn an_account_cannot_lock_others_out_of_its_class() {
    let class = ClassSpec {
        max_queued: 8,
        ..batch()
    };
    let mut fixture = Fixture::new(Settings::default(), &[class], 2);
    let first: Vec<_> = (0..8).map(|_| fixture.queue(0, 0, NOW)).collect();
    assert_eq!(fixture.refuse(0, 0, NOW).reason, Reason::QueueFull);
    for index in (4..8).rev() {
        fixture.queue(0, 1, NOW);
        assert_eq!(fixture.refused(NOW, 0).key, first[index]);
    }
    assert_eq!(fixture.refuse(0, 1, NOW).reason, Reason::QueueFull);
}

/// An interactive request with a long prompt needs the memory of several batch requests, which are
/// evicted. A request that wouldn't fit even then evicts nothing.
#[test]
fn memory_is_bounded_as_well_as_entries() {
    let settings = Settings {
        queue_bytes: 1000,
        ..Settings::default()
    };
    let mut fixture = Fixture::new(settings, &[interactive(), batch()], 2);
    let mut small = fixture.arrival(1, 1);
    small.bytes = 100;
    for _ in 0..10 {
        fixture.scheduler.submit(&small, NOW);
    }
    assert_eq!(fixture.scheduler.status().bytes, 1000);
    let mut large = fixture.arrival(0, 0);
    large.bytes = 1001;
    fixture.scheduler.submit(&large, NOW);
    fixture.idle(NOW, 0);
    large.bytes = 250;
    fixture.scheduler.submit(&large, NOW);
    for _ in 0..3 {
        fixture.refused(NOW, 0);
    }
    fixture.idle(NOW, 0);
    assert_eq!(fixture.scheduler.status().bytes, 950);
}

/// Like queue entries, memory for half of a floor's share is reserved for its class: a large
/// interactive request doesn't evict the last batch request.
#[test]
fn the_memory_reserved_for_a_floor_is_not_evicted() {
    let settings = Settings {
        queue_bytes: 1000,
        ..Settings::default()
    };
    let mut fixture = Fixture::new(settings, &[interactive(), batch()], 2);
    let mut small = fixture.arrival(1, 1);
    small.bytes = 50;
    fixture.scheduler.submit(&small, NOW);
    let mut large = fixture.arrival(0, 0);
    large.bytes = 951;
    fixture.scheduler.submit(&large, NOW);
    fixture.idle(NOW, 0);
    assert_eq!(fixture.scheduler.status().bytes, 50);
}

/// A class is removed while its requests are queued. They are refused; the other class keeps its
/// queue and its accumulated state.
#[test]
fn a_new_configuration_keeps_the_state_of_remaining_classes() {
    let mut fixture = Fixture::new(Settings::default(), &[interactive(), batch()], 2);
    let kept = fixture.queue(0, 0, NOW);
    let removed = fixture.queue(1, 1, NOW);
    let classes = fixture.classes[..1].to_vec();
    fixture
        .scheduler
        .configure(&classes, &fixture.accounts, NOW);
    let refused = fixture.refused(NOW, 1);
    assert_eq!(refused.key, removed);
    assert_eq!(refused.refusal.reason, Reason::UnknownClass);
    assert_eq!(fixture.dispatch(NOW, 1).key(), kept);
    assert_eq!(fixture.refuse(1, 1, NOW).reason, Reason::UnknownClass);
}

/// A class and an account are removed while their requests run. These finish normally, and a
/// request that is requeued unsent is refused rather than lost.
#[test]
fn running_requests_survive_removal_of_their_class() {
    let mut fixture = Fixture::new(Settings::default(), &[interactive(), batch()], 2);
    fixture.queue(1, 1, NOW);
    let requeued = fixture.queue(1, 1, NOW);
    let finishing = fixture.dispatch(NOW, 2);
    let unsent = fixture.dispatch(NOW, 1);
    let classes = fixture.classes[..1].to_vec();
    let accounts: Vec<AccountSpec> = fixture.accounts[..1].to_vec();
    fixture.scheduler.configure(&classes, &accounts, NOW);
    fixture.finish(finishing, 10, NOW);
    fixture.scheduler.requeue(unsent, NOW);
    assert_eq!(fixture.refused(NOW, 2).key, requeued);
    assert_eq!(fixture.scheduler.status().running, 0);
}
