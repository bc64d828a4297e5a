//! What spreading the configuration costs a node, by the rate of changes, with a text of the size to
//! build towards: state machines of all nodes in one process on one core (a model).
//!
//! `cargo run --release -p crocushold-measure --example spread_cost -- 50 200 400`
//!
//! Bytes are the encoded messages, sent and received, plus for each exchange what the `fleet_cost`
//! example measures beyond them on Ethernet, plus the headers of the packets that a long message
//! takes more. Processor time is that of the state machines and of encoding for the count, without
//! sockets.

#[path = "../../peers/tests/fleet/mod.rs"]
mod fleet;

use std::time::Instant;

use crocushold_base::Millis;

use fleet::Fleet;

/// Bytes on Ethernet of an exchange besides its two encoded messages.
const ENVELOPE: f64 = 410.0;

/// Headers of a further packet, as a share of its payload.
const FURTHER: f64 = 70.0 / 1448.0;

/// Teams, and lines of a part: 46 KB each, 1.07 MB together.
const TEAMS: usize = 23;
const LINES: usize = 1_450;

/// Changes in a minute: none, the mean of 22,000 a day, one a second, the burst.
const RATES: [u64; 4] = [0, 15, 60, 100];

const ZONES: usize = 23;
const REGIONS: usize = 7;

const MINUTE: Millis = Millis::from_secs(60);

/// Time between two looks at what is in force.
const STEP: Millis = Millis(50);

/// Longest wait for all to hold a revision.
const LIMIT: Millis = Millis::from_secs(120);

fn main() {
    println!(
        "| nodes | what | B/s a node, mean, most | longest until all agree | core of a node | platform calls/s in all |"
    );
    println!("|---|---|---|---|---|---|");
    for size in std::env::args().filter_map(|arg| arg.parse().ok()) {
        measure(size);
    }
}

fn measure(size: usize) {
    let mut fleet = Fleet::new(size as u64);
    fleet.faults.max_delay = 75;
    for team in 0..TEAMS {
        fleet.platform.publish(&name(team), &text(0));
    }
    for number in 0..size {
        fleet.add(number, number % ZONES);
    }
    fleet.list();
    let revision = fleet.platform.revision();
    let start = Instant::now();
    let took = fleet.run_until(LIMIT, |f| f.views_agree() && f.in_force(revision));
    let span = took.unwrap_or(LIMIT);
    print(
        &fleet,
        "all start at once, until they agree",
        span,
        took,
        start,
    );
    fleet.run(Millis::from_secs(30));
    let mut number = 0;
    for rate in RATES {
        change(&mut fleet, rate, &mut number);
    }
    disturb(&mut fleet, "a zone lost", |fleet| {
        for at in in_zones(fleet, |zone| zone == 1) {
            fleet.kill(at);
        }
    });
    disturb(&mut fleet, "a region's instances restarted", |fleet| {
        for at in in_zones(fleet, |zone| zone % REGIONS == 3) {
            fleet.add(at, at % ZONES);
        }
        fleet.list();
    });
}

/// Publishes changes over a minute, whether or not the earlier ones have arrived, and prints what
/// they cost.
fn change(fleet: &mut Fleet, rate: u64, number: &mut u64) {
    clear(fleet);
    let start = Instant::now();
    let began = fleet.now;
    let mut pending: Vec<Published> = Vec::new();
    let mut longest = Millis::ZERO;
    let mut published = 0;
    while fleet.now.since(began) < MINUTE {
        if published * MINUTE.0 < rate * fleet.now.since(began).0 {
            published += 1;
            *number += 1;
            let team = (*number * 7) as usize % TEAMS;
            let revision = fleet.platform.publish(&name(team), &text(*number));
            let at = fleet.now;
            pending.push(Published { revision, at });
        }
        fleet.run(STEP);
        longest = longest.max(retire(fleet, &mut pending));
    }
    let span = fleet.now.since(began);
    print(
        fleet,
        &format!("{published} changes in a minute"),
        span,
        Some(longest),
        start,
    );
    fleet.run(Millis::from_secs(10));
}

/// A change that isn't in force everywhere yet.
struct Published {
    revision: u64,
    at: Millis,
}

/// Drops what all nodes have in force, itself or a newer one, and returns the longest time it took.
fn retire(fleet: &Fleet, pending: &mut Vec<Published>) -> Millis {
    let held = fleet
        .alive()
        .map(|slot| slot.in_force.as_ref().map_or(0, |c| c.revision));
    let least = held.min().unwrap_or(0);
    let ages = pending
        .iter()
        .map(|published| fleet.now.since(published.at));
    let longest = ages.max().unwrap_or(Millis::ZERO);
    pending.retain(|published| published.revision > least);
    longest
}

/// Prints the minute after an event, and how long it took until all agreed again.
fn disturb(fleet: &mut Fleet, what: &str, act: impl FnOnce(&mut Fleet)) {
    clear(fleet);
    let start = Instant::now();
    let began = fleet.now;
    let revision = fleet.platform.revision();
    act(fleet);
    let took = fleet.run_until(LIMIT, |f| f.views_agree() && f.in_force(revision));
    fleet.run((began + MINUTE).since(fleet.now));
    let span = fleet.now.since(began);
    print(
        fleet,
        &format!("{what}, the minute after"),
        span,
        took,
        start,
    );
}

fn in_zones(fleet: &Fleet, holds: impl Fn(usize) -> bool) -> Vec<usize> {
    let count = fleet.slots.len();
    (0..count).filter(|at| holds(at % ZONES)).collect()
}

fn print(fleet: &Fleet, what: &str, span: Millis, took: Option<Millis>, start: Instant) {
    let seconds = span.as_secs_f64();
    let count = fleet.alive().count() as f64;
    let bytes = fleet.alive().map(|slot| {
        let encoded = slot.traffic.bytes as f64 * (1.0 + FURTHER);
        encoded + slot.traffic.exchanges as f64 * ENVELOPE
    });
    let bytes: Vec<f64> = bytes.collect();
    println!(
        "| {count} | {what} | {:.0}, {:.0} | {:.2} s | {:.3}% | {:.1} |",
        bytes.iter().sum::<f64>() / count / seconds,
        bytes.iter().copied().fold(0.0, f64::max) / seconds,
        took.unwrap_or(LIMIT).as_secs_f64(),
        start.elapsed().as_secs_f64() / seconds / count * 100.0,
        fleet.platform.calls as f64 / seconds,
    );
}

fn clear(fleet: &mut Fleet) {
    for slot in &mut fleet.slots {
        slot.traffic = fleet::Traffic::default();
    }
    fleet.platform.calls = 0;
}

fn name(team: usize) -> String {
    format!("team-{team}")
}

/// A part of which each change touches one line in the middle.
fn text(number: u64) -> String {
    let half = "address = 10.2.13.77:8000 zone\n".repeat(LINES / 2);
    format!("{half}requests = {number}/s\n{half}")
}
