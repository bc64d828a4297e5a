//! Measures the cost of gossip in a simulation without sockets: `sharing_cost INSTANCES ZONES
//! ENGINES`.

use std::collections::BTreeMap;
use std::env;
use std::net::SocketAddr;
use std::time::Instant;

use crocushold_base::Millis;
use crocushold_gateway::CachedPrefix;
use crocushold_gateway::EngineQueue;
use crocushold_gateway::Gossip;
use crocushold_gateway::Identity;
use crocushold_gateway::Load;
use crocushold_gateway::ServiceWork;

/// Interval of rounds, in milliseconds.
const ROUND: u64 = 100;

/// Time until all instances know each other, in milliseconds.
const START: u64 = 10_000;

/// Duration of the measurement, in milliseconds.
const SPAN: u64 = 5_000;

/// Number of engines at which an instance has a queue at a time.
const BUSY: u32 = 5;

/// Overhead of a datagram on Ethernet, in bytes: checksum 18, IPv4 20, UDP 8.
const ENVELOPE: usize = 46;

#[derive(Clone, Copy, Default)]
struct Cost {
    sent: usize,
    received: usize,
}

fn identity(number: usize, zones: usize) -> Identity {
    let host = [10, 0, (number / 250) as u8, (number % 250) as u8];
    Identity {
        address: (host, 7340).into(),
        zone: (number % zones) as u32,
        capacity: 12,
    }
}

fn load(number: usize, round: u64, engines: u32) -> Load {
    let first = number as u32 * 7 + round as u32;
    let queues = (0..BUSY).map(|step| EngineQueue {
        // Names are hashed, so the values are spread over the whole range.
        engine: ((first + step) % engines).wrapping_mul(0x9e37_79b9),
        read_ms: 150,
    });
    Load {
        queues: queues.collect(),
        work: vec![ServiceWork {
            service: 0x9e37_79b9,
            lanes: [200, 200, 600],
            streams: [300, 100],
        }],
        // One in three instances has a new cached prefix to announce.
        cached: Vec::from_iter(
            (number as u64 + round)
                .is_multiple_of(3)
                .then_some(CachedPrefix {
                    prefix: (round as u32).wrapping_mul(0x85eb_ca6b),
                    engine: number as u32,
                }),
        ),
        ..Load::default()
    }
}

fn main() {
    let numbers: Vec<usize> = env::args().skip(1).flat_map(|arg| arg.parse()).collect();
    let &[count, zones, engines] = numbers.as_slice() else {
        eprintln!("usage: sharing_cost INSTANCES ZONES ENGINES");
        return;
    };
    let seeds = [0, 1, 2].map(|number| identity(number, zones).address);
    let mut fleet: BTreeMap<SocketAddr, (usize, Gossip)> = (0..count)
        .map(|number| {
            let me = identity(number, zones);
            (me.address, (number, Gossip::new(me, &seeds)))
        })
        .collect();
    let mut costs = vec![Cost::default(); count];
    let mut spent = 0.0;
    for at in (0..START + SPAN).step_by(ROUND as usize) {
        let now = Millis(1000 + at);
        let mut messages = Vec::new();
        let began = Instant::now();
        for (from, (number, gossip)) in &mut fleet {
            let own = load(*number, at / ROUND, engines as u32);
            let round = gossip.round(own, now);
            let told = round.into_iter();
            messages.extend(told.map(|(to, message)| (*number, *from, to, message.encode())));
            gossip.others_load(now);
        }
        for (number, from, to, bytes) in messages {
            let Some((target, gossip)) = fleet.get_mut(&to) else {
                continue;
            };
            if at >= START {
                costs[number].sent += bytes.len() + ENVELOPE;
                costs[*target].received += bytes.len() + ENVELOPE;
            }
            let message = crocushold_gateway::Message::decode(&bytes).expect("it was encoded");
            gossip.receive(from, message, now);
        }
        if at >= START {
            spent += began.elapsed().as_secs_f64();
        }
    }
    let span = SPAN as f64 / 1000.0;
    let total = |cost: &Cost| (cost.sent + cost.received) as f64 / span;
    let collects = |number: usize| number < zones;
    let mean = |wanted: bool| {
        let of: Vec<f64> = (0..count)
            .filter(|&number| collects(number) == wanted)
            .map(|number| total(&costs[number]))
            .collect();
        of.iter().sum::<f64>() / of.len().max(1) as f64
    };
    println!("instances {count}, zones {zones}, engines {engines}");
    println!("bytes a second, sent and received: {:.0}", mean(false));
    println!("of a collector: {:.0}", mean(true));
    let share = spent / span / count as f64;
    println!("processor, percent of a core each: {:.3}", share * 100.0);
}
