//! Floors: no class starves, and no floor takes more than its share.

use crocushold_admission::ClassSpec;
use crocushold_admission::Completion;
use crocushold_admission::NotRun;
use crocushold_admission::Settings;
use crocushold_base::Millis;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::proptest;

use crate::support::Bed;
use crate::support::batch;
use crate::support::live;

const NOW: Millis = Millis(0);

/// Live work without a bound on its wait, so that it stays queued.
fn endless() -> ClassSpec {
    ClassSpec {
        max_wait: Millis::MAX,
        target: Millis::MAX,
        ..live()
    }
}

fn submit(bed: &mut Bed, class: usize, tokens: u32) {
    let mut arrival = bed.arrival(class, class);
    arrival.max_tokens = tokens;
    bed.scheduler.submit(&arrival, NOW);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Both queues always hold work. At every moment the lower class has had its share of the
    /// tokens, short by no more than the request that is due next, and never above it.
    #[test]
    fn a_floor_gets_its_share_and_no_more(
        sizes in proptest::collection::vec((1u32..200, 1u32..200), 400),
        percent in 1u32..50,
    ) {
        let floor = f64::from(percent) / 100.0;
        let lower = ClassSpec { floor, ..batch() };
        let mut bed = Bed::new(Settings::default(), &[endless(), lower], 2);
        for (live, batch) in &sizes {
            submit(&mut bed, 0, *live);
            submit(&mut bed, 1, *batch);
        }
        let (mut all, mut low) = (0.0, 0.0);
        for _ in 0..sizes.len() {
            let ticket = bed.dispatch(NOW, 1);
            let charge = ticket.charge();
            all += charge as f64;
            if ticket.class() == bed.classes[1].key {
                low += charge as f64;
            }
            bed.finish(ticket, charge as u32, NOW);
            prop_assert!(low <= floor * all + 1.0, "above: {low} of {all}");
            prop_assert!(low >= floor * (all - 200.0) - 200.0, "below: {low} of {all}");
        }
    }
}

/// In a quiet night the batch class was served far more than its floor. In the next rush that must
/// not be counted against it, or it would starve for hours.
#[test]
fn quiet_hours_cost_no_floor() {
    let mut bed = Bed::new(Settings::default(), &[endless(), batch()], 2);
    for _ in 0..1000 {
        submit(&mut bed, 1, 100);
        let ticket = bed.dispatch(NOW, 1);
        bed.finish(ticket, 100, NOW);
    }
    for _ in 0..200 {
        submit(&mut bed, 0, 100);
        submit(&mut bed, 1, 100);
    }
    let lower = bed.classes[1].key;
    let starts = (0..100).map(|_| bed.dispatch(NOW, 1).class());
    let count = starts.filter(|&class| class == lower).count();
    assert!((9..=10).contains(&count), "{count}");
}

/// The batch class had nothing queued through a rush and then sends everything at once. Its unused
/// floor was no credit: the live tier would pay for it in one block.
#[test]
fn an_unused_floor_is_not_saved_up() {
    let mut bed = Bed::new(Settings::default(), &[endless(), batch()], 2);
    for _ in 0..2000 {
        submit(&mut bed, 0, 100);
    }
    for _ in 0..1000 {
        let ticket = bed.dispatch(NOW, 1);
        bed.finish(ticket, 100, NOW);
    }
    for _ in 0..100 {
        submit(&mut bed, 1, 100);
    }
    let lower = bed.classes[1].key;
    let starts = (0..100).map(|_| bed.dispatch(NOW, 1).class());
    let count = starts.filter(|&class| class == lower).count();
    assert!((9..=10).contains(&count), "{count}");
}

/// Batch answers turn out four times as long as estimated, live ones half as long. The floor counts
/// what was really generated; by estimates the batch class would take several times its share.
#[test]
fn floors_count_real_tokens() {
    let mut bed = Bed::new(Settings::default(), &[endless(), batch()], 2);
    let mut real = [0, 0];
    for _ in 0..2000 {
        submit(&mut bed, 0, 100);
        submit(&mut bed, 1, 100);
        let ticket = bed.dispatch(NOW, 1);
        let class = usize::from(ticket.class() == bed.classes[1].key);
        let output = [50, 400][class];
        real[class] += output;
        let completion = Completion {
            output,
            complete: false,
        };
        bed.scheduler.finish(ticket.sent(), completion, NOW);
    }
    // An answer is only known to be long when it has run, so one may be too many.
    let floor = (real[0] + real[1]) / 10;
    assert!(real[1].abs_diff(floor) <= 400, "{real:?}");
}

/// No backend server can be had for a while, so live requests are dispatched and put back again
/// and again. Were these counted as served, the floor would grow by work that never ran, and then
/// push the live tier aside.
#[test]
fn requests_put_back_do_not_feed_the_floors() {
    let mut bed = Bed::new(Settings::default(), &[endless(), batch()], 2);
    for _ in 0..100 {
        submit(&mut bed, 0, 100);
        submit(&mut bed, 1, 100);
    }
    for _ in 0..1000 {
        let ticket = bed.dispatch(NOW, 1);
        assert_eq!(ticket.class(), bed.classes[0].key);
        let ticket = ticket.sent().not_run(NotRun::NothingWritten);
        bed.scheduler.requeue(ticket, NOW);
    }
    assert_eq!(bed.dispatch(NOW, 1).class(), bed.classes[0].key);
}

/// A floor that falls due passes the headroom: it is a guarantee, and the headroom is not.
#[test]
fn a_floor_is_served_through_the_headroom() {
    let settings = Settings {
        headroom: crocushold_admission::HeadroomSettings {
            min_share: 0.5,
            max_share: 0.5,
            ..Default::default()
        },
        ..Settings::default()
    };
    let mut bed = Bed::new(settings, &[endless(), batch()], 2);
    for _ in 0..10 {
        submit(&mut bed, 0, 100);
    }
    submit(&mut bed, 1, 100);
    for _ in 0..8 {
        let ticket = bed.dispatch(NOW, 4);
        bed.finish(ticket, 100, NOW);
    }
    // Two slots of four stay taken, and the other two are the headroom's.
    let _running = [bed.dispatch(NOW, 4), bed.dispatch(NOW, 3)];
    assert_eq!(bed.dispatch(NOW, 2).class(), bed.classes[1].key);
    submit(&mut bed, 1, 100);
    bed.idle(NOW, 1);
}
