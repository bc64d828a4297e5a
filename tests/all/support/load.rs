//! A small constant load beside a test, and the results that its callers saw.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;

use async_std::task;
use crocushold_standins::LengthDistribution;
use crocushold_standins::load;
use crocushold_standins::load::ClassReport;
use crocushold_standins::load::LoadClass;
use crocushold_standins::load::LoadPlan;
use crocushold_standins::load::LoadReport;
use crocushold_standins::load::RequestKind;

use super::site::Site;

/// Length of a round in seconds. A stopped load ends with its current round.
const ROUND_SECONDS: f64 = 1.0;

/// A load that runs in rounds until it is stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Totals>,
}

impl Load {
    /// Starts sending streamed chats, batch requests and non-idempotent confirmations to `address`.
    pub fn start(site: &Site, address: SocketAddr) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let plan = plan(site, address);
        let thread = thread::spawn(move || {
            let mut totals = Totals::default();
            let mut seed = 1;
            while !stopped.load(Ordering::Relaxed) {
                let plan = LoadPlan {
                    seed,
                    ..plan.clone()
                };
                totals.add(&task::block_on(load::run(plan)).unwrap());
                seed += 1;
            }
            totals
        });
        Load { stop, thread }
    }

    /// Stops the load after the current round, and waits for the last answers.
    pub fn stop(self) -> Totals {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().unwrap()
    }
}

fn plan(site: &Site, address: SocketAddr) -> LoadPlan {
    let engines = site.engines.iter().map(|engine| engine.control_addr());
    let services = [&site.service].into_iter().chain(&site.other_services);
    let services = services.map(|service| service.control_addr());
    let chat = LoadClass {
        name: "chat".to_owned(),
        rate: 20.0,
        key: "team.chat".to_owned(),
        model: "m".to_owned(),
        timeout_ms: 30_000,
        ..LoadClass::default()
    };
    LoadPlan {
        entries: vec![address],
        standins: engines.chain(services).collect(),
        seconds: ROUND_SECONDS,
        // One request per connection, so that the balancer chooses an instance for each.
        keep_alive: false,
        classes: vec![
            LoadClass {
                name: "batch".to_owned(),
                key: "team.batch".to_owned(),
                stream: false,
                ..chat.clone()
            },
            LoadClass {
                name: "confirm".to_owned(),
                kind: RequestKind::Call,
                path: "/booking/confirmations".to_owned(),
                prompt: LengthDistribution::fixed(2),
                stream: false,
                ..chat.clone()
            },
            chat,
        ],
        ..LoadPlan::default()
    }
}

/// The results of all callers of a load.
#[derive(Debug, Default)]
pub struct Totals {
    /// Results by class, summed over the rounds.
    pub classes: Vec<ClassReport>,
    /// Stand-in counters that couldn't be read; duplicate runs might go unnoticed.
    unasked: u64,
}

impl Totals {
    fn add(&mut self, report: &LoadReport) {
        self.unasked += report.standins.unreachable;
        if self.classes.is_empty() {
            self.classes = report.classes.clone();
            return;
        }
        for (sum, class) in self.classes.iter_mut().zip(&report.classes) {
            add_class(sum, class);
        }
    }

    /// Returns the number of requests of all classes whose answers were visibly cut.
    pub fn cut(&self) -> u64 {
        self.classes.iter().map(|class| class.cut).sum()
    }

    /// Returns the report of a class.
    pub fn class(&self, name: &str) -> &ClassReport {
        let mut classes = self.classes.iter();
        classes.find(|class| class.name == name).unwrap()
    }

    /// Checks the invariants that hold under every fault: each caller received its own complete
    /// answer, a refusal, or a visible cut; no confirmation ran twice; and no request that was
    /// reported as not run did run. Chats and the batch are idempotent, so an attempt without an
    /// answer may be retried.
    pub fn assert_invariants(&self) {
        assert_eq!(self.unasked, 0, "counters are missing");
        for class in &self.classes {
            let ended = class.completed + class.refused + class.cut;
            assert_eq!(class.sent, ended, "{class:?}");
            assert!(class.completed > 0, "{class:?}");
            assert_eq!(class.unsent, 0, "{class:?}");
            assert!(class.name != "confirm" || class.repeated == 0, "{class:?}");
            assert_eq!(class.falsely_reported_not_run, 0, "{class:?}");
        }
    }

    /// Prints a line per class for readers of the test log.
    pub fn print(&self, test: &str) {
        for class in &self.classes {
            println!(
                "{test}: {} sent={} completed={} refused={:?} reasons={:?} hintless={} unrun={} cut={} doubled={} first-p99={:.0}ms",
                class.name,
                class.sent,
                class.completed,
                class.statuses,
                class.reasons,
                class.without_retry_after,
                class.reported_not_run,
                class.cut,
                class.repeated,
                class.first.p99,
            );
        }
    }
}

fn add_class(sum: &mut ClassReport, class: &ClassReport) {
    sum.sent += class.sent;
    sum.unsent += class.unsent;
    sum.completed += class.completed;
    sum.refused += class.refused;
    sum.cut += class.cut;
    sum.misdelivered += class.misdelivered;
    sum.disordered += class.disordered;
    sum.timed_out += class.timed_out;
    sum.connect_failed += class.connect_failed;
    sum.without_retry_after += class.without_retry_after;
    sum.reported_not_run += class.reported_not_run;
    sum.falsely_reported_not_run += class.falsely_reported_not_run;
    sum.repeated += class.repeated;
    sum.first.p99 = sum.first.p99.max(class.first.p99);
    for (status, count) in &class.statuses {
        *sum.statuses.entry(*status).or_insert(0) += count;
    }
    for (reason, count) in &class.reasons {
        *sum.reasons.entry(reason.clone()).or_insert(0) += count;
    }
}
