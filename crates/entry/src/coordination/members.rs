//! The reference membership: the members that may hold records of idempotency keys.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crocushold_ownership::InstanceId;
use crocushold_ownership::Member;
use crocushold_ownership::View;
use crocushold_peers::Status;

/// All members that are not known to have ended.
///
/// An instance that merely can't be reached remains a member: if both sides of a partition removed
/// the other, each would form its own groups and grant the same key. An instance is known to have
/// ended if it left gracefully, if a later incarnation of it was seen, or if it seems dead
/// *and* the platform's list no longer contains it.
#[derive(Debug)]
pub(crate) struct Members {
    me: Member,
    known: BTreeMap<InstanceId, KnownMember>,
    listed: Option<BTreeSet<InstanceId>>,
}

#[derive(Clone, Copy, Debug)]
struct KnownMember {
    start: u64,
    status: Status,
}

impl Members {
    pub(crate) fn new(me: Member) -> Members {
        Members {
            me,
            known: BTreeMap::new(),
            listed: None,
        }
    }

    /// Updates the members from the peer node's view.
    pub(crate) fn on_view(&mut self, view: &crocushold_peers::View) -> View {
        for state in view.members.iter() {
            let known = KnownMember {
                start: state.start,
                status: state.status,
            };
            self.known
                .insert(InstanceId::from_name(state.id.as_str()), known);
        }
        self.reference()
    }

    /// Updates the instances that the platform lists.
    pub(crate) fn on_instance_list<'a>(&mut self, names: impl Iterator<Item = &'a str>) -> View {
        self.listed = Some(names.map(InstanceId::from_name).collect());
        self.reference()
    }

    /// Returns the live view, and the members among which account limits are split.
    pub(crate) fn limit_views(&self) -> (View, View) {
        (self.with_status(Status::is_live), self.limit_members())
    }

    /// Returns the members that reply, and those that may be acting. Suspects are not among the
    /// former: an instance that is cut off must lose its majority long before it declares the
    /// others dead.
    pub(crate) fn quorum(&self) -> (View, View) {
        (
            self.with_status(|status| status == Status::Alive),
            self.limit_members(),
        )
    }

    fn with_status(&self, wanted: impl Fn(Status) -> bool) -> View {
        let known = self.known.iter();
        let matching = known.filter(|(_, known)| wanted(known.status));
        let members = matching.map(|(&id, known)| member(id, known));
        View::new(members.chain([self.me]))
    }

    /// The members among which account limits are split.
    ///
    /// Unlike the reference membership it includes listed instances that were not heard from yet. A
    /// new member that counted only those it has met would take the share of all others.
    fn limit_members(&self) -> View {
        let listed = self.listed.iter().flatten();
        let unheard = listed.filter(|id| !self.known.contains_key(id));
        let unheard = unheard.map(|&id| Member { id, incarnation: 0 });
        let reference = self.reference();
        View::new(reference.members().iter().copied().chain(unheard))
    }

    /// The membership without this instance, for its graceful shutdown.
    pub(crate) fn without_me(&self) -> View {
        let all = self.reference();
        let others = all.members().iter().copied();
        View::new(others.filter(|member| member.id != self.me.id))
    }

    fn reference(&self) -> View {
        let present = self
            .known
            .iter()
            .filter(|(id, known)| self.is_present(id, known));
        let members = present.map(|(&id, known)| member(id, known));
        View::new(members.chain([self.me]))
    }

    fn is_present(&self, id: &InstanceId, known: &KnownMember) -> bool {
        match known.status {
            Status::Alive | Status::Suspect => true,
            Status::Left => false,
            Status::Dead => self
                .listed
                .as_ref()
                .is_none_or(|listed| listed.contains(id)),
        }
    }
}

fn member(id: InstanceId, known: &KnownMember) -> Member {
    Member {
        id,
        incarnation: known.start,
    }
}
