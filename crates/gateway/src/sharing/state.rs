//! The gossip state machine: what an instance sends to whom, and how it uses what it receives.

mod silence;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crocushold_base::Millis;
use twox_hash::XxHash3_64;

use super::joining::Joining;
use super::loads::LoadSum;
use super::loads::MAX_AGE;
use super::loads::ReceivedLoad;
use super::members::Members;
use super::message::CachedPrefix;
use super::message::Content;
use super::message::Identity;
use super::message::Load;
use super::message::MemberEntry;
use super::message::Message;
use super::prefix_relay::PrefixRelay;
use crate::era::Revision;
use crate::lag::Lag;

/// How long to wait for the fleet's load before changing to another collector: two of the longest
/// intervals between a collector's messages, plus a lost message.
const COLLECTOR_TIMEOUT: Millis = Millis(1200);

/// Number of rounds between messages without news, which show that the sender is alive.
const KEEPALIVE_ROUNDS: u64 = 5;

/// Number of rounds after which the next member, and all seeds that aren't members, are asked for
/// their members. This discovers members that aren't reported by the collector.
const HELLO_ROUNDS: u64 = 10;

/// Number of instances per round that receive what every instance must know soon.
const FANOUT: usize = 3;

/// Gossip state of an instance.
///
/// Each instance sends its load to the collector of its zone. Any instance that receives loads acts
/// as a collector: it adds up the load of its zone, sends the sum to the collectors of the other
/// zones, and sends the load of the fleet to the instances from which it received loads.
#[derive(Clone, Debug)]
pub struct Gossip {
    me: Identity,
    /// The capacity that this instance offers while it serves.
    capacity: u16,
    /// Whether the offered capacity has changed since the last round.
    has_changed: bool,
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
    /// The collector of the last round.
    last_collector: Option<SocketAddr>,
    /// The loads sent in the last two rounds, newest last. The fleet's load contains the older one,
    /// since the answer to the newer one hasn't arrived yet.
    sent_loads: [Load; 2],
    last_hello: SocketAddr,
    /// Whether the last sums that were sent, of the zone and of the fleet, were non-empty.
    was_nonempty: [bool; 2],
    joining: Joining,
    /// Instances that have sent a load for the first time, and get the fleet's load or that of this
    /// zone before the next round.
    newcomers: Vec<SocketAddr>,
    /// The placer that was last named to the instances of this zone.
    told_placer: Option<SocketAddr>,
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
        let seed = XxHash3_64::oneshot(me.address.to_string().as_bytes());
        Gossip {
            me,
            capacity: me.capacity,
            has_changed: false,
            seeds: seeds.collect(),
            members: Members::new(me),
            reports: BTreeMap::new(),
            zones: BTreeMap::new(),
            fleet: None,
            placer: None,
            collector: None,
            last_collector: None,
            sent_loads: [Load::default(), Load::default()],
            // Each instance starts at another member, so that they don't all contact the same one.
            last_hello: me.address,
            was_nonempty: [false; 2],
            joining: Joining::new(seed),
            newcomers: Vec::new(),
            told_placer: None,
            prefix_relay: PrefixRelay::default(),
            lag: Lag::default(),
            is_truncated: false,
            rounds: 0,
            seed,
        }
    }

    /// Sets whether this instance can serve requests. While it has no configuration, or is about to
    /// end, it offers no capacity: as placer it would know no server, or be lost with all that it
    /// knows.
    pub fn set_serving(&mut self, serving: bool) {
        let offered = if serving { self.capacity } else { 0 };
        if offered != self.me.capacity {
            self.me.capacity = offered;
            self.members.set_capacity(offered);
            self.has_changed = true;
            self.joining.reintroduce();
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
            Content::Hello => self.joining.push_hello(from),
            Content::Members => {}
            Content::Instance(load) => {
                self.prefix_relay.add_from_zone(&load.cached);
                if !self.reports.contains_key(&from) {
                    self.newcomers.push(from);
                }
                self.reports.entry(from).or_default().update(load, now);
            }
            Content::Zone(load) => {
                self.prefix_relay.add_from_other_zone(&load.cached);
                if !self.zones.contains_key(&from) {
                    self.newcomers.push(from);
                }
                let (zone, received) = self.zones.entry(from).or_default();
                *zone = message.zone;
                received.update(load, now);
            }
            // After a start, an instance may have reported to another one first.
            Content::Fleet(..) if self.members.collector(self.me.zone, now) != Some(from) => {}
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
        self.joining.begin_round();
        self.forget(now);
        let mut contents = Vec::new();
        // Whether to send messages even if they contain nothing new.
        let collector = self.choose_collector(now);
        let previous = std::mem::replace(&mut self.last_collector, collector);
        let has_changed = std::mem::take(&mut self.has_changed) || collector != previous;
        let keepalive = self.is_keepalive_round() || self.joining.is_active(now) || has_changed;
        let should_send = keepalive || !local.is_empty() || !self.sent_loads[1].is_empty();
        match collector {
            Some(collector) if should_send => {
                let parts = local.clone().split().into_iter();
                contents.extend(parts.map(|part| (collector, Content::Instance(part))));
            }
            _ => {}
        }
        // An instance that takes over from its collector tells it so.
        let replaced = previous.filter(|_| collector.is_none());
        contents.extend(replaced.map(|replaced| (replaced, Content::Hello)));
        if self.collector.is_none() {
            self.prefix_relay.add_local(&local.cached);
        }
        self.sent_loads.rotate_left(1);
        self.sent_loads[1] = local;
        self.send_sums(keepalive, now, &mut contents);
        self.is_truncated = contents.iter().any(|(_, content)| content.is_truncated());
        self.send_hellos(now, &mut contents);
        self.joining.end_round();
        self.round_messages(contents, now)
    }

    /// Whether this instance has just started and doesn't know a placer yet.
    pub fn is_joining(&mut self, now: Millis) -> bool {
        !self.seeds.is_empty() && self.joining.is_active(now) && self.placer(now).is_none()
    }

    /// Whether this instance has just started and is about to know a placer.
    pub fn expects_placer(&mut self, now: Millis) -> bool {
        self.is_joining(now) && self.joining.is_recent(now)
    }

    /// When [`Gossip::step`] has something to send before the next round; `None` if not.
    pub fn next_step(&mut self, now: Millis) -> Option<Millis> {
        if self.joining.has_hellos() || !self.newcomers.is_empty() {
            return Some(now);
        }
        if !self.joining.is_active(now) {
            return None;
        }
        let is_new = |collector| !self.joining.is_introduced(collector);
        if self.collectors_in_use(now).iter().any(is_new) {
            return Some(now);
        }
        let has_target = !self.hello_targets(now).is_empty();
        has_target.then(|| self.joining.next_hello())
    }

    /// Returns the messages that are sent between rounds: those by which instances that have just
    /// started find the others, their collector and the placer.
    ///
    /// Queues and work wait for the next round.
    pub fn step(&mut self, now: Millis) -> Vec<(SocketAddr, Message)> {
        let mut contents = Vec::new();
        self.answer_hellos(now, &mut contents);
        if self.joining.is_active(now) {
            let target = self.joining.take_target(&self.hello_targets(now), now);
            contents.extend(target.map(|target| (target, Content::Hello)));
            self.introduce(now, &mut contents);
        }
        self.answer_newcomers(now, &mut contents);
        self.step_messages(contents, now)
    }

    /// The collectors to which this instance sends loads: that of its zone, or those of the other
    /// zones if it is the collector itself.
    fn collectors_in_use(&self, now: Millis) -> Vec<SocketAddr> {
        let own = self.members.collector(self.me.zone, now);
        match own.filter(|own| *own != self.me.address) {
            Some(own) => vec![own],
            None => self.other_collectors(now),
        }
    }

    /// Sends the load to collectors that haven't heard of this instance. Their answers name the
    /// placer.
    fn introduce(&mut self, now: Millis, contents: &mut Vec<(SocketAddr, Content)>) {
        self.choose_collector(now);
        for collector in self.collectors_in_use(now) {
            if !self.joining.introduce(collector) {
                continue;
            }
            let own = self.sent_loads[1].clone();
            if self.collector.is_some() {
                let parts = own.split().into_iter();
                contents.extend(parts.map(|part| (collector, Content::Instance(part))));
            } else {
                let parts = self.zone_sum(now).load().split().into_iter();
                contents.extend(parts.map(|part| (collector, Content::Zone(part))));
            }
        }
    }

    /// The placer that this instance names to those that send it their loads. One that has a
    /// collector itself, as it is no longer chosen, passes on what that one says.
    fn named_placer(&self, now: Millis) -> SocketAddr {
        let told = self.placer(now).filter(|_| self.collector.is_some());
        told.unwrap_or_else(|| self.members.placer(self.zones.keys().copied()))
    }

    /// Answers the first loads of other instances, and tells all instances of this zone if the
    /// placer has changed.
    fn answer_newcomers(&mut self, now: Millis, contents: &mut Vec<(SocketAddr, Content)>) {
        let placer = self.named_placer(now);
        let mut newcomers = std::mem::take(&mut self.newcomers);
        if self.told_placer != Some(placer) {
            self.told_placer = Some(placer);
            newcomers.extend(self.reports.keys());
            newcomers.sort_unstable();
            newcomers.dedup();
        }
        if newcomers.is_empty() {
            return;
        }
        let mut sums = self.zone_sum(now);
        let zone = sums.load().split();
        self.add_other_zones(&mut sums, now);
        let fleet = sums.load().split();
        let is_collector = self.collector.is_none() || !self.reports.is_empty();
        for to in newcomers {
            if self.reports.contains_key(&to) {
                let parts = fleet.iter().cloned();
                contents.extend(parts.map(|part| (to, Content::Fleet(part, placer))));
            } else if is_collector {
                let parts = zone.iter().cloned();
                contents.extend(parts.map(|part| (to, Content::Zone(part))));
            } else {
                // It takes this instance for the collector of its zone.
                contents.push((to, Content::Members));
            }
        }
    }

    /// Adds the members to the messages of a round.
    fn round_messages(
        &mut self,
        contents: Vec<(SocketAddr, Content)>,
        now: Millis,
    ) -> Vec<(SocketAddr, Message)> {
        if contents.is_empty() {
            return Vec::new();
        }
        // All receivers get the same members, so that a receiver of every round learns all of them
        // in turn. The instances of this zone only need to know each other, and first of all their
        // collector.
        let mut inside = self.members.next_entries(true, now);
        inside.splice(0..0, self.members.collector_entry(self.me.zone, now));
        let all = self.members.next_entries(false, now);
        let messages = contents.into_iter().map(|(to, content)| {
            let introduced;
            let members = match content {
                Content::Instance(_) | Content::Fleet(..) => &inside,
                Content::Members => {
                    introduced = self.introduction(&to, now);
                    &introduced
                }
                Content::Hello | Content::Zone(_) => &all,
            };
            (to, self.message(members, content))
        });
        messages.collect()
    }

    /// Adds the members to messages that are sent between rounds. The rotation of the rounds stays
    /// as it is.
    fn step_messages(
        &self,
        contents: Vec<(SocketAddr, Content)>,
        now: Millis,
    ) -> Vec<(SocketAddr, Message)> {
        let messages = contents.into_iter().map(|(to, content)| {
            let members = self.introduction(&to, now);
            (to, self.message(&members, content))
        });
        messages.collect()
    }

    fn introduction(&self, to: &SocketAddr, now: Millis) -> Vec<MemberEntry> {
        let zone = self.members.zone_of(to);
        self.members.introduction(zone.unwrap_or(self.me.zone), now)
    }

    fn message(&self, members: &[MemberEntry], content: Content) -> Message {
        Message {
            revision: self.lag.newest(),
            ..Message::new(&self.me, members.to_vec(), content)
        }
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
            .filter(|placer| !self.members.is_gone(placer))
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
        let mut sums = self.zone_sum(now);
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
        let placer = self.named_placer(now);
        let should_send = keepalive
            || !fleet.is_empty()
            || self.was_nonempty[1]
            || self.told_placer != Some(placer);
        self.was_nonempty[1] = !fleet.is_empty();
        if !should_send {
            return;
        }
        self.told_placer = Some(placer);
        let parts = fleet.split();
        for to in self.reports.keys() {
            let parts = parts.iter().cloned();
            contents.extend(parts.map(|part| (*to, Content::Fleet(part, placer))));
        }
    }

    /// The collectors of the other zones: those that sent their zone's load, and those that should
    /// do so. After a start these may differ for a moment, while not all know each other.
    fn other_collectors(&self, now: Millis) -> Vec<SocketAddr> {
        let zones = self.members.other_zones().into_iter();
        let expected = zones.filter_map(|zone| self.members.collector(zone, now));
        let known = self.zones.iter();
        let known = known.filter(|(_, (zone, _))| *zone != self.me.zone);
        let known = known.map(|(address, _)| *address);
        let mut collectors: Vec<SocketAddr> = expected.chain(known).collect();
        collectors.sort_unstable();
        collectors.dedup();
        collectors
    }

    /// Answers pending hellos, and periodically sends hellos to one member and to the seeds that
    /// aren't members.
    fn send_hellos(&mut self, now: Millis, contents: &mut Vec<(SocketAddr, Content)>) {
        self.answer_hellos(now, contents);
        if self.rounds % HELLO_ROUNDS != 1 {
            return;
        }
        let unknown = self.unknown_seeds().into_iter();
        contents.extend(unknown.map(|seed| (seed, Content::Hello)));
        if let Some(next) = self.members.next_after(self.last_hello) {
            self.last_hello = next;
            contents.push((next, Content::Hello));
        }
    }

    /// The instances to say hello to between rounds: the collector until it names the placer, and
    /// the seeds that haven't answered.
    fn hello_targets(&self, now: Millis) -> Vec<SocketAddr> {
        match self.collector() {
            Some(collector) if self.placer(now).is_none() => vec![collector],
            _ => self.unknown_seeds(),
        }
    }

    fn unknown_seeds(&self) -> Vec<SocketAddr> {
        let unknown = self.seeds.iter();
        let unknown = unknown.filter(|seed| !self.members.contains(seed));
        unknown.copied().collect()
    }

    /// The instances whose hellos were answered in the last round or in the time before it.
    pub(super) fn greeted(&self) -> &[SocketAddr] {
        self.joining.greeted()
    }

    /// Answers hellos. An instance of this zone is told the placer at once, if this instance is the
    /// collector.
    fn answer_hellos(&mut self, now: Millis, contents: &mut Vec<(SocketAddr, Content)>) {
        let hellos = self.joining.take_hellos();
        if hellos.is_empty() {
            return;
        }
        let placer = self.placer(now).filter(|_| self.collector.is_none());
        let fleet = placer.map(|placer| {
            let mut sums = self.zone_sum(now);
            self.add_other_zones(&mut sums, now);
            (sums.load().split(), placer)
        });
        for sender in hellos {
            let is_near = self.members.zone_of(&sender) == Some(self.me.zone);
            match &fleet {
                Some((parts, placer)) if is_near => {
                    let parts = parts.iter().cloned();
                    contents.extend(parts.map(|part| (sender, Content::Fleet(part, *placer))));
                }
                _ => contents.push((sender, Content::Members)),
            }
        }
    }

    fn forget(&mut self, now: Millis) {
        self.members.expire(now);
        let fresh = |received: &ReceivedLoad| now.since(received.received_at) < MAX_AGE;
        self.reports.retain(|_, received| fresh(received));
        self.zones.retain(|_, (_, received)| fresh(received));
    }

    /// Load of this zone.
    fn zone_sum(&self, now: Millis) -> LoadSum {
        let mut sums = LoadSum::default();
        sums.add(&self.sent_loads[1], 1.0);
        self.add_zone(&mut sums, now);
        sums
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
