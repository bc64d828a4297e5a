//! One point of a measurement: a system under one demand with one fault.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use crocushold_standins::EngineCommand;
use crocushold_standins::EngineStats;

use crate::MeasureResult;
use crate::arrivals::Arrival;
use crate::control;
use crate::drive;
use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::System;
use crate::scenario::Scenario;
use crate::summary::Observations;

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
    pub(crate) window_start: f64,
    /// Start of a fault.
    pub(crate) fault_start: f64,
    /// End of a crash or a burst.
    pub(crate) fault_end: f64,
    /// The least time before the end that a request must be due to be judged: what a stream takes.
    pub(crate) judging_margin: f64,
    /// The end.
    pub(crate) end: f64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            window_start: 4.0,
            fault_start: 6.0,
            fault_end: 9.0,
            judging_margin: 2.5,
            end: 15.0,
        }
    }
}

/// How long after the end callers leave, so that the counters are read before that shows in them,
/// also on a busy machine.
const CLIENT_CLOSE_DELAY: f64 = 0.8;

/// How many times slower a straggler is.
pub(crate) const STRAGGLER_FACTOR: f64 = 4.0;

/// Runs one point.
pub(crate) async fn run(
    system: System,
    scenario: &Arc<Scenario>,
    arrivals: &[Arrival],
    fault: Fault,
    timing: Timing,
    folder: &Path,
) -> MeasureResult<Observations> {
    std::fs::create_dir_all(folder)?;
    let fleet = Fleet::start(system, scenario, &fleet::engine_settings(), folder).await?;
    let start = Instant::now();
    let faulty_engine = fleet.backends.controls[scenario.engines / 2];
    let injection = task::spawn(inject_fault(fault, faulty_engine, start, timing));
    let controls = fleet.backends.controls.clone();
    let before = task::spawn(counters_at(controls.clone(), start, timing.window_start));
    let after = task::spawn(counters_at(controls.clone(), start, timing.end));
    let operators = fleet.operators.clone();
    let metrics = task::spawn(scrape(operators, start, timing.end));
    let requests = drive::send_all(
        scenario,
        arrivals,
        &fleet.endpoints,
        start,
        timing.end + CLIENT_CLOSE_DELAY,
    )
    .await;
    injection.await?;
    let mut controls = controls;
    controls.push(fleet.backends.service_control);
    Ok(Observations {
        requests,
        before: before.await?,
        after: after.await?,
        run_counts: control::run_counts(&controls).await?,
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
) -> MeasureResult<EngineStats> {
    sleep_until(start, seconds).await;
    control::engine_totals(&controls).await
}

async fn inject_fault(
    fault: Fault,
    faulty_engine: SocketAddr,
    start: Instant,
    timing: Timing,
) -> MeasureResult<()> {
    let (begin, end) = match fault {
        Fault::None | Fault::Burst => return Ok(()),
        Fault::Straggler => {
            let factor = STRAGGLER_FACTOR;
            (EngineCommand::Slow { factor }, None)
        }
        Fault::Crash => (EngineCommand::Crash, Some(EngineCommand::Restart)),
    };
    sleep_until(start, timing.fault_start).await;
    control::send_command(faulty_engine, &begin).await?;
    if let Some(end) = end {
        sleep_until(start, timing.fault_end).await;
        control::send_command(faulty_engine, &end).await?;
    }
    Ok(())
}
