//! News of requests under which servers end, on their way through a large fleet; and what a storm of crashes does to
//! requests that did nothing.

#![allow(clippy::unwrap_used, reason = "a test that panics is one that fails")]

use std::collections::HashMap;
use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_gateway::Content;
use crocushold_gateway::Gossip;
use crocushold_gateway::Identity;
use crocushold_gateway::Load;
use crocushold_gateway::Message;
use crocushold_gateway::Packet;
use crocushold_gateway::suspicion_packets;
use crocushold_routing::Fingerprint;
use crocushold_routing::Incarnation;
use crocushold_routing::Quarantine;
use crocushold_routing::Run;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use test_case::test_case;

const CONTENT: Fingerprint = Fingerprint(7);

/// Between two rounds of messages.
const ROUND: Millis = Millis(100);

/// How long a message is on its way between regions.
const LATENCY: Millis = Millis(40);

/// How long instances may take to agree on what has happened.
const STABLE_WINDOW: Millis = Millis(3000);

struct Instance {
    sharing: Gossip,
    quarantine: Quarantine,
    sent: usize,
}

impl Instance {
    fn hear(&mut self, from: SocketAddr, packet: Packet, now: Millis) {
        match packet {
            Packet::Gossip(message) => self.sharing.receive(from, message, now),
            Packet::Suspicions(told) => {
                for suspicion in &told {
                    self.quarantine.hear(suspicion, now);
                }
            }
            _ => {}
        }
    }
}

struct Instances {
    all: HashMap<SocketAddr, Instance>,
    rng: SmallRng,
    /// One in so many packets is lost; none with zero.
    loss: u32,
    now: Millis,
}

impl Instances {
    /// Instances that know each other.
    fn new(count: u16, loss: u32, seed: u64) -> Instances {
        let identities: Vec<Identity> = (0..count).map(identity).collect();
        let now = Millis(10_000);
        let all = identities.iter().map(|me| {
            let mut sharing = Gossip::new(*me, &[]);
            for other in &identities {
                let message = Message::new(other, Vec::new(), Content::Members);
                sharing.receive(other.address, message, now);
            }
            let instance = Instance {
                sharing,
                quarantine: Quarantine::default(),
                sent: 0,
            };
            (me.address, instance)
        });
        Instances {
            all: all.collect(),
            rng: SmallRng::seed_from_u64(seed),
            loss,
            now,
        }
    }

    /// A server ends under a request at an instance.
    fn end(&mut self, at: u16, server: u64, sent: u64) {
        let instance = self.all.get_mut(&identity(at).address).unwrap();
        let run = Run {
            content: CONTENT,
            server: Incarnation(server),
            sent: Millis(sent),
        };
        instance.quarantine.cut(run, self.now);
        instance
            .quarantine
            .server_ended(Incarnation(server), self.now);
    }

    /// One round: what is told arrives.
    fn round(&mut self) {
        let now = self.now;
        let mut packets = Vec::new();
        for (from, instance) in &mut self.all {
            let messages = instance.sharing.round(Load::default(), now);
            let told =
                suspicion_packets(&mut instance.quarantine, &instance.sharing, &messages, now);
            let bytes = told.iter().map(|(_, packet)| packet.encode().len());
            instance.sent += bytes.sum::<usize>();
            let news = messages.into_iter();
            let news = news.map(|(to, message)| (to, Packet::Gossip(message)));
            packets.extend(
                told.into_iter()
                    .chain(news)
                    .map(|(to, packet)| (*from, to, packet)),
            );
        }
        self.now = now + LATENCY;
        for (from, to, packet) in packets {
            let lost = self.loss > 0 && self.rng.random_range(0..self.loss) == 0;
            if let (false, Some(instance)) = (lost, self.all.get_mut(&to)) {
                instance.hear(from, packet, self.now);
            }
        }
        self.now = now + ROUND;
    }

    /// Instances that would still send the request.
    fn unaware(&self) -> usize {
        let all = self.all.values();
        let unaware = all.filter(|one| one.quarantine.admit(CONTENT, self.now).is_ok());
        unaware.count()
    }
}

fn identity(number: u16) -> Identity {
    let [high, low] = number.to_be_bytes();
    Identity {
        address: SocketAddr::from(([10, 0, high, low], 7200)),
        zone: u32::from(number % 8),
        capacity: 25,
    }
}

/// A request ends a server, and half a second later another one, at another instance. All have to know within the time
/// in which instances agree, though datagrams get lost: a caller comes back anywhere.
#[test_case(7, 0; "few instances")]
#[test_case(7, 3; "few instances, a third is lost")]
#[test_case(195, 0; "two hundred")]
#[test_case(195, 5; "two hundred, a fifth is lost")]
#[test_case(400, 0; "four hundred")]
#[test_case(400, 3; "four hundred, a third is lost")]
fn every_instance_hears_in_time(count: u16, loss: u32) {
    for seed in 0..5 {
        let mut fleet = Instances::new(count, loss, seed);
        fleet.end(0, 1, 9_800);
        for _ in 0..5 {
            fleet.round();
        }
        let sent = fleet.now.0 - ROUND.0;
        fleet.end(count - 1, 2, sent);
        let ended = fleet.now;
        while fleet.unaware() > 0 {
            fleet.round();
            let span = fleet.now.since(ended);
            let left = fleet.unaware();
            assert!(span <= STABLE_WINDOW, "{left} don't know after {span}");
        }
        let most = fleet.all.values().map(|one| one.sent).max();
        println!(
            "{count} instances, seed {seed}: all know after {}, {} bytes sent at most",
            fleet.now.since(ended),
            most.unwrap_or_default()
        );
    }
}

/// Servers of the storm, and requests that each runs at a time.
const SERVERS: usize = 100;
const RUNS: usize = 24;

/// How long a request runs, in rounds.
const RUN_ROUNDS: u32 = 15;

/// One request of a caller that does nothing wrong.
struct Honest {
    content: Fingerprint,
    tries: u32,
    /// Where its copies run, and when each was sent.
    copies: Vec<(usize, Millis)>,
    left: u32,
}

/// A minute in which a server in a hundred crashes in each half second or so, at times a rack of eight at once. Callers
/// come back at once and four times; a third of them has two copies of its request out. None of these requests is at
/// fault. Of all of them one in five hundred and five more may be refused by mistake.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn a_storm_of_crashes_holds_hardly_anybody_back(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut quarantine = Quarantine::default();
    let mut lives = vec![0u64; SERVERS];
    let mut requests: Vec<Honest> = Vec::new();
    let (mut total, mut held, mut crashes) = (0u32, 0u32, 0u32);
    for round in 0..600 {
        let now = Millis(1000 + round * ROUND.0);
        while requests.len() < SERVERS * RUNS / 2 {
            total += 1;
            let copies = if rng.random_range(0..3) == 0 { 2 } else { 1 };
            let places = (0..copies).map(|_| (rng.random_range(0..SERVERS), now));
            requests.push(Honest {
                content: Fingerprint(u128::from(total)),
                tries: 0,
                copies: places.collect(),
                left: rng.random_range(1..2 * RUN_ROUNDS),
            });
        }
        let mut crashed = Vec::new();
        if rng.random_range(0..5) == 0 {
            crashed.push(rng.random_range(0..SERVERS));
        }
        if round % 100 == 50 {
            crashed.extend(0..8);
        }
        for server in &crashed {
            crashes += 1;
            let incarnation = Incarnation((*server as u64) << 32 | lives[*server]);
            for request in &requests {
                let runs = request.copies.iter().filter(|(at, _)| at == server);
                for (_, sent) in runs {
                    let run = Run {
                        content: request.content,
                        server: incarnation,
                        sent: *sent,
                    };
                    quarantine.cut(run, now);
                }
            }
            quarantine.server_ended(incarnation, now);
            lives[*server] += 1;
        }
        requests.retain_mut(|request| {
            request
                .copies
                .retain(|(server, _)| !crashed.contains(server));
            if request.copies.is_empty() {
                request.tries += 1;
                if quarantine.admit(request.content, now).is_err() {
                    held += 1;
                    return false;
                }
                if request.tries > 4 {
                    return false;
                }
                request.copies.push((rng.random_range(0..SERVERS), now));
                request.left = RUN_ROUNDS;
                return true;
            }
            request.left = request.left.saturating_sub(1);
            if request.left == 0 {
                quarantine.served(request.content, now);
            }
            request.left > 0
        });
    }
    println!("seed {seed}: {crashes} crashes, {held} of {total} requests held back");
    assert!(held <= 5 + total / 500, "{held} of {total} were held back");
}
