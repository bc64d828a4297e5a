//! What an entry instance adds to a request.
//!
//! Streams go through one instance at a given rate while others go directly to the same engines,
//! so that both see the same engines and the same machine at the same time.

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

use crate::Outcome;
use crate::arrivals;
use crate::drive;
use crate::drive::Entries;
use crate::drive::Sent;
use crate::fleet::Fleet;
use crate::fleet::System;
use crate::page;
use crate::point::Timing;
use crate::process;
use crate::process::Cpu;
use crate::shape;
use crate::shape::Shape;
use crate::summary;

/// Streams sent directly to the engines in a second.
const DIRECT_RATE: f64 = 37.0;

/// Rates through the instance, and lengths of the answers. The last one stands for requests alone.
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
    warm: 3.0,
    fault: 0.0,
    mended: 0.0,
    tail: 1.0,
    end: 12.0,
};

const SEED: u64 = 7;

/// How often the loads are run, since the machine is shared.
const ROUNDS: usize = 2;

/// Time of an engine's step, and so between two tokens of a stream, in milliseconds.
const STEP_MS: f64 = 4.0;

#[derive(Clone, Copy, PartialEq)]
struct Load {
    rate: f64,
    tokens: u32,
}

/// What was seen at one load.
struct Seen {
    load: Load,
    relayed: Side,
    direct: Side,
    /// Requests through the instance that began inside the window, in a second.
    requests: f64,
    /// Token events through the instance in a second.
    events: f64,
    /// Processor seconds of the instance in a second.
    cores: f64,
    /// The kernel's part of them.
    system: f64,
    /// Resident memory of the instance at the end, in MiB.
    resident: f64,
    /// Resident memory before the first request.
    resident_idle: f64,
    machine: f64,
}

/// Times to the first token in milliseconds.
struct Side {
    count: usize,
    median: f64,
    p99: f64,
    /// Requests that ended otherwise than whole.
    failed: usize,
}

/// Runs the measurement and writes its page.
///
/// # Errors
///
/// Fails when a process can't be started, or the page can't be written.
pub async fn run(out: &Path) -> Outcome<()> {
    let folder = std::env::temp_dir().join(format!("crocushold-relay-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let shape = Arc::new(shape::streams());
    let mut all = Vec::new();
    for load in LOADS.into_iter().cycle().take(LOADS.len() * ROUNDS) {
        let seen = run_load(&shape, load, &folder).await?;
        println!("{}", row(&seen));
        all.push(seen);
    }
    std::fs::remove_dir_all(&folder)?;
    let page = render(&all);
    std::fs::create_dir_all(out)?;
    std::fs::write(out.join("relay.md"), &page)?;
    println!("{page}");
    Ok(())
}

/// Engines fast enough that the instance is what is measured.
fn engine_settings(shape: &Shape) -> EngineSettings {
    EngineSettings {
        batch: BatchSettings {
            batch_limit: shape.concurrency,
            base_ms: STEP_MS,
            sequence_ms: 0.0,
            prefill_rate: 10_000_000.0,
            prefill_chunk: 1_000_000,
            kv_tokens: 100_000_000,
        },
        ..EngineSettings::default()
    }
}

async fn run_load(shape: &Arc<Shape>, load: Load, folder: &Path) -> Outcome<Seen> {
    let fleet = Fleet::start(System::Crocushold, shape, &engine_settings(shape), folder).await?;
    let id = fleet.instances[0].id();
    let resident_idle = process::resident(id);
    let direct = Entries {
        model: fleet.backends.engines.clone(),
        plain: Vec::new(),
    };
    let start = Instant::now();
    let relayed_plan = arrivals::steady(load.rate, load.tokens, TIMING.end, SEED);
    let direct_plan = arrivals::steady(DIRECT_RATE, load.tokens, TIMING.end, SEED + 1);
    let cpu = task::spawn(cpu_used(id, start));
    let (relayed, direct) = join(
        drive::drive(shape, &relayed_plan, &fleet.entries, start, TIMING.end),
        drive::drive(shape, &direct_plan, &direct, start, TIMING.end),
    )
    .await;
    let span = TIMING.end - TIMING.warm;
    let (used, resident) = cpu.await;
    let class = &shape.classes[0];
    let events: f64 = relayed
        .iter()
        .map(|sent| summary::useful_tokens(sent, class, &TIMING))
        .sum();
    let begun = relayed.iter().filter(|sent| sent.due >= TIMING.warm);
    Ok(Seen {
        load,
        requests: begun.count() as f64 / span,
        relayed: side(&relayed),
        direct: side(&direct),
        events: events / span,
        cores: used.total() / span,
        system: used.system / used.total().max(f64::MIN_POSITIVE),
        resident,
        resident_idle,
        machine: process::load_average(),
    })
}

/// Processor seconds of a process in the window, and its resident memory at the end.
async fn cpu_used(id: u32, start: Instant) -> (Cpu, f64) {
    let at = |seconds| start + Duration::from_secs_f64(seconds);
    task::sleep(at(TIMING.warm).saturating_duration_since(Instant::now())).await;
    let before = process::cpu(id);
    task::sleep(at(TIMING.end).saturating_duration_since(Instant::now())).await;
    let used = process::cpu(id).since(before);
    (used, process::resident(id))
}

fn side(all: &[Sent]) -> Side {
    let judged = |sent: &&Sent| sent.due >= TIMING.warm && sent.due < TIMING.end - TIMING.tail;
    let whole = |sent: &&Sent| {
        matches!(
            sent.ending,
            RequestOutcome::Complete | RequestOutcome::GaveUp
        )
    };
    let judged: Vec<&Sent> = all.iter().filter(judged).collect();
    let firsts: Vec<f64> = judged
        .iter()
        .filter_map(|sent| sent.first.map(|first| (first - sent.late) * 1000.0))
        .collect();
    Side {
        count: firsts.len(),
        median: summary::quantile(firsts.iter().copied(), 0.5),
        p99: summary::quantile(firsts.iter().copied(), 0.99),
        failed: judged.len() - judged.iter().copied().filter(whole).count(),
    }
}

fn render(all: &[Seen]) -> String {
    let mut out = String::new();
    write_page(&mut out, all).expect("writing to a string never fails");
    out
}

fn write_page(out: &mut String, all: &[Seen]) -> std::fmt::Result {
    writeln!(out, "# What an entry instance adds to a request\n")?;
    writeln!(out, "```text\ncargo build --release --bins --workspace")?;
    writeln!(
        out,
        "cargo run --release -p crocushold-measure -- relay\n```\n"
    )?;
    writeln!(out, "{}\n", page::machine())?;
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
    for seen in all {
        writeln!(out, "{}", row(seen))?;
    }
    writeln!(out)?;
    write_split(out, all)
}

fn row(seen: &Seen) -> String {
    let Seen {
        relayed, direct, ..
    } = seen;
    format!(
        "| {:.0} | {} | {:.0} | {:.2} / {:.2} (n={}) | {:.2} / {:.2} (n={}) | {:.2} / {:.2} | {:.2} ({:.0} %) \
         | {:.0} | {:.1} | {:.0} / {:.0} | {} / {} | {:.0} |",
        seen.requests,
        seen.load.tokens,
        seen.events,
        relayed.median,
        relayed.p99,
        relayed.count,
        direct.median,
        direct.p99,
        direct.count,
        relayed.median - direct.median,
        relayed.p99 - direct.p99,
        seen.cores,
        seen.system * 100.0,
        seen.cores * 1e6 / seen.requests.max(1.0),
        seen.cores * 1e6 / seen.events.max(1.0),
        seen.resident_idle,
        seen.resident,
        relayed.failed,
        direct.failed,
        seen.machine,
    )
}

/// Splits the processor time between requests and token events.
fn write_split(out: &mut String, all: &[Seen]) -> std::fmt::Result {
    let [_, long, short] = LOADS;
    let sum = |load: Load, value: fn(&Seen) -> f64| -> f64 {
        let same = |seen: &&Seen| seen.load == load;
        all.iter().filter(same).map(value).sum()
    };
    let per_request = sum(short, |seen| seen.cores) / sum(short, |seen| seen.requests);
    let requests = sum(long, |seen| seen.requests);
    let further = sum(long, |seen| seen.events) - requests;
    let per_event = (sum(long, |seen| seen.cores) - per_request * requests) / further;
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
