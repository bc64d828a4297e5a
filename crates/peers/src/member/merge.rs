//! Processing of updates about members.

use crocushold_base::Millis;

use crate::identity::InstanceId;
use crate::member::Member;
use crate::member::MemberFinding;
use crate::member::table::MergeOutcome;
use crate::message::Gossip;
use crate::message::Status;
use crate::message::Update;

impl Member {
    /// Processes what a message itself proves: its sender is alive, in the given incarnation.
    pub(super) fn observe_sender(&mut self, from: &InstanceId, gossip: &Gossip, now: Millis) {
        let Some(record) = self.table.get_mut(from) else {
            return;
        };
        // The sender's own incarnation is as good as an update that got lost.
        if gossip.incarnation > record.incarnation {
            let update = Update {
                instance: record.instance.clone(),
                incarnation: gossip.incarnation,
                status: Status::Alive,
                origin: 0,
            };
            self.merge(&update, now);
        } else if let Some(suspicion) = &mut record.suspicion
            && gossip.incarnation == record.incarnation
        {
            // The sender is alive but hasn't heard of the suspicion yet. The answer tells it, and
            // the suspicion timeout restarts so that the refutation has time to arrive.
            *suspicion = suspicion.restarted(now);
        }
        self.compare_views(from, gossip.view_digest, now);
    }

    /// Applies an update about a member that another instance sent.
    pub(super) fn apply(&mut self, update: &Update, now: Millis) {
        if update.instance.id == self.me.id {
            self.apply_to_self(update, now);
            return;
        }
        let mut update = update.clone();
        if update.status == Status::Dead && self.considers_alive(&update) {
            // Late gossip from the other side of a network partition would remove a member that
            // answers here. As a suspicion it leaves the member time to refute it.
            update.status = Status::Suspect;
        }
        if self.merge(&update, now) {
            self.remove_predecessors(&update, now);
            return;
        }
        self.queue.mark_received(&update);
        if update.status == Status::Suspect {
            self.confirm_suspicion(&update, now);
        }
    }

    pub(super) fn considers_alive(&self, update: &Update) -> bool {
        self.table
            .get(&update.instance.id)
            .is_some_and(|known| known.status == Status::Alive)
    }

    pub(super) fn apply_to_self(&mut self, update: &Update, now: Millis) {
        let accused = update.status != Status::Alive && update.incarnation == self.incarnation;
        let newer = update.incarnation > self.incarnation;
        if self.left || !(accused || newer) {
            return;
        }
        let finding = if update.incarnation.start > self.incarnation.start {
            MemberFinding::NewerSelf(update.incarnation)
        } else {
            MemberFinding::Refuted(update.incarnation)
        };
        self.report(finding);
        // Being suspected while alive indicates that this instance is slow itself.
        self.raise_health_score();
        self.incarnation = update.incarnation.next();
        self.publish_self(now);
    }

    /// Merges an update and queues it for gossip; returns whether it changed the table.
    pub(super) fn merge(&mut self, update: &Update, now: Millis) -> bool {
        let before = self.table.digest();
        match self.table.merge(update, self.settings.max_members, now) {
            MergeOutcome::Stale => return false,
            MergeOutcome::Full => {
                self.report(MemberFinding::Full(update.instance.id.clone()));
                return false;
            }
            MergeOutcome::Changed => {}
        }
        // While joining, all updates are new to this instance but not to others.
        if !self.join.is_joining() || update.instance.id == self.me.id {
            self.queue.push(update.clone(), now);
        }
        if self.table.digest() != before {
            self.version += 1;
            self.targets = None;
        }
        true
    }

    /// Declares the former user of an address dead once a newer instance is alive at that address.
    pub(super) fn remove_predecessors(&mut self, update: &Update, now: Millis) {
        if update.status != Status::Alive {
            return;
        }
        let replaced = self.table.live().find(|record| {
            record.instance.address == update.instance.address
                && record.instance.id != update.instance.id
                && record.incarnation.start < update.incarnation.start
        });
        let id = replaced.map(|record| record.instance.id.clone());
        if let Some(id) = id.filter(|id| *id != self.me.id) {
            self.declare(&id, Status::Dead, now);
        }
    }

    /// Records this instance's own observation about a member.
    pub(super) fn declare(&mut self, id: &InstanceId, status: Status, now: Millis) {
        let origin = self.origin();
        let Some(record) = self.table.get(id) else {
            return;
        };
        let update = Update {
            status,
            ..record.update(origin)
        };
        if self.merge(&update, now) && status == Status::Dead {
            self.report(MemberFinding::Died(id.clone()));
        }
    }
}
