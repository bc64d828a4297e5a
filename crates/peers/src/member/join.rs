//! Joining, resuming after a pause of the process, and contacting missing members.

use crocushold_base::Millis;
use rand::seq::IteratorRandom;

use crate::identity::Instance;
use crate::identity::InstanceId;
use crate::member::Member;
use crate::member::MemberFinding;
use crate::message::Body;
use crate::message::Status;
use crate::message::Update;

/// Delay after all contacted peers refused the connection at once. Without it, an instance whose
/// peers aren't up yet would retry as fast as the network refuses.
const REFUSED_RETRY_DELAY: Millis = Millis(200);

/// Progress of joining.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The instance started and no peer has answered yet.
    Joining,
    /// The process resumed after a pause and no peer has answered yet.
    Resuming,
    /// A peer has answered, or the join timeout has expired.
    Settled,
}

/// State of joining and of the search for missing members.
#[derive(Debug)]
pub(super) struct Join {
    stage: Stage,
    started: Millis,
    contacted: Vec<InstanceId>,
    last_attempt: Option<Millis>,
    last_sync: Option<Millis>,
}

impl Join {
    pub(super) fn new(now: Millis) -> Join {
        Join {
            stage: Stage::Joining,
            started: now,
            contacted: Vec::new(),
            last_attempt: None,
            last_sync: None,
        }
    }

    pub(super) fn is_settled(&self) -> bool {
        self.stage == Stage::Settled
    }

    /// Returns whether no peer has answered since the start.
    pub(super) fn is_joining(&self) -> bool {
        self.stage == Stage::Joining
    }

    /// Returns whether other members must not be suspected yet.
    pub(super) fn is_resuming(&self) -> bool {
        self.stage == Stage::Resuming
    }

    pub(super) fn settle(&mut self) {
        self.stage = Stage::Settled;
        self.contacted.clear();
    }

    pub(super) fn failed(&mut self, peer: &InstanceId) {
        self.contacted.retain(|id| id != peer);
    }
}

impl Member {
    /// Detects a pause of this process by a gap between ticks. Its knowledge is outdated, answers
    /// were lost, and others may have declared it dead. Suspecting members based on that knowledge
    /// would remove healthy members from the view, so a peer is contacted first.
    pub(super) fn detect_pause(&mut self, now: Millis) {
        let gap = now.since(self.last_tick.unwrap_or(now));
        if gap < self.settings.pause_threshold || self.left {
            return;
        }
        self.report(MemberFinding::Paused(gap));
        self.prober.reset();
        self.restart_suspicions(now);
        self.raise_health_score();
        self.incarnation = self.incarnation.next();
        self.publish_self(now);
        if self.join.is_settled() {
            self.join = Join {
                stage: Stage::Resuming,
                ..Join::new(now)
            };
        }
    }

    pub(super) fn continue_join(&mut self, now: Millis) {
        if self.left {
            return;
        }
        if !self.join.is_settled() && now.since(self.join.started) >= self.settings.join_timeout {
            self.join.settle();
            self.restart_suspicions(now);
        }
        if self.attempt_is_due(now) {
            self.contact_peers(now);
        }
    }

    fn attempt_is_due(&self, now: Millis) -> bool {
        let Some(last) = self.join.last_attempt else {
            return true;
        };
        let urgent = !self.join.is_settled() || self.live() <= 1;
        let wait = if urgent {
            self.settings.probe_interval
        } else {
            self.settings.retry_interval
        };
        let idle = self.join.is_joining() && self.join.contacted.is_empty();
        let waited = now.since(last);
        waited >= wait || (idle && waited >= REFUSED_RETRY_DELAY)
    }

    fn contact_peers(&mut self, now: Millis) {
        let settled = self.join.is_settled() && self.live() > 1;
        let count = if settled { 1 } else { self.settings.helpers };
        let mut contacts = self.missing_instances(count);
        if self.join.is_resuming() {
            contacts = self.sample(count);
        }
        if contacts.is_empty() {
            return;
        }
        self.join.last_attempt = Some(now);
        for contact in contacts {
            self.join.contacted.push(contact.id.clone());
            self.send_sync(&contact.id);
        }
    }

    /// Instances that should be alive but aren't in the live view: listed by the platform, or
    /// declared dead.
    fn missing_instances(&mut self, count: usize) -> Vec<Instance> {
        let is_out = |id: &InstanceId| {
            let record = self.table.get(id);
            record.is_none_or(|record| record.status == Status::Dead)
        };
        let listed = self.listed.values().filter(|i| is_out(&i.id));
        let dead = self
            .table
            .iter()
            .filter(|r| r.status == Status::Dead && !self.listed.contains_key(&r.instance.id))
            .map(|r| &r.instance);
        let missing = listed.chain(dead).sample(&mut self.rng, count);
        missing.into_iter().cloned().collect()
    }

    pub(super) fn send_sync(&mut self, to: &InstanceId) {
        let digests = self.table.digests().to_vec();
        self.send(to, Body::Sync(digests));
    }

    pub(super) fn on_sync(&mut self, digests: &[u64]) {
        let origin = self.origin();
        let differing = self.table.differing(digests);
        let updates = differing.iter().map(|r| r.update(origin)).collect();
        let reply = Body::Members(updates);
        self.actions.push(super::MemberAction::Reply(reply));
    }

    pub(super) fn on_members(&mut self, from: &InstanceId, updates: &[Update], now: Millis) {
        let origin = self.origin();
        let mut newer = Vec::new();
        for update in updates.iter().take(self.settings.max_members) {
            self.apply(update, now);
            let known = self.table.get(&update.instance.id);
            let overruled =
                known.filter(|r| (r.incarnation, r.status) > (update.incarnation, update.status));
            newer.extend(overruled.map(|record| record.update(origin)));
        }
        self.join.settle();
        // A member that the peer considers alive is dead here, as after a network partition. The
        // peer has to hear of it so that the member can refute it; otherwise the two sides never
        // agree again.
        if !newer.is_empty() {
            self.send(from, Body::Members(newer));
        }
    }

    /// Compares views with a peer whose view has differed for longer than updates take to spread.
    pub(super) fn compare_views(&mut self, from: &InstanceId, digest: u64, now: Millis) {
        if digest == 0 || digest == self.digest() {
            self.mismatch_since.remove(from);
            return;
        }
        // Kept for each peer: if a peer that agrees reset the timer of one that doesn't, a new
        // instance among many peers that agree would never learn of them.
        if self.mismatch_since.len() >= self.settings.max_members {
            self.mismatch_since.clear();
        }
        let since = *self.mismatch_since.entry(from.clone()).or_insert(now);
        let interval = self.settings.sync_interval;
        let recent = self.join.last_sync.is_some_and(|t| now.since(t) < interval);
        if now.since(since) < interval || recent {
            return;
        }
        self.join.last_sync = Some(now);
        self.send_sync(from);
    }
}
