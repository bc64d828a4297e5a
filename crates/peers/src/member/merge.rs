//! What becomes of statements about members.

use crocushold_base::Millis;

use crate::identity::InstanceId;
use crate::member::Member;
use crate::member::MemberFinding;
use crate::member::table::MergeOutcome;
use crate::message::Gossip;
use crate::message::Status;
use crate::message::Update;

impl Member {
    /// Takes in what a message says by itself: its sender lives, in the given incarnation.
    pub(super) fn observe_sender(&mut self, from: &InstanceId, gossip: &Gossip, now: Millis) {
        let Some(record) = self.table.get_mut(from) else {
            return;
        };
        // Its own word about its incarnation is as good as the update that got lost.
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
            // It lives but hasn't heard of the suspicion yet: the answer tells it, and the
            // suspicion starts again so that the refutation has time to come.
            *suspicion = suspicion.restarted(now);
        }
        self.compare_views(from, gossip.view_digest, now);
    }

    /// Applies another's statement about a member.
    pub(super) fn apply(&mut self, update: &Update, now: Millis) {
        if update.instance.id == self.me.id {
            self.apply_to_self(update, now);
            return;
        }
        let mut update = update.clone();
        if update.status == Status::Dead && self.considers_alive(&update) {
            // Late gossip from the far side of a split would remove a member that answers here.
            // As a suspicion it leaves the member the time to refute it.
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
        // Being suspected while alive is a sign of being slow oneself.
        self.raise_health_score();
        self.incarnation = update.incarnation.next();
        self.publish_self(now);
    }

    /// Merges an update and passes it on; returns whether it was news.
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
        // A newcomer's whole view is news to nobody else.
        if !self.join.is_joining() || update.instance.id == self.me.id {
            self.queue.push(update.clone(), now);
        }
        if self.table.digest() != before {
            self.version += 1;
            self.targets = None;
        }
        true
    }

    /// A live newcomer at an address proves that an earlier user of the address is gone.
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

    /// States this instance's own finding about a member.
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
