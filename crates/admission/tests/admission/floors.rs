//! Floors: no class starves, and no floor takes more than its share.

use crocushold_admission::ClassSpec;
use crocushold_admission::Completion;
use crocushold_admission::NotRun;
use crocushold_admission::Settings;
use crocushold_base::Millis;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::proptest;

use crate::support::Fixture;
use crate::support::batch;
use crate::support::interactive;

const NOW: Millis = Millis(0);

/// An interactive class without a limit on the wait, so that its requests stay queued.
fn without_deadline() -> ClassSpec {
    ClassSpec {
        max_wait: Millis::MAX,
        target: Millis::MAX,
        ..interactive()
    }
}

fn submit(fixture: &mut Fixture, class: usize, tokens: u32) {
    let mut arrival = fixture.arrival(class, class);
    arrival.max_tokens = tokens;
    fixture.scheduler.submit(&arrival, NOW);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Both classes always have queued requests. At any time the lower class has had its share of
    /// the tokens, short by no more than the request that is due next, and never more than its
    /// share.
    #[test]
    fn a_floor_gets_its_share_and_no_more(
        sizes in proptest::collection::vec((1u32..200, 1u32..200), 400),
        percent in 1u32..50,
    ) {
        let floor = f64::from(percent) / 100.0;
        let lower = ClassSpec { floor, ..batch() };
        let mut fixture = Fixture::new(Settings::default(), &[without_deadline(), lower], 2);
        for (interactive, batch) in &sizes {
            submit(&mut fixture, 0, *interactive);
            submit(&mut fixture, 1, *batch);
        }
        let (mut all, mut low) = (0.0, 0.0);
        for _ in 0..sizes.len() {
            let ticket = fixture.dispatch(NOW, 1);
            let charge = ticket.charge();
            all += charge as f64;
            if ticket.class() == fixture.classes[1].key {
                low += charge as f64;
            }
            fixture.finish(ticket, charge as u32, NOW);
            prop_assert!(low <= floor * all + 1.0, "above the floor: {low} of {all}");
            prop_assert!(low >= floor * (all - 200.0) - 200.0, "below the floor: {low} of {all}");
        }
    }
}

/// Without other load, the batch class was served far more than its floor. That must not be counted
/// against it under the next overload, or it would starve for hours.
#[test]
fn service_beyond_the_floor_leaves_no_debt() {
    let mut fixture = Fixture::new(Settings::default(), &[without_deadline(), batch()], 2);
    for _ in 0..1000 {
        submit(&mut fixture, 1, 100);
        let ticket = fixture.dispatch(NOW, 1);
        fixture.finish(ticket, 100, NOW);
    }
    for _ in 0..200 {
        submit(&mut fixture, 0, 100);
        submit(&mut fixture, 1, 100);
    }
    let lower = fixture.classes[1].key;
    let starts = (0..100).map(|_| fixture.dispatch(NOW, 1).class());
    let count = starts.filter(|&class| class == lower).count();
    assert!((9..=10).contains(&count), "{count}");
}

/// The batch class had nothing queued during an overload and then submits many requests at once.
/// Its unused floor must not have accumulated; otherwise tier 0 would have to wait for all of it at
/// once.
#[test]
fn an_unused_floor_earns_no_credit() {
    let mut fixture = Fixture::new(Settings::default(), &[without_deadline(), batch()], 2);
    for _ in 0..2000 {
        submit(&mut fixture, 0, 100);
    }
    for _ in 0..1000 {
        let ticket = fixture.dispatch(NOW, 1);
        fixture.finish(ticket, 100, NOW);
    }
    for _ in 0..100 {
        submit(&mut fixture, 1, 100);
    }
    let lower = fixture.classes[1].key;
    let starts = (0..100).map(|_| fixture.dispatch(NOW, 1).class());
    let count = starts.filter(|&class| class == lower).count();
    assert!((9..=10).contains(&count), "{count}");
}

/// Batch answers are four times as long as estimated and interactive ones half as long. Floors
/// count the tokens actually generated; by estimates, the batch class would get several times its
/// share.
#[test]
fn floors_count_actual_tokens() {
    let mut fixture = Fixture::new(Settings::default(), &[without_deadline(), batch()], 2);
    let mut actual = [0, 0];
    for _ in 0..2000 {
        submit(&mut fixture, 0, 100);
        submit(&mut fixture, 1, 100);
        let ticket = fixture.dispatch(NOW, 1);
        let class = usize::from(ticket.class() == fixture.classes[1].key);
        let output = [50, 400][class];
        actual[class] += output;
        let completion = Completion {
            output,
            complete: false,
        };
        fixture.scheduler.finish(ticket.sent(), completion, NOW);
    }
    // An answer is only known to be long after it has run, so there may be one too many.
    let floor = (actual[0] + actual[1]) / 10;
    assert!(actual[1].abs_diff(floor) <= 400, "{actual:?}");
}

/// No backend server is available for a while, so requests of tier 0 are dispatched and requeued
/// repeatedly. If these dispatches advanced the token clock, the floor would accrue from work that
/// never ran and then displace tier 0.
#[test]
fn requeued_requests_do_not_advance_the_floors() {
    let mut fixture = Fixture::new(Settings::default(), &[without_deadline(), batch()], 2);
    for _ in 0..100 {
        submit(&mut fixture, 0, 100);
        submit(&mut fixture, 1, 100);
    }
    for _ in 0..1000 {
        let ticket = fixture.dispatch(NOW, 1);
        assert_eq!(ticket.class(), fixture.classes[0].key);
        let ticket = ticket.sent().not_run(NotRun::NothingWritten);
        fixture.scheduler.requeue(ticket, NOW);
    }
    assert_eq!(fixture.dispatch(NOW, 1).class(), fixture.classes[0].key);
}

/// A floor that is due may use slots of the headroom: the floor is a guarantee, the headroom is
/// not.
#[test]
fn a_due_floor_may_use_the_headroom() {
    let settings = Settings {
        headroom: crocushold_admission::HeadroomSettings {
            min_share: 0.5,
            max_share: 0.5,
            ..Default::default()
        },
        ..Settings::default()
    };
    let mut fixture = Fixture::new(settings, &[without_deadline(), batch()], 2);
    for _ in 0..10 {
        submit(&mut fixture, 0, 100);
    }
    submit(&mut fixture, 1, 100);
    for _ in 0..8 {
        let ticket = fixture.dispatch(NOW, 4);
        fixture.finish(ticket, 100, NOW);
    }
    // Two of four slots stay occupied; the other two are reserved by the headroom.
    let _running = [fixture.dispatch(NOW, 4), fixture.dispatch(NOW, 3)];
    assert_eq!(fixture.dispatch(NOW, 2).class(), fixture.classes[1].key);
    submit(&mut fixture, 1, 100);
    fixture.idle(NOW, 1);
}
