//! What an instance tells whom, and what it makes of what it hears: a state machine.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_routing::LaneNews;
use twox_hash::XxHash3_64;

use super::members::Members;
use super::message::CachedPrefix;
use super::message::Content;
use super::message::EngineQueue;
use super::message::Identity;
use super::message::Load;
use super::message::Message;
use super::message::ServiceWork;
use super::prefix_relay::Holdings;
use crate::era::Revision;
use crate::lag::Lag;

/// How long what was heard counts in full: the longest pause between messages.
const FULL: Millis = Millis(500);

/// How long it counts at all. Beyond the first span it fades, as the engines read it meanwhile.
const FRESH: Millis = Millis::from_secs(1);

/// How long an instance waits to be told of the fleet before it turns to another collector. Two of
/// the longest pauses between a collector's messages, and one that is lost.
const PATIENCE: Millis = Millis(1200);

/// Rounds between two messages that have nothing new to say; they tell that the sender is there.
const IDLE_ROUNDS: u64 = 5;

/// Every so many rounds one other instance is asked for names in turn, and the seeds that weren't heard of.
/// Names that don't reach an instance through its collector come this way.
const GREETING_ROUNDS: u64 = 10;

/// Instances that wait to be told names at most. A fleet that starts asks its seeds all at once; whoever gets
/// no answer asks again.
const MOST_ASKERS: usize = 64;

/// How many of them are answered in a round.
const ROUND_ANSWERS: usize = 8;

/// Instances that are told in a round what every instance has to know soon.
const AUDIENCE: usize = 3;

/// What was heard from one sender, by parts.
#[derive(Clone, Debug, Default)]
struct Heard {
    parts: BTreeMap<u8, (Load, Millis)>,
    /// Of how many parts the last message was one.
    count: u8,
    /// When the last message came.
    at: Millis,
}

impl Heard {
    /// Takes in a message. Divided otherwise than before, engines are told of in other parts, and what was
    /// told of them in the former ones would count twice.
    fn take(&mut self, load: Load, now: Millis) {
        if load.part.count != self.count {
            self.parts.clear();
            self.count = load.part.count;
        }
        if load.part.index < load.part.count {
            self.parts.insert(load.part.index, (load, now));
        }
        self.at = now;
    }
}

/// What several instances have together.
#[derive(Clone, Debug, Default)]
pub struct LoadSum {
    /// What waits at each engine beyond [`Sums::unnamed`], in milliseconds of reading, by a hash of its
    /// identity.
    pub queues: HashMap<u32, f64>,
    /// What is taken to wait at each engine that isn't named, in milliseconds. It isn't nothing where a sender
    /// had too many to name.
    pub unlisted: f64,
    /// The work of late of each service, by a hash of its name.
    pub work: HashMap<u32, LaneNews>,
}

impl LoadSum {
    /// What waits at an engine, in milliseconds of reading.
    pub fn queue_at(&self, engine: u32) -> f64 {
        let named = self.queues.get(&engine).copied().unwrap_or(0.0);
        (self.unlisted + named).max(0.0)
    }

    /// Adds what was told, with a weight.
    ///
    /// An engine that a sender didn't name has between nothing and its least there: half of it is taken.
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
            sum.add(&entry.news(), weight);
        }
    }

    /// Adds what was heard, as far as it still counts.
    fn add_heard(&mut self, heard: &Heard, now: Millis) {
        for (load, at) in heard.parts.values() {
            let left = FRESH.since(now.since(*at)).0 as f64;
            let weight = (left / FRESH.since(FULL).0 as f64).min(1.0);
            if weight > 0.0 {
                self.add(load, weight);
            }
        }
    }

    /// Leaves out a part of the sums, and what is nothing without it.
    fn leave_out(&mut self, load: &Load) {
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
        let work = work.map(|(&service, news)| ServiceWork::new(service, news));
        Load {
            queues: queues.filter(|entry| entry.read_ms > 0).collect(),
            work: work.filter(|entry| !entry.is_empty()).collect(),
            unlisted_max: (self.unlisted * 2.0).round() as u32,
            ..Load::default()
        }
    }
}

/// One instance's part in telling what waits where.
///
/// Each instance tells the collector of its zone what it has itself. A collector is whoever is told; it
/// adds up its zone, tells the sum to the collectors of the other zones, and what the fleet has to those
/// that told it.
#[derive(Clone, Debug)]
pub struct Gossip {
    me: Identity,
    seeds: Vec<SocketAddr>,
    members: Members,
    /// What instances told this one of themselves.
    reports: BTreeMap<SocketAddr, Heard>,
    /// What other zones have, by the instance that collected it.
    zones: BTreeMap<SocketAddr, (u32, Heard)>,
    /// What the fleet has, as the collector of this zone told.
    fleet: Option<Heard>,
    /// Which instance places for all, as the collector of this zone told.
    placer: Option<SocketAddr>,
    /// Whom this instance tells, and since when.
    collector: Option<(SocketAddr, Millis)>,
    /// What this instance told in the last rounds, the latest last. The answer to the last one is still on
    /// its way, so the one before is what the fleet's sum holds of this instance.
    told: [Load; 2],
    greeted: SocketAddr,
    /// Whether the last sums that were told, of the zone and of the fleet, had anything in them.
    busy: [bool; 2],
    /// Instances that asked for names and weren't answered yet.
    askers: Vec<SocketAddr>,
    holdings: Holdings,
    lag: Lag,
    /// Whether engines with a queue were left out of the last round's messages.
    is_truncated: bool,
    rounds: u64,
    /// Differs between instances, so that they don't all draw the same ones.
    draw: u64,
}

impl Gossip {
    /// Knows only the seeds.
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
            told: [Load::default(), Load::default()],
            // Each instance begins at another one, so that they don't all ask the same at once.
            greeted: me.address,
            busy: [false; 2],
            askers: Vec::new(),
            holdings: Holdings::default(),
            lag: Lag::default(),
            is_truncated: false,
            rounds: 0,
            draw: XxHash3_64::oneshot(me.address.to_string().as_bytes()),
        }
    }

    /// How many other instances of the availability zone were heard of lately.
    pub fn live_members(&self) -> usize {
        self.members.live(self.me.zone)
    }

    /// Whom this instance tells what it has; `None` where it collects for its zone itself.
    pub fn collector(&self) -> Option<SocketAddr> {
        self.collector.map(|(collector, _)| collector)
    }

    /// Takes in a message.
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
        // Those that are remembered are bounded in number, and what they tell with them: a flood of messages
        // from made-up addresses must not fill the memory.
        if !self.members.contains(&from) {
            return;
        }
        self.lag.observe(message.revision);
        for named in message.members {
            self.members.observe_reported(named, now);
        }
        match message.content {
            Content::Hello if self.askers.len() < MOST_ASKERS => self.askers.push(from),
            Content::Hello | Content::Members => {}
            Content::Instance(load) => {
                self.holdings.zone_told(&load.cached);
                self.reports.entry(from).or_default().take(load, now);
            }
            Content::Zone(load) => {
                self.holdings.other_zone_told(&load.cached);
                let (zone, heard) = self.zones.entry(from).or_default();
                *zone = message.zone;
                heard.take(load, now);
            }
            Content::Fleet(load, placer) => {
                self.holdings.collector_told(&load.cached);
                self.fleet.get_or_insert_default().take(load, now);
                self.placer = Some(placer);
            }
        }
    }

    /// Says whom to tell what now; `own` is what this instance has.
    pub fn round(&mut self, own: Load, now: Millis) -> Vec<(SocketAddr, Message)> {
        self.rounds += 1;
        self.forget(now);
        let mut contents = Vec::new();
        // Whether to tell also that there is nothing to tell.
        let due = self.rounds.is_multiple_of(IDLE_ROUNDS);
        let tells = due || !own.is_empty() || !self.told[1].is_empty();
        match self.choose_collector(now) {
            Some(collector) if tells => {
                let parts = own.clone().split().into_iter();
                contents.extend(parts.map(|part| (collector, Content::Instance(part))));
            }
            _ => {}
        }
        if self.collector.is_none() {
            self.holdings.own(&own.cached);
        }
        self.told.rotate_left(1);
        self.told[1] = own;
        self.collect(due, now, &mut contents);
        self.is_truncated = contents.iter().any(|(_, content)| content.is_truncated());
        self.greet(&mut contents);
        if contents.is_empty() {
            return Vec::new();
        }
        // The same names to all, so that whoever is told in every round hears of all in turn. For the
        // instances of the zone it is enough to know each other.
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

    /// What all others have together.
    pub fn others_load(&self, now: Millis) -> LoadSum {
        let mut sums = LoadSum::default();
        match &self.fleet {
            Some(fleet) if self.collector.is_some() => {
                sums.add_heard(fleet, now);
                sums.leave_out(&self.told[0]);
            }
            _ => {
                self.add_zone(&mut sums, now);
                self.add_other_zones(&mut sums, now);
            }
        }
        sums
    }

    /// Which instance places for all; `None` while this one knows none, and this one's own address where it
    /// is the one.
    ///
    /// An instance that collects for nobody doesn't place: it only hasn't heard of the others yet, and knows no
    /// more than its own requests.
    pub fn placer(&self, now: Millis) -> Option<SocketAddr> {
        if self.collector.is_none() {
            let collects = !self.reports.is_empty();
            return collects.then(|| self.members.placer(self.zones.keys().copied()));
        }
        let told = self.fleet.as_ref()?.at;
        self.placer.filter(|_| now.since(told) <= PATIENCE)
    }

    /// Whether the last round's messages couldn't name all engines with a queue.
    pub fn is_truncated(&self) -> bool {
        self.is_truncated
    }

    /// Whom to tell what every instance has to know soon, another few in each round.
    pub fn gossip_targets(&self) -> Vec<SocketAddr> {
        self.members.sample(AUDIENCE, self.rounds ^ self.draw)
    }

    /// This instance saw a change of the store at `revision`.
    pub fn observe_revision(&mut self, revision: Revision) {
        self.lag.observe(revision);
    }

    /// Whether others have read a change that this instance's watch, which waits for those after `at`, doesn't
    /// bring.
    pub fn is_behind(&mut self, at: Option<Revision>, now: Millis) -> bool {
        self.lag.is_behind(at, now)
    }

    /// What engines hold, as was heard since the last call.
    pub fn take_cached_prefixes(&mut self) -> Vec<CachedPrefix> {
        self.holdings.heard()
    }

    /// Whom this instance tells; `None` where it collects for its zone itself.
    fn choose_collector(&mut self, now: Millis) -> Option<SocketAddr> {
        if let Some((collector, since)) = self.collector {
            let told = self.fleet.as_ref().map_or(Millis::ZERO, |fleet| fleet.at);
            if now.since(told.max(since)) > PATIENCE {
                self.members.suspend(&collector, now);
            }
        }
        let best = self.members.collector(self.me.zone, now);
        let best = best.filter(|best| *best != self.me.address);
        if best != self.collector() {
            // What the former one told counts until the new one tells something.
            self.collector = best.map(|best| (best, now));
        }
        best
    }

    /// Tells the other zones what this one has, and the instances of this one what the fleet has.
    ///
    /// A sum that has become empty is told once more at once, or the others would go by the last one.
    fn collect(&mut self, due: bool, now: Millis, contents: &mut Vec<(SocketAddr, Content)>) {
        if self.reports.is_empty() && self.collector.is_some() {
            return;
        }
        let mut sums = LoadSum::default();
        sums.add(&self.told[1], 1.0);
        self.add_zone(&mut sums, now);
        let mut zone = sums.load();
        zone.cached = self.holdings.for_zones();
        let tells = due || !zone.is_empty() || self.busy[0];
        self.busy[0] = !zone.is_empty();
        if tells {
            let parts = zone.split();
            for to in self.other_collectors(now) {
                contents.extend(parts.iter().map(|part| (to, Content::Zone(part.clone()))));
            }
        }
        self.add_other_zones(&mut sums, now);
        let mut fleet = sums.load();
        fleet.cached = self.holdings.for_fleet();
        let tells = due || !fleet.is_empty() || self.busy[1];
        self.busy[1] = !fleet.is_empty();
        if !tells {
            return;
        }
        let placer = self.members.placer(self.zones.keys().copied());
        let parts = fleet.split();
        for to in self.reports.keys() {
            let parts = parts.iter().cloned();
            contents.extend(parts.map(|part| (*to, Content::Fleet(part, placer))));
        }
    }

    /// The collectors of the other zones: those that told of their zone, else those that should.
    fn other_collectors(&self, now: Millis) -> Vec<SocketAddr> {
        let mut collectors = Vec::new();
        for zone in self.members.other_zones() {
            let told = self.zones.iter().filter(|(_, (other, _))| *other == zone);
            let before = collectors.len();
            collectors.extend(told.map(|(address, _)| *address));
            if collectors.len() == before {
                collectors.extend(self.members.collector(zone, now));
            }
        }
        collectors
    }

    /// Answers those that asked for names, and at times asks the seeds that weren't heard of and one of the
    /// others.
    fn greet(&mut self, contents: &mut Vec<(SocketAddr, Content)>) {
        let next = self.askers.len().min(ROUND_ANSWERS);
        let askers = self.askers.drain(..next);
        contents.extend(askers.map(|asker| (asker, Content::Members)));
        if self.rounds % GREETING_ROUNDS != 1 {
            return;
        }
        let unheard = self
            .seeds
            .iter()
            .filter(|seed| !self.members.contains(seed));
        contents.extend(unheard.map(|seed| (*seed, Content::Hello)));
        if let Some(next) = self.members.next_after(self.greeted) {
            self.greeted = next;
            contents.push((next, Content::Hello));
        }
    }

    fn forget(&mut self, now: Millis) {
        self.members.expire(now);
        let fresh = |heard: &Heard| now.since(heard.at) < FRESH;
        self.reports.retain(|_, heard| fresh(heard));
        self.zones.retain(|_, (_, heard)| fresh(heard));
    }

    fn add_zone(&self, sums: &mut LoadSum, now: Millis) {
        for heard in self.reports.values() {
            sums.add_heard(heard, now);
        }
    }

    fn add_other_zones(&self, sums: &mut LoadSum, now: Millis) {
        for (_, heard) in self.zones.values() {
            sums.add_heard(heard, now);
        }
    }
}
