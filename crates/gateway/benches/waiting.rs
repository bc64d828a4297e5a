//! Time in which a placer serves the questions of requests that wait in its line.
//!
//! `cargo bench -p crocushold-gateway --bench waiting`

#[path = "../tests/common/engines.rs"]
mod engines;

use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_gateway::EngineSpec;
use crocushold_gateway::Fleet;
use crocushold_gateway::FleetSettings;
use crocushold_gateway::LineTerms;
use crocushold_gateway::Need;
use crocushold_gateway::PlacementRequest;
use crocushold_gateway::Placer;
use crocushold_routing::EngineCapacity;
use divan::Bencher;
use divan::black_box;
use divan::counter::ItemsCount;

use engines::engine;

const ENGINES: u32 = 60;
const START: Millis = Millis(10_000);

/// Each request asks once in this time.
const ASK_INTERVAL: u64 = 50;

/// Interval at which the line is served.
const SERVE_INTERVAL: u64 = 10;

fn fleet() -> Fleet {
    let capacity = EngineCapacity {
        slots: 64,
        tokens: 270_000,
    };
    let mut fleet = Fleet::new(FleetSettings::default());
    fleet.set_engines(&[EngineSpec {
        service: "svc".to_owned(),
        transfer_rate: None,
        capacity: Some(capacity),
        event_tokens: None,
    }]);
    for number in 0..ENGINES {
        fleet.list(&engine(number, 64), START);
    }
    fleet.set_placer(true);
    fleet
}

fn request(number: u32, tokens: u32) -> PlacementRequest {
    PlacementRequest {
        number,
        zone: "here".to_owned(),
        remaining: Millis(60_000),
        tried: Vec::new(),
        need: Need {
            service: "svc".to_owned(),
            model: Some("m".to_owned()),
            priority: 1,
            prompt_tokens: tokens,
            unique_tokens: tokens,
            max_output_tokens: 50,
            expected_output_tokens: 50,
            ..Need::default()
        },
        resting: Vec::new(),
        line: Some(LineTerms {
            account: number % 100,
            limit: Millis(30_000),
            request: number + 1,
        }),
    }
}

/// A placer whose engines are busy for a second, and requests in its line.
fn busy(waiting: u32) -> (Fleet, Placer, Vec<PlacementRequest>) {
    let mut fleet = fleet();
    let mut placer = Placer::with_line();
    let from = SocketAddr::from(([10, 1, 0, 1], 7340));
    for number in 0..ENGINES {
        let _ = placer.place(&mut fleet, from, &request(number, 40_000), START);
    }
    let requests = (0..waiting).map(|number| request(1000 + number, 9000));
    let requests: Vec<PlacementRequest> = requests.collect();
    for request in &requests {
        let _ = placer.place(&mut fleet, from, request, START);
    }
    assert_eq!(placer.waiting(), waiting as usize);
    (fleet, placer, requests)
}

/// The questions of one interval, at a steady rate, beside the offers that are due.
#[divan::bench(args = [100, 1000, 5000])]
fn ask_again(bencher: Bencher, waiting: u32) {
    let from = SocketAddr::from(([10, 1, 0, 1], 7340));
    bencher
        .counter(ItemsCount::new(waiting))
        .with_inputs(|| busy(waiting))
        .bench_local_refs(|(fleet, placer, requests)| {
            let count = requests.len();
            let mut served = START;
            for (index, request) in requests.iter().enumerate() {
                let now = START + Millis(index as u64 * ASK_INTERVAL / count as u64);
                if now >= served + Millis(SERVE_INTERVAL) {
                    placer.serve_line(fleet, now);
                    served = now;
                }
                black_box(placer.place(fleet, from, request, now));
            }
        });
}

fn main() {
    divan::main();
}
