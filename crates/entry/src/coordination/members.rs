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
        for life in view.lives.iter() {
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
        let members = present.map(|(&id, known)| Member {
            id,
            incarnation: known.start,
        });
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
