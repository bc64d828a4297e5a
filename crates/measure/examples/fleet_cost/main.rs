//! What an idle entry instance costs as a real process, at several sizes of the fleet: processor
//! time, resident memory, and bytes on the wire with headers, apart for peers, platform and servers.
//!
//! Needs `ss` (iproute2) and the release binaries beside it:
//!
//! `cargo build --release --workspace --bins`
//! `cargo run --release -p crocushold-measure --example fleet_cost -- 2 4 8 16 32`
//!
//! | option | meaning |
//! |---|---|
//! | `--servers K` | engines that the instances poll, in one stand-in process |
//! | `--listed L` | further backend servers on the instance list that no text names |
//! | `--accounts A` | client accounts of the configuration text |
//! | `--changes C` | afterwards publish this many changes, one a second |
//! | `--claims R` | afterwards send this many calls a second that may run once, first without keys |
//! | `--loans R` | afterwards send this many calls a second to one instance, over all its accounts |
//! | `--seconds S` | time that is measured, 30 |
//!
//! Below the row of an idle fleet stand the sizes of what an operator reads of one instance. Each size
//! starts its own processes and ends them.

mod site;
mod sockets;
mod usage;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crocushold_measure::MeasureResult;
use crocushold_measure::process;

use site::Calls;
use site::Options;
use site::Site;
use sockets::Flow;
use sockets::Flows;
use usage::Usage;

/// Between readiness and the measurement, so that what belongs to the start has ended: news of a
/// start travels with every message for 15 s, and views are compared every 5 s until they agree.
const SETTLE: Duration = Duration::from_secs(40);

/// Between two changes of the configuration.
const CHANGE_GAP: Duration = Duration::from_secs(1);

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
    let began = Instant::now();
    let site = Site::start(count, options)?;
    thread::sleep(SETTLE);
    let mut last = Reading::take(&site)?;
    last.print("start, whole", &Reading::default(), began.elapsed());
    let mut phase = |name: &str, run: &dyn Fn() -> MeasureResult<()>| -> MeasureResult<()> {
        let began = Instant::now();
        run()?;
        let reading = Reading::take(&site)?;
        reading.print(name, &last, began.elapsed());
        last = reading;
        Ok(())
    };
    phase("idle", &|| {
        thread::sleep(options.span);
        Ok(())
    })?;
    site.print_documents()?;
    if options.changes > 0 {
        phase("changes", &|| {
            for change in 0..options.changes {
                site.publish(change)?;
                thread::sleep(CHANGE_GAP);
            }
            Ok(())
        })?;
    }
    let steady = |keyed| Calls {
        rate: options.claims,
        span: options.span,
        keyed,
        accounts: 1,
        to: count,
    };
    if options.claims > 0 {
        phase("calls", &|| site.call(&steady(false)))?;
        phase("calls with keys", &|| site.call(&steady(true)))?;
    }
    if options.loans > 0 {
        let skewed = Calls {
            rate: options.loans,
            span: options.span,
            keyed: false,
            accounts: options.accounts,
            to: 1,
        };
        phase("calls at one", &|| site.call(&skewed))?;
    }
    Ok(())
}

/// What all instances of a site used up to a moment.
#[derive(Default)]
struct Reading {
    count: usize,
    usage: Usage,
    flows: Flows,
}

impl Reading {
    fn take(site: &Site) -> MeasureResult<Reading> {
        let ids = site.ids();
        Ok(Reading {
            count: ids.len(),
            usage: Usage::of(&ids),
            flows: Flows::read(&site.ports())?,
        })
    }

    /// Prints the use of one instance, on the mean, since `before`.
    fn print(&self, phase: &str, before: &Reading, span: Duration) {
        let each = span.as_secs_f64() * self.count as f64;
        let cpu = (self.usage.cpu - before.usage.cpu) / each;
        let flows = self.flows.since(&before.flows);
        let rate = |flow: Flow| flow.wire() / each;
        println!(
            "| {} | {phase} | {:.1} | {:.3}% | {:.1}, {:.1} MiB | {:.0} | {:.2} | {:.0} | {:.0} |",
            self.count,
            span.as_secs_f64(),
            cpu * 100.0,
            self.usage.resident,
            self.usage.resident_most,
            rate(flows.peers),
            flows.peers.packets / each,
            rate(flows.platform),
            rate(flows.servers),
        );
    }
}
