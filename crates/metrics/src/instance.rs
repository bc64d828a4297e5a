//! Metrics of the instance as a whole.

use prometheus::Counter;
use prometheus::Gauge;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::core::Collector;

use crate::process;

/// The identity of this instance, from its settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InstanceInfo {
    /// The name of the instance in the platform's list.
    pub instance: String,
    /// The availability zone.
    pub zone: String,
    /// The version of the program.
    pub version: String,
}

/// The series of the instance, which have no class.
#[derive(Debug)]
pub(crate) struct InstanceSeries {
    pub(crate) ejections: IntCounter,
    pub(crate) revision: IntGauge,
    pub(crate) peers: IntGauge,
    pub(crate) confirmed: Gauge,
    pub(crate) memory_bound: IntGauge,
    pub(crate) ended_waits: IntCounterVec,
    pub(crate) uptime: Gauge,
    pub(crate) accounts: IntGaugeVec,
    cpu: Counter,
    resident: IntGauge,
}

impl InstanceSeries {
    pub(crate) fn register(registry: &Registry, info: &InstanceInfo) -> InstanceSeries {
        register_info(registry, info);
        InstanceSeries {
            ejections: counter(registry, "crocushold_ejections_total", "Servers ejected."),
            revision: gauge(
                registry,
                "crocushold_config_revision",
                "Configuration revision in force.",
            ),
            peers: gauge(registry, "crocushold_peers_live", "Live peers."),
            confirmed: float_gauge(
                registry,
                "crocushold_config_confirmed_age_seconds",
                "Time since the platform last confirmed the configuration; infinite when it never did.",
            ),
            memory_bound: gauge(
                registry,
                "crocushold_memory_bound_bytes",
                "Most that callers can make the instance hold, beside what it takes without them.",
            ),
            ended_waits: wait_counters(registry),
            uptime: float_gauge(
                registry,
                "crocushold_uptime_seconds",
                "Time since the process started.",
            ),
            accounts: account_gauges(registry),
            cpu: float_counter(
                registry,
                "process_cpu_seconds_total",
                "User and system processor time.",
            ),
            resident: gauge(
                registry,
                "process_resident_memory_bytes",
                "Resident memory.",
            ),
        }
    }

    /// Updates the processor time and the resident memory of the process.
    pub(crate) fn refresh_process(&self) {
        let Some(usage) = process::usage() else {
            return;
        };
        let passed = usage.cpu - self.cpu.get();
        if passed > 0.0 {
            self.cpu.inc_by(passed);
        }
        self.resident.set(usage.resident);
    }
}

/// Registers a collector whose name is a constant of this crate.
pub(crate) fn register<C: Collector + Clone + 'static>(registry: &Registry, collector: C) -> C {
    registry
        .register(Box::new(collector.clone()))
        .expect("names and labels are constants of this crate and distinct");
    collector
}

fn register_info(registry: &Registry, info: &InstanceInfo) {
    let opts = Opts::new("crocushold_instance_info", "Who this instance is.");
    let labels = ["instance", "zone", "version"];
    let family = IntGaugeVec::new(opts, &labels).expect("constant names are valid");
    let family = register(registry, family);
    let values = [&*info.instance, &*info.zone, &*info.version];
    family.with_label_values(&values).set(1);
}

fn account_gauges(registry: &Registry) -> IntGaugeVec {
    let opts = Opts::new(
        "crocushold_top_account_tokens",
        "Tokens of the heaviest accounts, estimated from above.",
    );
    let family = IntGaugeVec::new(opts, &["account"]).expect("constant names are valid");
    register(registry, family)
}

fn wait_counters(registry: &Registry) -> IntCounterVec {
    let opts = Opts::new(
        "crocushold_waits_ended_total",
        "Waits for callers that were ended, as others needed their connection or memory.",
    );
    let family = IntCounterVec::new(opts, &["awaited"]).expect("constant names are valid");
    register(registry, family)
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).expect("constant names are valid");
    register(registry, counter)
}

fn float_counter(registry: &Registry, name: &str, help: &str) -> Counter {
    let counter = Counter::new(name, help).expect("constant names are valid");
    register(registry, counter)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("constant names are valid");
    register(registry, gauge)
}

fn float_gauge(registry: &Registry, name: &str, help: &str) -> Gauge {
    let gauge = Gauge::new(name, help).expect("constant names are valid");
    register(registry, gauge)
}
