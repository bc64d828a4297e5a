//! Markdown report of the policy measurement.

use std::fmt::Write;
use std::process::Command;

use crate::point::Fault;
use crate::point::STRAGGLER_FACTOR;
use crate::policy::PointResult;
use crate::policy::ScenarioResults;
use crate::process;
use crate::scenario::Scenario;
use crate::summary::ClassSummary;
use crate::summary::Summary;

const INTRODUCTION: &str = "\
Each point starts fresh processes: twice a set of stand-in engines with a plain service, the entry
instances with a platform on one side, and on the other the baseline, a proxy that takes requests
first come first served, sends them to the engines in turn within the same concurrency, and knows
no classes. Both get the same seeded plan of open-loop arrivals at the same time. Every cell shows
crocushold / baseline.

A point lasts 15 s; 4 s to 15 s are measured. Requests are judged whose targets fall inside the
point; a class with a target of many minutes is not, and its share of the tokens stands instead.
A stream that still runs at the end counts as missed when it has missed a target by then, and is
left out otherwise. Goodput counts the tokens that reached callers inside the window, of answers that were
completed or still ran at its end; its share is of what the same engines do for the same mix of
requests sent to them directly at 1.6 times their capacity. Wasted work is what the engines count
as generated for requests whose caller or router left, or that an engine's fault lost.

Scaled: all classes ask for more alike. Flood: all but the lowest class stay at 0.7. A straggler is
one engine that is four times slower from 6 s on; a crash takes one engine out from 6 s to 9 s with
what it ran; a burst of the live class asks for 40 % of the capacity more from 6 s to 9 s.
";

/// Renders the report.
pub(crate) fn render(all: &[ScenarioResults], flags: &str) -> String {
    let mut out = String::new();
    write_page(&mut out, all, flags).expect("writing to a string never fails");
    out
}

/// Renders one point as a table row for the terminal.
pub(crate) fn terminal_row(scenario: &Scenario, capacity: f64, row: &PointResult) -> String {
    row_line(scenario, capacity, row)
}

fn write_page(out: &mut String, all: &[ScenarioResults], flags: &str) -> std::fmt::Result {
    writeln!(out, "# Policy under load and faults\n")?;
    writeln!(out, "```text\ncargo build --release --bins --workspace")?;
    writeln!(
        out,
        "cargo run --release -p crocushold-measure -- policy{flags}\n```\n"
    )?;
    writeln!(out, "{}\n", environment())?;
    debug_assert!(
        (STRAGGLER_FACTOR - 4.0).abs() < f64::EPSILON,
        "the text says four"
    );
    writeln!(out, "{INTRODUCTION}")?;
    for results in all {
        write_scenario(out, results)?;
    }
    Ok(())
}

/// Describes when and on what machine the measurement ran.
pub(crate) fn environment() -> String {
    let cores = std::thread::available_parallelism().map_or(0, |n| n.get());
    let load = process::load_average();
    let today = today();
    format!(
        "Run on {today}, {cores} cores shared with other jobs, load average {load:.0} at the end."
    )
}

fn today() -> String {
    let output = Command::new("date")
        .arg("-u")
        .arg("+%Y-%m-%d %H:%M UTC")
        .output();
    let text = output.map(|output| String::from_utf8_lossy(&output.stdout).trim().to_owned());
    text.unwrap_or_else(|_| "an unknown date".to_owned())
}

fn write_scenario(out: &mut String, results: &ScenarioResults) -> std::fmt::Result {
    let ScenarioResults {
        scenario,
        capacity,
        rows,
    } = results;
    writeln!(out, "## {}\n", scenario.name)?;
    writeln!(
        out,
        "{} engines, {} entry instances; the engines do {capacity:.0} tokens a second.\n",
        scenario.engines, scenario.instances
    )?;
    writeln!(out, "![attainment and goodput]({}.svg)\n", scenario.name)?;
    writeln!(out, "{}", table_header(scenario))?;
    for row in rows {
        writeln!(out, "{}", row_line(scenario, *capacity, row))?;
    }
    writeln!(out)?;
    write_guarantees(out, results)?;
    write_classes(out, results)?;
    write_causes(out, results)
}

fn table_header(scenario: &Scenario) -> String {
    let mut head = "| demand | fault |".to_owned();
    let mut rule = "| --- | --- |".to_owned();
    let lowest_model_class = scenario.lowest_model_class();
    let mut column = |text: &str| {
        head.push_str(&format!(" {text} |"));
        rule.push_str(" ---: |");
    };
    for class in &scenario.classes[..lowest_model_class] {
        column(&format!("{} attained %", class.name));
    }
    column(&format!(
        "{} share of tokens %",
        scenario.classes[lowest_model_class].name
    ));
    column("goodput tokens/s");
    column("goodput % of capacity");
    column("wasted %");
    column("load");
    format!("{head}\n{rule}")
}

fn row_line(scenario: &Scenario, capacity: f64, row: &PointResult) -> String {
    let lowest_model_class = scenario.lowest_model_class();
    let mut cells = vec![demand_text(row), fault_text(row.fault).to_owned()];
    for index in 0..lowest_model_class {
        let share = |summary: &Summary| percent(summary.classes[index].attainment());
        cells.push(cell_pair(row, share));
    }
    cells.push(cell_pair(row, |summary| {
        format!("{:.1}", summary.token_share(lowest_model_class))
    }));
    cells.push(cell_pair(row, |summary| format!("{:.0}", summary.goodput)));
    cells.push(cell_pair(row, |summary| {
        format!("{:.1}", 100.0 * summary.goodput / capacity)
    }));
    cells.push(cell_pair(row, |summary| {
        format!("{:.2}", summary.wasted_percent())
    }));
    cells.push(format!("{:.0}", row.load_average));
    format!("| {} |", cells.join(" | "))
}

fn demand_text(row: &PointResult) -> String {
    let kind = if row.demand.flood { "flood" } else { "scaled" };
    format!("{:.1} {kind}", row.demand.level)
}

fn fault_text(fault: Fault) -> &'static str {
    match fault {
        Fault::None => "none",
        Fault::Straggler => "straggler",
        Fault::Crash => "crash",
        Fault::Burst => "burst",
    }
}

fn cell_pair(row: &PointResult, cell: impl Fn(&Summary) -> String) -> String {
    format!("{} / {}", cell(&row.crocushold), cell(&row.baseline))
}

fn percent(share: Option<f64>) -> String {
    share.map_or("-".to_owned(), |share| format!("{share:.1}"))
}

/// A counter of a class.
type Count = fn(&ClassSummary) -> u64;

fn write_guarantees(out: &mut String, results: &ScenarioResults) -> std::fmt::Result {
    let total = |side: fn(&PointResult) -> &Summary, count: Count| -> u64 {
        let classes = results.rows.iter().flat_map(|row| &side(row).classes);
        classes.map(count).sum()
    };
    let counts: [(&str, Count); 7] = [
        ("misdelivered or disordered", |class| class.misdelivered),
        ("non-idempotent, run more than once", |class| {
            class.repeated_non_idempotent
        }),
        ("idempotent, run more than once", |class| {
            class.repeated_idempotent
        }),
        ("told not run, but run", |class| {
            class.falsely_reported_not_run
        }),
        ("refused as not run, without Retry-After", |class| {
            class.refused_without_retry_after
        }),
        ("error that leaves open whether it ran", |class| {
            class.unknown
        }),
        ("refused a connection", |class| class.connections_refused),
    ];
    writeln!(out, "| over all points, requests | crocushold | baseline |")?;
    writeln!(out, "| --- | ---: | ---: |")?;
    for (name, count) in counts {
        let ours = total(|row| &row.crocushold, count);
        let theirs = total(|row| &row.baseline, count);
        writeln!(out, "| {name} | {ours} | {theirs} |")?;
    }
    writeln!(out)
}

/// Judged requests that completed too late, by the target that they missed.
fn late_counts(class: &ClassSummary) -> String {
    format!(
        "{} / {} / {}",
        class.late_first_token, class.late_token_gaps, class.late_whole_answer
    )
}

fn write_classes(out: &mut String, results: &ScenarioResults) -> std::fmt::Result {
    writeln!(
        out,
        "### By class\n\nLate: judged requests through crocushold that were completed, but too late \
         for the first token, too slow between tokens, or too late for the whole answer.\n"
    )?;
    writeln!(
        out,
        "| demand | fault | class | judged | attained % | first token p99 ms | tokens/s | \
         completed | refused | cut | timed out |"
    )?;
    writeln!(
        out,
        "| --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |"
    )?;
    for row in &results.rows {
        for (index, class) in results.scenario.classes.iter().enumerate() {
            let of =
                |cell: fn(&ClassSummary) -> String| cell_pair(row, |s| cell(&s.classes[index]));
            let cells = [
                demand_text(row),
                fault_text(row.fault).to_owned(),
                class.name.to_owned(),
                of(|class| class.judged.to_string()),
                of(|class| percent(class.attainment())),
                of(|class| format!("{:.0}", class.first_token_p99_ms)),
                of(|class| format!("{:.0}", class.goodput)),
                of(|class| class.completed.to_string()),
                late_counts(&row.crocushold.classes[index]),
                of(|class| (class.refused + class.refused_without_retry_after).to_string()),
                of(|class| class.unknown.to_string()),
                of(|class| class.cut.to_string()),
                of(|class| class.timed_out.to_string()),
            ];
            writeln!(out, "| {} |", cells.join(" | "))?;
        }
    }
    writeln!(out)
}

fn write_causes(out: &mut String, results: &ScenarioResults) -> std::fmt::Result {
    writeln!(out, "### Wasted work by cause\n")?;
    writeln!(
        out,
        "Tokens a second: cancelled because the caller or the router left, and lost by a fault of \
         an engine, as the engines count them, crocushold / baseline; then tokens as the entry \
         instances count them since their start, by class and cause. Late is the 99th percentile \
         of the load generator's own delay.\n"
    )?;
    writeln!(
        out,
        "| demand | fault | cancelled | engine fault | instances' count | late ms |"
    )?;
    writeln!(out, "| --- | --- | ---: | ---: | --- | ---: |")?;
    for row in &results.rows {
        let causes: Vec<String> = row
            .crocushold
            .wasted_by_cause
            .iter()
            .map(|(name, tokens)| format!("{name} {tokens:.0}"))
            .collect();
        let cells = [
            demand_text(row),
            fault_text(row.fault).to_owned(),
            cell_pair(row, |summary| format!("{:.1}", summary.cancelled)),
            cell_pair(row, |summary| format!("{:.1}", summary.failed)),
            causes.join(", "),
            cell_pair(row, |summary| format!("{:.0}", summary.send_delay_p99_ms)),
        ];
        writeln!(out, "| {} |", cells.join(" | "))?;
    }
    writeln!(out)
}
