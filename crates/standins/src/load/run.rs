//! Execution of a plan.

use std::collections::HashSet;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use async_std::task::JoinHandle;
use hdrhistogram::Histogram;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::client::Client;
use super::exchange;
use super::exchange::OutgoingRequest;
use super::exchange::RequestOutcome;
use super::plan::LoadClass;
use super::plan::LoadPlan;
use super::record;
use super::record::ClassRecorder;
use super::report::LoadReport;
use super::report::Quantiles;
use super::run_counts::RunCounts;
use super::single;
use crate::port;

/// Maximum number of refusals to keep that state that the request wasn't run.
const MAX_REPORTED_NOT_RUN: usize = 200_000;

/// State shared by the requests of a run.
struct RunState {
    plan: LoadPlan,
    client: Client,
    records: Vec<Mutex<ClassRecorder>>,
    lateness: Mutex<Histogram<u64>>,
    reported_not_run: Mutex<HashSet<String>>,
    in_flight: AtomicUsize,
}

/// The arrival process of a class.
struct Arrivals {
    rng: StdRng,
    next: f64,
    sent: u64,
}

/// Runs a plan.
///
/// # Errors
///
/// Returns an error if the plan has no entry address.
pub async fn run(plan: LoadPlan) -> io::Result<LoadReport> {
    if plan.entries.is_empty() {
        return Err(io::Error::other("the plan names no entry address"));
    }
    let start = Instant::now();
    let shared = Arc::new(RunState::new(plan));
    for request in send_requests(&shared, start).await {
        request.await;
    }
    let run_counts = RunCounts::collect(&shared.plan.standins).await;
    Ok(shared.report(start.elapsed(), &run_counts))
}

async fn send_requests(shared: &Arc<RunState>, start: Instant) -> Vec<JoinHandle<()>> {
    let plan = &shared.plan;
    let mut arrivals: Vec<_> = (0..plan.classes.len())
        .map(|i| Arrivals::new(plan, i))
        .collect();
    let mut requests = Vec::new();
    while (requests.len() as u64) < plan.max_requests {
        let times = arrivals.iter().map(|a| a.next).enumerate();
        let Some((class, time)) = times.min_by(|a, b| a.1.total_cmp(&b.1)) else {
            break;
        };
        if time >= plan.seconds {
            break;
        }
        let due = start + Duration::from_secs_f64(time);
        task::sleep(due.saturating_duration_since(Instant::now())).await;
        requests.extend(shared.send(class, time, due, &mut arrivals[class]));
        arrivals[class].advance(&plan.classes[class]);
    }
    requests
}

impl Arrivals {
    fn new(plan: &LoadPlan, class: usize) -> Arrivals {
        let mut arrivals = Arrivals {
            rng: StdRng::seed_from_u64(plan.seed.wrapping_mul(1000) + class as u64),
            next: 0.0,
            sent: 0,
        };
        arrivals.advance(&plan.classes[class]);
        arrivals
    }

    /// Samples the next arrival of an inhomogeneous Poisson process, by thinning a process with the
    /// peak rate.
    fn advance(&mut self, class: &LoadClass) {
        let peak = class.peak_rate();
        if peak <= 0.0 {
            self.next = f64::INFINITY;
            return;
        }
        loop {
            let uniform: f64 = self.rng.random();
            self.next += -(1.0 - uniform).ln() / peak;
            if self.rng.random::<f64>() * peak < class.rate_at(self.next) || self.next > 1e6 {
                return;
            }
        }
    }
}

impl RunState {
    fn new(plan: LoadPlan) -> RunState {
        let records = plan
            .classes
            .iter()
            .map(|c| Mutex::new(ClassRecorder::new(c)))
            .collect();
        let lateness = Histogram::new(3).expect("three significant digits are allowed");
        RunState {
            client: Client::new(plan.entries.clone(), plan.keep_alive),
            records,
            lateness: Mutex::new(lateness),
            reported_not_run: Mutex::new(HashSet::new()),
            in_flight: AtomicUsize::new(0),
            plan,
        }
    }

    /// Sends a request, or returns `None` if too many are in flight.
    fn send(
        self: &Arc<RunState>,
        class: usize,
        time: f64,
        due: Instant,
        arrivals: &mut Arrivals,
    ) -> Option<JoinHandle<()>> {
        if self.in_flight.load(Ordering::Relaxed) >= self.plan.max_open {
            port::lock(&self.records[class]).record_unsent();
            return None;
        }
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        arrivals.sent += 1;
        let settings = &self.plan.classes[class];
        let marker = format!("{}.{}.{}", settings.name, self.plan.seed, arrivals.sent);
        let host = self.client.host();
        let share = settings.give_up.map_or(0.0, |give_up| give_up.share);
        let gives_up = |rng: &mut StdRng| rng.random::<f64>() < share;
        let rng = &mut arrivals.rng;
        let outgoing = OutgoingRequest {
            due,
            ..single::prepare(settings, &marker, host, rng, gives_up)
        };
        let lateness = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
        port::lock(&self.lateness).saturating_record(lateness);
        let shared = Arc::clone(self);
        Some(task::spawn(async move {
            shared.complete(class, time, marker, outgoing).await;
        }))
    }

    async fn complete(&self, class: usize, time: f64, marker: String, outgoing: OutgoingRequest) {
        let exchange = exchange::exchange(&self.client, outgoing).await;
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        let not_run_marker = &self.plan.not_run_marker;
        if exchange.outcome == RequestOutcome::Refused
            && record::reports_not_run(&exchange, not_run_marker)
        {
            let mut reported_not_run = port::lock(&self.reported_not_run);
            if reported_not_run.len() < MAX_REPORTED_NOT_RUN {
                reported_not_run.insert(marker);
            }
        }
        if time >= self.plan.warmup {
            let mut record = port::lock(&self.records[class]);
            record.record(&exchange, not_run_marker, time as usize);
        }
    }

    fn report(&self, duration: Duration, run_counts: &RunCounts) -> LoadReport {
        let reported_not_run = port::lock(&self.reported_not_run);
        let mut classes = Vec::new();
        for record in &self.records {
            let mut class = port::lock(record).report(self.plan.timeline);
            let prefix = format!("{}.{}.", class.name, self.plan.seed);
            let runs = run_counts
                .runs
                .iter()
                .filter(|(marker, _)| marker.starts_with(&prefix));
            class.repeated = runs.filter(|&(_, &runs)| runs > 1).count() as u64;
            let reported_not_run = reported_not_run
                .iter()
                .filter(|marker| marker.starts_with(&prefix));
            class.falsely_reported_not_run = reported_not_run
                .filter(|marker| run_counts.runs.contains_key(*marker))
                .count() as u64;
            classes.push(class);
        }
        LoadReport {
            seconds: duration.as_secs_f64(),
            lateness: Quantiles::of(&port::lock(&self.lateness)),
            classes,
            standins: run_counts.totals,
        }
    }
}
