//! Tests of the distribution of suspicions in a large fleet, and of the effect of many crashes on
//! requests that didn't cause them.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

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
use crocushold_routing::RequestContent;
use crocushold_routing::Run;
use crocushold_routing::SuspectKind;
use crocushold_routing::Suspicion;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use test_case::test_case;

const CONTENT: Fingerprint = Fingerprint(7);

/// Interval of gossip rounds.
const ROUND: Millis = Millis(100);

/// Latency of a message between regions.
const LATENCY: Millis = Millis(40);

/// Maximum time until all instances agree on an event.
const STABLE_WINDOW: Millis = Millis(3000);

struct Instance {
    gossip: Gossip,
    quarantine: Quarantine,
    sent: usize,
}

impl Instance {
    fn receive(&mut self, from: SocketAddr, packet: Packet, now: Millis) {
        match packet {
            Packet::Gossip(message) => self.gossip.receive(from, message, now),
            Packet::Suspicions(suspicions) => self.apply(SuspectKind::Request, &suspicions, now),
            Packet::PartSuspicions(suspicions) => self.apply(SuspectKind::Part, &suspicions, now),
            _ => {}
        }
    }
}

impl Instance {
    fn apply(&mut self, kind: SuspectKind, suspicions: &[Suspicion], now: Millis) {
        for suspicion in suspicions {
            self.quarantine.apply_suspicion(kind, suspicion, now);
        }
    }
}

struct Instances {
    all: HashMap<SocketAddr, Instance>,
    rng: SmallRng,
    /// One in this many packets is lost; zero for none.
    loss: u32,
    now: Millis,
}

impl Instances {
    /// Creates instances that know each other.
    fn new(count: u16, loss: u32, seed: u64) -> Instances {
        let identities: Vec<Identity> = (0..count).map(identity).collect();
        let now = Millis(10_000);
        let all = identities.iter().map(|me| {
            let mut gossip = Gossip::new(*me, &[]);
            for other in &identities {
                let message = Message::new(other, Vec::new(), Content::Members);
                gossip.receive(other.address, message, now);
            }
            let instance = Instance {
                gossip,
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

    /// Ends a server under a request of an instance.
    fn end(&mut self, at: u16, server: u64, sent: u64) {
        let instance = self.all.get_mut(&identity(at).address).unwrap();
        let run = Run {
            content: CONTENT.into(),
            server: Incarnation(server),
            sent: Millis(sent),
            began: None,
            writing: None,
        };
        instance.quarantine.run_cut(run, self.now);
        instance
            .quarantine
            .server_ended(Incarnation(server), self.now);
    }

    /// Runs one round, at the end of which its messages have arrived.
    fn round(&mut self) {
        let now = self.now;
        let mut packets = Vec::new();
        for (from, instance) in &mut self.all {
            let messages = instance.gossip.round(Load::default(), now);
            let suspicions = suspicion_packets(&mut instance.quarantine, &instance.gossip, now);
            let bytes = suspicions.iter().map(|(_, packet)| packet.encode().len());
            instance.sent += bytes.sum::<usize>();
            let news = messages.into_iter();
            let news = news.map(|(to, message)| (to, Packet::Gossip(message)));
            packets.extend(
                suspicions
                    .into_iter()
                    .chain(news)
                    .map(|(to, packet)| (*from, to, packet)),
            );
        }
        self.now = now + LATENCY;
        for (from, to, packet) in packets {
            let lost = self.loss > 0 && self.rng.random_range(0..self.loss) == 0;
            if let (false, Some(instance)) = (lost, self.all.get_mut(&to)) {
                instance.receive(from, packet, self.now);
            }
        }
        self.now = now + ROUND;
    }

    /// Ends a server under a request of an instance, which was sent a moment ago.
    fn cut(&mut self, at: u16, server: u64, content: &RequestContent) {
        let instance = self.all.get_mut(&identity(at).address).unwrap();
        let run = Run {
            content: content.clone(),
            server: Incarnation(server),
            sent: Millis(self.now.0 - 80),
            began: None,
            writing: None,
        };
        instance.quarantine.run_cut(run, self.now);
        instance
            .quarantine
            .server_ended(Incarnation(server), self.now);
    }

    /// Number of instances that would still send the request.
    fn unaware(&self) -> usize {
        self.unaware_of(&CONTENT.into())
    }

    fn unaware_of(&self, content: &RequestContent) -> usize {
        let all = self.all.values();
        let unaware = all.filter(|one| one.quarantine.admit(content, self.now).is_ok());
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

/// A request ends a server, and half a second later another one at another instance. All instances
/// must know both within the stable window, despite lost datagrams, since the caller may retry at
/// any of them.
#[test_case(7, 0; "few instances")]
#[test_case(7, 3; "few instances, a third is lost")]
#[test_case(195, 0; "two hundred")]
#[test_case(195, 5; "two hundred, a fifth is lost")]
#[test_case(400, 0; "four hundred")]
#[test_case(400, 3; "four hundred, a third is lost")]
fn suspicions_reach_every_instance_in_time(count: u16, loss: u32) {
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
            assert!(span <= STABLE_WINDOW, "{left} unaware after {span}");
        }
        let most = fleet.all.values().map(|one| one.sent).max();
        println!(
            "{count} instances, seed {seed}: all aware after {}, at most {} bytes sent",
            fleet.now.since(ended),
            most.unwrap_or_default()
        );
    }
}

/// Number of runs on a server when it ends, and of shared parts of the prompt of each.
const RUNS_AT_END: u128 = 48;
const PARTS: u128 = 3;

/// Guards against news of a part that crashes servers that arrive late because those of hundreds of other
/// suspects, all parts of all requests that ran on the same servers, are told as well.
#[test_case(7, 0; "few instances")]
#[test_case(7, 3; "few instances, a third is lost")]
#[test_case(195, 5; "two hundred, a fifth is lost")]
fn suspicions_of_parts_reach_every_instance_in_time(count: u16, loss: u32) {
    let bad = RequestContent {
        request: CONTENT,
        parts: [Fingerprint(8)].into(),
    };
    for seed in 0..2 {
        let mut fleet = Instances::new(count, loss, seed);
        let mut ended = fleet.now;
        for server in 0..5u64 {
            ended = fleet.now;
            for run in 0..RUNS_AT_END {
                let number = u128::from(server) * RUNS_AT_END + run;
                let parts = (0..PARTS).map(|part| Fingerprint(1000 + number * PARTS + part));
                let content = RequestContent {
                    request: Fingerprint(100_000 + number),
                    parts: parts.collect(),
                };
                fleet.cut(number as u16 % count, server, &content);
            }
            let own = RequestContent {
                request: Fingerprint(200_000 + u128::from(server)),
                ..bad.clone()
            };
            fleet.cut(server as u16 * 31 % count, server, &own);
            for _ in 0..4 {
                fleet.round();
            }
        }
        while fleet.unaware_of(&bad) > 0 {
            fleet.round();
            let span = fleet.now.since(ended);
            let left = fleet.unaware_of(&bad);
            assert!(span <= STABLE_WINDOW, "{left} unaware after {span}");
        }
        let most = fleet.all.values().map(|one| one.sent).max();
        println!(
            "{count} instances, seed {seed}: all aware {} after the last end, at most {} bytes sent",
            fleet.now.since(ended),
            most.unwrap_or_default()
        );
    }
}

/// Number of servers, and concurrent requests at each.
const SERVERS: usize = 100;
const RUNS: usize = 24;

/// Duration of a request, in rounds.
const RUN_ROUNDS: u32 = 15;

/// A request that doesn't cause crashes.
struct InnocentRequest {
    content: Fingerprint,
    attempts: u32,
    /// The servers on which its copies run, and when each copy was sent.
    copies: Vec<(usize, Millis)>,
    left: u32,
}

/// For a minute, one server in a hundred crashes about every half second, and sometimes a rack of
/// eight crashes at once. Callers retry immediately, up to four times, and a third of them have two
/// copies of their request running. None of the requests causes a crash. At most one in five
/// hundred of them, plus five, may be refused by mistake.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn many_crashes_quarantine_hardly_any_innocent_request(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut quarantine = Quarantine::default();
    let mut incarnations = vec![0u64; SERVERS];
    let mut requests: Vec<InnocentRequest> = Vec::new();
    let (mut total, mut held, mut crashes) = (0u32, 0u32, 0u32);
    for round in 0..600 {
        let now = Millis(1000 + round * ROUND.0);
        while requests.len() < SERVERS * RUNS / 2 {
            total += 1;
            let copies = if rng.random_range(0..3) == 0 { 2 } else { 1 };
            let places = (0..copies).map(|_| (rng.random_range(0..SERVERS), now));
            requests.push(InnocentRequest {
                content: Fingerprint(u128::from(total)),
                attempts: 0,
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
            let incarnation = Incarnation((*server as u64) << 32 | incarnations[*server]);
            for request in &requests {
                let runs = request.copies.iter().filter(|(at, _)| at == server);
                for (_, sent) in runs {
                    let run = Run {
                        content: request.content.into(),
                        server: incarnation,
                        sent: *sent,
                        began: None,
                        writing: None,
                    };
                    quarantine.run_cut(run, now);
                }
            }
            quarantine.server_ended(incarnation, now);
            incarnations[*server] += 1;
        }
        requests.retain_mut(|request| {
            request
                .copies
                .retain(|(server, _)| !crashed.contains(server));
            if request.copies.is_empty() {
                request.attempts += 1;
                if quarantine.admit(&request.content.into(), now).is_err() {
                    held += 1;
                    return false;
                }
                if request.attempts > 4 {
                    return false;
                }
                request.copies.push((rng.random_range(0..SERVERS), now));
                request.left = RUN_ROUNDS;
                return true;
            }
            request.left = request.left.saturating_sub(1);
            if request.left == 0 {
                quarantine.served(&request.content.into(), now, now);
            }
            request.left > 0
        });
    }
    println!("seed {seed}: {crashes} crashes, {held} of {total} requests refused");
    assert!(held <= 5 + total / 500, "{held} of {total} were refused");
}
