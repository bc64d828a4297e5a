//! The reference membership: who may hold records of idempotency keys.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crocushold_ownership::InstanceId;
use crocushold_ownership::Member;
use crocushold_ownership::View;
use crocushold_peers::Status;

/// Every member that isn't known to have ended.
///
/// An instance that merely can't be reached stays in: if both sides of a partition dropped the
/// other, each would form groups of its own and grant the same key. One is known to have ended when
/// it left as planned, when a later life of it was seen, or when it seems dead *and* the platform's
/// list no longer names it.
#[derive(Debug)]
pub(crate) struct Members {
    me: Member,
    known: BTreeMap<InstanceId, Known>,
    listed: Option<BTreeSet<InstanceId>>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
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

    /// Takes what the peers' node knows.
    pub(crate) fn seen(&mut self, view: &crocushold_peers::View) -> View {
        for life in view.members.iter() {
            let known = Known {
                start: life.start,
                status: life.status,
            };
            self.known
                .insert(InstanceId::from_name(life.id.as_str()), known);
        }
        self.reference()
    }

    /// Takes the names that the platform lists.
    pub(crate) fn listed<'a>(&mut self, names: impl Iterator<Item = &'a str>) -> View {
        self.listed = Some(names.map(InstanceId::from_name).collect());
        self.reference()
    }

    /// The live view, and the members that account limits are split among.
    pub(crate) fn split(&self) -> (View, View) {
        (self.those(Status::is_live), self.sharing())
    }

    /// The members that answer, and those that may be acting. A suspect isn't counted on: an
    /// instance that was cut off must lose its majority long before it declares the others dead.
    pub(crate) fn quorum(&self) -> (View, View) {
        (self.those(|status| status == Status::Alive), self.sharing())
    }

    fn those(&self, wanted: impl Fn(Status) -> bool) -> View {
        let known = self.known.iter();
        let those = known.filter(|(_, known)| wanted(known.status));
        let members = those.map(|(&id, known)| member(id, known));
        View::new(members.chain([self.me]))
    }

    /// The members that account limits are split among.
    ///
    /// Unlike the reference it counts an instance that is listed and was not yet heard of. A
    /// newcomer that counted only those it has met would take the share of all others.
    fn sharing(&self) -> View {
        let listed = self.listed.iter().flatten();
        let unheard = listed.filter(|id| !self.known.contains_key(id));
        let unheard = unheard.map(|&id| Member { id, incarnation: 0 });
        let reference = self.reference();
        View::new(reference.members().iter().copied().chain(unheard))
    }

    /// The membership without this instance, for its planned stop.
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

    fn is_present(&self, id: &InstanceId, known: &Known) -> bool {
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

fn member(id: InstanceId, known: &Known) -> Member {
    Member {
        id,
        incarnation: known.start,
    }
}
