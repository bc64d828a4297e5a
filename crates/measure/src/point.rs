//! One point of the policy measurement: a system under test at one demand with one fault.

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

/// Fault injected during a point.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// No fault.
    None,
    /// One engine is slow from the start of the fault to the end of the point.
    Straggler,
    /// One engine crashes and restarts.
    Crash,
    /// A burst of the first class, which the arrivals contain.
    Burst,
}

/// Phases of a point, in seconds from its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    /// Start of the measured window, after warm-up.
    pub(crate) window_start: f64,
    /// Start of a fault.
    pub(crate) fault_start: f64,
    /// End of a crash or a burst.
    pub(crate) fault_end: f64,
    /// Least time between a judged request's due time and the end: the duration of a stream.
    pub(crate) judging_margin: f64,
    /// End of the arrivals and of the measured window.
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

/// Seconds after the end of the window at which clients disconnect. The delay lets the counters be
/// read before the disconnects count as cancelled work, also on a busy machine.
const CLIENT_CLOSE_DELAY: f64 = 0.8;

/// Slowdown factor of a straggler.
pub(crate) const STRAGGLER_FACTOR: f64 = 4.0;

/// Starts a system, sends the arrivals to it, injects the fault, and collects the data.
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
