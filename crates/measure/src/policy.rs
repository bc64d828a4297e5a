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

/// Which points are run.
#[derive(Clone, Debug, Default)]
pub struct Select {
    /// Only the first shape, the lowest and the highest demand, without faults.
    pub quick: bool,
    /// Shapes by name; all when empty.
    pub shape: Vec<String>,
    /// Multiples of the capacity; all when empty.
    pub level: Vec<f64>,
    /// Faults by name, and `flood`; all when empty.
    pub fault: Vec<String>,
    /// How often each point is run.
    pub repeat: u64,
}

/// A point to run.
#[derive(Clone, Copy, Debug)]
struct Point {
    level: f64,
    flood: bool,
    fault: Fault,
    seed: u64,
}

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
pub async fn run(select: &Select, out: &Path) -> Outcome<()> {
    let folder = std::env::temp_dir().join(format!("crocushold-measure-{}", std::process::id()));
    let shapes = [shape::evening(), shape::subsidy()];
    let wanted = |shape: &Shape| {
        let first = shape.name == shapes[0].name;
        let named = select.shape.is_empty() || select.shape.iter().any(|name| name == shape.name);
        named && (first || !select.quick)
    };
    let points = select.points();
    let mut all = Vec::new();
    for shape in shapes.iter().filter(|shape| wanted(shape)) {
        all.push(run_shape(Arc::new(shape.clone()), &points, &folder).await?);
    }
    std::fs::create_dir_all(out)?;
    for results in &all {
        plot::write(results, out)?;
    }
    let page = page::render(&all, &select.flags());
    std::fs::write(out.join("policy.md"), &page)?;
    println!("{page}");
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}

impl Select {
    fn points(&self) -> Vec<Point> {
        let mut all = Vec::new();
        let kinds = [
            ("none", false, Fault::None),
            ("flood", true, Fault::None),
            ("straggler", false, Fault::Straggler),
            ("crash", false, Fault::Crash),
            ("burst", false, Fault::Burst),
        ];
        for (name, flood, fault) in kinds {
            for level in LEVELS {
                // A flood of nothing is the scaled demand.
                let same = flood && level <= BASE_LEVEL;
                if !same && self.wants(name, level) {
                    all.push((level, flood, fault));
                }
            }
        }
        let seeds = all.len() as u64;
        let repeat = self.repeat.max(1);
        let numbered = (0..repeat).flat_map(|round| {
            all.iter()
                .enumerate()
                .map(move |(number, &(level, flood, fault))| Point {
                    level,
                    flood,
                    fault,
                    seed: SEED + round * seeds + number as u64,
                })
        });
        numbered.collect()
    }

    fn wants(&self, kind: &str, level: f64) -> bool {
        if self.quick {
            return kind == "none" && (level == LEVELS[0] || level == LEVELS[LEVELS.len() - 1]);
        }
        let named = self.fault.is_empty() || self.fault.iter().any(|name| name == kind);
        named && (self.level.is_empty() || self.level.contains(&level))
    }

    /// The options as they stand on the command line.
    fn flags(&self) -> String {
        let mut flags = String::new();
        if self.quick {
            flags.push_str(" --quick");
        }
        for name in &self.shape {
            flags.push_str(&format!(" --shape {name}"));
        }
        for level in &self.level {
            flags.push_str(&format!(" --level {level}"));
        }
        for name in &self.fault {
            flags.push_str(&format!(" --fault {name}"));
        }
        if self.repeat > 1 {
            flags.push_str(&format!(" --repeat {}", self.repeat));
        }
        flags
    }
}

async fn run_shape(shape: Arc<Shape>, points: &[Point], folder: &Path) -> Outcome<Results> {
    let capacity = capacity(&shape, folder).await?;
    println!(
        "{}: the engines do {capacity:.0} tokens a second",
        shape.name
    );
    let mut rows = Vec::new();
    for point in points {
        let row = run_point(&shape, *point, capacity, folder).await?;
        println!("{}", page::line(&shape, capacity, &row));
        rows.push(row);
    }
    Ok(Results {
        shape,
        capacity,
        rows,
    })
}

async fn run_point(shape: &Arc<Shape>, point: Point, capacity: f64, folder: &Path) -> Outcome<Row> {
    let timing = Timing::default();
    let Point {
        level,
        flood,
        fault,
        seed,
    } = point;
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
