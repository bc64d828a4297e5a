//! Tests of gossip between instances.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_gateway::CachedPrefix;
use crocushold_gateway::Content;
use crocushold_gateway::EngineQueue;
use crocushold_gateway::Gossip;
use crocushold_gateway::Identity;
use crocushold_gateway::Load;
use crocushold_gateway::MemberEntry;
use crocushold_gateway::Members;
use crocushold_gateway::Message;
use crocushold_gateway::ServiceWork;
use test_case::test_case;

const ZONES: u32 = 4;
const ROUND: u64 = 100;

fn identity(number: u8) -> Identity {
    Identity {
        address: ([10, 0, 0, number], 7340).into(),
        zone: u32::from(number) % ZONES,
        capacity: 12,
    }
}

fn identity_of(address: &SocketAddr) -> u8 {
    match address {
        SocketAddr::V4(address) => address.ip().octets()[3],
        SocketAddr::V6(_) => unreachable!("all addresses are IPv4"),
    }
}

fn load(engine: u32, read_ms: u32) -> Load {
    Load {
        queues: vec![EngineQueue { engine, read_ms }],
        ..Load::default()
    }
}

fn cached(number: u32) -> CachedPrefix {
    CachedPrefix {
        prefix: u32::MAX - number,
        engine: u32::MAX - number,
    }
}

fn own(from: u8, load: Load) -> (SocketAddr, Message) {
    let from = identity(from);
    let message = Message::new(&from, Vec::new(), Content::Instance(load));
    (from.address, message)
}

/// A network that delivers messages before the next round, except to and from failed instances.
struct Network {
    instances: BTreeMap<SocketAddr, Gossip>,
    loads: BTreeMap<SocketAddr, Load>,
    down: Vec<SocketAddr>,
    now: Millis,
    /// Maximum number of messages that an instance sent in a round.
    max_sent: usize,
    /// Number of messages sent by all instances.
    sent: usize,
}

impl Network {
    fn new(count: u8) -> Network {
        let seeds = [identity(0).address, identity(1).address];
        let instances = (0..count).map(|number| {
            let identity = identity(number);
            (identity.address, Gossip::new(identity, &seeds))
        });
        Network {
            instances: instances.collect(),
            loads: BTreeMap::new(),
            down: Vec::new(),
            now: Millis(10_000),
            max_sent: 0,
            sent: 0,
        }
    }

    /// The placers that the instances know.
    fn placers(&self) -> BTreeSet<Option<SocketAddr>> {
        let up = self.instances.iter();
        let up = up.filter(|(address, _)| !self.down.contains(address));
        up.map(|(_, instance)| instance.placer(self.now)).collect()
    }

    fn run(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.now += Millis(ROUND);
            let mut sent = Vec::new();
            for (from, instance) in &mut self.instances {
                if self.down.contains(from) {
                    continue;
                }
                let own = self.loads.get(from).cloned().unwrap_or_default();
                let messages = instance.round(own, self.now);
                self.max_sent = self.max_sent.max(messages.len());
                self.sent += messages.len();
                sent.extend(messages.into_iter().map(|message| (*from, message)));
            }
            for (from, (to, message)) in sent {
                assert!(message.encode().len() <= 1400);
                let up = !self.down.contains(&to);
                if let Some(instance) = self.instances.get_mut(&to).filter(|_| up) {
                    instance.receive(from, message, self.now);
                }
            }
        }
    }

    /// For each running instance, its estimate of the other instances' queue at an engine.
    fn estimates(&self, engine: u32) -> Vec<(SocketAddr, f64)> {
        let up = self.instances.iter();
        let up = up.filter(|(address, _)| !self.down.contains(address));
        let estimates = up.map(|(address, instance)| {
            let others = instance.others_load(self.now);
            (*address, others.queue_at(engine))
        });
        estimates.collect()
    }
}

/// Eighty instances start with two common seeds. Within six seconds each must know all others of
/// its zone, and all must agree on the collector.
#[test]
fn instances_discover_each_other_through_seeds() {
    let mut network = Network::new(80);
    network.run(60);
    for (number, instance) in (0..80_u8).zip(network.instances.values()) {
        assert_eq!(instance.live_members(), 19, "{number}");
        let collector = identity(number % ZONES as u8).address;
        let reported = Some(collector).filter(|_| number >= ZONES as u8);
        assert_eq!(instance.collector(), reported, "{number}");
    }
}

/// Eighty instances fill an engine in a burst, each with a ninth of a prompt, so that an instance
/// that only knows its own part sees an idle engine. Within half a second all must know nearly the
/// whole queue, without their own part. When instances sent messages to each other in turn, they
/// heard from each other every 2.6 s.
#[test]
fn a_queue_is_known_to_all_within_half_a_second() {
    let mut network = Network::new(80);
    network.run(60);
    for number in 0..80 {
        network.loads.insert(identity(number).address, load(7, 10));
    }
    network.run(5);
    for (address, estimate) in network.estimates(7) {
        assert!(
            (600.0..=800.0).contains(&estimate),
            "{address} estimates {estimate}"
        );
    }
    network.loads.clear();
    network.run(5);
    for (address, estimate) in network.estimates(7) {
        assert!(estimate < 40.0, "{address} still estimates {estimate}");
    }
}

/// An instance must not receive its own load back, since it would count its own requests twice.
#[test]
fn an_instance_does_not_receive_its_own_load() {
    let mut network = Network::new(8);
    network.run(60);
    let busy = identity(5).address;
    network.loads.insert(busy, load(7, 500));
    network.run(8);
    for (address, estimate) in network.estimates(7) {
        if address == busy {
            assert!(estimate < 100.0, "{address} estimates {estimate}");
        } else {
            assert!(estimate > 350.0, "{address} estimates {estimate}");
        }
    }
}

/// The collectors of two zones lose power, and their instances receive no more loads of the fleet.
/// Within two seconds they must have chosen other collectors, and all must know the queue again.
#[test]
fn a_failed_collector_is_replaced() {
    let mut network = Network::new(40);
    network.run(60);
    for number in 0..40 {
        network.loads.insert(identity(number).address, load(7, 10));
    }
    // The lowest addresses of zones 0 and 1.
    network.down = vec![identity(0).address, identity(1).address];
    network.run(20);
    for (address, estimate) in network.estimates(7) {
        assert!(
            (250.0..=380.0).contains(&estimate),
            "{address} estimates {estimate}"
        );
    }
}

/// An instance that has lost power is still reported by those that heard from it last. Such reports
/// must not keep it in the membership.
#[test]
fn a_failed_instance_is_removed() {
    let mut network = Network::new(40);
    network.run(60);
    network.down = vec![identity(7).address];
    network.run(120);
    for (address, instance) in &network.instances {
        if !network.down.contains(address) {
            let zone = usize::from(identity_of(address) % ZONES as u8 == 7 % ZONES as u8);
            assert_eq!(instance.live_members(), 9 - zone, "{address}");
        }
    }
}

/// Independent of the number of instances, one that isn't a collector sends a few messages per
/// second, and a collector a bounded number: one for each instance of its zone, one for each other
/// zone, and eight replies to hellos.
#[test]
fn the_messages_are_bounded() {
    let mut network = Network::new(80);
    network.run(60);
    for number in 0..80 {
        network.loads.insert(identity(number).address, load(7, 10));
    }
    network.run(10);
    network.max_sent = 0;
    network.sent = 0;
    network.run(20);
    assert!(
        network.max_sent <= 20 + 3 + 8 + 1,
        "{} in a round",
        network.max_sent
    );
    // Each of 80 instances sends one message and receives one in each round, and sends a hello in
    // every tenth.
    assert!(
        network.sent <= 20 * (2 * 80 + 12 + 2 * 8),
        "{}",
        network.sent
    );
}

#[test]
fn the_instance_with_the_highest_capacity_is_collector() {
    let mut members = Members::new(identity(0));
    let strong = Identity {
        capacity: 50,
        ..identity(8)
    };
    members.observe(identity(4), Millis(1000));
    assert_eq!(
        members.collector(0, Millis(1000)),
        Some(identity(0).address)
    );
    members.observe(strong, Millis(1000));
    assert_eq!(members.collector(0, Millis(1000)), Some(strong.address));
    members.suspend(&strong.address, Millis(1000));
    assert_eq!(
        members.collector(0, Millis(1000)),
        Some(identity(0).address)
    );
    assert_eq!(members.collector(0, Millis(9000)), Some(strong.address));
}

#[test]
fn queues_of_others_add_up_and_decay() {
    let mut gossip = Gossip::new(identity(0), &[]);
    for (from, message) in [own(4, load(7, 300)), own(8, load(7, 100))] {
        gossip.receive(from, message, Millis(1000));
    }
    assert_eq!(gossip.others_load(Millis(1000)).queues[&7], 400.0);
    assert_eq!(gossip.others_load(Millis(1500)).queues[&7], 400.0);
    assert_eq!(gossip.others_load(Millis(1750)).queues[&7], 200.0);
    assert!(gossip.others_load(Millis(2000)).queues.is_empty());
    let (from, message) = own(4, load(8, 50));
    gossip.receive(from, message, Millis(2000));
    assert_eq!(
        gossip.others_load(Millis(2000)).queues.get(&7),
        None,
        "its queue there is gone"
    );
}

#[test]
fn a_message_fits_one_packet_and_survives_encoding() {
    let queues = (0..400).map(|engine| EngineQueue {
        engine: u32::MAX - engine,
        read_ms: engine * 100,
    });
    let work = (0..10).map(|service| ServiceWork {
        service: u32::MAX - service,
        lanes: [u32::MAX; 3],
        streams: [u32::MAX; 2],
    });
    let load = Load {
        queues: queues.collect(),
        work: work.collect(),
        cached: (0..200).map(cached).collect(),
        unlisted_max: u32::MAX,
        ..Load::default()
    };
    let names = (0..100).map(|number| MemberEntry {
        identity: identity(number),
        age: u16::MAX,
    });
    let message = Message::new(
        &identity(1),
        names.collect(),
        Content::Fleet(load, identity(0).address),
    );
    let bytes = message.encode();
    assert!(bytes.len() <= 1400, "{}", bytes.len());
    let Content::Fleet(reported, _) = &message.content else {
        unreachable!()
    };
    assert_eq!(
        reported.queues[0].read_ms, 39_900,
        "the longest queues come first"
    );
    assert_eq!(Message::decode(&bytes), Some(message));
}

#[test]
fn invalid_messages_are_ignored() {
    for bytes in [&b""[..], b"{", b"null", &[0xff; 64], &[0, 0, 200, 1, 1]] {
        assert_eq!(Message::decode(bytes), None);
    }
}

/// Engines are allocated to lanes by the work of the whole fleet. The work changes slowly and is
/// sent along with the queues. An instance without queues sends it twice a second.
#[test]
fn recent_work_is_known_to_all() {
    let mut network = Network::new(80);
    network.run(60);
    for number in 0..80 {
        let work = ServiceWork {
            service: 3,
            lanes: [10, 20, 30],
            streams: [160, 80],
        };
        let load = Load {
            work: vec![work],
            ..Load::default()
        };
        network.loads.insert(identity(number).address, load);
    }
    network.run(15);
    for (address, instance) in &network.instances {
        let news = instance.others_load(network.now).work[&3];
        assert!(
            (600.0..=830.0).contains(&news.work[0]),
            "{address} {news:?}"
        );
        let part = news.slow_streams / news.streams;
        assert!((0.45..=0.55).contains(&part), "{address} {news:?}");
    }
}

/// Datagrams arrive from ten thousand forged addresses. The state kept for them must be bounded to
/// 512 instances.
#[test]
fn state_of_forged_senders_is_bounded() {
    let mut gossip = Gossip::new(identity(0), &[]);
    for number in 0..10_000_u32 {
        let [_, a, b, c] = number.to_be_bytes();
        let from = Identity {
            address: ([172, a, b, c], 7340).into(),
            ..identity(4)
        };
        let message = Message::new(&from, Vec::new(), Content::Instance(load(7, 1)));
        gossip.receive(from.address, message, Millis(1000));
    }
    assert_eq!(gossip.others_load(Millis(1000)).queues[&7], 512.0);
    let messages = gossip.round(Load::default(), Millis(1000));
    assert!(messages.len() <= 600, "{}", messages.len());
}

/// An instance sends a prompt to an engine. All others must learn within three steps that the
/// engine caches it, or they would have it prefilled again elsewhere. The announcement must be
/// passed on once, not in every round.
#[test]
fn cached_prefixes_are_announced_to_all_once() {
    let mut network = Network::new(80);
    network.run(60);
    for instance in network.instances.values_mut() {
        instance.take_cached_prefixes();
    }
    let sender = identity(17).address;
    let load = Load {
        cached: vec![cached(3)],
        ..Load::default()
    };
    network.loads.insert(sender, load);
    network.run(1);
    network.loads.remove(&sender);
    network.run(3);
    for (address, instance) in &mut network.instances {
        let heard = instance.take_cached_prefixes();
        let expected: &[CachedPrefix] = if *address == sender {
            &[]
        } else {
            &[cached(3)]
        };
        // The announcement may return to its sender through its collector.
        assert!(heard == [cached(3)] || heard == expected, "{address}");
    }
    network.run(20);
    for (address, instance) in &mut network.instances {
        assert!(instance.take_cached_prefixes().is_empty(), "{address}");
    }
}

/// A starting fleet announces more than fits into a message. All announcements are sent over
/// several rounds, up to the bound on the queue.
#[test]
fn many_announcements_are_sent_over_several_rounds() {
    let me = identity(0);
    let mut gossip = Gossip::new(me, &[]);
    let load = Load {
        cached: (0..100).map(cached).collect(),
        ..Load::default()
    };
    for sender in [4, 8, 12] {
        // A message holds a part of them. Three senders announce the same ones.
        let (from, message) = own(sender, load.clone());
        gossip.receive(from, message, Millis(1000));
    }
    let (from, message) = own(16, load);
    let rest = Load {
        cached: (32..64).map(cached).collect(),
        ..Load::default()
    };
    gossip.receive(from, message, Millis(1000));
    let (from, message) = own(20, rest);
    gossip.receive(from, message, Millis(1000));
    let mut reported = Vec::new();
    for round in 0..4 {
        for (to, message) in gossip.round(Load::default(), Millis(1000 + round * ROUND)) {
            if let Content::Fleet(load, _) = message.content
                && to == from
            {
                reported.extend(load.cached);
            }
        }
    }
    let expected: Vec<CachedPrefix> = (0..64).map(cached).collect();
    assert_eq!(reported, expected, "each once");
}

/// With 140 engines that have a queue, those that weren't listed looked idle to the whole fleet,
/// which sent all requests there. All instances must know all queues, in messages of one packet
/// each.
#[test]
fn all_engines_with_a_queue_are_listed() {
    let mut network = Network::new(80);
    network.run(60);
    let queues = (1..=140).map(|engine: u32| EngineQueue {
        engine: engine.wrapping_mul(0x9e37_79b9),
        read_ms: 100 + engine,
    });
    let busy = Load {
        queues: queues.collect(),
        ..Load::default()
    };
    network.loads.insert(identity(5).address, busy.clone());
    network.run(8);
    for entry in &busy.queues {
        for (address, estimate) in network.estimates(entry.engine) {
            let reported = f64::from(entry.read_ms);
            let expected = if address == identity(5).address {
                0.0
            } else {
                reported
            };
            assert!(
                (estimate - expected).abs() < 1.0,
                "{address}: {estimate} of {reported}"
            );
        }
    }
}

/// All engines of the largest planned fleet have a queue. Not all fit into the messages of an
/// instance: the longest queues are listed, and the others are known to be at most as long as the
/// shortest of those. No engine may be assumed to be idle.
#[test_case(400; "400 engines")]
#[test_case(5900; "5,900 engines")]
fn an_engine_that_is_not_listed_is_not_idle(engines: u32) {
    let mut network = Network::new(8);
    network.run(60);
    let hash = |engine: u32| engine.wrapping_mul(0x9e37_79b9);
    let queues = (1..=engines).map(|engine| EngineQueue {
        engine: hash(engine),
        read_ms: 1000 + engine,
    });
    let busy = Load {
        queues: queues.collect(),
        ..Load::default()
    };
    let sender = identity(5).address;
    network.loads.insert(sender, busy);
    network.run(8);
    for engine in [1, engines / 2, engines] {
        for (address, estimate) in network.estimates(hash(engine)) {
            let reported = address != sender;
            assert!(
                !reported || estimate >= 500.0,
                "{address} estimates {estimate} of {engine}"
            );
        }
    }
    assert!(network.instances[&sender].is_truncated());
}

/// Eighty instances in four zones agree on the placer, which then loses power. Within two and a
/// half seconds they must agree on another one, without choosing an instance that has no loads in
/// the meantime.
#[test]
fn all_agree_on_the_placer() {
    let mut network = Network::new(80);
    network.run(60);
    for number in 0..80 {
        network.loads.insert(identity(number).address, load(7, 10));
    }
    network.run(10);
    assert_eq!(
        network.placers(),
        BTreeSet::from([Some(identity(0).address)])
    );
    network.down = vec![identity(0).address];
    network.run(25);
    assert_eq!(
        network.placers(),
        BTreeSet::from([Some(identity(1).address)])
    );
}

/// An instance that has just started knows no other instance. It must not become the placer, since
/// it only knows its own requests, and all instances that start at once would choose the same
/// engines.
#[test]
fn an_instance_that_has_just_started_is_not_the_placer() {
    let mut gossip = Gossip::new(identity(3), &[identity(0).address]);
    gossip.round(load(7, 10), Millis(100));
    assert_eq!(gossip.placer(Millis(100)), None);
}

/// Guards against an instance that is alone in its availability zone, gets no loads from there, and
/// knows no placer: it could send nothing to servers that are cold or name a limit.
#[test]
fn an_instance_alone_in_its_zone_knows_the_placer() {
    // Two instances in the first zone, one in each of the others.
    let mut network = Network::new(5);
    network.run(60);
    let placers = network.placers();
    assert_eq!(placers.len(), 1, "{placers:?}");
    assert!(placers.first().is_some_and(Option::is_some), "{placers:?}");
}
