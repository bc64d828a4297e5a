//! Simulation of a fleet: nodes exchange messages over a network that loses, delays, duplicates and
//! reorders them, beside a platform that can be stale or down. Time is simulated.

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

/// Interval between two ticks of a node.
pub(crate) const TICK: Millis = Millis(100);

/// Time after which the runtime gives up on a message.
const EXCHANGE_TIMEOUT: Millis = Millis(1500);

/// Faults of the network.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    /// Share of lost messages, in thousandths.
    pub(crate) loss: u32,
    /// Share of messages delivered twice, in thousandths.
    pub(crate) duplicate: u32,
    /// Minimum delay in milliseconds.
    pub(crate) min_delay: u64,
    /// Maximum delay in milliseconds.
    pub(crate) max_delay: u64,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            loss: 0,
            duplicate: 0,
            min_delay: 1,
            max_delay: 40,
        }
    }
}

/// State of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlatformState {
    Up,
    Down,
    /// Answers with the configuration of this revision.
    Stale(u64),
    /// Answers a watch at once.
    ReturnsAtOnce,
    /// Accepts calls and never answers.
    Frozen,
    /// Rejects each call and asks for this delay.
    Throttled(Millis),
}

/// A call to the platform.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlatformCall {
    /// The calling node.
    pub(crate) caller: usize,
    pub(crate) at: Millis,
}

/// Revision and text by team.
type Texts = BTreeMap<Arc<str>, (u64, Arc<str>)>;

/// The platform's configuration with its history.
pub(crate) struct Platform {
    pub(crate) state: PlatformState,
    pub(crate) calls: u64,
    /// The same calls, individually.
    pub(crate) log: Vec<PlatformCall>,
    /// The team whose part can't be read.
    pub(crate) unreadable_team: Option<&'static str>,
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

    /// Publishes a part; an empty text removes it.
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

    /// Replaces a text without a new revision, as if two platforms disagreed.
    pub(crate) fn rewrite(&mut self, team: &str, text: &str) {
        let last = self.history.last_mut().expect("never empty");
        let revision = last[team].0;
        last.insert(Arc::from(team), (revision, Arc::from(text)));
    }

    /// Returns the error with which the platform rejects a read, if it does.
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
        if self.unreadable_team == Some(team) {
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
enum Scheduled {
    Tick(usize),
    Deliver(usize, usize, Message),
    Failed(usize, usize),
    Read(usize, PlatformRead),
    Watch(usize, u64, Millis),
}

/// Traffic counters of a node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) sent: u64,
    pub(crate) received: u64,
    /// Encoded bytes, sent and received.
    pub(crate) bytes: u64,
    /// Number of exchanges that it started or answered.
    pub(crate) exchanges: u64,
}

/// A node and its observed state.
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
    /// Times of the last change of the view and of the configuration.
    pub(crate) view_changed_at: Millis,
    pub(crate) config_changed_at: Millis,
    deferred: Vec<Scheduled>,
}

/// The simulated fleet.
pub(crate) struct Fleet {
    pub(crate) slots: Vec<Slot>,
    pub(crate) now: Millis,
    pub(crate) faults: Faults,
    pub(crate) platform: Platform,
    /// Network partition of each node; nodes of different partitions can't reach each other.
    pub(crate) groups: Vec<u8>,
    pub(crate) settings: NodeSettings,
    queue: BinaryHeap<Reverse<(Millis, u64, usize)>>,
    items: BTreeMap<u64, Scheduled>,
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
                unreadable_team: None,
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

    /// Creates a fleet of `count` nodes in `zones` zones that were listed and have run for a while.
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

    /// Adds a node, or replaces the node with this number by a restarted one.
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
            view_changed_at: self.now,
            config_changed_at: self.now,
            deferred: Vec::new(),
        };
        if number < self.slots.len() {
            self.index.retain(|_, at| *at != number);
            self.slots[number] = slot;
        } else {
            self.slots.push(slot);
            self.groups.push(0);
            let offset = self.rng.random_range(0..TICK.0);
            self.schedule(Millis(offset), Scheduled::Tick(number));
        }
        self.index.insert(instance.id, number);
    }

    /// Returns the instance list that an up-to-date platform would return.
    pub(crate) fn listing(&self) -> Vec<ListedInstance> {
        let alive = self.slots.iter().filter(|slot| slot.alive);
        let listed = alive.map(|slot| ListedInstance {
            instance: slot.instance.clone(),
            leaving: false,
        });
        listed.collect()
    }

    /// Passes the platform's list to all nodes.
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

    /// Advances time.
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

    /// Advances time until `holds`, and returns how long that took; `None` after `limit`.
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

    /// Returns whether all live nodes of each partition see exactly each other.
    pub(crate) fn views_agree(&self) -> bool {
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

    /// Returns whether all live nodes have this revision in force.
    pub(crate) fn in_force(&self, revision: u64) -> bool {
        self.alive().all(|slot| {
            slot.in_force
                .as_ref()
                .is_some_and(|c| c.revision == revision)
        })
    }

    fn schedule(&mut self, delay: Millis, item: Scheduled) {
        let key = self.next;
        self.next += 1;
        self.items.insert(key, item);
        self.queue.push(Reverse((self.now + delay, key, 0)));
    }

    fn take(&mut self, item: Scheduled) {
        let (Scheduled::Tick(at)
        | Scheduled::Deliver(_, at, _)
        | Scheduled::Failed(at, _)
        | Scheduled::Read(at, _)
        | Scheduled::Watch(at, _, _)) = item;
        if let Scheduled::Tick(_) = item {
            self.schedule(TICK, Scheduled::Tick(at));
        }
        if !self.slots[at].alive {
            return;
        }
        if self.slots[at].paused_until > self.now {
            if !matches!(item, Scheduled::Tick(_)) {
                self.slots[at].deferred.push(item);
            }
            return;
        }
        // Messages that arrived during a pause are processed before the next tick.
        for late in std::mem::take(&mut self.slots[at].deferred) {
            self.perform(late);
        }
        self.perform(item);
    }

    fn perform(&mut self, item: Scheduled) {
        match item {
            Scheduled::Tick(at) => self.feed(at, Event::Tick),
            Scheduled::Deliver(from, to, message) => {
                let id = self.slots[from].instance.id.clone();
                self.slots[to].traffic.received += 1;
                self.slots[to].traffic.bytes += encoded_bytes(&message, 2) as u64;
                self.feed_from(to, from, Event::Message(id, message));
            }
            Scheduled::Failed(at, peer) => {
                let id = self.slots[peer].instance.id.clone();
                self.feed(at, Event::Failed(id));
            }
            Scheduled::Read(at, read) => self.feed(at, Event::PlatformRead(read)),
            Scheduled::Watch(at, after, until) => self.watch(at, after, until),
        }
    }

    fn watch(&mut self, at: usize, after: u64, until: Millis) {
        let state = self.platform.state;
        let waits = matches!(state, PlatformState::Up | PlatformState::Stale(_));
        if waits && self.platform.revision() <= after && self.now < until {
            self.schedule(Millis(20), Scheduled::Watch(at, after, until));
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
            self.schedule(Millis(3), Scheduled::Read(at, read));
        }
    }

    fn feed(&mut self, at: usize, event: Event) {
        self.feed_from(at, at, event);
    }

    fn feed_from(&mut self, at: usize, requester: usize, event: Event) {
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
                Action::Reply(message) => self.transmit(at, requester, &message, false),
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
                Action::ViewChanged(_) => self.slots[at].view_changed_at = now,
                Action::InForce(snapshot) => {
                    self.slots[at].revisions.push(snapshot.revision);
                    self.slots[at].in_force = Some(snapshot);
                    self.slots[at].config_changed_at = now;
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
            self.schedule(EXCHANGE_TIMEOUT, Scheduled::Failed(waiting.0, waiting.1));
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..1000) < faults.duplicate);
        for _ in 0..copies {
            let delay = Millis(self.rng.random_range(faults.min_delay..=faults.max_delay));
            self.schedule(delay, Scheduled::Deliver(from, to, message.clone()));
        }
    }
}
