//! The reference membership, and rendezvous hashing over it.

use std::sync::Arc;

use twox_hash::XxHash3_64;

/// The number of members that hold the record of a key.
pub const GROUP_SIZE: usize = 3;

/// An instance, as a hash of its name in the platform's instance list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId(pub u64);

impl InstanceId {
    /// The id of the instance called `name`.
    pub fn from_name(name: &str) -> InstanceId {
        InstanceId(XxHash3_64::oneshot(name.as_bytes()))
    }
}

/// One incarnation of an instance: an instance that restarts has lost its memory and counts as
/// another member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    /// The instance.
    pub id: InstanceId,
    /// Increases with each start of the instance.
    pub incarnation: u64,
}

impl Member {
    /// The member called `name` with the given incarnation.
    pub fn new(name: &str, incarnation: u64) -> Member {
        Member {
            id: InstanceId::from_name(name),
            incarnation,
        }
    }

    /// The rendezvous weight of this member for `key`; the member of the highest weight owns the
    /// key.
    fn weight(self, key: u64) -> u64 {
        let mut bytes = [0; 24];
        bytes[..8].copy_from_slice(&self.id.0.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.incarnation.to_le_bytes());
        bytes[16..].copy_from_slice(&key.to_le_bytes());
        XxHash3_64::oneshot(&bytes)
    }
}

/// Identifies the exact set of members of a [`View`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ViewId(pub u64);

/// A set of members. Cheap to clone.
///
/// For claims, this is the *reference* membership: every member that is not known to have ended. A
/// member that is merely unreachable stays in it; otherwise both sides of a partition would form
/// groups of their own and grant the same key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    members: Arc<[Member]>,
    id: ViewId,
}

impl View {
    /// Creates a view. If it contains several incarnations of an instance, only the latest is kept.
    pub fn new(members: impl IntoIterator<Item = Member>) -> View {
        let mut sorted: Vec<Member> = members.into_iter().collect();
        sorted.sort_unstable_by(|a, b| (a.id, b.incarnation).cmp(&(b.id, a.incarnation)));
        sorted.dedup_by_key(|m| m.id);
        let id = ViewId(hash_members(&sorted));
        View {
            members: sorted.into(),
            id,
        }
    }

    /// The members in ascending order.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The identifier of this set of members.
    pub fn id(&self) -> ViewId {
        self.id
    }

    /// Whether `member` belongs to the view.
    pub fn contains(&self, member: Member) -> bool {
        self.members.binary_search(&member).is_ok()
    }

    /// This view without `member`.
    pub fn without(&self, member: Member) -> View {
        View::new(
            self.members
                .iter()
                .copied()
                .filter(|other| *other != member),
        )
    }

    /// The owner of `key`: the member of the highest rendezvous weight; `None` if the view is
    /// empty.
    pub fn owner(&self, key: u64) -> Option<Member> {
        self.members
            .iter()
            .copied()
            .max_by_key(|m| (m.weight(key), *m))
    }

    /// The [`GROUP_SIZE`] members of the highest rendezvous weight for `key`, highest first.
    pub fn group(&self, key: u64) -> Group {
        let mut top = [(0, Member::default()); GROUP_SIZE];
        let mut len = 0;
        for &member in self.members.iter() {
            let ranked = (member.weight(key), member);
            let rank = top[..len].partition_point(|other| *other > ranked);
            if rank == GROUP_SIZE {
                continue;
            }
            len = (len + 1).min(GROUP_SIZE);
            top[rank..len].rotate_right(1);
            top[rank] = ranked;
        }
        Group {
            members: top.map(|(_, member)| member),
            len: len as u8,
        }
    }
}

/// Identifies the ordered members of a [`Group`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct GroupId(pub u64);

/// The members that hold the record of a key, by rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Group {
    members: [Member; GROUP_SIZE],
    len: u8,
}

impl Group {
    /// The members by rank.
    pub fn members(&self) -> &[Member] {
        &self.members[..usize::from(self.len)]
    }

    /// Whether `member` belongs to the group.
    pub fn contains(&self, member: Member) -> bool {
        self.members().contains(&member)
    }

    /// The number of votes for a majority. Any two majorities of a group share a member.
    pub fn majority(&self) -> usize {
        usize::from(self.len) / 2 + 1
    }

    /// The identifier of this group.
    pub fn id(&self) -> GroupId {
        GroupId(hash_members(self.members()))
    }
}

fn hash_members(members: &[Member]) -> u64 {
    let mut bytes = Vec::with_capacity(members.len() * 16);
    for member in members {
        bytes.extend_from_slice(&member.id.0.to_le_bytes());
        bytes.extend_from_slice(&member.incarnation.to_le_bytes());
    }
    XxHash3_64::oneshot(&bytes)
}
