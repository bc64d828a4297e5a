//! Tests of instances that start: how soon they know the placer, and what that costs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Range;

use crocushold_base::Millis;
use crocushold_gateway::EngineQueue;
use crocushold_gateway::FirstRead;
use crocushold_gateway::Gossip;
use crocushold_gateway::Identity;
use crocushold_gateway::Load;
use crocushold_gateway::Message;
use crocushold_gateway::Packet;
use crocushold_gateway::ReturnTimes;
use crocushold_gateway::ServiceWork;
use crocushold_gateway::first_placer_wait;
use crocushold_gateway::return_delay;
use test_case::test_case;

const ROUND: Millis = Millis(100);

/// Time that a message takes, as between availability zones.
const LATENCY: Millis = Millis(2);

/// The bound on the time from the first listing to a placer. The instances here start no
/// earlier than their listing would arrive.
const PLACER_BOUND: Millis = Millis(300);

/// Bytes a second that an instance may send or receive in steady state.
const STEADY_BYTES: usize = 4096;

#[derive(Clone)]
struct Node {
    gossip: Gossip,
    /// When it starts, and when its next round is due.
    starts: Millis,
    next_round: Millis,
    /// When it first knew a placer.
    placed: Option<Millis>,
    sent: usize,
    received: usize,
}

/// A network of instances.
#[derive(Clone)]
struct Network {
    zones: u16,
    seeds: Vec<SocketAddr>,
    nodes: BTreeMap<SocketAddr, Node>,
    /// Messages under way, by the time of their arrival.
    under_way: BTreeMap<Millis, Vec<(SocketAddr, SocketAddr, Message)>>,
    now: Millis,
    /// Of a hundred messages, how many are lost.
    loss_percent: u32,
    draws: u32,
    /// The load that each instance has.
    load: Load,
    /// Instances that are paused.
    paused: BTreeSet<SocketAddr>,
    /// Whether it becomes known that no process runs at an address.
    refuses: bool,
}

impl Network {
    /// A network whose first instance in each zone has the most capacity; three of these are the
    /// seeds.
    fn new(zones: u16) -> Network {
        let seeds = (0..zones.min(3)).map(address);
        Network {
            zones,
            seeds: seeds.collect(),
            nodes: BTreeMap::new(),
            under_way: BTreeMap::new(),
            now: Millis(1000),
            loss_percent: 0,
            draws: 1,
            load: Load::default(),
            paused: BTreeSet::new(),
            refuses: true,
        }
    }

    fn start(&mut self, number: u16, starts: Millis) {
        let identity = Identity {
            address: address(number),
            zone: u32::from(number % self.zones),
            capacity: if number < self.zones { 50 } else { 12 },
        };
        let node = Node {
            gossip: Gossip::new(identity, &self.seeds),
            starts,
            next_round: starts + ROUND,
            placed: None,
            sent: 0,
            received: 0,
        };
        self.nodes.insert(identity.address, node);
    }

    /// Starts instances within 0.3 s, the seeds last.
    fn start_together(&mut self, numbers: std::ops::Range<u16>) -> Millis {
        let from = self.now;
        for number in numbers {
            let after = if number < self.zones {
                250 + 25 * u64::from(number % 3)
            } else {
                u64::from(number) * 37 % 200
            };
            self.start(number, from + Millis(after));
        }
        from + Millis(300)
    }

    fn is_lost(&mut self) -> bool {
        self.draws = self
            .draws
            .wrapping_mul(1_664_525)
            .wrapping_add(1_013_904_223);
        (self.draws >> 16) % 100 < self.loss_percent
    }

    fn run_until(&mut self, end: Millis) {
        self.run_in_steps(end, Millis(1));
    }

    fn run_in_steps(&mut self, end: Millis, step: Millis) {
        while self.now < end {
            self.now += step;
            let now = self.now;
            let mut sent = Vec::new();
            let later = self.under_way.split_off(&(now + Millis(1)));
            let arrived = std::mem::replace(&mut self.under_way, later);
            for (from, to, message) in arrived.into_values().flatten() {
                let node = self.nodes.get_mut(&to);
                let runs = !self.paused.contains(&to);
                if let Some(node) = node.filter(|node| node.starts <= now && runs) {
                    node.received += size(&message);
                    node.gossip.receive(from, message, now);
                    sent.extend(node.step(now).into_iter().map(|message| (to, message)));
                }
            }
            let running: BTreeSet<SocketAddr> = self.nodes.keys().copied().collect();
            for (from, node) in &mut self.nodes {
                if node.starts > now || self.paused.contains(from) {
                    continue;
                }
                let mut messages = node.step(now);
                if node.next_round <= now {
                    node.next_round = now + ROUND;
                    messages.extend(node.gossip.round(self.load.clone(), now));
                    let asked = node.gossip.other_placer(now);
                    let asked = asked.filter(|_| !self.load.is_empty());
                    let questioned = node.gossip.silent_peers(now).into_iter().chain(asked);
                    for peer in questioned.filter(|peer| !running.contains(peer)) {
                        if self.refuses {
                            node.gossip.record_gone(peer, now);
                        }
                    }
                }
                sent.extend(messages.into_iter().map(|message| (*from, message)));
                if node.placed.is_none() && node.gossip.placer(now).is_some() {
                    node.placed = Some(now);
                }
            }
            for (from, (to, message)) in sent {
                self.nodes.get_mut(&from).expect("a sender").sent += size(&message);
                if !self.is_lost() {
                    let due = self.under_way.entry(now + LATENCY).or_default();
                    due.push((from, to, message));
                }
            }
        }
    }

    /// Whether all that run agree on one of the instances as placer.
    fn agree_on(&self, number: u16) -> bool {
        let nodes = self.nodes.iter();
        let mut running = nodes.filter(|(address, _)| !self.paused.contains(address));
        running.all(|(_, node)| node.gossip.placer(self.now) == Some(address(number)))
    }

    /// How long it takes until all that run agree on one of the instances as placer.
    fn time_to_agree_on(&mut self, number: u16) -> Millis {
        let from = self.now;
        while !self.agree_on(number) && self.now.since(from) < Millis(10_000) {
            self.run_until(self.now + Millis(1));
        }
        self.now.since(from)
    }

    fn placers(&self) -> BTreeSet<Option<SocketAddr>> {
        let nodes = self.nodes.values();
        nodes.map(|node| node.gossip.placer(self.now)).collect()
    }

    /// When the last of these instances first knew a placer.
    fn last_placed(&self, numbers: std::ops::Range<u16>) -> Millis {
        let placed = numbers.map(|number| self.nodes[&address(number)].placed);
        placed
            .max_by_key(|placed| placed.unwrap_or(Millis::MAX))
            .flatten()
            .unwrap_or(Millis::MAX)
    }

    fn expects_placer(&mut self, number: u16) -> bool {
        let node = self.nodes.get_mut(&address(number)).expect("a node");
        node.gossip.expects_placer(self.now)
    }

    fn clear_counts(&mut self) {
        for node in self.nodes.values_mut() {
            node.sent = 0;
            node.received = 0;
        }
    }

    fn most(&self, count: impl Fn(&Node) -> usize) -> usize {
        self.nodes.values().map(count).max().unwrap_or(0)
    }
}

impl Node {
    fn step(&mut self, now: Millis) -> Vec<(SocketAddr, Message)> {
        match self.gossip.next_step(now) {
            Some(due) if due <= now => self.gossip.step(now),
            _ => Vec::new(),
        }
    }
}

fn address(number: u16) -> SocketAddr {
    let [high, low] = number.to_be_bytes();
    ([10, 0, high, low], 7340).into()
}

fn size(message: &Message) -> usize {
    let size = Packet::Gossip(message.clone()).encode().len();
    assert!(size <= 1400);
    size
}

/// All instances lose power and start within 0.3 s, the seeds last. All must know the same placer
/// soon after the last seed is up; hellos once a second and eight answers a round took up to 1.6 s.
#[test_case(86, 3; "three zones")]
#[test_case(400, 23; "the largest fleet")]
fn instances_that_start_together_know_one_placer(count: u16, zones: u16) {
    let mut network = Network::new(zones);
    let up = network.start_together(0..count);
    network.run_until(up + PLACER_BOUND);
    assert!(network.last_placed(0..count) <= up + PLACER_BOUND);
    assert_eq!(network.placers(), BTreeSet::from([Some(address(0))]));
}

/// Half of the fleet starts, as after the loss of some zones or in a release, with the placer among
/// those that stayed.
#[test]
fn a_half_that_starts_knows_the_placer_of_the_others() {
    let mut network = Network::new(3);
    let up = network.start_together(0..43);
    network.run_until(up + Millis(5000));
    let up = network.start_together(43..86);
    network.run_until(up + PLACER_BOUND);
    assert!(network.last_placed(43..86) <= up);
    assert_eq!(network.placers(), BTreeSet::from([Some(address(0))]));
}

/// One instance starts. It must know the placer within a few round trips.
#[test]
fn one_that_starts_knows_the_placer_at_once() {
    let mut network = Network::new(3);
    let up = network.start_together(0..85);
    network.run_until(up + Millis(5000));
    let up = network.now + Millis(10);
    network.start(85, up);
    network.run_until(up + Millis(1000));
    assert!(network.last_placed(85..86) <= up + Millis(6 * LATENCY.0));
}

/// A tenth of all datagrams is lost while all start. No instance may depend on a single one.
#[test]
fn lost_datagrams_delay_a_start_little() {
    let mut network = Network::new(3);
    network.loss_percent = 10;
    let up = network.start_together(0..86);
    network.run_until(up + Millis(1000));
    assert!(network.last_placed(0..86) <= up + PLACER_BOUND);
    assert_eq!(network.placers(), BTreeSet::from([Some(address(0))]));
}

/// Two of three seeds stay down. The third must be enough.
#[test]
fn one_seed_is_enough() {
    let mut network = Network::new(3);
    let up = network.start_together(1..86);
    network.nodes.remove(&address(1));
    network.run_until(up + PLACER_BOUND);
    assert!(network.last_placed(2..86) <= up + PLACER_BOUND);
    assert_eq!(network.placers(), BTreeSet::from([Some(address(2))]));
}

/// No seed answers. The hellos must become rare, and requests must not go on waiting for a placer.
#[test]
fn an_instance_without_an_answer_asks_less_often() {
    let mut network = Network::new(3);
    network.start(7, Millis(1000));
    network.run_until(Millis(1500));
    assert!(network.expects_placer(7));
    network.run_until(Millis(5000));
    let first = network.most(|node| node.sent);
    assert!(first <= 4 * STEADY_BYTES, "{first} bytes in four seconds");
    network.clear_counts();
    network.run_until(Millis(9000));
    let later = network.most(|node| node.sent);
    assert!(later < first / 4, "{later} bytes after {first}");
    assert!(!network.expects_placer(7));
}

/// Four hundred instances in five zones start at once. What each sends and receives in the first
/// second must fit a link of 10 Mbit/s several times, and must be back at the steady amount after.
#[test]
fn the_bytes_of_a_start_are_bounded() {
    let mut network = Network::new(5);
    let up = network.start_together(0..400);
    network.run_until(up + Millis(700));
    let sent = network.most(|node| node.sent);
    let received = network.most(|node| node.received);
    assert!(sent <= 400_000, "{sent} sent");
    assert!(received <= 400_000, "{received} received");
    network.run_in_steps(up + Millis(4000), Millis(20));
    network.clear_counts();
    network.run_in_steps(up + Millis(9000), Millis(20));
    let mut steady: Vec<usize> = network.nodes.values().map(|node| node.sent / 5).collect();
    steady.sort_unstable();
    // The collectors send to all instances of their zones.
    assert!(steady[390] <= STEADY_BYTES, "{steady:?}");
}

/// The placer is stopped. It must hand over before it ends, while it still answers.
#[test]
fn a_placer_that_is_about_to_end_hands_over() {
    let mut network = Network::new(3);
    let up = network.start_together(0..86);
    network.run_until(up + Millis(5000));
    let placer = network.nodes.get_mut(&address(0)).expect("a node");
    placer.gossip.set_serving(false);
    network.run_until(network.now + PLACER_BOUND);
    assert_eq!(network.placers(), BTreeSet::from([Some(address(1))]));
}

/// An instance whose listing takes long must not become placer before it knows a server, although
/// it has the most capacity.
#[test]
fn an_instance_without_configuration_is_not_the_placer() {
    let mut network = Network::new(3);
    let up = network.start_together(1..86);
    network.run_until(up + Millis(5000));
    let up = network.now + Millis(10);
    network.start(0, up);
    let starting = network.nodes.get_mut(&address(0)).expect("a node");
    starting.gossip.set_serving(false);
    network.run_until(up + Millis(1000));
    assert_eq!(network.placers(), BTreeSet::from([Some(address(1))]));
    let started = network.nodes.get_mut(&address(0)).expect("a node");
    started.gossip.set_serving(true);
    // The placer that it replaces serves until then.
    network.run_until(up + Millis(2000));
    assert_eq!(network.placers(), BTreeSet::from([Some(address(0))]));
}

/// Requests wait only while the first read of the store runs, for a part of their callers' time.
#[test]
fn requests_wait_for_a_read_that_runs() {
    let limit = Some(Millis(1000));
    assert_eq!(FirstRead::Idle.longest_wait(limit), Millis::ZERO);
    assert_eq!(FirstRead::Running.longest_wait(limit), Millis(250));
    assert_eq!(
        FirstRead::Running.longest_wait(Some(Millis(60_000))),
        Millis(500)
    );
    assert!(FirstRead::Running.longest_wait(None) <= Millis(250));
}

/// Requests wait for the first placer for a small part of their time, as the instance can choose by
/// itself.
#[test]
fn requests_wait_for_the_first_placer_shortly() {
    assert_eq!(first_placer_wait(Millis(400)), Millis(40));
    assert_eq!(first_placer_wait(Millis(60_000)), Millis(100));
}

/// Callers of an outage must return soon after a start, later the longer it lasts, and not all in
/// the same moment.
#[test]
fn callers_return_spread_and_soon() {
    for elapsed in [0, 300, 10_000] {
        let delays: BTreeSet<Millis> = (0..1000)
            .map(|draw| return_delay(Millis(elapsed), draw * 7919))
            .collect();
        assert!(delays.len() >= 50, "{} moments", delays.len());
        assert!(delays.iter().all(|delay| *delay <= Millis::from_secs(1)));
        assert!(
            delays
                .iter()
                .all(|delay| *delay >= Millis(elapsed.min(650)))
        );
    }
}

/// Guards against sending callers away for a fixed time, or until after a lost store is asked again: without a
/// configuration they return once the next read can have ended, spread, and within a second.
#[test_case(Millis(20), Millis(0), 200..300; "the first read runs")]
#[test_case(Millis(50), Millis(300), 450..675; "the store is asked again in a moment")]
#[test_case(Millis(500), Millis(600), 500..750; "the outage has lasted longer than that")]
#[test_case(Millis(30_000), Millis(30_100), 650..975; "a long outage")]
#[test_case(Millis(50), Millis(9000), 650..975; "the store asks for more time than callers have")]
fn callers_return_when_the_store_can_have_been_read(
    now: Millis,
    next_read: Millis,
    expected: Range<u64>,
) {
    let mut returns = ReturnTimes::default();
    returns.record_failed_read(next_read);
    let delays: BTreeSet<u64> = (0..1000)
        .map(|draw| returns.unconfigured(now, draw * 7919).0)
        .collect();
    assert!(delays.len() >= 50, "{} moments", delays.len());
    assert!(
        delays.iter().all(|delay| expected.contains(delay)),
        "{delays:?}"
    );
}

/// Guards against a second's absence of callers whose servers are announced a moment after the start: they
/// return soon, spread, and the urgent ones first. A service that loses its servers later is no start.
#[test]
fn callers_of_servers_that_start_as_well_return_soon_and_in_order() {
    let mut returns = ReturnTimes::default();
    assert_eq!(returns.unserved(Millis(100), 0, 0), None);
    returns.record_configured(Millis(400));
    // A later configuration is no start.
    returns.record_configured(Millis(5000));
    for (now, latest) in [(400, 300), (800, 600), (2000, 975)] {
        let delays = |rank| -> BTreeSet<Millis> {
            let delays = (0..1000).map(|draw| returns.unserved(Millis(now), rank, draw * 7919));
            delays.map(|delay| delay.expect("a start")).collect()
        };
        let [urgent, usual, last] = [0, 1, 200].map(delays);
        assert!(urgent.len() >= 30, "{} moments", urgent.len());
        assert!(urgent.first() >= Some(&Millis(200)));
        assert!(urgent.last() < usual.first() && usual.last() < last.first());
        assert!(last.last() <= Some(&Millis(latest)), "{last:?}");
    }
    assert_eq!(returns.unserved(Millis(3400), 0, 0), None);
}

/// A fleet whose placer is the first instance, with or without load.
fn settled(count: u16, zones: u16, is_loaded: bool) -> Network {
    let mut network = Network::new(zones);
    if is_loaded {
        network.load.queues.push(EngineQueue {
            engine: 7,
            read_ms: 10,
        });
    }
    let up = network.start_together(0..count);
    network.run_until(up + Millis(500));
    network.run_in_steps(up + Millis(4000), Millis(10));
    assert!(network.agree_on(0));
    network
}

/// Guards against a killed placer whose part nobody takes for 1.2 s. Those that ask it find that it doesn't
/// run, and those that get no messages from it look.
#[test_case(86, 3, true, Millis(300); "three zones under load")]
#[test_case(86, 3, false, Millis(900); "three zones without load")]
fn a_killed_placer_is_replaced(count: u16, zones: u16, is_loaded: bool, bound: Millis) {
    let settled = settled(count, zones, is_loaded);
    // Rounds begin at other times in each.
    for after in [0, 70] {
        let mut network = settled.clone();
        network.run_until(network.now + Millis(after));
        network.nodes.remove(&address(0));
        let time = network.time_to_agree_on(1);
        println!("{count} instances: {time}");
        assert!(time <= bound, "{time}");
        network.run_in_steps(network.now + Millis(3000), Millis(10));
        assert!(network.agree_on(1));
    }
}

/// Guards against replacing a placer for a pause, and a fleet that asks one after the other: its process still
/// runs, and it goes on.
#[test_case(Millis(300))]
#[test_case(Millis(800))]
fn a_paused_placer_is_not_replaced(pause: Millis) {
    let mut network = settled(86, 3, true);
    let paused = network.now;
    network.paused.insert(address(0));
    while network.now < paused + pause {
        network.run_until(network.now + Millis(1));
        assert!(network.agree_on(0), "after {}", network.now.since(paused));
    }
    network.paused.clear();
    network.run_in_steps(network.now + Millis(3000), Millis(10));
    assert!(network.agree_on(0));
}

/// Guards against two placers after the one that was killed has started again: some have found another one by
/// then, and some haven't looked.
#[test_case(Millis(20))]
#[test_case(Millis(150))]
#[test_case(Millis(1000))]
fn a_killed_placer_that_starts_again_is_the_only_one(down: Millis) {
    let mut network = settled(86, 3, true);
    network.nodes.remove(&address(0));
    network.run_until(network.now + down);
    network.start(0, network.now + Millis(1));
    network.run_until(network.now + Millis(1500));
    assert!(network.agree_on(0), "{:?}", network.placers());
    network.run_in_steps(network.now + Millis(3000), Millis(10));
    assert!(network.agree_on(0), "{:?}", network.placers());
}

/// Guards against relying on a refusal: a placer whose machine is lost doesn't refuse anything, and is replaced
/// once it has been silent for too long.
#[test]
fn a_placer_whose_machine_is_lost_is_replaced() {
    let mut network = settled(86, 3, true);
    network.refuses = false;
    network.nodes.remove(&address(0));
    let time = network.time_to_agree_on(1);
    assert!(time <= Millis(2000), "{time}");
}

/// Guards against an instance that starts and allocates engines to lanes as if there were no work: its first answer from
/// the collector contains the work of the fleet.
#[test]
fn one_that_starts_is_told_the_work_of_the_fleet() {
    let mut network = Network::new(3);
    let work = ServiceWork {
        service: 5,
        lanes: [10, 20, 30],
        streams: [16, 0],
    };
    network.load.work.push(work);
    let up = network.start_together(0..85);
    network.run_in_steps(up + Millis(5000), Millis(10));
    let up = network.now + Millis(10);
    network.start(85, up);
    network.run_until(up + Millis(6 * LATENCY.0));
    let started = &network.nodes[&address(85)].gossip;
    let known = started.others_load(network.now).work;
    // What each instance has sent in the last second counts, and less the older it is.
    assert!(known[&5].work[1] >= 20.0 * 85.0 / 2.0, "{known:?}");
}
