//! A small discrete-event simulation of routing, compared with round robin: `cargo run --release -p
//! crocushold-routing --example model`.
//!
//! Six entry instances that don't communicate send Poisson arrivals to twenty engines. Each engine
//! runs 16 requests at a time and queues the rest. Its speed falls with its batch size, and it
//! caches 24 of 400 prefixes. Load reports arrive every 500 ms and are 1 s old. The second minute
//! has a straggler that is five times slower. At the start of the third minute an engine crashes
//! and refuses connections, which the instance list shows 10 s later. The figures describe the
//! simulation, not real engines.

mod engine;
mod policy;
mod world;

use policy::Policy;
use world::Phase;
use world::World;

fn main() {
    for load in [0.5, 0.8, 0.95] {
        println!("\nload {load}: time to first token in ms, p50 / p95 / p99");
        println!("| policy | steady | straggler | crash | refused | cut | prefix hits |");
        println!("|---|---|---|---|---|---|---|");
        for policy in Policy::all() {
            let mut world = World::new(policy, load);
            world.run();
            report(&world);
        }
    }
}

fn report(world: &World) {
    let cell = |phase: Phase| {
        let mut waits = world.waits(phase);
        waits.sort_unstable();
        let at = |share: f64| {
            let last = waits.len().saturating_sub(1);
            waits.get((share * last as f64) as usize).copied()
        };
        let shown = [0.5, 0.95, 0.99].map(|share| at(share).unwrap_or(0).to_string());
        shown.join(" / ")
    };
    let counts = &world.counts;
    println!(
        "| {} | {} | {} | {} | {} | {} | {:.0}% |",
        world.policy_name(),
        cell(Phase::Steady),
        cell(Phase::Straggler),
        cell(Phase::Crash),
        counts.refused,
        counts.cut,
        100.0 * counts.hits as f64 / counts.started.max(1) as f64,
    );
}
