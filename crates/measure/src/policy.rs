//! Policy under load: both users' traffic through entry instances and through the baseline.

use std::path::Path;
use std::sync::Arc;

use futures::future::try_join;

use crate::MeasureResult;
use crate::arrivals;
use crate::arrivals::Burst;
use crate::arrivals::Demand;
use crate::arrivals::FLOOD_BASE_LEVEL;
use crate::fleet;
use crate::fleet::System;
use crate::page;
use crate::plot;
use crate::point;
use crate::point::Fault;
use crate::point::Timing;
use crate::process;
use crate::scenario;
use crate::scenario::ENGINE_CONCURRENCY;
use crate::scenario::Scenario;
use crate::summary;
use crate::summary::Summary;

/// Demands as multiples of what the engines can do.
const LEVELS: [f64; 4] = [0.7, 1.0, 1.5, 2.5];

/// Demand while the engines' own capacity is measured.
const SATURATION_LEVEL: f64 = 1.6;

/// What a burst asks for in addition, as a part of what the engines can do.
const BURST_TOKEN_SHARE: f64 = 0.4;

/// Seed of the first point; each further one has the next.
const FIRST_SEED: u64 = 20;

/// Which points are run.
#[derive(Clone, Debug, Default)]
pub struct Selection {
    /// Only the first shape, the lowest and the highest demand, without faults.
    pub quick: bool,
    /// Shapes by name; all when empty.
    pub scenarios: Vec<String>,
    /// Multiples of the capacity; all when empty.
    pub levels: Vec<f64>,
    /// Faults by name, and `flood`; all when empty.
    pub faults: Vec<String>,
    /// How often each point is run.
    pub repetitions: u64,
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
pub(crate) struct PointResult {
    /// What was asked for.
    pub(crate) demand: Demand,
    /// What went wrong.
    pub(crate) fault: Fault,
    /// Through entry instances.
    pub(crate) crocushold: Summary,
    /// Through the baseline.
    pub(crate) baseline: Summary,
    /// The machine's load average at the end of the point.
    pub(crate) load_average: f64,
}

/// All points of one shape.
pub(crate) struct ScenarioResults {
    /// The shape.
    pub(crate) scenario: Arc<Scenario>,
    /// Tokens that the engines do in a second, asked directly.
    pub(crate) capacity: f64,
    /// The points.
    pub(crate) rows: Vec<PointResult>,
}

/// Runs all points and writes page and plots.
///
/// # Errors
///
/// Fails when a process can't be started or commanded, or a file can't be written.
pub async fn run(selection: &Selection, out: &Path) -> MeasureResult<()> {
    let folder = std::env::temp_dir().join(format!("crocushold-measure-{}", std::process::id()));
    let scenarios = [scenario::evening_rush(), scenario::subsidy_deadline()];
    let wanted = |scenario: &Scenario| {
        let first = scenario.name == scenarios[0].name;
        let named = selection.scenarios.is_empty()
            || selection.scenarios.iter().any(|name| name == scenario.name);
        named && (first || !selection.quick)
    };
    let points = selection.points();
    let mut all = Vec::new();
    for scenario in scenarios.iter().filter(|scenario| wanted(scenario)) {
        all.push(run_scenario(Arc::new(scenario.clone()), &points, &folder).await?);
    }
    std::fs::create_dir_all(out)?;
    for results in &all {
        plot::write(results, out)?;
    }
    let page = page::render(&all, &selection.flags());
    std::fs::write(out.join("policy.md"), &page)?;
    println!("{page}");
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}

impl Selection {
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
                let same = flood && level <= FLOOD_BASE_LEVEL;
                if !same && self.wants(name, level) {
                    all.push((level, flood, fault));
                }
            }
        }
        let seeds = all.len() as u64;
        let repetitions = self.repetitions.max(1);
        let numbered = (0..repetitions).flat_map(|round| {
            all.iter()
                .enumerate()
                .map(move |(number, &(level, flood, fault))| Point {
                    level,
                    flood,
                    fault,
                    seed: FIRST_SEED + round * seeds + number as u64,
                })
        });
        numbered.collect()
    }

    fn wants(&self, kind: &str, level: f64) -> bool {
        if self.quick {
            return kind == "none" && (level == LEVELS[0] || level == LEVELS[LEVELS.len() - 1]);
        }
        let named = self.faults.is_empty() || self.faults.iter().any(|name| name == kind);
        named && (self.levels.is_empty() || self.levels.contains(&level))
    }

    /// The options as they stand on the command line.
    fn flags(&self) -> String {
        let mut flags = String::new();
        if self.quick {
            flags.push_str(" --quick");
        }
        for name in &self.scenarios {
            flags.push_str(&format!(" --shape {name}"));
        }
        for level in &self.levels {
            flags.push_str(&format!(" --level {level}"));
        }
        for name in &self.faults {
            flags.push_str(&format!(" --fault {name}"));
        }
        if self.repetitions > 1 {
            flags.push_str(&format!(" --repeat {}", self.repetitions));
        }
        flags
    }
}

async fn run_scenario(
    scenario: Arc<Scenario>,
    points: &[Point],
    folder: &Path,
) -> MeasureResult<ScenarioResults> {
    let capacity = capacity(&scenario, folder).await?;
    println!(
        "{}: the engines do {capacity:.0} tokens a second",
        scenario.name
    );
    let mut rows = Vec::new();
    for point in points {
        let row = run_point(&scenario, *point, capacity, folder).await?;
        println!("{}", page::terminal_row(&scenario, capacity, &row));
        rows.push(row);
    }
    Ok(ScenarioResults {
        scenario,
        capacity,
        rows,
    })
}

async fn run_point(
    scenario: &Arc<Scenario>,
    point: Point,
    capacity: f64,
    folder: &Path,
) -> MeasureResult<PointResult> {
    let timing = Timing::default();
    let Point {
        level,
        flood,
        fault,
        seed,
    } = point;
    let burst = (fault == Fault::Burst).then_some(Burst {
        start: timing.fault_start,
        end: timing.fault_end,
        token_share: BURST_TOKEN_SHARE,
    });
    let demand = Demand {
        level,
        flood,
        burst,
    };
    let arrivals = arrivals::poisson_arrivals(scenario, &demand, capacity, timing.end, seed);
    let ours = folder.join("ours");
    let theirs = folder.join("baseline");
    let (ours, theirs) = try_join(
        point::run(
            System::Crocushold,
            scenario,
            &arrivals,
            fault,
            timing,
            &ours,
        ),
        point::run(
            System::Baseline,
            scenario,
            &arrivals,
            fault,
            timing,
            &theirs,
        ),
    )
    .await?;
    Ok(PointResult {
        demand,
        fault,
        crocushold: summary::summarize(scenario, &ours, &timing),
        baseline: summary::summarize(scenario, &theirs, &timing),
        load_average: process::load_average(),
    })
}

/// Tokens that the engines do in a second of this traffic, with requests sent to them in turn.
async fn capacity(scenario: &Arc<Scenario>, folder: &Path) -> MeasureResult<f64> {
    let batch = fleet::engine_settings().batch;
    let step = batch.base_ms + batch.sequence_ms * ENGINE_CONCURRENCY as f64;
    let nominal = (scenario.engines * ENGINE_CONCURRENCY) as f64 / step * 1000.0;
    let demand = Demand {
        level: SATURATION_LEVEL,
        flood: false,
        burst: None,
    };
    let timing = Timing::default();
    let arrivals =
        arrivals::poisson_arrivals(scenario, &demand, nominal, timing.end, FIRST_SEED - 1);
    let folder = folder.join("direct");
    let seen = point::run(
        System::Direct,
        scenario,
        &arrivals,
        Fault::None,
        timing,
        &folder,
    )
    .await?;
    Ok(summary::summarize(scenario, &seen, &timing).goodput)
}
