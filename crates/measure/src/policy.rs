//! Policy under load: both users' traffic through entry instances and through the baseline.

use std::path::Path;
use std::sync::Arc;

use futures::future::try_join;

use crate::Outcome;
use crate::arrivals;
use crate::arrivals::BASE_LEVEL;
use crate::arrivals::Burst;
use crate::arrivals::Demand;
use crate::fleet;
use crate::fleet::System;
use crate::page;
use crate::plot;
use crate::point;
use crate::point::Fault;
use crate::point::Timing;
use crate::process;
use crate::shape;
use crate::shape::CONCURRENCY;
use crate::shape::Shape;
use crate::summary;
use crate::summary::Summary;

/// Demands as multiples of what the engines can do.
const LEVELS: [f64; 4] = [0.7, 1.0, 1.5, 2.5];

/// Demand while the engines' own capacity is measured.
const SATURATION: f64 = 1.6;

/// What a burst asks for in addition, as a part of what the engines can do.
const BURST_PART: f64 = 0.4;

/// Seed of the first point; each further one has the next.
const SEED: u64 = 20;

/// One point, through both systems at the same time.
pub(crate) struct Row {
    /// What was asked for.
    pub(crate) demand: Demand,
    /// What went wrong.
    pub(crate) fault: Fault,
    /// Through entry instances.
    pub(crate) ours: Summary,
    /// Through the baseline.
    pub(crate) baseline: Summary,
    /// The machine's load average at the end of the point.
    pub(crate) load: f64,
}

/// All points of one shape.
pub(crate) struct Results {
    /// The shape.
    pub(crate) shape: Arc<Shape>,
    /// Tokens that the engines do in a second, asked directly.
    pub(crate) capacity: f64,
    /// The points.
    pub(crate) rows: Vec<Row>,
}

/// Runs all points and writes page and plots.
///
/// # Errors
///
/// Fails when a process can't be started or commanded, or a file can't be written.
pub async fn run(quick: bool, out: &Path) -> Outcome<()> {
    let folder = std::env::temp_dir().join(format!("crocushold-measure-{}", std::process::id()));
    let shapes = if quick {
        vec![shape::evening()]
    } else {
        vec![shape::evening(), shape::subsidy()]
    };
    let points = points(quick);
    let mut all = Vec::new();
    for shape in shapes {
        all.push(run_shape(Arc::new(shape), &points, &folder).await?);
    }
    std::fs::create_dir_all(out)?;
    for results in &all {
        plot::write(results, out)?;
    }
    let page = page::render(&all, quick);
    std::fs::write(out.join("policy.md"), &page)?;
    println!("{page}");
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}

fn points(quick: bool) -> Vec<(f64, bool, Fault)> {
    let mut points = Vec::new();
    if quick {
        return vec![(0.7, false, Fault::None), (2.5, false, Fault::None)];
    }
    for level in LEVELS {
        points.push((level, false, Fault::None));
    }
    for level in LEVELS.into_iter().filter(|&level| level > BASE_LEVEL) {
        points.push((level, true, Fault::None));
    }
    for fault in [Fault::Straggler, Fault::Crash, Fault::Burst] {
        for level in LEVELS {
            points.push((level, false, fault));
        }
    }
    points
}

async fn run_shape(
    shape: Arc<Shape>,
    points: &[(f64, bool, Fault)],
    folder: &Path,
) -> Outcome<Results> {
    let capacity = capacity(&shape, folder).await?;
    println!(
        "{}: the engines do {capacity:.0} tokens a second",
        shape.name
    );
    let mut rows = Vec::new();
    for (number, &(level, flood, fault)) in points.iter().enumerate() {
        let timing = Timing::default();
        let burst = (fault == Fault::Burst).then_some(Burst {
            from: timing.fault,
            until: timing.mended,
            part: BURST_PART,
        });
        let demand = Demand {
            level,
            flood,
            burst,
        };
        let seed = SEED + number as u64;
        let row = run_point(&shape, demand, fault, capacity, seed, folder).await?;
        println!("{}", page::line(&shape, capacity, &row));
        rows.push(row);
    }
    Ok(Results {
        shape,
        capacity,
        rows,
    })
}

async fn run_point(
    shape: &Arc<Shape>,
    demand: Demand,
    fault: Fault,
    capacity: f64,
    seed: u64,
    folder: &Path,
) -> Outcome<Row> {
    let timing = Timing::default();
    let plan = arrivals::plan(shape, &demand, capacity, timing.end, seed);
    let ours = folder.join("ours");
    let theirs = folder.join("baseline");
    let (ours, theirs) = try_join(
        point::run(System::Crocushold, shape, &plan, fault, timing, &ours),
        point::run(System::Baseline, shape, &plan, fault, timing, &theirs),
    )
    .await?;
    Ok(Row {
        demand,
        fault,
        ours: summary::summarize(shape, &ours, &timing),
        baseline: summary::summarize(shape, &theirs, &timing),
        load: process::load_average(),
    })
}

/// Tokens that the engines do in a second of this traffic, with requests sent to them in turn.
async fn capacity(shape: &Arc<Shape>, folder: &Path) -> Outcome<f64> {
    let batch = fleet::engine_settings().batch;
    let step = batch.base_ms + batch.sequence_ms * CONCURRENCY as f64;
    let nominal = (shape.engines * CONCURRENCY) as f64 / step * 1000.0;
    let demand = Demand {
        level: SATURATION,
        flood: false,
        burst: None,
    };
    let timing = Timing::default();
    let plan = arrivals::plan(shape, &demand, nominal, timing.end, SEED - 1);
    let folder = folder.join("direct");
    let seen = point::run(System::Direct, shape, &plan, Fault::None, timing, &folder).await?;
    Ok(summary::summarize(shape, &seen, &timing).goodput)
}
