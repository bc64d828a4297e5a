//! Whether a member's records are complete enough to vote on a key.

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

/// How many members may be unheard of while the others' records still cover every grant: a grant
/// stands on a majority, so on two members at least.
const TOLERATED: usize = 1;

/// How soon to ask again when records are still on their way.
const RETRY: Millis = Millis(1_000);

/// A time during which keys that this member is new to aren't trusted.
#[derive(Clone, Debug)]
struct Hold {
    /// The views of before the loss; none where another member told of it, and every key is new.
    before: Option<Vec<View>>,
    until: Millis,
}

/// What a member knows of the others' hand-over to the view in force.
#[derive(Clone, Debug)]
pub(super) struct Readiness {
    me: Member,
    window: Millis,
    view: View,
    /// How many views were adopted.
    seq: u64,
    /// Views since the last time that everyone had moved.
    earlier: Vec<View>,
    /// Members of the view in force and of the earlier ones.
    known: BTreeSet<Member>,
    /// The last mark of each member, and the view it was for.
    marks: BTreeMap<Member, (ViewId, Mark)>,
    holds: Vec<Hold>,
    /// Set until this member's records are complete.
    cold: bool,
    /// From when on there can be no records of an earlier fleet.
    cold_until: Millis,
    /// The member count of losses that a hold covers already.
    covered: usize,
}

impl Readiness {
    /// A member that has just started and holds nothing. Unless a member that isn't cold marks it,
    /// it trusts no key before `cold_until`.
    pub(super) fn new(me: Member, window: Millis, cold_until: Millis) -> Readiness {
        Readiness {
            me,
            window,
            view: View::new([]),
            seq: 0,
            earlier: Vec::new(),
            known: BTreeSet::new(),
            marks: BTreeMap::new(),
            holds: Vec::new(),
            cold: true,
            cold_until,
            covered: 0,
        }
    }

    pub(super) fn view(&self) -> &View {
        &self.view
    }

    /// The members of a key's group that may lack its record.
    ///
    /// They are those that are new to it, as they themselves count it: against any view that isn't
    /// settled, for a grant may stand on its members. Where the members are fewer than a group nobody
    /// is new when one of them ends, and its grants would be left with one holder, whom a later newcomer
    /// may do without: the key would run twice. So there it is all of them.
    pub(super) fn receivers(&self, key: ClaimKey) -> Vec<Member> {
        let views = self.earlier.iter();
        let old: Vec<Group> = views.map(|view| view.group(key.placement_hash())).collect();
        let all = old.is_empty() || self.view.members().len() < GROUP_SIZE;
        let group = self.view.group(key.placement_hash());
        let is_new = |peer: &Member| all || old.iter().any(|old| !old.contains(*peer));
        group.members().iter().copied().filter(is_new).collect()
    }

    /// Moves to `view`; false when it is in force already.
    pub(super) fn adopt(&mut self, view: View, now: Millis) -> bool {
        if view == self.view {
            return false;
        }
        self.warm_up(now);
        let old = std::mem::replace(&mut self.view, view);
        if !old.members().is_empty() {
            self.earlier.push(old);
        }
        self.known.extend(self.view.members().iter().copied());
        self.seq += 1;
        self.hold_after_losses(now);
        true
    }

    pub(super) fn mark(&mut self, from: Member, view: ViewId, mark: Mark, now: Millis) {
        // A late, repeated mark must not undo a newer one, which isn't sent again.
        let last = self.marks.get(&from).map_or(0, |(_, mark)| mark.seq);
        if mark.seq >= last {
            self.known.extend(mark.lost.iter().copied());
            self.marks.insert(from, (view, mark));
            self.warm_up(now);
        }
    }

    /// The mark that this member may give to others.
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

    /// Whether fresh keys at this place may be voted on; if not, when to ask again.
    ///
    /// # Errors
    ///
    /// The span after which to ask again.
    pub(super) fn check(&mut self, key: ClaimKey, now: Millis) -> Result<(), Millis> {
        self.warm_up(now);
        if self.cold {
            return Err(RETRY);
        }
        self.holds.retain(|hold| hold.until > now);
        for hold in &self.holds {
            if self.is_new(key, hold.before.as_deref()) {
                return Err(hold.until.since(now).min(RETRY));
            }
        }
        let is_new = self.is_new(key, Some(&self.earlier));
        if is_new && self.unaccounted().count() > TOLERATED {
            return Err(RETRY);
        }
        Ok(())
    }

    fn is_new(&self, key: ClaimKey, before: Option<&[View]>) -> bool {
        let Some(before) = before else {
            return true;
        };
        before
            .iter()
            .any(|view| !view.group(key.placement_hash()).contains(self.me))
    }

    /// Members whose records this one may still lack.
    fn unaccounted(&self) -> impl Iterator<Item = Member> + '_ {
        self.known
            .iter()
            .copied()
            .filter(|&member| member != self.me && !self.is_accounted(member))
    }

    /// Members that ended without a hand-over since the last time that everyone had moved.
    fn lost(&self) -> impl Iterator<Item = Member> + '_ {
        self.unaccounted()
            .filter(|&member| !self.view.contains(member))
    }

    fn is_accounted(&self, member: Member) -> bool {
        self.marks
            .get(&member)
            .is_some_and(|(view, mark)| mark.leaving || *view == self.view.id())
    }

    /// Two members lost before their records were handed over may have been the only holders of a
    /// grant. The symptom would be a key granted a second time. Members that are new to such a key
    /// keep off it until every such grant has expired; members that held it before still vote.
    fn hold_after_losses(&mut self, now: Millis) {
        let lost = self.lost().count();
        if lost > TOLERATED && lost > self.covered {
            self.covered = lost;
            self.holds.push(Hold {
                before: Some(self.earlier.clone()),
                until: now + self.window,
            });
        }
    }

    /// A fresh member is complete once all but one of the others have passed on their records. At
    /// least one of them must have been complete itself, or the time be over: a fleet that lost all
    /// its memory at once must not declare itself whole.
    fn warm_up(&mut self, now: Millis) {
        let viewless = self.view.members().is_empty();
        if !self.cold || viewless || self.unaccounted().count() > TOLERATED {
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
                before: None,
                until: now + hold,
            });
        }
    }

    /// Forgets the earlier views once every member has moved to the view in force.
    pub(super) fn settle(&mut self) {
        let moved = |member: &Member| *member == self.me || self.is_accounted(*member);
        if self.earlier.is_empty() || !self.view.members().iter().all(moved) {
            return;
        }
        self.earlier.clear();
        self.known = self.view.members().iter().copied().collect();
        let known = &self.known;
        self.marks.retain(|member, _| known.contains(member));
        self.covered = 0;
    }
}
