//! What the instances tell each other, and what they make of it.

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
        SocketAddr::V6(_) => unreachable!("all addresses are of the fourth version"),
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

/// Instances whose messages arrive before the next round, but for those that are down.
struct Net {
    instances: BTreeMap<SocketAddr, Gossip>,
    loads: BTreeMap<SocketAddr, Load>,
    down: Vec<SocketAddr>,
    now: Millis,
    /// The most messages that an instance sent in a round.
    most: usize,
    /// Messages of all instances.
    sent: usize,
}

impl Net {
    fn new(count: u8) -> Net {
        let seeds = [identity(0).address, identity(1).address];
        let instances = (0..count).map(|number| {
            let identity = identity(number);
            (identity.address, Gossip::new(identity, &seeds))
        });
        Net {
            instances: instances.collect(),
            loads: BTreeMap::new(),
            down: Vec::new(),
            now: Millis(10_000),
            most: 0,
            sent: 0,
        }
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
                self.most = self.most.max(messages.len());
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

    /// What each instance that is up believes that the others have waiting at an engine.
    fn beliefs(&self, engine: u32) -> Vec<(SocketAddr, f64)> {
        let up = self.instances.iter();
        let up = up.filter(|(address, _)| !self.down.contains(address));
        let beliefs = up.map(|(address, instance)| {
            let others = instance.others_load(self.now);
            (*address, others.queue_at(engine))
        });
        beliefs.collect()
    }
}

/// Eighty instances start with two seeds between them. Within six seconds each has heard of all others of
/// its zone, and they agree on who collects for it.
#[test]
fn a_fleet_finds_itself_by_its_seeds() {
    let mut net = Net::new(80);
    net.run(60);
    for (number, instance) in (0..80_u8).zip(net.instances.values()) {
        assert_eq!(instance.live_members(), 19, "{number}");
        let collector = identity(number % ZONES as u8).address;
        let told = Some(collector).filter(|_| number >= ZONES as u8);
        assert_eq!(instance.collector(), told, "{number}");
    }
}

/// A rush fills an engine from eighty instances. Each one's part is a ninth of a prompt; whoever goes by
/// it sees an idle engine. Within half a second all of them see nearly the whole queue, their own part
/// left out. Told directly in turn, they heard of each other every 2.6 s.
#[test]
fn all_know_of_a_queue_within_half_a_second() {
    let mut net = Net::new(80);
    net.run(60);
    for number in 0..80 {
        net.loads.insert(identity(number).address, load(7, 10));
    }
    net.run(5);
    for (address, belief) in net.beliefs(7) {
        assert!(
            (600.0..=800.0).contains(&belief),
            "{address} believes {belief}"
        );
    }
    net.loads.clear();
    net.run(5);
    for (address, belief) in net.beliefs(7) {
        assert!(belief < 40.0, "{address} still believes {belief}");
    }
}

/// What an instance has itself isn't told back to it: it would count its own requests twice.
#[test]
fn an_instance_hears_nothing_of_itself() {
    let mut net = Net::new(8);
    net.run(60);
    let busy = identity(5).address;
    net.loads.insert(busy, load(7, 500));
    net.run(8);
    for (address, belief) in net.beliefs(7) {
        if address == busy {
            assert!(belief < 100.0, "{address} believes {belief}");
        } else {
            assert!(belief > 350.0, "{address} believes {belief}");
        }
    }
}

/// The collectors of two zones lose their power. Their instances hear nothing more of the fleet; within
/// two seconds they have turned to others, and all know what waits again.
#[test]
fn a_lost_collector_is_replaced() {
    let mut net = Net::new(40);
    net.run(60);
    for number in 0..40 {
        net.loads.insert(identity(number).address, load(7, 10));
    }
    // The least addresses of the zones 0 and 1.
    net.down = vec![identity(0).address, identity(1).address];
    net.run(20);
    for (address, belief) in net.beliefs(7) {
        assert!(
            (250.0..=380.0).contains(&belief),
            "{address} believes {belief}"
        );
    }
}

/// An instance that lost its power is named by those that heard of it last. It must not be kept alive by
/// its name going round.
#[test]
fn one_that_is_gone_is_forgotten() {
    let mut net = Net::new(40);
    net.run(60);
    net.down = vec![identity(7).address];
    net.run(120);
    for (address, instance) in &net.instances {
        if !net.down.contains(address) {
            let zone = usize::from(identity_of(address) % ZONES as u8 == 7 % ZONES as u8);
            assert_eq!(instance.live_members(), 9 - zone, "{address}");
        }
    }
}

/// However many instances there are, one that doesn't collect sends some messages a second, and one that
/// does a bounded number: one for each instance of its zone, one for each other zone, and eight answers to those that ask for names.
#[test]
fn the_messages_are_bounded() {
    let mut net = Net::new(80);
    net.run(60);
    for number in 0..80 {
        net.loads.insert(identity(number).address, load(7, 10));
    }
    net.run(10);
    net.most = 0;
    net.sent = 0;
    net.run(20);
    assert!(net.most <= 20 + 3 + 8 + 1, "{} in a round", net.most);
    // Each of 80 tells one in each round, is told once, and greets another once in ten.
    assert!(net.sent <= 20 * (2 * 80 + 12 + 2 * 8), "{}", net.sent);
}

#[test]
fn the_one_with_the_most_to_spare_collects() {
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
fn what_others_have_waiting_adds_up_and_fades() {
    let mut sharing = Gossip::new(identity(0), &[]);
    for (from, message) in [own(4, load(7, 300)), own(8, load(7, 100))] {
        sharing.receive(from, message, Millis(1000));
    }
    assert_eq!(sharing.others_load(Millis(1000)).queues[&7], 400.0);
    assert_eq!(sharing.others_load(Millis(1500)).queues[&7], 400.0);
    assert_eq!(sharing.others_load(Millis(1750)).queues[&7], 200.0);
    assert!(sharing.others_load(Millis(2000)).queues.is_empty());
    let (from, message) = own(4, load(8, 50));
    sharing.receive(from, message, Millis(2000));
    assert_eq!(
        sharing.others_load(Millis(2000)).queues.get(&7),
        None,
        "it has nothing there any more"
    );
}

#[test]
fn a_message_fits_one_packet_and_is_read_back() {
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
    let Content::Fleet(told, _) = &message.content else {
        unreachable!()
    };
    assert_eq!(
        told.queues[0].read_ms, 39_900,
        "the longest queues go first"
    );
    assert_eq!(Message::decode(&bytes), Some(message));
}

#[test]
fn what_is_no_message_is_ignored() {
    for bytes in [&b""[..], b"{", b"null", &[0xff; 64], &[0, 0, 200, 1, 1]] {
        assert_eq!(Message::decode(bytes), None);
    }
}

/// The engines are divided by the work of the whole fleet. It changes slowly and goes along with what waits;
/// an instance that has nothing waiting tells it twice a second.
#[test]
fn all_know_of_the_work_of_late() {
    let mut net = Net::new(80);
    net.run(60);
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
        net.loads.insert(identity(number).address, load);
    }
    net.run(15);
    for (address, instance) in &net.instances {
        let news = instance.others_load(net.now).work[&3];
        assert!(
            (600.0..=830.0).contains(&news.work[0]),
            "{address} {news:?}"
        );
        let part = news.strained / news.streams;
        assert!((0.45..=0.55).contains(&part), "{address} {news:?}");
    }
}

/// Datagrams come from ten thousand made-up addresses. What is kept of them is bounded: 512 instances count.
#[test]
fn made_up_senders_are_bounded() {
    let mut sharing = Gossip::new(identity(0), &[]);
    for number in 0..10_000_u32 {
        let [_, a, b, c] = number.to_be_bytes();
        let from = Identity {
            address: ([172, a, b, c], 7340).into(),
            ..identity(4)
        };
        let message = Message::new(&from, Vec::new(), Content::Instance(load(7, 1)));
        sharing.receive(from.address, message, Millis(1000));
    }
    assert_eq!(sharing.others_load(Millis(1000)).queues[&7], 512.0);
    let messages = sharing.round(Load::default(), Millis(1000));
    assert!(messages.len() <= 600, "{}", messages.len());
}

/// An instance sends a prompt to an engine. All others must know within three steps that it is held there, or they
/// have it read again elsewhere; and it is passed on once, not in each round for ever.
#[test]
fn all_hear_once_what_an_engine_holds() {
    let mut net = Net::new(80);
    net.run(60);
    for instance in net.instances.values_mut() {
        instance.take_cached_prefixes();
    }
    let teller = identity(17).address;
    let load = Load {
        cached: vec![cached(3)],
        ..Load::default()
    };
    net.loads.insert(teller, load);
    net.run(1);
    net.loads.remove(&teller);
    net.run(3);
    for (address, instance) in &mut net.instances {
        let heard = instance.take_cached_prefixes();
        let expected: &[CachedPrefix] = if *address == teller {
            &[]
        } else {
            &[cached(3)]
        };
        // Its own collector's answer may bring it back to the one that told it.
        assert!(heard == [cached(3)] || heard == expected, "{address}");
    }
    net.run(20);
    for (address, instance) in &mut net.instances {
        assert!(instance.take_cached_prefixes().is_empty(), "{address}");
    }
}

/// A fleet that starts tells of more than a message holds. All of it goes out over several rounds, as far as
/// the bound on what waits.
#[test]
fn many_holdings_go_out_over_several_rounds() {
    let me = identity(0);
    let mut sharing = Gossip::new(me, &[]);
    let load = Load {
        cached: (0..100).map(cached).collect(),
        ..Load::default()
    };
    for sender in [4, 8, 12] {
        // A message holds a part of them; three senders tell three times the same.
        let (from, message) = own(sender, load.clone());
        sharing.receive(from, message, Millis(1000));
    }
    let (from, message) = own(16, load);
    let rest = Load {
        cached: (32..64).map(cached).collect(),
        ..Load::default()
    };
    sharing.receive(from, message, Millis(1000));
    let (from, message) = own(20, rest);
    sharing.receive(from, message, Millis(1000));
    let mut told = Vec::new();
    for round in 0..4 {
        for (to, message) in sharing.round(Load::default(), Millis(1000 + round * ROUND)) {
            if let Content::Fleet(load, _) = message.content
                && to == from
            {
                told.extend(load.cached);
            }
        }
    }
    let expected: Vec<CachedPrefix> = (0..64).map(cached).collect();
    assert_eq!(told, expected, "each once");
}

/// A hundred and forty engines have something waiting. Named in part, those left out looked idle to the whole
/// fleet, which sent all there. All instances know all queues, in messages of one packet each.
#[test]
fn all_engines_are_named() {
    let mut net = Net::new(80);
    net.run(60);
    let queues = (1..=140).map(|engine: u32| EngineQueue {
        engine: engine.wrapping_mul(0x9e37_79b9),
        read_ms: 100 + engine,
    });
    let busy = Load {
        queues: queues.collect(),
        ..Load::default()
    };
    net.loads.insert(identity(5).address, busy.clone());
    net.run(8);
    for entry in &busy.queues {
        for (address, belief) in net.beliefs(entry.engine) {
            let told = f64::from(entry.read_ms);
            let expected = if address == identity(5).address {
                0.0
            } else {
                told
            };
            assert!(
                (belief - expected).abs() < 1.0,
                "{address}: {belief} of {told}"
            );
        }
    }
}

/// As many engines as the largest fleet is to have, all with a queue. Not all fit into what an instance may tell:
/// the longest are named, and of the others it is known that they may have as much as the shortest of those. None
/// is taken to be idle.
#[test_case(400; "400 engines")]
#[test_case(5900; "5,900 engines")]
fn an_engine_that_is_not_named_is_not_idle(engines: u32) {
    let mut net = Net::new(8);
    net.run(60);
    let hash = |engine: u32| engine.wrapping_mul(0x9e37_79b9);
    let queues = (1..=engines).map(|engine| EngineQueue {
        engine: hash(engine),
        read_ms: 1000 + engine,
    });
    let busy = Load {
        queues: queues.collect(),
        ..Load::default()
    };
    let teller = identity(5).address;
    net.loads.insert(teller, busy);
    net.run(8);
    for engine in [1, engines / 2, engines] {
        for (address, belief) in net.beliefs(hash(engine)) {
            let told = address != teller;
            assert!(
                !told || belief >= 500.0,
                "{address} believes {belief} of {engine}"
            );
        }
    }
    assert!(net.instances[&teller].is_truncated());
}

/// Eighty instances in four zones agree on one that places for all. It loses its power; within two and a half
/// seconds they agree on another one, and meanwhile nobody names one that knows nothing.
#[test]
fn all_agree_on_who_places() {
    let mut net = Net::new(80);
    net.run(60);
    for number in 0..80 {
        net.loads.insert(identity(number).address, load(7, 10));
    }
    net.run(10);
    let placers = |net: &Net| {
        let up = net.instances.iter();
        let up = up.filter(|(address, _)| !net.down.contains(address));
        let placers: BTreeSet<_> = up.map(|(_, instance)| instance.placer(net.now)).collect();
        placers
    };
    assert_eq!(placers(&net), BTreeSet::from([Some(identity(0).address)]));
    net.down = vec![identity(0).address];
    net.run(25);
    assert_eq!(placers(&net), BTreeSet::from([Some(identity(1).address)]));
}

/// An instance that has just started has heard of nobody. It doesn't place, as it knows no more than its own
/// requests, and all that start at once would choose the same engines.
#[test]
fn an_instance_that_starts_does_not_place() {
    let mut sharing = Gossip::new(identity(3), &[identity(0).address]);
    sharing.round(load(7, 10), Millis(100));
    assert_eq!(sharing.placer(Millis(100)), None);
}
