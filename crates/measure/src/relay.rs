//! Measures the latency and processor time that an entry instance adds to a request.
//!
//! Streams go through one instance at a given rate while others go directly to the same engines, so
//! that both run against the same engines on the same machine at the same time.

use std::fmt::Write;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use crocushold_standins::BatchSettings;
use crocushold_standins::EngineSettings;
use crocushold_standins::load::RequestOutcome;
use futures::future::join;

use crate::MeasureResult;
use crate::arrivals;
use crate::drive;
use crate::drive::Endpoints;
use crate::drive::RequestRecord;
use crate::fleet::Fleet;
use crate::fleet::System;
use crate::page;
use crate::point::Timing;
use crate::process;
use crate::process::CpuTime;
use crate::scenario;
use crate::scenario::Scenario;
use crate::summary;

/// Streams per second sent directly to the engines.
const DIRECT_RATE: f64 = 37.0;

/// Loads through the instance. The last has one token per response, so it shows the cost per
/// request without further token events.
const LOADS: [Load; 3] = [
    Load {
        rate: 37.0,
        tokens: 300,
    },
    Load {
        rate: 375.0,
        tokens: 300,
    },
    Load {
        rate: 375.0,
        tokens: 1,
    },
];

const TIMING: Timing = Timing {
    window_start: 3.0,
    fault_start: 0.0,
    fault_end: 0.0,
    judging_margin: 1.0,
    end: 12.0,
};

const SEED: u64 = 7;

/// Number of runs of each load; repeated because the machine is shared.
const ROUNDS: usize = 2;

/// Duration of an engine's batch step in milliseconds, and so the gap between two tokens of a
/// stream.
const STEP_MS: f64 = 4.0;

#[derive(Clone, Copy, PartialEq)]
struct Load {
    rate: f64,
    tokens: u32,
}

/// Results of one load.
struct LoadResult {
    load: Load,
    relayed: LatencyStats,
    direct: LatencyStats,
    /// Requests per second through the instance that were due inside the window.
    requests: f64,
    /// Token events per second through the instance.
    events: f64,
    /// Processor seconds per second of the instance.
    cores: f64,
    /// The share of the processor time spent in the kernel.
    kernel_share: f64,
    /// Resident memory of the instance at the end, in MiB.
    resident_mib: f64,
    /// Resident memory of the instance before the first request, in MiB.
    idle_resident_mib: f64,
    load_average: f64,
}

/// Statistics of the time to the first token, in milliseconds.
struct LatencyStats {
    count: usize,
    median: f64,
    p99: f64,
    /// Requests that neither completed nor still ran at the end.
    failed: usize,
}

/// Runs the measurement and writes its report to `out`.
///
/// # Errors
///
/// Fails when a process can't be started, or the report can't be written.
pub async fn run(out: &Path) -> MeasureResult<()> {
    let folder = std::env::temp_dir().join(format!("crocushold-relay-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let scenario = Arc::new(scenario::relay_streams());
    let mut all = Vec::new();
    for load in LOADS.into_iter().cycle().take(LOADS.len() * ROUNDS) {
        let result = run_load(&scenario, load, &folder).await?;
        println!("{}", row(&result));
        all.push(result);
    }
    std::fs::remove_dir_all(&folder)?;
    let page = render(&all);
    std::fs::create_dir_all(out)?;
    std::fs::write(out.join("relay.md"), &page)?;
    println!("{page}");
    Ok(())
}

/// Settings of engines fast enough that the instance is the bottleneck.
fn engine_settings(scenario: &Scenario) -> EngineSettings {
    EngineSettings {
        batch: BatchSettings {
            batch_limit: scenario.concurrency,
            base_ms: STEP_MS,
            sequence_ms: 0.0,
            prefill_rate: 10_000_000.0,
            prefill_chunk: 1_000_000,
            kv_tokens: 100_000_000,
        },
        ..EngineSettings::default()
    }
}

async fn run_load(
    scenario: &Arc<Scenario>,
    load: Load,
    folder: &Path,
) -> MeasureResult<LoadResult> {
    let fleet = Fleet::start(
        System::Crocushold,
        scenario,
        &engine_settings(scenario),
        folder,
    )
    .await?;
    let pid = fleet.instances[0].pid();
    let idle_resident_mib = process::resident_mib(pid);
    let direct = Endpoints {
        model: fleet.backends.engines.clone(),
        plain: Vec::new(),
    };
    let start = Instant::now();
    let relayed_arrivals =
        arrivals::constant_rate_arrivals(load.rate, load.tokens, TIMING.end, SEED);
    let direct_arrivals =
        arrivals::constant_rate_arrivals(DIRECT_RATE, load.tokens, TIMING.end, SEED + 1);
    let cpu = task::spawn(cpu_used(pid, start));
    let (relayed, direct) = join(
        drive::send_all(
            scenario,
            &relayed_arrivals,
            &fleet.endpoints,
            start,
            TIMING.end,
        ),
        drive::send_all(scenario, &direct_arrivals, &direct, start, TIMING.end),
    )
    .await;
    let span = TIMING.end - TIMING.window_start;
    let (used, resident_mib) = cpu.await;
    let class = &scenario.classes[0];
    let events: f64 = relayed
        .iter()
        .map(|request| summary::useful_tokens(request, class, &TIMING))
        .sum();
    let started = relayed
        .iter()
        .filter(|request| request.due >= TIMING.window_start);
    Ok(LoadResult {
        load,
        requests: started.count() as f64 / span,
        relayed: latency_stats(&relayed),
        direct: latency_stats(&direct),
        events: events / span,
        cores: used.total() / span,
        kernel_share: used.system / used.total().max(f64::MIN_POSITIVE),
        resident_mib,
        idle_resident_mib,
        load_average: process::load_average(),
    })
}

/// Processor time of a process in the window, and its resident memory in MiB at the end.
async fn cpu_used(pid: u32, start: Instant) -> (CpuTime, f64) {
    let at = |seconds| start + Duration::from_secs_f64(seconds);
    task::sleep(at(TIMING.window_start).saturating_duration_since(Instant::now())).await;
    let before = process::cpu_time(pid);
    task::sleep(at(TIMING.end).saturating_duration_since(Instant::now())).await;
    let used = process::cpu_time(pid).since(before);
    (used, process::resident_mib(pid))
}

fn latency_stats(all: &[RequestRecord]) -> LatencyStats {
    let judged = |request: &&RequestRecord| {
        request.due >= TIMING.window_start && request.due < TIMING.end - TIMING.judging_margin
    };
    let whole = |request: &&RequestRecord| {
        matches!(
            request.ending,
            RequestOutcome::Complete | RequestOutcome::GaveUp
        )
    };
    let judged: Vec<&RequestRecord> = all.iter().filter(judged).collect();
    let firsts: Vec<f64> = judged
        .iter()
        .filter_map(|request| {
            request
                .first_token
                .map(|first| (first - request.send_delay) * 1000.0)
        })
        .collect();
    LatencyStats {
        count: firsts.len(),
        median: summary::quantile(firsts.iter().copied(), 0.5),
        p99: summary::quantile(firsts.iter().copied(), 0.99),
        failed: judged.len() - judged.iter().copied().filter(whole).count(),
    }
}

fn render(all: &[LoadResult]) -> String {
    let mut out = String::new();
    write_page(&mut out, all).expect("writing to a string never fails");
    out
}

fn write_page(out: &mut String, all: &[LoadResult]) -> std::fmt::Result {
    writeln!(out, "# What an entry instance adds to a request\n")?;
    writeln!(out, "```text\ncargo build --release --bins --workspace")?;
    writeln!(
        out,
        "cargo run --release -p crocushold-measure -- relay\n```\n"
    )?;
    writeln!(out, "{}\n", page::environment())?;
    writeln!(
        out,
        "Streams go through one instance (`crocushold serve`, one process) to four stand-in engines \
         that give every request a token each {STEP_MS} ms; at the same time {DIRECT_RATE:.0} requests a \
         second go to the same engines directly. Every request opens a connection of its own. Times \
         to the first token are counted from sending; 3 s to 12 s are measured, each load {ROUNDS} \
         times. Each time holds up to three of the engine's steps, the same on both sides.\n"
    )?;
    writeln!(
        out,
        "| requests/s | tokens each | token events/s | first token, relayed ms p50 / p99 | direct \
         ms p50 / p99 | added ms p50 / p99 | cores (kernel's part) | µs of processor per request | per event | \
         resident MiB idle / loaded | failed relayed / direct | load |"
    )?;
    writeln!(
        out,
        "| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |"
    )?;
    for result in all {
        writeln!(out, "{}", row(result))?;
    }
    writeln!(out)?;
    write_cost_split(out, all)
}

fn row(result: &LoadResult) -> String {
    let LoadResult {
        relayed, direct, ..
    } = result;
    format!(
        "| {:.0} | {} | {:.0} | {:.2} / {:.2} (n={}) | {:.2} / {:.2} (n={}) | {:.2} / {:.2} | {:.2} ({:.0} %) \
         | {:.0} | {:.1} | {:.0} / {:.0} | {} / {} | {:.0} |",
        result.requests,
        result.load.tokens,
        result.events,
        relayed.median,
        relayed.p99,
        relayed.count,
        direct.median,
        direct.p99,
        direct.count,
        relayed.median - direct.median,
        relayed.p99 - direct.p99,
        result.cores,
        result.kernel_share * 100.0,
        result.cores * 1e6 / result.requests.max(1.0),
        result.cores * 1e6 / result.events.max(1.0),
        result.idle_resident_mib,
        result.resident_mib,
        relayed.failed,
        direct.failed,
        result.load_average,
    )
}

/// Writes the processor time per request and per token event, separated by comparing the two loads
/// that differ in response length alone.
fn write_cost_split(out: &mut String, all: &[LoadResult]) -> std::fmt::Result {
    let [_, long, short] = LOADS;
    let sum = |load: Load, value: fn(&LoadResult) -> f64| -> f64 {
        let same = |result: &&LoadResult| result.load == load;
        all.iter().filter(same).map(value).sum()
    };
    let per_request = sum(short, |result| result.cores) / sum(short, |result| result.requests);
    let requests = sum(long, |result| result.requests);
    let further = sum(long, |result| result.events) - requests;
    let per_event = (sum(long, |result| result.cores) - per_request * requests) / further;
    writeln!(
        out,
        "From the loads with 1 and with {} tokens: {:.0} µs of processor time for each request with \
         its first token, which is {:.0} requests a second and core; {:.2} µs for each further token \
         event.",
        long.tokens,
        per_request * 1e6,
        1.0 / per_request,
        per_event * 1e6,
    )
}
