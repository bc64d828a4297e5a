//! Policy measurement: two traffic scenarios through entry instances and through the baseline,
//! under load and faults.

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

/// Demand levels as multiples of the engines' capacity.
const LEVELS: [f64; 4] = [0.7, 1.0, 1.5, 2.5];

/// Demand level at which the capacity of the engines is measured.
const SATURATION_LEVEL: f64 = 1.6;

/// Additional load of a burst as a share of the engines' capacity.
const BURST_TOKEN_SHARE: f64 = 0.4;

/// Seed of the first point; each further point uses the next number.
const FIRST_SEED: u64 = 20;

/// Selection of the points to run.
#[derive(Clone, Debug, Default)]
pub struct Selection {
    /// Only the first scenario at the lowest and highest demand, without faults.
    pub quick: bool,
    /// Scenarios by name; all when empty.
    pub scenarios: Vec<String>,
    /// Demand levels; all when empty.
    pub levels: Vec<f64>,
    /// Faults by name, and `flood`; all when empty.
    pub faults: Vec<String>,
    /// Number of runs of each point, each with another seed.
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

/// Results of one point, run through both systems at the same time.
pub(crate) struct PointResult {
    /// Offered load.
    pub(crate) demand: Demand,
    /// Injected fault.
    pub(crate) fault: Fault,
    /// Through entry instances.
    pub(crate) crocushold: Summary,
    /// Through the baseline.
    pub(crate) baseline: Summary,
    /// The machine's load average at the end of the point.
    pub(crate) load_average: f64,
}

/// Results of all points of one scenario.
pub(crate) struct ScenarioResults {
    /// The scenario.
    pub(crate) scenario: Arc<Scenario>,
    /// Tokens per second that the engines produce when requests are sent to them directly.
    pub(crate) capacity: f64,
    /// Results in the order of the points.
    pub(crate) rows: Vec<PointResult>,
}

/// Runs the selected points, and writes the report and the plots to `out`.
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
                // At or below the base level a flood equals the scaled demand.
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

    /// The selection as command-line flags, for the command in the report.
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

/// Measures the capacity of the engines for this traffic mix in tokens per second, with requests
/// sent to them directly, round robin, at [`SATURATION_LEVEL`].
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
    let observed = point::run(
        System::Direct,
        scenario,
        &arrivals,
        Fault::None,
        timing,
        &folder,
    )
    .await?;
    Ok(summary::summarize(scenario, &observed, &timing).goodput)
}
