//! Measures what an idle entry instance costs as a real process at several cluster sizes: processor
//! time, resident memory, and bytes on the wire with headers, separately for peers, platform and
//! servers.
//!
//! Needs `ss` (iproute2) and the release binaries of the workspace:
//!
//! `cargo build --release --workspace --bins`
//! `cargo run --release -p crocushold-measure --example fleet_cost -- 2 4 8 16 32`
//!
//! | option | meaning |
//! |---|---|
//! | `--servers K` | engines that the instances poll, in one stand-in process |
//! | `--listed L` | further backend servers on the instance list that the configuration text doesn't contain |
//! | `--accounts A` | client accounts of the configuration text |
//! | `--changes C` | afterwards publish this many configuration changes, one per second |
//! | `--claims R` | afterwards send this many non-idempotent calls per second, first without idempotency keys, then with |
//! | `--loans R` | afterwards send this many non-idempotent calls per second to one instance, from all accounts in turn |
//! | `--seconds S` | duration of the idle phase and of each load, 30 by default |
//!
//! The sizes of one instance's operator documents follow the row of the idle phase. Each cluster
//! size starts and stops its own processes.

mod cluster;
mod sockets;
mod usage;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crocushold_measure::MeasureResult;
use crocushold_measure::process;

use cluster::CallLoad;
use cluster::Cluster;
use cluster::Options;
use sockets::Flow;
use sockets::Flows;
use usage::Usage;

/// Wait between readiness and the measurement, so that traffic caused by the start has ended:
/// updates about a started instance are gossiped with every message for 15 s, and membership views
/// are compared every 5 s until they agree.
const SETTLE_TIME: Duration = Duration::from_secs(40);

/// Interval between two configuration changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);

fn main() -> MeasureResult<()> {
    let (options, counts) = Options::read(std::env::args().skip(1))?;
    println!("{options:?}, load average {:.1}", process::load_average());
    println!(
        "| instances | phase | s | core | resident, most | peers B/s | peers packets/s | platform B/s | servers B/s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for count in counts {
        measure(count, &options)?;
    }
    Ok(())
}

fn measure(count: usize, options: &Options) -> MeasureResult<()> {
    let phase_start = Instant::now();
    let cluster = Cluster::start(count, options)?;
    thread::sleep(SETTLE_TIME);
    let mut previous = Sample::take(&cluster)?;
    previous.print("start, whole", &Sample::default(), phase_start.elapsed());
    let mut phase = |name: &str, run: &dyn Fn() -> MeasureResult<()>| -> MeasureResult<()> {
        let phase_start = Instant::now();
        run()?;
        let sample = Sample::take(&cluster)?;
        sample.print(name, &previous, phase_start.elapsed());
        previous = sample;
        Ok(())
    };
    phase("idle", &|| {
        thread::sleep(options.span);
        Ok(())
    })?;
    cluster.print_documents()?;
    if options.changes > 0 {
        phase("changes", &|| {
            for change in 0..options.changes {
                cluster.publish(change)?;
                thread::sleep(CHANGE_INTERVAL);
            }
            Ok(())
        })?;
    }
    let even_load = |keyed| CallLoad {
        rate: options.claims,
        duration: options.span,
        keyed,
        accounts: 1,
        target_instances: count,
    };
    if options.claims > 0 {
        phase("calls", &|| cluster.send_calls(&even_load(false)))?;
        phase("calls with keys", &|| cluster.send_calls(&even_load(true)))?;
    }
    if options.loans > 0 {
        let skewed_load = CallLoad {
            rate: options.loans,
            duration: options.span,
            keyed: false,
            accounts: options.accounts,
            target_instances: 1,
        };
        phase("calls at one", &|| cluster.send_calls(&skewed_load))?;
    }
    Ok(())
}

/// Cumulative resource use of all instances of a cluster.
#[derive(Default)]
struct Sample {
    count: usize,
    usage: Usage,
    flows: Flows,
}

impl Sample {
    fn take(cluster: &Cluster) -> MeasureResult<Sample> {
        let ids = cluster.ids();
        Ok(Sample {
            count: ids.len(),
            usage: Usage::of(&ids),
            flows: Flows::read(&cluster.ports())?,
        })
    }

    /// Prints a row with the mean use per instance since `before`.
    fn print(&self, phase: &str, before: &Sample, span: Duration) {
        let instance_seconds = span.as_secs_f64() * self.count as f64;
        let cpu = (self.usage.cpu_seconds - before.usage.cpu_seconds) / instance_seconds;
        let flows = self.flows.since(&before.flows);
        let rate = |flow: Flow| flow.wire_bytes() / instance_seconds;
        println!(
            "| {} | {phase} | {:.1} | {:.3}% | {:.1}, {:.1} MiB | {:.0} | {:.2} | {:.0} | {:.0} |",
            self.count,
            span.as_secs_f64(),
            cpu * 100.0,
            self.usage.resident,
            self.usage.resident_max,
            rate(flows.peers),
            flows.peers.packets / instance_seconds,
            rate(flows.platform),
            rate(flows.servers),
        );
    }
}
