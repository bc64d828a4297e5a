//! How engines are divided between live streams, other short requests and long prompts.

use crocushold_base::Millis;
use crocushold_routing::Lane;
use crocushold_routing::LaneSettings;
use crocushold_routing::LaneStats;
use crocushold_routing::Lanes;

fn lanes() -> Lanes {
    Lanes::new(LaneSettings::default())
}

/// A row of requests, so much work each 100 ms by lane; each brings the stream of a long prompt that ends,
/// of which a part, in tenths, paused for too long.
struct Row {
    work: [f64; 3],
    strained: u64,
}

impl Row {
    fn run(&self, lanes: &mut Lanes, engines: usize, from: u64, to: u64) {
        for at in (from..to).step_by(100) {
            let now = Millis(at);
            for (lane, work) in [Lane::Live, Lane::Light, Lane::Heavy]
                .into_iter()
                .zip(self.work)
            {
                lanes.record_work(lane, work, now);
            }
            if self.work[2] > 0.0 {
                for _ in 0..2 {
                    lanes.record_stream(at / 100 % 10 < self.strained, now);
                }
            }
            lanes.rebalance(engines);
        }
    }
}

fn run(lanes: &mut Lanes, light: f64, heavy: f64, from: u64, to: u64) {
    let row = Row {
        work: [0.0, light, heavy],
        strained: 0,
    };
    row.run(lanes, 18, from, to);
}

#[test]
fn without_long_prompts_all_engines_are_light() {
    let mut lanes = lanes();
    assert_eq!(lanes.counts(18), [0, 18, 0]);
    lanes.record_work(Lane::Light, 10.0, Millis(0));
    assert!(!lanes.rebalance(18));
    assert_eq!(lanes.counts(18), [0, 18, 0]);
}

#[test]
fn the_border_follows_the_work() {
    let mut lanes = lanes();
    run(&mut lanes, 1.0, 3.0, 0, 10_000);
    // A quarter of the work, with half the room: 0.5 of 3.5.
    assert_eq!(lanes.counts(18), [0, 3, 15]);
    run(&mut lanes, 3.0, 1.0, 10_000, 40_000);
    // 1.5 of 2.5, less a change that is too small to move it.
    let light = lanes.counts(18)[1];
    assert!((10..=11).contains(&light), "{light}");
}

/// Long prompts come at ten times their usual rate. The lane for them is wider within seconds, and the
/// light one keeps an engine however little it has to do.
#[test]
fn a_burst_moves_the_border_within_seconds() {
    let mut lanes = lanes();
    run(&mut lanes, 3.0, 3.0, 0, 10_000);
    assert_eq!(lanes.counts(18), [0, 6, 12]);
    run(&mut lanes, 3.0, 30.0, 10_000, 13_000);
    assert!(lanes.counts(18)[1] <= 2, "{:?}", lanes.counts(18));
    run(&mut lanes, 0.0, 30.0, 13_000, 80_000);
    assert_eq!(lanes.counts(18), [0, 1, 17]);
}

/// Each move takes prompts from the engines that keep them, so small changes move nothing.
#[test]
fn small_changes_move_nothing() {
    let mut lanes = lanes();
    run(&mut lanes, 1.0, 3.0, 0, 10_000);
    lanes.record_work(Lane::Heavy, 1.0, Millis(10_000));
    assert!(!lanes.rebalance(18));
}

#[test]
fn a_single_engine_serves_all() {
    let mut lanes = lanes();
    run(&mut lanes, 1.0, 3.0, 0, 1000);
    assert_eq!((lanes.counts(0), lanes.counts(1)), ([0; 3], [0, 1, 0]));
    assert_eq!(lanes.counts(2), [0, 1, 1]);
}

/// Where streams beside prompts pause no longer than live streams may, these share engines with the other
/// short requests: a lane of their own would only stand idle in part.
#[test]
fn live_streams_that_bear_the_pauses_have_no_engines_of_their_own() {
    let mut lanes = lanes();
    let row = Row {
        work: [100.0, 100.0, 600.0],
        strained: 1,
    };
    row.run(&mut lanes, 40, 0, 10_000);
    assert_eq!(lanes.counts(40)[0], 0);
    assert_eq!(lanes.lane(Lane::Live), Lane::Light);
}

/// Eight in ten streams of long prompts pause for longer than a live stream may. The live ones get engines
/// of their own, by the time that they take and not by their part of a rush: a rush of long prompts
/// that takes all engines three times over leaves them theirs.
#[test]
fn live_streams_get_engines_where_prompts_make_them_late() {
    let mut lanes = lanes();
    let row = Row {
        work: [800.0, 100.0, 2500.0],
        strained: 8,
    };
    row.run(&mut lanes, 40, 0, 10_000);
    assert_eq!(lanes.lane(Lane::Live), Lane::Live);
    // 8 engines' work, at 0.8 of each engine.
    let calm = lanes.counts(40);
    assert!((9..=11).contains(&calm[0]), "{calm:?}");
    let rush = Row {
        work: [800.0, 100.0, 12_000.0],
        ..row
    };
    rush.run(&mut lanes, 40, 10_000, 15_000);
    let rushed = lanes.counts(40);
    assert!((9..=11).contains(&rushed[0]), "{rushed:?}");
    assert!(rushed[1] >= 1, "{rushed:?}");
    // They keep them while fewer pause, and lose them when hardly any does.
    let less = Row {
        work: [800.0, 100.0, 2500.0],
        strained: 2,
    };
    less.run(&mut lanes, 40, 15_000, 60_000);
    assert_eq!(lanes.lane(Lane::Live), Lane::Live);
    let none = Row {
        strained: 0,
        ..less
    };
    none.run(&mut lanes, 40, 60_000, 70_000);
    assert_eq!(lanes.lane(Lane::Live), Lane::Light);
    assert_eq!(lanes.counts(40)[0], 0);
}

/// Live streams rush as well. They never take all engines: long prompts keep four in ten.
#[test]
fn long_prompts_keep_a_part() {
    let mut lanes = lanes();
    let row = Row {
        work: [9000.0, 300.0, 4000.0],
        strained: 9,
    };
    row.run(&mut lanes, 40, 0, 10_000);
    let counts = lanes.counts(40);
    assert!(counts[2] >= 15, "{counts:?}");
}

/// An instance sees an eightieth of the work. Told of the rest, it divides the engines as all others do.
#[test]
fn all_instances_divide_alike() {
    let news = LaneStats {
        work: [11_000.0, 1000.0, 30_000.0],
        streams: 60.0,
        slow_streams: 50.0,
    };
    let counts: Vec<_> = (0..4)
        .map(|number| {
            let mut lanes = lanes();
            lanes.record_work(Lane::Light, f64::from(number) * 100.0, Millis(1000));
            lanes.set_remote_stats(news);
            lanes.rebalance(40);
            lanes.counts(40)
        })
        .collect();
    assert!(counts[0][0] >= 8, "{counts:?}");
    for other in &counts {
        assert!(other[0].abs_diff(counts[0][0]) <= 1, "{counts:?}");
    }
}
