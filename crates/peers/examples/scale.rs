//! Costs of the state machines at several sizes, with all nodes in one process on one core.
//!
//! `cargo run --release -p crocushold-peers --example scale -- 8 50 200 400`
//!
//! Traffic is the size of the encoded messages, sent and received, plus the overhead of each
//! exchange as measured by the `wire` example: the envelopes of call, return and finish, and TCP/IP
//! headers.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::fs;
use std::time::Instant;

use crocushold_base::Millis;

use fleet::Faults;
use fleet::Fleet;

/// Overhead of an exchange in bytes, in addition to its two encoded messages.
const ENVELOPE: f64 = 356.0;

/// Maximum time for the fleet to agree.
const LIMIT: Millis = Millis::from_secs(180);

/// Number of configuration changes that are averaged.
const CHANGES: u64 = 10;

fn main() {
    let sizes: Vec<usize> = std::env::args().filter_map(|a| a.parse().ok()).collect();
    for size in sizes {
        measure(size);
    }
}

fn zones(size: usize) -> usize {
    match size {
        0..=10 => 3,
        11..=100 => 7,
        _ => 23,
    }
}

fn measure(size: usize) {
    println!("== {size} nodes, {} zones", zones(size));
    let before = resident();
    let mut fleet = Fleet::new(size as u64);
    fleet.faults.max_delay = 75;
    for team in 0..50 {
        let text = format!("{}\n", "line of a part\n".repeat(270));
        fleet.platform.publish(&format!("team-{team}"), &text);
    }
    for number in 0..size {
        fleet.add(number, number % zones(size));
    }
    fleet.list();
    let revision = fleet.platform.revision();
    let joined = fleet.run_until(LIMIT, |f| f.views_agree() && f.in_force(revision));
    report("cold start of all until all agree", &fleet, joined);
    fleet.run(Millis::from_secs(60));
    println!(
        "memory per node: {:.0} KiB",
        (resident() - before) / size as f64
    );
    steady(&mut fleet);
    changes(&mut fleet, "a change until in force on all, no loss");
    fleet.faults.loss = 50;
    changes(&mut fleet, "a change until in force on all, 5% lost");
    fleet.faults = Faults {
        max_delay: 75,
        ..Faults::default()
    };
    fleet.run(Millis::from_secs(30));
    disturb(&mut fleet, "one death", |fleet| fleet.kill(0));
    disturb(&mut fleet, "a zone lost", |fleet| {
        let count = fleet.slots.len();
        let zones = zones(count);
        (0..count)
            .filter(|at| at % zones == 1)
            .for_each(|at| fleet.kill(at));
    });
    disturb(&mut fleet, "a seventh of all restarted", |fleet| {
        let count = fleet.slots.len();
        for at in (2..count).filter(|at| at % 7 == 3) {
            if fleet.slots[at].alive {
                fleet.add(at, at % zones(count));
            }
        }
        fleet.list();
    });
}

/// Returns the traffic in bytes of each live node since the counters were cleared.
fn traffic(fleet: &Fleet) -> Vec<f64> {
    let alive = fleet.alive();
    let bytes = alive.map(|s| s.traffic.bytes as f64 + s.traffic.exchanges as f64 * ENVELOPE);
    bytes.collect()
}

fn clear(fleet: &mut Fleet) {
    for slot in &mut fleet.slots {
        slot.traffic = fleet::Traffic::default();
    }
    fleet.platform.calls = 0;
}

fn mean_and_most(values: &[f64]) -> (f64, f64) {
    let sum: f64 = values.iter().sum();
    let most = values.iter().copied().fold(0.0, f64::max);
    (sum / values.len().max(1) as f64, most)
}

fn steady(fleet: &mut Fleet) {
    clear(fleet);
    let began = Instant::now();
    fleet.run(Millis::from_secs(60));
    let spent = began.elapsed().as_secs_f64();
    let (mean, most) = mean_and_most(&traffic(fleet));
    let count = fleet.alive().count() as f64;
    let messages: u64 = fleet.alive().map(|s| s.traffic.sent).sum();
    println!(
        "steady: {:.0} B/s a node (most {:.0}), {:.2} messages/s sent, {:.3}% of a core, \
         {:.1} platform calls/s in all",
        mean / 60.0,
        most / 60.0,
        messages as f64 / 60.0 / count,
        spent / 60.0 / count * 100.0,
        fleet.platform.calls as f64 / 60.0,
    );
}

fn changes(fleet: &mut Fleet, what: &str) {
    let mut times = Vec::new();
    let mut total = 0.0;
    let mut calls = 0;
    for change in 0..CHANGES {
        let lines = "line of a part\n".repeat(270);
        let text = format!("{lines}changed = {change}\n");
        clear(fleet);
        let began = fleet.now;
        let revision = fleet.platform.publish("team-7", &text);
        let took = fleet.run_until(LIMIT, |f| f.in_force(revision));
        times.push(took.unwrap_or(LIMIT).as_secs_f64());
        fleet.run(Millis(4000).since(fleet.now.since(began)));
        total += mean_and_most(&traffic(fleet)).0;
        calls += fleet.platform.calls;
    }
    times.sort_by(f64::total_cmp);
    let span = 4.0 * CHANGES as f64;
    println!(
        "{what}: median {:.2} s, longest {:.2} s; {:.0} B/s a node at one change in 4 s, \
         {:.1} platform calls/s in all",
        times[times.len() / 2],
        times[times.len() - 1],
        total / span,
        calls as f64 / span,
    );
}

fn disturb(fleet: &mut Fleet, what: &str, act: impl FnOnce(&mut Fleet)) {
    clear(fleet);
    act(fleet);
    let began = fleet.now;
    let revision = fleet.platform.revision();
    let followed = fleet.run_until(LIMIT, |f| f.in_force(revision));
    let followed = followed.map_or(f64::INFINITY, Millis::as_secs_f64);
    println!("{what}: the configuration is in force on all after {followed:.2} s");
    fleet.run_until(LIMIT, Fleet::views_agree);
    let took = fleet.views_agree().then(|| fleet.now.since(began));
    report(what, fleet, took);
    fleet.run(Millis::from_secs(60).since(fleet.now.since(began)));
    let (mean, most) = mean_and_most(&traffic(fleet));
    println!(
        "{what}: over the minute {:.0} B/s a node, most {:.0} B/s; {} platform calls",
        mean / 60.0,
        most / 60.0,
        fleet.platform.calls
    );
}

fn report(what: &str, fleet: &Fleet, took: Option<Millis>) {
    let (mean, most) = mean_and_most(&traffic(fleet));
    match took {
        Some(took) => println!(
            "{what}: {:.2} s, {:.0} B a node until then, most {:.0} B",
            took.as_secs_f64(),
            mean,
            most
        ),
        None => println!("{what}: not within {LIMIT}"),
    }
}

/// Returns the resident memory of this process in KiB.
fn resident() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0.0) * 4.0
}
