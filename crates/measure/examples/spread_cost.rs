//! Measures what the distribution of the configuration costs a node, by rate of change, with a text
//! of the target size. A simulation: the state machines of all nodes run in one process on one
//! core.
//!
//! `cargo run --release -p crocushold-measure --example spread_cost -- 50 200 400`
//!
//! Bytes are those of the encoded messages, sent and received, plus for each exchange the overhead
//! on Ethernet that the `fleet_cost` example measures, plus the headers of the further packets of
//! long messages. Processor time includes the state machines and the encoding that counts the
//! bytes, but no socket operations.

#[path = "../../peers/tests/fleet/mod.rs"]
mod fleet;

use std::time::Instant;

use crocushold_base::Millis;

use fleet::Fleet;

/// Bytes of an exchange on Ethernet besides its two encoded messages, as `fleet_cost` measures
/// them.
const EXCHANGE_OVERHEAD: f64 = 410.0;

/// Headers of each further packet of a long message, as a share of its payload.
const EXTRA_PACKET_OVERHEAD: f64 = 70.0 / 1448.0;

/// Number of teams, and of lines in each team's part: 46 KB a part, 1.07 MB in total.
const TEAMS: usize = 23;
const LINES_PER_PART: usize = 1_450;

/// Configuration changes per minute: none, the mean of 22,000 a day, one per second, and a burst.
const CHANGES_PER_MINUTE: [u64; 4] = [0, 15, 60, 100];

const ZONES: usize = 23;
const REGIONS: usize = 7;

const MINUTE: Millis = Millis::from_secs(60);

/// Interval between two checks of the revisions that are in force.
const STEP: Millis = Millis(50);

/// Longest wait until all nodes have a revision in force and their membership views agree.
const CONVERGENCE_TIMEOUT: Millis = Millis::from_secs(120);

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
        fleet.platform.publish(&team_name(team), &part_text(0));
    }
    for number in 0..size {
        fleet.add(number, number % ZONES);
    }
    fleet.list();
    let revision = fleet.platform.revision();
    let wall_start = Instant::now();
    let convergence_time = fleet.run_until(CONVERGENCE_TIMEOUT, |f| {
        f.views_agree() && f.in_force(revision)
    });
    let span = convergence_time.unwrap_or(CONVERGENCE_TIMEOUT);
    print_row(
        &fleet,
        "all start at once, until they agree",
        span,
        convergence_time,
        wall_start,
    );
    fleet.run(Millis::from_secs(30));
    let mut number = 0;
    for rate in CHANGES_PER_MINUTE {
        measure_changes(&mut fleet, rate, &mut number);
    }
    measure_event(&mut fleet, "a zone lost", |fleet| {
        for at in nodes_in_zones(fleet, |zone| zone == 1) {
            fleet.kill(at);
        }
    });
    measure_event(&mut fleet, "a region's instances restarted", |fleet| {
        for at in nodes_in_zones(fleet, |zone| zone % REGIONS == 3) {
            fleet.add(at, at % ZONES);
        }
        fleet.list();
    });
}

/// Publishes changes at a constant rate over a minute, without waiting until earlier ones are in
/// force, and prints their cost.
fn measure_changes(fleet: &mut Fleet, rate: u64, number: &mut u64) {
    reset_counters(fleet);
    let wall_start = Instant::now();
    let phase_start = fleet.now;
    let mut pending: Vec<Published> = Vec::new();
    let mut longest = Millis::ZERO;
    let mut published = 0;
    while fleet.now.since(phase_start) < MINUTE {
        if published * MINUTE.0 < rate * fleet.now.since(phase_start).0 {
            published += 1;
            *number += 1;
            let team = (*number * 7) as usize % TEAMS;
            let revision = fleet
                .platform
                .publish(&team_name(team), &part_text(*number));
            let at = fleet.now;
            pending.push(Published { revision, at });
        }
        fleet.run(STEP);
        longest = longest.max(remove_applied(fleet, &mut pending));
    }
    let span = fleet.now.since(phase_start);
    print_row(
        fleet,
        &format!("{published} changes in a minute"),
        span,
        Some(longest),
        wall_start,
    );
    fleet.run(Millis::from_secs(10));
}

/// A published change that isn't yet in force on all nodes.
struct Published {
    revision: u64,
    at: Millis,
}

/// Removes the changes that all nodes have in force, directly or through a newer revision. Returns
/// the age of the oldest change that was pending before.
fn remove_applied(fleet: &Fleet, pending: &mut Vec<Published>) -> Millis {
    let applied = fleet
        .alive()
        .map(|slot| slot.in_force.as_ref().map_or(0, |c| c.revision));
    let oldest_applied = applied.min().unwrap_or(0);
    let ages = pending
        .iter()
        .map(|published| fleet.now.since(published.at));
    let longest = ages.max().unwrap_or(Millis::ZERO);
    pending.retain(|published| published.revision > oldest_applied);
    longest
}

/// Triggers an event, and prints the cost of the minute after it and the time until all nodes agree
/// again.
fn measure_event(fleet: &mut Fleet, what: &str, event: impl FnOnce(&mut Fleet)) {
    reset_counters(fleet);
    let wall_start = Instant::now();
    let phase_start = fleet.now;
    let revision = fleet.platform.revision();
    event(fleet);
    let convergence_time = fleet.run_until(CONVERGENCE_TIMEOUT, |f| {
        f.views_agree() && f.in_force(revision)
    });
    fleet.run((phase_start + MINUTE).since(fleet.now));
    let span = fleet.now.since(phase_start);
    print_row(
        fleet,
        &format!("{what}, the minute after"),
        span,
        convergence_time,
        wall_start,
    );
}

fn nodes_in_zones(fleet: &Fleet, matches: impl Fn(usize) -> bool) -> Vec<usize> {
    let count = fleet.slots.len();
    (0..count).filter(|at| matches(at % ZONES)).collect()
}

fn print_row(
    fleet: &Fleet,
    what: &str,
    span: Millis,
    convergence_time: Option<Millis>,
    wall_start: Instant,
) {
    let seconds = span.as_secs_f64();
    let count = fleet.alive().count() as f64;
    let bytes = fleet.alive().map(|slot| {
        let encoded = slot.traffic.bytes as f64 * (1.0 + EXTRA_PACKET_OVERHEAD);
        encoded + slot.traffic.exchanges as f64 * EXCHANGE_OVERHEAD
    });
    let bytes: Vec<f64> = bytes.collect();
    println!(
        "| {count} | {what} | {:.0}, {:.0} | {:.2} s | {:.3}% | {:.1} |",
        bytes.iter().sum::<f64>() / count / seconds,
        bytes.iter().copied().fold(0.0, f64::max) / seconds,
        convergence_time
            .unwrap_or(CONVERGENCE_TIMEOUT)
            .as_secs_f64(),
        wall_start.elapsed().as_secs_f64() / seconds / count * 100.0,
        fleet.platform.calls as f64 / seconds,
    );
}

fn reset_counters(fleet: &mut Fleet) {
    for slot in &mut fleet.slots {
        slot.traffic = fleet::Traffic::default();
    }
    fleet.platform.calls = 0;
}

fn team_name(team: usize) -> String {
    format!("team-{team}")
}

/// A team's part; each change modifies one line in the middle.
fn part_text(number: u64) -> String {
    let half = "address = 10.2.13.77:8000 zone\n".repeat(LINES_PER_PART / 2);
    format!("{half}requests = {number}/s\n{half}")
}
