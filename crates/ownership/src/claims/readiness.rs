//! Decides whether a member's records are complete enough to vote on a key.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crocushold_base::Millis;

use super::message::ClaimKey;
use super::message::Mark;
use crate::view::GROUP_SIZE;
use crate::view::Group;
use crate::view::Member;
use crate::view::View;
use crate::view::ViewId;

/// How many members may be unaccounted for while the records of the others still cover every grant:
/// a grant is recorded by a majority, so by at least two members.
const MAX_UNACCOUNTED: usize = 1;

/// When to retry while records are still being transferred.
const RETRY_AFTER: Millis = Millis(1_000);

/// A period during which this member refuses the keys that it is new to.
#[derive(Clone, Debug)]
struct Hold {
    /// The views before the loss. `None` if another member reported the loss; every key counts as
    /// new then.
    views_before: Option<Vec<View>>,
    until: Millis,
}

/// What a member knows of the hand-over of its peers to the current view.
#[derive(Clone, Debug)]
pub(super) struct Readiness {
    me: Member,
    window: Millis,
    view: View,
    /// The number of views adopted.
    seq: u64,
    /// The views since every member last finished its hand-over.
    earlier_views: Vec<View>,
    /// Members of the current view and of the earlier ones.
    known_members: BTreeSet<Member>,
    /// The last mark of each member and the view that it was sent for.
    marks: BTreeMap<Member, (ViewId, Mark)>,
    holds: Vec<Hold>,
    /// Set until this member's records are complete.
    cold: bool,
    /// The time after which no records of an earlier fleet can exist.
    cold_until: Millis,
    /// The number of lost members that a hold already accounts for.
    covered_losses: usize,
}

impl Readiness {
    /// A member that has just started and has no records. Unless it receives a mark from a member
    /// that isn't cold, it accepts no key before `cold_until`.
    pub(super) fn new(me: Member, window: Millis, cold_until: Millis) -> Readiness {
        Readiness {
            me,
            window,
            view: View::new([]),
            seq: 0,
            earlier_views: Vec::new(),
            known_members: BTreeSet::new(),
            marks: BTreeMap::new(),
            holds: Vec::new(),
            cold: true,
            cold_until,
            covered_losses: 0,
        }
    }

    pub(super) fn view(&self) -> &View {
        &self.view
    }

    /// The members of a key's group that may lack its record.
    ///
    /// These are the members that consider themselves new to the key, compared with every view that
    /// isn't settled, since a grant may have been recorded by the members of any of them. In a
    /// fleet smaller than a group, nobody becomes new when a member ends: its grants would be left
    /// with a single holder, which a later new member doesn't have to wait for, and the key would run
    /// twice. There, every member of the group receives the record.
    pub(super) fn receivers(&self, key: ClaimKey) -> Vec<Member> {
        let views = self.earlier_views.iter();
        let old: Vec<Group> = views.map(|view| view.group(key.placement_hash())).collect();
        let all = old.is_empty() || self.view.members().len() < GROUP_SIZE;
        let group = self.view.group(key.placement_hash());
        let is_new = |peer: &Member| all || old.iter().any(|old| !old.contains(*peer));
        group.members().iter().copied().filter(is_new).collect()
    }

    /// Adopts `view`; returns false if it is already the current one.
    pub(super) fn adopt(&mut self, view: View, now: Millis) -> bool {
        if view == self.view {
            return false;
        }
        self.update_cold(now);
        let old = std::mem::replace(&mut self.view, view);
        if !old.members().is_empty() {
            self.earlier_views.push(old);
        }
        self.known_members
            .extend(self.view.members().iter().copied());
        self.seq += 1;
        self.hold_after_losses(now);
        true
    }

    pub(super) fn on_mark(&mut self, from: Member, view: ViewId, mark: Mark, now: Millis) {
        // A delayed, older mark must not replace a newer one, which isn't sent again.
        let last = self.marks.get(&from).map_or(0, |(_, mark)| mark.seq);
        if mark.seq >= last {
            self.known_members.extend(mark.lost.iter().copied());
            self.marks.insert(from, (view, mark));
            self.update_cold(now);
        }
    }

    /// The mark that this member may send to others.
    pub(super) fn own_mark(&self, now: Millis) -> Mark {
        let hold = self.holds.iter().map(|hold| hold.until.since(now)).max();
        Mark {
            seq: self.seq,
            warm: !self.cold,
            hold: hold.unwrap_or(Millis::ZERO),
            lost: self.lost().collect(),
            leaving: !self.view.contains(self.me),
        }
    }

    /// Checks whether this member may vote on a key that it has no record of.
    ///
    /// # Errors
    ///
    /// The time after which to retry.
    pub(super) fn check(&mut self, key: ClaimKey, now: Millis) -> Result<(), Millis> {
        self.update_cold(now);
        if self.cold {
            return Err(RETRY_AFTER);
        }
        self.holds.retain(|hold| hold.until > now);
        for hold in &self.holds {
            if self.is_new(key, hold.views_before.as_deref()) {
                return Err(hold.until.since(now).min(RETRY_AFTER));
            }
        }
        let is_new = self.is_new(key, Some(&self.earlier_views));
        if is_new && self.unaccounted().count() > MAX_UNACCOUNTED {
            return Err(RETRY_AFTER);
        }
        Ok(())
    }

    fn is_new(&self, key: ClaimKey, views_before: Option<&[View]>) -> bool {
        let Some(views_before) = views_before else {
            return true;
        };
        views_before
            .iter()
            .any(|view| !view.group(key.placement_hash()).contains(self.me))
    }

    /// Members whose records this member may still lack.
    fn unaccounted(&self) -> impl Iterator<Item = Member> + '_ {
        self.known_members
            .iter()
            .copied()
            .filter(|&member| member != self.me && !self.is_accounted(member))
    }

    /// Members that ended without a hand-over since every member last finished one.
    fn lost(&self) -> impl Iterator<Item = Member> + '_ {
        self.unaccounted()
            .filter(|&member| !self.view.contains(member))
    }

    fn is_accounted(&self, member: Member) -> bool {
        self.marks
            .get(&member)
            .is_some_and(|(view, mark)| mark.leaving || *view == self.view.id())
    }

    /// If two members are lost before they have transferred their records, a grant may have been
    /// held by these two alone, and the key could be granted a second time. Members that are new to
    /// such a key refuse it until every such grant has expired; members that held it before still
    /// vote.
    fn hold_after_losses(&mut self, now: Millis) {
        let lost = self.lost().count();
        if lost > MAX_UNACCOUNTED && lost > self.covered_losses {
            self.covered_losses = lost;
            self.holds.push(Hold {
                views_before: Some(self.earlier_views.clone()),
                until: now + self.window,
            });
        }
    }

    /// A new member is complete once all but one of the others have transferred their records. At
    /// least one of those must be complete itself, or `cold_until` must have passed: the members of
    /// a fleet that lost all its memory at once must not declare each other complete.
    fn update_cold(&mut self, now: Millis) {
        let viewless = self.view.members().is_empty();
        if !self.cold || viewless || self.unaccounted().count() > MAX_UNACCOUNTED {
            return;
        }
        let mut accounted = self
            .marks
            .iter()
            .filter(|(member, _)| self.is_accounted(**member));
        if now < self.cold_until && !accounted.any(|(_, (_, mark))| mark.warm) {
            return;
        }
        self.cold = false;
        let others = self.marks.values().map(|(_, mark)| mark.hold).max();
        if let Some(hold) = others.filter(|hold| *hold > Millis::ZERO) {
            self.holds.push(Hold {
                views_before: None,
                until: now + hold,
            });
        }
    }

    /// Forgets the earlier views once every member has moved to the current one.
    pub(super) fn forget_earlier_views(&mut self) {
        let moved = |member: &Member| *member == self.me || self.is_accounted(*member);
        if self.earlier_views.is_empty() || !self.view.members().iter().all(moved) {
            return;
        }
        self.earlier_views.clear();
        self.known_members = self.view.members().iter().copied().collect();
        let known_members = &self.known_members;
        self.marks
            .retain(|member, _| known_members.contains(member));
        self.covered_losses = 0;
    }
}
