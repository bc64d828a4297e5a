//! The fault matrix: which fault is tested at which step. The tests generate a page from it.

use std::collections::BTreeSet;
use std::env;
use std::fmt::Write;
use std::fs;
use std::path::PathBuf;
use std::process::Command;

use crate::cells::CELLS;
use crate::cells::NOT_APPLICABLE;

/// Environment variable that makes the test rewrite the page instead of comparing it.
const REWRITE: &str = "CROCUSHOLD_WRITE_MATRIX";

/// The modules whose tests must all be listed in the table.
const MODULES: [&str; 11] = [
    "answer_faults::",
    "caller_faults::",
    "config_faults::",
    "flood_faults::",
    "list_faults::",
    "load_faults::",
    "pair_faults::",
    "process_faults::",
    "sending_faults::",
    "server_faults::",
    "step_faults::",
];

/// Defines an enum with the text of each variant on the page, in the order of the page.
macro_rules! named {
    ($(#[$doc:meta])* $name:ident { $($variant:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        #[allow(dead_code, reason = "a variant without a test is an empty row of the page")]
        pub(crate) enum $name {
            $($variant,)*
        }

        impl $name {
            const ALL: &'static [$name] = &[$($name::$variant,)*];

            fn text(self) -> &'static str {
                match self {
                    $($name::$variant => $text,)*
                }
            }
        }
    };
}

named! {
    /// The injected fault. Pairs of faults come last.
    Fault {
        Burst = "burst of one class",
        Straggler = "straggler",
        Refused = "connection refused",
        Crash = "engine or server crashes",
        Cut = "answer cut in the middle",
        Hang = "hang before the head",
        Stall = "stall in a stream",
        Unavailable = "server answers 503",
        LoadReports = "load reports lag",
        CacheEvents = "cache events with gaps",
        ConfigChange = "configuration changes",
        ConfigRejected = "configuration rejected",
        ConfigDown = "configuration down or frozen",
        ConfigStale = "configuration stale",
        ConfigBack = "configuration goes back",
        ListEmpty = "instance list empty",
        ListLagging = "instance list lags",
        ListLeaving = "server leaves",
        Frozen = "entry process frozen and woken",
        Killed = "entry process killed",
        Stop = "planned stop",
        CallerGone = "caller gone",
        CallerSlow = "caller too slow",
        CallerFlood = "callers take all they can get",
        PeersSplit = "partition between entry instances",
        ServersSplit = "partition between entry and servers, also one way",
        Panic = "panic of one task of the entry process",
        StopCrash = "planned stop, engine crash",
        StopHangGone = "planned stop, engine hang, caller gone",
        FrozenChange = "entry frozen, configuration change",
        FrozenDown = "entry frozen, configuration down",
        KilledFrozenPlatform = "entry replaced, platform frozen",
        FrozenCrash = "entry frozen, engine crash",
        FrozenGone = "entry frozen, caller gone",
        FrozenLeft = "entry frozen, server left",
        FrozenStop = "entry frozen, planned stop",
        StopDown = "planned stop, platform frozen",
        GoneCut = "callers gone, answers cut, at once",
        GoneHang = "caller gone, engine hang",
    }
}

named! {
    /// The step at which a request, or the instance, is when the fault occurs.
    Step {
        Body = "before reading the body",
        Queued = "queued",
        Connecting = "connecting",
        Sending = "request partly sent",
        FirstByte = "waiting for the first byte",
        Streaming = "streaming",
        LastByte = "last byte not yet relayed",
        Idle = "keep-alive idle",
        Applying = "applying a configuration",
        Order = "sending an order",
    }
}

named! {
    /// A guarantee that must hold under every fault.
    Promise {
        Whole = "an answer is whole and the caller's own, or visibly cut",
        NotRun = "told \"not run\", truly not run",
        Once = "a non-idempotent request runs at most once",
        Live = "no live request refused or delayed for a lower tier",
        Starve = "no class starves",
        Leaving = "a leaving server gets no new work and finishes",
        Stop = "a planned stop cuts nothing in progress",
        Config = "a change is in force within seconds and never reverts",
        Cancel = "work that nobody waits for is cancelled at the engine",
        Slots = "every slot is given back",
    }
}

/// An entry of the matrix.
pub(crate) struct Cell {
    pub(crate) fault: Fault,
    pub(crate) step: Step,
    /// The guarantees that the test checks.
    pub(crate) promises: &'static [Promise],
    /// The path of a test. If the test has cases, all of them count.
    pub(crate) test: &'static str,
}

impl Cell {
    /// Returns whether `test` is the test of this cell, or one of its cases.
    fn is_filled_by(&self, test: &str) -> bool {
        let rest = test.strip_prefix(self.test);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with("::"))
    }
}

/// Cells that no test can fill, since the fault can't occur at the step or can't affect the
/// guarantee.
pub(crate) struct NotApplicable {
    pub(crate) faults: &'static [Fault],
    pub(crate) steps: &'static [Step],
    pub(crate) promises: &'static [Promise],
    /// Why they can't.
    pub(crate) reason: &'static str,
}

fn is_filled_at(fault: Fault, step: Step) -> bool {
    let mut cells = CELLS.iter();
    cells.any(|cell| cell.fault == fault && cell.step == step)
}

fn is_filled_for(fault: Fault, promise: Promise) -> bool {
    let mut cells = CELLS.iter();
    cells.any(|cell| cell.fault == fault && cell.promises.contains(&promise))
}

fn is_excluded_at(fault: Fault, step: Step) -> bool {
    let mut all = NOT_APPLICABLE.iter();
    all.any(|n| n.faults.contains(&fault) && n.steps.contains(&step))
}

fn is_excluded_for(fault: Fault, promise: Promise) -> bool {
    let mut all = NOT_APPLICABLE.iter();
    all.any(|n| n.faults.contains(&fault) && n.promises.contains(&promise))
}

/// Lists the tests of this binary.
fn tests() -> BTreeSet<String> {
    let list = Command::new(env::current_exe().unwrap())
        .arg("--list")
        .output();
    let list = String::from_utf8(list.unwrap().stdout).unwrap();
    let lines = list.lines().filter_map(|line| line.strip_suffix(": test"));
    lines.map(str::to_owned).collect()
}

fn page() -> String {
    let mut page = String::from(
        "# The fault matrix\n\n\
         Made from the table in `tests/all/cells.rs` by `CROCUSHOLD_WRITE_MATRIX=1 cargo test --test \
         all matrix`; the same test fails when the page differs from the table, when the table names \
         a test that doesn't exist, or lacks one that does. Real `crocushold` processes run between \
         stand-ins in each of these tests. A number says how many entries of the table fill a cell; \
         an empty cell has no test; `n/a` marks one whose fault and column never meet, for a reason \
         given below.\n\n## Faults by steps\n\n",
    );
    table(
        &mut page,
        Step::ALL,
        Step::text,
        |cell, step| cell.step == step,
        is_excluded_at,
    );
    page.push_str("\n## Faults by promises\n\n");
    table(
        &mut page,
        Promise::ALL,
        Promise::text,
        |cell, promise| cell.promises.contains(&promise),
        is_excluded_for,
    );
    push_not_applicable(&mut page);
    push_tests(&mut page);
    push_gaps(&mut page);
    page
}

fn table<T: Copy>(
    page: &mut String,
    columns: &[T],
    text: impl Fn(T) -> &'static str,
    fills: impl Fn(&Cell, T) -> bool,
    excluded: impl Fn(Fault, T) -> bool,
) {
    page.push_str("| fault |");
    for &column in columns {
        write!(page, " {} |", text(column)).unwrap();
    }
    writeln!(page, "\n| --- |{}", " --- |".repeat(columns.len())).unwrap();
    for &fault in Fault::ALL {
        write!(page, "| {} |", fault.text()).unwrap();
        for &column in columns {
            let cells = CELLS.iter().filter(|cell| cell.fault == fault);
            match cells.filter(|cell| fills(cell, column)).count() {
                0 if excluded(fault, column) => page.push_str(" n/a |"),
                0 => page.push_str("  |"),
                count => write!(page, " {count} |").unwrap(),
            }
        }
        page.push('\n');
    }
}

fn push_not_applicable(page: &mut String) {
    page.push_str("\n## Not applicable\n\n");
    for entry in NOT_APPLICABLE {
        let faults = join(entry.faults.iter().map(|fault| fault.text()));
        let steps = entry.steps.iter().map(|step| step.text());
        let promises = entry.promises.iter().map(|promise| promise.text());
        let columns = join(steps.chain(promises));
        writeln!(page, "* **{faults}** and *{columns}*: {}.", entry.reason).unwrap();
    }
}

fn push_tests(page: &mut String) {
    page.push_str("\n## The tests\n\n| fault | step | test |\n| --- | --- | --- |\n");
    for &fault in Fault::ALL {
        for cell in CELLS.iter().filter(|cell| cell.fault == fault) {
            let (fault, step, test) = (fault.text(), cell.step.text(), cell.test);
            writeln!(page, "| {fault} | {step} | `{test}` |").unwrap();
        }
    }
}

fn push_gaps(page: &mut String) {
    page.push_str(
        "\n## What isn't proved\n\n\
         The empty cells, fault by fault.\n\n",
    );
    for &fault in Fault::ALL {
        let steps = Step::ALL.iter().copied();
        let steps =
            steps.filter(|&step| !is_filled_at(fault, step) && !is_excluded_at(fault, step));
        let promises = Promise::ALL.iter().copied();
        let promises = promises
            .filter(|&promise| !is_filled_for(fault, promise) && !is_excluded_for(fault, promise));
        writeln!(page, "* **{}**", fault.text()).unwrap();
        writeln!(page, "  * no test at: {}", join(steps.map(Step::text))).unwrap();
        writeln!(
            page,
            "  * no test of: {}",
            join(promises.map(Promise::text))
        )
        .unwrap();
    }
}

fn join<'a>(texts: impl Iterator<Item = &'a str>) -> String {
    let all: Vec<&str> = texts.collect();
    if all.is_empty() {
        return "(none)".to_owned();
    }
    all.join("; ")
}

fn page_file() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("docs/fault-matrix.md")
}

// Readers of the page take a filled cell as proof. A renamed or deleted test would leave its cell
// in place, and a test without a cell would go unnoticed.
#[test]
fn every_cell_has_its_test_and_every_test_its_cell() {
    let tests = tests();
    let empty = CELLS
        .iter()
        .filter(|cell| !tests.iter().any(|test| cell.is_filled_by(test)));
    let empty: Vec<&str> = empty.map(|cell| cell.test).collect();
    assert!(empty.is_empty(), "cells without a test: {empty:#?}");
    let fault_tests = tests
        .iter()
        .filter(|test| MODULES.iter().any(|module| test.starts_with(module)));
    let unlisted: Vec<&String> = fault_tests
        .filter(|test| !CELLS.iter().any(|cell| cell.is_filled_by(test)))
        .collect();
    assert!(unlisted.is_empty(), "tests without a cell: {unlisted:#?}");
}

// A cell that is marked as not applicable but has a test is wrong in one of the two.
#[test]
fn no_cell_is_both_filled_and_not_applicable() {
    for cell in CELLS {
        let (fault, step) = (cell.fault, cell.step);
        assert!(!is_excluded_at(fault, step), "{fault:?} at {step:?}");
        for &promise in cell.promises {
            assert!(!is_excluded_for(fault, promise), "{fault:?} of {promise:?}");
        }
    }
}

// The page in the repository is what readers see, so it must match the table.
#[test]
fn the_page_is_what_the_table_gives() {
    let page = page();
    if env::var_os(REWRITE).is_some() {
        fs::write(page_file(), &page).unwrap();
    }
    let stored = fs::read_to_string(page_file()).unwrap_or_default();
    assert!(
        stored == page,
        "docs/fault-matrix.md differs from the table; run with {REWRITE}=1"
    );
}
