//! The gossip state machine: what an instance sends to whom, and how it uses what it receives.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_routing::LaneStats;
use twox_hash::XxHash3_64;

use super::members::Members;
use super::message::CachedPrefix;
use super::message::Content;
use super::message::EngineQueue;
use super::message::Identity;
use super::message::Load;
use super::message::Message;
use super::message::ServiceWork;
use super::prefix_relay::PrefixRelay;
use crate::era::Revision;
use crate::lag::Lag;

/// How long a received load counts in full: the longest interval between messages.
const FULL_WEIGHT_AGE: Millis = Millis(500);

/// How long a received load counts at all. After [`FULL_WEIGHT_AGE`] its weight declines, since the
/// engines are reading the prompts.
const MAX_AGE: Millis = Millis::from_secs(1);

/// How long to wait for the fleet's load before changing to another collector: two of the longest
/// intervals between a collector's messages, plus a lost message.
const COLLECTOR_TIMEOUT: Millis = Millis(1200);

/// Number of rounds between messages without news, which show that the sender is alive.
const KEEPALIVE_ROUNDS: u64 = 5;

/// Number of rounds after which the next member, and all seeds that aren't members, are asked for
/// their members. This discovers members that aren't reported by the collector.
const HELLO_ROUNDS: u64 = 10;

/// Maximum number of pending hellos. A starting fleet contacts its seeds all at once; instances
/// without a reply ask again.
const MAX_HELLOS: usize = 64;

/// Number of hellos to answer per round.
const HELLO_REPLIES_PER_ROUND: usize = 8;

/// Number of instances per round that receive what every instance must know soon.
const FANOUT: usize = 3;

/// The load received from one sender, by part.
#[derive(Clone, Debug, Default)]
struct ReceivedLoad {
    parts: BTreeMap<u8, (Load, Millis)>,
    /// Number of parts of the last message.
    count: u8,
    /// When the last message was received.
    received_at: Millis,
}

impl ReceivedLoad {
    /// Updates the load from a message. If the number of parts has changed, the engines are
    /// distributed differently, so the previous parts are dropped to avoid counting queues twice.
    fn update(&mut self, load: Load, now: Millis) {
        if load.part.count != self.count {
            self.parts.clear();
            self.count = load.part.count;
        }
        if load.part.index < load.part.count {
            self.parts.insert(load.part.index, (load, now));
        }
        self.received_at = now;
    }
}

/// Sum of the loads of several instances.
#[derive(Clone, Debug, Default)]
pub struct LoadSum {
    /// Queue at each listed engine beyond [`LoadSum::unlisted`], in milliseconds of reading, by
    /// hash of the engine's name.
    pub queues: BTreeMap<u32, f64>,
    /// Assumed queue at each engine that isn't listed, in milliseconds. It isn't zero if a sender
    /// had too many engines to list.
    pub unlisted: f64,
    /// Recent work by hash of the service's name.
    pub work: BTreeMap<u32, LaneStats>,
}

impl LoadSum {
    /// Queue at an engine, in milliseconds of reading.
    pub fn queue_at(&self, engine: u32) -> f64 {
        let listed = self.queues.get(&engine).copied().unwrap_or(0.0);
        (self.unlisted + listed).max(0.0)
    }

    /// Adds a load with a weight.
    ///
    /// An engine that isn't listed has a queue between zero and [`Load::unlisted_max`], of which
    /// half is assumed.
    pub fn add(&mut self, load: &Load, weight: f64) {
        let unlisted = f64::from(load.unlisted_max) / 2.0;
        if load.part.index == 0 {
            self.unlisted += weight * unlisted;
        }
        for entry in &load.queues {
            let sum = self.queues.entry(entry.engine).or_default();
            *sum += weight * (f64::from(entry.read_ms) - unlisted);
        }
        for entry in &load.work {
            let sum = self.work.entry(entry.service).or_default();
            sum.add(&entry.stats(), weight);
        }
    }

    /// Adds a received load, weighted by its age.
    fn add_received(&mut self, received: &ReceivedLoad, now: Millis) {
        for (load, at) in received.parts.values() {
            let left = MAX_AGE.since(now.since(*at)).0 as f64;
            let weight = (left / MAX_AGE.since(FULL_WEIGHT_AGE).0 as f64).min(1.0);
            if weight > 0.0 {
                self.add(load, weight);
            }
        }
    }

    /// Subtracts a load, and removes the engines whose queue becomes empty.
    fn subtract(&mut self, load: &Load) {
        self.add(load, -1.0);
        let unlisted = self.unlisted;
        self.queues.retain(|_, sum| *sum + unlisted > 0.0);
    }

    fn load(&self) -> Load {
        let queues = self.queues.keys().map(|&engine| EngineQueue {
            engine,
            read_ms: self.queue_at(engine).round() as u32,
        });
        let work = self.work.iter();
        let work = work.map(|(&service, stats)| ServiceWork::new(service, stats));
        Load {
            queues: queues.filter(|entry| entry.read_ms > 0).collect(),
            work: work.filter(|entry| !entry.is_empty()).collect(),
            unlisted_max: (self.unlisted * 2.0).round() as u32,
            ..Load::default()
        }
    }
}

/// Gossip state of an instance.
///
/// Each instance sends its load to the collector of its zone. Any instance that receives loads acts
/// as a collector: it adds up the load of its zone, sends the sum to the collectors of the other
/// zones, and sends the load of the fleet to the instances from which it received loads.
#[derive(Clone, Debug)]
pub struct Gossip {
    me: Identity,
    seeds: Vec<SocketAddr>,
    members: Members,
    /// Loads received from the instances of this zone.
    reports: BTreeMap<SocketAddr, ReceivedLoad>,
    /// Loads of other zones, by the address of their collector.
    zones: BTreeMap<SocketAddr, (u32, ReceivedLoad)>,
    /// Load of the fleet, received from the collector of this zone.
    fleet: Option<ReceivedLoad>,
    /// The placer, as reported by the collector of this zone.
    placer: Option<SocketAddr>,
    /// The collector of this zone and since when it has been used.
    collector: Option<(SocketAddr, Millis)>,
    /// The loads sent in the last two rounds, newest last. The fleet's load contains the older one,
    /// since the answer to the newer one hasn't arrived yet.
    sent_loads: [Load; 2],
    last_hello: SocketAddr,
    /// Whether the last sums that were sent, of the zone and of the fleet, were non-empty.
    was_nonempty: [bool; 2],
    /// Instances whose hello wasn't answered yet.
    hellos: Vec<SocketAddr>,
    prefix_relay: PrefixRelay,
    lag: Lag,
    /// Whether engines with a queue were left out of the last round's messages.
    is_truncated: bool,
    rounds: u64,
    /// Seed of random samples. It differs between instances so that they don't all draw the same
    /// members.
    seed: u64,
}

impl Gossip {
    /// Creates a state that only knows the seeds.
    pub fn new(me: Identity, seeds: &[SocketAddr]) -> Gossip {
        let seeds = seeds.iter().copied().filter(|seed| *seed != me.address);
        Gossip {
            me,
            seeds: seeds.collect(),
            members: Members::new(me),
            reports: BTreeMap::new(),
            zones: BTreeMap::new(),
            fleet: None,
            placer: None,
            collector: None,
            sent_loads: [Load::default(), Load::default()],
            // Each instance starts at another member, so that they don't all contact the same one.
            last_hello: me.address,
            was_nonempty: [false; 2],
            hellos: Vec::new(),
            prefix_relay: PrefixRelay::default(),
            lag: Lag::default(),
            is_truncated: false,
            rounds: 0,
            seed: XxHash3_64::oneshot(me.address.to_string().as_bytes()),
        }
    }

    /// The other live instances.
    pub fn identities(&self) -> impl Iterator<Item = &Identity> {
        self.members.identities()
    }

    /// The instances that are contacted at the start, without this one.
    pub(super) fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// Number of other live instances in this availability zone.
    pub fn live_members(&self) -> usize {
        self.members.live(self.me.zone)
    }

    /// The collector to which this instance sends its load; `None` if this instance is the
    /// collector.
    pub fn collector(&self) -> Option<SocketAddr> {
        self.collector.map(|(collector, _)| collector)
    }

    /// Processes a received message.
    pub fn receive(&mut self, from: SocketAddr, message: Message, now: Millis) {
        if from == self.me.address {
            return;
        }
        let identity = Identity {
            address: from,
            zone: message.zone,
            capacity: message.capacity,
        };
        self.members.observe(identity, now);
        // The number of members is bounded, and so is the state kept for them: a flood of messages
        // from forged addresses must not fill the memory.
        if !self.members.contains(&from) {
            return;
        }
        self.lag.observe(message.revision);
        for entry in message.members {
            self.members.observe_reported(entry, now);
        }
        match message.content {
            Content::Hello if self.hellos.len() < MAX_HELLOS => self.hellos.push(from),
            Content::Hello | Content::Members => {}
            Content::Instance(load) => {
                self.prefix_relay.add_from_zone(&load.cached);
                self.reports.entry(from).or_default().update(load, now);
            }
            Content::Zone(load) => {
                self.prefix_relay.add_from_other_zone(&load.cached);
                let (zone, received) = self.zones.entry(from).or_default();
                *zone = message.zone;
                received.update(load, now);
            }
            Content::Fleet(load, placer) => {
                self.prefix_relay.add_from_collector(&load.cached);
                self.fleet.get_or_insert_default().update(load, now);
                self.placer = Some(placer);
            }
        }
    }

    /// Runs a round with the load of this instance. Returns the messages to send.
    pub fn round(&mut self, local: Load, now: Millis) -> Vec<(SocketAddr, Message)> {
        self.rounds += 1;
        self.forget(now);
        let mut contents = Vec::new();
        // Whether to send messages even if they contain nothing new.
        let keepalive = self.is_keepalive_round();
        let should_send = keepalive || !local.is_empty() || !self.sent_loads[1].is_empty();
        match self.choose_collector(now) {
            Some(collector) if should_send => {
                let parts = local.clone().split().into_iter();
                contents.extend(parts.map(|part| (collector, Content::Instance(part))));
            }
            _ => {}
        }
        if self.collector.is_none() {
            self.prefix_relay.add_local(&local.cached);
        }
        self.sent_loads.rotate_left(1);
        self.sent_loads[1] = local;
        self.send_sums(keepalive, now, &mut contents);
        self.is_truncated = contents.iter().any(|(_, content)| content.is_truncated());
        self.send_hellos(&mut contents);
        if contents.is_empty() {
            return Vec::new();
        }
        // All receivers get the same members, so that a receiver of every round learns all of them
        // in turn. The instances of this zone only need to know each other.
        let inside = self.members.next_entries(true, now);
        let all = self.members.next_entries(false, now);
        let messages = contents.into_iter().map(|(to, content)| {
            let members = match content {
                Content::Instance(_) | Content::Fleet(..) => &inside,
                Content::Hello | Content::Members | Content::Zone(_) => &all,
            };
            let message = Message::new(&self.me, members.clone(), content);
            let revision = self.lag.newest();
            (
                to,
                Message {
                    revision,
                    ..message
                },
            )
        });
        messages.collect()
    }

    /// Load of all other instances.
    pub fn others_load(&self, now: Millis) -> LoadSum {
        let mut sums = LoadSum::default();
        match &self.fleet {
            Some(fleet) if self.collector.is_some() => {
                sums.add_received(fleet, now);
                sums.subtract(&self.sent_loads[0]);
            }
            _ => {
                self.add_zone(&mut sums, now);
                self.add_other_zones(&mut sums, now);
            }
        }
        sums
    }

    /// The placer; `None` while it is unknown, and this instance's own address if it is the placer.
    ///
    /// An instance that has received no loads, neither from its zone nor from others, isn't the
    /// placer. It has only not found the others yet, and knows no more than its own requests.
    pub fn placer(&self, now: Millis) -> Option<SocketAddr> {
        if self.collector.is_none() {
            let collects = !self.reports.is_empty() || !self.zones.is_empty();
            return collects.then(|| self.members.placer(self.zones.keys().copied()));
        }
        let last_received = self.fleet.as_ref()?.received_at;
        self.placer
            .filter(|_| now.since(last_received) <= COLLECTOR_TIMEOUT)
    }

    /// The placer, if it is another instance.
    pub fn other_placer(&self, now: Millis) -> Option<SocketAddr> {
        self.placer(now).filter(|placer| *placer != self.me.address)
    }

    /// Whether the last round's messages couldn't list all engines with a queue.
    pub fn is_truncated(&self) -> bool {
        self.is_truncated
    }

    /// Whether messages of this round are sent even if they contain nothing new.
    pub fn is_keepalive_round(&self) -> bool {
        self.rounds.is_multiple_of(KEEPALIVE_ROUNDS)
    }

    /// The instances to send urgent updates to. Each round selects other ones.
    pub fn gossip_targets(&self) -> Vec<SocketAddr> {
        self.members.sample(FANOUT, self.rounds ^ self.seed)
    }

    /// The instance whose turn it is in this round. Those of consecutive rounds lie far apart, so that few
    /// of them share a rack.
    pub(super) fn member_in_turn(&self) -> Option<SocketAddr> {
        self.members.in_turn(self.rounds.wrapping_add(self.seed))
    }

    /// Records that this instance saw a change of the store at `revision`.
    pub fn observe_revision(&mut self, revision: Revision) {
        self.lag.observe(revision);
    }

    /// Whether other instances know of a change that this instance's watch for changes after `at`
    /// hasn't delivered.
    pub fn is_behind(&mut self, at: Option<Revision>, now: Millis) -> bool {
        self.lag.is_behind(at, now)
    }

    /// Takes the announcements of cached prefixes that were received since the last call.
    pub fn take_cached_prefixes(&mut self) -> Vec<CachedPrefix> {
        self.prefix_relay.take_received()
    }

    /// Chooses the collector of this zone; `None` if this instance is the collector.
    fn choose_collector(&mut self, now: Millis) -> Option<SocketAddr> {
        if let Some((collector, since)) = self.collector {
            let last_received = self
                .fleet
                .as_ref()
                .map_or(Millis::ZERO, |fleet| fleet.received_at);
            if now.since(last_received.max(since)) > COLLECTOR_TIMEOUT {
                self.members.suspend(&collector, now);
            }
        }
        let best = self.members.collector(self.me.zone, now);
        let best = best.filter(|best| *best != self.me.address);
        if best != self.collector() {
            // The load received from the previous collector counts until the new one sends its own.
            self.collector = best.map(|best| (best, now));
        }
        best
    }

    /// Sends the load of this zone to the other zones, and that of the fleet to the instances of
    /// this zone.
    ///
    /// A sum that has become empty is sent once more immediately, since receivers would otherwise
    /// rely on the previous one.
    fn send_sums(
        &mut self,
        keepalive: bool,
        now: Millis,
        contents: &mut Vec<(SocketAddr, Content)>,
    ) {
        if self.reports.is_empty() && self.collector.is_some() {
            return;
        }
        let mut sums = LoadSum::default();
        sums.add(&self.sent_loads[1], 1.0);
        self.add_zone(&mut sums, now);
        let mut zone = sums.load();
        zone.cached = self.prefix_relay.take_for_zones();
        let should_send = keepalive || !zone.is_empty() || self.was_nonempty[0];
        self.was_nonempty[0] = !zone.is_empty();
        if should_send {
            let parts = zone.split();
            for to in self.other_collectors(now) {
                contents.extend(parts.iter().map(|part| (to, Content::Zone(part.clone()))));
            }
        }
        self.add_other_zones(&mut sums, now);
        let mut fleet = sums.load();
        fleet.cached = self.prefix_relay.take_for_fleet();
        let should_send = keepalive || !fleet.is_empty() || self.was_nonempty[1];
        self.was_nonempty[1] = !fleet.is_empty();
        if !should_send {
            return;
        }
        let placer = self.members.placer(self.zones.keys().copied());
        let parts = fleet.split();
        for to in self.reports.keys() {
            let parts = parts.iter().cloned();
            contents.extend(parts.map(|part| (*to, Content::Fleet(part, placer))));
        }
    }

    /// The collectors of the other zones: those that sent their zone's load, otherwise those that
    /// should do so.
    fn other_collectors(&self, now: Millis) -> Vec<SocketAddr> {
        let mut collectors = Vec::new();
        for zone in self.members.other_zones() {
            let known = self.zones.iter().filter(|(_, (other, _))| *other == zone);
            let before = collectors.len();
            collectors.extend(known.map(|(address, _)| *address));
            if collectors.len() == before {
                collectors.extend(self.members.collector(zone, now));
            }
        }
        collectors
    }

    /// Answers pending hellos, and periodically sends hellos to one member and to the seeds that
    /// aren't members.
    fn send_hellos(&mut self, contents: &mut Vec<(SocketAddr, Content)>) {
        let next = self.hellos.len().min(HELLO_REPLIES_PER_ROUND);
        let hellos = self.hellos.drain(..next);
        contents.extend(hellos.map(|sender| (sender, Content::Members)));
        if self.rounds % HELLO_ROUNDS != 1 {
            return;
        }
        let unknown_seeds = self
            .seeds
            .iter()
            .filter(|seed| !self.members.contains(seed));
        contents.extend(unknown_seeds.map(|seed| (*seed, Content::Hello)));
        if let Some(next) = self.members.next_after(self.last_hello) {
            self.last_hello = next;
            contents.push((next, Content::Hello));
        }
    }

    fn forget(&mut self, now: Millis) {
        self.members.expire(now);
        let fresh = |received: &ReceivedLoad| now.since(received.received_at) < MAX_AGE;
        self.reports.retain(|_, received| fresh(received));
        self.zones.retain(|_, (_, received)| fresh(received));
    }

    fn add_zone(&self, sums: &mut LoadSum, now: Millis) {
        for received in self.reports.values() {
            sums.add_received(received, now);
        }
    }

    fn add_other_zones(&self, sums: &mut LoadSum, now: Millis) {
        for (_, received) in self.zones.values() {
            sums.add_received(received, now);
        }
    }
}
