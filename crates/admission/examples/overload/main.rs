//! Compares the scheduler with first come, first served: attained targets and goodput in a model.
//!
//! `cargo run --release -p crocushold-admission --example overload`

mod model;

use crocushold_admission::Settings;
use crocushold_base::Millis;
use model::Burst;
use model::Load;
use model::Outcome;
use model::Policy;
use model::Run;

const FACTORS: [f64; 4] = [0.7, 1.0, 1.5, 2.5];

fn main() {
    println!("Figures of a model with 160 slots, not measurements of the product.");
    println!();
    print_header(&model::evening_peak());
    for bursts in [false, true] {
        for factor in FACTORS {
            for scheduler in [true, false] {
                let policy = if scheduler {
                    Policy::Scheduler(Settings::default())
                } else {
                    Policy::Baseline
                };
                let run = run_config(factor, bursts);
                print_row(factor, bursts, scheduler, &run, &model::run(&run, policy));
            }
        }
    }
}

fn print_header(loads: &[Load]) {
    let names: Vec<&str> = loads[..4].iter().map(|load| load.name).collect();
    let last = loads[4].name;
    let names = names.join(" | ");
    println!("| load | bursts | queue | {names} | {last}, % of offered tokens | goodput |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
}

fn run_config(factor: f64, bursts: bool) -> Run {
    let mut loads: Vec<Load> = model::evening_peak();
    if bursts {
        loads[0].burst = Some(Burst {
            factor: 4.0,
            length: Millis::from_secs(10),
            period: Millis::from_secs(90),
        });
    }
    Run {
        loads,
        accounts: 10,
        slots: 160,
        factor,
        length: Millis::from_secs(1800),
        warmup: Millis::from_secs(300),
        seed: 7,
    }
}

fn print_row(factor: f64, bursts: bool, scheduler: bool, run: &Run, outcome: &Outcome) {
    let queue = if scheduler { "scheduler" } else { "FCFS" };
    let bursts = if bursts { "4x chat" } else { "none" };
    let mut line = format!("| {factor} | {bursts} | {queue} |");
    for tally in &outcome.classes[..4] {
        let share = tally.attained as f64 / tally.offered.max(1) as f64;
        line += &format!(" {:.1}% |", share * 100.0);
    }
    let sheets = &outcome.classes[4];
    let offered = sheets.offered as f64 * run.loads[4].output;
    line += &format!(" {:.1}% |", sheets.tokens as f64 / offered * 100.0);
    line += &format!(" {:.1}% |", outcome.utilization * 100.0);
    println!("{line}");
}
