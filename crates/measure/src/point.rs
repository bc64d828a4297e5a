//! One point of a measurement: a system under one demand with one fault.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use crocushold_standins::EngineCommand;
use crocushold_standins::EngineStats;

use crate::Outcome;
use crate::arrivals::Arrival;
use crate::control;
use crate::drive;
use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::System;
use crate::shape::Shape;
use crate::summary::Observed;

/// What goes wrong during a point.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Nothing.
    None,
    /// One engine becomes slow and stays so.
    Straggler,
    /// One engine crashes and comes back.
    Crash,
    /// The live class bursts; the plan holds the burst.
    Burst,
}

/// When things happen in a point, in seconds from its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    /// From here on is measured.
    pub(crate) warm: f64,
    /// Start of a fault.
    pub(crate) fault: f64,
    /// End of a crash or a burst.
    pub(crate) mended: f64,
    /// The least time before the end that a request must be due to be judged: what a stream takes.
    pub(crate) tail: f64,
    /// The end.
    pub(crate) end: f64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            warm: 4.0,
            fault: 6.0,
            mended: 9.0,
            tail: 2.5,
            end: 15.0,
        }
    }
}

/// How long after the end callers leave, so that the counters are read before that shows in them,
/// also on a busy machine.
const LEAVE_AFTER: f64 = 0.8;

/// How many times slower a straggler is.
pub(crate) const STRAGGLER_FACTOR: f64 = 4.0;

/// Runs one point.
pub(crate) async fn run(
    system: System,
    shape: &Arc<Shape>,
    plan: &[Arrival],
    fault: Fault,
    timing: Timing,
    folder: &Path,
) -> Outcome<Observed> {
    std::fs::create_dir_all(folder)?;
    let fleet = Fleet::start(system, shape, &fleet::engine_settings(), folder).await?;
    let start = Instant::now();
    let victim = fleet.backends.controls[shape.engines / 2];
    let faulty = task::spawn(inflict(fault, victim, start, timing));
    let controls = fleet.backends.controls.clone();
    let before = task::spawn(counters_at(controls.clone(), start, timing.warm));
    let after = task::spawn(counters_at(controls.clone(), start, timing.end));
    let operators = fleet.operators.clone();
    let metrics = task::spawn(scrape(operators, start, timing.end));
    let sent = drive::drive(shape, plan, &fleet.entries, start, timing.end + LEAVE_AFTER).await;
    faulty.await?;
    let mut controls = controls;
    controls.push(fleet.backends.service_control);
    Ok(Observed {
        sent,
        before: before.await?,
        after: after.await?,
        runs: control::runs(&controls).await?,
        metrics: metrics.await,
    })
}

async fn scrape(operators: Vec<SocketAddr>, start: Instant, seconds: f64) -> Vec<String> {
    sleep_until(start, seconds).await;
    let mut texts = Vec::new();
    for operator in operators {
        let call = control::call(operator, http_types::Method::Get, "/metrics", Vec::new());
        texts.push(call.await.unwrap_or_default());
    }
    texts
}

async fn sleep_until(start: Instant, seconds: f64) {
    let at = start + Duration::from_secs_f64(seconds);
    task::sleep(at.saturating_duration_since(Instant::now())).await;
}

async fn counters_at(
    controls: Vec<SocketAddr>,
    start: Instant,
    seconds: f64,
) -> Outcome<EngineStats> {
    sleep_until(start, seconds).await;
    control::engine_totals(&controls).await
}

async fn inflict(fault: Fault, victim: SocketAddr, start: Instant, timing: Timing) -> Outcome<()> {
    let (begin, end) = match fault {
        Fault::None | Fault::Burst => return Ok(()),
        Fault::Straggler => {
            let factor = STRAGGLER_FACTOR;
            (EngineCommand::Slow { factor }, None)
        }
        Fault::Crash => (EngineCommand::Crash, Some(EngineCommand::Restart)),
    };
    sleep_until(start, timing.fault).await;
    control::command(victim, &begin).await?;
    if let Some(end) = end {
        sleep_until(start, timing.mended).await;
        control::command(victim, &end).await?;
    }
    Ok(())
}
