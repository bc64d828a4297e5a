//! Membership: which instances are alive.
//!
//! [`Member`] is a pure state machine that implements SWIM with Lifeguard's local health score. It
//! sends no messages itself: the caller turns each [`MemberAction`] into a message and adds the
//! updates returned by [`Member::updates`].

mod join;
mod merge;
mod probe;
mod queue;
pub(crate) mod ring;
mod settings;
mod table;
mod view;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crocushold_base::Millis;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

use crate::identity::Incarnation;
use crate::identity::Instance;
use crate::identity::InstanceId;
use crate::member::join::Join;
use crate::member::probe::Prober;
use crate::member::queue::UpdateQueue;
use crate::member::table::Table;
use crate::message::Body;
use crate::message::Gossip;
use crate::message::Status;
use crate::message::Update;

pub use ring::RINGS;
pub use settings::MemberSettings;
pub use view::MemberState;
pub use view::View;

/// Number of random members that this instance tells directly that it leaves, in addition to those
/// it probes.
const LEAVE_CONTACTS: usize = 8;

/// An instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// The instance.
    pub instance: Instance,
    /// Whether the platform reports it as leaving.
    pub leaving: bool,
}

/// An action that the embedder must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberAction {
    /// Send a message.
    Send(Instance, Body),
    /// Answer the message that is being processed.
    Reply(Body),
    /// Report a finding to the operator.
    Report(MemberFinding),
}

/// A finding about the membership, reported to the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberFinding {
    /// This instance declared a member dead.
    Died(InstanceId),
    /// Others had declared this instance suspect or dead; it refuted that.
    Refuted(Incarnation),
    /// Another process uses this instance's name, or the clock was ahead when an earlier process of
    /// it started.
    NewerSelf(Incarnation),
    /// This process was paused for the given time.
    Paused(Millis),
    /// The member table is full; the named instance isn't added.
    Full(InstanceId),
}

/// The membership as seen by one instance.
#[derive(Debug)]
pub struct Member {
    settings: MemberSettings,
    me: Instance,
    incarnation: Incarnation,
    left: bool,
    table: Table,
    queue: UpdateQueue,
    listed: BTreeMap<InstanceId, Instance>,
    targets: Option<Vec<InstanceId>>,
    prober: Prober,
    join: Join,
    health_score: u64,
    last_tick: Option<Millis>,
    mismatch_since: BTreeMap<InstanceId, Millis>,
    version: u64,
    rng: SmallRng,
    actions: Vec<MemberAction>,
}

impl Member {
    /// Creates a member that knows only itself; `seed` seeds its random choices.
    pub fn new(
        settings: MemberSettings,
        me: Instance,
        incarnation: Incarnation,
        seed: u64,
        now: Millis,
    ) -> Member {
        let mut member = Member {
            settings,
            me,
            incarnation,
            left: false,
            table: Table::default(),
            queue: UpdateQueue::default(),
            listed: BTreeMap::new(),
            targets: None,
            prober: Prober::default(),
            join: Join::new(now),
            health_score: 0,
            last_tick: None,
            mismatch_since: BTreeMap::new(),
            version: 0,
            rng: SmallRng::seed_from_u64(seed),
            actions: Vec::new(),
        };
        member.publish_self(now);
        member
    }

    /// Returns this instance.
    pub fn me(&self) -> &Instance {
        &self.me
    }

    /// Returns this instance's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns a counter that increases with each change of the live view.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the digest of the live view.
    pub fn digest(&self) -> u64 {
        self.table.digest()
    }

    /// Returns the number of live instances, including this one.
    pub fn live(&self) -> usize {
        self.table.live_count()
    }

    /// Returns whether joining, or resuming after a pause of this process, is complete.
    pub fn is_settled(&self) -> bool {
        self.join.is_settled()
    }

    /// Returns the live view.
    pub fn view(&self) -> View {
        let instances = self.table.live().map(|r| r.instance.clone());
        let members = self.table.iter().map(|record| MemberState {
            id: record.instance.id.clone(),
            start: record.incarnation.start,
            status: record.status,
        });
        View {
            instances: instances.collect::<Vec<_>>().into(),
            members: members.collect(),
            digest: self.digest(),
            me: self.me.id.clone(),
            settled: self.is_settled(),
        }
    }

    /// Looks up a known or listed instance with its address.
    pub fn locate(&self, id: &InstanceId) -> Option<Instance> {
        let known = self.table.get(id).map(|record| &record.instance);
        known.or_else(|| self.listed.get(id)).cloned()
    }

    /// Returns the instances that this one probes.
    pub fn targets(&mut self) -> &[InstanceId] {
        if self.targets.is_none() {
            let me = &self.me.id;
            let others = self.table.live().filter(|r| r.instance.id != *me);
            let mine = ring::positions(me);
            let others = others.map(|r| (&r.instance.id, &r.positions));
            self.targets = Some(ring::successors(&mine, others));
        }
        self.targets.as_deref().unwrap_or_default()
    }

    /// Returns up to `count` random live instances other than this one.
    pub fn sample(&mut self, count: usize) -> Vec<Instance> {
        let me = &self.me.id;
        let others = self.table.live().filter(|r| r.instance.id != *me);
        let chosen = others.sample(&mut self.rng, count);
        chosen.into_iter().map(|r| r.instance.clone()).collect()
    }

    /// Takes the updates to piggyback on the next message to `to`.
    pub fn updates(&mut self, to: &InstanceId) -> Vec<Update> {
        let mut updates = Vec::new();
        // A suspect that isn't told of the suspicion can't refute it, and would be declared dead
        // although it is alive.
        if let Some(record) = self.table.get(to)
            && record.status != Status::Alive
        {
            updates.push(record.update(self.origin()));
        }
        let room = self.settings.max_updates.saturating_sub(updates.len());
        updates.extend(self.queue.take(room, self.table.live_count()));
        updates
    }

    /// Applies the platform's instance list.
    pub fn set_listed(&mut self, listed: &[ListedInstance], now: Millis) -> Vec<MemberAction> {
        let seeds = listed
            .iter()
            .filter(|entry| !entry.leaving && entry.instance.id != self.me.id)
            .take(self.settings.max_members);
        self.listed = seeds
            .map(|entry| (entry.instance.id.clone(), entry.instance.clone()))
            .collect();
        self.continue_join(now);
        self.finish()
    }

    /// Returns the number of other instances in the platform's last list that aren't leaving.
    pub fn listed_count(&self) -> usize {
        self.listed.len()
    }

    /// Advances time. Must be called several times per probe timeout.
    pub fn tick(&mut self, now: Millis) -> Vec<MemberAction> {
        self.detect_pause(now);
        self.last_tick = Some(now);
        if self.left {
            return self.finish();
        }
        self.continue_join(now);
        if !self.join.is_resuming() {
            self.advance_probe(now);
            self.expire_suspicions(now);
        }
        self.expire_relayed_probes(now);
        self.queue.expire(now);
        self.table.expire(self.settings.tombstone_ttl, now);
        self.finish()
    }

    /// Processes a message. A body that doesn't belong to the membership protocol is ignored, but
    /// its gossip is applied.
    pub fn receive(
        &mut self,
        from: &InstanceId,
        gossip: &Gossip,
        body: &Body,
        now: Millis,
    ) -> Vec<MemberAction> {
        for update in &gossip.updates {
            self.apply(update, now);
        }
        self.observe_sender(from, gossip, now);
        match body {
            Body::Probe(_) => self.actions.push(MemberAction::Reply(self.ack())),
            Body::Ack(id) => self.on_ack(from, id, now),
            Body::Indirect(target) => self.on_indirect(from, target, now),
            Body::Confirm { target, alive } => self.on_confirm(target, *alive, now),
            Body::Sync(digests) => self.on_sync(digests),
            Body::Members(updates) => self.on_members(from, updates, now),
            _ => {}
        }
        self.finish()
    }

    /// Handles a message to `peer` that couldn't be delivered or wasn't answered.
    pub fn failed(&mut self, peer: &InstanceId, now: Millis) -> Vec<MemberAction> {
        self.join.failed(peer);
        self.continue_join(now);
        self.probe_failed(peer);
        self.finish()
    }

    /// Handles the finding that another instance answers at the address of `expected`.
    pub fn replaced(&mut self, expected: &InstanceId, now: Millis) -> Vec<MemberAction> {
        self.listed.remove(expected);
        self.declare(expected, Status::Dead, now);
        self.finish()
    }

    /// Requests the views of some peers, as gossip may lag by seconds.
    pub fn refresh(&mut self) -> Vec<MemberAction> {
        for contact in self.sample(self.settings.helpers) {
            self.send_sync(&contact.id);
        }
        self.finish()
    }

    /// Leaves the membership: tells neighbours and some random members, which pass it on. The
    /// member still answers probes until it is dropped, but takes no other part.
    pub fn leave(&mut self, now: Millis) -> Vec<MemberAction> {
        let sampled = self.sample(LEAVE_CONTACTS);
        let mut contacts: BTreeSet<InstanceId> = sampled.into_iter().map(|i| i.id).collect();
        contacts.extend(self.targets().iter().cloned());
        self.left = true;
        let update = self.self_update(Status::Left);
        self.merge(&update, now);
        for id in contacts {
            self.send(&id, Body::None);
        }
        self.finish()
    }

    fn ack(&self) -> Body {
        Body::Ack(self.me.id.clone())
    }

    fn finish(&mut self) -> Vec<MemberAction> {
        std::mem::take(&mut self.actions)
    }

    fn send(&mut self, id: &InstanceId, body: Body) {
        if let Some(instance) = self.locate(id) {
            self.actions.push(MemberAction::Send(instance, body));
        }
    }

    fn report(&mut self, finding: MemberFinding) {
        self.actions.push(MemberAction::Report(finding));
    }

    fn origin(&self) -> u32 {
        ring::hash_id(0, &self.me.id) as u32
    }

    /// Returns the update that introduces this instance to a peer that may not know it.
    pub(crate) fn introduction(&self) -> Update {
        let status = if self.left {
            Status::Left
        } else {
            Status::Alive
        };
        self.self_update(status)
    }

    fn self_update(&self, status: Status) -> Update {
        Update {
            instance: self.me.clone(),
            incarnation: self.incarnation,
            status,
            origin: 0,
        }
    }

    fn publish_self(&mut self, now: Millis) {
        let update = self.self_update(Status::Alive);
        self.merge(&update, now);
    }

    fn raise_health_score(&mut self) {
        self.health_score = (self.health_score + 1).min(self.settings.max_health_score);
    }

    fn lower_health_score(&mut self) {
        self.health_score = self.health_score.saturating_sub(1);
    }

    /// Scales a duration by the local health score, so that an instance that is slow itself
    /// suspects others later.
    fn scaled(&self, span: Millis) -> Millis {
        Millis(span.0 * (self.health_score + 1))
    }
}
