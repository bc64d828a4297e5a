//! Membership: the known instances, and which of them is the collector of a zone.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;

use crocushold_base::Millis;
use twox_hash::XxHash3_64;

use super::message::Identity;
use super::message::MAX_INTRODUCED;
use super::message::MAX_MEMBER_ENTRIES;
use super::message::MemberEntry;

/// How long an instance remains a member without being heard of. In a zone of twenty instances
/// without load, all members are named within two seconds.
const MEMBER_TIMEOUT: Millis = Millis::from_secs(8);

/// Maximum number of members: the number of instances in the largest deployment.
const MAX_MEMBERS: usize = 512;

#[derive(Clone, Copy, Debug)]
struct Member {
    identity: Identity,
    /// When it was last heard, by this instance or by one that reported it.
    last_heard: Millis,
    /// It isn't chosen as collector before this time, because it was unresponsive.
    suspended_until: Millis,
    /// When its process was found not to run. It doesn't count until it is heard after that.
    gone_at: Option<Millis>,
}

impl Member {
    fn is_gone(&self) -> bool {
        self.gone_at
            .is_some_and(|gone_at| self.last_heard <= gone_at)
    }

    fn entry(&self, now: Millis) -> MemberEntry {
        MemberEntry {
            identity: self.identity,
            age: u16::try_from(now.since(self.last_heard).0).unwrap_or(u16::MAX),
        }
    }
}

/// The other instances, by address.
#[derive(Clone, Debug)]
pub struct Members {
    me: Identity,
    members: BTreeMap<SocketAddr, Member>,
    /// Where the last list of members ended, for the lists of all members and of those in this
    /// zone.
    last_entry: [Option<SocketAddr>; 2],
}

impl Members {
    /// Creates an empty membership.
    pub fn new(me: Identity) -> Members {
        Members {
            me,
            members: BTreeMap::new(),
            last_entry: [None; 2],
        }
    }

    /// Sets the capacity that this instance offers.
    pub fn set_capacity(&mut self, capacity: u16) {
        self.me.capacity = capacity;
    }

    /// Number of other live instances in a zone.
    pub fn live(&self, zone: u32) -> usize {
        let members = self.members.values();
        members
            .filter(|member| member.identity.zone == zone)
            .count()
    }

    /// The other instances.
    pub fn identities(&self) -> impl Iterator<Item = &Identity> {
        self.members.values().map(|member| &member.identity)
    }

    /// Whether an instance is a member.
    pub fn contains(&self, address: &SocketAddr) -> bool {
        self.members.contains_key(address)
    }

    /// Records a message from the instance itself.
    pub fn observe(&mut self, identity: Identity, now: Millis) {
        self.upsert(identity, now);
    }

    /// Records a member that another instance reported.
    ///
    /// The time at which the member was heard counts, not that of the report. Otherwise two
    /// instances would keep a dead member alive for each other forever.
    pub fn observe_reported(&mut self, entry: MemberEntry, now: Millis) {
        let age = Millis(u64::from(entry.age));
        if age < MEMBER_TIMEOUT {
            self.upsert(entry.identity, Millis(now.0.saturating_sub(age.0)));
        }
    }

    /// Removes the members that weren't heard of for too long.
    pub fn expire(&mut self, now: Millis) {
        self.members
            .retain(|_, member| now.since(member.last_heard) < MEMBER_TIMEOUT);
    }

    /// Excludes an unresponsive instance from being chosen as collector for a while. Messages from
    /// it don't lift the exclusion, since it may be unable to receive any.
    pub fn suspend(&mut self, address: &SocketAddr, now: Millis) {
        if let Some(member) = self.members.get_mut(address) {
            member.suspended_until = now + MEMBER_TIMEOUT;
        }
    }

    /// Records that no process runs at the address of an instance. Returns whether that is news.
    pub fn record_gone(&mut self, address: &SocketAddr, now: Millis) -> bool {
        let member = self.members.get_mut(address);
        member.is_some_and(|member| {
            let is_news = !member.is_gone();
            member.gone_at = Some(now);
            is_news
        })
    }

    /// Whether no process ran at the address of an instance when it was last questioned.
    pub fn is_gone(&self, address: &SocketAddr) -> bool {
        self.members.get(address).is_some_and(Member::is_gone)
    }

    /// The collector of a zone: the instance with the highest spare capacity, and among equals that
    /// with the lowest address. All instances that know the same members agree on it.
    pub fn collector(&self, zone: u32, now: Millis) -> Option<SocketAddr> {
        let others = self.members.values();
        let eligible = others.filter(|member| member.suspended_until <= now && !member.is_gone());
        let others = eligible.map(|member| &member.identity);
        let all = others.chain(std::iter::once(&self.me));
        let own_zone = all.filter(|identity| identity.zone == zone);
        let best = own_zone.min_by_key(|identity| (Reverse(identity.capacity), identity.address));
        best.map(|identity| identity.address)
    }

    /// The collector of a zone, if it is another instance.
    pub fn collector_entry(&self, zone: u32, now: Millis) -> Option<MemberEntry> {
        let member = self.members.get(&self.collector(zone, now)?);
        member.map(|member| member.entry(now))
    }

    /// The placer: the first of the zones' collectors in the same order.
    pub fn placer(&self, collectors: impl Iterator<Item = SocketAddr>) -> SocketAddr {
        let known = collectors.filter_map(|address| self.members.get(&address));
        let all = known
            .filter(|member| !member.is_gone())
            .map(|member| &member.identity)
            .chain(std::iter::once(&self.me));
        let best = all.min_by_key(|identity| (Reverse(identity.capacity), identity.address));
        best.map_or(self.me.address, |identity| identity.address)
    }

    /// The availability zones other than this instance's own.
    pub fn other_zones(&self) -> Vec<u32> {
        let members = self.members.values();
        let mut zones: Vec<u32> = members.map(|member| member.identity.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.retain(|&zone| zone != self.me.zone);
        zones
    }

    /// The next members in rotation, of this zone or of all, to report to others.
    pub fn next_entries(&mut self, own_zone: bool, now: Millis) -> Vec<MemberEntry> {
        let start = bound(self.last_entry[usize::from(own_zone)]);
        let later = self.members.range((start, Bound::Unbounded));
        let next = later.chain(&self.members).take(self.members.len());
        let next = next.filter(|(_, member)| !own_zone || member.identity.zone == self.me.zone);
        let entries: Vec<MemberEntry> = next
            .take(MAX_MEMBER_ENTRIES)
            .map(|(_, member)| member.entry(now))
            .collect();
        self.last_entry[usize::from(own_zone)] = entries.last().map(|entry| entry.identity.address);
        entries
    }

    /// The members to name to an instance of `zone` that has just started: the collector of its
    /// zone, the other collectors in the order in which they become placer, then others.
    ///
    /// The collector of its zone is what it needs most, since that one tells it the placer and the
    /// load of the fleet.
    pub fn introduction(&self, zone: u32, now: Millis) -> Vec<MemberEntry> {
        let mut zones = self.other_zones();
        zones.push(self.me.zone);
        let collectors = zones.iter().filter_map(|zone| self.collector(*zone, now));
        let collectors = collectors.filter_map(|address| self.members.get(&address));
        let mut named: Vec<&Member> = collectors.collect();
        named.sort_unstable_by_key(|member| {
            let identity = &member.identity;
            (
                identity.zone != zone,
                Reverse(identity.capacity),
                identity.address,
            )
        });
        let is_collector = |member: &&Member| {
            let address = member.identity.address;
            named.iter().any(|named| named.identity.address == address)
        };
        let others = self.members.values().filter(|member| !is_collector(member));
        let others: Vec<&Member> = others.take(MAX_INTRODUCED).collect();
        let all = named.into_iter().chain(others);
        all.take(MAX_INTRODUCED)
            .map(|member| member.entry(now))
            .collect()
    }

    /// The zone of a member.
    pub fn zone_of(&self, address: &SocketAddr) -> Option<u32> {
        let member = self.members.get(address);
        member.map(|member| member.identity.zone)
    }

    /// A random sample of the members, drawn with `seed`. A member may be drawn twice.
    pub fn sample(&self, count: usize, seed: u64) -> Vec<SocketAddr> {
        let known = self.members.len();
        let drawn = (0..count.min(known)).map(|number| {
            let draw = XxHash3_64::oneshot_with_seed(seed, &number.to_le_bytes());
            draw as usize % known
        });
        let drawn = drawn.filter_map(|index| self.members.keys().nth(index));
        drawn.copied().collect()
    }

    /// One of the members, in each of three consecutive turns another one if there are as many.
    pub(super) fn in_turn(&self, turn: u64) -> Option<SocketAddr> {
        let known = self.members.len() as u64;
        let stride = (known / 3).max(1);
        let index = turn.wrapping_mul(stride).checked_rem(known)?;
        self.members.keys().nth(index as usize).copied()
    }

    /// The member with the next address after `last`, to contact all members in turn.
    pub fn next_after(&self, last: SocketAddr) -> Option<SocketAddr> {
        let mut later = self
            .members
            .range((Bound::Excluded(last), Bound::Unbounded));
        let next = later.next().or_else(|| self.members.iter().next());
        next.map(|(address, _)| *address)
    }

    fn upsert(&mut self, identity: Identity, last_heard: Millis) {
        if identity.address == self.me.address {
            return;
        }
        let full = self.members.len() >= MAX_MEMBERS;
        if full && !self.members.contains_key(&identity.address) {
            return;
        }
        let member = self.members.entry(identity.address).or_insert(Member {
            identity,
            last_heard,
            suspended_until: Millis::ZERO,
            gone_at: None,
        });
        if last_heard >= member.last_heard {
            member.identity = identity;
            member.last_heard = last_heard;
        }
    }
}

fn bound(last: Option<SocketAddr>) -> Bound<SocketAddr> {
    last.map_or(Bound::Unbounded, Bound::Excluded)
}
