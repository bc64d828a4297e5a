//! A fleet of pure nodes that exchange messages through a network which loses, delays, repeats and
//! reorders them, beside a platform that can be stale or down. Time is a number.

#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;

use crocushold_base::Millis;
use crocushold_peers::Action;
use crocushold_peers::Event;
use crocushold_peers::Finding;
use crocushold_peers::Incarnation;
use crocushold_peers::Index;
use crocushold_peers::IndexEntry;
use crocushold_peers::Instance;
use crocushold_peers::InstanceId;
use crocushold_peers::ListedInstance;
use crocushold_peers::Message;
use crocushold_peers::Node;
use crocushold_peers::NodeSettings;
use crocushold_peers::PartText;
use crocushold_peers::PlatformRead;
use crocushold_peers::ReadFailed;
use crocushold_peers::Snapshot;
use crocushold_peers::encoded_bytes;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Time between two ticks of a node.
pub(crate) const TICK: Millis = Millis(100);

/// Time after which the shell gives a message up.
const GIVE_UP: Millis = Millis(1500);

/// What the network does to a message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    /// Share of messages lost, in thousandths.
    pub(crate) loss: u32,
    /// Share of messages delivered twice, in thousandths.
    pub(crate) repeat: u32,
    /// Shortest delay.
    pub(crate) least: u64,
    /// Longest delay.
    pub(crate) most: u64,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            loss: 0,
            repeat: 0,
            least: 1,
            most: 40,
        }
    }
}

/// What the platform does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlatformState {
    Up,
    Down,
    /// It answers what it held at this revision.
    Stale(u64),
    /// It answers a watch at once.
    Hasty,
    /// It takes calls and never answers.
    Frozen,
    /// It refuses each call and asks for this wait.
    Throttled(Millis),
}

/// A call of the platform.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlatformCall {
    /// The node that made it.
    pub(crate) caller: usize,
    pub(crate) at: Millis,
}

/// Revision and text by team.
type Texts = BTreeMap<Arc<str>, (u64, Arc<str>)>;

/// The platform's configuration with its history.
pub(crate) struct Platform {
    pub(crate) state: PlatformState,
    pub(crate) calls: u64,
    /// The same calls one by one.
    pub(crate) log: Vec<PlatformCall>,
    /// The team whose part can't be read.
    pub(crate) unreadable: Option<&'static str>,
    history: Vec<Texts>,
}

impl Platform {
    pub(crate) fn revision(&self) -> u64 {
        match self.state {
            PlatformState::Stale(revision) => revision,
            _ => self.history.len() as u64 - 1,
        }
    }

    fn parts(&self) -> &Texts {
        &self.history[self.revision() as usize]
    }

    /// Changes a part; an empty text removes it.
    pub(crate) fn publish(&mut self, team: &str, text: &str) -> u64 {
        let mut parts = self.history.last().cloned().unwrap_or_default();
        let revision = self.history.len() as u64;
        if text.is_empty() {
            parts.remove(team);
        } else {
            parts.insert(Arc::from(team), (revision, Arc::from(text)));
        }
        self.history.push(parts);
        revision
    }

    /// Replaces a text without a new revision, as two platforms that disagree would.
    pub(crate) fn rewrite(&mut self, team: &str, text: &str) {
        let last = self.history.last_mut().expect("never empty");
        let revision = last[team].0;
        last.insert(Arc::from(team), (revision, Arc::from(text)));
    }

    /// Why the platform gives no answer, if it gives none.
    fn refusal(&self) -> Option<ReadFailed> {
        match self.state {
            PlatformState::Down => Some(ReadFailed::default()),
            PlatformState::Throttled(wait) => Some(ReadFailed {
                retry_after: Some(wait),
            }),
            _ => None,
        }
    }

    fn index(&self) -> PlatformRead {
        if let Some(failed) = self.refusal() {
            return PlatformRead::Index(Err(failed));
        }
        let entries = self.parts().iter().map(|(team, (revision, _))| IndexEntry {
            team: team.clone(),
            revision: *revision,
        });
        PlatformRead::Index(Ok(Index {
            revision: self.revision(),
            parts: entries.collect(),
        }))
    }

    fn part(&self, team: &Arc<str>) -> PlatformRead {
        if let Some(failed) = self.refusal() {
            return PlatformRead::Part(team.clone(), Err(failed));
        }
        if self.unreadable == Some(team) {
            return PlatformRead::Part(team.clone(), Err(ReadFailed::default()));
        }
        let read = self.parts().get(team).map(|(revision, text)| PartText {
            team: team.clone(),
            revision: *revision,
            text: text.clone(),
        });
        PlatformRead::Part(team.clone(), read.ok_or_else(ReadFailed::default))
    }
}

#[derive(Debug)]
enum Item {
    Tick(usize),
    Deliver(usize, usize, Message),
    Failed(usize, usize),
    Read(usize, PlatformRead),
    Watch(usize, u64, Millis),
}

/// Traffic of a node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) sent: u64,
    pub(crate) received: u64,
    /// Encoded bytes, sent and received.
    pub(crate) bytes: u64,
    /// Exchanges begun or answered.
    pub(crate) exchanges: u64,
}

/// A node and what surrounds it.
pub(crate) struct Slot {
    pub(crate) node: Node,
    pub(crate) instance: Instance,
    pub(crate) alive: bool,
    pub(crate) paused_until: Millis,
    pub(crate) in_force: Option<Snapshot>,
    /// Revisions that were in force, in order.
    pub(crate) revisions: Vec<u64>,
    pub(crate) findings: Vec<(Millis, Finding)>,
    pub(crate) traffic: Traffic,
    /// When the view last changed, and the configuration.
    pub(crate) view_at: Millis,
    pub(crate) config_at: Millis,
    held_back: Vec<Item>,
}

/// The fleet.
pub(crate) struct Fleet {
    pub(crate) slots: Vec<Slot>,
    pub(crate) now: Millis,
    pub(crate) faults: Faults,
    pub(crate) platform: Platform,
    /// Group of each node; nodes of different groups don't reach each other.
    pub(crate) groups: Vec<u8>,
    pub(crate) settings: NodeSettings,
    queue: BinaryHeap<Reverse<(Millis, u64, usize)>>,
    items: BTreeMap<u64, Item>,
    index: BTreeMap<InstanceId, usize>,
    next: u64,
    rng: SmallRng,
}

impl Fleet {
    pub(crate) fn new(seed: u64) -> Fleet {
        Fleet {
            slots: Vec::new(),
            now: Millis(10_000),
            faults: Faults::default(),
            platform: Platform {
                state: PlatformState::Up,
                calls: 0,
                log: Vec::new(),
                unreadable: None,
                history: vec![BTreeMap::new()],
            },
            groups: Vec::new(),
            settings: NodeSettings::default(),
            queue: BinaryHeap::new(),
            items: BTreeMap::new(),
            index: BTreeMap::new(),
            next: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// A fleet of `count` nodes over `zones` zones that were listed and have run for a while.
    pub(crate) fn settled(seed: u64, count: usize, zones: usize) -> Fleet {
        let mut fleet = Fleet::new(seed);
        fleet.platform.publish("clara", "[service chat]");
        for number in 0..count {
            fleet.add(number, number % zones);
        }
        fleet.list();
        fleet.run(Millis::from_secs(30));
        fleet
    }

    /// Adds a node, or replaces the one of this number by a new life of it.
    pub(crate) fn add(&mut self, number: usize, zone: usize) {
        let port = 1024 + number as u16;
        let address = SocketAddr::from(([10, 0, 0, 1], port));
        let id = format!("entry-{number}");
        let instance = Instance::new(&id, address, &format!("zone-{zone}"));
        self.add_as(number, instance);
    }

    pub(crate) fn add_as(&mut self, number: usize, instance: Instance) {
        let incarnation = Incarnation::starting(self.now.0);
        let seed = self.rng.random();
        let settings = self.settings.clone();
        let node = Node::new(settings, instance.clone(), incarnation, seed, self.now);
        let slot = Slot {
            node,
            instance: instance.clone(),
            alive: true,
            paused_until: Millis::ZERO,
            in_force: None,
            revisions: Vec::new(),
            findings: Vec::new(),
            traffic: Traffic::default(),
            view_at: self.now,
            config_at: self.now,
            held_back: Vec::new(),
        };
        if number < self.slots.len() {
            self.index.retain(|_, at| *at != number);
            self.slots[number] = slot;
        } else {
            self.slots.push(slot);
            self.groups.push(0);
            let offset = self.rng.random_range(0..TICK.0);
            self.schedule(Millis(offset), Item::Tick(number));
        }
        self.index.insert(instance.id, number);
    }

    /// The platform's list as it should be now.
    pub(crate) fn listing(&self) -> Vec<ListedInstance> {
        let alive = self.slots.iter().filter(|slot| slot.alive);
        let listed = alive.map(|slot| ListedInstance {
            instance: slot.instance.clone(),
            leaving: false,
        });
        listed.collect()
    }

    /// Gives all nodes the platform's list.
    pub(crate) fn list(&mut self) {
        let listed = self.listing();
        for at in 0..self.slots.len() {
            self.feed(at, Event::InstanceList(listed.clone()));
        }
    }

    pub(crate) fn kill(&mut self, at: usize) {
        self.slots[at].alive = false;
    }

    pub(crate) fn pause(&mut self, at: usize, span: Millis) {
        self.slots[at].paused_until = self.now + span;
    }

    pub(crate) fn feed_event(&mut self, at: usize, event: Event) {
        self.feed(at, event);
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while let Some(Reverse((due, key, _))) = self.queue.peek().copied() {
            if due > end {
                break;
            }
            self.queue.pop();
            self.now = due;
            if let Some(item) = self.items.remove(&key) {
                self.take(item);
            }
        }
        self.now = end;
    }

    /// Lets time pass until `holds`, and returns how long it took; none after `limit`.
    pub(crate) fn run_until(
        &mut self,
        limit: Millis,
        holds: impl Fn(&Fleet) -> bool,
    ) -> Option<Millis> {
        let began = self.now;
        while self.now.since(began) <= limit {
            if holds(self) {
                return Some(self.now.since(began));
            }
            self.run(Millis(50));
        }
        None
    }

    pub(crate) fn alive(&self) -> impl Iterator<Item = &Slot> {
        self.slots.iter().filter(|slot| slot.alive)
    }

    /// Whether all living nodes of a group see exactly each other.
    pub(crate) fn agrees(&self) -> bool {
        let mut groups: BTreeMap<u8, BTreeSet<u64>> = BTreeMap::new();
        let mut sizes: BTreeMap<u8, usize> = BTreeMap::new();
        for (slot, group) in self.slots.iter().zip(&self.groups) {
            if slot.alive {
                *sizes.entry(*group).or_default() += 1;
                groups
                    .entry(*group)
                    .or_default()
                    .insert(slot.node.member().digest());
            }
        }
        let sized = self
            .slots
            .iter()
            .zip(&self.groups)
            .all(|(slot, group)| !slot.alive || slot.node.member().live() == sizes[group]);
        sized && groups.values().all(|digests| digests.len() == 1)
    }

    /// Whether all living nodes have this revision in force.
    pub(crate) fn in_force(&self, revision: u64) -> bool {
        self.alive().all(|slot| {
            slot.in_force
                .as_ref()
                .is_some_and(|c| c.revision == revision)
        })
    }

    fn schedule(&mut self, delay: Millis, item: Item) {
        let key = self.next;
        self.next += 1;
        self.items.insert(key, item);
        self.queue.push(Reverse((self.now + delay, key, 0)));
    }

    fn take(&mut self, item: Item) {
        let (Item::Tick(at)
        | Item::Deliver(_, at, _)
        | Item::Failed(at, _)
        | Item::Read(at, _)
        | Item::Watch(at, _, _)) = item;
        if let Item::Tick(_) = item {
            self.schedule(TICK, Item::Tick(at));
        }
        if !self.slots[at].alive {
            return;
        }
        if self.slots[at].paused_until > self.now {
            if !matches!(item, Item::Tick(_)) {
                self.slots[at].held_back.push(item);
            }
            return;
        }
        // What came during a pause is read before the clock is looked at.
        for late in std::mem::take(&mut self.slots[at].held_back) {
            self.perform(late);
        }
        self.perform(item);
    }

    fn perform(&mut self, item: Item) {
        match item {
            Item::Tick(at) => self.feed(at, Event::Tick),
            Item::Deliver(from, to, message) => {
                let id = self.slots[from].instance.id.clone();
                self.slots[to].traffic.received += 1;
                self.slots[to].traffic.bytes += encoded_bytes(&message, 2) as u64;
                self.feed_from(to, from, Event::Message(id, message));
            }
            Item::Failed(at, peer) => {
                let id = self.slots[peer].instance.id.clone();
                self.feed(at, Event::Failed(id));
            }
            Item::Read(at, read) => self.feed(at, Event::PlatformRead(read)),
            Item::Watch(at, after, until) => self.watch(at, after, until),
        }
    }

    fn watch(&mut self, at: usize, after: u64, until: Millis) {
        let state = self.platform.state;
        let waits = matches!(state, PlatformState::Up | PlatformState::Stale(_));
        if waits && self.platform.revision() <= after && self.now < until {
            self.schedule(Millis(20), Item::Watch(at, after, until));
            return;
        }
        let read = self.platform.index();
        self.answer(at, read);
    }

    fn count_call(&mut self, caller: usize) {
        let at = self.now;
        self.platform.calls += 1;
        self.platform.log.push(PlatformCall { caller, at });
    }

    fn answer(&mut self, at: usize, read: PlatformRead) {
        if self.platform.state != PlatformState::Frozen {
            self.schedule(Millis(3), Item::Read(at, read));
        }
    }

    fn feed(&mut self, at: usize, event: Event) {
        self.feed_from(at, at, event);
    }

    fn feed_from(&mut self, at: usize, asker: usize, event: Event) {
        let now = self.now;
        let actions = self.slots[at].node.handle(event, now);
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    if let Some(to) = self.index.get(&to.id).copied() {
                        self.slots[at].traffic.exchanges += 1;
                        self.slots[to].traffic.exchanges += 1;
                        self.transmit(at, to, &message, true);
                    }
                }
                Action::Reply(message) => self.transmit(at, asker, &message, false),
                Action::ReadIndex => {
                    self.count_call(at);
                    let read = self.platform.index();
                    self.answer(at, read);
                }
                Action::WatchIndex { after, wait } => {
                    self.count_call(at);
                    self.watch(at, after, now + wait);
                }
                Action::ReadPart(team) => {
                    self.count_call(at);
                    let read = self.platform.part(&team);
                    self.answer(at, read);
                }
                Action::ViewChanged(_) => self.slots[at].view_at = now,
                Action::InForce(snapshot) => {
                    self.slots[at].revisions.push(snapshot.revision);
                    self.slots[at].in_force = Some(snapshot);
                    self.slots[at].config_at = now;
                }
                Action::Report(finding) => self.slots[at].findings.push((now, finding)),
            }
        }
    }

    fn transmit(&mut self, from: usize, to: usize, message: &Message, is_request: bool) {
        self.slots[from].traffic.sent += 1;
        self.slots[from].traffic.bytes += encoded_bytes(message, 2) as u64;
        let faults = self.faults;
        let reaches = self.slots[to].alive && self.groups[from] == self.groups[to];
        if !reaches || self.rng.random_range(0..1000) < faults.loss {
            let waiting = if is_request { (from, to) } else { (to, from) };
            self.schedule(GIVE_UP, Item::Failed(waiting.0, waiting.1));
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..1000) < faults.repeat);
        for _ in 0..copies {
            let delay = Millis(self.rng.random_range(faults.least..=faults.most));
            self.schedule(delay, Item::Deliver(from, to, message.clone()));
        }
    }
}
