//! Evenness and churn of subsets: `cargo run --release -p crocushold-routing --example subset`.

use std::time::Duration;
use std::time::Instant;

use crocushold_routing::coverage;
use crocushold_routing::subset;

/// A group of servers and the instances that share it.
struct Case {
    servers: u64,
    instances: u64,
    want: usize,
}

/// Servers, instances, and servers wanted on each instance.
const CASES: [(u64, u64, usize); 5] = [
    (20, 8, 10),
    (60, 100, 8),
    (151, 400, 8),
    (5900, 100, 118),
    (5900, 400, 118),
];

/// Number of instances whose subsets are computed. A sample is representative of larger fleets.
const SAMPLE: usize = 100;

fn main() {
    println!(
        "| servers | instances | wanted | senders a server | subset least, mean, most | moved: an instance gone | moved: a server gone | cost |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (servers, instances, want) in CASES {
        measure(&Case {
            servers,
            instances,
            want,
        });
    }
}

fn measure(case: &Case) {
    let servers = ids(case.servers, 1);
    let instances = ids(case.instances, 2);
    let sample = &instances[..instances.len().min(SAMPLE)];
    let subsets = subsets(&servers, &instances, sample, case.want);
    let fewer = &instances[..instances.len() - 1];
    let stayed = &sample[..sample.len() - 1];
    let gone = self::subsets(&servers, fewer, stayed, case.want);
    let lost = self::subsets(&servers[1..], &instances, sample, case.want);
    let sizes = subsets.iter().map(Vec::len);
    println!(
        "| {} | {} | {} | {} | {} {:.1} {} | {:.2}% | {:.2}% | {:.1?} |",
        case.servers,
        case.instances,
        case.want,
        coverage(servers.len(), instances.len(), case.want),
        sizes.clone().min().unwrap_or(0),
        sizes.clone().sum::<usize>() as f64 / sample.len() as f64,
        sizes.max().unwrap_or(0),
        100.0 * moved(&subsets, &gone),
        100.0 * moved(&subsets, &lost),
        cost(&servers, &instances, case.want),
    );
}

fn ids(count: u64, salt: u64) -> Vec<u64> {
    (0..count).map(|at| at * 1_000_003 + salt).collect()
}

fn subsets(servers: &[u64], instances: &[u64], sample: &[u64], want: usize) -> Vec<Vec<u64>> {
    let of = |&me| {
        let mine = subset(servers, instances, me, want);
        mine.into_iter().map(|at| servers[at]).collect()
    };
    sample.iter().map(of).collect()
}

/// The fraction of new pairs of instance and server.
fn moved(before: &[Vec<u64>], after: &[Vec<u64>]) -> f64 {
    let new = |(b, a): (&Vec<u64>, &Vec<u64>)| a.iter().filter(|id| !b.contains(id)).count();
    let moved: usize = before.iter().zip(after).map(new).sum();
    let total: usize = after.iter().map(Vec::len).sum();
    moved as f64 / total as f64
}

fn cost(servers: &[u64], instances: &[u64], want: usize) -> Duration {
    let start = Instant::now();
    std::hint::black_box(subset(servers, instances, instances[0], want));
    start.elapsed()
}
